// This file defines the answers that the gateway itself writes.

package ingress

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/request"
)

// spreadRetries spreads the retries of rejected callers over their remaining time. Only
// the entry host does so, not a gateway that the request was handed over to.
func (s *Server) spreadRetries(x *exchange, rejection request.Refusal) (spread request.Refusal, promised bool) {
	notRun, ok := rejection.(*request.NotRun)
	if !ok || x.handedOver || (notRun.Reason != request.ReasonNoEngine && notRun.Reason != request.ReasonOverload) {
		return rejection, false
	}
	later := *notRun
	later.RetryAfter, promised = s.Dispatcher.ReturnAfter(x.dispatchRequest(nil), notRun, s.remaining(x), s.Random())
	return &later, promised
}

// countOutcome counts a finished request in the metrics. Only the entry host counts it for
// the account.
func (s *Server) countOutcome(x *exchange, outcome string) {
	s.Metrics.CountRequest(x.service, outcome)
	if x.account.Name != "" && !x.handedOver {
		s.Metrics.CountAccountRequest(x.account.Name, outcome)
	}
}

// writeRejection ends a request that was rejected or has failed: it writes the final
// answer, or truncates the one that has begun.
func (s *Server) writeRejection(x *exchange, rejection request.Refusal) {
	outcome := request.OutcomeValueUnknown
	reason := "outcome_unknown"
	x.refundAllowance(rejection, s.Clock())
	rejection, promised := s.spreadRetries(x, rejection)
	var retryAfter time.Duration
	if notRun, ok := rejection.(*request.NotRun); ok {
		outcome, reason, retryAfter = request.OutcomeValueNotRun, string(notRun.Reason), notRun.RetryAfter
	}
	s.countOutcome(x, reason)
	s.Log.Info("refused", x.logFields(zap.String("reason", reason), zap.Bool("started", x.answerStarted), zap.Duration("come_back", retryAfter), zap.Bool("promised", promised), zap.String("why", rejection.Error()))...)
	if x.answerStarted {
		x.abortAnswer(outcome)
		return
	}
	status, header := s.Dialect.EncodeRejection(rejection)
	out := x.w.Header()
	clear(out)
	out["Date"] = nil
	for name, values := range header {
		out[name] = values
	}
	if x.handedOver {
		out.Set(request.HeaderOutcome, outcome)
		out.Set(request.HeaderReason, reason)
		out.Set(request.HeaderSends, strconv.Itoa(x.progress.sends))
	}
	s.announceClose(out)
	out.Set("Content-Length", strconv.Itoa(0))
	x.w.WriteHeader(status)
}

// abortAnswer ends an answer that has begun, so that it is visibly truncated. If another
// gateway handed the request over, trailers tell it the outcome and how often the request
// has been sent; they also show that this gateway works and only the engines failed.
func (x *exchange) abortAnswer(outcome string) {
	if x.callerFraming == endsWithConnection && resetConnection(x.w) {
		return
	}
	if !x.handedOver || x.callerFraming != framedByChunks {
		panic(http.ErrAbortHandler)
	}
	trailer := x.w.Header()
	trailer.Set(http.TrailerPrefix+request.HeaderOutcome, outcome)
	trailer.Set(http.TrailerPrefix+request.HeaderSends, strconv.Itoa(x.progress.sends))
}
