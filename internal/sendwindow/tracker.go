package sendwindow

import "time"

// Timing of a connection whose peer leaves data unread.
const (
	// Timeout is TCP_USER_TIMEOUT of a connection: for how long sent data may stay
	// unacknowledged.
	Timeout = 1200 * time.Millisecond
	// maxProbeInterval bounds the time between two probes of a closed window where the kernel can
	// limit it.
	maxProbeInterval = time.Second
	// pacedSlack is how long the process may not run, there, before the timeout runs out.
	pacedSlack = 5 * time.Second
	// probeInterval bounds it elsewhere, but for the time between two observations, by the steps in
	// which the timeout is extended.
	probeInterval = 500 * time.Millisecond
	// goneProbes is how many probes in a row the peer has to leave unanswered. A live one may leave
	// one: its kernel answers twice a second at most.
	goneProbes = 2
	// ackPrecision bounds the error of the time since the peer's last segment: the kernel counts in
	// units of up to 10 ms.
	ackPrecision = 20 * time.Millisecond
	// openTicks is how many observations in a row have to find the window open before the
	// usual timeout applies again. The kernel goes on counting the time of a closed window
	// while the peer opens it by less than a segment.
	openTicks = 8
)

// Status is the state of a connection's sending side, from TCP_INFO.
type Status struct {
	Unacked uint32        // segments in flight
	Unsent  uint32        // bytes that wait to be sent
	Window  uint32        // bytes that the peer accepts
	Sent    uint32        // segments so far, with retransmits and probes
	LastAck time.Duration // since the last segment of the peer
}

// pending reports whether data waits for the peer.
func (s Status) pending() bool { return s.Unacked > 0 || s.Unsent > 0 }

// closed reports whether data waits for the peer to open its window. What it didn't accept of
// the data in flight is sent again.
func (s Status) closed() bool { return s.pending() && (s.Window == 0 || s.Unacked == 0) }

// Tracker decides when a connection ends whose peer leaves data unread. NewTracker makes
// one. It is not safe for concurrent use.
type Tracker struct {
	observedAt  time.Time
	closedSince time.Time     // zero unless the peer's window is closed, or was lately
	open        int           // observations since the window was closed
	timeout     time.Duration // TCP_USER_TIMEOUT now; 0 for Timeout
	sentAtAck   uint32        // segments sent until the peer's last one was observed
	paced       bool          // the kernel limits the time between two probes
}

// NewTracker returns a tracker of a connection without pending data. paced reports whether the
// kernel probes a closed window each second at least, whatever the timeout.
func NewTracker(paced bool) Tracker { return Tracker{paced: paced} }

// Decision is what is to be done about a connection.
type Decision struct {
	Timeout time.Duration // TCP_USER_TIMEOUT from now on; 0 to leave it
	Gone    bool          // the peer has vanished
	Pending bool          // observe the connection again
}

// Observe takes the status of the connection at a time and returns what to do. delay is how
// late observations are at the moment.
func (t *Tracker) Observe(now time.Time, status Status, delay time.Duration) Decision {
	observedBefore := t.observedAt
	t.observedAt = now
	if !status.pending() {
		return t.settle(Decision{})
	}
	unanswered := t.unanswered(status, now.Sub(observedBefore))
	switch {
	case !status.closed():
		t.open++
	case t.closedSince.IsZero() && observedBefore.IsZero():
		t.closedSince = now
	case t.closedSince.IsZero():
		t.closedSince = observedBefore
		t.open = 0
	default:
		t.open = 0
	}
	if t.closedSince.IsZero() || t.open >= openTicks {
		return t.settle(Decision{Pending: true})
	}
	if status.LastAck >= Timeout && unanswered >= goneProbes {
		return Decision{Gone: true}
	}
	slack := probeInterval + delay
	if t.paced {
		slack = pacedSlack
	}
	return Decision{Pending: true, Timeout: t.extend(now.Sub(t.closedSince) + slack)}
}

// unanswered returns how many segments were sent since the peer's last one. Those before the first
// observation after that aren't counted: they may be data, of which the peer drops what its
// buffer has no room for.
func (t *Tracker) unanswered(status Status, sinceLast time.Duration) uint32 {
	if status.LastAck <= sinceLast+ackPrecision {
		t.sentAtAck = status.Sent
	}
	return status.Sent - t.sentAtAck
}

// Stalled returns for how long the peer has kept its window closed.
func (t *Tracker) Stalled() time.Duration {
	if t.closedSince.IsZero() {
		return 0
	}
	return t.observedAt.Sub(t.closedSince)
}

// extend returns the timeout to set so that the connection outlives the next observation,
// 0 if the present one does.
func (t *Tracker) extend(timeout time.Duration) time.Duration {
	if timeout <= max(t.timeout, Timeout) {
		return 0
	}
	t.timeout = timeout
	return timeout
}

// settle forgets the closed window, and restores the usual timeout in d if it was extended.
func (t *Tracker) settle(d Decision) Decision {
	if t.timeout > 0 {
		d.Timeout = Timeout
	}
	settled := Tracker{sentAtAck: t.sentAtAck, paced: t.paced}
	if d.Pending {
		settled.observedAt = t.observedAt
	}
	*t = settled
	return d
}
