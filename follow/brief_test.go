package follow_test

import (
	"context"
	"net"
	"sync"
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

// fakeControlHost is a control host with one gateway in its roster.
type fakeControlHost struct {
	self roster.Host

	mu            sync.Mutex
	connectedTo   []string
	lastBrief     bool // whether the last Sync was brief
	syncs         int
	knowsCaller   bool // it has the caller's description
	introductions int  // how often the caller has sent its description
}

// Sync implements the method of follow.Service. It answers after a short wait.
func (c *fakeControlHost) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c.mu.Lock()
	c.lastBrief = args.Brief
	c.syncs++
	if args.Known && !c.knowsCaller {
		*reply = follow.SyncReply{Stranger: true}
		c.mu.Unlock()
		return nil
	}
	if !args.Known {
		c.introductions++
		c.knowsCaller = true
	}
	*reply = follow.SyncReply{Life: c.self.Name, Self: c.self, Hears: c.connectedTo}
	if !args.Brief {
		reply.Number, reply.Roster = 1, 1
		reply.Hosts = []roster.Host{{Name: "g-" + c.self.Name, Role: roster.RoleGateway, Region: c.self.Region, Peer: "10.0.0.1:1"}}
	}
	c.mu.Unlock()
	time.Sleep(min(args.Wait, 50*time.Millisecond))
	return nil
}

func (c *fakeControlHost) setConnectedTo(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectedTo = names
}

// TestOnlyOneControlHostIsAskedForHostsAndEngines guards against control hosts that all
// send the same hosts and engines. The one in the gateway's own data centre is polled in
// full, the region's other one only while the first isn't connected to it, and the remote
// one only while neither answers. Hosts received before a link became brief must not be
// used.
func TestOnlyOneControlHostIsAskedForHostsAndEngines(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	controls := make(map[string]*fakeControlHost)
	stops := make(map[string]context.CancelFunc)
	var seeds []string
	for name, place := range map[string][2]string{"own": {"here", "a"}, "other": {"here", "b"}, "far": {"there", "c"}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		c := &fakeControlHost{self: roster.Host{Name: name, Role: roster.RoleControl, Region: place[0], DataCentre: place[1], Peer: listener.Addr().String()}}
		controls[name] = c
		seeds = append(seeds, listener.Addr().String())
		server := wire.NewServer()
		must.NoError(t, server.Register(follow.Service, c))
		serverCtx, stop := context.WithCancel(ctx)
		stops[name] = stop
		group.Go(func() { _ = server.Serve(serverCtx, listener) })
	}
	follower := follow.New(follow.Deps{
		Self: func() roster.Host {
			return roster.Host{Name: "g", Role: roster.RoleGateway, Region: "here", DataCentre: "a"}
		},
		Seeds: func() []string { return seeds }, Client: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		OnState: func(ledger.State) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	waitForBrief := func(note string, brief map[string]bool) {
		t.Helper()
		for name, wanted := range brief {
			c := controls[name]
			c.mu.Lock()
			before := c.syncs
			c.mu.Unlock()
			for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				c.mu.Lock()
				done := c.syncs > before+2 && c.lastBrief == wanted
				c.mu.Unlock()
				if done {
					break
				}
				must.True(t, time.Now().Before(until), must.Sprint(note, ": ", name))
			}
		}
	}
	waitForBrief("own is connected to no other", map[string]bool{"own": false, "other": false, "far": true})
	controls["own"].setConnectedTo("other")
	waitForBrief("own is connected to other", map[string]bool{"own": false, "other": true, "far": true})
	for until := time.Now().Add(20 * time.Second); len(follower.Gateways()) != 1; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(until))
	}
	must.Eq(t, "g-own", follower.Gateways()[0].Name)
	controls["own"].setConnectedTo()
	waitForBrief("own has lost other", map[string]bool{"own": false, "other": false, "far": true})
	stops["own"]()
	waitForBrief("own has stopped", map[string]bool{"other": false, "far": true})
	stops["other"]()
	waitForBrief("own and other have stopped", map[string]bool{"far": false})
}

// TestHostSendsItsDescriptionOnce guards against a full description in every poll. It is
// sent once, and again after the control host has lost it.
func TestHostSendsItsDescriptionOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	c, server := &fakeControlHost{self: roster.Host{Name: "own"}}, wire.NewServer()
	must.NoError(t, server.Register(follow.Service, c))
	group.Go(func() { _ = server.Serve(ctx, listener) })
	follower := follow.New(follow.Deps{
		Self:  func() roster.Host { return roster.Host{Name: "g", Life: "1", Role: roster.RoleGateway} },
		Seeds: func() []string { return []string{listener.Addr().String()} }, Client: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		OnState: func(ledger.State) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	waitForIntroductions := func(count int) {
		t.Helper()
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			c.mu.Lock()
			done := c.syncs > 5 && c.introductions == count
			c.mu.Unlock()
			if done {
				return
			}
			must.True(t, time.Now().Before(until), must.Sprintf("the description must be sent %d times", count))
		}
	}
	waitForIntroductions(1)
	c.mu.Lock()
	c.knowsCaller, c.syncs = false, 0
	c.mu.Unlock()
	waitForIntroductions(2)
}
