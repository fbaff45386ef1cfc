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

// far gives a word of another region whose engines have so many unread tokens.
func far(region string, engines, unread int) rollup.Message {
	load := dispatch.DigestLoad{Requests: unread / 9000, Unread: unread, Reserved: unread}
	return farWord(region, dispatch.Digest{Service: "review", Engines: engines, Slots: 16, CacheTokens: 100_000, MeanLoad: load, LeastLoad: load})
}

func farWord(region string, digest dispatch.Digest) rollup.Message {
	body, err := cbor.Marshal([]dispatch.Digest{digest})
	if err != nil {
		panic(err)
	}
	return rollup.Message{From: "far", Remote: []rollup.RegionReport{{Region: region, Digests: body}}}
}

func plain(id string) dispatch.Request {
	return dispatch.Request{ID: id, Service: "review", Prompt: dispatch.Prompt{InputTokens: 9000, OutputTokens: 50}}
}

func TestARequestGoesAwayOnlyWhereThatIsFaster(t *testing.T) {
	w := newWorld(1, 1)
	g := w.gateways[0]
	g.Receive(far("kano", 4, 0))
	must.Eq(t, "lagos", g.ChooseRegion(plain("r"), true, []string{"kano"}).Region)
	for i := range 6 {
		acquire(t, g, plain(fmt.Sprint(i)))
	}
	must.Eq(t, "kano", g.ChooseRegion(plain("r"), true, []string{"kano"}).Region)
	must.Eq(t, "lagos", g.ChooseRegion(plain("r"), true, nil).Region, must.Sprint("no gateway there"))
	g.Receive(far("kano", 4, 200_000))
	must.Eq(t, "lagos", g.ChooseRegion(plain("r"), true, []string{"kano"}).Region, must.Sprint("busy there too"))
	g.Receive(far("kano", 0, 0))
	must.Eq(t, "lagos", g.ChooseRegion(plain("r"), true, []string{"kano"}).Region, must.Sprint("no engines there"))
	g.Receive(far("kano", 4, 0))
	w.pass(2 * time.Second)
	must.Eq(t, "lagos", g.ChooseRegion(plain("r"), true, []string{"kano"}).Region, must.Sprint("the word is old"))
}

func TestWhatWasSentAwayCountsUntilItsWordCanTell(t *testing.T) {
	w := newWorld(1, 1)
	g := w.gateways[0]
	for i := range 6 {
		acquire(t, g, plain(fmt.Sprint(i)))
	}
	goesAway := func() bool { return g.ChooseRegion(plain("r"), true, []string{"kano"}).Region == "kano" }
	g.Receive(far("kano", 1, 0))
	var sent []*dispatch.RemoteRequest
	for goesAway() {
		sent = append(sent, g.BeginRemote("kano", plain("r")))
		must.Less(t, 20, len(sent), must.Sprint("everything goes away"))
	}
	must.Positive(t, len(sent))
	w.pass(100 * time.Millisecond)
	g.Receive(far("kano", 1, 0))
	must.False(t, goesAway(), must.Sprint("a word of before it arrived there"))
	w.pass(100 * time.Millisecond)
	g.Receive(far("kano", 1, 0))
	must.True(t, goesAway())

	// What was answered, or never left, counts no longer.
	for goesAway() {
		sent = append(sent, g.BeginRemote("kano", plain("r")))
	}
	for _, a := range sent {
		a.End()
		a.End()
	}
	must.True(t, goesAway())
}

// TestPartsThatWereSentAwayAreKeptThere sends prompts to a region that isn't their
// home: the next with the same parts is expected to be cheaper there.
func TestPartsThatWereSentAwayAreKeptThere(t *testing.T) {
	w := newWorld(1, 1)
	g := w.gateways[0]
	hear := func() {
		g.Receive(far("kano", 4, 0))
		g.Receive(far("abuja", 4, 0))
	}
	hear()
	ask := long("r0", "p")
	place := g.ChooseRegion(ask, false, []string{"kano", "abuja"})
	other := map[string]string{"kano": "abuja", "abuja": "kano"}[place.Region]
	first := g.ChooseRegion(ask, false, []string{other})
	g.BeginRemote(other, ask).End()
	hear()
	must.Less(t, first.Cost, g.ChooseRegion(long("r1", "p"), false, []string{other}).Cost)
}

// TestPartsHaveOneHomeRegion asks two regions' gateways for many parts: they
// agree on the home of each, and only of permitted regions.
func TestPartsHaveOneHomeRegion(t *testing.T) {
	w := newWorld(1, 4)
	g := w.gateways[0]
	g.Receive(far("kano", 4, 0))
	homes := map[string]int{}
	for i := range 200 {
		ask := long(fmt.Sprint(i), fmt.Sprint("part", i))
		place := g.ChooseRegion(ask, true, []string{"kano"})
		must.True(t, place.IsHome)
		homes[place.Region]++
		ask.Permitted = func(region string) bool { return region == "lagos" }
		must.True(t, g.ChooseRegion(ask, true, nil).IsHome)
	}
	must.Between(t, 70, homes["kano"], 130)
}

func TestSomeGatewaysSpeakForTheirRegion(t *testing.T) {
	w := newWorld(5, 3)
	w.hosts = append(w.hosts, roster.Host{Name: "far", Role: roster.RoleGateway, Region: "kano", Peer: "10.9.0.1:1"})
	speak := 0
	for _, g := range w.gateways {
		out := g.Outgoing()
		must.SliceLen(t, 4, out[0].To, must.Sprint("the others of this region"))
		if len(out) == 1 {
			continue
		}
		speak++
		must.Eq(t, []string{"10.9.0.1:1"}, out[1].To)
		word := out[1].Message.Remote[0]
		must.Eq(t, "lagos", word.Region)
		var digests []dispatch.Digest
		must.NoError(t, cbor.Unmarshal(word.Digests, &digests))
		must.Eq(t, 3, digests[0].Engines)
	}
	must.Eq(t, 2, speak)
}
