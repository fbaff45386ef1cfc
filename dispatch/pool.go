// This file defines the pool of one service's engines.

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/pace"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/retry"
)

// engine is what this gateway knows of one engine.
type engine struct {
	registry.Engine
	pool          *pool
	hash          uint64 // of the incarnation
	place         uint64 // hash of the address
	own           Load   // this gateway's requests
	others        Load   // other gateways' requests, as they last told
	read          rate   // prompt tokens that this gateway has sent
	kept          kept
	failing       illness // requests that failed beyond the usual
	slow          pace.Factor
	misdirected   bool      // another incarnation answers at its address
	misdirectedAt time.Time // when this gateway saw it itself
	unreached     int       // failed connections in a row
	unreachedAt   time.Time
	avoidUntil    time.Time
	restTold      time.Time // until when other gateways' word counts that it asked them for rest
	warmNext      time.Time // when a cold engine may get its next request
	warmer        string    // the gateway that warms it up
	warmerOf      int       // version of the list of gateways that warmer is of
	sign          time.Time // when this gateway last had a byte from it
}

// avoid keeps requests away until a time, or for as long as they were kept away before if that is
// longer: one reason doesn't end another.
func (e *engine) avoid(until time.Time) {
	if until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// load gives all that the engine is known to do.
func (e *engine) load(now time.Time) Load {
	own := e.own
	own.Reading = e.read.perSecond(now)
	return own.plus(e.others)
}

// pool is guarded by its Dispatcher's lock.
type pool struct {
	service catalog.Service
	engines map[string]*engine   // by ID
	ordered []*engine            // by ID
	open    []*engine            // of those, as of the last refresh, what requests may be sent to
	limited []*engine            // that name limits and could be used else, as of the last refresh; not in open
	asked   []*engine            // that had asked for rest, or left, as of the last refresh
	keepers map[uint32][]*engine // by part: engines that may keep it
	budget  *retry.Window
	speeds  *speeds
	usual   map[string]*usual // by route: the share of requests that fails at any engine
	ready   int               // engines that can take requests and aren't cold, as of the last refresh
}

func newPool(s catalog.Service, budget retry.Policy) *pool {
	return &pool{service: s, engines: make(map[string]*engine), keepers: make(map[uint32][]*engine), usual: make(map[string]*usual), budget: retry.NewWindow(budget), speeds: newSpeeds(s.Model != nil)}
}

// set takes over what is registered of an engine.
func (p *pool) set(r registry.Engine) {
	e, ok := p.engines[r.ID]
	if ok && e.Born != r.Born {
		// It has started again and knows nothing of before: nor does this gateway. Requests
		// that the earlier life had end by themselves.
		p.ordered = slices.DeleteFunc(p.ordered, func(o *engine) bool { return o == e })
		ok = false
	}
	if !ok {
		e = &engine{pool: p, kept: make(kept), hash: hashOf(r.Incarnation())}
		p.engines[r.ID] = e
		at, _ := slices.BinarySearchFunc(p.ordered, r.ID, func(o *engine, id string) int { return cmp.Compare(o.ID, id) })
		p.ordered = slices.Insert(p.ordered, at, e)
	}
	e.Engine, e.place = r, hashOf(r.Address)
}

// drop forgets the engines that are no longer registered and have nothing of
// this gateway, and, where asked, the parts that are no longer believed kept.
func (p *pool) drop(seen map[string]bool, forget bool, now time.Time) {
	for id, e := range p.engines {
		if forget {
			e.kept.forget(now)
		}
		if !seen[id] && e.own.Requests == 0 {
			delete(p.engines, id)
			p.ordered = slices.DeleteFunc(p.ordered, func(o *engine) bool { return o == e })
		}
	}
	if forget {
		p.indexKeepers()
	}
}

// indexKeepers lists the keepers of each part afresh.
func (p *pool) indexKeepers() {
	clear(p.keepers)
	for _, e := range p.ordered {
		for part := range e.kept {
			p.keepers[part] = append(p.keepers[part], e)
		}
	}
}

// noteKept remembers that an engine has been sent a part.
func (p *pool) noteKept(e *engine, part uint32, now time.Time) {
	if _, known := e.kept[part]; !known {
		p.keepers[part] = append(p.keepers[part], e)
	}
	e.kept[part] = now
}

// notePrompt remembers that an engine has been sent a prompt.
func (p *pool) notePrompt(e *engine, prompt Prompt, now time.Time) {
	for _, part := range prompt.Parts {
		p.noteKept(e, hashPart(part.ID), now)
	}
}

// keepersOf gives the engines that are known to keep all shared parts of a prompt:
// the deepest of them, since a part is kept with all before it, or the whole prompt.
func (p *pool) keepersOf(prompt Prompt, now time.Time) []*engine {
	shared := prompt.shared()
	if prompt.sharedTokens() == 0 {
		return nil
	}
	var out []*engine
	for _, part := range prompt.Parts[len(shared)-1:] {
		hash := hashPart(part.ID)
		for _, e := range p.keepers[hash] {
			if e.kept.has(hash, now) && p.engines[e.ID] == e && !slices.Contains(out, e) {
				out = append(out, e)
			}
		}
	}
	return out
}

// knowledge gives what the expectation of an engine rests on.
func (p *pool) knowledge(e *engine, ask Ask, now time.Time) knowledge {
	k := knowledge{
		load: e.load(now), slots: e.Slots, failing: e.failing.value(now),
		speed: p.speeds.speed(), doubt: p.speeds.doubt(), slow: e.slow.Value(now),
	}
	if p.service.Model != nil {
		k.room = p.service.Model.CacheTokens
		k.kept = e.kept.tokens(ask.Prompt, now)
	}
	return k
}

// noteOutcome takes over how a request of a route ended at an engine.
func (p *pool) noteOutcome(e *engine, route string, failed bool, now time.Time) {
	u, ok := p.usual[route]
	if !ok {
		u = &usual{}
		p.usual[route] = u
	}
	e.failing.note(failed, u.share(), now)
	u.note(failed)
}

// rate estimates events a second, from those of about the last second. The zero
// value has seen none.
type rate struct {
	weight float64
	at     time.Time
}

// rateWindow is over how long a rate is taken.
const rateWindow = time.Second

func (r *rate) add(n float64, now time.Time) {
	r.weight, r.at = r.decayed(now)+n, now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }
