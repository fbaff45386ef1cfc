// This file defines the two roles of a host that finds the others by seeds.

package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/wire"
)

// control runs a control host.
func (m *member) control(ctx, below context.Context, group *pool.ContextPool, stopBelow func()) error {
	folder, err := disk.OpenDir(m.settings.DataDir)
	if err != nil {
		return errors.Trace(err)
	}
	id, err := m.identity(folder)
	if err != nil {
		return errors.Trace(err)
	}
	sender := wire.NewSender[raft.Envelope](m.peerDialer(true), follow.Service+".Deliver")
	c, err := controller.New(controller.Deps{
		Self: m.self(), Replica: id, Folder: folder, Voters: m.settings.Voters(), Regions: m.settings.Regions,
		Heartbeat: m.settings.Heartbeat, GatherTime: controller.DefaultGatherTime, DrainTimeout: controller.DefaultDrainTimeout, Seeds: m.seedPeers, SyncCalls: m.calls, Commands: m.commands,
		Send: func(e raft.Envelope) { sender.Enqueue(controller.PeerAddress(e.To), e) },
		Log:  m.log, Clock: steady.Time, SteadyClock: steady.Now, ConfirmState: m.settings.KeysRevokedWithin > 0, Seed: rand.Uint64(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	m.regions.Store(c.Follower())
	server := wire.NewServer()
	if err := server.Register(follow.Service, controller.NewService(below, c)); err != nil {
		return errors.Trace(err)
	}
	listener, err := m.listenPeers(m.settings.Peer())
	if err != nil {
		return errors.Trace(err)
	}
	group.Go(func(ctx context.Context) error { return server.Serve(ctx, listener) })
	group.Go(sender.Run)
	group.Go(c.Run)
	m.serve(group, m.settings.Listen.Operators, platform.NewOperators(c, m.log))
	m.serve(group, m.settings.Listen.Directory, platform.NewDirectory(c))
	group.Go(func(context.Context) error {
		defer stopBelow()
		<-ctx.Done()
		m.log.Info("stopping")
		c.Stop()
		time.Sleep(controlStop)
		return nil
	})
	return nil
}

// identity gives the identity of the folder's replica. An empty folder gets a
// new one, which no membership holds, except at the first start of the whole
// system, when the seeds form the ledger's log.
func (m *member) identity(folder disk.Folder) (raft.ID, error) {
	id, err := readIdentity(folder)
	if err != nil {
		return raft.None, errors.Trace(err)
	}
	peer := m.settings.Peer()
	if id == raft.None {
		id = newIdentity(peer)
		if m.settings.FirstStart && slices.Contains(m.seedPeers(), peer) {
			id = raft.ID(peer + firstIdentity)
		}
		if err := writeIdentity(folder, id); err != nil {
			return raft.None, errors.Annotate(err, "identity")
		}
		m.log.Info("new identity", zap.String("identity", string(id)))
	}
	return id, formFirst(folder, id, m.seedPeers())
}

// gateway runs a gateway.
func (m *member) gateway(ctx context.Context, group *pool.ContextPool, stopBelow func()) error {
	callers, err := m.listen(m.settings.Listen.Callers)
	if err != nil {
		return errors.Trace(err)
	}
	handover, err := m.listenPeers(m.settings.Handover())
	if err != nil {
		return errors.Trace(err)
	}
	engines := registry.New(m.life, m.settings.Heartbeat, steady.Time)
	self := m.self()
	self.Handover = m.settings.Handover()
	var server *ingress.Server
	var dispatcher *dispatch.Dispatcher
	follower := follow.New(follow.Deps{
		Self: func() roster.Host {
			now := self
			now.Stopping = server.Stopping()
			return now
		},
		Seeds: m.seedPeers, Client: m.calls, Engines: engines,
		OnState: func(s ledger.State) { server.ApplyState(s) }, Log: m.log, Clock: steady.Time, Steady: steady.Now,
	})
	m.regions.Store(follower)
	regions := m.allRegions()
	meter := allowance.New(allowance.Deps{Region: self.Region, Regions: regions, Policy: allowance.Policy(m.settings.Allowances), Random: rand.Uint64})
	dispatcher = dispatch.New(dispatch.Deps{
		Name: self.Name, Region: self.Region, DataCentre: self.DataCentre, RegionOf: m.settings.Regions, Engines: engines, Peers: follower.Gateways, RoundTripTo: m.trips.RoundTrip,
		RetryBudget: retry.Policy(m.settings.Retries), Allowances: meter, Log: m.log, Metrics: m.metrics, Clock: steady.Time,
	})
	dialer := m.engineDialer()
	client := relay.New(dialer, relay.Options{IdleTimeout: engineIdle})
	server = ingress.New(ingress.Deps{
		Self: self, Dialect: platform.Dialect{}, Dispatcher: dispatcher, Gateways: follower.Gateways,
		Engines: client, Dialer: dialer, Peers: relay.New(m.peerDialer(false), relay.Options{IdleTimeout: peerIdle}), Log: m.log, Metrics: m.metrics,
		Random: rand.Uint64, Clock: steady.Time, StopTimeout: m.settings.StopTime - stopMargin,
		KeyLease:   ingress.KeyLease{RevokedWithin: m.settings.KeysRevokedWithin, FreshAsOf: follower.FreshUntil, Steady: steady.Now},
		Allowances: meter, Regions: regions,
	})
	group.Go(follower.Run)
	group.Go(func(ctx context.Context) error { return dispatchDuty(ctx, dispatcher, engines) })
	group.Go(server.ProbeSuspects)
	words, err := wire.ListenDatagrams[rollup.Message](m.settings.Bound(m.settings.Peer()), m.deployment())
	if err != nil {
		return errors.Trace(err)
	}
	group.Go(func(ctx context.Context) error { return words.Run(ctx, dispatcher.Receive) })
	group.Go(func(ctx context.Context) error { return m.tellLoad(ctx, dispatcher, words) })
	m.serve(group, m.settings.Listen.Ready, platform.NewReady(server.Ready))
	m.serve(group, m.settings.Listen.Metrics, withShown(m.metrics.Handler(), meter, dispatcher))
	group.Go(func(context.Context) error {
		defer stopBelow()
		return server.Run(ctx, callers, handover)
	})
	return nil
}

// allRegions lists the regions of the settings, each once, in order.
func (m *member) allRegions() []string {
	return slices.Compact(slices.Sorted(maps.Values(m.settings.Regions)))
}
