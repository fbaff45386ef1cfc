// This file defines the arguments and replies of the net/rpc calls to control hosts.

package follow

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/roster"
)

// ErrNoLeader is returned while no control host is known to lead the ledger.
var ErrNoLeader = errors.New("no leader of the ledger is known")

// Service is the net/rpc name of the service that control hosts register.
const Service = "Control"

// SyncArgs describes the caller to a control host and asks for changes.
type SyncArgs struct {
	Self roster.Host
	// Known says that Self has not changed since the last call. Self then contains just
	// the name and the incarnation. A full description in every call was most of what
	// gateways sent to other regions.
	Known   bool
	Life    string        // incarnation of the control host that Engines and Roster refer to
	Engines uint64        // change number up to which the caller has the engines
	Index   uint64        // of the ledger's state that the caller has
	Roster  uint64        // change number up to which the caller has the hosts
	Wait    time.Duration // how long to wait for a change
	// Brief asks for no engines and no hosts: a closer control host sends them to the
	// caller.
	Brief bool
	// Sure says that the caller has a Freshness from this control host. A caller that has
	// none is answered as soon as the control host has one.
	Sure bool
	// Selective says that the caller polls only some control hosts. The one that it polls
	// in full, its home, forwards it to the others.
	Selective bool
	// Rollouts is what the caller has counted of the rollouts under way.
	Rollouts []rollout.Report
}

// SyncReply contains the changes that the caller doesn't have yet.
type SyncReply struct {
	Life    string // incarnation of the control host
	Index   uint64 // of the ledger's state that can be fetched
	Engines []EngineUpdate
	Number  uint64        // change number up to which Engines reaches
	Hosts   []roster.Host // new or changed hosts, without times; the control hosts in the first brief answer
	Gone    []string      // names of removed hosts
	Roster  uint64        // change number up to which Hosts and Gone reach
	// More says that the reply is a page, and that there are more engines or hosts. A reply
	// is as large as a small host's link carries well within the time of a call: if it was
	// larger, a call that fails would have to begin anew, without end.
	More     bool
	Stranger bool // the control host doesn't have the caller's description, which must be sent again
	Sure     Freshness
	Self     roster.Host // the control host
	// Hears are the names of the control hosts that it is connected to: of the caller's
	// region, or of all regions if the caller is selective.
	Hears []string
	// Sources are the incarnations of these control hosts, for a selective caller: the
	// heartbeats that they receive count as recent.
	Sources []string
}

// Freshness says up to when a control host's state of the ledger is complete.
type Freshness struct {
	Known bool          // false if the control host can't tell
	Index uint64        // of the state, or of a later one
	Age   time.Duration // the state contains everything accepted until this long before the answer
	Held  time.Duration // time between the request's arrival and the answer
}

// HasChanges reports whether the reply contains anything that the caller doesn't have.
func (r SyncReply) HasChanges(args SyncArgs) bool {
	return r.IsUrgent(args) || r.More || len(r.Engines) > 0 || len(r.Hosts) > 0 || len(r.Gone) > 0
}

// IsUrgent reports whether the caller should be answered at once: the control host has
// restarted, has more than a page for it, has a newer state of the ledger, or has the first Freshness.
func (r SyncReply) IsUrgent(args SyncArgs) bool {
	return r.Life != args.Life || r.More || r.Index > args.Index || (r.Sure.Known && !args.Sure)
}

// confirmedSources returns the incarnations of the control hosts whose heartbeats the reply
// confirms.
func (r SyncReply) confirmedSources() []string {
	return append(slices.Clone(r.Sources), r.Life)
}

// EngineUpdate is the state of an engine as it is sent to another host. Its times are
// durations, because the clocks of hosts differ.
type EngineUpdate struct {
	Engine   registry.Engine // without times; Source is empty if the sender is the source
	ColdFor  time.Duration
	GoneIn   time.Duration // 0 if not known
	HeardAgo time.Duration
}

// TellArgs asks a control host to inform its gateways of an engine that drains or has left.
type TellArgs struct {
	Engine EngineUpdate
}

// StateArgs are the arguments of the call that fetches the ledger's state.
type StateArgs struct{}

// StateReply is the ledger's state, encoded, without the source text of its configuration.
type StateReply struct {
	Index uint64
	State []byte
}

// ProposeArgs forwards a command of the ledger to the leader.
type ProposeArgs struct {
	Command []byte
}

// ReadIndexReply is the index that a host must have applied for a linearizable read.
type ReadIndexReply struct {
	Index uint64
}

// Empty is the type of arguments and replies without content.
type Empty struct{}

// Deliveries are messages between replicas of the ledger.
type Deliveries []raft.Envelope

// newEngineUpdate converts an engine's times to durations.
func newEngineUpdate(e registry.Engine, now time.Time) EngineUpdate {
	update := EngineUpdate{Engine: e, ColdFor: max(0, e.ColdUntil.Sub(now)), HeardAgo: now.Sub(e.Heard)}
	if !e.GoneAt.IsZero() {
		update.GoneIn = max(1, e.GoneAt.Sub(now))
	}
	update.Engine.ColdUntil, update.Engine.GoneAt, update.Engine.Heard, update.Engine.Began = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	return update
}

// NewEngineUpdates converts engines to the form that is sent to other hosts.
func NewEngineUpdates(engines []registry.Engine, now time.Time) []EngineUpdate {
	out := make([]EngineUpdate, len(engines))
	for i, e := range engines {
		out[i] = newEngineUpdate(e, now)
	}
	return out
}

// ToEngine converts the update to an engine with times of this process's clock.
func (u EngineUpdate) ToEngine(now time.Time) registry.Engine {
	e := u.Engine
	e.Heard = now.Add(-u.HeardAgo)
	if u.ColdFor > 0 {
		e.ColdUntil = now.Add(u.ColdFor)
	}
	if u.GoneIn > 0 {
		e.GoneAt = now.Add(u.GoneIn)
	}
	return e
}
