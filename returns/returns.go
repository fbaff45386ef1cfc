// Package returns decides when rejected callers return, and which of them go before newcomers.
//
// The load it answers is an overload of seconds, in which most callers are rejected and come
// back. If all are told the same time they come back as one wave, and whoever returns competes
// with newcomers as if for the first time, so that returning at once and often pays.
//
// A Book of each gateway spreads them instead. As many returns per second as a share of what
// the gateway has lately admitted of that kind get a promise: a time, one after the other, at
// which the request goes before newcomers of its kind. The times of more urgent kinds come
// first. All others are spread at random and return as newcomers. No room is kept for a promise:
// the request is admitted behind a longer queue than newcomers are, from shortly before its time
// until shortly after. One that returns earlier is a newcomer. Gateways tell each other their
// promises; whoever doesn't hear of one treats the request as a newcomer.
package returns

import (
	"math"
	"slices"
	"time"
)

const (
	// minFraction and maxFraction are the shares of a rejected caller's remaining time between
	// which it returns. A lack of room (a burst, a partition, a crash) usually lasts for
	// seconds, so that a caller who returns as soon as the queue it met has been served meets
	// the same queue again. Callers wait for at most a third of their time.
	minFraction = 0.20
	maxFraction = 0.33
	// promisedShare is the share of the admitted requests that may be promised returns. The
	// rest is left to newcomers, who come for the first time.
	promisedShare = 0.25
	// rateTime is the time constant of the measured admissions, that of a short overload.
	rateTime = time.Second
	// minRate is the promised returns per second below which none is promised.
	minRate = 0.1
	// early and keep bound when a promise counts, from early before its time until keep after.
	// early covers rounded times and the delays of reports; keep covers the caller's way.
	early = 100 * time.Millisecond
	keep  = 500 * time.Millisecond
	// queueFactor is how much longer a queue a promised return accepts than a newcomer: enough
	// to be admitted where newcomers fill the queue, and short enough that the caller, who has
	// waited already, doesn't wait as long again.
	queueFactor = 1.15
	// maxPromises bounds the promises in a Book, of all gateways together.
	maxPromises = 4096
	// reportTime is how long a promise is reported: in two or three reports, any of which may
	// be lost. maxReported bounds those in one report.
	reportTime  = 250 * time.Millisecond
	maxReported = 64
)

// Promise states that a request goes before newcomers of its kind when it returns on time.
type Promise struct {
	Request uint32 // hash of the request's fingerprint
	Kind    uint32 // hash of its service and priority
	Due     time.Time
}

func (p Promise) lapsed(now time.Time) bool { return now.Sub(p.Due) > keep }

func (p Promise) counts(now time.Time) bool { return p.Due.Sub(now) <= early && !p.lapsed(now) }

// Book holds the promises that a gateway knows. New makes one.
type Book struct {
	kinds    map[uint32]*kind
	promises map[uint32]Promise // by Promise.Request
	reported []reported
	counts   Counts
}

// Counts are numbers of promises since the start.
type Counts struct {
	Made   int // by this gateway
	Kept   int // admitted by this gateway
	Lapsed int // made or heard of, and not seen here in time
}

type kind struct {
	admitted  float64 // decaying count
	updatedAt time.Time
	next      time.Time // when the next return can be promised
}

type reported struct {
	Promise
	at time.Time // when it was made
}

// New returns an empty Book.
func New() *Book { return &Book{kinds: make(map[uint32]*kind), promises: make(map[uint32]Promise)} }

func (b *Book) kindOf(hash uint32) *kind {
	k, ok := b.kinds[hash]
	if !ok {
		k = &kind{}
		b.kinds[hash] = k
	}
	return k
}

// Admitted records that a request was admitted, which keeps a promise if it was given one.
func (b *Book) Admitted(request, kindHash uint32, now time.Time) {
	k := b.kindOf(kindHash)
	k.admitted, k.updatedAt = k.rate(now)+1, now
	if p, ok := b.promises[request]; ok && p.counts(now) {
		b.counts.Kept++
		delete(b.promises, p.Request)
	}
}

// rate returns the decayed count of admissions: with rateTime, those per second.
func (k *kind) rate(now time.Time) float64 {
	return k.admitted * math.Exp(-float64(now.Sub(k.updatedAt))/float64(rateTime))
}

// Rejection describes a request that is about to be rejected.
type Rejection struct {
	Request, Kind uint32
	// Rank is the number of more urgent kinds that are being asked for, of Ranks kinds.
	Rank, Ranks int
	Remaining   time.Duration // until its deadline
	Earliest    time.Duration // when there may be room at the earliest
	Random      uint64        // uniformly distributed
	// Promisable is false if nothing says when there will be room.
	Promisable bool
}

// Reject returns after which time the caller is to return, and whether that is a promise.
func (b *Book) Reject(r Rejection, now time.Time) (after time.Duration, promised bool) {
	width := (maxFraction - minFraction) / float64(max(1, r.Ranks))
	low := minFraction + width*float64(r.Rank)
	from := max(r.Earliest, time.Duration(low*float64(r.Remaining)))
	until := time.Duration((low + width) * float64(r.Remaining))
	delete(b.promises, r.Request)
	k := b.kindOf(r.Kind)
	if rate := promisedShare * k.rate(now); r.Promisable && r.Request != 0 && rate > minRate && len(b.promises) < maxPromises {
		due := later(now.Add(from), k.next)
		if due.Sub(now) <= until {
			k.next = due.Add(time.Duration(float64(rateTime) / rate))
			p := Promise{Request: r.Request, Kind: r.Kind, Due: due}
			b.promises[p.Request] = p
			b.counts.Made++
			b.reported = append(b.reported, reported{p, now})
			return due.Sub(now), true
		}
	}
	uniform := float64(r.Random>>11) / (1 << 53)
	return max(from, time.Duration((low+width*uniform)*float64(r.Remaining))), false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Returns reports whether a request was promised that it goes before newcomers now.
func (b *Book) Returns(request uint32, now time.Time) bool {
	p, ok := b.promises[request]
	return ok && p.counts(now)
}

// Queue returns the longest queue that a request accepts which returns as promised, of the one
// that it accepted as a newcomer.
func Queue(accepted time.Duration) time.Duration {
	return time.Duration(queueFactor * float64(accepted))
}

// Receive adds a promise that another gateway has made.
func (b *Book) Receive(p Promise, now time.Time) {
	known, ok := b.promises[p.Request]
	if p.lapsed(now) || (ok && !p.Due.After(known.Due.Add(early))) || (!ok && len(b.promises) >= maxPromises) {
		return
	}
	b.promises[p.Request] = p
}

// Outgoing returns the promises to report to the other gateways.
func (b *Book) Outgoing(now time.Time) []Promise {
	b.reported = slices.DeleteFunc(b.reported, func(r reported) bool { return now.Sub(r.at) > reportTime })
	var out []Promise
	for _, r := range b.reported[:min(len(b.reported), maxReported)] {
		out = append(out, r.Promise)
	}
	return out
}

// Expire forgets what has lapsed.
func (b *Book) Expire(now time.Time) {
	for _, p := range b.promises {
		if p.lapsed(now) {
			b.counts.Lapsed++
			delete(b.promises, p.Request)
		}
	}
	for hash, k := range b.kinds {
		if k.rate(now) < 0.01 && now.After(k.next) {
			delete(b.kinds, hash)
		}
	}
}

// Counts returns what has become of the promises.
func (b *Book) Counts() Counts { return b.counts }
