// This file defines what holds of an account at one moment, and how much is admitted then.

package allowance

import "time"

const (
	// hotShare is how many times what may be in a window callers must have asked for within
	// one for an account to count as hot. Below that what leaves a window at once may come
	// back at once; an account that asks for 4.2 times its rate so loses nothing.
	hotShare = 4
	// hotRate is the same for what is asked for at one moment, which counts at once, but is less
	// certain: each gateway sees few requests.
	hotRate = 6
	// evenShare is how much of an even flow is admitted then at most. What was admitted at
	// once leaves the window at once, and what all gateways admit in its place before they
	// hear of each other is beyond it, again with each window
	// (TestAnAccountThatStaysHotIsHeld).
	evenShare = 1.1
	// nearError is the share of what may be in a window by which the sum of what others in the
	// region report may be too high: members of the sum come and go.
	nearError = 0.02
)

// standing is what holds of an account at one moment.
type standing struct {
	regions  []string // that are heard, this one included
	most     float64  // units in a window, that this gateway and those it hears share
	used     float64  // units, as far as is known
	coming   float64  // units that others have admitted beside, or will have forgotten
	leaving  float64  // units a second that leave the window
	asked    float64  // units a second, by all of them
	own      float64  // units a second of that, at this gateway
	admitted float64  // units a second
	alone    bool     // nearly all is asked for at this gateway
	hot      bool     // far more is asked for than may be
	evenly   float64  // units a second that are admitted at most; 0 for no such bound
}

// standing brings the window up to now and gives what holds. The lock is held.
func (m *Meter) standing(name string, a *account, now time.Time) standing {
	others, part, regions := m.near.uses[name], 1.0, []string{m.Region}
	// A gateway that was paused for longer has forgotten what has left the window since.
	passed := min(now.Sub(a.filled), m.Policy.Window).Seconds()
	a.filled = now
	a.add(m.Region, others.Admitted*passed, m.Policy.Window, now)
	for _, region := range m.Regions {
		switch {
		case region == m.Region:
		case m.heard(region, now):
			use := m.far[region].uses[name]
			a.add(region, use.Steady*passed, m.Policy.Window, now)
			others = others.plus(use)
			regions = append(regions, region)
		default:
			// It may use its share, and what it used of the window before was perhaps more.
			kept := a.shares[region] * a.most
			a.add(region, kept/m.Policy.Window.Seconds()*passed, m.Policy.Window, now)
			part -= max(kept, m.usedIn(region, name, a, now)) / a.most
		}
	}
	own := a.use(now)
	s := standing{
		regions: regions, most: max(0, part) * m.near.coverage * a.most,
		asked: own.Asked + others.Asked, own: own.Asked, admitted: own.Admitted + others.Admitted,
	}
	for _, region := range regions {
		s.used += m.usedIn(region, name, a, now)
	}
	s.leaving = a.leaving(regions, now)
	s.alone = own.Asked >= aloneShare*s.asked
	if s.asked > 0 {
		foreign := others.Asked / s.asked
		s.coming = lag.Seconds() * (a.share*others.Asked - foreign*s.leaving)
	}
	a.demand.add(others.Asked*passed, now)
	s.hot = a.demand.sum > hotShare*s.most
	if s.hot {
		s.evenly = evenShare * s.most / m.Policy.Window.Seconds()
	}
	s.hot = s.hot || s.asked*m.Policy.Window.Seconds() > hotRate*s.most
	a.noteShare(s.admits(0), others.Asked, now)
	return s
}

// usedIn gives what was admitted in a region within the last window: what follows from the rates
// that were reported, or the reported sum, whichever is more. Rates miss what was admitted while no
// report arrived; the next sum holds it. The lock is held.
func (m *Meter) usedIn(region, name string, a *account, now time.Time) float64 {
	estimate := a.usedIn(region, now)
	if region == m.Region {
		return max(estimate, a.ownWindow(now)+m.near.uses[name].Window-nearError*a.most)
	}
	far := m.far[region]
	fresh := 1 - float64(now.Sub(far.at))/float64(m.Policy.Window)
	return max(estimate, fresh*far.uses[name].Window)
}

// bounds reports whether a hot account's request stays within this gateway's share of what is left.
// recent is what was admitted here within lag, asked what is asked for here, in units a second, the
// request included. Others admit at most their shares of the same before they report: if reports
// stop, the sum of all shares is still what was left.
func (s standing) bounds(cost, recent, asked float64) bool {
	if !s.hot || s.alone {
		return true
	}
	part := asked / (asked + s.asked - s.own)
	return recent+cost <= part*max(0, s.most-s.used+recent)
}

// admits gives the share of the requests to admit: as many as leave the window, and as
// bring it to what may be in it. What others have admitted and not told yet is reckoned
// with: they do as this gateway does.
func (s standing) admits(cost float64) float64 {
	left := s.most - s.used
	if s.alone || s.asked <= 0 {
		if left >= min(cost, s.most) {
			return 1
		}
		return 0
	}
	wanted := s.leaving + (left-s.coming)/settleTime.Seconds()
	if s.evenly > 0 {
		wanted = min(wanted, s.evenly)
	}
	return max(0, min(1, wanted/s.asked))
}
