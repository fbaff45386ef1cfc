package allowance

import (
	"math"
	"time"
)

// account is what a gateway knows of one client account.
type account struct {
	most     float64            // units in a window
	used     map[string]*window // by region; none where nothing was admitted
	filled   time.Time          // up to when others' use is in it
	admitted moving             // by this gateway's callers
	own      *window            // the same; nil where nothing was
	asked    average            // by them
	refused  float64            // units so far
	shares   map[string]float64 // of the regions, when all were last heard
	parted   time.Time          // when those shares were last brought up to date
	share    float64            // of the requests admitted of late, by all who decide alike
	shared   time.Time          // when that was noted
	jump     jump               // of what is asked for here
	known    float64            // units a second that others have told to be asked for, of late
	demand   *window            // what all that are heard have asked for, admitted or not
}

// newAccount makes an account of which nothing is known: as if all that is inside the
// allowance had been admitted, as much in each region. length is that of its window.
func newAccount(inside float64, length time.Duration, regions []string, now time.Time) *account {
	a := &account{
		used: make(map[string]*window), filled: now, shares: make(map[string]float64), parted: now, share: 1, shared: now,
		asked: average{over: askedOver}, demand: newWindow(length, 0, now),
	}
	for _, region := range regions {
		part := 1 / float64(len(regions))
		a.shares[region] = part
		a.used[region] = newWindow(length, part*inside, now)
	}
	return a
}

// add notes what was admitted in a region, or takes it off.
func (a *account) add(region string, n float64, length time.Duration, now time.Time) {
	w, ok := a.used[region]
	switch {
	case ok:
		w.add(n, now)
	case n > 0:
		w = newWindow(length, 0, now)
		a.used[region] = w
		w.add(n, now)
	}
}

// usedIn gives what was admitted in the last window in a region, by the rates that are known.
func (a *account) usedIn(region string, now time.Time) float64 {
	w, ok := a.used[region]
	if !ok {
		return 0
	}
	w.advance(now)
	return w.sum
}

// leaving gives how much of what was admitted in those regions leaves the window each second
// now.
func (a *account) leaving(regions []string, now time.Time) (sum float64) {
	for _, region := range regions {
		if w, ok := a.used[region]; ok {
			w.advance(now)
			sum += w.leaving()
		}
	}
	return sum
}

// tidy drops the windows in which nothing is left. It tells whether that is all, and
// nobody asks for anything here.
func (a *account) tidy(now time.Time) (idle bool) {
	for region, w := range a.used {
		if w.advance(now); w.sum == 0 {
			delete(a.used, region)
		}
	}
	if len(a.used) > 0 || a.asked.perSecond(now) >= leastUse {
		return false
	}
	a.own = nil
	return true
}

// until gives how long it takes until so much has left the windows of those regions.
func (a *account) until(n float64, regions []string) time.Duration {
	longest := time.Duration(0)
	for _, region := range regions {
		if w, ok := a.used[region]; ok {
			longest = max(longest, w.until(n/float64(len(regions))))
		}
	}
	return longest
}

// noteShare notes which share of the requests is admitted from now on, and what others ask
// for.
func (a *account) noteShare(share, others float64, now time.Time) {
	passed := float64(now.Sub(a.shared))
	a.share += (1 - math.Exp(-passed/float64(lag/2))) * (share - a.share)
	a.known += (1 - math.Exp(-passed/float64(knownOver))) * (others - a.known)
	a.shared = now
}

// addOwn notes what this gateway has admitted, or takes it off.
func (a *account) addOwn(n float64, length time.Duration, now time.Time) {
	switch {
	case a.own != nil:
		a.own.add(n, now)
	case n > 0:
		a.own = newWindow(length, 0, now)
		a.own.add(n, now)
	}
}

// ownWindow gives what this gateway has admitted within the last window.
func (a *account) ownWindow(now time.Time) float64 {
	if a.own == nil {
		return 0
	}
	a.own.advance(now)
	return a.own.sum
}

// use gives what this gateway's callers do.
func (a *account) use(now time.Time) Use {
	return Use{
		Admitted: a.admitted.perSecond(now, nearHeld), Steady: a.admitted.perSecond(now, farHeld),
		Asked: a.asked.perSecond(now), Window: a.ownWindow(now),
	}
}

// average is of the last moments, whose weights fall with time.
type average struct {
	over   time.Duration
	weight float64
	at     time.Time
}

func (a *average) add(n float64, now time.Time) { a.weight, a.at = a.decayed(now)+n, now }

func (a *average) decayed(now time.Time) float64 {
	return a.weight * math.Exp(-float64(now.Sub(a.at))/float64(a.over))
}

func (a *average) perSecond(now time.Time) float64 {
	return max(0, a.decayed(now)/a.over.Seconds())
}
