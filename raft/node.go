package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Options shapes a Node.
type Options struct {
	ID        ID
	Election  time.Duration // least time without a leader before an election
	Heartbeat time.Duration
	// NoLease says that nobody relies on LeaseUntil, nor serves reads by it: a replica
	// that has just started needn't wait until the lease of a leader that it has forgotten
	// is over. After all were killed, a leader that could confirm reads was there after
	// 2.1 s, and is after 0.8 s (five voters in three regions, 80 ms apart one way).
	NoLease bool
	Random  *rand.Rand
}

// DriftShare is by how much the rates of two hosts' clocks may differ. Every
// wait that one host's promise to another rests on is longer by this share.
const DriftShare = 0.1

// maxAppend bounds the entries of one message.
const maxAppend = 256

// State is what a Node starts from: what was durable.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Commit is the index up to which the log is known to be committed; it
	// may be older than the truth.
	Commit uint64
}

// progress is what a leader knows of another replica.
type progress struct {
	match, next uint64
	acked       time.Time // when the newest round that it answered was sent
	round       uint64    // the newest round that it answered
	heard       time.Time
	installing  time.Time // when a snapshot was sent, zero for none on its way
}

// Node is one replica. New makes one; it is not safe for concurrent use.
type Node struct {
	opts Options
	now  time.Time

	hard   HardState
	role   Role
	leader ID
	log    entryLog
	commit uint64

	members      Membership
	membersIndex uint64

	electionAt time.Time // when to start an election
	contact    time.Time // last word of a leader, or the start
	beatAt     time.Time
	votes      map[ID]bool
	peers      map[ID]*progress
	round      uint64
	rounds     []sentRound // not yet answered by a quorum, oldest first
	termStart  uint64      // index of the first entry of this leader's term
	reads      []pendingRead

	out      []Envelope
	changed  bool // hard state
	stable   uint64
	applied  uint64
	install  *Snapshot
	readable []Read
}

type sentRound struct {
	round uint64
	at    time.Time
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Read is a read that may now be served, once Index has been applied. OK is
// false where leadership was lost first.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// New makes a replica from what was durable.
func New(opts Options, state State, now time.Time) *Node {
	n := &Node{opts: opts, now: now, hard: state.Hard, contact: now}
	n.log.snapshot = state.Snapshot
	n.log.append(state.Entries...)
	n.commit = max(state.Snapshot.Index, min(state.Commit, n.log.lastIndex()))
	n.applied = state.Snapshot.Index
	n.stable = n.log.lastIndex()
	n.members, n.membersIndex = n.log.members()
	n.resetElection()
	if opts.NoLease {
		n.contact = time.Time{}
		n.electionAt = now.Add(n.firstElection())
	}
	return n
}

// firstElection gives when a replica that has just started stands, where it needn't wait
// for a lease: at once, but for the time within which hosts that were killed together are
// back, and in turn, two round trips between regions apart.
func (n *Node) firstElection() time.Duration {
	step := n.opts.Election / 10
	at := max(0, slices.Index(n.members.Voters, n.opts.ID))
	turn := (uint64(at) + n.hard.Term) % uint64(max(1, len(n.members.Voters)))
	return step + 3*step*time.Duration(turn) + time.Duration(n.opts.Random.Int64N(int64(step)))
}

// resetElection draws when to start the next election. Who has asked for votes
// already tries again sooner than one who has just lost a leader: an answer takes
// one round trip, and after a cut has healed, or votes were split, the time
// without a leader ends that much earlier. All others wait for their turn.
func (n *Node) resetElection() {
	least := n.opts.Election
	spread := least
	if n.role == PreCandidate || n.role == Candidate {
		least /= 3
		spread = least
	} else if at := slices.Index(n.members.Voters, n.opts.ID); at >= 0 {
		turn := least / time.Duration(len(n.members.Voters))
		least += turn * time.Duration((uint64(at)+n.hard.Term)%uint64(len(n.members.Voters)))
		spread = turn / 2
	}
	n.electionAt = n.now.Add(least + time.Duration(n.opts.Random.Int64N(int64(spread))))
}

// Tick tells the node the time.
func (n *Node) Tick(now time.Time) {
	n.setNow(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.now.Before(n.electionAt) && n.members.IsVoter(n.opts.ID) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) setNow(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

func (n *Node) tickLeader() {
	if n.quorumHeard().Add(n.opts.Election).Before(n.now) {
		n.become(Follower, n.hard.Term, None)
		return
	}
	if !n.now.Before(n.beatAt) {
		n.broadcast()
	}
}

// become changes role, and term if it is a new one.
func (n *Node) become(role Role, term uint64, leader ID) {
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.changed = true
	}
	if n.role == Leader {
		n.failReads()
	}
	n.role, n.leader = role, leader
	n.votes = nil
	n.resetElection()
}

func (n *Node) campaign(role Role, transfer bool) {
	n.become(role, n.hard.Term, None)
	term := n.hard.Term + 1
	var ask Message = PreVote{LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm()}
	if role == Candidate {
		n.hard = HardState{Term: term, Vote: n.opts.ID}
		n.changed = true
		ask = Vote{LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), Transfer: transfer}
	}
	n.votes = map[ID]bool{n.opts.ID: true}
	for _, peer := range n.members.Voters {
		if peer != n.opts.ID {
			n.out = append(n.out, Envelope{n.opts.ID, peer, term, ask})
		}
	}
	n.tally(transfer)
}

// tally counts the votes of this campaign.
func (n *Node) tally(transfer bool) {
	granted := 0
	for _, voter := range n.members.Voters {
		if n.votes[voter] {
			granted++
		}
	}
	if granted < n.members.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, transfer)
		return
	}
	n.lead()
}

func (n *Node) lead() {
	n.become(Leader, n.hard.Term, n.opts.ID)
	n.peers = make(map[ID]*progress)
	n.rounds = nil
	n.trackPeers()
	for _, p := range n.peers {
		p.acked, p.heard = n.now, n.now
	}
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: EntryEmpty})
	n.termStart = n.log.lastIndex()
	n.maybeCommit()
	n.broadcast()
}

// trackPeers keeps a progress for each other member.
func (n *Node) trackPeers() {
	for id := range n.peers {
		if !n.members.Has(id) {
			delete(n.peers, id)
		}
	}
	for _, id := range slices.Concat(n.members.Voters, n.members.Learners) {
		if id != n.opts.ID && n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.lastIndex() + 1, heard: n.now}
		}
	}
}

// broadcast starts a new round: one message to each peer.
func (n *Node) broadcast() {
	n.round++
	n.rounds = append(n.rounds, sentRound{n.round, n.now})
	if len(n.rounds) > maxRounds {
		n.rounds = n.rounds[1:]
	}
	n.beatAt = n.now.Add(n.opts.Heartbeat)
	// In the order of the members, so that equal inputs give equal messages.
	for _, id := range slices.Concat(n.members.Voters, n.members.Learners) {
		if p := n.peers[id]; p != nil {
			n.send(id, p)
		}
	}
}

// maxRounds bounds the rounds whose sending time is remembered.
const maxRounds = 512

// installTime is how long a snapshot may be on its way before it is sent
// again.
const installTime = 10 * time.Second

func (n *Node) send(id ID, p *progress) {
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		if n.now.Sub(p.installing) > installTime {
			p.installing = n.now
			n.out = append(n.out, Envelope{n.opts.ID, id, n.hard.Term, Install{Snapshot: n.log.snapshot, Round: n.round}})
			return
		}
		// Keep the lease alive while the snapshot travels.
		n.out = append(n.out, Envelope{n.opts.ID, id, n.hard.Term, Append{PrevIndex: n.log.snapshot.Index, PrevTerm: n.log.snapshot.Term, Round: n.round}})
		return
	}
	entries := n.log.slice(p.next, maxAppend)
	n.out = append(n.out, Envelope{n.opts.ID, id, n.hard.Term, Append{
		PrevIndex: p.next - 1, PrevTerm: prevTerm, Entries: entries, Commit: n.commit, Round: n.round,
	}})
	p.next += uint64(len(entries))
}

// Propose appends a command; it gives the entry's place.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.setNow(now)
	return n.propose(Entry{Kind: EntryCommand, Data: data})
}

// ProposeMembers appends a change of members, which takes effect at once. It
// may add or take away one voter only.
func (n *Node) ProposeMembers(now time.Time, members Membership) (index, term uint64, err error) {
	n.setNow(now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.membersIndex > n.commit || n.commit < n.termStart || !oneApart(n.members.Voters, members.Voters) {
		return 0, 0, ErrMembershipPending
	}
	return n.propose(Entry{Kind: EntryMembership, Members: &members})
}

// oneApart tells whether at most one voter was added or taken away.
func oneApart(a, b []ID) bool {
	apart := 0
	for _, id := range a {
		if !slices.Contains(b, id) {
			apart++
		}
	}
	for _, id := range b {
		if !slices.Contains(a, id) {
			apart++
		}
	}
	return apart <= 1
}

func (n *Node) propose(e Entry) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e.Index, e.Term = n.log.lastIndex()+1, n.hard.Term
	n.log.append(e)
	if e.Kind == EntryMembership {
		n.setMembers(*e.Members, e.Index)
	}
	n.maybeCommit()
	n.broadcast()
	return e.Index, e.Term, nil
}

func (n *Node) setMembers(members Membership, index uint64) {
	n.members, n.membersIndex = members, index
	if n.role == Leader {
		n.trackPeers()
	}
}

// Read asks for a linearizable read. Its outcome comes with a later Ready.
func (n *Node) Read(now time.Time, id uint64) {
	n.setNow(now)
	if n.role != Leader {
		n.readable = append(n.readable, Read{ID: id})
		return
	}
	n.broadcast()
	// Everything that was committed before stands below the first entry of the term.
	n.reads = append(n.reads, pendingRead{id, max(n.commit, n.termStart), n.round})
	n.confirmReads()
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		n.readable = append(n.readable, Read{ID: r.id})
	}
	n.reads = nil
}

// confirmReads lets the reads go whose round a quorum has answered.
func (n *Node) confirmReads() {
	round := n.quorumRound()
	for len(n.reads) > 0 && n.reads[0].round <= round {
		n.readable = append(n.readable, Read{n.reads[0].id, n.reads[0].index, true})
		n.reads = n.reads[1:]
	}
}

// Transfer asks a caught-up voter to take over the lead.
func (n *Node) Transfer(now time.Time, to ID) bool {
	n.setNow(now)
	p := n.peers[to]
	if n.role != Leader || p == nil || !n.members.IsVoter(to) || p.match != n.log.lastIndex() {
		return false
	}
	n.out = append(n.out, Envelope{n.opts.ID, to, n.hard.Term, TimeoutNow{}})
	// The lease ends here: the other may win at once.
	n.become(Follower, n.hard.Term, None)
	return true
}

// LeaseUntil gives the time until which no other replica can lead, or the zero
// time where this one doesn't lead, or hasn't committed an entry of its term.
func (n *Node) LeaseUntil() time.Time {
	if n.role != Leader || n.commit < n.termStart {
		return time.Time{}
	}
	safe := time.Duration(float64(n.opts.Election) * (1 - DriftShare))
	return n.quorumHeard().Add(safe)
}

// quorum gives the greatest value that a majority of the voters has reached: own
// is this replica's, of gives another's, and missing stands in for a voter that
// nothing is known of.
func quorum[T any](n *Node, own, missing T, of func(*progress) T, compare func(a, b T) int) T {
	values := make([]T, 0, len(n.members.Voters))
	for _, id := range n.members.Voters {
		switch p := n.peers[id]; {
		case id == n.opts.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, missing)
		}
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[n.members.Quorum()-1]
}

// quorumHeard gives the sending time of the newest round that a quorum, this
// replica included, has answered.
func (n *Node) quorumHeard() time.Time {
	return quorum(n, n.now, time.Time{}, func(p *progress) time.Time { return p.acked }, time.Time.Compare)
}

func (n *Node) quorumRound() uint64 {
	return quorum(n, n.round, 0, func(p *progress) uint64 { return p.round }, cmp.Compare[uint64])
}

// maybeCommit commits what a quorum holds, if it is of this leader's term.
func (n *Node) maybeCommit() {
	match := quorum(n, n.stable, 0, func(p *progress) uint64 { return p.match }, cmp.Compare[uint64])
	if term, ok := n.log.term(match); ok && match > n.commit && term == n.hard.Term {
		n.commit = match
	}
}
