package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// loadReport returns a report of another region with the given number of engines, and of
// unread prompt tokens at each.
func loadReport(region string, engines, unread int) rollup.Message {
	load := dispatch.DigestLoad{Requests: unread / 9000, Unread: unread, Reserved: unread}
	return digestReport(region, dispatch.Digest{Service: "review", Engines: engines, Slots: 16, CacheTokens: 100_000, MeanLoad: load, LeastLoad: load})
}

// digestReport returns a report of another region with one digest.
func digestReport(region string, digest dispatch.Digest) rollup.Message {
	body, err := cbor.Marshal([]dispatch.Digest{digest})
	if err != nil {
		panic(err)
	}
	return rollup.Message{From: "far", Remote: []rollup.RegionReport{{Region: region, Digests: body}}}
}

// unsharedRequest returns a request with a long prompt without shared blocks.
func unsharedRequest(id string) dispatch.Request {
	return dispatch.Request{ID: id, Service: "review", Prompt: dispatch.Prompt{InputTokens: 9000, OutputTokens: 50}}
}

func TestRemoteRegionIsChosenOnlyIfFaster(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	g.Receive(loadReport("kano", 4, 0))
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region)
	for i := range 6 {
		acquire(t, g, unsharedRequest(fmt.Sprint(i)))
	}
	must.Eq(t, "kano", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region)
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, nil).Region, must.Sprint("kano has no gateway"))
	g.Receive(loadReport("kano", 4, 200_000))
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region, must.Sprint("kano is loaded too"))
	g.Receive(loadReport("kano", 0, 0))
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region, must.Sprint("kano has no engines"))
	g.Receive(loadReport("kano", 4, 0))
	env.advance(2 * time.Second)
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region, must.Sprint("kano's report is too old"))
}

// TestRemoteRequestsCountUntilReported has a gateway hand over requests to another
// region. They must count as load there until a report that includes them arrives:
// otherwise the gateway sends everything there in the meantime.
func TestRemoteRequestsCountUntilReported(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	for i := range 6 {
		acquire(t, g, unsharedRequest(fmt.Sprint(i)))
	}
	choosesRemote := func() bool { return g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region == "kano" }
	g.Receive(loadReport("kano", 1, 0))
	var sent []*dispatch.RemoteRequest
	for choosesRemote() {
		sent = append(sent, g.BeginRemote("kano", unsharedRequest("r")))
		must.Less(t, 20, len(sent), must.Sprint("every request goes to kano"))
	}
	must.Positive(t, len(sent))
	env.advance(100 * time.Millisecond)
	g.Receive(loadReport("kano", 1, 0))
	must.False(t, choosesRemote(), must.Sprint("the report is from before the requests arrived there"))
	env.advance(100 * time.Millisecond)
	g.Receive(loadReport("kano", 1, 0))
	must.True(t, choosesRemote())

	// Requests that were answered, or failed, no longer count.
	for choosesRemote() {
		sent = append(sent, g.BeginRemote("kano", unsharedRequest("r")))
	}
	for _, a := range sent {
		a.End()
		a.End()
	}
	must.True(t, choosesRemote())
}

// TestBlocksSentToRemoteRegionAreCachedThere sends a prompt to a region that isn't its
// home. The next prompt with the same shared blocks must have a lower expected cost
// there.
func TestBlocksSentToRemoteRegionAreCachedThere(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	receiveReports := func() {
		g.Receive(loadReport("kano", 4, 0))
		g.Receive(loadReport("abuja", 4, 0))
	}
	receiveReports()
	req := longRequest("r0", "p")
	placement := g.ChooseRegion(req, false, []string{"kano", "abuja"})
	otherRegion := map[string]string{"kano": "abuja", "abuja": "kano"}[placement.Region]
	first := g.ChooseRegion(req, false, []string{otherRegion})
	g.BeginRemote(otherRegion, req).End()
	receiveReports()
	must.Less(t, first.Cost, g.ChooseRegion(longRequest("r1", "p"), false, []string{otherRegion}).Cost)
}

// TestSharedBlocksHaveOneHomeRegion checks that requests go to the home region of their
// shared blocks, that the homes are spread over the regions, and that only permitted
// regions are homes.
func TestSharedBlocksHaveOneHomeRegion(t *testing.T) {
	env := newTestEnv(1, 4)
	g := env.gateways[0]
	g.Receive(loadReport("kano", 4, 0))
	homes := map[string]int{}
	for i := range 200 {
		req := longRequest(fmt.Sprint(i), fmt.Sprint("part", i))
		placement := g.ChooseRegion(req, true, []string{"kano"})
		must.True(t, placement.IsHome)
		homes[placement.Region]++
		req.Permitted = func(region string) bool { return region == "lagos" }
		must.True(t, g.ChooseRegion(req, true, nil).IsHome)
	}
	must.Between(t, 70, homes["kano"], 130)
}

func TestTwoGatewaysReportForRegion(t *testing.T) {
	env := newTestEnv(5, 3)
	env.hosts = append(env.hosts, roster.Host{Name: "far", Role: roster.RoleGateway, Region: "kano", Peer: "10.9.0.1:1"})
	reporters := 0
	for _, g := range env.gateways {
		out := g.Outgoing()
		must.SliceLen(t, 4, out[0].To, must.Sprint("the other gateways of this region"))
		if len(out) == 1 {
			continue
		}
		reporters++
		must.Eq(t, []string{"10.9.0.1:1"}, out[1].To)
		report := out[1].Message.Remote[0]
		must.Eq(t, "lagos", report.Region)
		var digests []dispatch.Digest
		must.NoError(t, cbor.Unmarshal(report.Digests, &digests))
		must.Eq(t, 3, digests[0].Engines)
	}
	must.Eq(t, 2, reporters)
}
