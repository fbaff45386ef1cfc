// Package controller implements the control role of a host: it keeps a replica of the
// ledger, receives the engines' heartbeats, and reports changes to all hosts that follow
// it.
//
// Operators and engines may call any control host. A command is forwarded to the ledger's
// leader and answered once a majority of the voters has it on disk. A read is confirmed
// with the leader first, so that no control host returns a catalog older than one that
// has been accepted. Heartbeats need no majority: the control host that receives one
// reports it to its followers. The heartbeat of a draining engine is answered only after
// the gateways of its region have acknowledged that it drains.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/voters"
	"github.com/linenscale/linenscale/wire"
)

// Timeouts and intervals of the control role.
const (
	// Election timeout and heartbeat interval of the ledger's Raft log. A round trip
	// between regions takes 160 ms, and an election timeout spans four heartbeats.
	electionTimeout   = time.Second
	heartbeatInterval = 250 * time.Millisecond
	// snapshotInterval is the number of commands after which the log is compacted. It is
	// small because catalogs are large and disks are small.
	snapshotInterval = 64
	// hostTimeout is how long after its last Sync call a host is removed from the roster.
	// Three calls fit into it.
	hostTimeout = 2 * time.Second
	// hostTimeoutSlack is added to the wait of a host's Sync calls if that gives a timeout
	// longer than hostTimeout.
	hostTimeoutSlack = 1500 * time.Millisecond
	// voterTimeout is how long a voter may be unresponsive before a spare control host
	// replaces it.
	voterTimeout = 2 * time.Second
	// expiryInterval is how often hosts and engines are checked for timeouts.
	expiryInterval = 250 * time.Millisecond
	// requestTimeout bounds a command or a read. Callers try another control host after a
	// second without an answer.
	requestTimeout = 900 * time.Millisecond
	// leaderRetryInterval is the wait between two attempts to reach a leader.
	leaderRetryInterval = 50 * time.Millisecond
	// DefaultGatherTime is the default time during which changes are batched before a waiting
	// host is answered. Without batching, when the whole system starts, each of about a
	// hundred hosts would be sent every other host separately, which keeps a control host
	// with half a CPU core busy for seconds. It is short compared with the 450 ms within
	// which gateways must acknowledge a draining engine.
	DefaultGatherTime = 50 * time.Millisecond
	// DefaultDrainTimeout is the default limit on the wait until the gateways have acknowledged
	// that an engine drains. Engines wait a second for their answer.
	DefaultDrainTimeout = 450 * time.Millisecond
)

// Errors of commands and reads.
var (
	// ErrUnavailable means that no majority of the voters was reached in time. The
	// command may have been accepted nonetheless; it is safe to send it again.
	ErrUnavailable = errors.New("no majority of the control hosts can be asked now")
	// ErrNoCatalog means that no catalog has been declared yet.
	ErrNoCatalog = errors.New("no catalog has been declared yet")
)

// Deps are the dependencies and settings of a Controller.
type Deps struct {
	Self         roster.Host // without Replica and Stopping, which the controller sets
	Replica      raft.ID
	Folder       disk.Folder
	Voters       int                 // number of voters to maintain
	Regions      map[string]string   // by data centre
	Heartbeat    time.Duration       // interval of the engines' heartbeats
	GatherTime   time.Duration       // time during which changes of hosts and engines are batched
	DrainTimeout time.Duration       // limit on the wait for acknowledgements of a draining engine
	Seeds        func() []string     // peer addresses
	SyncCalls    *wire.Client        // for Sync calls, which wait for changes
	Commands     *wire.Client        // for all other calls
	Send         func(raft.Envelope) // must not block
	Log          *zap.Logger
	Clock        func() time.Time
	SteadyClock  func() time.Duration // a clock that keeps running while the host is suspended
	ConfirmState bool                 // confirm the state periodically; key revocation needs it
	Seed         uint64

	RolloutPolicy rollout.Policy

	Random func() float64 // uniform over [0, 1), to draw the gateways named to callers
}

// Controller runs the control role of a host. It is safe for concurrent use.
type Controller struct {
	Deps
	machine      *ledger.Machine
	replica      *replica.Replica
	roster       *roster.Roster
	engines      *registry.Table
	follower     *follow.Follower
	stopping     atomic.Bool
	startedAt    time.Time
	table        atomic.Pointer[catalog.Table] // of the ledger's current catalog
	savedEngines *disk.DualFile                // the engines on disk, read after a restart
	freshness    freshness
	rollouts     rollouts

	encodeMu sync.Mutex
	encoded  follow.StateReply // reply with the state that was encoded last

	mu           sync.Mutex
	acknowledged map[string]acknowledgement // by gateway
	changed      chan struct{}              // closed by notifyChanged
}

// acknowledgement records up to which change number a gateway has received the engines.
type acknowledgement struct {
	number  uint64
	region  string
	expires time.Time // when the gateway counts as disconnected, unless it calls again
}

// New opens the ledger's replica and returns a controller that isn't running yet.
func New(deps Deps) (*Controller, error) {
	raft.RegisterMessages()
	c := &Controller{
		Deps: deps, roster: roster.New(deps.Clock), engines: registry.New(deps.Self.Life, deps.Heartbeat, deps.Clock),
		acknowledged: make(map[string]acknowledgement), changed: make(chan struct{}), startedAt: deps.Clock(),
	}
	c.table.Store(catalog.NewTable(catalog.Catalog{}))
	c.restoreEngines(deps.Folder)
	c.machine = ledger.New(c.ledgerChanged)
	var err error
	c.replica, err = replica.Open(replica.Options{
		ID: deps.Replica, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, SkipLeaseWait: true, Folder: deps.Folder, Machine: c.machine,
		Send: deps.Send, Clock: deps.Clock, SnapshotEvery: snapshotInterval, Log: deps.Log, Seed: deps.Seed,
	})
	if err != nil {
		return nil, errors.Annotate(err, "ledger")
	}
	c.follower = follow.New(follow.Deps{
		Self: c.self, Seeds: deps.Seeds, Client: deps.SyncCalls, Engines: c.engines, Log: deps.Log, Clock: deps.Clock, Steady: deps.SteadyClock,
		OnHosts: c.roster.ReceiveForwarded,
	})
	return c, nil
}

// Follower returns the follower of the other control hosts.
func (c *Controller) Follower() *follow.Follower { return c.follower }

// self returns this host's own roster entry.
func (c *Controller) self() roster.Host {
	h := c.Self
	h.Replica, h.Stopping = string(c.Replica), c.stopping.Load()
	return h
}

// Run runs the control role until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(c.replica.Run)
	group.Go(c.follower.Run)
	group.Go(voters.New(c.replica, c.spares, voters.Policy{TargetVoters: c.Voters, LostAfter: voterTimeout, Standby: true}, c.Log).Run)
	group.Go(c.expireHostsAndEngines)
	group.Go(c.saveEngines)
	group.Go(c.confirmPeriodically)
	group.Go(c.driveRollouts)
	c.roster.Receive(c.self())
	return group.Wait()
}

// Stop marks this host as stopping. If it leads the ledger's log, it transfers the
// leadership to an up-to-date voter.
func (c *Controller) Stop() {
	c.stopping.Store(true)
	status := c.replica.Status()
	if status.Role != raft.Leader {
		return
	}
	best := raft.PeerStatus{}
	for _, p := range status.Peers {
		if status.Members.IsVoter(p.ID) && p.Match >= best.Match && p.Heard.After(best.Heard) {
			best = p
		}
	}
	if best.ID != raft.None {
		c.replica.TransferLeadership(best.ID)
	}
}

// Members returns the members of the ledger's log, as known here.
func (c *Controller) Members() raft.Membership { return c.replica.Status().Members }

// IsLeader reports whether this host leads the ledger's log.
func (c *Controller) IsLeader() bool { return c.replica.Status().Role == raft.Leader }

// spares lists the control hosts that could become voters.
func (c *Controller) spares() []voters.Candidate {
	hosts := c.roster.Hosts(roster.RoleControl)
	var out []voters.Candidate
	for _, h := range hosts {
		if h.Replica != "" && !h.Stopping {
			out = append(out, voters.Candidate{ID: raft.ID(h.Replica), Region: h.Region})
		}
	}
	return out
}

// ledgerChanged is called by the ledger with each new state.
func (c *Controller) ledgerChanged(s ledger.State) {
	c.table.Store(catalog.NewTable(s.Catalog))
	c.rollouts.track(s, c.Clock())
	c.notifyChanged()
	c.Log.Info("ledger state applied", zap.Uint64("index", s.Index), zap.Int64("version", s.Catalog.Version), zap.Strings("evacuated", s.Evacuated))
}

// notifyChanged wakes the Sync calls that wait for a change of the ledger, or for the
// first confirmation of its state.
func (c *Controller) notifyChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// expireHostsAndEngines periodically removes hosts that have timed out from the roster,
// and marks engines without recent heartbeats as unresponsive.
func (c *Controller) expireHostsAndEngines(ctx context.Context) error {
	duty.Every(ctx, expiryInterval, func() {
		c.roster.Receive(c.self())
		for _, h := range c.roster.Expire(hostTimeout) {
			c.Log.Warn("host timed out, removed from the roster", zap.String("host", h.Name), zap.String("role", string(h.Role)), zap.Duration("silent_for", c.Clock().Sub(h.Heard)))
		}
		for _, e := range c.engines.Expire() {
			c.Log.Warn("engine silent", zap.String("engine", e.ID), zap.String("service", e.Service), zap.String("address", e.Address), zap.Int64("sequence", e.Sequence), zap.Duration("silent_for", c.Clock().Sub(e.Heard)))
		}
	})
	return nil
}

// PeerAddress returns the net/rpc address of the host that a replica runs on. The replica's
// ID begins with it.
func PeerAddress(id raft.ID) string { return voters.HostOf(id) }
