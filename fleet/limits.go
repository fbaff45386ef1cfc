// This file defines how the fleet keeps to the limits that engines name in their answers.

package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
)

// limitKey names an engine among hosts. Declared engines don't say when they were started:
// one that has started again is believed in need until it answers the next request.
func limitKey(service, engine string) uint64 {
	return xxhash.Sum64String(service + "\x00" + engine)
}

// shareAmong takes over which hosts share limits: those of this region, as declared, which all
// hosts agree on. The lock is held.
func (f *Fleet) shareAmong(config declare.Config) {
	f.sharing = f.sharing[:0]
	for _, h := range declare.Each[declare.Host](config) {
		if h.State != declare.HostGone && h.State != declare.HostLeaving && config.RegionOf(h.DataCentre) == f.region {
			f.sharing = append(f.sharing, h.Name)
		}
	}
	f.limits.SetMembers(f.sharing, f.clock())
}

// markLimited notes which engines may get no request of this host now. The lock is held.
func (f *Fleet) markLimited(p *pool, now time.Time) {
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		e.Limited = !f.limits.Allows(limitKey(p.service, e.Name), now)
	}
}

// limitedRefusal says when to come back where engines that name limits are all that is left.
// The lock is held.
func (f *Fleet) limitedRefusal(p *pool, err error, now time.Time) error {
	var refused *request.NotRun
	if !errors.As(err, &refused) || refused.Reason != request.ReasonNoEngine {
		return err
	}
	out := *refused
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if wait, share := f.limits.Next(limitKey(p.service, e.Name), now); e.Limited && share {
			out.RetryAfter = max(out.RetryAfter, wait)
		}
	}
	return &out
}

// HeardLimit takes what the head of the engine's answer says of how many requests it takes.
func (t *Ticket) HeardLimit(word ratelimit.Word) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Hear(limitKey(t.pool.service, t.Engine), word, t.began, f.clock())
}

// TellLimits gives what this host knows of limits, for the others.
func (f *Fleet) TellLimits() []ratelimit.Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Standing(f.clock())
}

// HearLimits takes what another host of this region told of limits so long ago.
func (f *Fleet) HearLimits(notes []ratelimit.Note, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.HearNotes(ratelimit.Older(notes, age), f.clock())
}
