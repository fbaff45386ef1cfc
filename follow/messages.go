// This file defines what hosts ask of control hosts, over net/rpc.

package follow

import (
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// ErrNoLeader says that no control host leads, as far as is known here.
var ErrNoLeader = errors.New("no leader of the ledger is known")

// Service is the name under which a control host answers.
const Service = "Control"

// SyncArgs tells a control host of the caller, and asks for what is new.
type SyncArgs struct {
	Self roster.Host
	// Known says that Self is as it was told before, and holds just its name and life: to
	// tell all of it with every question was most of what gateways sent to other regions.
	Known   bool
	Life    string        // of the control host that Engines counts for
	Engines uint64        // number up to which the caller knows its engines
	Index   uint64        // of the ledger's state that the caller has
	Roster  uint64        // number up to which the caller knows the hosts
	Wait    time.Duration // how long to wait for something new
	// Brief asks for no engines and no hosts: a nearer control host tells the caller of
	// them.
	Brief bool
	// Sure tells that the caller knows up to when its state holds; one that doesn't is
	// answered as soon as the control host does.
	Sure bool
}

// SyncReply is what a control host knows and the caller doesn't.
type SyncReply struct {
	Life     string
	Index    uint64 // of the ledger's state that can be fetched
	Engines  []EngineNews
	Number   uint64        // up to which Engines reaches
	Hosts    []roster.Host // that came or changed, without times
	Gone     []string      // names of hosts that went
	Roster   uint64        // up to which Hosts and Gone reach
	Stranger bool          // the control host doesn't know the caller, who must tell of itself
	Sure     Surety
	Self     roster.Host // the control host
	Hears    []string    // names of other control hosts of the caller's region that it is in touch with
}

// Surety says up to when a control host is sure of the ledger's state.
type Surety struct {
	Known bool
	Index uint64        // of the state, or of a later one
	Age   time.Duration // everything that was accepted so long before the answer is in it
	Held  time.Duration // from the question until the answer
}

// News tells whether the reply holds anything that the caller didn't know.
func (r SyncReply) News(args SyncArgs) bool {
	return r.Urgent(args) || len(r.Engines) > 0 || (!args.Brief && r.Roster != args.Roster)
}

// Urgent tells whether the caller should know at once: the control host is
// another than it was, or has a newer state of the ledger.
func (r SyncReply) Urgent(args SyncArgs) bool {
	return r.Life != args.Life || r.Index > args.Index || (r.Sure.Known && !args.Sure)
}

// EngineNews is an engine whose source is empty where that is the teller itself, and whose times are told as durations, because two hosts'
// clocks show different times.
type EngineNews struct {
	Engine   registry.Engine // without times
	ColdFor  time.Duration
	GoneIn   time.Duration // 0 where not known
	HeardAgo time.Duration
}

// TellArgs has a control host tell its gateways of an engine that drains or has left.
type TellArgs struct {
	Engine EngineNews
}

// StateArgs asks for the ledger's state.
type StateArgs struct{}

// StateReply is the ledger's state, packed, without the operator's source.
type StateReply struct {
	Index uint64
	State []byte
}

// ProposeArgs carries a command of the ledger to the leader.
type ProposeArgs struct {
	Command []byte
}

// ReadReply is the index that a confirmed read must have applied.
type ReadReply struct {
	Index uint64
}

// Nothing stands where a call has no arguments or no answer.
type Nothing struct{}

// Deliveries are messages between replicas of the ledger.
type Deliveries []raft.Envelope

// newsOf tells of an engine in terms that hold on any host.
func newsOf(e registry.Engine, now time.Time) EngineNews {
	n := EngineNews{Engine: e, ColdFor: max(0, e.ColdUntil.Sub(now)), HeardAgo: now.Sub(e.Heard)}
	if !e.GoneAt.IsZero() {
		n.GoneIn = max(1, e.GoneAt.Sub(now))
	}
	n.Engine.ColdUntil, n.Engine.GoneAt, n.Engine.Heard, n.Engine.Began = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	return n
}

// NewsOf tells of engines in terms that hold on any host.
func NewsOf(engines []registry.Engine, now time.Time) []EngineNews {
	out := make([]EngineNews, len(engines))
	for i, e := range engines {
		out[i] = newsOf(e, now)
	}
	return out
}

// Local gives the engine in the terms of this process's clock.
func (n EngineNews) Local(now time.Time) registry.Engine {
	e := n.Engine
	e.Heard = now.Add(-n.HeardAgo)
	if n.ColdFor > 0 {
		e.ColdUntil = now.Add(n.ColdFor)
	}
	if n.GoneIn > 0 {
		e.GoneAt = now.Add(n.GoneIn)
	}
	return e
}
