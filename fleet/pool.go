// This file defines the pool of one service's engines.

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

// labelModel is the engine label that names the model it has loaded.
const labelModel = "model"

// prefixes bounds each generation of a pool's prefix index.
const prefixes = 1 << 14

// waiting is what the queue carries for the fleet.
type waiting struct {
	ask         route.Request
	ready       func(Served)
	fingerprint quarantine.Fingerprint
}

type waiter = admit.Waiter[waiting]

// pool is guarded by its Fleet's lock.
type pool struct {
	service string
	view    route.View
	health  []*health.Tracker // beside view.Engines
	own     []*ownLoad        // beside view.Engines
	queue   *admit.Queue[waiting]
	blocked []*waiter // popped, but no engine could take them
	budget  *retry.Budget

	starts startRate
}

func newPool(service string) *pool {
	return &pool{
		service: service,
		view:    route.View{Prefixes: route.NewPrefixIndex(prefixes)},
		queue:   admit.NewQueue[waiting](queueLimit),
		budget:  retry.NewBudget(),
	}
}

// apply takes over the declared engines. Places of engines that are gone are
// kept while requests are in flight there, then used again, so that indexes
// in tickets and in the prefix index stay true.
func (p *pool) apply(region string, engines []declare.Engine) {
	declared := make(map[string]bool, len(engines))
	for _, e := range engines {
		declared[e.Name] = true
		i := p.place(e.Name)
		p.set(i, region, e)
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

// place finds or makes the place of an engine.
func (p *pool) place(name string) int {
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
		p.own = append(p.own, nil)
		free = len(p.health) - 1
	}
	p.view.Engines[free] = route.Engine{Name: name}
	p.health[free] = &health.Tracker{}
	p.own[free] = &ownLoad{}
	return free
}

func (p *pool) set(i int, region string, e declare.Engine) {
	v := &p.view.Engines[i]
	if v.Address != e.Address {
		p.health[i] = &health.Tracker{}
	}
	v.Address = e.Address
	v.Place = permit.Place{Region: region, DataCentre: e.DataCentre}
	v.Labels = e.Labels
	v.Model = e.Labels.Get(labelModel)
	v.Slots = e.Slots
	v.Cost = e.Cost
	p.health[i].SetStopping(e.State == declare.EngineStopping)
}

func (p *pool) judge(now time.Time) {
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

func (p *pool) newWaiter(ask Ask, ready func(Served)) *waiter {
	r := ask.Request
	w := &waiter{
		Account:     r.Account,
		Priority:    r.Class.Priority(),
		Cost:        float64(1 + len(r.PrefixChain)),
		Deadline:    r.Deadline,
		ServiceTime: ask.Need,
		MaxWait:     ask.MaxWait,
	}
	w.Payload = waiting{ready: ready, fingerprint: ask.Fingerprint, ask: route.Request{
		Model:       r.Model,
		PrefixChain: r.PrefixChain,
		PrefillTime: ask.Prefill,
		Tried:       p.indexes(ask.Tried),
	}}
	if ask.Permitted != nil {
		w.Payload.ask.Permitted = func(e *route.Engine) bool { return ask.Permitted(e.Place, e.Labels) }
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

// enqueue puts the waiter into the queue, or refuses it at once: also where
// no engine that lives could ever take it.
func (p *pool) enqueue(w *waiter, now time.Time) error {
	if !p.anyFit(w) {
		return &request.NotRun{Reason: request.ReasonNoEngine, Message: "no engine here is healthy and permitted", RetryAfter: time.Second}
	}
	return p.queue.Push(w, now, p.drainRate(now))
}

// anyFit tells whether some engine could take the request if it had a slot.
func (p *pool) anyFit(w *waiter) bool {
	for _, e := range route.Explain(&p.view, &w.Payload.ask) {
		if e.Exclusion == route.NotExcluded.String() || e.Exclusion == route.ExcludedFull.String() {
			return true
		}
	}
	return false
}

// drainRate estimates how many requests a second get a slot from this host:
// what has been seen in the last seconds, or, where nothing was, what the slots
// could do.
func (p *pool) drainRate(now time.Time) float64 {
	if rate := p.starts.rate(now); rate > leastSeen {
		return rate
	}
	could := 0.0
	for i := range p.view.Engines {
		if e := &p.view.Engines[i]; e.Health == route.Healthy {
			service := e.ServiceTime
			if service == 0 {
				service = time.Second
			}
			could += float64(e.Slots) / service.Seconds()
		}
	}
	return could
}

// leastSeen is the rate, a second, below which what was seen says nothing.
const leastSeen = 1.0

// rateWindow is over how long the rate of starts is taken.
const rateWindow = 3 * time.Second

// startRate counts starts with a weight that decays over rateWindow. The zero
// value has seen none.
type startRate struct {
	weight float64
	at     time.Time
}

func (s *startRate) decayed(now time.Time) float64 {
	return s.weight * math.Exp(-float64(now.Sub(s.at))/float64(rateWindow))
}

func (s *startRate) add(now time.Time) {
	s.weight, s.at = s.decayed(now)+1, now
}

// rate gives the starts a second.
func (s *startRate) rate(now time.Time) float64 { return s.decayed(now) / rateWindow.Seconds() }

func (p *pool) started(now time.Time) {
	p.budget.CountFirstAttempt()
	p.starts.add(now)
}

func (p *pool) anyFree() bool {
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health == route.Healthy && !e.RateLimited && e.Pushback == 0 && !e.Full() {
			return true
		}
	}
	return false
}

func (p *pool) refuseLate(w *waiter) {
	w.Payload.ready(Served{Err: &request.NotRun{
		Reason:     request.ReasonDeadline,
		Message:    "no slot was free in time",
		RetryAfter: time.Second,
	}})
}

// requeueBlocked gives back what was popped but fits no engine with a free
// slot now. Their fair share was charged once already, so they go in with
// the least cost.
func (p *pool) requeueBlocked(now time.Time) {
	for _, w := range p.blocked {
		w.Cost = 0
		if err := p.queue.Push(w, now, p.drainRate(now)); err != nil {
			w.Payload.ready(Served{Err: err})
		}
	}
	p.blocked = p.blocked[:0]
}

func (p *pool) digest(region string, now time.Time) route.Digest {
	d := route.Digest{Region: region, At: now}
	var service time.Duration
	n, load := 0, 0.0
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Health != route.Healthy || e.Pushback != 0 {
			continue
		}
		d.Slots += e.Slots
		load += e.Load()
		if e.ServiceTime > 0 {
			service += e.ServiceTime
			n++
		}
	}
	d.Load = int(load+0.5) + p.queue.Len()
	if n > 0 {
		d.ServiceTime = service / time.Duration(n)
	}
	return d
}
