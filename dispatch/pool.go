// This file defines the pool of one service's engines.

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/regionplan"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/urgency"
)

// engine is what this gateway knows about one incarnation of an engine.
type engine struct {
	registry.Engine
	pool        *pool
	hash        uint64 // of the incarnation
	addressHash uint64 // of the address
	*activity          // idle, which is shared, until use is called
}

// activity is what this gateway knows beyond an engine's registration: from its own requests
// or from other gateways. A gateway knows thousands of engines and uses few, so that most
// have none.
type activity struct {
	ownLoad          Load         // load of this gateway's requests
	peerLoad         Load         // load of other gateways' requests, as last reported
	readRate         decayingRate // prompt tokens that this gateway has sent
	cached           cachedBlocks
	failures         excessFailures // failures beyond the baseline
	speeds           engineSpeed
	replaced         bool      // another incarnation answers at its address
	replacedAt       time.Time // when this gateway detected it; zero if others reported it
	connectFailures  int       // consecutive failed connections
	connectFailedAt  time.Time
	excludedUntil    time.Time // end of excludedFailing
	peerBackoffUntil time.Time // end of the backoff that other gateways report
	nextWarmRequest  time.Time // when a cold engine may get its next request
	warmer           string    // the gateway that sends it requests while it is cold
	warmerVersion    int       // version of the gateway list that warmer is from
	lastHeard        time.Time // when this gateway last received a byte from it
}

// idle is the activity of all engines that have none. It is never changed.
var idle = &activity{}

// use returns the engine's own activity, which may be changed.
func (e *engine) use() *activity {
	if e.activity == idle {
		e.activity = &activity{}
	}
	return e.activity
}

// exclude excludes the engine until the given time, and never shortens an exclusion.
func (e *engine) exclude(until time.Time) {
	if until.After(e.excludedUntil) {
		e.use().excludedUntil = until
	}
}

// load returns the engine's total load, as far as known.
func (e *engine) load(now time.Time) Load {
	own := e.ownLoad
	own.ReadRate = e.readRate.perSecond(now)
	return own.plus(e.peerLoad)
}

// pool holds the engines of one service. usable, limited, pushedBack and readyEngines are
// as of the last refresh. The Dispatcher's lock guards it.
type pool struct {
	service          catalog.Service
	engines          map[string]*engine   // by ID
	sorted           []*engine            // engines in the order of their IDs
	usable           []*engine            // engines that choices draw from
	limited          []*engine            // usable but for their rate limits, and not in usable
	pushedBack       []*engine            // backing off or draining
	cacheHolders     map[uint32][]*engine // engines that may have cached a block, by its hash
	retryBudget      *retry.WindowBudget
	throughput       *throughputEstimator
	failureBaselines map[string]*failureBaseline // by route
	readyEngines     int                         // that accept requests and aren't cold
	rollout          *poolRollout                // the service's latest; nil if it never had one
	plan             regionplan.Plan             // where the requests of all regions run, as of the last refresh
	classes          []demandClass               // of the service's requests
	classByRoute     map[routePriority]uint32    // IDs of the classes
	cachedShare      shareAverage                // of the shared tokens of prompts, that engines had cached
	demand           urgency.Demand              // what is asked for in this region
	maxPause         time.Duration               // shortest limit for pauses of the service's routes; 0 for none
	long             longPrompts
	meanQueue        time.Duration // of the engines, as of the last refresh
}

func newPool(s catalog.Service, budget retry.Policy) *pool {
	return &pool{service: s, engines: make(map[string]*engine), cacheHolders: make(map[uint32][]*engine), failureBaselines: make(map[string]*failureBaseline), retryBudget: retry.NewWindowBudget(budget), throughput: newThroughputEstimator(s.Model != nil)}
}

// update applies the registered state of an engine, and returns the engine.
func (p *pool) update(r registry.Engine) *engine {
	e, ok := p.engines[r.ID]
	if ok && e.Born != r.Born {
		// The engine has restarted with an empty cache, so its estimates start anew.
		// Requests sent to the earlier incarnation end by themselves.
		p.sorted = slices.DeleteFunc(p.sorted, func(o *engine) bool { return o == e })
		ok = false
	}
	if !ok {
		e = &engine{pool: p, hash: hashString(r.Incarnation()), activity: idle}
		p.engines[r.ID] = e
		at, _ := slices.BinarySearchFunc(p.sorted, r.ID, func(o *engine, id string) int { return cmp.Compare(o.ID, id) })
		p.sorted = slices.Insert(p.sorted, at, e)
	}
	e.Engine, e.addressHash = r, hashString(r.Address)
	return e
}

// removeUnregistered removes engines that are neither registered nor have requests of
// this gateway, and expired blocks.
func (p *pool) removeUnregistered(registered map[string]bool, now time.Time) {
	for id, e := range p.engines {
		e.cached.removeExpired(now)
		if !registered[id] && e.ownLoad.Requests == 0 {
			delete(p.engines, id)
		}
	}
	p.sorted = slices.DeleteFunc(p.sorted, func(e *engine) bool { return p.engines[e.ID] != e })
	p.indexCacheHolders()
}

// indexCacheHolders rebuilds the index of cache holders by block.
func (p *pool) indexCacheHolders() {
	clear(p.cacheHolders)
	for _, e := range p.sorted {
		for block := range e.cached {
			p.cacheHolders[block] = append(p.cacheHolders[block], e)
		}
	}
}

// recordBlock records that the engine was sent a block.
func (p *pool) recordBlock(e *engine, block uint32, now time.Time) {
	if e.cached == nil {
		e.use().cached = make(cachedBlocks)
	}
	if _, known := e.cached[block]; !known {
		p.cacheHolders[block] = append(p.cacheHolders[block], e)
	}
	e.cached[block] = now
}

// recordPrompt records that the engine was sent a prompt.
func (p *pool) recordPrompt(e *engine, prompt Prompt, now time.Time) {
	for _, block := range prompt.Blocks {
		p.recordBlock(e, hashBlock(block.ID), now)
	}
}

// cacheHoldersOf returns the engines known to have cached all shared blocks of a prompt.
// It looks up the deepest shared block, since a block is only cached with all before it,
// and the whole prompt.
func (p *pool) cacheHoldersOf(prompt Prompt, now time.Time) []*engine {
	shared := prompt.sharedBlocks()
	if prompt.sharedTokens() == 0 {
		return nil
	}
	var out []*engine
	for _, block := range prompt.Blocks[len(shared)-1:] {
		hash := hashBlock(block.ID)
		for _, e := range p.cacheHolders[hash] {
			if e.cached.has(hash, now) && p.engines[e.ID] == e && !slices.Contains(out, e) {
				out = append(out, e)
			}
		}
	}
	return out
}

// costInputs returns the inputs of the cost estimate for an engine.
func (p *pool) costInputs(e *engine, req Request, now time.Time) costInputs {
	in := costInputs{
		load: e.load(now), slots: e.Slots, failureRate: e.failures.rate(now),
		throughput: p.throughput.current(), usualError: p.throughput.usualError(), speed: e.speed(now), limit: req.limit, promised: req.promised,
	}
	if p.service.Model != nil {
		in.cacheTokens = p.service.Model.CacheTokens
		in.cached = e.cached.tokens(req.Prompt, now)
		in.tokenTime = e.tokenTime(now)
		in.eventTokens, in.maxPause, in.remaining = p.service.Model.EventTokens, p.maxPause, req.remaining(now)
		if share := p.long.shares[e]; share > 0 && !p.isLong(req) {
			in.longShare = share
		}
	}
	return in
}

// recordOutcome records for the engine and for the route whether a request failed.
func (p *pool) recordOutcome(e *engine, route string, failed bool, now time.Time) {
	baseline, ok := p.failureBaselines[route]
	if !ok {
		baseline = &failureBaseline{}
		p.failureBaselines[route] = baseline
	}
	e.failures.record(failed, baseline.rate(), now)
	baseline.record(failed)
}

// decayingRate estimates events per second, with exponential decay. The zero value has
// recorded none.
type decayingRate struct {
	window    time.Duration // time constant of the decay; 0 for rateWindow
	sum       float64
	updatedAt time.Time
}

// rateWindow is the usual time constant of the decay.
const rateWindow = time.Second

func (r *decayingRate) add(n float64, now time.Time) {
	r.sum, r.updatedAt = r.decayed(now)+n, now
}

func (r *decayingRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.updatedAt))/float64(cmp.Or(r.window, rateWindow)))
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / cmp.Or(r.window, rateWindow).Seconds()
}
