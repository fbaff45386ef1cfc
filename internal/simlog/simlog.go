// Package simlog simulates the replicas of one Raft log in virtual time, for tests.
//
// A replica combines raft.Node, wal.Log on a disk that loses unsynced writes in a crash,
// and a state machine. It saves, sends and applies in the same order as package replica.
// The simulated network delays messages, loses them and can be partitioned. All random
// choices come from one seed, so a seed determines the whole history.
package simlog

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/wal"
)

// Machine is a replicated state machine, with the methods that package replica uses.
type Machine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options configures a cluster.
type Options struct {
	Seed          uint64
	Voters        int
	NonMembers    int // replicas that are not members at first
	Election      time.Duration
	Heartbeat     time.Duration
	NoLease       bool          // see raft.Options
	Delay         time.Duration // minimum one-way delay; a message takes up to twice as long
	Loss          float64
	SnapshotEvery uint64
	New           func() Machine
	// SyncTime is how long a replica takes on average to make something durable, at least
	// half and at most one and a half times as long. Meanwhile it handles nothing, as one of
	// package replica.
	SyncTime time.Duration
}

// tickInterval is how far one step advances the time.
const tickInterval = 5 * time.Millisecond

// Cluster is a set of replicas, the network between them and the virtual clock. It is not
// safe for concurrent use.
type Cluster struct {
	Opts        Options
	Random      *rand.Rand
	Now         time.Time
	Nodes       []*Node
	queue       messages
	sequence    int
	partitioned map[[2]int]bool
	stalled     bool
}

// Node is one replica, with its disk and the proposals and reads that wait for it.
type Node struct {
	Index   int
	ID      raft.ID
	Raft    *raft.Node
	Machine Machine
	Up      bool
	Paused  bool

	folder      *disk.Memory
	log         *wal.Log
	proposals   map[uint64]proposal
	reads       map[uint64]*PendingRead
	nextID      uint64
	incarnation int
	savedCommit uint64 // last commit index saved beside the log
	syncing     *raft.Ready
	syncedAt    time.Time // when syncing becomes durable
}

type proposal struct {
	term uint64
	done func(result any, err error)
}

// PendingRead is a linearizable read that hasn't completed.
type PendingRead struct {
	index uint64
	ready bool
	done  func(ok bool)
}

// New returns a cluster with its replicas started. The first Voters replicas are voters.
func New(opts Options) *Cluster {
	c := &Cluster{
		Opts: opts, Random: rand.New(rand.NewPCG(opts.Seed, 7)),
		Now: time.Unix(1_700_000_000, 0), partitioned: map[[2]int]bool{},
	}
	var voters []raft.ID
	for i := range opts.Voters {
		voters = append(voters, id(i, 1))
	}
	for i := range opts.Voters + opts.NonMembers {
		n := &Node{Index: i, ID: id(i, 1), folder: disk.NewMemory(), incarnation: 1}
		if i < opts.Voters {
			log, _, err := wal.Open(n.folder)
			must(err)
			must(log.Replace(raft.State{Snapshot: raft.Snapshot{Members: raft.Membership{Voters: voters}}}))
		}
		c.Nodes = append(c.Nodes, n)
		c.Start(n)
	}
	return c
}

func id(i, incarnation int) raft.ID { return raft.ID(fmt.Sprintf("h%d#%d", i, incarnation)) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Start starts a replica from the state on its disk.
func (c *Cluster) Start(n *Node) {
	log, state, err := wal.Open(n.folder)
	must(err)
	n.Machine = c.Opts.New()
	if len(state.Snapshot.Data) > 0 {
		must(n.Machine.Restore(state.Snapshot.Data))
	}
	n.log = log
	state.Commit = n.savedCommit
	n.proposals, n.reads = map[uint64]proposal{}, map[uint64]*PendingRead{}
	n.Raft = raft.New(raft.Options{
		ID: n.ID, ElectionTimeout: c.Opts.Election, HeartbeatInterval: c.Opts.Heartbeat, SkipLeaseWait: c.Opts.NoLease,
		Random: rand.New(rand.NewPCG(c.Random.Uint64(), 3)),
	}, state, c.Now)
	n.Up, n.Paused, n.syncing = true, false, nil
}

// Crash stops a replica immediately. Its disk loses the bytes that were not synced,
// except for up to maxTorn of them. Pending proposals and reads fail.
func (c *Cluster) Crash(n *Node, maxTorn int) {
	n.Up = false
	n.folder.Crash(maxTorn)
	for _, p := range n.proposals {
		p.done(nil, errCrashed)
	}
	for _, r := range n.reads {
		r.done(false)
	}
	n.proposals, n.reads = nil, nil
}

type crashError struct{}

func (crashError) Error() string { return "the replica crashed" }

var errCrashed = crashError{}

// LoseDisk crashes a replica and deletes its folder. It restarts with a new ID, as a
// replica that lost its log must not vote under the ID of the old one.
func (c *Cluster) LoseDisk(n *Node) {
	c.Crash(n, 0)
	n.folder.RemoveAll()
	n.savedCommit = 0
	n.incarnation++
	n.ID = id(n.Index, n.incarnation)
}

// SetPartitioned partitions or reconnects the link from a to b, in this direction only.
func (c *Cluster) SetPartitioned(a, b int, partitioned bool) {
	c.partitioned[[2]int{a, b}] = partitioned
}

// SetStalled stalls the network between all replicas, or ends the stall. What was sent
// meanwhile then arrives, in its order.
func (c *Cluster) SetStalled(stalled bool) { c.stalled = stalled }

// Isolate partitions a replica from all others: in drops the messages to it, and out
// those from it. A direction that is false is reconnected.
func (c *Cluster) Isolate(n int, in, out bool) {
	for i := range c.Nodes {
		c.SetPartitioned(i, n, in)
		c.SetPartitioned(n, i, out)
	}
}

// InjectFault injects one random fault or recovers from one. It prefers the leader in half of
// the cases.
func (c *Cluster) InjectFault() {
	r := c.Random
	n := c.Nodes[r.IntN(len(c.Nodes))]
	if leader := c.Leader(); leader != nil && r.Float64() < 0.5 {
		n = leader
	}
	switch r.IntN(8) {
	case 0:
		if n.Up {
			c.Crash(n, r.IntN(200))
		}
	case 1, 2:
		if !n.Up {
			c.Start(n)
		}
	case 3:
		n.Paused = !n.Paused
	case 4:
		n.Paused = false
	case 5: // drops what it sends, and in half of the cases what it receives
		c.Isolate(n.Index, r.Float64() < 0.5, true)
	case 6, 7:
		c.Isolate(n.Index, false, false)
	}
}

// Recover starts, resumes and reconnects all replicas, so that a history also covers the
// recovery from the faults.
func (c *Cluster) Recover() {
	for _, n := range c.Nodes {
		if !n.Up {
			c.Start(n)
		}
		n.Paused = false
		c.Isolate(n.Index, false, false)
	}
}

// Leader returns the leader of the highest term, or nil if no running replica is a leader.
func (c *Cluster) Leader() *Node {
	var leader *Node
	for _, n := range c.Nodes {
		if n.Up && n.Raft.Status().Role == raft.Leader && (leader == nil || n.Raft.Status().Term > leader.Raft.Status().Term) {
			leader = n
		}
	}
	return leader
}

// Run advances the virtual time by d, step by step.
func (c *Cluster) Run(d time.Duration) {
	for until := c.Now.Add(d); c.Now.Before(until); {
		c.Step()
	}
}

// Step advances the virtual time by one tickInterval: it delivers the messages that are
// due and ticks each replica that is neither down nor paused.
func (c *Cluster) Step() {
	c.Now = c.Now.Add(tickInterval)
	for len(c.queue) > 0 && !c.queue[0].deliverAt.After(c.Now) {
		m := heap.Pop(&c.queue).(message)
		n := c.Nodes[m.to]
		switch {
		case n.Paused || c.stalled || n.syncing != nil:
			m.deliverAt = c.Now.Add(tickInterval) // the kernel buffers what a paused process receives
			heap.Push(&c.queue, m)
		case n.Up:
			n.Raft.Step(c.Now, m.envelope)
			c.processReady(n)
		}
	}
	for _, n := range c.Nodes {
		if !n.Up || n.Paused {
			continue
		}
		c.finishSync(n)
		if n.syncing == nil {
			n.Raft.Tick(c.Now)
			c.processReady(n)
		}
	}
}

// Propose proposes a command at a replica. done is called at most once, with the result
// of the state machine, or with an error if the replica rejects the proposal, another
// entry is committed at its index, or the replica crashes.
func (c *Cluster) Propose(n *Node, data []byte, done func(result any, err error)) {
	index, term, err := n.Raft.Propose(c.Now, data)
	if err != nil {
		done(nil, err)
		return
	}
	n.proposals[index] = proposal{term, done}
	c.processReady(n)
}

// Read starts a linearizable read at a replica. done(true) is called once the replica's
// state machine is recent enough to be read, done(false) if the read fails or the replica
// crashes.
func (c *Cluster) Read(n *Node, done func(ok bool)) {
	n.nextID++
	n.reads[n.nextID] = &PendingRead{done: done}
	n.Raft.ReadIndex(c.Now, n.nextID)
	c.processReady(n)
}

func (c *Cluster) processReady(n *Node) {
	for n.syncing == nil {
		ready := n.Raft.Ready()
		if ready.Empty() {
			return
		}
		early, late := ready.SplitMessages()
		c.sendAll(n.Index, early)
		ready.Messages = late
		if c.Opts.SyncTime > 0 && ready.NeedsDisk() {
			n.syncing, n.syncedAt = &ready, c.Now.Add(c.Opts.SyncTime/2+time.Duration(c.Random.Int64N(int64(c.Opts.SyncTime))))
			return
		}
		c.finishReady(n, ready)
	}
}

// finishSync does what was to be done after a sync that has ended by now.
func (c *Cluster) finishSync(n *Node) {
	if n.syncing == nil || c.Now.Before(n.syncedAt) {
		return
	}
	ready := *n.syncing
	n.syncing = nil
	n.Raft.Resume(c.Now)
	c.finishReady(n, ready)
	c.processReady(n)
}

func (c *Cluster) finishReady(n *Node, ready raft.Ready) {
	if ready.Install != nil {
		must(n.Machine.Restore(ready.Install.Data))
		must(n.log.Replace(raft.State{Hard: n.Raft.Hard(), Snapshot: *ready.Install, Entries: n.Raft.Entries()}))
	} else {
		must(n.log.Save(ready.Hard, ready.Entries))
	}
	c.sendAll(n.Index, ready.Messages)
	c.apply(n, ready.Committed)
	n.Raft.Advance(ready)
	c.completeReads(n, ready.Reads)
	c.maybeSnapshot(n)
	if c.Random.Float64() < commitSaveProbability {
		n.savedCommit = n.Raft.Status().Commit
	}
}

// commitSaveProbability is the probability that a replica saves its commit index after a
// round of work. Otherwise it restarts with an older one after a crash.
const commitSaveProbability = 0.5

func (c *Cluster) apply(n *Node, entries []raft.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == raft.EntryCommand {
			result = n.Machine.Apply(e.Index, e.Data)
		}
		if p, ok := n.proposals[e.Index]; ok {
			delete(n.proposals, e.Index)
			if p.term != e.Term {
				p.done(nil, raft.ErrNotLeader)
				continue
			}
			p.done(result, nil)
		}
	}
}

func (c *Cluster) completeReads(n *Node, ready []raft.ReadResult) {
	for _, r := range ready {
		if !r.OK {
			n.reads[r.ID].done(false)
			delete(n.reads, r.ID)
			continue
		}
		n.reads[r.ID].index, n.reads[r.ID].ready = r.Index, true
	}
	var ids []uint64
	for id, r := range n.reads {
		if r.ready && r.index <= n.Raft.Status().Applied {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		n.reads[id].done(true)
		delete(n.reads, id)
	}
}

func (c *Cluster) maybeSnapshot(n *Node) {
	status := n.Raft.Status()
	if c.Opts.SnapshotEvery == 0 || status.Applied < status.Snapshot+c.Opts.SnapshotEvery {
		return
	}
	data, err := n.Machine.Snapshot()
	must(err)
	if s, ok := n.Raft.Compact(status.Applied, data); ok {
		must(n.log.Replace(raft.State{Hard: n.Raft.Hard(), Snapshot: s, Entries: n.Raft.Entries()}))
	}
}

func (c *Cluster) sendAll(from int, all []raft.Envelope) {
	for _, e := range all {
		c.send(from, e)
	}
}

func (c *Cluster) send(from int, e raft.Envelope) {
	to := -1
	for _, n := range c.Nodes {
		if n.ID == e.To {
			to = n.Index
		}
	}
	if to < 0 || c.partitioned[[2]int{from, to}] || c.Random.Float64() < c.Opts.Loss {
		return
	}
	c.sequence++
	delay := c.Opts.Delay + time.Duration(c.Random.Int64N(int64(c.Opts.Delay)+1))
	heap.Push(&c.queue, message{c.Now.Add(delay), c.sequence, to, e})
}

type message struct {
	deliverAt time.Time
	sequence  int
	to        int
	envelope  raft.Envelope
}

// messages implements heap.Interface, ordered by time of delivery and then by order of
// sending.
type messages []message

func (m messages) Len() int { return len(m) }

func (m messages) Less(i, j int) bool {
	if !m[i].deliverAt.Equal(m[j].deliverAt) {
		return m[i].deliverAt.Before(m[j].deliverAt)
	}
	return m[i].sequence < m[j].sequence
}

func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

func (m *messages) Push(x any) { *m = append(*m, x.(message)) }

func (m *messages) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}
