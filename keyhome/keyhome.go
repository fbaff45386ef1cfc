// Package keyhome stores the idempotency keys of one home region in a replicated
// log (the key log), whose replicas run on the region's entry hosts and apply its
// commands to a once.Table. Client sends commands to the leader of a key log.
//
// Keys are partitioned by the member's home region. A region that is partitioned
// from the others can therefore still decide about its own members' calls, the
// recorded answer stays where the member's data may be stored, and no call waits
// for a wide-area round trip.
//
// A host without a disk also runs a replica and stores it in memory. After a
// restart, it joins with a new replica identity, which replaces the lost one.
package keyhome

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/voters"
)

// Timing of the key log. Its replicas are in one region, so its timeouts are
// shorter than those of the control log.
const (
	electionTimeout   = 900 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	snapshotEntries   = 8192 // log entries between two snapshots
)

// Options configures a Replica.
type Options struct {
	ID              raft.ID
	Folder          disk.Folder
	Send            func(raft.Envelope)
	VoterCandidates func() []voters.Candidate // lists the replicas of the region that may vote
	TargetVoters    int                       // target number of voters
	Log             *zap.Logger
	Seed            uint64
}

// Replica is this host's replica of its region's key log.
type Replica struct {
	replica         *replica.Replica
	machine         *machine
	voterReconciler *voters.Reconciler
}

// machine applies the log's JSON-encoded commands to the table. Only the replica's
// goroutine calls it; keyCount may be read by any.
type machine struct {
	table    *once.Table
	keyCount atomic.Int64
}

var _ replica.Machine = (*machine)(nil)

// Apply implements replica.Machine; its result is a once.Verdict.
func (m *machine) Apply(_ uint64, data []byte) any {
	var c once.Command
	if err := json.Unmarshal(data, &c); err != nil {
		return once.OutcomeUnknown{}
	}
	verdict := m.table.Apply(c)
	m.keyCount.Store(int64(m.table.Len()))
	return verdict
}

// Snapshot implements replica.Machine.
func (m *machine) Snapshot() ([]byte, error) { return m.table.Snapshot() }

// Restore implements replica.Machine.
func (m *machine) Restore(data []byte) error { return m.table.Restore(data) }

// Open opens the replica that is stored in opts.Folder. Run must be called to run it.
func Open(opts Options) (*Replica, error) {
	h := &Replica{machine: &machine{table: once.NewTable(once.MaxKeys)}}
	var err error
	h.replica, err = replica.Open(replica.Options{
		ID: opts.ID, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Folder: opts.Folder, Machine: h.machine,
		Send: opts.Send, Clock: steady.Time, SnapshotEvery: snapshotEntries, Log: opts.Log.Named("keys"), Seed: opts.Seed,
	})
	if err != nil {
		return nil, errors.Annotate(err, "open log of idempotency keys")
	}
	h.voterReconciler = voters.New(h.replica, opts.VoterCandidates, voters.Policy{TargetVoters: opts.TargetVoters, LostAfter: voters.DefaultLostAfter}, opts.Log.Named("keys"))
	return h, nil
}

// Run runs the replica until ctx ends. While the replica leads, Run also replaces lost
// voters.
func (h *Replica) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(h.replica.Run)
	group.Go(h.voterReconciler.Run)
	return group.Wait()
}

// Deliver passes a Raft message from a peer to the replica.
func (h *Replica) Deliver(e raft.Envelope) { h.replica.Deliver(e) }

// Status returns the Raft status of the replica.
func (h *Replica) Status() raft.Status { return h.replica.Status() }

// KeyCount returns the number of keys in the table.
func (h *Replica) KeyCount() int64 { return h.machine.keyCount.Load() }

// Reply is the result of a command. It encodes a once.Verdict in a form that net/rpc
// can carry, or redirects the caller to the leader.
type Reply struct {
	Leader   string // name of the leading host if NotLead is set, empty if unknown
	NotLead  bool
	Kind     Kind
	Recorded once.Answer
	Since    time.Time
}

// Kind is the type of a once.Verdict in a Reply.
type Kind uint8

// Kinds of verdicts. Their numbers are sent to other hosts.
const (
	KindProceed Kind = iota
	KindRecorded
	KindInProgress
	KindOutcomeUnknown
	KindConflict
	KindTableFull
)

// Propose proposes a command and returns its result. If this replica doesn't lead, it
// returns a Reply with NotLead set and proposes nothing.
func (h *Replica) Propose(ctx context.Context, c once.Command) (Reply, error) {
	c.At = time.Now().UTC()
	result, err := h.replica.ProposeJSON(ctx, c)
	if errors.Is(err, replica.ErrNotLeader) {
		return Reply{NotLead: true, Leader: voters.HostOf(h.replica.Status().Leader)}, nil
	}
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	return newReply(result.(once.Verdict)), nil
}

// newReply encodes a verdict.
func newReply(v once.Verdict) Reply {
	switch v := v.(type) {
	case once.Proceed:
		return Reply{Kind: KindProceed}
	case once.Recorded:
		return Reply{Kind: KindRecorded, Recorded: v.Answer}
	case once.InProgress:
		return Reply{Kind: KindInProgress, Since: v.Since}
	case once.Conflict:
		return Reply{Kind: KindConflict}
	case once.TableFull:
		return Reply{Kind: KindTableFull}
	default:
		return Reply{Kind: KindOutcomeUnknown}
	}
}

// Verdict decodes the verdict of a reply whose NotLead isn't set.
func (r Reply) Verdict() once.Verdict {
	switch r.Kind {
	case KindProceed:
		return once.Proceed{}
	case KindRecorded:
		return once.Recorded{Answer: r.Recorded}
	case KindInProgress:
		return once.InProgress{Since: r.Since}
	case KindConflict:
		return once.Conflict{}
	case KindTableFull:
		return once.TableFull{}
	default:
		return once.OutcomeUnknown{}
	}
}
