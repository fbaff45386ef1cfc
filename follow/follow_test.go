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
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/wire"
)

// control is a control host with a ledger, on which nothing changes.
type control struct{ asked atomic.Int64 }

// Sync answers at once where the asking host lacks the newest state, and holds the
// question otherwise.
func (c *control) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c.asked.Add(1)
	*reply = follow.SyncReply{Life: "1", Index: 5}
	if !reply.News(args) {
		time.Sleep(args.Wait)
	}
	return nil
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
		Log: zap.NewNop(), Clock: time.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	time.Sleep(time.Second)
	must.Between(t, 1, c.asked.Load(), 5, must.Sprint("two questions a second, and the first ones"))
}
