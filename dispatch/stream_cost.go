// This file defines what it costs if an answer ends too late on an engine, or makes other
// streams pause for too long.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/sizeclass"
	"github.com/linenscale/linenscale/streamtime"
)

const (
	// lostPenalty is the cost of an answer that doesn't end by its deadline: its caller
	// repeats the request, as after any other failure.
	lostPenalty = failurePenalty
	// pausePenalty is the cost of an answer that pauses for too long: its caller has all of
	// it, but later than it can be used.
	pausePenalty = failurePenalty / 3
)

// streamRisks are what a request risks on one engine, for itself and for other streams.
type streamRisks struct {
	endsLate   float64 // share of such answers that aren't complete by their deadline
	interrupts float64 // the engine's streams that pause for too long because of the prompt
	delayed    float64 // share of such answers that pause for too long because of other prompts
	hopeless   bool    // the answer can't end in time, however wrong its estimated length is
	apart      bool    // the engine is set apart for long prompts, and this one isn't long
}

// cost returns what the risks cost.
func (r streamRisks) cost() time.Duration {
	return time.Duration(r.endsLate*float64(lostPenalty) + (r.interrupts+r.delayed)*float64(pausePenalty))
}

// streamRisks estimates the risks of a request that waits so long for its first event, of whose
// prompt the engine reads so many tokens.
func (in costInputs) streamRisks(p Prompt, wait time.Duration, unread int) streamRisks {
	speed := in.speed
	if speed <= 0 {
		speed = 1
	}
	tokenTime := in.tokenTime
	if tokenTime <= 0 {
		tokenTime = time.Duration(float64(in.throughput.OutputPerToken) / speed)
	}
	s := streamtime.Stream{Remaining: in.remaining, Wait: wait, Tokens: p.OutputTokens, TokenTime: tokenTime}
	r := streamtime.Reading{
		Tokens: unread, ReadPerToken: time.Duration(float64(in.throughput.ReadPerToken) / speed), TokenTime: tokenTime, EventTokens: in.eventTokens, MaxPause: in.maxPause,
	}
	out := streamRisks{endsLate: s.EndsLate(), interrupts: float64(in.load.Requests) * r.Interrupts(), hopeless: !s.CanEnd()}
	if p.OutputTokens <= in.eventTokens {
		return out // an answer of one event has no pauses
	}
	out.apart = in.longShare > 0
	reads := max(in.longShare, min(1, in.load.ReadRate*r.ReadPerToken.Seconds()))
	out.delayed = sizeclass.MeetsReading(reads, s.Duration(), in.maxPause) * r.Delays()
	return out
}

// remaining returns the time until the request's deadline; 0 if it has none.
func (r Request) remaining(now time.Time) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(1, r.Deadline.Sub(now))
}

// shortestMaxPause returns the shortest limit for pauses of a service's routes; 0 if none has
// one.
func shortestMaxPause(table *catalog.Table, service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range table.RoutesOf(service) {
		if r.MaxPause > 0 && (shortest == 0 || r.MaxPause < shortest) {
			shortest = r.MaxPause
		}
	}
	return shortest
}

// noTimeError is the rejection of a request whose answer can't end in time on any engine.
func noTimeError() *request.NotRun {
	return &request.NotRun{Reason: request.ReasonOverload, Message: "no engine can complete the answer by the deadline, even if it is far shorter than expected", RetryAfter: noEngineRetryAfter}
}
