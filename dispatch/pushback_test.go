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

// otherEngines returns the IDs of a service's engines except one.
func (env *testEnv) otherEngines(service, engine string) []string {
	var out []string
	for _, e := range env.engines.All() {
		if e.Service == service && e.ID != engine {
			out = append(out, e.ID)
		}
	}
	return out
}

// announceBackoff has an engine reject a gateway's request and ask for backoff.
func (env *testEnv) announceBackoff(t *testing.T, gateway int, engine string, duration time.Duration) {
	t.Helper()
	req := unsharedRequest("refused")
	req.Tried = env.otherEngines("review", engine)
	ticket := acquire(t, env.gateways[gateway], req)
	must.Eq(t, engine, ticket.Engine)
	ticket.ApplyPushback(pushback.Backoff{Duration: duration})
	ticket.Done(dispatch.Shed)
}

// TestEngineBackingOffIsNoFallback has an engine fail while the others back off. The
// failing one must be chosen as the fallback rather than one that asked for backoff.
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
	must.Eq(t, "i-2", ticket.Engine, must.Sprint("it fails, but no other engine can be used"))
	req := unsharedRequest("again")
	req.Tried = []string{"i-2"}
	_, err := env.gateways[0].Acquire(req)
	must.StrContains(t, requireNotRun(t, err).Message, "1 failing, 2 resting")
}

// TestRetryAfterWhenAllEnginesBackOff checks that a request is rejected at once if all
// engines back off, with the time until the first backoff ends.
func TestRetryAfterWhenAllEnginesBackOff(t *testing.T) {
	env := newTestEnv(2, 2)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.advance(500 * time.Millisecond)
	env.announceBackoff(t, 0, "i-1", time.Second)
	_, err := env.gateways[0].Acquire(unsharedRequest("r"))
	rejection := requireNotRun(t, err)
	must.Eq(t, request.ReasonNoEngine, rejection.Reason)
	must.Eq(t, time.Second, rejection.RetryAfter)
	must.Eq(t, time.Second, env.gateways[0].AvailableIn("review"))
	acquire(t, env.gateways[1], unsharedRequest("r")) // the engines haven't asked this gateway for backoff
	must.Eq(t, 0, reportedEngines(t, env.gateways[0], "review"), must.Sprint("engines that back off are no capacity for other regions"))
	env.advance(time.Second)
	must.Eq(t, "i-1", acquire(t, env.gateways[0], unsharedRequest("s")).Engine)
}

// TestOneTrialRequestAfterBackoff has ten requests wait for the end of the only engine's
// backoff. Only one may be sent until the engine has accepted it.
func TestOneTrialRequestAfterBackoff(t *testing.T) {
	env := newTestEnv(1, 1)
	env.announceBackoff(t, 0, "i-0", time.Second)
	env.advance(time.Second)
	trial := acquire(t, env.gateways[0], unsharedRequest("first"))
	for i := range 9 {
		_, err := env.gateways[0].Acquire(unsharedRequest(fmt.Sprint(i)))
		must.StrContains(t, requireNotRun(t, err).Message, "1 trying")
	}
	trial.ApplyPushback(pushback.Backoff{Duration: time.Second})
	trial.Done(dispatch.Shed)
	env.advance(999 * time.Millisecond)
	_, err := env.gateways[0].Acquire(unsharedRequest("early"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 resting")
	env.advance(time.Millisecond)
	second := acquire(t, env.gateways[0], unsharedRequest("second"))
	second.RecordAccepted()
	acquire(t, env.gateways[0], unsharedRequest("third"))
}

// TestAnswerToEarlierRequestDoesNotEndBackoff has an engine answer a request that it got
// before it asked for backoff. That answer doesn't show that the engine accepts new
// requests.
func TestAnswerToEarlierRequestDoesNotEndBackoff(t *testing.T) {
	env := newTestEnv(1, 1)
	earlier := acquire(t, env.gateways[0], unsharedRequest("before"))
	env.announceBackoff(t, 0, "i-0", time.Second)
	earlier.RecordAccepted()
	earlier.RecordFirstByte(true)
	earlier.Done(dispatch.Answered)
	_, err := env.gateways[0].Acquire(unsharedRequest("r"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 resting")
}

// TestRestartedEngineHasNoPushback restarts engines under their IDs. The backoff and
// draining of their earlier incarnations must not apply any more.
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
	must.Eq(t, "i-0", acquire(t, env.gateways[0], dispatch.Request{ID: "s", Route: req.Route, Service: req.Service, Tried: []string{"i-1"}}).Engine)
}

// reportedEngines returns the number of a service's engines in a gateway's report to
// other regions.
func reportedEngines(t *testing.T, g *dispatch.Dispatcher, service string) int {
	t.Helper()
	var digests []dispatch.Digest
	must.NoError(t, cbor.Unmarshal(g.RegionReport().Remote[0].Digests, &digests))
	for _, digest := range digests {
		if digest.Service == service {
			return digest.Engines
		}
	}
	return 0
}

// announceDraining has an engine answer a gateway's request and announce in the answer
// that it is draining.
func (env *testEnv) announceDraining(t *testing.T, gateway int, engine string) {
	t.Helper()
	req := unsharedRequest("answered")
	req.Tried = env.otherEngines("review", engine)
	ticket := acquire(t, env.gateways[gateway], req)
	must.Eq(t, engine, ticket.Engine)
	ticket.ApplyDraining()
	ticket.RecordAccepted()
	ticket.Done(dispatch.Answered)
}

// TestDrainingEngineGetsNoRequestsFromAnyGateway has an engine announce draining in an
// answer to one of 40 gateways, while its heartbeats still report it ready. Within 0.4 s
// all gateways must exclude it, permanently.
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

// TestEngineIsCheckedAgainAfterConnectionWait excludes an engine while a request waits
// for a connection to it: the request must not be sent there any more.
func TestEngineIsCheckedAgainAfterConnectionWait(t *testing.T) {
	cases := map[string]func(t *testing.T, env *testEnv){
		"resting":  func(t *testing.T, env *testEnv) { env.announceBackoff(t, 0, "i-0", time.Second) },
		"leaving":  func(t *testing.T, env *testEnv) { env.announceDraining(t, 0, "i-0") },
		"draining": func(_ *testing.T, env *testEnv) { env.heartbeat(registry.Engine{ID: "i-0", Phase: registry.Draining}) },
	}
	for exclusion, exclude := range cases {
		t.Run(exclusion, func(t *testing.T) {
			env := newTestEnv(1, 1)
			ticket := acquire(t, env.gateways[0], unsharedRequest("waits"))
			must.NoError(t, ticket.CheckUsable())
			exclude(t, env)
			must.Eq(t, error(&dispatch.EngineUnusable{Engine: "i-0", Reason: exclusion}), ticket.CheckUsable())
			ticket.Done(dispatch.Unsent)
		})
	}
}

// TestEngineStatusesShowExclusions checks the status of three engines: one backing off,
// one draining and one serving.
func TestEngineStatusesShowExclusions(t *testing.T) {
	env := newTestEnv(1, 3)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.announceDraining(t, 0, "i-1")
	env.advance(time.Second)
	acquire(t, env.gateways[0], unsharedRequest("kept away from both"))
	statuses := make(map[string]dispatch.EngineStatus)
	for _, s := range env.gateways[0].EngineStatuses() {
		statuses[s.Engine] = s
	}
	must.Eq(t, dispatch.EngineStatus{
		Engine: "i-0", Service: "review", Exclusion: "resting", ExcludedFor: time.Second, ExclusionEndsIn: 2 * time.Second, Speed: 1, Counts: pushback.Counts{Backoffs: 1, Excluded: 1},
	}, statuses["i-0"])
	must.Eq(t, "leaving", statuses["i-1"].Exclusion)
	must.Eq(t, pushback.Counts{Excluded: 1}, statuses["i-1"].Counts)
	must.Eq(t, "", statuses["i-2"].Exclusion)
	must.Eq(t, 1, statuses["i-2"].Requests)
	must.MapLen(t, 4, statuses)
}

// countRejections has each gateway in turn send requests for the given duration. Engine
// i-0 rejects the requests of the gateways for which rejects is true, and asks each for
// three seconds of backoff. It returns how many requests i-0 rejected and served.
func (env *testEnv) countRejections(t *testing.T, duration time.Duration, rejects func(gateway int) bool) (rejected, served int) {
	t.Helper()
	env.propagateReports()
	began := env.now
	for i := 0; env.now.Sub(began) < duration; i++ {
		env.now = env.now.Add(5 * time.Millisecond)
		if i%20 == 0 {
			env.tick()
			env.exchangeReports()
		}
		gateway := i % len(env.gateways)
		ticket := acquire(t, env.gateways[gateway], unsharedRequest(fmt.Sprint(i)))
		switch {
		case ticket.Engine != "i-0":
			ticket.RecordAccepted()
			ticket.RecordFirstByte(true)
			ticket.Done(dispatch.Answered)
		case rejects(gateway):
			rejected++
			ticket.ApplyPushback(pushback.Backoff{Duration: 3 * time.Second})
			ticket.Done(dispatch.Shed)
		default:
			served++
			ticket.RecordAccepted()
			ticket.RecordFirstByte(true)
			ticket.Done(dispatch.Answered)
		}
	}
	return rejected, served
}

// TestBackoffReportsReduceRejections has an engine reject the requests of all 40
// gateways. Without the others' reports, each gateway would be rejected once per backoff.
// An engine that rejects only one gateway must keep serving the others.
func TestBackoffReportsReduceRejections(t *testing.T) {
	rejected, _ := newTestEnv(40, 5).countRejections(t, 3*time.Second, func(int) bool { return true })
	must.LessEq(t, 20, rejected, must.Sprint("half of one rejection per gateway"))
	rejected, served := newTestEnv(40, 5).countRejections(t, 9*time.Second, func(gateway int) bool { return gateway == 3 })
	must.LessEq(t, 4, rejected)
	must.GreaterEq(t, 300, served, must.Sprint("of 1,800 requests to five engines"))
}

// TestEngineWithPeerBackoffIsFallback has the only engine ask two of twelve gateways for
// backoff. The others exclude it, but must still use it because there is no other.
func TestEngineWithPeerBackoffIsFallback(t *testing.T) {
	env := newTestEnv(12, 1)
	env.advance(time.Minute)
	env.announceBackoff(t, 0, "i-0", 3*time.Second)
	env.announceBackoff(t, 1, "i-0", 3*time.Second)
	env.propagateReports()
	must.Eq(t, "rests for others", env.gateways[5].EngineStatuses()[0].Exclusion)
	acquire(t, env.gateways[5], unsharedRequest("r"))
	_, err := env.gateways[0].Acquire(unsharedRequest("s"))
	must.StrContains(t, requireNotRun(t, err).Message, "1 resting")
}

// TestColdFallbackStaysWithinColdRate has the only engine, which is cold and accepts two
// requests per second, reject what it gets. If the exclusion after a failure is checked
// before the one of cold engines, the engine becomes the fallback and gets every request.
func TestColdFallbackStaysWithinColdRate(t *testing.T) {
	env := newTestEnv(1, 1)
	env.heartbeat(registry.Engine{ID: "i-0", ColdUntil: env.now.Add(time.Minute)})
	admitted := 0
	for i := range 20 {
		env.advance(50 * time.Millisecond)
		if ticket, err := env.gateways[0].Acquire(unsharedRequest(fmt.Sprint(i))); err == nil {
			admitted++
			ticket.Done(dispatch.Shed)
		}
	}
	must.LessEq(t, 3, admitted, must.Sprint("in one second"))
	must.Positive(t, admitted)
}
