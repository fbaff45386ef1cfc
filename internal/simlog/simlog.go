// Package simlog runs the replicas of one log in virtual time, for tests.
//
// It joins raft.Node, wal.Log on a disk that forgets what was not synced, and a
// state machine, in the order of duties of package replica; the network between
// them delays, loses and cuts by a seeded random number. One seed gives one
// history.
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

// Machine is a state machine as package replica knows it.
type Machine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options shapes a cluster.
type Options struct {
	Seed          uint64
	Voters        int
	Spares        int // replicas that are not members at first
	Election      time.Duration
	Heartbeat     time.Duration
	NoLease       bool          // see raft.Options
	Delay         time.Duration // one way; each message takes up to twice as long
	Loss          float64
	SnapshotEvery uint64
	New           func() Machine
}

// step is how far the time goes at once.
const step = 5 * time.Millisecond

// Cluster is a set of replicas.
type Cluster struct {
	Opts   Options
	Random *rand.Rand
	Now    time.Time
	Nodes  []*Node
	queue  messages
	serial int
	cut    map[[2]int]bool
}

// Node is one replica.
type Node struct {
	Index   int
	ID      raft.ID
	Raft    *raft.Node
	Machine Machine
	Up      bool
	Paused  bool

	folder  *disk.Memory
	log     *wal.Log
	waiting map[uint64]pending
	reads   map[uint64]*Read
	nextID  uint64
	lives   int
	mark    uint64 // commit index that was marked beside the log
}

type pending struct {
	term uint64
	done func(result any, err error)
}

// Read is a linearizable read on its way.
type Read struct {
	index uint64
	ready bool
	done  func(ok bool)
}

// New makes a cluster whose first Voters replicas vote.
func New(opts Options) *Cluster {
	c := &Cluster{
		Opts: opts, Random: rand.New(rand.NewPCG(opts.Seed, 7)),
		Now: time.Unix(1_700_000_000, 0), cut: map[[2]int]bool{},
	}
	var voters []raft.ID
	for i := range opts.Voters {
		voters = append(voters, id(i, 1))
	}
	for i := range opts.Voters + opts.Spares {
		n := &Node{Index: i, ID: id(i, 1), folder: disk.NewMemory(), lives: 1}
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

func id(i, life int) raft.ID { return raft.ID(fmt.Sprintf("h%d#%d", i, life)) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Start starts a replica from its disk.
func (c *Cluster) Start(n *Node) {
	log, state, err := wal.Open(n.folder)
	must(err)
	n.Machine = c.Opts.New()
	if len(state.Snapshot.Data) > 0 {
		must(n.Machine.Restore(state.Snapshot.Data))
	}
	n.log = log
	state.Commit = n.mark
	n.waiting, n.reads = map[uint64]pending{}, map[uint64]*Read{}
	n.Raft = raft.New(raft.Options{
		ID: n.ID, ElectionTimeout: c.Opts.Election, HeartbeatInterval: c.Opts.Heartbeat, SkipLeaseWait: c.Opts.NoLease,
		Random: rand.New(rand.NewPCG(c.Random.Uint64(), 3)),
	}, state, c.Now)
	n.Up, n.Paused = true, false
}

// Crash ends a replica at once; bytes that were not synced are lost, but for
// up to torn of them.
func (c *Cluster) Crash(n *Node, torn int) {
	n.Up = false
	n.folder.Crash(torn)
	for _, p := range n.waiting {
		p.done(nil, errCrashed)
	}
	for _, r := range n.reads {
		r.done(false)
	}
	n.waiting, n.reads = nil, nil
}

type crashed struct{}

func (crashed) Error() string { return "the replica crashed" }

var errCrashed = crashed{}

// LoseDisk ends a replica and its folder; it will come back as another.
func (c *Cluster) LoseDisk(n *Node) {
	c.Crash(n, 0)
	n.folder.RemoveAll()
	n.mark = 0
	n.lives++
	n.ID = id(n.Index, n.lives)
}

// Cut cuts or joins the way from a to b, one direction only.
func (c *Cluster) Cut(a, b int, cut bool) { c.cut[[2]int{a, b}] = cut }

// Isolate cuts a replica off from all others in the chosen directions, or
// joins it again.
func (c *Cluster) Isolate(n int, in, out bool) {
	for i := range c.Nodes {
		c.Cut(i, n, in)
		c.Cut(n, i, out)
	}
}

// Disturb brings about one fault, or mends one.
func (c *Cluster) Disturb() {
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
	case 5: // silent: it still sends, or still hears
		c.Isolate(n.Index, r.Float64() < 0.5, true)
	case 6, 7:
		c.Isolate(n.Index, false, false)
	}
}

// Mend starts, wakes and joins everything, so that a history also shows what
// comes after the faults.
func (c *Cluster) Mend() {
	for _, n := range c.Nodes {
		if !n.Up {
			c.Start(n)
		}
		n.Paused = false
		c.Isolate(n.Index, false, false)
	}
}

// Leader gives the replica that leads in the highest term, or nil.
func (c *Cluster) Leader() *Node {
	var best *Node
	for _, n := range c.Nodes {
		if n.Up && n.Raft.Status().Role == raft.Leader && (best == nil || n.Raft.Status().Term > best.Raft.Status().Term) {
			best = n
		}
	}
	return best
}

// Run lets time pass.
func (c *Cluster) Run(d time.Duration) {
	for until := c.Now.Add(d); c.Now.Before(until); {
		c.Step()
	}
}

// Step lets the least time pass.
func (c *Cluster) Step() {
	c.Now = c.Now.Add(step)
	for len(c.queue) > 0 && !c.queue[0].at.After(c.Now) {
		m := heap.Pop(&c.queue).(message)
		n := c.Nodes[m.to]
		switch {
		case n.Paused:
			m.at = c.Now.Add(step) // its kernel keeps it
			heap.Push(&c.queue, m)
		case n.Up:
			n.Raft.Step(c.Now, m.envelope)
			c.work(n)
		}
	}
	for _, n := range c.Nodes {
		if n.Up && !n.Paused {
			n.Raft.Tick(c.Now)
			c.work(n)
		}
	}
}

// Propose proposes at a replica. done is called at most once.
func (c *Cluster) Propose(n *Node, data []byte, done func(result any, err error)) {
	index, term, err := n.Raft.Propose(c.Now, data)
	if err != nil {
		done(nil, err)
		return
	}
	n.waiting[index] = pending{term, done}
	c.work(n)
}

// Read asks for a linearizable read at a replica.
func (c *Cluster) Read(n *Node, done func(ok bool)) {
	n.nextID++
	n.reads[n.nextID] = &Read{done: done}
	n.Raft.ReadIndex(c.Now, n.nextID)
	c.work(n)
}

func (c *Cluster) work(n *Node) {
	for {
		ready := n.Raft.Ready()
		if ready.Empty() {
			return
		}
		if ready.Install != nil {
			must(n.Machine.Restore(ready.Install.Data))
			must(n.log.Replace(raft.State{Hard: n.Raft.Hard(), Snapshot: *ready.Install, Entries: n.Raft.Entries()}))
		} else {
			must(n.log.Save(ready.Hard, ready.Entries))
		}
		for _, e := range ready.Messages {
			c.send(n.Index, e)
		}
		c.apply(n, ready.Committed)
		n.Raft.Advance(ready)
		c.finishReads(n, ready.Reads)
		c.snapshot(n)
		if c.Random.Float64() < markShare {
			n.mark = n.Raft.Status().Commit
		}
	}
}

// markShare is how often a commit index is marked in time; the other times a
// crash finds an older one.
const markShare = 0.5

func (c *Cluster) apply(n *Node, entries []raft.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == raft.EntryCommand {
			result = n.Machine.Apply(e.Index, e.Data)
		}
		if p, ok := n.waiting[e.Index]; ok {
			delete(n.waiting, e.Index)
			if p.term != e.Term {
				p.done(nil, raft.ErrNotLeader)
				continue
			}
			p.done(result, nil)
		}
	}
}

func (c *Cluster) finishReads(n *Node, ready []raft.ReadResult) {
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

func (c *Cluster) snapshot(n *Node) {
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

func (c *Cluster) send(from int, e raft.Envelope) {
	to := -1
	for _, n := range c.Nodes {
		if n.ID == e.To {
			to = n.Index
		}
	}
	if to < 0 || c.cut[[2]int{from, to}] || c.Random.Float64() < c.Opts.Loss {
		return
	}
	c.serial++
	delay := c.Opts.Delay + time.Duration(c.Random.Int64N(int64(c.Opts.Delay)+1))
	heap.Push(&c.queue, message{c.Now.Add(delay), c.serial, to, e})
}

type message struct {
	at       time.Time
	serial   int
	to       int
	envelope raft.Envelope
}

// messages implements heap.Interface by time, then order of sending.
type messages []message

func (m messages) Len() int { return len(m) }

func (m messages) Less(i, j int) bool {
	if !m[i].at.Equal(m[j].at) {
		return m[i].at.Before(m[j].at)
	}
	return m[i].serial < m[j].serial
}

func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

func (m *messages) Push(x any) { *m = append(*m, x.(message)) }

func (m *messages) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}
