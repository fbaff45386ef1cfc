package sendwindow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/sendwindow"
)

// observation is how often the simulated watcher observes a connection.
const observation = 150 * time.Millisecond

// maxBackoff bounds the simulated time between two probes.
const maxBackoff = 2 * time.Minute

// connection simulates the kernel's side of a connection whose peer closed its window at time
// 0: window probes with exponential backoff, bounded by what is left of the user timeout.
type connection struct {
	answers func(now time.Duration) bool // whether the peer answers a probe

	timeout, backoff, nextProbe, lastAck time.Duration
	sent                                 uint32
	tracker                              sendwindow.Tracker
}

func newConnection(answers func(now time.Duration) bool) *connection {
	const firstBackoff = 200 * time.Millisecond
	return &connection{answers: answers, timeout: sendwindow.Timeout, backoff: firstBackoff, nextProbe: firstBackoff}
}

// endsAt returns when the connection ends, or limit if it lasts that long. observed reports
// whether the process runs at a time.
func (c *connection) endsAt(limit time.Duration, observed func(now time.Duration) bool) time.Duration {
	started := time.Now()
	for now := time.Duration(0); now < limit; now += time.Millisecond {
		if now == c.nextProbe && !c.probe(now) {
			return now
		}
		if now%observation != 0 || !observed(now) {
			continue
		}
		status := sendwindow.Status{Unsent: 1, LastAck: now - c.lastAck, Sent: c.sent}
		decision := c.tracker.Observe(started.Add(now), status, 0)
		if decision.Gone {
			return now
		}
		if decision.Timeout > 0 {
			c.timeout = decision.Timeout
		}
	}
	return limit
}

// probe sends a probe and reports whether the connection is still open.
func (c *connection) probe(now time.Duration) bool {
	if now >= c.timeout {
		return false
	}
	c.sent++
	if c.answers(now) {
		c.lastAck = now
	}
	c.backoff = min(2*c.backoff, maxBackoff)
	c.nextProbe = now + min(c.backoff, c.timeout-now)
	return true
}

func always(time.Duration) bool { return true }

// TestLivePeerKeepsItsConnection guards against ending a connection whose peer answers the
// probes of its closed window.
func TestLivePeerKeepsItsConnection(t *testing.T) {
	must.Eq(t, time.Minute, newConnection(always).endsAt(time.Minute, always))
}

// TestLostProbeDoesNotEndAConnection guards against taking one lost probe for a peer that is
// gone: every third is lost.
func TestLostProbeDoesNotEndAConnection(t *testing.T) {
	probes := 0
	answers := func(time.Duration) bool {
		probes++
		return probes%3 != 0
	}
	must.Eq(t, time.Minute, newConnection(answers).endsAt(time.Minute, always))
}

// TestLateObservationsDoNotEndAConnection guards against a timeout that runs out while the
// process doesn't run for some hundred milliseconds.
func TestLateObservationsDoNotEndAConnection(t *testing.T) {
	observed := func(now time.Duration) bool { return now%(3*time.Second) < 2600*time.Millisecond }
	must.Eq(t, time.Minute, newConnection(always).endsAt(time.Minute, observed))
}

// TestPeerThatVanishesIsFound guards against probes that become rare while the window stays
// closed: a peer that vanishes at any moment must be found by the timeout for unacknowledged
// data, with one more observation.
func TestPeerThatVanishesIsFound(t *testing.T) {
	for gone := time.Duration(0); gone < 20*time.Second; gone += 10 * time.Millisecond {
		c := newConnection(func(now time.Duration) bool { return now < gone })
		found := c.endsAt(time.Minute, always)
		must.LessEq(t, sendwindow.Timeout+2*observation, found-c.lastAck, must.Sprintf("gone at %s, last seen at %s", gone, c.lastAck))
	}
}

// TestTimeoutIsRestored guards against an extended timeout that stays once the peer reads: a
// peer that vanishes then would be found late.
func TestTimeoutIsRestored(t *testing.T) {
	closed := sendwindow.Status{Unsent: 1}
	for name, status := range map[string]sendwindow.Status{
		"all acknowledged": {},
		"window open":      {Unacked: 1, Unsent: 1, Window: 1 << 16},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker sendwindow.Tracker
			now := time.Now()
			timeout := sendwindow.Timeout
			for i := range 60 {
				now = now.Add(observation)
				observed := closed
				if i >= 30 {
					observed = status
				}
				if decision := tracker.Observe(now, observed, 0); decision.Timeout > 0 {
					timeout = decision.Timeout
				}
				if i == 29 {
					must.Greater(t, sendwindow.Timeout, timeout)
				}
			}
			must.Eq(t, sendwindow.Timeout, timeout)
		})
	}
}

// TestOpenWindowKeepsTheTimeout guards against extending the timeout of data in flight, which
// a live peer acknowledges.
func TestOpenWindowKeepsTheTimeout(t *testing.T) {
	var tracker sendwindow.Tracker
	now := time.Now()
	for range 20 {
		now = now.Add(observation)
		decision := tracker.Observe(now, sendwindow.Status{Unacked: 3, Unsent: 100, Window: 1 << 16}, 0)
		must.Eq(t, sendwindow.Decision{Pending: true}, decision)
	}
}

func ExampleTracker_Observe() {
	var tracker sendwindow.Tracker
	unread := sendwindow.Status{Unsent: 4096, LastAck: 100 * time.Millisecond}
	now := time.Now()
	tracker.Observe(now, unread, 0)
	fmt.Println(tracker.Observe(now.Add(time.Second), unread, 0).Timeout)
	unread.LastAck, unread.Sent = 2*time.Second, 2
	fmt.Println(tracker.Observe(now.Add(2900*time.Millisecond), unread, 0).Gone)
	// Output:
	// 1.5s
	// true
}
