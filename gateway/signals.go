// This file defines how the backoff, draining and rate limits that engines announce in
// their answers are passed to the fleet.

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

// applySignals passes the signals in the header of an engine's answer to the fleet.
// Answers that reject the request or report a failure carry them as well.
func (s *Server) applySignals(x *exchange, ticket *fleet.Ticket, resp *http.Response) {
	s.applyPushback(x, ticket, resp)
	s.applyLimit(x, ticket, resp.Header)
}

// applyPushback applies backoff and draining. A Retry-After asks this host for backoff
// only if the engine itself rejected the request. With a plain service's own 429 or 503
// answer, it is addressed to the caller.
func (s *Server) applyPushback(x *exchange, ticket *fleet.Ticket, resp *http.Response) {
	rejected := resp.Header.Get(relay.HeaderNotRun) == "true"
	signal := pushback.Parse(rejected, resp.Header, time.Now())
	draining := resp.Header.Get(relay.HeaderDraining) == "true"
	ticket.ApplyPushback(signal, draining)
	if !rejected {
		ticket.RecordAccepted()
	}
	if _, isBackoff := signal.(pushback.Backoff); isBackoff {
		s.Metrics.CountPushbackEvent(ticket.Engine, "rest_asked")
	}
	if draining {
		s.Metrics.CountPushbackEvent(ticket.Engine, "leaving_said")
	}
	if _, noSignal := signal.(pushback.NoSignal); !noSignal || draining {
		s.Log.Info("received pushback from engine", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Stringer("rest", signal), zap.Bool("leaving", draining))
	}
}

// applyLimit applies the engine's rate limit, if its answer announces one.
func (s *Server) applyLimit(x *exchange, ticket *fleet.Ticket, header http.Header) {
	signal := ratelimit.Parse(header.Values(relay.HeaderRateLimit))
	ticket.ApplyLimit(signal)
	if _, unlimited := signal.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.CountLimitEvent(ticket.Engine, "answered")
	s.Log.Info("engine announced a rate limit", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Stringer("limit", signal))
}
