package replica_test

import (
	"context"
	"sync"
	"testing"
	"time"
)

// TestReadIndexOfANewLeaderCoversConfirmedCommands guards against a leader that, right after its
// election, confirms a read with an index below that of a command confirmed before.
func TestReadIndexOfANewLeaderCoversConfirmedCommands(t *testing.T) {
	c, _ := newSlowCluster(t, 2, 60*time.Millisecond, 0)
	c.delay.Store(int64(5 * time.Millisecond)) // the others don't know yet that the command is committed
	for range 6 {
		first := c.waitForLeader(t)
		var confirmed uint64
		eventually(t, "command", func() bool { confirmed = propose(c.replicas[first]); return confirmed > 0 })
		c.isolated.Store(int64(first))
		var group sync.WaitGroup
		for i, r := range c.replicas {
			if i == first {
				continue
			}
			group.Go(func() {
				for until := time.Now().Add(700 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					index, err := r.ReadBarrier(ctx)
					cancel()
					if err == nil && index < confirmed {
						t.Errorf("a read is confirmed with index %d after a command with index %d", index, confirmed)
						return
					}
				}
			})
		}
		group.Wait()
		c.isolated.Store(-1)
		c.waitForLeader(t)
	}
}
