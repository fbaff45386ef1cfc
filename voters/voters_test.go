package voters_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/voters"
)

// TestWhoWasSuspendedFindsNobodyLost asks each quarter of a second, but for a break of
// twenty seconds, in which the others' heartbeats weren't heard: for two seconds after it
// nobody may be found lost.
func TestWhoWasSuspendedFindsNobodyLost(t *testing.T) {
	const long, step = 2 * time.Second, 250 * time.Millisecond
	var p voters.PauseDetector
	now := time.Unix(1000, 0)
	after := func(rounds int) bool {
		rested := false
		for range rounds {
			now = now.Add(step)
			rested = p.RunningFor(now, long)
		}
		return rested
	}
	must.False(t, after(8), must.Sprint("it has just started"))
	must.True(t, after(1))
	must.True(t, after(100))
	now = now.Add(20 * time.Second)
	must.False(t, after(8))
	must.True(t, after(1))
}
