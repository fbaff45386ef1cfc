// This file defines the one answer to whether an engine may get a request now, and why not.
// Choice, last resort, copies, what other regions are told and what operators are shown all go
// by it: a reason that only one of them knows is a request sent where it isn't wanted.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/registry"
)

// exclusion is a reason not to use an engine; "" for none.
type exclusion string

// The reasons beside the phases of the registry.
const (
	excludedEvacuated   exclusion = "evacuated"
	excludedRecalled    exclusion = "taken away"       // its lender has taken it away
	excludedReplaced    exclusion = "replaced"         // another incarnation answers at its address
	excludedDraining    exclusion = "leaving"          // it says so in its answers
	excludedBackoff     exclusion = "resting"          // it asked this gateway for rest
	excludedTrial       exclusion = "trying"           // after its rest, one request goes first
	excludedLimited     exclusion = "limited"          // this gateway has no part of the limit that it names, or has used it
	excludedFailing     exclusion = "failing"          // it has failed lately
	excludedPeerBackoff exclusion = "rests for others" // it asked other gateways for rest, and hasn't answered this one since
	excludedCold        exclusion = "cold"             // another gateway warms it up, or it is too soon
	excludedTried       exclusion = "tried"            // this request has been there
)

// isTransient tells whether a reason may end between two refreshes, so that the engine is looked at
// with each request.
func (x exclusion) isTransient() bool {
	switch x {
	case excludedBackoff, excludedTrial, excludedLimited, excludedFailing, excludedPeerBackoff:
		return true
	default:
		return false
	}
}

// isOverridable tells whether an engine with that reason is used where no other can be: it may serve all
// the same.
func (x exclusion) isOverridable() bool { return x == excludedFailing || x == excludedPeerBackoff }

// isPushback tells whether the engine itself has asked for it.
func (x exclusion) isPushback() bool {
	return x == excludedDraining || x == excludedBackoff || x == excludedTrial
}

// exclusionOf gives the first reason why an engine gets nothing: first what ends its life, then what it
// asks for itself or bears, and last what this gateway makes of it, which alone the last resort may
// overrule. It is asked for each engine with each request. The lock is held.
func (d *Dispatcher) exclusionOf(p *pool, e *engine, now time.Time) exclusion {
	pushed, pushedBack := d.pushback.Bar(e.hash, now)
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

// exclusionStart gives since when a reason holds; zero where that isn't known, or no matter of time.
func (d *Dispatcher) exclusionStart(e *engine, x exclusion, now time.Time) time.Time {
	switch x {
	case excludedRecalled:
		return e.GoneAt
	case excludedReplaced:
		return e.replacedAt
	case excludedDraining, excludedBackoff, excludedTrial:
		pushed, _ := d.pushback.Bar(e.hash, now)
		return pushed.Since
	default:
		return time.Time{}
	}
}

// exclusionEnd gives until when a reason holds: now for none, and zero where that isn't known, or
// never.
func (d *Dispatcher) exclusionEnd(e *engine, x exclusion, now time.Time) time.Time {
	switch x {
	case "":
		return now
	case excludedBackoff, excludedTrial:
		pushed, _ := d.pushback.Bar(e.hash, now)
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

// earliest is the first of several times. The zero value has none.
type earliest struct{ at time.Time }

// add takes one more; zero is none.
func (s *earliest) add(at time.Time) {
	if !at.IsZero() && (s.at.IsZero() || at.Before(s.at)) {
		s.at = at
	}
}

// waitFrom gives how long it takes until then; 0 where there is none.
func (s *earliest) waitFrom(now time.Time) time.Duration {
	if s.at.IsZero() {
		return 0
	}
	return max(0, s.at.Sub(now))
}

func pushbackExclusion(reason pushback.Reason) exclusion {
	switch reason {
	case pushback.Leaving:
		return excludedDraining
	case pushback.Trying:
		return excludedTrial
	default:
		return excludedBackoff
	}
}

// limitEnd gives when this gateway may send the engine a request again; zero where it has no
// share of what that takes.
func (d *Dispatcher) limitEnd(e *engine, now time.Time) time.Time {
	wait, shares := d.limits.Next(e.hash, now)
	if !shares {
		return time.Time{}
	}
	return now.Add(wait)
}

// coldAfterEvacuation is how long after the end of an evacuation engines count as cold
// without having said so: until a heartbeat sent since has come.
const coldAfterEvacuation = 3 * time.Second

// isCold tells whether an engine bears only few requests.
func (d *Dispatcher) isCold(p *pool, e *engine, now time.Time) bool {
	if p.service.ColdRate <= 0 {
		return false
	}
	if at, ok := d.evacuationEnded[e.DataCentre]; ok && now.Sub(at) < coldAfterEvacuation {
		return true
	}
	return e.IsCold(now)
}

// mayWarm tells whether a cold engine may get a request now: from one gateway
// only, which all agree on, and no faster than the engine bears.
func (d *Dispatcher) mayWarm(e *engine, now time.Time) bool {
	return !now.Before(e.nextWarmRequest) && d.gateways.warmer(e) == d.Name
}

// nextWarmRequest gives when a cold engine may get its next request from this gateway; zero where another
// warms it.
func (d *Dispatcher) nextWarmRequest(e *engine) time.Time {
	if d.gateways.warmer(e) != d.Name {
		return time.Time{}
	}
	return e.nextWarmRequest
}

// Opens gives how long it takes until some engine of a service may get a request here; 0 where
// one may now, or nothing tells when.
func (d *Dispatcher) Opens(service string) time.Duration {
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
