package allowance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
)

// newSmallSimulation is newRequestSimulation of six gateways.
func newSmallSimulation(rate float64) *simulation { return newRequestSimulation(6, rate) }

// newRequestSimulation returns a simulation of an account that is counted in requests, with a
// window of four seconds.
func newRequestSimulation(gateways int, rate float64) *simulation {
	limit := catalog.Allowance{Unit: catalog.UnitRequests, Rate: rate, Burst: rate}
	return newSimulation(gateways, limit, func(sim *simulation, region int) limiter {
		sim.policy = allowance.Policy{Window: 4 * time.Second, Overage: 0.1, Slack: rate}
		return newMeterLimiter(sim, region)
	})
}

// TestASuddenStartIsHeld guards against gateways that each admit all requests until they
// receive the others' reports, when callers of an unused or little used account suddenly
// request many times its rate everywhere. With twelve times the rate, six gateways
// admitted 1.28 times the limit for the window; real processes admitted 131 to 141 requests
// in four seconds, 63 of them in the first half second, with a limit of 130.
//
// With more than twelve times the rate, or twelve times at sixty gateways, the fullest
// window may exceed the limit a little: of an account in use some requests pass at each
// gateway until it detects the surge, of an unused one two even beyond its share.
func TestASuddenStartIsHeld(t *testing.T) {
	for _, test := range []struct {
		rateFactor float64
		few, many  float64 // the fullest window, as a fraction of the limit
	}{
		{2, 1, 1},
		{4, 1, 1},
		{12, 1, 1.05},
		{30, 1.08, 1.12},
	} {
		t.Run(fmt.Sprint("few gateways ", test.rateFactor), func(t *testing.T) {
			sim := newSmallSimulation(20)
			sim.run(1400 * time.Millisecond)
			sim.demand = []float64{test.rateFactor * 20 / 3, test.rateFactor * 20 / 3, test.rateFactor * 20 / 3}
			sim.run(10 * time.Second)
			t.Log(sim)
			must.LessEq(t, test.few, sim.fullestWindow())
		})
		t.Run(fmt.Sprint("many gateways ", test.rateFactor), func(t *testing.T) {
			sim := newSimulation(60, tokens(120_000), newMeterLimiter)
			sim.setDemand(0.05)
			sim.run(10 * time.Second)
			sim.setDemand(test.rateFactor)
			sim.run(10 * time.Second)
			t.Log(sim)
			must.LessEq(t, test.many, sim.fullestWindow())
		})
	}
}

// TestSurgeAtOneGatewayIsAdmitted guards against rejections when the callers of one
// gateway of six suddenly request the account's whole rate there.
func TestSurgeAtOneGatewayIsAdmitted(t *testing.T) {
	sim := newSmallSimulation(100)
	sim.run(10 * time.Second)
	rejected := 0
	for range 500 { // a hundred a second, for five seconds
		if !sim.limiters[0][0].admit(1, sim.now) {
			rejected++
		}
		sim.run(10 * time.Millisecond)
	}
	must.Eq(t, 0, rejected)
}

// TestStartAtManyGatewaysIsHeld guards against gateways that each admit a few requests of an
// account that nobody used before they detect a surge: at 36 gateways that are more than the
// limit.
func TestStartAtManyGatewaysIsHeld(t *testing.T) {
	for _, perGateway := range []float64{3, 6, 12, 25, 50} {
		t.Run(fmt.Sprint(perGateway, " a second each"), func(t *testing.T) {
			sim := newRequestSimulation(36, 20)
			sim.run(6 * time.Second)
			for region := range regions {
				sim.demand[region] = perGateway * 36 / regions
			}
			sim.run(10 * time.Second)
			t.Log(sim)
			must.LessEq(t, 1, sim.fullestWindow())
		})
	}
}

// TestUnusedAccountAtOneOfManyGateways bounds what the hold of sudden starts costs callers of an
// account that nobody used, who all come to one gateway of many, and request up to its rate.
func TestUnusedAccountAtOneOfManyGateways(t *testing.T) {
	for _, rate := range []float64{5, 10, 20} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			sim := newRequestSimulation(36, 20)
			sim.run(6 * time.Second)
			requests := int(rate * 60)
			rejected := 0
			for range requests {
				if !sim.limiters[0][0].admit(1, sim.now) {
					rejected++
				}
				sim.run(time.Duration(float64(time.Second) / rate))
			}
			t.Logf("%d of %d rejected", rejected, requests)
			must.LessEq(t, requests/100, rejected)
		})
	}
}
