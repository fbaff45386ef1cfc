package ratelimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/ratelimit"
)

const (
	// window and slack are how much an engine may get: one and a half times what its limit
	// allows in the window, and the slack, from firstTime after it first named one.
	window    = 4 * time.Second
	slack     = 5
	times     = 1.5
	firstTime = 6 * time.Second
	// oweTime is how long a gateway that has read a limit may take until it owes its part.
	oweTime = 500 * time.Millisecond
	step    = 10 * time.Millisecond
	tellAt  = 100 * time.Millisecond
	theOne  = 7 // the hash of the engine
)

// limiter is one way of keeping to a limit at one gateway.
type limiter interface {
	setMembers(names []string, now time.Time)
	hear(word ratelimit.Word, sent, came time.Time)
	allows(now time.Time) bool
	take(now time.Time)
	tell(now time.Time) any
	told(from int, news any, now time.Time)
}

// shares is the product's way.
type shares struct{ table *ratelimit.Table }

func newShares(name string) limiter { return shares{ratelimit.New(name)} }

func (s shares) setMembers(names []string, now time.Time) { s.table.SetMembers(names, now) }
func (s shares) hear(word ratelimit.Word, sent, came time.Time) {
	s.table.Hear(theOne, word, sent, came)
}
func (s shares) allows(now time.Time) bool { return s.table.Allows(theOne, now) }
func (s shares) take(now time.Time)        { s.table.Take(theOne, now) }
func (s shares) tell(now time.Time) any    { return s.table.Tell(now) }
func (s shares) told(_ int, news any, now time.Time) {
	s.table.HearNotes(news.([]ratelimit.Note), now)
}

// sums is the other way: each gateway sends while what it has sent within the window, and
// what the others have told of theirs, is less than the limit allows.
type sums struct {
	limit  float64 // infinite for none
	sent   []time.Time
	others map[int]float64
}

func newSums(string) limiter { return &sums{limit: math.Inf(1), others: make(map[int]float64)} }

func (s *sums) setMembers([]string, time.Time) {}

func (s *sums) hear(word ratelimit.Word, _, _ time.Time) {
	if limit, ok := word.(ratelimit.Limited); ok {
		s.limit = limit.PerSecond
	}
}

func (s *sums) within(now time.Time) float64 {
	for len(s.sent) > 0 && now.Sub(s.sent[0]) >= window {
		s.sent = s.sent[1:]
	}
	return float64(len(s.sent))
}

func (s *sums) allows(now time.Time) bool {
	sum := s.within(now)
	for _, n := range s.others {
		sum += n
	}
	return sum+1 <= s.limit*window.Seconds()
}

func (s *sums) take(now time.Time)     { s.sent = append(s.sent, now) }
func (s *sums) tell(now time.Time) any { return s.within(now) }
func (s *sums) told(from int, news any, _ time.Time) {
	s.others[from] = news.(float64)
}

// equal is another way: each gateway has an equal part of the limit, and keeps one request.
type equal struct {
	part, limit, tokens float64
	filled              time.Time
}

func (e *equal) setMembers([]string, time.Time) {}

func (e *equal) hear(word ratelimit.Word, _, came time.Time) {
	limit, ok := word.(ratelimit.Limited)
	if ok && e.limit == 0 {
		e.tokens, e.filled = 0, came
	}
	if ok {
		e.limit = limit.PerSecond
	}
}

func (e *equal) allows(now time.Time) bool {
	e.tokens = min(1, e.tokens+e.limit*e.part*now.Sub(e.filled).Seconds())
	e.filled = now
	return e.limit == 0 || e.tokens >= 1
}

func (e *equal) take(time.Time)           { e.tokens-- }
func (e *equal) tell(time.Time) any       { return nil }
func (e *equal) told(int, any, time.Time) {}

// scenario is one engine that names limits before some gateways.
type scenario struct {
	gateways  int
	perSecond float64                        // requests at each gateway, which would all take the engine
	limit     func(at time.Duration) float64 // negative for none
	length    time.Duration
	seed      uint64
	way       func(name string) limiter
	// lists gives the gateways that a gateway knows of; nil for all.
	lists func(gateway int, at time.Duration) []string
	// ends gives whether a gateway runs; one that starts again knows nothing.
	ends func(gateway int, at time.Duration) bool
}

// outcome is what the engine saw.
type outcome struct {
	arrivals []time.Duration // of requests from gateways that it had told
	all      int             // arrivals from when the first limit had held for firstTime
	over     float64         // requests beyond what it may get, in the worst window
	share    float64         // of what it takes that it got from then on
}

func constant(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

// word is what the engine's answers say at a time.
func (s scenario) word(at time.Duration) ratelimit.Word {
	if limit := s.limit(at); limit >= 0 {
		return ratelimit.Limited{PerSecond: limit}
	}
	return ratelimit.Unlimited{}
}

type pending struct {
	at time.Duration
	do func()
}

// play lets a scenario pass, in steps of virtual time.
func (s scenario) play() outcome {
	random := rand.New(rand.NewPCG(s.seed, 9))
	start := time.Unix(1000, 0)
	var names []string
	for i := range s.gateways {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	tables := make([]limiter, s.gateways)
	toldAt := make([]time.Duration, s.gateways) // when the engine's limit was first passed on; -1 for never
	down := make([]bool, s.gateways)
	for i := range tables {
		tables[i], toldAt[i] = s.way(names[i]), -1
	}
	var out outcome
	queue := make(map[time.Duration][]func())
	later := func(at time.Duration, do func()) {
		at = at.Truncate(step) + step
		queue[at] = append(queue[at], do)
	}
	takes := 0.0
	for at := time.Duration(0); at < s.length; at += step {
		now := start.Add(at)
		for _, do := range queue[at] {
			do()
		}
		delete(queue, at)
		if at >= firstTime {
			takes += max(0, s.limit(at)) * step.Seconds()
		}
		for i := range tables {
			if s.ends != nil && s.ends(i, at) {
				down[i] = true
				continue
			}
			if down[i] {
				tables[i], toldAt[i], down[i] = s.way(names[i]), -1, false
			}
			if at%(200*time.Millisecond) == 0 {
				known := names
				if s.lists != nil {
					known = s.lists(i, at)
				}
				tables[i].setMembers(known, now)
			}
			if (at+time.Duration(i%10)*step)%tellAt == 0 {
				news := tables[i].tell(now)
				// It takes three steps to all others, and one of these words is lost.
				later(at+250*time.Millisecond, func() {
					for j := range tables {
						if j != i && !down[j] && random.IntN(50) > 0 {
							tables[j].told(i, news, now.Add(230*time.Millisecond))
						}
					}
				})
			}
			if random.Float64() >= s.perSecond*step.Seconds() || !tables[i].allows(now) {
				continue
			}
			tables[i].take(now)
			if at >= firstTime {
				out.all++
			}
			if toldAt[i] >= 0 && at >= toldAt[i]+oweTime {
				out.arrivals = append(out.arrivals, at)
			}
			table, took := tables[i], time.Duration(20+random.IntN(400))*time.Millisecond
			later(at+took, func() {
				if tables[i] != table {
					return // it has started again
				}
				word := s.word(at + took)
				table.hear(word, now, now.Add(took))
				if _, named := word.(ratelimit.Limited); named && toldAt[i] < 0 {
					toldAt[i] = at + took
				}
			})
		}
	}
	out.share = float64(out.all) / max(1, takes)
	out.over = s.worst(out.arrivals)
	return out
}

// worst gives by how much the worst window from firstTime on is beyond what may be.
func (s scenario) worst(arrivals []time.Duration) float64 {
	worst := math.Inf(-1)
	for i, from := range arrivals {
		if from < firstTime {
			continue
		}
		n := 0
		for n < len(arrivals)-i && arrivals[i+n] < from+window {
			n++
		}
		worst = max(worst, float64(n)-s.may(from))
	}
	return worst
}

// may gives how many requests the engine may get in the window from a time on. A gateway
// owes its part of a limit that falls half a second after it has read it.
func (s scenario) may(from time.Duration) float64 {
	sum := 0.0
	for at := from; at < from+window; at += step {
		for _, limit := range []float64{s.limit(at), s.limit(max(0, at-oweTime))} {
			if limit < 0 {
				return math.Inf(1)
			}
		}
		sum += max(s.limit(at), s.limit(max(0, at-oweTime))) * step.Seconds()
	}
	return times*sum + slack
}
