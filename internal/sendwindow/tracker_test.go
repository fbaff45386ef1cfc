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

// connection simulates the kernel's side of a connection whose peer closed its window at time
// 0: window probes with exponential backoff, bounded by what is left of the user timeout.
type connection struct {
	answers func(now time.Duration) bool // whether the peer answers a probe

	timeout, backoff, maxBackoff, nextProbe, lastAck time.Duration
	sent                                             uint32
	tracker                                          sendwindow.Tracker
}

// newConnection returns a connection whose kernel limits the time between two probes, or not.
func newConnection(paced bool, answers func(now time.Duration) bool) *connection {
	const firstBackoff = 200 * time.Millisecond
	c := &connection{answers: answers, timeout: sendwindow.Timeout, backoff: firstBackoff, maxBackoff: 2 * time.Minute, nextProbe: firstBackoff, tracker: sendwindow.NewTracker(paced)}
	if paced {
		c.maxBackoff = time.Second
	}
	return c
}

// eachKernel runs test for both kinds of kernels.
func eachKernel(t *testing.T, test func(t *testing.T, paced bool)) {
	t.Helper()
	for _, paced := range []bool{true, false} {
		t.Run(fmt.Sprint("paced ", paced), func(t *testing.T) { test(t, paced) })
	}
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
	c.backoff = min(2*c.backoff, c.maxBackoff)
	c.nextProbe = now + min(c.backoff, c.timeout-now)
	return true
}

func always(time.Duration) bool { return true }

// TestLivePeerKeepsItsConnection guards against ending a connection whose peer answers the
// probes of its closed window.
func TestLivePeerKeepsItsConnection(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		must.Eq(t, time.Minute, newConnection(paced, always).endsAt(time.Minute, always))
	})
}

// TestLostProbeDoesNotEndAConnection guards against taking one lost probe for a peer that is
// gone: every third is lost.
func TestLostProbeDoesNotEndAConnection(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		probes := 0
		answers := func(time.Duration) bool {
			probes++
			return probes%3 != 0
		}
		must.Eq(t, time.Minute, newConnection(paced, answers).endsAt(time.Minute, always))
	})
}

// TestProbeWithoutAnAnswerIsNoLoss guards against taking a peer for gone whose kernel answers twice a
// second at most: the second probe follows the first one sooner.
func TestProbeWithoutAnAnswerIsNoLoss(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		var answered time.Duration
		answers := func(now time.Duration) bool {
			if answered > 0 && now-answered < 500*time.Millisecond {
				return false
			}
			answered = now
			return true
		}
		must.Eq(t, time.Minute, newConnection(paced, answers).endsAt(time.Minute, always))
	})
}

// TestLateObservationsDoNotEndAConnection guards against a timeout that runs out while the
// process doesn't run.
func TestLateObservationsDoNotEndAConnection(t *testing.T) {
	for _, at := range []struct {
		paced         bool
		period, pause time.Duration
	}{
		{true, 3 * time.Second, 400 * time.Millisecond},
		{false, 3 * time.Second, 400 * time.Millisecond},
		{true, 10 * time.Second, 4 * time.Second},
	} {
		observed := func(now time.Duration) bool { return now%at.period < at.period-at.pause }
		must.Eq(t, time.Minute, newConnection(at.paced, always).endsAt(time.Minute, observed), must.Sprint(at))
	}
}

// TestPeerThatVanishesIsFound guards against probes that become rare while the window stays
// closed: a peer that vanishes at any moment must be found.
func TestPeerThatVanishesIsFound(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		within := sendwindow.Timeout + 2*observation
		if paced {
			within = 2*time.Second + 2*observation // two probes
		}
		for gone := time.Duration(0); gone < 20*time.Second; gone += 10 * time.Millisecond {
			c := newConnection(paced, func(now time.Duration) bool { return now < gone })
			found := c.endsAt(time.Minute, always)
			must.LessEq(t, within, found-c.lastAck, must.Sprintf("gone at %s, last seen at %s", gone, c.lastAck))
		}
	})
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
			tracker := sendwindow.NewTracker(false)
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
	tracker := sendwindow.NewTracker(false)
	now := time.Now()
	for range 20 {
		now = now.Add(observation)
		decision := tracker.Observe(now, sendwindow.Status{Unacked: 3, Unsent: 100, Window: 1 << 16}, 0)
		must.Eq(t, sendwindow.Decision{Pending: true}, decision)
	}
}

// TestDroppedDataIsNoProbe guards against counting data that the peer had no room for as probes that
// it left unanswered: it was sent just after the peer's last segment was observed, and the first
// probe is due a second later.
func TestDroppedDataIsNoProbe(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		tracker := sendwindow.NewTracker(paced)
		now := time.Now()
		const acked, probed = 10 * time.Millisecond, 1300 * time.Millisecond // after the first observation
		for at := time.Duration(0); at < probed; at += observation {
			status := sendwindow.Status{Unacked: 3, Unsent: 1, Sent: 10}
			if at > 0 {
				status.LastAck, status.Sent = at-acked, 14
			}
			must.False(t, tracker.Observe(now.Add(at), status, 0).Gone, must.Sprint(at))
		}
	})
}

func ExampleTracker_Observe() {
	tracker := sendwindow.NewTracker(false)
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
