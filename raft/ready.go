// This file defines what a Node returns to its caller.

package raft

import (
	"slices"
	"time"
)

// Ready is one batch of work for the caller, which makes Hard, Install and Entries durable,
// in that order, restores the state machine from Install, then sends Messages, then applies
// Committed. It may send those that SplitMessages returns as early before anything is durable.
type Ready struct {
	Hard      *HardState // nil if unchanged
	Install   *Snapshot  // a received snapshot, which replaces the log and the state machine's state; nil for none
	Entries   []Entry    // to append, after truncating the log before the first one's index
	Messages  []Envelope
	Committed []Entry
	Reads     []ReadResult // reads that were confirmed or have failed

	ofLeader bool // of a leader whose term is durable
}

// Ready returns the pending work and clears it. The caller must do the work and call Advance
// before it calls Ready again.
func (n *Node) Ready() Ready {
	r := Ready{Messages: n.outgoing, Install: n.pendingInstall, Reads: n.finishedReads}
	n.outgoing, n.pendingInstall, n.finishedReads = nil, nil, nil
	r.ofLeader = n.role == Leader && !n.hardStateChanged
	if n.hardStateChanged {
		hard := n.hard
		r.Hard = &hard
		n.hardStateChanged = false
	}
	r.Entries = n.log.slice(n.durableIndex+1, int(n.log.lastIndex()-n.durableIndex))
	applied := n.appliedIndex
	if r.Install != nil {
		applied = r.Install.Index // by the time at which the caller applies Committed
	}
	if n.commitIndex > applied {
		r.Committed = n.log.slice(applied+1, int(min(n.commitIndex, n.log.lastIndex())-applied))
	}
	return r
}

// SplitMessages returns the messages that rest on nothing that isn't durable yet, and the
// others. A leader counts its own entries only once they are durable, so that followers may
// get them before: their disks and the leader's then work at the same time.
func (r Ready) SplitMessages() (early, late []Envelope) {
	if !r.ofLeader {
		return nil, r.Messages
	}
	for _, e := range r.Messages {
		if _, ok := e.Message.(Append); ok {
			early = append(early, e)
			continue
		}
		late = append(late, e)
	}
	return early, late
}

// Advance records that the work of r has been done. Only Advance moves the applied index: until
// then the caller's state machine may lack what r.Install and r.Committed contain.
func (n *Node) Advance(r Ready) {
	if k := len(r.Entries); k > 0 {
		last := r.Entries[k-1]
		if term, ok := n.log.term(last.Index); ok && term == last.Term {
			n.durableIndex = max(n.durableIndex, last.Index)
		}
	}
	if r.Install != nil {
		n.appliedIndex = r.Install.Index
	}
	if k := len(r.Committed); k > 0 {
		n.appliedIndex = r.Committed[k-1].Index
	}
	if n.role == Leader {
		before := n.commitIndex
		n.advanceCommit()
		if n.commitIndex > before && len(n.membership.Voters) > 1 {
			n.broadcast()
		}
	}
}

// Empty reports whether there is no work to do.
func (r Ready) Empty() bool {
	return !r.NeedsDisk() && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Compact replaces the entries up to index by a snapshot. data is the serialized state of the
// state machine after it has applied index. Compact returns false, and changes nothing, if
// index isn't applied yet or is already compacted.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.appliedIndex || index <= n.log.snapshot.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: term, Members: n.membershipAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

func (n *Node) membershipAt(index uint64) Membership {
	for i := index; i > n.log.snapshot.Index; i-- {
		if e := n.log.slice(i, 1)[0]; e.Kind == EntryMembership {
			return *e.Members
		}
	}
	return n.log.snapshot.Members
}

// Status is the observable state of a replica at one moment.
type Status struct {
	ID       ID
	Role     Role
	Term     uint64
	Leader   ID // None if unknown
	Commit   uint64
	Applied  uint64 // index up to which the state machine has applied the log
	Last     uint64 // index of the last entry of the log
	Members  Membership
	Lease    time.Time    // see Node.LeaseUntil
	Peers    []PeerStatus // empty unless this replica is the leader
	Snapshot uint64       // index of the latest snapshot
}

// PeerStatus is a leader's view of another replica.
type PeerStatus struct {
	ID    ID
	Match uint64    // last index known to be replicated there
	Heard time.Time // time of the last reply
}

// Status returns the current state of the replica.
func (n *Node) Status() Status {
	s := Status{
		ID: n.opts.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.commitIndex, Applied: n.appliedIndex,
		Last: n.log.lastIndex(), Members: n.membership, Lease: n.LeaseUntil(), Snapshot: n.log.snapshot.Index,
	}
	if n.role == Leader {
		for _, id := range slices.Concat(n.membership.Voters, n.membership.Learners) {
			if p := n.peers[id]; p != nil {
				s.Peers = append(s.Peers, PeerStatus{id, p.matchIndex, p.lastHeard})
			}
		}
	}
	return s
}

// Entries returns all entries after the snapshot, for a rewrite of the durable log.
func (n *Node) Entries() []Entry { return n.log.slice(n.log.snapshot.Index+1, len(n.log.entries)) }

// Hard returns the current hard state, for a rewrite of the durable log.
func (n *Node) Hard() HardState { return n.hard }
