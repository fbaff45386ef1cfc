// This file defines the process of a host that finds the others by seeds: a
// gateway or a control host.

package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/trip"
	"github.com/linenscale/linenscale/wire"
)

// Bounds of a member's process.
const (
	// stopMargin is how much earlier than the settings' stop time a process
	// ends by itself.
	stopMargin = 700 * time.Millisecond
	// controlStop is how long a stopping control host answers what it has.
	controlStop = 400 * time.Millisecond
	// reloadEvery is how often the settings file is looked at.
	reloadEvery = 2 * time.Second
	// dispatchEvery is how often the dispatcher looks at the engines even if
	// none has changed.
	dispatchEvery = 200 * time.Millisecond
	// engineSlack and peerSlack are how much longer than a round trip the opening
	// of a connection may take. A lost opening packet is sent again only after a
	// second, so that waiting longer than for an ordinary answer gains nothing.
	// Hosts that are given a part of a core answer when it is their turn, which
	// comes ten times a second; engines may be busy as well.
	engineSlack = 200 * time.Millisecond
	peerSlack   = 100 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before a
	// connection counts as broken.
	unacknowledged = 1200 * time.Millisecond
	// engineIdle is how long an idle connection to an engine is kept.
	engineIdle = 2 * time.Second
	// peerIdle is the same for a connection to a gateway of another region: half
	// as long as that one keeps it.
	peerIdle = 30 * time.Second
)

// member is one running process.
type member struct {
	path     string
	settings settings.Member
	seeds    atomic.Pointer[[]string]
	life     string
	log      *zap.Logger
	metrics  *telemetry.Metrics
	trips    *trip.Table
	regions  atomic.Pointer[follow.Follower] // tells which region a host stands in
	calls    *wire.Client
	commands *wire.Client
}

// dialer opens connections to hosts of any region. A patient one is for those who
// try again and again.
func (m *member) dialer(patient bool) *tripDialer {
	return &tripDialer{Dialer: newMemberDialer(m.settings), trips: m.trips, place: m.placeOf, slack: peerSlack, patient: patient}
}

// engineDialer opens connections to engines, which all stand in this region.
func (m *member) engineDialer() *tripDialer {
	here := func(string) string { return m.settings.Region }
	return &tripDialer{Dialer: newMemberDialer(m.settings), trips: m.trips, place: here, slack: engineSlack}
}

// placeOf gives the region of a host's address where it is known, else the address.
func (m *member) placeOf(address string) string {
	if f := m.regions.Load(); f != nil {
		if region, ok := f.RegionOf(address); ok {
			return region
		}
	}
	return address
}

// RunMember runs the process whose settings file is at path until ctx ends.
// reload is sent to when the file may have changed.
func RunMember(ctx context.Context, path string, reload <-chan struct{}, log *zap.Logger) error {
	s, err := settings.ReadMember(path)
	if err != nil {
		return errors.Trace(err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return errors.Trace(err)
	}
	m := &member{
		path: path, settings: s, life: uuid.NewString(), metrics: metrics, trips: trip.New(),
		log: log.With(zap.String("host", s.Name)),
	}
	m.calls, m.commands = wire.NewClient(m.dialer(true)), wire.NewClient(m.dialer(true))
	seeds := s.SeedPeers()
	m.seeds.Store(&seeds)
	m.log.Info("started", zap.String("role", string(s.Role)), zap.String("life", m.life), zap.String("region", s.Region),
		zap.String("data_centre", s.DataCentre), zap.Strings("seeds", seeds), zap.Bool("first_start", s.FirstStart))
	defer m.log.Info("stopped")
	// What serves callers ends first; the duties below it go on until then.
	below, stopBelow := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBelow()
	group := pool.New().WithContext(below).WithCancelOnError()
	group.Go(func(ctx context.Context) error { return m.reloads(ctx, reload) })
	if s.Role == roster.RoleControl {
		m.serve(group, s.Listen.Metrics, metrics.Handler())
	}
	if s.Role == roster.RoleControl {
		err = m.control(ctx, below, group, stopBelow)
	} else {
		err = m.gateway(ctx, group, stopBelow)
	}
	if err != nil {
		stopBelow()
		_ = group.Wait() // what stopped the start is the error that counts
		return err
	}
	return group.Wait()
}

// self gives what every host tells of itself.
func (m *member) self() roster.Host {
	return roster.Host{
		Name: m.settings.Name, Role: m.settings.Role, Region: m.settings.Region, DataCentre: m.settings.DataCentre,
		Life: m.life, Peer: m.settings.Peer(), Callers: m.settings.Listen.Callers, Operators: m.settings.Listen.Operators,
	}
}

func (m *member) seedPeers() []string { return *m.seeds.Load() }

// reloads is the duty that takes over new seeds.
func (m *member) reloads(ctx context.Context, reload <-chan struct{}) error {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			asked = true
		case <-ticker.C:
		}
		s, err := settings.ReadMember(m.path)
		if err != nil {
			m.log.Error("settings not reloaded", telemetry.Cause(err))
			continue
		}
		seeds := s.SeedPeers()
		if asked || !slices.Equal(seeds, m.seedPeers()) {
			m.log.Info("settings reloaded", zap.Strings("seeds", seeds), zap.Bool("asked", asked))
		}
		m.seeds.Store(&seeds)
	}
}

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
	sender := wire.NewSender[raft.Envelope](m.dialer(true), follow.Service+".Deliver")
	c, err := controller.New(controller.Deps{
		Self: m.self(), Replica: id, Folder: folder, Voters: m.settings.Voters(), Regions: m.settings.Regions,
		Heartbeat: m.settings.Heartbeat, Gather: controller.GatherTime, Told: controller.DrainTold, Seeds: m.seedPeers, Calls: m.calls, Commands: m.commands,
		Send: func(e raft.Envelope) { sender.Post(controller.PeerOf(e.To), e) },
		Log:  m.log, Clock: time.Now, Steady: steady.Now, Strict: m.settings.KeysRevokedWithin > 0, Seed: rand.Uint64(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	m.regions.Store(c.Follower())
	server := wire.NewServer()
	if err := server.Register(follow.Service, controller.NewService(below, c)); err != nil {
		return errors.Trace(err)
	}
	listener, err := m.listen(m.settings.Peer())
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
	handover, err := m.listen(m.settings.Handover())
	if err != nil {
		return errors.Trace(err)
	}
	engines := registry.New(m.life, m.settings.Heartbeat, time.Now)
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
		Seeds: m.seedPeers, Calls: m.calls, Engines: engines,
		Took: func(s ledger.State) { server.Take(s) }, Log: m.log, Clock: time.Now, Steady: steady.Now,
	})
	m.regions.Store(follower)
	regions := m.allRegions()
	meter := allowance.New(allowance.Deps{Region: self.Region, Regions: regions, Policy: allowance.Policy(m.settings.Allowances), Random: rand.Uint64})
	dispatcher = dispatch.New(dispatch.Deps{
		Name: self.Name, Region: self.Region, DataCentre: self.DataCentre, Regions: m.settings.Regions, Engines: engines, Peers: follower.Gateways, Trip: m.trips.RoundTrip,
		Budget: retry.Policy(m.settings.Retries), Allowances: meter, Log: m.log, Clock: time.Now,
	})
	client := relay.New(m.engineDialer(), relay.Options{IdleTime: engineIdle})
	server = ingress.New(ingress.Deps{
		Self: self, Dialect: platform.Dialect{}, Dispatcher: dispatcher, Gateways: follower.Gateways,
		Engines: client, Peers: relay.New(m.dialer(false), relay.Options{IdleTime: peerIdle}), Log: m.log, Metrics: m.metrics,
		Random: rand.Uint64, StopTime: m.settings.StopTime - stopMargin,
		Keys:       ingress.Keys{RevokedWithin: m.settings.KeysRevokedWithin, SureUntil: follower.SureUntil, Steady: steady.Now},
		Allowances: meter, Regions: regions,
	})
	group.Go(follower.Run)
	group.Go(func(ctx context.Context) error { return dispatchDuty(ctx, dispatcher, engines) })
	words, err := wire.ListenDatagrams[rollup.Message](m.settings.Bound(m.settings.Peer()))
	if err != nil {
		return errors.Trace(err)
	}
	group.Go(func(ctx context.Context) error { return words.Run(ctx, dispatcher.Hear) })
	group.Go(func(ctx context.Context) error { return m.tellLoad(ctx, dispatcher, words) })
	m.serve(group, m.settings.Listen.Ready, platform.NewReady(server.Ready))
	m.serve(group, m.settings.Listen.Metrics, withAccounts(m.metrics.Handler(), meter))
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

// dispatchDuty keeps the dispatcher up to date with the engines.
func dispatchDuty(ctx context.Context, d *dispatch.Dispatcher, engines *registry.Table) error {
	ticker := time.NewTicker(dispatchEvery)
	defer ticker.Stop()
	for {
		changed := engines.Changed()
		d.Tick()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			engines.Expire()
		}
	}
}

// tellLoad is the duty that tells other gateways of this one's requests.
func (m *member) tellLoad(ctx context.Context, d *dispatch.Dispatcher, words *wire.Datagrams[rollup.Message]) error {
	duty.Every(ctx, rollup.Every, func() {
		for _, out := range d.Tell() {
			if err := words.Send(out.Message, out.To); err != nil {
				m.log.Debug("load not told", telemetry.Cause(err))
			}
		}
	})
	return nil
}

// listen opens an address that others know.
func (m *member) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", m.settings.Bound(address))
	return listener, errors.Trace(err)
}

// serve starts the duty that serves an address, if there is one.
func (m *member) serve(group *pool.ContextPool, address string, handler http.Handler) {
	if address == "" {
		return
	}
	group.Go(func(ctx context.Context) error {
		listener, err := m.listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTime}
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Annotatef(err, "serve %s", address)
		}
		return nil
	})
}

// readHeaderTime bounds the reading of the head of an operator's, an engine's
// or the platform's call.
const readHeaderTime = 5 * time.Second
