// This file defines the answers that are no engine's.

package ingress

import (
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/request"
)

// refuse writes the final answer of a request that no engine answers.
func (s *Server) refuse(x *exchange, refusal request.Refusal) {
	outcome := request.OutcomeUnknownValue
	reason := "outcome_unknown"
	if n, ok := refusal.(*request.NotRun); ok {
		outcome, reason = request.NotRunValue, string(n.Reason)
	}
	s.Metrics.Request(x.service, reason)
	s.Log.Info("refused", x.fields(zap.String("reason", reason), zap.Bool("started", x.started), zap.String("why", refusal.Error()))...)
	if x.started {
		panic(http.ErrAbortHandler) // the caller must see that the answer is broken
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
		to.Set(request.HeaderSends, strconv.Itoa(x.done.sends))
	}
	to.Set("Content-Length", strconv.Itoa(0))
	x.w.WriteHeader(status)
}
