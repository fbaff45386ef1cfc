// This file decides whether an engine may get a request now, and if not, why. The choice
// of an engine, the fallback, transfers, reports to other regions and the status for
// operators all use this decision: with separate rules, one could send requests to an
// engine that another rule excludes.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/registry"
)

// exclusion is a reason not to use an engine; "" for none.
type exclusion string

// Exclusions, in addition to the phases of the registry.
const (
	excludedEvacuated   exclusion = "evacuated"
	excludedRecalled    exclusion = "taken away"       // its announced removal time has passed
	excludedReplaced    exclusion = "replaced"         // another incarnation answers at its address
	excludedDraining    exclusion = "leaving"          // it announced draining in its answers
	excludedBackoff     exclusion = "resting"          // it asked this gateway for backoff
	excludedTrial       exclusion = "trying"           // the trial after its backoff is in flight
	excludedLimited     exclusion = "limited"          // this gateway has no share of its rate limit, or has used it up
	excludedFailing     exclusion = "failing"          // a connection failed here or at other gateways, or it shed a request
	excludedPeerBackoff exclusion = "rests for others" // other gateways report its backoff, and it hasn't answered this one recently
	excludedCold        exclusion = "cold"             // another gateway warms it up, or the next request would exceed ColdRate
	excludedTried       exclusion = "tried"            // this request was already sent there
)

// isTransient reports whether the exclusion may end between two refreshes, so that it
// must be checked for each request.
func (x exclusion) isTransient() bool {
	switch x {
	case excludedBackoff, excludedTrial, excludedLimited, excludedFailing, excludedPeerBackoff:
		return true
	default:
		return false
	}
}

// isOverridable reports whether the engine is used nevertheless if no other can be: it
// may still answer.
func (x exclusion) isOverridable() bool { return x == excludedFailing || x == excludedPeerBackoff }

// isPushback reports whether the engine itself has asked for the exclusion.
func (x exclusion) isPushback() bool {
	return x == excludedDraining || x == excludedBackoff || x == excludedTrial
}

// exclusionOf returns the first exclusion that applies to an engine. The order is: the
// engine is ending, it has announced backoff or a limit, and last this gateway's own
// estimates, which alone can be overridden. It is called for each engine and request. The
// lock is held.
func (d *Dispatcher) exclusionOf(p *pool, e *engine, now time.Time) exclusion {
	if p.excludesVersion(e) {
		return excludedVersion
	}
	return d.exclusionBesidesVersion(p, e, now)
}

// exclusionBesidesVersion is exclusionOf for a request that a rollout selects for the
// engine's version.
func (d *Dispatcher) exclusionBesidesVersion(p *pool, e *engine, now time.Time) exclusion {
	pushed, pushedBack := d.pushback.Exclusion(e.hash, now)
	switch {
	case e.Phase >= registry.Draining:
		return exclusion(e.Phase.String())
	case d.state.IsEvacuated(e.DataCentre):
		return excludedEvacuated
	case !e.GoneAt.IsZero() && now.After(e.GoneAt):
		return excludedRecalled
	case e.replaced:
		return excludedReplaced
	case pushedBack:
		return pushbackExclusion(pushed.Reason)
	case !d.limits.Allows(e.hash, now):
		return excludedLimited
	case d.isCold(p, e, now) && !d.mayWarm(e, now):
		return excludedCold
	case now.Before(e.excludedUntil):
		return excludedFailing
	case now.Before(e.peerBackoffUntil):
		return excludedPeerBackoff
	default:
		return ""
	}
}

// exclusionStart returns since when an exclusion applies; zero if that isn't known.
func (d *Dispatcher) exclusionStart(e *engine, x exclusion, now time.Time) time.Time {
	switch x {
	case excludedRecalled:
		return e.GoneAt
	case excludedReplaced:
		return e.replacedAt
	case excludedDraining, excludedBackoff, excludedTrial:
		pushed, _ := d.pushback.Exclusion(e.hash, now)
		return pushed.Since
	default:
		return time.Time{}
	}
}

// exclusionEnd returns when an exclusion ends: now for none, and zero if that isn't known
// or it never ends.
func (d *Dispatcher) exclusionEnd(e *engine, x exclusion, now time.Time) time.Time {
	switch x {
	case "":
		return now
	case excludedBackoff, excludedTrial:
		pushed, _ := d.pushback.Exclusion(e.hash, now)
		return pushed.Until
	case excludedLimited:
		return d.limitEnd(e, now)
	case excludedFailing:
		return e.excludedUntil
	case excludedPeerBackoff:
		return e.peerBackoffUntil
	case excludedCold:
		return d.nextWarmRequest(e)
	default:
		return time.Time{}
	}
}

// earliest collects the first of several times. The zero value has none.
type earliest struct{ at time.Time }

// add adds a time; zero times are ignored.
func (s *earliest) add(at time.Time) {
	if !at.IsZero() && (s.at.IsZero() || at.Before(s.at)) {
		s.at = at
	}
}

// waitFrom returns the time from now until the first time; 0 if there is none.
func (s *earliest) waitFrom(now time.Time) time.Duration {
	if s.at.IsZero() {
		return 0
	}
	return max(0, s.at.Sub(now))
}

func pushbackExclusion(reason pushback.Reason) exclusion {
	switch reason {
	case pushback.Draining:
		return excludedDraining
	case pushback.OnTrial:
		return excludedTrial
	default:
		return excludedBackoff
	}
}

// limitEnd returns when this gateway may send the engine a request again; zero if it has
// no share of the engine's rate limit.
func (d *Dispatcher) limitEnd(e *engine, now time.Time) time.Time {
	wait, shares := d.limits.Delay(e.hash, now)
	if !shares {
		return time.Time{}
	}
	return now.Add(wait)
}

// coldAfterEvacuation is how long after the end of an evacuation all engines of the data
// centre count as cold. Within it, their next heartbeats report whether they are.
const coldAfterEvacuation = 3 * time.Second

// isCold reports whether an engine is warming up and accepts only few requests.
func (d *Dispatcher) isCold(p *pool, e *engine, now time.Time) bool {
	if p.service.ColdRate <= 0 {
		return false
	}
	if len(d.evacuationEnded) == 0 {
		return e.IsCold(now)
	}
	if at, ok := d.evacuationEnded[e.DataCentre]; ok && now.Sub(at) < coldAfterEvacuation {
		return true
	}
	return e.IsCold(now)
}

// mayWarm reports whether a cold engine may get a request from this gateway now. Only one
// gateway, on which all agree, sends it requests, and no faster than the service's
// ColdRate.
func (d *Dispatcher) mayWarm(e *engine, now time.Time) bool {
	return !now.Before(e.nextWarmRequest) && d.gateways.warmer(e) == d.Name
}

// nextWarmRequest returns when a cold engine may get its next request from this gateway;
// zero if another gateway warms it up.
func (d *Dispatcher) nextWarmRequest(e *engine) time.Time {
	if d.gateways.warmer(e) != d.Name {
		return time.Time{}
	}
	return e.nextWarmRequest
}

// AvailableIn returns the time until some engine of a service may get a request from this
// gateway; 0 if one may now, or if that isn't known.
func (d *Dispatcher) AvailableIn(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[service]
	if !ok {
		return 0
	}
	now := d.Clock()
	var available earliest
	for _, e := range p.sorted {
		available.add(d.exclusionEnd(e, d.exclusionOf(p, e, now), now))
	}
	return available.waitFrom(now)
}
