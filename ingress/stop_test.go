package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
)

// keptConnection is a caller's connection that stays open between requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// request sends a request and reads its answer. closes reports whether the answer announces that
// the connection ends.
func (k keptConnection) request(id string) (closes bool, err error) {
	if _, err := io.WriteString(k.conn, platformtest.RawRequest("/unsafe/1", id, 5000)); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// TestKeptConnectionsAreNotCutWhileStopping guards against a request that arrives on an idle
// connection at the moment at which its gateway begins to stop: the server closed the connection
// after it had read the request, so the request ran and its caller got no answer.
func TestKeptConnectionsAreNotCutWhileStopping(t *testing.T) {
	const callers = 60
	for round := range 5 {
		g := newGateway(t, "g1", "lagos")
		g.declare()
		g.startEngine(t, platformtest.EngineOptions{Service: "portal", DataCentre: "a", Slots: 2 * callers})
		var listeners []net.Listener
		for range 2 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			listeners = append(listeners, l)
		}
		ctx, stop := context.WithCancel(context.Background())
		group := pool.New()
		group.Go(func() { _ = g.server.Run(ctx, listeners[0], listeners[1]) })
		var kept []keptConnection
		for i := range callers {
			conn, err := net.Dial("tcp", listeners[0].Addr().String())
			must.NoError(t, err)
			k := keptConnection{conn, bufio.NewReader(conn)}
			closes, err := k.request(fmt.Sprint("first-", round, "-", i))
			must.NoError(t, err)
			must.False(t, closes)
			kept = append(kept, k)
		}
		failures := make([]error, callers)
		requests := pool.New()
		for i, k := range kept {
			requests.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Microsecond) // some before, some after the stop begins
				_, failures[i] = k.request(fmt.Sprint("second-", round, "-", i))
			})
		}
		time.Sleep(200 * time.Microsecond)
		stop()
		requests.Wait()
		for _, err := range failures {
			must.NoError(t, err)
		}
		for _, k := range kept {
			k.conn.Close()
		}
		group.Wait()
	}
}

// TestStoppingGatewayStillCountsSends guards against a stream that breaks off because its gateway,
// which handed it over and is stopping, can't be asked to count one more send. The stopping
// gateway refuses new hand-overs meanwhile.
func TestStoppingGatewayStillCountsSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		lagos, kano := newUnservedGateway(t, "g1", "lagos", time.Now, network), newUnservedGateway(t, "g2", "kano", time.Now, network)
		lagos.peers = []roster.Host{{Name: "g2", Role: roster.RoleGateway, Region: "kano", Handover: "g2:81"}}
		kano.peers = []roster.Host{{Name: "g1", Role: roster.RoleGateway, Region: "lagos", Handover: "g1:81"}}
		group := pool.New()
		stop := make(map[*gateway]context.CancelFunc)
		for _, g := range []*gateway{lagos, kano} {
			deps := g.server.Deps
			deps.Self.Handover, deps.StopTimeout = deps.Self.Name+":81", 8*time.Second
			g.server = ingress.New(deps)
			patient := testCatalog
			patient.Routes = slices.Clone(patient.Routes)
			for i := range patient.Routes {
				patient.Routes[i].Timeout = time.Minute
			}
			g.server.ApplyState(ledger.State{Index: 1, Catalog: patient})
			var ctx context.Context
			ctx, stop[g] = context.WithCancel(context.Background())
			callers, handover := network.listen(deps.Self.Name+":80"), network.listen(deps.Self.Handover)
			group.Go(func() { _ = g.server.Run(ctx, callers, handover) })
		}
		const events = 12
		running, end := context.WithCancel(context.Background())
		var engines []*platformtest.Engine
		for _, address := range []string{"engine1:80", "engine2:80"} {
			e := platformtest.ServeEngine(running, group, network.listen(address), platformtest.EngineOptions{Service: "model", DataCentre: "b", Events: events, Pause: 500 * time.Millisecond})
			kano.register(e, "model", "b")
			engines = append(engines, e)
		}
		injectFault(engines, platformtest.FaultTruncate, 1) // after three seconds
		caller := platformtest.Caller{Client: http.Client{Transport: &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}}}
		var result platformtest.Result
		var err error
		stream := pool.New()
		stream.Go(func() {
			result, err = caller.Do(context.Background(), "g1:80", platformtest.Request{Host: "h", Path: "/review/1", IsPrompt: true, Deadline: 20 * time.Second})
		})
		time.Sleep(100 * time.Millisecond)
		stop[lagos]()
		time.Sleep(2800 * time.Millisecond)
		header := make(http.Header)
		request.Request{ID: "r1", Deadline: time.Now().Add(5 * time.Second)}.WithVisitedHost("g3").SetHandoverHeaders(header, time.Now(), 1)
		refused, refusedErr := caller.Do(context.Background(), "g1:81", platformtest.Request{Host: "h", Path: "/safe/1", Header: header})
		stream.Wait()
		stop[kano]()
		end()
		group.Wait()
		for _, g := range []*gateway{lagos, kano} {
			g.server.Engines.Close()
			g.server.Peers.Close()
		}
		must.NoError(t, err)
		must.True(t, result.Complete, must.Sprint(result.Body))
		must.Eq(t, streamBody(events), result.Body)
		_, arrived := countRuns(engines, result.ID)
		must.Eq(t, 2, arrived)
		must.NoError(t, refusedErr)
		must.True(t, refused.GuaranteesNotRun(), must.Sprint(refused.Status))
	})
}

// TestHandOverRefusedByStoppingGatewayRunsAtAnother guards against a request that is refused to its
// caller because one gateway of the region is stopping.
func TestHandOverRefusedByStoppingGatewayRunsAtAnother(t *testing.T) {
	lagos, _, _ := twoRegions(t)
	stopping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOutcome, request.OutcomeValueNotRun)
		w.Header().Set(request.HeaderReason, string(request.ReasonStopping))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(stopping.Close)
	lagos.peers = append(lagos.peers, roster.Host{Name: "g3", Role: roster.RoleGateway, Region: "kano", Handover: hostPort(stopping)}) // the random number 1 picks the second of two
	must.Eq(t, http.StatusOK, do(t, lagos, platformtest.Request{Path: "/home/1"}).Status)
}

// stoppingGateway is a memoryGateway whose routes and stop are long, and that can be stopped.
type stoppingGateway struct {
	*memoryGateway
	stop context.CancelFunc
}

// stopTimeout is the time that a stoppingGateway has for requests in flight.
const stopTimeout = 7300 * time.Millisecond

// whileStopping runs test in a synctest bubble with a gateway whose engines take so long.
func whileStopping(t *testing.T, engineTime time.Duration, test func(*testing.T, *stoppingGateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		g := &stoppingGateway{memoryGateway: &memoryGateway{gateway: newUnservedGateway(t, "g1", "lagos", time.Now, network), network: network}}
		deps := g.server.Deps
		deps.StopTimeout = stopTimeout
		g.server = ingress.New(deps)
		patient := testCatalog
		patient.Routes = slices.Clone(patient.Routes)
		for i := range patient.Routes {
			patient.Routes[i].Timeout = time.Minute
		}
		g.server.ApplyState(ledger.State{Index: 1, Catalog: patient})
		ctx, cancel := context.WithCancel(context.Background())
		var served context.Context
		served, g.stop = context.WithCancel(context.Background())
		group := pool.New()
		for _, service := range []string{"portal", "model"} {
			e := platformtest.ServeEngine(ctx, group, network.listen(service+":80"), platformtest.EngineOptions{Service: service, DataCentre: "a", Slots: 200, Events: 1, Pause: engineTime})
			g.register(e, service, "a")
			g.portal = append(g.portal, e)
		}
		callers, handover := network.listen(memoryCallers), network.listen("gateway:81")
		group.Go(func() { must.NoError(t, g.server.Run(served, callers, handover)) })
		test(t, g)
		g.stop()
		cancel()
		group.Wait()
		g.server.Engines.Close()
		time.Sleep(engineTime) // until the engines have noticed
	})
}

// lateRequest is a request that arrives while its gateway stops.
type lateRequest struct {
	id         string
	begun, end time.Duration // after the stop began: its head and its last byte
	conn       net.Conn
	status     int // 0 without an answer
	whole      bool
}

// send sends the request and reads its answer.
func (l *lateRequest) send(stoppedAt time.Time) {
	time.Sleep(time.Until(stoppedAt.Add(l.end)))
	if _, err := io.WriteString(l.conn, "y"); err != nil {
		return
	}
	l.whole = true
	resp, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		l.status = resp.StatusCode
	}
}

// TestRequestsLateInTheGraceAreAnswered guards against a request that is whole only late in a planned
// stop, is passed on to an engine that needs longer than the rest of the stop, and gets no
// answer. The connections are opened, and the heads sent, while the gateway still takes requests.
func TestRequestsLateInTheGraceAreAnswered(t *testing.T) {
	for _, path := range []string{"/unsafe/1", "/safe/1", "/chat/1"} {
		for _, engineTime := range []time.Duration{50 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprint(path, engineTime), func(t *testing.T) {
				whileStopping(t, engineTime, func(t *testing.T, g *stoppingGateway) {
					var requests []*lateRequest
					for end := 100 * time.Millisecond; end < stopTimeout; end += 100 * time.Millisecond {
						l := &lateRequest{id: fmt.Sprint("r", len(requests)), end: end}
						l.conn = g.startRequest(t, http.MethodPost, path, l.id, "Content-Length: 1")
						requests = append(requests, l)
					}
					stoppedAt := time.Now()
					g.stop()
					group := pool.New()
					for _, l := range requests {
						group.Go(func() { l.send(stoppedAt) })
					}
					group.Wait()
					ran := make(map[string]int)
					for _, e := range g.portal {
						for id, n := range e.RunCounts() {
							ran[id] += n
						}
					}
					for _, l := range requests {
						must.True(t, !l.whole || l.status != 0, must.Sprintf("no answer to the request that was whole %s after the stop began", l.end))
						refused := l.status == http.StatusServiceUnavailable
						must.False(t, refused && ran[l.id] > 0, must.Sprintf("%s: refused, and ran", l.end))
						must.False(t, l.end > 2600*time.Millisecond && ran[l.id] > 0, must.Sprintf("%s: ran", l.end))
						if l.end < 2400*time.Millisecond && engineTime <= 3*time.Second && path != "/chat/1" { // whose engine has few slots
							must.Eq(t, http.StatusOK, l.status, must.Sprint(l.end))
						}
					}
				})
			})
		}
	}
}

// TestRequestsInFlightAtTheEndOfAStopAreAnswered guards against a connection that closes without an
// answer because its request takes longer than the stop of its gateway.
func TestRequestsInFlightAtTheEndOfAStopAreAnswered(t *testing.T) {
	whileStopping(t, 30*time.Second, func(t *testing.T, g *stoppingGateway) {
		l := &lateRequest{id: "r1", conn: g.startRequest(t, http.MethodPost, "/unsafe/1", "r1", "Content-Length: 1")}
		group := pool.New()
		group.Go(func() { l.send(time.Now()) })
		time.Sleep(time.Second)
		must.MapLen(t, 1, g.portal[0].RunCounts())
		g.stop()
		group.Wait()
		must.Eq(t, http.StatusBadGateway, l.status)
	})
}
