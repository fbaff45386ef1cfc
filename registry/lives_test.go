package registry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/registry"
)

// born is a heartbeat of one life of an engine.
func born(at, sequence int64) registry.Engine {
	e := beat("i-1", sequence)
	e.Born = at
	return e
}

// TestAnEngineStartsAgainUnderItsID lets an engine crash and start again: its counts
// start anew, and what comes late of the earlier life changes nothing.
func TestAnEngineStartsAgainUnderItsID(t *testing.T) {
	draining, left := born(100, 90), born(100, 91)
	draining.Phase, left.Phase = registry.Draining, registry.Left
	for name, before := range map[string]registry.Engine{"ready": born(100, 80), "draining": draining, "left": left} {
		t.Run(name, func(t *testing.T) {
			table, c := newTable("x")
			table.Merge([]registry.Engine{before})
			must.True(t, table.Beat(born(200, 1)))
			must.Eq(t, registry.Ready, phaseOf(t, table, "i-1"))
			c.pass(time.Second)
			must.False(t, table.Beat(born(100, 95)), must.Sprint("a heartbeat of the earlier life"))
			table.Merge([]registry.Engine{draining})
			table.Leave("i-1", 100)
			e, _ := table.Get("i-1")
			must.Eq(t, int64(200), e.Born)
			must.Eq(t, registry.Ready, e.Phase)
			table.Leave("i-1", 200)
			must.Eq(t, registry.Left, phaseOf(t, table, "i-1"))
		})
	}
}

// TestHostsHearOfLivesInAnyOrder merges what two control hosts tell, the newer life
// first.
func TestHostsHearOfLivesInAnyOrder(t *testing.T) {
	table, _ := newTable("x")
	table.Merge([]registry.Engine{born(200, 1)})
	table.Merge([]registry.Engine{born(100, 90)})
	e, _ := table.Get("i-1")
	must.Eq(t, int64(200), e.Born)
	must.NotEq(t, born(100, 1).Incarnation(), born(200, 1).Incarnation())
	news, _ := table.Since(0, everything)
	must.SliceLen(t, 1, news)
}

// TestANewLifeIsNews tells others of a new life even where all else is alike.
func TestANewLifeIsNews(t *testing.T) {
	table, _ := newTable("x")
	table.Beat(born(100, 5))
	number := table.Number()
	must.True(t, table.Beat(born(200, 5)))
	news, _ := table.Since(number, everything)
	must.SliceLen(t, 1, news)
}
