// Package replica runs one replica of a replicated log: a raft.Node, its durable log and a
// state machine. They belong to one goroutine; other goroutines reach it through a bounded
// queue.
//
// Safety depends on the order of the steps in each iteration: save and sync what must be
// durable, send the messages, apply the committed entries, and then complete the calls that
// wait for them.
package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wal"
)

// Machine is a deterministic state machine. Only the replica's goroutine calls its methods.
type Machine interface {
	// Apply executes the command at index and returns its result.
	Apply(index uint64, data []byte) any
	// Snapshot serializes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot serialized.
	Restore(data []byte) error
}

// Errors returned for proposals and reads.
var (
	// ErrNotLeader means that nothing was proposed, since this replica is not the leader.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrReplaced means that an entry of another leader took the index of the proposal, which
	// was not and will not be applied.
	ErrReplaced = errors.New("the proposal was replaced by another leader's entry")
	// ErrBusy means that nothing was proposed, since the queue is full.
	ErrBusy = errors.New("the replica's queue is full")
	// ErrStopped means that this replica can't report the outcome, since it has stopped or has
	// installed a snapshot in place of the entry. A proposal may still be applied.
	ErrStopped = errors.New("the replica has stopped")
)

// Options configures a replica.
type Options struct {
	ID                raft.ID
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SkipLeaseWait     bool // see raft.Options
	Folder            disk.Folder
	Machine           Machine
	Send              func(raft.Envelope) // must not block
	// Clock must advance while the host is suspended: the leader's lease depends on it, and so
	// do all leases that the leader renews.
	Clock func() time.Time
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery uint64
	Log           *zap.Logger
	Seed          uint64 // of the random election timeouts
}

// maxQueuedInputs is the capacity of the input queue.
const maxQueuedInputs = 4096

// tickInterval is the time between two calls of raft.Node.Tick.
const tickInterval = 25 * time.Millisecond

// Replica is one replica of the log. Open creates it and Run runs it.
type Replica struct {
	opts        Options
	node        *raft.Node
	log         *wal.Log
	inputs      chan input
	stopped     chan struct{}
	status      atomic.Pointer[raft.Status]
	commitSaver *commitIndexSaver

	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]*pendingRead
	lastReadID       uint64
}

// input is the sealed set of values that the queue carries to the replica's goroutine.
type input interface{ input() }

type (
	receivedMessage struct{ envelope raft.Envelope }
	proposal        struct {
		data    []byte
		members *raft.Membership
		done    chan proposalResult
	}
	readRequest     struct{ done chan readResult }
	transferRequest struct{ to raft.ID }
	inspectRequest  struct {
		fn   func()
		done chan struct{}
	}
)

func (receivedMessage) input() {}
func (proposal) input()        {}
func (readRequest) input()     {}
func (transferRequest) input() {}
func (inspectRequest) input()  {}

type proposalResult struct {
	value any
	err   error
}

// readResult is the result of ReadBarrier; applied is meaningless if err isn't nil.
type readResult struct {
	applied uint64
	err     error
}

// pendingProposal is a call that waits until the entry of its index, the key in
// Replica.pendingProposals, is applied. If that entry has another term, it replaced the
// proposal.
type pendingProposal struct {
	term uint64
	done chan proposalResult
}

// pendingRead is a call of ReadBarrier. Once confirmed, it waits until index has been applied.
type pendingRead struct {
	index     uint64
	confirmed bool
	done      chan readResult
}

// Initialize initializes the folder of a voter of a new log. It returns an error if the folder
// already contains a log.
func Initialize(folder disk.Folder, voters []raft.ID) error {
	log, state, err := wal.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	if state.Hard.Term > 0 || len(state.Snapshot.Members.Voters) > 0 {
		return errors.New("the folder already contains a log")
	}
	if err := log.Replace(raft.State{Snapshot: raft.Snapshot{Members: raft.Membership{Voters: voters}}}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(log.Close())
}

// Open reads the folder and returns a replica in the state that it contains.
func Open(opts Options) (*Replica, error) {
	log, state, err := wal.Open(opts.Folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(state.Snapshot.Data) > 0 {
		if err := opts.Machine.Restore(state.Snapshot.Data); err != nil {
			return nil, errors.Annotate(err, "restore the state machine from the stored snapshot")
		}
	}
	r := &Replica{
		opts: opts, log: log,
		inputs: make(chan input, maxQueuedInputs), stopped: make(chan struct{}),
		pendingProposals: make(map[uint64]pendingProposal), pendingReads: make(map[uint64]*pendingRead),
	}
	r.commitSaver, state.Commit = openCommitIndexSaver(opts.Folder, opts.Log)
	r.node = raft.New(raft.Options{
		ID: opts.ID, ElectionTimeout: opts.ElectionTimeout, HeartbeatInterval: opts.HeartbeatInterval, SkipLeaseWait: opts.SkipLeaseWait,
		Random: rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.ID)))),
	}, state, opts.Clock())
	r.publishStatus()
	return r, nil
}

// Run runs the replica until ctx is cancelled, and returns an error if it fails. Failed
// writes are retried. Run may be called once.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.log.Close()
	group := pool.New()
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { r.commitSaver.run(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// While the disk blocked this loop, the leader's messages had to wait here.
			r.handleQueued()
			r.node.Tick(r.opts.Clock())
		case in := <-r.inputs:
			r.handle(in)
			r.handleQueued()
		}
		if err := r.processReady(ctx); err != nil {
			return errors.Annotate(err, "replica")
		}
	}
}

// handleQueued handles all queued inputs, so that one sync makes the effects of many inputs
// durable.
func (r *Replica) handleQueued() {
	for range maxQueuedInputs {
		select {
		case in := <-r.inputs:
			r.handle(in)
		default:
			return
		}
	}
}

func (r *Replica) handle(in input) {
	switch in := in.(type) {
	case receivedMessage:
		r.node.Step(r.opts.Clock(), in.envelope)
	case proposal:
		r.propose(in)
	case readRequest:
		r.lastReadID++
		r.pendingReads[r.lastReadID] = &pendingRead{done: in.done}
		r.node.ReadIndex(r.opts.Clock(), r.lastReadID)
	case transferRequest:
		r.node.TransferLeadership(r.opts.Clock(), in.to)
	case inspectRequest:
		in.fn()
		close(in.done)
	}
}

func (r *Replica) propose(p proposal) {
	var index, term uint64
	var err error
	if p.members != nil {
		index, term, err = r.node.ProposeMembers(r.opts.Clock(), *p.members)
	} else {
		index, term, err = r.node.Propose(r.opts.Clock(), p.data)
	}
	if errors.Is(err, raft.ErrNotLeader) {
		err = ErrNotLeader
	}
	if err != nil {
		p.done <- proposalResult{err: err}
		return
	}
	if replaced, ok := r.pendingProposals[index]; ok {
		replaced.done <- proposalResult{err: ErrReplaced}
	}
	r.pendingProposals[index] = pendingProposal{term, p.done}
}

// processReady does the work that the node returns, until none is left.
func (r *Replica) processReady(ctx context.Context) error {
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			r.publishStatus()
			return nil
		}
		if r.node.Status().Role != raft.Leader {
			r.publishStatus() // what is sent may let another replica lead, while this one still publishes a lease
		}
		early, late := ready.SplitMessages()
		r.send(early)
		if ready.NeedsDisk() {
			if err := r.persistWithRetry(ctx, ready); err != nil {
				return err
			}
			r.resume(ready)
		}
		r.send(late)
		r.apply(ready.Committed)
		r.node.Advance(ready)
		r.completeReads(ready.Reads)
		if err := r.snapshotIfDue(); err != nil {
			return err
		}
		r.commitSaver.save(r.node.Status().Commit)
	}
}

// slowDiskTime is the time from which a write is logged as slow: the replica handles no
// heartbeat meanwhile.
const slowDiskTime = 250 * time.Millisecond

// resume tells the node that the disk blocked it until now.
func (r *Replica) resume(ready raft.Ready) {
	began := r.node.Now()
	now := r.opts.Clock()
	if took := now.Sub(began); took > slowDiskTime {
		r.opts.Log.Warn("disk is slow, elections and commands wait for it", zap.Duration("took", took), zap.Int("entries", len(ready.Entries)), zap.Bool("term_or_vote", ready.Hard != nil))
	}
	r.node.Resume(now)
}

func (r *Replica) send(all []raft.Envelope) {
	for _, e := range all {
		r.opts.Send(e)
	}
}

// diskRetryInterval is the wait before a failed write is retried.
const diskRetryInterval = 100 * time.Millisecond

// persistWithRetry retries until the disk accepts what must be durable. Meanwhile the
// replica sends nothing, so that the others elect another leader.
func (r *Replica) persistWithRetry(ctx context.Context, ready raft.Ready) error {
	failures := 0
	for {
		err := r.persist(ready)
		if err == nil {
			if failures > 0 {
				r.opts.Log.Info("disk accepts writes again", zap.Int("failures", failures))
			}
			return nil
		}
		if failures++; failures == 1 {
			r.opts.Log.Error("disk refuses writes", telemetry.ErrorField(err))
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(diskRetryInterval):
		}
	}
}

func (r *Replica) persist(ready raft.Ready) error {
	if ready.Install != nil {
		return r.install(*ready.Install)
	}
	return r.log.Save(ready.Hard, ready.Entries)
}

// install replaces the durable log and the state of the machine by a snapshot of the leader.
func (r *Replica) install(s raft.Snapshot) error {
	began := r.opts.Clock()
	if err := r.log.Replace(raft.State{Hard: r.node.Hard(), Snapshot: s, Entries: r.node.Entries()}); err != nil {
		return errors.Trace(err)
	}
	if err := r.opts.Machine.Restore(s.Data); err != nil {
		return errors.Annotate(err, "restore the state machine from the leader's snapshot")
	}
	r.failPendingProposals()
	r.opts.Log.Info("snapshot of the leader installed", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)), zap.Duration("took", r.opts.Clock().Sub(began)))
	return nil
}

// failPendingProposals fails all pending proposals: a snapshot has replaced their entries, so
// that this replica can't determine their outcome.
func (r *Replica) failPendingProposals() {
	for index, p := range r.pendingProposals {
		p.done <- proposalResult{err: ErrStopped}
		delete(r.pendingProposals, index)
	}
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		var result any
		switch e.Kind {
		case raft.EntryCommand:
			result = r.opts.Machine.Apply(e.Index, e.Data)
		case raft.EntryMembership:
			r.opts.Log.Info("membership changed", zap.Uint64("index", e.Index), zap.Strings("voters", raft.Strings(e.Members.Voters)), zap.Strings("learners", raft.Strings(e.Members.Learners)))
		}
		p, ok := r.pendingProposals[e.Index]
		if !ok {
			continue
		}
		delete(r.pendingProposals, e.Index)
		if p.term != e.Term {
			p.done <- proposalResult{err: ErrReplaced}
			continue
		}
		p.done <- proposalResult{value: result}
	}
}

// completeReads completes the reads that are confirmed and whose index has been applied, and
// the reads that have failed.
func (r *Replica) completeReads(ready []raft.ReadResult) {
	for _, confirmed := range ready {
		read := r.pendingReads[confirmed.ID]
		if read == nil {
			continue
		}
		if !confirmed.OK {
			read.done <- readResult{err: ErrNotLeader}
			delete(r.pendingReads, confirmed.ID)
			continue
		}
		read.index, read.confirmed = confirmed.Index, true
	}
	applied := r.node.Status().Applied
	for id, read := range r.pendingReads {
		if read.confirmed && read.index <= applied {
			read.done <- readResult{applied: applied}
			delete(r.pendingReads, id)
		}
	}
}

func (r *Replica) snapshotIfDue() error {
	status := r.node.Status()
	if status.Applied < status.Snapshot+r.opts.SnapshotEvery {
		return nil
	}
	// The snapshot is of the state machine's current state, so its index is the applied
	// index. Followers that need earlier entries receive the snapshot instead.
	data, err := r.opts.Machine.Snapshot()
	if err != nil {
		return errors.Annotate(err, "snapshot")
	}
	snapshot, ok := r.node.Compact(status.Applied, data)
	if !ok {
		return nil
	}
	r.opts.Log.Debug("snapshot", zap.Uint64("index", snapshot.Index), zap.Int("bytes", len(data)))
	if err := r.log.Replace(raft.State{Hard: r.node.Hard(), Snapshot: snapshot, Entries: r.node.Entries()}); err != nil {
		// The durable log keeps all its entries. The next snapshot is due after another
		// SnapshotEvery entries.
		r.opts.Log.Warn("snapshot not written, keeping the longer log", telemetry.ErrorField(err))
	}
	return nil
}

// publishStatus makes the current state available to Status and logs a change of the role or
// of the leader.
func (r *Replica) publishStatus() {
	status := r.node.Status()
	previous := r.status.Load()
	if previous != nil && (previous.Role != status.Role || previous.Leader != status.Leader) {
		r.opts.Log.Info("replica role or leader changed", zap.String("replica", string(status.ID)), zap.String("role", status.Role.String()), zap.Uint64("term", status.Term), zap.String("leader", string(status.Leader)))
	}
	r.status.Store(&status)
}
