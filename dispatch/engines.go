// This file defines what operators are shown of a gateway's engines.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/pushback"
)

// EngineStatus is what operators are shown of one engine: whether it gets requests of this
// gateway, and why not.
type EngineStatus struct {
	Engine   string        `json:"engine"`
	Service  string        `json:"service"`
	Why      string        `json:"why"`           // it gets none; "" where it does
	For      time.Duration `json:"for_ns"`        // since when that is known; 0 where not known
	Ends     time.Duration `json:"ends_ns"`       // when that ends; 0 for never, or not known
	Requests int           `json:"requests"`      // of this gateway, under way
	Others   int           `json:"others"`        // of the region's other gateways, as they told
	Limit    string        `json:"limit"`         // that it names; "" for none
	Silent   time.Duration `json:"last_heard_ns"` // since this gateway last had a byte from it; 0 for never
	pushback.Counts
}

// EngineStatuses gives what is known of the engines of this region, by service and ID.
func (d *Dispatcher) EngineStatuses() []EngineStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	var out []EngineStatus
	for _, s := range d.catalog.Services() {
		p, ok := d.pools[s.Name]
		if !ok {
			continue
		}
		for _, e := range p.sorted {
			out = append(out, d.engineStatus(p, e, now))
		}
	}
	return out
}

func (d *Dispatcher) engineStatus(p *pool, e *engine, now time.Time) EngineStatus {
	reason := d.exclusionOf(p, e, now)
	s := EngineStatus{
		Engine: e.ID, Service: p.service.Name, Why: string(reason),
		For: durationBetween(d.exclusionStart(e, reason, now), now), Ends: durationBetween(now, d.exclusionEnd(e, reason, now)),
		Requests: e.ownLoad.Requests, Others: e.peerLoad.Requests, Silent: durationBetween(e.lastHeard, now),
		Counts: d.pushback.Counts(e.hash),
	}
	if limit, limited := d.limits.Status(e.hash, now); limited {
		s.Limit = limit.String()
	}
	return s
}

// durationBetween gives the time from one moment to a later one; 0 where either isn't known.
func durationBetween(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return max(0, to.Sub(from))
}
