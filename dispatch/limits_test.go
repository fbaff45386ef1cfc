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

// announceLimit has an engine announce a rate limit in its answer to a gateway's request.
// The request counts as already sent to all other engines.
func (env *testEnv) announceLimit(t *testing.T, gateway int, engine string, signal ratelimit.Signal) {
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
	ticket.ApplyLimit(signal)
	ticket.Done(dispatch.Answered)
}

// countLimits returns the number of known limits over all gateways, and the sum of the
// gateways' shares.
func (env *testEnv) countLimits() (known int, share float64) {
	for _, g := range env.gateways {
		for _, l := range g.LimitStatuses() {
			known++
			share += l.Share
		}
	}
	return known, share
}

// TestLimitsReachManyGateways has one of 100 gateways receive an engine's rate limit, and
// later that the limit is lifted. Within 0.4 s all must know, and their shares must add
// up to the limit.
func TestLimitsReachManyGateways(t *testing.T) {
	env := newTestEnv(100, 3)
	env.announceLimit(t, 7, "i-1", ratelimit.Limited{PerSecond: 12.5})
	env.propagateReports()
	gateways, share := env.countLimits()
	must.Eq(t, 100, gateways)
	must.InDelta(t, 12.5, share, 0.001)
	sharer := 0
	for i, g := range env.gateways {
		for _, l := range g.LimitStatuses() {
			if l.Share > 0 {
				sharer = i
			}
		}
	}
	env.advance(2 * time.Second)
	env.announceLimit(t, sharer, "i-1", ratelimit.Unlimited{})
	env.propagateReports()
	gateways, _ = env.countLimits()
	must.Eq(t, 0, gateways)
}

// TestRequestsOverLimitGoElsewhere has one of three engines announce a limit of one
// request per second: the rest must go to the others. Then all three have limits: the
// rest must be rejected at once.
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
	must.Between(t, 8, counts["i-1"], 11, must.Sprint("requests in ten seconds"))

	for _, e := range []string{"i-0", "i-2"} {
		env.announceLimit(t, 0, e, ratelimit.Limited{PerSecond: 0.1})
	}
	env.advance(0)
	rejected := 0
	for i := range 100 {
		env.advance(100 * time.Millisecond)
		ticket, err := env.gateways[0].Acquire(unsharedRequest(fmt.Sprint("s", i)))
		if err == nil {
			ticket.Done(dispatch.Answered)
			continue
		}
		rejected++
		rejection := requireNotRun(t, err)
		must.Eq(t, request.ReasonNoEngine, rejection.Reason)
		must.StrContains(t, rejection.Message, "3 limited")
		must.Between(t, 400*time.Millisecond, rejection.RetryAfter, time.Second)
	}
	must.Between(t, 80, rejected, 88, must.Sprint("of 100 requests in ten seconds; about 1.5 per second are served"))
}

// TestRestartedEngineHasNoLimit restarts an engine under its ID. The limit of its earlier
// incarnation must not apply any more.
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

// TestStoppingGatewayReleasesItsShare stops one of three gateways. Two seconds later the
// others must share the whole limit, and meanwhile the shares may not exceed it.
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
	for _, l := range env.gateways[2].LimitStatuses() {
		must.Eq(t, 0, l.Share)
	}
}
