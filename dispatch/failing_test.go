package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
)

func TestAnEngineThatCantBeReachedIsTheLastResort(t *testing.T) {
	w := newWorld(1, 2)
	g := w.gateways[0]
	failed := acquire(t, g, long("r0", "p"))
	failed.Done(dispatch.Unreached)
	for i := range 5 {
		ticket := acquire(t, g, long(fmt.Sprint(i), "p"))
		must.NotEq(t, failed.Engine, ticket.Engine)
		ticket.Done(dispatch.Answered)
	}
	other := acquire(t, g, long("r1", "p"))
	ask := long("r2", "p")
	ask.Tried = []string{other.Engine}
	must.Eq(t, failed.Engine, acquire(t, g, ask).Engine)
}

// TestGatewaysTellWhomTheyCantReach has one gateway fail to connect to an engine:
// the others avoid it for a moment, but not one that has just had an answer.
func TestGatewaysTellWhomTheyCantReach(t *testing.T) {
	w := newWorld(3, 2)
	var failed, answered *dispatch.Ticket
	for n := 0; failed == nil || answered == nil; n++ {
		if t := acquireAny(t, w.gateways[0], n); t.Engine == "i-0" {
			failed = t
		}
		if t := acquireAny(t, w.gateways[1], n); t.Engine == "i-0" {
			answered = t
		}
	}
	w.pass(10 * time.Second)
	failed.Done(dispatch.Unreached)
	answered.Done(dispatch.Answered)
	w.tell()
	used := func(g int) map[string]bool {
		out := make(map[string]bool)
		for n := range 20 {
			one := acquireAny(t, w.gateways[g], n)
			out[one.Engine] = true
			one.Done(dispatch.Abandoned)
		}
		return out
	}
	must.MapContainsKey(t, used(1), "i-0")
	must.MapNotContainsKey(t, used(2), "i-0")
	w.pass(time.Second)
	must.MapContainsKey(t, used(2), "i-0", must.Sprint("it is tried again soon"))
}

// TestGatewaysTellWhichEnginesWereReplaced has one gateway learn that another
// incarnation answers at an engine's address: none sends anything there any more, but
// one that has just had an answer from it.
func TestGatewaysTellWhichEnginesWereReplaced(t *testing.T) {
	w := newWorld(3, 2)
	tickets := make([]*dispatch.Ticket, 2)
	for n := 0; tickets[0] == nil || tickets[1] == nil; n++ {
		for g := range tickets {
			if one := acquireAny(t, w.gateways[g], n); one.Engine == "i-0" {
				tickets[g] = one
			}
		}
	}
	w.pass(10 * time.Second)
	tickets[0].Done(dispatch.Misdirected)
	tickets[1].Done(dispatch.Answered)
	w.tell()
	w.pass(5 * time.Second)
	for n := range 20 {
		must.Eq(t, "i-1", acquireAny(t, w.gateways[0], n).Engine)
		must.Eq(t, "i-1", acquireAny(t, w.gateways[2], n).Engine)
	}
	used := make(map[string]bool)
	for n := range 20 {
		used[acquireAny(t, w.gateways[1], n).Engine] = true
	}
	must.MapContainsKey(t, used, "i-0")
}

// acquireAny gets a ticket for the nth of many requests without shared parts.
func acquireAny(t *testing.T, g *dispatch.Dispatcher, n int) *dispatch.Ticket {
	t.Helper()
	return acquire(t, g, dispatch.Request{ID: fmt.Sprint("any", n), Service: "review", Prompt: dispatch.Prompt{InputTokens: 10, OutputTokens: 10}})
}

// TestRequestsThatFailAnywhereStayHere lets one in seven requests of a route fail
// by itself before the only engine here: all of them, and those of other routes,
// stay in this region, but for chance.
func TestRequestsThatFailAnywhereStayHere(t *testing.T) {
	w := newWorld(1, 1)
	g := w.gateways[0]
	random := rand.New(rand.NewPCG(1, 2))
	away := 0
	for n := range 1000 {
		g.Receive(farWord("kano", dispatch.Digest{Service: "portal", Engines: 1, Slots: 6}))
		ask := dispatch.Request{ID: fmt.Sprint(n), Route: "fetch", Service: "portal"}
		if n%2 == 0 {
			ask.Route = "lookup"
		}
		if g.ChooseRegion(ask, true, []string{"kano"}).Region != "lagos" {
			away++
		}
		ticket := acquire(t, g, ask)
		outcome := dispatch.Answered
		if ask.Route == "fetch" && random.IntN(7) == 0 {
			outcome = dispatch.Failed
		}
		ticket.Done(outcome)
		w.pass(100 * time.Millisecond)
	}
	must.Less(t, 50, away)
}

// TestAnEngineThatFailsMoreThanOthersIsLeft lets one of two engines fail half of its
// requests, after a time in which both were well.
func TestAnEngineThatFailsMoreThanOthersIsLeft(t *testing.T) {
	w := newWorld(1, 2)
	g := w.gateways[0]
	random := rand.New(rand.NewPCG(1, 2))
	ill := 0
	for n := range 400 {
		ticket := acquireAny(t, g, n)
		outcome := dispatch.Answered
		if ticket.Engine == "i-0" && n >= 200 {
			ill++
			if random.IntN(2) == 0 {
				outcome = dispatch.Failed
			}
		}
		ticket.Done(outcome)
		w.pass(50 * time.Millisecond)
	}
	must.Less(t, 30, ill, must.Sprint("of 200 requests"))
}
