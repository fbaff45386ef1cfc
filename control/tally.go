package control

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/raft"
)

// HostReport is what a host says of itself.
type HostReport struct {
	Host        string
	DataCentre  string
	Incarnation string // new at each start of the process
	// Established is false until a leader has brought this incarnation up to
	// date. Until then it grants nothing and counts for nothing.
	Established bool
	Seq         uint64 // of the view that it serves under: its acknowledgement
	// Granted lists the leases that the host gave to peers and that may still
	// run.
	Granted []Granted
}

// Granted is one lease given to a peer.
type Granted struct {
	Host        string
	Incarnation string
	Left        time.Duration // that it may run
}

// Timing of leases and decisions.
type Timing struct {
	Lease  time.Duration // that a renewal gives, by the holder's clock
	Decide time.Duration // longest wait for acknowledgements
}

// LeaseWait is how long a lease must be waited out, by any other clock.
func (t Timing) LeaseWait() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + raft.DriftShare))
}

// Tally is what a leader knows of the hosts. A new leader begins with an empty
// one. NewTally makes one.
type Tally struct {
	timing     Timing
	hosts      map[string]hostTally
	pending    string // ID of the change that the times below belong to
	since      time.Time
	majorityAt map[string]time.Time
}

type hostTally struct {
	report HostReport
	heard  time.Time
}

// NewTally makes an empty tally.
func NewTally(timing Timing) *Tally {
	return &Tally{timing: timing, hosts: make(map[string]hostTally)}
}

// Report notes a host's report. It tells whether the lease may be renewed: if
// the host serves under the newest view. Such a host is established from then
// on, since that view holds everything that its earlier incarnations can have
// acknowledged.
func (t *Tally) Report(now time.Time, r HostReport, view View) (renewed bool) {
	renewed = r.Seq == view.Seq && view.Seq > 0 // an empty log gives no right to serve
	if renewed {
		r.Established = true
	}
	t.hosts[r.Host] = hostTally{r, now}
	return renewed
}

// LastReport gives when a host last reported, and its report.
func (t *Tally) LastReport(host string) (HostReport, time.Time) {
	h := t.hosts[host]
	return h.report, h.heard
}

// Decision is what a tally says of a pending change.
type Decision struct {
	Decided bool
	Accept  bool
	// Cut lists the data centres without a majority.
	Cut []string
}

// Decide judges the pending change of a view.
func (t *Tally) Decide(now time.Time, view View) Decision {
	pending := view.Pending
	if pending == nil {
		return Decision{}
	}
	if t.pending != pending.Change.ID {
		t.pending, t.since = pending.Change.ID, now
		t.majorityAt = make(map[string]time.Time)
	}
	var cut []string
	ready := true
	for _, dc := range pending.Matters {
		switch t.dataCentre(now, dc, view) {
		case acknowledged:
		case waiting:
			ready = false
		case unreached:
			ready = false
			cut = append(cut, dc)
		}
	}
	if ready {
		return Decision{Decided: true, Accept: true}
	}
	if len(cut) > 0 && now.Sub(t.since) >= t.timing.Decide {
		return Decision{Decided: true, Cut: cut}
	}
	return Decision{Cut: cut}
}

type standing uint8

const (
	unreached    standing = iota // no majority has acknowledged
	waiting                      // a majority has; leases of others may run
	acknowledged                 // no host serves under the old view any more
)

// dataCentre judges one data centre. Both its old and its new set of hosts must
// have a majority, so that a change of the set can't split it. Hosts that the
// change itself declares gone are not asked: they can neither serve nor renew.
func (t *Tally) dataCentre(now time.Time, dc string, view View) standing {
	after := HostsOf(view.Pending.Config, dc)
	before := slices.DeleteFunc(HostsOf(view.Config, dc), func(host string) bool {
		return isGone(view.Pending.Config, host)
	})
	if !t.majority(before, view.Seq) || !t.majority(after, view.Seq) {
		return unreached
	}
	if t.majorityAt[dc].IsZero() {
		t.majorityAt[dc] = now
	}
	if t.all(HostsOf(view.Config, dc), view.Seq) && t.all(after, view.Seq) && t.noGrants(now, dc) {
		return acknowledged
	}
	if now.Sub(t.majorityAt[dc]) >= t.timing.LeaseWait() {
		return acknowledged
	}
	return waiting
}

func (t *Tally) has(host string, seq uint64) bool {
	r := t.hosts[host].report
	return r.Established && r.Seq >= seq
}

func (t *Tally) majority(hosts []string, seq uint64) bool {
	count := 0
	for _, host := range hosts {
		if t.has(host, seq) {
			count++
		}
	}
	return len(hosts) == 0 || count >= Majority(len(hosts))
}

func (t *Tally) all(hosts []string, seq uint64) bool {
	for _, host := range hosts {
		if !t.has(host, seq) {
			return false
		}
	}
	return true
}

// noGrants tells whether no host of the data centre has given a lease, that may
// still run, to another incarnation of a peer than the one that has
// acknowledged. A host that restarted just after it acknowledged may hold such a
// lease under the old view, while its earlier acknowledgement still counts here;
// of the majority that renewed it, some host has reported since.
func (t *Tally) noGrants(now time.Time, dc string) bool {
	for _, h := range t.hosts {
		if h.report.DataCentre != dc {
			continue
		}
		for _, g := range h.report.Granted {
			left := time.Duration(float64(g.Left) * (1 + raft.DriftShare))
			if g.Incarnation != t.hosts[g.Host].report.Incarnation && now.Before(h.heard.Add(left)) {
				return false
			}
		}
	}
	return true
}

// Majority is the least number that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// HostsOf lists the hosts of a data centre that have not gone.
func HostsOf(config declare.Config, dc string) []string {
	var out []string
	for _, h := range declare.Each[declare.Host](config) {
		if h.DataCentre == dc && h.State != declare.HostGone {
			out = append(out, h.Name)
		}
	}
	return out
}

func isGone(config declare.Config, host string) bool {
	object, ok := config.Get(declare.Ref{Kind: declare.KindHost, Name: host})
	return ok && object.(declare.Host).State == declare.HostGone
}
