package replica_test

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
)

// counter is a state machine that counts the commands applied to it.
type counter struct{ applied atomic.Int64 }

func (c *counter) Apply(uint64, []byte) any { return c.applied.Add(1) }

func (c *counter) Snapshot() ([]byte, error) {
	return []byte(strconv.FormatInt(c.applied.Load(), 10)), nil
}

func (c *counter) Restore(data []byte) error {
	n, err := strconv.ParseInt(string(data), 10, 64)
	c.applied.Store(n)
	return err
}

// startReplica opens and runs a replica. The returned function stops it and waits for its end.
func startReplica(t *testing.T, id raft.ID, folder disk.Folder) (*replica.Replica, *counter, func()) {
	t.Helper()
	machine := &counter{}
	r, err := replica.Open(replica.Options{
		ID: id, ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 25 * time.Millisecond, Folder: folder, Machine: machine,
		Send: func(raft.Envelope) {}, Clock: time.Now, SnapshotEvery: 1000, Log: zap.NewNop(), Seed: 1,
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = r.Run(ctx) })
	return r, machine, func() {
		cancel()
		group.Wait()
	}
}

// eventually waits for a condition and fails the test if it isn't met within 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not within 5 s", what)
}

// proposeWithRetry proposes a command until one is applied, which requires an elected leader.
func proposeWithRetry(t *testing.T, r *replica.Replica) {
	t.Helper()
	eventually(t, "proposal", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := r.Propose(ctx, []byte("x"))
		return err == nil
	})
}

// TestAppliesCommittedEntriesWithoutLeader restarts a replica that can't get a leader. It must
// apply its log up to the stored commit index.
func TestAppliesCommittedEntriesWithoutLeader(t *testing.T) {
	folder := disk.NewMemory()
	must.NoError(t, replica.Initialize(folder, []raft.ID{"a#1"}))
	r, _, stop := startReplica(t, "a#1", folder)
	for range 5 {
		proposeWithRetry(t, r)
	}
	eventually(t, "mark", func() bool {
		names, err := folder.Names()
		return err == nil && len(names) >= 2
	})
	time.Sleep(300 * time.Millisecond) // the commit index is written asynchronously
	stop()
	folder.Crash(0)

	// Under an ID that isn't a voter, the replica can't become leader.
	_, machine, stop := startReplica(t, "b#1", folder)
	defer stop()
	eventually(t, "committed entries applied", func() bool { return machine.applied.Load() == 5 })
}

// cluster is three replicas that exchange messages in memory. Each has a clock of its own.
type cluster struct {
	replicas     []*replica.Replica
	clockOffsets []atomic.Int64 // nanoseconds by which each replica's clock is ahead
	isolated     atomic.Int64   // index of the replica whose messages are dropped in both directions; -1 for none
	delay        atomic.Int64   // nanoseconds from sending a message to its delivery
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterThat(t, func(raft.Envelope) {})
}

// newClusterThat is newCluster for a cluster that calls observe before it sends a message.
func newClusterThat(t *testing.T, observe func(raft.Envelope)) *cluster {
	t.Helper()
	return newClusterOf(t, observe, 1000, func() replica.Machine { return &counter{} })
}

// newClusterOf is newClusterThat for other state machines, of which each replica writes a
// snapshot after snapshotEvery entries.
func newClusterOf(t *testing.T, observe func(raft.Envelope), snapshotEvery uint64, newMachine func() replica.Machine) *cluster {
	t.Helper()
	ids := []raft.ID{"a", "b", "c"}
	c := &cluster{clockOffsets: make([]atomic.Int64, len(ids))}
	c.isolated.Store(-1)
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	for i, id := range ids {
		folder := disk.NewMemory()
		must.NoError(t, replica.Initialize(folder, ids))
		r, err := replica.Open(replica.Options{
			ID: id, ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 25 * time.Millisecond, Folder: folder, Machine: newMachine(),
			Send: func(e raft.Envelope) {
				observe(e)
				c.deliver(i, slices.Index(ids, e.To), e)
			},
			Clock: func() time.Time { return time.Now().Add(time.Duration(c.clockOffsets[i].Load())) }, SnapshotEvery: snapshotEvery, Log: zap.NewNop(), Seed: uint64(i),
		})
		must.NoError(t, err)
		c.replicas = append(c.replicas, r)
	}
	for _, r := range c.replicas {
		group.Go(func() { _ = r.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

func (c *cluster) deliver(from, to int, e raft.Envelope) {
	if delay := c.delay.Load(); delay > 0 {
		time.AfterFunc(time.Duration(delay), func() { c.deliverNow(from, to, e) })
		return
	}
	c.deliverNow(from, to, e)
}

func (c *cluster) deliverNow(from, to int, e raft.Envelope) {
	if isolated := int(c.isolated.Load()); from != isolated && to != isolated {
		c.replicas[to].Deliver(e)
	}
}

// waitForLeader waits until a replica that isn't isolated is leader, and returns its index.
func (c *cluster) waitForLeader(t *testing.T) int {
	t.Helper()
	index := -1
	eventually(t, "leader", func() bool {
		index = slices.IndexFunc(c.replicas, func(r *replica.Replica) bool {
			s := r.Status()
			return s.Role == raft.Leader && !s.Lease.IsZero()
		})
		return index >= 0 && index != int(c.isolated.Load())
	})
	return index
}

// TestSuspendedLeaderLosesLease suspends a leader while the others elect a new one. A clock
// that stands still during the suspension would leave it its old lease after the resume,
// and it would renew leases under an old configuration.
func TestSuspendedLeaderLosesLease(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader(t)
	c.isolated.Store(int64(first))
	c.clockOffsets[first].Store(int64(time.Hour))
	status := c.replicas[first].Status()
	must.False(t, time.Now().Add(time.Hour).Before(status.Lease))
	eventually(t, "the old leader steps down", func() bool { return c.replicas[first].Status().Role != raft.Leader })
	must.NotEq(t, first, c.waitForLeader(t))
}

// TestIgnoresTornCommitIndexFile starts a replica whose commit index files were written only in
// part before a crash.
func TestIgnoresTornCommitIndexFile(t *testing.T) {
	folder := disk.NewMemory()
	must.NoError(t, replica.Initialize(folder, []raft.ID{"a#1"}))
	for _, name := range []string{"commit-a", "commit-b"} {
		file, err := folder.Create(name)
		must.NoError(t, err)
		_, err = file.Write([]byte{9, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3})
		must.NoError(t, err)
	}
	r, _, stop := startReplica(t, "a#1", folder)
	defer stop()
	proposeWithRetry(t, r)
}

// TestRetriesUntilDiskAcceptsWrites proposes while the disk is full. The replica must resume
// once the disk accepts writes again.
func TestRetriesUntilDiskAcceptsWrites(t *testing.T) {
	folder := disk.NewMemory()
	must.NoError(t, replica.Initialize(folder, []raft.ID{"a#1"}))
	r, machine, stop := startReplica(t, "a#1", folder)
	defer stop()
	proposeWithRetry(t, r)
	folder.SetFull(true)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := r.Propose(ctx, []byte("y"))
	must.Error(t, err)
	must.Eq(t, 1, machine.applied.Load())
	folder.SetFull(false)
	proposeWithRetry(t, r)
	eventually(t, "commands applied after the disk accepts writes", func() bool { return machine.applied.Load() >= 2 })
}

// TestTransferEndsLeaseBeforeItIsSent guards against two leaders that renew leases: the next
// leader may win as soon as it is asked to, while the former one still publishes its lease.
func TestTransferEndsLeaseBeforeItIsSent(t *testing.T) {
	var sending atomic.Pointer[func(raft.Envelope)]
	c := newClusterThat(t, func(e raft.Envelope) {
		if observe := sending.Load(); observe != nil {
			(*observe)(e)
		}
	})
	first := c.waitForLeader(t)
	var sent, held atomic.Bool
	observe := func(e raft.Envelope) {
		if _, ok := e.Message.(raft.TimeoutNow); ok {
			held.Store(!c.replicas[first].Status().Lease.IsZero())
			sent.Store(true)
		}
	}
	sending.Store(&observe)
	eventually(t, "the leadership is transferred", func() bool {
		c.replicas[first].TransferLeadership([]raft.ID{"a", "b", "c"}[(first+1)%3])
		return sent.Load()
	})
	must.False(t, held.Load(), must.Sprint("the lease must have ended"))
}
