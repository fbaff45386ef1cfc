// This file estimates how far an engine's failure rate exceeds the rate at which its
// requests fail at any engine.

package dispatch

import (
	"math"
	"time"
)

// failureBaseline estimates the share of a route's requests that fail at any engine. Some
// kinds of requests often fail by themselves, wherever they are sent, which says nothing
// about the engine. The zero value has recorded nothing.
type failureBaseline struct {
	failed   float64
	requests float64
}

const (
	// priorFailureRate and priorRequests are the estimate before the first answers.
	// Healthy engines seldom fail, and about ten answers outweigh the prior.
	priorFailureRate = 0.02
	priorRequests    = 10
	// baselineRequests is the number of requests that the baseline averages over. It is
	// large compared with what a failing engine gets before it is excluded, so that its
	// failures don't become the baseline.
	baselineRequests = 200
)

func (b failureBaseline) rate() float64 {
	return (b.failed + priorFailureRate*priorRequests) / (b.requests + priorRequests)
}

func (b *failureBaseline) record(failed bool) {
	decay := 1 - 1/float64(baselineRequests)
	b.failed, b.requests = decay*b.failed, decay*b.requests+1
	if failed {
		b.failed++
	}
}

// excessFailures estimates how far an engine's failure rate exceeds the baseline of its
// requests. An excess that isn't significant counts as zero. Where one request in seven
// failed by itself, the plain rate of the last few requests moved between 0 and 0.5, and
// half of all requests went to other regions at 110 ms each: in three regions with one
// engine each and no other faults, the median answer of plain services took 260 ms,
// against 28 ms with the significance test. The estimate decays over time, so that an engine
// excluded for its failures is tried again. The zero value has recorded nothing.
type excessFailures struct {
	failed    float64
	expected  float64 // expected number of failures at any engine
	variance  float64 // of that number
	requests  float64
	updatedAt time.Time
}

const (
	// decayTime is the time without requests after which the estimate has decayed to 1/e.
	decayTime = 3 * time.Second
	// decayPerRequest is the weight that earlier requests keep with each new one: about
	// ten requests are remembered.
	decayPerRequest = 0.9
	// significance is how many standard deviations above the baseline are attributed to
	// chance.
	significance = 1.5
	// priorSuccesses is how many successful requests an engine is assumed to have had
	// initially.
	priorSuccesses = 2
)

// decay applies the decay up to now.
func (f *excessFailures) decay(now time.Time) {
	f.scale(math.Exp(-float64(now.Sub(f.updatedAt)) / float64(decayTime)))
	f.updatedAt = now
}

func (f *excessFailures) scale(factor float64) {
	f.failed *= factor
	f.expected *= factor
	f.variance *= factor
	f.requests *= factor
}

// record adds the outcome of a request that fails with probability usualRate at any
// engine.
func (f *excessFailures) record(failed bool, usualRate float64, now time.Time) {
	f.decay(now)
	f.scale(decayPerRequest)
	f.requests++
	f.expected += usualRate
	f.variance += usualRate * (1 - usualRate)
	if failed {
		f.failed++
	}
}

// rate returns the share of requests that failed beyond the baseline.
func (f excessFailures) rate(now time.Time) float64 {
	f.decay(now)
	excess := f.failed - f.expected - significance*math.Sqrt(f.variance)
	return max(0, excess/(f.requests+priorSuccesses))
}
