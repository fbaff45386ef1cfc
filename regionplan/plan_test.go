package regionplan_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

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

var threeRegions = []regionplan.Region{{Name: "a", Capacity: 30}, {Name: "b", Capacity: 18}, {Name: "c", Capacity: 10}}

// TestRegionsBelowComfortableKeepTheirCallers guards against round trips that nobody needs.
func TestRegionsBelowComfortableKeepTheirCallers(t *testing.T) {
	p := regionplan.New(threeRegions, []regionplan.Flow{
		{Source: "a", Route: "long", Work: 14, Permitted: anywhere},
		{Source: "c", Route: "long", Work: 4.9, Permitted: anywhere},
	})
	must.False(t, p.IsNeeded())
	must.Eq(t, []regionplan.Share{{Region: "a", Weight: 1}}, p.Shares("a", "long"))
	must.Eq(t, []regionplan.Share{{Region: "c", Weight: 1}}, p.Shares("c", "long"))
}

// TestPeakIsLeveled plays a region at its peak, whose callers ask for as much as its engines
// can do, beside two regions that are nearly idle: all are to be used about alike.
func TestPeakIsLeveled(t *testing.T) {
	p := regionplan.New(threeRegions, []regionplan.Flow{
		{Source: "a", Route: "long", Work: 18, Permitted: anywhere},
		{Source: "a", Route: "short", Work: 12, Permitted: in("a", "b")},
		{Source: "b", Route: "long", Work: 1, Permitted: anywhere},
	})
	must.True(t, p.IsNeeded())
	for _, r := range threeRegions {
		must.Between(t, 0.5, p.Utilization(r.Name), 0.6, must.Sprint(p))
	}
	for _, s := range p.Shares("a", "short") {
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
				work = 16
			}
			flows = append(flows, regionplan.Flow{Source: r.Name, Route: "long", Work: work, Permitted: anywhere, Cached: true})
		}
		return regionplan.Pick(regionplan.New(threeRegions, flows).Shares(source, "long"), key, anywhere)
	}
	for key := range uint64(300) {
		must.Eq(t, regionOf("a", key), regionOf("b", key))
		must.Eq(t, regionOf("a", key), regionOf("c", key))
	}
}

// TestLostRegionFallsOut guards against requests for a region whose reports have stopped.
func TestLostRegionFallsOut(t *testing.T) {
	flows := []regionplan.Flow{{Source: "a", Route: "long", Work: 30, Permitted: anywhere, Cached: true}}
	for _, s := range regionplan.New(threeRegions[:2], flows).Shares("a", "long") {
		must.NotEq(t, "c", s.Region)
	}
	shares := regionplan.New(threeRegions, flows).Shares("a", "long")
	for key := range uint64(100) {
		must.NotEq(t, "c", regionplan.Pick(shares, key, in("a", "b")))
	}
	must.Eq(t, "", regionplan.Pick(shares, 1, in()))
}

// TestPlanOfAnyLoad checks, for any load, that each flow is placed whole and only where it may
// run, and that no region that could be relieved is used far more than another.
func TestPlanOfAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var regions []regionplan.Region
		var flows []regionplan.Flow
		for i := range rapid.IntRange(1, 5).Draw(t, "regions") {
			regions = append(regions, regionplan.Region{Name: fmt.Sprint("r", i), Capacity: rapid.Float64Range(1, 50).Draw(t, "capacity")})
		}
		for _, r := range regions {
			for i := range 2 {
				flows = append(flows, regionplan.Flow{Source: r.Name, Route: fmt.Sprint(i), Work: rapid.Float64Range(0, 40).Draw(t, "work"), Permitted: anywhere})
			}
		}
		p := regionplan.New(regions, flows)
		for _, f := range flows {
			sum := 0.0
			for _, s := range p.Shares(f.Source, f.Route) {
				sum += s.Weight
			}
			if f.Work > 0 && (sum < 0.999 || sum > 1.001) {
				t.Fatalf("flow %v is placed to %v: %v", f, sum, p)
			}
		}
		most, least := 0.0, 1e9
		for _, r := range regions {
			most, least = max(most, p.Utilization(r.Name)), min(least, p.Utilization(r.Name))
		}
		if most > regionplan.Comfortable+0.7 && most > 2*least+0.7 {
			t.Fatalf("used unevenly: %v", p)
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
		first, then := regionplan.Pick(before, key, anywhere), regionplan.Pick(after, key, anywhere)
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

func ExampleNew() {
	p := regionplan.New([]regionplan.Region{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}}, []regionplan.Flow{
		{Source: "a", Route: "chat", Work: 9, Permitted: func(string) bool { return true }},
	})
	fmt.Println(p.IsNeeded(), p.Utilization("a") <= 0.5)
	// Output: true true
}
