// This file defines the attempts of one request: where each goes, when there
// is another, and how an answer is delivered.

package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/telemetry"
)

// payload is the body of a request and what is known of it.
type payload struct {
	whole   []byte   // held in memory, so that it can be sent again
	flow    *bodyEnd // or passed on as it comes, once
	length  int64    // -1 if unknown
	stream  bool     // the caller asked for an event stream
	prefill time.Duration
	record  *recorder // keeps the answer of a call with a key; nil for none
	// fingerprint is the same for each repeat of the request; 0 for a body that is passed
	// on as it comes, of which nothing is known before an engine has it.
	fingerprint quarantine.Fingerprint
}

func (p *payload) reader() io.Reader {
	if p.flow != nil {
		return p.flow
	}
	if len(p.whole) == 0 {
		return nil
	}
	return bytes.NewReader(p.whole)
}

// spent tells whether the body can't be sent again.
func (p *payload) spent() bool { return p.flow != nil && p.flow.read > 0 }

// engineNeed is the least time that an engine needs for anything useful.
const engineNeed = 20 * time.Millisecond

// progress is what the attempts so far have shown.
type progress struct {
	tried   []string
	sent    bool // some attempt may have reached an engine
	last    error
	away    bool // a hand-over failed: stay here
	attempt int
}

// attempts sends the request until it is answered or given up. A nil error
// means that an answer has been written; a failure after its first byte aborts
// the connection and doesn't return.
func (s *Server) attempts(x *exchange, p *payload) error {
	var done progress
	if p.flow == nil {
		p.fingerprint = quarantine.FingerprintOf(x.req.Account, x.r.Method, x.req.Service, x.r.URL.RequestURI(), p.whole)
	}
	for done.attempt = 1; done.attempt <= retry.MaxAttempts; done.attempt++ {
		again, err := s.attempt(x, p, &done)
		if err == nil {
			return nil
		}
		done.last = err
		if !again || p.spent() || x.r.Context().Err() != nil {
			break
		}
	}
	return s.giveUp(x, &done)
}

// retryEngine is when to come back, at the soonest, after engines refused or could not be reached.
const retryEngine = time.Second

// giveUp turns the last failure into the final answer. How long one engine wants nothing is no
// matter of the caller's, whom others may serve sooner.
func (s *Server) giveUp(x *exchange, done *progress) error {
	if done.sent {
		return &request.OutcomeUnknown{Message: done.last.Error()}
	}
	var refusal *request.NotRun
	if errors.As(done.last, &refusal) {
		return refusal
	}
	var failure *relay.Failure
	if errors.As(done.last, &failure) {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: failure.Error(), RetryAfter: max(retryEngine, s.Fleet.AvailableIn(x.req.Service))}
	}
	return &request.OutcomeUnknown{Message: done.last.Error()}
}

// attempt makes one attempt, in another region or in this one. It tells
// whether another attempt is allowed.
func (s *Server) attempt(x *exchange, p *payload, done *progress) (again bool, err error) {
	if !x.fixed && !done.away {
		choice, digests := s.chooseRegion(x, p)
		if choice.Index >= 0 && digests[choice.Index].Region != s.place.Region {
			return s.attemptAway(x, p, done, digests[choice.Index].Region, choice.Reason)
		}
	}
	return s.attemptHere(x, p, done)
}

// chooseRegion prefers the member's home region.
func (s *Server) chooseRegion(x *exchange, p *payload) (route.RegionChoice, []route.Digest) {
	digests := s.Peers.Regions(x.req.Service)
	home := -1
	for i := range digests {
		if digests[i].Region == x.req.Home {
			home = i
		}
	}
	policy := x.service.Policy
	weights := route.Weights{Tail: policy.Tail, Cost: policy.Cost, Away: policy.Away, Target: policy.FirstToken}
	ask := route.RegionAsk{
		Prefill:   p.prefill,
		Permitted: func(region string) bool { return s.regionPermitted(x, region) },
	}
	choice := route.ChooseRegion(time.Now(), digests, home, weights, &ask, s.Random())
	if choice.Index >= 0 {
		s.Log.Info("region chosen",
			zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.Uint64("revision", x.config.Revision()),
			zap.String("home", x.req.Home), zap.String("region", digests[choice.Index].Region),
			zap.String("reason", choice.Reason), zap.Duration("expected", choice.Expected))
	}
	return choice, digests
}

func (s *Server) regionPermitted(x *exchange, region string) bool {
	for _, dc := range declare.Each[declare.DataCentre](x.config) {
		if dc.Region != region {
			continue
		}
		if ok, _ := x.guard.Region(x.req, permit.Place{Region: region, DataCentre: dc.Name}); ok {
			return true
		}
	}
	return false
}

// attemptHere sends the request to an engine of this region.
func (s *Server) attemptHere(x *exchange, p *payload, done *progress) (again bool, err error) {
	ticket, err := s.Fleet.Acquire(x.r.Context(), fleet.Ask{
		Request:   x.req,
		Permitted: func(place permit.Place, labels declare.Labels) bool { return x.guard.Engine(x.req, place, labels) },
		Prefill:   p.prefill,
		Need:      engineNeed,
		Tried:     done.tried,

		Fingerprint: p.fingerprint,
	})
	if err != nil {
		return false, err
	}
	if done.attempt > 1 && !ticket.Retry() {
		ticket.Done(fleet.Result{Outcome: fleet.Unsent})
		return false, done.last
	}
	done.tried = append(done.tried, ticket.Engine)
	s.logEngine(x, ticket, done.attempt)
	if err := s.recheck(x, ticket); err != nil {
		ticket.Done(fleet.Result{Outcome: fleet.Unsent})
		return false, err
	}
	began := time.Now()
	resp, err := s.Engines.Send(x.r.Context(), s.engineCall(x, p, ticket))
	if err != nil {
		return s.attemptFailed(x, p, done, ticket, err)
	}
	d := s.deliver(x, p, resp, "http://"+ticket.Address, began, ticket.Waited)
	if d.err == nil {
		ticket.Done(fleet.Result{Outcome: fleet.Answered, First: d.first})
		s.Metrics.Attempt(x.req.Service, "answered")
		return false, nil
	}
	again, err = s.attemptFailed(x, p, done, ticket, d.err)
	if d.started {
		s.failStarted(x, resp, d.err)
	}
	return again, err
}

// recheck is the last look before the first byte: the request may have waited
// in the queue, or the process may have been stopped, since the permit.
func (s *Server) recheck(x *exchange, ticket *fleet.Ticket) error {
	guard, config, err := s.Authority.Serving()
	if err != nil {
		return err
	}
	if config.Revision() == x.guard.Current.Revision() && guard.Pending == x.guard.Pending {
		return nil
	}
	x.guard, x.config = guard, config
	object, ok := config.Get(declare.Ref{Kind: declare.KindEngine, Name: ticket.Engine})
	if ok {
		engine := object.(declare.Engine)
		place := permit.Place{Region: config.RegionOf(engine.DataCentre), DataCentre: engine.DataCentre}
		ok = guard.Engine(x.req, place, engine.Labels)
	}
	if !ok {
		return &request.NotRun{Reason: request.ReasonNotPermitted, Message: "a change took the permit while the request waited", RetryAfter: time.Second}
	}
	return nil
}

func (s *Server) logEngine(x *exchange, ticket *fleet.Ticket, attempt int) {
	s.Log.Info("engine chosen",
		zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.Uint64("revision", x.config.Revision()),
		zap.String("engine", ticket.Engine), zap.String("reason", ticket.Choice.Reason), zap.Int("hit_blocks", ticket.Choice.Hit),
		zap.Duration("score", ticket.Choice.Score), zap.Duration("waited", ticket.Waited), zap.Int("attempt", attempt))
}

// headerPriority tells an engine how urgent a request is, 0 first.
const headerPriority = "Engine-Priority"

func (s *Server) engineCall(x *exchange, p *payload, ticket *fleet.Ticket) relay.Call {
	header := relay.Forwardable(x.r.Header)
	header.Set(headerPriority, strconv.Itoa(x.req.Class.Priority()))
	path := x.req.Rest
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return relay.Call{
		Method:  x.r.Method,
		URL:     "http://" + ticket.Address + path,
		Header:  header,
		Body:    p.reader(),
		Length:  p.length,
		Attempt: uuid.NewString(),
		Echoes:  x.service.Type == declare.ServiceModel,
		Fresh:   !x.req.Repeatable,
		Head:    func(resp *http.Response) { s.hear(x, ticket, resp) },
	}
}

// attemptFailed notes a failure for the engine and decides whether the
// request may be sent again.
func (s *Server) attemptFailed(x *exchange, p *payload, done *progress, ticket *fleet.Ticket, err error) (bool, error) {
	var failure *relay.Failure
	known := errors.As(err, &failure)
	notRun := known && failure.NotRun
	outcome := fleet.Failed
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.Fleet.Refused(ticket.Engine)
	}
	switch {
	case x.r.Context().Err() != nil, isCallerError(err):
		outcome = fleet.Abandoned
	case known && failure.Shed:
		outcome = fleet.Shed
	case !known || failure.Broken:
		outcome = fleet.Broken
	}
	ticket.Done(fleet.Result{Outcome: outcome})
	s.Metrics.Attempt(x.req.Service, "failed")
	s.Log.Warn("attempt failed", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Bool("not_run", notRun), zap.Bool("broken", outcome == fleet.Broken), zap.Stringer("fingerprint", p.fingerprint), telemetry.Cause(err))
	if !notRun {
		done.sent = true
	}
	return notRun || x.req.Repeatable, err
}

// delivery is how the passing on of an answer ended.
type delivery struct {
	err     error
	started bool          // the caller has had the status and some bytes
	first   time.Duration // from the sending of the attempt to the first byte
}

// deliver passes an answer on. A failure that has not started leaves the
// caller untouched; after one that has, the owner must call failStarted.
func (s *Server) deliver(x *exchange, p *payload, resp *http.Response, base string, began time.Time, queued time.Duration) delivery {
	var d delivery
	writer := &lateWriter{ResponseWriter: x.w, start: func() {
		d.started = true
		d.first = time.Since(began)
		s.Metrics.First(x.req.Service, time.Since(x.began), queued)
		answerHeaders(x.w.Header(), resp)
		x.w.WriteHeader(resp.StatusCode)
	}}
	switch {
	case isStream(resp) && x.service.Type == declare.ServiceModel:
		d.err = s.Engines.Stream(x.r.Context(), writer, resp, base, s.Limits.SlowCallerTime)
	case x.service.Type == declare.ServiceModel:
		d.err = s.deliverWhole(writer, resp)
	default:
		d.err = s.deliverFlow(writer, p, resp)
	}
	if d.err == nil {
		s.Metrics.Request(x.req.Service, "answered")
	}
	return d
}

func isCallerError(err error) bool {
	var gone *relay.CallerError
	return errors.As(err, &gone)
}

// lateWriter writes the status only with the first byte, so that an answer
// that breaks before it can still be tried elsewhere.
type lateWriter struct {
	http.ResponseWriter
	start   func()
	started bool
}

// Write implements io.Writer.
func (l *lateWriter) Write(data []byte) (int, error) {
	l.begin()
	return l.ResponseWriter.Write(data)
}

func (l *lateWriter) begin() {
	if !l.started {
		l.started = true
		l.start()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (l *lateWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// deliverWhole passes on an unstreamed model answer once all of it is here
// and is one JSON document.
func (s *Server) deliverWhole(w *lateWriter, resp *http.Response) error {
	data, err := relay.ReadWhole(resp, s.Limits.BodyBytes)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return errors.New("the answer is not one JSON document")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	resp.Header.Del("Content-Length")
	_, err = w.Write(data)
	return errors.Trace(err)
}

// deliverFlow passes on a plain service's answer as it comes. Its framing
// shows whether it is whole.
func (s *Server) deliverFlow(w *lateWriter, p *payload, resp *http.Response) error {
	defer resp.Body.Close()
	var look relay.Look
	var from io.Reader = resp.Body
	if p.record != nil {
		p.record.start(resp)
		head, whole, err := p.record.readHead(resp.Body)
		if err != nil {
			return err
		}
		from, look = bytes.NewReader(head), nil
		if !whole {
			from, look = io.MultiReader(from, resp.Body), p.record.look
		}
	}
	_, err := relay.Copy(w, from, s.Limits.SlowCallerTime, look)
	if p.record != nil {
		p.record.finish(resp, err)
	}
	if err == nil {
		w.begin() // an empty answer has no first byte
	}
	return err
}

// failStarted ends an answer that broke after its first byte: by an error
// event where the interface has one, and always by aborting the connection.
func (s *Server) failStarted(x *exchange, resp *http.Response, cause error) {
	s.Metrics.Request(x.req.Service, "broken")
	s.Log.Warn("answer broken", zap.String("request", x.req.ID), zap.String("service", x.req.Service), telemetry.Cause(cause))
	if isStream(resp) {
		data, err := json.Marshal(bodyOf(&request.OutcomeUnknown{Message: "the answer broke off"}))
		if err == nil {
			_, _ = x.w.Write([]byte("\n\ndata: " + string(data) + "\n\n"))
			_ = http.NewResponseController(x.w).Flush()
		}
	}
	abort()
}
