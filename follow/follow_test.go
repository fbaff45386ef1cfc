package follow_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/wire"
)

// ledgerHost is a control host whose ledger and roster never change.
type ledgerHost struct {
	syncs    atomic.Int64
	lastWait atomic.Int64  // Wait of the last Sync
	hosts    []roster.Host // its roster
}

// Sync implements the method of follow.Service. It answers at once if the caller lacks
// something, and after the requested wait otherwise.
func (c *ledgerHost) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c.syncs.Add(1)
	c.lastWait.Store(int64(args.Wait))
	*reply = follow.SyncReply{Life: "1", Index: 5, Hosts: c.hosts, Roster: 1}
	if !reply.HasChanges(args) {
		time.Sleep(args.Wait)
	}
	return nil
}

// State implements the method of follow.Service. The state is empty.
func (c *ledgerHost) State(_ follow.StateArgs, reply *follow.StateReply) error {
	data, err := ledger.EncodeCompressed(ledger.State{Index: 5})
	*reply = follow.StateReply{Index: 5, State: data}
	return err
}

// TestRemoteControlHostsAreSyncedLessOften checks that the control host of a remote region
// is polled with a longer wait while one of the gateway's own region answers, and with the
// usual wait afterwards.
func TestRemoteControlHostsAreSyncedLessOften(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	localCtx, stopLocal := context.WithCancel(ctx)
	var hosts []roster.Host
	var seeds []string
	controls := make([]*ledgerHost, 2)
	listeners := make([]net.Listener, 2)
	for i, region := range []string{"here", "there"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners[i], controls[i] = listener, &ledgerHost{}
		hosts = append(hosts, roster.Host{Name: region, Role: roster.RoleControl, Region: region, Peer: listener.Addr().String()})
		seeds = append(seeds, listener.Addr().String())
	}
	for i, c := range controls {
		c.hosts = hosts
		server := wire.NewServer()
		must.NoError(t, server.Register(follow.Service, c))
		serverCtx := []context.Context{localCtx, ctx}[i]
		group.Go(func() { _ = server.Serve(serverCtx, listeners[i]) })
	}
	follower := follow.New(follow.Deps{
		Self:  func() roster.Host { return roster.Host{Name: "g", Role: roster.RoleGateway, Region: "here"} },
		Seeds: func() []string { return seeds }, Client: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		OnState: func(ledger.State) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	wantWait := func(want time.Duration) {
		t.Helper()
		for until := time.Now().Add(20 * time.Second); controls[1].lastWait.Load() != int64(want); time.Sleep(10 * time.Millisecond) {
			must.True(t, time.Now().Before(until), must.Sprintf("the remote control host must be polled with a wait of %v", want))
		}
	}
	wantWait(follow.BriefSyncWait)
	stopLocal()
	wantWait(follow.SyncWait)
}

// TestControlHostFetchesNoLedgerFromOthers guards against a busy loop between control
// hosts: a Sync that asks for the other's ledger state would return at once every time,
// because a control host never fetches that state.
func TestControlHostFetchesNoLedgerFromOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	c, server := &ledgerHost{}, wire.NewServer()
	must.NoError(t, server.Register(follow.Service, c))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	group.Go(func() { _ = server.Serve(ctx, listener) })
	seeds := []string{listener.Addr().String()}
	follower := follow.New(follow.Deps{
		Self:  func() roster.Host { return roster.Host{Name: "other", Role: roster.RoleControl} },
		Seeds: func() []string { return seeds }, Client: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	time.Sleep(time.Second)
	must.Between(t, 1, c.syncs.Load(), 5, must.Sprint("two polls a second, and the first ones"))
}
