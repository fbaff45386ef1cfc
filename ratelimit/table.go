// This file defines the table of engines' limits at one gateway.

package ratelimit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// retention is how long an engine is kept after its last signal, once it names no limit
// or no longer exists. Each message repeats some known limits in turn; within this time,
// every gateway has received that a limit was lifted.
const retention = time.Minute

// Table holds the limits that engines name, and this gateway's shares of them. It isn't
// safe for concurrent use. Create one with New.
type Table struct {
	self       uint64 // hash of this gateway's name
	members    members
	engines    map[uint64]*engineLimit
	nextRepeat int // which engine's limit to repeat next
}

// engineLimit is the limit of one incarnation of an engine, and this gateway's share of
// it.
type engineLimit struct {
	signal         Signal    // Limited or Unlimited
	since          time.Time // when the signal became effective or was last confirmed here
	sendsLeft      int       // how many more messages include it as a change
	membersVersion int       // of the members from which share was computed
	share          bucket
	sharers        int
	sent           int // requests, while limited
	excluded       int // requests for which the engine was excluded
}

// New returns an empty Table for the gateway of that name.
func New(name string) *Table {
	return &Table{self: hashOf(name), engines: make(map[uint64]*engineLimit)}
}

// SetMembers sets the names of the gateways that share the limits, including this one if
// it accepts requests.
func (t *Table) SetMembers(names []string, now time.Time) {
	t.members.update(names, now)
}

// ApplySignal applies the signal of a response. sent is when its request was sent, received
// when the response arrived. It reports whether the limit changed.
func (t *Table) ApplySignal(id uint64, signal Signal, sent, received time.Time) (changed bool) {
	if _, malformed := signal.(Malformed); malformed || signal == nil {
		return false
	}
	e, known := t.engines[id]
	if !known {
		if _, unlimited := signal.(Unlimited); unlimited {
			return false
		}
		e = &engineLimit{}
		t.engines[id] = e
		e.share.refilledAt = received
	}
	since := received
	if known && raisesLimit(e.signal, signal) {
		// The engine may have lowered its limit after this request was sent, and responses
		// overtake each other. Only the response to a later request can raise the limit.
		since = sent
	}
	switch {
	case known && !since.After(e.since):
		return false
	case known && signal == e.signal:
		if t.HasLimit(id) { // Forget drops lifted limits, so their age must grow
			e.since = since
		}
		return false
	}
	t.set(e, id, signal, since, received)
	return true
}

// raisesLimit reports whether a signal allows more requests than the one before.
func raisesLimit(before, after Signal) bool {
	old, limited := before.(Limited)
	if !limited {
		return false
	}
	updated, limited := after.(Limited)
	return !limited || updated.PerSecond > old.PerSecond
}

// set replaces an engine's signal and schedules it to be sent as a change.
func (t *Table) set(e *engineLimit, id uint64, signal Signal, since, now time.Time) {
	e.signal, e.since, e.sendsLeft = signal, since, sendsPerChange
	t.updateShare(e, id, now)
}

// updateShare recomputes this gateway's share of an engine's limit.
func (t *Table) updateShare(e *engineLimit, id uint64, now time.Time) {
	e.membersVersion = t.members.version
	limit, limited := e.signal.(Limited)
	if !limited {
		return
	}
	e.sharers = t.members.sharerCount(limit.PerSecond)
	if !t.members.isSharer(t.self, id, e.sharers) {
		e.share.setRate(0, 0, now)
		return
	}
	sharers := float64(e.sharers)
	rate := max(minRate, limit.PerSecond)
	capacity := limit.PerSecond*burstPeriod.Seconds() + extraBurst
	e.share.setRate(rate/sharers, max(1, capacity/sharers), now)
}

// limitedEngine returns the limit of an engine, with an up-to-date share, or nil if it
// names none.
func (t *Table) limitedEngine(id uint64, now time.Time) *engineLimit {
	e, ok := t.engines[id]
	if !ok {
		return nil
	}
	if _, limited := e.signal.(Limited); !limited {
		return nil
	}
	if e.membersVersion != t.members.version {
		t.updateShare(e, id, now)
	}
	return e
}

// HasLimit reports whether an engine currently names a limit.
func (t *Table) HasLimit(id uint64) bool {
	e, ok := t.engines[id]
	if !ok {
		return false
	}
	_, limited := e.signal.(Limited)
	return limited
}

// Allows reports whether this gateway may send a request to an engine now.
func (t *Table) Allows(id uint64, now time.Time) bool {
	e := t.limitedEngine(id, now)
	return e == nil || e.share.allows(now)
}

// TakeToken takes a token for a request that is sent to an engine.
func (t *Table) TakeToken(id uint64, now time.Time) {
	if e := t.limitedEngine(id, now); e != nil {
		e.share.take(now)
		e.sent++
	}
}

// ReturnToken returns the token of a request that wasn't sent after all.
func (t *Table) ReturnToken(id uint64, now time.Time) {
	if e := t.limitedEngine(id, now); e != nil {
		e.share.refund(now)
		e.sent--
	}
}

// CountExcluded counts a request for which an engine is excluded because this gateway's
// share is used up.
func (t *Table) CountExcluded(id uint64, now time.Time) {
	if e := t.limitedEngine(id, now); e != nil {
		e.excluded++
	}
}

// Delay returns how long it takes until this gateway may send a request to an engine;
// false if it has no share.
func (t *Table) Delay(id uint64, now time.Time) (time.Duration, bool) {
	e := t.limitedEngine(id, now)
	if e == nil {
		return 0, true
	}
	return e.share.delay(now)
}

// Forget drops engines without a signal for the retention time if they name no limit or
// are no longer known. The owner calls it periodically.
func (t *Table) Forget(known func(id uint64) bool, now time.Time) {
	for id, e := range t.engines {
		if now.Sub(e.since) > retention && (!t.HasLimit(id) || !known(id)) {
			delete(t.engines, id)
		}
	}
}

// Status is the state of an engine's limit at one gateway, for operators.
type Status struct {
	PerSecond float64       `json:"per_second"` // limit that the engine names
	Share     float64       `json:"share"`      // of this gateway, in requests per second
	Sharers   int           `json:"sharers"`    // gateways that have a share
	Age       time.Duration `json:"age_ns"`     // of the latest signal
	Sent      int           `json:"sent"`       // requests sent while limited
	Excluded  int           `json:"kept_away"`  // requests for which the engine was excluded
}

// String returns the status as logs show it.
func (s Status) String() string {
	return fmt.Sprintf("%g/s share=%.2f sharers=%d age=%v", s.PerSecond, s.Share, s.Sharers, s.Age.Round(time.Millisecond))
}

// Status returns the state of an engine's limit; false if it names none.
func (t *Table) Status(id uint64, now time.Time) (Status, bool) {
	e := t.limitedEngine(id, now)
	if e == nil {
		return Status{}, false
	}
	return Status{
		PerSecond: e.signal.(Limited).PerSecond, Share: e.share.rate, Sharers: e.sharers, Age: now.Sub(e.since), Sent: e.sent, Excluded: e.excluded,
	}, true
}

// sortedEngines returns the hashes of all engines in ascending order.
func (t *Table) sortedEngines() []uint64 {
	out := make([]uint64, 0, len(t.engines))
	for id := range t.engines {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b uint64) int { return cmp.Compare(a, b) })
	return out
}
