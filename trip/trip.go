// Package trip estimates round-trip times (RTTs) and derives connect timeouts from
// them.
//
// The distance between regions isn't configured anywhere. Opening a TCP connection
// takes one round trip, so a Table estimates RTTs from the connections that a host
// opens. It computes connect timeouts from them as a TCP sender computes its
// retransmission timeout (RFC 6298).
//
// A place is a group of hosts at the same distance: the region of an address if it
// is known, otherwise the address itself.
package trip

import (
	"sync"
	"time"
)

// Limits of the connect timeout.
const (
	// InitialTimeout is the timeout for a place without an RTT estimate. It covers a
	// region with a one-way latency of 150 ms, plus 100 ms for a slow processor.
	InitialTimeout = 400 * time.Millisecond
	// MaxTimeout is the maximum timeout. The kernel retransmits a lost SYN after one
	// second; a new connection attempt sends its SYN sooner.
	MaxTimeout = 900 * time.Millisecond
	// backoffSteps is the number of attempts with increasing timeouts before the
	// sequence restarts with the shortest one. During a partition no timeout is long
	// enough, and frequent attempts detect its end sooner. If the RTT to a place has
	// grown, the third timeout is long enough.
	backoffSteps = 3
)

// Parameters of the estimator, from RFC 6298.
const (
	rttWeight       = 1.0 / 8 // weight of the latest RTT
	deviationWeight = 1.0 / 4 // weight of the latest deviation
	// deviationFactor times the mean deviation is added to the smoothed RTT.
	deviationFactor = 4
)

// rttEstimate is the state of one place, with the variables of RFC 6298.
type rttEstimate struct {
	srtt     time.Duration // smoothed RTT; 0 if none has been observed
	rttvar   time.Duration // mean deviation of the RTT
	timeouts int           // consecutive connect attempts that timed out
}

// observe updates the estimate from one round trip.
func (e *rttEstimate) observe(rtt time.Duration) {
	e.timeouts = 0
	if e.srtt == 0 {
		e.srtt, e.rttvar = rtt, rtt/2
		return
	}
	deviation := (rtt - e.srtt).Abs()
	e.rttvar += time.Duration(deviationWeight * float64(deviation-e.rttvar))
	e.srtt += time.Duration(rttWeight * float64(rtt-e.srtt))
}

// Table holds the RTT estimates of a host for all places. It is safe for concurrent
// use; New returns one.
type Table struct {
	mu     sync.Mutex
	places map[string]*rttEstimate
}

// New returns a table without any estimates.
func New() *Table { return &Table{places: make(map[string]*rttEstimate)} }

// Observe updates the estimate of a place from the duration of one round trip and
// resets its count of timeouts.
func (t *Table) Observe(place string, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimateFor(place).observe(max(rtt, 1))
}

// RecordTimeout records that a connect attempt timed out.
func (t *Table) RecordTimeout(place string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimateFor(place).timeouts++
}

// estimateFor returns the estimate of a place, created if needed. The lock is held.
func (t *Table) estimateFor(place string) *rttEstimate {
	e, ok := t.places[place]
	if !ok {
		e = &rttEstimate{}
		t.places[place] = e
	}
	return e
}

// RoundTrip returns the smoothed RTT to a place, and false if there is no estimate.
func (t *Table) RoundTrip(place string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.places[place]
	if !ok || e.srtt == 0 {
		return 0, false
	}
	return e.srtt, true
}

// ConnectTimeout returns the connect timeout for a place: the smoothed RTT plus a margin for
// its variation, which is at least slack, the time that the other end may need.
func (t *Table) ConnectTimeout(place string, slack time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimateFor(place).timeout(slack)
}

// RetryConnectTimeout is ConnectTimeout for callers that retry. After one timeout it is
// twice as long, after two it is three times as long, and then the sequence restarts. It
// never exceeds MaxTimeout.
func (t *Table) RetryConnectTimeout(place string, slack time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.estimateFor(place)
	return min(e.timeout(slack)*time.Duration(1+e.timeouts%backoffSteps), MaxTimeout)
}

func (e *rttEstimate) timeout(slack time.Duration) time.Duration {
	if e.srtt == 0 {
		return InitialTimeout
	}
	return min(e.srtt+max(slack, deviationFactor*e.rttvar), MaxTimeout)
}
