package ingress_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// backoffTime is the backoff that an engine of these tests asks for.
	backoffTime = 3 * time.Second
	// backoffGrace is the time after which it should get no more requests. Those already in
	// flight may arrive earlier.
	backoffGrace = 500 * time.Millisecond
	// maxDuringBackoff is the maximum of requests that one gateway may send from then until
	// the backoff ends.
	maxDuringBackoff = 2
)

// arrivalsDuringBackoff returns the highest number of requests that an engine got from one
// gateway within a backoff that it asked for at from or later. The engine rejects every
// request and asks for backoff each time.
func (r *simulatedRegion) arrivalsDuringBackoff(e *platformtest.Engine, from time.Duration) int {
	peak := 0
	for i, rejected := range r.arrivals[e] {
		if rejected.at < from {
			continue
		}
		n := 0
		for _, a := range r.arrivals[e][i:] {
			if a.from == rejected.from && a.at > rejected.at+backoffGrace && a.at < rejected.at+backoffTime {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak
}

// TestBackoffOfEnginesIsObserved guards against sending requests to an engine that has asked
// for backoff. Engines rejected requests and asked for three seconds, but got 5 to 8 more
// requests from each gateway in that time and rejected them all, while four of a region's
// six engines could have served them. The gateways relayed the Retry-After to callers, but
// chose engines by a constant exclusion of 150 ms. Now package pushback stores the backoff,
// and every path that sends a request checks it (dispatch/exclusion.go).
func TestBackoffOfEnginesIsObserved(t *testing.T) {
	r := newSimulatedRegion(t, 4)
	r.run(t, time.Second, 20)
	began := r.elapsed()
	r.engines[0].SetRetryAfter("3")
	served := r.run(t, 9*time.Second, 20)
	must.LessEq(t, maxDuringBackoff, r.arrivalsDuringBackoff(r.engines[0], began))
	must.GreaterEq(t, 180-3*len(r.gateways), served, must.Sprint("each gateway is rejected at most once per backoff; the other engines serve the rest"))
	r.engines[0].SetRetryAfter("")
	r.run(t, backoffTime, 20)
	before := len(r.arrivals[r.engines[0]])
	must.Eq(t, 80, r.run(t, 4*time.Second, 20))
	must.GreaterEq(t, 10, len(r.arrivals[r.engines[0]])-before, must.Sprint("the engine gets its share again"))
}

// TestDrainingEngineGetsNoMoreRequests has an engine announce in its answers, which are all
// successful, that it is draining, while its heartbeats still report it as ready.
func TestDrainingEngineGetsNoMoreRequests(t *testing.T) {
	r := newSimulatedRegion(t, 3)
	r.run(t, time.Second, 20)
	r.engines[1].SetServerLeaving()
	r.run(t, time.Second, 20)
	before := len(r.arrivals[r.engines[1]])
	must.Eq(t, 100, r.run(t, 5*time.Second, 20))
	must.Eq(t, before, len(r.arrivals[r.engines[1]]))
}
