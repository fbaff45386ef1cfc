package duty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/linenscale/linenscale/internal/duty"
)

func ExampleEvery() {
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	duty.Every(ctx, time.Millisecond, func() {
		if n++; n == 3 {
			cancel()
		}
	})
	fmt.Println(n)
	// Output: 3
}

// TestWaitsEndWithContext guards against waits that ignore the end of their context:
// either would block for an hour.
func TestWaitsEndWithContext(_ *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	duty.Pause(ctx, time.Hour)
	duty.Every(ctx, time.Hour, func() {})
}
