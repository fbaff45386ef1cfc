package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
)

// otherEngines are all engines of a service but one.
func (env *testEnv) otherEngines(service, engine string) []string {
	var out []string
	for _, e := range env.engines.All() {
		if e.Service == service && e.ID != engine {
			out = append(out, e.ID)
		}
	}
	return out
}

// announceBackoff has an engine refuse a gateway's request and ask for rest.
func (env *testEnv) announceBackoff(t *testing.T, gateway int, engine string, length time.Duration) {
	t.Helper()
	req := unsharedRequest("refused")
	req.Tried = env.otherEngines("review", engine)
	ticket := acquire(t, env.gateways[gateway], req)
	must.Eq(t, engine, ticket.Engine)
	ticket.HeardPushback(pushback.Rest{For: length})
	ticket.Done(dispatch.Shed)
}

// TestEngineBackingOffIsNoFallback has the others of a service fail: the one that asked for rest
// isn't taken instead, and callers are told to come back when the first is to be had.
func TestEngineBackingOffIsNoFallback(t *testing.T) {
	env := newTestEnv(1, 3)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.announceBackoff(t, 0, "i-1", 2*time.Second)
	for range 3 {
		req := unsharedRequest("r")
		req.Tried = env.otherEngines("review", "i-2")
		ticket, err := env.gateways[0].Acquire(req)
		must.NoError(t, err)
		ticket.Done(dispatch.Unreached)
		env.advance(100 * time.Millisecond)
	}
	ticket := acquire(t, env.gateways[0], unsharedRequest("last"))
	must.Eq(t, "i-2", ticket.Engine, must.Sprint("it fails, and is all that is left"))
	req := unsharedRequest("again")
	req.Tried = []string{"i-2"}
	_, err := env.gateways[0].Acquire(req)
	must.StrContains(t, requireNotRun(t, err).Message, "1 failing, 2 resting")
}

// TestRetryAfterWhenAllEnginesBackOff refuses at once, with the time until the first rest ends.
func TestRetryAfterWhenAllEnginesBackOff(t *testing.T) {
	env := newTestEnv(2, 2)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.advance(500 * time.Millisecond)
	env.announceBackoff(t, 0, "i-1", time.Second)
	_, err := env.gateways[0].Acquire(unsharedRequest("r"))
	rejection := requireNotRun(t, err)
	must.Eq(t, request.ReasonNoEngine, rejection.Reason)
	must.Eq(t, time.Second, rejection.RetryAfter)
	must.Eq(t, time.Second, env.gateways[0].Opens("review"))
	acquire(t, env.gateways[1], unsharedRequest("r")) // it was asked for nothing
	must.Eq(t, 0, reportedEngines(t, env.gateways[0], "review"), must.Sprint("none of them is capacity that others may use"))
	env.advance(time.Second)
	must.Eq(t, "i-1", acquire(t, env.gateways[0], unsharedRequest("s")).Engine)
}

// TestOneTrialRequestAfterBackoff has ten requests wait for the end of the only engine's rest.
func TestOneTrialRequestAfterBackoff(t *testing.T) {
	env := newTestEnv(1, 1)
	env.announceBackoff(t, 0, "i-0", time.Second)
	env.advance(time.Second)
	first := acquire(t, env.gateways[0], unsharedRequest("first"))
	for i := range 9 {
		_, err := env.gateways[0].Acquire(unsharedRequest(fmt.Sprint(i)))
		must.StrContains(t, requireNotRun(t, err).Message, "1 trying")
	}
	first.HeardPushback(pushback.Rest{For: time.Second})
	first.Done(dispatch.Shed)
	env.advance(999 * time.Millisecond)
	_, err := env.gateways[0].Acquire(unsharedRequest("early"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 resting")
	env.advance(time.Millisecond)
	second := acquire(t, env.gateways[0], unsharedRequest("second"))
	second.Taken()
	acquire(t, env.gateways[0], unsharedRequest("third"))
}

// TestAnswerToEarlierRequestDoesNotEndBackoff has an engine answer a request well that it got before
// it asked for rest.
func TestAnswerToEarlierRequestDoesNotEndBackoff(t *testing.T) {
	env := newTestEnv(1, 1)
	before := acquire(t, env.gateways[0], unsharedRequest("before"))
	env.announceBackoff(t, 0, "i-0", time.Second)
	before.Taken()
	before.Begun(true)
	before.Done(dispatch.Answered)
	_, err := env.gateways[0].Acquire(unsharedRequest("r"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 resting")
}

// TestRestartedEngineHasNoPushback starts an engine again under its ID.
func TestRestartedEngineHasNoPushback(t *testing.T) {
	env := newTestEnv(1, 2)
	env.announceBackoff(t, 0, "i-0", time.Hour)
	env.announceDraining(t, 0, "i-1")
	_, err := env.gateways[0].Acquire(unsharedRequest("r"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 leaving, 1 resting")
	env.heartbeat(registry.Engine{ID: "i-0", Born: 5})
	env.heartbeat(registry.Engine{ID: "i-1", Born: 6})
	req := unsharedRequest("r")
	req.Tried = []string{"i-0"}
	must.Eq(t, "i-1", acquire(t, env.gateways[0], req).Engine)
	must.Eq(t, "i-0", acquire(t, env.gateways[0], dispatch.Ask{ID: "s", Route: req.Route, Service: req.Service, Tried: []string{"i-1"}}).Engine)
}

// reportedEngines gives how many engines of a service a gateway tells other regions of.
func reportedEngines(t *testing.T, g *dispatch.Dispatcher, service string) int {
	t.Helper()
	var digests []dispatch.Digest
	must.NoError(t, cbor.Unmarshal(g.RegionReport().Far[0].Body, &digests))
	for _, one := range digests {
		if one.Service == service {
			return one.Engines
		}
	}
	return 0
}

// announceDraining has an engine answer a gateway's request well and say that it leaves.
func (env *testEnv) announceDraining(t *testing.T, gateway int, engine string) {
	t.Helper()
	req := unsharedRequest("answered")
	req.Tried = env.otherEngines("review", engine)
	ticket := acquire(t, env.gateways[gateway], req)
	must.Eq(t, engine, ticket.Engine)
	ticket.HeardLeaving()
	ticket.Taken()
	ticket.Done(dispatch.Answered)
}

// TestDrainingEngineGetsNoRequestsFromAnyGateway has one of 40 gateways read that an engine leaves,
// while its heartbeats go on saying that it is ready: 0.4 s later all know, and for good.
func TestDrainingEngineGetsNoRequestsFromAnyGateway(t *testing.T) {
	env := newTestEnv(40, 2)
	env.announceDraining(t, 3, "i-0")
	env.propagateReports()
	env.heartbeat(registry.Engine{ID: "i-0", Phase: registry.Ready})
	env.advance(10 * time.Minute)
	for _, g := range env.gateways {
		req := unsharedRequest("r")
		req.Tried = []string{"i-1"}
		_, err := g.Acquire(req)
		must.StrContains(t, requireNotRun(t, err).Message, "1 leaving")
	}
}

// TestEngineIsCheckedAgainAfterConnectionWait has an engine ask for rest, leave, and say that it
// drains, while another request waits for a connection to it.
func TestEngineIsCheckedAgainAfterConnectionWait(t *testing.T) {
	cases := map[string]func(t *testing.T, env *testEnv){
		"resting":  func(t *testing.T, env *testEnv) { env.announceBackoff(t, 0, "i-0", time.Second) },
		"leaving":  func(t *testing.T, env *testEnv) { env.announceDraining(t, 0, "i-0") },
		"draining": func(_ *testing.T, env *testEnv) { env.heartbeat(registry.Engine{ID: "i-0", Phase: registry.Draining}) },
	}
	for why, happens := range cases {
		t.Run(why, func(t *testing.T) {
			env := newTestEnv(1, 1)
			waits := acquire(t, env.gateways[0], unsharedRequest("waits"))
			must.NoError(t, waits.Wanted())
			happens(t, env)
			must.Eq(t, error(&dispatch.Unwanted{Engine: "i-0", Why: why}), waits.Wanted())
			waits.Done(dispatch.Unsent)
		})
	}
}

// TestEngineStatusesShowExclusions has one engine rest, one leave and one serve.
func TestEngineStatusesShowExclusions(t *testing.T) {
	env := newTestEnv(1, 3)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.announceDraining(t, 0, "i-1")
	env.advance(time.Second)
	acquire(t, env.gateways[0], unsharedRequest("kept away from both"))
	shown := make(map[string]dispatch.EngineStatus)
	for _, s := range env.gateways[0].EngineStatuses() {
		shown[s.Engine] = s
	}
	must.Eq(t, dispatch.EngineStatus{
		Engine: "i-0", Service: "review", Why: "resting", For: time.Second, Ends: 2 * time.Second, Counts: pushback.Counts{Asked: 1, KeptAway: 1},
	}, shown["i-0"])
	must.Eq(t, "leaving", shown["i-1"].Why)
	must.Eq(t, pushback.Counts{KeptAway: 1}, shown["i-1"].Counts)
	must.Eq(t, "", shown["i-2"].Why)
	must.Eq(t, 1, shown["i-2"].Requests)
	must.MapLen(t, 4, shown)
}

// countRejections has each of a region's gateways send requests, in turn and for so long, to engines of
// which one refuses those gateways for which refuses is true and asks each for three seconds of rest.
// It gives how often it refused, and how often it served.
func (env *testEnv) countRejections(t *testing.T, length time.Duration, refuses func(gateway int) bool) (refused, served int) {
	t.Helper()
	env.propagateReports()
	began := env.now
	for i := 0; env.now.Sub(began) < length; i++ {
		env.now = env.now.Add(5 * time.Millisecond)
		if i%20 == 0 {
			env.tick()
			env.exchangeReports()
		}
		gateway := i % len(env.gateways)
		ticket := acquire(t, env.gateways[gateway], unsharedRequest(fmt.Sprint(i)))
		switch {
		case ticket.Engine != "i-0":
			ticket.Taken()
			ticket.Begun(true)
			ticket.Done(dispatch.Answered)
		case refuses(gateway):
			refused++
			ticket.HeardPushback(pushback.Rest{For: 3 * time.Second})
			ticket.Done(dispatch.Shed)
		default:
			served++
			ticket.Taken()
			ticket.Begun(true)
			ticket.Done(dispatch.Answered)
		}
	}
	return refused, served
}

// TestBackoffReportsReduceRejections has an engine refuse all of 40 gateways: each would be refused
// once a rest if none heard of it from the others. One that refuses a single gateway goes on
// serving the rest as before.
func TestBackoffReportsReduceRejections(t *testing.T) {
	refused, _ := newTestEnv(40, 5).countRejections(t, 3*time.Second, func(int) bool { return true })
	must.LessEq(t, 20, refused, must.Sprint("half of what each would be refused"))
	refused, served := newTestEnv(40, 5).countRejections(t, 9*time.Second, func(gateway int) bool { return gateway == 3 })
	must.LessEq(t, 4, refused)
	must.GreaterEq(t, 300, served, must.Sprint("of 1,800 requests before five engines"))
}

// TestEngineWithPeerBackoffIsFallback has the only engine refuse two of twelve
// gateways.
func TestEngineWithPeerBackoffIsFallback(t *testing.T) {
	env := newTestEnv(12, 1)
	env.advance(time.Minute)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.announceBackoff(t, 1, "i-0", 3*time.Second)
	env.propagateReports()
	must.Eq(t, "rests for others", env.gateways[5].EngineStatuses()[0].Why)
	acquire(t, env.gateways[5], unsharedRequest("r"))
	_, err := env.gateways[0].Acquire(unsharedRequest("s"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 resting")
}

// TestColdFallbackStaysWithinColdRate has the only engine, which is cold and bears two
// requests a second, refuse what it gets. It got every request that came while it counted as
// failing, as the last resort: that reason was found before the cold.
func TestColdFallbackStaysWithinColdRate(t *testing.T) {
	env := newTestEnv(1, 1)
	env.heartbeat(registry.Engine{ID: "i-0", ColdUntil: env.now.Add(time.Minute)})
	got := 0
	for i := range 20 {
		env.advance(50 * time.Millisecond)
		if ticket, err := env.gateways[0].Acquire(unsharedRequest(fmt.Sprint(i))); err == nil {
			got++
			ticket.Done(dispatch.Shed)
		}
	}
	must.LessEq(t, 3, got, must.Sprint("in a second"))
	must.Positive(t, got)
}
