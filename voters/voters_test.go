package voters_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/voters"
)

// TestPauseDetectorRestartsAfterSuspension guards against a leader that resumes after a
// suspension of 20 s and replaces healthy voters, whose heartbeats it couldn't receive: no
// voter may count as lost in the 2 s after it resumes.
func TestPauseDetectorRestartsAfterSuspension(t *testing.T) {
	const atLeast, step = 2 * time.Second, 250 * time.Millisecond
	var detector voters.PauseDetector
	now := time.Unix(1000, 0)
	after := func(calls int) bool {
		running := false
		for range calls {
			now = now.Add(step)
			running = detector.RunningFor(now, atLeast)
		}
		return running
	}
	must.False(t, after(8), must.Sprint("the process has just started"))
	must.True(t, after(1))
	must.True(t, after(100))
	now = now.Add(20 * time.Second)
	must.False(t, after(8))
	must.True(t, after(1))
}
