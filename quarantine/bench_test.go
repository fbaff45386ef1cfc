package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/linenscale/linenscale/quarantine"
)

// BenchmarkFingerprintOf hashes requests with bodies of typical sizes.
func BenchmarkFingerprintOf(b *testing.B) {
	for _, size := range []int{600, 18_000, 110_000} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				quarantine.FingerprintOf("club", "POST", "h", "/review/1", body)
			}
		})
	}
}

// BenchmarkOutgoing builds a message from a full table without changes.
func BenchmarkOutgoing(b *testing.B) {
	table := quarantine.New()
	for f := range quarantine.Fingerprint(1024) {
		table.RecordCrash(1+f, "e", start)
	}
	for b.Loop() {
		table.OutgoingLocal(start)
	}
}
