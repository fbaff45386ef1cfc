// This file applies the rollouts under way: which engines a request may use by their
// software version, and what the versions' answers are counted as.

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/rollout"
)

// excludedVersion means that a rollout keeps ordinary requests off the engine's version.
const excludedVersion exclusion = "version"

// poolRollout is the state of a service's latest rollout in this gateway.
type poolRollout struct {
	rollout.Rollout
	routes map[string]*rollout.RouteCounts
	// restricts is false while no engine of a version that the stage permits is
	// registered: then all versions may be used, rather than none.
	restricts bool
	canaries  []*engine // of the new version, in the order of preference
}

// applyRollout replaces the pool's rollout. The counts of one that goes on are kept.
func (p *pool) applyRollout(r rollout.Rollout, ordered bool) {
	switch {
	case !ordered:
		p.rollout = nil
	case p.rollout == nil || p.rollout.ID != r.ID:
		p.rollout = &poolRollout{Rollout: r, routes: make(map[string]*rollout.RouteCounts)}
	default:
		p.rollout.Rollout = r
	}
}

// classifyVersions updates what depends on the engines that are registered.
func (p *pool) classifyVersions() {
	if p.rollout == nil {
		return
	}
	p.rollout.restricts = false
	p.rollout.canaries = p.rollout.canaries[:0]
	for _, e := range p.sorted {
		if p.rollout.Permits(e.Version) {
			p.rollout.restricts = true
		}
		if p.rollout.Stage == rollout.Canary && e.Version == p.rollout.Version {
			p.rollout.canaries = append(p.rollout.canaries, e)
		}
	}
	slices.SortFunc(p.rollout.canaries, func(a, b *engine) int {
		return cmp.Compare(rendezvous.Rank(p.rollout.ID, b.hash), rendezvous.Rank(p.rollout.ID, a.hash))
	})
}

// excludesVersion reports whether a rollout keeps ordinary requests off an engine.
func (p *pool) excludesVersion(e *engine) bool {
	return p.rollout != nil && p.rollout.restricts && !p.rollout.Permits(e.Version)
}

// canaryFor returns the engine of the new version for a request that the rollout selects,
// or nil. Only as many engines are used as give each about the load of an old one, since a
// version may be bad only under load, and only warm ones, since a cold engine is slow
// whatever its version. Retries go to the old version. A gateway without contact to the
// control hosts selects nothing, since no rollback would reach it.
func (d *Dispatcher) canaryFor(p *pool, req Request, now time.Time) *engine {
	r := p.rollout
	if r == nil || !r.restricts || len(r.canaries) == 0 || len(req.Tried) > 0 || req.Origin != nil || !d.Rollouts.Selects(r.Rollout, hashString(req.ID)) {
		return nil
	}
	if d.ConnectedControlHosts != nil && d.ConnectedControlHosts() == 0 {
		return nil
	}
	const roundUp = 0.999
	wanted := int(d.Rollouts.CanaryShare()*float64(len(r.canaries)) + roundUp)
	var best *engine
	for _, e := range r.canaries {
		if wanted == 0 {
			break
		}
		if e.Phase == registry.Unresponsive || d.isCold(p, e, now) || d.exclusionBesidesVersion(p, e, now) != "" {
			continue
		}
		wanted--
		if best == nil || e.load(now).Requests < best.load(now).Requests {
			best = e
		}
	}
	return best
}

// countsFor returns the counts that an engine's answers to a route's requests belong to; nil
// if no rollout is under way.
func (p *pool) countsFor(e *engine, route string) *rollout.Counts {
	if p.rollout == nil || p.rollout.Stage.IsFinal() {
		return nil
	}
	counts, ok := p.rollout.routes[route]
	if !ok {
		counts = &rollout.RouteCounts{Route: route}
		p.rollout.routes[route] = counts
	}
	if e.Version == p.rollout.Version {
		return &counts.New
	}
	return &counts.Old
}

// countOutcome counts the end of a ticket for the rollout under way. Outcomes that say
// nothing about the engine's software aren't counted.
func (t *Ticket) countOutcome(outcome Outcome, now time.Time) {
	counts := t.pool.countsFor(t.engine, t.route)
	if counts == nil || t.startedRollout != t.pool.rollout.ID {
		return
	}
	switch outcome {
	case Answered, Unconfirmed:
		counts.RecordEnd(!t.served, now.Sub(t.sentAt))
	case Failed, Broken:
		counts.RecordEnd(true, 0)
	}
}

// RolloutReports returns what this gateway has counted of the rollouts under way.
func (d *Dispatcher) RolloutReports() []rollout.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []rollout.Report
	for _, p := range d.pools {
		if p.rollout == nil || p.rollout.Stage.IsFinal() {
			continue
		}
		report := rollout.Report{Rollout: p.rollout.ID, Stage: p.rollout.Stage}
		for _, e := range p.sorted {
			if e.Version != p.rollout.Version {
				report.OldInFlight += e.ownLoad.Requests
			}
		}
		for _, counts := range p.rollout.routes {
			report.Routes = append(report.Routes, counts.Clone())
		}
		out = append(out, report)
	}
	return out
}
