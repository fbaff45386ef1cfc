package registry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/registry"
)

// clock is a manual clock.
type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTable(source string) (*registry.Table, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return registry.New(source, time.Second, c.time), c
}

func heartbeat(id string, sequence int64) registry.Engine {
	return registry.Engine{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 4, Sequence: sequence}
}

func phaseOf(t *testing.T, table *registry.Table, id string) registry.Phase {
	t.Helper()
	e, ok := table.Get(id)
	must.True(t, ok)
	return e.Phase
}

func anyEngine(registry.Engine) bool { return true }

func TestALateHeartbeatChangesNothing(t *testing.T) {
	table, _ := newTable("x")
	draining := heartbeat("i-1", 7)
	draining.Phase = registry.Draining
	must.True(t, table.Heartbeat(heartbeat("i-1", 5)))
	must.True(t, table.Heartbeat(draining))
	must.False(t, table.Heartbeat(heartbeat("i-1", 6)))
	must.Eq(t, registry.Draining, phaseOf(t, table, "i-1"))
}

func TestEngineThatLeftNeverReturns(t *testing.T) {
	table, c := newTable("x")
	table.MarkLeft("i-1", 0) // before any heartbeat arrived here
	table.Heartbeat(heartbeat("i-1", 9))
	must.Eq(t, registry.Left, phaseOf(t, table, "i-1"))
	c.advance(30 * time.Second)
	table.Expire()
	table.Merge([]registry.Engine{heartbeat("i-1", 10)})
	must.Eq(t, registry.Left, phaseOf(t, table, "i-1"))
}

// TestRestoredEnginesNeedHeartbeats restores a ready engine and an earlier, unresponsive
// one at the same address. Without heartbeats the ready one must become unresponsive too,
// and a newer heartbeat must bring it back.
func TestRestoredEnginesNeedHeartbeats(t *testing.T) {
	table, c := newTable("x")
	ended := heartbeat("i-9", 40)
	ended.Phase = registry.Unresponsive
	table.Restore([]registry.Engine{heartbeat("i-1", 5), ended})
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-1"))
	must.Eq(t, registry.Unresponsive, phaseOf(t, table, "i-9"))
	must.False(t, table.Heartbeat(heartbeat("i-1", 4)), must.Sprint("a delayed heartbeat"))
	c.advance(5 * time.Second)
	must.SliceLen(t, 1, table.Expire())
	must.Eq(t, registry.Unresponsive, phaseOf(t, table, "i-1"))
	table.Heartbeat(heartbeat("i-1", 6))
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-1"))
}

// TestRestoredEngineNeedsHeartbeatsToOneHostOnly restores an engine on two hosts, of which
// only one receives its heartbeats. The other must not mark it unresponsive.
func TestRestoredEngineNeedsHeartbeatsToOneHostOnly(t *testing.T) {
	receiver, c := newTable("x")
	other, otherClock := newTable("y")
	for _, table := range []*registry.Table{receiver, other} {
		table.Restore([]registry.Engine{heartbeat("i-1", 5)})
	}
	_, number := receiver.ChangedSince(0, anyEngine) // the other host has these already
	for sequence := int64(6); sequence < 15; sequence++ {
		receiver.Heartbeat(heartbeat("i-1", sequence))
		var changes []registry.Engine
		changes, number = receiver.ChangedSince(number, anyEngine)
		other.Merge(changes)
		c.advance(time.Second)
		otherClock.advance(time.Second)
		must.SliceEmpty(t, receiver.Expire())
		must.SliceEmpty(t, other.Expire())
	}
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
}

func TestOnlyTheReceivingHostMarksAnEngineUnresponsive(t *testing.T) {
	receiver, c := newTable("x")
	receiver.Heartbeat(heartbeat("i-1", 1))
	other := registry.New("y", time.Second, c.time)
	changes, _ := receiver.ChangedSince(0, anyEngine)
	other.Merge(changes)
	c.advance(3 * time.Second)
	must.SliceEmpty(t, receiver.Expire())
	c.advance(time.Second)
	must.SliceLen(t, 1, receiver.Expire())
	must.SliceEmpty(t, other.Expire())
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
	changes, _ = receiver.ChangedSince(0, anyEngine)
	other.Merge(changes)
	must.Eq(t, registry.Unresponsive, phaseOf(t, other, "i-1"))
	// Meanwhile it sends its heartbeats to another host.
	must.True(t, other.Heartbeat(heartbeat("i-1", 2)))
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
	other.Merge(changes)
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
}

func TestAnAddressBelongsToTheNewestIncarnation(t *testing.T) {
	table, _ := newTable("x")
	table.Heartbeat(heartbeat("i-1", 9))
	table.Heartbeat(heartbeat("i-2", 1))
	must.Eq(t, registry.Unresponsive, phaseOf(t, table, "i-1"))
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-2"))
}

// TestADelayedHeartbeatOfACrashedEngineChangesNothing delivers a heartbeat that a partition
// has delayed until another incarnation has the address.
func TestADelayedHeartbeatOfACrashedEngineChangesNothing(t *testing.T) {
	cases := map[string]bool{"of one that was known": true, "of one that wasn't": false}
	for name, known := range cases {
		t.Run(name, func(t *testing.T) {
			table, c := newTable("x")
			if known {
				table.Heartbeat(heartbeat("i-1", 9))
			}
			c.advance(2 * time.Second)
			table.Heartbeat(heartbeat("i-2", 1))
			c.advance(time.Second)
			table.Heartbeat(heartbeat("i-2", 2))
			must.False(t, table.Heartbeat(heartbeat("i-1", 10)))
			must.Eq(t, registry.Ready, phaseOf(t, table, "i-2"))
			if e, ok := table.Get("i-1"); ok {
				must.Eq(t, registry.Unresponsive, e.Phase)
			}
		})
	}
}

// TestAddressReturnsToTheEngineWithHeartbeats lets a delayed first heartbeat claim the
// address of a running engine. The engine must get it back with its next heartbeats, and
// the address must have one owner at a time.
func TestAddressReturnsToTheEngineWithHeartbeats(t *testing.T) {
	table, c := newTable("x")
	table.Heartbeat(heartbeat("i-2", 5))
	table.Heartbeat(heartbeat("i-1", 1)) // delayed, from an engine that crashed at its start
	must.Eq(t, registry.Unresponsive, phaseOf(t, table, "i-2"))
	for sequence := range int64(2) {
		c.advance(time.Second)
		table.Heartbeat(heartbeat("i-2", 6+sequence))
	}
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-2"))
	must.Eq(t, registry.Unresponsive, phaseOf(t, table, "i-1"))
}

func TestChangedSinceReturnsOnlyChanges(t *testing.T) {
	table, c := newTable("x")
	table.Heartbeat(heartbeat("i-1", 1))
	changes, number := table.ChangedSince(0, anyEngine)
	must.SliceLen(t, 1, changes)
	c.advance(time.Second)
	table.Heartbeat(heartbeat("i-1", 2))
	changes, number = table.ChangedSince(number, anyEngine)
	must.SliceEmpty(t, changes, must.Sprint("a heartbeat without changes"))
	changed := table.Changed()
	cold := heartbeat("i-1", 3)
	cold.ColdUntil = c.now.Add(3 * time.Second)
	table.Heartbeat(cold)
	select {
	case <-changed:
	default:
		t.Fatal("a change must close the channel")
	}
	changes, number = table.ChangedSince(number, anyEngine)
	must.SliceLen(t, 1, changes)
	// The end of the cold period draws nearer, which isn't a change.
	c.advance(time.Second)
	nearer := heartbeat("i-1", 4)
	nearer.ColdUntil = c.now.Add(2*time.Second + 10*time.Millisecond)
	table.Heartbeat(nearer)
	changes, _ = table.ChangedSince(number, anyEngine)
	must.SliceEmpty(t, changes)
	changes, _ = table.ChangedSince(0, func(e registry.Engine) bool { return e.DataCentre == "b" })
	must.SliceEmpty(t, changes)
}

func TestConfirmedEnginesAreRetained(t *testing.T) {
	receiver, c := newTable("x")
	receiver.Heartbeat(heartbeat("i-1", 1))
	changes, _ := receiver.ChangedSince(0, anyEngine)
	follower := registry.New("f", time.Second, c.time)
	follower.Merge(changes)
	c.advance(50 * time.Second)
	follower.ConfirmSource("x")
	c.advance(50 * time.Second)
	follower.Expire()
	_, known := follower.Get("i-1")
	must.True(t, known)
	c.advance(20 * time.Second)
	follower.Expire()
	_, known = follower.Get("i-1")
	must.False(t, known)
}

// TestEngineIsReadyAgainWhenItsSourceAnswers guards against an engine that a gateway keeps
// as unresponsive although its control host receives its heartbeats: another control host
// restored it from disk, was partitioned from the first one and marked it unresponsive.
func TestEngineIsReadyAgainWhenItsSourceAnswers(t *testing.T) {
	source, sourceClock := newTable("x")
	restarted, restartedClock := newTable("y")
	gateway, _ := newTable("g")
	source.Heartbeat(heartbeat("i-1", 19))
	initial, number := source.ChangedSince(0, anyEngine)
	gateway.Merge(initial)
	restarted.Restore(initial)
	for sequence := int64(20); sequence < 25; sequence++ {
		sourceClock.advance(time.Second)
		restartedClock.advance(time.Second)
		source.Heartbeat(heartbeat("i-1", sequence))
		source.Expire()
		restarted.Expire()
	}
	suspected, _ := restarted.ChangedSince(0, anyEngine)
	must.Eq(t, registry.Unresponsive, suspected[0].Phase)
	gateway.Merge(suspected)
	changes, _ := source.ChangedSince(number, anyEngine)
	must.SliceEmpty(t, changes, must.Sprint("heartbeats that change nothing aren't sent"))
	gateway.Merge(changes)
	gateway.ConfirmSource("x")
	must.Eq(t, registry.Ready, phaseOf(t, gateway, "i-1"))
}

// TestRestoredEngineStaysUnresponsive guards against using an engine that has ended because
// its last control host still answers, or because another control host is its source now.
func TestRestoredEngineStaysUnresponsive(t *testing.T) {
	unresponsive := heartbeat("i-1", 19)
	unresponsive.Phase = registry.Unresponsive
	fromSource, fromOther := unresponsive, unresponsive
	fromSource.Source, fromOther.Source = "x", "z"
	successor := heartbeat("i-2", 1)
	successor.Source = "x"
	for name, updates := range map[string][]registry.Engine{
		"its source says so too":             {fromSource},
		"another host receives nothing":      {fromOther},
		"another engine has its address now": {successor},
	} {
		t.Run(name, func(t *testing.T) {
			gateway, _ := newTable("g")
			ready, suspected := heartbeat("i-1", 19), unresponsive
			ready.Source, suspected.Source = "x", "recalled"
			gateway.Merge([]registry.Engine{ready, suspected})
			must.Eq(t, registry.Unresponsive, phaseOf(t, gateway, "i-1"))
			gateway.Merge(updates)
			gateway.ConfirmSource("x")
			must.Eq(t, registry.Unresponsive, phaseOf(t, gateway, "i-1"))
		})
	}
}

// TestVersionOfAnEngineIsAChange guards against gateways that keep the software version that an
// engine had before it started again under its ID without a start time.
func TestVersionOfAnEngineIsAChange(t *testing.T) {
	table := registry.New("life", time.Second, time.Now)
	table.Heartbeat(registry.Engine{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Version: "v1", Slots: 1, Sequence: 1})
	before := table.LastChange()
	must.True(t, table.Heartbeat(registry.Engine{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Version: "v2", Slots: 1, Sequence: 2}))
	changed, _ := table.ChangedSince(before, func(registry.Engine) bool { return true })
	must.Len(t, 1, changed)
	must.Eq(t, "v2", changed[0].Version)
}
