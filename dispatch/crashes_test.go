package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// TestAnEngineIsLookedAtOnce breaks two connections to an engine, which is one doubt.
// After it has answered something, the next break is a new one, and so is one of its
// later life.
func TestAnEngineIsLookedAtOnce(t *testing.T) {
	w := newWorld(1, 1)
	g := w.gateways[0]
	acquire(t, g, long("r0", "p")).Done(dispatch.Broken)
	acquire(t, g, long("r1", "p")).Done(dispatch.Broken)
	must.Eq(t, 1, len(g.SuspectEngines()))
	must.Eq(t, "i-0", (<-g.SuspectEngines()).Incarnation)
	w.pass(1)
	acquire(t, g, long("r2", "p")).FirstByte(true)
	acquire(t, g, long("r3", "p")).Done(dispatch.Broken)
	must.Eq(t, 1, len(g.SuspectEngines()), must.Sprint("it had answered: the next break is a new doubt"))
	w.beat(registry.Engine{ID: "i-0", Born: 5})
	acquire(t, g, long("r4", "p")).Done(dispatch.Broken)
	must.Eq(t, 2, len(g.SuspectEngines()), must.Sprint("another life is another engine"))
}

// newWideWorld is newWorld with as many gateways, and an engine, of another region.
func newWideWorld(lagos, kano, engines int) *world {
	w := newWorld(lagos, engines)
	w.beat(registry.Engine{ID: "i-far", Service: "review", Slots: 16, DataCentre: "c"})
	for i := range kano {
		name := fmt.Sprint("k", i)
		w.hosts = append(w.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "kano", Peer: "10.9.0." + fmt.Sprint(i) + ":1"})
		w.gateways = append(w.gateways, dispatch.New(dispatch.Deps{
			Name: name, Region: "kano", RegionOf: map[string]string{"a": "lagos", "b": "lagos", "c": "kano"}, Engines: w.engines,
			Peers: func() []roster.Host { return w.hosts }, RoundTripTo: knownTrip, RetryBudget: retry.Policy{Share: 0.2, Extra: 10, Window: 10 * time.Second},
			Log: zap.NewNop(), Clock: w.clock,
		}))
	}
	w.declare()
	return w
}

// crash lets the engine that a gateway chooses end under a request.
func (w *world) crash(t *testing.T, g *dispatch.Dispatcher, ask dispatch.Request) {
	t.Helper()
	ticket := acquire(t, g, ask)
	ticket.Done(dispatch.Broken)
	g.ConnectionRefused(<-g.SuspectEngines())
	w.engines.MarkLeft(ticket.Engine, 0)
	w.tick()
}

// refuses tells whether a gateway keeps a request from its engines.
func refuses(g *dispatch.Dispatcher, ask dispatch.Request) bool {
	ticket, err := g.Acquire(ask)
	if err == nil {
		ticket.Done(dispatch.Abandoned)
	}
	var refusal *request.NotRun
	return errors.As(err, &refusal) && refusal.Reason == request.ReasonQuarantined
}

// TestCrashesAreKnownInAllRegions lets three of forty gateways of one region lose an engine
// each under the same request, of which no two know before. Within a second all gateways of
// both regions must keep it from engines; so must one that hears nobody meanwhile, within
// two seconds of hearing again.
func TestCrashesAreKnownInAllRegions(t *testing.T) {
	w := newWideWorld(40, 12, 30)
	w.tellAll()
	cut := w.gateways[39]
	hosts, gateways := slices.Clone(w.hosts), slices.Clone(w.gateways)
	poison := long("r", "p")
	poison.Fingerprint = 77
	for _, g := range w.gateways[:3] {
		w.crash(t, g, poison)
		for range 3 {
			must.False(t, refuses(w.gateways[10], poison), must.Sprint("three crashes are too many, not fewer"))
		}
	}
	w.hosts = slices.Delete(w.hosts, 39, 40)
	w.gateways = slices.Delete(w.gateways, 39, 40)
	for range 10 {
		w.tell()
		w.pass(rollup.ReportInterval)
	}
	for i, g := range w.gateways {
		must.True(t, refuses(g, poison), must.Sprint("gateway ", w.hosts[i].Name))
	}
	must.False(t, refuses(cut, poison))
	w.hosts, w.gateways = hosts, gateways
	for range 20 {
		w.tell()
		w.pass(rollup.ReportInterval)
	}
	must.True(t, refuses(cut, poison))
	good := long("r9", "p")
	good.Fingerprint = 78
	must.False(t, refuses(cut, good))
}

// TestAnEngineThatWasToEndHasNotCrashed lets an engine that drains end with a request on it.
func TestAnEngineThatWasToEndHasNotCrashed(t *testing.T) {
	w := newWorld(1, 4)
	g := w.gateways[0]
	ask := long("r", "p")
	ask.Fingerprint = 77
	for i := range 3 {
		ticket := acquire(t, g, ask)
		w.beat(registry.Engine{ID: ticket.Engine, Phase: registry.Draining})
		ticket.Done(dispatch.Broken)
		g.ConnectionRefused(<-g.SuspectEngines())
		must.False(t, refuses(g, ask), must.Sprint("after ", i+1))
	}
}

// TestAStormOfCrashesIsToldInLittle lets each of forty gateways lose an engine with fifty
// requests on it at once, and counts what they tell until all is told. A link between
// regions carries all their traffic together, and datagrams are what it drops first: no
// message may grow with the storm, and what goes to other regions is little beside answers.
func TestAStormOfCrashesIsToldInLittle(t *testing.T) {
	w := newWideWorld(40, 12, 60)
	w.tellAll()
	for i, g := range w.gateways[:40] {
		var tickets []*dispatch.Ticket
		for j := range 50 {
			ask := long(fmt.Sprint("r", i, j), "p")
			ask.Fingerprint = quarantine.Fingerprint(1 + i*50 + j)
			tickets = append(tickets, acquire(t, g, ask))
		}
		for _, ticket := range tickets {
			ticket.Done(dispatch.Broken)
		}
		for len(g.SuspectEngines()) > 0 {
			g.ConnectionRefused(<-g.SuspectEngines())
		}
	}
	largest, far := 0, 0
	const seconds = 5
	for range seconds * int(time.Second/rollup.ReportInterval) {
		for _, g := range w.gateways {
			for _, out := range g.Outgoing() {
				data, err := cbor.Marshal(out.Message)
				must.NoError(t, err)
				largest = max(largest, len(data))
				if len(out.Message.Members) == 0 {
					far += len(data) * len(out.To)
				}
				w.deliver(out)
			}
		}
		w.pass(rollup.ReportInterval)
	}
	t.Log("largest message", largest, "bytes; between regions", far/seconds, "bytes a second")
	must.LessEq(t, 16<<10, largest)
	must.LessEq(t, 100<<10, far/seconds)
}
