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

// announceLimit has an engine's answer to a gateway's next request name a limit. The others are tried
// already.
func (env *testEnv) announceLimit(t *testing.T, gateway int, engine string, word ratelimit.Word) {
	t.Helper()
	req := unsharedRequest("named")
	for _, e := range env.engines.All() {
		if e.ID != engine {
			req.Tried = append(req.Tried, e.ID)
		}
	}
	ticket := acquire(t, env.gateways[gateway], req)
	must.Eq(t, engine, ticket.Engine)
	env.now = env.now.Add(10 * time.Millisecond)
	ticket.HeardLimit(word)
	ticket.Done(dispatch.Answered)
}

// countLimits counts the gateways that know of any limit, and adds their shares up.
func (env *testEnv) countLimits() (gateways int, share float64) {
	for _, g := range env.gateways {
		for _, l := range g.Limits() {
			gateways++
			share += l.Share
		}
	}
	return gateways, share
}

// TestLimitsReachManyGateways has one of 100 gateways read an engine's limit, and later
// that it is lifted: 0.4 s later all know, and what they share out is the limit.
func TestLimitsReachManyGateways(t *testing.T) {
	env := newTestEnv(100, 3)
	env.announceLimit(t, 7, "i-1", ratelimit.Limited{PerSecond: 12.5})
	env.propagateReports()
	gateways, share := env.countLimits()
	must.Eq(t, 100, gateways)
	must.InDelta(t, 12.5, share, 0.001)
	sharing := 0
	for i, g := range env.gateways {
		for _, l := range g.Limits() {
			if l.Share > 0 {
				sharing = i
			}
		}
	}
	env.advance(2 * time.Second)
	env.announceLimit(t, sharing, "i-1", ratelimit.Unlimited{})
	env.propagateReports()
	gateways, _ = env.countLimits()
	must.Eq(t, 0, gateways)
}

// TestRequestsOverLimitGoElsewhere has one engine of three, and then all, name that
// they take one request a second, before one gateway.
func TestRequestsOverLimitGoElsewhere(t *testing.T) {
	env := newTestEnv(1, 3)
	env.announceLimit(t, 0, "i-1", ratelimit.Limited{PerSecond: 1})
	counts := make(map[string]int)
	for i := range 100 {
		env.advance(100 * time.Millisecond)
		ticket := acquire(t, env.gateways[0], unsharedRequest(fmt.Sprint("r", i)))
		counts[ticket.Engine]++
		ticket.Done(dispatch.Answered)
	}
	must.Between(t, 8, counts["i-1"], 11, must.Sprint("in ten seconds"))

	for _, e := range []string{"i-0", "i-2"} {
		env.announceLimit(t, 0, e, ratelimit.Limited{PerSecond: 0.1})
	}
	env.advance(0)
	refused := 0
	for i := range 100 {
		env.advance(100 * time.Millisecond)
		ticket, err := env.gateways[0].Acquire(unsharedRequest(fmt.Sprint("s", i)))
		if err == nil {
			ticket.Done(dispatch.Answered)
			continue
		}
		refused++
		rejection := requireNotRun(t, err)
		must.Eq(t, request.ReasonNoEngine, rejection.Reason)
		must.StrContains(t, rejection.Message, "3 limited")
		must.Between(t, 400*time.Millisecond, rejection.RetryAfter, time.Second)
	}
	must.Between(t, 80, refused, 88, must.Sprint("of 100 in ten seconds; 1.5 a second are served"))
}

// TestRestartedEngineHasNoLimit starts an engine again under its ID.
func TestRestartedEngineHasNoLimit(t *testing.T) {
	env := newTestEnv(2, 1)
	env.announceLimit(t, 0, "i-0", ratelimit.Limited{})
	env.propagateReports()
	gateways, _ := env.countLimits()
	must.Eq(t, 2, gateways)
	env.heartbeat(registry.Engine{ID: "i-0", Born: 5})
	gateways, _ = env.countLimits()
	must.Eq(t, 0, gateways)
	acquire(t, env.gateways[0], unsharedRequest("r"))
}

// TestStoppingGatewayReleasesItsShare has a gateway of three stop: two seconds later the others
// have all of a limit, and meanwhile nobody has more than that.
func TestStoppingGatewayReleasesItsShare(t *testing.T) {
	env := newTestEnv(3, 2)
	env.announceLimit(t, 0, "i-1", ratelimit.Limited{PerSecond: 9})
	env.propagateReports()
	env.hosts[2] = roster.Host{Name: "g2", Role: roster.RoleGateway, Region: "lagos", Peer: env.hosts[2].Peer, Stopping: true}
	for range 30 {
		env.advance(100 * time.Millisecond)
		_, share := env.countLimits()
		must.LessEq(t, 9.001, share)
	}
	_, share := env.countLimits()
	must.InDelta(t, 9, share, 0.001)
	for _, l := range env.gateways[2].Limits() {
		must.Eq(t, 0, l.Share)
	}
}
