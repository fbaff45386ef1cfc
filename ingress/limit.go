// This file defines what a gateway makes of the limit that an engine's answer names.

package ingress

import (
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ratelimit"
)

// hearLimit tells the dispatcher what an answer's head says of how many requests its engine
// takes. Refusals and failures say it as well. An answer to another request is left out: it
// may be as old as can be; so is another engine's.
func (s *Server) hearLimit(x *exchange, ticket *dispatch.Ticket, v Verdict) {
	if v.Misdirected || (v.ID != x.identity.ID && !(v.NotRun && v.ID == "")) {
		return
	}
	ticket.HeardLimit(v.Limit)
	if _, unlimited := v.Limit.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.Limited(ticket.Engine, "answered")
	s.Log.Info("engine named a limit", x.fields(zap.String("engine", ticket.Engine), zap.Stringer("limit", v.Limit))...)
}
