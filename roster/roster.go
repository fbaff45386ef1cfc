// Package roster tracks which hosts are running.
//
// Hosts aren't configured in a list. Each host sends a report of itself to the control
// hosts several times a second, and the Roster of a control host holds the hosts whose
// last report is recent. Readers get each host with the time of its last report.
package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/internal/recent"
)

// Role is the function of a host.
type Role string

// Roles of hosts.
const (
	RoleGateway Role = "gateway" // serves client requests
	RoleControl Role = "control" // replicates the ledger, receives engines' heartbeats
)

// Host is a host's report of itself. Addresses have the form "IP:port".
type Host struct {
	Name       string
	Role       Role
	Region     string
	DataCentre string
	Life       string    // incarnation: unique for each start of its process
	Peer       string    // address of the listener for other hosts' net/rpc calls
	Callers    string    // on a gateway: address for client requests
	Handover   string    // on a gateway: address for requests handed over by other gateways
	Operators  string    // on a control host: address for operators and engines
	Replica    string    // on a control host: its replica's identity in the ledger's log
	Stopping   bool      // the host accepts no new requests
	Heard      time.Time // when the last report arrived
}

// removalRetention is how long after its last report the entry of a removed host is
// retained, so that ChangedSince can return the removal.
const removalRetention = 30 * time.Second

// Roster is the set of running hosts. It is safe for concurrent use.
type Roster struct {
	clock func() time.Time

	mu         sync.Mutex
	hosts      map[string]*entry
	changeLog  recent.Log[*entry]
	lastChange uint64          // number of the latest change of any host
	changed    chan struct{}   // closed at the next change
	sorted     map[Role][]Host // result of Hosts; nil after a change
}

type entry struct {
	Host
	timeout    time.Duration // minimum time without a report before the host is removed
	removed    bool          // retained only so that ChangedSince can return the removal
	lastChange uint64        // number of the last change of this entry
}

// New returns an empty roster that reads the time from clock.
func New(clock func() time.Time) *Roster {
	return &Roster{clock: clock, hosts: make(map[string]*entry), changed: make(chan struct{})}
}

// Receive stores a report that a host sent of itself. It reports whether the host is new, was
// removed before, or has restarted.
func (r *Roster) Receive(h Host) bool { return r.ReceiveWithTimeout(h, 0) }

// ReceiveWithTimeout is Receive for a host that sends reports less often than
// others: Expire doesn't remove it before the given timeout has passed.
func (r *Roster) ReceiveWithTimeout(h Host, timeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Heard = r.clock()
	e, ok := r.hosts[h.Name]
	if !ok {
		e = &entry{removed: true}
		r.hosts[h.Name] = e
	}
	previous, isNew := e.Host, e.removed
	e.Host, e.timeout, e.removed = h, timeout, false
	if isNew || !sameState(previous, h) {
		r.recordChange(e)
	}
	return isNew || previous.Life != h.Life
}

// sameState reports whether two reports of a host are equal, apart from their arrival
// times.
func sameState(a, b Host) bool {
	a.Heard = b.Heard
	return a == b
}

// recordChange assigns the next change number to an entry and closes the channel that
// Changed returned. The caller must hold r.mu.
func (r *Roster) recordChange(e *entry) {
	r.lastChange++
	e.lastChange = r.lastChange
	r.changeLog.Record(e, e.lastChange)
	r.sorted = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Lookup returns the last report of the named host if it was sent by the given incarnation
// and the host isn't removed, or else the zero Host.
func (r *Roster) Lookup(name, incarnation string) Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.hosts[name]; ok && !e.removed && e.Life == incarnation {
		return e.Host
	}
	return Host{}
}

// Expire removes the hosts that have sent no report within the timeout or, if it is
// longer, their own timeout, and returns them.
func (r *Roster) Expire(timeout time.Duration) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var expired []Host
	for name, e := range r.hosts {
		age := now.Sub(e.Heard)
		switch {
		case !e.removed && age > max(timeout, e.timeout):
			e.removed = true
			r.recordChange(e)
			expired = append(expired, e.Host)
		case e.removed && age > removalRetention:
			delete(r.hosts, name)
			r.changeLog.Remove(e)
		}
	}
	return expired
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Hosts returns the hosts of a role, sorted by name, in the state of the last change: their
// Heard times may be older than the latest reports. The caller must not modify the slice.
// It is cached until the next change, because sorting 300 hosts takes 60 us and every
// client asks for the gateways.
func (r *Roster) Hosts(role Role) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sorted == nil {
		r.buildSorted()
	}
	return r.sorted[role]
}

// buildSorted rebuilds the lists that Hosts returns. The caller must hold r.mu.
func (r *Roster) buildSorted() {
	r.sorted = make(map[Role][]Host)
	for _, e := range r.hosts {
		if !e.removed {
			r.sorted[e.Role] = append(r.sorted[e.Role], e.Host)
		}
	}
	for _, hosts := range r.sorted {
		slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	}
}

// ChangedSince returns the hosts that were added or changed after the change with the given
// number, the names of those that were removed, and the number of the latest change,
// which the caller passes to its next call.
func (r *Roster) ChangedSince(after uint64) (hosts []Host, removed []string, latest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after == r.lastChange {
		return nil, nil, after
	}
	for _, e := range r.changeLog.ChangedSince(after) {
		if e.removed {
			removed = append(removed, e.Name)
		} else {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts, removed, r.lastChange
}
