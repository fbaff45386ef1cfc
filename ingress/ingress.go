package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/httpdrain"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/streams"
	"github.com/linenscale/linenscale/telemetry"
)

// Limits of one gateway.
const (
	// maxHeaderBytes bounds the header of a request. Catalogs may state a lower limit, which
	// this server doesn't enforce.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller stays open. It is longer than
	// any that catalogs have asked for, so that callers close first.
	idleTimeout = 60 * time.Second
	// drainDelay is how long a stopping gateway still accepts connections and requests,
	// because callers use lists of gateways that are some seconds old.
	drainDelay = 2500 * time.Millisecond
	// lastAnswersTime is how long after the stop timeout the rejections of the requests that it has
	// ended may still be written.
	lastAnswersTime = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping gateway: another one can be asked at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// firstCatalogTimeout is how long a gateway that has just started leaves new
	// connections waiting for the first catalog. It is shorter than the second after which
	// callers give up on a connection that isn't read.
	firstCatalogTimeout = 900 * time.Millisecond
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
)

// Deps holds the dependencies and settings of a Server.
type Deps struct {
	Self       roster.Host
	Dialect    Dialect
	Dispatcher *dispatch.Dispatcher
	Gateways   func() []roster.Host
	Engines    *relay.Client
	Peers      *relay.Client // sends requests to gateways of other regions
	Dialer     relay.Dialer  // opens connections that probe suspected engines
	Log        *zap.Logger
	Metrics    *telemetry.Metrics
	Random     func() uint64
	// Clock is the clock for deadlines and estimates. It continues while the host is
	// suspended, so that no engine gets more time than its caller has left.
	Clock       func() time.Time
	StopTimeout time.Duration // time for requests in flight to finish after Run's context ends
	KeyLease    KeyLease
	Allowances  *allowance.Meter // nil if allowances are not enforced
	Regions     []string         // all regions of the deployment
	Streams     *streams.Directory
	// BufferBytes bounds the bodies and answers that all requests together hold in memory;
	// 0 for DefaultBufferBytes.
	BufferBytes int64
}

// Server is the HTTP server of one gateway. Create it with New.
type Server struct {
	Deps
	applying sync.Mutex // held while a state is applied
	catalog  atomic.Pointer[catalogSnapshot]
	buffers  bufferBudget

	sendCounters  sendCounters
	inFlight      atomic.Int64
	stopping      atomic.Bool
	drained       atomic.Bool               // requests that don't run yet are rejected
	endsAt        atomic.Pointer[time.Time] // when requests in flight end, once the gateway is stopping
	requestsEnd   context.Context           // ends when requests in flight have to
	endOfRequests context.CancelFunc

	remotePaths pathTable
}

// catalogSnapshot is the catalog as of one index of the ledger.
type catalogSnapshot struct {
	index uint64
	table *catalog.Table
}

// New returns a server that has no catalog yet, so it is not ready.
func New(deps Deps) *Server {
	s := &Server{Deps: deps}
	s.requestsEnd, s.endOfRequests = context.WithCancel(context.Background())
	s.buffers.limit = deps.BufferBytes
	if s.buffers.limit <= 0 {
		s.buffers.limit = DefaultBufferBytes
	}
	return s
}

// ApplyState applies a state of the ledger. It ignores a state that is not newer than the
// current one. Control hosts provide states concurrently, and a large one takes long to
// index, so an older state could otherwise replace one that arrived meanwhile.
func (s *Server) ApplyState(state ledger.State) {
	s.applying.Lock()
	defer s.applying.Unlock()
	current := s.catalog.Load()
	if current != nil && current.index >= state.Index {
		return
	}
	table := catalog.NewTable(state.Catalog)
	s.Dispatcher.ApplyState(state, table)
	s.catalog.Store(&catalogSnapshot{state.Index, table})
	s.Metrics.RecordRevision(state.Catalog.Version)
}

// Ready reports whether the gateway accepts requests: it has a catalog and isn't stopping.
func (s *Server) Ready() bool {
	current := s.catalog.Load()
	return !s.stopping.Load() && current != nil && current.table.Version() > 0
}

// Stopping reports whether the gateway is shutting down.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// BufferShare returns the fraction of the memory for bodies and answers that is in use.
func (s *Server) BufferShare() float64 { return s.buffers.share() }

// Run serves both listeners until ctx ends, then finishes the requests in flight within
// StopTimeout. Connections wait in the listeners until the first catalog arrives, or
// firstCatalogTimeout has passed.
func (s *Server) Run(ctx context.Context, callers, handover net.Listener) error {
	s.awaitCatalog(ctx)
	fromCallers := httpdrain.New(s.newHTTPServer(s.CallersHandler()), callers)
	fromGateways := httpdrain.New(s.newHTTPServer(s.HandoverHandler()), handover)
	group := pool.New().WithErrors()
	group.Go(fromCallers.Serve)
	group.Go(fromGateways.Serve)
	group.Go(func() error {
		<-ctx.Done()
		s.stop(fromCallers, fromGateways)
		return nil
	})
	return group.Wait()
}

// awaitCatalog waits for the first catalog, and for a key lease if one is required, for at
// most firstCatalogTimeout. After that, requests are rejected with a Retry-After.
func (s *Server) awaitCatalog(ctx context.Context) {
	for until := time.Now().Add(firstCatalogTimeout); time.Now().Before(until) && ctx.Err() == nil && !s.canServeKeys(); {
		time.Sleep(firstCatalogTimeout / 50)
	}
}

// canServeKeys reports whether requests with an API key can be served.
func (s *Server) canServeKeys() bool {
	if !s.Ready() {
		return false
	}
	current := s.catalog.Load()
	if !current.table.HasAccounts() {
		return true
	}
	_, fresh := s.KeyLease.checkFreshness(current.index)
	return fresh
}

// stop shuts the servers down. It first keeps serving for callers that haven't learned of
// the stop yet, as far as an answer fits into the rest of StopTimeout. Then it refuses what isn't
// running yet, and finishes the requests in flight. Those that don't end in time are answered as
// failed: a connection that closes says nothing about the outcome. While callers'
// requests run, gateways that they were handed over to must be able to have sends counted, or they
// break streams off.
func (s *Server) stop(callers, handover *httpdrain.Server) {
	endsAt := s.Clock().Add(s.StopTimeout)
	s.endsAt.Store(&endsAt)
	s.stopping.Store(true)
	s.Log.Info("stopping", zap.Int64("in_flight", s.inFlight.Load()), zap.Duration("at_most", s.StopTimeout))
	s.Streams.HandOff()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	// Until then, answers announce the end of callers' connections. The server must not close
	// idle ones by itself: a request that arrives at that moment would be lost.
	time.Sleep(min(drainDelay, s.StopTimeout/2))
	s.drained.Store(true)
	for _, server := range []*httpdrain.Server{callers, handover} {
		if !server.Drain(stopCtx) {
			s.Log.Warn("stop timeout reached, ending requests in flight", zap.Int64("in_flight", s.inFlight.Load()))
			s.endRequests(server)
		}
		server.Close()
	}
}

// endRequests ends the requests in flight and waits until they have been answered.
func (s *Server) endRequests(server *httpdrain.Server) {
	s.endOfRequests()
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	server.Drain(ctx)
}

// checkStopping returns a rejection if the gateway is stopping and no longer runs requests, and ends
// a request that it still runs with the stop.
func (s *Server) checkStopping(x *exchange) error {
	if s.drained.Load() {
		retryAfter := stoppingRetryAfter
		if x.handedOver {
			retryAfter = regionRetryAfter // for callers of the other gateway, which asks another one here first
		}
		return &request.NotRun{Reason: request.ReasonStopping, Message: "the gateway is stopping", RetryAfter: retryAfter}
	}
	if endsAt := s.endsAt.Load(); endsAt != nil && endsAt.Before(x.deadline) {
		x.deadline = *endsAt
	}
	return nil
}

// announceClose makes an answer tell the caller to close its connection if the gateway is stopping.
func (s *Server) announceClose(header http.Header) {
	if s.Stopping() {
		header.Set("Connection", "close")
	}
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          telemetry.HTTPErrorLogger(s.Log),
		ConnContext:       withConn,
	}
}

// CallersHandler returns the handler for requests of callers.
func (s *Server) CallersHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, false) })
}

// HandoverHandler returns the handler for requests that other gateways hand over. Those
// are not handed over again.
func (s *Server) HandoverHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.serveCount(w, r) {
			s.serve(w, r, true)
		}
	})
}
