package dispatchbench_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// longWork sums the results for the long answers at the peak of the largest region of an uneven
// site.
type longWork struct {
	paused, expired int
	served, largest float64 // means of the shares served, of all and of the longest prompts
}

// playLongWork plays two seeds: the fates of single answers differ from seed to seed. Unlimited
// are those where the gateways don't know when streams pause for too long and when answers must
// end.
func playLongWork(speeds ...float64) func() (limited, unlimited longWork) {
	const seeds = 2
	play := func(unlimited bool) (sum longWork) {
		for seed := range uint64(seeds) {
			o := dispatchbench.Uneven(dispatchbench.UnevenOptions{Seed: seed, Load: 1, Speeds: speeds, Gateways: 69})
			o.Duration, o.Unlimited = 12500*time.Millisecond, unlimited
			r := dispatchbench.Run(o).Kinds[0]
			sum.paused, sum.expired = sum.paused+r.PausedTooLong, sum.expired+r.Expired
			sum.served, sum.largest = sum.served+r.Served()/seeds, sum.largest+r.ServedLargest/seeds
		}
		return sum
	}
	return sync.OnceValues(func() (limited, unlimited longWork) { return play(false), play(true) })
}

// longWorks are played once for the tests below.
var longWorks = []func() (limited, unlimited longWork){playLongWork(0.6, 1, 1.6), playLongWork(0.4, 1, 2)}

// TestLongPromptsPauseFewStreams compares the long answers that pause for too long with those
// where the gateways don't know the limits: at most half, with as many served, and the largest
// prompts not paying for it.
func TestLongPromptsPauseFewStreams(t *testing.T) {
	for i, play := range longWorks {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			limited, unlimited := play()
			t.Logf("paused %d, %d without limits; served %.3f and %.3f, of the largest %.3f", limited.paused, unlimited.paused, limited.served, unlimited.served, limited.largest)
			must.LessEq(t, unlimited.paused/2, limited.paused)
			must.GreaterEq(t, unlimited.served, limited.served)
			must.GreaterEq(t, limited.served/2, limited.largest)
		})
	}
}

// TestAnswersEndInTime compares the long answers that are ended by their deadline in the same
// way: at most a fifth.
func TestAnswersEndInTime(t *testing.T) {
	for i, play := range longWorks {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			limited, unlimited := play()
			t.Logf("ended by the deadline %d, %d without limits", limited.expired, unlimited.expired)
			must.LessEq(t, unlimited.expired/5, limited.expired)
		})
	}
}
