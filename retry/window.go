// This file defines the budget of sends over a sliding window, shared among
// hosts without asking.

package retry

import "time"

// Policy bounds the sends beyond the first of each request, over all hosts
// together: in any Window, Share of the requests plus Extra.
type Policy struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// safety is the part of a Policy that hosts use up among themselves: what they
// count differs a little from what engines see.
const safety = 0.7

// Window spends a host's part of a Policy. It is not safe for concurrent use;
// NewWindow makes one.
type Window struct {
	policy Policy
	first  counter
	again  counter
}

// NewWindow makes a budget of which nothing has been spent.
func NewWindow(p Policy) *Window {
	return &Window{policy: p, first: counter{window: p.Window}, again: counter{window: p.Window}}
}

// First counts a request that this host sends for the first time.
func (w *Window) First(now time.Time) { w.first.add(now) }

// Take spends one further send, or tells that there is none left. Each of the
// hosts may spend the share of its own requests and an equal part of the extra.
func (w *Window) Take(now time.Time, hosts int) bool {
	allowed := safety * (w.policy.Share*float64(w.first.count(now)) + w.policy.Extra/float64(max(1, hosts)))
	if float64(w.again.count(now)+1) > allowed {
		return false
	}
	w.again.add(now)
	return true
}

// counter counts events of a sliding window.
type counter struct {
	window time.Duration
	times  []time.Time // in order
}

func (c *counter) add(now time.Time) { c.times = append(c.times, now) }

func (c *counter) count(now time.Time) int {
	old := 0
	for old < len(c.times) && now.Sub(c.times[old]) > c.window {
		old++
	}
	c.times = c.times[old:]
	return len(c.times)
}
