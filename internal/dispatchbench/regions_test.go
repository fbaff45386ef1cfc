package dispatchbench_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// pooled returns the site with all engines, gateways and callers in one region. Who places
// requests there knows of all engines what one region's gateways know of theirs, and no
// request travels: the baseline of a planner with full knowledge.
func pooled(o dispatchbench.Options) dispatchbench.Options {
	regions, all := o.Regions, dispatchbench.Region{Name: "a"}
	for _, r := range regions {
		all.Engines += r.Engines
		all.Gateways += r.Gateways
	}
	all.Rate = func(at time.Duration) float64 {
		sum := 0.0
		for _, r := range regions {
			sum += r.Rate(at)
		}
		return sum
	}
	o.Regions = []dispatchbench.Region{all}
	return o
}

// TestUnevenRegionsServeAsOne plays regions that peak one after the other, each asked for
// about what its engines can read at its peak. Of 100 requests that one region with all
// engines would serve in time, the three must fail to serve two at most, and shared prompts
// must be read again at most 1.2 times as often.
func TestUnevenRegionsServeAsOne(t *testing.T) {
	o := dispatchbench.Uneven(dispatchbench.UnevenOptions{Seed: 1, Load: 1, Gateways: 30})
	o.Duration = 24 * time.Second // the peaks of two regions
	three, one := dispatchbench.Run(o), dispatchbench.Run(pooled(o))
	unserved := func(r dispatchbench.Result) float64 {
		return float64(r.Late+r.Rejected+r.Failed) / float64(r.Requests)
	}
	t.Logf("three regions: %.4f not in time, %.3f read again; one: %.4f, %.3f", unserved(three), three.RereadShare, unserved(one), one.RereadShare)
	must.LessEq(t, unserved(one)+0.02, unserved(three))
	must.LessEq(t, 1.2*one.RereadShare, three.RereadShare)
}
