// This file defines what the gateways of a region tell each other, and what they
// make of it. Package rollup says who tells whom.

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/rollup"
)

const (
	// deadTold is for how long a gateway tells that it couldn't reach an engine:
	// some five reports, each of which may be lost.
	deadTold = 500 * time.Millisecond
	// goneTold is the same for an engine that was replaced or leaves: for longer, since it is
	// for good.
	goneTold = time.Second
	// deadBelieved is for how long the others avoid the engine then. After it
	// each may try for itself: the way may be cut for one gateway only.
	deadBelieved = 600 * time.Millisecond
	// deadDoubted is how fresh a gateway's own sign of an engine must be for it
	// not to believe the others of either.
	deadDoubted = 500 * time.Millisecond
	// restTellers is how many gateways an engine must have asked for rest for the others to keep
	// off as well, so that each need not be refused itself. One may have been refused for its
	// own sake: of what it then doesn't send, the engine takes as much from the others.
	restTellers = 2
)

// report gives what this gateway does. The lock is held.
func (d *Dispatcher) report(now time.Time) rollup.Report {
	r := rollup.Report{Parts: d.recentlySent(now), Accounts: d.ownUses(now), Crashes: d.suspects.TellNear(now), Limits: d.limits.Tell(now)}
	for _, p := range d.pools {
		for _, e := range p.ordered {
			if e.unreached > 0 && now.Sub(e.unreachedAt) < deadTold {
				r.Dead = append(r.Dead, e.hash)
			}
			if e.misdirected && now.Sub(e.misdirectedAt) < goneTold {
				r.Gone = append(r.Gone, e.hash)
			}
			switch b, barred := d.pushback.Bar(e.hash, now); {
			case !barred:
			case b.Reason == pushback.Leaving && now.Sub(b.Since) < goneTold:
				r.Leaving = append(r.Leaving, e.hash)
			case b.Reason == pushback.Resting:
				r.Resting = append(r.Resting, rollup.Resting{Engine: e.hash, Gateways: 1})
			}
			reading := int(e.read.perSecond(now))
			if e.own.Requests == 0 && reading == 0 {
				continue
			}
			r.Engines = append(r.Engines, rollup.EngineLoad{
				Engine: e.hash, Requests: e.own.Requests, Unread: e.own.Unread, Held: e.own.Held, Reading: reading,
			})
		}
	}
	return r
}

func hashOf(engine string) uint64 { return xxhash.Sum64String(engine) }

// Tell gives what is to be told to other gateways. The owner calls it each
// rollup.Every.
func (d *Dispatcher) Tell() []rollup.Outgoing {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	out := d.board.Tell(d.report(now))
	d.logLeading()
	d.takeOthers()
	if now.Sub(d.toldFar) >= tellFarEvery && d.speaks() {
		d.toldFar = now
		if word, ok := d.regionWord(now); ok {
			out = append(out, rollup.Outgoing{To: d.farListeners(), Message: word})
		}
	}
	return out
}

// logLeading logs when this gateway begins or ends to sum others' loads. The lock is
// held.
func (d *Dispatcher) logLeading() {
	leads, members := d.board.Leads()
	if leads != d.leading {
		d.leading = leads
		d.Log.Info("sums loads of its group", zap.Bool("leads", leads), zap.Int("members", members))
	}
}

// Hear takes another gateway's message.
func (d *Dispatcher) Hear(m rollup.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	for _, w := range d.board.Hear(m) {
		d.hearRegion(w, now)
	}
	d.hearNear(m, now)
	d.hearLimits(m, now)
	for _, p := range m.Report.Parts {
		if e, ok := d.byHash[p.Engine]; ok {
			e.pool.noteKept(e, p.Part, now)
		}
	}
	for _, hash := range m.Report.Dead {
		// What this gateway told itself comes back to it.
		if e, ok := d.byHash[hash]; ok && e.unreached == 0 && now.Sub(e.sign) > deadDoubted && now.After(e.avoidUntil) {
			e.avoidUntil = now.Add(deadBelieved)
		}
	}
	for _, hash := range m.Report.Gone {
		if e, ok := d.byHash[hash]; ok && now.Sub(e.sign) > deadDoubted {
			e.misdirected = true
		}
	}
	for _, one := range m.Report.Resting {
		// It may take this gateway's requests all the same; a fresh answer shows that it does.
		if e, ok := d.byHash[one.Engine]; ok && one.Gateways >= restTellers && now.Sub(e.sign) > deadDoubted {
			e.restTold = now.Add(deadBelieved)
		}
	}
	for _, hash := range m.Report.Leaving {
		if e, ok := d.byHash[hash]; ok {
			d.leaves(e, m.From, now)
		}
	}
	if m.Total || d.board.Few() {
		d.takeOthers()
	}
}

// takeOthers takes over what the other gateways of the region do. The lock is held.
func (d *Dispatcher) takeOthers() {
	others := d.board.Others()
	for hash, e := range d.byHash {
		l := others.Loads[hash]
		e.others = Load{Requests: max(0, l.Requests), Unread: max(0, l.Unread), Held: max(0, l.Held), Reading: float64(max(0, l.Reading))}
	}
	d.alike = 1 + others.Gateways
	d.hearNearUses(others)
}

// index lets engines be found by their hash. The lock is held.
func (d *Dispatcher) index() {
	clear(d.byHash)
	for _, p := range d.pools {
		for _, e := range p.ordered {
			d.byHash[e.hash] = e
		}
	}
	d.takeOthers()
}

// lookNear takes over which gateways of this region there are, and how many of all. Those
// that are stopping get few requests, and share no limit. The lock is held.
func (d *Dispatcher) lookNear(now time.Time) {
	names, sharing, all := []string{d.Name}, []string{d.Name}, 1
	for _, h := range d.Peers() {
		if h.Name == d.Name {
			if h.Stopping {
				sharing = sharing[1:]
			}
			continue
		}
		all++
		if h.Region != d.Region {
			continue
		}
		names = append(names, h.Name)
		if !h.Stopping {
			sharing = append(sharing, h.Name)
		}
	}
	d.near.take(names)
	d.limits.SetMembers(sharing, now)
	if d.Allowances != nil {
		d.Allowances.SetGateways(all)
	}
}
