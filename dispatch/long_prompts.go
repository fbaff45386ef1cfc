// This file defines how a gateway keeps long prompts apart from other requests.

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/sizeclass"
)

// longPrompts is the state of a pool's long prompts. The Dispatcher's lock guards it.
type longPrompts struct {
	own     decayingRate        // their tokens that this gateway has sent to engines
	others  float64             // the same of the region's other gateways, per second
	readers []*engine           // the engines set apart for them, as of the last refresh
	shares  map[*engine]float64 // of their time that the readers need for them
}

// longPromptWindow is the time constant of the rate of long prompts. They are few, so a rate
// over less would vary with each; over more, the set would follow a peak too late.
const longPromptWindow = 4 * time.Second

// isLong reports whether the request's prompt is long for the service. What other requests
// share of it doesn't count: some engine has it cached, or will.
func (p *pool) isLong(req Request) bool {
	return p.keepsLongApart() && sizeclass.IsLong(p.throughput.current().readTime(req.Prompt.InputTokens-req.Prompt.sharedTokens()), p.maxPause)
}

func (p *pool) keepsLongApart() bool { return p.service.Model != nil && p.maxPause > 0 }

// updateReaders sets the engines apart that the long prompts need.
func (d *Dispatcher) updateReaders(p *pool, now time.Time) {
	l, before := &p.long, len(p.long.readers)
	l.readers, l.shares = l.readers[:0], nil
	work := (l.own.perSecond(now) + l.others) * p.throughput.current().ReadPerToken.Seconds()
	if p.keepsLongApart() && work >= minLongWork {
		d.setApart(p, work, now)
	}
	if len(l.readers) != before {
		d.Log.Info("engines set apart for long prompts", zap.String("service", p.service.Name), zap.Int("engines", len(l.readers)), zap.Int("of", len(p.usable)), zap.Float64("work", work))
	}
}

// setApart sets engines apart for so much work.
func (d *Dispatcher) setApart(p *pool, work float64, now time.Time) {
	l := &p.long
	var usable []*engine
	var described []sizeclass.Engine
	for _, e := range p.usable {
		if d.exclusionOf(p, e, now) == "" && !d.isCold(p, e, now) {
			usable = append(usable, e)
			described = append(described, sizeclass.Engine{Hash: e.addressHash, Speed: e.speed(now)})
		}
	}
	l.shares = make(map[*engine]float64)
	for i, share := range sizeclass.Set(described, work) {
		l.readers = append(l.readers, usable[i])
		l.shares[usable[i]] = share
	}
	slices.SortFunc(l.readers, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// minLongWork is the share of one engine's time below which no engine is set apart.
const minLongWork = 0.01

// recordLongPrompt counts a long prompt that was sent to an engine.
func (p *pool) recordLongPrompt(req Request, unread int, now time.Time) {
	if p.isLong(req) {
		p.long.own.window = longPromptWindow
		p.long.own.add(float64(unread), now)
	}
}

// longReads returns this gateway's report of its long prompts.
func (d *Dispatcher) longReads(now time.Time) []rollup.ServiceWork {
	var out []rollup.ServiceWork
	for name, p := range d.pools {
		if tokens := int(p.long.own.perSecond(now)); tokens > 0 {
			out = append(out, rollup.ServiceWork{Service: hashBlock(name), Tokens: tokens})
		}
	}
	return out
}

// applyLongReads applies the other gateways' reports of long prompts.
func (d *Dispatcher) applyLongReads(others rollup.PeerTotals) {
	for name, p := range d.pools {
		p.long.others = float64(max(0, others.LongReads[hashBlock(name)].Tokens))
	}
}
