// Package roster tracks which hosts are running.
//
// Hosts aren't configured in a list. Each host sends a report of itself to the control
// hosts several times a second, and the Roster of a control host holds the hosts whose
// last report is recent. Readers get each host with the time of its last report.
package roster

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/entryweight"
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
	Size       entryweight.Size
	Load       entryweight.Load // on a gateway
}

// removalRetention is how long after its removal the entry of a host is retained, so that
// ChangedSince can return the removal.
const removalRetention = 30 * time.Second

// Roster is the set of running hosts. It is safe for concurrent use.
type Roster struct {
	clock func() time.Time

	mu         sync.Mutex
	hosts      map[string]*entry
	sources    map[string]time.Time // when the control hosts that forward hosts last answered, by incarnation
	changeLog  recent.Log[*entry]
	lastChange uint64          // number of the latest change of any host
	changed    chan struct{}   // closed at the next change
	sorted     map[Role][]Host // result of Hosts; nil after a change
}

type entry struct {
	Host
	timeout    time.Duration // minimum time without a report before the host is removed
	removed    bool          // retained only so that ChangedSince can return the removal
	removedAt  time.Time
	lastChange uint64    // number of the last change of this entry
	homed      bool      // this host is its home, see Report
	everHomed  bool      // it was at some time, so that other control hosts may have it from this one
	forwards   []forward // from other control hosts, the latest last
}

// forward is what one control host forwards of a host. While a host moves from one home to
// another, two may forward it, and the former one's withdrawal may arrive last.
type forward struct {
	source string // incarnation of the control host
	host   Host
}

// reports reports whether the host itself has sent a report within the timeout.
func (e *entry) reports(now time.Time, timeout time.Duration) bool {
	return !e.Heard.IsZero() && now.Sub(e.Heard) <= max(timeout, e.timeout)
}

// withdrawForward drops the forward of a control host.
func (e *entry) withdrawForward(source string) {
	e.forwards = slices.DeleteFunc(e.forwards, func(f forward) bool { return f.source == source })
}

// Report is what a host sends of itself to a control host.
type Report struct {
	Host
	// Timeout is the minimum time without a report before the host is removed; Expire may
	// apply a longer one.
	Timeout time.Duration
	// Homed says that the control host is the host's home, which forwards it to the other
	// control hosts. A host that reports to all of them has no home.
	Homed bool
}

// forwardedTimeout is how long a forwarded host is retained after the control host that
// forwarded it last answered. The host notices that loss too, and has by then reported to
// another home, which forwards it.
const forwardedTimeout = 4 * time.Second

// New returns an empty roster that reads the time from clock.
func New(clock func() time.Time) *Roster {
	return &Roster{clock: clock, hosts: make(map[string]*entry), sources: make(map[string]time.Time), changed: make(chan struct{})}
}

// Receive stores a report that a host sent of itself. It reports whether the host is new, was
// removed before, or has restarted.
func (r *Roster) Receive(h Host) bool { return r.ReceiveReport(Report{Host: h}) }

// ReceiveReport is Receive for a report with a timeout or a home.
func (r *Roster) ReceiveReport(report Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := report.Host
	h.Heard = r.clock()
	e := r.entryOf(h.Name)
	previous, isNew := e.Host, e.removed
	changed := isNew || !sameState(previous, h) || e.homed != report.Homed
	e.Host, e.timeout, e.removed, e.homed = h, report.Timeout, false, report.Homed
	e.everHomed = e.everHomed || report.Homed
	if changed {
		r.recordChange(e)
	}
	return isNew || previous.Life != h.Life
}

// Confirm records that an incarnation of a host that has reported itself is still
// connected. It changes nothing else: the host may have reported a newer state meanwhile.
func (r *Roster) Confirm(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.hosts[h.Name]; ok && !e.removed && e.Life == h.Life {
		e.Heard = r.clock()
	}
}

// entryOf returns the entry of a host, which is marked as removed if it is new. The caller
// must hold r.mu.
func (r *Roster) entryOf(name string) *entry {
	e, ok := r.hosts[name]
	if !ok {
		e = &entry{removed: true}
		r.hosts[name] = e
	}
	return e
}

// ReceiveForwarded stores the changes that another control host, given by its incarnation,
// forwards of the hosts whose home it is, and that this host has answered just now. It reports
// whether what that one forwarded before is still stored. Otherwise Expire has dropped it, or
// there was nothing, and the changes alone are incomplete.
func (r *Roster) ReceiveForwarded(source string, hosts []Host, gone []string) (stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	_, stored = r.sources[source]
	r.sources[source] = now
	for _, h := range hosts {
		e := r.entryOf(h.Name)
		e.withdrawForward(source)
		e.forwards = append(e.forwards, forward{source, h})
		if e.removed || !e.reports(now, 0) {
			r.applyForwarded(e)
		}
	}
	for _, name := range gone {
		if e, ok := r.hosts[name]; ok {
			e.withdrawForward(source)
		}
	}
	return stored
}

// applyForwarded replaces an entry's host by what was forwarded. Reports of the host itself
// are newer, so that this is for a host that sends none. The caller must hold r.mu.
func (r *Roster) applyForwarded(e *entry) {
	h := e.forwards[len(e.forwards)-1].host
	h.Heard = e.Heard
	if e.removed || !sameState(e.Host, h) {
		e.Host, e.removed = h, false
		r.recordChange(e)
	}
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

// LastHeard returns when the host itself last reported, or a control host last answered that
// forwards it; zero if the host isn't known. Unlike Hosts, it isn't as of the last change.
func (r *Roster) LastHeard(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.hosts[name]
	if !ok || e.removed {
		return time.Time{}
	}
	out := e.Heard
	for _, f := range e.forwards {
		if at := r.sources[f.source]; at.After(out) {
			out = at
		}
	}
	return out
}

// Expire removes the hosts that have sent no report within the timeout or, if it is
// longer, their own timeout, and returns them.
func (r *Roster) Expire(timeout time.Duration) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var expired []Host
	for source, answeredAt := range r.sources {
		if now.Sub(answeredAt) > forwardedTimeout {
			delete(r.sources, source)
		}
	}
	for name, e := range r.hosts {
		e.forwards = slices.DeleteFunc(e.forwards, func(f forward) bool {
			_, answers := r.sources[f.source]
			return !answers
		})
		reports, forwarded := e.reports(now, timeout), len(e.forwards) > 0
		switch {
		case e.removed:
			if now.Sub(e.removedAt) > removalRetention {
				delete(r.hosts, name)
				r.changeLog.Remove(e)
			}
		case !reports && !forwarded:
			e.removed, e.homed = true, false
			e.removedAt = now
			r.recordChange(e)
			expired = append(expired, e.Host)
		case !reports && e.homed:
			e.homed = false
			r.recordChange(e)
		case !reports:
			r.applyForwarded(e)
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

// Changes are changes of hosts. Latest is the number of the latest change that they reach
// to, which the reader passes to its next call; More reports whether there are later ones.
type Changes struct {
	Hosts   []Host   // added or changed
	Removed []string // names
	Latest  uint64
	More    bool
}

// ChangedSince returns the changes of all hosts after the one with the given number.
func (r *Roster) ChangedSince(after uint64) (hosts []Host, removed []string, latest uint64) {
	c := r.Page(after, math.MaxInt)
	return c.Hosts, c.Removed, c.Latest
}

// Page is ChangedSince for up to limit changes.
func (r *Roster) Page(after uint64, limit int) Changes {
	return r.page(after, limit, func(e *entry) (present, relevant bool) { return !e.removed, true })
}

// HomedPage is Page for another control host: of the gateways it contains those whose home
// this host is, and as removed those whose home it no longer is.
func (r *Roster) HomedPage(after uint64, limit int) Changes {
	return r.page(after, limit, func(e *entry) (present, relevant bool) {
		if e.Role == RoleGateway {
			return !e.removed && e.homed, e.everHomed
		}
		return !e.removed, true
	})
}

// page returns up to limit changes of those hosts that are relevant.
func (r *Roster) page(after uint64, limit int, classify func(e *entry) (present, relevant bool)) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Changes{Latest: after}
	for number, e := range r.changeLog.After(after) {
		present, relevant := classify(e)
		if !relevant {
			continue
		}
		if len(out.Hosts)+len(out.Removed) == limit {
			out.More = true
			return out
		}
		if present {
			out.Hosts = append(out.Hosts, e.Host)
		} else {
			out.Removed = append(out.Removed, e.Name)
		}
		out.Latest = number
	}
	out.Latest = r.lastChange
	return out
}
