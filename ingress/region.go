// This file defines the choice of the region that runs a request.

package ingress

import (
	"slices"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/request"
)

// runInBestRegion runs the request in the region that is expected to serve it best. If it
// is rejected there as not run, it may be tried in other regions.
func (s *Server) runInBestRegion(x *exchange) error {
	if x.handedOver {
		s.Dispatcher.CountHandover(x.dispatchRequest(nil))
		return s.runAttempts(x)
	}
	local := x.mayRunIn(s.Self.Region)
	if !local {
		x.triedRegions = append(x.triedRegions, s.Self.Region)
	}
	s.Dispatcher.CountArrival(x.dispatchRequest(nil))
	err := s.tryRegions(x, local)
	var rejection *request.NotRun
	if x.progress.mayHaveRun && errors.As(err, &rejection) {
		// An engine of one region may have run it, so the caller must not get the rejection of
		// another region, which states that it did not run.
		return &request.OutcomeUnknown{Message: "an engine may have run it, and then " + rejection.Error()}
	}
	return err
}

// tryRegions tries one region after another. The local region is a candidate only if local
// is true.
func (s *Server) tryRegions(x *exchange, local bool) error {
	var lastErr error = &request.NotRun{Reason: request.ReasonNoEngine, Message: "no gateway can be reached of a region where the route may run", RetryAfter: regionRetryAfter}
	for range maxRegionsTried {
		region, ok, err := s.chooseRegion(x, local)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		x.triedRegions = append(x.triedRegions, region)
		err = s.runInRegion(x, region)
		if region == s.Self.Region {
			local = false
		}
		if err == nil || !x.mayRetryElsewhere(err) {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// mayRetryElsewhere reports whether a request that failed in one region may be tried in
// another. It doesn't spend the retry budget; the gateway that sends the request does.
func (x *exchange) mayRetryElsewhere(err error) bool {
	if x.progress.sends >= x.route.Attempts || x.r.Context().Err() != nil {
		return false
	}
	var unknown *request.OutcomeUnknown
	if errors.As(err, &unknown) {
		return x.route.Repeatable() && x.mayContinue()
	}
	return lacksCapacity(err)
}

// maxRegionsTried bounds the regions that are tried for one request.
const maxRegionsTried = 3

// lacksCapacity reports whether err is a rejection as not run for lack of engines or
// capacity. Such a request may be tried in another region.
func lacksCapacity(err error) bool {
	var rejection *request.NotRun
	return errors.As(err, &rejection) && (rejection.Reason == request.ReasonNoEngine || rejection.Reason == request.ReasonOverload)
}

// otherRegions returns the regions to which the request can be handed over: those that haven't
// been tried and may run it, with a gateway that can be reached, unless a continued stream's
// version is known to be missing there.
func (s *Server) otherRegions(x *exchange) []string {
	var regions []string
	for _, h := range s.Gateways() {
		if slices.Contains(regions, h.Region) || slices.Contains(x.triedRegions, h.Region) || !x.mayRunIn(h.Region) || !s.acceptsHandover(h) {
			continue
		}
		if x.origin != nil && s.Dispatcher.LacksVersion(h.Region, *x.origin) {
			continue
		}
		regions = append(regions, h.Region)
	}
	return regions
}

// chooseRegion returns the region to try next; ok is false if none is left. The error is a
// rejection if even the best region is overloaded.
func (s *Server) chooseRegion(x *exchange, local bool) (region string, ok bool, err error) {
	reachable := s.otherRegions(x)
	if !local && len(reachable) == 0 {
		return "", false, nil
	}
	choice := s.Dispatcher.ChooseRegion(x.dispatchRequest(nil), local, reachable)
	if !local && choice.Region == s.Self.Region {
		// The state of the other regions is unknown: choose a random one.
		choice.Region = reachable[s.Random()%uint64(len(reachable))]
	}
	s.Log.Info("region chosen", x.logFields(zap.String("region", choice.Region), zap.Duration("here", choice.LocalCost), zap.Duration("there", choice.Cost), zap.Duration("queue", choice.Queue), zap.Bool("home", choice.IsHome), zap.Bool("planned", choice.IsPlanned), zap.Bool("trial", choice.IsTrial))...)
	return choice.Region, true, choice.Refusal
}
