package dispatchbench

import (
	"math"
	"time"

	"github.com/linenscale/linenscale/ratelimit"
)

const (
	// limitWindow, limitFactor and limitSlack bound the requests that an engine with a
	// rate limit may get: within each window, one and a half times what the limit allows,
	// plus the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime is how long after the first announcement the bound starts to apply.
	limitSettleTime = 6 * time.Second
)

// announcedLimit is the rate limit that an engine announces, and the requests that it
// received once the bound applied. The zero value announces none.
type announcedLimit struct {
	perSecond float64
	since     time.Duration   // when it was first announced; 0 for never
	arrivals  []time.Duration // times since the start of the simulation
}

// signal returns the limit as the engine's answers announce it.
func (l *announcedLimit) signal() ratelimit.Signal {
	if l.since == 0 {
		return ratelimit.Unlimited{}
	}
	return ratelimit.Limited{PerSecond: l.perSecond}
}

// recordArrival counts a request that reaches the engine, once the bound applies.
func (l *announcedLimit) recordArrival(at time.Duration) {
	if l.since > 0 && at >= l.since+limitSettleTime {
		l.arrivals = append(l.arrivals, at)
	}
}

// AnnounceLimits has a share of a region's engines announce a rate limit from now on, in
// requests per second.
func (s *Simulation) AnnounceLimits(region string, share, perSecond float64) {
	engines := s.enginesByRegion[region]
	for _, e := range engines[:int(math.Ceil(share*float64(len(engines))))] {
		e.limit.perSecond, e.limit.since = perSecond, s.elapsed()
	}
}

// limitResults returns the result of each engine with a rate limit.
func (s *Simulation) limitResults() []LimitedEngine {
	var out []LimitedEngine
	for _, r := range s.Regions {
		for _, e := range s.enginesByRegion[r.Name] {
			if e.limit.since > 0 {
				out = append(out, e.limit.result(s.Duration))
			}
		}
	}
	return out
}

// result computes the engine's result in a simulation whose arrivals end after the given
// duration.
func (l *announcedLimit) result(duration time.Duration) LimitedEngine {
	peak := 0
	for i, from := range l.arrivals {
		count := 0
		for count < len(l.arrivals)-i && l.arrivals[i+count] < from+limitWindow {
			count++
		}
		peak = max(peak, count)
	}
	accepted := 0
	for _, at := range l.arrivals {
		if at < duration {
			accepted++
		}
	}
	allowed := l.perSecond * (duration - l.since - limitSettleTime).Seconds()
	return LimitedEngine{Excess: float64(peak) - limitFactor*l.perSecond*limitWindow.Seconds() - limitSlack, UsedShare: float64(accepted) / allowed}
}
