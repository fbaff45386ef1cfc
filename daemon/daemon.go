// Package daemon assembles one linenscaled process and runs it until its context ends.
//
// Run runs a host of an association, whose settings file lists all hosts. RunMember runs
// a member, a gateway or control host that finds the others by seeds. Each background
// task runs in a goroutine of one group; if one fails, all end.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/agent"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/gateway"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/internal/suspension"
	"github.com/linenscale/linenscale/keyhome"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/operator"
	"github.com/linenscale/linenscale/probe"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/voters"
	"github.com/linenscale/linenscale/wire"
)

// fleetInterval is how often the fleet updates its queues and its health estimates.
const fleetInterval = 200 * time.Millisecond

// controlLogName is the control log's name, and its folder below a host's data folder.
const controlLogName = "control"

// process is one running host of an association.
type process struct {
	settings settings.Settings
	host     settings.Host
	log      *zap.Logger
	metrics  *telemetry.Metrics
	seed     uint64

	dialer       *net.Dialer
	shortCalls   *wire.Client
	longPolls    *wire.Client
	formation    *Formation
	fleet        *fleet.Fleet
	leader       *leader.Leader
	replicaID    raft.ID
	agent        *agent.Agent
	keys         *keyService
	gateway      *gateway.Server
	engineClient *relay.Client
	peerClient   *relay.Client

	controlSender *wire.Sender[raft.Envelope]
	keySender     *wire.Sender[raft.Envelope]
}

// listeners holds the four listeners of a process.
type listeners struct{ callers, handover, control, operators net.Listener }

// Run runs the process of the named host until ctx ends. It then waits for requests in
// flight, for at most the settings' stop time, before it ends the background tasks.
func Run(ctx context.Context, s settings.Settings, name string, log *zap.Logger) error {
	host, err := s.Host(name)
	if err != nil {
		return errors.Trace(err)
	}
	open, err := listen(host)
	if err != nil {
		return errors.Trace(err)
	}
	d := &process{
		settings: s, host: host, log: log.With(zap.String("host", host.Name)), seed: rand.Uint64(),
		dialer: newDialer(host, dialTimeout), formation: &Formation{commits: map[string]func() uint64{}},
	}
	// The servers for callers end first. The background tasks, which they depend on, run
	// until then.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group := pool.New().WithContext(background).WithCancelOnError()
	if err := d.build(ctx, background, group, open.control); err != nil {
		stopBackground()
		return errors.Wrap(err, group.Wait())
	}
	d.startBackgroundTasks(group, open.operators)
	group.Go(func(background context.Context) error {
		defer stopBackground()
		return d.serve(ctx, background, open)
	})
	return group.Wait()
}

func listen(host settings.Host) (listeners, error) {
	var open listeners
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{{host.Callers, &open.callers}, {host.Handover, &open.handover}, {host.Control, &open.control}, {host.Operators, &open.operators}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return listeners{}, errors.Trace(err)
		}
		*l.into = listener
	}
	return open, nil
}

// build creates the components and starts the control server. The control port is served
// first, because other hosts may wait for this one to form a log.
func (d *process) build(ctx, background context.Context, group *pool.ContextPool, control net.Listener) error {
	raft.RegisterMessages()
	var err error
	if d.metrics, err = telemetry.NewMetrics(); err != nil {
		return errors.Trace(err)
	}
	d.shortCalls, d.longPolls = wire.NewClient(d.deployment().Dialer(d.dialer)), wire.NewClient(d.deployment().Dialer(d.dialer))
	senders := d.deployment().Dialer(newDialer(d.host, senderDialTimeout))
	d.controlSender = wire.NewSender[raft.Envelope](senders, "Host.Deliver")
	d.keySender = wire.NewSender[raft.Envelope](senders, "Keys.Deliver")
	server := wire.NewServer()
	if err := server.Register("Formation", d.formation); err != nil {
		return errors.Trace(err)
	}
	d.keys = &keyService{ctx: background}
	if err := server.Register("Keys", d.keys); err != nil {
		return errors.Trace(err)
	}
	group.Go(d.controlSender.Run)
	group.Go(d.keySender.Run)
	group.Go(func(ctx context.Context) error { return server.Serve(ctx, d.deployment().Listener(control, d.log)) })
	suspensions := suspension.New(time.Now, logSuspension(d.log))
	group.Go(suspensions.Run)
	d.fleet = fleet.New(d.host.Name, d.host.Region, time.Now, suspensions.SuspendedSince, route.PrefixBounded{}, d.seed)
	if d.host.Disk {
		if err := d.openControl(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	d.buildAgent()
	return errors.Trace(server.Register("Host", agent.NewService(background, d.agent)))
}

// openControl opens this host's replica of the control log.
func (d *process) openControl(ctx context.Context) error {
	folder, err := d.openFolder(controlLogName)
	if err != nil {
		return errors.Trace(err)
	}
	b := &bootstrapper{logName: controlLogName, host: d.host, initialVoters: d.settings.Voters(), folder: folder, calls: d.shortCalls, log: d.log}
	if d.replicaID, err = b.resolveIdentity(ctx); err != nil {
		return errors.Trace(err)
	}
	initial, err := declare.LoadConfig(d.settings.DeclarationsDir(), d.settings.HostDeclarations()...)
	if err != nil {
		return errors.Annotate(err, "declarations")
	}
	d.leader, err = leader.New(leader.Options{
		ID: d.replicaID, Timing: d.settings.Control, Folder: folder, Send: d.sendFunc(d.controlSender),
		Clock: steady.Time, InitialConfig: initial, WantedVoters: len(d.settings.Voters()), Log: d.log, Metrics: d.metrics, Seed: d.seed,
	})
	if err != nil {
		return errors.Annotate(err, "open control log")
	}
	d.formation.register(controlLogName, func() uint64 { return d.leader.Status().Commit })
	return nil
}

// sendFunc returns the function by which a replica sends its messages. It drops messages
// to hosts that the settings don't list.
func (d *process) sendFunc(sender *wire.Sender[raft.Envelope]) func(raft.Envelope) {
	return func(e raft.Envelope) {
		if host, err := d.settings.Host(voters.HostOf(e.To)); err == nil {
			address, _, _ := agent.ControlAddress(d.host, host)
			sender.Enqueue(address, e)
		}
	}
}

// deployment returns the name that the hosts of these settings share; connections from
// other deployments are rejected.
func (d *process) deployment() wire.Deployment { return wire.Deployment(d.settings.Association) }

func (d *process) buildAgent() {
	d.agent = agent.New(agent.Deps{
		Settings: d.settings, Host: d.host, Leader: d.leader, Replica: d.replicaID, KeyReplica: d.keys.replicaStatus,
		Fleet: d.fleet, ShortCalls: d.shortCalls, LongCalls: d.longPolls, Log: d.log, Metrics: d.metrics, Random: rand.Uint64,
		Incarnation: uuid.NewString(),
		InFlight:    func() int64 { return d.gateway.InFlight() },
		Stopping:    func() bool { return d.gateway.Stopping() },
	})
	d.engineClient = relay.New(d.dialer, relay.Options{AnswerTimeout: d.settings.Limits.RequestTime})
	d.peerClient = relay.New(d.deployment().Dialer(d.dialer), relay.Options{AnswerTimeout: d.settings.Limits.RequestTime})
	d.gateway = gateway.New(gateway.Deps{
		Host: d.host, Limits: d.settings.Limits, Authority: d.agent, Peers: d.agent,
		IdempotencyStore: keyhome.NewClient(d.agent, d.shortCalls), Fleet: d.fleet, EngineClient: d.engineClient, HandoverClient: d.peerClient,
		Log: d.log, Metrics: d.metrics, Random: rand.Uint64,
	})
}

// startBackgroundTasks starts everything but the servers for callers and hand-over.
func (d *process) startBackgroundTasks(group *pool.ContextPool, operators net.Listener) {
	if d.leader != nil {
		group.Go(d.leader.Run)
	}
	group.Go(d.agent.Run)
	group.Go(d.runKeyLog)
	group.Go(func(ctx context.Context) error { return tick(ctx, d.fleet) })
	group.Go(probe.New(d.fleet, probeTransport(d.dialer), d.settings.Platform, d.log).Run)
	group.Go(func(ctx context.Context) error {
		return operator.NewServer(d.agent, d.fleet, d.metrics.Handler(), d.log).Run(ctx, operators)
	})
}

// serve serves callers until ctx ends or a background task fails. A leader of the
// control log then steps down, so that the others elect the next one at once.
func (d *process) serve(ctx, background context.Context, open listeners) error {
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(background, cancel)
	defer stop()
	d.log.Info("started", zap.String("callers", d.host.Callers), zap.String("region", d.host.Region), zap.Bool("disk", d.host.Disk))
	err := d.gateway.Run(serveCtx, open.callers, d.deployment().Listener(open.handover, d.log))
	if d.leader != nil && d.leader.Status().Role == raft.Leader {
		d.leader.StepDown()
		time.Sleep(stepDownDelay)
	}
	d.engineClient.Close()
	d.peerClient.Close()
	d.log.Info("stopped")
	return err
}

// stepDownDelay is how long a stopping leader waits for its last message to be sent.
const stepDownDelay = 100 * time.Millisecond

func tick(ctx context.Context, f *fleet.Fleet) error {
	duty.Every(ctx, fleetInterval, f.Tick)
	return nil
}
