// This file defines what one gateway knows of the limits that engines name.

package ratelimit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// forgetAfter is how long after the last word of it an engine is remembered that nobody
// knows any more, or that no longer names a limit. Gateways tell each other what they know in
// turn; within that time each has been told that a limit is lifted.
const forgetAfter = time.Minute

// Table holds the limits that engines name. It isn't safe for concurrent use. New makes one.
type Table struct {
	self    uint64 // hash of this gateway's name
	members members
	engines map[uint64]*engine
	turn    int // whose turn it is to be told again
}

// engine is what is known of one incarnation of an engine that has named a limit.
type engine struct {
	word    Word      // Limited or Unlimited
	at      time.Time // since when that holds, or was confirmed here
	left    int       // how often still to tell it
	version int       // of the members that the share was worked out for
	share   bucket
	sharers int
	sent    int // under a limit
	kept    int // requests that were kept away
}

// New makes an empty table of the gateway of that name.
func New(name string) *Table {
	return &Table{self: hashOf(name), engines: make(map[uint64]*engine)}
}

// SetMembers takes over the names of the gateways that share the limits, this one among
// them where it takes requests.
func (t *Table) SetMembers(names []string, now time.Time) {
	t.members.take(names, now)
}

// Hear takes what an engine's answer says of its limit; the request was sent, and its answer
// came, at those times. It tells whether that is new.
func (t *Table) Hear(id uint64, word Word, sent, came time.Time) (changed bool) {
	if _, unclear := word.(Unclear); unclear || word == nil {
		return false
	}
	e, known := t.engines[id]
	if !known {
		if _, unlimited := word.(Unlimited); unlimited {
			return false
		}
		e = &engine{}
		t.engines[id] = e
		e.share.filled = came
	}
	at := came
	if known && allowsMore(e.word, word) {
		// The engine may have said less since this answer's request was begun; only of one
		// that was sent after that is it certain that it says so now.
		at = sent
	}
	switch {
	case known && !at.After(e.at):
		return false
	case known && word == e.word:
		if t.Limited(id) { // that a limit was lifted is forgotten in time
			e.at = at
		}
		return false
	}
	t.set(e, id, word, at, came)
	return true
}

// allowsMore tells whether a word allows more requests than the one before.
func allowsMore(before, word Word) bool {
	b, limited := before.(Limited)
	if !limited {
		return false
	}
	w, limited := word.(Limited)
	return !limited || w.PerSecond > b.PerSecond
}

func (t *Table) set(e *engine, id uint64, word Word, at, now time.Time) {
	e.word, e.at, e.left = word, at, timesTold
	t.divide(e, id, now)
}

// divide works out this gateway's share anew.
func (t *Table) divide(e *engine, id uint64, now time.Time) {
	e.version = t.members.version
	limit, limited := e.word.(Limited)
	if !limited {
		return
	}
	e.sharers = t.members.sharers(limit.PerSecond)
	if !t.members.has(t.self, id, e.sharers) {
		e.share.reshape(0, 0, now)
		return
	}
	parts := float64(e.sharers)
	rate := max(leastRate, limit.PerSecond)
	kept := limit.PerSecond*keptOver.Seconds() + keptBeside
	e.share.reshape(rate/parts, max(1, kept/parts), now)
}

// limited gives what is known of an engine that names a limit, with its share as of now; nil
// for one that names none.
func (t *Table) limited(id uint64, now time.Time) *engine {
	e, ok := t.engines[id]
	if !ok {
		return nil
	}
	if _, limited := e.word.(Limited); !limited {
		return nil
	}
	if e.version != t.members.version {
		t.divide(e, id, now)
	}
	return e
}

// Limited tells whether an engine names a limit.
func (t *Table) Limited(id uint64) bool {
	e, ok := t.engines[id]
	if !ok {
		return false
	}
	_, limited := e.word.(Limited)
	return limited
}

// Allows tells whether this gateway may send an engine a request now.
func (t *Table) Allows(id uint64, now time.Time) bool {
	e := t.limited(id, now)
	return e == nil || e.share.allows(now)
}

// Take counts a request that is sent to an engine.
func (t *Table) Take(id uint64, now time.Time) {
	if e := t.limited(id, now); e != nil {
		e.share.take(now)
		e.sent++
	}
}

// GiveBack takes a request off again that was not sent in the end.
func (t *Table) GiveBack(id uint64, now time.Time) {
	if e := t.limited(id, now); e != nil {
		e.share.giveBack(now)
		e.sent--
	}
}

// KeptAway counts a request that may not be sent to an engine now.
func (t *Table) KeptAway(id uint64, now time.Time) {
	if e := t.limited(id, now); e != nil {
		e.kept++
	}
}

// Next gives how long it takes until this gateway may send an engine a request; false where
// it has no share.
func (t *Table) Next(id uint64, now time.Time) (time.Duration, bool) {
	e := t.limited(id, now)
	if e == nil {
		return 0, true
	}
	return e.share.next(now)
}

// Forget drops the engines that nobody knows any more, and such that have long named no
// limit. The owner calls it now and then.
func (t *Table) Forget(known func(id uint64) bool, now time.Time) {
	for id, e := range t.engines {
		if now.Sub(e.at) > forgetAfter && (!t.Limited(id) || !known(id)) {
			delete(t.engines, id)
		}
	}
}

// Status is what operators are shown of one engine that names a limit.
type Status struct {
	PerSecond float64       `json:"per_second"` // that it takes
	Share     float64       `json:"share"`      // of it that is this gateway's, in requests a second
	Sharers   int           `json:"sharers"`    // gateways that have one
	Age       time.Duration `json:"age_ns"`     // of the newest word here
	Sent      int           `json:"sent"`       // requests, under a limit
	KeptAway  int           `json:"kept_away"`
}

// String is what logs show.
func (s Status) String() string {
	return fmt.Sprintf("%g/s share=%.2f sharers=%d age=%v", s.PerSecond, s.Share, s.Sharers, s.Age.Round(time.Millisecond))
}

// Status gives what is known of an engine; false for one that names no limit.
func (t *Table) Status(id uint64, now time.Time) (Status, bool) {
	e := t.limited(id, now)
	if e == nil {
		return Status{}, false
	}
	return Status{
		PerSecond: e.word.(Limited).PerSecond, Share: e.share.rate, Sharers: e.sharers, Age: now.Sub(e.at), Sent: e.sent, KeptAway: e.kept,
	}, true
}

// sorted gives the hashes of all engines, in order.
func (t *Table) sorted() []uint64 {
	out := make([]uint64, 0, len(t.engines))
	for id := range t.engines {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b uint64) int { return cmp.Compare(a, b) })
	return out
}
