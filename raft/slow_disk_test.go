package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/raft"
)

// TestOneLongSyncDoesntDelayRetries guards against voters that wait for minutes between two
// pre-votes, since a disk refused writes or the process was suspended once: a pre-vote needs no
// sync, so that nothing corrects the time. Gateways serve for 5 s without a leader.
func TestOneLongSyncDoesntDelayRetries(t *testing.T) {
	const voteTimeout, mayServe = time.Second, 5 * time.Second
	now := time.Unix(1000, 0)
	members := raft.Membership{Voters: []raft.ID{"a#1", "b#1", "c#1"}}
	n := raft.New(raft.Options{ID: "a#1", ElectionTimeout: voteTimeout, HeartbeatInterval: heartbeat, SkipLeaseWait: true, Random: rand.New(rand.NewPCG(1, 1))},
		raft.State{Snapshot: raft.Snapshot{Members: members}}, now)
	now = now.Add(time.Minute)
	n.Resume(now)
	asked := func() bool {
		n.Tick(now)
		return len(take(n)) > 0
	}
	for !asked() {
		now = now.Add(10 * time.Millisecond)
	}
	first := now
	for now = now.Add(10 * time.Millisecond); !asked(); {
		now = now.Add(10 * time.Millisecond)
	}
	must.Less(t, mayServe, now.Sub(first))
}

// TestDeafLeaderWithSlowDiskResigns guards against a leader that receives nothing and keeps its
// role, and its followers, for as long as its disk is busy. Gateways serve for 5 s without one.
func TestDeafLeaderWithSlowDiskResigns(t *testing.T) {
	const voteTimeout, syncTime, mayServe = time.Second, 500 * time.Millisecond, 5 * time.Second
	now := time.Unix(1000, 0)
	members := raft.Membership{Voters: []raft.ID{"a#1", "b#1", "c#1"}}
	n := raft.New(raft.Options{ID: "a#1", ElectionTimeout: voteTimeout, HeartbeatInterval: heartbeat, SkipLeaseWait: true, Random: rand.New(rand.NewPCG(1, 1))},
		raft.State{Snapshot: raft.Snapshot{Members: members}}, now)
	now = now.Add(3 * voteTimeout)
	n.Tick(now)
	n.Step(now, raft.Envelope{From: "b#1", To: "a#1", Term: 1, Message: raft.PreVoteReply{Granted: true}})
	n.Step(now, raft.Envelope{From: "b#1", To: "a#1", Term: 1, Message: raft.VoteReply{Granted: true}})
	must.Eq(t, raft.Leader, n.Status().Role)
	for began := now; n.Status().Role == raft.Leader; {
		must.Less(t, mayServe, now.Sub(began))
		_, _, err := n.Propose(now, []byte("x"))
		must.NoError(t, err)
		r := n.Ready()
		now = now.Add(syncTime)
		n.Resume(now)
		n.Advance(r)
		take(n)
		now = now.Add(5 * time.Millisecond)
		n.Tick(now)
	}
}
