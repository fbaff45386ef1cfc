// This file defines each gateway's share of a limit.

package ratelimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/internal/rendezvous"
)

const (
	// minShare is the smallest share of a gateway that has one, in requests per second.
	// A share of this size is used by the gateway's callers, and accumulates a request
	// within a second: with an equal share for each of many gateways, none would ever
	// send one (TestSharingStrategies).
	minShare = 1.0
	// minRate is the rate, in requests per second, for an engine that names a lower limit
	// or zero: only a response can show that the engine is no longer overloaded.
	minRate = 0.25
	// burstPeriod is the period over which an unused share accumulates. extraBurst is
	// what accumulates in addition, in requests, over all gateways together: if each
	// could accumulate only one request, much of a share would be lost by chance
	// (TestSharingStrategies). Within 4 s, an engine thus receives at most what
	// its limit allows in 5 s and one request, plus what gateways that haven't yet received
	// a change send within a second of it.
	burstPeriod = time.Second
	extraBurst  = 1.0
	// memberTimeout is how long a gateway that is no longer listed still counts as a
	// member: for up to 1.5 s after their own start, control hosts list only the gateways
	// that they have heard from so far.
	memberTimeout = 2 * time.Second
)

// members is the set of gateways that share the limits. The zero value is empty.
type members struct {
	lastSeen map[uint64]time.Time // by hash of the name: when it was last listed
	hashes   []uint64             // of the current members, sorted
	version  int                  // changes whenever hashes does
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// update marks the listed gateways as seen now, and drops those that were not seen for
// memberTimeout.
func (m *members) update(names []string, now time.Time) {
	if m.lastSeen == nil {
		m.lastSeen = make(map[uint64]time.Time)
	}
	for _, name := range names {
		m.lastSeen[hashOf(name)] = now
	}
	var hashes []uint64
	for hash, at := range m.lastSeen {
		if now.Sub(at) > memberTimeout {
			delete(m.lastSeen, hash)
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

// sharerCount returns the number of gateways that share a limit.
func (m *members) sharerCount(perSecond float64) int {
	return max(1, min(int(perSecond/minShare), len(m.hashes)))
}

// isSharer reports whether a gateway is among the first count members in the rendezvous
// order for an engine.
func (m *members) isSharer(gateway, engine uint64, count int) bool {
	rank := rendezvous.Rank(engine, gateway)
	ahead, listed := 0, false
	for _, hash := range m.hashes {
		if hash == gateway {
			listed = true
		} else if rendezvous.Rank(engine, hash) > rank {
			ahead++
		}
	}
	return listed && ahead < count
}

// bucket is a token bucket with one token per request. The zero value is empty and never
// refills.
type bucket struct {
	rate       float64 // tokens per second
	capacity   float64 // tokens
	tokens     float64
	refilledAt time.Time
}

// setRate changes the rate and the capacity from now on. It keeps the tokens that fit.
func (b *bucket) setRate(rate, capacity float64, now time.Time) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}

// wholeToken is the amount from which on a token counts as whole, because sums of
// fractions are not exact.
const wholeToken = 1 - 1e-9

func (b *bucket) allows(now time.Time) bool {
	b.refill(now)
	return b.tokens >= wholeToken
}

func (b *bucket) take(now time.Time) {
	b.refill(now)
	b.tokens--
}

func (b *bucket) refund(now time.Time) {
	b.refill(now)
	b.tokens = min(b.capacity, b.tokens+1)
}

// delay returns how long it takes until the next request is allowed, and whether it ever
// is.
func (b *bucket) delay(now time.Time) (time.Duration, bool) {
	if b.allows(now) {
		return 0, true
	}
	if b.rate <= 0 {
		return 0, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), true
}
