package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
)

// name has an engine's answer to a gateway's next request name a limit. The others are tried
// already.
func (w *world) name(t *testing.T, gateway int, engine string, word ratelimit.Signal) {
	t.Helper()
	ask := plain("named")
	for _, e := range w.engines.All() {
		if e.ID != engine {
			ask.Tried = append(ask.Tried, e.ID)
		}
	}
	ticket := acquire(t, w.gateways[gateway], ask)
	must.Eq(t, engine, ticket.Engine)
	w.now = w.now.Add(10 * time.Millisecond)
	ticket.ApplyLimit(word)
	ticket.Done(dispatch.Answered)
}

// knowing counts the gateways that know of any limit, and adds their shares up.
func (w *world) knowing() (gateways int, share float64) {
	for _, g := range w.gateways {
		for _, l := range g.LimitStatuses() {
			gateways++
			share += l.Share
		}
	}
	return gateways, share
}

// TestLimitsAreKnownAmongManyGateways has one of 100 gateways read an engine's limit, and later
// that it is lifted: 0.4 s later all know, and what they share out is the limit.
func TestLimitsAreKnownAmongManyGateways(t *testing.T) {
	w := newWorld(100, 3)
	w.name(t, 7, "i-1", ratelimit.Limited{PerSecond: 12.5})
	w.tellAll()
	gateways, share := w.knowing()
	must.Eq(t, 100, gateways)
	must.InDelta(t, 12.5, share, 0.001)
	sharing := 0
	for i, g := range w.gateways {
		for _, l := range g.LimitStatuses() {
			if l.Share > 0 {
				sharing = i
			}
		}
	}
	w.pass(2 * time.Second)
	w.name(t, sharing, "i-1", ratelimit.Unlimited{})
	w.tellAll()
	gateways, _ = w.knowing()
	must.Eq(t, 0, gateways)
}

// TestWhatALimitLeavesOverGoesElsewhereAtOnce has one engine of three, and then all, name that
// they take one request a second, before one gateway.
func TestWhatALimitLeavesOverGoesElsewhereAtOnce(t *testing.T) {
	w := newWorld(1, 3)
	w.name(t, 0, "i-1", ratelimit.Limited{PerSecond: 1})
	counts := make(map[string]int)
	for i := range 100 {
		w.pass(100 * time.Millisecond)
		ticket := acquire(t, w.gateways[0], plain(fmt.Sprint("r", i)))
		counts[ticket.Engine]++
		ticket.Done(dispatch.Answered)
	}
	must.Between(t, 8, counts["i-1"], 11, must.Sprint("in ten seconds"))

	for _, e := range []string{"i-0", "i-2"} {
		w.name(t, 0, e, ratelimit.Limited{PerSecond: 0.1})
	}
	w.pass(0)
	refused := 0
	for i := range 100 {
		w.pass(100 * time.Millisecond)
		ticket, err := w.gateways[0].Acquire(plain(fmt.Sprint("s", i)))
		if err == nil {
			ticket.Done(dispatch.Answered)
			continue
		}
		refused++
		refusal := notRun(t, err)
		must.Eq(t, request.ReasonNoEngine, refusal.Reason)
		must.StrContains(t, refusal.Message, "3 limited")
		must.Between(t, 400*time.Millisecond, refusal.RetryAfter, time.Second)
	}
	must.Between(t, 80, refused, 88, must.Sprint("of 100 in ten seconds; 1.5 a second are served"))
}

// TestAnotherLifeOfAnEngineHasNamedNothing starts an engine again under its ID.
func TestAnotherLifeOfAnEngineHasNamedNothing(t *testing.T) {
	w := newWorld(2, 1)
	w.name(t, 0, "i-0", ratelimit.Limited{})
	w.tellAll()
	gateways, _ := w.knowing()
	must.Eq(t, 2, gateways)
	w.beat(registry.Engine{ID: "i-0", Born: 5})
	gateways, _ = w.knowing()
	must.Eq(t, 0, gateways)
	acquire(t, w.gateways[0], plain("r"))
}

// TestAGatewayThatStopsLeavesItsShare has a gateway of three stop: two seconds later the others
// have all of a limit, and meanwhile nobody has more than that.
func TestAGatewayThatStopsLeavesItsShare(t *testing.T) {
	w := newWorld(3, 2)
	w.name(t, 0, "i-1", ratelimit.Limited{PerSecond: 9})
	w.tellAll()
	w.hosts[2] = roster.Host{Name: "g2", Role: roster.RoleGateway, Region: "lagos", Peer: w.hosts[2].Peer, Stopping: true}
	for range 30 {
		w.pass(100 * time.Millisecond)
		_, share := w.knowing()
		must.LessEq(t, 9.001, share)
	}
	_, share := w.knowing()
	must.InDelta(t, 9, share, 0.001)
	for _, l := range w.gateways[2].LimitStatuses() {
		must.Eq(t, 0, l.Share)
	}
}
