package raft

import (
	"slices"

	"github.com/juju/errors"
)

// ID identifies a replica. A replica that lost its data folder rejoins under a new ID, so
// that it can't vote a second time in a term in which it has voted.
type ID string

// None stands for "no replica", such as an unknown leader or a vote not yet cast.
const None ID = ""

// EntryKind is the type of an entry's content.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // Data is a command for the state machine
	EntryEmpty                       // the first entry of a leader's term, without content
	EntryMembership                  // Members is the new membership
)

// Entry is one entry of the log. The first index is 1.
type Entry struct {
	Index   uint64      `json:"i"`
	Term    uint64      `json:"t"`
	Kind    EntryKind   `json:"k,omitempty"`
	Data    []byte      `json:"d,omitempty"`
	Members *Membership `json:"m,omitempty"`
}

// Strings returns the IDs as strings, for logs.
func Strings(ids []ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

// Membership lists the replicas of the group. Voters elect the leader and count towards the
// commit quorum; learners only receive the log.
type Membership struct {
	Voters   []ID `json:"voters"`
	Learners []ID `json:"learners,omitempty"`
}

// IsVoter reports whether the replica is a voter.
func (m Membership) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// Contains reports whether the replica is a member: a voter or a learner.
func (m Membership) Contains(id ID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// Quorum returns the smallest number of voters that is a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns a copy of the membership with the replica added as a learner.
func (m Membership) WithLearner(id ID) Membership {
	return Membership{slices.Clone(m.Voters), append(slices.Clone(m.Learners), id)}
}

// WithVoter returns a copy of the membership in which the replica is a voter and no longer a
// learner.
func (m Membership) WithVoter(id ID) Membership {
	return Membership{append(slices.Clone(m.Voters), id), removeID(m.Learners, id)}
}

// Without returns a copy of the membership from which the replica is removed.
func (m Membership) Without(id ID) Membership {
	return Membership{removeID(m.Voters, id), removeID(m.Learners, id)}
}

func removeID(ids []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(ids), func(other ID) bool { return other == id })
}

// Snapshot replaces all entries up to and including Index. Data is the serialized state of
// the state machine at that index.
type Snapshot struct {
	Index   uint64     `json:"index"`
	Term    uint64     `json:"term"`
	Members Membership `json:"members"`
	Data    []byte     `json:"data"`
}

// HardState is the current term and the vote cast in it. It must be durable before any
// message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote"`
}

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica. A PreCandidate runs a pre-vote before it becomes a Candidate.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Message is the sealed set of messages between replicas.
type Message interface{ message() }

// Envelope is a message with its sender, its receiver and the sender's term. In a PreVote
// and in a reply that grants it, Term is the term that the pre-candidate would start.
type Envelope struct {
	From, To ID
	Term     uint64
	Message  Message
}

// PreVote asks whether the receiver would vote for the sender, without starting a term.
type PreVote struct{ LastIndex, LastTerm uint64 }

// PreVoteReply is the reply to PreVote.
type PreVoteReply struct{ Granted bool }

// Vote requests a vote. Transfer is set if the leader itself started this election by
// TimeoutNow; voters then grant the vote although the leader's lease may still run.
type Vote struct {
	LastIndex, LastTerm uint64
	Transfer            bool
}

// VoteReply is the reply to Vote.
type VoteReply struct{ Granted bool }

// Append carries log entries; without entries it is a heartbeat. Round is the number of the
// leader's last broadcast, which the reply returns, so that the leader knows from when the
// acknowledgement dates.
type Append struct {
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Commit              uint64
	Round               uint64
}

// AppendReply is the reply to Append and Install. Match is the last index up to which the
// sender's log is known to equal the leader's; in a rejection, the last index up to which it
// may be equal.
type AppendReply struct {
	Reject bool
	Match  uint64
	Round  uint64
}

// Install carries a whole snapshot, for a replica that needs entries which the leader has
// compacted.
type Install struct {
	Snapshot Snapshot
	Round    uint64
}

// TimeoutNow asks a voter to start an election at once, to transfer leadership to it.
type TimeoutNow struct{}

func (PreVote) message()      {}
func (PreVoteReply) message() {}
func (Vote) message()         {}
func (VoteReply) message()    {}
func (Append) message()       {}
func (AppendReply) message()  {}
func (Install) message()      {}
func (TimeoutNow) message()   {}

// Errors returned for proposals.
var (
	// ErrNotLeader means that this replica is not the leader. Nothing was proposed.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrMembershipChangeRejected means that the membership can't be changed in this way
	// now: an earlier change or the first entry of the leader's term is not committed yet,
	// or the change adds or removes more than one voter. Nothing was proposed.
	ErrMembershipChangeRejected = errors.New("a membership change is not committed yet")
)
