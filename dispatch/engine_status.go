// This file defines the status of engines that operators can query.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/pushback"
)

// EngineStatus describes one engine to operators: whether this gateway sends requests to
// it, and if not, why.
type EngineStatus struct {
	Engine          string        `json:"engine"`
	Service         string        `json:"service"`
	Exclusion       string        `json:"why"`           // exclusion; "" if it gets requests
	ExcludedFor     time.Duration `json:"for_ns"`        // how long the exclusion has applied; 0 if not known
	ExclusionEndsIn time.Duration `json:"ends_ns"`       // remaining time; 0 if not known or if it never ends
	Requests        int           `json:"requests"`      // of this gateway, in flight
	PeerRequests    int           `json:"others"`        // of the region's other gateways, as last reported
	Limit           string        `json:"limit"`         // announced by the engine; "" for none
	LastHeardAgo    time.Duration `json:"last_heard_ns"` // since the last byte received from it; 0 for never
	Speed           float64       `json:"speed"`         // relative to the service's mean
	TokenTime       time.Duration `json:"token_ns"`      // that its streams lately took for each token; 0 if not known
	pushback.Counts
}

// EngineStatuses returns the status of each engine of this region, by service and ID.
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
		Engine: e.ID, Service: p.service.Name, Exclusion: string(reason),
		ExcludedFor: durationBetween(d.exclusionStart(e, reason, now), now), ExclusionEndsIn: durationBetween(now, d.exclusionEnd(e, reason, now)),
		Requests: e.ownLoad.Requests, PeerRequests: e.peerLoad.Requests, LastHeardAgo: durationBetween(e.lastHeard, now), Speed: e.speed(now), TokenTime: e.tokenTime(now),
		Counts: d.pushback.Counts(e.hash),
	}
	if limit, limited := d.limits.Status(e.hash, now); limited {
		s.Limit = limit.String()
	}
	return s
}

// durationBetween returns the time from one moment to a later one; 0 if either is zero.
func durationBetween(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return max(0, to.Sub(from))
}
