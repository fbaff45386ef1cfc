// This file defines the one answer to whether an engine may get a request now, and why not.
// Choice, last resort, copies, what other regions are told and what operators are shown all go
// by it: a reason that only one of them knows is a request sent where it isn't wanted.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/registry"
)

// why is a reason not to use an engine; "" for none.
type why string

// The reasons beside the phases of the registry.
const (
	whyEvacuated why = "evacuated"
	whyTakenAway why = "taken away"       // its lender has taken it away
	whyReplaced  why = "replaced"         // another incarnation answers at its address
	whyLeaving   why = "leaving"          // it says so in its answers
	whyResting   why = "resting"          // it asked this gateway for rest
	whyTrying    why = "trying"           // after its rest, one request goes first
	whyLimited   why = "limited"          // this gateway has no part of the limit that it names, or has used it
	whyFailing   why = "failing"          // it has failed lately
	whyRestTold  why = "rests for others" // it asked other gateways for rest, and hasn't answered this one since
	whyCold      why = "cold"             // another gateway warms it up, or it is too soon
	whyTried     why = "tried"            // this request has been there
)

// passes tells whether a reason may end between two refreshes, so that the engine is looked at
// with each request.
func (w why) passes() bool {
	switch w {
	case whyResting, whyTrying, whyLimited, whyFailing, whyRestTold:
		return true
	default:
		return false
	}
}

// yields tells whether an engine with that reason is used where no other can be: it may serve all
// the same.
func (w why) yields() bool { return w == whyFailing || w == whyRestTold }

// pushback tells whether the engine itself has asked for it.
func (w why) pushback() bool { return w == whyLeaving || w == whyResting || w == whyTrying }

// bar gives the first reason why an engine gets nothing: first what ends its life, then what it
// asks for itself or bears, and last what this gateway makes of it, which alone the last resort may
// overrule. It is asked for each engine with each request. The lock is held.
func (d *Dispatcher) bar(p *pool, e *engine, now time.Time) why {
	asked, pushedBack := d.pushback.Bar(e.hash, now)
	switch {
	case e.Phase >= registry.Draining:
		return why(e.Phase.String())
	case d.state.IsEvacuated(e.DataCentre):
		return whyEvacuated
	case !e.GoneAt.IsZero() && now.After(e.GoneAt):
		return whyTakenAway
	case e.misdirected:
		return whyReplaced
	case pushedBack:
		return whyOf(asked.Reason)
	case !d.limits.Allows(e.hash, now):
		return whyLimited
	case d.isCold(p, e, now) && !d.mayWarm(e, now):
		return whyCold
	case now.Before(e.avoidUntil):
		return whyFailing
	case now.Before(e.restTold):
		return whyRestTold
	default:
		return ""
	}
}

// barBegan gives since when a reason holds; zero where that isn't known, or no matter of time.
func (d *Dispatcher) barBegan(e *engine, w why, now time.Time) time.Time {
	switch w {
	case whyTakenAway:
		return e.GoneAt
	case whyReplaced:
		return e.misdirectedAt
	case whyLeaving, whyResting, whyTrying:
		asked, _ := d.pushback.Bar(e.hash, now)
		return asked.Since
	default:
		return time.Time{}
	}
}

// barEnds gives until when a reason holds: now for none, and zero where that isn't known, or
// never.
func (d *Dispatcher) barEnds(e *engine, w why, now time.Time) time.Time {
	switch w {
	case "":
		return now
	case whyResting, whyTrying:
		asked, _ := d.pushback.Bar(e.hash, now)
		return asked.Until
	case whyLimited:
		return d.limitEnds(e, now)
	case whyFailing:
		return e.avoidUntil
	case whyRestTold:
		return e.restTold
	case whyCold:
		return d.warms(e)
	default:
		return time.Time{}
	}
}

// soonest is the first of several times. The zero value has none.
type soonest struct{ at time.Time }

// add takes one more; zero is none.
func (s *soonest) add(at time.Time) {
	if !at.IsZero() && (s.at.IsZero() || at.Before(s.at)) {
		s.at = at
	}
}

// in gives how long it takes until then; 0 where there is none.
func (s *soonest) in(now time.Time) time.Duration {
	if s.at.IsZero() {
		return 0
	}
	return max(0, s.at.Sub(now))
}

func whyOf(reason pushback.Reason) why {
	switch reason {
	case pushback.Leaving:
		return whyLeaving
	case pushback.Trying:
		return whyTrying
	default:
		return whyResting
	}
}

// limitEnds gives when this gateway may send the engine a request again; zero where it has no
// share of what that takes.
func (d *Dispatcher) limitEnds(e *engine, now time.Time) time.Time {
	wait, shares := d.limits.Next(e.hash, now)
	if !shares {
		return time.Time{}
	}
	return now.Add(wait)
}

// clearedCold is how long after the end of an evacuation engines count as cold
// without having said so: until a heartbeat sent since has come.
const clearedCold = 3 * time.Second

// isCold tells whether an engine bears only few requests.
func (d *Dispatcher) isCold(p *pool, e *engine, now time.Time) bool {
	if p.service.ColdRate <= 0 {
		return false
	}
	if at, ok := d.cleared[e.DataCentre]; ok && now.Sub(at) < clearedCold {
		return true
	}
	return e.IsCold(now)
}

// mayWarm tells whether a cold engine may get a request now: from one gateway
// only, which all agree on, and no faster than the engine bears.
func (d *Dispatcher) mayWarm(e *engine, now time.Time) bool {
	return !now.Before(e.warmNext) && d.near.warmer(e) == d.Name
}

// warms gives when a cold engine may get its next request from this gateway; zero where another
// warms it.
func (d *Dispatcher) warms(e *engine) time.Time {
	if d.near.warmer(e) != d.Name {
		return time.Time{}
	}
	return e.warmNext
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
	var opens soonest
	for _, e := range p.ordered {
		opens.add(d.barEnds(e, d.bar(p, e, now), now))
	}
	return opens.in(now)
}
