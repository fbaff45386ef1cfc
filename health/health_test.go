package health_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/health"
	"github.com/linenscale/linenscale/route"
)

var now = time.Unix(1_700_000_000, 0)

func pool(n int) []*health.Engine {
	out := make([]*health.Engine, n)
	for i := range out {
		out[i] = &health.Engine{}
	}
	return out
}

func observe(e *health.Engine, outcome health.Outcome, times int) {
	for range times {
		e.Observe(outcome, 100*time.Millisecond)
	}
}

func count(all []route.Health, h route.Health) int {
	n := 0
	for _, one := range all {
		if one == h {
			n++
		}
	}
	return n
}

func TestFailingEngineIsEjectedAndComesBackByARamp(t *testing.T) {
	p := pool(4)
	observe(p[0], health.Failed, 10)
	must.Eq(t, route.Ejected, health.Judge(p, now)[0])
	must.Eq(t, route.Ejected, health.Judge(p, now.Add(4*time.Second))[0])
	back := now.Add(6 * time.Second)
	must.Eq(t, route.Healthy, health.Judge(p, back)[0])
	must.Less(t, 0.2, p[0].Ramp(back))
	must.Eq(t, 1, p[0].Ramp(back.Add(health.RampTime)))
	observe(p[0], health.Failed, 1)
	must.Eq(t, route.Ejected, health.Judge(p, back)[0], must.Sprint("one failure on probation"))
	must.Eq(t, route.Ejected, health.Judge(p, back.Add(8*time.Second))[0], must.Sprint("for twice as long"))
}

func TestHalfOfThePoolIsNeverEjected(t *testing.T) {
	for n := 1; n < 9; n++ {
		p := pool(n)
		for _, e := range p {
			observe(e, health.Failed, 20)
		}
		must.GreaterEq(t, (n+1)/2, count(health.Judge(p, now), route.Healthy), must.Sprintf("%d engines", n))
	}
}

// TestLastOnesComeBack ejects half of a pool, then lets the others' hosts be
// reclaimed: those ejected are all that is left.
func TestLastOnesComeBack(t *testing.T) {
	p := pool(4)
	observe(p[0], health.Failed, 10)
	observe(p[1], health.Failed, 10)
	must.Eq(t, 2, count(health.Judge(p, now), route.Ejected))
	p[2].SetLeaving(true)
	p[3].SetLeaving(true)
	must.GreaterEq(t, 1, count(health.Judge(p, now), route.Healthy))
}

func TestSheddingIsNotFailure(t *testing.T) {
	p := pool(4)
	observe(p[0], health.Shed, 100)
	observe(p[1], health.Abandoned, 100)
	must.Eq(t, 4, count(health.Judge(p, now), route.Healthy))
}

func TestSlowEngineIsAnOutlierOnlyBesideItsPeers(t *testing.T) {
	p := pool(4)
	for i, e := range p {
		for range 20 {
			wait := 100 * time.Millisecond
			if i == 0 {
				wait = time.Second
			}
			e.Observe(health.Succeeded, wait)
		}
	}
	must.Eq(t, route.Ejected, health.Judge(p, now)[0])
	all := pool(4)
	for _, e := range all {
		for range 20 {
			e.Observe(health.Succeeded, 10*time.Second)
		}
	}
	must.Eq(t, 4, count(health.Judge(all, now), route.Healthy), must.Sprint("overload slows all alike"))
}

func TestCertainSignsNeedNoPeers(t *testing.T) {
	p := pool(3)
	p[0].SetStopping(true)
	p[1].SetLeaving(true)
	p[2].Probe(false)
	must.Eq(t, []route.Health{route.Stopping, route.Leaving, route.Healthy}, health.Judge(p, now))
	p[2].Probe(false)
	must.Eq(t, route.Unreachable, health.Judge(p, now)[2])
	p[2].Probe(true)
	must.Eq(t, route.Healthy, health.Judge(p, now)[2])
}
