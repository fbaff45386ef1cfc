// Package agent synchronises one entry host with the control log.
//
// It watches for changes, acknowledges them by reporting the host's view, renews the
// host's lease, and collects the status of the other hosts. Messages travel along a
// tree: a host calls one relay in its data centre, and the relay calls the leader. The
// relay is the first host in order of names that is not excluded after a failure. While
// no leader can be reached, the hosts of a data centre renew each other's leases and
// exchange the latest view that any of them has.
//
// Each task runs in its own goroutine: reports, renewal by peers, watch, members and
// pings.
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

// Deps holds the dependencies of an Agent.
type Deps struct {
	Settings settings.Settings
	Host     settings.Host
	// Leader is this host's own leader.Leader; nil on a host without a disk.
	Leader *leader.Leader
	// Replica identifies this host's replica of the control log; raft.None if it has
	// none.
	Replica raft.ID
	Fleet   *fleet.Fleet
	// Clients for short calls and for calls that wait for an event, in this order.
	ShortCalls, LongCalls *wire.Client
	Log                   *zap.Logger
	Metrics               *telemetry.Metrics
	Random                func() uint64
	// Incarnation is unique to each start of the process.
	Incarnation string
	// KeyReplica returns the identity of this host's replica of its region's key log,
	// raft.None if it has none yet, and whether the replica leads.
	KeyReplica func() (id raft.ID, leads bool)
	// InFlight returns the number of requests in flight on this host. Stopping reports
	// whether the host has stopped accepting requests.
	InFlight func() int64
	Stopping func() bool
}

// maxRelayEvents is the number of events that a relay stores for hosts that lag behind.
const maxRelayEvents = 1024

// Agent synchronises one host with the control log. Use New to create one.
type Agent struct {
	Deps

	mu            sync.Mutex
	holder        *lease.Holder
	guard         permit.Guard
	events        []control.Event           // the latest events, ending at the view's Seq
	changed       chan struct{}             // closed and replaced when the view changes
	leader        string                    // last known leader; empty if unknown
	excludedUntil map[string]time.Time      // by host, after a failed call
	statuses      map[string]receivedStatus // by host
	links         map[string]*link          // by region
	regionLoads   map[string]regionLoad     // latest report of each other region
	pendingBatch  *reportBatch
	staleReports  int // consecutive reports not renewed because the leader has a newer view
	wasServing    bool
}

// receivedStatus is the latest status of another host.
type receivedStatus struct {
	status   leader.HostStatus
	issuedAt time.Time // by this host's clock
}

// New returns an agent. Run starts it.
func New(deps Deps) *Agent {
	return &Agent{
		Deps:          deps,
		holder:        lease.New(deps.Host.Name, deps.Host.DataCentre, deps.Incarnation, deps.Settings.Control.LeaseTime),
		changed:       make(chan struct{}),
		excludedUntil: make(map[string]time.Time),
		statuses:      make(map[string]receivedStatus),
		links:         make(map[string]*link),
		regionLoads:   make(map[string]regionLoad),
	}
}

// Run runs the agent's tasks until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(a.runReports)
	group.Go(a.runPeerRenewal)
	group.Go(a.runWatch)
	group.Go(a.runMembers)
	group.Go(a.runPings)
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

// View returns the view under which the host serves, and a channel that is closed when
// the view changes.
func (a *Agent) View() (control.View, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.View(), a.changed
}

// applyChanges applies events or a view received from the leader, a relay or a peer.
// Those that are not newer than the host's view are ignored.
func (a *Agent) applyChanges(reply leader.WatchReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.View != nil {
		return a.applyView(*reply.View, nil)
	}
	for i, e := range reply.Events {
		if e.Seq <= a.holder.View().Seq {
			continue
		}
		nextView, err := a.holder.View().With(e)
		if err != nil {
			return errors.Trace(err)
		}
		if err := a.applyView(nextView, &reply.Events[i]); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// applyView compiles a newer view and serves under it from then on. event is the event
// that led to the view, or nil if the whole view was received. The caller holds the
// lock.
func (a *Agent) applyView(view control.View, event *control.Event) error {
	if view.Seq <= a.holder.View().Seq {
		return nil
	}
	guard, err := compile(view)
	if err != nil {
		return errors.Trace(err)
	}
	// The rules and the engines take effect before holder.AdoptView, which acknowledges
	// the view.
	a.guard = guard
	a.Fleet.ApplyConfig(view.Config, pendingEngines(view))
	a.holder.AdoptView(view)
	if event == nil {
		a.events = nil
	} else {
		a.events = append(a.events, *event)
		a.events = a.events[max(0, len(a.events)-maxRelayEvents):]
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.Metrics.RecordRevision(int64(view.Config.Revision()))
	a.Log.Info("view", zap.Uint64("seq", view.Seq), zap.Uint64("revision", view.Config.Revision()), zap.Bool("pending", view.Pending != nil))
	return nil
}

// compile returns the rules of a view: those of its effective configuration and those of
// the pending one.
func compile(view control.View) (permit.Guard, error) {
	currentRules, err := permit.Compile(view.Config)
	if err != nil {
		return permit.Guard{}, errors.Trace(err)
	}
	guard := permit.Guard{Effective: currentRules}
	if view.Pending != nil {
		pendingRules, err := permit.Compile(view.Pending.Config)
		if err != nil {
			return permit.Guard{}, errors.Trace(err)
		}
		guard.Pending = &pendingRules
	}
	return guard, nil
}

// pendingEngines returns a function that reports whether the pending change alters an
// engine. Such an engine gets no new requests until the change is decided, because the
// two configurations may permit different requests on it.
func pendingEngines(view control.View) func(string) bool {
	affected := map[string]bool{}
	if view.Pending != nil {
		for _, ref := range view.Pending.Change.Deletes {
			affected[ref.Name] = affected[ref.Name] || ref.Kind == declare.KindEngine
		}
		for _, put := range view.Pending.Change.Puts {
			if engine, ok := put.Object.(declare.Engine); ok {
				affected[engine.Name] = true
			}
		}
	}
	return func(engine string) bool { return affected[engine] }
}

// ownLoads returns the loads of this region's engines as observed by this host.
func (a *Agent) ownLoads() []leader.ServiceLoad {
	var out []leader.ServiceLoad
	for _, d := range a.Fleet.Digests() {
		out = append(out, leader.ServiceLoad{Service: d.Service, Slots: d.Digest.Slots, Load: d.Digest.Load, ServiceTime: d.Digest.ServiceTime})
	}
	return out
}

// isServing reports whether the host has a lease now.
func (a *Agent) isServing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.MayServe(steady.Time())
}

// ownStatus returns the status that this host sends to the others.
func (a *Agent) ownStatus() leader.HostStatus {
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

// LeaseStatus returns the state of this host's lease, for operators.
func (a *Agent) LeaseStatus() LeaseStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Time()
	view := a.holder.View()
	s := LeaseStatus{
		Host: a.Host.Name, Seq: view.Seq, Revision: view.Config.Revision(), Pending: view.Pending != nil,
		Serving: a.holder.MayServe(now), Established: a.holder.IsEstablished(), Lease: max(0, a.holder.ExpiresAt().Sub(now)), Leader: a.leader,
	}
	s.ByPeers = s.Serving && now.Sub(a.holder.LastLeaderRenewal()) > a.Settings.Control.LeaseTime
	return s
}

// LeaseStatus is the state of a host's view and lease.
type LeaseStatus struct {
	Host        string        `json:"host"`
	Seq         uint64        `json:"seq"`
	Revision    uint64        `json:"revision"`
	Pending     bool          `json:"pending"`
	Serving     bool          `json:"serving"`
	Established bool          `json:"established"`
	ByPeers     bool          `json:"by_peers"` // renewed by peers only, while no leader is reachable
	Lease       time.Duration `json:"lease"`    // time until it expires
	Leader      string        `json:"leader"`
}
