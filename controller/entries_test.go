package controller_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/roster"
)

// gatewaysIn gives a gateway in each data centre, which those of the names
// after it leave.
func gatewaysIn(stopping ...string) []roster.Host {
	var out []roster.Host
	for _, centre := range []string{"a", "b", "c"} {
		h := roster.Host{Name: centre, Role: roster.RoleGateway, Region: regions[centre], DataCentre: centre, Callers: centre}
		for _, name := range stopping {
			h.Stopping = h.Stopping || name == centre
		}
		out = append(out, h)
	}
	return out
}

func TestCallersAreSentNearAndThenHome(t *testing.T) {
	cases := []struct {
		stopping []string
		homes    map[string]int // bound routes by region
		want     []string
		why      controller.Proximity
	}{
		{nil, nil, []string{"a"}, controller.SameDataCentre},
		{nil, map[string]int{"kano": 1}, []string{"a"}, controller.SameDataCentre},
		{[]string{"a"}, nil, []string{"b", "c"}, controller.AnyGateway},
		{[]string{"a"}, map[string]int{"lagos": 1, "abuja": 1}, []string{"b"}, controller.HomeRegion},
		// Two bound routes that contradict each other: no region serves both.
		{[]string{"a"}, map[string]int{"lagos": 2, "abuja": 1}, []string{"b"}, controller.HomeRegion},
		{[]string{"a"}, map[string]int{"kano": 2, "abuja": 1}, []string{"c"}, controller.HomeRegion},
		{[]string{"a", "c"}, map[string]int{"kano": 2, "abuja": 1}, []string{"b"}, controller.HomeRegion},
		{[]string{"a", "b"}, map[string]int{"lagos": 1}, []string{"c"}, controller.AnyGateway},
		{[]string{"a", "b", "c"}, nil, nil, controller.AnyGateway},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			got, why := controller.ChooseGateways(gatewaysIn(c.stopping...), c.homes, "lagos", "a")
			must.Eq(t, c.want, got)
			must.Eq(t, c.why, why)
		})
	}
}

// TestAYoungControlHostNamesNoFarGateways has a control host that has heard of the
// gateways of one region only: callers of others are told nothing yet.
func TestAYoungControlHostNamesNoFarGateways(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, hosts[0].ip+"0", "a", hosts[0].seeds)
	within(t, patience, "the gateway is in touch with all", func() bool { return g.follower.InTouch() == 3 })
	within(t, patience, "it is named", func() bool { return len(hosts[0].c.Entries("h", "kano", "c")) == 1 })
	hosts[0].losePower()
	hosts[0].start()
	within(t, patience, "it is named in its region", func() bool { return len(hosts[0].c.Entries("h", "lagos", "a")) == 1 })
	must.SliceEmpty(t, hosts[0].c.Entries("h", "kano", "c"))
	within(t, patience, "it is named everywhere", func() bool { return len(hosts[0].c.Entries("h", "kano", "c")) == 1 })
}
