// This file defines the state of an account at one moment, and how much is admitted in it.

package allowance

import "time"

const (
	// hotWindowFactor is how many times the limit for a window callers must have
	// requested within one for the account to count as hot. Below that, what expires in
	// one burst may be admitted again in one burst, so an account that requests 4.2 times
	// its rate loses nothing.
	hotWindowFactor = 4
	// hotRateFactor is the same factor for the current requested rate. It takes effect at
	// once but is less certain, because each gateway sees few requests.
	hotRateFactor = 6
	// hotAdmitFactor bounds the rate at which a hot account is admitted, as a multiple of
	// the rate that fills the window evenly. What was admitted in one burst also expires
	// in one burst. Without the bound, all gateways would admit as much again before they
	// receive each other's reports, and exceed the limit once per window
	// (TestAnAccountThatStaysHotIsHeld).
	hotAdmitFactor = 1.1
	// localSumError is the fraction of the limit by which the reported sum of the region's
	// other gateways may be too high, because gateways join and leave that sum.
	localSumError = 0.02
)

// accountState is the state of an account at one moment, as estimated by this gateway.
type accountState struct {
	regions      []string // reachable ones, including this one
	limit        float64  // units per window for this gateway and those it receives reports from
	used         float64  // units in the window, as estimated
	unreported   float64  // units that others have admitted but not reported, less those that expire
	expiryRate   float64  // units a second that leave the window
	requested    float64  // units a second, at all these gateways
	ownRequested float64  // units a second of that, at this gateway
	admitted     float64  // units a second, at all these gateways
	soleGateway  bool     // nearly all requests arrive at this gateway
	hot          bool     // far more is requested than the limit
	maxRate      float64  // upper bound of admitted units a second; 0 for none
}

// updateState advances an account's windows to now, adds the usage reported by the other
// gateways, and returns the resulting state. The caller holds m.mu.
func (m *Meter) updateState(name string, a *account, now time.Time) accountState {
	others, limitShare, regions := m.local.usage[name], 1.0, []string{m.Region}
	// After a longer pause, everything before the last window has expired.
	elapsed := min(now.Sub(a.updatedAt), m.Policy.Window).Seconds()
	a.updatedAt = now
	a.add(m.Region, others.AdmittedRate*elapsed, m.Policy.Window, now)
	for _, region := range m.Regions {
		switch {
		case region == m.Region:
		case m.hasFreshReport(region, now):
			use := m.remote[region].usage[name]
			a.add(region, use.SmoothedRate*elapsed, m.Policy.Window, now)
			others = others.plus(use)
			regions = append(regions, region)
		default:
			// An unreachable region may use its share. What it used of the window before
			// the partition was perhaps more.
			reserved := a.regionShares[region] * a.limit
			a.add(region, reserved/m.Policy.Window.Seconds()*elapsed, m.Policy.Window, now)
			limitShare -= max(reserved, m.usedIn(region, name, a, now)) / a.limit
		}
	}
	own := a.ownUsage(now)
	s := accountState{
		regions: regions, limit: max(0, limitShare) * m.local.coverage * a.limit,
		requested: own.RequestedRate + others.RequestedRate, ownRequested: own.RequestedRate, admitted: own.AdmittedRate + others.AdmittedRate,
	}
	for _, region := range regions {
		s.used += m.usedIn(region, name, a, now)
	}
	for _, region := range regions {
		s.expiryRate += a.expiryRateIn(region, m.refundedIn(region, name, now), now)
	}
	s.soleGateway = own.RequestedRate >= soleGatewayShare*s.requested
	if s.requested > 0 {
		othersShare := others.RequestedRate / s.requested
		s.unreported = reportLag.Seconds() * (a.admitRatio*others.RequestedRate - othersShare*s.expiryRate)
	}
	a.demand.add(others.RequestedRate*elapsed, now)
	s.hot = a.demand.sum > hotWindowFactor*s.limit
	if s.hot {
		s.maxRate = hotAdmitFactor * s.limit / m.Policy.Window.Seconds()
	}
	s.hot = s.hot || s.requested*m.Policy.Window.Seconds() > hotRateFactor*s.limit
	a.updateAverages(s.admitRatio(0), others.RequestedRate, now)
	return s
}

// refundedIn returns the units that other gateways report as refunded in a region, of those
// charged within the last window. What an old report says may have left the window since. The
// caller holds m.mu.
func (m *Meter) refundedIn(region, name string, now time.Time) float64 {
	switch {
	case region == m.Region:
		return m.local.usage[name].RefundedTotal
	case m.hasFreshReport(region, now):
		return m.remote[region].usage[name].RefundedTotal
	default:
		return 0
	}
}

// usedIn returns the units admitted in a region within the last window: the estimate from
// the reported rates or the reported sum, whichever is more. The rates miss what was
// admitted while no report arrived; the next reported sum includes it. The caller holds
// m.mu.
func (m *Meter) usedIn(region, name string, a *account, now time.Time) float64 {
	estimate := a.estimateIn(region, m.refundedIn(region, name, now), now)
	if region == m.Region {
		return max(estimate, a.ownSum(now)+m.local.usage[name].WindowTotal-localSumError*a.limit)
	}
	report := m.remote[region]
	// Since the report was sent, part of its sum has left the window, assumed to be spread
	// evenly.
	remaining := 1 - float64(now.Sub(report.at))/float64(m.Policy.Window)
	return max(estimate, remaining*report.usage[name].WindowTotal)
}

// withinGatewayShare reports whether a request for a hot account stays within this
// gateway's share of what is left. recent is what this gateway admitted within reportLag;
// requestedRate, in units per second, includes the request. Other gateways admit at most
// their own shares of the same amount before they report: even if reports stop, the
// shares add up to what was left.
func (s accountState) withinGatewayShare(cost, recent, requestedRate float64) bool {
	if !s.hot || s.soleGateway {
		return true
	}
	share := requestedRate / (requestedRate + s.requested - s.ownRequested)
	return recent+cost <= share*max(0, s.limit-s.used+recent)
}

// admitRatio returns the fraction of requests to admit: as much as expires, and as much
// as brings the window to its limit within settleTime. It accounts for what others have
// admitted but not yet reported, assuming that they admit the same fraction as this
// gateway.
func (s accountState) admitRatio(cost float64) float64 {
	available := s.limit - s.used
	if s.soleGateway || s.requested <= 0 {
		if available >= min(cost, s.limit) {
			return 1
		}
		return 0
	}
	targetRate := s.expiryRate + (available-s.unreported)/settleTime.Seconds()
	if s.maxRate > 0 {
		targetRate = min(targetRate, s.maxRate)
	}
	return max(0, min(1, targetRate/s.requested))
}
