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

// sharedBlocks gives the parts that other requests have too.
func (p Prompt) sharedBlocks() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// sharedTokens counts the tokens of the shared parts.
func (p Prompt) sharedTokens() int {
	n := 0
	for _, block := range p.sharedBlocks() {
		n += block.Tokens
	}
	return n
}

// Affinity gives the key by which gateways agree on an engine: the deepest
// shared part, which stands for all before it.
func (p Prompt) Affinity() string {
	if shared := p.sharedBlocks(); len(shared) > 0 {
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

// cacheLifetime is how long a part is believed to be kept after its last use. What
// is used less often gives way to other prompts.
const cacheLifetime = 40 * time.Second

// cachedBlocks remembers which parts were sent to one engine lately, and when; by hash,
// as gateways tell each other.
type cachedBlocks map[uint32]time.Time

// hashBlock gives a part's hash. Two parts that share one cost a wrong guess.
func hashBlock(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// record remembers the parts of a prompt.
func (b cachedBlocks) record(p Prompt, now time.Time) {
	for _, block := range p.Parts {
		b[hashBlock(block.ID)] = now
	}
}

// tokens gives how many tokens of the prompt's beginning are believed kept: up to
// the last part that is, for a part is only kept with all before it.
func (b cachedBlocks) tokens(p Prompt, now time.Time) int {
	n, total := 0, 0
	for _, block := range p.Parts {
		total += block.Tokens
		if b.has(hashBlock(block.ID), now) {
			n = total
		}
	}
	return n
}

// has tells whether a part is believed kept.
func (b cachedBlocks) has(block uint32, now time.Time) bool {
	at, ok := b[block]
	return ok && now.Sub(at) <= cacheLifetime
}

// removeExpired drops what is no longer believed.
func (b cachedBlocks) removeExpired(now time.Time) {
	for id, at := range b {
		if now.Sub(at) > cacheLifetime {
			delete(b, id)
		}
	}
}

// sentBlock is a shared part that this gateway has sent to an engine.
type sentBlock struct {
	at     time.Time
	block  uint32
	engine uint64
}

const (
	// sentBlockTTL is how long a part that was sent is told to the other gateways:
	// four reports, any of which may be lost. Where leaders pass them on, every part
	// takes 14 bytes of a message for each gateway and 0.1 s.
	sentBlockTTL = 400 * time.Millisecond
	// minSharedTokens is how many tokens are worth telling of.
	minSharedTokens = 500
)

// recordSentBlock remembers the deepest shared part of a prompt to be told. The
// dispatcher's lock is held.
func (d *Dispatcher) recordSentBlock(p Prompt, e *engine, now time.Time) {
	if key := p.Affinity(); key != "" && p.sharedTokens() >= minSharedTokens {
		d.sentBlocks = append(d.sentBlocks, sentBlock{now, hashBlock(key), e.hash})
	}
}

// recentSentBlocks gives the parts to tell, and forgets those told for long enough.
func (d *Dispatcher) recentSentBlocks(now time.Time) []rollup.SentPart {
	d.sentBlocks = slices.DeleteFunc(d.sentBlocks, func(s sentBlock) bool { return now.Sub(s.at) > sentBlockTTL })
	out := make([]rollup.SentPart, len(d.sentBlocks))
	for i, s := range d.sentBlocks {
		out[i] = rollup.SentPart{Part: s.block, Engine: s.engine}
	}
	return out
}
