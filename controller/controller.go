// Package controller is the control role of a host: it keeps a replica of the
// ledger, hears engines, and tells everybody who follows it.
//
// Operators and engines may call any control host. A command is carried to the
// ledger's leader and answered once a majority of the voters has it on disk; a
// read is confirmed with the leader first, so that no control host ever shows
// an older catalog than one that was accepted. Engines' heartbeats need no
// majority: the control host that hears one tells its followers, and an engine
// that drains is acknowledged only after the gateways of its region have been
// told.
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
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/voters"
	"github.com/linenscale/linenscale/wire"
)

// Timing of the control role.
const (
	// Election and Heartbeat of the ledger's log: a round trip between regions
	// takes 160 ms, so that an election timeout holds four heartbeats.
	election  = time.Second
	heartbeat = 250 * time.Millisecond
	// snapshotEvery is after how many commands the log is cut. Catalogs are
	// long, and disks are small.
	snapshotEvery = 64
	// hostSilence is how long a host may be silent before it is taken off
	// the roster: three questions.
	hostSilence = 2 * time.Second
	// hostSlack is how much longer a host may be silent than it lets a question stand.
	hostSlack = 1500 * time.Millisecond
	// voterSilence is how long a voter may be silent before a spare takes its
	// place.
	voterSilence = 2 * time.Second
	// tidyEvery is how often the roster and the registry are looked over.
	tidyEvery = 250 * time.Millisecond
	// answerTime bounds one command or read; callers turn to another control
	// host after a second without an answer.
	answerTime = 900 * time.Millisecond
	// leaderPause is the wait between two looks for a leader.
	leaderPause = 50 * time.Millisecond
	// GatherTime is how long changes are gathered as a rule. When everybody
	// starts, each of some hundred hosts would otherwise be told of each other
	// one by one, which costs a control host of half a core seconds. It is short
	// beside the 450 ms within which an engine that drains is told of.
	GatherTime = 50 * time.Millisecond
	// DrainTold bounds, as a rule, the wait until the gateways know that an engine
	// drains, well within the second that engines wait for an answer.
	DrainTold = 450 * time.Millisecond
)

// Errors of commands and reads.
var (
	// ErrUnavailable says that no majority could be asked in time. A command
	// may have been taken all the same, and may be sent again.
	ErrUnavailable = errors.New("no majority of the control hosts can be asked now")
	// ErrEmpty says that nothing has been declared yet.
	ErrEmpty = errors.New("no catalog has been declared yet")
)

// Deps are what a Controller needs.
type Deps struct {
	Self      roster.Host // without replica
	Replica   raft.ID
	Folder    disk.Folder
	Voters    int                 // wanted
	Regions   map[string]string   // by data centre
	Heartbeat time.Duration       // of engines
	Gather    time.Duration       // how long changes of hosts and engines are gathered before a host is told
	Told      time.Duration       // how long an engine that drains waits at most until gateways know
	Seeds     func() []string     // peer addresses
	Calls     *wire.Client        // for questions that wait
	Commands  *wire.Client        // for everything else
	Send      func(raft.Envelope) // must not block
	Log       *zap.Logger
	Clock     func() time.Time
	Steady    func() time.Duration // a clock that goes on while the host is frozen
	Strict    bool                 // keys are to be revoked in time
	Seed      uint64
}

// Controller is safe for concurrent use. New makes one; Run runs it.
type Controller struct {
	Deps
	machine  *ledger.Machine
	replica  *replica.Replica
	roster   *roster.Roster
	engines  *registry.Table
	follower *follow.Follower
	stopping atomic.Bool
	began    time.Time
	table    atomic.Pointer[catalog.Table] // of the ledger's state
	notes    *disk.Pair                    // engines that were known
	sure     surety

	packing sync.Mutex
	pack    follow.StateReply // of the last state that was asked for

	mu      sync.Mutex
	told    map[string]told // by gateway
	changed chan struct{}   // closed with the ledger's next change
}

// told is up to which number a gateway has confirmed the engines.
type told struct {
	number uint64
	region string
	until  time.Time // when it counts as silent, if it asks no more
}

// New opens the ledger's replica and makes a controller.
func New(deps Deps) (*Controller, error) {
	raft.RegisterMessages()
	c := &Controller{
		Deps: deps, roster: roster.New(deps.Clock), engines: registry.New(deps.Self.Life, deps.Heartbeat, deps.Clock),
		told: make(map[string]told), changed: make(chan struct{}), began: deps.Clock(),
	}
	c.table.Store(catalog.NewTable(catalog.Catalog{}))
	c.recallEngines(deps.Folder)
	c.machine = ledger.New(c.ledgerChanged)
	var err error
	c.replica, err = replica.Open(replica.Options{
		ID: deps.Replica, Election: election, Heartbeat: heartbeat, NoLease: true, Folder: deps.Folder, Machine: c.machine,
		Send: deps.Send, Clock: deps.Clock, SnapshotEvery: snapshotEvery, Log: deps.Log, Seed: deps.Seed,
	})
	if err != nil {
		return nil, errors.Annotate(err, "ledger")
	}
	c.follower = follow.New(follow.Deps{
		Self: c.self, Seeds: deps.Seeds, Calls: deps.Calls, Engines: c.engines, Log: deps.Log, Clock: deps.Clock, Steady: deps.Steady,
	})
	return c, nil
}

// Follower gives what follows the other control hosts.
func (c *Controller) Follower() *follow.Follower { return c.follower }

// self gives what this host tells of itself.
func (c *Controller) self() roster.Host {
	h := c.Self
	h.Replica, h.Stopping = string(c.Replica), c.stopping.Load()
	return h
}

// Run runs the duties until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(c.replica.Run)
	group.Go(c.follower.Run)
	group.Go(voters.New(c.replica, c.spares, voters.Policy{Wanted: c.Voters, LostAfter: voterSilence, Standby: true}, c.Log).Run)
	group.Go(c.tidy)
	group.Go(c.noteEngines)
	group.Go(c.keepSure)
	c.roster.Hear(c.self())
	return group.Wait()
}

// Stop prepares the end of the process: another host leads from now on.
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
		c.replica.Transfer(best.ID)
	}
}

// Members gives who votes in the ledger's log, as known here.
func (c *Controller) Members() raft.Membership { return c.replica.Status().Members }

// Leads reports whether this host leads the ledger's log.
func (c *Controller) Leads() bool { return c.replica.Status().Role == raft.Leader }

// spares lists the control hosts that could vote.
func (c *Controller) spares() []voters.Spare {
	hosts := c.roster.Hosts(roster.RoleControl)
	var out []voters.Spare
	for _, h := range hosts {
		if h.Replica != "" && !h.Stopping {
			out = append(out, voters.Spare{ID: raft.ID(h.Replica), Region: h.Region})
		}
	}
	return out
}

// ledgerChanged is called by the replica with each new state.
func (c *Controller) ledgerChanged(s ledger.State) {
	c.table.Store(catalog.NewTable(s.Catalog))
	c.announce()
	c.Log.Info("ledger applied", zap.Uint64("index", s.Index), zap.Int64("version", s.Catalog.Version), zap.Strings("evacuated", s.Evacuated))
}

// announce wakes those who wait for news of the ledger.
func (c *Controller) announce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// tidy is the duty that notices who has fallen silent.
func (c *Controller) tidy(ctx context.Context) error {
	duty.Every(ctx, tidyEvery, func() {
		c.roster.Hear(c.self())
		for _, h := range c.roster.Expire(hostSilence) {
			c.Log.Warn("host silent", zap.String("host", h.Name), zap.String("role", string(h.Role)), zap.Duration("silent_for", c.Clock().Sub(h.Heard)))
		}
		for _, e := range c.engines.Expire() {
			c.Log.Warn("engine silent", zap.String("engine", e.ID), zap.String("service", e.Service), zap.String("address", e.Address), zap.Int64("sequence", e.Sequence), zap.Duration("silent_for", c.Clock().Sub(e.Heard)))
		}
	})
	return nil
}

// PeerOf gives the address of net/rpc of the host that a replica runs on: its
// identity begins with it.
func PeerOf(id raft.ID) string { return voters.HostOf(id) }
