// This file defines what a gateway makes of what an engine's answer says of the engine.

package ingress

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/ratelimit"
)

// hear tells the dispatcher what an answer's head says of its engine. Refusals and failures say
// it as well. Another engine's is left out.
func (s *Server) hear(x *exchange, ticket *dispatch.Ticket, resp *http.Response, v Verdict) {
	if v.Misdirected {
		return
	}
	s.hearPushback(x, ticket, resp, v)
	s.hearLimit(x, ticket, v)
}

// hearPushback takes what the engine asks of this gateway. An answer to another request, which
// comes late, says it as well: a rest that is heard late ends late, and who leaves won't stay.
func (s *Server) hearPushback(x *exchange, ticket *dispatch.Ticket, resp *http.Response, v Verdict) {
	ticket.HeardPushback(v.Pushback)
	if !v.NotRun && resp.StatusCode != http.StatusServiceUnavailable {
		ticket.Taken()
	}
	switch word := v.Pushback.(type) {
	case pushback.Rest:
		s.Metrics.Pushback(ticket.Engine, "rest_asked")
		s.Log.Info("engine asked for rest", x.fields(zap.String("engine", ticket.Engine), zap.Duration("for", word.For), zap.Int("status", resp.StatusCode))...)
	case pushback.Unclear:
		s.Log.Warn("engine's Retry-After can't be read", x.fields(zap.String("engine", ticket.Engine), zap.Stringer("word", word))...)
	case pushback.Nothing:
	}
	if v.Leaving {
		ticket.HeardLeaving()
		s.Metrics.Pushback(ticket.Engine, "leaving_said")
		s.Log.Info("engine said that it leaves", x.fields(zap.String("engine", ticket.Engine), zap.Int("status", resp.StatusCode))...)
	}
}

// hearLimit takes how many requests the engine takes. An answer to another request is left out:
// it may be as old as can be.
func (s *Server) hearLimit(x *exchange, ticket *dispatch.Ticket, v Verdict) {
	if v.ID != x.identity.ID && !(v.NotRun && v.ID == "") {
		return
	}
	ticket.HeardLimit(v.Limit)
	if _, unlimited := v.Limit.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.Limited(ticket.Engine, "answered")
	s.Log.Info("engine named a limit", x.fields(zap.String("engine", ticket.Engine), zap.Stringer("limit", v.Limit))...)
}
