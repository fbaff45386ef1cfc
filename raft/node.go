package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Options configures a Node.
type Options struct {
	ID                ID
	ElectionTimeout   time.Duration // minimum time without a message from a leader before an election
	HeartbeatInterval time.Duration // interval between a leader's heartbeats
	// SkipLeaseWait states that nothing relies on LeaseUntil. A replica that has just
	// started then doesn't wait for the end of a leader's lease that it may have supported
	// before. If all replicas are killed at once, this brings back a leader that can
	// confirm reads after 0.8 s instead of 2.1 s (five voters in three regions, 80 ms
	// one-way delay).
	SkipLeaseWait bool
	Random        *rand.Rand
}

// MaxClockDrift is the largest tolerated relative difference between the rates of two hosts'
// clocks. A host that relies on another host's timed promise adds this margin to its wait.
const MaxClockDrift = 0.1

// maxAppendEntries is the maximum number of entries in one Append message.
const maxAppendEntries = 256

// State is the durable state from which a Node starts.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Commit is an index up to which the log is committed. It may be lower than the actual
	// commit index.
	Commit uint64
}

// progress is a leader's view of another replica.
type progress struct {
	// matchIndex is the last index known to be durable there, nextIndex the first index of the
	// next Append.
	matchIndex, nextIndex uint64

	ackedSentAt    time.Time // when the latest acknowledged round was sent
	ackedRound     uint64    // the latest acknowledged round
	lastHeard      time.Time // time of the last reply
	snapshotSentAt time.Time // when a snapshot was sent; zero if none is in flight
}

// Node is one replica's instance of the algorithm. It is not safe for concurrent use.
type Node struct {
	opts Options
	now  time.Time

	hard        HardState
	role        Role
	leader      ID
	termLeader  ID   // leader of the current term if this replica received a message from it, also once it is lost
	resigned    bool // termLeader doesn't lead any more
	log         entryLog
	commitIndex uint64

	membership      Membership
	membershipIndex uint64

	electionDeadline  time.Time // when to start the next election
	lastLeaderContact time.Time // last message from a leader, or the start of the replica
	nextHeartbeat     time.Time
	blocked           []interval    // of a leader: in which its disk blocked it for long
	diskTime          time.Duration // how long this replica's disk took recently to make something durable
	preVotes          map[ID]bool   // granted in the current pre-vote
	votes             map[ID]bool   // granted in the current term
	firstPreVote      bool          // role PreCandidate: this is the first attempt since it was follower or candidate
	peers             map[ID]*progress
	lastRound         uint64
	recentRounds      []sentRound // the last maxRecentRounds broadcasts, oldest first
	termStartIndex    uint64      // index of the first entry of this leader's term
	pendingReads      []pendingRead

	outgoing         []Envelope
	hardStateChanged bool // hard was changed since the last Ready
	durableIndex     uint64
	appliedIndex     uint64
	pendingInstall   *Snapshot
	finishedReads    []ReadResult
}

// sentRound is one broadcast of a leader. An acknowledgement of the round extends the lease
// from the time at which the round was sent.
type sentRound struct {
	round  uint64
	sentAt time.Time
}

// pendingRead is a read that is confirmed once a quorum has acknowledged round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// ReadResult is the result of Node.ReadIndex: the read may be served once Index has been
// applied. OK is false if the replica is not the leader or lost the leadership before the
// confirmation.
type ReadResult struct {
	ID    uint64
	Index uint64
	OK    bool
}

// New returns a follower that starts from the durable state.
func New(opts Options, state State, now time.Time) *Node {
	n := &Node{opts: opts, now: now, hard: state.Hard, lastLeaderContact: now}
	n.log.snapshot = state.Snapshot
	n.log.append(state.Entries...)
	n.commitIndex = max(state.Snapshot.Index, min(state.Commit, n.log.lastIndex()))
	n.appliedIndex = state.Snapshot.Index
	n.durableIndex = n.log.lastIndex()
	n.membership, n.membershipIndex = n.log.latestMembership()
	n.resetElectionDeadline()
	if opts.SkipLeaseWait {
		n.lastLeaderContact = time.Time{}
		n.electionDeadline = now.Add(n.firstElectionDelay())
	}
	return n
}

// firstElectionDelay returns how long a replica that has just started and needn't wait for a
// lease waits before its first election: long enough for hosts that were killed together to
// be back, plus a slot by position among the voters. The slots are two round trips between
// regions apart, so that one candidate wins before the next starts.
func (n *Node) firstElectionDelay() time.Duration {
	step := n.opts.ElectionTimeout / 10
	position := max(0, slices.Index(n.membership.Voters, n.opts.ID))
	slot := (uint64(position) + n.hard.Term) % uint64(max(1, len(n.membership.Voters)))
	return step + 3*step*time.Duration(slot) + time.Duration(n.opts.Random.Int64N(int64(step)))
}

// resetElectionDeadline sets a random time for the next election. A candidate retries sooner
// than a follower that has just lost its leader: a reply takes only one round trip and the
// voter's syncs, and the retry shortens the time without a leader after a split vote or a
// healed partition. Voters' disks are taken to be as slow as this replica's own. Other
// voters wait for a slot by position among the voters, which rotates with the term.
func (n *Node) resetElectionDeadline() {
	minDelay := n.opts.ElectionTimeout
	jitter := minDelay
	if n.role == PreCandidate || n.role == Candidate {
		minDelay /= 3
		jitter = minDelay
		minDelay += voterSyncs * n.diskTime
	} else if position := slices.Index(n.membership.Voters, n.opts.ID); position >= 0 {
		slot := minDelay / time.Duration(len(n.membership.Voters))
		minDelay += slot * time.Duration((uint64(position)+n.hard.Term)%uint64(len(n.membership.Voters)))
		jitter = slot / 2
	}
	n.electionDeadline = n.now.Add(minDelay + time.Duration(n.opts.Random.Int64N(int64(jitter))))
}

// Tick advances the node's clock to now, and starts an election, sends heartbeats or steps
// down if that is due.
func (n *Node) Tick(now time.Time) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.now.Before(n.electionDeadline) && n.membership.IsVoter(n.opts.ID) {
		n.campaign(PreCandidate, false)
	}
}

// Now returns the time of the last call that told the node the time.
func (n *Node) Now() time.Time { return n.now }

func (n *Node) advanceClock(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

func (n *Node) tickLeader() {
	if n.lostQuorum() {
		n.resign()
		return
	}
	if !n.now.Before(n.nextHeartbeat) {
		n.broadcast()
	}
}

// resign steps down for the lack of a majority. A voter campaigns at once: messages that
// it sent as leader may still be on their way, and followers that receive them would wait
// for it as if it led. Its pre-vote follows those messages and ends the wait.
func (n *Node) resign() {
	if n.membership.IsVoter(n.opts.ID) {
		n.campaign(PreCandidate, false)
		return
	}
	n.changeRole(Follower, n.hard.Term, None)
}

// quorumTimeout is how long a leader stays one without a majority. Leases rest on a leader
// that steps down before a voter that it reached last may vote again. Where nothing rests on
// it, that is too soon: the time counts from when the acknowledged round was sent, and a
// leader that steps down while its followers still wait for it leaves them without one.
func (n *Node) quorumTimeout() time.Duration {
	if n.opts.SkipLeaseWait {
		return n.opts.ElectionTimeout * 3 / 2
	}
	return n.opts.ElectionTimeout
}

// changeRole changes the role and the known leader. A new term clears the vote. A leader's
// pending reads fail.
func (n *Node) changeRole(role Role, term uint64, leader ID) {
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardStateChanged = true
		n.forgetTermLeader()
	}
	if n.role == Leader {
		n.failReads()
	}
	n.role, n.leader = role, leader
	n.preVotes = nil
	if role == Follower || role == Leader {
		n.votes = nil
	}
	n.resetElectionDeadline()
}

// campaign asks the other voters for their pre-votes (role PreCandidate) or starts a new term
// and asks for their votes (role Candidate). transfer is set if the leader requested the
// election.
func (n *Node) campaign(role Role, transfer bool) {
	n.firstPreVote = role == PreCandidate && n.role != PreCandidate
	n.changeRole(role, n.hard.Term, None)
	term := n.hard.Term + 1
	var request Message = PreVote{LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm()}
	if role == Candidate {
		n.hard = HardState{Term: term, Vote: n.opts.ID}
		n.hardStateChanged = true
		n.forgetTermLeader()
		request = Vote{LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), Transfer: transfer}
	}
	own := map[ID]bool{n.opts.ID: true}
	if role == Candidate {
		n.votes = own
	} else {
		n.preVotes = own
	}
	for _, peer := range n.membership.Voters {
		if peer != n.opts.ID {
			n.outgoing = append(n.outgoing, Envelope{n.opts.ID, peer, term, request})
		}
	}
	n.countVotes(transfer)
}

// countVotes moves on to the next stage of the campaign if a quorum has granted its vote. A
// pre-candidate still wins the term that it started last: a voter whose disk is slow may
// grant its vote only after the candidate has begun to ask for the next term.
func (n *Node) countVotes(transfer bool) {
	switch {
	case n.role != Follower && n.role != Leader && n.isQuorum(n.votes):
		n.becomeLeader()
	case n.role == PreCandidate && n.isQuorum(n.preVotes):
		n.campaign(Candidate, transfer)
	}
}

func (n *Node) isQuorum(granted map[ID]bool) bool {
	count := 0
	for _, voter := range n.membership.Voters {
		if granted[voter] {
			count++
		}
	}
	return count >= n.membership.Quorum()
}

func (n *Node) becomeLeader() {
	n.changeRole(Leader, n.hard.Term, n.opts.ID)
	n.peers = make(map[ID]*progress)
	n.recentRounds, n.blocked = nil, nil
	n.syncProgress()
	for _, p := range n.peers {
		p.ackedSentAt, p.lastHeard = n.now, n.now
	}
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: EntryEmpty})
	n.termStartIndex = n.log.lastIndex()
	n.advanceCommit()
	n.broadcast()
}

// syncProgress makes peers hold exactly one progress for each other member.
func (n *Node) syncProgress() {
	for id := range n.peers {
		if !n.membership.Contains(id) {
			delete(n.peers, id)
		}
	}
	for _, id := range slices.Concat(n.membership.Voters, n.membership.Learners) {
		if id != n.opts.ID && n.peers[id] == nil {
			n.peers[id] = &progress{nextIndex: n.log.lastIndex() + 1, lastHeard: n.now}
		}
	}
}

// broadcast starts a new round and sends one message to each peer.
func (n *Node) broadcast() {
	n.lastRound++
	n.recentRounds = append(n.recentRounds, sentRound{n.lastRound, n.now})
	if len(n.recentRounds) > maxRecentRounds {
		n.recentRounds = n.recentRounds[1:]
	}
	n.nextHeartbeat = n.now.Add(n.opts.HeartbeatInterval)
	// Follow the order of the membership, not of the map, so that equal inputs produce equal
	// messages.
	for _, id := range slices.Concat(n.membership.Voters, n.membership.Learners) {
		if p := n.peers[id]; p != nil {
			n.sendAppend(id, p)
		}
	}
}

// maxRecentRounds is the number of rounds whose sending time is stored.
const maxRecentRounds = 512

// snapshotRetryInterval is how long a leader waits for the reply to a snapshot before it
// sends the snapshot again.
const snapshotRetryInterval = 10 * time.Second

func (n *Node) sendAppend(id ID, p *progress) {
	prevTerm, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		if n.now.Sub(p.snapshotSentAt) > snapshotRetryInterval {
			p.snapshotSentAt = n.now
			n.outgoing = append(n.outgoing, Envelope{n.opts.ID, id, n.hard.Term, Install{Snapshot: n.log.snapshot, Round: n.lastRound}})
			return
		}
		// Send heartbeats while the snapshot is in flight, to keep the lease.
		n.outgoing = append(n.outgoing, Envelope{n.opts.ID, id, n.hard.Term, Append{PrevIndex: n.log.snapshot.Index, PrevTerm: n.log.snapshot.Term, Round: n.lastRound}})
		return
	}
	entries := n.log.slice(p.nextIndex, maxAppendEntries)
	n.outgoing = append(n.outgoing, Envelope{n.opts.ID, id, n.hard.Term, Append{
		PrevIndex: p.nextIndex - 1, PrevTerm: prevTerm, Entries: entries, Commit: n.commitIndex, Round: n.lastRound,
	}})
	p.nextIndex += uint64(len(entries))
}

// Propose appends a command to the log and returns the index and term of its entry. The
// command is committed if an entry of this index and term is committed.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	return n.propose(Entry{Kind: EntryCommand, Data: data})
}

// ProposeMembers appends a membership change, which takes effect at once. It may add or
// remove at most one voter.
func (n *Node) ProposeMembers(now time.Time, members Membership) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.membershipIndex > n.commitIndex || n.commitIndex < n.termStartIndex || !atMostOneChanged(n.membership.Voters, members.Voters) {
		return 0, 0, ErrMembershipChangeRejected
	}
	return n.propose(Entry{Kind: EntryMembership, Members: &members})
}

// atMostOneChanged reports whether a and b differ by at most one added or removed voter.
func atMostOneChanged(a, b []ID) bool {
	changes := 0
	for _, id := range a {
		if !slices.Contains(b, id) {
			changes++
		}
	}
	for _, id := range b {
		if !slices.Contains(a, id) {
			changes++
		}
	}
	return changes <= 1
}

func (n *Node) propose(e Entry) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e.Index, e.Term = n.log.lastIndex()+1, n.hard.Term
	n.log.append(e)
	if e.Kind == EntryMembership {
		n.setMembership(*e.Members, e.Index)
	}
	n.advanceCommit()
	n.broadcast()
	return e.Index, e.Term, nil
}

func (n *Node) setMembership(members Membership, index uint64) {
	n.membership, n.membershipIndex = members, index
	if n.role == Leader {
		n.syncProgress()
	}
}

// ReadIndex requests a linearizable read. A later Ready returns the result under the same id.
func (n *Node) ReadIndex(now time.Time, id uint64) {
	n.advanceClock(now)
	if n.role != Leader {
		n.finishedReads = append(n.finishedReads, ReadResult{ID: id})
		return
	}
	n.broadcast()
	// A new leader may not know the latest commit index, but all entries that were committed
	// in earlier terms precede the first entry of its own term.
	n.pendingReads = append(n.pendingReads, pendingRead{id, max(n.commitIndex, n.termStartIndex), n.lastRound})
	n.confirmReads()
}

func (n *Node) failReads() {
	for _, r := range n.pendingReads {
		n.finishedReads = append(n.finishedReads, ReadResult{ID: r.id})
	}
	n.pendingReads = nil
}

// confirmReads finishes the reads whose round a quorum has acknowledged.
func (n *Node) confirmReads() {
	round := n.quorumAckedRound()
	for len(n.pendingReads) > 0 && n.pendingReads[0].round <= round {
		n.finishedReads = append(n.finishedReads, ReadResult{n.pendingReads[0].id, n.pendingReads[0].index, true})
		n.pendingReads = n.pendingReads[1:]
	}
}

// TransferLeadership hands the leadership to another voter and steps down. It returns
// false, and changes nothing, if this replica is not the leader or the voter's log is not
// up to date.
func (n *Node) TransferLeadership(now time.Time, to ID) bool {
	n.advanceClock(now)
	p := n.peers[to]
	if n.role != Leader || p == nil || !n.membership.IsVoter(to) || p.matchIndex != n.log.lastIndex() {
		return false
	}
	n.outgoing = append(n.outgoing, Envelope{n.opts.ID, to, n.hard.Term, TimeoutNow{}})
	// Step down to end the lease now, since the other voter may win at once.
	n.changeRole(Follower, n.hard.Term, None)
	return true
}

// LeaseUntil returns the time until which no other replica can become leader. It returns the
// zero time if this replica is not the leader or has not committed an entry of its term.
func (n *Node) LeaseUntil() time.Time {
	if n.role != Leader || n.commitIndex < n.termStartIndex {
		return time.Time{}
	}
	safeDuration := time.Duration(float64(n.opts.ElectionTimeout) * (1 - MaxClockDrift))
	return n.quorumAckTime().Add(safeDuration)
}

// quorumValue returns the greatest value that a majority of the voters has reached. own is
// the value of this replica, valueOf returns that of another voter, and missing is the value
// of a voter without progress.
func quorumValue[T any](n *Node, own, missing T, valueOf func(*progress) T, compare func(a, b T) int) T {
	values := make([]T, 0, len(n.membership.Voters))
	for _, id := range n.membership.Voters {
		switch p := n.peers[id]; {
		case id == n.opts.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, valueOf(p))
		default:
			values = append(values, missing)
		}
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[n.membership.Quorum()-1]
}

// quorumAckTime returns when the latest round was sent that a quorum, including this replica,
// has acknowledged.
func (n *Node) quorumAckTime() time.Time {
	return quorumValue(n, n.now, time.Time{}, func(p *progress) time.Time { return p.ackedSentAt }, time.Time.Compare)
}

func (n *Node) quorumAckedRound() uint64 {
	return quorumValue(n, n.lastRound, 0, func(p *progress) uint64 { return p.ackedRound }, cmp.Compare[uint64])
}

// advanceCommit moves the commit index to the last entry that a quorum has made durable, if
// that entry is of the current term. Entries of earlier terms are only committed along with
// it.
func (n *Node) advanceCommit() {
	match := quorumValue(n, n.durableIndex, 0, func(p *progress) uint64 { return p.matchIndex }, cmp.Compare[uint64])
	if term, ok := n.log.term(match); ok && match > n.commitIndex && term == n.hard.Term {
		n.commitIndex = match
	}
}
