// This file defines which part of a limit each gateway has.

package ratelimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/internal/rendezvous"
)

const (
	// shareLeast is what a gateway that has a share gets at least, in requests a second, so
	// that its callers ask for as much, and it needn't save up for longer than a second: with an
	// equal part for each of many gateways, none would ever send anything
	// (TestOtherWaysOfSharing).
	shareLeast = 1.0
	// leastRate is what an engine gets that takes less, or nothing, in requests a second: no
	// other way tells that its need is over.
	leastRate = 0.25
	// keptOver is over which time a share that isn't used is kept, and keptBeside what is kept
	// beside, in requests, over all gateways together: where each keeps one request only, chance
	// wastes much of a share (TestOtherWaysOfSharing). Within 4 s an
	// engine so gets 5 times its limit and one request at most; what gateways that don't
	// know of a change yet send beside, within a second of it, comes on top.
	keptOver   = time.Second
	keptBeside = 1.0
	// absentFor is how long a gateway that is no longer named still counts: control hosts that
	// have just started name gateways as they hear them, for up to 1.5 s.
	absentFor = 2 * time.Second
)

// members are the gateways that share the limits. The zero value has none.
type members struct {
	seen    map[uint64]time.Time // by hash of the name: when it was last named
	hashes  []uint64             // that count, in order
	version int                  // changes with the hashes
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// take takes over the names of those that are there.
func (m *members) take(names []string, now time.Time) {
	if m.seen == nil {
		m.seen = make(map[uint64]time.Time)
	}
	for _, name := range names {
		m.seen[hashOf(name)] = now
	}
	var hashes []uint64
	for hash, at := range m.seen {
		if now.Sub(at) > absentFor {
			delete(m.seen, hash)
			continue
		}
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	if !slices.Equal(hashes, m.hashes) {
		m.hashes = hashes
		m.version++
	}
}

// sharers is how many gateways share a limit.
func (m *members) sharers(perSecond float64) int {
	return max(1, min(int(perSecond/shareLeast), len(m.hashes)))
}

// has tells whether a gateway is among the first so many in rank for an engine.
func (m *members) has(gateway, engine uint64, first int) bool {
	mine := rendezvous.Rank(engine, gateway)
	before, named := 0, false
	for _, hash := range m.hashes {
		if hash == gateway {
			named = true
		} else if rendezvous.Rank(engine, hash) > mine {
			before++
		}
	}
	return named && before < first
}

// bucket is a share that fills with time. The zero value is empty, and fills at no rate.
type bucket struct {
	rate   float64 // requests a second
	most   float64 // that are kept
	tokens float64
	filled time.Time
}

// reshape takes over another rate from now on. What is kept stays, as far as it may.
func (b *bucket) reshape(rate, most float64, now time.Time) {
	b.fill(now)
	b.rate, b.most = rate, most
	b.tokens = min(b.tokens, most)
}

func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.tokens = min(b.most, b.tokens+b.rate*passed.Seconds())
		b.filled = now
	}
}

// fullShare is from which part of a token on it counts as whole: sums of parts are not exact.
const fullShare = 1 - 1e-9

func (b *bucket) allows(now time.Time) bool {
	b.fill(now)
	return b.tokens >= fullShare
}

func (b *bucket) take(now time.Time) {
	b.fill(now)
	b.tokens--
}

func (b *bucket) giveBack(now time.Time) {
	b.fill(now)
	b.tokens = min(b.most, b.tokens+1)
}

// next gives how long it takes until the next request is allowed; false for never.
func (b *bucket) next(now time.Time) (time.Duration, bool) {
	if b.allows(now) {
		return 0, true
	}
	if b.rate <= 0 {
		return 0, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), true
}
