package ingress_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/streams"
	"github.com/linenscale/linenscale/telemetry"
)

// testCatalog is the catalog of the tests, with a route of each kind.
var testCatalog = catalog.Catalog{
	Version: 1,
	Routes: []catalog.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.KindSafe, Timeout: time.Second, Target: 500 * time.Millisecond, Attempts: 2, Backends: []catalog.Backend{{Service: "portal", Weight: 1}}},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: catalog.KindUnsafe, Timeout: time.Second, Target: 500 * time.Millisecond, Attempts: 1, Backends: []catalog.Backend{{Service: "portal", Weight: 1}}},
		{Name: "unsafe2", Host: "h", Prefix: "/unsafe2/", Kind: catalog.KindUnsafe, Timeout: time.Second, Target: 500 * time.Millisecond, Attempts: 2, Backends: []catalog.Backend{{Service: "portal", Weight: 1}}},
		{Name: "review", Host: "h", Prefix: "/review/", Kind: catalog.KindStream, Resumable: true, Timeout: time.Second, Target: time.Second, Attempts: 2, Backends: []catalog.Backend{{Service: "model", Weight: 1}}},
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: catalog.KindStream, Timeout: time.Second, Target: time.Second, Attempts: 1, Backends: []catalog.Backend{{Service: "model", Weight: 1}}},
		{Name: "split", Host: "h", Prefix: "/split/", Kind: catalog.KindStream, Resumable: true, Timeout: time.Second, Target: time.Second, Attempts: 2, Backends: []catalog.Backend{{Service: "model", Weight: 2}, {Service: "model2", Weight: 1}}},
		{Name: "home", Host: "h", Prefix: "/home/", Kind: catalog.KindSafe, Timeout: time.Second, Target: time.Second, Attempts: 2, Homes: []string{"kano"}, Backends: []catalog.Backend{{Service: "portal", Weight: 1}}},
		{Name: "patient", Host: "h", Prefix: "/patient/", Kind: catalog.KindSafe, Timeout: time.Minute, Target: time.Second, Attempts: 2, Backends: []catalog.Backend{{Service: "nobody", Weight: 1}}},
		{Name: "empty", Host: "h", Prefix: "/empty/", Kind: catalog.KindSafe, Timeout: time.Second, Target: time.Second, Attempts: 2, Backends: []catalog.Backend{{Service: "nobody", Weight: 1}}},
	},
	Services: []catalog.Service{{Name: "portal"}, {Name: "model", Model: &catalog.ModelSpec{Slots: 8, CacheTokens: 100_000}}, {Name: "model2", Model: &catalog.ModelSpec{Slots: 8, CacheTokens: 100_000}}, {Name: "nobody"}},
	Limits:   catalog.Limits{BodyBytes: 1000},
}

// gateway is a gateway with its own registry of engines.
type gateway struct {
	server   *ingress.Server
	engines  *registry.Table
	callers  *httptest.Server
	handover *httptest.Server
	peers    []roster.Host
	streams  *streams.Directory
	// reached are the gateways to which messages about streams arrive, by name.
	reached map[string]*gateway
}

// sendStreams delivers a message about streams.
func (g *gateway) sendStreams(m streams.Message, addresses []string) error {
	for _, address := range addresses {
		if to, ok := g.reached[address]; ok {
			to.streams.Receive(m)
		}
	}
	return nil
}

func newGateway(t *testing.T, name, region string) *gateway {
	t.Helper()
	return newGatewayAt(t, name, region, time.Now)
}

// newGatewayAt returns a gateway with the given clock.
func newGatewayAt(t *testing.T, name, region string, clock func() time.Time) *gateway {
	t.Helper()
	g := newUnservedGateway(t, name, region, clock, &net.Dialer{Timeout: 300 * time.Millisecond})
	g.callers, g.handover = httptest.NewServer(g.server.CallersHandler()), httptest.NewServer(g.server.HandoverHandler())
	t.Cleanup(g.callers.Close)
	t.Cleanup(g.handover.Close)
	return g
}

// newUnservedGateway returns a gateway that doesn't listen yet.
func newUnservedGateway(t *testing.T, name, region string, clock func() time.Time, dialer relay.Dialer) *gateway {
	t.Helper()
	g := &gateway{engines: registry.New("life", time.Minute, clock)}
	metrics, err := telemetry.NewMetrics()
	must.NoError(t, err)
	self := roster.Host{Name: name, Role: roster.RoleGateway, Region: region}
	dispatcher := dispatch.New(dispatch.Deps{
		Name: name, Region: region, RegionOf: map[string]string{"a": "lagos", "b": "kano"}, Engines: g.engines,
		Peers: func() []roster.Host { return g.peers }, RoundTripTo: func(string) (time.Duration, bool) { return 0, false }, RetryBudget: retry.Policy{Share: 0.2, Extra: 100, Window: 10 * time.Second},
		Log: zap.NewNop(), Clock: clock,
	})
	g.streams = streams.New(streams.Deps{
		Self: roster.Host{Name: name, Role: roster.RoleGateway, Region: region, Peer: name}, Hosts: func() []roster.Host { return g.peers },
		Send: g.sendStreams, Clock: clock, Log: zap.NewNop(),
	})
	g.server = ingress.New(ingress.Deps{
		Self: self, Dialect: platform.Dialect{}, Dispatcher: dispatcher, Gateways: func() []roster.Host { return g.peers },
		Engines: relay.New(dialer, relay.Options{}), Dialer: dialer, Peers: relay.New(dialer, relay.Options{}), Log: zap.NewNop(), Metrics: metrics,
		Random: func() uint64 { return 1 }, Clock: clock, StopTimeout: time.Second, Streams: g.streams,
	})
	return g
}

// declare applies testCatalog to the gateway.
func (g *gateway) declare() {
	g.server.ApplyState(ledger.State{Index: 1, Catalog: testCatalog})
}

func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// start starts an engine and registers it with the gateway.
func (g *gateway) start(t *testing.T, service, dataCentre string) *platformtest.Engine {
	t.Helper()
	return g.startEngine(t, platformtest.EngineOptions{Service: service, DataCentre: dataCentre})
}

// startEngine is start for an engine with those options.
func (g *gateway) startEngine(t *testing.T, opts platformtest.EngineOptions) *platformtest.Engine {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	e, err := platformtest.StartEngine(ctx, group, "127.0.0.1:0", opts)
	must.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	g.register(e, opts.Service, opts.DataCentre)
	return e
}

// register registers an engine with the gateway.
func (g *gateway) register(e *platformtest.Engine, service, dataCentre string) {
	g.engines.Heartbeat(registry.Engine{ID: e.ID, Service: service, Version: e.Version(), Address: e.Address(), DataCentre: dataCentre, Slots: 8, Sequence: 1})
	g.server.Dispatcher.Tick()
}

// setUp returns a gateway with two engines of each service.
func setUp(t *testing.T) (*gateway, []*platformtest.Engine) {
	t.Helper()
	g := newGateway(t, "g1", "lagos")
	g.declare()
	var engines []*platformtest.Engine
	for range 2 {
		engines = append(engines, g.start(t, "portal", "a"), g.start(t, "model", "a"))
	}
	return g, engines
}

func do(t *testing.T, g *gateway, r platformtest.Request) platformtest.Result {
	t.Helper()
	var c platformtest.Caller
	r.Host = "h"
	result, err := c.Do(context.Background(), hostPort(g.callers), r)
	must.NoError(t, err)
	return result
}

// countRuns returns how often all engines together ran a request, and how often it reached
// one.
func countRuns(engines []*platformtest.Engine, id string) (ran, arrived int) {
	for _, e := range engines {
		ran += e.RunCounts()[id]
		for _, a := range e.Arrivals() {
			if a.Request == id {
				arrived++
			}
		}
	}
	return ran, arrived
}

// injectFault injects a fault into the next n requests, whichever engines they reach; -1
// means all requests.
func injectFault(engines []*platformtest.Engine, f platformtest.Fault, n int) {
	plan := platformtest.NewFaultPlan(f, n)
	for _, e := range engines {
		e.SetFaults(plan)
	}
}

func streamBody(events int) string {
	body := ""
	for n := 1; n <= events; n++ {
		body += platformtest.EventText(n)
	}
	return body
}

func TestAnswersAreRelayedUnchanged(t *testing.T) {
	g, engines := setUp(t)
	plain := do(t, g, platformtest.Request{Path: "/safe/1?q=%2F", Method: http.MethodGet})
	must.Eq(t, http.StatusOK, plain.Status)
	must.Eq(t, platformtest.ResponseBody(plain.Engine, plain.ID), plain.Body)
	events := do(t, g, platformtest.Request{Path: "/chat/1", IsPrompt: true, Body: "a prompt"})
	must.True(t, events.Complete)
	must.Eq(t, streamBody(5), events.Body)
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			must.True(t, a.Path == "/safe/1?q=%2F" || a.Body == "a prompt")
		}
	}
}

func TestReservedHeadersOfCallersAreRemoved(t *testing.T) {
	g, engines := setUp(t)
	forged := platformtest.ReservedHeaders()
	forged["X-Other"], forged["Linenscale-Handover-Path"] = []string{"kept"}, []string{"g9"}
	result := do(t, g, platformtest.Request{Path: "/safe/1", Header: forged})
	must.Eq(t, http.StatusOK, result.Status)
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			must.Eq(t, "", a.ForgedHeaders()+a.Header.Get("Linenscale-Handover-Path"))
			must.Eq(t, e.ID, a.TargetEngine())
			must.Eq(t, "kept", a.Header.Get("X-Other"))
		}
	}
}

// TestEngineFaults injects a fault into the first engine that gets the request, and checks
// the answer and how often the request ran.
func TestEngineFaults(t *testing.T) {
	cases := []struct {
		fault  platformtest.Fault
		path   string
		model  bool
		status int
		ran    int
		whole  bool
	}{
		{platformtest.FaultError, "/safe/1", false, 200, 2, true},
		{platformtest.FaultError, "/unsafe/1", false, 500, 1, true},
		{platformtest.FaultReject, "/safe/1", false, 200, 1, true},
		{platformtest.FaultReject, "/unsafe/1", false, 503, 0, true},
		{platformtest.FaultReject, "/unsafe2/1", false, 200, 1, true},
		{platformtest.FaultReset, "/safe/1", false, 200, 2, true},
		{platformtest.FaultReset, "/unsafe/1", false, 502, 1, true},
		{platformtest.FaultReset, "/unsafe2/1", false, 502, 1, true},
		{platformtest.FaultTruncate, "/safe/1", false, 200, 2, true},
		{platformtest.FaultTruncate, "/unsafe2/1", false, 502, 1, true},
		{platformtest.FaultWrongID, "/safe/1", false, 200, 2, true},
		{platformtest.FaultWrongID, "/unsafe2/1", false, 502, 1, true},
		{platformtest.FaultNoLength, "/unsafe/1", false, 200, 1, true},
		{platformtest.FaultNoLengthReset, "/safe/1", false, 200, 2, true},
		{platformtest.FaultNoLengthReset, "/unsafe2/1", false, 502, 1, true},
		{platformtest.FaultReset, "/chat/1", true, 502, 1, true},
		{platformtest.FaultTruncate, "/chat/1", true, 200, 1, false},
		{platformtest.FaultError, "/review/1", true, 200, 2, true},
		{platformtest.FaultTruncate, "/review/1", true, 200, 2, true},
		{platformtest.FaultWrongID, "/review/1", true, 200, 2, true},
	}
	for _, c := range cases {
		t.Run(string(c.fault)+strings.ReplaceAll(c.path, "/", "-"), func(t *testing.T) {
			g, engines := setUp(t)
			// Only the first send meets the fault.
			injectFault(engines, c.fault, 1)
			result := do(t, g, platformtest.Request{Path: c.path, IsPrompt: c.model, Body: "x"})
			must.Eq(t, c.status, result.Status)
			must.Eq(t, c.whole, result.Complete)
			ran, _ := countRuns(engines, result.ID)
			must.Eq(t, c.ran, ran)
			if c.model && c.status == 200 && c.whole {
				must.Eq(t, streamBody(5), result.Body)
			}
			if c.status == http.StatusServiceUnavailable {
				must.Positive(t, result.RetryAfter)
			}
		})
	}
}

// TestFailedStreamIsVisiblyTruncated makes every engine fail in the middle of a stream. The
// caller gets complete events from the start, and no clean end.
func TestFailedStreamIsVisiblyTruncated(t *testing.T) {
	g, engines := setUp(t)
	injectFault(engines, platformtest.FaultTruncate, -1)
	result := do(t, g, platformtest.Request{Path: "/review/1", IsPrompt: true})
	must.False(t, result.Complete)
	must.True(t, strings.HasPrefix(streamBody(5), result.Body), must.Sprint(result.Body))
	must.StrHasSuffix(t, "\n\n", result.Body)
	ran, _ := countRuns(engines, result.ID)
	must.Eq(t, 2, ran, must.Sprint("the route allows two engines"))
}

func TestUnresponsiveEngineTimesOutWithTheRoute(t *testing.T) {
	g, engines := setUp(t)
	injectFault(engines, platformtest.FaultNoResponse, -1)
	result := do(t, g, platformtest.Request{Path: "/unsafe/1", Deadline: 10 * time.Second})
	must.Eq(t, http.StatusGatewayTimeout, result.Status)
	must.False(t, result.GuaranteesNotRun())
	ran, _ := countRuns(engines, result.ID)
	must.Eq(t, 1, ran)
}

func TestRejectionsByTheGateway(t *testing.T) {
	g, engines := setUp(t)
	must.Eq(t, http.StatusNotFound, do(t, g, platformtest.Request{Path: "/none/"}).Status)
	must.Eq(t, http.StatusRequestEntityTooLarge, do(t, g, platformtest.Request{Path: "/safe/", Body: strings.Repeat("x", 1001)}).Status)
	empty := do(t, g, platformtest.Request{Path: "/empty/"})
	must.True(t, empty.GuaranteesNotRun())
	must.Positive(t, empty.RetryAfter)
	starting := newGateway(t, "g2", "lagos")
	must.True(t, do(t, starting, platformtest.Request{Path: "/none/"}).GuaranteesNotRun(), must.Sprint("a gateway without a catalog rejects every request as not run"))
	must.False(t, starting.server.Ready())
	must.True(t, g.server.Ready())
	for _, e := range engines {
		must.SliceEmpty(t, e.Arrivals())
	}
}

// TestRetriesOfRejectedCallersAreSpread guards against a thundering herd after many
// rejections. The Retry-After values are spread over the callers' remaining time, none of
// them so late that a caller has too little time left.
func TestRetriesOfRejectedCallersAreSpread(t *testing.T) {
	g, _ := setUp(t)
	g.server.Random = rand.New(rand.NewPCG(1, 1)).Uint64
	earliest, latest := time.Hour, time.Duration(0)
	for range 30 {
		result := do(t, g, platformtest.Request{Path: "/patient/", Deadline: 30 * time.Second})
		must.True(t, result.GuaranteesNotRun())
		earliest, latest = min(earliest, result.RetryAfter), max(latest, result.RetryAfter)
	}
	must.Between(t, 5*time.Second, earliest, 7*time.Second)
	must.Between(t, 9*time.Second, latest, 10*time.Second)
}

func TestDisconnectedCallerCancelsTheEnginesWork(t *testing.T) {
	g, engines := setUp(t)
	injectFault(engines, platformtest.FaultNoResponse, -1)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() {
		var c platformtest.Caller
		_, err := c.Do(ctx, hostPort(g.callers), platformtest.Request{Host: "h", Path: "/chat/1", IsPrompt: true, Deadline: 20 * time.Second})
		must.Error(t, err)
	})
	eventually(t, "the engine runs the request", func() bool { return g.arrivals(engines) == 1 })
	cancel()
	group.Wait()
	// Without the cancellation, the engine would work until the deadline.
	eventually(t, "the engine has stopped", func() bool { return g.idle(engines) })
}

// TestRequestsOfDisconnectedCallersAreNotSent sends complete requests to a gateway that is
// too busy to read them, and closes the connections before it does. Fewer than four of them
// may reach an engine.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	const callers = 40
	g, engines := setUp(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	for n := range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		_, err = conn.Write([]byte(platformtest.RawRequest("/unsafe/1", fmt.Sprintf("left%d", n), 900)))
		must.NoError(t, err)
		must.NoError(t, conn.Close())
	}
	handover, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = g.server.Run(ctx, listener, handover) })
	time.Sleep(500 * time.Millisecond)
	cancel()
	group.Wait()
	arrived := 0
	for _, e := range engines {
		arrived += len(e.Arrivals())
	}
	must.Less(t, 4, arrived, must.Sprintf("requests sent, of %d disconnected callers", callers))
}

func (g *gateway) arrivals(engines []*platformtest.Engine) int {
	n := 0
	for _, e := range engines {
		n += len(e.Arrivals())
	}
	return n
}

func (g *gateway) idle(engines []*platformtest.Engine) bool {
	for _, e := range engines {
		if e.RunningRequests() > 0 {
			return false
		}
	}
	return true
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not within 5 s", what)
}

// twoRegions returns a gateway in lagos without engines, and one in kano with engines.
func twoRegions(t *testing.T) (lagos, kano *gateway, engines []*platformtest.Engine) {
	t.Helper()
	lagos, kano = newGateway(t, "g1", "lagos"), newGateway(t, "g2", "kano")
	lagos.peers = []roster.Host{{Name: "g2", Role: roster.RoleGateway, Region: "kano", Handover: hostPort(kano.handover)}}
	kano.peers = []roster.Host{{Name: "g1", Role: roster.RoleGateway, Region: "lagos", Handover: hostPort(lagos.handover)}}
	lagos.declare()
	kano.declare()
	for range 2 {
		engines = append(engines, kano.start(t, "portal", "b"), kano.start(t, "model", "b"))
	}
	return lagos, kano, engines
}

func TestRequestIsHandedOverWithoutLocalEngines(t *testing.T) {
	lagos, _, engines := twoRegions(t)
	for _, path := range []string{"/safe/1", "/unsafe/1", "/home/1"} {
		result := do(t, lagos, platformtest.Request{Path: path, Body: "x"})
		must.Eq(t, http.StatusOK, result.Status)
		must.Eq(t, platformtest.ResponseBody(result.Engine, result.ID), result.Body)
	}
	result := do(t, lagos, platformtest.Request{Path: "/review/1", IsPrompt: true})
	must.Eq(t, streamBody(5), result.Body)
	must.True(t, result.Complete)
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			for name := range a.Header {
				must.StrNotContains(t, name, "Handover")
			}
		}
	}
}

// TestHandOverReusesAFreshConnection hands over two requests that are not repeatable. The
// second reuses a connection on which an answer has just arrived. A later one opens a new
// connection, since the network may have been partitioned meanwhile.
func TestHandOverReusesAFreshConnection(t *testing.T) {
	lagos, kano, _ := twoRegions(t)
	var opened atomic.Int64
	counted := httptest.NewUnstartedServer(kano.server.HandoverHandler())
	counted.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	counted.Start()
	t.Cleanup(counted.Close)
	lagos.peers[0].Handover = hostPort(counted)
	send := func() {
		result := do(t, lagos, platformtest.Request{Path: "/unsafe/1", Body: "x"})
		must.Eq(t, http.StatusOK, result.Status)
	}
	send()
	openedBefore := opened.Load()
	do(t, lagos, platformtest.Request{Path: "/safe/1"}) // leaves a pooled connection
	send()
	must.Eq(t, openedBefore+1, opened.Load())
	time.Sleep(700 * time.Millisecond)
	send()
	must.Eq(t, openedBefore+2, opened.Load())
}

// TestRequestRunsOnlyInItsHomeRegion has engines in lagos only. A request with the home
// region kano is rejected as not run and reaches none of them.
func TestRequestRunsOnlyInItsHomeRegion(t *testing.T) {
	g, engines := setUp(t)
	result := do(t, g, platformtest.Request{Path: "/home/1"})
	must.True(t, result.GuaranteesNotRun())
	_, arrived := countRuns(engines, result.ID)
	must.Eq(t, 0, arrived)
}

// TestSendsCountAcrossRegions makes every engine reject requests. A request reaches as many
// engines as its route has attempts, over all regions.
func TestSendsCountAcrossRegions(t *testing.T) {
	lagos, kano, engines := twoRegions(t)
	lagos.peers = append(lagos.peers, roster.Host{Name: "g1", Role: roster.RoleGateway, Region: "lagos"})
	local := []*platformtest.Engine{lagos.start(t, "portal", "a"), lagos.start(t, "portal", "a")}
	engines = append(engines, local...)
	injectFault(engines, platformtest.FaultReject, -1)
	for path, want := range map[string]int{"/safe/1": 2, "/unsafe/1": 1, "/unsafe2/1": 2} {
		result := do(t, lagos, platformtest.Request{Path: path})
		must.True(t, result.GuaranteesNotRun(), must.Sprint(path, result.Status))
		_, arrived := countRuns(engines, result.ID)
		must.Eq(t, want, arrived, must.Sprint(path))
	}
	_ = kano
}

// TestNoHandOverLoopBetweenGateways has two gateways in different regions, both without
// engines.
func TestNoHandOverLoopBetweenGateways(t *testing.T) {
	lagos, kano := newGateway(t, "g1", "lagos"), newGateway(t, "g2", "kano")
	lagos.peers = []roster.Host{{Name: "g2", Role: roster.RoleGateway, Region: "kano", Handover: hostPort(kano.handover)}}
	kano.peers = []roster.Host{{Name: "g1", Role: roster.RoleGateway, Region: "lagos", Handover: hostPort(lagos.handover)}}
	lagos.declare()
	kano.declare()
	must.True(t, do(t, lagos, platformtest.Request{Path: "/safe/1"}).GuaranteesNotRun())
}

// TestStartingGatewayServesOnceItHasACatalog sends a request before the gateway has a
// catalog. The request waits, and is served instead of rejected.
func TestStartingGatewayServesOnceItHasACatalog(t *testing.T) {
	g := newGateway(t, "g1", "lagos")
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	handover, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = g.server.Run(ctx, callers, handover) })
	done := make(chan platformtest.Result, 1)
	group.Go(func() {
		var c platformtest.Caller
		result, err := c.Do(context.Background(), callers.Addr().String(), platformtest.Request{Host: "h", Path: "/safe/1", Deadline: 10 * time.Second})
		must.NoError(t, err)
		done <- result
	})
	time.Sleep(100 * time.Millisecond) // the request is waiting now
	g.start(t, "portal", "a")
	g.declare()
	must.Eq(t, http.StatusOK, (<-done).Status)
	cancel()
	group.Wait()
}

// TestStoppingGatewayFinishesRequestsInFlight stops a gateway while a stream is in flight.
func TestStoppingGatewayFinishesRequestsInFlight(t *testing.T) {
	g, _ := setUp(t)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	handover, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = g.server.Run(ctx, callers, handover) })
	var c platformtest.Caller
	done := make(chan platformtest.Result, 1)
	group.Go(func() {
		result, err := c.Do(context.Background(), callers.Addr().String(), platformtest.Request{Host: "h", Path: "/chat/1", IsPrompt: true})
		must.NoError(t, err)
		done <- result
	})
	cancel()
	group.Wait()
	result := <-done
	must.Eq(t, streamBody(5), result.Body)
	must.True(t, result.Complete)
	must.False(t, g.server.Ready())
}
