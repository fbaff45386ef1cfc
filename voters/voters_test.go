package voters_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/voters"
)

// TestPauseDetectorRestartsAfterSuspension guards against a leader that resumes after a
// suspension of 20 s and replaces healthy voters, whose heartbeats it couldn't receive: no
// voter may count as lost in the 2 s after it resumes.
func TestPauseDetectorRestartsAfterSuspension(t *testing.T) {
	const atLeast, step = 2 * time.Second, 250 * time.Millisecond
	var detector voters.PauseDetector
	now := time.Unix(1000, 0)
	after := func(calls int) bool {
		running := false
		for range calls {
			now = now.Add(step)
			running = detector.RunningFor(now, atLeast)
		}
		return running
	}
	must.False(t, after(8), must.Sprint("the process has just started"))
	must.True(t, after(1))
	must.True(t, after(100))
	now = now.Add(20 * time.Second)
	must.False(t, after(8))
	must.True(t, after(1))
}

// TestEveryControlHostJoinsTheLog guards against control hosts outside the log: with 24 of
// them and five voters, 18 could neither accept a command nor return the state. The changes
// needed must not grow with their number.
func TestEveryControlHostJoinsTheLog(t *testing.T) {
	for _, hosts := range []int{3, 6, 24, 48} {
		now := time.Unix(1000, 0)
		var candidates []voters.Candidate
		for i := range hosts {
			candidates = append(candidates, voters.Candidate{ID: raft.ID(fmt.Sprintf("h%02d#1", i)), Region: fmt.Sprint(i % 3)})
		}
		status := raft.Status{Commit: 9}
		for _, c := range candidates[:3] { // the seeds, one of each region
			status.Members.Voters = append(status.Members.Voters, c.ID)
		}
		policy := voters.Policy{TargetVoters: min(5, hosts), LostAfter: time.Second, Standby: true}
		changes := 0
		for ; changes < 20; changes++ {
			status.Peers = nil
			for _, c := range candidates {
				status.Peers = append(status.Peers, raft.PeerStatus{ID: c.ID, Match: 9, Heard: now})
			}
			next, reason := voters.NextMembership(status, candidates, policy, now)
			if reason == "" {
				break
			}
			status.Members = next
		}
		must.LessEq(t, 3, changes, must.Sprintf("%d hosts", hosts))
		must.Len(t, policy.TargetVoters, status.Members.Voters)
		must.Len(t, hosts-policy.TargetVoters, status.Members.Learners)
		perRegion := make(map[string]int)
		for _, c := range candidates {
			if status.Members.IsVoter(c.ID) {
				perRegion[c.Region]++
			}
		}
		for region, n := range perRegion {
			must.LessEq(t, 2, n, must.Sprintf("%d hosts: voters in region %s", hosts, region))
		}
	}
}

// TestStaleIdentityKeepsVoter guards against the removal of a voter that answers: a report that
// its host sent before it lost its data arrives after the later ones.
func TestStaleIdentityKeepsVoter(t *testing.T) {
	now := time.Unix(1000, 0)
	candidates := []voters.Candidate{{ID: "a#1"}, {ID: "b#1"}, {ID: "c#1"}}
	status := raft.Status{ID: "a#1", Commit: 9, Members: raft.Membership{Voters: []raft.ID{"a#1", "b#2", "c#1"}}}
	policy := voters.Policy{TargetVoters: 3, LostAfter: 15 * time.Second, Standby: true}
	for _, id := range status.Members.Voters[1:] {
		status.Peers = append(status.Peers, raft.PeerStatus{ID: id, Match: 9, Heard: now.Add(-300 * time.Millisecond)})
	}
	next, reason := voters.NextMembership(status, candidates, policy, now)
	must.True(t, reason == "" || next.IsVoter("b#2"), must.Sprint(reason))
}
