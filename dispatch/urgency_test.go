package dispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/rollup"
)

// notYielding is the ID of a request that isn't of the share judged like more urgent ones.
const notYielding = "not yielding"

func rankedRequest(id string, priority int, target time.Duration) dispatch.Request {
	req := longRequest(id, "")
	req.Prompt.Blocks, req.Priority, req.Target = nil, priority, target
	return req
}

// fillQueue sends requests of a priority until one is rejected, and returns the number of
// those admitted.
func fillQueue(g *dispatch.Dispatcher, priority int, target time.Duration) (admitted int) {
	for admitted < 200 {
		if _, err := g.Acquire(rankedRequest(notYielding, priority, target)); err != nil {
			break
		}
		admitted++
	}
	return admitted
}

// TestLessUrgentRequestsLeaveRoom fills an engine's queue with less urgent requests of the
// longest target, with and without a recent request of a more urgent kind.
func TestLessUrgentRequestsLeaveRoom(t *testing.T) {
	alone, behind := newTestEnv(1, 1), newTestEnv(1, 1)
	acquire(t, behind.gateways[0], rankedRequest("urgent", 0, 800*time.Millisecond)).Done(dispatch.Abandoned)
	most := fillQueue(alone.gateways[0], 1, 4*time.Second)
	must.Less(t, most, fillQueue(behind.gateways[0], 1, 4*time.Second))
	must.Positive(t, fillQueue(behind.gateways[0], 0, 800*time.Millisecond), must.Sprint("room is left for the urgent kind"))
	must.Zero(t, fillQueue(alone.gateways[0], 0, 800*time.Millisecond))
}

// TestRoomIsntKeptWithoutDemand checks that room isn't kept any more when the urgent kind has
// stopped, that a rejection names the priority that goes first, and that a request which was
// sent before isn't put back.
func TestRoomIsntKeptWithoutDemand(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	acquire(t, g, rankedRequest("urgent", 0, 800*time.Millisecond)).Done(dispatch.Abandoned)
	fillQueue(g, 1, 4*time.Second)
	_, err := g.Acquire(rankedRequest(notYielding, 1, 4*time.Second))
	must.StrContains(t, requireNotRun(t, err).Message, "priority 0 goes first")
	again := rankedRequest(notYielding, 1, 4*time.Second)
	again.Tried = []string{"gone"}
	acquire(t, g, again)
	env.advance(1100 * time.Millisecond)
	acquire(t, g, rankedRequest(notYielding, 1, 4*time.Second))
}

// TestUrgencyHoldsAtAllGateways reports demand of the urgent kind to gateways that have no such
// callers themselves, for their own region and for another one. Room is kept until the reports
// stop, and not in a region where the urgent kind may not run.
func TestUrgencyHoldsAtAllGateways(t *testing.T) {
	env := newTestEnv(2, 1)
	c := catalog.Catalog{Version: 1, Services: services, Routes: []catalog.Route{
		{Name: "urgent", Target: 800 * time.Millisecond, Backends: []catalog.Backend{{Service: "review", Weight: 1}}, Homes: []string{"lagos", "kano"}},
		{Name: "other", Target: 4 * time.Second, Priority: 1, Backends: []catalog.Backend{{Service: "review", Weight: 1}}},
	}}
	g := env.gateways[0]
	g.ApplyState(ledger.State{Index: 2, Catalog: c}, catalog.NewTable(c))
	demand := []rollup.RouteDemand{{Route: dispatch.ClassID(c.Routes[0], "review", 0), Requests: 100}}
	report := func(demand []rollup.RouteDemand) {
		for _, out := range env.gateways[1].Outgoing() {
			out.Message.Report.Demand = demand
			env.deliver(out)
		}
	}
	admits := func() bool {
		ticket, err := g.Acquire(rankedRequest(notYielding, 1, 4*time.Second))
		if err != nil {
			return false
		}
		ticket.Done(dispatch.Abandoned)
		return true
	}
	env.propagateReports()
	report(demand)
	env.tick()
	fillQueue(g, 1, 4*time.Second)
	must.False(t, admits())
	env.advance(rollup.ReportTTL + time.Millisecond)
	env.advance(time.Second)
	must.True(t, admits(), must.Sprint("the reports have stopped"))

	for region, refused := range map[string]bool{"kano": true, "jos": false} {
		m := loadReport(region, 4, 40_000)
		m.Remote[0].Demand = demand
		g.Receive(m)
		placement := g.ChooseRegion(rankedRequest(notYielding, 1, 4*time.Second), false, []string{region})
		must.Eq(t, refused, placement.Refusal != nil, must.Sprint(region))
		env.advance(time.Second)
		g.Receive(loadReport(region, 4, 40_000))
		env.advance(200 * time.Millisecond)
		placement = g.ChooseRegion(rankedRequest(notYielding, 1, 4*time.Second), false, []string{region})
		must.NoError(t, placement.Refusal)
	}
}
