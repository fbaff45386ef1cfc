package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/linenscale/linenscale/ratelimit"
)

// idOf gives an engine's hash, as large as hashes are.
func idOf(n int) uint64 { return uint64(n+1) * 0x9e3779b97f4a7c15 }

// needy gives a gateway's table of so many engines that name limits, before 200 gateways.
func needy(engines int, now time.Time) *ratelimit.Table {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	table := ratelimit.New(names[0])
	table.SetMembers(names, now)
	for n := range engines {
		table.Hear(idOf(n), ratelimit.Limited{PerSecond: 20}, now, now)
	}
	return table
}

// BenchmarkAllows is what each engine that a request might be sent to costs.
func BenchmarkAllows(b *testing.B) {
	now := time.Unix(1000, 0)
	table := needy(600, now)
	for n := 0; b.Loop(); n++ {
		table.Allows(idOf(n%600), now)
	}
}

// BenchmarkTell is what each message costs, ten times a second, and what it holds, in bytes.
func BenchmarkTell(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, engines := range []int{2, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table := needy(engines, now)
			for range 100 {
				table.Tell(now)
			}
			bytes := 0
			for b.Loop() {
				data, err := cbor.Marshal(table.Tell(now))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "B/message")
		})
	}
}

// BenchmarkOtherGateways is what it costs to divide one limit anew when a gateway comes or
// goes, of 200.
func BenchmarkOtherGateways(b *testing.B) {
	now := time.Unix(1000, 0)
	table := needy(600, now)
	var names []string
	for i := range 199 {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	for n := 0; b.Loop(); n++ {
		now = now.Add(3 * time.Second)
		table.SetMembers(append(names, fmt.Sprint("other", n)), now)
		table.Allows(idOf(n%600), now)
	}
}
