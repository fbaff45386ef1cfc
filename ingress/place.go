// This file defines where a request runs: here, or by one hand-over in another
// region.

package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
)

// place runs the request in this region if it may, and if an engine can be
// used here; else in another.
func (s *Server) place(x *exchange) error {
	if x.fixed || x.permitted(s.Self.Region) {
		err := s.attempts(x)
		if err == nil || x.fixed || !elsewhere(err) {
			return err
		}
		return s.away(x, err)
	}
	return s.away(x, &request.NotRun{Reason: request.ReasonNotPermitted, Message: "the route may not run in " + s.Self.Region})
}

// elsewhere tells whether a request that was refused here may be tried in
// another region: nothing of it has run, and it is the engines that lack.
func elsewhere(err error) bool {
	var refusal *request.NotRun
	return errors.As(err, &refusal) && (refusal.Reason == request.ReasonNoEngine || refusal.Reason == request.ReasonOverload)
}

// maxHandovers bounds the regions that are tried.
const maxHandovers = 2

// away hands the request over to a gateway of another region; cause is why it
// can't run here.
func (s *Server) away(x *exchange, cause error) error {
	tried := []string{s.Self.Region}
	for range maxHandovers {
		gateway, ok := s.gatewayElsewhere(x, tried)
		if !ok {
			break
		}
		tried = append(tried, gateway.Region)
		err := s.handOver(x, gateway)
		if err == nil || !elsewhere(err) {
			return err
		}
		cause = err
	}
	var refusal *request.NotRun
	if errors.As(cause, &refusal) && refusal.Reason == request.ReasonNotPermitted {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: "no gateway can be reached of a region where the route may run", RetryAfter: retryRegion}
	}
	return cause
}

// retryRegion is when to come back where no region can be reached: cuts last
// for seconds.
const retryRegion = time.Second

// gatewayElsewhere draws a gateway of the best other region.
func (s *Server) gatewayElsewhere(x *exchange, tried []string) (roster.Host, bool) {
	var all []roster.Host
	best := -1.0
	for _, h := range s.Gateways() {
		if slices.Contains(tried, h.Region) || !x.permitted(h.Region) || h.Stopping || h.Handover == "" {
			continue
		}
		free := s.freeIn(h.Region, x.service)
		if free > best {
			best, all = free, all[:0]
		}
		if free == best {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return roster.Host{}, false
	}
	return all[s.Random()%uint64(len(all))], true
}

// freeIn gives the share of a region's engines of a service that is free, 0
// where nothing is known.
func (s *Server) freeIn(region, service string) float64 {
	loads, _, ok := s.Regions(region)
	if !ok {
		return 0
	}
	for _, l := range loads {
		if l.Service == service {
			return l.Free
		}
	}
	return 0
}

// handOver sends the request to a gateway of another region.
func (s *Server) handOver(x *exchange, gateway roster.Host) error {
	s.Log.Info("handed over", x.fields(zap.String("gateway", gateway.Name), zap.String("region", gateway.Region), zap.Duration("remaining", time.Until(x.deadline)))...)
	header := relay.Forwardable(x.r.Header)
	sent := request.Request{ID: x.identity.ID, Deadline: x.deadline}.WithVisit(s.Self.Name)
	sent.SetHandover(header, time.Now(), uint64(x.rules.table.Version()))
	resp, err := s.Peers.Send(x.r.Context(), relay.Call{
		Method: x.r.Method, URL: "http://" + gateway.Handover + x.r.URL.RequestURI(), Host: x.r.Host,
		Header: header, Body: x.reader(), Length: int64(len(x.body)),
		Echoes: true, Fresh: !x.route.Repeatable(), Judge: judgePeer,
	})
	if err != nil {
		return s.handOverFailed(x, gateway, err)
	}
	defer resp.Body.Close()
	if err := s.pass(x, resp, &progress{}, nil); err != nil {
		return s.handOverFailed(x, gateway, err)
	}
	return nil
}

func (s *Server) handOverFailed(x *exchange, gateway roster.Host, err error) error {
	s.Log.Warn("hand-over failed", x.fields(zap.String("gateway", gateway.Name), zap.Bool("started", x.started), zap.Error(err))...)
	var refusal request.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var failure *relay.Failure
	if errors.As(err, &failure) && failure.NotRun {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: err.Error(), RetryAfter: retryRegion}
	}
	return &request.OutcomeUnknown{Message: err.Error()}
}

// judgePeer turns another gateway's refusal back into one of this one's.
func judgePeer(resp *http.Response) error {
	switch resp.Header.Get(request.HeaderOutcome) {
	case "":
		return nil
	case request.NotRunValue:
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if err != nil {
			wait = retryRegion
		}
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: "the gateway of the other region refused it", RetryAfter: wait}
	default:
		return &request.OutcomeUnknown{Message: "the gateway of the other region could not tell"}
	}
}
