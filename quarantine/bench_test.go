package quarantine_test

import (
	"fmt"
	"testing"
	"time"

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

// BenchmarkCheckParts checks a sound request while parts are quarantined.
func BenchmarkCheckParts(b *testing.B) {
	for _, quarantined := range []int{0, 1, 20} {
		b.Run(fmt.Sprint(quarantined, " quarantined"), func(b *testing.B) {
			table := quarantine.NewParts()
			for n := range quarantined {
				part := fmt.Sprint("dead", n)
				for i := 1; i <= 3; i++ {
					at := time.Duration(n*10+i) * time.Second
					crashParts(table, fmt.Sprint(n, i), at, part)
					begin(table, at+100*time.Millisecond, "sound")
				}
				_ = rejectedPart(table, time.Duration(n*10+5)*time.Second, part)
			}
			now := start.Add(time.Hour)
			for b.Loop() {
				_, _ = table.Check(quarantine.NewPrompt("review", "m", []string{"system", "subject", "sound"}), now, never)
			}
		})
	}
}

// BenchmarkOutgoingParts builds a message while one part is quarantined and nothing changes.
func BenchmarkOutgoingParts(b *testing.B) {
	table := quarantinedTable()
	for b.Loop() {
		table.OutgoingLocal(start)
	}
}
