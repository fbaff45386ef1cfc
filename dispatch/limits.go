// This file defines how a gateway observes the rate limits that engines announce in their
// answers.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/rollup"
)

// ApplyLimit applies the rate limit in the header of the engine's answer. It is called
// when the header arrives: other requests may be dispatched before the answer ends.
func (t *Ticket) ApplyLimit(signal ratelimit.Signal) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	if d.limits.ApplySignal(t.engine.hash, signal, t.sentAt, now) {
		d.logLimit(t.engine, "its answer", now)
	}
}

// Limit returns the engine's rate limit when the ticket was issued, for the log; "" for
// none.
func (t *Ticket) Limit() string {
	if t.limit == nil {
		return ""
	}
	return t.limit.String()
}

// chargeLimits counts a ticket against the rate limit of its engine. For each other engine
// that was excluded because this gateway's share of its limit is used up, it counts the
// exclusion. The lock is held.
func (d *Dispatcher) chargeLimits(t *Ticket, now time.Time) {
	for _, e := range t.pool.limited {
		if e != t.engine && !d.limits.Allows(e.hash, now) {
			d.limits.CountExcluded(e.hash, now)
			d.countLimited(e, "kept_away")
		}
	}
	if status, limited := d.limits.Status(t.engine.hash, now); limited {
		t.limit = &status
		d.limits.TakeToken(t.engine.hash, now)
		d.countLimited(t.engine, "sent")
	}
}

func (d *Dispatcher) countLimited(e *engine, event string) {
	if d.Metrics != nil {
		d.Metrics.CountLimitEvent(e.ID, event)
	}
}

// mergeLimits applies the limits that another gateway of the region reports. The lock is
// held.
func (d *Dispatcher) mergeLimits(m rollup.Message, now time.Time) {
	for _, hash := range d.limits.Receive(m.Report.Limits, now) {
		if e, ok := d.enginesByHash[hash]; ok {
			d.logLimit(e, m.From, now)
		}
	}
}

// logLimit logs a change of an engine's rate limit.
func (d *Dispatcher) logLimit(e *engine, source string, now time.Time) {
	status, limited := d.limits.Status(e.hash, now)
	if !limited {
		d.Log.Info("engine rate limit lifted", zap.String("engine", e.ID), zap.String("told_by", source))
		return
	}
	d.Log.Info("engine rate limit changed", zap.String("engine", e.ID), zap.String("told_by", source),
		zap.Float64("per_second", status.PerSecond), zap.Float64("share", status.Share), zap.Int("sharers", status.Sharers))
}

// forgetRemovedEngines removes the limits and pushback of engines that no longer exist.
// The lock is held.
func (d *Dispatcher) forgetRemovedEngines(now time.Time) {
	known := func(hash uint64) bool {
		_, known := d.enginesByHash[hash]
		return known
	}
	d.limits.Forget(known, now)
	d.pushback.Expire(known, now)
}

// LimitStatus describes one engine with a rate limit to operators.
type LimitStatus struct {
	Engine  string `json:"engine"`
	Service string `json:"service"`
	ratelimit.Status
}

// LimitStatuses returns the status of each engine with a rate limit, by service and ID.
func (d *Dispatcher) LimitStatuses() []LimitStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	var out []LimitStatus
	for _, s := range d.catalog.Services() {
		p, ok := d.pools[s.Name]
		if !ok {
			continue
		}
		for _, e := range p.sorted {
			if status, limited := d.limits.Status(e.hash, now); limited {
				out = append(out, LimitStatus{Engine: e.ID, Service: s.Name, Status: status})
			}
		}
	}
	return out
}
