// Package roster knows which hosts of the system there are.
//
// No list of hosts is configured. Each host tells the control hosts of itself
// several times a second, and a control host's Roster holds those that it has
// heard lately. Whoever asks gets the roster with each host's age.
package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/internal/recent"
)

// Role is what a host does.
type Role string

// The roles.
const (
	RoleGateway Role = "gateway" // serves callers
	RoleControl Role = "control" // keeps the ledger and hears engines
)

// Host is what a host tells of itself. Addresses are an IP number and a port.
type Host struct {
	Name       string
	Role       Role
	Region     string
	DataCentre string
	Life       string // differs with each start of its process
	Peer       string // net/rpc between hosts
	Callers    string // of a gateway: callers' requests
	Handover   string // of a gateway: requests from other gateways
	Operators  string // of a control host: operators and engines
	Replica    string // of a control host: its identity in the ledger's log
	Stopping   bool   // takes nothing new
	Heard      time.Time
}

// keepGone is how long it is remembered that a host has gone, so that those who
// ask for changes hear of it.
const keepGone = 30 * time.Second

// Roster is safe for concurrent use. New makes one.
type Roster struct {
	clock func() time.Time

	mu      sync.Mutex
	hosts   map[string]*entry
	order   recent.Log[*entry]
	changes uint64
	changed chan struct{}
	sorted  map[Role][]Host // as of the last change
}

type entry struct {
	Host
	patience time.Duration // for which it may be silent
	gone     bool
	change   uint64 // number of its last change
}

// New makes an empty roster.
func New(clock func() time.Time) *Roster {
	return &Roster{clock: clock, hosts: make(map[string]*entry), changed: make(chan struct{})}
}

// Hear notes a host's own word. It tells whether the host is new, or has
// started anew.
func (r *Roster) Hear(h Host) bool { return r.HearFor(h, 0) }

// HearFor is Hear for a host that tells of itself less often than others: it may be
// silent for that long.
func (r *Roster) HearFor(h Host, patience time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Heard = r.clock()
	known, ok := r.hosts[h.Name]
	if !ok {
		known = &entry{gone: true}
		r.hosts[h.Name] = known
	}
	old, back := known.Host, known.gone
	known.Host, known.patience, known.gone = h, patience, false
	if back || !alike(old, h) {
		r.note(known)
	}
	return back || old.Life != h.Life
}

// alike tells whether two words of a host differ only in what changes all the
// time.
func alike(a, b Host) bool {
	a.Heard = b.Heard
	return a == b
}

func (r *Roster) note(e *entry) {
	r.changes++
	e.change = r.changes
	r.order.Note(e, e.change)
	r.sorted = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Known gives a host that has told of itself in this life, or none.
func (r *Roster) Known(name, life string) Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.hosts[name]; ok && !known.gone && known.Life == life {
		return known.Host
	}
	return Host{}
}

// Expire takes the hosts off that were not heard for the given time, or for as long as
// they may be silent, and gives them.
func (r *Roster) Expire(after time.Duration) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var gone []Host
	for name, e := range r.hosts {
		age := now.Sub(e.Heard)
		switch {
		case !e.gone && age > max(after, e.patience):
			e.gone = true
			r.note(e)
			gone = append(gone, e.Host)
		case e.gone && age > keepGone:
			delete(r.hosts, name)
			r.order.Forget(e)
		}
	}
	return gone
}

// Changed gives a channel that is closed with the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Hosts gives the hosts of a role in the order of their names, as they were when one of
// them last changed. The list must not be changed. It is made once for each change: to
// sort 300 hosts takes 60 us, and each caller asks which gateways to use.
func (r *Roster) Hosts(role Role) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sorted == nil {
		r.sort()
	}
	return r.sorted[role]
}

// sort lists the hosts afresh. The lock is held.
func (r *Roster) sort() {
	r.sorted = make(map[Role][]Host)
	for _, e := range r.hosts {
		if !e.gone {
			r.sorted[e.Role] = append(r.sorted[e.Role], e.Host)
		}
	}
	for _, hosts := range r.sorted {
		slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	}
}

// Since gives the hosts that came or changed after the number, the names of
// those that went, and the number up to which they are given.
func (r *Roster) Since(number uint64) (hosts []Host, gone []string, upTo uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number == r.changes {
		return nil, nil, number
	}
	for _, e := range r.order.Since(number) {
		if e.gone {
			gone = append(gone, e.Name)
		} else {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts, gone, r.changes
}
