package raft_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/simlog"
	"github.com/linenscale/linenscale/raft"
)

// take returns what a node sends, after its work has been done.
func take(n *raft.Node) []raft.Envelope {
	var sent []raft.Envelope
	for {
		r := n.Ready()
		if r.Empty() {
			return sent
		}
		sent = append(sent, r.Messages...)
		n.Advance(r)
	}
}

// sentTo returns the first message of type M among those sent to a replica.
func sentTo[M raft.Message](t *testing.T, sent []raft.Envelope, to raft.ID) raft.Envelope {
	t.Helper()
	for _, e := range sent {
		if _, ok := e.Message.(M); ok && e.To == to {
			return e
		}
	}
	t.Fatalf("no %T to %s in %v", *new(M), to, sent)
	return raft.Envelope{}
}

// TestPreVoteFromBeforeLeadershipKeepsLease guards against a second leader during a lease: a
// pre-candidate still wins its last term, and its pre-vote arrives after its first heartbeat.
func TestPreVoteFromBeforeLeadershipKeepsLease(t *testing.T) {
	start := time.Unix(0, 0)
	a, b := newNode("a#1", start, raft.HardState{}), newNode("b#1", start, raft.HardState{})
	now := start.Add(3 * election)
	a.Tick(now)
	take(a)
	a.Step(now, raft.Envelope{From: "c#1", To: "a#1", Term: 1, Message: raft.PreVoteReply{Granted: true}})
	vote := sentTo[raft.Vote](t, take(a), "b#1")
	now = now.Add(election)
	a.Tick(now)
	delayed := sentTo[raft.PreVote](t, take(a), "b#1")
	b.Step(now, vote)
	a.Step(now, sentTo[raft.VoteReply](t, take(b), "a#1"))
	must.Eq(t, raft.Leader, a.Status().Role)
	b.Step(now, sentTo[raft.Append](t, take(a), "b#1"))
	a.Step(now, sentTo[raft.AppendReply](t, take(b), "a#1"))
	take(a)
	must.True(t, now.Before(a.LeaseUntil()))
	b.Step(now, delayed)
	take(b)
	b.Step(now, raft.Envelope{From: "c#1", To: "b#1", Term: 2, Message: raft.Vote{LastIndex: 9, LastTerm: 1}})
	for _, e := range take(b) {
		reply, ok := e.Message.(raft.VoteReply)
		must.False(t, ok && reply.Granted, must.Sprint("the leader's lease runs"))
	}
}

// TestLeaseExclusionWithSlowDisks runs random histories with faults and slow disks. No replica
// may lead a later term before the last lease that another one held has ended.
func TestLeaseExclusionWithSlowDisks(t *testing.T) {
	for seed := range uint64(32) {
		c := simlog.New(simlog.Options{
			Seed: seed, Voters: 3 + 2*int(seed%2), Election: election, Heartbeat: heartbeat,
			Delay: []time.Duration{5, 40, 160, 400}[seed/2%4] * time.Millisecond, SnapshotEvery: 10,
			SyncTime: []time.Duration{20, 300, 600, 1200}[seed/8%4] * time.Millisecond,
			New:      func() simlog.Machine { return &recordingMachine{} },
		})
		leaders, committed := map[uint64]raft.ID{}, map[uint64]uint64{}
		var holder raft.ID
		var until time.Time
		for i := range 12_000 {
			if i%150 == 0 {
				c.SetStalled(c.Random.IntN(8) == 0)
				c.InjectFault()
			}
			if i%2400 == 0 {
				c.Recover()
			}
			if leader := c.Leader(); leader != nil && i%1100 == 0 {
				leader.Raft.TransferLeadership(c.Now, c.Nodes[c.Random.IntN(len(c.Nodes))].ID)
				until = time.Time{} // the leader ends its lease itself
			}
			if leader := c.Leader(); leader != nil && i%40 == 0 {
				c.Propose(leader, []byte("x"), func(any, error) {})
			}
			c.Step()
			for _, n := range c.Nodes {
				s := n.Raft.Status()
				if !n.Up || s.Role != raft.Leader {
					continue
				}
				first, ok := leaders[s.Term]
				must.True(t, !ok || first == s.ID, must.Sprintf("seed %d, step %d: two leaders in term %d", seed, i, s.Term))
				leaders[s.Term] = s.ID
				if lease := n.Raft.LeaseUntil(); c.Now.Before(lease) {
					must.True(t, holder == s.ID || !c.Now.Before(until), must.Sprintf("seed %d, step %d: %s has a lease during that of %s", seed, i, s.ID, holder))
					holder, until = s.ID, lease
				}
			}
			for _, n := range c.Nodes {
				for _, e := range n.Raft.Entries() {
					if e.Index > n.Raft.Status().Commit {
						break
					}
					term, ok := committed[e.Index]
					must.True(t, !ok || term == e.Term, must.Sprintf("seed %d, step %d: two entries at index %d", seed, i, e.Index))
					committed[e.Index] = e.Term
				}
			}
		}
	}
}
