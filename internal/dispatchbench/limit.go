package dispatchbench

import (
	"math"
	"time"

	"github.com/linenscale/linenscale/ratelimit"
)

const (
	// limitWindow, limitFactor and limitSlack are how much an engine that names a limit may
	// get: one and a half times what that allows within the window, and the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime is how long after its first word that begins to hold.
	limitSettleTime = 6 * time.Second
)

// announcedLimit is the limit that an engine names. The zero value names none.
type announcedLimit struct {
	perSecond float64
	since     time.Duration // 0 for never
	arrivals  []time.Duration
}

func (l *announcedLimit) signal() ratelimit.Word {
	if l.since == 0 {
		return ratelimit.Unlimited{}
	}
	return ratelimit.Limited{PerSecond: l.perSecond}
}

func (l *announcedLimit) recordArrival(at time.Duration) {
	if l.since > 0 && at >= l.since+limitSettleTime {
		l.arrivals = append(l.arrivals, at)
	}
}

// AnnounceLimits has a share of a region's engines name a limit from now on.
func (s *Simulation) AnnounceLimits(region string, share, perSecond float64) {
	engines := s.enginesByRegion[region]
	for _, e := range engines[:int(math.Ceil(share*float64(len(engines))))] {
		e.limit.perSecond, e.limit.since = perSecond, s.elapsed()
	}
}

// limitResults gives what came of each engine's limit.
func (s *Simulation) limitResults() []LimitedEngine {
	var out []LimitedEngine
	for _, r := range s.Regions {
		for _, e := range s.enginesByRegion[r.Name] {
			if e.limit.since > 0 {
				out = append(out, e.limit.outcome(s.Duration))
			}
		}
	}
	return out
}

func (l *announcedLimit) outcome(length time.Duration) LimitedEngine {
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
		if at < length {
			accepted++
		}
	}
	allowed := l.perSecond * (length - l.since - limitSettleTime).Seconds()
	return LimitedEngine{Excess: float64(peak) - limitFactor*l.perSecond*limitWindow.Seconds() - limitSlack, UsedShare: float64(accepted) / allowed}
}
