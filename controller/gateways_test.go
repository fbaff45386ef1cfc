package controller_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/wire"
)

// gatewayHost follows the control hosts as a gateway does.
type gatewayHost struct {
	follower *follow.Follower
	engines  *registry.Table

	cancel context.CancelFunc

	mu       sync.Mutex
	states   []ledger.State
	stopping bool
	load     entryweight.Load
}

func newGateway(t *testing.T, n *network, ip, centre string, seeds []string) *gatewayHost {
	t.Helper()
	g := &gatewayHost{engines: registry.New(ip, 300*time.Millisecond, time.Now)}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.follower = follow.New(follow.Deps{
		Self: func() roster.Host {
			g.mu.Lock()
			defer g.mu.Unlock()
			return roster.Host{Name: ip, Role: roster.RoleGateway, Region: regions[centre], DataCentre: centre, Life: ip, Peer: peer(ip), Callers: ip + ":80", Stopping: g.stopping, Load: g.load}
		},
		Seeds: func() []string { return seeds }, Client: wire.NewClient(dialer{n, ip}), Engines: g.engines,
		OnState: func(s ledger.State) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.states = append(g.states, s)
		},
		Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now,
	})
	group := pool.New()
	group.Go(func() { _ = g.follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return g
}

func (g *gatewayHost) version() int64 { return g.follower.State().Catalog.Version }

func testEngine(id, centre string, sequence int64) registry.Engine {
	return registry.Engine{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: centre, Slots: 4, Sequence: sequence}
}

// TestGatewaysReceiveCatalogAndEngines checks that gateways receive the catalog and the
// engines of their region, that a draining engine is answered only after that, and that
// callers are directed to gateways that aren't stopping.
func TestGatewaysReceiveCatalogAndEngines(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	prefix := strings.TrimSuffix(hosts[0].ip, "1")
	g := newGateway(t, n, prefix+"100", "a", hosts[0].seeds[:1])
	remote := newGateway(t, n, prefix+"101", "c", hosts[0].seeds)
	putCatalog(t, hosts[1], 1)
	eventually(t, stepTimeout, "the catalog arrives", func() bool { return g.version() == 1 && remote.version() == 1 })
	hosts[2].c.Heartbeat(context.Background(), testEngine("i-1", "a", 1))
	eventually(t, stepTimeout, "the engine is known in its region", func() bool { _, ok := g.engines.Get("i-1"); return ok })
	_, known := remote.engines.Get("i-1")
	must.False(t, known, must.Sprint("another region's engine"))

	// A draining engine is answered only once the gateways of its region have
	// acknowledged it.
	draining := testEngine("i-1", "a", 2)
	draining.Phase = registry.Draining
	eventually(t, stepTimeout, "the gateway is connected to all control hosts", func() bool { return g.follower.ConnectedCount() == 3 })
	hosts[1].c.Heartbeat(context.Background(), draining)
	e, _ := g.engines.Get("i-1")
	must.Eq(t, registry.Draining, e.Phase)

	// Callers are directed to gateways of their region first.
	eventually(t, stepTimeout, "both gateways are named", func() bool { return len(hosts[0].c.Entries("h", "lagos", "a")) == 1 })
	must.Eq(t, []string{prefix + "100:80"}, hosts[0].c.Entries("h", "lagos", "a"))
	must.Eq(t, []string{prefix + "101:80"}, hosts[0].c.Entries("h", "kano", "c"))
	eventually(t, stepTimeout, "remote gateways are named once the roster has settled", func() bool { return len(hosts[0].c.Entries("h", "abuja", "b")) == 2 })
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	eventually(t, stepTimeout, "a stopping gateway is not named", func() bool {
		return slices.Equal(hosts[0].c.Entries("h", "lagos", "a"), []string{prefix + "101:80"})
	})
}

// TestDrainDoesNotWaitForUnreachableGateway guards against a drain that is delayed by a
// gateway that was partitioned a moment ago. The engine is answered, and a warning is
// logged.
func TestDrainDoesNotWaitForUnreachableGateway(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	prefix := strings.TrimSuffix(hosts[0].ip, "1")
	g := newGateway(t, n, prefix+"100", "a", hosts[0].seeds)
	putCatalog(t, hosts[1], 1)
	eventually(t, stepTimeout, "the gateway is connected to all control hosts", func() bool { return g.follower.ConnectedCount() == 3 && g.version() == 1 })
	core, logs := observer.New(zap.WarnLevel)
	hosts[1].losePower()
	hosts[1].drainTimeout, hosts[1].log = 50*time.Millisecond, zap.New(core)
	hosts[1].start()
	eventually(t, stepTimeout, "the gateway follows the new incarnation", func() bool {
		hosts[1].c.Heartbeat(context.Background(), testEngine("i-1", "a", time.Now().UnixNano()))
		_, known := g.engines.Get("i-1")
		return known && slices.Equal(hosts[1].c.Entries("h", "lagos", "a"), []string{prefix + "100:80"})
	})
	n.isolate(prefix+"100", true)
	draining := testEngine("i-1", "a", time.Now().UnixNano())
	draining.Phase = registry.Draining
	hosts[1].c.Heartbeat(context.Background(), draining)
	must.Positive(t, logs.FilterMessage("engine answered before all gateways acknowledged its state").Len())
}

// TestEnginesSurvivePowerLoss guards against gateways without engines after all control
// hosts lost power: a new gateway must receive the engines before any of them sends a
// heartbeat.
func TestEnginesSurvivePowerLoss(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	putCatalog(t, hosts[0], 1)
	hosts[0].c.Heartbeat(context.Background(), testEngine("i-1", "a", 7))
	time.Sleep(800 * time.Millisecond) // the engines are saved a moment after they change
	for _, h := range hosts {
		h.losePower()
	}
	for _, h := range hosts {
		h.start()
	}
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	eventually(t, stepTimeout, "the engine is known", func() bool { _, ok := g.engines.Get("i-1"); return ok })
	hosts[1].c.Heartbeat(context.Background(), testEngine("i-1", "a", 6)) // older than the last heartbeat
	e, _ := g.engines.Get("i-1")
	must.Eq(t, int64(7), e.Sequence)
	eventually(t, stepTimeout, "it times out without heartbeats", func() bool {
		e, _ := g.engines.Get("i-1")
		return e.Phase == registry.Unresponsive
	})
}

// TestGatewayStateNeverGoesBack guards against a gateway that applies an older state.
// Hosts are partitioned and killed while catalogs change.
func TestGatewayStateNeverGoesBack(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	for v := int64(1); v <= 6; v++ {
		putCatalog(t, hosts[v%3], v)
		lost := hosts[(v+1)%3]
		switch v % 3 {
		case 0:
			lost.losePower()
			lost.start()
		case 1:
			n.isolate(lost.ip, true)
			time.Sleep(100 * time.Millisecond)
			n.isolate(lost.ip, false)
		}
	}
	eventually(t, stepTimeout, "the latest catalog arrives", func() bool { return g.version() == 6 })
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := 1; i < len(g.states); i++ {
		must.Greater(t, g.states[i-1].Index, g.states[i].Index)
		must.GreaterEq(t, g.states[i-1].Catalog.Version, g.states[i].Catalog.Version)
	}
}

// TestPartitionedGatewayKeepsItsState guards against a gateway that drops its catalog or
// engines when it is partitioned from all control hosts.
func TestPartitionedGatewayKeepsItsState(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	ip := strings.TrimSuffix(hosts[0].ip, "1") + "100"
	g := newGateway(t, n, ip, "a", hosts[0].seeds)
	putCatalog(t, hosts[0], 1)
	hosts[0].c.Heartbeat(context.Background(), testEngine("i-1", "a", 1))
	eventually(t, stepTimeout, "the gateway has the catalog and the engine", func() bool { _, ok := g.engines.Get("i-1"); return ok && g.version() == 1 })
	n.isolate(ip, true)
	eventually(t, stepTimeout, "the gateway is disconnected", func() bool { return g.follower.ConnectedCount() == 0 })
	must.Eq(t, 1, g.version())
	e, ok := g.engines.Get("i-1")
	must.True(t, ok)
	must.Eq(t, registry.Ready, e.Phase)
	n.isolate(ip, false)
	putCatalog(t, hosts[1], 2)
	eventually(t, stepTimeout, "it receives updates again", func() bool { return g.version() == 2 })
}

// TestChangesAreBatched guards against a start of the whole system whose cost grows with
// the square of the number of hosts. A control host must send the hosts that join within
// the gather time in few replies.
func TestChangesAreBatched(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	hosts[0].stop()
	hosts[0].gatherTime = time.Second // far more than the hosts need to join
	hosts[0].start()
	service := controller.NewService(context.Background(), hosts[0].c)
	caller := roster.Host{Name: "asker", Role: roster.RoleGateway, Region: "lagos", DataCentre: "a", Life: "1"}
	var known follow.SyncReply
	must.NoError(t, service.Sync(follow.SyncArgs{Self: caller}, &known))
	eventually(t, stepTimeout, "the other control hosts are known", func() bool {
		must.NoError(t, service.Sync(follow.SyncArgs{Self: caller, Life: known.Life}, &known))
		return len(known.Hosts) == 4
	})
	group := pool.New()
	defer group.Wait()
	responses, ready := 0, make(chan struct{})
	group.Go(func() {
		<-ready
		for i := range 30 {
			gateway := roster.Host{Name: fmt.Sprintf("gateway-%d", i), Role: roster.RoleGateway, Region: "kano", DataCentre: "c", Life: "1"}
			var reply follow.SyncReply
			must.NoError(t, service.Sync(follow.SyncArgs{Self: gateway}, &reply))
		}
	})
	close(ready)
	seen := make(map[string]bool)
	for len(seen) < 30 {
		args := follow.SyncArgs{Self: caller, Life: known.Life, Engines: known.Number, Index: known.Index, Roster: known.Roster, Wait: follow.SyncWait, Sure: known.Sure.Known}
		must.NoError(t, service.Sync(args, &known))
		for _, h := range known.Hosts {
			if strings.HasPrefix(h.Name, "gateway-") {
				seen[h.Name] = true
			}
		}
		if len(known.Hosts) > 0 {
			responses++
		}
	}
	must.LessEq(t, 3, responses, must.Sprint("30 hosts that joined at once"))
}

// TestUnreachableControlHostNamesNoGateways guards against using the last roster of a
// lost control host forever: a gateway that stops later must no longer be named.
func TestUnreachableControlHostNamesNoGateways(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	prefix := strings.TrimSuffix(hosts[0].ip, "1")
	g := newGateway(t, n, prefix+"100", "a", hosts[0].seeds)
	other := newGateway(t, n, prefix+"101", "c", hosts[0].seeds)
	gatewayCount := func() int { return len(g.follower.Gateways()) }
	eventually(t, stepTimeout, "both are named", func() bool { return gatewayCount() == 2 && g.follower.ConnectedCount() == 3 })
	hosts[0].stop()
	other.cancel()
	eventually(t, stepTimeout, "the lost gateway is no longer named", func() bool { return gatewayCount() == 1 })
	for _, h := range hosts {
		h.stop()
	}
	eventually(t, stepTimeout, "no control host is connected", func() bool { return g.follower.ConnectedCount() == 0 })
	must.Eq(t, 1, gatewayCount(), must.Sprint("without control hosts, the last roster is kept"))
}
