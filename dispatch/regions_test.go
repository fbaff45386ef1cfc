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

// loadReport gives a word of another region whose engines have so many unread tokens.
func loadReport(region string, engines, unread int) rollup.Message {
	load := dispatch.DigestLoad{Requests: unread / 9000, Unread: unread, Reserved: unread}
	return digestReport(region, dispatch.Digest{Service: "review", Engines: engines, Slots: 16, CacheTokens: 100_000, MeanLoad: load, LeastLoad: load})
}

func digestReport(region string, digest dispatch.Digest) rollup.Message {
	body, err := cbor.Marshal([]dispatch.Digest{digest})
	if err != nil {
		panic(err)
	}
	return rollup.Message{From: "far", Far: []rollup.FarWord{{Region: region, Body: body}}}
}

func unsharedRequest(id string) dispatch.Ask {
	return dispatch.Ask{ID: id, Service: "review", Prompt: dispatch.Prompt{TokensIn: 9000, TokensOut: 50}}
}

func TestRemoteRegionIsChosenOnlyIfFaster(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	g.Hear(loadReport("kano", 4, 0))
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region)
	for i := range 6 {
		acquire(t, g, unsharedRequest(fmt.Sprint(i)))
	}
	must.Eq(t, "kano", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region)
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, nil).Region, must.Sprint("no gateway there"))
	g.Hear(loadReport("kano", 4, 200_000))
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region, must.Sprint("busy there too"))
	g.Hear(loadReport("kano", 0, 0))
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region, must.Sprint("no engines there"))
	g.Hear(loadReport("kano", 4, 0))
	env.advance(2 * time.Second)
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region, must.Sprint("the word is old"))
}

func TestRemoteRequestsCountUntilReported(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	for i := range 6 {
		acquire(t, g, unsharedRequest(fmt.Sprint(i)))
	}
	goesAway := func() bool { return g.ChooseRegion(unsharedRequest("r"), true, []string{"kano"}).Region == "kano" }
	g.Hear(loadReport("kano", 1, 0))
	var sent []*dispatch.Away
	for goesAway() {
		sent = append(sent, g.Sent("kano", unsharedRequest("r")))
		must.Less(t, 20, len(sent), must.Sprint("everything goes away"))
	}
	must.Positive(t, len(sent))
	env.advance(100 * time.Millisecond)
	g.Hear(loadReport("kano", 1, 0))
	must.False(t, goesAway(), must.Sprint("a word of before it arrived there"))
	env.advance(100 * time.Millisecond)
	g.Hear(loadReport("kano", 1, 0))
	must.True(t, goesAway())

	// What was answered, or never left, counts no longer.
	for goesAway() {
		sent = append(sent, g.Sent("kano", unsharedRequest("r")))
	}
	for _, a := range sent {
		a.End()
		a.End()
	}
	must.True(t, goesAway())
}

// TestBlocksSentToRemoteRegionAreCachedThere sends prompts to a region that isn't their
// home: the next with the same parts is expected to be cheaper there.
func TestBlocksSentToRemoteRegionAreCachedThere(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	hear := func() {
		g.Hear(loadReport("kano", 4, 0))
		g.Hear(loadReport("abuja", 4, 0))
	}
	hear()
	req := longRequest("r0", "p")
	place := g.ChooseRegion(req, false, []string{"kano", "abuja"})
	other := map[string]string{"kano": "abuja", "abuja": "kano"}[place.Region]
	first := g.ChooseRegion(req, false, []string{other})
	g.Sent(other, req).End()
	hear()
	must.Less(t, first.There, g.ChooseRegion(longRequest("r1", "p"), false, []string{other}).There)
}

// TestSharedBlocksHaveOneHomeRegion asks two regions' gateways for many parts: they
// agree on the home of each, and only of permitted regions.
func TestSharedBlocksHaveOneHomeRegion(t *testing.T) {
	env := newTestEnv(1, 4)
	g := env.gateways[0]
	g.Hear(loadReport("kano", 4, 0))
	homes := map[string]int{}
	for i := range 200 {
		req := longRequest(fmt.Sprint(i), fmt.Sprint("part", i))
		place := g.ChooseRegion(req, true, []string{"kano"})
		must.True(t, place.Home)
		homes[place.Region]++
		req.Permitted = func(region string) bool { return region == "lagos" }
		must.True(t, g.ChooseRegion(req, true, nil).Home)
	}
	must.Between(t, 70, homes["kano"], 130)
}

func TestTwoGatewaysReportForRegion(t *testing.T) {
	env := newTestEnv(5, 3)
	env.hosts = append(env.hosts, roster.Host{Name: "far", Role: roster.RoleGateway, Region: "kano", Peer: "10.9.0.1:1"})
	speak := 0
	for _, g := range env.gateways {
		out := g.Tell()
		must.SliceLen(t, 4, out[0].To, must.Sprint("the others of this region"))
		if len(out) == 1 {
			continue
		}
		speak++
		must.Eq(t, []string{"10.9.0.1:1"}, out[1].To)
		word := out[1].Message.Far[0]
		must.Eq(t, "lagos", word.Region)
		var digests []dispatch.Digest
		must.NoError(t, cbor.Unmarshal(word.Body, &digests))
		must.Eq(t, 3, digests[0].Engines)
	}
	must.Eq(t, 2, speak)
}
