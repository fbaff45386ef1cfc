// This file defines the pool of engines of one service.

package fleet

import (
	"math"
	"time"

	"github.com/linenscale/linenscale/admit"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/health"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/route"
)

// labelModel is the engine label that contains the name of the loaded model.
const labelModel = "model"

// prefixIndexSize is the capacity of each of the two generations of a prefix index.
const prefixIndexSize = 1 << 14

// waiterTag is the fleet's data in an entry of the queue.
type waiterTag struct {
	req         route.Request
	ready       func(SubmitResult)
	fingerprint quarantine.Fingerprint
}

type waiter = admit.Waiter[waiterTag]

// pool holds the engines and the queue of one service. The Fleet's lock guards it.
type pool struct {
	service string
	view    route.View
	health  []*health.Tracker // same indexes as view.Engines
	history []*loadHistory    // same indexes as view.Engines
	queue   *admit.Queue[waiterTag]
	blocked []*waiter // popped from the queue, but no engine with a free slot was suitable
	budget  *retry.Budget

	starts startRate
}

func newPool(service string) *pool {
	return &pool{
		service: service,
		view:    route.View{Prefixes: route.NewPrefixIndex(prefixIndexSize)},
		queue:   admit.NewQueue[waiterTag](queueLimit),
		budget:  retry.NewBudget(),
	}
}

// apply sets the declared engines. An engine that is no longer declared keeps its index
// while requests are in flight on it, so that indexes in tickets and in the prefix index
// stay valid. After that, its index is reused.
func (p *pool) apply(region string, engines []declare.Engine) {
	declared := make(map[string]bool, len(engines))
	for _, e := range engines {
		declared[e.Name] = true
		i := p.findOrAdd(e.Name)
		p.setEngine(i, region, e)
	}
	for i := range p.view.Engines {
		if e := &p.view.Engines[i]; !declared[e.Name] {
			p.health[i].SetStopping(true)
			if e.InFlight == 0 {
				e.Name = ""
			}
		}
	}
}

// findOrAdd returns the index of an engine, and adds the engine if it is new.
func (p *pool) findOrAdd(name string) int {
	free := -1
	for i := range p.view.Engines {
		switch p.view.Engines[i].Name {
		case name:
			return i
		case "":
			free = i
		}
	}
	if free < 0 {
		p.view.Engines = append(p.view.Engines, route.Engine{})
		p.health = append(p.health, nil)
		p.history = append(p.history, nil)
		free = len(p.health) - 1
	}
	p.view.Engines[free] = route.Engine{Name: name}
	p.health[free] = &health.Tracker{}
	p.history[free] = &loadHistory{}
	return free
}

func (p *pool) setEngine(i int, region string, declared declare.Engine) {
	engine := &p.view.Engines[i]
	if engine.Address != declared.Address {
		p.health[i] = &health.Tracker{}
	}
	engine.Address = declared.Address
	engine.Place = permit.Place{Region: region, DataCentre: declared.DataCentre}
	engine.Labels = declared.Labels
	engine.Model = declared.Labels.Get(labelModel)
	engine.Slots = declared.Slots
	engine.Cost = declared.Cost
	p.health[i].SetStopping(declared.State == declare.EngineStopping)
}

func (p *pool) updateHealth(now time.Time) {
	route.FillOtherLoad(p.view.Engines, now)
	for i, h := range health.Evaluate(p.health, now) {
		e := &p.view.Engines[i]
		e.Health = h
		if e.Name == "" {
			e.Health = route.Stopping
		}
		e.Ramp = p.health[i].Ramp(now)
	}
}

func (p *pool) newWaiter(req SlotRequest, ready func(SubmitResult)) *waiter {
	r := req.Request
	w := &waiter{
		Account:     r.Account,
		Priority:    r.Class.Priority(),
		Cost:        float64(1 + len(r.PrefixChain)),
		Deadline:    r.Deadline,
		ServiceTime: req.MinServiceTime,
		MaxWait:     req.MaxWait,
	}
	w.Payload = waiterTag{ready: ready, fingerprint: req.Fingerprint, req: route.Request{
		Model:       r.Model,
		PrefixChain: r.PrefixChain,
		PrefillTime: req.PrefillTime,
		Tried:       p.indexes(req.TriedEngines),
	}}
	if req.Permitted != nil {
		w.Payload.req.Permitted = func(e *route.Engine) bool { return req.Permitted(e.Place, e.Labels) }
	}
	return w
}

func (p *pool) indexes(names []string) []int {
	var out []int
	for _, name := range names {
		for i := range p.view.Engines {
			if p.view.Engines[i].Name == name {
				out = append(out, i)
			}
		}
	}
	return out
}

// enqueue adds the waiter to the queue. It returns an error at once if no healthy engine
// can serve the request, even after a wait, or if the queue rejects it.
func (p *pool) enqueue(w *waiter, now time.Time) error {
	if !p.anyEligible(w) {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: "no engine here is healthy and permitted", RetryAfter: time.Second}
	}
	return p.queue.Push(w, now, p.expectedStartRate(now))
}

// anyEligible reports whether some engine is suitable for the request, whether or not it
// has a free slot now.
func (p *pool) anyEligible(w *waiter) bool {
	for _, e := range route.Explain(&p.view, &w.Payload.req) {
		if e.Exclusion == route.NotExcluded.String() || e.Exclusion == route.ExcludedFull.String() {
			return true
		}
	}
	return false
}

// expectedStartRate estimates how many requests per second get a slot from this host. It
// uses the rate observed within startRateWindow, or, if too few requests started, the
// capacity of the healthy engines.
func (p *pool) expectedStartRate(now time.Time) float64 {
	if rate := p.starts.rate(now); rate > minObservedRate {
		return rate
	}
	capacity := 0.0
	for i := range p.view.Engines {
		if e := &p.view.Engines[i]; e.Health == route.Healthy {
			serviceTime := e.ServiceTime
			if serviceTime == 0 {
				serviceTime = time.Second
			}
			capacity += float64(e.Slots) / serviceTime.Seconds()
		}
	}
	return capacity
}

// minObservedRate is the rate in requests per second below which the observed rate is not
// meaningful.
const minObservedRate = 1.0

// startRateWindow is the time constant of the decay in startRate.
const startRateWindow = 3 * time.Second

// startRate estimates the rate of started requests by a count that decays exponentially
// over startRateWindow. The zero value has counted none.
type startRate struct {
	weight    float64
	updatedAt time.Time
}

func (s *startRate) decayed(now time.Time) float64 {
	return s.weight * math.Exp(-float64(now.Sub(s.updatedAt))/float64(startRateWindow))
}

func (s *startRate) add(now time.Time) {
	s.weight, s.updatedAt = s.decayed(now)+1, now
}

// rate returns the started requests per second.
func (s *startRate) rate(now time.Time) float64 { return s.decayed(now) / startRateWindow.Seconds() }

func (p *pool) countStart(now time.Time) {
	p.budget.CountFirstAttempt()
	p.starts.add(now)
}

func (p *pool) anyFreeSlot() bool {
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health == route.Healthy && !e.RateLimited && e.Pushback == 0 && !e.Full() {
			return true
		}
	}
	return false
}

func (p *pool) rejectLate(w *waiter) {
	w.Payload.ready(SubmitResult{Err: &request.NotRun{
		Reason:     request.ReasonDeadline,
		Message:    "no slot was free in time",
		RetryAfter: time.Second,
	}})
}

// requeueBlocked puts requests that were popped, but for which no engine with a free slot
// was suitable, back into the queue. Their fair share was charged when they were first
// queued, so they return at the minimum cost.
func (p *pool) requeueBlocked(now time.Time) {
	for _, w := range p.blocked {
		w.Cost = 0
		if err := p.queue.Push(w, now, p.expectedStartRate(now)); err != nil {
			w.Payload.ready(SubmitResult{Err: err})
		}
	}
	p.blocked = p.blocked[:0]
}

func (p *pool) digest(region string, now time.Time) route.Digest {
	d := route.Digest{Region: region, At: now}
	var totalServiceTime time.Duration
	measured, load := 0, 0.0
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health != route.Healthy || e.Pushback != 0 {
			continue
		}
		d.Slots += e.Slots
		load += e.Load()
		if e.ServiceTime > 0 {
			totalServiceTime += e.ServiceTime
			measured++
		}
	}
	d.Load = int(load+0.5) + p.queue.Len()
	if measured > 0 {
		d.ServiceTime = totalServiceTime / time.Duration(measured)
	}
	return d
}
