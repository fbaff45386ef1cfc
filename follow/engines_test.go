package follow_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
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

// engineHost is a control host that sends engines: its own, whose source is "x", and those
// of a control host "y" that it may be connected to.
type engineHost struct {
	engines *registry.Table

	mu          sync.Mutex
	unreachable bool
	sources     []string
	pagePause   time.Duration // before each answer
	answers     int
	failures    int
}

// Sync implements the method of follow.Service. It answers after a short wait.
func (c *engineHost) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c.mu.Lock()
	pagePause := c.pagePause
	c.mu.Unlock()
	time.Sleep(max(pagePause, min(args.Wait, 20*time.Millisecond)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		c.failures++
		return errors.New("unreachable")
	}
	c.answers++
	after := args.Engines
	if args.Life != "x" {
		after = 0
	}
	engines, number, more := c.engines.Page(after, 1, func(registry.Engine) bool { return true })
	*reply = follow.SyncReply{
		Life: "x", Engines: follow.NewEngineUpdates(engines, time.Now()), Number: number, More: more, Roster: 1, Sources: c.sources,
		Self: roster.Host{Name: "x", Role: roster.RoleControl, Region: "here", DataCentre: "a"},
	}
	return nil
}

func (c *engineHost) set(unreachable bool, sources ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable, c.sources = unreachable, sources
}

// polls returns how many polls were answered, and how many failed.
func (c *engineHost) polls() (answers, failures int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers, c.failures
}

// engineFollower is a host that follows an engineHost. Its clock can be advanced.
type engineFollower struct {
	*follow.Follower
	host   *engineHost
	table  *registry.Table
	offset atomic.Int64
}

// newEngineFollower starts a host that follows a control host with three engines.
func newEngineFollower(t *testing.T, onState func(ledger.State)) *engineFollower {
	t.Helper()
	f := &engineFollower{host: &engineHost{engines: registry.New("x", time.Hour, time.Now), sources: []string{"y"}}}
	for i, id := range []string{"i-1", "i-2", "i-3"} {
		e := registry.Engine{ID: id, Service: "s", Address: "10.0.0." + id[2:] + ":80", DataCentre: "a", Slots: 4, Sequence: 1}
		if i < 2 {
			f.host.engines.Heartbeat(e)
			continue
		}
		e.Source, e.Heard = "y", time.Now()
		f.host.engines.Merge([]registry.Engine{e})
	}
	clock := func() time.Time { return time.Now().Add(time.Duration(f.offset.Load())) }
	f.table = registry.New("f", time.Hour, clock)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := wire.NewServer()
	must.NoError(t, server.Register(follow.Service, f.host))
	f.Follower = follow.New(follow.Deps{
		Self: func() roster.Host {
			return roster.Host{Name: "f", Region: "here", DataCentre: "a"}
		},
		Seeds: func() []string { return []string{listener.Addr().String()} }, Client: wire.NewClient(&net.Dialer{}), Engines: f.table,
		OnState: onState, Log: zap.NewNop(), Clock: clock, Steady: steady.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = server.Serve(ctx, listener) })
	group.Go(func() { _ = f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

// await waits until the follower has exactly these engines.
func (f *engineFollower) await(t *testing.T, ids ...string) {
	t.Helper()
	var got []string
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		got = nil
		for _, e := range f.table.All() {
			got = append(got, e.ID)
		}
		if slices.Equal(got, ids) {
			return
		}
	}
	must.Eq(t, ids, got)
}

// awaitPolls waits until the follower has applied an answer, or recorded a failure, of a poll
// that the control host receives from now on.
func (f *engineFollower) awaitPolls(t *testing.T) {
	t.Helper()
	answers, failures := f.host.polls()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if a, n := f.host.polls(); a >= answers+3 || n >= failures+3 {
			return
		}
		must.True(t, time.Now().Before(until), must.Sprint("the control host must be polled"))
	}
}

// TestViewIsNotSteadyBeforeItsLastPage guards against a stream that is joined from two versions
// because a gateway that has just started counts the engines that it has so far as all there are.
func TestViewIsNotSteadyBeforeItsLastPage(t *testing.T) {
	t.Parallel()
	const engines = 150 // a page has one
	f := newEngineFollower(t, func(ledger.State) {})
	f.host.mu.Lock()
	f.host.pagePause = 20 * time.Millisecond
	f.host.mu.Unlock()
	for i := range engines {
		id := fmt.Sprintf("i-%03d", i)
		f.host.engines.Heartbeat(registry.Engine{ID: id, Service: "s", Address: fmt.Sprintf("10.1.0.%d:80", i), DataCentre: "a", Slots: 4, Sequence: 1})
	}
	for until := time.Now().Add(30 * time.Second); !f.IsSteady(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(until), must.Sprint("the control host answers"))
	}
	must.GreaterEq(t, engines, len(f.table.All()))
}

// removalTime is longer than engines are retained whose control host doesn't answer.
const removalTime = 61 * time.Second

// TestEnginesReturnWithTheirControlHost guards against engines that are missing for good after
// the control host that receives their heartbeats didn't answer for so long that they were
// removed: nothing about them has changed for that control host.
func TestEnginesReturnWithTheirControlHost(t *testing.T) {
	for name, onState := range map[string]func(ledger.State){"gateway": func(ledger.State) {}, "control host": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEngineFollower(t, onState)
			f.await(t, "i-1", "i-2", "i-3")
			for range 2 {
				f.host.set(true)
				f.awaitPolls(t)
				f.offset.Add(int64(removalTime))
				f.table.Expire()
				f.await(t)
				f.host.set(false, "y")
				f.await(t, "i-1", "i-2", "i-3")
			}
		})
	}
}

// TestEnginesReturnWithTheConnectionOfTheHome guards against engines that are missing for good
// after the home wasn't connected to their control host for so long that a gateway removed
// them and the home didn't.
func TestEnginesReturnWithTheConnectionOfTheHome(t *testing.T) {
	f := newEngineFollower(t, func(ledger.State) {})
	f.await(t, "i-1", "i-2", "i-3")
	f.host.set(false)
	f.awaitPolls(t)
	f.offset.Add(int64(removalTime))
	f.awaitPolls(t)
	f.table.Expire()
	f.await(t, "i-1", "i-2")
	f.host.set(false, "y")
	f.await(t, "i-1", "i-2", "i-3")
}
