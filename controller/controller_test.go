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

func TestAnyHostTakesAndShowsACatalog(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	_, err := hosts[0].c.Read(context.Background())
	must.Error(t, err, must.Sprint("nothing is declared yet"))
	for i, h := range hosts {
		put(t, h, int64(i+1))
		for _, other := range hosts {
			reads(t, other, int64(i+1))
		}
	}
	put(t, hosts[0], 2) // an older one is acknowledged and changes nothing
	reads(t, hosts[1], 3)
	bad := catalog.Catalog{Version: 9, Routes: []catalog.Route{{Name: "r"}}}
	_, err = hosts[0].c.Put(context.Background(), bad, nil)
	var invalid *catalog.InvalidError
	must.True(t, errors.As(err, &invalid))
	reads(t, hosts[2], 3)
	must.ErrorIs(t, hosts[0].c.Evacuate(context.Background(), "nowhere", true), errors.NotFound)
}

func TestWhatWasAcceptedOutlivesTheLossOfAllPower(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	put(t, hosts[0], 7)
	within(t, patience, "evacuated", func() bool { return hosts[1].c.Evacuate(context.Background(), "b", true) == nil })
	for _, h := range hosts {
		h.losePower()
	}
	for _, h := range hosts {
		h.start()
	}
	reads(t, hosts[2], 7)
	state, err := hosts[2].c.Read(context.Background())
	must.NoError(t, err)
	must.True(t, state.IsEvacuated("b"))
}

// TestALostDiskIsReplaced wipes one host after the other, each right after
// something was accepted: a wiped host votes again, under a new identity, before
// the next is lost.
func TestALostDiskIsReplaced(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	for i, h := range hosts {
		put(t, hosts[(i+1)%3], int64(i+1))
		h.loseDisk()
		h.start()
		within(t, patience, "the new identity votes", func() bool {
			members := hosts[(i+1)%3].c.Members()
			return members.IsVoter(h.id) && len(members.Voters) == 3
		})
		reads(t, h, int64(i+1))
	}
}

// TestALostDiskAndAllPowerAtOnce lets one host after the other lose its disk at the moment
// at which all others lose power, right after something was accepted: what the one disk held
// must be on another, synced, and the memory of none is left.
func TestALostDiskAndAllPowerAtOnce(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	for i, h := range hosts {
		put(t, hosts[(i+2)%3], int64(i+1))
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
			reads(t, other, int64(i+1))
		}
		within(t, patience, "the new identity votes", func() bool {
			members := hosts[(i+1)%3].c.Members()
			return members.IsVoter(h.id) && len(members.Voters) == 3
		})
	}
}

// TestAHostThatIsGoneIsReplacedByAnother puts an empty host at another address
// in the place of one that never comes back.
func TestAHostThatIsGoneIsReplacedByAnother(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	put(t, hosts[0], 1)
	gone := hosts[2]
	gone.stop()
	ip := strings.TrimSuffix(gone.ip, "3") + "9"
	successor := &host{t: t, network: n, ip: ip, centre: "c", seeds: gone.seeds, folder: disk.NewMemory(), told: patience, log: zap.NewNop(), id: raft.ID(peer(ip) + "#x")}
	successor.start()
	within(t, patience, "the successor votes and the lost one doesn't", func() bool {
		members := hosts[0].c.Members()
		return members.IsVoter(successor.id) && !members.IsVoter(gone.id) && len(members.Voters) == 3
	})
	hosts[1].stop()
	put(t, successor, 2)
	reads(t, hosts[0], 2)
}

func TestAHostCutOffShowsNothingAndTakesNothing(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	put(t, hosts[0], 1)
	lone := hosts[0]
	n.isolate(lone.ip, true)
	put(t, hosts[1], 2)
	for range 3 {
		_, err := lone.c.Read(context.Background())
		must.ErrorIs(t, err, controller.ErrUnavailable)
		c, source := version(5)
		_, err = lone.c.Put(context.Background(), c, source)
		must.ErrorIs(t, err, controller.ErrUnavailable)
	}
	reads(t, hosts[2], 2)
	n.isolate(lone.ip, false)
	within(t, patience, "it shows the newest again", func() bool {
		state, err := lone.c.Read(context.Background())
		return err == nil && state.Catalog.Version >= 2
	})
}

// gatewayHost follows the control hosts as a gateway does.

// TestAnEvacuationThatWasGivenUpStaysSo guards against an order that got no answer and is carried
// out after a later one was acknowledged.
func TestAnEvacuationThatWasGivenUpStaysSo(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	network, hosts := newHosts(t)
	put(t, hosts[0], 1)
	for _, h := range hosts {
		if h.c.Leads() {
			continue
		}
		reads(t, h, 1) // it has a connection to the leader
		network.hold(h.ip)
		must.ErrorIs(t, h.c.Evacuate(ctx, "b", true), controller.ErrUnavailable)
		other := hosts[(slices.Index(hosts, h)+1)%len(hosts)]
		within(t, patience, "the evacuation is ended", func() bool { return other.c.Evacuate(ctx, "b", false) == nil })
		network.release(h.ip)
		within(t, patience, "in touch again", func() bool { return h.c.Evacuate(ctx, "c", false) == nil })
		state, err := other.c.Read(ctx)
		must.NoError(t, err)
		must.False(t, state.IsEvacuated("b"))
	}
}
