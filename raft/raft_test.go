package raft_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/simlog"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/voters"
)

// recordingMachine is a state machine that records the commands applied to it.
type recordingMachine struct{ commands []string }

func (m *recordingMachine) Apply(_ uint64, data []byte) any {
	m.commands = append(m.commands, string(data))
	return len(m.commands)
}
func (m *recordingMachine) Snapshot() ([]byte, error) { return json.Marshal(m.commands) }
func (m *recordingMachine) Restore(data []byte) error { return json.Unmarshal(data, &m.commands) }

const (
	election  = 1500 * time.Millisecond
	heartbeat = 250 * time.Millisecond
)

func newCluster(seed uint64, voterCount, spareCount int) *simlog.Cluster {
	return simlog.New(simlog.Options{
		Seed: seed, Voters: voterCount, NonMembers: spareCount, Election: election, Heartbeat: heartbeat,
		Delay: 40 * time.Millisecond, SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
	})
}

func mustCommit(t *testing.T, c *simlog.Cluster, command string) {
	t.Helper()
	for range 50 {
		done := false
		if leader := c.Leader(); leader != nil {
			c.Propose(leader, []byte(command), func(_ any, err error) { done = err == nil })
		}
		for range 100 {
			c.Step()
			if done {
				return
			}
		}
	}
	t.Fatalf("%q was not committed", command)
}

func newNode(id raft.ID, now time.Time, hard raft.HardState) *raft.Node {
	members := raft.Membership{Voters: []raft.ID{"a#1", "b#1", "c#1"}}
	return raft.New(raft.Options{ID: id, ElectionTimeout: election, HeartbeatInterval: heartbeat, Random: rand.New(rand.NewPCG(1, 1))},
		raft.State{Hard: hard, Snapshot: raft.Snapshot{Members: members}}, now)
}

// requestVote sends a Vote message to replica a#1 and reports whether it granted the vote.
func requestVote(n *raft.Node, now time.Time, from raft.ID, term uint64) bool {
	n.Step(now, raft.Envelope{From: from, To: "a#1", Term: term, Message: raft.Vote{}})
	r := n.Ready()
	defer n.Advance(r)
	for _, e := range r.Messages {
		if v, ok := e.Message.(raft.VoteReply); ok {
			return v.Granted
		}
	}
	return false
}

// TestVotesOncePerTerm guards against two leaders in one term: a voter that grants its vote to
// two candidates, also if it restarts in between.
func TestVotesOncePerTerm(t *testing.T) {
	start := time.Unix(0, 0)
	n := newNode("a#1", start, raft.HardState{})
	afterWait := start.Add(2 * election)
	must.True(t, requestVote(n, afterWait, "b#1", 5))
	must.False(t, requestVote(n, afterWait, "c#1", 5), must.Sprint("a second candidate of the same term"))
	must.True(t, requestVote(n, afterWait, "b#1", 5), must.Sprint("the same candidate repeats its request"))

	restarted := newNode("a#1", afterWait, n.Hard())
	must.False(t, requestVote(restarted, afterWait.Add(2*election), "c#1", 5), must.Sprint("after a restart"))
}

// TestNoVoteWithinElectionTimeoutOfStart guards against a second leader during a lease: a voter
// that restarts has lost the time of its last contact with the leader.
func TestNoVoteWithinElectionTimeoutOfStart(t *testing.T) {
	start := time.Unix(0, 0)
	n := newNode("a#1", start, raft.HardState{})
	must.False(t, requestVote(n, start.Add(election/2), "b#1", 5), must.Sprint("the lease of a leader from before the start may still run"))
}

// TestIgnoresMessageForFormerIdentity sends a message to the ID that a replica had before it
// lost its disk.
func TestIgnoresMessageForFormerIdentity(t *testing.T) {
	start := time.Unix(0, 0)
	n := newNode("a#2", start, raft.HardState{})
	n.Step(start.Add(2*election), raft.Envelope{From: "b#1", To: "a#1", Term: 9, Message: raft.Vote{}})
	must.True(t, n.Ready().Empty())
	must.Eq(t, 0, n.Status().Term)
}

// TestAtMostOneLeaderLease runs random histories with partitioned and paused replicas, and
// checks at each step that at most one replica holds a leader's lease.
func TestAtMostOneLeaderLease(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(seed, 5, 0)
		for i := range 12_000 {
			if i%150 == 0 {
				n := c.Random.IntN(5)
				switch c.Random.IntN(4) {
				case 0:
					c.Isolate(n, c.Random.IntN(2) == 0, true)
				case 1:
					c.Nodes[n].Paused = !c.Nodes[n].Paused
				default:
					c.Isolate(n, false, false)
				}
			}
			c.Step()
			holders := 0
			for _, n := range c.Nodes {
				if c.Now.Before(n.Raft.LeaseUntil()) {
					holders++
				}
			}
			must.LessEq(t, 1, holders, must.Sprintf("seed %d, step %d", seed, i))
		}
	}
}

// TestReconnectedVoterDoesNotDeposeLeader guards pre-vote: without it, a voter that was
// partitioned returns with a higher term and deposes the leader.
func TestReconnectedVoterDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(3, 3, 0)
	c.Run(5 * time.Second)
	leader := c.Leader()
	follower := (leader.Index + 1) % 3
	c.Isolate(follower, true, true)
	c.Run(20 * time.Second)
	term := leader.Raft.Status().Term
	c.Isolate(follower, false, false)
	c.Run(5 * time.Second)
	must.Eq(t, term, leader.Raft.Status().Term)
	must.Eq(t, raft.Leader, leader.Raft.Status().Role)
}

// TestPartitionedLeaderIsReplaced partitions the leader, in half of the runs only in the
// direction towards it. The others must elect a leader after the old lease has ended.
func TestPartitionedLeaderIsReplaced(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(seed, 3, 0)
		c.Run(5 * time.Second)
		oldLeader := c.Leader()
		must.NotNil(t, oldLeader)
		c.Isolate(oldLeader.Index, true, seed%2 == 0) // it receives nothing; with odd seeds it can still send
		partitionedAt := c.Now
		for c.Leader() == oldLeader || c.Leader() == nil || !c.Now.Before(c.Leader().Raft.LeaseUntil()) {
			c.Step()
			must.Less(t, 15*time.Second, c.Now.Sub(partitionedAt), must.Sprintf("seed %d: no leader", seed))
		}
		must.True(t, oldLeader.Raft.LeaseUntil().Before(c.Now), must.Sprint("the old leader's lease must have ended"))
	}
}

// replaceLostVoters runs the leader's replacement of lost voters, as package voters decides
// it, until the committed membership satisfies repaired.
func replaceLostVoters(t *testing.T, c *simlog.Cluster, repaired func(raft.Membership) bool) {
	t.Helper()
	for range 2000 {
		c.Run(100 * time.Millisecond)
		leader := c.Leader()
		if leader == nil {
			continue
		}
		status := leader.Raft.Status()
		if repaired(status.Members) && status.Commit == status.Last {
			return
		}
		var spares []voters.Candidate
		for _, n := range c.Nodes {
			if n.Up {
				spares = append(spares, voters.Candidate{ID: n.ID})
			}
		}
		if next, reason := voters.NextMembership(status, spares, voters.Policy{TargetVoters: 3, LostAfter: voters.DefaultLostAfter}, c.Now); reason != "" {
			_, _, _ = leader.Raft.ProposeMembers(c.Now, next)
		}
	}
	t.Fatalf("the lost voters were not replaced: %+v", c.Leader())
}

// TestSecondVoterLossAfterReplacement guards against data loss: one voter loses its disk and
// is replaced by a spare, and right after that a second voter loses its disk.
func TestSecondVoterLossAfterReplacement(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(seed, 3, 1)
		c.Run(5 * time.Second)
		for i := range 30 {
			mustCommit(t, c, fmt.Sprintf("before %d", i))
		}
		first := c.Nodes[(c.Leader().Index+1)%3]
		lostID := first.ID
		c.LoseDisk(first)
		replaceLostVoters(t, c, func(m raft.Membership) bool { return !m.Contains(lostID) && len(m.Voters) == 3 })
		mustCommit(t, c, "after the repair")
		second := c.Leader()
		c.LoseDisk(second)
		c.Run(8 * time.Second)
		must.NotNil(t, c.Leader(), must.Sprintf("seed %d: no leader after the second loss", seed))
		mustCommit(t, c, "after the second loss")
		commands := c.Leader().Machine.(*recordingMachine).commands
		must.SliceLen(t, 32, commands)
	}
}

// TestVoterWithLostDiskRejoinsUnderNewID checks that a voter which lost its disk rejoins under
// a new ID and recovers the log. Under its old ID it could vote twice in one term.
func TestVoterWithLostDiskRejoinsUnderNewID(t *testing.T) {
	c := newCluster(5, 3, 0)
	c.Run(5 * time.Second)
	for i := range 25 {
		mustCommit(t, c, fmt.Sprint(i))
	}
	n := c.Nodes[(c.Leader().Index+1)%3]
	oldID := n.ID
	c.LoseDisk(n)
	c.Start(n)
	replaceLostVoters(t, c, func(m raft.Membership) bool { return m.IsVoter(n.ID) && !m.Contains(oldID) })
	c.Run(2 * time.Second)
	must.SliceLen(t, 25, n.Machine.(*recordingMachine).commands)
}

// TestNoSplitVoteAfterSimultaneousRestart kills and restarts all replicas on hosts so
// overloaded that each gets CPU time only once per 100 ms, so that several election timeouts
// expire within the same 100 ms. The slots by position must let one candidate win the first
// term.
func TestNoSplitVoteAfterSimultaneousRestart(t *testing.T) {
	for seed := range uint64(200) {
		c := simlog.New(simlog.Options{
			Seed: seed, Voters: 5, Election: time.Second, Heartbeat: heartbeat, Delay: 60 * time.Millisecond,
			SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
		})
		c.Run(5 * time.Second)
		termBefore := c.Leader().Raft.Status().Term
		for _, n := range c.Nodes {
			c.Crash(n, 0)
		}
		for _, n := range c.Nodes {
			c.Start(n)
		}
		for step := range 1000 {
			for _, n := range c.Nodes {
				n.Paused = step%20 != 0
			}
			c.Step()
		}
		must.NotNil(t, c.Leader(), must.Sprintf("seed %d", seed))
		must.Eq(t, termBefore+1, c.Leader().Raft.Status().Term, must.Sprintf("seed %d", seed))
	}
}

// TestFastElectionAfterRestartWithoutLease kills all replicas and restarts them within 100
// ms, on hosts that get CPU time only once per 100 ms. With SkipLeaseWait a leader must
// exist within 0.9 s in nine of ten runs; the wait for a lease takes at least 1.4 s.
func TestFastElectionAfterRestartWithoutLease(t *testing.T) {
	const runs = 100
	fastElections := 0
	for seed := range uint64(runs) {
		c := simlog.New(simlog.Options{
			Seed: seed, Voters: 5, Election: time.Second, Heartbeat: heartbeat, Delay: 50 * time.Millisecond,
			NoLease: true, SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
		})
		c.Run(5 * time.Second)
		for _, n := range c.Nodes {
			c.Crash(n, 0)
		}
		restartedAt := c.Now
		for step := range 1000 {
			for i, n := range c.Nodes {
				if step == i*4 {
					c.Start(n)
				}
				n.Paused = step%20 != 0
			}
			c.Step()
			if c.Leader() != nil {
				break
			}
		}
		must.NotNil(t, c.Leader(), must.Sprintf("seed %d", seed))
		if c.Now.Sub(restartedAt) <= 900*time.Millisecond {
			fastElections++
		}
	}
	must.GreaterEq(t, runs*9/10, fastElections)
}

// TestReadWaitsForFirstEntryOfTerm reads from a leader that has just been elected. The read
// must wait for the first entry of its term, which follows all entries committed before.
func TestReadWaitsForFirstEntryOfTerm(t *testing.T) {
	start := time.Unix(0, 0)
	n := newNode("a#1", start, raft.HardState{})
	now := start.Add(2 * election)
	n.Step(now, raft.Envelope{From: "b#1", To: "a#1", Message: raft.TimeoutNow{}})
	n.Advance(n.Ready())
	n.Step(now, raft.Envelope{From: "b#1", To: "a#1", Term: 1, Message: raft.VoteReply{Granted: true}})
	n.ReadIndex(now, 7)
	r := n.Ready()
	must.SliceEmpty(t, r.Reads)
	n.Advance(r)
	for _, e := range r.Messages {
		if a, ok := e.Message.(raft.Append); ok && e.To == "b#1" {
			n.Step(now, raft.Envelope{From: "b#1", To: "a#1", Term: 1, Message: raft.AppendReply{Match: 1, Round: a.Round}})
		}
	}
	r = n.Ready()
	must.Eq(t, []raft.ReadResult{{ID: 7, Index: 1, OK: true}}, r.Reads)
}

// TestShortStallKeepsLeader guards against seconds without a leader after a stall of the
// network that the followers would have waited for: the leader stepped down before them.
func TestShortStallKeepsLeader(t *testing.T) {
	for name, test := range map[string]struct{ delay, stall time.Duration }{
		"one site":    {time.Millisecond, 1100 * time.Millisecond},
		"two regions": {80 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				c := simlog.New(simlog.Options{
					Seed: seed, Voters: 3, Election: time.Second, Heartbeat: heartbeat, Delay: test.delay, NoLease: true,
					SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
				})
				c.Run(5*time.Second + time.Duration(c.Random.IntN(1000))*time.Millisecond)
				leader := c.Leader()
				setIsolated := func(isolated bool) {
					for i := range c.Nodes {
						c.Isolate(i, isolated, isolated)
					}
				}
				setIsolated(true)
				c.Run(test.stall)
				setIsolated(false)
				served := false
				c.Read(leader, func(ok bool) { served = ok })
				c.Run(4*test.delay + heartbeat)
				must.True(t, served, must.Sprintf("seed %d", seed))
			}
		})
	}
}

// TestDelayedHeartbeatsDontDelayElection guards against a second or more without a leader after
// a stall: voters receive heartbeats that the leader sent before it stepped down, and wait for
// it once more.
func TestDelayedHeartbeatsDontDelayElection(t *testing.T) {
	const voteTimeout = time.Second
	for name, test := range map[string]struct {
		delay, stall time.Duration
		stalled      func(c *simlog.Cluster, stalled bool)
	}{
		"followers paused, one site":    {time.Millisecond, 2 * time.Second, pauseFollowers},
		"followers paused, two regions": {80 * time.Millisecond, 1200 * time.Millisecond, pauseFollowers},
		"network stalled":               {time.Millisecond, 6 * time.Second, (*simlog.Cluster).SetStalled},
	} {
		t.Run(name, func(t *testing.T) {
			// A candidate whose request came too early retries within two thirds of the
			// timeout. Pre-vote, vote, first entry and read take two messages each, and a
			// message takes up to twice the delay.
			most := voteTimeout*2/3 + 8*2*test.delay
			for seed := range uint64(50) {
				c := simlog.New(simlog.Options{
					Seed: seed, Voters: 3, Election: voteTimeout, Heartbeat: heartbeat, Delay: test.delay, NoLease: true,
					SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
				})
				c.Run(5*time.Second + time.Duration(c.Random.IntN(1000))*time.Millisecond)
				test.stalled(c, true)
				c.Run(test.stall)
				test.stalled(c, false)
				must.Less(t, most, untilServed(c), must.Sprintf("seed %d", seed))
			}
		})
	}
}

// pauseFollowers pauses or resumes all replicas but the leader.
func pauseFollowers(c *simlog.Cluster, paused bool) {
	leader := c.Leader()
	for _, n := range c.Nodes {
		n.Paused = paused && n != leader
	}
}

// untilServed returns how long it takes until a leader answers a linearizable read.
func untilServed(c *simlog.Cluster) time.Duration {
	const giveUp = time.Minute
	began, served, reading := c.Now, false, false
	for !served && c.Now.Sub(began) < giveUp {
		if leader := c.Leader(); leader != nil && !reading {
			reading = true
			c.Read(leader, func(ok bool) { served, reading = ok, false })
		}
		c.Step()
	}
	return c.Now.Sub(began)
}

// TestTwoVotersElectLeaderInTime guards against elections that two voters split again and
// again, while the third is lost: gateways reject requests once key leases end, and those leave
// 3 s for the loss of a leader.
func TestTwoVotersElectLeaderInTime(t *testing.T) {
	const leaderLossBound = 3 * time.Second
	restart := func(c *simlog.Cluster) {
		for _, n := range c.Nodes {
			c.Crash(n, 0)
		}
		c.Start(c.Nodes[1])
		c.Run(time.Duration(c.Random.IntN(1500)) * time.Millisecond)
		c.Start(c.Nodes[2])
	}
	partition := func(c *simlog.Cluster) {
		c.Crash(c.Nodes[0], 0)
		c.Isolate(1, true, true)
		c.Run(2 * time.Second)
		c.Isolate(1, false, false)
	}
	for name, disturb := range map[string]func(*simlog.Cluster){"restarted": restart, "partitioned": partition} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				c := simlog.New(simlog.Options{
					Seed: seed, Voters: 3, Election: time.Second, Heartbeat: heartbeat, Delay: 80 * time.Millisecond, NoLease: true,
					SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
				})
				c.Run(5*time.Second + time.Duration(c.Random.IntN(1000))*time.Millisecond)
				disturb(c)
				connectedAt := c.Now
				for c.Leader() == nil {
					c.Step()
					must.LessEq(t, leaderLossBound, c.Now.Sub(connectedAt), must.Sprintf("seed %d", seed))
				}
			}
		})
	}
}

// TestSplitPreVoteOnlyDelaysOneAttempt guards against a pre-candidate that never grants a
// pre-vote: it precedes the other voter, but lacks the link to the one that both need.
func TestSplitPreVoteOnlyDelaysOneAttempt(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(seed, 5, 0)
		c.Run(5 * time.Second)
		for _, n := range c.Nodes[3:] {
			c.Crash(n, 0)
		}
		for i := range 3 {
			c.Isolate(i, true, true)
		}
		c.Run(5 * time.Second)
		for i := range 3 {
			c.Isolate(i, false, false)
		}
		c.SetPartitioned(0, 2, true)
		c.SetPartitioned(2, 0, true)
		healedAt := c.Now
		for c.Leader() == nil {
			c.Step()
			must.LessEq(t, 30*time.Second, c.Now.Sub(healedAt), must.Sprintf("seed %d", seed))
		}
	}
}

// TestHostLostAgainDuringReplacementKeepsQuorum guards against control hosts without a leader
// although only one of three is down: it lost its disk, returned, and failed while its new
// replica replaced the old one.
func TestHostLostAgainDuringReplacementKeepsQuorum(t *testing.T) {
	const leaderLossBound = 3 * time.Second
	for returned := time.Duration(0); returned < 2*time.Second; returned += 50 * time.Millisecond {
		t.Run(returned.String(), func(t *testing.T) {
			c := simlog.New(simlog.Options{
				Seed: 1, Voters: 3, Election: time.Second, Heartbeat: heartbeat, Delay: 40 * time.Millisecond, NoLease: true,
				SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
			})
			c.Run(5 * time.Second)
			lost := c.Nodes[(c.Leader().Index+1)%3]
			c.LoseDisk(lost)
			c.Start(lost)
			policy := voters.Policy{TargetVoters: 3, LostAfter: 2 * time.Second, Standby: true}
			runWithReconciler(c, policy, returned)
			c.Crash(lost, 0)
			runWithReconciler(c, policy, leaderLossBound)
			served := false
			must.NotNil(t, c.Leader(), must.Sprint("no leader, two of three hosts run"))
			c.Read(c.Leader(), func(ok bool) { served = ok })
			c.Run(time.Second)
			must.True(t, served)
		})
	}
}

// runWithReconciler advances the time, while the leader replaces lost voters as package voters
// decides it. Each host is known under the last identity that it ran with.
func runWithReconciler(c *simlog.Cluster, policy voters.Policy, d time.Duration) {
	for until := c.Now.Add(d); c.Now.Before(until); {
		c.Run(min(250*time.Millisecond, until.Sub(c.Now)))
		leader := c.Leader()
		if leader == nil {
			continue
		}
		var candidates []voters.Candidate
		for _, n := range c.Nodes {
			candidates = append(candidates, voters.Candidate{ID: n.ID})
		}
		if next, reason := voters.NextMembership(leader.Raft.Status(), candidates, policy, c.Now); reason != "" {
			_, _, _ = leader.Raft.ProposeMembers(c.Now, next)
		}
	}
}

// TestSlowDisksElectLeader guards against an election without end where a sync takes as long as
// a candidate waits: it gave up before its request for votes could be sent, or answered.
func TestSlowDisksElectLeader(t *testing.T) {
	const voteTimeout = time.Second
	for _, syncTime := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(syncTime.String(), func(t *testing.T) {
			// The term, the votes and the first entry are synced one after the other, and
			// two candidates may split the first election.
			most := voteTimeout + 2*3*syncTime*3/2
			for seed := range uint64(50) {
				c := simlog.New(simlog.Options{
					Seed: seed, Voters: 3, Election: voteTimeout, Heartbeat: heartbeat, Delay: time.Millisecond, NoLease: true,
					SnapshotEvery: 10, New: func() simlog.Machine { return &recordingMachine{} },
				})
				c.Run(5*time.Second + time.Duration(c.Random.IntN(1000))*time.Millisecond)
				c.Opts.SyncTime = syncTime
				c.SetStalled(true)
				c.Run(2 * voteTimeout)
				c.SetStalled(false)
				must.Less(t, most, untilServed(c), must.Sprintf("seed %d", seed))
			}
		})
	}
}
