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
		g.Tick()
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

// TestUrgencyHoldsAtAllGateways reports demand of the urgent kind to a gateway that has no such
// callers itself. Room is kept until the reports stop, for its own callers as for requests that
// are handed over to it, and not in a region where the urgent kind may not run.
func TestUrgencyHoldsAtAllGateways(t *testing.T) {
	fill := func(kept bool, homes ...string) (admitted int) {
		env := newTestEnv(2, 1)
		c := catalog.Catalog{Version: 1, Services: services, Routes: []catalog.Route{
			{Name: "urgent", Target: 800 * time.Millisecond, Backends: []catalog.Backend{{Service: "review", Weight: 1}}, Homes: homes},
			{Name: "other", Target: 4 * time.Second, Priority: 1, Backends: []catalog.Backend{{Service: "review", Weight: 1}}},
		}}
		g := env.gateways[0]
		g.ApplyState(ledger.State{Index: 2, Catalog: c}, catalog.NewTable(c))
		env.propagateReports()
		for _, out := range env.gateways[1].Outgoing() {
			out.Message.Report.Demand = []rollup.RouteDemand{{Route: dispatch.ClassID(c.Routes[0], "review", 0), Requests: 100}}
			env.deliver(out)
		}
		env.tick()
		admitted = fillQueue(g, 1, 4*time.Second)
		_, err := g.Acquire(rankedRequest(notYielding, 1, 4*time.Second))
		requireNotRun(t, err)
		env.advance(rollup.ReportTTL + time.Millisecond)
		env.advance(time.Second)
		more := fillQueue(g, 1, 4*time.Second)
		must.Eq(t, kept, more > 0, must.Sprint("the reports have stopped"))
		return admitted
	}
	unkept := fill(false, "kano")
	must.Less(t, unkept, fill(true, "lagos", "kano"))
	must.Less(t, unkept, fill(true))
}
