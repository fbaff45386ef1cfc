package sendwindow

import "time"

// Timing of a connection whose peer leaves data unread.
const (
	// Timeout is TCP_USER_TIMEOUT of a connection: for how long sent data may stay
	// unacknowledged.
	Timeout = 1200 * time.Millisecond
	// probeInterval bounds the time between two probes of a closed window, but for the time
	// between two observations. Two of them fit into Timeout, so that one lost probe doesn't
	// end a connection.
	probeInterval = 500 * time.Millisecond
	// goneProbes is how many probes in a row the peer has to leave unanswered.
	goneProbes = 2
	// ackPrecision bounds by how much two observations may differ about the moment of the same
	// segment. The kernel counts in units of up to 10 ms.
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

// Tracker decides when a connection ends whose peer leaves data unread. The zero value is a
// connection without pending data. It is not safe for concurrent use.
type Tracker struct {
	observedAt  time.Time
	closedSince time.Time     // zero unless the peer's window is closed, or was lately
	open        int           // observations since the window was closed
	timeout     time.Duration // TCP_USER_TIMEOUT now; 0 for Timeout
	ackedAt     time.Time     // when the peer's last segment arrived
	sentAtAck   uint32        // segments sent until that was observed
}

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
	unanswered := t.unanswered(status)
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
	return Decision{Pending: true, Timeout: t.extend(now.Sub(t.closedSince) + probeInterval + delay)}
}

// unanswered returns how many segments have been sent since the peer's last one.
func (t *Tracker) unanswered(status Status) uint32 {
	if ackedAt := t.observedAt.Add(-status.LastAck); ackedAt.Sub(t.ackedAt) > ackPrecision {
		t.ackedAt, t.sentAtAck = ackedAt, status.Sent
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
	settled := Tracker{ackedAt: t.ackedAt, sentAtAck: t.sentAtAck}
	if d.Pending {
		settled.observedAt = t.observedAt
	}
	*t = settled
	return d
}
