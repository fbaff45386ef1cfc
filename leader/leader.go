package leader

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/voters"
)

// Options configures a Leader.
type Options struct {
	ID            raft.ID
	Timing        settings.ControlTiming
	Folder        disk.Folder
	Send          func(raft.Envelope)
	Clock         func() time.Time // must advance while the machine is suspended
	InitialConfig declare.Config   // first configuration of an empty control log
	WantedVoters  int              // wanted number of voters
	Log           *zap.Logger
	Metrics       *telemetry.Metrics
	Seed          uint64
}

// snapshotEntries is the number of log entries after which a snapshot replaces them.
const snapshotEntries = 2048

// decideInterval is the longest time between two checks of a pending change.
const decideInterval = 20 * time.Millisecond

// Leader runs a host's replica of the control log and, while that replica leads, serves
// the hosts. Use New to create one.
type Leader struct {
	opts     Options
	machine  *machine
	replica  *replica.Replica
	reported chan struct{} // signals that a report has arrived while a change is pending

	mu          sync.Mutex
	trackerTerm uint64 // Raft term in which tracker was created
	tracker     *control.AckTracker
	statuses    map[string]receivedStatus // by host name
}

// receivedStatus is the latest status of a host.
type receivedStatus struct {
	status HostStatus
	at     time.Time // when the host issued it, by this host's clock
}

// New opens the host's replica of the control log. Run starts it.
func New(opts Options) (*Leader, error) {
	l := &Leader{
		opts: opts, machine: newMachine(), reported: make(chan struct{}, 1),
		statuses: make(map[string]receivedStatus),
	}
	var err error
	l.replica, err = replica.Open(replica.Options{
		ID: opts.ID, ElectionTimeout: opts.Timing.ElectionTimeout, HeartbeatInterval: opts.Timing.HeartbeatInterval, Folder: opts.Folder,
		Machine: l.machine, Send: opts.Send, Clock: opts.Clock, SnapshotEvery: snapshotEntries, Log: opts.Log, Seed: opts.Seed,
	})
	l.tracker = control.NewAckTracker(l.timing())
	return l, errors.Trace(err)
}

func (l *Leader) timing() control.Timing {
	return control.Timing{LeaseDuration: l.opts.Timing.LeaseTime, DecideTimeout: l.opts.Timing.DecideTimeout}
}

// Run runs the replica, the decisions and the replacement of lost voters until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(l.replica.Run)
	group.Go(l.runDecisions)
	group.Go(voters.New(l.replica, l.spareReplicas, voters.Policy{TargetVoters: l.opts.WantedVoters, LostAfter: voters.DefaultLostAfter}, l.opts.Log).Run)
	return group.Wait()
}

// Deliver passes a Raft message to the replica.
func (l *Leader) Deliver(e raft.Envelope) { l.replica.Deliver(e) }

// Status returns the Raft status of the replica.
func (l *Leader) Status() raft.Status { return l.replica.Status() }

// StepDown transfers leadership to the voter with the most entries of the log. It is
// called before a planned stop, to avoid waiting for an election.
func (l *Leader) StepDown() {
	status := l.replica.Status()
	var best raft.PeerStatus
	for _, p := range status.Peers {
		if status.Members.IsVoter(p.ID) && p.Match >= best.Match {
			best = p
		}
	}
	if best.ID != raft.None {
		l.replica.TransferLeadership(best.ID)
	}
}

// checkLeader returns nil if this replica holds the leader lease now, and a redirect
// otherwise. Call it after reading the state to be returned: a lease that is valid
// then proves that the state was current when it was read.
func (l *Leader) checkLeader() *NotLeader {
	status := l.replica.Status()
	if l.opts.Clock().Before(status.Lease) {
		return nil
	}
	if status.Leader == l.opts.ID {
		return &NotLeader{}
	}
	return &NotLeader{voters.HostOf(status.Leader)}
}

// resetOnNewTerm starts an empty tracker if the Raft term has changed since the last call.
// The caller holds the lock.
func (l *Leader) resetOnNewTerm() {
	if term := l.replica.Status().Term; term != l.trackerTerm {
		l.trackerTerm = term
		l.tracker = control.NewAckTracker(l.timing())
	}
}

// Report records the reports of hosts and renews the leases of those that serve under
// the latest view.
func (l *Leader) Report(args ReportArgs) ReportReply {
	view, _ := l.machine.view()
	// The leader lease is checked after the view is read. If it is valid then, no other
	// leader can have proposed a newer change.
	if redirect := l.checkLeader(); redirect != nil {
		return ReportReply{NotLeader: redirect}
	}
	now := l.opts.Clock()
	var reply ReportReply
	l.mu.Lock()
	l.resetOnNewTerm()
	for _, r := range args.Reports {
		renewed := l.tracker.RecordReport(now, r.Lease, view)
		l.statuses[r.Lease.Host] = receivedStatus{r.Status, now.Add(-r.Status.Age)}
		reply.Renewals = append(reply.Renewals, Renewal{r.Lease.Host, renewed, view.Seq})
	}
	l.mu.Unlock()
	if view.Pending != nil {
		select {
		case l.reported <- struct{}{}:
		default:
		}
	}
	return reply
}

// Watch returns the changes after args.Seq. It waits for one until args.Wait has passed
// or ctx ends, and then returns an empty reply.
func (l *Leader) Watch(ctx context.Context, args WatchArgs) WatchReply {
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for {
		view, changed := l.machine.view()
		if redirect := l.checkLeader(); redirect != nil {
			return WatchReply{NotLeader: redirect}
		}
		if view.Seq > args.Seq {
			return l.changesSince(args.Seq)
		}
		select {
		case <-changed:
		case <-timer.C:
			return WatchReply{}
		case <-ctx.Done():
			return WatchReply{}
		}
	}
}

// changesSince returns the events after seq, or the whole view if seq is zero or some of
// the events have been discarded.
func (l *Leader) changesSince(seq uint64) WatchReply {
	var reply WatchReply
	l.machine.read(func(s *control.State) {
		if events, ok := s.Events(seq); ok && seq > 0 {
			reply.Events = events
			return
		}
		view := s.View()
		reply.View = &view
	})
	return reply
}

// statusTTL is the age beyond which a host's status is discarded.
const statusTTL = 10 * time.Second

// Members returns the loads of all regions and, if args.Hosts is set, the status of each
// host that has reported within statusTTL.
func (l *Leader) Members(args MembersArgs) MembersReply {
	if redirect := l.checkLeader(); redirect != nil {
		return MembersReply{NotLeader: redirect}
	}
	statuses := l.recentStatuses()
	reply := MembersReply{Regions: RegionLoads(statuses)}
	if args.Hosts {
		reply.Hosts = WithoutServices(statuses)
	}
	return reply
}

// RegionLoads returns, for each region, the latest load report of a ready host.
func RegionLoads(hosts []HostStatus) []RegionLoad {
	position := map[string]int{}
	var out []RegionLoad
	for _, h := range hosts {
		i, found := position[h.Region]
		switch {
		case !h.Ready || len(h.Services) == 0:
		case !found:
			position[h.Region] = len(out)
			out = append(out, RegionLoad{h.Region, h.Age, h.Services})
		case h.Age < out[i].Age:
			out[i] = RegionLoad{h.Region, h.Age, h.Services}
		}
	}
	return out
}

// WithoutServices returns copies of the statuses without the loads of the services.
func WithoutServices(hosts []HostStatus) []HostStatus {
	out := make([]HostStatus, len(hosts))
	for i, h := range hosts {
		h.Services = nil
		out[i] = h
	}
	return out
}

// recentStatuses returns the statuses younger than statusTTL, with their present ages,
// and discards the others.
func (l *Leader) recentStatuses() []HostStatus {
	now := l.opts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]HostStatus, 0, len(l.statuses))
	for host, received := range l.statuses {
		age := now.Sub(received.at)
		if age > statusTTL {
			delete(l.statuses, host)
			continue
		}
		status := received.status
		status.Age = age
		out = append(out, status)
	}
	return out
}

// spareReplicas lists the replicas of the hosts that have reported within statusTTL.
func (l *Leader) spareReplicas() []voters.Candidate {
	var out []voters.Candidate
	for _, h := range l.recentStatuses() {
		if h.Replica != raft.None {
			out = append(out, voters.Candidate{ID: h.Replica, Region: h.Region})
		}
	}
	return out
}

// busyRetryInterval is the wait before a change is proposed again after another one was
// found pending.
const busyRetryInterval = 50 * time.Millisecond

// Propose proposes a change and waits for its decision, at most args.Wait. After a
// timeout it returns the last outcome, which is then not final, or an error if the
// proposal itself was not applied in time.
func (l *Leader) Propose(ctx context.Context, args ProposeArgs) (ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait)
	defer cancel()
	for {
		out, err := l.proposeOnce(ctx, args.Change)
		switch {
		case errors.Is(err, replica.ErrNotLeader):
			return ProposeReply{NotLeader: &NotLeader{voters.HostOf(l.replica.Status().Leader)}}, nil
		case err != nil:
			return ProposeReply{}, errors.Trace(err)
		case out.Final():
			return ProposeReply{Outcome: out}, nil
		case out.Status == control.StatusPending:
			return l.awaitDecision(ctx, args.Change.ID, out), nil
		}
		select {
		case <-ctx.Done():
			return ProposeReply{Outcome: out}, nil
		case <-time.After(busyRetryInterval):
		}
	}
}

// proposeOnce proposes a change and returns its first outcome, final or not.
func (l *Leader) proposeOnce(ctx context.Context, change declare.Change) (control.Outcome, error) {
	result, err := l.proposeCommand(ctx, control.Command{Propose: &control.Propose{Change: change, At: time.Now().UTC()}})
	if err != nil {
		return control.Outcome{}, err
	}
	return result, nil
}

// proposeCommand appends a command to the control log and returns its outcome once it
// has been applied.
func (l *Leader) proposeCommand(ctx context.Context, c control.Command) (control.Outcome, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return control.Outcome{}, errors.Annotate(err, "command")
	}
	result, err := l.replica.Propose(ctx, data)
	if err != nil {
		return control.Outcome{}, err
	}
	return result.(control.Outcome), nil
}

// awaitDecision waits for the decision on a pending change. If ctx ends first, it
// returns the pending outcome.
func (l *Leader) awaitDecision(ctx context.Context, id string, pending control.Outcome) ProposeReply {
	for {
		_, changed := l.machine.view()
		var out control.Outcome
		var found bool
		l.machine.read(func(s *control.State) { out, found = s.Outcome(id) })
		if found && out.Final() {
			return ProposeReply{Outcome: out}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ProposeReply{Outcome: pending}
		}
	}
}

// State returns the state of the control log by a linearizable read, which a quorum of
// the voters confirms.
func (l *Leader) State(ctx context.Context, args StateArgs) (StateReply, error) {
	_, err := l.replica.ReadBarrier(ctx)
	if errors.Is(err, replica.ErrNotLeader) {
		return StateReply{NotLeader: &NotLeader{voters.HostOf(l.replica.Status().Leader)}}, nil
	}
	if err != nil {
		return StateReply{}, errors.Trace(err)
	}
	reply := StateReply{Raft: l.replica.Status(), Hosts: WithoutServices(l.recentStatuses())}
	l.machine.read(func(s *control.State) {
		reply.View = s.View()
		reply.History = s.History(args.After)
		if out, ok := s.Outcome(args.ID); ok && args.ID != "" {
			reply.Outcome = &out
		}
	})
	return reply, nil
}

// runDecisions decides pending changes while this replica leads, and proposes the first
// configuration of an empty log. It runs until ctx ends.
func (l *Leader) runDecisions(ctx context.Context) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.reported:
		case <-ticker.C:
		}
		if l.checkLeader() != nil {
			continue
		}
		view, _ := l.machine.view()
		if view.Seq == 0 {
			l.proposeInitial(ctx)
			continue
		}
		l.decidePending(ctx, view)
	}
}

// proposeInitial proposes the first configuration. The fixed ID keeps two successive
// leaders from applying it twice.
func (l *Leader) proposeInitial(ctx context.Context) {
	change := declare.Change{ID: "first-configuration", Author: "linenscaled"}
	for _, object := range l.opts.InitialConfig.Objects() {
		change.Puts = append(change.Puts, declare.Envelope{Object: object})
	}
	out, err := l.proposeOnce(ctx, change)
	l.opts.Log.Info("first configuration proposed", zap.String("status", string(out.Status)), zap.String("why", out.Why), telemetry.ErrorField(err))
}

// decidePending commits the decision on the pending change, once there is one.
func (l *Leader) decidePending(ctx context.Context, view control.View) {
	if view.Pending == nil {
		return
	}
	now := l.opts.Clock()
	l.mu.Lock()
	l.resetOnNewTerm()
	decision := l.tracker.Decide(now, view)
	l.mu.Unlock()
	if !decision.Decided {
		return
	}
	decide := control.Decide{ID: view.Pending.Change.ID, Accept: decision.Accept, Cut: decision.Unreachable, At: now.UTC()}
	if !decision.Accept {
		decide.Why = "no majority of the hosts of " + strings.Join(decision.Unreachable, ", ") + " acknowledged it in time"
	}
	out, err := l.proposeCommand(ctx, control.Command{Decide: &decide})
	if err != nil {
		l.opts.Log.Warn("decision not committed", zap.String("change", decide.ID), telemetry.ErrorField(err))
		return
	}
	l.opts.Metrics.CountChange(string(out.Status))
	l.opts.Log.Info("change decided", zap.String("change", decide.ID), zap.String("status", string(out.Status)),
		zap.Uint64("revision", out.Revision), zap.Strings("cut", decision.Unreachable), zap.Duration("after", now.Sub(view.Pending.At)))
}
