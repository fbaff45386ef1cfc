// Package steady reads the clock that leases are measured with: it never jumps, and
// it goes on while the machine is suspended, unlike the monotonic clock of package
// time.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now gives the time since the machine was started. Where the system has no such
// clock it is that of the monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // every Linux has it
	}
	return time.Duration(t.Nano())
}
