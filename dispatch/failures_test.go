package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
)

func TestUnreachableEngineIsFallback(t *testing.T) {
	env := newTestEnv(1, 2)
	g := env.gateways[0]
	failed := acquire(t, g, longRequest("r0", "p"))
	failed.Done(dispatch.Unreached)
	for i := range 5 {
		ticket := acquire(t, g, longRequest(fmt.Sprint(i), "p"))
		must.NotEq(t, failed.Engine, ticket.Engine)
		ticket.Done(dispatch.Answered)
	}
	other := acquire(t, g, longRequest("r1", "p"))
	req := longRequest("r2", "p")
	req.Tried = []string{other.Engine}
	must.Eq(t, failed.Engine, acquire(t, g, req).Engine)
}

// TestGatewaysReportUnreachableEngines has one gateway fail to connect to an engine. The
// others must exclude the engine for a moment, except one that has just received an
// answer from it.
func TestGatewaysReportUnreachableEngines(t *testing.T) {
	env := newTestEnv(3, 2)
	var failed, served *dispatch.Ticket
	for n := 0; failed == nil || served == nil; n++ {
		if t := acquireNth(t, env.gateways[0], n); t.Engine == "i-0" {
			failed = t
		}
		if t := acquireNth(t, env.gateways[1], n); t.Engine == "i-0" {
			served = t
		}
	}
	env.advance(10 * time.Second)
	failed.Done(dispatch.Unreached)
	served.Done(dispatch.Answered)
	env.exchangeReports()
	enginesUsedBy := func(g int) map[string]bool {
		out := make(map[string]bool)
		for n := range 20 {
			ticket := acquireNth(t, env.gateways[g], n)
			out[ticket.Engine] = true
			ticket.Done(dispatch.Abandoned)
		}
		return out
	}
	must.MapContainsKey(t, enginesUsedBy(1), "i-0")
	must.MapNotContainsKey(t, enginesUsedBy(2), "i-0")
	env.advance(time.Second)
	must.MapContainsKey(t, enginesUsedBy(2), "i-0", must.Sprint("the engine is tried again soon"))
}

// TestGatewaysReportReplacedEngines has one gateway find that another incarnation answers
// at an engine's address. No gateway may send requests there any more, except one that
// has just received an answer from the engine.
func TestGatewaysReportReplacedEngines(t *testing.T) {
	env := newTestEnv(3, 2)
	tickets := make([]*dispatch.Ticket, 2)
	for n := 0; tickets[0] == nil || tickets[1] == nil; n++ {
		for g := range tickets {
			if ticket := acquireNth(t, env.gateways[g], n); ticket.Engine == "i-0" {
				tickets[g] = ticket
			}
		}
	}
	env.advance(10 * time.Second)
	tickets[0].Done(dispatch.Misdirected)
	tickets[1].Done(dispatch.Answered)
	env.exchangeReports()
	env.advance(5 * time.Second)
	for n := range 20 {
		must.Eq(t, "i-1", acquireNth(t, env.gateways[0], n).Engine)
		must.Eq(t, "i-1", acquireNth(t, env.gateways[2], n).Engine)
	}
	engines := make(map[string]bool)
	for n := range 20 {
		engines[acquireNth(t, env.gateways[1], n).Engine] = true
	}
	must.MapContainsKey(t, engines, "i-0")
}

// acquireNth acquires a ticket for the nth of several short requests without shared
// blocks.
func acquireNth(t *testing.T, g *dispatch.Dispatcher, n int) *dispatch.Ticket {
	t.Helper()
	return acquire(t, g, dispatch.Request{ID: fmt.Sprint("any", n), Service: "review", Prompt: dispatch.Prompt{InputTokens: 10, OutputTokens: 10}})
}

// TestRequestsThatFailAtAnyEngineStayInRegion has one in seven requests of a route fail,
// as they would at any engine. Such failures must not count against the region's only
// engine: apart from chance, neither this route's requests nor others may go to another
// region.
func TestRequestsThatFailAtAnyEngineStayInRegion(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	random := rand.New(rand.NewPCG(1, 2))
	remote := 0
	for n := range 1000 {
		g.Receive(digestReport("kano", dispatch.Digest{Service: "portal", Engines: 1, Slots: 6}))
		req := dispatch.Request{ID: fmt.Sprint(n), Route: "fetch", Service: "portal"}
		if n%2 == 0 {
			req.Route = "lookup"
		}
		if g.ChooseRegion(req, true, []string{"kano"}).Region != "lagos" {
			remote++
		}
		ticket := acquire(t, g, req)
		outcome := dispatch.Answered
		if req.Route == "fetch" && random.IntN(7) == 0 {
			outcome = dispatch.Failed
		}
		ticket.Done(outcome)
		env.advance(100 * time.Millisecond)
	}
	must.Less(t, 50, remote)
}

// TestEngineWithHighFailureRateGetsFewRequests has one of two engines fail half of its
// requests after both were healthy for a while.
func TestEngineWithHighFailureRateGetsFewRequests(t *testing.T) {
	env := newTestEnv(1, 2)
	g := env.gateways[0]
	random := rand.New(rand.NewPCG(1, 2))
	sentAfter := 0
	for n := range 400 {
		ticket := acquireNth(t, g, n)
		outcome := dispatch.Answered
		if ticket.Engine == "i-0" && n >= 200 {
			sentAfter++
			if random.IntN(2) == 0 {
				outcome = dispatch.Failed
			}
		}
		ticket.Done(outcome)
		env.advance(50 * time.Millisecond)
	}
	must.Less(t, 30, sentAfter, must.Sprint("of the 200 requests after i-0 began to fail"))
}
