// This file defines what one gateway has heard, and what it tells.

package rollup

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/roster"
)

// Timing of the telling.
const (
	// Every is how often gateways tell. Three steps lie between what a gateway does
	// and what any other knows, so that all is known 0.3 s old or less.
	Every = 100 * time.Millisecond
	// ReportTTL is how long what was heard is believed: it comes six times within it, and
	// datagrams are lost now and then.
	ReportTTL = 600 * time.Millisecond
	// leaderTimeout is how long ago a leader must have been heard for nobody else to be
	// told: with one message lost and one late it still is.
	leaderTimeout = 280 * time.Millisecond
	// topologyInterval is how often the list of gateways is looked at: to sort 300 into
	// groups takes 80 us. A leader that is gone is replaced sooner.
	topologyInterval = 500 * time.Millisecond
	// reportHistory is how many of its own reports a gateway remembers, to take them out
	// of sums that hold them: a report is in sums that are believed for up to ReportTTL
	// after it was told up to 0.2 s before.
	reportHistory = 10
)

// Deps are what a Board needs.
type Deps struct {
	Self  roster.Host          // name, region, data centre and address of this gateway
	Hosts func() []roster.Host // the gateways that are in touch, of all regions
	Clock func() time.Time
}

// Board holds what was heard. It isn't safe for concurrent use. New makes one.
type Board struct {
	Deps
	topology      topology
	topologyAt    time.Time
	lastNumber    uint32
	sentReports   [reportHistory]Report      // by number
	memberReports map[uint32]receivedMessage // of the own group, by their hashes
	groupSums     map[Group]receivedMessage  // of other groups
	regionTotal   receivedMessage
	leaderSeen    map[string]time.Time    // when each leader was last heard
	remote        map[string]remoteReport // by region
}

// receivedMessage is a message and when it came.
type receivedMessage struct {
	receivedAt time.Time
	Message
}

func (m receivedMessage) isFresh(now time.Time) bool { return now.Sub(m.receivedAt) <= leaderTimeout }
func (m receivedMessage) isValid(now time.Time) bool { return now.Sub(m.receivedAt) <= ReportTTL }

type remoteReport struct {
	receivedAt time.Time
	direct     bool // heard from that region itself
	report     FarWord
}

// Outgoing is a message and the addresses that it goes to.
type Outgoing struct {
	To      []string
	Message Message
}

// New makes a board that has heard nothing.
func New(deps Deps) *Board {
	return &Board{
		Deps: deps, memberReports: make(map[uint32]receivedMessage), groupSums: make(map[Group]receivedMessage),
		leaderSeen: make(map[string]time.Time), remote: make(map[string]remoteReport),
	}
}

// refreshTopology takes over the list of gateways.
func (a *Board) refreshTopology() {
	a.topologyAt = a.Clock()
	a.topology = newTopology(a.Self, a.Hosts(), a.Self.Region)
}

// Tell gives the messages that are due, with this gateway's own report. It is called
// each Every.
func (a *Board) Tell(own Report) []Outgoing {
	now := a.Clock()
	if now.Sub(a.topologyAt) >= topologyInterval {
		a.refreshTopology()
	}
	a.expire(now)
	a.lastNumber++
	a.sentReports[a.lastNumber%reportHistory] = own
	self := Message{
		From: a.Self.Name, Group: singletonGroup(a.Self), Report: own,
		Members: []Member{{NameHash: hashOf(a.Self.Name), ReportNumber: a.lastNumber}},
	}
	if a.topology.fullMesh {
		return []Outgoing{{a.otherLeaderAddresses(now), self}}
	}
	var out []Outgoing
	if a.isLeader(now) {
		out = a.leaderMessages(own, now)
	}
	if first := a.topology.ranked[0]; first.Name != a.Self.Name {
		out = append(out, Outgoing{a.leaderAddresses(a.topology.ranked, now), self})
	}
	return out
}

// isLeader tells whether this gateway sums its group: it has been told reports, or
// nobody before it in rank has been heard to lead.
func (a *Board) isLeader(now time.Time) bool {
	if a.topology.fullMesh || len(a.memberReports) > 0 {
		return !a.topology.fullMesh
	}
	for _, h := range a.topology.ranked[:min(len(a.topology.ranked), leaderCandidates)] {
		if h.Name == a.Self.Name {
			return true
		}
		if now.Sub(a.leaderSeen[h.Name]) <= leaderTimeout {
			return false
		}
	}
	return false
}

// leaderMessages gives the messages of a leader.
func (a *Board) leaderMessages(own Report, now time.Time) []Outgoing {
	groupSum := newSum()
	groupSum.add(own, 1)
	message := Message{From: a.Self.Name, Group: a.topology.ownGroup, Far: a.remoteReports(true, now)}
	message.Members = []Member{{NameHash: hashOf(a.Self.Name), ReportNumber: a.lastNumber}}
	for _, m := range a.memberReports {
		groupSum.add(m.Report.aged(now.Sub(m.receivedAt)), 1)
		message.Members = append(message.Members, m.Members...)
	}
	message.Report = groupSum.report()
	total := message
	total.Total = true
	total.Far = a.remoteReports(false, now)
	for _, s := range a.groupSums {
		groupSum.add(s.Report.aged(now.Sub(s.receivedAt)), 1)
		total.OtherGateways += len(s.Members)
	}
	total.Report = groupSum.report()
	var memberAddresses []string
	for _, h := range a.topology.ranked {
		if h.Name != a.Self.Name {
			memberAddresses = append(memberAddresses, h.Peer)
		}
	}
	return []Outgoing{{a.otherLeaderAddresses(now), message}, {memberAddresses, total}}
}

// otherLeaderAddresses gives the addresses of those who lead the other groups.
func (a *Board) otherLeaderAddresses(now time.Time) []string {
	var out []string
	for _, g := range a.topology.otherGroups {
		out = append(out, a.leaderAddresses(g.hosts, now)...)
	}
	return out
}

// leaderAddresses gives the addresses of the first in rank, and of the next as long as those
// before have not been heard to lead.
func (a *Board) leaderAddresses(ranked []roster.Host, now time.Time) []string {
	var out []string
	for _, h := range ranked[:min(len(ranked), leaderCandidates)] {
		if h.Name == a.Self.Name {
			break // this one leads, if none before does
		}
		out = append(out, h.Peer)
		if now.Sub(a.leaderSeen[h.Name]) <= leaderTimeout {
			break
		}
	}
	return out
}

// Hear takes a message. It gives the words of other regions that are newer than what
// was known.
func (a *Board) Hear(m Message) (newer []FarWord) {
	now := a.Clock()
	for _, report := range m.Far {
		if a.receiveRemote(report, len(m.Members) == 0, now) {
			newer = append(newer, report)
		}
	}
	a.receiveReport(receivedMessage{now, m}, now)
	return newer
}

// receiveReport takes the report of a message.
func (a *Board) receiveReport(msg receivedMessage, now time.Time) {
	m := msg.Message
	if m.From == a.Self.Name || len(m.Members) == 0 {
		return
	}
	switch {
	case m.Total:
		a.leaderSeen[m.From] = now
		a.receiveTotal(msg, now)
	case m.Group.IsSingleton() && a.topology.ownGroup.contains(m.Group):
		a.memberReports[m.Group.Low] = msg
	case a.topology.ownGroup.overlaps(m.Group):
		a.leaderSeen[m.From] = now // another one sums this group
	default:
		a.leaderSeen[m.From] = now
		a.receiveGroupSum(msg, now)
	}
}

// receiveTotal takes the sum of the region. Of two leaders, the one that more gateways
// tell counts.
func (a *Board) receiveTotal(msg receivedMessage, now time.Time) {
	if !msg.Group.contains(singletonGroup(a.Self)) {
		return
	}
	if msg.From == a.regionTotal.From || !a.regionTotal.isFresh(now) || len(msg.Members) > len(a.regionTotal.Members) {
		a.regionTotal = msg
	}
}

// receiveGroupSum takes the sum of another group, in place of all that it overlaps. Of two
// leaders, the one that more gateways tell counts.
func (a *Board) receiveGroupSum(msg receivedMessage, now time.Time) {
	for group, known := range a.groupSums {
		if group.overlaps(msg.Group) && known.From != msg.From && known.isFresh(now) && len(known.Members) >= len(msg.Members) {
			return
		}
	}
	for group := range a.groupSums {
		if group.overlaps(msg.Group) {
			delete(a.groupSums, group)
		}
	}
	a.groupSums[msg.Group] = msg
}

// receiveRemote takes another region's word, and tells whether it isn't older than what was
// known.
func (a *Board) receiveRemote(report FarWord, direct bool, now time.Time) bool {
	receivedAt := now.Add(-report.Age)
	known, ok := a.remote[report.Region]
	if report.Region == a.Self.Region || (ok && receivedAt.Before(known.receivedAt)) {
		return false
	}
	sameReport := known.direct && receivedAt.Sub(known.receivedAt) < Every // it came by way of another leader as well
	a.remote[report.Region] = remoteReport{receivedAt, direct || sameReport, report}
	return true
}

// remoteReports gives the words of other regions, to be passed on: to other leaders only those
// that were heard from there, since whoever else has one was told by such a leader.
func (a *Board) remoteReports(directOnly bool, now time.Time) []FarWord {
	var out []FarWord
	for _, entry := range a.remote {
		if directOnly && !entry.direct {
			continue
		}
		report := entry.report
		report.Age = now.Sub(entry.receivedAt)
		out = append(out, report)
	}
	return out
}

// expire drops what is too old to be believed.
func (a *Board) expire(now time.Time) {
	for hash, msg := range a.memberReports {
		if !msg.isValid(now) || !a.topology.ownGroup.contains(msg.Group) {
			delete(a.memberReports, hash)
		}
	}
	for group, msg := range a.groupSums {
		if !msg.isValid(now) || a.topology.ownGroup.overlaps(group) {
			delete(a.groupSums, group)
		}
	}
	for region, entry := range a.remote {
		if now.Sub(entry.receivedAt) > ReportTTL {
			delete(a.remote, region)
		}
	}
	for name, seen := range a.leaderSeen {
		if now.Sub(seen) > ReportTTL {
			delete(a.leaderSeen, name)
		}
	}
}

// Others is what the other gateways of a region do.
type Others struct {
	Loads    map[uint64]EngineLoad // by the hash of the engine's incarnation
	Accounts map[uint32]AccountUse // by the hash of the account's name
	Gateways int                   // that are in it
	Alive    int                   // that there are, as far as the list of gateways tells
}

// Others gives what the other gateways of the region do.
func (a *Board) Others() Others {
	s, gateways := a.sumOthers()
	return Others{Loads: s.loads, Accounts: s.uses, Gateways: gateways, Alive: a.topology.size() - 1}
}

// sumOthers sums the newest words up, and counts whose they are.
func (a *Board) sumOthers() (s *sum, gateways int) {
	now := a.Clock()
	s = newSum()
	if a.regionTotal.isValid(now) && len(a.regionTotal.Members) > 1+len(a.memberReports) {
		return a.totalWithoutSelf(s)
	}
	for _, msg := range a.memberReports {
		gateways += a.addValid(s, msg, now)
	}
	for _, msg := range a.groupSums {
		gateways += a.addValid(s, msg, now)
	}
	return s, gateways
}

// addValid adds what is still believed, and gives how many gateways it is of.
func (a *Board) addValid(s *sum, msg receivedMessage, now time.Time) int {
	if !msg.isValid(now) {
		return 0
	}
	s.add(msg.Report.additiveFields(), 1)
	return len(msg.Members)
}

// totalWithoutSelf takes this gateway's own report out of the total.
func (a *Board) totalWithoutSelf(s *sum) (*sum, int) {
	s.add(a.regionTotal.Report.additiveFields(), 1)
	gateways := a.regionTotal.OtherGateways + len(a.regionTotal.Members)
	self := hashOf(a.Self.Name)
	ownIndex := slices.IndexFunc(a.regionTotal.Members, func(m Member) bool { return m.NameHash == self })
	if ownIndex >= 0 {
		gateways--
		if number := a.regionTotal.Members[ownIndex].ReportNumber; a.lastNumber-number < reportHistory {
			s.add(a.sentReports[number%reportHistory].additiveFields(), -1)
		}
	}
	return s, gateways
}

// Leads tells whether this gateway sums its group, and how many others it sums.
func (a *Board) Leads() (leads bool, members int) { return a.isLeader(a.Clock()), len(a.memberReports) }

// Few tells whether the gateways are so few that each tells all others.
func (a *Board) Few() bool { return a.topology.fullMesh }
