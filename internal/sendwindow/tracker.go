package sendwindow

import "time"

// Timing of a connection with pending data.
const (
	// Timeout is for how long a peer may leave sent data unanswered. It is also TCP_USER_TIMEOUT of a
	// connection without pending data, whose keep-alive probes it bounds.
	Timeout = 1200 * time.Millisecond
	// pausedTime is for how long the process may not run before the kernel ends a connection with
	// pending data.
	pausedTime = 30 * time.Second
	// maxProbeInterval bounds the time between two probes of a closed window where the kernel can
	// limit it.
	maxProbeInterval = time.Second
	// probeInterval bounds it elsewhere, by the steps in which the timeout is extended.
	probeInterval = 500 * time.Millisecond
	// delayFactor is how many average delays of observations a step is longer.
	delayFactor = 4
	// goneProbes is how many probes in a row the peer has to leave unanswered: one may be lost. Those
	// that it need not answer don't count.
	goneProbes = 2
	// answerInterval is the time between two answers of a peer's kernel to probes.
	answerInterval = 500 * time.Millisecond
	// ackPrecision bounds the error of the time since the peer's last segment: the kernel counts in
	// units of up to 10 ms.
	ackPrecision = 20 * time.Millisecond
	// openTicks is how many observations in a row have to find the window open before it counts as
	// open. The kernel goes on counting the time of a closed window while the peer opens it by less
	// than a segment.
	openTicks = 8
)

// Status is the state of a connection, from TCP_INFO.
type Status struct {
	Unacked     uint32        // segments in flight
	Unsent      uint32        // bytes that wait to be sent
	Window      uint32        // bytes that the peer accepts
	Probes      uint32        // probes of the window since the peer's last acknowledgement
	Retransmits uint32        // segments sent again so far
	LastAck     time.Duration // since the peer's last acknowledgement
	LastData    time.Duration // since the peer's last segment with new data
	Writing     bool          // a Write has not returned
}

// pending reports whether data waits for the peer, or may do so at any moment.
func (s Status) pending() bool { return s.Writing || s.Unacked > 0 || s.Unsent > 0 }

// closed reports whether data waits for the peer to open its window. What it didn't accept of
// the data in flight is sent again.
func (s Status) closed() bool {
	if s.Unacked > 0 {
		return s.Window == 0
	}
	return s.Unsent > 0
}

// silence returns the time since the peer's last segment. The kernel doesn't count data as an
// acknowledgement if it acknowledges nothing new.
func (s Status) silence() time.Duration { return min(s.LastAck, s.LastData) }

// lastAckIsAnswer reports whether the peer's last acknowledgement may answer a probe: it came without
// data.
func (s Status) lastAckIsAnswer() bool { return (s.LastAck - s.LastData).Abs() > ackPrecision }

// Tracker decides when a connection with pending data ends. NewTracker makes one. It is not safe
// for concurrent use.
type Tracker struct {
	observedAt   time.Time
	pendingSince time.Time     // zero without pending data
	closedSince  time.Time     // zero unless the peer's window is closed, or was lately
	open         int           // observations since the window was closed
	timeout      time.Duration // TCP_USER_TIMEOUT now
	probes       uint32        // unanswered probes at the last observation
	excused      uint32        // those of them that the peer need not answer
	retransmits  uint32        // segments sent again until the peer's last one was observed
	paced        bool          // the kernel limits the time between two probes
}

// NewTracker returns a tracker of a connection without pending data. paced reports whether the
// kernel probes a closed window each second at least, whatever the timeout.
func NewTracker(paced bool) Tracker { return Tracker{timeout: Timeout, paced: paced} }

// Decision is what is to be done about a connection.
type Decision struct {
	Timeout time.Duration // TCP_USER_TIMEOUT from now on; 0 to leave it
	Gone    bool          // the peer has vanished
	Pending bool          // observe the connection again
}

// BeginWrite returns the TCP_USER_TIMEOUT to set before data is written, 0 to leave it.
func (t *Tracker) BeginWrite() time.Duration { return t.set(max(t.timeout, pausedTime)) }

// Observe takes the status of the connection at a time and returns what to do. delay is how
// late observations are at the moment.
func (t *Tracker) Observe(now time.Time, status Status, delay time.Duration) Decision {
	if !status.pending() {
		decision := Decision{Timeout: t.set(Timeout)}
		*t = Tracker{timeout: t.timeout, retransmits: status.Retransmits, paced: t.paced}
		return decision
	}
	previous := t.observedAt
	t.observedAt = now
	if t.pendingSince.IsZero() {
		t.pendingSince = now
	}
	t.noteWindow(status, previous)
	unanswered := t.unanswered(status, now.Sub(previous))
	if now.Sub(t.pendingSince) >= Timeout && status.silence() >= Timeout && unanswered >= goneProbes {
		return Decision{Gone: true}
	}
	return Decision{Pending: true, Timeout: t.set(t.kernelTimeout(delay))}
}

// unanswered returns how many probes and retransmits the peer should have answered since its last
// segment. elapsed is the time since the previous observation.
func (t *Tracker) unanswered(status Status, elapsed time.Duration) uint32 {
	if status.silence()-ackPrecision <= elapsed {
		t.retransmits = status.Retransmits
	}
	if status.LastAck-ackPrecision <= elapsed || status.Probes < t.probes {
		t.probes, t.excused = 0, 0
	}
	// The peer's kernel doesn't answer probes that follow an answer too soon.
	sentAfter := status.LastAck - elapsed/2 // on average
	if status.lastAckIsAnswer() && sentAfter < answerInterval {
		t.excused += status.Probes - t.probes
	}
	t.probes = status.Probes
	return status.Probes - t.excused + status.Retransmits - t.retransmits
}

// noteWindow notes since when the peer's window is closed. previous is the time of the previous
// observation, zero for the first.
func (t *Tracker) noteWindow(status Status, previous time.Time) {
	switch {
	case !status.closed():
		t.open++
	case t.closedSince.IsZero() && previous.IsZero():
		t.closedSince = t.observedAt
		t.open = 0
	case t.closedSince.IsZero():
		t.closedSince = previous
		t.open = 0
	default:
		t.open = 0
	}
	if t.open >= openTicks {
		t.closedSince = time.Time{}
	}
}

// kernelTimeout returns the timeout with which the connection outlives the next observations.
// The kernel counts it from the first probe or retransmit on that made no progress.
func (t *Tracker) kernelTimeout(delay time.Duration) time.Duration {
	switch {
	case t.closedSince.IsZero():
		return pausedTime
	case !t.paced:
		return max(Timeout, t.Stalled()+probeInterval+delayFactor*delay)
	}
	// Rounded, to set it only now and then.
	return (t.Stalled() + 2*pausedTime).Truncate(pausedTime)
}

// Stalled returns for how long the peer has kept its window closed.
func (t *Tracker) Stalled() time.Duration {
	if t.closedSince.IsZero() {
		return 0
	}
	return t.observedAt.Sub(t.closedSince)
}

// set returns the timeout to set, 0 if it is the present one.
func (t *Tracker) set(timeout time.Duration) time.Duration {
	if timeout == t.timeout {
		return 0
	}
	t.timeout = timeout
	return timeout
}
