// This file defines the calls that a host answers, as "Host" of net/rpc.

package agent

import (
	"context"
	"time"

	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/lease"
	"github.com/linenscale/linenscale/raft"
)

// Empty stands where a call has no arguments or no answer.
type Empty struct{}

// GrantArgs asks a peer of the same data centre for a renewal.
type GrantArgs struct {
	Ask    lease.Ask
	Status leader.HostStatus
}

// GrantReply answers it.
type GrantReply struct {
	Grant  lease.Grant
	Status leader.HostStatus
}

// Service answers the calls of other hosts. Its methods have the form that
// net/rpc asks for.
type Service struct {
	agent *Agent
	ctx   context.Context // net/rpc gives its methods none
}

// NewService makes the service of an agent; ctx ends its waiting calls.
func NewService(ctx context.Context, a *Agent) *Service { return &Service{a, ctx} }

// relayTime bounds what a relay does for a host, beside waiting.
const relayTime = 2 * time.Second

// Report takes the reports of hosts on their way to the leader.
func (s *Service) Report(args leader.ReportArgs, reply *leader.ReportReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, relayTime)
	defer cancel()
	for _, r := range args.Reports {
		s.agent.noteMember(r.Status)
	}
	if s.agent.Leader != nil {
		if got := s.agent.Leader.Report(args); got.NotLeader == nil {
			*reply = got
			return nil
		}
	}
	got, err := s.agent.relayReport(ctx, args)
	if err != nil {
		*reply = leader.ReportReply{NotLeader: &leader.NotLeader{Leader: s.agent.knownLeader()}}
		return nil
	}
	*reply = got
	return nil
}

// Watch answers as the leader or, if asked as a relay, from this host's own
// view: what it has seen was committed.
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
			*reply = s.agent.after(args.Seq)
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

func (s *Service) watchLeader(args leader.WatchArgs) leader.WatchReply {
	if s.agent.Leader == nil {
		return leader.WatchReply{NotLeader: &leader.NotLeader{Leader: s.agent.knownLeader()}}
	}
	return s.agent.Leader.Watch(s.ctx, args)
}

// after gives the events after seq, or the whole view.
func (a *Agent) after(seq uint64) leader.WatchReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	view := a.holder.View()
	behind := view.Seq - seq
	if seq == 0 || behind > uint64(len(a.events)) {
		return leader.WatchReply{View: &view}
	}
	return leader.WatchReply{Events: append(a.events[:0:0], a.events[uint64(len(a.events))-behind:]...)}
}

// knownLeader names the leader as last heard of, if that isn't this host.
func (a *Agent) knownLeader() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == a.Host.Name {
		return ""
	}
	return a.leader
}

// Members answers with what this host knows of all hosts.
func (s *Service) Members(args leader.MembersArgs, reply *leader.MembersReply) error {
	if s.agent.Leader != nil {
		if got := s.agent.Leader.Members(args); got.NotLeader == nil {
			*reply = got
			return nil
		}
	}
	if args.Hops == 0 {
		*reply = leader.MembersReply{NotLeader: &leader.NotLeader{}}
		return nil
	}
	reply.Regions = s.agent.knownRegions()
	if args.Hosts {
		reply.Hosts = leader.WithoutServices(s.agent.knownMembers())
	}
	return nil
}

// knownRegions gives what this host knows of all regions' engines.
func (a *Agent) knownRegions() []leader.RegionLoad {
	out := []leader.RegionLoad{{Region: a.Host.Region, Services: a.ownLoads()}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for region, known := range a.loads {
		out = append(out, leader.RegionLoad{Region: region, Age: time.Since(known.at), Services: known.services})
	}
	return out
}

func (a *Agent) knownMembers() []leader.HostStatus {
	own := a.status()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []leader.HostStatus{own}
	for _, m := range a.members {
		status := m.status
		status.Age = steady.Time().Sub(m.at)
		if status.Age < memberLife {
			out = append(out, status)
		}
	}
	return out
}

// Grant answers a peer that asks for a renewal.
func (s *Service) Grant(args GrantArgs, reply *GrantReply) error {
	s.agent.noteMember(args.Status)
	reply.Status = s.agent.status()
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	reply.Grant = s.agent.holder.Answer(steady.Time(), args.Ask)
	return nil
}

// Ping answers at once.
func (s *Service) Ping(_ Empty, _ *Empty) error { return nil }

// Propose takes a change, if this host leads.
func (s *Service) Propose(args leader.ProposeArgs, reply *leader.ProposeReply) error {
	if s.agent.Leader == nil {
		*reply = leader.ProposeReply{NotLeader: &leader.NotLeader{}}
		return nil
	}
	got, err := s.agent.Leader.Propose(s.ctx, args)
	*reply = got
	return err
}

// State gives the state of the control log, if this host leads.
func (s *Service) State(args leader.StateArgs, reply *leader.StateReply) error {
	if s.agent.Leader == nil {
		*reply = leader.StateReply{NotLeader: &leader.NotLeader{}}
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, relayTime)
	defer cancel()
	got, err := s.agent.Leader.State(ctx, args)
	*reply = got
	return err
}

// Deliver takes messages for this host's replica of the control log.
func (s *Service) Deliver(envelopes []raft.Envelope, _ *Empty) error {
	if s.agent.Leader == nil {
		return nil
	}
	for _, e := range envelopes {
		s.agent.Leader.Deliver(e)
	}
	return nil
}

// Known gives what this host knows of all hosts, itself included.
func (a *Agent) Known() []leader.HostStatus { return a.knownMembers() }
