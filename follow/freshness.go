// This file tracks up to when this host's state of the ledger is complete.

package follow

import "time"

// freshnessPoint says that the state with an index, or a later one, contains everything
// accepted until a time of this host's steady clock.
type freshnessPoint struct {
	index uint64
	at    time.Duration
}

// maxFreshnessPoints is how many states of one control host are tracked. The points of
// earlier states still count while a newer state is being fetched, also when changes
// follow each other quickly.
const maxFreshnessPoints = 8

// recordFreshness records a control host's Freshness. The answer was sent at sentAt+Held at
// the earliest, so the resulting time may be too early, but never too late, however long
// the call or either host took.
func (l *link) recordFreshness(freshness Freshness, sentAt time.Duration) {
	if !freshness.Known {
		return
	}
	point := freshnessPoint{freshness.Index, sentAt + freshness.Held - freshness.Age}
	if last := len(l.freshness) - 1; last >= 0 && l.freshness[last].index == freshness.Index {
		l.freshness[last] = point
		return
	}
	l.freshness = append(l.freshness, point)
	l.freshness = l.freshness[max(0, len(l.freshness)-maxFreshnessPoints):]
}

// FreshAsOf returns the time of the steady clock until which every accepted command is
// contained in the state with that index, according to any control host. It returns
// false if no control host has reported one.
func (f *Follower) FreshAsOf(index uint64) (at time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		for _, point := range l.freshness {
			if point.index <= index && (!known || point.at > at) {
				at, known = point.at, true
			}
		}
	}
	return at, known
}
