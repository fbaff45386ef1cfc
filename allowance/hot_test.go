package allowance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hotWorld is six gateways of three regions before an account that asks all of them at once
// for twelve times its rate, from the second on.
func hotWorld(seed uint64) *world {
	w := newSmallWorld(20)
	w.random = rand.New(rand.NewPCG(seed, 1))
	for region, all := range w.meters {
		for i := range all {
			all[i] = newMetered(w, region)
		}
	}
	w.play(time.Second)
	w.demand = []float64{80, 80, 80}
	return w
}

// harmedWorld is a hot world for half a minute, while gateways are paused or started again and
// regions cut off.
func harmedWorld(seed uint64) *world {
	w := hotWorld(seed)
	harm := rand.New(rand.NewPCG(seed, 2))
	for range 14 {
		region, i := harm.IntN(regions), harm.IntN(2)
		length := time.Duration(300+harm.IntN(2700)) * time.Millisecond
		switch harm.IntN(4) {
		case 0:
			w.cut[region] = true
			w.play(length)
			w.cut[region] = false
		case 1: // it starts again
			w.meters[region][i] = newMetered(w, region)
			w.play(length)
		case 2:
			m := w.meters[region][i].(*metered)
			m.paused = true
			w.play(length)
			m.paused = false
		default:
			w.play(length)
		}
	}
	return w
}

// TestAnAccountThatStaysHotIsHeld plays what was seen where real processes were harmed: an
// account that asks six gateways at once for twelve times its rate got 131 to 142 requests
// within four seconds, where 130 are the most.
//
// Evidence: the fullest windows began 4 s after the account turned hot, when what had been
// admitted at once left the window at once, and all gateways took its place before they heard
// of each other; and with cuts in the second when it turned hot, since each region reckoned its
// share from its own new callers and the others' old words. 132 of 400 seeds went beyond.
func TestAnAccountThatStaysHotIsHeld(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		w := harmedWorld(seed)
		must.LessEq(t, 1, w.worst(), must.Sprint("seed ", seed, ": ", w))
	}
}

// wakingSeed is the one of those where a gateway wakes in the moment in which its region is
// cut off.
const wakingSeed = 6

// TestAGatewayThatWakesBehindACutHoldsAnAccount plays that seed: the gateway was paused as the
// account turned hot, knows nothing of what the others admitted meanwhile, and takes its
// region's share of what it believes to be left.
func TestAGatewayThatWakesBehindACutHoldsAnAccount(t *testing.T) {
	w := harmedWorld(wakingSeed)
	must.LessEq(t, 1, w.worst(), must.Sprint(w))
}

// TestAGatewayThatIsCutOffAloneHoldsAnAccount cuts one gateway off from all others as, or just
// after, an account turns hot. Seen with real processes (135 requests, where 130 are the most):
// for as long as it believed that it heard the others, whose last words were of the time before,
// it took what they all had taken to be left, 35 requests in four seconds instead of 18.
func TestAGatewayThatIsCutOffAloneHoldsAnAccount(t *testing.T) {
	worst := 0.0
	for seed := range uint64(40) {
		w := hotWorld(seed)
		w.play(time.Duration(seed%5) * 100 * time.Millisecond)
		alone := w.meters[seed%regions][seed%2].(*metered)
		alone.alone = true
		w.play(time.Duration(1+seed%4) * time.Second)
		alone.alone = false
		w.play(5 * time.Second)
		t.Log(seed, w)
		worst = max(worst, w.worst())
	}
	must.LessEq(t, 1, worst)
}
