// This file defines how a gateway keeps to what engines ask of it in their answers.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pushback"
)

// HeardPushback takes what the head of the engine's answer asks for. It is called as soon as the
// head is there: the next request may be chosen an engine for before the answer ends.
func (t *Ticket) HeardPushback(signal pushback.Word) {
	d, e := t.dispatcher, t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	if d.pushback.Hear(e.hash, signal, now) {
		d.Log.Info("engine rests", zap.String("engine", e.ID), zap.Stringer("for", signal))
	}
}

// HeardLeaving takes that the engine says that it leaves. A heartbeat which was sent before and
// says that it is ready doesn't lift it.
func (t *Ticket) HeardLeaving() {
	d, e := t.dispatcher, t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markDraining(e, "its answer", d.Clock())
}

// markDraining takes over that an engine leaves. The lock is held.
func (d *Dispatcher) markDraining(e *engine, source string, now time.Time) {
	if d.pushback.HearLeaving(e.hash, now) {
		d.Log.Info("engine leaves", zap.String("engine", e.ID), zap.String("told_by", source))
	}
}

// isDraining tells whether an engine says in its answers that it leaves. The lock is held.
func (d *Dispatcher) isDraining(hash uint64, now time.Time) bool {
	pushed, excluded := d.pushback.Bar(hash, now)
	return excluded && pushed.Reason == pushback.Leaving
}

// Unwanted says that an engine wants no more requests, or will end, since it was chosen.
type Unwanted struct{ Engine, Why string }

// Error implements error.
func (u *Unwanted) Error() string { return "engine " + u.Engine + " is " + u.Why + " by now" }

// Wanted tells whether the engine may still get the request, which has waited for a connection.
// The error is an *Unwanted. What the choice has weighed isn't weighed again.
func (t *Ticket) Wanted() error {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	switch reason := d.exclusionOf(t.pool, t.engine, d.Clock()); reason {
	case "", excludedTrial, excludedLimited, excludedFailing, excludedPeerBackoff, excludedCold:
		return nil
	default:
		return &Unwanted{t.Engine, string(reason)}
	}
}

// Taken notes that the engine has not refused the request: it takes requests again if it rested
// before.
func (t *Ticket) Taken() {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pushback.Taken(t.engine.hash, t.sentAt)
}

// beginPushback counts a ticket towards what engines ask for. The lock is held.
func (d *Dispatcher) beginPushback(t *Ticket, now time.Time) {
	for _, e := range t.pool.pushedBack {
		if e != t.engine && d.exclusionOf(t.pool, e, now).isPushback() {
			d.pushback.KeptAway(e.hash)
			d.countPushback(e, "kept_away")
		}
	}
	if d.exclusionOf(t.pool, t.engine, now).isPushback() {
		d.countPushback(t.engine, "sent_in_spite")
		d.Log.Error("request sent to an engine that wants none", zap.String("engine", t.engine.ID))
	}
	t.trial = d.pushback.Begin(t.engine.hash, now)
}

func (d *Dispatcher) countPushback(e *engine, event string) {
	if d.Metrics != nil {
		d.Metrics.Pushback(e.ID, event)
	}
}
