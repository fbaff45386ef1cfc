// This file defines what the fleet learns from: the end of each ticket, load
// reports, cache events, probes and the platform's list.

package fleet

import (
	"time"

	"github.com/linenscale/linenscale/health"
	"github.com/linenscale/linenscale/route"
)

// Outcome says how a ticket ended.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota
	Failed            // no answer, or a wrong one
	Shed              // the engine refused for load
	Abandoned         // the caller went away
	Unsent            // nothing was sent
	Broken            // the connection ended before the answer did
)

// Result is given back with a ticket.
type Result struct {
	Outcome Outcome
	First   time.Duration // until the first byte of the answer
}

// serviceTimeSmoothing is the weight of the newest service time.
const serviceTimeSmoothing = 0.1

// Done gives the slot back. It must be called exactly once for each ticket.
func (t *Ticket) Done(result Result) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	e := &t.pool.view.Engines[t.engineIndex]
	e.InFlight--
	t.pool.history[t.engineIndex].record(now, e.InFlight)
	engineHealth := t.pool.health[t.engineIndex]
	f.quarantine.End(t.fingerprint, result.Outcome == Answered, now)
	if t.trial {
		f.pushback.End(engineKey(t.pool.service, t.Engine))
	}
	if result.Outcome == Unsent {
		f.limits.GiveBack(engineKey(t.pool.service, t.Engine), now)
	}
	if result.Outcome == Broken {
		f.crashDetector.Broke(t.Engine, t.fingerprint, now)
	}
	switch result.Outcome {
	case Answered:
		f.crashDetector.Answers(t.Engine, t.sentAt)
		engineHealth.Observe(health.Succeeded, result.First)
		e.ServiceTime = smooth(e.ServiceTime, now.Sub(t.sentAt))
	case Failed, Broken:
		engineHealth.Observe(health.Failed, 0)
		t.pool.updateHealth(now)
	case Shed:
		engineHealth.Observe(health.Shed, 0)
		// The engine is fuller than its reports say: believe that others
		// fill it, until reports say otherwise.
		e.Others = max(e.Others, float64(e.Slots+e.Slots/4-e.InFlight))
		e.ReportedAt = now
	case Abandoned:
		engineHealth.Observe(health.Abandoned, 0)
	case Unsent:
	}
	f.serveQueue(t.pool, now)
}

func smooth(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return old + time.Duration(serviceTimeSmoothing*float64(latest-old))
}

// Retry spends a retry of the service's budget, or tells that there is none.
func (t *Ticket) Retry() bool { return t.pool.budget.Take() }

// Report is one load report of an engine.
type Report struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	At      time.Time `json:"at"` // when the engine measured it
}

// SetReport notes a load report. One older than the last is dropped.
func (f *Fleet) SetReport(service, engine string, report Report) {
	f.withEngine(service, engine, func(p *pool, i int) {
		e := &p.view.Engines[i]
		if report.At.Before(e.ReportedAt) {
			return
		}
		*e = e.WithReport(report.Running+report.Waiting, p.history[i].at(report.At, e.InFlight), report.At)
	})
}

// Probe notes the result of a probe that was sent at a time.
func (f *Fleet) Probe(service, engine string, sent time.Time, ok bool) {
	f.withEngine(service, engine, func(p *pool, i int) {
		if ok {
			f.crashDetector.Answers(engine, sent)
		}
		p.health[i].Probe(ok)
		p.updateHealth(f.clock())
	})
}

// Evicted notes that an engine has dropped a cached prefix.
func (f *Fleet) Evicted(service, engine string, prefix uint64) {
	f.withEngine(service, engine, func(p *pool, i int) { p.view.Cached.Remove(prefix, i) })
}

// SetLeaving notes which engine addresses the platform says are leaving.
func (f *Fleet) SetLeaving(draining func(address string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		for i := range p.view.Engines {
			p.health[i].SetLeaving(draining(p.view.Engines[i].Address))
		}
		p.updateHealth(f.clock())
	}
}

// Health gives an engine's health; false if it isn't known here.
func (f *Fleet) Health(engine string) (route.Health, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		for i := range p.view.Engines {
			if p.view.Engines[i].Name == engine {
				return p.view.Engines[i].Health, true
			}
		}
	}
	return 0, false
}

func (f *Fleet) withEngine(service, engine string, fn func(p *pool, i int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	if !ok {
		return
	}
	for i := range p.view.Engines {
		if p.view.Engines[i].Name == engine {
			fn(p, i)
		}
	}
	f.serveQueue(p, f.clock())
}
