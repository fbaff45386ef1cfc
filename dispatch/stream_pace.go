// This file records how fast engines stream their answers.

package dispatch

import "time"

// paceInterval is how often the pace of a stream is recorded: often enough for estimates
// that follow an engine within a second, and seldom enough that it costs next to nothing.
const paceInterval = 250 * time.Millisecond

// streamPace is the pace of one stream since it was last recorded. It belongs to the
// goroutine that relays the answer.
type streamPace struct {
	since  time.Time // zero before the first event
	events int       // after since
}

// recordStreamed records the pace of a whole answer, by its expected length, where it isn't
// known how many tokens an event has. The dispatcher's lock is held.
func (t *Ticket) recordStreamed(end time.Time) {
	if model := t.pool.service.Model; model != nil && model.EventTokens == 0 {
		t.engine.speeds.own.ObserveTokens(t.outputTokens, end.Sub(t.firstEventAt), end)
	}
}

// RecordEvents records that events of a stream have arrived from the engine. delayed is true
// if this gateway didn't read the stream all the time before: then they say nothing about
// the engine. It isn't safe for concurrent use.
func (t *Ticket) RecordEvents(events int, delayed bool) {
	model := t.pool.service.Model
	if model == nil || model.EventTokens == 0 {
		return
	}
	d := t.dispatcher
	now := d.Clock()
	if t.pace.since.IsZero() || delayed {
		t.pace = streamPace{since: now}
		return
	}
	t.pace.events += events
	took := now.Sub(t.pace.since)
	if took < paceInterval {
		return
	}
	tokens, since := t.pace.events*model.EventTokens, t.pace.since
	t.pace = streamPace{since: now}
	if d.wasSuspended(since) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.engine.speeds.own.ObserveTokens(tokens, took, now)
}
