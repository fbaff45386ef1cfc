// This file defines how the fleet keeps to the limits that engines name in their answers.

package fleet

import (
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/ratelimit"
)

// setLimitSharers takes over which hosts share limits: those of this region, as declared, which all
// hosts agree on. The lock is held.
func (f *Fleet) setLimitSharers(config declare.Config) {
	f.limitSharers = f.limitSharers[:0]
	for _, h := range declare.Each[declare.Host](config) {
		if h.State != declare.HostGone && h.State != declare.HostLeaving && config.RegionOf(h.DataCentre) == f.region {
			f.limitSharers = append(f.limitSharers, h.Name)
		}
	}
	f.limits.SetMembers(f.limitSharers, f.clock())
}

// ApplyLimit takes what the head of the engine's answer says of how many requests it takes.
func (t *Ticket) ApplyLimit(signal ratelimit.Word) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Hear(engineKey(t.pool.service, t.Engine), signal, t.sentAt, f.clock())
}

// TellLimits gives what this host knows of limits, for the others.
func (f *Fleet) TellLimits() []ratelimit.Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Standing(f.clock())
}

// HearLimits takes what another host of this region told of limits so long ago.
func (f *Fleet) HearLimits(reports []ratelimit.Note, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.HearNotes(ratelimit.Older(reports, age), f.clock())
}
