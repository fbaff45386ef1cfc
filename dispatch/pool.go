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
	pool             *pool
	hash             uint64       // of the incarnation
	addressHash      uint64       // hash of the address
	ownLoad          Load         // this gateway's requests
	peerLoad         Load         // other gateways' requests, as they last told
	readRate         decayingRate // prompt tokens that this gateway has sent
	cached           cachedBlocks
	failures         excessFailures // requests that failed beyond the usual
	slowdown         pace.Factor
	replaced         bool      // another incarnation answers at its address
	replacedAt       time.Time // when this gateway saw it itself
	connectFailures  int       // failed connections in a row
	connectFailedAt  time.Time
	excludedUntil    time.Time
	peerBackoffUntil time.Time // until when other gateways' word counts that it asked them for rest
	nextWarmRequest  time.Time // when a cold engine may get its next request
	warmer           string    // the gateway that warms it up
	warmerVersion    int       // version of the list of gateways that warmer is of
	lastHeard        time.Time // when this gateway last had a byte from it
}

// exclude keeps requests away until a time, or for as long as they were kept away before if that is
// longer: one reason doesn't end another.
func (e *engine) exclude(until time.Time) {
	if until.After(e.excludedUntil) {
		e.excludedUntil = until
	}
}

// load gives all that the engine is known to do.
func (e *engine) load(now time.Time) Load {
	own := e.ownLoad
	own.ReadRate = e.readRate.perSecond(now)
	return own.plus(e.peerLoad)
}

// pool is guarded by its Dispatcher's lock.
type pool struct {
	service          catalog.Service
	engines          map[string]*engine   // by ID
	sorted           []*engine            // by ID
	usable           []*engine            // of those, as of the last refresh, what requests may be sent to
	limited          []*engine            // that name limits and could be used else, as of the last refresh; not in open
	pushedBack       []*engine            // that had asked for rest, or left, as of the last refresh
	cacheHolders     map[uint32][]*engine // by part: engines that may keep it
	retryBudget      *retry.Window
	throughput       *throughputEstimator
	failureBaselines map[string]*failureBaseline // by route: the share of requests that fails at any engine
	readyEngines     int                         // engines that can take requests and aren't cold, as of the last refresh
}

func newPool(s catalog.Service, budget retry.Policy) *pool {
	return &pool{service: s, engines: make(map[string]*engine), cacheHolders: make(map[uint32][]*engine), failureBaselines: make(map[string]*failureBaseline), retryBudget: retry.NewWindow(budget), throughput: newThroughputEstimator(s.Model != nil)}
}

// update takes over what is registered of an engine.
func (p *pool) update(r registry.Engine) {
	e, ok := p.engines[r.ID]
	if ok && e.Born != r.Born {
		// It has started again and knows nothing of before: nor does this gateway. Requests
		// that the earlier life had end by themselves.
		p.sorted = slices.DeleteFunc(p.sorted, func(o *engine) bool { return o == e })
		ok = false
	}
	if !ok {
		e = &engine{pool: p, cached: make(cachedBlocks), hash: hashOf(r.Incarnation())}
		p.engines[r.ID] = e
		at, _ := slices.BinarySearchFunc(p.sorted, r.ID, func(o *engine, id string) int { return cmp.Compare(o.ID, id) })
		p.sorted = slices.Insert(p.sorted, at, e)
	}
	e.Engine, e.addressHash = r, hashOf(r.Address)
}

// removeUnregistered forgets the engines that are no longer registered and have nothing of
// this gateway, and, where asked, the parts that are no longer believed kept.
func (p *pool) removeUnregistered(registered map[string]bool, cleanup bool, now time.Time) {
	for id, e := range p.engines {
		if cleanup {
			e.cached.removeExpired(now)
		}
		if !registered[id] && e.ownLoad.Requests == 0 {
			delete(p.engines, id)
			p.sorted = slices.DeleteFunc(p.sorted, func(o *engine) bool { return o == e })
		}
	}
	if cleanup {
		p.indexCacheHolders()
	}
}

// indexCacheHolders lists the keepers of each part afresh.
func (p *pool) indexCacheHolders() {
	clear(p.cacheHolders)
	for _, e := range p.sorted {
		for block := range e.cached {
			p.cacheHolders[block] = append(p.cacheHolders[block], e)
		}
	}
}

// recordBlock remembers that an engine has been sent a part.
func (p *pool) recordBlock(e *engine, block uint32, now time.Time) {
	if _, known := e.cached[block]; !known {
		p.cacheHolders[block] = append(p.cacheHolders[block], e)
	}
	e.cached[block] = now
}

// recordPrompt remembers that an engine has been sent a prompt.
func (p *pool) recordPrompt(e *engine, prompt Prompt, now time.Time) {
	for _, block := range prompt.Parts {
		p.recordBlock(e, hashBlock(block.ID), now)
	}
}

// cacheHoldersOf gives the engines that are known to keep all shared parts of a prompt:
// the deepest of them, since a part is kept with all before it, or the whole prompt.
func (p *pool) cacheHoldersOf(prompt Prompt, now time.Time) []*engine {
	shared := prompt.sharedBlocks()
	if prompt.sharedTokens() == 0 {
		return nil
	}
	var out []*engine
	for _, block := range prompt.Parts[len(shared)-1:] {
		hash := hashBlock(block.ID)
		for _, e := range p.cacheHolders[hash] {
			if e.cached.has(hash, now) && p.engines[e.ID] == e && !slices.Contains(out, e) {
				out = append(out, e)
			}
		}
	}
	return out
}

// costInputs gives what the expectation of an engine rests on.
func (p *pool) costInputs(e *engine, req Ask, now time.Time) costInputs {
	in := costInputs{
		load: e.load(now), slots: e.Slots, failureRate: e.failures.rate(now),
		throughput: p.throughput.throughput(), usualError: p.throughput.usualError(), slowdown: e.slowdown.Value(now),
	}
	if p.service.Model != nil {
		in.cacheTokens = p.service.Model.CacheTokens
		in.cached = e.cached.tokens(req.Prompt, now)
	}
	return in
}

// recordOutcome takes over how a request of a route ended at an engine.
func (p *pool) recordOutcome(e *engine, route string, failed bool, now time.Time) {
	baseline, ok := p.failureBaselines[route]
	if !ok {
		baseline = &failureBaseline{}
		p.failureBaselines[route] = baseline
	}
	e.failures.record(failed, baseline.rate(), now)
	baseline.record(failed)
}

// decayingRate estimates events a second, from those of about the last second. The zero
// value has seen none.
type decayingRate struct {
	sum       float64
	updatedAt time.Time
}

// rateWindow is over how long a rate is taken.
const rateWindow = time.Second

func (r *decayingRate) add(n float64, now time.Time) {
	r.sum, r.updatedAt = r.decayed(now)+n, now
}

func (r *decayingRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.updatedAt))/float64(rateWindow))
}

func (r *decayingRate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }
