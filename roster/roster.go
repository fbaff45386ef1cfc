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

// Roster is safe for concurrent use. New makes one.
type Roster struct {
	clock func() time.Time

	mu      sync.Mutex
	hosts   map[string]Host
	version uint64
	changed chan struct{}
}

// New makes an empty roster.
func New(clock func() time.Time) *Roster {
	return &Roster{clock: clock, hosts: make(map[string]Host), changed: make(chan struct{})}
}

// Hear notes a host's own word. It tells whether the host is new, or has
// started anew.
func (r *Roster) Hear(h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Heard = r.clock()
	old, known := r.hosts[h.Name]
	r.hosts[h.Name] = h
	if known && alike(old, h) {
		return false
	}
	r.note()
	return !known || old.Life != h.Life
}

// alike tells whether two words of a host differ only in what changes all the
// time.
func alike(a, b Host) bool {
	return a.Life == b.Life && a.Stopping == b.Stopping && a.Replica == b.Replica && a.Peer == b.Peer
}

func (r *Roster) note() {
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

// Expire forgets the hosts not heard for the given time, and gives them.
func (r *Roster) Expire(after time.Duration) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var gone []Host
	for name, h := range r.hosts {
		if now.Sub(h.Heard) > after {
			delete(r.hosts, name)
			gone = append(gone, h)
		}
	}
	if len(gone) > 0 {
		r.note()
	}
	return gone
}

// Changed gives the version and a channel that is closed with the next.
func (r *Roster) Changed() (uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.changed
}

// Hosts gives the hosts of a role in the order of their names, and the version.
func (r *Roster) Hosts(role Role) ([]Host, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Host
	for _, h := range r.hosts {
		if h.Role == role {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out, r.version
}
