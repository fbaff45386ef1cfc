package entryweight

import (
	"fmt"
	"math"
	"time"
)

// Load is the load of a gateway relative to its capacity at present. It has few values
// because each change is told to all hosts.
type Load uint8

// Levels of load. The zero value is also that of a host which announces none.
const (
	Normal Load = iota
	Busy
	Overloaded
	CannotServe
)

// String returns the value used in logs.
func (l Load) String() string {
	if l > CannotServe {
		return fmt.Sprintf("unknown (%d)", uint8(l))
	}
	return [...]string{"normal", "busy", "overloaded", "cannot_serve"}[l]
}

// factor returns by how much the load lowers what a gateway is given.
func (l Load) factor() float64 {
	switch l {
	case Normal:
		return 1
	case Busy:
		return 1.0 / 2
	case CannotServe:
		return 0
	default: // Overloaded, and what a later version may announce
		return 1.0 / 4
	}
}

const (
	// busyDelay and overloadedDelay are how late a gateway's tasks run on average. A host
	// with a share of a core gets it ten times a second, so that 0.1 s says little; and
	// a request waits several times, of a second that callers wait for a first event.
	busyDelay       = 120 * time.Millisecond
	overloadedDelay = 300 * time.Millisecond
	// busyBuffers and overloadedBuffers are the shares of the memory for requests' bodies
	// and answers that are in use. When it is full, requests are refused.
	busyBuffers       = 0.5
	overloadedBuffers = 0.8
	// buffersTimeConstant is that of the average of the buffers in use. One large body may fill
	// them for as long as it takes to relay.
	buffersTimeConstant = time.Second
	// riseTime is how long a threshold must be exceeded before the level rises. What is over
	// sooner is over before callers have the answers that it would lead to.
	riseTime = time.Second
	// recovered is the fraction of a threshold below which a level ends, and minDuration how
	// long it lasts at least: within that time callers act upon the answers that it led to.
	recovered   = 0.7
	minDuration = 2 * time.Second
)

// Measurement is what a gateway measures of itself.
type Measurement struct {
	Delay   time.Duration // of its tasks, averaged over about a second
	Buffers float64       // share in use at the moment
	Ready   bool          // it accepts requests
}

// Meter turns measurements into a level of load that changes seldom. The zero value is
// Normal. It is not safe for concurrent use.
type Meter struct {
	level      Load
	changedAt  time.Time
	buffers    float64 // average share in use
	measuredAt time.Time
	exceededAt [CannotServe]time.Time // by level: since when its threshold is exceeded; zero if it isn't
}

// Observe returns the level after a measurement. A gateway that isn't ready, or is ready
// again, is so at once.
func (m *Meter) Observe(measured Measurement, now time.Time) Load {
	if weight := now.Sub(m.measuredAt).Seconds() / buffersTimeConstant.Seconds(); weight > 0 {
		m.buffers += (measured.Buffers - m.buffers) * -math.Expm1(-weight)
		m.measuredAt = now
	}
	measured.Buffers = m.buffers
	level := measured.level(1)
	lasting := m.lastingLevel(level, now)
	if held := measured.level(recovered); level < m.level && held > level {
		level = min(held, m.level)
	}
	switch {
	case level != CannotServe && m.level == CannotServe:
		level = lasting
	case level != CannotServe && level > m.level:
		level = max(lasting, m.level)
	}
	readiness := level == CannotServe || m.level == CannotServe
	if level != m.level && (readiness || level > m.level || now.Sub(m.changedAt) >= minDuration) {
		m.level, m.changedAt = level, now
	}
	return m.level
}

// lastingLevel returns the highest level whose threshold has been exceeded for riseTime, after a
// measurement of the given level.
func (m *Meter) lastingLevel(measured Load, now time.Time) (lasting Load) {
	for level := Busy; level < CannotServe; level++ {
		switch {
		case measured < level || measured == CannotServe:
			m.exceededAt[level] = time.Time{}
		case m.exceededAt[level].IsZero():
			m.exceededAt[level] = now
		case now.Sub(m.exceededAt[level]) >= riseTime:
			lasting = level
		}
	}
	return lasting
}

// level returns the level for thresholds multiplied by a factor.
func (m Measurement) level(factor float64) Load {
	exceeds := func(delay time.Duration, buffers float64) bool {
		return float64(m.Delay) > factor*float64(delay) || m.Buffers > factor*buffers
	}
	switch {
	case !m.Ready:
		return CannotServe
	case exceeds(overloadedDelay, overloadedBuffers):
		return Overloaded
	case exceeds(busyDelay, busyBuffers):
		return Busy
	default:
		return Normal
	}
}
