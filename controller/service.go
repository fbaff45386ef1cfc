// This file defines the net/rpc service that other hosts call on a control host.

package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// Service implements the net/rpc service named follow.Service.
type Service struct {
	ctx        context.Context // net/rpc passes no context to methods
	controller *Controller
}

// NewService returns the service. Waiting calls end with ctx.
func NewService(ctx context.Context, c *Controller) *Service { return &Service{ctx, c} }

// Sync records the calling host in the roster, and responds when there is a change that
// the caller doesn't have, or after the wait it asks for.
func (s *Service) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c := s.controller
	received := c.SteadyClock()
	wait := min(args.Wait, follow.BriefSyncWait)
	if args.Known {
		// The call contains only the name and incarnation of a host that is in the roster.
		if args.Self = c.roster.Lookup(args.Self.Name, args.Self.Life); args.Self.Name == "" {
			*reply = follow.SyncReply{Stranger: true}
			return nil
		}
	}
	report := roster.Report{Host: args.Self, Timeout: rosterTimeout(wait), Homed: args.Selective && !args.Brief}
	if c.roster.ReceiveReport(report) {
		c.Log.Info("host joined or restarted", zap.String("host", args.Self.Name), zap.String("role", string(args.Self.Role)), zap.String("life", args.Self.Life), zap.String("replica", args.Self.Replica))
	}
	if args.Life != c.Self.Life {
		// The change numbers are those of another incarnation of this host.
		args.Engines, args.Roster = 0, 0
	}
	c.recordAcknowledgement(args)
	c.rollouts.receive(args)
	deadline := time.Now().Add(wait)
	gathered := args.Wait == 0 // a call that doesn't wait is answered without batching
	for {
		changes := c.changes(args.Brief)
		*reply = c.buildReply(args, received)
		switch {
		case reply.HasChanges(args) && (gathered || reply.IsUrgent(args)):
			return nil
		case reply.HasChanges(args):
			gathered = true
			duty.Pause(s.ctx, c.GatherTime)
			continue
		}
		select {
		case <-s.ctx.Done():
			return nil
		case <-time.After(time.Until(deadline)): // the caller was connected until now
			c.roster.Confirm(report.Host)
			return nil
		case <-changes.roster:
		case <-changes.engines:
		case <-changes.ledger:
		}
	}
}

// Versions returns which versions of a service's software this control host knows of.
func (s *Service) Versions(args follow.VersionsArgs, reply *follow.VersionsReply) error {
	c := s.controller
	*reply = follow.VersionsReply{Life: c.Self.Life, Versions: c.engines.Versions(args.Service)}
	return nil
}

// rosterTimeout returns the roster timeout of a host whose Sync calls wait for the given time.
// It allows for the loss of one call.
func rosterTimeout(wait time.Duration) time.Duration { return max(hostTimeout, wait+hostTimeoutSlack) }

// changeChannels are channels that are closed at the next change of each kind.
type changeChannels struct{ roster, engines, ledger <-chan struct{} }

// changes returns the channels that a Sync call waits for; a brief one waits for the
// ledger only.
func (c *Controller) changes(brief bool) changeChannels {
	c.mu.Lock()
	defer c.mu.Unlock()
	if brief {
		return changeChannels{ledger: c.changed}
	}
	return changeChannels{c.roster.Changed(), c.engines.Changed(), c.changed}
}

// recordAcknowledgement records up to which change a gateway has received the engines, as
// its Sync call says. Gateways that make brief calls are in other regions, and receive
// engines from the control hosts there.
func (c *Controller) recordAcknowledgement(args follow.SyncArgs) {
	if args.Brief || args.Self.Role != roster.RoleGateway {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if args.Self.Stopping {
		delete(c.acknowledged, args.Self.Name)
		return
	}
	c.acknowledged[args.Self.Name] = acknowledgement{args.Engines, args.Self.Region, c.Clock().Add(rosterTimeout(args.Wait))}
}

// buildReply returns what has changed for the caller.
func (c *Controller) buildReply(args follow.SyncArgs, received time.Duration) follow.SyncReply {
	now := c.Clock()
	reply := follow.SyncReply{Life: c.Self.Life, Index: c.machine.State().Index, Sure: c.freshness.report(received, c.SteadyClock())}
	if args.Life != c.Self.Life {
		reply.Self = c.self()
	}
	if args.Brief {
		if args.Life != c.Self.Life {
			// A caller that knows the seeds only finds the other control hosts by these.
			reply.Hosts = withoutTimes(c.roster.Hosts(roster.RoleControl))
		}
		return reply
	}
	if args.Self.Role == roster.RoleGateway {
		reply.Hears = c.follower.ConnectedControlHosts(heardRegion(args))
	}
	if args.Selective {
		reply.Sources = c.follower.ConnectedIncarnations()
	}
	engines, number, moreEngines := c.engines.Page(args.Engines, pageSize, c.engineFilter(args))
	reply.Engines, reply.Number = follow.NewEngineUpdates(engines, now), number
	for i := range reply.Engines {
		if reply.Engines[i].Engine.Source == c.Self.Life {
			// Omitted to save traffic: it takes a third of an encoded engine, and the
			// reply's Life implies it.
			reply.Engines[i].Engine.Source = ""
		}
	}
	page := c.roster.Page
	if args.Self.Role == roster.RoleControl {
		page = c.roster.HomedPage
	}
	hosts := page(args.Roster, pageSize)
	reply.Hosts, reply.Gone, reply.Roster = withoutTimes(hosts.Hosts), hosts.Removed, hosts.Latest
	reply.More = moreEngines || hosts.More
	return reply
}

// engineFilter returns which engines a caller receives: a gateway those of its region, a control
// host those that send their heartbeats here. A control host that has started again may have
// forgotten engines, so it also receives those that have ended and sent theirs to a control host
// that doesn't run any more.
func (c *Controller) engineFilter(args follow.SyncArgs) func(registry.Engine) bool {
	if args.Self.Role != roster.RoleControl {
		return func(e registry.Engine) bool {
			return e.DataCentre == "" || c.Regions[e.DataCentre] == args.Self.Region
		}
	}
	running := sync.OnceValue(c.controlIncarnations)
	return func(e registry.Engine) bool {
		if e.Source == c.Self.Life {
			return true
		}
		ended := e.Phase == registry.Left || e.Phase == registry.Unresponsive
		return ended && !e.IsRestored() && !running()[e.Source]
	}
}

// controlIncarnations returns the incarnations of the control hosts in the roster.
func (c *Controller) controlIncarnations() map[string]bool {
	out := make(map[string]bool)
	for _, h := range c.roster.Hosts(roster.RoleControl) {
		out[h.Life] = true
	}
	return out
}

// pageSize bounds the engines and the hosts of one reply, to some 30 KB each.
const pageSize = 256

// heardRegion returns the region of the control hosts that a caller wants to know this one
// connected to; "" for all regions, if the caller doesn't poll all control hosts itself.
func heardRegion(args follow.SyncArgs) string {
	if args.Selective {
		return ""
	}
	return args.Self.Region
}

// withoutTimes returns the hosts without the times of this host's clock.
func withoutTimes(hosts []roster.Host) []roster.Host {
	out := slices.Clone(hosts)
	for i := range out {
		out[i].Heard = time.Time{}
	}
	return out
}

// Tell merges another control host's update of an engine, and returns once the gateways
// that follow this host have acknowledged it.
func (s *Service) Tell(args follow.TellArgs, _ *follow.Empty) error {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	e := args.Engine.ToEngine(s.controller.Clock())
	s.controller.engines.Merge([]registry.Engine{e})
	s.controller.awaitLocalAcknowledgements(ctx, e.ID, e.DataCentre)
	return nil
}

// State returns the ledger's state as applied here.
func (s *Service) State(_ follow.StateArgs, reply *follow.StateReply) error {
	var err error
	*reply, err = s.controller.encodedState()
	return err
}

// encodedState returns the encoded state. It encodes each state only once: every host
// fetches it, and compressing it takes 1 ms.
func (c *Controller) encodedState() (follow.StateReply, error) {
	c.encodeMu.Lock()
	defer c.encodeMu.Unlock()
	state := c.machine.State()
	if c.encoded.State != nil && c.encoded.Index == state.Index {
		return c.encoded, nil
	}
	data, err := ledger.EncodeCompressed(state.WithoutSource())
	if err != nil {
		return follow.StateReply{}, errors.Trace(err)
	}
	c.encoded = follow.StateReply{Index: state.Index, State: data}
	return c.encoded, nil
}

// Propose proposes a command. It fails unless this host leads.
func (s *Service) Propose(args follow.ProposeArgs, reply *ledger.Result) error {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	var err error
	*reply, err = s.controller.propose(ctx, args.Command)
	return err
}

// ReadIndex returns an index that covers every command accepted so far. It fails unless
// this host leads.
func (s *Service) ReadIndex(_ follow.Empty, reply *follow.ReadIndexReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	var err error
	reply.Index, err = s.controller.readIndex(ctx)
	return errors.Trace(err)
}

// Deliver passes Raft messages to this host's replica.
func (s *Service) Deliver(messages follow.Deliveries, _ *follow.Empty) error {
	for _, m := range messages {
		s.controller.replica.Deliver(m)
	}
	return nil
}
