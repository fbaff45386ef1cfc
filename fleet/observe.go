// This file defines the inputs that update the state of engines: finished tickets, load
// reports, cache events, probes and the platform's list of instances.

package fleet

import (
	"time"

	"github.com/linenscale/linenscale/health"
	"github.com/linenscale/linenscale/route"
)

// Outcome is the result of a ticket's request, as far as it concerns the engine.
type Outcome uint8

// Outcomes of a ticket.
const (
	Answered  Outcome = iota
	Failed            // no answer, or an invalid one
	Shed              // the engine rejected the request because of overload
	Abandoned         // the caller cancelled the request
	Unsent            // the request was not sent
	Broken            // the connection ended before the answer was complete
)

// Result describes how a ticket's request ended.
type Result struct {
	Outcome         Outcome
	TimeToFirstByte time.Duration // time to the first byte of the answer, if Answered
}

// serviceTimeSmoothing is the weight of the latest sample in the moving average of the
// service time.
const serviceTimeSmoothing = 0.1

// Done releases the slot and records the result. It must be called exactly once per
// ticket.
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
		f.limits.ReturnToken(engineKey(t.pool.service, t.Engine), now)
	}
	if result.Outcome == Broken {
		f.crashDetector.RecordBreak(t.Engine, t.fingerprint, now)
	}
	// An answer that was due while this process was suspended is neither slow nor the
	// engine's failure.
	suspended := f.suspendedSince(t.sentAt)
	switch result.Outcome {
	case Answered:
		f.crashDetector.RecordAnswer(t.Engine, t.sentAt)
		if !suspended {
			engineHealth.RecordOutcome(health.Succeeded, result.TimeToFirstByte)
			e.ServiceTime = smooth(e.ServiceTime, now.Sub(t.sentAt))
		}
	case Failed, Broken:
		if !suspended {
			engineHealth.RecordOutcome(health.Failed, 0)
		}
		t.pool.updateHealth(now)
	case Shed:
		engineHealth.RecordOutcome(health.Shed, 0)
		// The engine is fuller than its load reports show. Assume that requests of
		// other hosts fill it, until the next report.
		e.OtherLoad = max(e.OtherLoad, float64(e.Slots+e.Slots/4-e.InFlight))
		e.ReportedAt = now
	case Abandoned:
		engineHealth.RecordOutcome(health.Abandoned, 0)
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

// Retry takes one retry from the service's retry budget. It returns false if the budget
// is exhausted.
func (t *Ticket) Retry() bool { return t.pool.budget.TryRetry() }

// LoadReport is a load report of an engine: its running and waiting requests.
type LoadReport struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	At      time.Time `json:"at"` // time of the measurement
}

// ApplyLoadReport applies a load report of an engine. A report older than the latest one is
// ignored.
func (f *Fleet) ApplyLoadReport(service, engine string, report LoadReport) {
	f.withEngine(service, engine, func(p *pool, i int) {
		e := &p.view.Engines[i]
		if report.At.Before(e.ReportedAt) {
			return
		}
		*e = e.WithReport(report.Running+report.Waiting, p.history[i].at(report.At, e.InFlight), report.At)
	})
}

// RecordProbe records whether a probe, sent at the given time, succeeded.
func (f *Fleet) RecordProbe(service, engine string, sent time.Time, ok bool) {
	f.withEngine(service, engine, func(p *pool, i int) {
		if ok {
			f.crashDetector.RecordAnswer(engine, sent)
		}
		p.health[i].RecordProbe(ok)
		p.updateHealth(f.clock())
	})
}

// RecordEviction records that an engine evicted a prefix from its cache.
func (f *Fleet) RecordEviction(service, engine string, prefix uint64) {
	f.withEngine(service, engine, func(p *pool, i int) { p.view.Prefixes.Remove(prefix, i) })
}

// SetDraining marks the engines whose addresses are draining according to the platform's
// list of instances. They get no new requests.
func (f *Fleet) SetDraining(draining func(address string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		for i := range p.view.Engines {
			p.health[i].SetDraining(draining(p.view.Engines[i].Address))
		}
		p.updateHealth(f.clock())
	}
}

// Health returns the health of an engine. The second result is false if no pool contains
// the engine.
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
