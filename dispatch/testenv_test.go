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

// testEnv is one region: some gateways that share the same engines, and a clock that the
// test advances.
type testEnv struct {
	now      time.Time
	engines  *registry.Table
	gateways []*dispatch.Dispatcher
	hosts    []roster.Host
	state    ledger.State
	index    uint64
}

// services lists the services of every testEnv: one with a model and one without.
var services = []catalog.Service{
	{Name: "review", ColdRate: 2, Model: &catalog.ModelSpec{Slots: 16, CacheTokens: 100_000}},
	{Name: "portal"},
}

// newTestEnv returns a region with the given numbers of gateways and review engines, and
// one portal engine. The engines alternate between the data centres a and b.
func newTestEnv(gateways, engines int) *testEnv {
	env := &testEnv{now: time.Unix(1000, 0)}
	env.engines = registry.New("life", time.Second, env.clock)
	for i := range engines {
		env.heartbeat(registry.Engine{ID: fmt.Sprintf("i-%d", i), Service: "review", Slots: 16})
	}
	env.heartbeat(registry.Engine{ID: "i-portal", Service: "portal", Slots: 2})
	for i := range gateways {
		name := fmt.Sprintf("g%d", i)
		env.hosts = append(env.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "lagos", Peer: "10.0.0." + fmt.Sprint(i) + ":1"})
		env.gateways = append(env.gateways, dispatch.New(dispatch.Deps{
			Name: name, Region: "lagos", RegionOf: map[string]string{"a": "lagos", "b": "lagos", "c": "kano"}, Engines: env.engines,
			Peers: func() []roster.Host { return env.hosts }, RoundTripTo: fixedRoundTrip, RetryBudget: retry.Policy{Share: 0.2, Extra: 10, Window: 10 * time.Second},
			Log: zap.NewNop(), Clock: env.clock,
		}))
	}
	env.applyState()
	return env
}

func (env *testEnv) clock() time.Time { return env.now }

// fixedRoundTrip returns a measured round trip of 160 ms for every region.
func fixedRoundTrip(string) (time.Duration, bool) { return 160 * time.Millisecond, true }

// advance moves the clock and applies the changes in the registry.
func (env *testEnv) advance(d time.Duration) {
	env.now = env.now.Add(d)
	env.tick()
}

func (env *testEnv) tick() {
	for _, g := range env.gateways {
		g.Tick()
	}
}

// heartbeat applies a heartbeat of an engine. Fields that are not set keep their
// registered values or get defaults.
func (env *testEnv) heartbeat(e registry.Engine) {
	known, _ := env.engines.Get(e.ID)
	e.Sequence = known.Sequence + 1
	if e.Service == "" {
		e.Service, e.Slots = known.Service, known.Slots
	}
	if e.DataCentre == "" {
		e.DataCentre = []string{"a", "b"}[int(e.ID[len(e.ID)-1])%2]
	}
	e.Address = "10.1.0.1:" + e.ID
	env.engines.Heartbeat(e)
	env.tick()
}

// applyState applies a ledger state with the test services and the given data centres
// evacuated.
func (env *testEnv) applyState(evacuated ...string) {
	env.applyServices(services, evacuated...)
}

// applyServices applies a ledger state with these services.
func (env *testEnv) applyServices(services []catalog.Service, evacuated ...string) {
	env.index++
	env.state = ledger.State{Index: env.index, Catalog: catalog.Catalog{Version: 1, Services: services}, Evacuated: evacuated}
	for _, g := range env.gateways {
		g.ApplyState(env.state, catalog.NewTable(env.state.Catalog))
	}
}

// exchangeReports delivers the pending messages of every gateway to their recipients.
func (env *testEnv) exchangeReports() {
	for _, from := range env.gateways {
		for _, out := range from.Outgoing() {
			env.deliver(out)
		}
	}
}

func (env *testEnv) deliver(out rollup.OutgoingMessage) {
	for i, to := range env.gateways {
		if slices.Contains(out.To, env.hosts[i].Peer) {
			to.Receive(out.Message)
		}
	}
}

// propagateReports exchanges reports until all gateways have the state of each.
func (env *testEnv) propagateReports() {
	for range 4 {
		env.exchangeReports()
		env.advance(rollup.ReportInterval)
	}
}

// longRequest returns a request with a long prompt, of which the given block is shared.
func longRequest(id, block string) dispatch.Request {
	return dispatch.Request{ID: id, Service: "review", Prompt: dispatch.Prompt{
		InputTokens: 9000, OutputTokens: 50,
		Blocks: []dispatch.Block{{ID: "system", Tokens: 2500}, {ID: block, Tokens: 3500}, {ID: "own-" + id, Tokens: 3000}},
	}}
}

func acquire(t *testing.T, g *dispatch.Dispatcher, req dispatch.Request) *dispatch.Ticket {
	t.Helper()
	ticket, err := g.Acquire(req)
	must.NoError(t, err)
	return ticket
}

func requireNotRun(t *testing.T, err error) *request.NotRun {
	t.Helper()
	var rejection *request.NotRun
	must.True(t, errors.As(err, &rejection), must.Sprint(err))
	return rejection
}
