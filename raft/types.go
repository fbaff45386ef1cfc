package raft

import (
	"slices"

	"github.com/juju/errors"
)

// ID is the identity of a replica. A replica whose data folder was lost comes
// back under another one.
type ID string

// None is the identity of nobody.
const None ID = ""

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand    EntryKind = iota
	EntryEmpty                // the first of a leader's term
	EntryMembership           // Members holds the new membership
)

// Entry is one place of the log. Indexes count from 1.
type Entry struct {
	Index   uint64      `json:"i"`
	Term    uint64      `json:"t"`
	Kind    EntryKind   `json:"k,omitempty"`
	Data    []byte      `json:"d,omitempty"`
	Members *Membership `json:"m,omitempty"`
}

// Membership says who votes and who learns.
type Membership struct {
	Voters   []ID `json:"voters"`
	Learners []ID `json:"learners,omitempty"`
}

// IsVoter tells whether the replica votes.
func (m Membership) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// Has tells whether the replica votes or learns.
func (m Membership) Has(id ID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// Quorum is the size of a majority of the voters.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner gives the membership with one more learner.
func (m Membership) WithLearner(id ID) Membership {
	return Membership{slices.Clone(m.Voters), append(slices.Clone(m.Learners), id)}
}

// WithVoter gives the membership with a learner made a voter.
func (m Membership) WithVoter(id ID) Membership {
	return Membership{append(slices.Clone(m.Voters), id), without(m.Learners, id)}
}

// Without gives the membership without a replica.
func (m Membership) Without(id ID) Membership {
	return Membership{without(m.Voters, id), without(m.Learners, id)}
}

func without(ids []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(ids), func(other ID) bool { return other == id })
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64     `json:"index"`
	Term    uint64     `json:"term"`
	Members Membership `json:"members"`
	Data    []byte     `json:"data"`
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote"`
}

// Role is what a replica is doing.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String gives the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Message is the sealed set of messages between replicas.
type Message interface{ message() }

// Envelope is a message with its sender, receiver and the sender's term. In a
// PreVote and its granted reply, Term is the term that the sender would start.
type Envelope struct {
	From, To ID
	Term     uint64
	Message  Message
}

// PreVote asks whether a vote would be granted.
type PreVote struct{ LastIndex, LastTerm uint64 }

// PreVoteReply answers PreVote.
type PreVoteReply struct{ Granted bool }

// Vote asks for a vote. Transfer is set where the leader itself asked for the
// election; its lease then doesn't stand in the way.
type Vote struct {
	LastIndex, LastTerm uint64
	Transfer            bool
}

// VoteReply answers Vote.
type VoteReply struct{ Granted bool }

// Append carries entries, or none as a heartbeat. Round numbers the leader's
// messages in time.
type Append struct {
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Commit              uint64
	Round               uint64
}

// AppendReply answers Append and Install. Match is the last index known to be
// equal to the leader's log; of a rejection, the last that may be.
type AppendReply struct {
	Reject bool
	Match  uint64
	Round  uint64
}

// Install carries a whole snapshot.
type Install struct {
	Snapshot Snapshot
	Round    uint64
}

// TimeoutNow tells a voter to start an election at once.
type TimeoutNow struct{}

func (PreVote) message()      {}
func (PreVoteReply) message() {}
func (Vote) message()         {}
func (VoteReply) message()    {}
func (Append) message()       {}
func (AppendReply) message()  {}
func (Install) message()      {}
func (TimeoutNow) message()   {}

// Errors of proposals.
var (
	// ErrNotLeader says that this replica doesn't lead. Nothing was proposed.
	ErrNotLeader = errors.New("this replica doesn't lead")
	// ErrMembershipPending says that an earlier change of members is not
	// committed yet. Nothing was proposed.
	ErrMembershipPending = errors.New("a change of members is not committed yet")
)
