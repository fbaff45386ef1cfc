package dispatchbench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// longWork plays the peak of the largest region of an uneven site. Without limits the gateways
// don't know when streams pause for too long and when answers must end.
func longWork(seed uint64, speeds []float64, unlimited bool) dispatchbench.KindResult {
	o := dispatchbench.Uneven(dispatchbench.UnevenOptions{Seed: seed, Load: 1, Speeds: speeds, Gateways: 69})
	o.Duration, o.Unlimited = 12500*time.Millisecond, unlimited
	return dispatchbench.Run(o).Kinds[0]
}

// TestLongPromptsPauseFewStreams compares the long answers that pause for too long with those
// where the gateways don't know the limits: at most half, with as many served, and the largest
// prompts not paying for it.
func TestLongPromptsPauseFewStreams(t *testing.T) {
	for _, speeds := range [][]float64{{0.6, 1, 1.6}, {0.4, 1, 2}} {
		t.Run(fmt.Sprint(speeds), func(t *testing.T) {
			limited, unlimited := longWork(0, speeds, false), longWork(0, speeds, true)
			t.Logf("paused %d of %d, %d without limits; served %.3f and %.3f, of the largest %.3f",
				limited.PausedTooLong, limited.Requests, unlimited.PausedTooLong, limited.Served(), unlimited.Served(), limited.ServedLargest)
			must.LessEq(t, unlimited.PausedTooLong/2, limited.PausedTooLong)
			must.GreaterEq(t, unlimited.Served(), limited.Served())
			must.GreaterEq(t, limited.Served()/2, limited.ServedLargest)
		})
	}
}

// TestAnswersEndInTime compares the long answers that are ended by their deadline: at most a
// fifth.
func TestAnswersEndInTime(t *testing.T) {
	for _, speeds := range [][]float64{{0.6, 1, 1.6}, {0.4, 1, 2}} {
		t.Run(fmt.Sprint(speeds), func(t *testing.T) {
			limited, unlimited := longWork(0, speeds, false), longWork(0, speeds, true)
			t.Logf("ended by the deadline %d of %d, %d without limits", limited.Expired, limited.Requests, unlimited.Expired)
			must.LessEq(t, unlimited.Expired/5, limited.Expired)
		})
	}
}
