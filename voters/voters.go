// Package voters replaces the lost voters of a replicated log.
//
// A voter is lost when it has been silent for long, or when its host runs under
// another identity because its data folder was lost. The leader's Reconciler then
// takes one step at a time: a spare is added as a learner, gets a vote when it
// has caught up, and only after that the lost voter goes. A second loss during
// the repair so meets one voter more and not one fewer.
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

// Policy says how many voters there should be and when one counts as lost.
type Policy struct {
	Wanted    int
	LostAfter time.Duration // how long a voter must be silent
	// Standby keeps one spare as a learner, so that a lost voter's place is
	// taken without waiting for a spare to catch up.
	Standby bool
}

// DefaultLostAfter suits hosts whose restarts take seconds: replacing a voter
// that is about to return costs more than waiting for it.
const DefaultLostAfter = 15 * time.Second

// Timing of the replacement of voters.
const (
	votersEvery = 250 * time.Millisecond
	// memberTime bounds the wait for one change of members.
	memberTime = 3 * time.Second
	// caughtUp is how many entries behind a learner may be to get a vote.
	caughtUp = 64
)

// Reconciler keeps the wanted number of voters. New makes one.
type Reconciler struct {
	replica *replica.Replica
	spares  func() []Spare
	policy  Policy
	log     *zap.Logger
	pauses  PauseDetector
}

// New makes a keeper. spares lists the replicas that could vote, in any order.
func New(r *replica.Replica, spares func() []Spare, policy Policy, log *zap.Logger) *Reconciler {
	return &Reconciler{replica: r, spares: spares, policy: policy, log: log}
}

// Run keeps the voters whenever this replica leads, until ctx ends.
func (k *Reconciler) Run(ctx context.Context) error {
	duty.Every(ctx, votersEvery, func() {
		now := steady.Time()
		rested := k.pauses.RunningFor(now, k.policy.LostAfter)
		if status := k.replica.Status(); rested && status.Role == raft.Leader {
			k.step(ctx, status, now)
		}
	})
	return nil
}

// PauseDetector tells whether this process has gone on without a break. One that was frozen or
// suspended hears nobody meanwhile, and would find every other voter lost when it wakes. The
// zero value has just been started.
type PauseDetector struct {
	last  time.Time // when it was last asked
	since time.Time // since when it has gone on
}

// RunningFor tells whether there was no break for so long. It is to be asked each votersEvery.
func (p *PauseDetector) RunningFor(now time.Time, long time.Duration) bool {
	if now.Sub(p.last) > breakTime {
		p.since = now
	}
	p.last = now
	return now.Sub(p.since) >= long
}

// breakTime is the least time between two rounds that is taken for a break: four of them,
// as long as a leader without a word keeps its role.
const breakTime = 4 * votersEvery

func (k *Reconciler) step(ctx context.Context, status raft.Status, now time.Time) {
	spares := k.spares()
	slices.SortFunc(spares, func(a, b Spare) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next, why := Next(status, spares, k.policy, now)
	if why == "" {
		return
	}
	bound, cancel := context.WithTimeout(ctx, memberTime)
	defer cancel()
	err := k.replica.ProposeMembers(bound, next)
	if errors.Is(err, raft.ErrMembershipPending) {
		return
	}
	k.log.Info("members changed", zap.String("why", why), zap.Strings("voters", names(next.Voters)), zap.Strings("learners", names(next.Learners)), telemetry.Cause(err))
}

// names gives identities as plain strings: the encoder of the log takes no other
// slices.
func names(ids []raft.ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

// HostOf gives the host part of a replica's identity.
func HostOf(id raft.ID) string {
	host, _, _ := strings.Cut(string(id), "#")
	return host
}

// Spare is a replica that runs on a host with a disk.
type Spare struct {
	ID     raft.ID
	Region string
}

// Next gives the next step towards the wanted number of voters that
// answer, and why; why is empty where nothing is to be done.
func Next(status raft.Status, spares []Spare, policy Policy, now time.Time) (next raft.Membership, why string) {
	members := status.Members
	lost := lostVoter(status, spares, policy, now)
	needed := lost != raft.None || len(members.Voters) < policy.Wanted
	for _, p := range status.Peers {
		if !slices.Contains(members.Learners, p.ID) {
			continue
		}
		if isLost(p, spares, policy, now) {
			return members.Without(p.ID), "learner " + string(p.ID) + " is lost"
		}
		if needed && len(members.Voters) <= policy.Wanted && p.Match > 0 && p.Match+caughtUp >= status.Commit {
			return members.WithVoter(p.ID), "learner " + string(p.ID) + " has caught up"
		}
	}
	if len(members.Voters) > policy.Wanted {
		return withoutOne(status, lost)
	}
	if (needed || policy.Standby) && len(members.Learners) == 0 {
		if spare, ok := pickSpare(members, spares, lost); ok {
			return members.WithLearner(spare), "a voter is needed beside " + string(lost)
		}
	}
	return raft.Membership{}, ""
}

// withoutOne takes away the lost voter, or, where the lost one has come back
// meanwhile, the one that was added last.
func withoutOne(status raft.Status, lost raft.ID) (next raft.Membership, why string) {
	if lost != raft.None {
		return status.Members.Without(lost), "voter " + string(lost) + " is lost"
	}
	for _, id := range slices.Backward(status.Members.Voters) {
		if id != status.ID {
			return status.Members.Without(id), "there is one voter too many"
		}
	}
	return raft.Membership{}, ""
}

// lostVoter gives a voter that has been silent too long, or whose host runs
// under another identity by now.
func lostVoter(status raft.Status, spares []Spare, policy Policy, now time.Time) raft.ID {
	for _, p := range status.Peers {
		if status.Members.IsVoter(p.ID) && isLost(p, spares, policy, now) {
			return p.ID
		}
	}
	return raft.None
}

func isLost(p raft.PeerStatus, spares []Spare, policy Policy, now time.Time) bool {
	for _, s := range spares {
		if HostOf(s.ID) == HostOf(p.ID) && s.ID != p.ID {
			return true
		}
	}
	return now.Sub(p.Heard) > policy.LostAfter
}

// pickSpare takes a spare, of the lost voter's own region if there is one, so
// that the voters stay spread.
func pickSpare(members raft.Membership, spares []Spare, lost raft.ID) (raft.ID, bool) {
	region := ""
	held := map[string]bool{}
	for _, s := range spares {
		if HostOf(s.ID) == HostOf(lost) {
			region = s.Region
		}
		if members.IsVoter(s.ID) {
			held[s.Region] = true
		}
	}
	best := raft.None
	for _, s := range spares {
		if members.Has(s.ID) {
			continue
		}
		if s.Region == region || (region == "" && !held[s.Region]) {
			return s.ID, true
		}
		if best == raft.None {
			best = s.ID
		}
	}
	return best, best != raft.None
}
