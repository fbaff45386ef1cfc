// Package duty provides waits for background loops. A wait returns as soon as the loop's
// context ends.
package duty

import (
	"context"
	"time"
)

// Pause blocks for the given time or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls fn after each period until ctx ends. A call that takes longer than the period
// delays the next one; the calls missed in the meantime are dropped.
func Every(ctx context.Context, period time.Duration, fn func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}
