// This file defines how the fleet applies backoff and draining that engines announce in
// their answers.

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

// engineKey identifies an engine on all hosts. It can't include the incarnation, because
// declared engines don't report when they were started. So the backoff or limit announced
// by one incarnation remains effective for the next until it expires or the next answer
// comes.
func engineKey(service, engine string) uint64 {
	return xxhash.Sum64String(service + "\x00" + engine)
}

// markExclusions updates, for each engine of the pool, whether its backoff, draining or
// rate limit excludes it for this host now. f.mu must be held.
func (f *Fleet) markExclusions(p *pool, now time.Time) {
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		key := engineKey(p.service, e.Name)
		exclusion, _ := f.pushback.Exclusion(key, now)
		e.Pushback, e.RateLimited = exclusion.Reason, !f.limits.Allows(key, now)
	}
}

// availableIn returns the time until the first healthy engine's backoff and rate limit
// allow this host another request. It returns 0 if one allows it now, or if the time is
// unknown for all of them. f.mu must be held.
func (f *Fleet) availableIn(p *pool, now time.Time) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health != route.Healthy {
			continue
		}
		key := engineKey(p.service, e.Name)
		exclusion, excluded := f.pushback.Exclusion(key, now)
		wait, hasShare := f.limits.Delay(key, now)
		switch {
		case excluded && exclusion.Reason == pushback.Draining, !hasShare:
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

// raiseRetryAfter returns err with RetryAfter raised to availableIn, if err is a rejection
// because no engine is available. Otherwise, it returns err unchanged. f.mu must be held.
func (f *Fleet) raiseRetryAfter(p *pool, err error, now time.Time) error {
	var rejection *request.NotRun
	if !errors.As(err, &rejection) || rejection.Reason != request.ReasonNoEngine {
		return err
	}
	raised := *rejection
	raised.RetryAfter = max(raised.RetryAfter, f.availableIn(p, now))
	return &raised
}

// AvailableIn returns the time until some engine of a service allows this host another
// request, as far as backoff and rate limits are concerned; 0 if that is now or unknown.
func (f *Fleet) AvailableIn(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	if !ok {
		return 0
	}
	return f.availableIn(p, f.clock())
}

// ApplyPushback applies the backoff that the engine asks for in the header of its answer,
// and whether the engine announces that it is draining. It also updates the pool at once,
// so that no queued request is sent to the engine.
func (t *Ticket) ApplyPushback(signal pushback.Signal, draining bool) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	key, now := engineKey(t.pool.service, t.Engine), f.clock()
	f.pushback.ApplySignal(key, signal, now)
	f.recordDraining(key, draining, t.sentAt, now)
	f.markExclusions(t.pool, now)
}

// recordDraining records whether the answer to a request or probe sent at a time announces
// that the engine is draining. If an engine that announced it no longer does so, in answer
// to a later request, the answer comes from its next incarnation. f.mu must be held.
func (f *Fleet) recordDraining(key uint64, draining bool, sent, now time.Time) {
	if draining {
		f.pushback.RecordDraining(key, now)
		return
	}
	f.pushback.EndDraining(key, sent)
}

// RecordAccepted records that the engine did not reject the request.
func (t *Ticket) RecordAccepted() {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushback.RecordAccepted(engineKey(t.pool.service, t.Engine), t.sentAt)
}

// RecordProbeDraining records whether the answer to a probe, sent at the given time, announces
// that the engine is draining.
func (f *Fleet) RecordProbeDraining(service, engine string, draining bool, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordDraining(engineKey(service, engine), draining, sent, f.clock())
}
