package registry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/registry"
)

// clock is set by hand.
type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func newTable(life string) (*registry.Table, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return registry.New(life, time.Second, c.time), c
}

func beat(id string, sequence int64) registry.Engine {
	return registry.Engine{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 4, Sequence: sequence}
}

func phaseOf(t *testing.T, table *registry.Table, id string) registry.Phase {
	t.Helper()
	e, ok := table.Get(id)
	must.True(t, ok)
	return e.Phase
}

func everything(registry.Engine) bool { return true }

func TestALateHeartbeatChangesNothing(t *testing.T) {
	table, _ := newTable("x")
	draining := beat("i-1", 7)
	draining.Phase = registry.Draining
	must.True(t, table.Beat(beat("i-1", 5)))
	must.True(t, table.Beat(draining))
	must.False(t, table.Beat(beat("i-1", 6)))
	must.Eq(t, registry.Draining, phaseOf(t, table, "i-1"))
}

func TestWhoHasLeftNeverComesBack(t *testing.T) {
	table, c := newTable("x")
	table.Leave("i-1", 0) // before any heartbeat of it was heard here
	table.Beat(beat("i-1", 9))
	must.Eq(t, registry.Left, phaseOf(t, table, "i-1"))
	c.pass(30 * time.Second)
	table.Expire()
	table.Merge([]registry.Engine{beat("i-1", 10)})
	must.Eq(t, registry.Left, phaseOf(t, table, "i-1"))
}

// TestRecalledEnginesFallSilentUnlessHeard recalls an engine whose address another
// one had before it.
func TestRecalledEnginesFallSilentUnlessHeard(t *testing.T) {
	table, c := newTable("x")
	ended := beat("i-9", 40)
	ended.Phase = registry.Silent
	table.Recall([]registry.Engine{beat("i-1", 5), ended})
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-1"))
	must.Eq(t, registry.Silent, phaseOf(t, table, "i-9"))
	must.False(t, table.Beat(beat("i-1", 4)), must.Sprint("an old heartbeat"))
	c.pass(5 * time.Second)
	must.SliceLen(t, 1, table.Expire())
	must.Eq(t, registry.Silent, phaseOf(t, table, "i-1"))
	table.Beat(beat("i-1", 6))
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-1"))
}

// TestARecalledEngineIsHeardByOneHost recalls an engine on two hosts, of which one
// goes on to hear it: the other must not call it silent.
func TestARecalledEngineIsHeardByOneHost(t *testing.T) {
	hears, c := newTable("x")
	other, otherClock := newTable("y")
	for _, table := range []*registry.Table{hears, other} {
		table.Recall([]registry.Engine{beat("i-1", 5)})
	}
	_, told := hears.Since(0, everything) // the other host follows already
	for sequence := int64(6); sequence < 15; sequence++ {
		hears.Beat(beat("i-1", sequence))
		var news []registry.Engine
		news, told = hears.Since(told, everything)
		other.Merge(news)
		c.pass(time.Second)
		otherClock.pass(time.Second)
		must.SliceEmpty(t, hears.Expire())
		must.SliceEmpty(t, other.Expire())
	}
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
}

func TestOnlyWhoShouldHearAnEngineCallsItSilent(t *testing.T) {
	hears, c := newTable("x")
	hears.Beat(beat("i-1", 1))
	other := registry.New("y", time.Second, c.time)
	news, _ := hears.Since(0, everything)
	other.Merge(news)
	c.pass(3 * time.Second)
	must.SliceEmpty(t, hears.Expire())
	c.pass(time.Second)
	must.SliceLen(t, 1, hears.Expire())
	must.SliceEmpty(t, other.Expire())
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
	news, _ = hears.Since(0, everything)
	other.Merge(news)
	must.Eq(t, registry.Silent, phaseOf(t, other, "i-1"))
	// It is heard elsewhere meanwhile.
	must.True(t, other.Beat(beat("i-1", 2)))
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
	other.Merge(news)
	must.Eq(t, registry.Ready, phaseOf(t, other, "i-1"))
}

func TestAnAddressBelongsToTheNewestIncarnation(t *testing.T) {
	table, _ := newTable("x")
	table.Beat(beat("i-1", 9))
	table.Beat(beat("i-2", 1))
	must.Eq(t, registry.Silent, phaseOf(t, table, "i-1"))
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-2"))
}

// TestADelayedHeartbeatOfACrashedEngineChangesNothing has a heartbeat come that a cut
// held up, when another incarnation has the address already.
func TestADelayedHeartbeatOfACrashedEngineChangesNothing(t *testing.T) {
	cases := map[string]bool{"of one that was known": true, "of one that wasn't": false}
	for name, known := range cases {
		t.Run(name, func(t *testing.T) {
			table, c := newTable("x")
			if known {
				table.Beat(beat("i-1", 9))
			}
			c.pass(2 * time.Second)
			table.Beat(beat("i-2", 1))
			c.pass(time.Second)
			table.Beat(beat("i-2", 2))
			must.False(t, table.Beat(beat("i-1", 10)))
			must.Eq(t, registry.Ready, phaseOf(t, table, "i-2"))
			if e, ok := table.Get("i-1"); ok {
				must.Eq(t, registry.Silent, e.Phase)
			}
		})
	}
}

// TestAnAddressGoesBackToWhoIsHeard lets the wrong incarnation have the address: the
// one that goes on sending heartbeats gets it back, and only one has it at a time.
func TestAnAddressGoesBackToWhoIsHeard(t *testing.T) {
	table, c := newTable("x")
	table.Beat(beat("i-2", 5))
	table.Beat(beat("i-1", 1)) // late, of one that crashed as it started
	must.Eq(t, registry.Silent, phaseOf(t, table, "i-2"))
	for sequence := range int64(2) {
		c.pass(time.Second)
		table.Beat(beat("i-2", 6+sequence))
	}
	must.Eq(t, registry.Ready, phaseOf(t, table, "i-2"))
	must.Eq(t, registry.Silent, phaseOf(t, table, "i-1"))
}

func TestOnlyChangesAreTold(t *testing.T) {
	table, c := newTable("x")
	table.Beat(beat("i-1", 1))
	news, number := table.Since(0, everything)
	must.SliceLen(t, 1, news)
	c.pass(time.Second)
	table.Beat(beat("i-1", 2))
	news, number = table.Since(number, everything)
	must.SliceEmpty(t, news, must.Sprint("a heartbeat that says nothing new isn't told"))
	changed := table.Changed()
	cold := beat("i-1", 3)
	cold.ColdUntil = c.now.Add(3 * time.Second)
	table.Beat(cold)
	select {
	case <-changed:
	default:
		t.Fatal("a change must close the channel")
	}
	news, number = table.Since(number, everything)
	must.SliceLen(t, 1, news)
	// The end of the cold period comes nearer, which everybody can see.
	c.pass(time.Second)
	nearer := beat("i-1", 4)
	nearer.ColdUntil = c.now.Add(2*time.Second + 10*time.Millisecond)
	table.Beat(nearer)
	news, _ = table.Since(number, everything)
	must.SliceEmpty(t, news)
	news, _ = table.Since(0, func(e registry.Engine) bool { return e.DataCentre == "b" })
	must.SliceEmpty(t, news)
}

func TestConfirmedEnginesCountAsHeard(t *testing.T) {
	hears, c := newTable("x")
	hears.Beat(beat("i-1", 1))
	news, _ := hears.Since(0, everything)
	follower := registry.New("f", time.Second, c.time)
	follower.Merge(news)
	c.pass(50 * time.Second)
	follower.Confirm("x")
	c.pass(50 * time.Second)
	follower.Expire()
	_, known := follower.Get("i-1")
	must.True(t, known)
	c.pass(20 * time.Second)
	follower.Expire()
	_, known = follower.Get("i-1")
	must.False(t, known)
}
