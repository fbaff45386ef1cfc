// This file defines the one answer to whether an engine may get a request now, and why not.
// Choice, last resort, copies, what other regions are told and what operators are shown all go
// by it: a reason that only one of them knows is a request sent where it isn't wanted.

package dispatch

import (
	"math"
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

// bar says why an engine gets nothing, and since and until when. The zero value bars nothing;
// zero times aren't known, or no matter of time.
type bar struct {
	why          why
	since, until time.Time
}

func (b bar) stands() bool { return b.why != "" }

// bar gives the first reason that holds: first what ends its life, then what it asks for
// itself, and last what this gateway makes of it, which the last resort may overrule. The lock
// is held.
func (d *Dispatcher) bar(p *pool, e *engine, now time.Time) bar {
	asked, pushedBack := d.pushback.Bar(e.hash, now)
	switch {
	case e.Phase >= registry.Draining:
		return bar{why: why(e.Phase.String())}
	case d.state.IsEvacuated(e.DataCentre):
		return bar{why: whyEvacuated}
	case !e.GoneAt.IsZero() && now.After(e.GoneAt):
		return bar{why: whyTakenAway, since: e.GoneAt}
	case e.misdirected:
		return bar{why: whyReplaced, since: e.misdirectedAt}
	case pushedBack:
		return bar{whyOf(asked.Reason), asked.Since, asked.Until}
	case !d.limits.Allows(e.hash, now):
		return bar{why: whyLimited, until: d.limitEnds(e, now)}
	case now.Before(e.avoidUntil):
		return bar{why: whyFailing, until: e.avoidUntil}
	case now.Before(e.restTold):
		return bar{why: whyRestTold, until: e.restTold}
	case d.isCold(p, e, now) && !d.mayWarm(e, now):
		return bar{why: whyCold, until: d.warms(e)}
	default:
		return bar{}
	}
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
	return d.opens(p, d.Clock())
}

// opens gives how long it takes until some engine of a pool may get a request; 0 where one may
// now, or nothing tells when.
func (d *Dispatcher) opens(p *pool, now time.Time) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, e := range p.ordered {
		b := d.bar(p, e, now)
		switch {
		case !b.stands():
			return 0
		case !b.until.IsZero():
			soonest = min(soonest, b.until.Sub(now))
		}
	}
	if soonest == math.MaxInt64 {
		return 0
	}
	return max(0, soonest)
}
