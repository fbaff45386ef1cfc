// This file defines the first stages: decoding the headers, matching the route and reading
// the body.

package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/streams"
)

// exchange is one request and its state as it passes through the stages.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	meta     RequestMetadata
	catalog  *catalogSnapshot // at the time of the request
	route    catalog.Route
	service  string
	account  catalog.Account
	keyValid bool             // the request carries a valid key of account
	charged  *allowance.Grant // the charge to the account's allowance; nil for none
	body     []byte
	buffer   buffer // that holds body
	// fingerprint is the same for each repeat of the request.
	fingerprint    quarantine.Fingerprint
	startedAt      time.Time
	deadline       time.Time
	handedOver     bool                // by another gateway; the request runs in the local region
	counter        request.SendCounter // where that gateway counts sends
	triedRegions   []string
	answerStarted  bool    // the answer's head was sent to the caller
	framing        framing // of the last answer that arrived
	callerFraming  framing // of the answer that the caller gets
	endPromised    bool    // the answer's head states that its end will show whether it is complete
	trailingBytes  int     // after the last complete event of a stream that has ended
	endUnconfirmed bool    // the last answer ended with its connection, so it may be incomplete
	progress       progress
	origin         *streams.Origin // of the stream that further attempts continue; nil before its first event
	firstByteAfter time.Duration   // from the send until the answer began
	lastEventAt    time.Time       // when the last stream event was relayed
	longestPause   time.Duration   // between two stream events
}

// serve passes a request through all stages. Every path writes exactly one final answer,
// or aborts the connection if the answer has begun.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handedOver bool) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{w: w, r: r, startedAt: s.Clock(), handedOver: handedOver}
	w.Header()["Date"] = nil // net/http must add none: the engine's headers are relayed unchanged
	err := s.receive(x)
	defer s.releaseBody(x)
	if err == nil && callerDisconnected(r) {
		err = &request.NotRun{Reason: request.ReasonCancelled, Message: "the caller left before its request was read"}
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), s.remaining(x))
		defer cancel()
		defer context.AfterFunc(s.requestsEnd, cancel)()
		x.r = r.WithContext(ctx)
		if err = s.findOrigin(x); err == nil {
			defer s.Metrics.RequestStarted(x.service)()
			err = s.runInBestRegion(x)
		}
	}
	if err != nil {
		s.writeRejection(x, request.AsRefusal(err))
		return
	}
	x.closeCleanly()
}

// receive decodes the headers, matches the route, checks the account and reads the body.
func (s *Server) receive(x *exchange) error {
	remaining := time.Duration(0)
	var origin *streams.Origin
	if !x.handedOver {
		request.RemoveHandoverHeaders(x.r.Header)
	} else {
		x.progress.sends = request.ParseSends(x.r.Header)
		origin = request.ParseOrigin(x.r.Header)
		x.counter = request.ParseCounter(x.r.Header)
		var err error
		if _, remaining, err = request.ExtractHandover(x.r.Header); err != nil {
			return err
		}
		if s.drained.Load() {
			return s.checkStopping(x) // before the body is read
		}
	}
	var err error
	if x.meta, err = s.Dialect.DecodeRequest(x.r.Header); err != nil {
		return err
	}
	if x.handedOver {
		x.meta.Timeout = remaining
	}
	x.progress.lastEventID = x.meta.LastEventID
	if err := s.matchRoute(x); err != nil {
		return err
	}
	if origin != nil && continuesStreams(x.route) {
		if err := x.adoptOrigin(*origin); err != nil {
			return err
		}
	}
	if err := s.checkAccount(x); err != nil {
		return err
	}
	x.deadline = x.startedAt.Add(x.route.Timeout)
	if timeout := x.meta.Timeout; timeout > 0 && timeout < x.route.Timeout {
		x.deadline = x.startedAt.Add(timeout)
	}
	if err := s.readBody(x); err != nil {
		return err
	}
	x.fingerprint = quarantine.FingerprintOf(x.callerID(), x.r.Method, x.r.Host, x.r.URL.RequestURI(), x.body)
	return s.checkStopping(x)
}

// callerID identifies the caller for the fingerprint: by its account, or else by its key.
func (x *exchange) callerID() string {
	if x.account.Name != "" {
		return x.account.Name
	}
	return string(x.meta.Key)
}

// matchRoute finds the route and picks one of its services at random, by weight.
func (s *Server) matchRoute(x *exchange) error {
	x.catalog = s.catalog.Load()
	if x.catalog == nil || x.catalog.table.Version() == 0 {
		return &request.NotRun{Reason: request.ReasonNoLease, Message: "this gateway knows no catalog yet", RetryAfter: catalogRetryAfter}
	}
	host := x.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, ok := x.catalog.table.Match(host, x.r.URL.EscapedPath())
	if !ok {
		return &request.NotRun{Reason: request.ReasonUnknownService, Message: "no route for " + host + x.r.URL.Path}
	}
	x.route, x.service = route, route.PickService(s.Random())
	return nil
}

// catalogRetryAfter is the Retry-After of a gateway that has no catalog yet.
const catalogRetryAfter = 500 * time.Millisecond

// readBody reads the body into memory, so that it can be sent to several engines.
func (s *Server) readBody(x *exchange) error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.catalog.table.Limits().BodyBytes
	if limit <= 0 || limit > s.buffers.limit {
		limit = s.buffers.limit
	}
	if x.r.ContentLength > limit {
		return bodyTooLong(limit)
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(time.Now().Add(s.remaining(x))) // not supported by httptest.ResponseRecorder
	x.buffer.budget = &s.buffers
	err := x.buffer.read(x.r.Body, x.r.ContentLength, int(limit)+1)
	x.body = x.buffer.data
	if errors.Is(err, errBuffersFull) {
		return &request.NotRun{Reason: request.ReasonOverload, Message: "the bodies in memory are too many", RetryAfter: time.Second}
	}
	if err != nil {
		return &request.NotRun{Reason: request.ReasonBadRequest, Message: "the body ended early: " + err.Error()}
	}
	if int64(len(x.body)) > limit {
		return bodyTooLong(limit)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

func bodyTooLong(limit int64) error {
	return &request.NotRun{Reason: request.ReasonTooLarge, Message: errors.Errorf("the body is longer than %d bytes", limit).Error()}
}

func (s *Server) releaseBody(x *exchange) {
	if x.buffer.budget != nil {
		x.buffer.release()
	}
}

func (x *exchange) bodyReader() io.Reader {
	if len(x.body) == 0 {
		return nil
	}
	return bytes.NewReader(x.body)
}

// dispatchRequest returns the description of the request for the dispatcher.
func (x *exchange) dispatchRequest(triedEngines []string) dispatch.Request {
	target := x.route.Target
	if x.origin != nil {
		// A stream that waits for its own version is worth more than one that ends here.
		target = max(target, x.deadline.Sub(x.startedAt))
	}
	return dispatch.Request{
		ID: x.meta.ID, Route: x.route.Name, Service: x.service, Prompt: x.meta.Prompt, Deadline: x.deadline, Tried: triedEngines,
		Target: target, MaxPause: x.route.MaxPause, Priority: x.account.PriorityOn(x.route), Account: x.account.Name,
		Permitted: x.mayRunIn, Fingerprint: x.fingerprint, Origin: x.origin,
	}
}

// mayRunIn reports whether the request may run in a region. Both its route and its account
// must permit the region.
func (x *exchange) mayRunIn(region string) bool {
	return x.route.PermitsRegion(region) && x.account.PermitsRegion(region)
}

// logFields returns the fields that each log line about the request has, plus more.
func (x *exchange) logFields(more ...zap.Field) []zap.Field {
	var version int64
	var index uint64
	if x.catalog != nil {
		version, index = x.catalog.table.Version(), x.catalog.index
	}
	return slices.Concat([]zap.Field{
		zap.String("request", x.meta.ID), zap.String("route", x.route.Name), zap.String("service", x.service), zap.String("account", x.account.Name),
		zap.Int64("version", version), zap.Uint64("index", index), zap.Bool("handed_over", x.handedOver),
	}, more)
}
