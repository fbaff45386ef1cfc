package sizeclass_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/sizeclass"
)

// Long prompts whose reading takes 0.8 s of each second on an engine of speed 1 keep one engine
// of speed 1.6 busy for half of its time.
func ExampleSet() {
	fmt.Println(sizeclass.Set([]sizeclass.Engine{{Hash: 1 << 63, Speed: 1.6}, {Hash: 1 << 62, Speed: 0.6}}, 0.8))
	// Output: map[0:0.5]
}

var engines = rapid.Custom(func(t *rapid.T) []sizeclass.Engine {
	out := make([]sizeclass.Engine, rapid.IntRange(0, 30).Draw(t, "n"))
	for i := range out {
		out[i] = sizeclass.Engine{Hash: rapid.Uint64().Draw(t, "hash") + uint64(i), Speed: rapid.SampledFrom([]float64{0.6, 1, 1.6}).Draw(t, "speed")}
	}
	return out
})

// TestSetReadsAllWork draws work: the set reads all of it, or is all engines, each busy for half
// of its time at most.
func TestSetReadsAllWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, work := engines.Draw(t, "engines"), rapid.Float64Range(0, 20).Draw(t, "work")
		set, read := sizeclass.Set(all, work), 0.0
		for i, share := range set {
			must.Between(t, 0, share, 0.5)
			read += share * all[i].Speed
		}
		must.True(t, math.Abs(read-work) < 1e-6 || len(set) == len(all))
	})
}

// TestSetMovesLittle draws more work, or removes an engine: the other engines of the set stay,
// so that few streams meet a long prompt where they didn't expect it.
func TestSetMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, work := engines.Draw(t, "engines"), rapid.Float64Range(0, 10).Draw(t, "work")
		before := sizeclass.Set(all, work)
		for i := range before {
			must.MapContainsKey(t, sizeclass.Set(all, work+1), i)
		}
		if len(all) == 0 {
			return
		}
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		after := sizeclass.Set(slices.Delete(slices.Clone(all), lost, lost+1), work)
		for i := range before {
			if i < lost {
				must.MapContainsKey(t, after, i)
			} else if i > lost {
				must.MapContainsKey(t, after, i-1)
			}
		}
	})
}

// TestMeetingLongReadings guards the bounds: never on an engine that reads none, surely for a
// very long stream, and more probably for a longer one.
func TestMeetingLongReadings(t *testing.T) {
	const pause = 400 * time.Millisecond
	must.Eq(t, 0, sizeclass.MeetsReading(0, time.Hour, pause))
	must.Less(t, sizeclass.MeetsReading(0.5, time.Second, pause), sizeclass.MeetsReading(0.5, 0, pause))
	must.Greater(t, 0.99, sizeclass.MeetsReading(0.5, time.Minute, pause))
}
