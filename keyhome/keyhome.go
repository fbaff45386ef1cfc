// Package keyhome runs the home of the idempotency keys of one region: a
// replicated log of its own among the region's entry hosts, which drives a
// once.Table.
//
// Keys are partitioned by the member's home region. A region that is cut off so
// keeps deciding about its own members' calls, the record of an answer stays
// where the member's data may be, and one region's calls don't wait for a wide
// area round trip. A host without a disk takes part as well: it keeps its
// replica in memory, and after a restart comes back under a new identity that
// takes the lost one's place.
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

// Timing of the log. Its replicas stand in one region, so it is tighter than
// the control log's.
const (
	election      = 900 * time.Millisecond
	heartbeat     = 200 * time.Millisecond
	snapshotEvery = 8192
)

// Options shapes a Home.
type Options struct {
	ID     raft.ID
	Folder disk.Folder
	Send   func(raft.Envelope)
	Spares func() []voters.Spare // the region's replicas
	Voters int                   // wanted
	Log    *zap.Logger
	Seed   uint64
}

// Home is one host's part. Open makes one.
type Home struct {
	replica *replica.Replica
	table   *machine
	keeper  *voters.Keeper
}

// machine drives the table. It belongs to the replica's goroutine.
type machine struct {
	table *once.Table
	keys  atomic.Int64
}

var _ replica.Machine = (*machine)(nil)

// Apply implements replica.Machine; its result is a once.Verdict.
func (m *machine) Apply(_ uint64, data []byte) any {
	var c once.Command
	if err := json.Unmarshal(data, &c); err != nil {
		return once.Unknown{}
	}
	verdict := m.table.Apply(c)
	m.keys.Store(int64(m.table.Len()))
	return verdict
}

// Snapshot implements replica.Machine.
func (m *machine) Snapshot() ([]byte, error) { return m.table.Snapshot() }

// Restore implements replica.Machine.
func (m *machine) Restore(data []byte) error { return m.table.Restore(data) }

// Open opens the replica.
func Open(opts Options) (*Home, error) {
	h := &Home{table: &machine{table: once.NewTable(once.MaxKeys)}}
	var err error
	h.replica, err = replica.Open(replica.Options{
		ID: opts.ID, ElectionTimeout: election, HeartbeatInterval: heartbeat, Folder: opts.Folder, Machine: h.table,
		Send: opts.Send, Clock: steady.Time, SnapshotEvery: snapshotEvery, Log: opts.Log.Named("keys"), Seed: opts.Seed,
	})
	if err != nil {
		return nil, errors.Annotate(err, "log of keys")
	}
	h.keeper = voters.New(h.replica, opts.Spares, voters.Policy{Wanted: opts.Voters, LostAfter: voters.DefaultLostAfter}, opts.Log.Named("keys"))
	return h, nil
}

// Run runs the replica until ctx ends.
func (h *Home) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	group.Go(h.replica.Run)
	group.Go(h.keeper.Run)
	return group.Wait()
}

// Deliver takes a message for the replica.
func (h *Home) Deliver(e raft.Envelope) { h.replica.Deliver(e) }

// Status gives the state of the replica.
func (h *Home) Status() raft.Status { return h.replica.Status() }

// Keys gives the number of keys kept.
func (h *Home) Keys() int64 { return h.table.keys.Load() }

// Reply is the answer to a command, in the form that net/rpc can carry.
type Reply struct {
	Leader   string // where NotLeader is set; a host's name or empty
	NotLead  bool
	Kind     Kind
	Recorded once.Answer
	Since    time.Time
}

// Kind names a verdict.
type Kind uint8

// The kinds.
const (
	KindRun Kind = iota
	KindRecorded
	KindInProgress
	KindUnknown
	KindConflict
	KindFull
)

// Do carries out a command at the leader.
func (h *Home) Do(ctx context.Context, c once.Command) (Reply, error) {
	c.At = time.Now().UTC()
	result, err := h.replica.ProposeJSON(ctx, c)
	if errors.Is(err, replica.ErrNotLeader) {
		return Reply{NotLead: true, Leader: voters.HostOf(h.replica.Status().Leader)}, nil
	}
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	return replyOf(result.(once.Verdict)), nil
}

func replyOf(v once.Verdict) Reply {
	switch v := v.(type) {
	case once.Run:
		return Reply{Kind: KindRun}
	case once.Recorded:
		return Reply{Kind: KindRecorded, Recorded: v.Answer}
	case once.InProgress:
		return Reply{Kind: KindInProgress, Since: v.Since}
	case once.Conflict:
		return Reply{Kind: KindConflict}
	case once.Full:
		return Reply{Kind: KindFull}
	default:
		return Reply{Kind: KindUnknown}
	}
}

// Verdict gives the verdict of a reply.
func (r Reply) Verdict() once.Verdict {
	switch r.Kind {
	case KindRun:
		return once.Run{}
	case KindRecorded:
		return once.Recorded{Answer: r.Recorded}
	case KindInProgress:
		return once.InProgress{Since: r.Since}
	case KindConflict:
		return once.Conflict{}
	case KindFull:
		return once.Full{}
	default:
		return once.Unknown{}
	}
}
