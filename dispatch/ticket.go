// This file defines tickets and what their ends teach.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
)

// Ticket is the right to send one request to one engine.
type Ticket struct {
	Engine  string // incarnation
	Address string
	Why     string // it was chosen
	Cold    bool
	Wait    time.Duration // expected until the answer begins
	// CopyFrom is the address of an engine that keeps the prompt's shared parts, which
	// this one copies; "" where it reads them, or keeps them itself.
	CopyFrom string

	dispatcher   *Dispatcher
	pool         *pool
	engine       *engine
	sentAt       time.Time
	firstEventAt time.Time // when the answer began, of one that teaches
	load         Load      // that the request adds
	readTokens   float64   // tokens to be read until its first event
	outputTokens int       // tokens expected of its answer
	queued       bool      // every slot was taken
	route        string
	// fingerprint is the same for each repeat of the request.
	fingerprint quarantine.Fingerprint
	// limit is what was known of the limit that the engine names; nil where it names none.
	limit *ratelimit.Status
	// trial is true for the one request that shows whether the engine takes any after a rest.
	trial bool
}

// issueTicket gives a ticket for an engine. The dispatcher's lock is held.
func (d *Dispatcher) issueTicket(p *pool, e *engine, req Ask, s score, now time.Time) *Ticket {
	t := &Ticket{
		Engine: e.ID, Address: e.Address, Why: s.String(), Cold: d.isCold(p, e, now), Wait: s.wait,
		dispatcher: d, pool: p, engine: e, sentAt: now, load: Load{Requests: 1}, route: req.Route, outputTokens: req.Prompt.TokensOut, queued: s.load.Requests >= e.Slots, fingerprint: req.Fingerprint,
	}
	if s.transferred > 0 {
		t.CopyFrom = s.source.Address
	}
	if p.service.Model != nil {
		t.load.Unread = max(0, req.Prompt.TokensIn-s.cached)
		t.readTokens = float64(s.load.Unread + t.load.Unread)
		t.load.Reserved = req.Prompt.TokensIn + req.Prompt.TokensOut
		e.readRate.add(float64(t.load.Unread), now)
		p.recordPrompt(e, req.Prompt, now)
		d.recordSentBlock(req.Prompt, e, now)
	}
	e.ownLoad = e.ownLoad.plus(t.load)
	d.quarantine.Begin(req.Fingerprint)
	d.chargeLimits(t, now)
	d.beginPushback(t, now)
	if t.Cold {
		e.nextWarmRequest = now.Add(time.Duration(float64(time.Second) / p.service.ColdRate))
	}
	return t
}

// take takes a load away.
func (l Load) minus(o Load) Load {
	return l.plus(Load{-o.Requests, -o.Unread, -o.Reserved, -o.ReadRate})
}

// Begun notes the first byte of the answer: the prompt has been read. It gives
// the time that this took. served is false for a failure of the engine's own, which
// tells nothing of its speed.
func (t *Ticket) Begun(served bool) time.Duration {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	t.engine.lastHeard = now
	d.crashDetector.Answers(t.engine.Incarnation(), t.sentAt)
	t.engine.ownLoad.Unread -= t.load.Unread
	t.load.Unread = 0
	if served {
		t.firstEventAt = now
		t.recordFirstEvent(now)
	}
	return now.Sub(t.sentAt)
}

// Outcome says how a ticket ended.
type Outcome uint8

// The outcomes.
const (
	Answered    Outcome = iota
	Failed              // a wrong answer, none in time, or the engine's own failure
	Unreached           // no connection could be opened
	Shed                // the engine refused for load
	Misdirected         // another incarnation answered
	Abandoned           // the caller went away: says nothing of the engine
	Broken              // the connection ended before the answer did
	Unsent              // nothing was sent: the engine wanted nothing any more
)

// String gives the word used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "unreached", "shed", "misdirected", "abandoned", "broken", "unsent"}[o]
}

const (
	// minConnectBackoff is how long an engine is avoided that couldn't be connected
	// to; it doubles with each time in a row up to maxConnectBackoff.
	minConnectBackoff = 300 * time.Millisecond
	maxConnectBackoff = 4 * time.Second
	// shedExclusionTime is how long an engine is avoided that refused for load and doesn't say for how
	// long it wants nothing.
	shedExclusionTime = 150 * time.Millisecond
)

// Done gives the ticket back. It must be called exactly once.
func (t *Ticket) Done(outcome Outcome) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	e := t.engine
	e.ownLoad = e.ownLoad.minus(t.load)
	d.quarantine.End(t.fingerprint, outcome == Answered, now)
	if t.trial {
		d.pushback.End(e.hash)
	}
	switch outcome {
	case Answered:
		t.pool.recordOutcome(e, t.route, false, now)
		e.connectFailures = 0
		e.lastHeard = now
		t.recordCompletion(now)
	case Failed:
		t.pool.recordOutcome(e, t.route, true, now)
	case Broken:
		t.pool.recordOutcome(e, t.route, true, now)
		t.recordBroken(now)
	case Unreached:
		e.connectFailures++
		e.connectFailedAt = now
		e.exclude(now.Add(min(minConnectBackoff<<min(e.connectFailures-1, 10), maxConnectBackoff)))
		d.Log.Warn("engine avoided", zap.String("engine", e.ID), zap.String("address", e.Address), zap.Int("unreached", e.connectFailures), zap.Duration("for", e.excludedUntil.Sub(now)))
	case Shed:
		e.exclude(now.Add(shedExclusionTime))
	case Misdirected:
		e.replaced, e.replacedAt = true, now
		d.engineCrashed(e.Incarnation(), "another answers at its address", now)
		d.Log.Warn("engine replaced", zap.String("engine", e.ID), zap.String("address", e.Address))
	case Unsent:
		d.limits.GiveBack(e.hash, now)
	case Abandoned:
	}
}

// Retry spends one of the sends that the service may get beyond the first of
// each request, or tells that there is none.
func (d *Dispatcher) Retry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[service]
	return ok && p.retryBudget.Take(d.Clock(), len(d.Peers()))
}

// First counts a request's first send to a service.
func (d *Dispatcher) First(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[service]; ok {
		p.retryBudget.First(d.Clock())
	}
}
