// This file defines the RPC service that each host offers to the others, registered with
// net/rpc as "Host".

package agent

import (
	"context"
	"time"

	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/lease"
	"github.com/linenscale/linenscale/raft"
)

// Empty is the argument or reply of a call without one.
type Empty struct{}

// GrantArgs requests a lease renewal from a peer in the same data centre.
type GrantArgs struct {
	Ask    lease.RenewalRequest
	Status leader.HostStatus
}

// GrantReply holds the peer's grant or rejection, and its status.
type GrantReply struct {
	Grant  lease.RenewalReply
	Status leader.HostStatus
}

// Service handles the calls of other hosts. Its methods have the signature that net/rpc
// requires.
type Service struct {
	agent *Agent
	ctx   context.Context // net/rpc passes no context to methods
}

// NewService returns the RPC service of an agent. Calls that wait return when ctx ends.
func NewService(ctx context.Context, a *Agent) *Service { return &Service{a, ctx} }

// relayTimeout bounds the calls that a relay makes for a host, except long polls.
const relayTimeout = 2 * time.Second

// Report handles the reports of hosts as the leader, or forwards them to it.
func (s *Service) Report(args leader.ReportArgs, reply *leader.ReportReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, relayTimeout)
	defer cancel()
	for _, r := range args.Reports {
		s.agent.recordStatus(r.Status)
	}
	if s.agent.Leader != nil {
		if local := s.agent.Leader.Report(args); local.NotLeader == nil {
			*reply = local
			return nil
		}
	}
	forwarded, err := s.agent.batchReports(ctx, args)
	if err != nil {
		*reply = leader.ReportReply{NotLeader: &leader.NotLeader{Leader: s.agent.lastKnownLeader()}}
		return nil
	}
	*reply = forwarded
	return nil
}

// Watch returns the changes after a view, as the leader or, if args.Relay is set, from
// this host's own view, which holds only committed events.
func (s *Service) Watch(args leader.WatchArgs, reply *leader.WatchReply) error {
	if !args.Relay {
		*reply = s.watchLeader(args)
		return nil
	}
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for {
		view, changed := s.agent.View()
		if view.Seq > args.Seq {
			*reply = s.agent.changesSince(args.Seq)
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-s.ctx.Done():
			return nil
		}
	}
}

// watchLeader handles a long poll as the leader, or redirects to the last known one.
func (s *Service) watchLeader(args leader.WatchArgs) leader.WatchReply {
	if s.agent.Leader == nil {
		return leader.WatchReply{NotLeader: &leader.NotLeader{Leader: s.agent.lastKnownLeader()}}
	}
	return s.agent.Leader.Watch(s.ctx, args)
}

// changesSince returns the events after seq, or the whole view if seq is zero or some of
// the events have been discarded.
func (a *Agent) changesSince(seq uint64) leader.WatchReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	view := a.holder.View()
	missing := view.Seq - seq
	if seq == 0 || missing > uint64(len(a.events)) {
		return leader.WatchReply{View: &view}
	}
	return leader.WatchReply{Events: append(a.events[:0:0], a.events[uint64(len(a.events))-missing:]...)}
}

// lastKnownLeader returns the last known leader, or an empty string if there is none or
// if it is this host.
func (a *Agent) lastKnownLeader() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == a.Host.Name {
		return ""
	}
	return a.leader
}

// Members returns the loads of all regions and the status of all hosts, as the leader or,
// if this host is called as a relay, from its own state.
func (s *Service) Members(args leader.MembersArgs, reply *leader.MembersReply) error {
	if s.agent.Leader != nil {
		if local := s.agent.Leader.Members(args); local.NotLeader == nil {
			*reply = local
			return nil
		}
	}
	if args.Hops == 0 {
		*reply = leader.MembersReply{NotLeader: &leader.NotLeader{}}
		return nil
	}
	reply.Regions = s.agent.regionReports()
	if args.Hosts {
		reply.Hosts = leader.WithoutServices(s.agent.hostStatuses())
	}
	return nil
}

// regionReports returns this host's load report of its own region and the latest reports
// of the others.
func (a *Agent) regionReports() []leader.RegionLoad {
	out := []leader.RegionLoad{{Region: a.Host.Region, Services: a.ownLoads()}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for region, load := range a.regionLoads {
		out = append(out, leader.RegionLoad{Region: region, Age: time.Since(load.issuedAt), Services: load.services})
	}
	return out
}

// hostStatuses returns this host's status and those of the others younger than statusTTL.
func (a *Agent) hostStatuses() []leader.HostStatus {
	own := a.ownStatus()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []leader.HostStatus{own}
	for _, received := range a.statuses {
		status := received.status
		status.Age = steady.Time().Sub(received.issuedAt)
		if status.Age < statusTTL {
			out = append(out, status)
		}
	}
	return out
}

// Grant handles a peer's request for a lease renewal.
func (s *Service) Grant(args GrantArgs, reply *GrantReply) error {
	s.agent.recordStatus(args.Status)
	reply.Status = s.agent.ownStatus()
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	reply.Grant = s.agent.holder.HandleRenewalRequest(steady.Time(), args.Ask)
	return nil
}

// Ping returns at once. Callers measure the round trip with it.
func (s *Service) Ping(_ Empty, _ *Empty) error { return nil }

// Propose proposes a change and waits for its decision, if this host leads.
func (s *Service) Propose(args leader.ProposeArgs, reply *leader.ProposeReply) error {
	if s.agent.Leader == nil {
		*reply = leader.ProposeReply{NotLeader: &leader.NotLeader{}}
		return nil
	}
	result, err := s.agent.Leader.Propose(s.ctx, args)
	*reply = result
	return err
}

// State returns the state of the control log, if this host leads.
func (s *Service) State(args leader.StateArgs, reply *leader.StateReply) error {
	if s.agent.Leader == nil {
		*reply = leader.StateReply{NotLeader: &leader.NotLeader{}}
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, relayTimeout)
	defer cancel()
	result, err := s.agent.Leader.State(ctx, args)
	*reply = result
	return err
}

// Deliver passes Raft messages to this host's replica of the control log.
func (s *Service) Deliver(envelopes []raft.Envelope, _ *Empty) error {
	if s.agent.Leader == nil {
		return nil
	}
	for _, e := range envelopes {
		s.agent.Leader.Deliver(e)
	}
	return nil
}

// HostStatuses returns the recent statuses of all hosts, including this one.
func (a *Agent) HostStatuses() []leader.HostStatus { return a.hostStatuses() }
