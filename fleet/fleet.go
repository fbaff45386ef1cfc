// Package fleet tracks the engines of an entry host's region and allocates their slots to
// requests.
//
// A Fleet has one pool per service. A pool combines the pure decision functions of the
// packages route, admit and health with the live counts that they need. Acquire returns a
// Ticket for an engine, after queueing if no slot is free, and each Ticket is released by
// exactly one call to Done. Decisions are made under the fleet's lock and take
// microseconds; no network call is made while the lock is held.
package fleet

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
)

// Clock returns the current time. Tests pass their own.
type Clock func() time.Time

// Fleet holds the pools of one entry host. It is safe for concurrent use; New creates one.
type Fleet struct {
	region         string
	clock          Clock
	suspendedSince func(since time.Time) bool
	policy         route.Policy
	rng            *rand.Rand

	mu            sync.Mutex
	pools         map[string]*pool
	quarantine    *quarantine.Table
	crashDetector *quarantine.CrashDetector[quarantine.Fingerprint]
	limits        *ratelimit.Table // rate limits that engines announce
	pushback      *pushback.Table  // backoff and draining that engines announce to this host
	limitSharers  []string         // declared hosts of this region, among which limits are divided
}

// queueLimit is the maximum number of requests queued in one pool.
const queueLimit = 512

// New returns a fleet without engines for an entry host and its region. seed initialises
// the random generator, so that choices are reproducible. suspendedSince reports whether
// this process was suspended at some time since then; nil for never.
func New(host, region string, clock Clock, suspendedSince func(since time.Time) bool, policy route.Policy, seed uint64) *Fleet {
	if suspendedSince == nil {
		suspendedSince = func(time.Time) bool { return false }
	}
	return &Fleet{
		region:         region,
		clock:          clock,
		suspendedSince: suspendedSince,
		policy:         policy,
		rng:            rand.New(rand.NewPCG(seed, seed^0x5bd1e995)),
		pools:          make(map[string]*pool),

		quarantine:    quarantine.New(),
		crashDetector: quarantine.NewCrashDetector[quarantine.Fingerprint](),
		limits:        ratelimit.New(host),
		pushback:      pushback.New(),
	}
}

// ApplyConfig replaces the declared engines by those of a configuration. An engine that is
// still declared keeps its counts. An engine that is no longer declared, or for which
// isHeld reports that an undecided change affects it, gets no new requests. isHeld may be
// nil.
func (f *Fleet) ApplyConfig(config declare.Config, isHeld func(engine string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLimitSharers(config)
	byService := map[string][]declare.Engine{}
	for _, e := range declare.ObjectsOf[declare.Engine](config) {
		if isHeld != nil && isHeld(e.Name) {
			e = e.WithState(declare.EngineStopping)
		}
		if config.RegionOf(e.DataCentre) == f.region {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	for _, s := range declare.ObjectsOf[declare.Service](config) {
		p, ok := f.pools[s.Name]
		if !ok {
			p = newPool(s.Name)
			f.pools[s.Name] = p
		}
		p.apply(f.region, byService[s.Name])
		p.updateHealth(f.clock())
	}
	for name, p := range f.pools {
		if _, ok := config.Service(name); !ok {
			p.apply(f.region, nil)
		}
	}
}

// SlotRequest describes a request that needs a slot. Permitted, if not nil, reports whether the
// request may run at a place on an engine with these labels.
type SlotRequest struct {
	Request        request.Request
	Permitted      func(place permit.Place, labels declare.Labels) bool
	PrefillTime    time.Duration // estimated time to read the whole prompt without a cached prefix
	MinServiceTime time.Duration // minimum time from getting a slot to the first byte of the answer
	TriedEngines   []string      // engines of earlier attempts
	// MaxWait is the longest time to wait in the queue; 0 means until the deadline.
	MaxWait time.Duration
	// Fingerprint is equal for all repeats of the request; 0 means unknown.
	Fingerprint quarantine.Fingerprint
}

// Ticket is a slot on one engine, which allows one request to be sent there.
type Ticket struct {
	Engine  string
	Address string
	Choice  route.Choice
	Waited  time.Duration

	pool        *pool
	fleet       *Fleet
	engineIndex int
	sentAt      time.Time
	prefixChain []uint64

	fingerprint quarantine.Fingerprint
	trial       bool // the single request that tests the engine after its backoff
}

// Acquire returns a ticket for the best engine. It waits in the queue if no permitted
// engine has a free slot. The error is a *request.NotRun.
func (f *Fleet) Acquire(ctx context.Context, req SlotRequest) (*Ticket, error) {
	served := make(chan SubmitResult, 1)
	cancel := f.Submit(req, func(s SubmitResult) { served <- s })
	select {
	case s := <-served:
		return s.Ticket, s.Err
	case <-ctx.Done():
	}
	if !cancel() {
		if s := <-served; s.Ticket != nil {
			s.Ticket.Done(Result{Outcome: Unsent})
		}
	}
	return nil, &request.NotRun{Reason: request.ReasonCancelled, Message: "the caller went away, or its deadline passed, while the request waited"}
}

// SubmitResult is the result of Submit: either a ticket, or a *request.NotRun as the error.
type SubmitResult struct {
	Ticket *Ticket
	Err    error
}

// Submit is the non-blocking form of Acquire. It calls ready once, possibly before it
// returns and possibly with the fleet's lock held, so ready must not call the fleet.
// cancel removes the request from the queue and reports whether it did so, in which case
// ready is not called.
func (f *Fleet) Submit(req SlotRequest, ready func(SubmitResult)) (cancel func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[req.Request.Service]
	if !ok {
		ready(SubmitResult{Err: &request.NotRun{Reason: request.ReasonNoEngine, Message: "no engine of the service is known here"}})
		return func() bool { return false }
	}
	now := f.clock()
	if err := f.checkQuarantine(req.Fingerprint, now); err != nil {
		ready(SubmitResult{Err: err})
		return func() bool { return false }
	}
	w := p.newWaiter(req, ready)
	if p.queue.CountAhead(req.Request.Class.Priority()) == 0 {
		if t := f.grant(p, w, now); t != nil {
			ready(SubmitResult{Ticket: t})
			return func() bool { return false }
		}
	}
	if err := p.enqueue(w, now); err != nil {
		ready(SubmitResult{Err: f.raiseRetryAfter(p, err, now)})
		return func() bool { return false }
	}
	f.serveQueue(p, now)
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return p.queue.Remove(w)
	}
}

// grant returns a ticket for the waiter, or nil if no suitable engine has a free slot.
// f.mu must be held.
func (f *Fleet) grant(p *pool, w *waiter, now time.Time) *Ticket {
	p.view.Now = now
	f.markExclusions(p, now)
	choice := route.Choose(f.policy, &p.view, &w.Payload.req, f.rng.Uint64())
	if choice.Index < 0 {
		return nil
	}
	e := &p.view.Engines[choice.Index]
	e.InFlight++
	p.history[choice.Index].record(now, e.InFlight)
	p.view.Prefixes.Add(w.Payload.req.PrefixChain, choice.Index)
	p.countStart(now)
	f.quarantine.Begin(w.Payload.fingerprint)
	key := engineKey(p.service, e.Name)
	f.limits.TakeToken(key, now)
	return &Ticket{
		Engine: e.Name, Address: e.Address, Choice: choice,
		pool: p, fleet: f, engineIndex: choice.Index, sentAt: now, prefixChain: w.Payload.req.PrefixChain, fingerprint: w.Payload.fingerprint,
		trial: f.pushback.Begin(key, now),
	}
}

// serveQueue grants free slots to queued requests. f.mu must be held.
func (f *Fleet) serveQueue(p *pool, now time.Time) {
	for p.queue.Len() > 0 && p.anyFreeSlot() {
		w := p.queue.Pop(now, p.rejectLate)
		if w == nil {
			return
		}
		if t := f.grant(p, w, now); t != nil {
			t.Waited = now.Sub(w.Arrived())
			w.Payload.ready(SubmitResult{Ticket: t})
			continue
		}
		p.blocked = append(p.blocked, w)
	}
	p.requeueBlocked(now)
}

// Tick updates the health of all engines, rejects queued requests that can no longer meet
// their deadline, and grants free slots. The owner calls it several times per second.
func (f *Fleet) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.limits.SetMembers(f.limitSharers, now)
	for _, p := range f.pools {
		f.markExclusions(p, now)
		p.updateHealth(now)
		p.queue.Expire(now.Add(f.availableIn(p, now)), p.rejectLate)
		f.serveQueue(p, now)
	}
}

// EngineAddress identifies an engine and the address at which to probe it.
type EngineAddress struct {
	Service, Engine, Address string
}

// EngineAddresses returns the current engines of all pools, sorted by name.
func (f *Fleet) EngineAddresses() []EngineAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []EngineAddress
	for name, p := range f.pools {
		for i := range p.view.Engines {
			if e := &p.view.Engines[i]; e.Name != "" {
				addresses = append(addresses, EngineAddress{name, e.Name, e.Address})
			}
		}
	}
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].Engine < addresses[j].Engine })
	return addresses
}

// Digests returns the load of each service's engines in this region, sorted by service.
func (f *Fleet) Digests() []ServiceDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	digests := make([]ServiceDigest, 0, len(f.pools))
	for name, p := range f.pools {
		digests = append(digests, ServiceDigest{Service: name, Digest: p.digest(f.region, now), Queued: p.queue.Len()})
	}
	sort.Slice(digests, func(i, j int) bool { return digests[i].Service < digests[j].Service })
	return digests
}

// ServiceDigest is the load of one service's engines, and the number of requests that
// wait for them at this host.
type ServiceDigest struct {
	Service string       `json:"service"`
	Digest  route.Digest `json:"digest"`
	Queued  int          `json:"queued"`
}

// Explain returns, for each engine of the service, its score for the request or the
// reason that it is excluded.
func (f *Fleet) Explain(req SlotRequest) []route.EngineScore {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[req.Request.Service]
	if !ok {
		return nil
	}
	p.view.Now = f.clock()
	f.markExclusions(p, p.view.Now)
	return route.Explain(&p.view, &p.newWaiter(req, nil).Payload.req)
}

// InFlight returns the number of requests that this host has in flight on an engine. A
// drain is complete when it is 0 at all hosts.
func (f *Fleet) InFlight(engine string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.pools {
		for i := range p.view.Engines {
			if p.view.Engines[i].Name == engine {
				n += p.view.Engines[i].InFlight
			}
		}
	}
	return n
}
