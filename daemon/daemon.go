// Package daemon joins the parts of one linenscaled process and runs them
// until its context ends. Each duty runs in a goroutine of one group; if one
// fails, all end.
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

// fleetInterval is how often the fleet looks at its queues and its health.
const fleetInterval = 200 * time.Millisecond

// controlGroup names the control log.
const controlGroup = "control"

// process is one running linenscaled.
type process struct {
	settings settings.Settings
	host     settings.Host
	log      *zap.Logger
	metrics  *telemetry.Metrics
	seed     uint64

	dialer    *net.Dialer
	near      *wire.Client
	long      *wire.Client
	formation *Formation
	fleet     *fleet.Fleet
	leader    *leader.Leader
	replicaID raft.ID
	agent     *agent.Agent
	keys      *keyService
	gateway   *gateway.Server
	client    *relay.Client // to engines
	away      *relay.Client // to other hosts

	controlSender *wire.Sender[raft.Envelope]
	keySender     *wire.Sender[raft.Envelope]
}

// listeners are the four open ports of a process.
type listeners struct{ callers, handover, control, operators net.Listener }

// Run runs the process of one host until ctx ends. Then requests in flight are
// finished, within the settings' bound, before the control side ends.
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
		dialer: newDialer(host, dialTime), formation: &Formation{commits: map[string]func() uint64{}},
	}
	// What serves callers ends first; the duties below it go on until then.
	below, stopBelow := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBelow()
	group := pool.New().WithContext(below).WithCancelOnError()
	if err := d.build(ctx, below, group, open.control); err != nil {
		stopBelow()
		return errors.Wrap(err, group.Wait())
	}
	d.startDuties(group, open.operators)
	group.Go(func(below context.Context) error {
		defer stopBelow()
		return d.serve(ctx, below, open)
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

// build makes the parts. The control port answers from the start, because
// other hosts may wait for this one to form a log.
func (d *process) build(ctx, below context.Context, group *pool.ContextPool, control net.Listener) error {
	raft.RegisterMessages()
	var err error
	if d.metrics, err = telemetry.NewMetrics(); err != nil {
		return errors.Trace(err)
	}
	d.near, d.long = wire.NewClient(d.deployment().Dialer(d.dialer)), wire.NewClient(d.deployment().Dialer(d.dialer))
	senders := d.deployment().Dialer(newDialer(d.host, senderDial))
	d.controlSender = wire.NewSender[raft.Envelope](senders, "Host.Deliver")
	d.keySender = wire.NewSender[raft.Envelope](senders, "Keys.Deliver")
	server := wire.NewServer()
	if err := server.Register("Formation", d.formation); err != nil {
		return errors.Trace(err)
	}
	d.keys = &keyService{ctx: below}
	if err := server.Register("Keys", d.keys); err != nil {
		return errors.Trace(err)
	}
	group.Go(d.controlSender.Run)
	group.Go(d.keySender.Run)
	group.Go(func(ctx context.Context) error { return server.Serve(ctx, d.deployment().Listener(control, d.log)) })
	d.fleet = fleet.New(d.host.Name, d.host.Region, time.Now, route.PrefixBounded{}, d.seed)
	if d.host.Disk {
		if err := d.openControl(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	d.buildAgent()
	return errors.Trace(server.Register("Host", agent.NewService(below, d.agent)))
}

// openControl opens this host's replica of the control log.
func (d *process) openControl(ctx context.Context) error {
	folder, err := d.folder(controlGroup)
	if err != nil {
		return errors.Trace(err)
	}
	j := &joiner{group: controlGroup, host: d.host, voters: d.settings.Voters(), folder: folder, calls: d.near, log: d.log}
	if d.replicaID, err = j.identity(ctx); err != nil {
		return errors.Trace(err)
	}
	initial, err := declare.LoadConfig(d.settings.DeclarationsDir(), d.settings.Objects()...)
	if err != nil {
		return errors.Annotate(err, "declarations")
	}
	d.leader, err = leader.New(leader.Options{
		ID: d.replicaID, Timing: d.settings.Control, Folder: folder, Send: d.sendTo(d.controlSender),
		Clock: steady.Time, InitialConfig: initial, WantedVoters: len(d.settings.Voters()), Log: d.log, Metrics: d.metrics, Seed: d.seed,
	})
	if err != nil {
		return errors.Annotate(err, "control log")
	}
	d.formation.opened(controlGroup, func() uint64 { return d.leader.Status().Commit })
	return nil
}

// sendTo gives the way by which a replica's messages leave.
func (d *process) sendTo(sender *wire.Sender[raft.Envelope]) func(raft.Envelope) {
	return func(e raft.Envelope) {
		if host, err := d.settings.Host(voters.HostOf(e.To)); err == nil {
			address, _, _ := agent.ControlAddress(d.host, host)
			sender.Enqueue(address, e)
		}
	}
}

// deployment is what the hosts of these settings belong to.
func (d *process) deployment() wire.Deployment { return wire.Deployment(d.settings.Association) }

func (d *process) buildAgent() {
	d.agent = agent.New(agent.Deps{
		Settings: d.settings, Host: d.host, Leader: d.leader, Replica: d.replicaID, KeyReplica: d.keys.replicaID,
		Fleet: d.fleet, ShortCalls: d.near, LongCalls: d.long, Log: d.log, Metrics: d.metrics, Random: rand.Uint64,
		Incarnation: uuid.NewString(),
		InFlight:    func() int64 { return d.gateway.InFlight() },
		Stopping:    func() bool { return d.gateway.Stopping() },
	})
	d.client = relay.New(d.dialer, relay.Options{AnswerTimeout: d.settings.Limits.RequestTime})
	d.away = relay.New(d.deployment().Dialer(d.dialer), relay.Options{AnswerTimeout: d.settings.Limits.RequestTime})
	d.gateway = gateway.New(gateway.Deps{
		Host: d.host, Limits: d.settings.Limits, Authority: d.agent, Peers: d.agent,
		IdempotencyStore: keyhome.NewClient(d.agent, d.near), Fleet: d.fleet, EngineClient: d.client, HandoverClient: d.away,
		Log: d.log, Metrics: d.metrics, Random: rand.Uint64,
	})
}

// startDuties starts everything below the callers' interface.
func (d *process) startDuties(group *pool.ContextPool, operators net.Listener) {
	if d.leader != nil {
		group.Go(d.leader.Run)
	}
	group.Go(d.agent.Run)
	group.Go(d.keysDuty)
	group.Go(func(ctx context.Context) error { return tick(ctx, d.fleet) })
	group.Go(probe.New(d.fleet, probeTransport(d.dialer), d.settings.Platform, d.log).Run)
	group.Go(func(ctx context.Context) error {
		return operator.NewServer(d.agent, d.fleet, d.metrics.Handler(), d.log).Run(ctx, operators)
	})
}

// serve serves callers until ctx ends, or a duty below fails.
func (d *process) serve(ctx, below context.Context, open listeners) error {
	either, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(below, cancel)
	defer stop()
	d.log.Info("started", zap.String("callers", d.host.Callers), zap.String("region", d.host.Region), zap.Bool("disk", d.host.Disk))
	err := d.gateway.Run(either, open.callers, d.deployment().Listener(open.handover, d.log))
	if d.leader != nil && d.leader.Status().Role == raft.Leader {
		d.leader.StepDown()
		time.Sleep(stepDownTime)
	}
	d.client.Close()
	d.away.Close()
	d.log.Info("stopped")
	return err
}

// stepDownTime is how long a stopping leader waits for its message to leave.
const stepDownTime = 100 * time.Millisecond

func tick(ctx context.Context, f *fleet.Fleet) error {
	duty.Every(ctx, fleetInterval, f.Tick)
	return nil
}
