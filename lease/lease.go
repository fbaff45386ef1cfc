// Package lease decides, on a host, how long it may serve under its view of
// the configuration, and whether it may renew its peers.
//
// A Holder is renewed by the control log's leader, or by a majority of the
// hosts of its own data centre. Whoever renews does so only for a view that is
// no older than its own. Since a change is accepted only after a majority of
// each data centre that it matters to has acknowledged it, no majority is left
// that would renew a host under the old view; what was granted before runs out
// within the time that the leader waits.
//
// A host that restarts has forgotten what it acknowledged. Its new incarnation
// is not established until a leader has renewed it: till then it may serve, on
// a majority of established peers, but it renews nobody and counts in no
// majority.
//
// Leases are measured on the holder's own clock from when it asked, which is
// before anyone granted. Clocks may differ in rate by raft.DriftShare. A lease
// also ends by the wall clock, because the monotonic clock of a suspended
// machine stands still.
package lease

import (
	"time"

	"github.com/linenscale/linenscale/control"
)

// Holder is one host's side. New makes one; it is not safe for concurrent use.
type Holder struct {
	host, dataCentre string
	incarnation      string
	duration           time.Duration
	established      bool
	view             control.View
	expiresAt            time.Time
	wallExpiresAt             time.Time          // until, by the wall clock
	lastLeaderRenewal         time.Time          // when the last renewal by a leader was asked for
	peerLeases           map[string]peerLease // the last renewal of each peer
}

// peerLease is a peer that this host has renewed.
type peerLease struct {
	incarnation string
	grantedAt          time.Time
}

// New makes the holder of a host that has just started.
func New(host, dataCentre, incarnation string, length time.Duration) *Holder {
	return &Holder{host: host, dataCentre: dataCentre, incarnation: incarnation, duration: length, peerLeases: make(map[string]peerLease)}
}

// View gives the view that the host serves under.
func (h *Holder) View() control.View { return h.view }

// Established tells whether a leader has renewed this incarnation.
func (h *Holder) Established() bool { return h.established }

// Until gives when the lease ends.
func (h *Holder) Until() time.Time { return h.expiresAt }

// ByLeader gives when the last renewal by a leader was asked for.
func (h *Holder) ByLeader() time.Time { return h.lastLeaderRenewal }

// Serving tells whether the host may serve now.
func (h *Holder) Serving(now time.Time) bool {
	return now.Before(h.expiresAt) && now.Round(0).Before(h.wallExpiresAt)
}

// SetView takes over a newer view; an older one is left alone. From then on
// the host serves under it, and has thereby acknowledged it.
func (h *Holder) SetView(view control.View) bool {
	if view.Seq <= h.view.Seq {
		return false
	}
	h.view = view
	return true
}

// Report gives what the host tells the leader.
func (h *Holder) Report(now time.Time) control.HostReport {
	return control.HostReport{
		Host: h.host, DataCentre: h.dataCentre, Incarnation: h.incarnation,
		Established: h.established, Seq: h.view.Seq,
		Granted: h.runningPeerLeases(now),
	}
}

// runningPeerLeases lists the leases given to peers that may still run.
func (h *Holder) runningPeerLeases(now time.Time) []control.Granted {
	var grants []control.Granted
	for host, g := range h.peerLeases {
		left := g.grantedAt.Add(h.duration).Sub(now)
		if left <= 0 {
			delete(h.peerLeases, host)
			continue
		}
		grants = append(grants, control.Granted{Host: host, Incarnation: g.incarnation, Left: left})
	}
	return grants
}

// RenewedByLeader takes a renewal that was asked for at sent, under the view
// seq.
func (h *Holder) RenewedByLeader(sent time.Time, seq uint64) {
	if seq > h.view.Seq {
		return // can't be: it would be a renewal for another incarnation
	}
	h.established = true
	h.lastLeaderRenewal = sent
	h.extend(sent)
}

func (h *Holder) extend(sent time.Time) {
	if until := sent.Add(h.duration); until.After(h.expiresAt) {
		h.expiresAt = until
		h.wallExpiresAt = sent.Round(0).Add(h.duration)
	}
}

// Ask is a request for renewal to a peer of the same data centre.
type Ask struct {
	Host        string
	Incarnation string
	Seq         uint64
}

// Grant is a peer's answer.
type Grant struct {
	Host    string
	Granted bool
	Seq     uint64 // of the peer's view; a host that is behind asks for it
}

// Ask gives the request for renewal by peers.
func (h *Holder) Ask() Ask { return Ask{h.host, h.incarnation, h.view.Seq} }

// Answer decides a peer's request. Nobody is renewed under a view that is
// older than this host's own.
func (h *Holder) Answer(now time.Time, request Ask) Grant {
	granted := h.established && request.Seq >= h.view.Seq
	if granted {
		h.peerLeases[request.Host] = peerLease{request.Incarnation, now}
	}
	return Grant{h.host, granted, h.view.Seq}
}

// RenewedByPeers takes the grants of one round, all asked for at sent or later
// under the view seq. It tells whether they were a majority of the data
// centre's hosts, in the present configuration and in a pending one.
func (h *Holder) RenewedByPeers(sent time.Time, seq uint64, grants []Grant) bool {
	if seq != h.view.Seq {
		return false
	}
	granted := map[string]bool{}
	if h.established {
		granted[h.host] = true
	}
	for _, g := range grants {
		if g.Granted && g.Host != h.host {
			granted[g.Host] = true
		}
	}
	if !h.isMajority(granted, control.HostsOf(h.view.Config, h.dataCentre)) {
		return false
	}
	if p := h.view.Pending; p != nil && !h.isMajority(granted, control.HostsOf(p.Config, h.dataCentre)) {
		return false
	}
	h.extend(sent)
	return true
}

func (h *Holder) isMajority(granted map[string]bool, hosts []string) bool {
	count := 0
	for _, host := range hosts {
		if granted[host] {
			count++
		}
	}
	return count >= control.Majority(len(hosts))
}
