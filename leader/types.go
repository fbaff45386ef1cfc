// Package leader serves the control log to the hosts: it takes changes, tells
// hosts of them, renews leases, decides changes, and replaces lost voters.
//
// Every host with a disk runs one; only the one whose replica leads answers,
// and the others name the leader. What a Leader knows of the hosts is in
// memory only: a new leader learns it anew from the hosts' reports.
package leader

import (
	"time"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/ratelimit"
)

// HostStatus is what a host tells of itself beside its acknowledgement.
type HostStatus struct {
	Host       string
	DataCentre string
	Region     string
	Ready      bool // has a lease and isn't stopping
	InFlight   int
	Revision   uint64  // in force on the host
	Replica    raft.ID // of its control log; raft.None for a host without a disk
	KeyReplica raft.ID // of its region's log of keys
	KeyLeader  bool    // leads that log
	// Age is how long ago the host said this. Ages are passed on in the
	// place of times, because clocks differ.
	Age time.Duration
	// Services are the loads of the region's engines, as this host sees them.
	// They go to the leader, which passes on one word for each region.
	Services []ServiceLoad
	// Crashes are what is new to the host of requests under which engines crashed.
	Crashes []quarantine.CrashReport
	// Limits are what the host knows of limits that engines of its region name.
	Limits []ratelimit.LimitReport
}

// ServiceLoad is the state of one service's engines in a region.
type ServiceLoad struct {
	Service     string
	Slots       int // of healthy engines
	Load        int // running and waiting
	ServiceTime time.Duration
}

// RegionLoad is the newest word of a region's engines.
type RegionLoad struct {
	Region   string
	Age      time.Duration
	Services []ServiceLoad
}

// Report is a host's regular message to the leader.
type Report struct {
	Lease  control.HostReport
	Status HostStatus
}

// ReportArgs carries the reports of one or more hosts.
type ReportArgs struct {
	Reports []Report
	Hops    int // relays that it has passed
}

// Renewal answers one report.
type Renewal struct {
	Host    string
	Renewed bool
	Seq     uint64 // of the view that the renewal is for
}

// ReportReply answers ReportArgs.
type ReportReply struct {
	NotLeader *NotLeader
	Renewals  []Renewal
}

// NotLeader says where the leader may be found.
type NotLeader struct {
	Leader string // a host's name; empty if unknown
}

// WatchArgs asks for what follows a view.
type WatchArgs struct {
	Seq  uint64
	Wait time.Duration // longest time until an answer
	Hops int
	// Relay asks the host for what it has seen itself. Without it only the
	// leader answers: two hosts that have lost it must not wait for each
	// other.
	Relay bool
}

// WatchReply holds the events after Seq, or a whole view.
type WatchReply struct {
	NotLeader *NotLeader
	Events    []control.Event
	View      *control.View
}

// MembersArgs asks for the loads of all regions and, if Hosts is set, for the
// status of all hosts.
type MembersArgs struct {
	Hops  int
	Hosts bool
}

// MembersReply answers it. The status of hosts is without their Services.
type MembersReply struct {
	NotLeader *NotLeader
	Hosts     []HostStatus
	Regions   []RegionLoad
}

// ProposeArgs asks for a change.
type ProposeArgs struct {
	Change declare.Change
	Wait   time.Duration // longest time until an answer
}

// ProposeReply answers it. A pending outcome says that the wait was too short.
type ProposeReply struct {
	NotLeader *NotLeader
	Outcome   control.Outcome
}

// StateArgs asks for the state of the control log, as of now.
type StateArgs struct {
	After uint64 // history after this revision
	ID    string // a change whose outcome is asked for; may be empty
}

// StateReply answers it.
type StateReply struct {
	NotLeader *NotLeader
	View      control.View
	History   []control.Record
	Outcome   *control.Outcome // nil where the ID isn't known
	Raft      raft.Status
	Hosts     []HostStatus
}
