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
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/wire"
)

type gatewayHost struct {
	follower *follow.Follower
	engines  *registry.Table

	cancel context.CancelFunc

	mu     sync.Mutex
	states []ledger.State
	stop   bool
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
			return roster.Host{Name: ip, Role: roster.RoleGateway, Region: regions[centre], DataCentre: centre, Life: ip, Peer: peer(ip), Callers: ip + ":80", Stopping: g.stop}
		},
		Seeds: func() []string { return seeds }, Calls: wire.NewClient(dialer{n, ip}), Engines: g.engines,
		Took: func(s ledger.State) {
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

func beat(id, centre string, sequence int64) registry.Engine {
	return registry.Engine{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: centre, Slots: 4, Sequence: sequence}
}

func TestGatewaysLearnWhatIsInForceAndWhichEnginesThereAre(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	one := strings.TrimSuffix(hosts[0].ip, "1")
	g := newGateway(t, n, one+"100", "a", hosts[0].seeds[:1])
	far := newGateway(t, n, one+"101", "c", hosts[0].seeds)
	put(t, hosts[1], 1)
	within(t, patience, "the catalog arrives", func() bool { return g.version() == 1 && far.version() == 1 })
	hosts[2].c.Beat(context.Background(), beat("i-1", "a", 1))
	within(t, patience, "the engine is known in its region", func() bool { _, ok := g.engines.Get("i-1"); return ok })
	_, known := far.engines.Get("i-1")
	must.False(t, known, must.Sprint("another region's engine"))

	// An engine that drains is acknowledged only once its gateways know.
	draining := beat("i-1", "a", 2)
	draining.Phase = registry.Draining
	within(t, patience, "the gateway is in touch with all", func() bool { return g.follower.InTouch() == 3 })
	hosts[1].c.Beat(context.Background(), draining)
	e, _ := g.engines.Get("i-1")
	must.Eq(t, registry.Draining, e.Phase)

	// The directory names gateways of the caller's region first.
	within(t, patience, "both gateways are named", func() bool { return len(hosts[0].c.Entries("h", "lagos", "a")) == 1 })
	must.Eq(t, []string{one + "100:80"}, hosts[0].c.Entries("h", "lagos", "a"))
	must.Eq(t, []string{one + "101:80"}, hosts[0].c.Entries("h", "kano", "c"))
	within(t, patience, "far gateways are named once the control host has settled", func() bool { return len(hosts[0].c.Entries("h", "abuja", "b")) == 2 })
	g.mu.Lock()
	g.stop = true
	g.mu.Unlock()
	within(t, patience, "a stopping gateway is not named", func() bool {
		return slices.Equal(hosts[0].c.Entries("h", "lagos", "a"), []string{one + "101:80"})
	})
}

// TestADrainIsAcknowledgedInTimeWithoutAGateway cuts a gateway off that was in touch a
// moment ago: the engine isn't kept waiting for it, and the log says so.
func TestADrainIsAcknowledgedInTimeWithoutAGateway(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	one := strings.TrimSuffix(hosts[0].ip, "1")
	g := newGateway(t, n, one+"100", "a", hosts[0].seeds)
	put(t, hosts[1], 1)
	within(t, patience, "the gateway is in touch with all", func() bool { return g.follower.InTouch() == 3 && g.version() == 1 })
	core, logs := observer.New(zap.WarnLevel)
	hosts[1].losePower()
	hosts[1].told, hosts[1].log = 50*time.Millisecond, zap.New(core)
	hosts[1].start()
	within(t, patience, "the gateway follows the new life", func() bool {
		hosts[1].c.Beat(context.Background(), beat("i-1", "a", time.Now().UnixNano()))
		_, known := g.engines.Get("i-1")
		return known && slices.Equal(hosts[1].c.Entries("h", "lagos", "a"), []string{one + "100:80"})
	})
	n.isolate(one+"100", true)
	draining := beat("i-1", "a", time.Now().UnixNano())
	draining.Phase = registry.Draining
	hosts[1].c.Beat(context.Background(), draining)
	must.Positive(t, logs.FilterMessage("acknowledged before all gateways knew").Len())
}

// TestEnginesAreKnownAfterAllLostPower starts all control hosts again: a new gateway
// knows the engines before any of them has sent a heartbeat.
func TestEnginesAreKnownAfterAllLostPower(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	put(t, hosts[0], 1)
	hosts[0].c.Beat(context.Background(), beat("i-1", "a", 7))
	time.Sleep(800 * time.Millisecond) // engines are noted a moment after they change
	for _, h := range hosts {
		h.losePower()
	}
	for _, h := range hosts {
		h.start()
	}
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	within(t, patience, "the engine is known", func() bool { _, ok := g.engines.Get("i-1"); return ok })
	hosts[1].c.Beat(context.Background(), beat("i-1", "a", 6)) // sent before the last one
	e, _ := g.engines.Get("i-1")
	must.Eq(t, int64(7), e.Sequence)
	within(t, patience, "it falls silent unless it sends", func() bool {
		e, _ := g.engines.Get("i-1")
		return e.Phase == registry.Silent
	})
}

// TestWhatAGatewayKnowsNeverGoesBack cuts hosts off and kills them while
// catalogs change: the versions that a gateway takes only rise.
func TestWhatAGatewayKnowsNeverGoesBack(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	g := newGateway(t, n, strings.TrimSuffix(hosts[0].ip, "1")+"100", "a", hosts[0].seeds)
	for v := int64(1); v <= 6; v++ {
		put(t, hosts[v%3], v)
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
	within(t, patience, "the newest arrives", func() bool { return g.version() == 6 })
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := 1; i < len(g.states); i++ {
		must.Greater(t, g.states[i-1].Index, g.states[i].Index)
		must.GreaterEq(t, g.states[i-1].Catalog.Version, g.states[i].Catalog.Version)
	}
}

func TestAGatewayGoesOnWithWhatItKnows(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	ip := strings.TrimSuffix(hosts[0].ip, "1") + "100"
	g := newGateway(t, n, ip, "a", hosts[0].seeds)
	put(t, hosts[0], 1)
	hosts[0].c.Beat(context.Background(), beat("i-1", "a", 1))
	within(t, patience, "it knows", func() bool { _, ok := g.engines.Get("i-1"); return ok && g.version() == 1 })
	n.isolate(ip, true)
	within(t, patience, "it notices", func() bool { return g.follower.InTouch() == 0 })
	must.Eq(t, 1, g.version())
	e, ok := g.engines.Get("i-1")
	must.True(t, ok)
	must.Eq(t, registry.Ready, e.Phase)
	n.isolate(ip, false)
	put(t, hosts[1], 2)
	within(t, patience, "it learns again", func() bool { return g.version() == 2 })
}

// TestChangesAreGatheredBeforeTheyAreTold asks a control host what is new while
// many hosts start: the answer must hold all that came within the gathering time,
// so that the cost of a start of everybody doesn't grow with its square.
func TestChangesAreGatheredBeforeTheyAreTold(t *testing.T) {
	t.Parallel()
	_, hosts := newHosts(t)
	hosts[0].stop()
	hosts[0].gather = time.Second // far more than the joining takes
	hosts[0].start()
	service := controller.NewService(context.Background(), hosts[0].c)
	asker := roster.Host{Name: "asker", Role: roster.RoleGateway, Region: "lagos", DataCentre: "a", Life: "1"}
	var known follow.SyncReply
	must.NoError(t, service.Sync(follow.SyncArgs{Self: asker}, &known))
	within(t, patience, "the other control hosts are known", func() bool {
		must.NoError(t, service.Sync(follow.SyncArgs{Self: asker, Life: known.Life}, &known))
		return len(known.Hosts) == 4
	})
	group := pool.New()
	defer group.Wait()
	answers, joined := 0, make(chan struct{})
	group.Go(func() {
		<-joined
		for i := range 30 {
			one := roster.Host{Name: fmt.Sprintf("gateway-%d", i), Role: roster.RoleGateway, Region: "kano", DataCentre: "c", Life: "1"}
			var reply follow.SyncReply
			must.NoError(t, service.Sync(follow.SyncArgs{Self: one}, &reply))
		}
	})
	close(joined)
	seen := make(map[string]bool)
	for len(seen) < 30 {
		args := follow.SyncArgs{Self: asker, Life: known.Life, Engines: known.Number, Index: known.Index, Roster: known.Roster, Wait: follow.SyncWait, Sure: known.Sure.Known}
		must.NoError(t, service.Sync(args, &known))
		for _, h := range known.Hosts {
			if strings.HasPrefix(h.Name, "gateway-") {
				seen[h.Name] = true
			}
		}
		if len(known.Hosts) > 0 {
			answers++
		}
	}
	must.LessEq(t, 3, answers, must.Sprint("30 hosts that came at once"))
}

// TestAControlHostOutOfTouchNamesNoGateways loses a control host, and then a
// gateway that it had named: what it said last must not be believed for ever.
func TestAControlHostOutOfTouchNamesNoGateways(t *testing.T) {
	t.Parallel()
	n, hosts := newHosts(t)
	one := strings.TrimSuffix(hosts[0].ip, "1")
	g := newGateway(t, n, one+"100", "a", hosts[0].seeds)
	other := newGateway(t, n, one+"101", "c", hosts[0].seeds)
	named := func() int { return len(g.follower.Gateways()) }
	within(t, patience, "both are named", func() bool { return named() == 2 && g.follower.InTouch() == 3 })
	hosts[0].stop()
	other.cancel()
	within(t, patience, "the lost gateway is no longer named", func() bool { return named() == 1 })
	for _, h := range hosts {
		h.stop()
	}
	within(t, patience, "nobody is in touch", func() bool { return g.follower.InTouch() == 0 })
	must.Eq(t, 1, named(), must.Sprint("what was known last holds where nobody tells"))
}
