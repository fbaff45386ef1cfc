// This file defines where a request runs: here, or by one hand-over in another
// region.

package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

// place runs the request in the region that is expected to serve it best. What
// was refused as not run may be tried in other regions after that.
func (s *Server) place(x *exchange) error {
	if x.fixed {
		return s.attempts(x)
	}
	here := x.permitted(s.Self.Region)
	if !here {
		x.tried = append(x.tried, s.Self.Region)
	}
	var cause error = &request.NotRun{Reason: request.ReasonNoEngine, Message: "no gateway can be reached of a region where the route may run", RetryAfter: retryRegion}
	for range maxRegions {
		region, ok, err := s.chooseRegion(x, here)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		x.tried = append(x.tried, region)
		err = s.runIn(x, region)
		if region == s.Self.Region {
			here = false
		}
		if err == nil || !elsewhere(err) || x.done.sends >= x.route.Attempts {
			return err
		}
		cause = err
	}
	return cause
}

// maxRegions bounds the regions that are tried for one request.
const maxRegions = 3

// elsewhere tells whether a request that was refused may be tried in another
// region: nothing of it has run, and it is the engines that lack.
func elsewhere(err error) bool {
	var refusal *request.NotRun
	return errors.As(err, &refusal) && (refusal.Reason == request.ReasonNoEngine || refusal.Reason == request.ReasonOverload)
}

// chooseRegion gives the region to try next; false where none is left. The error
// is a refusal where even the best is overloaded.
func (s *Server) chooseRegion(x *exchange, here bool) (region string, ok bool, err error) {
	var reachable []string
	for _, h := range s.Gateways() {
		if s.takes(x, h) && !slices.Contains(reachable, h.Region) {
			reachable = append(reachable, h.Region)
		}
	}
	if !here && len(reachable) == 0 {
		return "", false, nil
	}
	place := s.Dispatcher.ChooseRegion(x.ask(nil), here, reachable)
	if !here && place.Region == s.Self.Region {
		// Nothing is known of the others: any is better than none.
		place.Region = reachable[s.Random()%uint64(len(reachable))]
	}
	s.Log.Info("region chosen", x.fields(zap.String("region", place.Region), zap.Duration("here", place.Here), zap.Duration("there", place.There), zap.Duration("queue", place.Queue), zap.Bool("home", place.Home))...)
	return place.Region, true, x.ask(nil).Overloaded(place.Queue)
}

// takes tells whether a gateway of another region may get the request.
func (s *Server) takes(x *exchange, h roster.Host) bool {
	return h.Region != s.Self.Region && !slices.Contains(x.tried, h.Region) && x.permitted(h.Region) && !h.Stopping && h.Handover != ""
}

// runIn runs the request here, or hands it over to a gateway of another region.
func (s *Server) runIn(x *exchange, region string) error {
	if region == s.Self.Region {
		return s.attempts(x)
	}
	var all []roster.Host
	for _, h := range s.Gateways() {
		if h.Region == region && !h.Stopping && h.Handover != "" {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: "no gateway of " + region + " can be reached", RetryAfter: retryRegion}
	}
	s.Dispatcher.Sent(region, x.ask(nil))
	return s.handOver(x, all[s.Random()%uint64(len(all))])
}

// retryRegion is when to come back where no region can be reached: cuts last
// for seconds.
const retryRegion = time.Second

// handOver sends the request to a gateway of another region.
func (s *Server) handOver(x *exchange, gateway roster.Host) error {
	s.Log.Info("handed over", x.fields(zap.String("gateway", gateway.Name), zap.String("region", gateway.Region), zap.Duration("remaining", time.Until(x.deadline)))...)
	header := relay.Forwardable(x.r.Header)
	sent := request.Request{ID: x.identity.ID, Deadline: x.deadline, Sends: x.done.sends}.WithVisit(s.Self.Name)
	sent.SetHandover(header, time.Now(), uint64(x.rules.table.Version()))
	resp, err := s.Peers.Send(x.r.Context(), relay.Call{
		Method: x.r.Method, URL: "http://" + gateway.Handover + x.r.URL.RequestURI(), Host: x.r.Host,
		Header: header, Body: x.reader(), Length: int64(len(x.body)),
		Echoes: true, Fresh: !x.route.Repeatable(),
		Judge: func(resp *http.Response) error { return x.judgePeer(resp) },
	})
	if err != nil {
		return s.handOverFailed(x, gateway, err)
	}
	defer resp.Body.Close()
	if err := s.pass(x, resp, nil); err != nil {
		return s.handOverFailed(x, gateway, err)
	}
	s.Metrics.Request(x.service, "answered_elsewhere")
	return nil
}

func (s *Server) handOverFailed(x *exchange, gateway roster.Host, err error) error {
	s.Log.Warn("hand-over failed", x.fields(zap.String("gateway", gateway.Name), zap.Bool("started", x.started), telemetry.Cause(err))...)
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
func (x *exchange) judgePeer(resp *http.Response) error {
	if sends, err := strconv.Atoi(resp.Header.Get(request.HeaderSends)); err == nil {
		x.done.sends = max(x.done.sends, sends)
	}
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
