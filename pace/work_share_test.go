package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/pace"
)

// TestOtherDelaysDontHideWork plays an overload in which answers are delayed by seconds for
// other reasons than the prompts that they wait for. Work must still seem to take time:
// otherwise no queue is ever too long, and everything is admitted to an overloaded engine.
func TestOtherDelaysDontHideWork(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	l := pace.NewLinearEstimator(20*time.Millisecond, 9000, 270*time.Millisecond)
	for range 200 {
		work := 1000 + 20_000*random.Float64()
		delay := 2 * random.Float64() * (1 - work/40_000) // seconds; shorter where more work waits
		l.Observe(work, time.Duration(work*10_000)+time.Duration(delay*float64(time.Second)))
	}
	usual := l.Estimate(11_000)
	must.GreaterEq(t, 2*usual-usual/5, l.Estimate(55_000), must.Sprintf("%v for the usual work", usual))
}
