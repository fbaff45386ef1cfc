package dispatchbench_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// workBySpeed returns the tokens that engines of each speed have read, relative to what
// engines of mean speed in their regions read and to their speed: 1 if engines got work by
// their speed.
func workBySpeed(engines []dispatchbench.EngineResult) map[float64]float64 {
	tokens, speeds := make(map[string]float64), make(map[string]float64)
	for _, e := range engines {
		tokens[e.Region] += float64(e.TokensRead)
		speeds[e.Region] += e.Speed
	}
	read, expected := make(map[float64]float64), make(map[float64]float64)
	for _, e := range engines {
		read[e.Speed] += float64(e.TokensRead)
		expected[e.Speed] += tokens[e.Region] / speeds[e.Region] * e.Speed
	}
	for speed := range read {
		read[speed] /= expected[speed]
	}
	return read
}

// TestEnginesGetWorkByTheirSpeed simulates engines of three speeds, which 69 gateways don't
// know at first, at a load that needs all of them. Each speed must get within a tenth of its
// part of the work.
func TestEnginesGetWorkByTheirSpeed(t *testing.T) {
	for _, speeds := range [][]float64{{0.6, 1, 1.6}, {0.4, 1, 2}} {
		t.Run(fmt.Sprint(speeds), func(t *testing.T) {
			r := dispatchbench.Run(dispatchbench.Uneven(dispatchbench.UnevenOptions{Load: 1.3, Speeds: speeds, Gateways: 69}))
			work := workBySpeed(r.Engines)
			t.Logf("earned share %.3f, work relative to speed %.2f", r.EarnedShare, work)
			for speed, share := range work {
				must.Between(t, 0.9, share, 1.1, must.Sprint(speed))
			}
		})
	}
}
