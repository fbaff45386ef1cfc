// This file defines the operators' requests, which any host accepts and forwards to the
// leader or to other hosts.

package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/leader"
)

// withoutRelay is a number of hops with which a call bypasses the relay.
const withoutRelay = maxHops

// Propose sends a change to the leader and waits for its decision. A change that may have
// reached a leader is resent with the same ID, which makes the proposal idempotent.
func (a *Agent) Propose(ctx context.Context, change declare.Change, wait time.Duration) (leader.ProposeReply, error) {
	args := leader.ProposeArgs{Change: change, Wait: wait}
	var reply leader.ProposeReply
	var localErr error
	err := a.callLeader(ctx, withoutRelay, wait, func() *leader.NotLeader {
		reply, localErr = a.Leader.Propose(ctx, args)
		return reply.NotLeader
	}, func(ctx context.Context, _ candidate, address string) (*leader.NotLeader, error) {
		reply, localErr = leader.ProposeReply{}, nil
		err := a.LongCalls.Call(ctx, address, "Host.Propose", args, &reply)
		return reply.NotLeader, err
	})
	if err == nil {
		err = localErr
	}
	return reply, errors.Trace(err)
}

// State requests the state of the control log from the leader.
func (a *Agent) State(ctx context.Context, args leader.StateArgs) (leader.StateReply, error) {
	var reply leader.StateReply
	var localErr error
	err := a.callLeader(ctx, withoutRelay, time.Second, func() *leader.NotLeader {
		reply, localErr = a.Leader.State(ctx, args)
		return reply.NotLeader
	}, func(ctx context.Context, _ candidate, address string) (*leader.NotLeader, error) {
		reply, localErr = leader.StateReply{}, nil
		err := a.LongCalls.Call(ctx, address, "Host.State", args, &reply)
		return reply.NotLeader, err
	})
	if err == nil {
		err = localErr
	}
	return reply, errors.Trace(err)
}

// EngineArgs requests the number of requests in flight on an engine.
type EngineArgs struct{ Engine string }

// EngineReply holds one host's requests in flight on an engine.
type EngineReply struct {
	InFlight int
	// Seq is that of the host's view. A host with an older view, in which the engine is
	// not declared stopping, may still send it requests.
	Seq uint64
}

// InFlight returns this host's requests in flight on an engine.
func (s *Service) InFlight(args EngineArgs, reply *EngineReply) error {
	view, _ := s.agent.View()
	*reply = EngineReply{s.agent.Fleet.InFlight(args.Engine), view.Seq}
	return nil
}

// DrainStatus is the progress of draining an engine before it is stopped.
type DrainStatus struct {
	Engine   string   `json:"engine"`
	Stopping bool     `json:"stopping"` // declared stopping in the effective configuration
	InFlight int      `json:"in_flight"`
	Unknown  []string `json:"unknown"` // hosts without a reply, or with an older view
}

// IsDrained reports whether the engine has no requests in flight and gets no new ones.
func (d DrainStatus) IsDrained() bool { return d.Stopping && d.InFlight == 0 && len(d.Unknown) == 0 }

// DrainStatus collects the requests in flight on an engine from each host of its region. A host
// that does not reply, or whose view is older, is listed as unknown, and the engine then
// does not count as empty.
func (a *Agent) DrainStatus(ctx context.Context, name string) (DrainStatus, error) {
	view, _ := a.View()
	if state, err := a.State(ctx, leader.StateArgs{}); err == nil {
		view = state.View // this host's view may be older
	}
	object, ok := view.Config.Get(declare.Ref{Kind: declare.KindEngine, Name: name})
	if !ok {
		return DrainStatus{}, errors.NotFoundf("engine %q", name)
	}
	engine := object.(declare.Engine)
	drain := DrainStatus{Engine: name, Stopping: engine.State == declare.EngineStopping}
	region := view.Config.RegionOf(engine.DataCentre)
	for _, host := range declare.ObjectsOf[declare.Host](view.Config) {
		if view.Config.RegionOf(host.DataCentre) != region || host.State == declare.HostTerminated {
			continue
		}
		reply, err := a.queryInFlight(ctx, host.Name, name)
		if err != nil || reply.Seq < view.Seq {
			drain.Unknown = append(drain.Unknown, host.Name)
			continue
		}
		drain.InFlight += reply.InFlight
	}
	return drain, nil
}

// queryInFlight returns a host's requests in flight on an engine.
func (a *Agent) queryInFlight(ctx context.Context, host, engine string) (EngineReply, error) {
	if host == a.Host.Name {
		view, _ := a.View()
		return EngineReply{a.Fleet.InFlight(engine), view.Seq}, nil
	}
	address, timeout, ok := a.controlAddress(host)
	if !ok {
		return EngineReply{}, errors.NotFoundf("host %q", host)
	}
	var reply EngineReply
	err := a.ShortCalls.CallTimeout(ctx, timeout, address, "Host.InFlight", EngineArgs{engine}, &reply)
	return reply, errors.Trace(err)
}
