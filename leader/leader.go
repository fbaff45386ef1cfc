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

// Options shapes a Leader.
type Options struct {
	ID      raft.ID
	Timing  settings.Timing
	Folder  disk.Folder
	Send    func(raft.Envelope)
	Clock   func() time.Time // goes on while the machine is suspended
	Initial declare.Config   // of an empty control log
	Voters  int              // wanted
	Log     *zap.Logger
	Metrics *telemetry.Metrics
	Seed    uint64
}

// snapshotEvery is after how many entries the control log is trimmed.
const snapshotEvery = 2048

// decideEvery is how often a pending change is looked at.
const decideEvery = 20 * time.Millisecond

// Leader is the control side of one host with a disk. New makes one.
type Leader struct {
	opts    Options
	machine *machine
	replica *replica.Replica
	kick    chan struct{} // a report came in

	mu     sync.Mutex
	term   uint64 // that the tally belongs to
	tally  *control.Tally
	status map[string]heardStatus
}

type heardStatus struct {
	status HostStatus
	at     time.Time
}

// New opens the replica.
func New(opts Options) (*Leader, error) {
	l := &Leader{
		opts: opts, machine: newMachine(), kick: make(chan struct{}, 1),
		status: make(map[string]heardStatus),
	}
	var err error
	l.replica, err = replica.Open(replica.Options{
		ID: opts.ID, ElectionTimeout: opts.Timing.Election, HeartbeatInterval: opts.Timing.Heartbeat, Folder: opts.Folder,
		Machine: l.machine, Send: opts.Send, Clock: opts.Clock, SnapshotEvery: snapshotEvery, Log: opts.Log, Seed: opts.Seed,
	})
	l.tally = control.NewTally(l.timing())
	return l, errors.Trace(err)
}

func (l *Leader) timing() control.Timing {
	return control.Timing{Lease: l.opts.Timing.Lease, Decide: l.opts.Timing.Decide}
}

// Run runs the replica and the leader's duties until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(l.replica.Run)
	group.Go(l.decide)
	group.Go(voters.New(l.replica, l.spares, voters.Policy{Wanted: l.opts.Voters, LostAfter: voters.DefaultLostAfter}, l.opts.Log).Run)
	return group.Wait()
}

// Deliver takes a message for the replica.
func (l *Leader) Deliver(e raft.Envelope) { l.replica.Deliver(e) }

// Status gives the state of the replica.
func (l *Leader) Status() raft.Status { return l.replica.Status() }

// StepDown hands the lead to the voter that has caught up best, before a
// planned stop.
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

// leads tells whether this replica leads now, by its lease. It must be asked
// after the state that the answer is about was read.
func (l *Leader) leads() *NotLeader {
	status := l.replica.Status()
	if l.opts.Clock().Before(status.Lease) {
		return nil
	}
	if status.Leader == l.opts.ID {
		return &NotLeader{}
	}
	return &NotLeader{voters.HostOf(status.Leader)}
}

// newTerm begins a new tally where this replica has become leader anew. The
// lock is held.
func (l *Leader) newTerm() {
	if term := l.replica.Status().Term; term != l.term {
		l.term = term
		l.tally = control.NewTally(l.timing())
	}
}

// Report takes the reports of hosts and renews their leases.
func (l *Leader) Report(args ReportArgs) ReportReply {
	view, _ := l.machine.view()
	// The lease is looked at after the view: as long as it ran then, no
	// other leader can have proposed anything newer.
	if not := l.leads(); not != nil {
		return ReportReply{NotLeader: not}
	}
	now := l.opts.Clock()
	var reply ReportReply
	l.mu.Lock()
	l.newTerm()
	for _, r := range args.Reports {
		renewed := l.tally.Report(now, r.Lease, view)
		l.status[r.Lease.Host] = heardStatus{r.Status, now.Add(-r.Status.Age)}
		reply.Renewals = append(reply.Renewals, Renewal{r.Lease.Host, renewed, view.Seq})
	}
	l.mu.Unlock()
	if view.Pending != nil {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
	return reply
}

// Watch waits until there is something after a view.
func (l *Leader) Watch(ctx context.Context, args WatchArgs) WatchReply {
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for {
		view, changed := l.machine.view()
		if not := l.leads(); not != nil {
			return WatchReply{NotLeader: not}
		}
		if view.Seq > args.Seq {
			return l.after(args.Seq)
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

func (l *Leader) after(seq uint64) WatchReply {
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

// statusLife is how long a host's status is passed on.
const statusLife = 10 * time.Second

// Members gives the loads of all regions, and the status of all hosts that have
// reported lately if that is asked for.
func (l *Leader) Members(args MembersArgs) MembersReply {
	if not := l.leads(); not != nil {
		return MembersReply{NotLeader: not}
	}
	all := l.hosts()
	reply := MembersReply{Regions: RegionLoads(all)}
	if args.Hosts {
		reply.Hosts = WithoutServices(all)
	}
	return reply
}

// RegionLoads gives, for each region, the newest word of a host that serves.
func RegionLoads(hosts []HostStatus) []RegionLoad {
	at := map[string]int{}
	var out []RegionLoad
	for _, h := range hosts {
		i, known := at[h.Region]
		switch {
		case !h.Ready || len(h.Services) == 0:
		case !known:
			at[h.Region] = len(out)
			out = append(out, RegionLoad{h.Region, h.Age, h.Services})
		case h.Age < out[i].Age:
			out[i] = RegionLoad{h.Region, h.Age, h.Services}
		}
	}
	return out
}

// WithoutServices gives the hosts' status without the loads.
func WithoutServices(hosts []HostStatus) []HostStatus {
	out := make([]HostStatus, len(hosts))
	for i, h := range hosts {
		h.Services = nil
		out[i] = h
	}
	return out
}

func (l *Leader) hosts() []HostStatus {
	now := l.opts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]HostStatus, 0, len(l.status))
	for host, heard := range l.status {
		age := now.Sub(heard.at)
		if age > statusLife {
			delete(l.status, host)
			continue
		}
		status := heard.status
		status.Age = age
		out = append(out, status)
	}
	return out
}

// spares lists the replicas of the hosts that have reported lately.
func (l *Leader) spares() []voters.Spare {
	var out []voters.Spare
	for _, h := range l.hosts() {
		if h.Replica != raft.None {
			out = append(out, voters.Spare{ID: h.Replica, Region: h.Region})
		}
	}
	return out
}

// busyPause is the wait before a change is proposed again that found another
// one undecided.
const busyPause = 50 * time.Millisecond

// Propose proposes a change and waits until it is decided.
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
			return l.await(ctx, args.Change.ID, out), nil
		}
		select {
		case <-ctx.Done():
			return ProposeReply{Outcome: out}, nil
		case <-time.After(busyPause):
		}
	}
}

func (l *Leader) proposeOnce(ctx context.Context, change declare.Change) (control.Outcome, error) {
	result, err := l.command(ctx, control.Command{Propose: &control.Propose{Change: change, At: time.Now().UTC()}})
	if err != nil {
		return control.Outcome{}, err
	}
	return result, nil
}

func (l *Leader) command(ctx context.Context, c control.Command) (control.Outcome, error) {
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

// await waits for the decision of a pending change.
func (l *Leader) await(ctx context.Context, id string, pending control.Outcome) ProposeReply {
	for {
		_, changed := l.machine.view()
		var out control.Outcome
		var known bool
		l.machine.read(func(s *control.State) { out, known = s.Outcome(id) })
		if known && out.Final() {
			return ProposeReply{Outcome: out}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ProposeReply{Outcome: pending}
		}
	}
}

// State gives the state of the control log, confirmed by a quorum.
func (l *Leader) State(ctx context.Context, args StateArgs) (StateReply, error) {
	err := l.replica.ReadBarrier(ctx)
	if errors.Is(err, replica.ErrNotLeader) {
		return StateReply{NotLeader: &NotLeader{voters.HostOf(l.replica.Status().Leader)}}, nil
	}
	if err != nil {
		return StateReply{}, errors.Trace(err)
	}
	reply := StateReply{Raft: l.replica.Status(), Hosts: WithoutServices(l.hosts())}
	l.machine.read(func(s *control.State) {
		reply.View = s.View()
		reply.History = s.History(args.After)
		if out, ok := s.Outcome(args.ID); ok && args.ID != "" {
			reply.Outcome = &out
		}
	})
	return reply, nil
}

// decide is the duty that decides pending changes, and writes the first
// configuration of an empty log.
func (l *Leader) decide(ctx context.Context) error {
	ticker := time.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.kick:
		case <-ticker.C:
		}
		if l.leads() != nil {
			continue
		}
		view, _ := l.machine.view()
		if view.Seq == 0 {
			l.begin(ctx)
			continue
		}
		l.decideOnce(ctx, view)
	}
}

// begin proposes the first configuration. Its ID is fixed, so that two leaders
// in a row can't both.
func (l *Leader) begin(ctx context.Context) {
	change := declare.Change{ID: "first-configuration", Author: "linenscaled"}
	for _, object := range l.opts.Initial.Objects() {
		change.Puts = append(change.Puts, declare.Envelope{Object: object})
	}
	out, err := l.proposeOnce(ctx, change)
	l.opts.Log.Info("first configuration", zap.String("status", string(out.Status)), zap.String("why", out.Why), telemetry.Cause(err))
}

func (l *Leader) decideOnce(ctx context.Context, view control.View) {
	if view.Pending == nil {
		return
	}
	now := l.opts.Clock()
	l.mu.Lock()
	l.newTerm()
	decision := l.tally.Decide(now, view)
	l.mu.Unlock()
	if !decision.Decided {
		return
	}
	decide := control.Decide{ID: view.Pending.Change.ID, Accept: decision.Accept, Cut: decision.Cut, At: now.UTC()}
	if !decision.Accept {
		decide.Why = "no majority of the hosts of " + strings.Join(decision.Cut, ", ") + " acknowledged it in time"
	}
	out, err := l.command(ctx, control.Command{Decide: &decide})
	if err != nil {
		l.opts.Log.Warn("change not decided", zap.String("change", decide.ID), telemetry.Cause(err))
		return
	}
	l.opts.Metrics.Change(string(out.Status))
	l.opts.Log.Info("change decided", zap.String("change", decide.ID), zap.String("status", string(out.Status)),
		zap.Uint64("revision", out.Revision), zap.Strings("cut", decision.Cut), zap.Duration("after", now.Sub(view.Pending.At)))
}
