package health_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/health"
	"github.com/linenscale/linenscale/route"
)

var now = time.Unix(1_700_000_000, 0)

func newPool(n int) []*health.Tracker {
	pool := make([]*health.Tracker, n)
	for i := range pool {
		pool[i] = &health.Tracker{}
	}
	return pool
}

// observe records n requests with the same outcome.
func observe(e *health.Tracker, outcome health.Outcome, n int) {
	for range n {
		e.RecordOutcome(outcome, 100*time.Millisecond)
	}
}

func count(all []route.Health, h route.Health) int {
	n := 0
	for _, got := range all {
		if got == h {
			n++
		}
	}
	return n
}

func TestFailingEngineIsEjectedAndReturnsWithARamp(t *testing.T) {
	p := newPool(4)
	observe(p[0], health.Failed, 10)
	must.Eq(t, route.Ejected, health.Evaluate(p, now)[0])
	must.Eq(t, route.Ejected, health.Evaluate(p, now.Add(4*time.Second))[0])
	afterEjection := now.Add(6 * time.Second)
	must.Eq(t, route.Healthy, health.Evaluate(p, afterEjection)[0])
	must.Less(t, 0.2, p[0].Ramp(afterEjection))
	must.Eq(t, 1, p[0].Ramp(afterEjection.Add(health.RampTime)))
	observe(p[0], health.Failed, 1)
	must.Eq(t, route.Ejected, health.Evaluate(p, afterEjection)[0], must.Sprint("one failure on probation must eject it again"))
	must.Eq(t, route.Ejected, health.Evaluate(p, afterEjection.Add(8*time.Second))[0], must.Sprint("the second ejection must last twice as long"))
}

func TestAtLeastHalfOfThePoolStaysHealthy(t *testing.T) {
	for n := 1; n < 9; n++ {
		p := newPool(n)
		for _, e := range p {
			observe(e, health.Failed, 20)
		}
		must.GreaterEq(t, (n+1)/2, count(health.Evaluate(p, now), route.Healthy), must.Sprintf("%d engines", n))
	}
}

// TestEjectionEndsWhenOnlyEjectedEnginesRemain guards against a pool without a
// usable engine: half of it is ejected when the hosts of the other half are
// reclaimed.
func TestEjectionEndsWhenOnlyEjectedEnginesRemain(t *testing.T) {
	p := newPool(4)
	observe(p[0], health.Failed, 10)
	observe(p[1], health.Failed, 10)
	must.Eq(t, 2, count(health.Evaluate(p, now), route.Ejected))
	p[2].SetDraining(true)
	p[3].SetDraining(true)
	must.GreaterEq(t, 1, count(health.Evaluate(p, now), route.Healthy))
}

func TestSheddingIsNotFailure(t *testing.T) {
	p := newPool(4)
	observe(p[0], health.Shed, 100)
	observe(p[1], health.Abandoned, 100)
	must.Eq(t, 4, count(health.Evaluate(p, now), route.Healthy))
}

func TestSlowEngineIsEjectedOnlyIfPeersAreFaster(t *testing.T) {
	p := newPool(4)
	for i, e := range p {
		for range 20 {
			latency := 100 * time.Millisecond
			if i == 0 {
				latency = time.Second
			}
			e.RecordOutcome(health.Succeeded, latency)
		}
	}
	must.Eq(t, route.Ejected, health.Evaluate(p, now)[0])
	slowPool := newPool(4)
	for _, e := range slowPool {
		for range 20 {
			e.RecordOutcome(health.Succeeded, 10*time.Second)
		}
	}
	must.Eq(t, 4, count(health.Evaluate(slowPool, now), route.Healthy), must.Sprint("overload slows down all engines alike"))
}

func TestDrainingStoppingAndProbesNeedNoPeerComparison(t *testing.T) {
	p := newPool(3)
	p[0].SetStopping(true)
	p[1].SetDraining(true)
	p[2].RecordProbe(false)
	must.Eq(t, []route.Health{route.Stopping, route.Draining, route.Healthy}, health.Evaluate(p, now))
	p[2].RecordProbe(false)
	must.Eq(t, route.Unreachable, health.Evaluate(p, now)[2])
	p[2].RecordProbe(true)
	must.Eq(t, route.Healthy, health.Evaluate(p, now)[2])
}
