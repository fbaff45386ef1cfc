// This file defines how the fleet keeps to the limits that engines name in their answers.

package fleet

import (
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/ratelimit"
)

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

// HeardLimit takes what the head of the engine's answer says of how many requests it takes.
func (t *Ticket) HeardLimit(word ratelimit.Signal) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.ApplySignal(engineKey(t.pool.service, t.Engine), word, t.began, f.clock())
}

// TellLimits gives what this host knows of limits, for the others.
func (f *Fleet) TellLimits() []ratelimit.LimitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.LatestReports(f.clock())
}

// HearLimits takes what another host of this region told of limits so long ago.
func (f *Fleet) HearLimits(notes []ratelimit.LimitReport, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Receive(ratelimit.AddAge(notes, age), f.clock())
}
