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

// control is a control host with a ledger, on which nothing changes.
type control struct {
	asked atomic.Int64
	wait  atomic.Int64  // that was last asked for
	hosts []roster.Host // that it names
}

// Sync answers at once where the asking host lacks the newest state, and holds the
// question otherwise.
func (c *control) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c.asked.Add(1)
	c.wait.Store(int64(args.Wait))
	*reply = follow.SyncReply{Life: "1", Index: 5, Hosts: c.hosts, Roster: 1}
	if !reply.News(args) {
		time.Sleep(args.Wait)
	}
	return nil
}

// State gives an empty state.
func (c *control) State(_ follow.StateArgs, reply *follow.StateReply) error {
	data, err := ledger.Pack(ledger.State{Index: 5})
	*reply = follow.StateReply{Index: 5, State: data}
	return err
}

// TestFarControlHostsAreAskedSeldom follows a control host of the own region and one of
// another: the far one holds questions for longer, until the near one is lost.
func TestFarControlHostsAreAskedSeldom(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	near, stopNear := context.WithCancel(ctx)
	var hosts []roster.Host
	var seeds []string
	controls := make([]*control, 2)
	listeners := make([]net.Listener, 2)
	for i, region := range []string{"here", "there"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners[i], controls[i] = listener, &control{}
		hosts = append(hosts, roster.Host{Name: region, Role: roster.RoleControl, Region: region, Peer: listener.Addr().String()})
		seeds = append(seeds, listener.Addr().String())
	}
	for i, c := range controls {
		c.hosts = hosts
		server := wire.NewServer()
		must.NoError(t, server.Register(follow.Service, c))
		bound := []context.Context{near, ctx}[i]
		group.Go(func() { _ = server.Serve(bound, listeners[i]) })
	}
	follower := follow.New(follow.Deps{
		Self:  func() roster.Host { return roster.Host{Name: "g", Role: roster.RoleGateway, Region: "here"} },
		Seeds: func() []string { return seeds }, Calls: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		Took: func(ledger.State) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	wantWait := func(want time.Duration) {
		t.Helper()
		for until := time.Now().Add(20 * time.Second); controls[1].wait.Load() != int64(want); time.Sleep(10 * time.Millisecond) {
			must.True(t, time.Now().Before(until), must.Sprintf("the far one is asked to wait for %v", want))
		}
	}
	wantWait(follow.FarWait)
	stopNear()
	wantWait(follow.SyncWait)
}

// TestAControlHostAsksNoOtherForTheLedger follows a control host as another does,
// which has a replica of the ledger itself: its questions must stand, and not come
// back at once because the other has a ledger too.
func TestAControlHostAsksNoOtherForTheLedger(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	c, server := &control{}, wire.NewServer()
	must.NoError(t, server.Register(follow.Service, c))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	group.Go(func() { _ = server.Serve(ctx, listener) })
	seeds := []string{listener.Addr().String()}
	follower := follow.New(follow.Deps{
		Self:  func() roster.Host { return roster.Host{Name: "other", Role: roster.RoleControl} },
		Seeds: func() []string { return seeds }, Calls: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	time.Sleep(time.Second)
	must.Between(t, 1, c.asked.Load(), 5, must.Sprint("two questions a second, and the first ones"))
}
