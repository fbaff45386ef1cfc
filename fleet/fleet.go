// Package fleet keeps what one entry host knows of the engines of its region,
// and hands out their slots.
//
// A Fleet owns one pool for each service. A pool joins the pure decisions of
// the packages route, admit and health with the running counts they need:
// Acquire gives a Ticket for an engine, waiting in the pool's queue if it
// must, and every Ticket is given back by Done exactly once. The decisions
// are made under the pool's lock and take microseconds; nothing waits for the
// network while holding it.
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

// Clock gives the time; tests set their own.
type Clock func() time.Time

// Fleet is safe for concurrent use. New makes one.
type Fleet struct {
	region string
	clock  Clock
	policy route.Policy
	rng    *rand.Rand

	mu            sync.Mutex
	pools         map[string]*pool
	quarantine    *quarantine.Table
	crashDetector *quarantine.Watch
	limits        *ratelimit.Table // that engines name
	pushback      *pushback.Table  // what engines ask of this host
	limitSharers  []string         // the hosts of this region that share them, as declared
}

// queueLimit bounds the requests that wait in one pool.
const queueLimit = 512

// New makes an empty fleet of an entry host, for the engines of its region. seed makes its
// random choices repeatable.
func New(host, region string, clock Clock, policy route.Policy, seed uint64) *Fleet {
	return &Fleet{
		region: region,
		clock:  clock,
		policy: policy,
		rng:    rand.New(rand.NewPCG(seed, seed^0x5bd1e995)),
		pools:  make(map[string]*pool),

		quarantine:    quarantine.New(),
		crashDetector: quarantine.NewWatch(),
		limits:        ratelimit.New(host),
		pushback:      pushback.New(),
	}
}

// Apply takes over the engines of a configuration. An engine that is declared
// still keeps its counts; one that isn't gets nothing new, nor does one that an
// undecided change holds: held may be nil.
func (f *Fleet) Apply(config declare.Config, isHeld func(engine string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLimitSharers(config)
	byService := map[string][]declare.Engine{}
	for _, e := range declare.Each[declare.Engine](config) {
		if isHeld != nil && isHeld(e.Name) {
			e = e.WithState(declare.EngineStopping)
		}
		if config.RegionOf(e.DataCentre) == f.region {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	for _, s := range declare.Each[declare.Service](config) {
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

// Ask is what Acquire needs beside the request.
type Ask struct {
	Request   request.Request
	Permitted func(place permit.Place, labels declare.Labels) bool
	Prefill   time.Duration // to read the prompt into a cold cache
	Need      time.Duration // least time from a slot to the answer's first byte
	Tried     []string      // engines of earlier attempts
	// MaxWait is the longest wait that is worth while; 0 for the deadline.
	MaxWait time.Duration
	// Fingerprint is the same for each repeat of the request; 0 where it isn't known.
	Fingerprint quarantine.Fingerprint
}

// Ticket is the right to send one request to one engine.
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
	trial       bool // it shows whether the engine takes any after a rest
}

// Acquire gives a ticket for the best engine, waiting in the queue if none has
// a slot. The error is a *request.NotRun.
func (f *Fleet) Acquire(ctx context.Context, req Ask) (*Ticket, error) {
	served := make(chan Served, 1)
	cancel := f.Submit(req, func(s Served) { served <- s })
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

// Served is the outcome of Submit: a ticket, or a *request.NotRun.
type Served struct {
	Ticket *Ticket
	Err    error
}

// Submit is Acquire without waiting. ready is called once, perhaps before
// Submit returns, and perhaps with the fleet's lock held: it must not call the
// fleet. cancel takes the request out of the queue; it tells whether ready will
// not be called.
func (f *Fleet) Submit(req Ask, ready func(Served)) (cancel func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[req.Request.Service]
	if !ok {
		ready(Served{Err: &request.NotRun{Reason: request.ReasonNoEngine, Message: "no engine of the service is known here"}})
		return func() bool { return false }
	}
	now := f.clock()
	if err := f.checkQuarantine(req.Fingerprint, now); err != nil {
		ready(Served{Err: err})
		return func() bool { return false }
	}
	w := p.newWaiter(req, ready)
	if p.queue.Ahead(req.Request.Class.Priority()) == 0 {
		if t := f.grant(p, w, now); t != nil {
			ready(Served{Ticket: t})
			return func() bool { return false }
		}
	}
	if err := p.enqueue(w, now); err != nil {
		ready(Served{Err: f.raiseRetryAfter(p, err, now)})
		return func() bool { return false }
	}
	f.serveQueue(p, now)
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return p.queue.Remove(w)
	}
}

// grant gives the waiter a slot if an engine has one. The lock is held.
func (f *Fleet) grant(p *pool, w *waiter, now time.Time) *Ticket {
	p.view.Now = now
	f.markExclusions(p, now)
	choice := route.Choose(f.policy, &p.view, &w.Tag.req, f.rng.Uint64())
	if choice.Index < 0 {
		return nil
	}
	e := &p.view.Engines[choice.Index]
	e.InFlight++
	p.history[choice.Index].record(now, e.InFlight)
	p.view.Cached.Add(w.Tag.req.PrefixChain, choice.Index)
	p.countStart(now)
	f.quarantine.Begin(w.Tag.fingerprint)
	key := engineKey(p.service, e.Name)
	f.limits.Take(key, now)
	return &Ticket{
		Engine: e.Name, Address: e.Address, Choice: choice,
		pool: p, fleet: f, engineIndex: choice.Index, sentAt: now, prefixChain: w.Tag.req.PrefixChain, fingerprint: w.Tag.fingerprint,
		trial: f.pushback.Begin(key, now),
	}
}

// serveQueue serves the queue while there are slots. The lock is held.
func (f *Fleet) serveQueue(p *pool, now time.Time) {
	for p.queue.Len() > 0 && p.anyFreeSlot() {
		w := p.queue.Pop(now, p.rejectLate)
		if w == nil {
			return
		}
		if t := f.grant(p, w, now); t != nil {
			t.Waited = now.Sub(w.Arrived())
			w.Tag.ready(Served{Ticket: t})
			continue
		}
		p.blocked = append(p.blocked, w)
	}
	p.requeueBlocked(now)
}

// Tick re-judges every pool, drops what is late and serves what can be
// served. The owner calls it several times a second.
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

// Address is one engine to probe.
type Address struct {
	Service, Engine, Address string
}

// Addresses lists the engines that are declared now.
func (f *Fleet) Addresses() []Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []Address
	for name, p := range f.pools {
		for i := range p.view.Engines {
			if e := &p.view.Engines[i]; e.Name != "" {
				addresses = append(addresses, Address{name, e.Name, e.Address})
			}
		}
	}
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].Engine < addresses[j].Engine })
	return addresses
}

// Digests gives the state of each service's engines in this region.
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

// ServiceDigest is the digest of one service.
type ServiceDigest struct {
	Service string       `json:"service"`
	Digest  route.Digest `json:"digest"`
	Queued  int          `json:"queued"`
}

// Explain gives each engine's score, or why it is refused, for a request.
func (f *Fleet) Explain(req Ask) []route.Explained {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[req.Request.Service]
	if !ok {
		return nil
	}
	p.view.Now = f.clock()
	f.markExclusions(p, p.view.Now)
	return route.Explain(&p.view, &p.newWaiter(req, nil).Tag.req)
}

// InFlight counts this host's requests on an engine, for a drain.
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
