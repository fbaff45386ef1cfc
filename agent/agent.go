// Package agent keeps one entry host in step with the control log.
//
// It watches for changes, reports what it serves under, keeps the lease alive
// and learns of the other hosts. Messages go by a tree: a host speaks to one
// relay in its data centre, the relay to the leader. Any host can be the
// relay; it is the first in order of names that answers. Where no leader can
// be reached, the hosts of the data centre renew each other, and pass on the
// newest view that any of them has.
//
// Each duty runs in its own goroutine: report, renew by peers, watch, members,
// ping.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/lease"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wire"
)

// Deps are what an Agent needs.
type Deps struct {
	Settings settings.Settings
	Host     settings.Host
	// Leader is this host's own control side; nil for a host without a disk.
	Leader *leader.Leader
	// Replica is the identity of its replica, if it has one.
	Replica raft.ID
	Fleet   *fleet.Fleet
	// Near makes short calls, Long those that wait.
	Near, Long *wire.Client
	Log        *zap.Logger
	Metrics    *telemetry.Metrics
	Random     func() uint64
	// Incarnation is new at each start of the process.
	Incarnation string
	// KeyReplica gives the identity of this host's replica of its region's
	// log of keys, raft.None until it has one, and whether it leads.
	KeyReplica func() (id raft.ID, leads bool)
	// InFlight counts the requests on this host, and Stopping tells that it
	// takes no more.
	InFlight func() int64
	Stopping func() bool
}

// maxEvents bounds the events that a relay keeps for its hosts.
const maxEvents = 1024

// Agent is one host's side. New makes one.
type Agent struct {
	Deps

	mu         sync.Mutex
	holder     *lease.Holder
	guard      permit.Guard
	events     []control.Event // the last ones, ending at the view's Seq
	changed    chan struct{}   // closed and replaced when the view changes
	leader     string          // the last known leader's host name
	bad        map[string]time.Time
	members    map[string]member
	regions    map[string]*link
	loads      map[string]regionLoad // newest word of each other region
	batch      *reportBatch
	behind     int // reports in a row that found the leader ahead
	wasServing bool
}

// member is what is known of another host.
type member struct {
	status leader.HostStatus
	at     time.Time // when the host said it, by this host's clock
}

// New makes an agent; Run runs it.
func New(deps Deps) *Agent {
	return &Agent{
		Deps:    deps,
		holder:  lease.New(deps.Host.Name, deps.Host.DataCentre, deps.Incarnation, deps.Settings.Control.Lease),
		changed: make(chan struct{}),
		bad:     make(map[string]time.Time),
		members: make(map[string]member),
		regions: make(map[string]*link),
		loads:   make(map[string]regionLoad),
	}
}

// Run runs the duties until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(a.report)
	group.Go(a.renewByPeers)
	group.Go(a.watch)
	group.Go(a.learnMembers)
	group.Go(a.ping)
	return group.Wait()
}

// Serving implements gateway.Authority.
func (a *Agent) Serving() (permit.Guard, declare.Config, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holder.MayServe(steady.Time()) {
		return permit.Guard{}, declare.Config{}, &request.NotRun{
			Reason:     request.ReasonNoLease,
			Message:    "this host has no lease on the configuration",
			RetryAfter: time.Second,
		}
	}
	return a.guard, a.holder.View().Config, nil
}

// View gives the view that the host serves under, and a channel that is closed
// when it changes.
func (a *Agent) View() (control.View, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.View(), a.changed
}

// take takes over events or a view that has come from the leader, a relay or
// a peer.
func (a *Agent) take(reply leader.WatchReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.View != nil {
		return a.setView(*reply.View, nil)
	}
	for i, e := range reply.Events {
		if e.Seq <= a.holder.View().Seq {
			continue
		}
		next, err := a.holder.View().With(e)
		if err != nil {
			return errors.Trace(err)
		}
		if err := a.setView(next, &reply.Events[i]); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// setView compiles a view and serves under it from now on. The lock is held.
func (a *Agent) setView(view control.View, by *control.Event) error {
	if view.Seq <= a.holder.View().Seq {
		return nil
	}
	guard, err := compile(view)
	if err != nil {
		return errors.Trace(err)
	}
	// The guard and the engines are in place before the acknowledgement.
	a.guard = guard
	a.Fleet.ApplyConfig(view.Config, heldEngines(view))
	a.holder.AdoptView(view)
	if by == nil {
		a.events = nil
	} else {
		a.events = append(a.events, *by)
		a.events = a.events[max(0, len(a.events)-maxEvents):]
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.Metrics.Revision(int64(view.Config.Revision()))
	a.Log.Info("view", zap.Uint64("seq", view.Seq), zap.Uint64("revision", view.Config.Revision()), zap.Bool("pending", view.Pending != nil))
	return nil
}

func compile(view control.View) (permit.Guard, error) {
	rules, err := permit.New(view.Config)
	if err != nil {
		return permit.Guard{}, errors.Trace(err)
	}
	guard := permit.Guard{Current: rules}
	if view.Pending != nil {
		pending, err := permit.New(view.Pending.Config)
		if err != nil {
			return permit.Guard{}, errors.Trace(err)
		}
		guard.Pending = &pending
	}
	return guard, nil
}

// heldEngines tells which engines an undecided change alters: until it is
// decided they get nothing new, for what the two configurations permit of them
// may differ.
func heldEngines(view control.View) func(string) bool {
	held := map[string]bool{}
	if view.Pending != nil {
		for _, ref := range view.Pending.Change.Deletes {
			held[ref.Name] = held[ref.Name] || ref.Kind == declare.KindEngine
		}
		for _, put := range view.Pending.Change.Puts {
			if engine, ok := put.Object.(declare.Engine); ok {
				held[engine.Name] = true
			}
		}
	}
	return func(engine string) bool { return held[engine] }
}

// ownLoads gives the loads of this region's engines, as this host sees them.
func (a *Agent) ownLoads() []leader.ServiceLoad {
	var out []leader.ServiceLoad
	for _, d := range a.Fleet.Digests() {
		out = append(out, leader.ServiceLoad{Service: d.Service, Slots: d.Digest.Slots, Load: d.Digest.Load, ServiceTime: d.Digest.ServiceTime})
	}
	return out
}

// isServing tells whether the host takes requests now.
func (a *Agent) isServing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.MayServe(steady.Time())
}

// status gives what this host tells others of itself.
func (a *Agent) status() leader.HostStatus {
	status := leader.HostStatus{
		Host: a.Host.Name, DataCentre: a.Host.DataCentre, Region: a.Host.Region,
		InFlight: int(a.InFlight()), Replica: a.Replica, Services: a.ownLoads(), Crashes: a.Fleet.OutgoingCrashReports(), Limits: a.Fleet.OutgoingLimitReports(),
	}
	status.KeyReplica, status.KeyLeader = a.KeyReplica()
	a.mu.Lock()
	defer a.mu.Unlock()
	status.Ready = a.holder.MayServe(steady.Time()) && !a.Stopping() && status.InFlight < a.Settings.Limits.InFlight
	status.Revision = a.holder.View().Config.Revision()
	return status
}

// Explain tells of the lease, for operators.
func (a *Agent) Explain() Standing {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Time()
	view := a.holder.View()
	s := Standing{
		Host: a.Host.Name, Seq: view.Seq, Revision: view.Config.Revision(), Pending: view.Pending != nil,
		Serving: a.holder.MayServe(now), Established: a.holder.IsEstablished(), Lease: max(0, a.holder.ExpiresAt().Sub(now)), Leader: a.leader,
	}
	s.ByPeers = s.Serving && now.Sub(a.holder.LastLeaderRenewal()) > a.Settings.Control.Lease
	return s
}

// Standing describes a host's lease.
type Standing struct {
	Host        string        `json:"host"`
	Seq         uint64        `json:"seq"`
	Revision    uint64        `json:"revision"`
	Pending     bool          `json:"pending"`
	Serving     bool          `json:"serving"`
	Established bool          `json:"established"`
	ByPeers     bool          `json:"by_peers"` // renewed by its data centre, no leader reached
	Lease       time.Duration `json:"lease"`    // that remains
	Leader      string        `json:"leader"`
}
