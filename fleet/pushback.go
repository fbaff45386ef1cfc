// This file defines how the fleet keeps to what engines ask of this host in their answers.

package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// engineKey names an engine among hosts. Declared engines don't say when they were started: what
// one has asked for before it started again holds until its end, or until its next answer.
func engineKey(service, engine string) uint64 {
	return xxhash.Sum64String(service + "\x00" + engine)
}

// markExclusions notes which engines may get no request of this host now by their own word. The lock
// is held.
func (f *Fleet) markExclusions(p *pool, now time.Time) {
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		key := engineKey(p.service, e.Name)
		exclusion, _ := f.pushback.Bar(key, now)
		e.Asked, e.Limited = exclusion.Reason, !f.limits.Allows(key, now)
	}
}

// availableIn gives how long it takes until an engine that lives may get a request of this host by its
// own word; 0 where one may now, or nothing tells when. The lock is held.
func (f *Fleet) availableIn(p *pool, now time.Time) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health != route.Healthy {
			continue
		}
		key := engineKey(p.service, e.Name)
		exclusion, excluded := f.pushback.Bar(key, now)
		wait, hasShare := f.limits.Next(key, now)
		switch {
		case excluded && exclusion.Reason == pushback.Leaving, !hasShare:
		case excluded:
			earliest = min(earliest, max(wait, exclusion.Until.Sub(now)))
		default:
			earliest = min(earliest, wait)
		}
	}
	if earliest == math.MaxInt64 {
		return 0
	}
	return earliest
}

// raiseRetryAfter says when to come back where engines that have asked for less are all that is
// left. The lock is held.
func (f *Fleet) raiseRetryAfter(p *pool, err error, now time.Time) error {
	var rejection *request.NotRun
	if !errors.As(err, &rejection) || rejection.Reason != request.ReasonNoEngine {
		return err
	}
	raised := *rejection
	raised.RetryAfter = max(raised.RetryAfter, f.availableIn(p, now))
	return &raised
}

// AvailableIn gives how long it takes until an engine of a service may get a request of this host by
// its own word.
func (f *Fleet) AvailableIn(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	if !ok {
		return 0
	}
	return f.availableIn(p, f.clock())
}

// ApplyPushback takes what the head of the engine's answer asks for, and whether the engine says
// that it leaves. Others in the queue must not be sent there.
func (t *Ticket) ApplyPushback(signal pushback.Word, draining bool) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	key, now := engineKey(t.pool.service, t.Engine), f.clock()
	f.pushback.Hear(key, signal, now)
	f.recordDraining(key, draining, t.sentAt, now)
	f.markExclusions(t.pool, now)
}

// recordDraining takes whether an answer to what was sent at a time says that the engine leaves. One
// that doesn't, of an engine that did before, comes from its next life. The lock is held.
func (f *Fleet) recordDraining(key uint64, draining bool, sent, now time.Time) {
	if draining {
		f.pushback.HearLeaving(key, now)
		return
	}
	f.pushback.Stays(key, sent)
}

// Accepted notes that the engine has not refused the request.
func (t *Ticket) Accepted() {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushback.Taken(engineKey(t.pool.service, t.Engine), t.sentAt)
}

// ProbedLeaving takes whether the answer to a probe that was sent at a time says that the engine
// leaves.
func (f *Fleet) ProbedLeaving(service, engine string, draining bool, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordDraining(engineKey(service, engine), draining, sent, f.clock())
}
