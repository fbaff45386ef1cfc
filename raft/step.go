// This file defines how a Node takes messages.

package raft

import "time"

// Step takes a message that has arrived.
func (n *Node) Step(now time.Time, e Envelope) {
	n.setNow(now)
	if e.To != n.opts.ID {
		return // meant for an identity that this host has lost
	}
	if !n.acceptTerm(e) {
		return
	}
	switch m := e.Message.(type) {
	case PreVote:
		n.onPreVote(e, m)
	case PreVoteReply:
		n.onVoteReply(e.From, PreCandidate, m.Granted)
	case Vote:
		n.onVote(e, m)
	case VoteReply:
		n.onVoteReply(e.From, Candidate, m.Granted)
	case Append:
		n.onAppend(e, m)
	case AppendReply:
		n.onAppendReply(e.From, m)
	case Install:
		n.onInstall(e, m)
	case TimeoutNow:
		if n.members.IsVoter(n.opts.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// acceptTerm takes over a newer term and answers an older one, so that its
// sender learns of ours. It tells whether the message counts.
func (n *Node) acceptTerm(e Envelope) bool {
	switch m := e.Message.(type) {
	case PreVote:
		return true // changes nobody's term
	case PreVoteReply:
		if m.Granted {
			return e.Term == n.hard.Term+1
		}
	case Vote:
		if !m.Transfer && n.hasLeader() {
			return false // the leader's lease still runs
		}
	}
	if e.Term > n.hard.Term {
		leader := None
		switch e.Message.(type) {
		case Append, Install:
			leader = e.From
		}
		n.become(Follower, e.Term, leader)
	}
	if e.Term < n.hard.Term {
		n.refuseOld(e)
		return false
	}
	return true
}

func (n *Node) refuseOld(e Envelope) {
	switch e.Message.(type) {
	case Append, Install:
		n.reply(e, AppendReply{Reject: true, Match: n.commit})
	case Vote:
		n.reply(e, VoteReply{})
	}
}

func (n *Node) reply(e Envelope, m Message) {
	n.out = append(n.out, Envelope{n.opts.ID, e.From, n.hard.Term, m})
}

// hasLeader tells whether a leader has been heard so lately that its lease may
// run. The start counts as such, for what was heard before it is forgotten.
func (n *Node) hasLeader() bool {
	return n.role == Leader || n.now.Before(n.contact.Add(n.opts.Election))
}

func (n *Node) upToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != n.log.lastTerm() {
		return lastTerm > n.log.lastTerm()
	}
	return lastIndex >= n.log.lastIndex()
}

func (n *Node) onPreVote(e Envelope, m PreVote) {
	granted := e.Term > n.hard.Term && !n.hasLeader() && n.upToDate(m.LastIndex, m.LastTerm)
	term := n.hard.Term
	if granted {
		term = e.Term
	}
	n.out = append(n.out, Envelope{n.opts.ID, e.From, term, PreVoteReply{Granted: granted}})
}

func (n *Node) onVote(e Envelope, m Vote) {
	free := n.hard.Vote == None || n.hard.Vote == e.From
	granted := free && n.role == Follower && n.upToDate(m.LastIndex, m.LastTerm)
	if granted {
		n.hard.Vote = e.From
		n.changed = true
		n.resetElection()
	}
	n.reply(e, VoteReply{Granted: granted})
}

func (n *Node) onVoteReply(from ID, role Role, granted bool) {
	if n.role != role || !granted {
		return
	}
	n.votes[from] = true
	n.tally(false)
}

// follow notes a word of this term's leader.
func (n *Node) follow(leader ID) {
	if n.role != Follower {
		n.become(Follower, n.hard.Term, leader)
	}
	n.leader = leader
	n.contact = n.now
	n.resetElection()
}

func (n *Node) onAppend(e Envelope, m Append) {
	n.follow(e.From)
	m = n.skipCommitted(m)
	if term, ok := n.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		hint := min(m.PrevIndex-1, n.log.lastIndex())
		n.reply(e, AppendReply{Reject: true, Match: max(hint, n.commit), Round: m.Round})
		return
	}
	n.appendNew(m.Entries)
	match := m.PrevIndex + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, match))
	n.reply(e, AppendReply{Match: match, Round: m.Round})
}

// skipCommitted takes off the entries that are committed here already: up to
// there the two logs are equal.
func (n *Node) skipCommitted(m Append) Append {
	if m.PrevIndex >= n.commit {
		return m
	}
	skip := min(uint64(len(m.Entries)), n.commit-m.PrevIndex)
	m.Entries = m.Entries[skip:]
	m.PrevIndex = n.commit
	m.PrevTerm, _ = n.log.term(n.commit)
	return m
}

// appendNew adds the entries that the log lacks, and cuts off its own only
// where they differ: a late message must not shorten the log.
func (n *Node) appendNew(entries []Entry) {
	for i, entry := range entries {
		if term, ok := n.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		n.log.append(entries[i:]...)
		n.stable = min(n.stable, entry.Index-1)
		members, index := n.log.members()
		n.setMembers(members, index)
		return
	}
}

func (n *Node) onAppendReply(from ID, m AppendReply) {
	p := n.peers[from]
	if n.role != Leader || p == nil {
		return
	}
	p.heard = n.now
	n.noteRound(p, m.Round)
	if m.Reject {
		p.next = max(p.match, m.Match) + 1
		if p.next > n.log.lastIndex()+1 {
			p.next = n.log.lastIndex() + 1
		}
		if n.now.Sub(p.installing) > installTime {
			n.send(from, p)
		}
		return
	}
	p.installing = time.Time{}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	before := n.commit
	n.maybeCommit()
	if n.commit > before {
		n.broadcast() // tell the others without waiting for the next beat
	} else if p.next <= n.log.lastIndex() {
		n.send(from, p)
	}
	n.confirmReads()
}

// noteRound notes when the round that a peer answered was sent.
func (n *Node) noteRound(p *progress, round uint64) {
	if round <= p.round {
		return
	}
	p.round = round
	for _, sent := range n.rounds {
		if sent.round == round {
			p.acked = sent.at
		}
	}
}

func (n *Node) onInstall(e Envelope, m Install) {
	n.follow(e.From)
	s := m.Snapshot
	if s.Index <= n.commit {
		n.reply(e, AppendReply{Match: n.commit, Round: m.Round})
		return
	}
	if term, ok := n.log.term(s.Index); !ok || term != s.Term {
		n.log.entries = nil
		n.log.snapshot = Snapshot{Index: s.Index}
	}
	n.log.compact(s)
	n.log.snapshot = s
	n.commit, n.applied = s.Index, s.Index
	n.stable = n.log.lastIndex()
	n.install = &s
	members, index := n.log.members()
	n.setMembers(members, index)
	n.reply(e, AppendReply{Match: s.Index, Round: m.Round})
}
