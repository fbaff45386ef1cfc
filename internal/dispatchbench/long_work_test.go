package dispatchbench_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// longWork is the result for the long answers at the peak of the largest region of an uneven
// site. Unlimited are those where the gateways don't know when streams pause for too long and
// when answers must end.
type longWork struct{ limited, unlimited dispatchbench.KindResult }

func playLongWork(speeds ...float64) func() longWork {
	return sync.OnceValue(func() longWork {
		play := func(unlimited bool) dispatchbench.KindResult {
			o := dispatchbench.Uneven(dispatchbench.UnevenOptions{Load: 1, Speeds: speeds, Gateways: 69})
			o.Duration, o.Unlimited = 12500*time.Millisecond, unlimited
			return dispatchbench.Run(o).Kinds[0]
		}
		return longWork{play(false), play(true)}
	})
}

// longWorks are played once for the tests below.
var longWorks = []func() longWork{playLongWork(0.6, 1, 1.6), playLongWork(0.4, 1, 2)}

// TestLongPromptsPauseFewStreams compares the long answers that pause for too long with those
// where the gateways don't know the limits: at most half, with as many served, and the largest
// prompts not paying for it.
func TestLongPromptsPauseFewStreams(t *testing.T) {
	for i, play := range longWorks {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			r := play()
			t.Logf("paused %d of %d, %d without limits; served %.3f and %.3f, of the largest %.3f",
				r.limited.PausedTooLong, r.limited.Requests, r.unlimited.PausedTooLong, r.limited.Served(), r.unlimited.Served(), r.limited.ServedLargest)
			must.LessEq(t, r.unlimited.PausedTooLong/2, r.limited.PausedTooLong)
			must.GreaterEq(t, r.unlimited.Served(), r.limited.Served())
			must.GreaterEq(t, r.limited.Served()/2, r.limited.ServedLargest)
		})
	}
}

// TestAnswersEndInTime compares the long answers that are ended by their deadline in the same
// way: at most a fifth.
func TestAnswersEndInTime(t *testing.T) {
	for i, play := range longWorks {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			r := play()
			t.Logf("ended by the deadline %d of %d, %d without limits", r.limited.Expired, r.limited.Requests, r.unlimited.Expired)
			must.LessEq(t, r.unlimited.Expired/5, r.limited.Expired)
		})
	}
}
