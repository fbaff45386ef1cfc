// This file defines how a Node handles messages from other replicas.

package raft

import "time"

// Step handles a message that has arrived.
func (n *Node) Step(now time.Time, e Envelope) {
	n.advanceClock(now)
	if e.To != n.opts.ID {
		return // addressed to an ID that this host had before it lost its data
	}
	n.noteResignation(e)
	if n.fromResignedLeader(e) {
		return
	}
	if !n.acceptTerm(e) {
		return
	}
	switch m := e.Message.(type) {
	case PreVote:
		n.handlePreVote(e, m)
	case PreVoteReply:
		n.handlePreVoteReply(e.From, m.Granted)
	case Vote:
		n.handleVote(e, m)
	case VoteReply:
		n.handleVoteReply(e.From, m.Granted)
	case Append:
		n.handleAppend(e, m)
	case AppendReply:
		n.handleAppendReply(e.From, m)
	case Install:
		n.handleInstall(e, m)
	case TimeoutNow:
		if n.membership.IsVoter(n.opts.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// noteResignation handles a request for a vote that the leader of the current term sends for
// a later one: it doesn't lead any more, so nothing needs to wait for it, however recent the
// last message from it is. A request that it sent before it led may be for a later term too,
// since a pre-candidate still wins the term that it started last, but then its log had no
// entry of the current term yet.
func (n *Node) noteResignation(e Envelope) {
	var lastTerm uint64
	switch m := e.Message.(type) {
	case PreVote:
		lastTerm = m.LastTerm
	case Vote:
		lastTerm = m.LastTerm
	default:
		return
	}
	if e.From != n.termLeader || e.Term <= n.hard.Term || lastTerm != n.hard.Term {
		return
	}
	n.resigned = true
	n.leader = None
	n.lastLeaderContact = time.Time{}
}

// fromResignedLeader reports whether e is a message that the leader of the current term sent
// before it resigned. A connection that was blocked delivers such messages seconds later.
func (n *Node) fromResignedLeader(e Envelope) bool {
	switch e.Message.(type) {
	case Append, Install:
		return n.resigned && e.Term == n.hard.Term
	default:
		return false
	}
}

func (n *Node) forgetTermLeader() { n.termLeader, n.resigned = None, false }

// acceptTerm adopts the term of the message if it is newer, and rejects a message of an
// older term, so that its sender learns the current one. It reports whether the message
// should be handled.
func (n *Node) acceptTerm(e Envelope) bool {
	switch m := e.Message.(type) {
	case PreVote:
		return true // a pre-vote doesn't change the receiver's term
	case PreVoteReply:
		if m.Granted {
			return e.Term == n.hard.Term+1
		}
	case Vote:
		if !m.Transfer && n.leaderLeaseMayRun() {
			return false // the leader's lease may still run
		}
	}
	if e.Term > n.hard.Term {
		leader := None
		switch e.Message.(type) {
		case Append, Install:
			leader = e.From
		}
		n.changeRole(Follower, e.Term, leader)
	}
	if e.Term < n.hard.Term {
		n.rejectStaleTerm(e)
		return false
	}
	return true
}

func (n *Node) rejectStaleTerm(e Envelope) {
	switch e.Message.(type) {
	case Append, Install:
		n.reply(e, AppendReply{Reject: true, Match: n.commitIndex})
	case Vote:
		n.reply(e, VoteReply{})
	}
}

func (n *Node) reply(e Envelope, m Message) {
	n.outgoing = append(n.outgoing, Envelope{n.opts.ID, e.From, n.hard.Term, m})
}

// leaderLeaseMayRun reports whether a leader's lease may still run: this replica leads, or it
// received a message from the leader within the last election timeout. The start of the
// replica counts as such a message, since contacts before it are forgotten.
func (n *Node) leaderLeaseMayRun() bool {
	return n.role == Leader || n.now.Before(n.lastLeaderContact.Add(n.opts.ElectionTimeout))
}

func (n *Node) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != n.log.lastTerm() {
		return lastTerm > n.log.lastTerm()
	}
	return lastIndex >= n.log.lastIndex()
}

func (n *Node) handlePreVote(e Envelope, m PreVote) {
	granted := e.Term > n.hard.Term && !n.leaderLeaseMayRun() && n.isUpToDate(m.LastIndex, m.LastTerm) && !n.precedes(e.From, m)
	term := n.hard.Term
	if granted {
		term = e.Term
	}
	n.outgoing = append(n.outgoing, Envelope{n.opts.ID, e.From, term, PreVoteReply{Granted: granted}})
}

// precedes reports whether this replica is a pre-candidate that another one with an equal log
// yields to. If both granted each other's pre-votes, both would start the same term and vote
// for themselves, again and again where a campaign takes as long as the time between two. A
// pre-candidate that didn't win its first attempt may lack a link that the other one has.
func (n *Node) precedes(other ID, m PreVote) bool {
	equalLogs := m.LastIndex == n.log.lastIndex() && m.LastTerm == n.log.lastTerm()
	return n.role == PreCandidate && n.firstPreVote && equalLogs && n.opts.ID < other
}

func (n *Node) handleVote(e Envelope, m Vote) {
	canVote := n.hard.Vote == None || n.hard.Vote == e.From
	granted := canVote && n.role == Follower && n.isUpToDate(m.LastIndex, m.LastTerm)
	if granted {
		n.hard.Vote = e.From
		n.hardStateChanged = true
		n.resetElectionDeadline()
	}
	n.reply(e, VoteReply{Granted: granted})
}

func (n *Node) handlePreVoteReply(from ID, granted bool) {
	if n.preVotes == nil || !granted {
		return
	}
	n.preVotes[from] = true
	n.countVotes(false)
}

func (n *Node) handleVoteReply(from ID, granted bool) {
	if n.votes == nil || !granted {
		return
	}
	n.votes[from] = true
	n.countVotes(false)
}

// acceptLeader records a message from the leader of the current term.
func (n *Node) acceptLeader(leader ID) {
	if n.role != Follower {
		n.changeRole(Follower, n.hard.Term, leader)
	}
	n.leader, n.termLeader = leader, leader
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
}

func (n *Node) handleAppend(e Envelope, m Append) {
	n.acceptLeader(e.From)
	m = n.skipCommittedEntries(m)
	if term, ok := n.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		hint := min(m.PrevIndex-1, n.log.lastIndex())
		n.reply(e, AppendReply{Reject: true, Match: max(hint, n.commitIndex), Round: m.Round})
		return
	}
	n.appendMissing(m.Entries)
	match := m.PrevIndex + uint64(len(m.Entries))
	n.commitIndex = max(n.commitIndex, min(m.Commit, match))
	n.reply(e, AppendReply{Match: match, Round: m.Round})
}

// skipCommittedEntries removes the entries that are already committed here: up to the commit
// index this log equals the leader's.
func (n *Node) skipCommittedEntries(m Append) Append {
	if m.PrevIndex >= n.commitIndex {
		return m
	}
	skip := min(uint64(len(m.Entries)), n.commitIndex-m.PrevIndex)
	m.Entries = m.Entries[skip:]
	m.PrevIndex = n.commitIndex
	m.PrevTerm, _ = n.log.term(n.commitIndex)
	return m
}

// appendMissing appends the entries that the log lacks. It truncates the log only at the
// first entry that differs, since a delayed message must not shorten the log.
func (n *Node) appendMissing(entries []Entry) {
	for i, entry := range entries {
		if term, ok := n.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		n.log.append(entries[i:]...)
		n.durableIndex = min(n.durableIndex, entry.Index-1)
		members, index := n.log.latestMembership()
		n.setMembership(members, index)
		return
	}
}

func (n *Node) handleAppendReply(from ID, m AppendReply) {
	p := n.peers[from]
	if n.role != Leader || p == nil {
		return
	}
	p.lastHeard = n.now
	n.recordAck(p, m.Round)
	if m.Reject {
		p.nextIndex = max(p.matchIndex, m.Match) + 1
		if p.nextIndex > n.log.lastIndex()+1 {
			p.nextIndex = n.log.lastIndex() + 1
		}
		if n.now.Sub(p.snapshotSentAt) > snapshotRetryInterval {
			n.sendAppend(from, p)
		}
		return
	}
	p.snapshotSentAt = time.Time{}
	p.matchIndex = max(p.matchIndex, m.Match)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	before := n.commitIndex
	n.advanceCommit()
	if n.commitIndex > before {
		n.broadcast() // propagate the commit index without waiting for the next heartbeat
	} else if p.nextIndex <= n.log.lastIndex() {
		n.sendAppend(from, p)
	}
	n.confirmReads()
}

// recordAck records that a peer has acknowledged a round, and when that round was sent.
func (n *Node) recordAck(p *progress, round uint64) {
	if round <= p.ackedRound {
		return
	}
	p.ackedRound = round
	for _, sent := range n.recentRounds {
		if sent.round == round {
			p.ackedSentAt = sent.sentAt
		}
	}
}

func (n *Node) handleInstall(e Envelope, m Install) {
	n.acceptLeader(e.From)
	s := m.Snapshot
	if s.Index <= n.commitIndex {
		n.reply(e, AppendReply{Match: n.commitIndex, Round: m.Round})
		return
	}
	if term, ok := n.log.term(s.Index); !ok || term != s.Term {
		n.log.entries = nil
		n.log.snapshot = Snapshot{Index: s.Index}
	}
	n.log.compact(s)
	n.log.snapshot = s
	n.commitIndex = s.Index
	n.durableIndex = n.log.lastIndex()
	n.pendingInstall = &s
	members, index := n.log.latestMembership()
	n.setMembership(members, index)
	n.reply(e, AppendReply{Match: s.Index, Round: m.Round})
}
