package controller_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/roster"
)

// fewVersions is less than a leader keeps in its log, with the entries that aren't versions.
const fewVersions = 50

// awayHost is a control host that missed versions, receives them in a snapshot and can't store
// it, since its disk is full.
type awayHost struct {
	*host
	network    *network
	others     []*host
	newest     int64
	acceptedAt time.Time // when the newest version had been accepted
}

// newAwayHost returns an isolated control host with a full disk. The leader has compacted all
// that the host missed.
func newAwayHost(t *testing.T) *awayHost {
	t.Helper()
	n, hosts := newHosts(t)
	putCatalog(t, hosts[0], 1)
	i := slices.IndexFunc(hosts, func(h *host) bool { return !h.c.IsLeader() })
	away := &awayHost{host: hosts[i], network: n, others: slices.Delete(slices.Clone(hosts), i, i+1)}
	expectRead(t, away.host, 1)
	n.isolate(away.ip, true)
	away.newest = 1
	for range fewVersions {
		away.putNext(t)
	}
	leader := away.leader(t)
	for compacted := false; !compacted; {
		compacted = away.compactsAfter(t, leader)
	}
	away.acceptedAt = time.Now()
	away.folder.SetFull(true)
	return away
}

// putNext puts the next version.
func (a *awayHost) putNext(t *testing.T) {
	t.Helper()
	a.newest++
	putCatalog(t, a.others[0], a.newest)
}

// leader returns the host that leads the others.
func (a *awayHost) leader(t *testing.T) *host {
	t.Helper()
	i := -1
	eventually(t, stepTimeout, "leader", func() bool {
		i = slices.IndexFunc(a.others, func(h *host) bool { return h.c.IsLeader() })
		return i >= 0
	})
	return a.others[i]
}

// compactsAfter puts the next version and reports whether the leader compacts its log then: it
// starts a new file.
func (a *awayHost) compactsAfter(t *testing.T, leader *host) bool {
	t.Helper()
	before := logFiles(t, leader)
	a.putNext(t)
	for range 8 {
		time.Sleep(5 * time.Millisecond)
		if !slices.Equal(before, logFiles(t, leader)) {
			return true
		}
	}
	return false
}

// logFiles returns the names of the files with a host's log.
func logFiles(t *testing.T, h *host) []string {
	t.Helper()
	names, err := h.folder.Names()
	must.NoError(t, err)
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, "log-") })
}

// returnAndAwaitSnapshot connects the host and waits until it tries to store the snapshot.
// meanwhile is called again and again.
func (a *awayHost) returnAndAwaitSnapshot(t *testing.T, logged *observer.ObservedLogs, meanwhile func()) {
	t.Helper()
	a.network.isolate(a.ip, false)
	eventually(t, stepTimeout, "the host tries to store the snapshot", func() bool {
		meanwhile()
		return logged.FilterMessage("disk refuses writes").Len() > 0
	})
}

// TestReadWaitsUntilASnapshotIsRestored guards against a control host that answers a read with the
// catalog from before it was away, while it stores and restores a newer one.
func TestReadWaitsUntilASnapshotIsRestored(t *testing.T) {
	t.Parallel()
	core, logged := observer.New(zap.ErrorLevel)
	away := newAwayHost(t)
	away.restartWithLog(zap.New(core))
	readNewest := func() {
		state, err := away.c.Read(context.Background())
		must.True(t, err != nil || state.Catalog.Version == away.newest, must.Sprintf("version %d, the newest is %d", state.Catalog.Version, away.newest))
	}
	away.returnAndAwaitSnapshot(t, logged, readNewest)
	for range 3 {
		_, err := away.c.Read(context.Background())
		must.ErrorIs(t, err, controller.ErrUnavailable)
	}
	away.folder.SetFull(false)
	eventually(t, stepTimeout, "the newest version is read", func() bool {
		readNewest()
		_, err := away.c.Read(context.Background())
		return err == nil
	})
}

// TestStateIsNotConfirmedBeforeASnapshotIsRestored guards against gateways that take a state for
// current, and its keys for not revoked, that their control host had before it was away.
func TestStateIsNotConfirmedBeforeASnapshotIsRestored(t *testing.T) {
	t.Parallel()
	core, logged := observer.New(zap.ErrorLevel)
	away := newAwayHost(t)
	away.restartWithLog(zap.New(core))
	newest, err := away.others[0].c.Read(context.Background())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	expectNoStaleConfirmation := func() {
		var reply follow.SyncReply
		args := follow.SyncArgs{Self: roster.Host{Name: "g", Role: roster.RoleGateway, Region: regions[away.dataCentre], Life: "g-1"}}
		must.NoError(t, controller.NewService(ctx, away.c).Sync(args, &reply))
		stale := reply.Sure.Known && reply.Sure.Index < newest.Index && reply.Sure.Age < time.Since(away.acceptedAt)
		must.False(t, stale, must.Sprintf("the state with index %d is confirmed as of %v ago, %d had been accepted %v ago", reply.Sure.Index, reply.Sure.Age, newest.Index, time.Since(away.acceptedAt)))
	}
	away.returnAndAwaitSnapshot(t, logged, expectNoStaleConfirmation)
	for range 100 {
		expectNoStaleConfirmation()
		time.Sleep(10 * time.Millisecond)
	}
	away.folder.SetFull(false)
	eventually(t, stepTimeout, "the newest state is confirmed", func() bool {
		var reply follow.SyncReply
		must.NoError(t, controller.NewService(ctx, away.c).Sync(follow.SyncArgs{Self: roster.Host{Name: "g", Role: roster.RoleGateway, Region: regions[away.dataCentre], Life: "g-1"}}, &reply))
		return reply.Sure.Known && reply.Sure.Index >= newest.Index
	})
}
