// This file defines the attempts to serve one request: the choice of region and engine,
// retries, and the delivery of the answer.

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

// payload is the body of a request, with what the gateway derived from it.
type payload struct {
	buffered   []byte       // the whole body, if it is held in memory and can be sent again
	unbuffered *trackedBody // otherwise, the body as the caller sends it, which can be sent once
	length     int64        // -1 if unknown
	stream     bool         // the caller asked for an event stream
	prefill    time.Duration
	recorder   *recorder // records the answer to a call with an idempotency key; nil for none
	// fingerprint is equal for all repeats of the request. It is 0 for an unbuffered body,
	// which has not been read when an engine is chosen.
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

// consumed reports whether part of an unbuffered body has been read, so that the request
// can't be sent again.
func (p *payload) consumed() bool { return p.unbuffered != nil && p.unbuffered.bytesRead.Load() > 0 }

// minEngineTime is the minimum time that an engine needs to serve any request. A request
// with less time left is not sent.
const minEngineTime = 20 * time.Millisecond

// attemptState is the state that the attempts of one request share.
type attemptState struct {
	tried      []string
	mayHaveRun bool // some attempt may have reached an engine
	lastErr    error
	handedOver bool // the hand-over has been tried; further attempts stay in this region
	attempt    int
}

// serveWithRetries makes attempts until the request is answered, or until no further
// attempt is allowed. A nil error means that the answer has been written. If an answer
// fails after its first byte, the connection is aborted by a panic with
// http.ErrAbortHandler.
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

// minRetryAfter is the minimum Retry-After if all engines rejected the request or were
// unreachable.
const minRetryAfter = time.Second

// finalError converts the error of the last attempt into the one that the caller gets. Its
// Retry-After is the time until some engine of the service is available, not the backoff
// that one engine asked for, since other engines may serve the request sooner.
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

// attempt makes one attempt, in another region or in this one. mayRetry reports whether
// another attempt is allowed.
func (s *Server) attempt(x *exchange, p *payload, state *attemptState) (mayRetry bool, err error) {
	if !x.handedOver && !state.handedOver {
		choice, digests := s.chooseRegion(x, p)
		if choice.Index >= 0 && digests[choice.Index].Region != s.place.Region {
			return s.attemptRemote(x, p, state, digests[choice.Index].Region, choice.Reason)
		}
	}
	return s.attemptLocal(x, p, state)
}

// chooseRegion chooses a region for the request by the service's policy, which prefers the
// request's home region. It also returns the digests that the choice refers to.
func (s *Server) chooseRegion(x *exchange, p *payload) (route.RegionChoice, []route.Digest) {
	digests := s.Peers.RegionDigests(x.req.Service)
	home := -1
	for i := range digests {
		if digests[i].Region == x.req.HomeRegion {
			home = i
		}
	}
	policy := x.service.Policy
	weights := route.Weights{TailLatency: policy.Tail, Cost: policy.Cost, Locality: policy.Away, FirstTokenTarget: policy.FirstToken}
	regionReq := route.RegionRequest{
		PrefillTime: p.prefill,
		Permitted:   func(region string) bool { return s.regionPermitted(x, region) },
	}
	choice := route.ChooseRegion(time.Now(), digests, home, weights, &regionReq, s.Random())
	if choice.Index >= 0 {
		s.Log.Info("region chosen",
			zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.Uint64("revision", x.config.Revision()),
			zap.String("home", x.req.HomeRegion), zap.String("region", digests[choice.Index].Region),
			zap.String("reason", choice.Reason), zap.Duration("expected", choice.FirstTokenTime))
	}
	return choice, digests
}

func (s *Server) regionPermitted(x *exchange, region string) bool {
	for _, dc := range declare.ObjectsOf[declare.DataCentre](x.config) {
		if dc.Region != region {
			continue
		}
		if ok, _ := x.guard.PermitsRegion(x.req, permit.Place{Region: region, DataCentre: dc.Name}); ok {
			return true
		}
	}
	return false
}

// attemptLocal sends the request to an engine of this region.
func (s *Server) attemptLocal(x *exchange, p *payload, state *attemptState) (mayRetry bool, err error) {
	ticket, err := s.Fleet.Acquire(x.r.Context(), fleet.SlotRequest{
		Request: x.req,
		Permitted: func(place permit.Place, labels declare.Labels) bool {
			return x.guard.PermitsEngine(x.req, place, labels)
		},
		PrefillTime:    p.prefill,
		MinServiceTime: minEngineTime,
		TriedEngines:   state.tried,

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
	resp, err := s.EngineClient.Send(x.r.Context(), s.engineCall(x, p, ticket))
	if err != nil {
		return s.recordAttemptFailure(x, p, state, ticket, err)
	}
	d := s.deliver(x, p, resp, "http://"+ticket.Address, sentAt, ticket.Waited)
	if d.err == nil {
		ticket.Done(fleet.Result{Outcome: fleet.Answered, TimeToFirstByte: d.timeToFirstByte})
		s.Metrics.CountAttempt(x.req.Service, "answered")
		return false, nil
	}
	mayRetry, err = s.recordAttemptFailure(x, p, state, ticket, d.err)
	if d.started {
		s.abortAnswer(x, resp, d.err)
	}
	return mayRetry, err
}

// recheckPermit checks the permit again immediately before the request is sent. The rules
// may have changed, or the lease may have expired, while the request waited in the queue
// or the process was suspended.
func (s *Server) recheckPermit(x *exchange, ticket *fleet.Ticket) error {
	guard, config, err := s.Authority.Serving()
	if err != nil {
		return err
	}
	if config.Revision() == x.guard.Effective.Revision() && guard.Pending == x.guard.Pending {
		return nil
	}
	x.guard, x.config = guard, config
	object, ok := config.Get(declare.Ref{Kind: declare.KindEngine, Name: ticket.Engine})
	if ok {
		engine := object.(declare.Engine)
		place := permit.Place{Region: config.RegionOf(engine.DataCentre), DataCentre: engine.DataCentre}
		ok = guard.PermitsEngine(x.req, place, engine.Labels)
	}
	if !ok {
		return &request.NotRun{Reason: request.ReasonNotPermitted, Message: "a change took the permit while the request waited", RetryAfter: time.Second}
	}
	return nil
}

func (s *Server) logEngineChoice(x *exchange, ticket *fleet.Ticket, attempt int) {
	s.Log.Info("engine chosen",
		zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.Uint64("revision", x.config.Revision()),
		zap.String("engine", ticket.Engine), zap.String("reason", ticket.Choice.Reason), zap.Int("hit_blocks", ticket.Choice.CachedBlocks),
		zap.Duration("score", ticket.Choice.ExpectedTime), zap.Duration("waited", ticket.Waited), zap.Int("attempt", attempt))
}

// headerPriority tells an engine the priority of a request; 0 is the most urgent.
const headerPriority = "Engine-Priority"

func (s *Server) engineCall(x *exchange, p *payload, ticket *fleet.Ticket) relay.Call {
	header := relay.ForwardableHeaders(x.r.Header)
	header.Set(headerPriority, strconv.Itoa(x.req.Class.Priority()))
	path := x.req.Subpath
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return relay.Call{
		Method:        x.r.Method,
		URL:           "http://" + ticket.Address + path,
		Header:        header,
		Body:          p.reader(),
		BodyLength:    p.length,
		AttemptID:     uuid.NewString(),
		EchoesAttempt: x.service.Type == declare.ServiceModel,
		OwnConnection: !x.req.Repeatable,
		OnAnswer:      func(resp *http.Response) { s.applySignals(x, ticket, resp) },
	}
}

// recordAttemptFailure records a failed attempt and reports whether the request may be
// sent again.
func (s *Server) recordAttemptFailure(x *exchange, p *payload, state *attemptState, ticket *fleet.Ticket, err error) (bool, error) {
	var failure *relay.Failure
	isFailure := errors.As(err, &failure)
	notRun := isFailure && failure.NotRun
	outcome := fleet.Failed
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.Fleet.ConnectionRefused(ticket.Engine)
	}
	switch {
	case x.r.Context().Err() != nil, isCallerError(err):
		outcome = fleet.Abandoned
	case isFailure && failure.Overloaded:
		outcome = fleet.Shed
	case !isFailure || failure.ConnectionBroken:
		outcome = fleet.Broken
	}
	ticket.Done(fleet.Result{Outcome: outcome})
	s.Metrics.CountAttempt(x.req.Service, "failed")
	s.Log.Warn("attempt failed", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Bool("not_run", notRun), zap.Bool("broken", outcome == fleet.Broken), zap.Stringer("fingerprint", p.fingerprint), telemetry.ErrorField(err))
	if !notRun {
		state.mayHaveRun = true
	}
	return notRun || x.req.Repeatable, err
}

// delivery is the result of delivering an answer to the caller.
type delivery struct {
	err             error
	started         bool          // the status, and possibly a part of the body, has been written
	timeToFirstByte time.Duration // from the start of the attempt
}

// deliver writes an answer to the caller. If it fails before the first byte, nothing has
// been written. If it fails later (delivery.started), the caller of deliver must call
// abortAnswer.
func (s *Server) deliver(x *exchange, p *payload, resp *http.Response, base string, sentAt time.Time, queued time.Duration) delivery {
	var d delivery
	writer := &deferredWriter{ResponseWriter: x.w, writeHeader: func() {
		d.started = true
		d.timeToFirstByte = time.Since(sentAt)
		s.Metrics.RecordFirstByte(x.req.Service, time.Since(x.receivedAt), queued)
		copyAnswerHeaders(x.w.Header(), resp)
		x.w.WriteHeader(resp.StatusCode)
	}}
	switch {
	case isStream(resp) && x.service.Type == declare.ServiceModel:
		d.err = s.EngineClient.Stream(x.r.Context(), writer, resp, base, s.Limits.SlowCallerTimeout)
	case x.service.Type == declare.ServiceModel:
		d.err = s.deliverBuffered(writer, resp)
	default:
		d.err = s.deliverUnbuffered(writer, p, resp)
	}
	if d.err == nil {
		s.Metrics.CountRequest(x.req.Service, "answered")
	}
	return d
}

func isCallerError(err error) bool {
	var callerErr *relay.CallerError
	return errors.As(err, &callerErr)
}

// deferredWriter delays the status until the first byte of the body. If an answer fails
// before, the request can still be sent to another engine.
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

// deliverBuffered delivers a model answer that is not an event stream. It reads the whole
// answer and checks that it is a JSON document before it writes anything.
func (s *Server) deliverBuffered(writer *deferredWriter, resp *http.Response) error {
	data, err := relay.ReadAnswer(resp, s.Limits.BodyBytes)
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

// deliverUnbuffered copies the answer of a plain service to the caller as it arrives. An
// incomplete answer is detected by its HTTP framing.
func (s *Server) deliverUnbuffered(writer *deferredWriter, p *payload, resp *http.Response) error {
	defer resp.Body.Close()
	var observe relay.ChunkFilter
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
	_, err := relay.Copy(writer, source, s.Limits.SlowCallerTimeout, observe)
	if p.recorder != nil {
		p.recorder.finish(resp, err)
	}
	if err == nil {
		writer.ensureStarted() // an empty answer has no first byte that would write the status
	}
	return err
}

// abortAnswer ends an answer that failed after its first byte. It writes an error event
// into an event stream, and in all cases aborts the connection.
func (s *Server) abortAnswer(x *exchange, resp *http.Response, cause error) {
	s.Metrics.CountRequest(x.req.Service, "broken")
	s.Log.Warn("answer failed after its first byte, aborting connection", zap.String("request", x.req.ID), zap.String("service", x.req.Service), telemetry.ErrorField(cause))
	if isStream(resp) {
		data, err := json.Marshal(errorBodyOf(&request.OutcomeUnknown{Message: "the answer broke off"}))
		if err == nil {
			_, _ = x.w.Write([]byte("\n\ndata: " + string(data) + "\n\n"))
			_ = http.NewResponseController(x.w).Flush()
		}
	}
	abortConnection()
}
