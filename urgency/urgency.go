// Package urgency decides how far less urgent requests may fill a queue while more urgent
// ones of the same service are asked for.
//
// The load it answers is callers of several priorities who together ask a service for more
// than its engines can do. The queue is then as long as those accept who accept the most,
// which are the requests with the longest target, and all others are rejected, however urgent
// they are. So a less urgent request is admitted only while the queue leaves room that every
// more urgent kind accepts. Engines don't idle because of that: the queue never becomes empty
// while anybody waits for room, and an engine completes as many requests behind a short queue
// as behind a long one.
//
// Nothing is kept for priorities that nobody asks for. A share of the less urgent requests is
// admitted like the most urgent ones, so that no overload shuts out a kind for good.
package urgency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recentTime is how long after a request its priority still counts as asked for. Callers
	// who expect their answer to begin within about a second notice room only if it is there
	// when they come.
	recentTime = time.Second
	// reservedShare is the share of the queue accepted by all more urgent requests that is
	// kept free for them. The rest must absorb what gateways admit before they learn of each
	// other's requests.
	reservedShare = 0.2
	// shortageShare is the mean queue of a region's engines, as a share of the limit, from which
	// its room is short. Below it, a long queue at one engine means that others have room.
	shortageShare = 0.5
	// minQueue is a queue that is never kept free: with a shorter one, engines are idle until
	// gateways have seen that requests have ended.
	minQueue = 60 * time.Millisecond
	// YieldEvery is the number of less urgent requests of which one is judged like the more
	// urgent ones, so that none gets less than a quarter of what these get.
	YieldEvery = 4
	// maxKinds bounds the kinds in a Demand. Catalogs rank requests by a few priorities.
	maxKinds = 32
)

// Kind is a kind of requests of one service.
type Kind struct {
	Priority int // 0 is the most urgent
	// Short is the queue that its requests accept whatever their prompts, and Long the longest
	// that any of them accepts.
	Short, Long time.Duration
}

// Demand holds the kinds that were recently asked for in one region. The zero value has none.
type Demand struct {
	kinds []recentKind // the most urgent first
}

type recentKind struct {
	Kind
	at time.Time // of the last request
}

// Record records that a request of a kind was asked for.
func (d *Demand) Record(k Kind, at time.Time) {
	for i := range d.kinds {
		if d.kinds[i].Kind == k {
			if at.After(d.kinds[i].at) {
				d.kinds[i].at = at
			}
			return
		}
	}
	d.kinds = slices.DeleteFunc(d.kinds, func(r recentKind) bool { return at.Sub(r.at) > recentTime })
	if len(d.kinds) >= maxKinds {
		return
	}
	i, _ := slices.BinarySearchFunc(d.kinds, k.Priority, func(r recentKind, priority int) int { return cmp.Compare(r.Priority, priority) })
	d.kinds = slices.Insert(d.kinds, i, recentKind{k, at})
}

// Limit bounds the queue behind which a request is admitted. The zero value doesn't.
type Limit struct {
	// Queue is the longest queue that leaves room for more urgent requests.
	Queue time.Duration
	// Yielded is the longest queue for the share of the requests that is judged like the more
	// urgent ones.
	Yielded time.Duration
	// After is the priority that room is kept for: the least urgent of the more urgent ones.
	After int
}

// LimitFor returns the limit for requests of a priority: none if nothing more urgent was
// recently asked for.
func (d *Demand) LimitFor(priority int, now time.Time) Limit {
	var l Limit
	for i := 0; i < len(d.kinds) && d.kinds[i].Priority < priority; {
		// Kinds of one priority share a limit, so they are taken together.
		level, before := d.kinds[i].Priority, l
		for ; i < len(d.kinds) && d.kinds[i].Priority == level; i++ {
			if k := d.kinds[i]; now.Sub(k.at) <= recentTime {
				l = l.after(k.Kind, before)
			}
		}
	}
	return l
}

// Rank returns the number of more urgent priorities that were recently asked for, and that of
// all of them with the given one.
func (d *Demand) Rank(priority int, now time.Time) (rank, ranks int) {
	ranks = 1
	last := priority
	for _, k := range d.kinds {
		if k.Priority == priority || k.Priority == last || now.Sub(k.at) > recentTime {
			continue
		}
		last = k.Priority
		ranks++
		if k.Priority < priority {
			rank++
		}
	}
	return rank, ranks
}

// after returns the limit of requests that go after a kind, which is itself limited by own.
func (l Limit) after(k Kind, own Limit) Limit {
	accepted, longest := k.Short, k.Long
	if own.Queue > 0 {
		accepted, longest = min(accepted, own.Queue), min(longest, own.Yielded)
	}
	queue := max(minQueue, time.Duration((1-reservedShare)*float64(accepted)))
	if l.Queue == 0 {
		return Limit{Queue: queue, Yielded: longest, After: k.Priority}
	}
	return Limit{Queue: min(l.Queue, queue), Yielded: min(l.Yielded, longest), After: k.Priority}
}

// Where returns the limit in a region whose engines have such a mean queue: none where it is
// so short that there is room, though not at each engine. Requests then queue where their
// prompts are cached.
func (l Limit) Where(meanQueue time.Duration) Limit {
	if float64(meanQueue) < shortageShare*float64(l.Queue) {
		return Limit{}
	}
	return l
}

// AtShare returns the limit for callers who have their fair share of the room: no share of
// their requests is judged like more urgent ones.
func (l Limit) AtShare() Limit {
	l.Yielded = l.Queue
	return l
}

// Beyond returns the limit for callers who have more than their fair share: half of the queue
// of those who have it, so that these aren't rejected only because others ask more often.
func (l Limit) Beyond() Limit {
	l.Queue = min(l.Queue, max(minQueue, l.Queue/2))
	return l.AtShare()
}

// Yields reports whether a request is of the share that is judged like the more urgent ones.
// All gateways agree on it.
func Yields(requestHash uint64) bool { return requestHash%YieldEvery == 0 }

// For returns the longest queue behind which a request is admitted, of those that it accepts
// itself.
func (l Limit) For(accepted time.Duration, yields bool) time.Duration {
	switch {
	case l.Queue == 0:
		return accepted
	case yields:
		return min(accepted, l.Yielded)
	default:
		return min(accepted, l.Queue)
	}
}
