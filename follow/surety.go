// This file defines how a host knows up to when its state of the ledger holds.

package follow

import "time"

// sure says that a state, or a later one, held everything that had been accepted by a
// time of this host's steady clock.
type sure struct {
	index uint64
	at    time.Duration
}

// sureties is how many of a control host's answers are remembered: while a newer state
// is fetched, the one before still counts.
const sureties = 2

// takeSurety takes over what a control host is sure of. It answered Held after the
// question came in, which was after it was asked; so the time is rather too early than
// too late, however long the answer or either host took.
func (l *link) takeSurety(s Surety, asked time.Duration) {
	if !s.Known {
		return
	}
	l.sure = append(l.sure, sure{s.Index, asked + s.Held - s.Age})
	if len(l.sure) > sureties {
		l.sure = l.sure[len(l.sure)-sureties:]
	}
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
