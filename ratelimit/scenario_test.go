package ratelimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/linenscale/linenscale/ratelimit"
)

const (
	// An engine may receive limitFactor times what its limit allows in a window, and slack
	// requests, from warmUp on.
	window      = 4 * time.Second
	slack       = 5
	limitFactor = 1.5
	warmUp      = 6 * time.Second
	// reactionTime is the time after which a gateway that has received a limit must
	// comply.
	reactionTime   = 500 * time.Millisecond
	step           = 10 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	engineID       = 7 // a hash
)

// limiter is one strategy to enforce an engine's limit at one gateway.
type limiter interface {
	setMembers(names []string, now time.Time)
	applySignal(signal ratelimit.Signal, sent, received time.Time)
	allows(now time.Time) bool
	takeToken(now time.Time)
	outgoing(now time.Time) any
	receive(from int, reports any, now time.Time)
}

// tableLimiter is the strategy of the gateways: a Table.
type tableLimiter struct{ table *ratelimit.Table }

func newTableLimiter(name string) limiter { return tableLimiter{ratelimit.New(name)} }

func (s tableLimiter) setMembers(names []string, now time.Time) { s.table.SetMembers(names, now) }
func (s tableLimiter) applySignal(signal ratelimit.Signal, sent, received time.Time) {
	s.table.ApplySignal(engineID, signal, sent, received)
}
func (s tableLimiter) allows(now time.Time) bool  { return s.table.Allows(engineID, now) }
func (s tableLimiter) takeToken(now time.Time)    { s.table.TakeToken(engineID, now) }
func (s tableLimiter) outgoing(now time.Time) any { return s.table.Outgoing(now) }
func (s tableLimiter) receive(_ int, reports any, now time.Time) {
	s.table.Receive(reports.([]ratelimit.LimitReport), now)
}

// sums is a strategy that sends while the requests that this gateway sent within the
// window, and those that the others reported, are below the limit.
type sums struct {
	limit  float64 // infinite for none
	sent   []time.Time
	others map[int]float64
}

func newSums(string) limiter { return &sums{limit: math.Inf(1), others: make(map[int]float64)} }

func (s *sums) setMembers([]string, time.Time) {}

func (s *sums) applySignal(signal ratelimit.Signal, _, _ time.Time) {
	if limit, ok := signal.(ratelimit.Limited); ok {
		s.limit = limit.PerSecond
	}
}

func (s *sums) sentInWindow(now time.Time) float64 {
	for len(s.sent) > 0 && now.Sub(s.sent[0]) >= window {
		s.sent = s.sent[1:]
	}
	return float64(len(s.sent))
}

func (s *sums) allows(now time.Time) bool {
	sum := s.sentInWindow(now)
	for _, n := range s.others {
		sum += n
	}
	return sum+1 <= s.limit*window.Seconds()
}

func (s *sums) takeToken(now time.Time)    { s.sent = append(s.sent, now) }
func (s *sums) outgoing(now time.Time) any { return s.sentInWindow(now) }
func (s *sums) receive(from int, reports any, _ time.Time) {
	s.others[from] = reports.(float64)
}

// equalLimiter is a strategy with an equal share of the limit for each gateway, of which
// one request can accumulate.
type equalLimiter struct {
	share, limit, tokens float64
	refilledAt           time.Time
}

func (e *equalLimiter) setMembers([]string, time.Time) {}

func (e *equalLimiter) applySignal(signal ratelimit.Signal, _, received time.Time) {
	limit, ok := signal.(ratelimit.Limited)
	if ok && e.limit == 0 {
		e.tokens, e.refilledAt = 0, received
	}
	if ok {
		e.limit = limit.PerSecond
	}
}

func (e *equalLimiter) allows(now time.Time) bool {
	e.tokens = min(1, e.tokens+e.limit*e.share*now.Sub(e.refilledAt).Seconds())
	e.refilledAt = now
	return e.limit == 0 || e.tokens >= 1
}

func (e *equalLimiter) takeToken(time.Time)         { e.tokens-- }
func (e *equalLimiter) outgoing(time.Time) any      { return nil }
func (e *equalLimiter) receive(int, any, time.Time) {}

// scenario is one engine that names limits, and gateways that send it requests.
type scenario struct {
	gateways   int
	perSecond  float64                        // requests at each gateway, all for this engine
	limit      func(at time.Duration) float64 // negative for none
	length     time.Duration
	seed       uint64
	newLimiter func(name string) limiter
	// membersSeenBy returns the members listed at a gateway; nil for all.
	membersSeenBy func(gateway int, at time.Duration) []string
	// isDown reports whether a gateway is down; one that restarts has no state.
	isDown func(gateway int, at time.Duration) bool
}

// outcome is what the engine received.
type outcome struct {
	arrivals  []time.Duration // of requests from gateways that must comply
	received  int             // requests since warmUp
	excess    float64         // requests beyond the allowed number, in the worst window
	usedShare float64         // of the requests that the engine accepts, the fraction received
}

func constant(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

// signal returns the signal of the engine's responses at a time.
func (s scenario) signal(at time.Duration) ratelimit.Signal {
	if limit := s.limit(at); limit >= 0 {
		return ratelimit.Limited{PerSecond: limit}
	}
	return ratelimit.Unlimited{}
}

type pending struct {
	at time.Duration
	do func()
}

// run runs the scenario in steps of virtual time.
func (s scenario) run() outcome {
	random := rand.New(rand.NewPCG(s.seed, 9))
	start := time.Unix(1000, 0)
	var names []string
	for i := range s.gateways {
		names = append(names, fmt.Sprintf("gateway-%03d", i))
	}
	limiters := make([]limiter, s.gateways)
	limitedAt := make([]time.Duration, s.gateways) // when the gateway first received a limit; -1 for never
	down := make([]bool, s.gateways)
	for i := range limiters {
		limiters[i], limitedAt[i] = s.newLimiter(names[i]), -1
	}
	var out outcome
	queue := make(map[time.Duration][]func())
	later := func(at time.Duration, do func()) {
		at = at.Truncate(step) + step
		queue[at] = append(queue[at], do)
	}
	accepted := 0.0
	for at := time.Duration(0); at < s.length; at += step {
		now := start.Add(at)
		for _, do := range queue[at] {
			do()
		}
		delete(queue, at)
		if at >= warmUp {
			accepted += max(0, s.limit(at)) * step.Seconds()
		}
		for i := range limiters {
			if s.isDown != nil && s.isDown(i, at) {
				down[i] = true
				continue
			}
			if down[i] {
				limiters[i], limitedAt[i], down[i] = s.newLimiter(names[i]), -1, false
			}
			if at%(200*time.Millisecond) == 0 {
				members := names
				if s.membersSeenBy != nil {
					members = s.membersSeenBy(i, at)
				}
				limiters[i].setMembers(members, now)
			}
			if (at+time.Duration(i%10)*step)%reportInterval == 0 {
				reports := limiters[i].outgoing(now)
				// A report takes 250 ms to the others, and one in fifty is lost.
				later(at+250*time.Millisecond, func() {
					for j := range limiters {
						if j != i && !down[j] && random.IntN(50) > 0 {
							limiters[j].receive(i, reports, now.Add(230*time.Millisecond))
						}
					}
				})
			}
			if random.Float64() >= s.perSecond*step.Seconds() || !limiters[i].allows(now) {
				continue
			}
			limiters[i].takeToken(now)
			if at >= warmUp {
				out.received++
			}
			if limitedAt[i] >= 0 && at >= limitedAt[i]+reactionTime {
				out.arrivals = append(out.arrivals, at)
			}
			sender, latency := limiters[i], time.Duration(20+random.IntN(400))*time.Millisecond
			later(at+latency, func() {
				if limiters[i] != sender {
					return // the gateway has restarted
				}
				signal := s.signal(at + latency)
				sender.applySignal(signal, now, now.Add(latency))
				if _, named := signal.(ratelimit.Limited); named && limitedAt[i] < 0 {
					limitedAt[i] = at + latency
				}
			})
		}
	}
	out.usedShare = float64(out.received) / max(1, accepted)
	out.excess = s.maxExcess(out.arrivals)
	return out
}

// maxExcess returns how many requests exceed the allowed number in the worst window since
// warmUp.
func (s scenario) maxExcess(arrivals []time.Duration) float64 {
	excess := math.Inf(-1)
	for i, from := range arrivals {
		if from < warmUp {
			continue
		}
		n := 0
		for n < len(arrivals)-i && arrivals[i+n] < from+window {
			n++
		}
		excess = max(excess, float64(n)-s.allowedFrom(from))
	}
	return excess
}

// allowedFrom returns how many requests the engine may receive in the window that starts
// at a time. When a limit falls, the previous one counts for reactionTime.
func (s scenario) allowedFrom(from time.Duration) float64 {
	sum := 0.0
	for at := from; at < from+window; at += step {
		for _, limit := range []float64{s.limit(at), s.limit(max(0, at-reactionTime))} {
			if limit < 0 {
				return math.Inf(1)
			}
		}
		sum += max(s.limit(at), s.limit(max(0, at-reactionTime))) * step.Seconds()
	}
	return limitFactor*sum + slack
}
