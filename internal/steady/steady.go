// Package steady reads a monotonic clock that also advances while the machine is
// suspended, unlike the monotonic clock of package time. Leases, the age of reports and
// the waits of callers are measured with it: by the clock of package time, a process that
// resumes after a suspension would treat an expired lease as valid, a stale report as
// fresh, and a caller that is gone as waiting.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. It falls back to CLOCK_MONOTONIC
// where the system has no CLOCK_BOOTTIME.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// origin is the wall-clock time at which Now was zero, as computed when the process was
// started. It carries no reading of the monotonic clock.
var origin = time.Now().Round(0).Add(-Now())

// Time returns Now as a time.Time near the wall-clock time. Compare it only with other
// results of Time: the wall clock may have been set since the process was started.
func Time() time.Time { return origin.Add(Now()) }
