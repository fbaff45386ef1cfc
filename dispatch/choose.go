// This file defines the choice among the engines of one pool.

package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// whyFailing is the reason not to use an engine that has failed lately.
const whyFailing = "failing"

// usable tells whether an engine may get the request, and why not.
func (d *Dispatcher) usable(p *pool, e *engine, now time.Time) (bool, string) {
	switch {
	case e.Phase >= registry.Draining:
		return false, e.Phase.String()
	case d.state.IsEvacuated(e.DataCentre):
		return false, "evacuated"
	case !e.GoneAt.IsZero() && now.After(e.GoneAt):
		return false, "taken away"
	case e.misdirected:
		return false, "replaced"
	case now.Before(e.avoidUntil):
		return false, whyFailing
	case d.isCold(p, e, now) && !d.mayWarm(e, now):
		return false, "cold"
	default:
		return true, ""
	}
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
	if now.Before(e.warmNext) {
		return false
	}
	best, owner := uint64(0), d.Name
	for _, h := range slices.Concat(d.Peers(), []roster.Host{{Name: d.Name, Region: d.Region}}) {
		if h.Region != d.Region {
			continue
		}
		if r := Rank(e.ID, h.Name); r > best {
			best, owner = r, h.Name
		}
	}
	return owner == d.Name
}

// How many engines are looked at beside those that are believed to keep the
// prompt's shared parts. Gateways know of each other's requests a moment late; if
// each took the least loaded of many engines, they would all take the same one
// (Mitzenmacher, "How useful is old information?", 2000). In the bench of high
// load with crashes, with 20 gateways and more, 3 and one for each 16 gave a worth
// of 0.843, 2 gave 0.854, and one alone 0.857 with a worse median on calm days. A
// few gateways tell each other often, and do better with 3.
const (
	sampledMany = 2
	sampledFew  = 3
	fewGateways = 8
)

// sampled gives how many engines to look at. The lock is held.
func (d *Dispatcher) sampled() int {
	if d.alike > fewGateways {
		return sampledMany
	}
	return sampledFew
}

// choose gives the engine that is expected to serve the request best, or nil
// and how many engines can't be used for which reason. One that failed lately is
// used where no other can be.
func (d *Dispatcher) choose(p *pool, ask Ask, now time.Time) (best *engine, bestScore score, refused map[string]int) {
	usable, spare, refused := d.candidates(p, ask, now)
	first := d.first(usable, p, ask, now)
	kept := slices.ContainsFunc(usable, func(c candidate) bool { return c.keeps })
	looked := d.sampled()
	slices.SortFunc(usable, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	for i, c := range usable {
		if i >= looked && !c.keeps && c.engine != first && best != nil {
			continue
		}
		k := p.knowledge(c.engine, ask, now)
		// Where an engine is known to keep the parts, nobody need guess.
		k.first = c.engine == first && !kept
		s := expect(k, ask, 0)
		s.silence, s.rank = c.engine.Phase == registry.Silent, c.rank
		if best == nil || s.less(bestScore) {
			best, bestScore = c.engine, s
		}
	}
	if best == nil && spare != nil {
		best, bestScore = spare, expect(p.knowledge(spare, ask, now), ask, 0)
	}
	return best, bestScore, refused
}

// candidate is an engine that can be used, with its rank for this request and
// whether it is known to keep the prompt's shared parts.
type candidate struct {
	engine *engine
	rank   uint64
	keeps  bool
}

// candidates gives the engines that can be used; of those that failed lately,
// the one to use where no other can be; and how many can't be used for which
// reason.
func (d *Dispatcher) candidates(p *pool, ask Ask, now time.Time) (usable []candidate, spare *engine, refused map[string]int) {
	for _, e := range p.ordered {
		ok, why := d.usable(p, e, now)
		if ok && slices.Contains(ask.Tried, e.ID) {
			ok, why = false, "tried"
		}
		if ok {
			usable = append(usable, candidate{e, Rank(ask.ID, e.ID), p.keeps(e, ask.Prompt, now)})
			continue
		}
		if refused == nil {
			refused = make(map[string]int)
		}
		refused[why]++
		if why == whyFailing && (spare == nil || e.avoidUntil.Before(spare.avoidUntil)) {
			spare = e
		}
	}
	return usable, spare, refused
}

// first gives the engine that keeps the prompt's shared parts, as all gateways
// agree: where this region is their home, the one ranked first of those that can
// be used; nil elsewhere. Engines are ranked by their addresses, so that one that
// starts again gets its own prompts back and takes none from the others.
func (d *Dispatcher) first(usable []candidate, p *pool, ask Ask, now time.Time) *engine {
	key := ask.Prompt.Affinity()
	if key == "" || d.homeRegion(p, ask, now) != d.Region {
		return nil
	}
	var first *engine
	var highest uint64
	for _, c := range usable {
		if r := Rank(key, c.engine.Address); first == nil || r > highest {
			first, highest = c.engine, r
		}
	}
	return first
}

// counts gives "2 draining, 1 cold" in the order of the words.
func counts(refused map[string]int) string {
	if len(refused) == 0 {
		return "none is registered"
	}
	var out []string
	for _, why := range slices.Sorted(maps.Keys(refused)) {
		out = append(out, fmt.Sprintf("%d %s", refused[why], why))
	}
	return strings.Join(out, ", ")
}
