// This file defines how a gateway keeps to the limits that engines name in their answers.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/rollup"
)

// HeardLimit takes what the head of the engine's answer says of how many requests it takes.
// It is called as soon as the head is there: the next request may be chosen an engine for
// before the answer ends.
func (t *Ticket) HeardLimit(word ratelimit.Word) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	if d.limits.Hear(t.engine.hash, word, t.began, now) {
		d.logLimit(t.engine, "its answer", now)
	}
}

// Limit says what was known of the limit that the ticket's engine names, for the log; ""
// where it names none.
func (t *Ticket) Limit() string {
	if t.limit == nil {
		return ""
	}
	return t.limit.String()
}

// takeLimited counts a ticket towards the limits that engines name: it uses its engine's up,
// and is kept away from those whose shares are spent. The lock is held.
func (d *Dispatcher) takeLimited(t *Ticket, now time.Time) {
	for _, e := range t.pool.limited {
		if e != t.engine && !d.limits.Allows(e.hash, now) {
			d.limits.KeptAway(e.hash, now)
			d.countLimited(e, "kept_away")
		}
	}
	if status, limited := d.limits.Status(t.engine.hash, now); limited {
		t.limit = &status
		d.limits.Take(t.engine.hash, now)
		d.countLimited(t.engine, "sent")
	}
}

func (d *Dispatcher) countLimited(e *engine, event string) {
	if d.Metrics != nil {
		d.Metrics.Limited(e.ID, event)
	}
}

// hearLimits takes what another gateway of the region tells of limits. The lock is held.
func (d *Dispatcher) hearLimits(m rollup.Message, now time.Time) {
	for _, hash := range d.limits.HearNotes(m.Report.Limits, now) {
		if e, ok := d.byHash[hash]; ok {
			d.logLimit(e, m.From, now)
		}
	}
}

// logLimit logs a limit that is new here.
func (d *Dispatcher) logLimit(e *engine, by string, now time.Time) {
	s, limited := d.limits.Status(e.hash, now)
	if !limited {
		d.Log.Info("engine's limit lifted", zap.String("engine", e.ID), zap.String("told_by", by))
		return
	}
	d.Log.Info("engine's limit", zap.String("engine", e.ID), zap.String("told_by", by),
		zap.Float64("per_second", s.PerSecond), zap.Float64("share", s.Share), zap.Int("sharers", s.Sharers))
}

// forgetGone drops what engines that are gone have said of themselves. The lock is held.
func (d *Dispatcher) forgetGone(now time.Time) {
	known := func(hash uint64) bool {
		_, known := d.byHash[hash]
		return known
	}
	d.limits.Forget(known, now)
	d.pushback.Forget(known, now)
}

// LimitStatus is what operators are shown of one engine that names a limit.
type LimitStatus struct {
	Engine  string `json:"engine"`
	Service string `json:"service"`
	ratelimit.Status
}

// Limits gives what is known of the engines that name limits, by service and ID.
func (d *Dispatcher) Limits() []LimitStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	var out []LimitStatus
	for _, s := range d.table.Services() {
		p, ok := d.pools[s.Name]
		if !ok {
			continue
		}
		for _, e := range p.ordered {
			if status, limited := d.limits.Status(e.hash, now); limited {
				out = append(out, LimitStatus{Engine: e.ID, Service: s.Name, Status: status})
			}
		}
	}
	return out
}
