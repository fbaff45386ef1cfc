package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/roster"
)

// testGateways returns one gateway in each data centre; those named are stopping.
func testGateways(stopping ...string) []roster.Host {
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

func addressesOf(gateways []roster.Host) (out []string) {
	for _, g := range gateways {
		out = append(out, g.Callers)
	}
	return out
}

// TestChooseGateways checks the order of preference: data centre, region, home region,
// any.
func TestChooseGateways(t *testing.T) {
	cases := []struct {
		stopping []string
		homes    map[string]int // routes with home regions, by region
		want     []string
		why      controller.Proximity
	}{
		{nil, nil, []string{"a"}, controller.SameDataCentre},
		{nil, map[string]int{"kano": 1}, []string{"a"}, controller.SameDataCentre},
		{[]string{"a"}, nil, []string{"b", "c"}, controller.AnyGateway},
		{[]string{"a"}, map[string]int{"lagos": 1, "abuja": 1}, []string{"b"}, controller.HomeRegion},
		// Two routes with home regions, none in common.
		{[]string{"a"}, map[string]int{"lagos": 2, "abuja": 1}, []string{"b"}, controller.HomeRegion},
		{[]string{"a"}, map[string]int{"kano": 2, "abuja": 1}, []string{"c"}, controller.HomeRegion},
		{[]string{"a", "c"}, map[string]int{"kano": 2, "abuja": 1}, []string{"b"}, controller.HomeRegion},
		{[]string{"a", "b"}, map[string]int{"lagos": 1}, []string{"c"}, controller.AnyGateway},
		{[]string{"a", "b", "c"}, nil, nil, controller.AnyGateway},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			got, why := controller.ChooseGateways(testGateways(c.stopping...), c.homes, "lagos", "a")
			must.Eq(t, c.want, addressesOf(got))
			must.Eq(t, c.why, why)
		})
	}
}

// TestCallersFollowWhatGatewaysCanBear checks that a gateway of 0.3 of the size gets 0.3 times as
// many of the callers that each pick one of their answer, one that announces no size as many
// as the median, and that all are named while their reports are too old.
func TestCallersFollowWhatGatewaysCanBear(t *testing.T) {
	now := time.Unix(1000, 0)
	const answers = 10_000
	drawn := 0
	c, err := controller.New(controller.Deps{
		Self: roster.Host{Name: "control", Role: roster.RoleControl, Region: "lagos", DataCentre: "a", Life: "life", Peer: "127.0.0.1:1"}, Replica: raft.ID("127.0.0.1:1#1"),
		Folder: disk.NewMemory(), Voters: 3, Regions: regions, Heartbeat: time.Minute, DrainTimeout: time.Millisecond, Seeds: func() []string { return nil },
		Send: func(raft.Envelope) {}, Log: zap.NewNop(), Clock: func() time.Time { return now }, SteadyClock: steady.Now, Seed: 1,
		Random: func() float64 { drawn++; return float64(drawn%answers) / answers },
	})
	must.NoError(t, err)
	service := controller.NewService(context.Background(), c)
	large, small := entryweight.Size{Millicores: 480, LinkKbps: 25_000}, entryweight.Size{Millicores: 144, LinkKbps: 7500}
	for i, size := range []entryweight.Size{large, large, large, large, small, small, {}} {
		name := fmt.Sprint("g", i)
		gateway := newSession(roster.Host{Name: name, Role: roster.RoleGateway, Region: "lagos", DataCentre: "a", Life: name, Peer: name, Callers: name, Size: size}, false)
		must.NoError(t, gateway.sync(service))
	}
	callers := make(map[string]float64)
	for range answers {
		names := c.Entries("h", "lagos", "a")
		for _, name := range names {
			callers[name] += 1 / float64(len(names))
		}
	}
	must.InDelta(t, 0.3, callers["g4"]/callers["g0"], 0.01)
	must.InDelta(t, 1, callers["g6"]/callers["g0"], 0.01)
	now = now.Add(3500 * time.Millisecond)
	must.SliceLen(t, 7, c.Entries("h", "lagos", "a"))
}

// TestOverloadedGatewayIsNamedLess checks the way of a load level from a gateway to the answers of
// a control host.
func TestOverloadedGatewayIsNamedLess(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	var gateways []*gatewayHost
	for i := range 4 {
		gateways = append(gateways, newGateway(t, n, hosts[0].ip+fmt.Sprint(i), "a", hosts[0].seeds))
	}
	eventually(t, stepTimeout, "all are named", func() bool { return len(hosts[0].c.Entries("h", "lagos", "a")) == 4 })
	gateways[0].mu.Lock()
	gateways[0].load = entryweight.CannotServe
	gateways[0].mu.Unlock()
	eventually(t, stepTimeout, "one is left out", func() bool { return len(hosts[0].c.Entries("h", "lagos", "a")) == 3 })
	must.SliceNotContains(t, hosts[0].c.Entries("h", "lagos", "a"), hosts[0].ip+"0:80")
}

// TestNewControlHostNamesNoRemoteGateways guards against a restarted control host that
// directs callers of other regions to the few gateways that have called it so far.
func TestNewControlHostNamesNoRemoteGateways(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, hosts[0].ip+"0", "a", hosts[0].seeds)
	eventually(t, stepTimeout, "the gateway is connected to all control hosts", func() bool { return g.follower.ConnectedCount() == 3 })
	eventually(t, stepTimeout, "it is named", func() bool { return len(hosts[0].c.Entries("h", "kano", "c")) == 1 })
	hosts[0].losePower()
	hosts[0].start()
	eventually(t, stepTimeout, "it is named in its region", func() bool { return len(hosts[0].c.Entries("h", "lagos", "a")) == 1 })
	must.SliceEmpty(t, hosts[0].c.Entries("h", "kano", "c"))
	eventually(t, stepTimeout, "it is named everywhere", func() bool { return len(hosts[0].c.Entries("h", "kano", "c")) == 1 })
}

// TestEnginesAreSpreadOverControlHosts guards against a control host that receives the
// heartbeats of all engines of its data centre although there are others beside it.
func TestEnginesAreSpreadOverControlHosts(t *testing.T) {
	var hosts []roster.Host
	for _, place := range []struct{ region, dataCentre string }{{"lagos", "a"}, {"lagos", "b"}, {"kano", "c"}} {
		for i := range 4 {
			name := fmt.Sprint(place.dataCentre, i)
			hosts = append(hosts, roster.Host{Name: name, Role: roster.RoleControl, Region: place.region, DataCentre: place.dataCentre, Operators: name})
		}
	}
	perHost := make(map[string]int)
	for i := range 4000 {
		address := controller.CloserControlHost(hosts, fmt.Sprint("i-", i), "lagos", "a", false)
		must.Eq(t, 'a', rune(address[0]))
		perHost[address]++
	}
	must.MapLen(t, 4, perHost)
	for name, n := range perHost {
		must.Between(t, 850, n, 1150, must.Sprint(name))
	}
	for i := range hosts[:4] {
		hosts[i].Stopping = true
	}
	must.Eq(t, 'b', rune(controller.CloserControlHost(hosts, "i-1", "lagos", "a", false)[0]))
	must.Eq(t, "", controller.CloserControlHost(hosts, "i-1", "lagos", "a", true))
}
