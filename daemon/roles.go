// This file starts the two roles of a member: control host and gateway.

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
	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wire"
)

// startControlHost opens the ledger's replica and the listeners, and starts the control
// host's background tasks in group. They run until ctx ends and the controller has stopped.
func (m *member) startControlHost(ctx, background context.Context, group *pool.ContextPool, stopBackground func()) error {
	folder, err := disk.OpenDir(m.settings.DataDir)
	if err != nil {
		return errors.Trace(err)
	}
	id, err := m.resolveIdentity(folder)
	if err != nil {
		return errors.Trace(err)
	}
	sender := wire.NewSender[raft.Envelope](m.counted(trafficLog, m.peerDialer(true)), follow.Service+".Deliver")
	c, err := controller.New(controller.Deps{
		Self: m.rosterEntry(), Replica: id, Folder: folder, Voters: m.settings.VoterCount(), Regions: m.settings.Regions,
		Heartbeat: m.settings.Heartbeat, GatherTime: controller.DefaultGatherTime, DrainTimeout: controller.DefaultDrainTimeout, Seeds: m.seedPeers, SyncCalls: m.calls, Commands: m.commands,
		Send: func(e raft.Envelope) { sender.Enqueue(controller.PeerAddress(e.To), e) },
		Log:  m.log, Clock: steady.Time, SteadyClock: steady.Now, ConfirmState: m.settings.KeysRevokedWithin > 0, Seed: rand.Uint64(),
		RolloutPolicy: rollout.Policy(m.settings.Rollouts), Random: rand.Float64,
	})
	if err != nil {
		return errors.Trace(err)
	}
	m.follower.Store(c.Follower())
	server := wire.NewServer()
	if err := server.Register(follow.Service, controller.NewService(background, c)); err != nil {
		return errors.Trace(err)
	}
	listener, err := m.listenPeers(m.settings.PeerAddress())
	if err != nil {
		return errors.Trace(err)
	}
	group.Go(func(ctx context.Context) error { return server.Serve(ctx, listener) })
	group.Go(sender.Run)
	group.Go(c.Run)
	m.serve(group, m.settings.Listen.Operators, platform.NewControlHandler(c, m.log))
	m.serve(group, m.settings.Listen.Directory, platform.NewDirectoryHandler(c))
	group.Go(func(context.Context) error {
		defer stopBackground()
		<-ctx.Done()
		m.log.Info("stopping")
		c.Stop()
		time.Sleep(controlStopDelay)
		return nil
	})
	return nil
}

// resolveIdentity returns the identity of the folder's replica. An empty folder gets a
// new identity that is in no membership yet. The exception is the first start of the
// whole system, when the seeds form the ledger's log under their initial identities.
func (m *member) resolveIdentity(folder disk.Folder) (raft.ID, error) {
	id, err := readIdentity(folder)
	if err != nil {
		return raft.None, errors.Trace(err)
	}
	peer := m.settings.PeerAddress()
	if id == raft.None {
		id = newIdentity(peer)
		if m.settings.FirstStart && slices.Contains(m.seedPeers(), peer) {
			id = raft.ID(peer + initialIdentitySuffix)
		}
		if err := writeIdentity(folder, id); err != nil {
			return raft.None, errors.Annotate(err, "identity")
		}
		m.log.Info("created replica identity", zap.String("identity", string(id)))
	}
	return id, writeInitialMembership(folder, id, m.seedPeers())
}

// startGateway opens the gateway's listeners and starts its background tasks in group.
// The server stops when ctx ends; stopBackground then ends the other tasks.
func (m *member) startGateway(ctx context.Context, group *pool.ContextPool, stopBackground func()) error {
	callers, err := m.listen(m.settings.Listen.Callers)
	if err != nil {
		return errors.Trace(err)
	}
	handover, err := m.listenPeers(m.settings.HandoverAddress())
	if err != nil {
		return errors.Trace(err)
	}
	datagrams, err := wire.ListenDatagrams[Datagram](m.settings.BindAddress(m.settings.PeerAddress()), m.deployment())
	if err != nil {
		return errors.Trace(err)
	}
	engines := registry.New(m.incarnation, m.settings.Heartbeat, steady.Time)
	self := m.rosterEntry()
	self.Handover = m.settings.HandoverAddress()
	load := &ownLoad{log: m.log, metrics: m.metrics, clock: steady.Time, started: steady.Time()}
	var server *ingress.Server
	var dispatcher *dispatch.Dispatcher
	follower := follow.New(follow.Deps{
		Self: func() roster.Host {
			entry := self
			entry.Stopping = server.Stopping()
			entry.Load = load.level(entryweight.Measurement{Delay: m.suspensions.Delay(), Buffers: server.BufferShare(), Ready: server.Ready() || server.Stopping()})
			return entry
		},
		Seeds: m.seedPeers, Client: m.calls, Engines: engines,
		OnState: func(s ledger.State) { server.ApplyState(s) }, Log: m.log, Clock: steady.Time, Steady: steady.Now,
		Rollouts: func() []rollout.Report { return dispatcher.RolloutReports() },
	})
	m.follower.Store(follower)
	regions := m.allRegions()
	meter := allowance.New(allowance.Deps{Region: self.Region, Regions: regions, Policy: allowance.Policy(m.settings.Allowances), Random: rand.Uint64})
	dispatcher = dispatch.New(dispatch.Deps{
		Name: self.Name, Region: self.Region, DataCentre: self.DataCentre, RegionOf: m.settings.Regions, Engines: engines, Peers: follower.Gateways, RoundTripTo: m.roundTrips.RoundTrip,
		RetryBudget: retry.Policy(m.settings.Retries), Allowances: meter, Log: m.log, Metrics: m.metrics, Clock: steady.Time, SuspendedSince: m.suspensions.SuspendedSince,
		Rollouts: rollout.Policy(m.settings.Rollouts), ConnectedControlHosts: follower.ConnectedCount, ViewIsSteady: follower.IsSteady, EngineVersions: follower.EngineVersions,
	})
	directory := m.newStreamDirectory(self, follower.Gateways, datagrams)
	dialer := m.engineDialer()
	client := relay.New(dialer, relay.Options{IdleTimeout: engineIdleTimeout})
	server = ingress.New(ingress.Deps{
		Self: self, Dialect: platform.Dialect{}, Dispatcher: dispatcher, Gateways: follower.Gateways,
		Engines: client, Dialer: dialer, Peers: relay.New(m.counted(trafficHandover, m.peerDialer(false)), relay.Options{IdleTimeout: peerIdleTimeout}), Log: m.log, Metrics: m.metrics,
		Random: rand.Uint64, Clock: steady.Time, StopTimeout: m.settings.StopTime - stopMargin,
		KeyLease:   ingress.KeyLease{RevokedWithin: m.settings.KeysRevokedWithin, FreshAsOf: follower.FreshAsOf, Steady: steady.Now},
		Allowances: meter, Regions: regions, BufferBytes: ingress.BufferBytesFor(int64(m.settings.MemoryMiB) << 20), Streams: directory,
	})
	group.Go(follower.Run)
	group.Go(func(ctx context.Context) error { return runDispatcher(ctx, dispatcher, engines) })
	group.Go(server.ProbeSuspects)
	loads := make(map[string]*telemetry.Traffic)
	for _, distance := range []string{trafficRegion, trafficRemote, trafficUnknown} {
		loads[distance] = m.metrics.Traffic(trafficLoads, distance)
	}
	datagrams.OnSend = func(address string, size int) { loads[m.distanceOf(address)].Add(size) }
	group.Go(func(ctx context.Context) error { return receiveDatagrams(ctx, datagrams, dispatcher, directory) })
	group.Go(func(ctx context.Context) error { return m.sendLoadReports(ctx, dispatcher, datagrams) })
	group.Go(func(ctx context.Context) error { return expireStreams(ctx, directory) })
	m.serve(group, m.settings.Listen.Ready, platform.NewReadinessHandler(server.Ready))
	m.serve(group, m.settings.Listen.Metrics, withStatusPages(m.metrics.Handler(), meter, dispatcher))
	group.Go(func(context.Context) error {
		defer stopBackground()
		return server.Run(ctx, callers, handover)
	})
	return nil
}

// allRegions returns the regions of the settings, sorted and without duplicates.
func (m *member) allRegions() []string {
	return slices.Compact(slices.Sorted(maps.Values(m.settings.Regions)))
}
