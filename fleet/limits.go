// This file defines how the fleet applies the rate limits that engines announce.

package fleet

import (
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/ratelimit"
)

// setLimitSharers sets the hosts among which limits are divided: the declared hosts of
// this region that are neither draining nor gone. All hosts have the same configuration
// and so divide limits alike. f.mu must be held.
func (f *Fleet) setLimitSharers(config declare.Config) {
	f.limitSharers = f.limitSharers[:0]
	for _, h := range declare.ObjectsOf[declare.Host](config) {
		if h.State != declare.HostTerminated && h.State != declare.HostDraining && config.RegionOf(h.DataCentre) == f.region {
			f.limitSharers = append(f.limitSharers, h.Name)
		}
	}
	f.limits.SetMembers(f.limitSharers, f.clock())
}

// ApplyLimit applies the rate limit in the header of the engine's answer.
func (t *Ticket) ApplyLimit(signal ratelimit.Signal) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.ApplySignal(engineKey(t.pool.service, t.Engine), signal, t.sentAt, f.clock())
}

// OutgoingLimitReports returns the limit reports to send to the other hosts of this region.
func (f *Fleet) OutgoingLimitReports() []ratelimit.LimitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.LatestReports(f.clock())
}

// ReceiveLimitReports applies the limit reports of another host of this region, which are
// age old.
func (f *Fleet) ReceiveLimitReports(reports []ratelimit.LimitReport, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Receive(ratelimit.AddAge(reports, age), f.clock())
}
