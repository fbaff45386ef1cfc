// This file defines the answers that are no engine's.

package ingress

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/request"
)

// A caller that was refused for lack of engines comes back after a share of the
// time that it has left, drawn between these two. What lacks now lacks for seconds
// as a rule (a burst, a cut, a crash), so that who comes back as soon as the queue
// that it saw has been served meets the same queue, with all others who were refused.
// Callers wait for a third of their time at most.
const (
	leastWait = 0.20
	mostWait  = 0.33
)

// spread lets callers come back over the time that they have. The gateway that the
// caller asked does so, and not the one that it was handed over to.
func (s *Server) spread(x *exchange, refusal request.Refusal) request.Refusal {
	n, ok := refusal.(*request.NotRun)
	if !ok || x.fixed || (n.Reason != request.ReasonNoEngine && n.Reason != request.ReasonOverload) {
		return refusal
	}
	share := leastWait + (mostWait-leastWait)*float64(s.Random()>>11)/(1<<53)
	out := *n
	out.RetryAfter = max(n.RetryAfter, time.Duration(share*float64(s.remaining(x))))
	return &out
}

// ended counts a request that has ended; one that was handed over counts for its account
// where it came in.
func (s *Server) ended(x *exchange, outcome string) {
	s.Metrics.Request(x.service, outcome)
	if x.account.Name != "" && !x.fixed {
		s.Metrics.Account(x.account.Name, outcome)
	}
}

// refuse writes the final answer of a request that no engine answers.
func (s *Server) refuse(x *exchange, refusal request.Refusal) {
	outcome := request.OutcomeUnknownValue
	reason := "outcome_unknown"
	x.giveBack(refusal, s.Clock())
	refusal = s.spread(x, refusal)
	var wait time.Duration
	if n, ok := refusal.(*request.NotRun); ok {
		outcome, reason, wait = request.NotRunValue, string(n.Reason), n.RetryAfter
	}
	s.ended(x, reason)
	s.Log.Info("refused", x.fields(zap.String("reason", reason), zap.Bool("started", x.started), zap.Duration("come_back", wait), zap.String("why", refusal.Error()))...)
	if x.started {
		x.breakOff(outcome)
		return
	}
	status, header := s.Dialect.Refuse(refusal)
	to := x.w.Header()
	clear(to)
	to["Date"] = nil
	for name, values := range header {
		to[name] = values
	}
	if x.fixed {
		to.Set(request.HeaderOutcome, outcome)
		to.Set(request.HeaderReason, reason)
		to.Set(request.HeaderSends, strconv.Itoa(x.done.sends))
	}
	to.Set("Content-Length", strconv.Itoa(0))
	x.w.WriteHeader(status)
}

// breakOff ends an answer that has begun, so that it is seen to be broken. The
// gateway that handed the request over is told by trailers: it is it who must know
// how often the request has been sent, and that this gateway itself is well.
func (x *exchange) breakOff(outcome string) {
	if !x.fixed || !x.chunked {
		panic(http.ErrAbortHandler)
	}
	trailer := x.w.Header()
	trailer.Set(http.TrailerPrefix+request.HeaderOutcome, outcome)
	trailer.Set(http.TrailerPrefix+request.HeaderSends, strconv.Itoa(x.done.sends))
}
