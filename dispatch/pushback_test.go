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

// others are all engines of a service but one.
func (w *world) others(service, engine string) []string {
	var out []string
	for _, e := range w.engines.All() {
		if e.Service == service && e.ID != engine {
			out = append(out, e.ID)
		}
	}
	return out
}

// rest has an engine refuse a gateway's request and ask for rest.
func (w *world) rest(t *testing.T, gateway int, engine string, length time.Duration) {
	t.Helper()
	ask := plain("refused")
	ask.Tried = w.others("review", engine)
	ticket := acquire(t, w.gateways[gateway], ask)
	must.Eq(t, engine, ticket.Engine)
	ticket.ApplyPushback(pushback.Backoff{Duration: length})
	ticket.Done(dispatch.Shed)
}

// TestARestingEngineIsNoLastResort has the others of a service fail: the one that asked for rest
// isn't taken instead, and callers are told to come back when the first is to be had.
func TestARestingEngineIsNoLastResort(t *testing.T) {
	w := newWorld(1, 3)
	w.rest(t, 0, "i-0", 3*time.Second)
	w.rest(t, 0, "i-1", 2*time.Second)
	for range 3 {
		ask := plain("r")
		ask.Tried = w.others("review", "i-2")
		ticket, err := w.gateways[0].Acquire(ask)
		must.NoError(t, err)
		ticket.Done(dispatch.Unreached)
		w.pass(100 * time.Millisecond)
	}
	ticket := acquire(t, w.gateways[0], plain("last"))
	must.Eq(t, "i-2", ticket.Engine, must.Sprint("it fails, and is all that is left"))
	ask := plain("again")
	ask.Tried = []string{"i-2"}
	_, err := w.gateways[0].Acquire(ask)
	must.StrContains(t, notRun(t, err).Message, "1 failing, 2 resting")
}

// TestAllRest refuses at once, with the time until the first rest ends.
func TestAllRest(t *testing.T) {
	w := newWorld(2, 2)
	w.rest(t, 0, "i-0", 3*time.Second)
	w.pass(500 * time.Millisecond)
	w.rest(t, 0, "i-1", time.Second)
	_, err := w.gateways[0].Acquire(plain("r"))
	refusal := notRun(t, err)
	must.Eq(t, request.ReasonNoEngine, refusal.Reason)
	must.Eq(t, time.Second, refusal.RetryAfter)
	must.Eq(t, time.Second, w.gateways[0].AvailableIn("review"))
	acquire(t, w.gateways[1], plain("r")) // it was asked for nothing
	must.Eq(t, 0, enginesTold(t, w.gateways[0], "review"), must.Sprint("none of them is capacity that others may use"))
	w.pass(time.Second)
	must.Eq(t, "i-1", acquire(t, w.gateways[0], plain("s")).Engine)
}

// TestAfterARestOneRequestGoesFirst has ten requests wait for the end of the only engine's rest.
func TestAfterARestOneRequestGoesFirst(t *testing.T) {
	w := newWorld(1, 1)
	w.rest(t, 0, "i-0", time.Second)
	w.pass(time.Second)
	first := acquire(t, w.gateways[0], plain("first"))
	for i := range 9 {
		_, err := w.gateways[0].Acquire(plain(fmt.Sprint(i)))
		must.StrContains(t, notRun(t, err).Message, "1 trying")
	}
	first.ApplyPushback(pushback.Backoff{Duration: time.Second})
	first.Done(dispatch.Shed)
	w.pass(999 * time.Millisecond)
	_, err := w.gateways[0].Acquire(plain("early"))
	must.StrContains(t, notRun(t, err).Message, "1 resting")
	w.pass(time.Millisecond)
	second := acquire(t, w.gateways[0], plain("second"))
	second.Accepted()
	acquire(t, w.gateways[0], plain("third"))
}

// TestAnAnswerToAnEarlierRequestEndsNoRest has an engine answer a request well that it got before
// it asked for rest.
func TestAnAnswerToAnEarlierRequestEndsNoRest(t *testing.T) {
	w := newWorld(1, 1)
	before := acquire(t, w.gateways[0], plain("before"))
	w.rest(t, 0, "i-0", time.Second)
	before.Accepted()
	before.FirstByte(true)
	before.Done(dispatch.Answered)
	_, err := w.gateways[0].Acquire(plain("r"))
	must.StrContains(t, notRun(t, err).Message, "1 resting")
}

// TestAnotherLifeHasAskedForNothing starts an engine again under its ID.
func TestAnotherLifeHasAskedForNothing(t *testing.T) {
	w := newWorld(1, 2)
	w.rest(t, 0, "i-0", time.Hour)
	w.leave(t, 0, "i-1")
	_, err := w.gateways[0].Acquire(plain("r"))
	must.StrContains(t, notRun(t, err).Message, "1 leaving, 1 resting")
	w.beat(registry.Engine{ID: "i-0", Born: 5})
	w.beat(registry.Engine{ID: "i-1", Born: 6})
	ask := plain("r")
	ask.Tried = []string{"i-0"}
	must.Eq(t, "i-1", acquire(t, w.gateways[0], ask).Engine)
	must.Eq(t, "i-0", acquire(t, w.gateways[0], dispatch.Request{ID: "s", Route: ask.Route, Service: ask.Service, Tried: []string{"i-1"}}).Engine)
}

// enginesTold gives how many engines of a service a gateway tells other regions of.
func enginesTold(t *testing.T, g *dispatch.Dispatcher, service string) int {
	t.Helper()
	var digests []dispatch.Digest
	must.NoError(t, cbor.Unmarshal(g.RegionReport().Remote[0].Digests, &digests))
	for _, one := range digests {
		if one.Service == service {
			return one.Engines
		}
	}
	return 0
}

// leave has an engine answer a gateway's request well and say that it leaves.
func (w *world) leave(t *testing.T, gateway int, engine string) {
	t.Helper()
	ask := plain("answered")
	ask.Tried = w.others("review", engine)
	ticket := acquire(t, w.gateways[gateway], ask)
	must.Eq(t, engine, ticket.Engine)
	ticket.ApplyDraining()
	ticket.Accepted()
	ticket.Done(dispatch.Answered)
}

// TestALeavingEngineGetsNothingFromAnyGateway has one of 40 gateways read that an engine leaves,
// while its heartbeats go on saying that it is ready: 0.4 s later all know, and for good.
func TestALeavingEngineGetsNothingFromAnyGateway(t *testing.T) {
	w := newWorld(40, 2)
	w.leave(t, 3, "i-0")
	w.tellAll()
	w.beat(registry.Engine{ID: "i-0", Phase: registry.Ready})
	w.pass(10 * time.Minute)
	for _, g := range w.gateways {
		ask := plain("r")
		ask.Tried = []string{"i-1"}
		_, err := g.Acquire(ask)
		must.StrContains(t, notRun(t, err).Message, "1 leaving")
	}
}

// TestWhatWaitedForAConnectionIsAskedAgain has an engine ask for rest, leave, and say that it
// drains, while another request waits for a connection to it.
func TestWhatWaitedForAConnectionIsAskedAgain(t *testing.T) {
	cases := map[string]func(t *testing.T, w *world){
		"resting":  func(t *testing.T, w *world) { w.rest(t, 0, "i-0", time.Second) },
		"leaving":  func(t *testing.T, w *world) { w.leave(t, 0, "i-0") },
		"draining": func(_ *testing.T, w *world) { w.beat(registry.Engine{ID: "i-0", Phase: registry.Draining}) },
	}
	for why, happens := range cases {
		t.Run(why, func(t *testing.T) {
			w := newWorld(1, 1)
			waits := acquire(t, w.gateways[0], plain("waits"))
			must.NoError(t, waits.CheckUsable())
			happens(t, w)
			must.Eq(t, error(&dispatch.EngineUnusable{Engine: "i-0", Reason: why}), waits.CheckUsable())
			waits.Done(dispatch.Unsent)
		})
	}
}

// TestOperatorsSeeWhyAnEngineGetsNothing has one engine rest, one leave and one serve.
func TestOperatorsSeeWhyAnEngineGetsNothing(t *testing.T) {
	w := newWorld(1, 3)
	w.rest(t, 0, "i-0", 3*time.Second)
	w.leave(t, 0, "i-1")
	w.pass(time.Second)
	acquire(t, w.gateways[0], plain("kept away from both"))
	shown := make(map[string]dispatch.EngineStatus)
	for _, s := range w.gateways[0].EngineStatuses() {
		shown[s.Engine] = s
	}
	must.Eq(t, dispatch.EngineStatus{
		Engine: "i-0", Service: "review", Exclusion: "resting", ExcludedFor: time.Second, ExclusionEndsIn: 2 * time.Second, Counts: pushback.Counts{Backoffs: 1, Excluded: 1},
	}, shown["i-0"])
	must.Eq(t, "leaving", shown["i-1"].Exclusion)
	must.Eq(t, pushback.Counts{Excluded: 1}, shown["i-1"].Counts)
	must.Eq(t, "", shown["i-2"].Exclusion)
	must.Eq(t, 1, shown["i-2"].Requests)
	must.MapLen(t, 4, shown)
}

// refusals has each of a region's gateways send requests, in turn and for so long, to engines of
// which one refuses those gateways for which refuses is true and asks each for three seconds of rest.
// It gives how often it refused, and how often it served.
func (w *world) refusals(t *testing.T, length time.Duration, refuses func(gateway int) bool) (refused, served int) {
	t.Helper()
	w.tellAll()
	began := w.now
	for i := 0; w.now.Sub(began) < length; i++ {
		w.now = w.now.Add(5 * time.Millisecond)
		if i%20 == 0 {
			w.tick()
			w.tell()
		}
		gateway := i % len(w.gateways)
		ticket := acquire(t, w.gateways[gateway], plain(fmt.Sprint(i)))
		switch {
		case ticket.Engine != "i-0":
			ticket.Accepted()
			ticket.FirstByte(true)
			ticket.Done(dispatch.Answered)
		case refuses(gateway):
			refused++
			ticket.ApplyPushback(pushback.Backoff{Duration: 3 * time.Second})
			ticket.Done(dispatch.Shed)
		default:
			served++
			ticket.Accepted()
			ticket.FirstByte(true)
			ticket.Done(dispatch.Answered)
		}
	}
	return refused, served
}

// TestOthersNeedNotBeRefusedToo has an engine refuse all of 40 gateways: each would be refused
// once a rest if none heard of it from the others. One that refuses a single gateway goes on
// serving the rest as before.
func TestOthersNeedNotBeRefusedToo(t *testing.T) {
	refused, _ := newWorld(40, 5).refusals(t, 3*time.Second, func(int) bool { return true })
	must.LessEq(t, 20, refused, must.Sprint("half of what each would be refused"))
	refused, served := newWorld(40, 5).refusals(t, 9*time.Second, func(gateway int) bool { return gateway == 3 })
	must.LessEq(t, 4, refused)
	must.GreaterEq(t, 300, served, must.Sprint("of 1,800 requests before five engines"))
}

// TestAnEngineThatRestsForOthersIsUsedWhereNoOtherCanBe has the only engine refuse two of twelve
// gateways.
func TestAnEngineThatRestsForOthersIsUsedWhereNoOtherCanBe(t *testing.T) {
	w := newWorld(12, 1)
	w.pass(time.Minute)
	w.rest(t, 0, "i-0", 3*time.Second)
	w.rest(t, 1, "i-0", 3*time.Second)
	w.tellAll()
	must.Eq(t, "rests for others", w.gateways[5].EngineStatuses()[0].Exclusion)
	acquire(t, w.gateways[5], plain("r"))
	_, err := w.gateways[0].Acquire(plain("s"))
	must.StrContains(t, notRun(t, err).Message, "1 resting")
}

// TestAColdEngineIsNoLastResortBeyondWhatItBears has the only engine, which is cold and bears two
// requests a second, refuse what it gets. It got every request that came while it counted as
// failing, as the last resort: that reason was found before the cold.
func TestAColdEngineIsNoLastResortBeyondWhatItBears(t *testing.T) {
	w := newWorld(1, 1)
	w.beat(registry.Engine{ID: "i-0", ColdUntil: w.now.Add(time.Minute)})
	got := 0
	for i := range 20 {
		w.pass(50 * time.Millisecond)
		if ticket, err := w.gateways[0].Acquire(plain(fmt.Sprint(i))); err == nil {
			got++
			ticket.Done(dispatch.Shed)
		}
	}
	must.LessEq(t, 3, got, must.Sprint("in a second"))
	must.Positive(t, got)
}
