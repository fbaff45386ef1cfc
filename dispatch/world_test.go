package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// world is one region with some gateways before the same engines.
type world struct {
	now      time.Time
	engines  *registry.Table
	gateways []*dispatch.Dispatcher
	hosts    []roster.Host
	state    ledger.State
	index    uint64
}

// services of every world: one with a model, one without.
var services = []catalog.Service{
	{Name: "review", ColdRate: 2, Model: &catalog.ModelSpec{Slots: 16, CacheTokens: 100_000}},
	{Name: "portal"},
}

// newWorld makes so many gateways and review engines, in data centres a and b
// of one region by turns, and one portal engine.
func newWorld(gateways, engines int) *world {
	w := &world{now: time.Unix(1000, 0)}
	w.engines = registry.New("life", time.Second, w.clock)
	for i := range engines {
		w.beat(registry.Engine{ID: fmt.Sprintf("i-%d", i), Service: "review", Slots: 16})
	}
	w.beat(registry.Engine{ID: "i-portal", Service: "portal", Slots: 2})
	for i := range gateways {
		name := fmt.Sprintf("g%d", i)
		w.hosts = append(w.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "lagos", Peer: "10.0.0." + fmt.Sprint(i) + ":1"})
		w.gateways = append(w.gateways, dispatch.New(dispatch.Deps{
			Name: name, Region: "lagos", RegionOf: map[string]string{"a": "lagos", "b": "lagos", "c": "kano"}, Engines: w.engines,
			Peers: func() []roster.Host { return w.hosts }, RoundTripTo: knownTrip, RetryBudget: retry.Policy{Share: 0.2, Extra: 10, Window: 10 * time.Second},
			Log: zap.NewNop(), Clock: w.clock,
		}))
	}
	w.declare()
	return w
}

func (w *world) clock() time.Time { return w.now }

// knownTrip is a round trip of 160 ms to any region.
func knownTrip(string) (time.Duration, bool) { return 160 * time.Millisecond, true }

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.tick()
}

func (w *world) tick() {
	for _, g := range w.gateways {
		g.Tick()
	}
}

// beat registers an engine; what isn't given has defaults.
func (w *world) beat(e registry.Engine) {
	known, _ := w.engines.Get(e.ID)
	e.Sequence = known.Sequence + 1
	if e.Service == "" {
		e.Service, e.Slots = known.Service, known.Slots
	}
	if e.DataCentre == "" {
		e.DataCentre = []string{"a", "b"}[int(e.ID[len(e.ID)-1])%2]
	}
	e.Address = "10.1.0.1:" + e.ID
	w.engines.Heartbeat(e)
	w.tick()
}

// declare gives the gateways the services, with these data centres evacuated.
func (w *world) declare(evacuated ...string) {
	w.index++
	w.state = ledger.State{Index: w.index, Catalog: catalog.Catalog{Version: 1, Services: services}, Evacuated: evacuated}
	for _, g := range w.gateways {
		g.ApplyState(w.state, catalog.NewTable(w.state.Catalog))
	}
}

// tell brings every gateway's messages to those whom they are for.
func (w *world) tell() {
	for _, from := range w.gateways {
		for _, out := range from.Outgoing() {
			w.deliver(out)
		}
	}
}

func (w *world) deliver(out rollup.OutgoingMessage) {
	for i, to := range w.gateways {
		if slices.Contains(out.To, w.hosts[i].Peer) {
			to.Receive(out.Message)
		}
	}
}

// tellAll lets time pass until what one gateway does is known to all.
func (w *world) tellAll() {
	for range 4 {
		w.tell()
		w.pass(rollup.ReportInterval)
	}
}

// long is the ask of a long review with that shared part.
func long(id, part string) dispatch.Request {
	return dispatch.Request{ID: id, Service: "review", Prompt: dispatch.Prompt{
		InputTokens: 9000, OutputTokens: 50,
		Blocks: []dispatch.Block{{ID: "system", Tokens: 2500}, {ID: part, Tokens: 3500}, {ID: "own-" + id, Tokens: 3000}},
	}}
}

func acquire(t *testing.T, g *dispatch.Dispatcher, ask dispatch.Request) *dispatch.Ticket {
	t.Helper()
	ticket, err := g.Acquire(ask)
	must.NoError(t, err)
	return ticket
}

func notRun(t *testing.T, err error) *request.NotRun {
	t.Helper()
	var refusal *request.NotRun
	must.True(t, errors.As(err, &refusal), must.Sprint(err))
	return refusal
}
