package controller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/steady"
)

// freshness returns as of when the gateway's state is known to be current; false if
// unknown.
func (g *gatewayHost) freshness() (time.Duration, bool) {
	return g.follower.FreshAsOf(g.follower.State().Index)
}

// TestGatewayTracksFreshness guards against a gateway that takes the replies of a
// partitioned control host for confirmations. Only what that host confirmed before it
// lost the majority counts, though it keeps replying.
func TestGatewayTracksFreshness(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	putCatalog(t, hosts[1], 1)
	expectConfirmation := func(note string) {
		t.Helper()
		start := steady.Now()
		eventually(t, stepTimeout, note, func() bool { at, ok := g.freshness(); return ok && g.version() == 1 && at > start })
	}
	expectConfirmation("the state is confirmed")
	before, known := g.follower.FreshAsOf(0)
	at, _ := g.freshness()
	must.True(t, !known || before < at, must.Sprint("an earlier state isn't current for longer"))

	hosts[1].stop()
	hosts[2].stop()
	majorityLost := steady.Now()
	eventually(t, stepTimeout, "the remaining control host keeps replying", func() bool { return steady.Now()-majorityLost > 3*time.Second && g.follower.ConnectedCount() > 0 })
	at, ok := g.freshness()
	must.True(t, ok)
	must.Less(t, majorityLost, at, must.Sprint("nothing counts without a majority's confirmation"))

	hosts[1].start()
	expectConfirmation("a majority is available again")
}

// TestCatalogChangesKeepFreshness guards against a gap while a new catalog is fetched: a
// gateway must know the freshness of its state at all times.
func TestCatalogChangesKeepFreshness(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	putCatalog(t, hosts[1], 1)
	eventually(t, stepTimeout, "the state is confirmed", func() bool { _, ok := g.freshness(); return ok && g.version() == 1 })
	for v := int64(2); v < 8; v++ {
		putCatalog(t, hosts[v%3], v)
		for until := time.Now().Add(200 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
			_, ok := g.freshness()
			must.True(t, ok, must.Sprint("version", v))
		}
	}
	eventually(t, stepTimeout, "the latest catalog arrives", func() bool { return g.version() == 7 })
}
