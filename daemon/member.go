// This file defines the process of a host that finds the others by seeds: a
// gateway or a control host.

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
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/registry"
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

// deployment is what this host belongs to.
func (m *member) deployment() wire.Deployment { return wire.Deployment(m.settings.Deployment) }

// peerDialer is dialer for connections that other hosts of the deployment take.
func (m *member) peerDialer(patient bool) wire.Dialer {
	return m.deployment().Dialer(m.dialer(patient))
}

// listenPeers opens an address for other hosts of the deployment.
func (m *member) listenPeers(address string) (net.Listener, error) {
	listener, err := m.listen(address)
	if err != nil {
		return nil, err
	}
	return m.deployment().Listener(listener, m.log), nil
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

// lifeDigits is how much of a random identity tells lives of hosts apart: 2^48 of them. It
// is told with every question.
const lifeDigits = 13

func newLife() string { return uuid.NewString()[:lifeDigits] }

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
		path: path, settings: s, life: newLife(), metrics: metrics, trips: trip.New(),
		log: log.With(zap.String("host", s.Name)),
	}
	m.calls, m.commands = wire.NewClient(m.peerDialer(true)), wire.NewClient(m.peerDialer(true))
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
	duty.Every(ctx, rollup.ReportInterval, func() {
		for _, out := range d.Outgoing() {
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
