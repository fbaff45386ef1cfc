package controller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/steady"
)

// sure gives up to when the gateway's state holds, and whether that is known.
func (g *gatewayHost) sure() (time.Duration, bool) {
	return g.follower.SureUntil(g.follower.State().Index)
}

// TestAGatewayKnowsUpToWhenItsStateHolds follows control hosts of which one alone is
// left in touch with it: what that one confirmed before it was cut off from the majority
// is all that counts, though it goes on answering.
func TestAGatewayKnowsUpToWhenItsStateHolds(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	put(t, hosts[1], 1)
	moves := func(note string) {
		t.Helper()
		from := steady.Now()
		within(t, patience, note, func() bool { at, ok := g.sure(); return ok && g.version() == 1 && at > from })
	}
	moves("the state is sure")
	before, known := g.follower.SureUntil(0)
	at, _ := g.sure()
	must.True(t, !known || before < at, must.Sprint("an earlier state doesn't hold any longer"))

	hosts[1].stop()
	hosts[2].stop()
	cut := steady.Now()
	within(t, patience, "the lone control host goes on answering", func() bool { return steady.Now()-cut > 3*time.Second && g.follower.InTouch() > 0 })
	at, ok := g.sure()
	must.True(t, ok)
	must.Less(t, cut, at, must.Sprint("nothing counts that no majority has confirmed"))

	hosts[1].start()
	moves("a majority is back")
}

// TestAChangeCostsNoSurety puts one catalog after the other: at no time is the state that
// a gateway serves under unknown to be sure, or much older than before.
func TestAChangeCostsNoSurety(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	put(t, hosts[1], 1)
	within(t, patience, "the state is sure", func() bool { _, ok := g.sure(); return ok && g.version() == 1 })
	for v := int64(2); v < 8; v++ {
		put(t, hosts[v%3], v)
		for until := time.Now().Add(200 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
			_, ok := g.sure()
			must.True(t, ok, must.Sprint("version", v))
		}
	}
	within(t, patience, "the newest arrives", func() bool { return g.version() == 7 })
}
