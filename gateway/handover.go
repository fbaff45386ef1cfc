// This file defines the hand-over of a request to an entry host of another
// region.

package gateway

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/telemetry"
)

// attemptAway hands the request over. Whatever becomes of it, it is handed
// over once at most: a later attempt stays here.
func (s *Server) attemptAway(x *exchange, p *payload, done *progress, region, reason string) (again bool, err error) {
	done.away = true
	host, ok := s.entryIn(x, region)
	if !ok {
		return true, &request.NotRun{Reason: request.ReasonNoEngine, Message: "no entry host of region " + quote(region) + " can be reached"}
	}
	s.Log.Info("handed over", zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.String("region", region), zap.String("host", host.Name), zap.String("reason", reason))
	header := relay.Forwardable(x.r.Header)
	sent := x.req.WithVisit(s.Host.Name)
	sent.SetHandover(header, time.Now(), x.config.Revision())
	if p.flow != nil {
		// The peer permits before it asks for the first byte of the body.
		header.Set("Expect", "100-continue")
	}
	began := time.Now()
	resp, err := s.Away.Send(x.r.Context(), relay.Call{
		Method:  x.r.Method,
		URL:     "http://" + host.Reach(host.Handover) + x.r.URL.RequestURI(),
		Header:  header,
		Body:    p.reader(),
		Length:  p.length,
		Attempt: uuid.NewString(),
		Echoes:  true,
		Fresh:   !x.req.Repeatable,
	})
	if err == nil {
		err = peerRefusal(resp)
	}
	if err != nil {
		return s.awayFailed(x, done, host, err)
	}
	d := s.deliver(x, p, resp, "", began, 0)
	if d.err == nil {
		s.Metrics.Attempt(x.req.Service, "away")
		return false, nil
	}
	again, err = s.awayFailed(x, done, host, d.err)
	if d.started {
		s.failStarted(x, resp, d.err)
	}
	return again, err
}

func (s *Server) awayFailed(x *exchange, done *progress, host declare.Host, err error) (bool, error) {
	var failure *relay.Failure
	notRun := errors.As(err, &failure) && failure.NotRun
	var refusal *request.NotRun
	notRun = notRun || errors.As(err, &refusal)
	if !notRun {
		done.sent = true
	}
	s.Metrics.Attempt(x.req.Service, "away_failed")
	s.Log.Warn("hand-over failed", zap.String("request", x.req.ID), zap.String("host", host.Name), zap.Bool("not_run", notRun), telemetry.Cause(err))
	return notRun || x.req.Repeatable, err
}

// peerRefusal turns a peer's refusal back into one of ours.
func peerRefusal(resp *http.Response) error {
	outcome := resp.Header.Get(request.HeaderOutcome)
	if outcome == "" {
		return nil
	}
	resp.Body.Close()
	if outcome == request.NotRunValue {
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if err != nil {
			wait = time.Second
		}
		return &request.NotRun{Reason: reasonOf(resp.StatusCode), Message: "the other region's entry host refused it", RetryAfter: wait}
	}
	return &request.OutcomeUnknown{Message: "the other region's entry host could not tell"}
}

func reasonOf(status int) request.Reason {
	switch status {
	case http.StatusTooManyRequests:
		return request.ReasonOverload
	case http.StatusForbidden:
		return request.ReasonNotPermitted
	case http.StatusGatewayTimeout:
		return request.ReasonDeadline
	case http.StatusLoopDetected:
		return request.ReasonLoop
	default:
		return request.ReasonNoEngine
	}
}

// entryIn draws an entry host of a region.
func (s *Server) entryIn(x *exchange, region string) (declare.Host, bool) {
	var hosts []declare.Host
	for _, host := range s.Peers.Entries() {
		if x.config.RegionOf(host.DataCentre) == region {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return declare.Host{}, false
	}
	return hosts[s.Random()%uint64(len(hosts))], true
}
