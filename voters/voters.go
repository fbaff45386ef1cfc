// Package voters replaces lost voters of a replicated log.
//
// A voter counts as lost if the leader hasn't heard from it for Policy.LostAfter, or
// if its host runs a replica with another identity because the data folder was lost.
// The leader's Reconciler then makes one membership change at a time: it adds a
// replacement as a learner, makes it a voter once it has caught up, and only then
// removes the lost voter, which may return meanwhile. One that lost its data can't, and is
// removed first.
package voters

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/telemetry"
)

// Policy configures how many voters a log should have and when one counts as lost.
type Policy struct {
	TargetVoters int           // target number of voters
	LostAfter    time.Duration // time without contact after which a voter counts as lost
	// Standby makes every other candidate a learner. A learner can replace a lost voter
	// without first having to catch up, and its host can serve the log's state and forward
	// commands to the leader, which a replica outside the log doesn't know.
	Standby bool
}

// DefaultLostAfter suits hosts that restart within seconds: replacing a voter that
// is about to return costs more than waiting for it.
const DefaultLostAfter = 15 * time.Second

// Parameters of the replacement of voters.
const (
	checkInterval = 250 * time.Millisecond
	// changeTimeout limits the wait for one membership change.
	changeTimeout = 3 * time.Second
	// maxLearnerLag is how many entries a learner may be behind the commit index
	// to become a voter.
	maxLearnerLag = 64
)

// Reconciler restores the target number of voters of a log while its replica leads.
type Reconciler struct {
	replica    *replica.Replica
	candidates func() []Candidate
	policy     Policy
	log        *zap.Logger
	pauses     PauseDetector
}

// New returns a reconciler for the log of r. candidates returns all replicas that may
// vote, including current voters, in any order. The reconciler sorts the slice in place.
func New(r *replica.Replica, candidates func() []Candidate, policy Policy, log *zap.Logger) *Reconciler {
	return &Reconciler{replica: r, candidates: candidates, policy: policy, log: log}
}

// Run checks the voters periodically while this replica leads, until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	duty.Every(ctx, checkInterval, func() {
		now := steady.Time()
		running := r.pauses.RunningFor(now, r.policy.LostAfter)
		if status := r.replica.Status(); running && status.Role == raft.Leader {
			r.step(ctx, status, now)
		}
	})
	return nil
}

// PauseDetector detects pauses of this process. A process that was suspended has received
// no heartbeats in the meantime and would, when it resumes, take every other voter for
// lost. The zero value is ready to use and stands for a process that has just started.
type PauseDetector struct {
	lastCall     time.Time // time of the last call of RunningFor
	runningSince time.Time // start of the process or end of its last pause
}

// RunningFor reports whether the process has run without a pause for at least the given
// time. It must be called every checkInterval; a gap of more than minPause between two
// calls counts as a pause.
func (d *PauseDetector) RunningFor(now time.Time, atLeast time.Duration) bool {
	if now.Sub(d.lastCall) > minPause {
		d.runningSince = now
	}
	d.lastCall = now
	return now.Sub(d.runningSince) >= atLeast
}

// minPause is the shortest gap between two calls of RunningFor that counts as a pause. It
// is four intervals, which is as long as a leader keeps its role without contact to its
// peers.
const minPause = 4 * checkInterval

func (r *Reconciler) step(ctx context.Context, status raft.Status, now time.Time) {
	candidates := r.candidates()
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next, reason := NextMembership(status, candidates, r.policy, now)
	if reason == "" {
		return
	}
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := r.replica.ProposeMembers(changeCtx, next)
	if errors.Is(err, raft.ErrMembershipChangeRejected) {
		return
	}
	r.log.Info("membership change proposed", zap.String("why", reason), zap.Strings("voters", raft.Strings(next.Voters)), zap.Strings("learners", raft.Strings(next.Learners)), telemetry.ErrorField(err))
}

// HostOf returns the host name in a replica's identity, which is "host#suffix".
func HostOf(id raft.ID) string {
	host, _, _ := strings.Cut(string(id), "#")
	return host
}

// Candidate is a replica that may become a voter, or is one already.
type Candidate struct {
	ID     raft.ID
	Region string
}

// NextMembership returns the next membership change towards the target number of live
// voters, and the reason for it. The reason is empty if no change is needed.
func NextMembership(status raft.Status, candidates []Candidate, policy Policy, now time.Time) (next raft.Membership, reason string) {
	members := status.Members
	if lost := lostLearners(status, candidates, policy, now); len(lost) > 0 {
		for _, id := range lost {
			members = members.Without(id)
		}
		return members, "learners are lost: " + strings.Join(raft.Strings(lost), ", ")
	}
	if replaced := replacedVoter(status, candidates, now); replaced != raft.None && len(members.Voters) > 1 {
		next = members.Without(replaced)
		if policy.Standby {
			next, _ = addLearners(next, candidates)
		}
		return next, "the host of voter " + string(replaced) + " has lost its data"
	}
	lost := lostVoter(status, candidates, policy, now)
	needed := lost != raft.None || len(members.Voters) < policy.TargetVoters
	if needed && len(members.Voters) <= policy.TargetVoters {
		if learner, ok := pickVoter(status, candidates, lost); ok {
			return members.WithVoter(learner), "learner " + string(learner) + " has caught up"
		}
	}
	if len(members.Voters) > policy.TargetVoters {
		return removeExcessVoter(status, lost)
	}
	switch {
	case policy.Standby:
		return addLearners(members, candidates)
	case needed && len(members.Learners) == 0:
		if learner, ok := pickLearner(members, candidates, lost); ok {
			return members.WithLearner(learner), "a learner is needed; lost voter: " + string(lost)
		}
	}
	return raft.Membership{}, ""
}

// addLearners returns the membership with every candidate. Learners don't vote, so any
// number may be added in one change.
func addLearners(members raft.Membership, candidates []Candidate) (next raft.Membership, reason string) {
	next = members
	for _, candidate := range candidates {
		if !next.Contains(candidate.ID) {
			next, reason = next.WithLearner(candidate.ID), "control hosts that aren't members yet"
		}
	}
	return next, reason
}

// lostLearners returns the learners that count as lost.
func lostLearners(status raft.Status, candidates []Candidate, policy Policy, now time.Time) []raft.ID {
	var lost []raft.ID
	for _, peer := range status.Peers {
		if slices.Contains(status.Members.Learners, peer.ID) && isLost(peer, candidates, policy, now) {
			lost = append(lost, peer.ID)
		}
	}
	return lost
}

// pickVoter selects a learner that has caught up to become a voter. It prefers one in the
// region with the fewest voters besides the lost one, so that the loss of a region costs as
// few voters as possible.
func pickVoter(status raft.Status, candidates []Candidate, lost raft.ID) (raft.ID, bool) {
	regionOf := make(map[raft.ID]string)
	votersIn := make(map[string]int)
	for _, candidate := range candidates {
		regionOf[candidate.ID] = candidate.Region
		if status.Members.IsVoter(candidate.ID) && candidate.ID != lost {
			votersIn[candidate.Region]++
		}
	}
	picked := raft.None
	for _, peer := range status.Peers {
		caughtUp := peer.Match > 0 && peer.Match+maxLearnerLag >= status.Commit
		if !caughtUp || !slices.Contains(status.Members.Learners, peer.ID) {
			continue
		}
		if picked == raft.None || votersIn[regionOf[peer.ID]] < votersIn[regionOf[picked]] {
			picked = peer.ID
		}
	}
	return picked, picked != raft.None
}

// removeExcessVoter removes the lost voter or, if that one has returned in the
// meantime, the voter that was added last. It never removes the leader.
func removeExcessVoter(status raft.Status, lost raft.ID) (next raft.Membership, reason string) {
	if lost != raft.None {
		return status.Members.Without(lost), "voter " + string(lost) + " is lost"
	}
	for _, id := range slices.Backward(status.Members.Voters) {
		if id != status.ID {
			return status.Members.Without(id), "there is one more voter than required"
		}
	}
	return raft.Membership{}, ""
}

// lostVoter returns a voter that counts as lost, or raft.None.
func lostVoter(status raft.Status, candidates []Candidate, policy Policy, now time.Time) raft.ID {
	for _, peer := range status.Peers {
		if status.Members.IsVoter(peer.ID) && isLost(peer, candidates, policy, now) {
			return peer.ID
		}
	}
	return raft.None
}

// replacedVoter returns a voter whose host runs a replica with another identity, or raft.None.
// It never votes again, so that it is removed before its replacement votes: with both, a
// majority would need the replacement as well.
func replacedVoter(status raft.Status, candidates []Candidate, now time.Time) raft.ID {
	for _, peer := range status.Peers {
		if status.Members.IsVoter(peer.ID) && hasOtherIdentity(peer, candidates, now) {
			return peer.ID
		}
	}
	return raft.None
}

// identityTimeout is how long a replica that answered keeps its identity, whatever its host
// reports: a report from before the host lost its data may arrive late.
const identityTimeout = time.Second

// hasOtherIdentity reports whether a replica's host runs a replica with another identity.
func hasOtherIdentity(peer raft.PeerStatus, candidates []Candidate, now time.Time) bool {
	return now.Sub(peer.Heard) > identityTimeout && slices.ContainsFunc(candidates, func(c Candidate) bool {
		return HostOf(c.ID) == HostOf(peer.ID) && c.ID != peer.ID
	})
}

// isLost reports whether the leader hasn't heard from the peer for policy.LostAfter, or
// the peer's host now runs a replica with another identity.
func isLost(peer raft.PeerStatus, candidates []Candidate, policy Policy, now time.Time) bool {
	return hasOtherIdentity(peer, candidates, now) || now.Sub(peer.Heard) > policy.LostAfter
}

// pickLearner selects a candidate that isn't a member yet. To keep the voters spread
// over regions, it prefers the lost voter's region or, if that is unknown, a region
// without a voter.
func pickLearner(members raft.Membership, candidates []Candidate, lost raft.ID) (raft.ID, bool) {
	region := ""
	votingRegions := map[string]bool{}
	for _, candidate := range candidates {
		if HostOf(candidate.ID) == HostOf(lost) {
			region = candidate.Region
		}
		if members.IsVoter(candidate.ID) {
			votingRegions[candidate.Region] = true
		}
	}
	fallback := raft.None
	for _, candidate := range candidates {
		if members.Contains(candidate.ID) {
			continue
		}
		if candidate.Region == region || (region == "" && !votingRegions[candidate.Region]) {
			return candidate.ID, true
		}
		if fallback == raft.None {
			fallback = candidate.ID
		}
	}
	return fallback, fallback != raft.None
}
