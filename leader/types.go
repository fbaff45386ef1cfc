// Package leader serves the control log to the hosts: it accepts and decides changes,
// distributes them to the hosts, renews leases, and replaces lost voters.
//
// Every host with a disk runs a Leader. Only the one whose replica leads the Raft
// group answers; the others reply with the leader's name. The state of the hosts is
// held in memory only: a new leader rebuilds it from their reports.
package leader

import (
	"time"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/ratelimit"
)

// HostStatus is the part of a host's report that concerns routing and operators, beside
// its acknowledgement of a view.
type HostStatus struct {
	Host       string
	DataCentre string
	Region     string
	Ready      bool // has a lease and accepts requests
	InFlight   int
	Revision   uint64  // of the host's effective configuration
	Replica    raft.ID // of the control log; raft.None for a host without a disk
	KeyReplica raft.ID // of its region's key log; raft.None if it has none
	KeyLeader  bool    // whether KeyReplica leads the key log
	// Age is the time since the host issued the status. An age is sent instead of a
	// time, because the hosts' clocks differ.
	Age time.Duration
	// Services are the loads of the region's engines as observed by the host. The
	// leader forwards the latest report of each region.
	Services []ServiceLoad
	// Crashes are the host's recent reports of requests that crashed engines.
	Crashes []quarantine.CrashReport
	// Limits are the rate limits announced by engines of the host's region.
	Limits []ratelimit.LimitReport
}

// ServiceLoad is the aggregate load of a service's engines in one region.
type ServiceLoad struct {
	Service     string
	Slots       int // of healthy engines
	Load        int // running and queued requests
	ServiceTime time.Duration
}

// RegionLoad is the latest load report of a region's engines.
type RegionLoad struct {
	Region   string
	Age      time.Duration
	Services []ServiceLoad
}

// Report is a host's periodic message to the leader.
type Report struct {
	Lease  control.HostReport
	Status HostStatus
}

// ReportArgs carries the reports of one or more hosts.
type ReportArgs struct {
	Reports []Report
	Hops    int // relays passed so far
}

// Renewal is the leader's reply to one host's report.
type Renewal struct {
	Host    string
	Renewed bool
	Seq     uint64 // of the leader's view
}

// ReportReply holds one Renewal for each report.
type ReportReply struct {
	NotLeader *NotLeader
	Renewals  []Renewal
}

// NotLeader redirects the caller: the replying host does not lead.
type NotLeader struct {
	Leader string // name of the host that probably leads; empty if unknown
}

// WatchArgs is a long poll for the changes after a view.
type WatchArgs struct {
	Seq  uint64
	Wait time.Duration // longest time until the reply
	Hops int           // relays passed so far
	// Relay asks the host to reply from its own view. Without it, only the leader
	// replies, because two hosts without a leader must not wait for each other.
	Relay bool
}

// WatchReply holds the events after WatchArgs.Seq, or the whole view if those events are
// no longer stored. It holds neither if the wait ended without a change.
type WatchReply struct {
	NotLeader *NotLeader
	Events    []control.Event
	View      *control.View
}

// MembersArgs requests the loads of all regions and, if Hosts is set, the status of all
// hosts.
type MembersArgs struct {
	Hops  int // relays passed so far
	Hosts bool
}

// MembersReply holds the loads of the regions and the status of the hosts without their
// Services.
type MembersReply struct {
	NotLeader *NotLeader
	Hosts     []HostStatus
	Regions   []RegionLoad
}

// ProposeArgs requests a change.
type ProposeArgs struct {
	Change declare.Change
	Wait   time.Duration // longest time until the reply
}

// ProposeReply holds the outcome of a change. It is not final if the wait ended before
// the decision.
type ProposeReply struct {
	NotLeader *NotLeader
	Outcome   control.Outcome
}

// StateArgs requests a linearizable read of the control log.
type StateArgs struct {
	After uint64 // the reply's history starts after this revision
	ID    string // of a change whose outcome is requested; may be empty
}

// StateReply holds the state of the control log, its replicas and the hosts.
type StateReply struct {
	NotLeader *NotLeader
	View      control.View
	History   []control.Record
	Outcome   *control.Outcome // nil if the change is unknown or no ID was given
	Raft      raft.Status
	Hosts     []HostStatus
}
