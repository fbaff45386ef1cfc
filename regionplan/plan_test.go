package regionplan_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/regionplan"
)

func anywhere(string) bool { return true }

func in(regions ...string) func(string) bool {
	return func(region string) bool {
		for _, r := range regions {
			if r == region {
				return true
			}
		}
		return false
	}
}

// Classes of requests.
const long, short = 1, 2

// rankOf returns the ranks of the regions for a key.
func rankOf(key uint64) func(string) uint64 {
	return func(region string) uint64 { return rendezvous.Rank(key, xxhash.Sum64String(region)) }
}

var threeRegions = []regionplan.Region{{Name: "a", Capacity: 30}, {Name: "b", Capacity: 18}, {Name: "c", Capacity: 10}}

// TestRegionsBelowComfortableKeepTheirCallers guards against round trips that nobody needs.
func TestRegionsBelowComfortableKeepTheirCallers(t *testing.T) {
	p := regionplan.New(threeRegions, []regionplan.Flow{
		{Source: "a", Class: long, Work: 14, Permitted: anywhere},
		{Source: "c", Class: long, Work: 4.9, Permitted: anywhere},
	})
	must.False(t, p.IsNeeded())
	must.Nil(t, p.Shares("a", long))
	must.Nil(t, p.Shares("c", long))
}

// TestPeakIsLeveled plays a region at its peak, whose callers ask for as much as its engines
// can do, beside two regions that are nearly idle: all are to be used about alike.
func TestPeakIsLeveled(t *testing.T) {
	p := regionplan.New(threeRegions, []regionplan.Flow{
		{Source: "a", Class: long, Work: 18, Permitted: anywhere},
		{Source: "a", Class: short, Work: 12, Permitted: in("a", "b")},
		{Source: "b", Class: long, Work: 1, Permitted: anywhere},
	})
	must.True(t, p.IsNeeded())
	for _, r := range threeRegions {
		must.Between(t, 0.5, p.Utilization(r.Name), 0.6, must.Sprint(p))
	}
	for _, s := range p.Shares("a", short) {
		must.StrNotContains(t, "c", s.Region)
	}
}

// TestCachedFlowsKeepTheirRegionsWhilePeaksMove guards against prompts that are read again at
// another region each time that another region has its peak.
func TestCachedFlowsKeepTheirRegionsWhilePeaksMove(t *testing.T) {
	regionOf := func(source string, key uint64) string {
		var flows []regionplan.Flow
		for _, r := range threeRegions {
			work := 1.0
			if r.Name == source {
				work = 20
			}
			flows = append(flows, regionplan.Flow{Source: r.Name, Class: long, Work: work, Permitted: anywhere, Cached: true})
		}
		p := regionplan.New(threeRegions, flows)
		must.True(t, p.IsNeeded())
		return regionplan.Pick(p.Shares(source, long), rankOf(key), anywhere)
	}
	for key := range uint64(300) {
		must.Eq(t, regionOf("a", key), regionOf("b", key))
		must.Eq(t, regionOf("a", key), regionOf("c", key))
	}
}

// TestLostRegionFallsOut guards against requests for a region whose reports have stopped.
func TestLostRegionFallsOut(t *testing.T) {
	flows := []regionplan.Flow{{Source: "a", Class: long, Work: 30, Permitted: anywhere, Cached: true}}
	for _, s := range regionplan.New(threeRegions[:2], flows).Shares("a", long) {
		must.NotEq(t, "c", s.Region)
	}
	shares := regionplan.New(threeRegions, flows).Shares("a", long)
	for key := range uint64(100) {
		must.NotEq(t, "c", regionplan.Pick(shares, rankOf(key), in("a", "b")))
	}
	must.Eq(t, "", regionplan.Pick(shares, rankOf(1), in()))
}

// TestSmallRegionDoesNotHinderOthers guards against leveling that stops because a step would
// overfill the least used region, which has few engines, while another one is idle.
func TestSmallRegionDoesNotHinderOthers(t *testing.T) {
	p := regionplan.New([]regionplan.Region{{Name: "a", Capacity: 100}, {Name: "b", Capacity: 100}, {Name: "c", Capacity: 1}}, []regionplan.Flow{
		{Source: "a", Class: long, Work: 150, Permitted: anywhere},
	})
	must.Between(t, 0.7, p.Utilization("a"), 0.8, must.Sprint(p))
	must.Between(t, 0.7, p.Utilization("b"), 0.8, must.Sprint(p))
}

// TestWorkCountsWhereItMayRun guards against a plan that begins where nothing is short of room,
// or doesn't where something is, since work was counted where its callers are.
func TestWorkCountsWhereItMayRun(t *testing.T) {
	bound := []regionplan.Flow{{Source: "a", Class: long, Work: 8, Permitted: in("b")}}
	must.False(t, regionplan.New([]regionplan.Region{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 1000}}, bound).IsNeeded())
	must.True(t, regionplan.New([]regionplan.Region{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 10}}, bound).IsNeeded())
	noEngines := []regionplan.Flow{{Source: "gone", Class: long, Work: 25, Permitted: anywhere}, {Source: "a", Class: long, Work: 10, Permitted: anywhere}}
	p := regionplan.New(threeRegions, noEngines)
	must.True(t, p.IsNeeded())
	for _, r := range threeRegions {
		must.Between(t, 0.5, p.Utilization(r.Name), 0.7, must.Sprint(p))
	}
}

// TestNoisyDemandMovesFewPrompts guards against plans that swing: where demand differs by a
// tenth from one moment to the next, at most an eighth of the prompts change their region.
func TestNoisyDemandMovesFewPrompts(t *testing.T) {
	const keys = 500
	rapid.Check(t, func(t *rapid.T) {
		noisy := func(work float64) float64 { return work * rapid.Float64Range(0.95, 1.05).Draw(t, "noise") }
		plan := func(before regionplan.Plan) regionplan.Plan {
			return before.Next(threeRegions, []regionplan.Flow{
				{Source: "a", Class: long, Work: noisy(18), Permitted: anywhere, Cached: true},
				{Source: "a", Class: short, Work: noisy(12), Permitted: in("a", "b")},
				{Source: "b", Class: long, Work: noisy(2), Permitted: anywhere, Cached: true},
			})
		}
		first := plan(regionplan.Plan{})
		second := plan(first)
		for _, class := range []uint32{long, short} {
			moved := 0
			for key := range uint64(keys) {
				if regionplan.Pick(first.Shares("a", class), rankOf(key), anywhere) != regionplan.Pick(second.Shares("a", class), rankOf(key), anywhere) {
					moved++
				}
			}
			if moved > keys/8 {
				t.Fatalf("%d of %d moved in class %d: %v, then %v", moved, keys, class, first, second)
			}
		}
	})
}

// TestPlanOfAnyLoad checks, for any load, that each flow is placed whole and only where it may
// run, and that no work that could move stays in a region that is used twice as much as another.
func TestPlanOfAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var regions []regionplan.Region
		var flows []regionplan.Flow
		for i := range rapid.IntRange(1, 5).Draw(t, "regions") {
			regions = append(regions, regionplan.Region{Name: fmt.Sprint("r", i), Capacity: rapid.Float64Range(20, 50).Draw(t, "capacity")})
		}
		for _, r := range regions {
			home := in(rapid.SampledFrom(regions).Draw(t, "home").Name, r.Name)
			flows = append(flows,
				regionplan.Flow{Source: r.Name, Class: long, Work: rapid.Float64Range(0, 40).Draw(t, "work"), Permitted: anywhere, Cached: rapid.Bool().Draw(t, "cached")},
				regionplan.Flow{Source: r.Name, Class: short, Work: rapid.Float64Range(0, 40).Draw(t, "work"), Permitted: home})
		}
		p := regionplan.New(regions, flows)
		if !p.IsNeeded() {
			return
		}
		least := 1e9
		for _, r := range regions {
			least = min(least, p.Utilization(r.Name))
		}
		for _, f := range flows {
			sum := 0.0
			for _, s := range p.Shares(f.Source, f.Class) {
				sum += s.Weight
				if !f.Permitted(s.Region) {
					t.Fatalf("flow %v is placed in %s: %v", f, s.Region, p)
				}
				if used := p.Utilization(s.Region); f.Class == long && used > max(regionplan.Comfortable, 2*least)+0.1 {
					t.Fatalf("flow %v could leave %s: %v", f, s.Region, p)
				}
			}
			if f.Work > 0 && (sum < 0.999 || sum > 1.001) {
				t.Fatalf("flow %v is placed to %v: %v", f, sum, p)
			}
		}
	})
}

// TestPickFollowsWeights guards against a biased choice: of many keys each region gets its
// share, and a change of the shares moves few others.
func TestPickFollowsWeights(t *testing.T) {
	const keys = 20_000
	before := []regionplan.Share{{Region: "a", Weight: 0.6}, {Region: "b", Weight: 0.4}}
	after := []regionplan.Share{{Region: "a", Weight: 0.5}, {Region: "b", Weight: 0.5}}
	inA, moved := 0, 0
	for key := range uint64(keys) {
		first, then := regionplan.Pick(before, rankOf(key), anywhere), regionplan.Pick(after, rankOf(key), anywhere)
		if first == "a" {
			inA++
		}
		if first != then {
			moved++
			must.Eq(t, "b", then)
		}
	}
	must.Between(t, keys*58/100, inA, keys*62/100)
	must.Between(t, keys*8/100, moved, keys*12/100)
}

// BenchmarkNext computes the plan of six regions at their peak with ten classes each.
func BenchmarkNext(b *testing.B) {
	var regions []regionplan.Region
	var flows []regionplan.Flow
	for i := range 6 {
		name := fmt.Sprint("r", i)
		regions = append(regions, regionplan.Region{Name: name, Capacity: 30})
		for class := range uint32(10) {
			flows = append(flows, regionplan.Flow{Source: name, Class: class, Work: float64(1 + i), Permitted: anywhere, Cached: class%2 == 0})
		}
	}
	for b.Loop() {
		regionplan.New(regions, flows)
	}
}

func ExampleNew() {
	p := regionplan.New([]regionplan.Region{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}}, []regionplan.Flow{
		{Source: "a", Class: 1, Work: 9, Permitted: func(string) bool { return true }},
	})
	fmt.Println(p.IsNeeded(), p.Utilization("a") <= 0.5)
	// Output: true true
}
