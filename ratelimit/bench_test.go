package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/linenscale/linenscale/ratelimit"
)

// engineHash returns the hash of an engine, as large as real ones.
func engineHash(n int) uint64 { return uint64(n+1) * 0x9e3779b97f4a7c15 }

// tableOf returns a gateway's table with that many limited engines, shared by 200
// gateways.
func tableOf(engines int, now time.Time) *ratelimit.Table {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	table := ratelimit.New(names[0])
	table.SetMembers(names, now)
	for n := range engines {
		table.ApplySignal(engineHash(n), ratelimit.Limited{PerSecond: 20}, now, now)
	}
	return table
}

// BenchmarkAllows measures the check of one candidate engine for a request.
func BenchmarkAllows(b *testing.B) {
	now := time.Unix(1000, 0)
	table := tableOf(600, now)
	for n := 0; b.Loop(); n++ {
		table.Allows(engineHash(n%600), now)
	}
}

// BenchmarkOutgoing measures the reports of one message, which is sent ten times a
// second: the time and the size.
func BenchmarkOutgoing(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, engines := range []int{2, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table := tableOf(engines, now)
			for range 100 {
				table.Outgoing(now)
			}
			bytes := 0
			for b.Loop() {
				data, err := cbor.Marshal(table.Outgoing(now))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "B/message")
		})
	}
}

// BenchmarkChangedMembers measures how long it takes to recompute the share of one limit
// after one of 200 gateways has changed.
func BenchmarkChangedMembers(b *testing.B) {
	now := time.Unix(1000, 0)
	table := tableOf(600, now)
	var names []string
	for i := range 199 {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	for n := 0; b.Loop(); n++ {
		now = now.Add(3 * time.Second)
		table.SetMembers(append(names, fmt.Sprint("other", n)), now)
		table.Allows(engineHash(n%600), now)
	}
}
