// Package lease implements the lease that a host needs in order to serve under its view of
// the configuration, and the renewals that it grants to other hosts of its data centre.
//
// A lease is renewed by the leader of the control log, or by a majority of the hosts of the
// holder's data centre. Either renews only a view that is at least as new as its own. A
// configuration change is accepted only after a majority of the hosts of each affected data
// centre has acknowledged it, so no majority remains that would renew a host under the old
// view. Leases that were granted before the acknowledgement expire while the leader waits.
//
// A host that restarts has lost what it acknowledged. Its new incarnation is not established
// until a leader has renewed it. Until then it may serve if a majority of established peers
// renews it, but it renews no other host and doesn't count towards a majority.
//
// A lease is measured on the holder's own clock from the time of the request, which is before
// the time of the grant. Clock rates may differ by raft.MaxClockDrift. A lease also expires by
// the wall clock, because the monotonic clock stands still while a machine is suspended.
package lease

import (
	"time"

	"github.com/linenscale/linenscale/control"
)

// Holder is the state of one host's lease and of the leases that it has granted to its peers.
// It is not safe for concurrent use.
type Holder struct {
	host, dataCentre  string
	incarnation       string
	duration          time.Duration
	established       bool
	view              control.View
	expiresAt         time.Time
	wallExpiresAt     time.Time            // expiresAt by the wall clock
	lastLeaderRenewal time.Time            // request time of the last renewal by a leader
	peerLeases        map[string]peerLease // by host: the last lease granted to each peer
}

// peerLease is a lease that this host has granted to a peer.
type peerLease struct {
	incarnation string
	grantedAt   time.Time
}

// New returns the holder of a host that has just started. It has no lease. duration is the
// length of all leases of the deployment.
func New(host, dataCentre, incarnation string, duration time.Duration) *Holder {
	return &Holder{host: host, dataCentre: dataCentre, incarnation: incarnation, duration: duration, peerLeases: make(map[string]peerLease)}
}

// View returns the view under which the host serves.
func (h *Holder) View() control.View { return h.view }

// IsEstablished reports whether a leader has renewed this incarnation of the host.
func (h *Holder) IsEstablished() bool { return h.established }

// ExpiresAt returns when the lease expires, on the host's monotonic clock.
func (h *Holder) ExpiresAt() time.Time { return h.expiresAt }

// LastLeaderRenewal returns the request time of the last renewal by a leader.
func (h *Holder) LastLeaderRenewal() time.Time { return h.lastLeaderRenewal }

// MayServe reports whether the lease is valid, so that the host may serve.
func (h *Holder) MayServe(now time.Time) bool {
	return now.Before(h.expiresAt) && now.Round(0).Before(h.wallExpiresAt)
}

// AdoptView adopts view if it is newer than the current one, and reports whether it did. From
// then on the host serves under it, which counts as the host's acknowledgement.
func (h *Holder) AdoptView(view control.View) bool {
	if view.Seq <= h.view.Seq {
		return false
	}
	h.view = view
	return true
}

// Report returns the host's report to the leader.
func (h *Holder) Report(now time.Time) control.HostReport {
	return control.HostReport{
		Host: h.host, DataCentre: h.dataCentre, Incarnation: h.incarnation,
		Established: h.established, Seq: h.view.Seq,
		Granted: h.runningPeerLeases(now),
	}
}

// runningPeerLeases returns the leases granted to peers that may not have expired yet, and
// forgets the others.
func (h *Holder) runningPeerLeases(now time.Time) []control.GrantedLease {
	var grants []control.GrantedLease
	for host, g := range h.peerLeases {
		left := g.grantedAt.Add(h.duration).Sub(now)
		if left <= 0 {
			delete(h.peerLeases, host)
			continue
		}
		grants = append(grants, control.GrantedLease{Host: host, Incarnation: g.incarnation, Left: left})
	}
	return grants
}

// ApplyLeaderRenewal applies a leader's renewal under the view with number seq. sentAt is when
// the host sent the request.
func (h *Holder) ApplyLeaderRenewal(sentAt time.Time, seq uint64) {
	if seq > h.view.Seq {
		return // impossible for this incarnation, which has not requested it
	}
	h.established = true
	h.lastLeaderRenewal = sentAt
	h.extend(sentAt)
}

func (h *Holder) extend(sentAt time.Time) {
	if until := sentAt.Add(h.duration); until.After(h.expiresAt) {
		h.expiresAt = until
		h.wallExpiresAt = sentAt.Round(0).Add(h.duration)
	}
}

// RenewalRequest is a host's request to a peer of its data centre to renew its lease.
type RenewalRequest struct {
	Host        string
	Incarnation string
	Seq         uint64
}

// RenewalReply is the reply of a peer to a renewal request.
type RenewalReply struct {
	Host    string
	Granted bool
	Seq     uint64 // of the peer's view; a host with an older view fetches the peer's
}

// RenewalRequest returns the host's request for a renewal by its peers.
func (h *Holder) RenewalRequest() RenewalRequest {
	return RenewalRequest{h.host, h.incarnation, h.view.Seq}
}

// HandleRenewalRequest decides on a peer's request. It grants a renewal only if this host
// is established and the peer's view is not older than its own.
func (h *Holder) HandleRenewalRequest(now time.Time, request RenewalRequest) RenewalReply {
	granted := h.established && request.Seq >= h.view.Seq
	if granted {
		h.peerLeases[request.Host] = peerLease{request.Incarnation, now}
	}
	return RenewalReply{h.host, granted, h.view.Seq}
}

// ApplyPeerGrants renews the lease if the grants of one round of requests, together with this
// host if it is established, are a majority of the data centre's hosts, in the current
// configuration and also in the pending one, if any. It reports whether it renewed the lease.
// All requests were sent at sentAt or later under the view with number seq.
func (h *Holder) ApplyPeerGrants(sentAt time.Time, seq uint64, grants []RenewalReply) bool {
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
	h.extend(sentAt)
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
