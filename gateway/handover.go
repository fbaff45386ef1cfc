// This file defines the hand-over of a request to an entry host of another region.

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

// attemptRemote hands the request over to an entry host of another region. A request is
// handed over at most once, even if the hand-over fails. Later attempts stay in this
// region.
func (s *Server) attemptRemote(x *exchange, p *payload, state *attemptState, region, reason string) (mayRetry bool, err error) {
	state.handedOver = true
	host, ok := s.pickEntryHost(x, region)
	if !ok {
		return true, &request.NotRun{Reason: request.ReasonNoEngine, Message: "no entry host of region " + quote(region) + " can be reached"}
	}
	s.Log.Info("handing over request", zap.String("request", x.req.ID), zap.String("service", x.req.Service), zap.String("region", region), zap.String("host", host.Name), zap.String("reason", reason))
	header := relay.ForwardableHeaders(x.r.Header)
	forwarded := x.req.WithVisitedHost(s.Host.Name)
	forwarded.SetHandoverHeaders(header, time.Now(), x.config.Revision())
	if p.unbuffered != nil {
		// The peer checks its permit before it asks for the body.
		header.Set("Expect", "100-continue")
	}
	sentAt := time.Now()
	resp, err := s.HandoverClient.Send(x.r.Context(), relay.Call{
		Method:        x.r.Method,
		URL:           "http://" + host.AddressFromOtherRegion(host.Handover) + x.r.URL.RequestURI(),
		Header:        header,
		Body:          p.reader(),
		BodyLength:    p.length,
		AttemptID:     uuid.NewString(),
		EchoesAttempt: true,
		OwnConnection: !x.req.Repeatable,
	})
	if err == nil {
		err = peerError(resp)
	}
	if err != nil {
		return s.recordHandoverFailure(x, state, host, err)
	}
	d := s.deliver(x, p, resp, "", sentAt, 0)
	if d.err == nil {
		s.Metrics.CountAttempt(x.req.Service, "away")
		return false, nil
	}
	mayRetry, err = s.recordHandoverFailure(x, state, host, d.err)
	if d.started {
		s.abortAnswer(x, resp, d.err)
	}
	return mayRetry, err
}

func (s *Server) recordHandoverFailure(x *exchange, state *attemptState, host declare.Host, err error) (bool, error) {
	var failure *relay.Failure
	notRun := errors.As(err, &failure) && failure.NotRun
	var rejection *request.NotRun
	notRun = notRun || errors.As(err, &rejection)
	if !notRun {
		state.mayHaveRun = true
	}
	s.Metrics.CountAttempt(x.req.Service, "away_failed")
	s.Log.Warn("hand-over failed", zap.String("request", x.req.ID), zap.String("host", host.Name), zap.Bool("not_run", notRun), telemetry.ErrorField(err))
	return notRun || x.req.Repeatable, err
}

// peerError converts an error answer of a peer into an error, or returns nil if the answer
// is not the gateway's error.
func peerError(resp *http.Response) error {
	outcome := resp.Header.Get(request.HeaderOutcome)
	if outcome == "" {
		return nil
	}
	resp.Body.Close()
	if outcome == request.OutcomeValueNotRun {
		retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if err != nil {
			retryAfter = time.Second
		}
		return &request.NotRun{Reason: reasonOfStatus(resp.StatusCode), Message: "the other region's entry host refused it", RetryAfter: retryAfter}
	}
	return &request.OutcomeUnknown{Message: "the other region's entry host could not tell"}
}

func reasonOfStatus(status int) request.Reason {
	switch status {
	case http.StatusTooManyRequests:
		return request.ReasonOverload
	case http.StatusForbidden:
		return request.ReasonNotPermitted
	case http.StatusGatewayTimeout:
		return request.ReasonDeadline
	case http.StatusLoopDetected:
		return request.ReasonHandoverLoop
	default:
		return request.ReasonNoEngine
	}
}

// pickEntryHost returns a random entry host of a region.
func (s *Server) pickEntryHost(x *exchange, region string) (declare.Host, bool) {
	var hosts []declare.Host
	for _, host := range s.Peers.EntryHosts() {
		if x.config.RegionOf(host.DataCentre) == region {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return declare.Host{}, false
	}
	return hosts[s.Random()%uint64(len(hosts))], true
}
