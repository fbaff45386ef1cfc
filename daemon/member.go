// This file defines the process of a member: a gateway or control host that finds the
// other hosts by seeds.

package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/sendwindow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/internal/suspension"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/trip"
	"github.com/linenscale/linenscale/wire"
)

// Timing of a member's process.
const (
	// stopMargin is how long before the end of the settings' stop time a gateway stops
	// waiting for requests in flight.
	stopMargin = 700 * time.Millisecond
	// controlStopDelay is how long a stopping control host still answers requests in
	// flight.
	controlStopDelay = 400 * time.Millisecond
	// reloadInterval is how often the settings file is read again.
	reloadInterval = 2 * time.Second
	// dispatchInterval is how often the dispatcher updates its engines even if none
	// has changed.
	dispatchInterval = 200 * time.Millisecond
	// updatePause is, as a multiple of the time that the last whole update took, how long
	// changes wait for the next one.
	updatePause = 200
	// expiryInterval is how often engines that haven't been reported for long are removed.
	expiryInterval = time.Second
	// engineSlack and peerSlack are how much longer than a round trip the opening of a
	// connection may take. TCP sends a lost SYN again only after a second, so a longer
	// timeout than an ordinary answer needs gains nothing. A host that is limited to a
	// share of a core is scheduled ten times a second, so its answer may take 100 ms;
	// an engine may be busy as well.
	engineSlack = 200 * time.Millisecond
	peerSlack   = 100 * time.Millisecond
	// engineIdleTimeout is how long an idle connection to an engine stays open.
	engineIdleTimeout = 2 * time.Second
	// peerIdleTimeout is how long an idle connection to a gateway of another region stays
	// open: half as long as that gateway keeps it open.
	peerIdleTimeout = 30 * time.Second
)

// member is one running gateway or control host.
type member struct {
	path        string
	settings    settings.Member
	seeds       atomic.Pointer[[]string]
	incarnation string
	log         *zap.Logger
	metrics     *telemetry.Metrics
	roundTrips  *trip.Table
	suspensions *suspension.Detector
	sendWindows *sendwindow.Watcher
	follower    atomic.Pointer[follow.Follower] // maps a host's address to its region
	calls       *wire.Client
	commands    *wire.Client
}

// dialer returns a dialer for hosts of any region. patient is true for callers that
// retry indefinitely.
func (m *member) dialer(patient bool) *adaptiveDialer {
	return &adaptiveDialer{Dialer: newMemberDialer(m.settings), roundTrips: m.roundTrips, destinationOf: m.destinationOf, slack: peerSlack, patient: patient, suspendedSince: m.suspensions.SuspendedSince, sendWindows: m.sendWindows}
}

// deployment returns the name of the system that this host belongs to.
func (m *member) deployment() wire.Deployment { return wire.Deployment(m.settings.Deployment) }

// peerDialer returns a dialer for connections that only hosts of this deployment accept.
func (m *member) peerDialer(patient bool) wire.Dialer {
	return m.deployment().Dialer(m.dialer(patient))
}

// listenPeers listens on an address for connections from hosts of this deployment.
func (m *member) listenPeers(address string) (net.Listener, error) {
	listener, err := m.listen(address)
	if err != nil {
		return nil, err
	}
	return m.deployment().Listener(listener, m.log), nil
}

// engineDialer returns a dialer for engines, which are all in this region.
func (m *member) engineDialer() *adaptiveDialer {
	here := func(string) string { return m.settings.Region }
	return &adaptiveDialer{Dialer: newMemberDialer(m.settings), roundTrips: m.roundTrips, destinationOf: here, slack: engineSlack, suspendedSince: m.suspensions.SuspendedSince, sendWindows: m.sendWindows}
}

// destinationOf returns the region of a host's address, or the address while its region
// is unknown. Hosts of one region share a round trip estimate.
func (m *member) destinationOf(address string) string {
	if f := m.follower.Load(); f != nil {
		if region, ok := f.RegionOf(address); ok {
			return region
		}
	}
	return address
}

// incarnationLength is how many characters of a UUID identify an incarnation of a host:
// they have 48 random bits. The identity is short because every call sends it.
const incarnationLength = 13

func newIncarnation() string { return uuid.NewString()[:incarnationLength] }

// RunMember runs the member whose settings file is at path until ctx ends. A value
// received from reload makes it read the file again; only the seeds are applied.
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
		path: path, settings: s, incarnation: newIncarnation(), metrics: metrics, roundTrips: trip.New(),
		log: log.With(zap.String("host", s.Name)),
	}
	m.suspensions = suspension.New(steady.Time, logSuspension(m.log))
	m.sendWindows = sendwindow.New(sendwindow.Deps{Log: m.log, Clock: steady.Time, Delay: m.suspensions.Delay, LimitProbes: sendwindow.LimitProbes})
	m.calls = wire.NewClient(m.counted(trafficPolls, m.peerDialer(true)))
	m.commands = wire.NewClient(m.counted(trafficCommands, m.peerDialer(true)))
	seeds := s.SeedPeerAddresses()
	m.seeds.Store(&seeds)
	m.log.Info("started", zap.String("role", string(s.Role)), zap.String("life", m.incarnation), zap.String("region", s.Region),
		zap.String("data_centre", s.DataCentre), zap.Strings("seeds", seeds), zap.Bool("first_start", s.FirstStart))
	defer m.log.Info("stopped")
	// The servers for callers end first. The background tasks, which they depend on, run
	// until then.
	below, stopBelow := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBelow()
	group := pool.New().WithContext(below).WithCancelOnError()
	group.Go(m.suspensions.Run)
	group.Go(m.sendWindows.Run)
	group.Go(func(ctx context.Context) error { return m.watchSettings(ctx, reload) })
	if s.Role == roster.RoleControl {
		m.serve(group, s.Listen.Metrics, metrics.Handler())
	}
	if s.Role == roster.RoleControl {
		err = m.startControlHost(ctx, below, group, stopBelow)
	} else {
		err = m.startGateway(ctx, group, stopBelow)
	}
	if err != nil {
		stopBelow()
		_ = group.Wait() // the error of the failed start is the one to report
		return err
	}
	return group.Wait()
}

// logSuspension returns a function that logs a suspension of this process. Others then saw
// no heartbeats from it, and what it was waiting for seems late.
func logSuspension(log *zap.Logger) func(length time.Duration) {
	return func(length time.Duration) {
		log.Warn("process did not run", zap.Duration("for", length))
	}
}

// rosterEntry returns this host's own entry in the roster, which it sends to others.
func (m *member) rosterEntry() roster.Host {
	return roster.Host{
		Name: m.settings.Name, Role: m.settings.Role, Region: m.settings.Region, DataCentre: m.settings.DataCentre,
		Life: m.incarnation, Peer: m.settings.PeerAddress(), Callers: m.settings.Listen.Callers, Operators: m.settings.Listen.Operators,
		Size: m.settings.Size(),
	}
}

func (m *member) seedPeers() []string { return *m.seeds.Load() }

// watchSettings reads the settings file again at each interval and on each reload, and
// applies its seeds. If the file can't be read, the old seeds stay.
func (m *member) watchSettings(ctx context.Context, reload <-chan struct{}) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			requested = true
		case <-ticker.C:
		}
		s, err := settings.ReadMember(m.path)
		if err != nil {
			m.log.Error("settings reload failed, keeping previous seeds", telemetry.ErrorField(err))
			continue
		}
		seeds := s.SeedPeerAddresses()
		if requested || !slices.Equal(seeds, m.seedPeers()) {
			m.log.Info("settings reloaded", zap.Strings("seeds", seeds), zap.Bool("asked", requested))
		}
		m.seeds.Store(&seeds)
	}
}

// runDispatcher updates the dispatcher when the engines change and at each interval. A whole
// update grows with the number of engines, and among thousands some change all the time: it
// is done at once only if the last one took a small share of the time since.
func runDispatcher(ctx context.Context, d *dispatch.Dispatcher, engines *registry.Table) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	var updatedAt, expiredAt time.Time
	var took time.Duration
	update := func() {
		started := steady.Time()
		d.Tick()
		updatedAt = steady.Time()
		took = updatedAt.Sub(started)
	}
	update()
	for {
		changed := engines.Changed()
		d.ApplyChanges()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			if steady.Time().Sub(updatedAt) >= updatePause*took {
				update()
			}
		case <-ticker.C:
			if now := steady.Time(); now.Sub(expiredAt) >= expiryInterval {
				expiredAt = now
				engines.Expire()
			}
			update()
		}
	}
}

// listen listens on an address by which others reach this host.
func (m *member) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", m.settings.BindAddress(address))
	return listener, errors.Trace(err)
}

// serve starts an HTTP server on an address in group. An empty address starts none.
func (m *member) serve(group *pool.ContextPool, address string, handler http.Handler) {
	if address == "" {
		return
	}
	group.Go(func(ctx context.Context) error {
		listener, err := m.listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Annotatef(err, "serve %s", address)
		}
		return nil
	})
}

// readHeaderTimeout bounds the time to read the headers of a request from an operator,
// an engine or the platform.
const readHeaderTimeout = 5 * time.Second
