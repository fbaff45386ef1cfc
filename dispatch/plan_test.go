package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
)

// newPlanEnv returns a region at its peak beside an idle one, kano, with the route of
// longRequest. kano's report has arrived just now.
func newPlanEnv(t *testing.T) (*testEnv, *dispatch.Dispatcher) {
	t.Helper()
	env := newTestEnv(1, 4)
	state := ledger.State{Index: 2, Catalog: catalog.Catalog{Version: 2, Services: services, Routes: []catalog.Route{
		{Name: "review", Kind: catalog.KindStream, Target: time.Second, Backends: []catalog.Backend{{Service: "review", Weight: 1}}},
	}}}
	g := env.gateways[0]
	g.ApplyState(state, catalog.NewTable(state.Catalog))
	for i := range 40 {
		g.CountArrival(plannedRequest(i))
	}
	g.Receive(loadReport("kano", 4, 0))
	env.advance(10 * time.Millisecond)
	return env, g
}

func plannedRequest(i int) dispatch.Request {
	req := longRequest(fmt.Sprint(i), fmt.Sprint("block", i))
	req.Route = "review"
	return req
}

// regionsOf returns the region chosen for each of some requests.
func regionsOf(g *dispatch.Dispatcher, reachable []string) (regions []string, planned int) {
	for i := range 60 {
		p := g.ChooseRegion(plannedRequest(i), true, reachable)
		if p.IsPlanned {
			planned++
		}
		regions = append(regions, p.Region)
	}
	return regions, planned
}

func count(regions []string, region string) int {
	n := 0
	for _, r := range regions {
		if r == region {
			n++
		}
	}
	return n
}

// TestPeakIsSharedWithIdleRegion guards against a region at its peak that keeps nearly all of
// its requests: of two regions of one size each gets about half, and the same prompts go to
// the same region again.
func TestPeakIsSharedWithIdleRegion(t *testing.T) {
	_, g := newPlanEnv(t)
	regions, planned := regionsOf(g, []string{"kano"})
	must.Eq(t, 60, planned)
	must.Between(t, 18, count(regions, "kano"), 42)
	again, _ := regionsOf(g, []string{"kano"})
	must.Eq(t, regions, again)
}

// TestRegionWithoutReportsFallsOutOfPlan guards against requests for a region that was lost:
// within a second of its last report it gets none.
func TestRegionWithoutReportsFallsOutOfPlan(t *testing.T) {
	env, g := newPlanEnv(t)
	_, planned := regionsOf(g, []string{"kano"})
	must.Positive(t, planned)
	env.advance(time.Second)
	regions, _ := regionsOf(g, []string{"kano"})
	must.Eq(t, 0, count(regions, "kano"))
}

// TestPlannedRegionThatCantBeReached guards against requests for a region whose gateways
// can't be reached although its reports arrive.
func TestPlannedRegionThatCantBeReached(t *testing.T) {
	_, g := newPlanEnv(t)
	before, _ := regionsOf(g, []string{"kano"})
	must.Positive(t, count(before, "kano"))
	regions, planned := regionsOf(g, nil)
	must.Eq(t, 60, planned)
	must.Eq(t, 0, count(regions, "kano"))
}

// TestPlannedRegionThatIsFullIsNotUsed guards against a plan from old figures: where the
// planned region would reject a request, it goes where it is cheapest.
func TestPlannedRegionThatIsFullIsNotUsed(t *testing.T) {
	env, g := newPlanEnv(t)
	before, _ := regionsOf(g, []string{"kano"})
	must.Positive(t, count(before, "kano"))
	g.Receive(loadReport("kano", 4, 400_000))
	env.advance(10 * time.Millisecond)
	for i := range 60 {
		req := plannedRequest(i)
		req.Target = time.Second
		must.Eq(t, "lagos", g.ChooseRegion(req, true, []string{"kano"}).Region)
	}
}

// TestNothingIsPlannedWithoutDemand guards deployments without a shortage: their requests are
// placed one by one.
func TestNothingIsPlannedWithoutDemand(t *testing.T) {
	env, g := newPlanEnv(t)
	env.advance(10 * time.Second)
	g.Receive(loadReport("kano", 4, 0))
	env.advance(10 * time.Millisecond)
	_, planned := regionsOf(g, []string{"kano"})
	must.Eq(t, 0, planned)
}
