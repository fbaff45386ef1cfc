// Package duty holds the waits of duties: loops that go on until their context
// ends, and not a moment longer.
package duty

import (
	"context"
	"time"
)

// Pause waits for so long, or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls do after each period until ctx ends. A call that takes longer than
// the period delays the next; none is made up for.
func Every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
