// This file defines the first filters: receive, identify and permit.

package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
)

// exchange is the state of one request in the filters.
type exchange struct {
	w          http.ResponseWriter
	r          *http.Request
	req        request.Request
	guard      permit.Guard
	config     declare.Config
	service    declare.Service
	receivedAt time.Time
	handedOver bool // by another entry host; the request must be served in this region
}

func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	now := time.Now()
	req, err := request.Identify(params.ByName("service"), params.ByName("rest"), r.Method, r.Header, now, s.Limits.RequestTime)
	if err != nil {
		s.writeError(w, r, request.Request{Service: params.ByName("service")}, request.AsRefusal(err))
		return
	}
	s.serve(&exchange{w: w, r: r, req: req, receivedAt: now})
}

func (s *Server) serveHandover(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	now := time.Now()
	w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
	visited, timeout, err := request.ExtractHandover(r.Header)
	if err != nil {
		s.writeError(w, r, request.Request{Service: params.ByName("service")}, request.AsRefusal(err))
		return
	}
	req, err := request.Identify(params.ByName("service"), params.ByName("rest"), r.Method, r.Header, now, timeout)
	if err != nil {
		s.writeError(w, r, request.Request{Service: params.ByName("service")}, request.AsRefusal(err))
		return
	}
	for _, host := range visited {
		req = req.WithVisitedHost(host)
	}
	s.serve(&exchange{w: w, r: r, req: req, receivedAt: now, handedOver: true})
}

// serve runs the filters. It always either writes a complete answer or aborts the
// connection.
func (s *Server) serve(x *exchange) {
	defer s.Metrics.RequestStarted(x.req.Service)()
	if s.inFlight.Add(1) > int64(s.Limits.InFlight) {
		s.inFlight.Add(-1)
		s.writeError(x.w, x.r, x.req, &request.NotRun{Reason: request.ReasonOverload, Message: "this host has too many requests in flight", RetryAfter: time.Second})
		return
	}
	defer s.inFlight.Add(-1)
	if err := s.permit(x); err != nil {
		s.writeError(x.w, x.r, x.req, request.AsRefusal(err))
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.req.Deadline)
	defer cancel()
	_ = http.NewResponseController(x.w).SetReadDeadline(x.req.Deadline)
	x.r = x.r.WithContext(ctx)
	if x.service.Type == declare.ServiceModel {
		s.serveModel(x)
		return
	}
	s.servePlain(x)
}

// permit checks whether this host may serve the request. It does not read the body.
func (s *Server) permit(x *exchange) error {
	if s.stopping.Load() {
		return &request.NotRun{Reason: request.ReasonStopping, Message: "this host is stopping", RetryAfter: time.Second}
	}
	guard, config, err := s.Authority.Serving()
	if err != nil {
		return err
	}
	x.guard, x.config = guard, config
	service, ok := config.Service(x.req.Service)
	if !ok {
		return &request.NotRun{Reason: request.ReasonUnknownService, Message: "service " + quote(x.req.Service) + " is not declared"}
	}
	x.service = service
	if _, ok := config.Get(declare.Ref{Kind: declare.KindRegion, Name: x.req.HomeRegion}); !ok {
		return request.BadRequestf("header %s names %q, which is not a region", request.HeaderHome, x.req.HomeRegion)
	}
	if service.Deadline > 0 {
		x.req = x.req.WithDeadline(x.receivedAt.Add(service.Deadline))
	}
	if ok, why := guard.PermitsRegion(x.req, s.place); !ok {
		return &request.NotRun{Reason: request.ReasonNotPermitted, Message: why, Location: s.redirectLocation(x)}
	}
	return nil
}

// redirectLocation returns the request's URL on an entry host that may serve it. It
// returns "" if no such host is known, or if the request was already handed over.
func (s *Server) redirectLocation(x *exchange) string {
	if x.handedOver {
		return ""
	}
	for _, host := range s.Peers.EntryHosts() {
		place := permit.Place{Region: x.config.RegionOf(host.DataCentre), DataCentre: host.DataCentre}
		if ok, _ := x.guard.PermitsRegion(x.req, place); ok && place != s.place {
			return "http://" + host.Callers + x.r.URL.RequestURI()
		}
	}
	return ""
}

func quote(s string) string { return `"` + strings.ReplaceAll(s, `"`, `'`) + `"` }

// logError logs and counts the error that ends a request.
func (s *Server) logError(req request.Request, refusal request.Refusal) {
	fields := []zap.Field{
		zap.String("request", req.ID),
		zap.String("service", req.Service),
		zap.String("home", req.HomeRegion),
		zap.Strings("path", req.VisitedHosts),
	}
	switch r := refusal.(type) {
	case *request.NotRun:
		s.Log.Info("not run", append(fields, zap.String("reason", string(r.Reason)), zap.String("why", r.Message), zap.String("location", r.Location))...)
		s.Metrics.CountRequest(req.Service, string(r.Reason))
	case *request.OutcomeUnknown:
		s.Log.Warn("outcome unknown", append(fields, zap.String("why", r.Message))...)
		s.Metrics.CountRequest(req.Service, "outcome_unknown")
	}
}
