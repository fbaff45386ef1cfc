// This file defines the handling of the rate limits, backoff and draining that engines
// signal in their answers.

package ingress

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/ratelimit"
)

// recordSignals passes what the head of an answer signals about its engine to the
// dispatcher. It does so for rejections and failures too, but not for an answer of another
// engine at the same address.
func (s *Server) recordSignals(x *exchange, ticket *dispatch.Ticket, resp *http.Response, v AnswerMetadata) {
	if v.Misdirected {
		return
	}
	s.recordPushback(x, ticket, resp, v)
	s.recordLimit(x, ticket, v)
}

// recordPushback records the backoff and draining that the engine asks of this gateway. It
// also accepts them from a late answer to another request: a backoff received late ends
// late, and an engine that drains doesn't return.
func (s *Server) recordPushback(x *exchange, ticket *dispatch.Ticket, resp *http.Response, v AnswerMetadata) {
	ticket.ApplyPushback(v.Pushback)
	if !v.NotRun && resp.StatusCode != http.StatusServiceUnavailable {
		ticket.Accepted()
	}
	switch signal := v.Pushback.(type) {
	case pushback.Backoff:
		s.Metrics.Pushback(ticket.Engine, "rest_asked")
		s.Log.Info("engine asked for backoff", x.logFields(zap.String("engine", ticket.Engine), zap.Duration("for", signal.Duration), zap.Int("status", resp.StatusCode))...)
	case pushback.Malformed:
		s.Log.Warn("ignoring malformed Retry-After of engine", x.logFields(zap.String("engine", ticket.Engine), zap.Stringer("word", signal))...)
	case pushback.NoSignal:
	}
	if v.Draining {
		ticket.ApplyDraining()
		s.Metrics.Pushback(ticket.Engine, "leaving_said")
		s.Log.Info("engine announced that it is draining", x.logFields(zap.String("engine", ticket.Engine), zap.Int("status", resp.StatusCode))...)
	}
}

// recordLimit records the engine's rate limit. It ignores an answer to another request,
// because its age is unknown.
func (s *Server) recordLimit(x *exchange, ticket *dispatch.Ticket, v AnswerMetadata) {
	if v.ID != x.meta.ID && !(v.NotRun && v.ID == "") {
		return
	}
	ticket.ApplyLimit(v.Limit)
	if _, unlimited := v.Limit.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.Limited(ticket.Engine, "answered")
	s.Log.Info("engine announced a rate limit", x.logFields(zap.String("engine", ticket.Engine), zap.Stringer("limit", v.Limit))...)
}
