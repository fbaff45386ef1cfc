// This file defines what an entry host makes of what an engine's answer says of the engine.

package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/relay"
)

// applySignals tells the fleet what an answer's head says of its engine. Refusals and failures say it as
// well.
func (s *Server) applySignals(x *exchange, ticket *fleet.Ticket, resp *http.Response) {
	s.applyPushback(x, ticket, resp)
	s.applyLimit(x, ticket, resp.Header)
}

// applyPushback takes what the engine asks of this host. Only a refusal of the engine's own asks
// for rest: a plain service's 429 and 503 are words to its caller.
func (s *Server) applyPushback(x *exchange, ticket *fleet.Ticket, resp *http.Response) {
	rejected := resp.Header.Get(relay.HeaderNotRun) == "true"
	signal := pushback.Read(rejected, resp.Header, time.Now())
	draining := resp.Header.Get(relay.HeaderLeaving) == "true"
	ticket.ApplyPushback(signal, draining)
	if !rejected {
		ticket.Accepted()
	}
	if _, isBackoff := signal.(pushback.Rest); isBackoff {
		s.Metrics.Pushback(ticket.Engine, "rest_asked")
	}
	if draining {
		s.Metrics.Pushback(ticket.Engine, "leaving_said")
	}
	if _, noSignal := signal.(pushback.Nothing); !noSignal || draining {
		s.Log.Info("engine pushes back", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Stringer("rest", signal), zap.Bool("leaving", draining))
	}
}

// applyLimit tells the fleet what an answer says of how many requests its engine takes.
func (s *Server) applyLimit(x *exchange, ticket *fleet.Ticket, header http.Header) {
	signal := ratelimit.Parse(header.Values(relay.HeaderLimit))
	ticket.ApplyLimit(signal)
	if _, unlimited := signal.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.Limited(ticket.Engine, "answered")
	s.Log.Info("engine named a limit", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Stringer("limit", signal))
}
