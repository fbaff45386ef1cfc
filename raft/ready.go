// This file defines what a Node asks of its owner.

package raft

import (
	"slices"
	"time"
)

// Ready is one batch of work. The owner makes Hard, Install and Entries
// durable, in that order, then sends Messages, then applies Committed.
type Ready struct {
	Hard      *HardState // nil if unchanged
	Install   *Snapshot  // replaces the whole log and the state machine
	Entries   []Entry    // to append, replacing all from the first's index on
	Messages  []Envelope
	Committed []Entry
	Reads     []Read
}

// Ready takes the work that has come up. The owner must do it, and call Done,
// before the next.
func (n *Node) Ready() Ready {
	r := Ready{Messages: n.out, Install: n.install, Reads: n.readable}
	n.out, n.install, n.readable = nil, nil, nil
	if n.changed {
		hard := n.hard
		r.Hard = &hard
		n.changed = false
	}
	r.Entries = n.log.slice(n.stable+1, int(n.log.lastIndex()-n.stable))
	if n.commit > n.applied {
		r.Committed = n.log.slice(n.applied+1, int(min(n.commit, n.log.lastIndex())-n.applied))
	}
	return r
}

// Done tells that a Ready's work has been done.
func (n *Node) Done(r Ready) {
	if k := len(r.Entries); k > 0 {
		last := r.Entries[k-1]
		if term, ok := n.log.term(last.Index); ok && term == last.Term {
			n.stable = max(n.stable, last.Index)
		}
	}
	if k := len(r.Committed); k > 0 {
		n.applied = r.Committed[k-1].Index
	}
	if n.role == Leader {
		before := n.commit
		n.maybeCommit()
		if n.commit > before && len(n.members.Voters) > 1 {
			n.broadcast()
		}
	}
}

// Empty tells whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.Hard == nil && r.Install == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Compact puts a snapshot of the state machine, applied up to index, in the
// place of the entries before it.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index <= n.log.snapshot.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

func (n *Node) membersAt(index uint64) Membership {
	for i := index; i > n.log.snapshot.Index; i-- {
		if e := n.log.slice(i, 1)[0]; e.Kind == EntryMembership {
			return *e.Members
		}
	}
	return n.log.snapshot.Members
}

// Status describes a replica.
type Status struct {
	ID       ID
	Role     Role
	Term     uint64
	Leader   ID
	Commit   uint64
	Applied  uint64
	Last     uint64
	Members  Membership
	Lease    time.Time
	Peers    []PeerStatus // of a leader
	Snapshot uint64
}

// PeerStatus is what a leader knows of another replica.
type PeerStatus struct {
	ID    ID
	Match uint64
	Heard time.Time
}

// Status gives the state of the replica.
func (n *Node) Status() Status {
	s := Status{
		ID: n.opts.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		Last: n.log.lastIndex(), Members: n.members, Lease: n.LeaseUntil(), Snapshot: n.log.snapshot.Index,
	}
	if n.role == Leader {
		for _, id := range slices.Concat(n.members.Voters, n.members.Learners) {
			if p := n.peers[id]; p != nil {
				s.Peers = append(s.Peers, PeerStatus{id, p.match, p.heard})
			}
		}
	}
	return s
}

// Entries gives the entries after the snapshot, for rewriting the durable log.
func (n *Node) Entries() []Entry { return n.log.slice(n.log.snapshot.Index+1, len(n.log.entries)) }

// Hard gives the hard state.
func (n *Node) Hard() HardState { return n.hard }
