// This file defines prompts and the estimate of what engines keep of them.

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
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

// rank orders engines for a key: every gateway gives the same engine the
// highest rank (rendezvous hashing; Thaler and Ravishankar, 1998).
func rank(key, engine string) uint64 {
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

// kept remembers which parts this gateway has sent to one engine, and when.
type kept map[string]time.Time

// note remembers the parts of a prompt.
func (k kept) note(p Prompt, now time.Time) {
	for _, part := range p.Parts {
		k[part.ID] = now
	}
}

// tokens gives how many tokens of the prompt's beginning are believed kept.
func (k kept) tokens(p Prompt, now time.Time) int {
	n := 0
	for _, part := range p.Parts {
		at, ok := k[part.ID]
		if !ok || now.Sub(at) > keepTime {
			break
		}
		n += part.Tokens
	}
	return n
}

// forget drops what is no longer believed.
func (k kept) forget(now time.Time) {
	for id, at := range k {
		if now.Sub(at) > keepTime {
			delete(k, id)
		}
	}
}
