// This file defines what operators ask of any host, on its way to the leader.

package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/leader"
)

// directly is the number of hops that keeps a call from going by a relay.
const directly = maxHops

// Propose brings a change to the leader and waits for its decision. A change
// that may have reached a leader is sent again with the same ID, which is safe.
func (a *Agent) Propose(ctx context.Context, change declare.Change, wait time.Duration) (leader.ProposeReply, error) {
	args := leader.ProposeArgs{Change: change, Wait: wait}
	var reply leader.ProposeReply
	var failed error
	err := a.ask(ctx, directly, wait, func() *leader.NotLeader {
		reply, failed = a.Leader.Propose(ctx, args)
		return reply.NotLeader
	}, func(ctx context.Context, _ target, address string) (*leader.NotLeader, error) {
		reply, failed = leader.ProposeReply{}, nil
		err := a.Long.Call(ctx, address, "Host.Propose", args, &reply)
		return reply.NotLeader, err
	})
	if err == nil {
		err = failed
	}
	return reply, errors.Trace(err)
}

// State asks the leader for the state of the control log.
func (a *Agent) State(ctx context.Context, args leader.StateArgs) (leader.StateReply, error) {
	var reply leader.StateReply
	var failed error
	err := a.ask(ctx, directly, time.Second, func() *leader.NotLeader {
		reply, failed = a.Leader.State(ctx, args)
		return reply.NotLeader
	}, func(ctx context.Context, _ target, address string) (*leader.NotLeader, error) {
		reply, failed = leader.StateReply{}, nil
		err := a.Long.Call(ctx, address, "Host.State", args, &reply)
		return reply.NotLeader, err
	})
	if err == nil {
		err = failed
	}
	return reply, errors.Trace(err)
}

// EngineArgs asks for the requests in flight on an engine.
type EngineArgs struct{ Engine string }

// EngineReply answers it.
type EngineReply struct {
	InFlight int
	// Seq is of the view that the host serves under: a host that has not
	// seen the engine's label yet may still send it something.
	Seq uint64
}

// InFlight answers with this host's own requests on an engine.
func (s *Service) InFlight(args EngineArgs, reply *EngineReply) error {
	view, _ := s.agent.View()
	*reply = EngineReply{s.agent.Fleet.InFlight(args.Engine), view.Seq}
	return nil
}

// Drain tells of an engine that is being stopped.
type Drain struct {
	Engine   string   `json:"engine"`
	Stopping bool     `json:"stopping"` // declared so, in force on this host
	InFlight int      `json:"in_flight"`
	Unknown  []string `json:"unknown"` // hosts that could not be asked
}

// Empty tells whether the engine has finished everything and gets nothing new.
func (d Drain) Empty() bool { return d.Stopping && d.InFlight == 0 && len(d.Unknown) == 0 }

// Drain asks each host of the engine's region for what it has in flight. A
// host that can't be asked counts as unknown, and the engine as not empty.
func (a *Agent) Drain(ctx context.Context, name string) (Drain, error) {
	view, _ := a.View()
	if state, err := a.State(ctx, leader.StateArgs{}); err == nil {
		view = state.View // this host may be behind
	}
	object, ok := view.Config.Get(declare.Ref{Kind: declare.KindEngine, Name: name})
	if !ok {
		return Drain{}, errors.NotFoundf("engine %q", name)
	}
	engine := object.(declare.Engine)
	drain := Drain{Engine: name, Stopping: engine.State == declare.EngineStopping}
	region := view.Config.RegionOf(engine.DataCentre)
	for _, host := range declare.Each[declare.Host](view.Config) {
		if view.Config.RegionOf(host.DataCentre) != region || host.State == declare.HostGone {
			continue
		}
		reply, err := a.askInFlight(ctx, host.Name, name)
		if err != nil || reply.Seq < view.Seq {
			drain.Unknown = append(drain.Unknown, host.Name)
			continue
		}
		drain.InFlight += reply.InFlight
	}
	return drain, nil
}

func (a *Agent) askInFlight(ctx context.Context, host, engine string) (EngineReply, error) {
	if host == a.Host.Name {
		view, _ := a.View()
		return EngineReply{a.Fleet.InFlight(engine), view.Seq}, nil
	}
	address, bound, ok := a.address(host)
	if !ok {
		return EngineReply{}, errors.NotFoundf("host %q", host)
	}
	var reply EngineReply
	err := a.Near.WithTimeout(ctx, bound, address, "Host.InFlight", EngineArgs{engine}, &reply)
	return reply, errors.Trace(err)
}
