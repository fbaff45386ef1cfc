// This file defines what other hosts ask of a control host, by net/rpc.

package controller

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// Service answers as follow.Service. NewService makes one.
type Service struct {
	ctx        context.Context // net/rpc gives its methods none
	controller *Controller
}

// NewService makes the receiver; its waits end with ctx.
func NewService(ctx context.Context, c *Controller) *Service { return &Service{ctx, c} }

// Sync hears a host and answers when something is new for it.
func (s *Service) Sync(args follow.SyncArgs, reply *follow.SyncReply) error {
	c := s.controller
	received := c.Steady()
	wait := min(args.Wait, follow.FarWait)
	if args.Known {
		if args.Self = c.roster.Known(args.Self.Name, args.Self.Life); args.Self.Name == "" {
			*reply = follow.SyncReply{Stranger: true}
			return nil
		}
	}
	if c.roster.HearFor(args.Self, patience(wait)) {
		c.Log.Info("host heard", zap.String("host", args.Self.Name), zap.String("role", string(args.Self.Role)), zap.String("life", args.Self.Life), zap.String("replica", args.Self.Replica))
	}
	if args.Life != c.Self.Life {
		args.Engines, args.Roster = 0, 0
	}
	c.noteTold(args)
	until := time.Now().Add(wait)
	gathered := args.Wait == 0
	for {
		news := c.news(args.Brief)
		*reply = c.sync(args, received)
		switch {
		case reply.News(args) && (gathered || reply.Urgent(args)):
			return nil
		case reply.News(args):
			gathered = true
			duty.Pause(s.ctx, c.Gather)
			continue
		}
		select {
		case <-s.ctx.Done():
			return nil
		case <-time.After(time.Until(until)):
			c.roster.HearFor(args.Self, patience(wait))
			return nil
		case <-news.roster:
		case <-news.engines:
		case <-news.ledger:
		}
	}
}

// patience gives how long a host that lets its questions stand for so long may be
// silent: it may just have lost one.
func patience(wait time.Duration) time.Duration { return max(hostSilence, wait+hostSlack) }

// news are channels that are closed with the next change of each kind.
type news struct{ roster, engines, ledger <-chan struct{} }

// news gives the channels that a question waits for; one that is brief only for the
// ledger's.
func (c *Controller) news(brief bool) news {
	c.mu.Lock()
	defer c.mu.Unlock()
	if brief {
		return news{ledger: c.changed}
	}
	return news{c.roster.Changed(), c.engines.Changed(), c.changed}
}

// noteTold notes what a host has confirmed by asking for more. Gateways of other
// regions that ask briefly are told of engines by the control hosts there.
func (c *Controller) noteTold(args follow.SyncArgs) {
	if args.Brief || args.Self.Role != roster.RoleGateway {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if args.Self.Stopping {
		delete(c.told, args.Self.Name)
		return
	}
	c.told[args.Self.Name] = told{args.Engines, args.Self.Region, c.Clock().Add(patience(args.Wait))}
}

// sync gives what is new for the caller.
func (c *Controller) sync(args follow.SyncArgs, received time.Duration) follow.SyncReply {
	now := c.Clock()
	reply := follow.SyncReply{Life: c.Self.Life, Index: c.machine.State().Index, Sure: c.sure.tell(received, c.Steady())}
	if args.Life != c.Self.Life {
		reply.Self = c.self()
	}
	if args.Brief {
		return reply
	}
	if args.Self.Role == roster.RoleGateway {
		reply.Hears = c.follower.Hears(args.Self.Region)
	}
	wanted := func(e registry.Engine) bool {
		if args.Self.Role == roster.RoleControl {
			return e.Source == c.Self.Life // each control host tells of what it heard itself
		}
		return e.DataCentre == "" || c.Regions[e.DataCentre] == args.Self.Region
	}
	engines, number := c.engines.Since(args.Engines, wanted)
	reply.Engines, reply.Number = follow.NewsOf(engines, now), number
	for i := range reply.Engines {
		if reply.Engines[i].Engine.Source == c.Self.Life {
			reply.Engines[i].Engine.Source = "" // the reply's own: a third of what an engine takes
		}
	}
	reply.Hosts, reply.Gone, reply.Roster = c.roster.Since(args.Roster)
	if args.Self.Role == roster.RoleControl {
		// It hears gateways itself; each of thirty pairs of control hosts told each other of
		// every start and end of 300 of them.
		reply.Hosts = slices.DeleteFunc(reply.Hosts, func(h roster.Host) bool { return h.Role != roster.RoleControl })
	}
	for i := range reply.Hosts {
		reply.Hosts[i].Heard = time.Time{}
	}
	return reply
}

// Tell takes what another control host has heard of an engine, and answers when the
// gateways that this one tells know.
func (s *Service) Tell(args follow.TellArgs, _ *follow.Nothing) error {
	ctx, cancel := context.WithTimeout(s.ctx, answerTime)
	defer cancel()
	e := args.Engine.Local(s.controller.Clock())
	s.controller.engines.Merge([]registry.Engine{e})
	s.controller.tellHere(ctx, e.ID, e.DataCentre)
	return nil
}

// State gives the ledger's state as it has been applied here.
func (s *Service) State(_ follow.StateArgs, reply *follow.StateReply) error {
	var err error
	*reply, err = s.controller.packed()
	return err
}

// packed gives the packed state. It is packed once for each change: every host fetches
// it, and to compress it takes 1 ms.
func (c *Controller) packed() (follow.StateReply, error) {
	c.packing.Lock()
	defer c.packing.Unlock()
	state := c.machine.State()
	if c.pack.State != nil && c.pack.Index == state.Index {
		return c.pack, nil
	}
	data, err := ledger.Pack(state.WithoutSource())
	if err != nil {
		return follow.StateReply{}, errors.Trace(err)
	}
	c.pack = follow.StateReply{Index: state.Index, State: data}
	return c.pack, nil
}

// Propose proposes a command, if this host leads.
func (s *Service) Propose(args follow.ProposeArgs, reply *ledger.Result) error {
	ctx, cancel := context.WithTimeout(s.ctx, answerTime)
	defer cancel()
	var err error
	*reply, err = s.controller.propose(ctx, args.Command)
	return err
}

// ReadIndex gives an index up to which everything accepted so far reaches, if
// this host leads.
func (s *Service) ReadIndex(_ follow.Nothing, reply *follow.ReadReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, answerTime)
	defer cancel()
	var err error
	reply.Index, err = s.controller.readIndex(ctx)
	return errors.Trace(err)
}

// Deliver takes messages for this host's replica.
func (s *Service) Deliver(messages follow.Deliveries, _ *follow.Nothing) error {
	for _, m := range messages {
		s.controller.replica.Deliver(m)
	}
	return nil
}
