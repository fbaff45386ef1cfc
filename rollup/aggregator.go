// This file defines the reports that one gateway has received and the messages it sends.

package rollup

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/roster"
)

// Intervals and timeouts of the exchange.
const (
	// ReportInterval is the interval at which gateways send reports. A report takes up to
	// three hops, one interval each, so that no gateway's data is older than 0.3 s.
	ReportInterval = 100 * time.Millisecond
	// ReportTTL is how long a received report counts. Six reports arrive within it, so
	// that the loss of single datagrams doesn't expire it.
	ReportTTL = 600 * time.Millisecond
	// leaderTimeout is how long after the last message from a leader the next candidate
	// is sent reports too. One lost and one late message don't exceed it.
	leaderTimeout = 280 * time.Millisecond
	// topologyInterval is how often the groups are computed from the list of gateways;
	// sorting 300 gateways into groups takes 80 us. The replacement of a lost leader
	// doesn't wait for it.
	topologyInterval = 500 * time.Millisecond
	// reportHistory is how many of its own reports a gateway retains, to subtract them
	// from sums that include them. A report reaches a sum up to 0.2 s after it was sent,
	// and the sum counts for up to ReportTTL: eight intervals.
	reportHistory = 10
)

// Deps are the dependencies of New.
type Deps struct {
	Self  roster.Host          // name, region, data centre and address of this gateway
	Hosts func() []roster.Host // gateways of all regions that have a live heartbeat
	// IsSignificant reports whether an engine's load in the sum of the region matters to
	// gateways; nil if every load does.
	IsSignificant func(EngineLoad) bool
	Clock         func() time.Time
}

// Aggregator holds the reports that one gateway has received and computes the messages
// that it sends. It isn't safe for concurrent use. New makes one.
type Aggregator struct {
	Deps
	topology      topology
	topologyAt    time.Time
	lastNumber    uint32
	sentReports   [reportHistory]Report       // own reports, by number modulo reportHistory
	sentSpeeds    [speedHistory][]EngineSpeed // own speeds, by the numbers of the reports that have them
	memberReports map[uint32]receivedMessage  // of its own group, by the hash of the sender's name
	groupSums     map[Group]receivedMessage   // of other groups
	regionTotal   receivedMessage
	leaderSeen    map[string]time.Time    // time of the last message from each leader, by name
	remote        map[string]remoteReport // by region
}

// receivedMessage is a message with its time of arrival.
type receivedMessage struct {
	receivedAt time.Time
	Message
	speeds receivedSpeeds
}

// isFresh reports whether the message is recent enough to show that its sender still leads.
func (m receivedMessage) isFresh(now time.Time) bool { return now.Sub(m.receivedAt) <= leaderTimeout }

// isValid reports whether the message's report still counts.
func (m receivedMessage) isValid(now time.Time) bool { return now.Sub(m.receivedAt) <= ReportTTL }

// remoteReport is the latest report of another region.
type remoteReport struct {
	receivedAt time.Time // when it reached this region
	direct     bool      // received from that region itself, not through another gateway here
	report     RegionReport
}

// OutgoingMessage is a message with the peer addresses of its recipients.
type OutgoingMessage struct {
	To      []string
	Message Message
}

// New makes an empty Aggregator, which has received nothing yet.
func New(deps Deps) *Aggregator {
	return &Aggregator{
		Deps: deps, memberReports: make(map[uint32]receivedMessage), groupSums: make(map[Group]receivedMessage),
		leaderSeen: make(map[string]time.Time), remote: make(map[string]remoteReport),
	}
}

// refreshTopology recomputes the groups from the current list of gateways.
func (a *Aggregator) refreshTopology() {
	a.topologyAt = a.Clock()
	a.topology = newTopology(a.Self, a.Hosts(), a.Self.Region)
}

// Outgoing returns the messages that are due, including this gateway's own report. The
// owner calls it once every ReportInterval.
func (a *Aggregator) Outgoing(own Report) []OutgoingMessage {
	now := a.Clock()
	if now.Sub(a.topologyAt) >= topologyInterval {
		a.refreshTopology()
	}
	a.expire(now)
	a.lastNumber++
	own.Speeds = a.ownSpeeds(own.Speeds)
	a.sentReports[a.lastNumber%reportHistory] = own
	self := Message{
		From: a.Self.Name, Group: singletonGroup(a.Self), Report: a.withDueSpeeds(own),
		Members: []Member{{NameHash: hashOf(a.Self.Name), ReportNumber: a.lastNumber}},
	}
	if a.topology.fullMesh {
		return []OutgoingMessage{{a.otherLeaderAddresses(now), self}}
	}
	var out []OutgoingMessage
	if a.isLeader(now) {
		out = a.leaderMessages(own, now)
	}
	if first := a.topology.ranked[0]; first.Name != a.Self.Name {
		out = append(out, OutgoingMessage{a.leaderAddresses(a.topology.ranked, now), self})
	}
	return out
}

// isLeader reports whether this gateway sums its group: it has received reports of
// members, or it is a candidate and none of higher rank has sent a sum within
// leaderTimeout. In a full mesh no gateway leads.
func (a *Aggregator) isLeader(now time.Time) bool {
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

// leaderMessages returns the messages that a leader sends: the sum of its group to the
// other leaders, and the sum of the region to its members.
func (a *Aggregator) leaderMessages(own Report, now time.Time) []OutgoingMessage {
	acc := newSum()
	acc.add(own, 1)
	message := Message{From: a.Self.Name, Group: a.topology.ownGroup, Remote: a.remoteReports(true, now)}
	message.Members = []Member{{NameHash: hashOf(a.Self.Name), ReportNumber: a.lastNumber}}
	for _, m := range a.memberReports {
		acc.add(m.reportWithSpeeds(now).aged(now.Sub(m.receivedAt)), 1)
		message.Members = append(message.Members, m.Members...)
	}
	message.Report = a.withDueSpeeds(acc.report())
	total := message
	total.Total = true
	total.Remote = a.remoteReports(false, now)
	for _, s := range a.groupSums {
		acc.add(s.reportWithSpeeds(now).aged(now.Sub(s.receivedAt)), 1)
		total.OtherGateways += len(s.Members)
	}
	total.Report = a.withDueSpeeds(acc.report())
	if a.IsSignificant != nil {
		total.Report.Engines = slices.DeleteFunc(total.Report.Engines, func(l EngineLoad) bool { return !a.IsSignificant(l) })
	}
	var memberAddresses []string
	for _, h := range a.topology.ranked {
		if h.Name != a.Self.Name {
			memberAddresses = append(memberAddresses, h.Peer)
		}
	}
	return []OutgoingMessage{{a.otherLeaderAddresses(now), message}, {memberAddresses, total}}
}

// otherLeaderAddresses returns the addresses of the leaders of the other groups.
func (a *Aggregator) otherLeaderAddresses(now time.Time) []string {
	var out []string
	for _, g := range a.topology.otherGroups {
		out = append(out, a.leaderAddresses(g.hosts, now)...)
	}
	return out
}

// leaderAddresses returns the address of the group's highest-ranked candidate, and those
// of the next ones up to the first that has sent a message as leader within leaderTimeout.
func (a *Aggregator) leaderAddresses(ranked []roster.Host, now time.Time) []string {
	var out []string
	for _, h := range ranked[:min(len(ranked), leaderCandidates)] {
		if h.Name == a.Self.Name {
			break // this gateway leads if no candidate before it does
		}
		out = append(out, h.Peer)
		if now.Sub(a.leaderSeen[h.Name]) <= leaderTimeout {
			break
		}
	}
	return out
}

// Receive applies a received message. It returns the reports of other regions that are
// newer than those received before.
func (a *Aggregator) Receive(m Message) (newer []RegionReport) {
	now := a.Clock()
	for _, report := range m.Remote {
		if a.receiveRemote(report, len(m.Members) == 0, now) {
			newer = append(newer, report)
		}
	}
	a.receiveReport(receivedMessage{receivedAt: now, Message: m}, now)
	return newer
}

// receiveReport applies the report of a message.
func (a *Aggregator) receiveReport(msg receivedMessage, now time.Time) {
	m := msg.Message
	if m.From == a.Self.Name || len(m.Members) == 0 {
		return
	}
	switch {
	case m.Total:
		a.leaderSeen[m.From] = now
		a.receiveTotal(msg, now)
	case m.Group.IsSingleton() && a.topology.ownGroup.contains(m.Group):
		a.memberReports[m.Group.Low] = msg.withSpeedsOf(a.memberReports[m.Group.Low], now)
	case a.topology.ownGroup.overlaps(m.Group):
		a.leaderSeen[m.From] = now // another gateway sums this group too
	default:
		a.leaderSeen[m.From] = now
		a.receiveGroupSum(msg, now)
	}
}

// receiveTotal applies the sum of the region. If two leaders send one, the one that
// covers more members of the group wins.
func (a *Aggregator) receiveTotal(msg receivedMessage, now time.Time) {
	if !msg.Group.contains(singletonGroup(a.Self)) {
		return
	}
	if msg.From == a.regionTotal.From || !a.regionTotal.isFresh(now) || len(msg.Members) > len(a.regionTotal.Members) {
		a.regionTotal = msg.withSpeedsOf(a.regionTotal, now)
	}
}

// receiveGroupSum applies the sum of another group and replaces every sum that it
// overlaps. If two leaders send one, the one that covers more members wins.
func (a *Aggregator) receiveGroupSum(msg receivedMessage, now time.Time) {
	for group, known := range a.groupSums {
		if group.overlaps(msg.Group) && known.From != msg.From && known.isFresh(now) && len(known.Members) >= len(msg.Members) {
			return
		}
	}
	msg = msg.withSpeedsOf(a.groupSums[msg.Group], now)
	for group := range a.groupSums {
		if group.overlaps(msg.Group) {
			delete(a.groupSums, group)
		}
	}
	a.groupSums[msg.Group] = msg
}

// receiveRemote applies another region's report and reports whether it was accepted: it
// must not be older than the last one.
func (a *Aggregator) receiveRemote(report RegionReport, direct bool, now time.Time) bool {
	receivedAt := now.Add(-report.Age)
	known, ok := a.remote[report.Region]
	if report.Region == a.Self.Region || (ok && receivedAt.Before(known.receivedAt)) {
		return false
	}
	sameReport := known.direct && receivedAt.Sub(known.receivedAt) < ReportInterval // forwarded by another leader as well
	a.remote[report.Region] = remoteReport{receivedAt, direct || sameReport, report}
	return true
}

// remoteReports returns the reports of other regions to forward. Other leaders get only
// those that came directly from that region: a report that came through another leader
// has been sent to them by that one.
func (a *Aggregator) remoteReports(directOnly bool, now time.Time) []RegionReport {
	var out []RegionReport
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

// expire drops reports and leaders that were last heard from too long ago.
func (a *Aggregator) expire(now time.Time) {
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

// PeerTotals is the sum of what the other gateways of the region do.
type PeerTotals struct {
	Loads     map[uint64]EngineLoad    // by the hash of the engine's incarnation
	Accounts  map[uint32]AccountUsage  // by the hash of the account's name
	Speeds    map[uint64]EngineSpeed   // by the hash of the engine's incarnation
	Demand    map[uint32]RouteDemand   // by RouteDemand.Route
	Refunds   map[uint32]AccountRefund // by the hash of the account's name
	LongReads map[uint32]ServiceWork   // by the hash of the service's name
	Shares    map[AccountKey]AccountWork
	Reporting int // gateways whose reports are included
	Listed    int // other gateways in the list of gateways
}

// PeerTotals returns the sum of what the other gateways of the region do.
func (a *Aggregator) PeerTotals() PeerTotals {
	s, gateways := a.sumOthers()
	return PeerTotals{Loads: s.loads, Accounts: s.accounts, Speeds: s.speeds, Demand: s.demand, LongReads: s.longReads, Refunds: s.refunds, Shares: s.shares, Reporting: gateways, Listed: a.topology.size() - 1}
}

// sumOthers sums the latest valid reports of the other gateways, and counts the gateways
// that they cover. It uses the leader's total of the region if that covers more members of
// the group than have sent their reports to this gateway.
func (a *Aggregator) sumOthers() (s *sum, gateways int) {
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

// addValid adds a message's report unless it has expired, and returns the number of
// gateways that it covers.
func (a *Aggregator) addValid(s *sum, msg receivedMessage, now time.Time) int {
	if !msg.isValid(now) {
		return 0
	}
	s.add(msg.reportWithSpeeds(now).additiveFields(), 1)
	return len(msg.Members)
}

// totalWithoutSelf adds the region's total to s, without this gateway's own report.
func (a *Aggregator) totalWithoutSelf(s *sum) (*sum, int) {
	s.add(a.regionTotal.reportWithSpeeds(a.Clock()).additiveFields(), 1)
	gateways := a.regionTotal.OtherGateways + len(a.regionTotal.Members)
	self := hashOf(a.Self.Name)
	ownIndex := slices.IndexFunc(a.regionTotal.Members, func(m Member) bool { return m.NameHash == self })
	if ownIndex >= 0 {
		gateways--
		if number := a.regionTotal.Members[ownIndex].ReportNumber; a.lastNumber-number < reportHistory {
			own := a.sentReports[number%reportHistory].additiveFields()
			own.Engines = slices.DeleteFunc(slices.Clone(own.Engines), func(l EngineLoad) bool {
				_, included := s.loads[l.Engine]
				return !included // too little to be significant
			})
			own.Speeds = nil
			own.Demand = slices.DeleteFunc(slices.Clone(own.Demand), func(r RouteDemand) bool {
				_, included := s.demand[r.Route]
				return !included // a leader of an earlier version, or more than maxDemand
			})
			own.Refunds = slices.DeleteFunc(slices.Clone(own.Refunds), func(f AccountRefund) bool {
				_, included := s.refunds[f.Account]
				return !included // a leader of an earlier version
			})
			s.add(own, -1)
		}
	}
	a.subtractOwnSpeeds(s)
	return s, gateways
}

// LeaderStatus reports whether this gateway sums its group, and how many other members'
// reports it has.
func (a *Aggregator) LeaderStatus() (leads bool, members int) {
	return a.isLeader(a.Clock()), len(a.memberReports)
}

// IsFullMesh reports whether the region has so few gateways that each sends its reports to
// all others directly.
func (a *Aggregator) IsFullMesh() bool { return a.topology.fullMesh }
