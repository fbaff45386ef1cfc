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
func (s *Server) recordSignals(x *exchange, ticket *dispatch.Ticket, resp *http.Response, answer AnswerMetadata) {
	if answer.Misdirected {
		return
	}
	s.recordPushback(x, ticket, resp, answer)
	s.recordLimit(x, ticket, answer)
}

// recordPushback records the backoff and draining that the engine asks of this gateway. It
// also accepts them from a late answer to another request: the backoff then only ends
// later than the engine asked for, and an engine that drains doesn't become ready again.
func (s *Server) recordPushback(x *exchange, ticket *dispatch.Ticket, resp *http.Response, answer AnswerMetadata) {
	ticket.ApplyPushback(answer.Pushback)
	if !answer.NotRun && resp.StatusCode != http.StatusServiceUnavailable {
		ticket.RecordAccepted()
	}
	switch signal := answer.Pushback.(type) {
	case pushback.Backoff:
		s.Metrics.CountPushbackEvent(ticket.Engine, "rest_asked")
		s.Log.Info("answer asks for backoff", x.logFields(zap.String("engine", ticket.Engine), zap.Duration("for", signal.Duration), zap.Int("status", resp.StatusCode))...)
	case pushback.Malformed:
		s.Log.Warn("ignoring malformed Retry-After of engine", x.logFields(zap.String("engine", ticket.Engine), zap.Stringer("word", signal))...)
	case pushback.NoSignal:
	}
	if answer.Draining {
		ticket.ApplyDraining()
		s.Metrics.CountPushbackEvent(ticket.Engine, "leaving_said")
		s.Log.Info("answer announces that the engine is draining", x.logFields(zap.String("engine", ticket.Engine), zap.Int("status", resp.StatusCode))...)
	}
}

// recordLimit records the engine's rate limit. It ignores an answer to another request,
// because its age is unknown. A rejection without an ID counts as an answer to this one.
func (s *Server) recordLimit(x *exchange, ticket *dispatch.Ticket, answer AnswerMetadata) {
	if answer.ID != x.meta.ID && !(answer.NotRun && answer.ID == "") {
		return
	}
	ticket.ApplyLimit(answer.Limit)
	if _, unlimited := answer.Limit.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.CountLimitEvent(ticket.Engine, "answered")
	s.Log.Info("answer states the engine's rate limit", x.logFields(zap.String("engine", ticket.Engine), zap.Stringer("limit", answer.Limit))...)
}
