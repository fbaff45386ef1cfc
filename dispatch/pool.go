// This file defines the pool of one service's engines.

package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/retry"
)

// engine is what this gateway knows of one engine.
type engine struct {
	registry.Engine
	inFlight    int // this gateway's requests that have not ended
	unread      int // prompt tokens of those that have had no event yet
	kept        kept
	misdirected bool // another incarnation answers at its address
	failures    int  // in a row
	avoidUntil  time.Time
	warmNext    time.Time // when a cold engine may get its next request
}

// pool is guarded by its Dispatcher's lock.
type pool struct {
	service catalog.Service
	engines map[string]*engine // by incarnation
	ordered []*engine          // by incarnation
	budget  *retry.Window
	pace    pace
}

func newPool(s catalog.Service, budget retry.Policy) *pool {
	return &pool{service: s, engines: make(map[string]*engine), budget: retry.NewWindow(budget), pace: newPace()}
}

// set takes over what is registered of an engine.
func (p *pool) set(r registry.Engine) {
	e, ok := p.engines[r.ID]
	if !ok {
		e = &engine{kept: make(kept)}
		p.engines[r.ID] = e
		at, _ := slices.BinarySearchFunc(p.ordered, r.ID, func(o *engine, id string) int { return cmp.Compare(o.ID, id) })
		p.ordered = slices.Insert(p.ordered, at, e)
	}
	e.Engine = r
}

// drop forgets the engines that are no longer registered and have nothing of
// this gateway.
func (p *pool) drop(seen map[string]bool, now time.Time) {
	for id, e := range p.engines {
		e.kept.forget(now)
		if !seen[id] && e.inFlight == 0 {
			delete(p.engines, id)
			p.ordered = slices.DeleteFunc(p.ordered, func(o *engine) bool { return o == e })
		}
	}
}

// pace is how fast the engines of a service work, as learned from requests.
type pace struct {
	tokensPerMS float64 // of prompt, read
}

// firstPace is assumed until requests tell: an engine of two current
// accelerators reads some 30 tokens of prompt in a millisecond.
const firstPace = 30

func newPace() pace { return pace{tokensPerMS: firstPace} }

// reading gives how long an engine reads so many tokens.
func (p pace) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.tokensPerMS * float64(time.Millisecond))
}

// score is the expectation for one engine; the lowest is chosen.
type score struct {
	wait    time.Duration // until the first event, or the answer's start
	crowd   float64       // share of slots taken
	kept    int           // tokens of the prompt believed kept
	rank    uint64
	silence bool // not heard lately: used only where nothing else can be
}

func (s score) less(o score) bool {
	if s.silence != o.silence {
		return !s.silence
	}
	if s.wait != o.wait {
		return s.wait < o.wait
	}
	return s.rank > o.rank
}

// String is what the log shows.
func (s score) String() string {
	return fmt.Sprintf("wait=%v crowd=%.2f kept=%d silent=%t", s.wait.Round(time.Millisecond), s.crowd, s.kept, s.silence)
}

// crowdTime is what a full batch costs a new request beside its own reading: its
// events come slower, and less room is left for the next burst.
const crowdTime = 100 * time.Millisecond

func (p *pool) score(e *engine, ask Ask, now time.Time) score {
	s := score{silence: e.Phase == registry.Silent}
	s.crowd = float64(e.inFlight) / float64(max(1, e.Slots))
	s.wait = time.Duration(s.crowd * float64(crowdTime))
	key := ask.ID
	if ask.Prompt.TokensIn > 0 {
		s.kept = e.kept.tokens(ask.Prompt, now)
		s.wait += p.pace.reading(e.unread + ask.Prompt.TokensIn - s.kept)
		if affinity := ask.Prompt.affinity(); affinity != "" {
			key = affinity
		}
	}
	s.rank = rank(key, e.ID)
	return s
}

func (p *pool) grant(d *Dispatcher, e *engine, ask Ask, why string, now time.Time) *Ticket {
	t := &Ticket{
		Engine: e.ID, Address: e.Address, Why: why, Cold: d.isCold(p, e, now),
		dispatcher: d, pool: p, engine: e, began: now,
	}
	if ask.Prompt.TokensIn > 0 {
		t.unread = max(0, ask.Prompt.TokensIn-e.kept.tokens(ask.Prompt, now))
		e.kept.note(ask.Prompt, now)
	}
	e.inFlight++
	e.unread += t.unread
	if t.Cold {
		e.warmNext = now.Add(time.Duration(float64(time.Second) / p.service.ColdRate))
	}
	return t
}

// Ticket is the right to send one request to one engine.
type Ticket struct {
	Engine  string // incarnation
	Address string
	Why     string // it was chosen
	Cold    bool

	dispatcher *Dispatcher
	pool       *pool
	engine     *engine
	began      time.Time
	unread     int
}

// Outcome says how a ticket ended.
type Outcome uint8

// The outcomes.
const (
	Answered    Outcome = iota
	Failed              // connection error, broken or wrong answer
	Shed                // the engine refused for load
	Misdirected         // another incarnation answered
	Abandoned           // the caller went away: says nothing of the engine
)

// String gives the word used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "shed", "misdirected", "abandoned"}[o]
}

// Begun notes the first event: the prompt has been read.
func (t *Ticket) Begun() {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	t.engine.unread -= t.unread
	t.unread = 0
}

// avoidBase is how long an engine is avoided after a failure; it doubles with
// each in a row up to avoidMost.
const (
	avoidBase = 250 * time.Millisecond
	avoidMost = 4 * time.Second
	shedTime  = 150 * time.Millisecond
)

// Done gives the ticket back. It must be called exactly once.
func (t *Ticket) Done(outcome Outcome) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	e := t.engine
	e.inFlight--
	e.unread -= t.unread
	t.unread = 0
	switch outcome {
	case Answered:
		e.failures = 0
	case Failed:
		e.failures++
		e.avoidUntil = now.Add(min(avoidBase<<min(e.failures-1, 10), avoidMost))
		d.Log.Warn("engine avoided", zap.String("engine", e.ID), zap.String("address", e.Address), zap.Int("failures", e.failures), zap.Duration("for", e.avoidUntil.Sub(now)))
	case Shed:
		e.avoidUntil = now.Add(shedTime)
	case Misdirected:
		e.misdirected = true
	case Abandoned:
	}
}

// Retry spends one of the sends that the service may get beyond the first of
// each request, or tells that there is none.
func (d *Dispatcher) Retry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[service]
	return ok && p.budget.Take(d.Clock(), len(d.Peers()))
}

// First counts a request's first send to a service.
func (d *Dispatcher) First(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[service]; ok {
		p.budget.First(d.Clock())
	}
}

func contains(all []string, one string) bool { return slices.Contains(all, one) }

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
