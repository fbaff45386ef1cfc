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

// connection simulates the kernel's side of a connection whose peer closed its window at time 0:
// window probes with exponential backoff, bounded by what is left of the user timeout. The peer's
// kernel answers probes twice a second at most.
type connection struct {
	answers func(now time.Duration) bool // whether a probe reaches the peer and its answer arrives
	sends   func(now time.Duration) segment

	timeout, backoff, maxBackoff, nextProbe, lastAck, lastData, lastAnswer time.Duration
	probes                                                                 uint32
	tracker                                                                sendwindow.Tracker
}

// segment is what arrives from the peer of its own accord.
type segment int

// Segments.
const (
	none segment = iota
	// dataOnly is data that the kernel receives without looking at its acknowledgement.
	dataOnly
	// dataAndAck is data whose acknowledgement the kernel processes. It postpones the next probe.
	dataAndAck
)

// newConnection returns a connection whose kernel limits the time between two probes, or not.
func newConnection(paced bool, answers func(now time.Duration) bool) *connection {
	const firstBackoff = 200 * time.Millisecond
	c := &connection{
		answers: answers, sends: func(time.Duration) segment { return none },
		backoff: firstBackoff, maxBackoff: 2 * time.Minute, nextProbe: firstBackoff, lastAnswer: -time.Hour,
		tracker: sendwindow.NewTracker(paced),
	}
	c.timeout = c.tracker.BeginWrite()
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
		c.receive(now)
		if now == c.nextProbe && !c.probe(now) {
			return now
		}
		if now%observation != 0 || !observed(now) {
			continue
		}
		status := sendwindow.Status{Unsent: 1, Probes: c.probes, LastAck: now - c.lastAck, LastData: now - c.lastData}
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

// receive receives what the peer sends at a time.
func (c *connection) receive(now time.Duration) {
	sent := c.sends(now)
	if sent != none {
		c.lastData = now
	}
	if sent == dataAndAck {
		c.acknowledge(now)
	}
}

// acknowledge receives an acknowledgement, which postpones the next probe.
func (c *connection) acknowledge(now time.Duration) {
	c.lastAck = now
	c.probes = 0
	c.nextProbe = now + max(time.Millisecond, min(c.backoff, c.timeout-now))
}

// probe sends a probe and reports whether the connection is still open.
func (c *connection) probe(now time.Duration) bool {
	if now >= c.timeout {
		return false
	}
	c.probes++
	c.backoff = min(2*c.backoff, c.maxBackoff)
	c.nextProbe = now + min(c.backoff, c.timeout-now)
	if c.answers(now) && now-c.lastAnswer >= 500*time.Millisecond {
		c.lastAnswer = now
		c.acknowledge(now)
	}
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

// everyTalk returns a peer that sends a segment at regular intervals until it vanishes.
func everyTalk(interval, gone time.Duration, kind segment) func(now time.Duration) segment {
	return func(now time.Duration) segment {
		if now >= gone || now%interval != 0 {
			return none
		}
		return kind
	}
}

// TestPeerThatSendsKeepsItsConnection guards against taking a peer for gone that sends data while it
// leaves data unread: whether that data counts as an acknowledgement, and whether probes are postponed.
func TestPeerThatSendsKeepsItsConnection(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		for _, kind := range []segment{dataOnly, dataAndAck} {
			for interval := 10 * time.Millisecond; interval < 3*time.Second; interval += 70 * time.Millisecond {
				for _, late := range []time.Duration{0, 400 * time.Millisecond} {
					c := newConnection(paced, always)
					c.sends = everyTalk(interval, time.Hour, kind)
					observed := func(now time.Duration) bool { return now%(3*time.Second) < 3*time.Second-late }
					must.Eq(t, time.Minute, c.endsAt(time.Minute, observed), must.Sprint(kind, interval, late))
				}
			}
		}
	})
}

// TestPeerThatVanishesIsFound guards against probes that become rare while the window stays
// closed: a peer that vanishes at any moment must be found, also one that has just sent data.
func TestPeerThatVanishesIsFound(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		within := sendwindow.Timeout + 2*observation
		if paced {
			within = 2*time.Second + 2*observation // two probes
		}
		for _, kind := range []segment{none, dataOnly, dataAndAck} {
			for gone := time.Duration(0); gone < 20*time.Second; gone += 10 * time.Millisecond {
				c := newConnection(paced, func(now time.Duration) bool { return now < gone })
				c.sends = everyTalk(290*time.Millisecond, gone, kind)
				found := c.endsAt(time.Minute, always)
				lastSign := max(c.lastAck, c.lastData)
				must.LessEq(t, within, found-lastSign, must.Sprintf("%d gone at %s, last seen at %s", kind, gone, lastSign))
			}
		}
	})
}

// TestTimeoutIsRestored guards against an extended timeout that stays once everything is
// acknowledged: the keep-alive would find a peer late that vanishes then.
func TestTimeoutIsRestored(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		tracker := sendwindow.NewTracker(paced)
		now := time.Now()
		timeout := tracker.BeginWrite()
		for i := range 60 {
			now = now.Add(observation)
			var observed sendwindow.Status
			if i < 30 {
				observed = sendwindow.Status{Unsent: 1}
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

// TestPeerThatVanishesWithItsWindowOpenIsFound guards against data in flight that keeps a connection
// open for longer than Timeout, whether the peer had left data unread before or not.
func TestPeerThatVanishesWithItsWindowOpenIsFound(t *testing.T) {
	retransmits := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	eachKernel(t, func(t *testing.T, paced bool) {
		for _, unread := range []int{0, 1, 30} { // observations
			for lag := time.Duration(0); lag < observation; lag += 10 * time.Millisecond {
				tracker := sendwindow.NewTracker(paced)
				now := time.Now()
				tracker.BeginWrite()
				for range unread {
					now = now.Add(observation)
					must.False(t, tracker.Observe(now, sendwindow.Status{Unsent: 1}, 0).Gone)
				}
				silence := lag
				for gone := false; !gone; silence += observation {
					now = now.Add(observation)
					status := sendwindow.Status{Unacked: 3, Unsent: 100, Window: 1 << 16, LastAck: silence, LastData: silence}
					for _, at := range retransmits {
						if silence >= at {
							status.Retransmits++
						}
					}
					gone = tracker.Observe(now, status, 0).Gone
					must.LessEq(t, sendwindow.Timeout+2*observation, silence)
				}
				must.Greater(t, sendwindow.Timeout, silence)
			}
		}
	})
}

// TestDataInFlightKeepsTheConnection guards against ending a connection whose peer acknowledges what
// is sent, however often the link loses some of it.
func TestDataInFlightKeepsTheConnection(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		tracker := sendwindow.NewTracker(paced)
		now := time.Now()
		for i := range uint32(100) {
			now = now.Add(observation)
			status := sendwindow.Status{Unacked: 3, Unsent: 100, Window: 1 << 16, Retransmits: 5 * i, LastAck: observation / 2, LastData: time.Hour}
			must.False(t, tracker.Observe(now, status, 0).Gone)
		}
	})
}

// TestWriteAfterSilenceIsNoLoss guards against taking the time in which nothing was sent for silence
// of the peer.
func TestWriteAfterSilenceIsNoLoss(t *testing.T) {
	eachKernel(t, func(t *testing.T, paced bool) {
		tracker := sendwindow.NewTracker(paced)
		now := time.Now()
		tracker.BeginWrite()
		must.Eq(t, sendwindow.Decision{Pending: true}, tracker.Observe(now, sendwindow.Status{Writing: true, LastAck: time.Hour, LastData: time.Hour}, 0))
		for at := observation; at < sendwindow.Timeout; at += observation {
			status := sendwindow.Status{Unacked: 1, Window: 1 << 16, Retransmits: 2, LastAck: time.Hour, LastData: time.Hour}
			must.False(t, tracker.Observe(now.Add(at), status, 0).Gone)
		}
	})
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
			status := sendwindow.Status{Unacked: 3, Unsent: 1, Retransmits: 10}
			if at > 0 {
				status.LastAck, status.Retransmits = at-acked, 14
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
	unread.LastAck, unread.LastData, unread.Probes = 2*time.Second, 2*time.Second, 2
	fmt.Println(tracker.Observe(now.Add(2900*time.Millisecond), unread, 0).Gone)
	// Output:
	// 1.5s
	// true
}
