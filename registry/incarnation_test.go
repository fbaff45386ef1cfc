package registry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/registry"
)

// heartbeatOf returns a heartbeat of the incarnation of i-1 with that start time.
func heartbeatOf(born, sequence int64) registry.Engine {
	e := heartbeat("i-1", sequence)
	e.Born = born
	return e
}

// TestEngineRestartsUnderTheSameID restarts an engine, whose sequence numbers begin anew.
// Delayed heartbeats, updates and deregistrations of the earlier incarnation must change
// nothing.
func TestEngineRestartsUnderTheSameID(t *testing.T) {
	draining, left := heartbeatOf(100, 90), heartbeatOf(100, 91)
	draining.Phase, left.Phase = registry.Draining, registry.Left
	for name, before := range map[string]registry.Engine{"ready": heartbeatOf(100, 80), "draining": draining, "left": left} {
		t.Run(name, func(t *testing.T) {
			table, c := newTable("x")
			table.Merge([]registry.Engine{before})
			must.True(t, table.Heartbeat(heartbeatOf(200, 1)))
			must.Eq(t, registry.Ready, phaseOf(t, table, "i-1"))
			c.advance(time.Second)
			must.False(t, table.Heartbeat(heartbeatOf(100, 95)), must.Sprint("a heartbeat of the earlier incarnation"))
			table.Merge([]registry.Engine{draining})
			table.MarkLeft("i-1", 100)
			e, _ := table.Get("i-1")
			must.Eq(t, int64(200), e.Born)
			must.Eq(t, registry.Ready, e.Phase)
			table.MarkLeft("i-1", 200)
			must.Eq(t, registry.Left, phaseOf(t, table, "i-1"))
		})
	}
}

// TestIncarnationsMergeInAnyOrder merges the updates of two control hosts, the one with the
// newer incarnation first.
func TestIncarnationsMergeInAnyOrder(t *testing.T) {
	table, _ := newTable("x")
	table.Merge([]registry.Engine{heartbeatOf(200, 1)})
	table.Merge([]registry.Engine{heartbeatOf(100, 90)})
	e, _ := table.Get("i-1")
	must.Eq(t, int64(200), e.Born)
	must.NotEq(t, heartbeatOf(100, 1).Incarnation(), heartbeatOf(200, 1).Incarnation())
	changes, _ := table.ChangedSince(0, anyEngine)
	must.SliceLen(t, 1, changes)
}

// TestNewIncarnationIsAChange checks that a new incarnation is announced even if nothing
// else differs.
func TestNewIncarnationIsAChange(t *testing.T) {
	table, _ := newTable("x")
	table.Heartbeat(heartbeatOf(100, 5))
	number := table.LastChange()
	must.True(t, table.Heartbeat(heartbeatOf(200, 5)))
	changes, _ := table.ChangedSince(number, anyEngine)
	must.SliceLen(t, 1, changes)
}
