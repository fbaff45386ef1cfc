// This file defines prompts and the estimate of what engines have cached of them.

package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/rollup"
)

// Prompt describes the prompt of a request. The zero value describes a request without
// one.
type Prompt struct {
	Model        string
	InputTokens  int
	OutputTokens int // expected length of the answer
	Blocks       []Block
}

// Block is one block of a prompt. All blocks but the last are shared among requests.
type Block struct {
	ID     string
	Tokens int
}

// sharedBlocks returns the blocks that other requests have too.
func (p Prompt) sharedBlocks() []Block {
	if len(p.Blocks) == 0 {
		return nil
	}
	return p.Blocks[:len(p.Blocks)-1]
}

// sharedTokens returns the number of tokens of the shared blocks.
func (p Prompt) sharedTokens() int {
	n := 0
	for _, block := range p.sharedBlocks() {
		n += block.Tokens
	}
	return n
}

// maxLoggedParts bounds the IDs that SharedIDs returns.
const maxLoggedParts = 8

// SharedIDs returns the IDs of the first shared blocks, separated by commas, for logs.
func (p Prompt) SharedIDs() string {
	var ids []string
	for _, block := range p.sharedBlocks() {
		if len(ids) < maxLoggedParts {
			ids = append(ids, block.ID)
		}
	}
	return strings.Join(ids, ",")
}

// AffinityKey returns the key by which gateways agree on an engine: the ID of the deepest
// shared block, which implies all before it; "" if no block is shared.
func (p Prompt) AffinityKey() string {
	if shared := p.sharedBlocks(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return ""
}

// Rank returns the rank of an engine, gateway or region for a key. All gateways compute
// the same ranks (rendezvous hashing; Thaler and Ravishankar, 1998).
func Rank(key, engine string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(engine)
	return d.Sum64()
}

// cacheLifetime is how long a block is assumed to stay cached after its last use. Engines
// evict blocks that are used less often.
const cacheLifetime = 40 * time.Second

// cachedBlocks holds the blocks recently sent to one engine, by hash, and when they were
// last sent.
type cachedBlocks map[uint32]time.Time

// hashBlock returns the hash of a block's ID. A collision only causes a wrong estimate.
func hashBlock(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// record records that a prompt's blocks were sent.
func (b cachedBlocks) record(p Prompt, now time.Time) {
	for _, block := range p.Blocks {
		b[hashBlock(block.ID)] = now
	}
}

// tokens returns how many tokens at the beginning of the prompt are probably cached:
// those up to the last known block, since a block is only cached with all before it.
func (b cachedBlocks) tokens(p Prompt, now time.Time) int {
	n, total := 0, 0
	for _, block := range p.Blocks {
		total += block.Tokens
		if b.has(hashBlock(block.ID), now) {
			n = total
		}
	}
	return n
}

// has reports whether a block is probably cached.
func (b cachedBlocks) has(block uint32, now time.Time) bool {
	at, ok := b[block]
	return ok && now.Sub(at) <= cacheLifetime
}

// removeExpired removes blocks that are probably evicted.
func (b cachedBlocks) removeExpired(now time.Time) {
	for id, at := range b {
		if now.Sub(at) > cacheLifetime {
			delete(b, id)
		}
	}
}

// sentBlock is a shared block that this gateway has sent to an engine.
type sentBlock struct {
	at     time.Time
	block  uint32
	engine uint64
}

const (
	// sentBlockTTL is how long a sent block is reported to the other gateways: in four
	// reports, any of which may be lost. Where group leaders forward the reports, each
	// block takes 14 bytes of a message for each gateway and 0.1 s.
	sentBlockTTL = 400 * time.Millisecond
	// minSharedTokens is the smallest number of shared tokens worth reporting.
	minSharedTokens = 500
)

// sentBlockInterval is how long after a block was reported as sent to an engine, by this gateway
// or another, this one doesn't report it again. It is assumed to be cached for much longer. With
// a report for each send, the reports of a region would grow with its requests, and fill the
// links of leaders when callers need them.
const sentBlockInterval = cacheLifetime / 4

// recordSentBlock records the deepest shared block of a prompt for the next reports. The
// dispatcher's lock is held.
func (d *Dispatcher) recordSentBlock(p Prompt, e *engine, now time.Time) {
	key := p.AffinityKey()
	if key == "" || p.sharedTokens() < minSharedTokens {
		return
	}
	sent := rollup.SentBlock{Block: hashBlock(key), Engine: e.hash}
	if at, known := d.reportedBlocks[sent]; !known || now.Sub(at) > sentBlockInterval {
		d.reportedBlocks[sent] = now
		d.sentBlocks = append(d.sentBlocks, sentBlock{now, sent.Block, sent.Engine})
	}
}

// forgetReportedBlocks removes blocks that would be reported again. The lock is held.
func (d *Dispatcher) forgetReportedBlocks(now time.Time) {
	maps.DeleteFunc(d.reportedBlocks, func(_ rollup.SentBlock, at time.Time) bool { return now.Sub(at) > sentBlockInterval })
}

// recentSentBlocks removes blocks that were reported for long enough, and returns the
// others.
func (d *Dispatcher) recentSentBlocks(now time.Time) []rollup.SentBlock {
	d.sentBlocks = slices.DeleteFunc(d.sentBlocks, func(s sentBlock) bool { return now.Sub(s.at) > sentBlockTTL })
	out := make([]rollup.SentBlock, len(d.sentBlocks))
	for i, s := range d.sentBlocks {
		out[i] = rollup.SentBlock{Block: s.block, Engine: s.engine}
	}
	return out
}
