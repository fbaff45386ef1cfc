package controller_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/roster"
)

// homeGateway keeps a gateway polling a control host in full, as one whose home it is.
func homeGateway(t *testing.T, h *host, self roster.Host) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	service := controller.NewService(ctx, h.c)
	group.Go(func() {
		duty.Every(ctx, 100*time.Millisecond, func() {
			var reply follow.SyncReply
			_ = service.Sync(follow.SyncArgs{Self: self, Selective: true}, &reply)
		})
	})
}

// TestForwardsReturnAfterAPartition guards against gateways that are missing for good in the
// list of a control host that has removed them while it couldn't reach their home.
func TestForwardsReturnAfterAPartition(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	ip := strings.TrimSuffix(hosts[0].ip, "1") + "100"
	homeGateway(t, hosts[0], roster.Host{Name: ip, Role: roster.RoleGateway, Region: "lagos", DataCentre: "a", Life: ip, Peer: peer(ip), Callers: ip + ":80"})
	listed := func() bool { return slices.Contains(hosts[1].c.Entries("h", "lagos", "a"), ip+":80") }
	eventually(t, stepTimeout, "the other control host lists the gateway", listed)
	for range 2 {
		n.isolate(hosts[0].ip, true)
		eventually(t, stepTimeout, "it removes the gateway, whose home it can't reach", func() bool { return !listed() })
		n.isolate(hosts[0].ip, false)
		eventually(t, stepTimeout, "it lists the gateway again", listed)
	}
	must.Len(t, 1, hosts[0].c.Entries("h", "lagos", "a"))
}
