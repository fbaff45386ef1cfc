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
	// Life is how long what was heard is believed: it comes six times within it, and
	// datagrams are lost now and then.
	Life = 600 * time.Millisecond
	// freshTime is how long ago a leader must have been heard for nobody else to be
	// told: with one message lost and one late it still is.
	freshTime = 280 * time.Millisecond
	// lookEvery is how often the list of gateways is looked at: to sort 300 into
	// groups takes 80 us. A leader that is gone is replaced sooner.
	lookEvery = 500 * time.Millisecond
	// remembered is how many of its own reports a gateway remembers, to take them out
	// of sums that hold them: a report is in sums that are believed for up to Life
	// after it was told up to 0.2 s before.
	remembered = 10
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
	view    view
	looked  time.Time
	number  uint32
	told    [remembered]Report // by number
	members map[uint32]heard   // of the own group, by their hashes
	sums    map[Group]heard    // of other groups
	total   heard
	leaders map[string]time.Time // when each leader was last heard
	far     map[string]farHeard  // by region
}

// heard is a message and when it came.
type heard struct {
	at time.Time
	Message
}

func (h heard) fresh(now time.Time) bool { return now.Sub(h.at) <= freshTime }
func (h heard) valid(now time.Time) bool { return now.Sub(h.at) <= Life }

type farHeard struct {
	at     time.Time
	direct bool // heard from that region itself
	word   FarWord
}

// Outgoing is a message and the addresses that it goes to.
type Outgoing struct {
	To      []string
	Message Message
}

// New makes a board that has heard nothing.
func New(deps Deps) *Board {
	return &Board{
		Deps: deps, members: make(map[uint32]heard), sums: make(map[Group]heard),
		leaders: make(map[string]time.Time), far: make(map[string]farHeard),
	}
}

// look takes over the list of gateways.
func (b *Board) look() {
	b.looked = b.Clock()
	b.view = newView(b.Self, b.Hosts(), b.Self.Region)
}

// Tell gives the messages that are due, with this gateway's own report. It is called
// each Every.
func (b *Board) Tell(own Report) []Outgoing {
	now := b.Clock()
	if now.Sub(b.looked) >= lookEvery {
		b.look()
	}
	b.forget(now)
	b.number++
	b.told[b.number%remembered] = own
	self := Message{
		From: b.Self.Name, Group: loneGroup(b.Self), Report: own,
		Members: []Member{{Hash: hashOf(b.Self.Name), Number: b.number}},
	}
	if b.view.few {
		return []Outgoing{{b.heads(now), self}}
	}
	var out []Outgoing
	if b.leads(now) {
		out = b.lead(own, now)
	}
	if first := b.view.ranked[0]; first.Name != b.Self.Name {
		out = append(out, Outgoing{b.until(b.view.ranked, now), self})
	}
	return out
}

// leads tells whether this gateway sums its group: it has been told reports, or
// nobody before it in rank has been heard to lead.
func (b *Board) leads(now time.Time) bool {
	if b.view.few || len(b.members) > 0 {
		return !b.view.few
	}
	for _, h := range b.view.ranked[:min(len(b.view.ranked), candidates)] {
		if h.Name == b.Self.Name {
			return true
		}
		if now.Sub(b.leaders[h.Name]) <= freshTime {
			return false
		}
	}
	return false
}

// lead gives the messages of a leader.
func (b *Board) lead(own Report, now time.Time) []Outgoing {
	group := newSum()
	group.add(own, 1)
	message := Message{From: b.Self.Name, Group: b.view.own, Far: b.farWords(true, now)}
	message.Members = []Member{{Hash: hashOf(b.Self.Name), Number: b.number}}
	for _, m := range b.members {
		group.add(m.Report.aged(now.Sub(m.at)), 1)
		message.Members = append(message.Members, m.Members...)
	}
	message.Report = group.report()
	total := message
	total.Total = true
	total.Far = b.farWords(false, now)
	for _, s := range b.sums {
		group.add(s.Report.aged(now.Sub(s.at)), 1)
		total.Others += len(s.Members)
	}
	total.Report = group.report()
	var members []string
	for _, h := range b.view.ranked {
		if h.Name != b.Self.Name {
			members = append(members, h.Peer)
		}
	}
	return []Outgoing{{b.heads(now), message}, {members, total}}
}

// heads gives the addresses of those who lead the other groups.
func (b *Board) heads(now time.Time) []string {
	var out []string
	for _, p := range b.view.others {
		out = append(out, b.until(p.hosts, now)...)
	}
	return out
}

// until gives the addresses of the first in rank, and of the next as long as those
// before have not been heard to lead.
func (b *Board) until(ranked []roster.Host, now time.Time) []string {
	var out []string
	for _, h := range ranked[:min(len(ranked), candidates)] {
		if h.Name == b.Self.Name {
			break // this one leads, if none before does
		}
		out = append(out, h.Peer)
		if now.Sub(b.leaders[h.Name]) <= freshTime {
			break
		}
	}
	return out
}

// Hear takes a message. It gives the words of other regions that are newer than what
// was known.
func (b *Board) Hear(m Message) (far []FarWord) {
	now := b.Clock()
	for _, w := range m.Far {
		if b.hearFar(w, len(m.Members) == 0, now) {
			far = append(far, w)
		}
	}
	b.hearReport(heard{now, m}, now)
	return far
}

// hearReport takes the report of a message.
func (b *Board) hearReport(h heard, now time.Time) {
	m := h.Message
	if m.From == b.Self.Name || len(m.Members) == 0 {
		return
	}
	switch {
	case m.Total:
		b.leaders[m.From] = now
		b.hearTotal(h, now)
	case m.Group.Alone() && b.view.own.contains(m.Group):
		b.members[m.Group.Low] = h
	case b.view.own.overlaps(m.Group):
		b.leaders[m.From] = now // another one sums this group
	default:
		b.leaders[m.From] = now
		b.hearSum(h, now)
	}
}

// hearTotal takes the sum of the region. Of two leaders, the one that more gateways
// tell counts.
func (b *Board) hearTotal(h heard, now time.Time) {
	if !h.Group.contains(loneGroup(b.Self)) {
		return
	}
	if h.From == b.total.From || !b.total.fresh(now) || len(h.Members) > len(b.total.Members) {
		b.total = h
	}
}

// hearSum takes the sum of another group, in place of all that it overlaps. Of two
// leaders, the one that more gateways tell counts.
func (b *Board) hearSum(h heard, now time.Time) {
	for group, held := range b.sums {
		if group.overlaps(h.Group) && held.From != h.From && held.fresh(now) && len(held.Members) >= len(h.Members) {
			return
		}
	}
	for group := range b.sums {
		if group.overlaps(h.Group) {
			delete(b.sums, group)
		}
	}
	b.sums[h.Group] = h
}

// hearFar takes another region's word, and tells whether it isn't older than what was
// known.
func (b *Board) hearFar(w FarWord, direct bool, now time.Time) bool {
	at := now.Add(-w.Age)
	known, ok := b.far[w.Region]
	if w.Region == b.Self.Region || (ok && at.Before(known.at)) {
		return false
	}
	same := known.direct && at.Sub(known.at) < Every // it came by way of another leader as well
	b.far[w.Region] = farHeard{at, direct || same, w}
	return true
}

// farWords gives the words of other regions, to be passed on: to other leaders only those
// that were heard from there, since whoever else has one was told by such a leader.
func (b *Board) farWords(direct bool, now time.Time) []FarWord {
	var out []FarWord
	for _, f := range b.far {
		if direct && !f.direct {
			continue
		}
		word := f.word
		word.Age = now.Sub(f.at)
		out = append(out, word)
	}
	return out
}

// forget drops what is too old to be believed.
func (b *Board) forget(now time.Time) {
	for hash, h := range b.members {
		if !h.valid(now) || !b.view.own.contains(h.Group) {
			delete(b.members, hash)
		}
	}
	for group, h := range b.sums {
		if !h.valid(now) || b.view.own.overlaps(group) {
			delete(b.sums, group)
		}
	}
	for region, f := range b.far {
		if now.Sub(f.at) > Life {
			delete(b.far, region)
		}
	}
	for name, at := range b.leaders {
		if now.Sub(at) > Life {
			delete(b.leaders, name)
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
func (b *Board) Others() Others {
	s, gateways := b.others()
	return Others{Loads: s.loads, Accounts: s.uses, Gateways: gateways, Alive: b.view.size() - 1}
}

// others sums the newest words up, and counts whose they are.
func (b *Board) others() (s *sum, gateways int) {
	now := b.Clock()
	s = newSum()
	if b.total.valid(now) && len(b.total.Members) > 1+len(b.members) {
		return b.totalOfOthers(s)
	}
	for _, h := range b.members {
		gateways += b.addValid(s, h, now)
	}
	for _, h := range b.sums {
		gateways += b.addValid(s, h, now)
	}
	return s, gateways
}

// addValid adds what is still believed, and gives how many gateways it is of.
func (b *Board) addValid(s *sum, h heard, now time.Time) int {
	if !h.valid(now) {
		return 0
	}
	s.add(h.Report.additive(), 1)
	return len(h.Members)
}

// totalOfOthers takes this gateway's own report out of the total.
func (b *Board) totalOfOthers(s *sum) (*sum, int) {
	s.add(b.total.Report.additive(), 1)
	gateways := b.total.Others + len(b.total.Members)
	self := hashOf(b.Self.Name)
	own := slices.IndexFunc(b.total.Members, func(m Member) bool { return m.Hash == self })
	if own >= 0 {
		gateways--
		if number := b.total.Members[own].Number; b.number-number < remembered {
			s.add(b.told[number%remembered].additive(), -1)
		}
	}
	return s, gateways
}

// Leads tells whether this gateway sums its group, and how many others it sums.
func (b *Board) Leads() (leads bool, members int) { return b.leads(b.Clock()), len(b.members) }

// Few tells whether the gateways are so few that each tells all others.
func (b *Board) Few() bool { return b.view.few }
