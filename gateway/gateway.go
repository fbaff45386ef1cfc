// Package gateway serves callers and other entry hosts over HTTP.
//
// A request passes through filters in a fixed order, each of which may end it
// with a refusal:
//
//	receive   the listener's limits, in package net/http
//	identify  request.Identify, from the path and headers
//	permit    permit.Guard, under the configuration's lease
//	region    route.ChooseRegion, skipped for a request handed over
//	engine    fleet.Fleet, with its queue
//	send      relay.Client
//	answer    whole, or visibly failed
//
// The body is not touched before permit has passed. The same filters run on
// the listener for entry hosts, where the hand-over headers are read; there
// the region is fixed to this one, so that no request can circle.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
)

// Authority says under which rules this host may serve now.
type Authority interface {
	// Serving gives the rules in force and the configuration they come from.
	// Without a lease the error is a *request.NotRun.
	Serving() (permit.Guard, declare.Config, error)
}

// Peers tells of the other entry hosts and of other regions.
type Peers interface {
	// Regions gives a digest of each region for a service; that of this
	// host's own region is among them.
	Regions(service string) []route.Digest
	// Entries gives the entry hosts that take requests now: this data
	// centre's first, then this region's, then others.
	Entries() []declare.Host
}

// IdempotencyStore is the home of calls that may run at most once.
type IdempotencyStore interface {
	// Begin records the intent to make a call, or tells what became of an
	// earlier one. After an error the call must not be made.
	Begin(ctx context.Context, call once.Call) (once.Verdict, error)
	// Finish records a call's answer.
	Finish(ctx context.Context, call once.Call, answer once.Answer) error
	// Release forgets an intent of which nothing was sent.
	Release(ctx context.Context, call once.Call) error
	// Lose records that a call's outcome will never be known.
	Lose(ctx context.Context, call once.Call) error
}

// Deps are what a Server needs.
type Deps struct {
	Host      settings.Host
	Limits    settings.Limits
	Authority Authority
	Peers     Peers
	Keys      IdempotencyStore
	Fleet     *fleet.Fleet
	Engines   *relay.Client // connections to engines and to hosts of this region
	Away      *relay.Client // connections to hosts of other regions
	Log       *zap.Logger
	Metrics   *telemetry.Metrics
	Random    func() uint64
}

// Server serves callers and entry hosts. New makes one.
type Server struct {
	Deps
	place    permit.Place
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New makes a server; Run starts it.
func New(deps Deps) *Server {
	return &Server{
		Deps:  deps,
		place: permit.Place{Region: deps.Host.Region, DataCentre: deps.Host.DataCentre},
	}
}

// Run serves both listeners until ctx ends, then finishes what is in flight
// within Limits.StopTime.
func (s *Server) Run(ctx context.Context, callers, handover net.Listener) error {
	servers := []*http.Server{
		s.newHTTPServer(s.CallersHandler()),
		s.newHTTPServer(s.HandoverHandler()),
	}
	listeners := []net.Listener{callers, handover}
	group := pool.New().WithErrors()
	for i := range servers {
		group.Go(func() error {
			if err := servers[i].Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotate(err, "serve")
			}
			return nil
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		return s.stop(servers)
	})
	return group.Wait()
}

// stop refuses what is new and waits for what is in flight.
func (s *Server) stop(servers []*http.Server) error {
	s.stopping.Store(true)
	s.Log.Info("stopping", zap.Int64("in_flight", s.inFlight.Load()), zap.Duration("at_most", s.Limits.StopTime))
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Limits.StopTime)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(stopCtx); err != nil {
			s.Log.Warn("requests cut off", zap.Int64("in_flight", s.inFlight.Load()), telemetry.Cause(err))
			server.Close()
		}
	}
	return nil
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: s.Limits.HeaderTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ErrorLog:          telemetry.HTTPErrors(s.Log),
	}
}

const idleTimeout = 2 * time.Minute

// CallersHandler serves callers.
func (s *Server) CallersHandler() http.Handler {
	router := s.newRouter(s.serveCaller)
	router.GET("/v1/entries", s.serveEntries)
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusNoContent) })
	router.GET("/readyz", s.serveReady)
	return router
}

// HandoverHandler serves other entry hosts.
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
		s.writeError(w, r, request.Request{}, &request.NotRun{Reason: request.ReasonUnknown, Message: "no such path: " + r.URL.Path})
	})
	return router
}

// serveReady tells whether this host takes requests: it has a lease and isn't
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

// InFlight counts the requests that have not ended.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stopping tells whether the server takes no more requests.
func (s *Server) Stopping() bool { return s.stopping.Load() }
