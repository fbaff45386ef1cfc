package allowance

import (
	"math"
	"time"
)

// account is the state of one client account at this gateway.
type account struct {
	limit           float64            // units per window
	used            map[string]*window // by region; no entry for a region that admitted nothing
	updatedAt       time.Time          // when the other gateways' rates were last added
	admitted        movingSum          // from this gateway's callers, less refunds
	charged         movingSum          // the same with what was refunded
	ownWindow       *window            // admitted over the last window; nil if nothing was
	refunded        *window            // of what was charged over the last window; nil if nothing was
	requested       decayingAverage    // by this gateway's callers, admitted or not
	rejected        float64            // units since this gateway started
	regionShares    map[string]float64 // of the limit, as of the last time that all regions were reachable
	sharesUpdatedAt time.Time          // when regionShares were last updated
	admitRatio      float64            // recent average of the fraction of requests that each gateway admits
	averagedAt      time.Time          // when admitRatio and othersRate were last updated
	surge           surge              // in the requests of this gateway's callers
	othersRate      float64            // units per second requested at other gateways, averaged
	demand          *window            // requested at all reachable gateways, admitted or not
}

// newAccount returns an account of unknown usage. It assumes that the whole limit was
// admitted within the last window, the same amount in each region.
func newAccount(limit float64, windowLength time.Duration, regions []string, now time.Time) *account {
	a := &account{
		used: make(map[string]*window), updatedAt: now, regionShares: make(map[string]float64), sharesUpdatedAt: now, admitRatio: 1, averagedAt: now,
		requested: decayingAverage{timeConstant: requestedTimeConstant}, demand: newWindow(windowLength, 0, now),
	}
	for _, region := range regions {
		share := 1 / float64(len(regions))
		a.regionShares[region] = share
		a.used[region] = newWindow(windowLength, share*limit, now)
	}
	return a
}

// add counts units as admitted in a region.
func (a *account) add(region string, units float64, windowLength time.Duration, now time.Time) {
	if units <= 0 {
		return
	}
	w, ok := a.used[region]
	if !ok {
		w = newWindow(windowLength, 0, now)
		a.used[region] = w
	}
	w.add(units, now)
}

// refundOwn subtracts units that this gateway admitted at an earlier time in its region. Other
// gateways have counted them by reported rates, and get the sum of refunds beside these: a rate
// reduced by refunds would take them from what is admitted now.
func (a *account) refundOwn(region string, units float64, windowLength time.Duration, admittedAt, now time.Time) {
	if a.refunded == nil {
		a.refunded = newWindow(windowLength, 0, now)
	}
	a.refunded.addAt(units, admittedAt, now)
	a.admitted.add(-units, now)
	if w, ok := a.used[region]; ok {
		w.subtract(units, admittedAt, now)
	}
	if a.ownWindow != nil {
		a.ownWindow.subtract(units, admittedAt, now)
	}
}

// estimateIn returns the units admitted in a region within the last window, as estimated
// from the reported rates, less those that other gateways report as refunded.
func (a *account) estimateIn(region string, refunded float64, now time.Time) float64 {
	w, ok := a.used[region]
	if !ok {
		return 0
	}
	w.advance(now)
	return max(0, w.sum-refunded)
}

// expiryRateIn returns how many of the units admitted in a region currently leave the window
// per second. When the refunded ones were charged isn't reported, so that they are assumed to
// be spread over the window like the others.
func (a *account) expiryRateIn(region string, refunded float64, now time.Time) float64 {
	w, ok := a.used[region]
	if !ok {
		return 0
	}
	w.advance(now)
	if w.sum <= refunded {
		return 0
	}
	return w.expiryRate() * (1 - refunded/w.sum)
}

// prune drops empty windows. It reports whether the account is idle: no window is left, no
// refund has to be reported, and this gateway's callers request nothing.
func (a *account) prune(now time.Time) (idle bool) {
	for region, w := range a.used {
		if w.advance(now); w.sum == 0 {
			delete(a.used, region)
		}
	}
	if len(a.used) > 0 || a.refundedSum(now) > 0 || a.requested.perSecond(now) >= minReportedRate {
		return false
	}
	a.ownWindow, a.refunded = nil, nil
	return true
}

// timeToExpire returns how long it takes until that many units have left the windows of
// the regions, if each region contributes an equal part.
func (a *account) timeToExpire(units float64, regions []string) time.Duration {
	longest := time.Duration(0)
	for _, region := range regions {
		if w, ok := a.used[region]; ok {
			longest = max(longest, w.timeToExpire(units/float64(len(regions))))
		}
	}
	return longest
}

// updateAverages adds the current admit ratio and the rate requested at other gateways to
// their averages.
func (a *account) updateAverages(ratio, othersRate float64, now time.Time) {
	elapsed := float64(now.Sub(a.averagedAt))
	a.admitRatio += (1 - math.Exp(-elapsed/float64(reportLag/2))) * (ratio - a.admitRatio)
	a.othersRate += (1 - math.Exp(-elapsed/float64(inUseTimeConstant))) * (othersRate - a.othersRate)
	a.averagedAt = now
}

// addOwn counts units as admitted by this gateway.
func (a *account) addOwn(units float64, windowLength time.Duration, now time.Time) {
	if a.ownWindow == nil {
		a.ownWindow = newWindow(windowLength, 0, now)
	}
	a.ownWindow.add(units, now)
}

// ownSum returns the units that this gateway admitted within the last window.
func (a *account) ownSum(now time.Time) float64 {
	if a.ownWindow == nil {
		return 0
	}
	a.ownWindow.advance(now)
	return a.ownWindow.sum
}

// refundedSum returns the units of those charged within the last window that were refunded.
func (a *account) refundedSum(now time.Time) float64 {
	if a.refunded == nil {
		return 0
	}
	a.refunded.advance(now)
	return a.refunded.sum
}

// ownUsage returns the usage by this gateway's callers.
func (a *account) ownUsage(now time.Time) Usage {
	return Usage{
		AdmittedRate: a.charged.perSecond(now, localRatePeriod), SmoothedRate: a.charged.perSecond(now, remoteRatePeriod),
		RequestedRate: a.requested.perSecond(now), WindowTotal: a.ownSum(now), RefundedTotal: a.refundedSum(now),
	}
}

// decayingAverage is a rate average whose weights decay exponentially with age.
type decayingAverage struct {
	timeConstant time.Duration
	sum          float64
	updatedAt    time.Time
}

func (a *decayingAverage) add(n float64, now time.Time) { a.sum, a.updatedAt = a.decayed(now)+n, now }

func (a *decayingAverage) decayed(now time.Time) float64 {
	return a.sum * math.Exp(-float64(now.Sub(a.updatedAt))/float64(a.timeConstant))
}

func (a *decayingAverage) perSecond(now time.Time) float64 {
	return max(0, a.decayed(now)/a.timeConstant.Seconds())
}
