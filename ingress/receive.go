// This file defines the first filters: receive and match.

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
)

// exchange is one request on its way through the filters.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	identity Identity
	rules    *rules
	route    catalog.Route
	service  string
	account  catalog.Account
	known    bool             // the caller holds a key of the account
	grant    *allowance.Grant // what was counted towards its allowance
	body     []byte
	// fingerprint is the same for each repeat of the request.
	fingerprint quarantine.Fingerprint
	began       time.Time
	deadline    time.Time
	fixed       bool     // handed over: it stays here
	tried       []string // regions
	started     bool     // the caller has had the head of an answer
	chunked     bool     // whose length it doesn't tell
	done        progress
	first       time.Duration // from the send until the answer began
	lastAt      time.Time     // when the newest event was passed on
	pause       time.Duration // the longest between two events
}

// serve runs the filters. Every way out writes one final answer, or aborts the
// connection of an answer that has begun.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, fixed bool) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{w: w, r: r, began: s.Clock(), fixed: fixed}
	w.Header()["Date"] = nil // the answer's headers are the engine's own
	err := s.receive(x)
	defer s.release(x)
	if err == nil && callerLeft(r) {
		err = &request.NotRun{Reason: request.ReasonCancelled, Message: "the caller left before its request was read"}
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), s.remaining(x))
		defer cancel()
		x.r = r.WithContext(ctx)
		defer s.Metrics.Begin(x.service)()
		err = s.place(x)
	}
	if err != nil {
		s.refuse(x, request.AsRefusal(err))
	}
}

// receive identifies the request, finds its route and reads its body.
func (s *Server) receive(x *exchange) error {
	remaining := time.Duration(0)
	if !x.fixed {
		request.DropHandover(x.r.Header)
	} else {
		x.done.sends = request.TakeSends(x.r.Header)
		var err error
		if _, remaining, err = request.TakeHandover(x.r.Header); err != nil {
			return err
		}
	}
	var err error
	if x.identity, err = s.Dialect.Identify(x.r.Header); err != nil {
		return err
	}
	if x.fixed {
		x.identity.Remaining = remaining
	}
	x.done.lastEvent = x.identity.LastEvent
	if err := s.match(x); err != nil {
		return err
	}
	if err := s.account(x); err != nil {
		return err
	}
	x.deadline = x.began.Add(x.route.Timeout)
	if wait := x.identity.Remaining; wait > 0 && wait < x.route.Timeout {
		x.deadline = x.began.Add(wait)
	}
	if err := s.readBody(x); err != nil {
		return err
	}
	x.fingerprint = quarantine.FingerprintOf(x.caller(), x.r.Method, x.r.Host, x.r.URL.RequestURI(), x.body)
	return nil
}

// caller gives what is known of who sent the request: its account, or else its key.
func (x *exchange) caller() string {
	if x.account.Name != "" {
		return x.account.Name
	}
	return string(x.identity.Key)
}

// match finds the route and draws the service.
func (s *Server) match(x *exchange) error {
	x.rules = s.rules.Load()
	if x.rules == nil || x.rules.table.Version() == 0 {
		return &request.NotRun{Reason: request.ReasonNoLease, Message: "this gateway knows no catalog yet", RetryAfter: catalogWait}
	}
	host := x.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, ok := x.rules.table.Match(host, x.r.URL.EscapedPath())
	if !ok {
		return &request.NotRun{Reason: request.ReasonUnknown, Message: "no route for " + host + x.r.URL.Path}
	}
	x.route, x.service = route, route.Pick(s.Random())
	return nil
}

// catalogWait is when to come back to a gateway that has just started.
const catalogWait = 500 * time.Millisecond

// readBody reads the body into memory, so that it can be sent again.
func (s *Server) readBody(x *exchange) error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.rules.table.Limits().BodyBytes
	if limit <= 0 {
		limit = heldBytes
	}
	if x.r.ContentLength > limit {
		return tooLong(limit)
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(time.Now().Add(s.remaining(x))) // a recorder in tests has none
	into := bytes.NewBuffer(make([]byte, 0, max(0, min(x.r.ContentLength, limit))+bytes.MinRead))
	_, err := into.ReadFrom(io.LimitReader(x.r.Body, limit+1))
	x.body = into.Bytes()
	if s.held.Add(int64(len(x.body))) > heldBytes {
		return &request.NotRun{Reason: request.ReasonOverload, Message: "the bodies in memory are too many", RetryAfter: time.Second}
	}
	if err != nil {
		return &request.NotRun{Reason: request.ReasonBadRequest, Message: "the body ended early: " + err.Error()}
	}
	if int64(len(x.body)) > limit {
		return tooLong(limit)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

func tooLong(limit int64) error {
	return &request.NotRun{Reason: request.ReasonTooLarge, Message: errors.Errorf("the body is longer than %d bytes", limit).Error()}
}

func (s *Server) release(x *exchange) { s.held.Add(-int64(len(x.body))) }

func (x *exchange) reader() io.Reader {
	if len(x.body) == 0 {
		return nil
	}
	return bytes.NewReader(x.body)
}

// ask gives what the choice of an engine needs to know.
func (x *exchange) ask(tried []string) dispatch.Ask {
	return dispatch.Ask{
		ID: x.identity.ID, Route: x.route.Name, Service: x.service, Prompt: x.identity.Prompt, Deadline: x.deadline, Tried: tried,
		Target: x.route.Target, Permitted: x.permitted, Fingerprint: x.fingerprint,
	}
}

// permitted tells whether the request may run in a region: the homes of its route and
// of its account both bind.
func (x *exchange) permitted(region string) bool {
	return x.route.Permits(region) && x.account.Permits(region)
}

// fields are on each log line of a request.
func (x *exchange) fields(more ...zap.Field) []zap.Field {
	var version int64
	var index uint64
	if x.rules != nil {
		version, index = x.rules.table.Version(), x.rules.index
	}
	return slices.Concat([]zap.Field{
		zap.String("request", x.identity.ID), zap.String("route", x.route.Name), zap.String("service", x.service), zap.String("account", x.account.Name),
		zap.Int64("version", version), zap.Uint64("index", index), zap.Bool("handed_over", x.fixed),
	}, more)
}
