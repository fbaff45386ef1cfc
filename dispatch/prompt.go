// This file defines prompts and the estimate of what engines keep of them.

package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/rollup"
)

// Prompt is what a request tells of its prompt. The zero value is a request
// that has none.
type Prompt struct {
	Model     string
	TokensIn  int
	TokensOut int // expected
	Parts     []Part
}

// Part is one part of a prompt, in order. All but the last are shared among
// requests.
type Part struct {
	ID     string
	Tokens int
}

// shared gives the parts that other requests have too.
func (p Prompt) shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// sharedTokens counts the tokens of the shared parts.
func (p Prompt) sharedTokens() int {
	n := 0
	for _, part := range p.shared() {
		n += part.Tokens
	}
	return n
}

// Affinity gives the key by which gateways agree on an engine: the deepest
// shared part, which stands for all before it.
func (p Prompt) Affinity() string {
	if shared := p.shared(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return ""
}

// Rank orders engines for a key: every gateway gives the same engine the
// highest rank (rendezvous hashing; Thaler and Ravishankar, 1998).
func Rank(key, engine string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(engine)
	return d.Sum64()
}

// keepTime is how long a part is believed to be kept after its last use. What
// is used less often gives way to other prompts.
const keepTime = 40 * time.Second

// kept remembers which parts were sent to one engine lately, and when; by hash,
// as gateways tell each other.
type kept map[uint32]time.Time

// hashPart gives a part's hash. Two parts that share one cost a wrong guess.
func hashPart(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// note remembers the parts of a prompt.
func (k kept) note(p Prompt, now time.Time) {
	for _, part := range p.Parts {
		k[hashPart(part.ID)] = now
	}
}

// tokens gives how many tokens of the prompt's beginning are believed kept: up to
// the last part that is, for a part is only kept with all before it.
func (k kept) tokens(p Prompt, now time.Time) int {
	n, total := 0, 0
	for _, part := range p.Parts {
		total += part.Tokens
		if k.has(hashPart(part.ID), now) {
			n = total
		}
	}
	return n
}

// has tells whether a part is believed kept.
func (k kept) has(part uint32, now time.Time) bool {
	at, ok := k[part]
	return ok && now.Sub(at) <= keepTime
}

// forget drops what is no longer believed.
func (k kept) forget(now time.Time) {
	for id, at := range k {
		if now.Sub(at) > keepTime {
			delete(k, id)
		}
	}
}

// sent is a shared part that this gateway has sent to an engine.
type sent struct {
	at     time.Time
	part   uint32
	engine uint64
}

const (
	// sentLife is how long a part that was sent is told to the other gateways:
	// four reports, any of which may be lost. Where leaders pass them on, every part
	// takes 14 bytes of a message for each gateway and 0.1 s.
	sentLife = 400 * time.Millisecond
	// leastShared is how many tokens are worth telling of.
	leastShared = 500
)

// noteSent remembers the deepest shared part of a prompt to be told. The
// dispatcher's lock is held.
func (d *Dispatcher) noteSent(p Prompt, e *engine, now time.Time) {
	if key := p.Affinity(); key != "" && p.sharedTokens() >= leastShared {
		d.sent = append(d.sent, sent{now, hashPart(key), e.hash})
	}
}

// recentlySent gives the parts to tell, and forgets those told for long enough.
func (d *Dispatcher) recentlySent(now time.Time) []rollup.SentPart {
	d.sent = slices.DeleteFunc(d.sent, func(s sent) bool { return now.Sub(s.at) > sentLife })
	out := make([]rollup.SentPart, len(d.sent))
	for i, s := range d.sent {
		out[i] = rollup.SentPart{Part: s.part, Engine: s.engine}
	}
	return out
}
