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

// teller is a control host that tells where it stands, whom it hears, and one engine.
type teller struct {
	self roster.Host

	mu    sync.Mutex
	hears []string
	brief bool // it was last asked briefly
	asked int
	knows bool // the caller
	told  int  // how often the caller told of itself
}

// Sync answers after a moment.
func (s *teller) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	s.mu.Lock()
	s.brief = args.Brief
	s.asked++
	if args.Known && !s.knows {
		*reply = follow.SyncReply{Stranger: true}
		s.mu.Unlock()
		return nil
	}
	if !args.Known {
		s.told++
		s.knows = true
	}
	*reply = follow.SyncReply{Life: s.self.Name, Self: s.self, Hears: s.hears}
	if !args.Brief {
		reply.Number, reply.Roster = 1, 1
		reply.Hosts = []roster.Host{{Name: "g-" + s.self.Name, Role: roster.RoleGateway, Region: s.self.Region, Peer: "10.0.0.1:1"}}
	}
	s.mu.Unlock()
	time.Sleep(min(args.Wait, 50*time.Millisecond))
	return nil
}

func (s *teller) set(hears ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hears = hears
}

// TestOneControlHostTellsOfHostsAndEngines follows a control host of the own data centre,
// one of the other data centre of the region, and a far one. Only the first is asked for
// all, as long as it hears the second; what a control host told before it was asked
// briefly is forgotten.
func TestOneControlHostTellsOfHostsAndEngines(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	tellers := make(map[string]*teller)
	stops := make(map[string]context.CancelFunc)
	var seeds []string
	for name, place := range map[string][2]string{"own": {"here", "a"}, "other": {"here", "b"}, "far": {"there", "c"}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		s := &teller{self: roster.Host{Name: name, Role: roster.RoleControl, Region: place[0], DataCentre: place[1], Peer: listener.Addr().String()}}
		tellers[name] = s
		seeds = append(seeds, listener.Addr().String())
		server := wire.NewServer()
		must.NoError(t, server.Register(follow.Service, s))
		bound, stop := context.WithCancel(ctx)
		stops[name] = stop
		group.Go(func() { _ = server.Serve(bound, listener) })
	}
	follower := follow.New(follow.Deps{
		Self: func() roster.Host {
			return roster.Host{Name: "g", Role: roster.RoleGateway, Region: "here", DataCentre: "a"}
		},
		Seeds: func() []string { return seeds }, Calls: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		Took: func(ledger.State) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	want := func(note string, brief map[string]bool) {
		t.Helper()
		for name, wanted := range brief {
			s := tellers[name]
			s.mu.Lock()
			from := s.asked
			s.mu.Unlock()
			for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				s.mu.Lock()
				done := s.asked > from+2 && s.brief == wanted
				s.mu.Unlock()
				if done {
					break
				}
				must.True(t, time.Now().Before(until), must.Sprint(note, ": ", name))
			}
		}
	}
	want("the own one hears nobody", map[string]bool{"own": false, "other": false, "far": true})
	tellers["own"].set("other")
	want("it hears the other", map[string]bool{"own": false, "other": true, "far": true})
	for until := time.Now().Add(20 * time.Second); len(follower.Gateways()) != 1; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(until))
	}
	must.Eq(t, "g-own", follower.Gateways()[0].Name)
	tellers["own"].set()
	want("it has lost the other", map[string]bool{"own": false, "other": false, "far": true})
	stops["own"]()
	want("it is lost", map[string]bool{"other": false, "far": true})
	stops["other"]()
	want("the region's are lost", map[string]bool{"far": false})
}

// TestAHostTellsOfItselfOnce counts how often a control host is told who asks: once, and
// again when it has forgotten.
func TestAHostTellsOfItselfOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	defer group.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s, server := &teller{self: roster.Host{Name: "own"}}, wire.NewServer()
	must.NoError(t, server.Register(follow.Service, s))
	group.Go(func() { _ = server.Serve(ctx, listener) })
	follower := follow.New(follow.Deps{
		Self:  func() roster.Host { return roster.Host{Name: "g", Life: "1", Role: roster.RoleGateway} },
		Seeds: func() []string { return []string{listener.Addr().String()} }, Calls: wire.NewClient(&net.Dialer{}), Engines: registry.New("x", time.Second, time.Now),
		Took: func(ledger.State) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group.Go(func() { _ = follower.Run(ctx) })
	want := func(told int) {
		t.Helper()
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			s.mu.Lock()
			done := s.asked > 5 && s.told == told
			s.mu.Unlock()
			if done {
				return
			}
			must.True(t, time.Now().Before(until), must.Sprintf("told %d times", told))
		}
	}
	want(1)
	s.mu.Lock()
	s.knows, s.asked = false, 0
	s.mu.Unlock()
	want(2)
}
