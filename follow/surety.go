// This file defines how a host knows up to when its state of the ledger holds.

package follow

import "time"

// sure says that a state, or a later one, held everything that had been accepted by a
// time of this host's steady clock.
type sure struct {
	index uint64
	at    time.Duration
}

// sureties is of how many states a control host's word is remembered: while a newer one
// is fetched, the one before still counts, also where changes come in quick succession.
const sureties = 8

// takeSurety takes over what a control host is sure of. It answered Held after the
// question came in, which was after it was asked; so the time is rather too early than
// too late, however long the answer or either host took.
func (l *link) takeSurety(s Surety, asked time.Duration) {
	if !s.Known {
		return
	}
	newest := sure{s.Index, asked + s.Held - s.Age}
	if last := len(l.sure) - 1; last >= 0 && l.sure[last].index == s.Index {
		l.sure[last] = newest
		return
	}
	l.sure = append(l.sure, newest)
	l.sure = l.sure[max(0, len(l.sure)-sureties):]
}

// SureUntil gives the time of the steady clock up to which everything that was accepted
// is in the state of that index, as far as any control host has told; false where none
// has.
func (f *Follower) SureUntil(index uint64) (at time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		for _, s := range l.sure {
			if s.index <= index && (!known || s.at > at) {
				at, known = s.at, true
			}
		}
	}
	return at, known
}
