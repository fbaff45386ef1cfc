package allowance

import (
	"math"
	"time"
)

const (
	// propagationTime is how long it takes until every gateway has received what callers
	// began to request everywhere at once: reports from other regions are 0.4 s old and
	// arrive four times a second.
	propagationTime = 600 * time.Millisecond
	// surgeReportDelay is how long after the start of a surge another gateway's report
	// must have been sent to include what began there.
	surgeReportDelay = 200 * time.Millisecond
	// surgePeriod is the period over which requests are counted to detect a surge, and
	// usualTimeConstant that of the average which gives their usual rate.
	surgePeriod       = 500 * time.Millisecond
	usualTimeConstant = 5 * time.Second
	// inUseShare is the fraction of an account's rate from which on the account counts as
	// in use, by the rates that others reported, averaged over inUseTimeConstant. That
	// must be long enough to exclude the reports of the surge itself, which arrive 0.1 s
	// after it began.
	inUseShare        = 0.25
	inUseTimeConstant = 3 * time.Second
	// surgeDeviations and minSurgeRequests exclude chance: a surge exceeds the usual
	// number of requests by four standard deviations and three requests. For an account
	// with one request per second at a gateway, seven must arrive within half a second,
	// which happens by chance once in six days.
	surgeDeviations  = 4
	minSurgeRequests = 3
	// unusedShare is the fraction of an account's rate below which nobody else uses it, by
	// the same average. It is above zero because the reports of the gateways that began
	// first arrive while others begin.
	unusedShare = 0.05
	// minUnusedRequests is how many requests of an unused account pass within surgePeriod
	// even if as many at every gateway exceed the limit: callers often send a pair.
	minUnusedRequests = 2
	// sumError is the relative error of a sum of units.
	sumError = 1e-9
)

// surge detects that a gateway's callers suddenly request much more of an account than
// before. The same may happen at all gateways, and none receives the others' reports of
// it for propagationTime; until then each admits at most its share of what is left
// (TestASuddenStartIsHeld, TestStartAtManyGatewaysIsHeld). That costs callers of an
// account that nobody used, and whose whole rate is suddenly requested at one gateway alone,
// the requests beyond that share: none at one gateway of six
// (TestSurgeAtOneGatewayIsAdmitted), most of a second's at one of many
// (TestUnusedAccountAtOneOfManyGateways). The zero value has counted nothing.
type surge struct {
	recent   movingSum // requests
	usual    decayingAverage
	active   bool      // requests still exceed the usual rate
	start    time.Time // when the surge began
	admitted float64   // units since start and in surgePeriod before it
	limit    float64   // units that this gateway may admit until others' reports arrive
	inUse    bool      // other gateways used the account before the surge
}

// observe counts a request, and reports whether a surge starts with it. exceedsShare means
// that nobody used the account before, and that the request would exceed this gateway's
// share of what is left: chance may explain the few requests so far, but not if all
// gateways receive as many.
func (s *surge) observe(now time.Time, exceedsShare bool) (starts bool) {
	s.recent.add(1, now)
	s.usual.timeConstant = usualTimeConstant
	s.usual.add(1, now)
	usual := s.usual.perSecond(now) * surgePeriod.Seconds()
	requests := s.recent.sumOver(now, surgePeriod)
	excess := requests - usual
	starts = !s.active && (excess >= surgeDeviations*math.Sqrt(usual)+minSurgeRequests || exceedsShare && requests > minUnusedRequests)
	// The surge ends only when requests are back to the usual rate, so that one surge
	// isn't counted as several.
	s.active = starts || (s.active && excess > math.Sqrt(usual))
	return starts
}

// begin records the start of a surge. admitted is what was admitted just before, limit
// what may be admitted until the reports of other gateways can include the surge.
func (s *surge) begin(admitted, limit float64, inUse bool, now time.Time) {
	s.start, s.admitted, s.limit, s.inUse = now, admitted, limit, inUse
}

// refund subtracts units that were admitted at the given time. Those from before what
// admitted includes must not raise what the surge may still use.
func (s *surge) refund(units float64, admittedAt time.Time) {
	if !admittedAt.Before(s.start.Add(-surgePeriod)) {
		s.admitted = max(0, s.admitted-units)
	}
}

// admits reports whether a request may be admitted in addition to what was admitted since
// the surge began. requestedRate is in units per second; awaitsReports means that the
// reports of other gateways may not include the surge yet. If the account was in use
// elsewhere, reports bound a moderate surge well enough: one that fits within the limit
// even if every gateway has it.
func (s *surge) admits(cost, requestedRate float64, awaitsReports bool) bool {
	if !awaitsReports || s.admitted+cost <= s.limit {
		return true
	}
	return s.inUse && requestedRate*propagationTime.Seconds() <= s.limit
}
