// This file defines how a gateway observes the backoff and draining that engines announce
// in their answers.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/rollout"
)

// ApplyPushback applies the backoff in the header of the engine's answer. It is called
// when the header arrives: other requests may be dispatched before the answer ends.
func (t *Ticket) ApplyPushback(signal pushback.Signal) {
	d, e := t.dispatcher, t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	if d.pushback.ApplySignal(e.hash, signal, now) {
		d.Log.Info("excluding engine until its backoff ends", zap.String("engine", e.ID), zap.Stringer("for", signal))
	}
}

// ApplyDraining applies the announcement, in the engine's answer, that the engine is
// draining. An earlier heartbeat that reports it ready, and arrives later, doesn't revoke
// this.
func (t *Ticket) ApplyDraining() {
	d, e := t.dispatcher, t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markDraining(e, "its answer", d.Clock())
}

// markDraining records that an engine is draining. The lock is held.
func (d *Dispatcher) markDraining(e *engine, source string, now time.Time) {
	d.reported[e] = struct{}{}
	if d.pushback.RecordDraining(e.hash, now) {
		d.Log.Info("engine draining", zap.String("engine", e.ID), zap.String("told_by", source))
	}
}

// isDraining reports whether an engine has announced draining in its answers. The lock is
// held.
func (d *Dispatcher) isDraining(hash uint64, now time.Time) bool {
	pushed, excluded := d.pushback.Exclusion(hash, now)
	return excluded && pushed.Reason == pushback.Draining
}

// EngineUnusable is the error for an engine that, since it was chosen, has become unable to
// accept the request.
type EngineUnusable struct{ Engine, Reason string }

// Error implements error.
func (u *EngineUnusable) Error() string { return "engine " + u.Engine + " is " + u.Reason + " by now" }

// CheckUsable checks again whether the engine may get the request, after the wait for a
// connection. If not, the error names the exclusion. Exclusions that the choice has
// already taken into account don't count.
func (t *Ticket) CheckUsable() error {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	reason := d.exclusionOf(t.pool, t.engine, now)
	if reason == excludedVersion && (t.continues || t.canary && t.pool.rollout.Stage == rollout.Canary) {
		reason = d.exclusionBesidesVersion(t.pool, t.engine, now)
	}
	if t.continues && !t.isCurrent() {
		reason = excludedRestarted
	}
	switch reason {
	case "", excludedTrial, excludedLimited, excludedFailing, excludedPeerBackoff, excludedCold:
		return nil
	default:
		return &EngineUnusable{t.Engine, string(reason)}
	}
}

// RecordAccepted records that the engine has not rejected the request, which ends the trial
// after a backoff.
func (t *Ticket) RecordAccepted() {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pushback.RecordAccepted(t.engine.hash, t.sentAt)
}

// beginPushback counts a ticket in the pushback statistics, and makes it the trial
// request of an engine whose backoff is over. The lock is held.
func (d *Dispatcher) beginPushback(t *Ticket, now time.Time) {
	for _, e := range t.pool.pushedBack {
		if e != t.engine && d.exclusionOf(t.pool, e, now).isPushback() {
			d.pushback.CountExcluded(e.hash)
			d.countPushback(e, "kept_away")
		}
	}
	if d.exclusionOf(t.pool, t.engine, now).isPushback() {
		d.countPushback(t.engine, "sent_in_spite")
		d.Log.Error("request sent despite pushback", zap.String("engine", t.engine.ID))
	}
	t.trial = d.pushback.Begin(t.engine.hash, now)
}

func (d *Dispatcher) countPushback(e *engine, event string) {
	if d.Metrics != nil {
		d.Metrics.CountPushbackEvent(e.ID, event)
	}
}
