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

// alone returns the site with one region only, whose callers' requests all run there.
func alone(o dispatchbench.Options, region int) dispatchbench.Options {
	o.Regions = o.Regions[region : region+1]
	for _, k := range o.Kinds {
		k.Homes = nil
	}
	return o
}

// TestUnevenRegionsServeAsOne plays regions that peak one after the other, each asked for
// about what its engines can read at its peak. Of 100 requests that one region with all
// engines would serve in time, the three must fail to serve two at most, and shared prompts
// must be read again at most 1.2 times as often as with all requests at home.
func TestUnevenRegionsServeAsOne(t *testing.T) {
	site := func() dispatchbench.Options {
		o := dispatchbench.Uneven(dispatchbench.UnevenOptions{Seed: 1, Load: 1, Gateways: 30})
		o.Duration = 24 * time.Second // the peaks of two regions
		return o
	}
	three, one := dispatchbench.Run(site()), dispatchbench.Run(pooled(site()))
	unserved := func(r dispatchbench.Result) float64 {
		return float64(r.Late+r.Rejected+r.Failed) / float64(r.Requests)
	}
	must.LessEq(t, unserved(one)+0.02, unserved(three))
	atHome, requests := 0.0, 0.0
	for region := range 3 {
		r := dispatchbench.Run(alone(site(), region))
		atHome += r.RereadShare * float64(r.Requests)
		requests += float64(r.Requests)
	}
	atHome /= requests
	t.Logf("not in time: three regions %.4f, one %.4f; read again: three regions %.3f, at home %.3f", unserved(three), unserved(one), three.RereadShare, atHome)
	must.LessEq(t, 1.2*atHome, three.RereadShare)
}
