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

// hear tells the fleet what an answer's head says of its engine. Refusals and failures say it as
// well.
func (s *Server) hear(x *exchange, ticket *fleet.Ticket, resp *http.Response) {
	s.hearPushback(x, ticket, resp)
	s.hearLimit(x, ticket, resp.Header)
}

// hearPushback takes what the engine asks of this host. Only a refusal of the engine's own asks
// for rest: a plain service's 429 and 503 are words to its caller.
func (s *Server) hearPushback(x *exchange, ticket *fleet.Ticket, resp *http.Response) {
	refused := resp.Header.Get(relay.HeaderNotRun) == "true"
	word := pushback.Read(refused, resp.Header, time.Now())
	leaving := resp.Header.Get(relay.HeaderLeaving) == "true"
	ticket.ApplyPushback(word, leaving)
	if !refused {
		ticket.Accepted()
	}
	if _, asks := word.(pushback.Rest); asks {
		s.Metrics.Pushback(ticket.Engine, "rest_asked")
	}
	if leaving {
		s.Metrics.Pushback(ticket.Engine, "leaving_said")
	}
	if _, nothing := word.(pushback.Nothing); !nothing || leaving {
		s.Log.Info("engine pushes back", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Stringer("rest", word), zap.Bool("leaving", leaving))
	}
}

// hearLimit tells the fleet what an answer says of how many requests its engine takes.
func (s *Server) hearLimit(x *exchange, ticket *fleet.Ticket, header http.Header) {
	word := ratelimit.Parse(header.Values(relay.HeaderLimit))
	ticket.ApplyLimit(word)
	if _, unlimited := word.(ratelimit.Unlimited); unlimited {
		return
	}
	s.Metrics.Limited(ticket.Engine, "answered")
	s.Log.Info("engine named a limit", zap.String("request", x.req.ID), zap.String("engine", ticket.Engine), zap.Stringer("limit", word))
}
