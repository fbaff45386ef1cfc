// This file defines the retry budget over a sliding time window, which hosts
// share without communicating.

package retry

import "time"

// Policy limits the retries of all hosts together. In any period of length
// Window, the number of retries is at most Share times the number of requests,
// plus Extra.
type Policy struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// safetyFactor is the fraction of a Policy that hosts use. The rest is a margin,
// because the counts of the hosts differ slightly from those of the engines.
const safetyFactor = 0.7

// WindowBudget enforces one host's share of a Policy. It is not safe for concurrent use;
// NewWindowBudget returns one.
type WindowBudget struct {
	policy     Policy
	firstSends slidingCounter
	retries    slidingCounter
}

// NewWindowBudget returns a window without any sends counted.
func NewWindowBudget(p Policy) *WindowBudget {
	return &WindowBudget{policy: p, firstSends: slidingCounter{window: p.Window}, retries: slidingCounter{window: p.Window}}
}

// CountFirstSend counts a request that this host sends for the first time.
func (w *WindowBudget) CountFirstSend(now time.Time) { w.firstSends.add(now) }

// TryRetry counts a retry if the budget allows one and reports whether it does. hosts
// is the number of hosts that share the policy: each may spend Share of its own
// requests and an equal part of Extra.
func (w *WindowBudget) TryRetry(now time.Time, hosts int) bool {
	allowed := safetyFactor * (w.policy.Share*float64(w.firstSends.count(now)) + w.policy.Extra/float64(max(1, hosts)))
	if float64(w.retries.count(now)+1) > allowed {
		return false
	}
	w.retries.add(now)
	return true
}

// slidingCounter counts the events of the last window.
type slidingCounter struct {
	window time.Duration
	times  []time.Time // in ascending order
}

func (c *slidingCounter) add(now time.Time) { c.times = append(c.times, now) }

func (c *slidingCounter) count(now time.Time) int {
	expired := 0
	for expired < len(c.times) && now.Sub(c.times[expired]) > c.window {
		expired++
	}
	c.times = c.times[expired:]
	return len(c.times)
}
