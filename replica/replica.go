// Package replica runs one replica of a replicated log: a raft.Node, its
// durable log and a state machine, in one goroutine that everything else
// reaches through a bounded ring.
//
// The order of the duties in each turn is what makes it safe: first what must
// be durable is saved and synced, then messages are sent, then committed
// entries are applied, then those who wait are told.
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

// Machine is a deterministic state machine. It is only called from the
// replica's goroutine.
type Machine interface {
	// Apply carries out a command and gives its result.
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Errors of proposals and reads.
var (
	// ErrNotLeader says that nothing was proposed: another replica leads.
	ErrNotLeader = errors.New("this replica doesn't lead")
	// ErrReplaced says that another entry took the proposal's place: it was
	// not and will not be applied.
	ErrReplaced = errors.New("the proposal was replaced by another leader's")
	// ErrBusy says that nothing was proposed: the ring is full.
	ErrBusy = errors.New("the replica has too much to do")
	// ErrStopped says that the replica has ended; a proposal may be applied
	// all the same.
	ErrStopped = errors.New("the replica has stopped")
)

// Options shapes a replica.
type Options struct {
	ID        raft.ID
	Election  time.Duration
	Heartbeat time.Duration
	NoLease   bool // see raft.Options
	Folder    disk.Folder
	Machine   Machine
	Send      func(raft.Envelope) // must not block
	// Clock must go on while the machine is suspended: the leader's lease rests on it, and
	// with it all leases that the leader renews.
	Clock func() time.Time
	// SnapshotEvery is after how many entries a snapshot is made.
	SnapshotEvery uint64
	Log           *zap.Logger
	Seed          uint64
}

// maxQueuedInputs bounds the inputs that wait.
const maxQueuedInputs = 4096

// tickInterval is how often the node is told the time.
const tickInterval = 25 * time.Millisecond

// Replica is one replica. Open makes one; Run runs it.
type Replica struct {
	opts   Options
	node   *raft.Node
	log    *wal.Log
	inputs   chan input
	stopped  chan struct{}
	status atomic.Pointer[raft.Status]
	commitSaver *commitIndexSaver

	pendingProposals map[uint64]pendingProposal
	pendingReads   map[uint64]*pendingRead
	lastReadID  uint64
}

// input is the sealed set of what reaches the goroutine through the ring.
type input interface{ input() }

type (
	receivedMessage  struct{ envelope raft.Envelope }
	proposal struct {
		data    []byte
		members *raft.Membership
		done    chan proposalResult
	}
	readRequest  struct{ done chan error }
	transferRequest struct{ to raft.ID }
	inspectRequest  struct {
		fn   func()
		done chan struct{}
	}
)

func (receivedMessage) input()  {}
func (proposal) input() {}
func (readRequest) input()  {}
func (transferRequest) input() {}
func (inspectRequest) input()  {}

type proposalResult struct {
	result any
	err    error
}

type pendingProposal struct {
	term uint64
	done chan proposalResult
}

type pendingRead struct {
	index uint64
	confirmed bool
	done  chan error
}

// Form writes the first state of a voter of a new log. The folder must be
// empty.
func Form(folder disk.Folder, voters []raft.ID) error {
	log, state, err := wal.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	if state.Hard.Term > 0 || len(state.Snapshot.Members.Voters) > 0 {
		return errors.New("the folder holds a log already")
	}
	if err := log.Replace(raft.State{Snapshot: raft.Snapshot{Members: raft.Membership{Voters: voters}}}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(log.Close())
}

// Open reads the folder and makes the replica.
func Open(opts Options) (*Replica, error) {
	log, state, err := wal.Open(opts.Folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(state.Snapshot.Data) > 0 {
		if err := opts.Machine.Restore(state.Snapshot.Data); err != nil {
			return nil, errors.Annotate(err, "restore the snapshot")
		}
	}
	r := &Replica{
		opts: opts, log: log,
		inputs: make(chan input, maxQueuedInputs), stopped: make(chan struct{}),
		pendingProposals: make(map[uint64]pendingProposal), pendingReads: make(map[uint64]*pendingRead),
	}
	r.commitSaver, state.Commit = openCommitIndexSaver(opts.Folder, opts.Log)
	r.node = raft.New(raft.Options{
		ID: opts.ID, Election: opts.Election, Heartbeat: opts.Heartbeat, NoLease: opts.NoLease,
		Random: rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.ID)))),
	}, state, opts.Clock())
	r.publishStatus()
	return r, nil
}

// Run runs the replica until ctx ends, or its disk fails.
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

// handleQueued takes what else waits, so that one sync serves many inputs.
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
		r.node.Read(r.opts.Clock(), r.lastReadID)
	case transferRequest:
		r.node.Transfer(r.opts.Clock(), in.to)
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

// processReady does what the node asks, until there is nothing left.
func (r *Replica) processReady(ctx context.Context) error {
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			r.publishStatus()
			return nil
		}
		if err := r.persistWithRetry(ctx, ready); err != nil {
			return err
		}
		for _, e := range ready.Messages {
			r.opts.Send(e)
		}
		r.apply(ready.Committed)
		r.node.Done(ready)
		r.completeReads(ready.Reads)
		if err := r.snapshotIfDue(); err != nil {
			return err
		}
		r.commitSaver.save(r.node.Status().Commit)
	}
}

// diskRetryInterval is the wait before a write is tried again that the disk refused.
const diskRetryInterval = 100 * time.Millisecond

// persistWithRetry tries until the disk takes what must be durable. Meanwhile
// this replica sends nothing, so that the others take it for gone and find
// another leader.
func (r *Replica) persistWithRetry(ctx context.Context, ready raft.Ready) error {
	failures := 0
	for {
		err := r.persist(ready)
		if err == nil {
			if failures > 0 {
				r.opts.Log.Info("disk takes writes again", zap.Int("failures", failures))
			}
			return nil
		}
		if failures++; failures == 1 {
			r.opts.Log.Error("disk refuses writes", telemetry.Cause(err))
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
		if err := r.log.Replace(raft.State{Hard: r.node.Hard(), Snapshot: *ready.Install, Entries: r.node.Entries()}); err != nil {
			return errors.Trace(err)
		}
		if err := r.opts.Machine.Restore(ready.Install.Data); err != nil {
			return errors.Annotate(err, "restore a snapshot from the leader")
		}
		r.failPendingProposals()
		return nil
	}
	return r.log.Save(ready.Hard, ready.Entries)
}

// failPendingProposals tells those who wait that their outcome can't be seen here.
func (r *Replica) failPendingProposals() {
	for index, p := range r.pendingProposals {
		p.done <- proposalResult{err: ErrStopped}
		delete(r.pendingProposals, index)
	}
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == raft.EntryCommand {
			result = r.opts.Machine.Apply(e.Index, e.Data)
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
		p.done <- proposalResult{result: result}
	}
}

// completeReads tells those reads whose index has been applied.
func (r *Replica) completeReads(ready []raft.Read) {
	for _, confirmed := range ready {
		read := r.pendingReads[confirmed.ID]
		if read == nil {
			continue
		}
		if !confirmed.OK {
			read.done <- ErrNotLeader
			delete(r.pendingReads, confirmed.ID)
			continue
		}
		read.index, read.confirmed = confirmed.Index, true
	}
	applied := r.node.Status().Applied
	for id, read := range r.pendingReads {
		if read.confirmed && read.index <= applied {
			read.done <- nil
			delete(r.pendingReads, id)
		}
	}
}

func (r *Replica) snapshotIfDue() error {
	status := r.node.Status()
	if status.Applied < status.Snapshot+r.opts.SnapshotEvery {
		return nil
	}
	// The snapshot must be of the state that the machine has now, so it
	// stands at the applied index; followers that need earlier entries get
	// the snapshot.
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
		// The log stays as long as it was; the next snapshot is tried later.
		r.opts.Log.Warn("snapshot not written", telemetry.Cause(err))
	}
	return nil
}

// publishStatus lets Status see the newest state, and logs changes of role.
func (r *Replica) publishStatus() {
	status := r.node.Status()
	previous := r.status.Load()
	if previous != nil && (previous.Role != status.Role || previous.Leader != status.Leader) {
		r.opts.Log.Info("control role", zap.String("replica", string(status.ID)), zap.String("role", status.Role.String()), zap.Uint64("term", status.Term), zap.String("leader", string(status.Leader)))
	}
	r.status.Store(&status)
}
