package controller_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
)

// TestAnyHostAcceptsAndReturnsCatalog puts a catalog on each host, and reads it from all.
// Neither an older nor an invalid catalog may replace it.
func TestAnyHostAcceptsAndReturnsCatalog(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	_, err := hosts[0].c.Read(context.Background())
	must.Error(t, err, must.Sprint("no catalog yet"))
	for i, h := range hosts {
		putCatalog(t, h, int64(i+1))
		for _, other := range hosts {
			expectRead(t, other, int64(i+1))
		}
	}
	putCatalog(t, hosts[0], 2) // an older version is accepted and changes nothing
	expectRead(t, hosts[1], 3)
	bad := catalog.Catalog{Version: 9, Routes: []catalog.Route{{Name: "r"}}}
	_, err = hosts[0].c.Put(context.Background(), bad, nil)
	var invalid *catalog.InvalidError
	must.True(t, errors.As(err, &invalid))
	expectRead(t, hosts[2], 3)
	must.ErrorIs(t, hosts[0].c.Evacuate(context.Background(), "nowhere", true), errors.NotFound)
}

// TestAcceptedStateSurvivesPowerLoss guards against losing accepted commands when all
// control hosts lose power at once.
func TestAcceptedStateSurvivesPowerLoss(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	putCatalog(t, hosts[0], 7)
	eventually(t, stepTimeout, "evacuated", func() bool { return hosts[1].c.Evacuate(context.Background(), "b", true) == nil })
	for _, h := range hosts {
		h.losePower()
	}
	for _, h := range hosts {
		h.start()
	}
	expectRead(t, hosts[2], 7)
	state, err := hosts[2].c.Read(context.Background())
	must.NoError(t, err)
	must.True(t, state.IsEvacuated("b"))
}

// TestLostDiskIsReplaced guards against data loss when disks fail in turn, each right
// after a command was accepted. A host whose disk was wiped must vote again, under a new
// identity, before the next one fails.
func TestLostDiskIsReplaced(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	for i, h := range hosts {
		putCatalog(t, hosts[(i+1)%3], int64(i+1))
		h.loseDisk()
		h.start()
		eventually(t, stepTimeout, "the new identity votes", func() bool {
			members := hosts[(i+1)%3].c.Members()
			return members.IsVoter(h.id) && len(members.Voters) == 3
		})
		expectRead(t, h, int64(i+1))
	}
}

// TestLostDiskDuringPowerLoss guards against an accepted command that is on one disk
// only. One host loses its disk at the moment at which all others lose power, so that
// only what they have synced is left.
func TestLostDiskDuringPowerLoss(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	for i, h := range hosts {
		putCatalog(t, hosts[(i+2)%3], int64(i+1))
		h.loseDisk()
		for _, other := range hosts {
			other.stop()
			if other != h {
				other.folder.Crash(i)
			}
		}
		for _, other := range hosts {
			other.start()
		}
		for _, other := range hosts {
			expectRead(t, other, int64(i+1))
		}
		eventually(t, stepTimeout, "the new identity votes", func() bool {
			members := hosts[(i+1)%3].c.Members()
			return members.IsVoter(h.id) && len(members.Voters) == 3
		})
	}
}

// TestLostHostIsReplaced guards against a permanent loss of a voter: an empty host at
// another address must take the place of a host that never returns.
func TestLostHostIsReplaced(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	putCatalog(t, hosts[0], 1)
	lost := hosts[2]
	lost.stop()
	ip := strings.TrimSuffix(lost.ip, "3") + "9"
	replacement := &host{t: t, network: n, ip: ip, dataCentre: "c", seeds: lost.seeds, folder: disk.NewMemory(), drainTimeout: stepTimeout, log: zap.NewNop(), id: raft.ID(peer(ip) + "#x")}
	replacement.start()
	eventually(t, stepTimeout, "the replacement votes and the lost host doesn't", func() bool {
		members := hosts[0].c.Members()
		return members.IsVoter(replacement.id) && !members.IsVoter(lost.id) && len(members.Voters) == 3
	})
	hosts[1].stop()
	putCatalog(t, replacement, 2)
	expectRead(t, hosts[0], 2)
}

// TestPartitionedHostRejectsReadsAndCommands guards against a partitioned host that
// returns a stale catalog or accepts commands.
func TestPartitionedHostRejectsReadsAndCommands(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	putCatalog(t, hosts[0], 1)
	isolated := hosts[0]
	n.isolate(isolated.ip, true)
	putCatalog(t, hosts[1], 2)
	for range 3 {
		_, err := isolated.c.Read(context.Background())
		must.ErrorIs(t, err, controller.ErrUnavailable)
		c, source := testCatalog(5)
		_, err = isolated.c.Put(context.Background(), c, source)
		must.ErrorIs(t, err, controller.ErrUnavailable)
	}
	expectRead(t, hosts[2], 2)
	n.isolate(isolated.ip, false)
	eventually(t, stepTimeout, "it returns the latest catalog again", func() bool {
		state, err := isolated.c.Read(context.Background())
		return err == nil && state.Catalog.Version >= 2
	})
}

// TestTimedOutEvacuationIsNotAppliedLater guards against an order that timed out and is
// applied after a later one was acknowledged.
func TestTimedOutEvacuationIsNotAppliedLater(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	network, hosts := newHosts(t)
	putCatalog(t, hosts[0], 1)
	for _, h := range hosts {
		if h.c.IsLeader() {
			continue
		}
		expectRead(t, h, 1) // opens the connection to the leader
		network.delayPackets(h.ip)
		must.ErrorIs(t, h.c.Evacuate(ctx, "b", true), controller.ErrUnavailable)
		other := hosts[(slices.Index(hosts, h)+1)%len(hosts)]
		eventually(t, stepTimeout, "the evacuation is ended", func() bool { return other.c.Evacuate(ctx, "b", false) == nil })
		network.deliverDelayed(h.ip)
		eventually(t, stepTimeout, "connected again", func() bool { return h.c.Evacuate(ctx, "c", false) == nil })
		state, err := other.c.Read(ctx)
		must.NoError(t, err)
		must.False(t, state.IsEvacuated("b"))
	}
}
