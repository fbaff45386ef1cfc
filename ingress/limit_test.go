package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// limitWindow is the window over which the limit is checked. In it, an engine may get one
// and a half times what its limit allows, plus five requests, from all gateways together.
const limitWindow = 4 * time.Second

func maxArrivals(limit float64) int { return int(1.5*limit*limitWindow.Seconds() + 5) }

// peakArrivals returns the highest number of requests that reached an engine in a window
// that begins at from or later.
func (r *simulatedRegion) peakArrivals(e *platformtest.Engine, from time.Duration) int {
	peak := 0
	all := r.arrivals[e]
	for i, a := range all {
		if a.at < from {
			continue
		}
		n := 0
		for n < len(all)-i && all[i+n].at < a.at+limitWindow {
			n++
		}
		peak = max(peak, n)
	}
	return peak
}

// TestRateLimitsOfEnginesAreObserved guards against exceeding the rate limit that an engine
// states in its answers. Two of a region's four engines stated limits of 1 and 1.2 requests
// a second over all gateways, and got 33 and 28 within four seconds, where 11 and 12 are
// the maximum. No gateway decoded the header, so the excess was first attempts of ordinary
// requests. Now each gateway computes its share of the limit in advance (package
// ratelimit).
func TestRateLimitsOfEnginesAreObserved(t *testing.T) {
	r := newSimulatedRegion(t, 4)
	r.run(t, time.Second, 20)
	limits := []float64{1, 1.2}
	for i, limit := range limits {
		r.engines[i].SetLimit(fmt.Sprint(limit))
	}
	r.run(t, 6*time.Second, 20)
	settled := r.elapsed()
	served := r.run(t, 8*time.Second, 20)
	must.Eq(t, 160, served, must.Sprint("the other engines serve the excess"))
	for i, limit := range limits {
		peak := r.peakArrivals(r.engines[i], settled)
		must.LessEq(t, maxArrivals(limit), peak, must.Sprintf("the engine with a limit of %v a second got %d in four seconds", limit, peak))
		must.GreaterEq(t, int(0.8*limit*limitWindow.Seconds()), peak, must.Sprintf("the engine should get most of its limit, and got %d", peak))
	}
}
