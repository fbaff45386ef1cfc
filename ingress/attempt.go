// This file defines the attempts to run a request on engines of the local region.

package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/telemetry"
)

// maxUnreachable bounds the engines that one request may fail to connect to.
const maxUnreachable = 3

// progress accumulates the results of a request's attempts so far.
type progress struct {
	triedEngines []string // incarnations
	sends        int      // attempts that may have reached an engine
	unreachable  int      // attempts that reached none
	mayHaveRun   bool     // an engine may have run the request
	lastErr      error
	lastEventID  string // of the last stream event that the caller has
}

// runAttempts sends the request to engines of the local region until one answers or no
// attempt is left. A nil error means that the answer has been written to the caller.
func (s *Server) runAttempts(x *exchange) error {
	p := &x.progress
	p.triedEngines, p.unreachable = nil, 0
	for {
		retry, err := s.attempt(x, p)
		if err == nil {
			return nil
		}
		p.lastErr = err
		if !retry || x.r.Context().Err() != nil {
			return s.finalError(x, p)
		}
	}
}

// finalError turns the last failure into the error for the caller. Its Retry-After
// doesn't repeat the backoff that one engine asked for, since another engine may be able
// to serve the caller sooner.
func (s *Server) finalError(x *exchange, p *progress) error {
	if p.mayHaveRun || x.answerStarted {
		deadlineExceeded := errors.Is(x.r.Context().Err(), context.DeadlineExceeded)
		return &request.OutcomeUnknown{Message: p.lastErr.Error(), DeadlineExceeded: deadlineExceeded}
	}
	var rejection *request.NotRun
	if errors.As(p.lastErr, &rejection) {
		return rejection
	}
	wait := max(engineRetryAfter, s.Dispatcher.AvailableIn(x.service))
	return &request.NotRun{Reason: request.ReasonNoEngine, Message: p.lastErr.Error(), RetryAfter: wait}
}

// engineRetryAfter is the minimum Retry-After when engines rejected the request or could not
// be reached. Other engines replace them within that time.
const engineRetryAfter = 200 * time.Millisecond

// attempt sends the request to one engine. retry reports whether another attempt is
// allowed.
func (s *Server) attempt(x *exchange, p *progress) (retry bool, err error) {
	ticket, err := s.acquireTicket(x, p)
	if err != nil {
		return false, err
	}
	if err := s.announceSend(x); err != nil {
		ticket.Done(dispatch.Unsent)
		s.Log.Warn("send not counted by the other gateway, not sending again", x.logFields(telemetry.ErrorField(err))...)
		return false, err
	}
	p.triedEngines = append(p.triedEngines, ticket.Engine)
	s.Log.Info("engine chosen", x.logFields(zap.String("engine", ticket.Engine), zap.String("engine_version", ticket.Version), zap.String("address", ticket.Address), zap.String("resumes", x.meta.Resumes), zap.String("last_event", p.lastEventID), x.originField(),
		zap.Int("attempt", p.sends+p.unreachable+1), zap.String("why", ticket.Explanation), zap.String("part", x.meta.Prompt.AffinityKey()), zap.String("parts", x.meta.Prompt.SharedIDs()), zap.Bool("cold", ticket.Cold), zap.String("copy_from", ticket.TransferFrom), zap.Duration("remaining", s.remaining(x)), zap.Stringer("fingerprint", x.fingerprint), zap.String("limit", ticket.Limit()))...)
	s.countContinuation(x)
	err = s.send(x, p, ticket)
	retry = s.finishAttempt(x, p, ticket, err)
	return retry, err
}

// acquireTicket reserves an engine and, for every send after the first, spends one retry
// of the service's budget. If every engine has been tried and one of them may have run the
// request, engines that were tried before become eligible again, unless the request continues a
// stream and engines of its version may serve in another region.
func (s *Server) acquireTicket(x *exchange, p *progress) (*dispatch.Ticket, error) {
	if s.remaining(x) <= 0 {
		return nil, deadlineRejection(p)
	}
	req := x.dispatchRequest(p.triedEngines)
	ticket, err := s.Dispatcher.Acquire(req)
	if err != nil && p.mayHaveRun && !(x.origin != nil && s.hasOtherRegion(x)) {
		req.Tried = nil
		ticket, err = s.Dispatcher.Acquire(req)
	}
	if err != nil {
		if p.lastErr != nil {
			err = p.lastErr
		}
		return nil, err
	}
	if p.sends == 0 {
		s.Dispatcher.CountFirstSend(x.service)
		return ticket, nil
	}
	if !s.Dispatcher.Retry(x.service) {
		ticket.Done(dispatch.Abandoned)
		s.Log.Info("retry budget exhausted, not sending again", x.logFields()...)
		if p.lastErr == nil { // the sends before were in another region
			return nil, &request.NotRun{Reason: request.ReasonNoEngine, Message: "no retry is left in the budget of the service", RetryAfter: engineRetryAfter}
		}
		return nil, p.lastErr
	}
	return ticket, nil
}

// remaining returns the time left until the caller's deadline.
func (s *Server) remaining(x *exchange) time.Duration { return x.deadline.Sub(s.Clock()) }

// deadlineRejection returns the error for a deadline that has passed before a send. The
// context alone doesn't catch this: its clock stops while the host is suspended, so the
// request would go to an engine after the host is resumed.
func deadlineRejection(p *progress) error {
	if p.lastErr != nil {
		return p.lastErr
	}
	return &request.NotRun{Reason: request.ReasonDeadline, Message: "the caller's time was over before it could be sent"}
}

// send sends the request to the ticket's engine and relays its answer.
func (s *Server) send(x *exchange, p *progress, ticket *dispatch.Ticket) error {
	resp, err := s.Engines.Send(x.r.Context(), relay.Call{
		Method: x.r.Method, URL: "http://" + ticket.Address + x.r.URL.RequestURI(), Host: x.r.Host,
		Header: s.Dialect.EngineHeader(relay.ForwardableHeaders(x.r.Header), EngineRequest{
			Engine: ticket.Engine, Timeout: s.remaining(x), LastEventID: p.lastEventID,
			RemoveKey: x.catalog.table.HasAccounts(), Account: x.account.Name, TransferFrom: ticket.TransferFrom,
		}),
		Body: x.bodyReader(), BodyLength: int64(len(x.body)),
		// Engines often crash together. A second send on a pooled connection could be reset by
		// another crashed engine and use up the last send. Opening a new connection to a
		// crashed engine fails, which proves that it didn't receive the request.
		EchoesAttempt: true, OwnConnection: !x.route.Repeatable() || p.sends > 0,
		CheckUsable: ticket.CheckUsable,
		CheckAnswer: func(resp *http.Response) error { return s.checkAnswer(x, p, ticket, resp) },
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	succeeded := resp.StatusCode == http.StatusOK
	return s.relayAnswer(x, resp, answerSource{
		origin:    ticketOrigin(ticket),
		firstByte: func() { x.firstByteAfter = ticket.RecordFirstByte(succeeded) },
		events:    ticket.RecordEvents,
		lastByte:  ticket.RecordLastByte,
		crashed:   func() bool { return s.engineCrashed(x.r.Context(), ticket) },
	})
}

// misdirectedAnswer is the error for an answer from another engine than the one that the
// request was sent to: it has taken over that engine's address.
type misdirectedAnswer struct{ engine string }

// Error implements error.
func (m *misdirectedAnswer) Error() string { return "engine " + m.engine + " has the address now" }

// checkAnswer inspects the head of an engine's answer. It records what the engine signals
// and returns an error unless the answer can be relayed.
func (s *Server) checkAnswer(x *exchange, p *progress, ticket *dispatch.Ticket, resp *http.Response) error {
	answer := s.Dialect.DecodeAnswer(resp)
	s.recordSignals(x, ticket, resp, answer)
	switch {
	case answer.Misdirected:
		return &misdirectedAnswer{answer.Engine}
	case answer.NotRun:
		return relay.NewFailure(true, true, errors.Errorf("engine rejected the request with status %d", resp.StatusCode))
	case answer.ID != x.meta.ID:
		return relay.NewFailure(false, false, errors.Errorf("the engine answered request %q", answer.ID))
	case x.answerStarted && resp.StatusCode != http.StatusOK, s.retriesServerError(x, p, resp):
		return relay.NewFailure(false, false, errors.Errorf("engine failed with status %d", resp.StatusCode))
	default:
		return x.checkOrigin(ticketOrigin(ticket))
	}
}

// retriesServerError reports whether an engine's 5xx status is retried instead of relayed.
func (s *Server) retriesServerError(x *exchange, p *progress, resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError && x.route.Repeatable() && p.sends+1 < x.route.Attempts
}

// finishAttempt returns the ticket with the outcome of the attempt, and reports whether
// another attempt is allowed.
func (s *Server) finishAttempt(x *exchange, p *progress, ticket *dispatch.Ticket, err error) (retry bool) {
	outcome, notRun := s.classifyOutcome(x, p, err)
	ticket.Done(outcome)
	s.Metrics.CountAttempt(x.service, outcome.String())
	if err == nil {
		s.countOutcome(x, "answered")
		s.Metrics.RecordFirstByte(x.service, x.firstByteAfter, 0)
		s.Metrics.RecordPredictionError(x.service, x.firstByteAfter-ticket.ExpectedWait)
		s.Log.Info("answered", x.logFields(zap.String("engine", ticket.Engine), zap.Duration("expected", ticket.ExpectedWait), zap.Duration("first", x.firstByteAfter), zap.Duration("longest_pause", x.longestPause), zap.Stringer("framing", x.framing), zap.Int("trailing_bytes", x.trailingBytes), zap.Bool("end_confirmed", !x.endUnconfirmed), zap.Duration("took", s.Clock().Sub(x.startedAt)))...)
		return false
	}
	s.Log.Warn("attempt failed", x.logFields(zap.String("engine", ticket.Engine), zap.String("outcome", outcome.String()),
		zap.Bool("not_run", notRun), zap.Int("sends", p.sends), zap.String("last_event", p.lastEventID), zap.String("parts", x.meta.Prompt.SharedIDs()), zap.Stringer("fingerprint", x.fingerprint), telemetry.ErrorField(err))...)
	var unread *relay.UnreadError
	if outcome == dispatch.Abandoned && !errors.As(err, &unread) {
		return false
	}
	return (notRun || x.route.Repeatable()) && x.mayContinue() && p.sends < x.route.Attempts && p.unreachable < maxUnreachable
}

// classifyOutcome maps the error of an attempt to the outcome that the dispatcher records
// for the engine, and updates the counts of p. notRun is true if the engine certainly
// didn't run the request.
func (s *Server) classifyOutcome(x *exchange, p *progress, err error) (outcome dispatch.Outcome, notRun bool) {
	var misdirect *misdirectedAnswer
	var failure *relay.Failure
	var callerErr *relay.CallerError
	var unusable *dispatch.EngineUnusable
	var unread *relay.UnreadError
	switch {
	case err == nil && x.endUnconfirmed:
		return dispatch.Unconfirmed, false
	case err == nil:
		return dispatch.Answered, false
	case errors.As(err, &unusable):
		p.unreachable++
		return dispatch.Unsent, true
	case errors.As(err, &misdirect):
		p.sends++
		return dispatch.Misdirected, true
	case errors.As(err, &failure) && failure.Overloaded:
		p.sends++
		return dispatch.Shed, true
	case errors.As(err, &callerErr) || errors.Is(x.r.Context().Err(), context.Canceled):
		p.sends++
		p.mayHaveRun = true
		return dispatch.Abandoned, false
	case errors.As(err, &unread):
		p.sends++
		p.mayHaveRun = true
		return dispatch.Abandoned, false
	case failure != nil && failure.NotRun:
		p.unreachable++
		return dispatch.Unreached, true
	default:
		p.sends++
		p.mayHaveRun = true
		if x.connectionBroke(err) {
			return dispatch.Broken, false
		}
		return dispatch.Failed, false
	}
}

// connectionBroke reports whether an attempt failed because its connection ended, not
// because of the deadline or an invalid answer.
func (x *exchange) connectionBroke(err error) bool {
	var truncated *truncatedAnswer
	var failure *relay.Failure
	return x.r.Context().Err() == nil && (errors.As(err, &truncated) || (errors.As(err, &failure) && failure.ConnectionBroken))
}
