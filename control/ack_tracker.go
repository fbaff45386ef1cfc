package control

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/raft"
)

// HostReport is a host's report to the leader on its view and its leases.
type HostReport struct {
	Host        string
	DataCentre  string
	Incarnation string // unique to each start of the process
	// Established is false until a leader has renewed this incarnation's lease under
	// the latest view. Until then the host renews no peer and its report does not
	// count towards a majority.
	Established bool
	Seq         uint64 // of the host's view, which the report acknowledges
	// GrantedLease lists the unexpired leases that the host has granted to peers.
	Granted []GrantedLease
}

// GrantedLease is a lease that a host has granted to a peer.
type GrantedLease struct {
	Host        string        // the peer
	Incarnation string        // of the peer
	Left        time.Duration // until it expires, by the granting host's clock
}

// Timing holds the durations of leases and decisions.
type Timing struct {
	LeaseDuration time.Duration // added by a renewal, by the holder's clock
	DecideTimeout time.Duration // timeout for acknowledgements
}

// LeaseWait returns the time after which a lease has certainly expired, measured by
// another host's clock. It adds the largest clock drift to the lease.
func (t Timing) LeaseWait() time.Duration {
	return time.Duration(float64(t.LeaseDuration) * (1 + raft.MaxClockDrift))
}

// AckTracker records the latest report of each host and decides the pending change from
// them. It is held in memory only: a new leader starts with an empty one. Use
// NewAckTracker to create one.
type AckTracker struct {
	timing       Timing
	reports      map[string]receivedReport
	changeID     string // change that pendingSince and majorityAt refer to
	pendingSince time.Time
	// majorityAt holds, for each data centre, when a majority was first seen.
	majorityAt map[string]time.Time
}

// receivedReport is the latest report of a host.
type receivedReport struct {
	report HostReport
	at     time.Time
}

// NewAckTracker returns a tracker without reports.
func NewAckTracker(timing Timing) *AckTracker {
	return &AckTracker{timing: timing, reports: make(map[string]receivedReport)}
}

// RecordReport records a host's report and reports whether the host's lease may be renewed,
// which requires the latest view. A renewed host counts as established from then on,
// because the latest view contains everything that its earlier incarnations can have
// acknowledged.
func (t *AckTracker) RecordReport(now time.Time, r HostReport, view View) (renewed bool) {
	renewed = r.Seq == view.Seq && view.Seq > 0 // under an empty log no host may serve
	if renewed {
		r.Established = true
	}
	t.reports[r.Host] = receivedReport{r, now}
	return renewed
}

// LastReport returns a host's latest report and when it was received. Both are zero
// if there is none.
func (t *AckTracker) LastReport(host string) (HostReport, time.Time) {
	received := t.reports[host]
	return received.report, received.at
}

// Decision is a leader's verdict on the pending change.
type Decision struct {
	Decided bool // false while acknowledgements or lease expiry are awaited
	Accept  bool
	// The affected data centres without a majority.
	Unreachable []string
}

// Decide returns the decision on the pending change of a view at time now. It accepts
// the change once every affected data centre is done, and refuses it if a data centre
// has no majority when the timeout has passed.
func (t *AckTracker) Decide(now time.Time, view View) Decision {
	pending := view.Pending
	if pending == nil {
		return Decision{}
	}
	if t.changeID != pending.Change.ID {
		t.changeID, t.pendingSince = pending.Change.ID, now
		t.majorityAt = make(map[string]time.Time)
	}
	var unreachable []string
	ready := true
	for _, dc := range pending.Matters {
		switch t.dataCentreStatus(now, dc, view) {
		case acknowledged:
		case awaitingExpiry:
			ready = false
		case noMajority:
			ready = false
			unreachable = append(unreachable, dc)
		}
	}
	if ready {
		return Decision{Decided: true, Accept: true}
	}
	if len(unreachable) > 0 && now.Sub(t.pendingSince) >= t.timing.DecideTimeout {
		return Decision{Decided: true, Unreachable: unreachable}
	}
	return Decision{Unreachable: unreachable}
}

// ackStatus is the progress of a pending change in one data centre.
type ackStatus uint8

const (
	noMajority     ackStatus = iota // no majority has acknowledged it
	awaitingExpiry                  // a majority has, but leases of other hosts may still run
	acknowledged                    // no host can still serve under the old view
)

// dataCentreStatus returns the progress of the pending change in one data centre. It
// requires a majority of both the old and the new set of hosts, so that a change of
// the set cannot leave two disjoint majorities. Hosts that the change itself declares
// gone are not counted in the old set: they can neither serve nor renew a lease.
func (t *AckTracker) dataCentreStatus(now time.Time, dc string, view View) ackStatus {
	after := HostsOf(view.Pending.Config, dc)
	before := slices.DeleteFunc(HostsOf(view.Config, dc), func(host string) bool {
		return isDeclaredGone(view.Pending.Config, host)
	})
	if !t.majorityAcknowledged(before, view.Seq) || !t.majorityAcknowledged(after, view.Seq) {
		return noMajority
	}
	if t.majorityAt[dc].IsZero() {
		t.majorityAt[dc] = now
	}
	if t.allAcknowledged(HostsOf(view.Config, dc), view.Seq) && t.allAcknowledged(after, view.Seq) && t.noOutdatedGrants(now, dc) {
		return acknowledged
	}
	if now.Sub(t.majorityAt[dc]) >= t.timing.LeaseWait() {
		return acknowledged
	}
	return awaitingExpiry
}

// hasAcknowledged reports whether a host's established incarnation has acknowledged the
// view seq or a later one.
func (t *AckTracker) hasAcknowledged(host string, seq uint64) bool {
	r := t.reports[host].report
	return r.Established && r.Seq >= seq
}

// majorityAcknowledged reports whether a majority of the hosts has acknowledged the view
// seq. It is true if there are no hosts.
func (t *AckTracker) majorityAcknowledged(hosts []string, seq uint64) bool {
	count := 0
	for _, host := range hosts {
		if t.hasAcknowledged(host, seq) {
			count++
		}
	}
	return len(hosts) == 0 || count >= Majority(len(hosts))
}

func (t *AckTracker) allAcknowledged(hosts []string, seq uint64) bool {
	for _, host := range hosts {
		if !t.hasAcknowledged(host, seq) {
			return false
		}
	}
	return true
}

// noOutdatedGrants reports whether no unexpired lease granted by a host of the data
// centre belongs to an incarnation of a peer other than the one that last reported.
// A host that restarts just after it acknowledged a view may hold such a lease under
// the old view while its earlier acknowledgement still counts here. At least one host
// of the majority that renewed it has reported the grant since.
func (t *AckTracker) noOutdatedGrants(now time.Time, dc string) bool {
	for _, received := range t.reports {
		if received.report.DataCentre != dc {
			continue
		}
		for _, g := range received.report.Granted {
			left := time.Duration(float64(g.Left) * (1 + raft.MaxClockDrift))
			if g.Incarnation != t.reports[g.Host].report.Incarnation && now.Before(received.at.Add(left)) {
				return false
			}
		}
	}
	return true
}

// Majority returns the smallest number greater than half of n.
func Majority(n int) int { return n/2 + 1 }

// HostsOf returns the names of a data centre's hosts, except those declared gone.
func HostsOf(config declare.Config, dc string) []string {
	var out []string
	for _, h := range declare.ObjectsOf[declare.Host](config) {
		if h.DataCentre == dc && h.State != declare.HostTerminated {
			out = append(out, h.Name)
		}
	}
	return out
}

func isDeclaredGone(config declare.Config, host string) bool {
	object, ok := config.Get(declare.Ref{Kind: declare.KindHost, Name: host})
	return ok && object.(declare.Host).State == declare.HostTerminated
}
