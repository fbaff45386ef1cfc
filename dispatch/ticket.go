// This file defines tickets, and how their outcomes update the estimates.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/ratelimit"
)

// Ticket permits sending one request to one engine.
type Ticket struct {
	Engine       string // ID of the engine
	Version      string // of the engine's software; "" if it reports none
	Address      string
	Explanation  string // score of the engine, for the log
	Cold         bool
	ExpectedWait time.Duration // expected time until the answer begins
	// TransferFrom is the address of the engine from which this one transfers the prompt's
	// shared blocks; "" if it reads them or has cached them itself.
	TransferFrom string

	dispatcher   *Dispatcher
	pool         *pool
	engine       *engine
	sentAt       time.Time
	firstEventAt time.Time // when the answer began; zero if it isn't used for estimates
	lastByteAt   time.Time // when the answer was complete; zero before that
	load         Load      // that the request adds to the engine
	readTokens   float64   // prompt tokens to read before the first event, including those of earlier requests
	outputTokens int       // expected length of the answer
	queued       bool      // no slot was free
	route        string
	// pace is how fast the answer arrives.
	pace streamPace
	// fingerprint is equal for all repeats of the request.
	fingerprint quarantine.Fingerprint
	// prompt is the prompt of the request, to find parts of prompts that crash engines.
	prompt     quarantine.Prompt
	partTrials []quarantine.Fingerprint // quarantined parts that the request tries
	begunAt    time.Time                // when the engine began an answer that isn't its own failure; zero before
	done       bool
	// limit is the state of the engine's rate limit; nil if it has none.
	limit *ratelimit.Status
	// trial marks the one request that tests whether the engine accepts requests after a
	// backoff.
	trial bool
	// served is set if the answer isn't a failure of the engine itself.
	served bool
	// canary is set if a rollout selected the request for the engine's version.
	canary bool
	// continues is set if the request continues a stream.
	continues bool
	// startedRollout is the ID of the service's rollout when the ticket was issued.
	startedRollout uint64
}

// issueTicket issues a ticket for an engine and counts its load. The dispatcher's lock is
// held.
func (d *Dispatcher) issueTicket(p *pool, e *engine, req Request, s score, now time.Time) *Ticket {
	e.use()
	t := &Ticket{
		Engine: e.ID, Version: e.Version, Address: e.Address, Explanation: s.String(), Cold: d.isCold(p, e, now), ExpectedWait: s.wait,
		dispatcher: d, pool: p, engine: e, sentAt: now, load: Load{Requests: 1}, route: req.Route, outputTokens: req.Prompt.OutputTokens, queued: s.load.Requests >= e.Slots, fingerprint: req.Fingerprint, prompt: req.quarantinePrompt(), continues: req.Origin != nil,
	}
	if p.rollout != nil {
		t.startedRollout, t.canary = p.rollout.ID, p.excludesVersion(e)
	}
	if s.transferred > 0 {
		t.TransferFrom = s.source.Address
	}
	if p.service.Model != nil {
		t.load.Unread = max(0, req.Prompt.InputTokens-s.cached)
		t.readTokens = float64(s.load.Unread + t.load.Unread)
		t.load.Reserved = req.Prompt.InputTokens + req.Prompt.OutputTokens
		e.readRate.add(float64(t.load.Unread), now)
		if shared := req.Prompt.sharedTokens(); shared > 0 {
			p.cachedShare.add(min(1, float64(s.known)/float64(shared)))
		}
		p.recordLongPrompt(req, t.load.Unread, now)
		p.recordPrompt(e, req.Prompt, now)
		d.recordSentBlock(req.Prompt, e, now)
	}
	e.ownLoad = e.ownLoad.plus(t.load)
	d.reported[e] = struct{}{}
	d.quarantine.Begin(req.Fingerprint)
	d.chargeLimits(t, now)
	d.beginPushback(t, now)
	if t.Cold {
		e.nextWarmRequest = now.Add(time.Duration(float64(time.Second) / p.service.ColdRate))
	}
	return t
}

// minus subtracts a load.
func (l Load) minus(o Load) Load {
	return l.plus(Load{-o.Requests, -o.Unread, -o.Reserved, -o.ReadRate})
}

// RecordFirstByte records the first byte of the answer: the prompt has been read. It
// returns the time since the ticket was issued. served is false if the answer is a failure
// of the engine itself, which says nothing about its throughput.
func (t *Ticket) RecordFirstByte(served bool) time.Duration {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	t.engine.lastHeard = now
	d.crashDetector.RecordAnswer(t.engine.Incarnation(), t.sentAt)
	t.engine.ownLoad.Unread -= t.load.Unread
	t.load.Unread = 0
	if served {
		t.firstEventAt, t.served = now, true
		t.recordBegun(now)
		t.recordFirstEvent(now)
		if counts := t.pool.countsFor(t.engine, t.route); counts != nil && t.startedRollout == t.pool.rollout.ID {
			counts.RecordFirst(now.Sub(t.sentAt))
		}
	}
	return now.Sub(t.sentAt)
}

// RecordLastByte records that the answer is complete. The engine has a free slot from then
// on, however long the caller takes to read the answer.
func (t *Ticket) RecordLastByte() {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	t.lastByteAt = d.Clock()
	t.releaseLoad()
}

// releaseLoad removes the ticket's load from the engine. The dispatcher's lock is held.
func (t *Ticket) releaseLoad() {
	t.engine.ownLoad = t.engine.ownLoad.minus(t.load)
	t.load = Load{}
	t.dispatcher.reported[t.engine] = struct{}{}
}

// Outcome is how a ticket ended.
type Outcome uint8

// Outcomes of a ticket.
const (
	Answered    Outcome = iota
	Failed              // wrong answer, no answer in time, or a failure of the engine itself
	Unreached           // no connection could be opened
	Shed                // the engine rejected the request because of overload
	Misdirected         // another incarnation answered
	Abandoned           // the caller disconnected or didn't read, which says nothing about the engine
	Broken              // the connection ended before the answer did
	Unsent              // nothing was sent: the engine stopped accepting requests
	Unconfirmed         // answered, but nothing showed whether the answer is complete
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "unreached", "shed", "misdirected", "abandoned", "broken", "unsent", "unconfirmed"}[o]
}

const (
	// minConnectBackoff is how long an engine is excluded after a failed connection. It
	// doubles with each consecutive failure up to maxConnectBackoff.
	minConnectBackoff = 300 * time.Millisecond
	maxConnectBackoff = 4 * time.Second
	// shedExclusionTime is how long an engine is excluded that rejected a request because
	// of overload without asking for a backoff.
	shedExclusionTime = 150 * time.Millisecond
)

// Done releases the ticket and records its outcome. It must be called exactly once.
func (t *Ticket) Done(outcome Outcome) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	e := t.engine
	t.releaseLoad()
	t.endPrompt(outcome, now)
	d.quarantine.End(t.fingerprint, outcome == Answered, now)
	if t.trial {
		d.pushback.End(e.hash)
	}
	t.countOutcome(outcome, now)
	switch outcome {
	case Answered, Unconfirmed:
		t.pool.recordOutcome(e, t.route, false, now)
		e.connectFailures = 0
		e.lastHeard = now
		if outcome == Answered { // an answer that was cut short would make the engine seem fast
			t.recordCompletion(now)
		}
	case Failed:
		// An answer that was due while this process was suspended is not the engine's
		// failure.
		if !d.wasSuspended(t.sentAt) {
			t.pool.recordOutcome(e, t.route, true, now)
		}
	case Broken:
		t.pool.recordOutcome(e, t.route, true, now)
		t.recordBroken(now)
	case Unreached:
		e.connectFailures++
		e.connectFailedAt = now
		e.exclude(now.Add(min(minConnectBackoff<<min(e.connectFailures-1, 10), maxConnectBackoff)))
		d.Log.Warn("engine excluded: connection failed", zap.String("engine", e.ID), zap.String("address", e.Address), zap.Int("unreached", e.connectFailures), zap.Duration("for", e.excludedUntil.Sub(now)))
	case Shed:
		e.exclude(now.Add(shedExclusionTime))
	case Misdirected:
		e.replaced, e.replacedAt = true, now
		d.engineCrashed(e.Incarnation(), "address answered by another incarnation", now)
		d.Log.Warn("engine replaced", zap.String("engine", e.ID), zap.String("address", e.Address))
	case Unsent:
		d.limits.ReturnToken(e.hash, now)
	case Abandoned:
	}
}

// Retry takes one send from the service's retry budget, which covers the sends beyond the
// first of each request. It returns false if the budget is used up.
func (d *Dispatcher) Retry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[service]
	return ok && p.retryBudget.TryRetry(d.Clock(), len(d.Peers()))
}

// CountFirstSend counts the first send of a request, which earns retry budget.
func (d *Dispatcher) CountFirstSend(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[service]; ok {
		p.retryBudget.CountFirstSend(d.Clock())
	}
}
