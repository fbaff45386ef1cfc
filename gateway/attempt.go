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
	buffered   []byte       // held in memory, so that it can be sent again
	unbuffered *trackedBody // or passed on as it comes, once
	length     int64        // -1 if unknown
	stream     bool         // the caller asked for an event stream
	prefill    time.Duration
	recorder   *recorder // keeps the answer of a call with a key; nil for none
	// fingerprint is the same for each repeat of the request; 0 for a body that is passed
	// on as it comes, of which nothing is known before an engine has it.
	fingerprint quarantine.Fingerprint
}

func (p *payload) reader() io.Reader {
	if p.unbuffered != nil {
		return p.unbuffered
	}
	if len(p.buffered) == 0 {
		return nil
	}
	return bytes.NewReader(p.buffered)
}

// consumed tells whether the body can't be sent again.
func (p *payload) consumed() bool { return p.unbuffered != nil && p.unbuffered.bytesRead > 0 }

// minEngineTime is the least time that an engine needs for anything useful.
const minEngineTime = 20 * time.Millisecond

// attemptState is what the attempts so far have shown.
type attemptState struct {
	tried      []string
	mayHaveRun bool // some attempt may have reached an engine
	lastErr    error
	handedOver bool // a hand-over failed: stay here
	attempt    int
}

// serveWithRetries sends the request until it is answered or given up. A nil error
// means that an answer has been written; a failure after its first byte aborts
// the connection and doesn't return.
func (s *Server) serveWithRetries(x *exchange, p *payload) error {
	var state attemptState
	if p.unbuffered == nil {
		p.fingerprint = quarantine.FingerprintOf(x.req.Account, x.r.Method, x.req.Service, x.r.URL.RequestURI(), p.buffered)
	}
	for state.attempt = 1; state.attempt <= retry.MaxAttempts; state.attempt++ {
		mayRetry, err := s.attempt(x, p, &state)
		if err == nil {
			return nil
		}
		state.lastErr = err
		if !mayRetry || p.consumed() || x.r.Context().Err() != nil {
			break
		}
	}
	return s.finalError(x, &state)
}

// minRetryAfter is when to come back, at the soonest, after engines refused or could not be reached.
const minRetryAfter = time.Second

// finalError turns the last failure into the final answer. How long one engine wants nothing is no
// matter of the caller's, whom others may serve sooner.
func (s *Server) finalError(x *exchange, state *attemptState) error {
	if state.mayHaveRun {
		return &request.OutcomeUnknown{Message: state.lastErr.Error()}
	}
	var rejection *request.NotRun
	if errors.As(state.lastErr, &rejection) {
		return rejection
	}
	var failure *relay.Failure
	if errors.As(state.lastErr, &failure) {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: failure.Error(), RetryAfter: max(minRetryAfter, s.Fleet.AvailableIn(x.req.Service))}
	}
	return &request.OutcomeUnknown{Message: state.lastErr.Error()}
}

// attempt makes one attempt, in another region or in this one. It tells
// whether another attempt is allowed.
func (s *Server) attempt(x *exchange, p *payload, state *attemptState) (mayRetry bool, err error) {
	if !x.handedOver && !state.handedOver {
		choice, digests := s.chooseRegion(x, p)
		if choice.Index >= 0 && digests[choice.Index].Region != s.place.Region {
			return s.attemptRemote(x, p, state, digests[choice.Index].Region, choice.Reason)
		}
	}
	return s.attemptLocal(x, p, state)
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
	regionReq := route.RegionAsk{
		Prefill:   p.prefill,
		Permitted: func(region string) bool { return s.regionPermitted(x, region) },
	}
	choice := route.ChooseRegion(time.Now(), digests, home, weights, &regionReq, s.Random())
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

// attemptLocal sends the request to an engine of this region.
func (s *Server) attemptLocal(x *exchange, p *payload, state *attemptState) (mayRetry bool, err error) {
	ticket, err := s.Fleet.Acquire(x.r.Context(), fleet.Ask{
		Request:   x.req,
		Permitted: func(place permit.Place, labels declare.Labels) bool { return x.guard.Engine(x.req, place, labels) },
		Prefill:   p.prefill,
		Need:      minEngineTime,
		Tried:     state.tried,

		Fingerprint: p.fingerprint,
	})
	if err != nil {
		return false, err
	}
	if state.attempt > 1 && !ticket.Retry() {
		ticket.Done(fleet.Result{Outcome: fleet.Unsent})
		return false, state.lastErr
	}
	state.tried = append(state.tried, ticket.Engine)
	s.logEngineChoice(x, ticket, state.attempt)
	if err := s.recheckPermit(x, ticket); err != nil {
		ticket.Done(fleet.Result{Outcome: fleet.Unsent})
		return false, err
	}
	sentAt := time.Now()
	resp, err := s.Engines.Send(x.r.Context(), s.engineCall(x, p, ticket))
	if err != nil {
		return s.recordAttemptFailure(x, p, state, ticket, err)
	}
	d := s.deliver(x, p, resp, "http://"+ticket.Address, sentAt, ticket.Waited)
	if d.err == nil {
		ticket.Done(fleet.Result{Outcome: fleet.Answered, First: d.timeToFirstByte})
		s.Metrics.Attempt(x.req.Service, "answered")
		return false, nil
	}
	mayRetry, err = s.recordAttemptFailure(x, p, state, ticket, d.err)
	if d.started {
		s.abortAnswer(x, resp, d.err)
	}
	return mayRetry, err
}

// recheckPermit is the last look before the first byte: the request may have waited
// in the queue, or the process may have been stopped, since the permit.
func (s *Server) recheckPermit(x *exchange, ticket *fleet.Ticket) error {
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

func (s *Server) logEngineChoice(x *exchange, ticket *fleet.Ticket, attempt int) {
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
		Head:    func(resp *http.Response) { s.applySignals(x, ticket, resp) },
	}
}

// recordAttemptFailure notes a failure for the engine and decides whether the
// request may be sent again.
func (s *Server) recordAttemptFailure(x *exchange, p *payload, state *attemptState, ticket *fleet.Ticket, err error) (bool, error) {
	var failure *relay.Failure
	isFailure := errors.As(err, &failure)
	notRun := isFailure && failure.NotRun
	outcome := fleet.Failed
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.Fleet.Refused(ticket.Engine)
	}
	switch {
	case x.r.Context().Err() != nil, isCallerError(err):
		outcome = fleet.Abandoned
	case isFailure && failure.Shed:
		outcome = fleet.Shed
	case !isFailure || failure.Broken:
		outcome = fleet.Broken
	}
	ticket.Done(fleet.Result{Outcome: outcome})
	s.Metrics.Attempt(x.req.Service, "failed")
	s.Log.Warn("attempt failed", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Bool("not_run", notRun), zap.Bool("broken", outcome == fleet.Broken), zap.Stringer("fingerprint", p.fingerprint), telemetry.Cause(err))
	if !notRun {
		state.mayHaveRun = true
	}
	return notRun || x.req.Repeatable, err
}

// delivery is how the passing on of an answer ended.
type delivery struct {
	err             error
	started         bool          // the caller has had the status and some bytes
	timeToFirstByte time.Duration // from the sending of the attempt to the first byte
}

// deliver passes an answer on. A failure that has not started leaves the
// caller untouched; after one that has, the owner must call abortAnswer.
func (s *Server) deliver(x *exchange, p *payload, resp *http.Response, base string, sentAt time.Time, queued time.Duration) delivery {
	var d delivery
	writer := &deferredWriter{ResponseWriter: x.w, writeHeader: func() {
		d.started = true
		d.timeToFirstByte = time.Since(sentAt)
		s.Metrics.First(x.req.Service, time.Since(x.receivedAt), queued)
		copyAnswerHeaders(x.w.Header(), resp)
		x.w.WriteHeader(resp.StatusCode)
	}}
	switch {
	case isStream(resp) && x.service.Type == declare.ServiceModel:
		d.err = s.Engines.Stream(x.r.Context(), writer, resp, base, s.Limits.SlowCallerTime)
	case x.service.Type == declare.ServiceModel:
		d.err = s.deliverBuffered(writer, resp)
	default:
		d.err = s.deliverUnbuffered(writer, p, resp)
	}
	if d.err == nil {
		s.Metrics.Request(x.req.Service, "answered")
	}
	return d
}

func isCallerError(err error) bool {
	var callerErr *relay.CallerError
	return errors.As(err, &callerErr)
}

// deferredWriter writes the status only with the first byte, so that an answer
// that breaks before it can still be tried elsewhere.
type deferredWriter struct {
	http.ResponseWriter
	writeHeader func()
	started     bool
}

// Write implements io.Writer.
func (l *deferredWriter) Write(data []byte) (int, error) {
	l.ensureStarted()
	return l.ResponseWriter.Write(data)
}

func (l *deferredWriter) ensureStarted() {
	if !l.started {
		l.started = true
		l.writeHeader()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (l *deferredWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// deliverBuffered passes on an unstreamed model answer once all of it is here
// and is one JSON document.
func (s *Server) deliverBuffered(writer *deferredWriter, resp *http.Response) error {
	data, err := relay.ReadWhole(resp, s.Limits.BodyBytes)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return errors.New("the answer is not one JSON document")
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	resp.Header.Del("Content-Length")
	_, err = writer.Write(data)
	return errors.Trace(err)
}

// deliverUnbuffered passes on a plain service's answer as it comes. Its framing
// shows whether it is whole.
func (s *Server) deliverUnbuffered(writer *deferredWriter, p *payload, resp *http.Response) error {
	defer resp.Body.Close()
	var observe relay.Look
	var source io.Reader = resp.Body
	if p.recorder != nil {
		p.recorder.recordHead(resp)
		prefix, complete, err := p.recorder.readPrefix(resp.Body)
		if err != nil {
			return err
		}
		source, observe = bytes.NewReader(prefix), nil
		if !complete {
			source, observe = io.MultiReader(source, resp.Body), p.recorder.observe
		}
	}
	_, err := relay.Copy(writer, source, s.Limits.SlowCallerTime, observe)
	if p.recorder != nil {
		p.recorder.finish(resp, err)
	}
	if err == nil {
		writer.ensureStarted() // an empty answer has no first byte
	}
	return err
}

// abortAnswer ends an answer that broke after its first byte: by an error
// event where the interface has one, and always by aborting the connection.
func (s *Server) abortAnswer(x *exchange, resp *http.Response, cause error) {
	s.Metrics.Request(x.req.Service, "broken")
	s.Log.Warn("answer broken", zap.String("request", x.req.ID), zap.String("service", x.req.Service), telemetry.Cause(cause))
	if isStream(resp) {
		data, err := json.Marshal(errorBodyOf(&request.OutcomeUnknown{Message: "the answer broke off"}))
		if err == nil {
			_, _ = x.w.Write([]byte("\n\ndata: " + string(data) + "\n\n"))
			_ = http.NewResponseController(x.w).Flush()
		}
	}
	abortConnection()
}
