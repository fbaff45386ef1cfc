// Package gateway serves HTTP requests of callers, and of other entry hosts that hand
// requests over.
//
// A request passes through a fixed sequence of filters, each of which may end it with an
// error:
//
//	receive   limits of the listener, in package net/http
//	identify  request.Identify, from the path and headers
//	permit    permit.Guard, under the lease of the configuration
//	region    route.ChooseRegion; skipped for a request that was handed over
//	engine    fleet.Fleet, with its queue
//	send      relay.Client
//	answer    delivered completely, or with a visible failure
//
// The body is not read before the permit filter has passed. The listener for entry hosts
// runs the same filters, and also reads the hand-over headers. It serves requests in this
// region only, so that a request can't be handed over in a loop.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/internal/httpdrain"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
)

// Authority provides the permit rules under which this host may serve requests.
type Authority interface {
	// Serving returns the effective rules and the configuration that they come from.
	// If this host has no lease, the error is a *request.NotRun.
	Serving() (permit.Guard, declare.Config, error)
}

// Peers provides the state of other entry hosts and of all regions.
type Peers interface {
	// RegionDigests returns a digest of the service's engines for each region, including
	// this host's own.
	RegionDigests(service string) []route.Digest
	// EntryHosts returns the entry hosts that accept requests now. Those of this data
	// centre come first, then those of this region, then the others.
	EntryHosts() []declare.Host
}

// IdempotencyStore records calls with idempotency keys, at the home region of each key, so
// that each call runs at most once.
type IdempotencyStore interface {
	// Begin records the intent to make a call, or returns the state of an earlier call
	// with the same key. If it returns an error, the call must not be made.
	Begin(ctx context.Context, call once.Call) (once.Verdict, error)
	// Finish records the answer to a call.
	Finish(ctx context.Context, call once.Call, answer once.Answer) error
	// Release deletes the intent of a call that was not sent.
	Release(ctx context.Context, call once.Call) error
	// MarkUnknown records that the outcome of a call will never be known.
	MarkUnknown(ctx context.Context, call once.Call) error
}

// Deps are the dependencies of a Server.
type Deps struct {
	Host             settings.Host
	Limits           settings.Limits
	Authority        Authority
	Peers            Peers
	IdempotencyStore IdempotencyStore
	Fleet            *fleet.Fleet
	EngineClient     *relay.Client // for engines of this region
	HandoverClient   *relay.Client // for entry hosts of other regions
	Log              *zap.Logger
	Metrics          *telemetry.Metrics
	Random           func() uint64
}

// Server serves callers and other entry hosts. New creates one.
type Server struct {
	Deps
	place    permit.Place
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New returns a server. Run starts it.
func New(deps Deps) *Server {
	return &Server{
		Deps:  deps,
		place: permit.Place{Region: deps.Host.Region, DataCentre: deps.Host.DataCentre},
	}
}

// Run serves both listeners until ctx is cancelled. Then it waits up to Limits.StopTime
// for requests in flight before it closes their connections.
func (s *Server) Run(ctx context.Context, callers, handover net.Listener) error {
	servers := []*httpdrain.Server{
		httpdrain.New(s.newHTTPServer(s.CallersHandler()), callers),
		httpdrain.New(s.newHTTPServer(s.HandoverHandler()), handover),
	}
	group := pool.New().WithErrors()
	for _, server := range servers {
		group.Go(server.Serve)
	}
	group.Go(func() error {
		<-ctx.Done()
		s.stop(servers)
		return nil
	})
	return group.Wait()
}

// stop rejects new requests and waits for those in flight.
func (s *Server) stop(servers []*httpdrain.Server) {
	s.stopping.Store(true)
	s.Log.Info("stopping", zap.Int64("in_flight", s.inFlight.Load()), zap.Duration("at_most", s.Limits.StopTime))
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Limits.StopTime)
	defer cancel()
	for _, server := range servers {
		if !server.Drain(stopCtx) {
			s.Log.Warn("stop timeout reached, closing connections with requests in flight", zap.Int64("in_flight", s.inFlight.Load()))
		}
		server.Close()
	}
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ErrorLog:          telemetry.HTTPErrorLogger(s.Log),
	}
}

const idleTimeout = 2 * time.Minute

// CallersHandler returns the handler for the listener of callers.
func (s *Server) CallersHandler() http.Handler {
	router := s.newRouter(s.serveCaller)
	router.GET("/v1/entries", s.serveEntries)
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusNoContent) })
	router.GET("/readyz", s.serveReady)
	return router
}

// HandoverHandler returns the handler for the listener of other entry hosts.
func (s *Server) HandoverHandler() http.Handler { return s.newRouter(s.serveHandover) }

func (s *Server) newRouter(handle httprouter.Handle) *httprouter.Router {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/services/:service/*rest", handle)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, r, request.Request{}, &request.NotRun{Reason: request.ReasonUnknownService, Message: "no such path: " + r.URL.Path})
	})
	return router
}

// serveReady reports whether this host accepts requests: it has a lease and is not
// stopping.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if _, _, err := s.Authority.Serving(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if s.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stopping reports whether the server is stopping and rejects new requests.
func (s *Server) Stopping() bool { return s.stopping.Load() }
