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

// markAsked notes which engines may get no request of this host now by their own word. The lock
// is held.
func (f *Fleet) markAsked(p *pool, now time.Time) {
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		key := engineKey(p.service, e.Name)
		bar, _ := f.pushback.Exclusion(key, now)
		e.Pushback, e.RateLimited = bar.Reason, !f.limits.Allows(key, now)
	}
}

// opens gives how long it takes until an engine that lives may get a request of this host by its
// own word; 0 where one may now, or nothing tells when. The lock is held.
func (f *Fleet) opens(p *pool, now time.Time) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health != route.Healthy {
			continue
		}
		key := engineKey(p.service, e.Name)
		bar, barred := f.pushback.Exclusion(key, now)
		wait, shares := f.limits.Delay(key, now)
		switch {
		case barred && bar.Reason == pushback.Draining, !shares:
		case barred:
			soonest = min(soonest, max(wait, bar.Until.Sub(now)))
		default:
			soonest = min(soonest, wait)
		}
	}
	if soonest == math.MaxInt64 {
		return 0
	}
	return soonest
}

// opensRefusal says when to come back where engines that have asked for less are all that is
// left. The lock is held.
func (f *Fleet) opensRefusal(p *pool, err error, now time.Time) error {
	var refused *request.NotRun
	if !errors.As(err, &refused) || refused.Reason != request.ReasonNoEngine {
		return err
	}
	out := *refused
	out.RetryAfter = max(out.RetryAfter, f.opens(p, now))
	return &out
}

// Opens gives how long it takes until an engine of a service may get a request of this host by
// its own word.
func (f *Fleet) Opens(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	if !ok {
		return 0
	}
	return f.opens(p, f.clock())
}

// HeardPushback takes what the head of the engine's answer asks for, and whether the engine says
// that it leaves. Others in the queue must not be sent there.
func (t *Ticket) HeardPushback(word pushback.Signal, leaving bool) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	key, now := engineKey(t.pool.service, t.Engine), f.clock()
	f.pushback.ApplySignal(key, word, now)
	f.hearLeaving(key, leaving, t.began, now)
	f.markAsked(t.pool, now)
}

// hearLeaving takes whether an answer to what was sent at a time says that the engine leaves. One
// that doesn't, of an engine that did before, comes from its next life. The lock is held.
func (f *Fleet) hearLeaving(key uint64, leaving bool, sent, now time.Time) {
	if leaving {
		f.pushback.RecordDraining(key, now)
		return
	}
	f.pushback.EndDraining(key, sent)
}

// Taken notes that the engine has not refused the request.
func (t *Ticket) Taken() {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushback.RecordAccepted(engineKey(t.pool.service, t.Engine), t.began)
}

// ProbedLeaving takes whether the answer to a probe that was sent at a time says that the engine
// leaves.
func (f *Fleet) ProbedLeaving(service, engine string, leaving bool, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearLeaving(engineKey(service, engine), leaving, sent, f.clock())
}
