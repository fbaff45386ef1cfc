package dispatchbench

import (
	"math"
	"time"

	"github.com/linenscale/linenscale/ratelimit"
)

const (
	// limitWindow, limitTimes and limitSlack are how much an engine that names a limit may
	// get: one and a half times what that allows within the window, and the slack.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitSlack  = 5
	// limitSettles is how long after its first word that begins to hold.
	limitSettles = 6 * time.Second
)

// namedLimit is the limit that an engine names. The zero value names none.
type namedLimit struct {
	perSecond float64
	since     time.Duration // 0 for never
	arrivals  []time.Duration
}

func (l *namedLimit) word() ratelimit.Signal {
	if l.since == 0 {
		return ratelimit.Unlimited{}
	}
	return ratelimit.Limited{PerSecond: l.perSecond}
}

func (l *namedLimit) arrived(at time.Duration) {
	if l.since > 0 && at >= l.since+limitSettles {
		l.arrivals = append(l.arrivals, at)
	}
}

// NameLimits has a share of a region's engines name a limit from now on.
func (w *World) NameLimits(region string, share, perSecond float64) {
	all := w.order[region]
	for _, e := range all[:int(math.Ceil(share*float64(len(all))))] {
		e.limit.perSecond, e.limit.since = perSecond, w.since()
	}
}

// limitedEngines gives what came of each engine's limit.
func (w *World) limitedEngines() []LimitedEngine {
	var out []LimitedEngine
	for _, r := range w.Regions {
		for _, e := range w.order[r.Name] {
			if e.limit.since > 0 {
				out = append(out, e.limit.outcome(w.Length))
			}
		}
	}
	return out
}

func (l *namedLimit) outcome(length time.Duration) LimitedEngine {
	most := 0
	for i, from := range l.arrivals {
		n := 0
		for n < len(l.arrivals)-i && l.arrivals[i+n] < from+limitWindow {
			n++
		}
		most = max(most, n)
	}
	within := 0
	for _, at := range l.arrivals {
		if at < length {
			within++
		}
	}
	takes := l.perSecond * (length - l.since - limitSettles).Seconds()
	return LimitedEngine{Over: float64(most) - limitTimes*l.perSecond*limitWindow.Seconds() - limitSlack, Used: float64(within) / takes}
}
