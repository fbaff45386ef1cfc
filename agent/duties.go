// This file defines the duties: report, watch, members and ping.

package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/lease"
	"github.com/linenscale/linenscale/telemetry"
)

// Intervals of the duties.
const (
	watchWait    = 2 * time.Second
	retryPause   = 100 * time.Millisecond
	membersEvery = 2 * time.Second
	hostsEvery   = 2 // of those, one asks for the hosts as well
	pingEvery    = 2 * time.Second
	pingTime     = time.Second
)

// reportEvery is how often a host reports: a few times within a lease, so that
// a lost message doesn't end it.
func (a *Agent) reportEvery() time.Duration { return a.Settings.Control.Lease / 4 }

// peersEvery is how often a host looks whether it must turn to its peers.
const peersEvery = 150 * time.Millisecond

// renewByPeers is the duty that keeps the lease alive without a leader. It
// doesn't wait for the reports, which may take longer than a lease to find out
// that nobody answers.
func (a *Agent) renewByPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		if a.byPeersDue() {
			a.askPeers(ctx)
			a.logServing()
		}
		duty.Pause(ctx, peersEvery)
	}
	return nil
}

// report is the duty that keeps the lease alive. It also reports at once when
// the view has changed, which is the acknowledgement.
func (a *Agent) report(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := a.View()
		renewed := a.reportOnce(ctx)
		a.logServing()
		wait := a.reportEvery()
		if !renewed {
			wait = retryPause
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	return nil
}

// reportOnce reports to the leader and takes its renewal.
func (a *Agent) reportOnce(ctx context.Context) bool {
	sent := steady.Time()
	report := a.ownReport(sent)
	ctx, cancel := context.WithTimeout(ctx, a.Settings.Control.Lease/2)
	defer cancel()
	reply, err := a.forward(ctx, leader.ReportArgs{Reports: []leader.Report{report}})
	if err != nil {
		return false
	}
	for _, r := range reply.Renewals {
		if r.Host == a.Host.Name {
			return a.takeRenewal(sent, r)
		}
	}
	return false
}

// behindMost is how often in a row a report may find the leader ahead before
// the relay, which should have brought what is new, is passed over.
const behindMost = 10

func (a *Agent) takeRenewal(sent time.Time, r leader.Renewal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Renewed {
		a.behind = 0
		a.holder.RenewedByLeader(sent, r.Seq)
		return true
	}
	a.behind++
	if hosts := a.dataCentreHosts(); a.behind >= behindMost && len(hosts) > 0 {
		a.behind = 0
		a.bad[hosts[0]] = steady.Time().Add(badTime)
	}
	return false
}

func (a *Agent) ownReport(now time.Time) leader.Report {
	status := a.status()
	a.mu.Lock()
	defer a.mu.Unlock()
	return leader.Report{Lease: a.holder.Report(now), Status: status}
}

// forward brings reports to the leader.
func (a *Agent) forward(ctx context.Context, args leader.ReportArgs) (leader.ReportReply, error) {
	var reply leader.ReportReply
	err := a.ask(ctx, args.Hops, 0, func() *leader.NotLeader {
		reply = a.Leader.Report(args)
		return reply.NotLeader
	}, func(ctx context.Context, _ target, address string) (*leader.NotLeader, error) {
		next := args
		next.Hops++
		reply = leader.ReportReply{}
		err := a.Near.Call(ctx, address, "Host.Report", next, &reply)
		return reply.NotLeader, err
	})
	return reply, err
}

// byPeersDue tells whether the lease has run down so far without a leader's
// renewal that the peers should be asked.
func (a *Agent) byPeersDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Until().Sub(steady.Time()) < a.Settings.Control.Lease/2
}

// askPeers asks the other hosts of the data centre for a renewal, and takes
// over the newest view that any of them has.
func (a *Agent) askPeers(ctx context.Context) bool {
	a.mu.Lock()
	ask := a.holder.Ask()
	peers := a.dataCentreHosts()
	a.mu.Unlock()
	sent := steady.Time()
	replies := make([]GrantReply, len(peers))
	group := pool.New()
	for i, name := range peers {
		address, _, ok := a.address(name)
		if name == a.Host.Name || !ok {
			continue
		}
		group.Go(func() {
			if err := a.Near.WithTimeout(ctx, nearTime, address, "Host.Grant", GrantArgs{ask, a.status()}, &replies[i]); err != nil {
				replies[i] = GrantReply{}
			}
		})
	}
	group.Wait()
	return a.takeGrants(ctx, sent, ask, replies)
}

func (a *Agent) takeGrants(ctx context.Context, sent time.Time, ask lease.Ask, replies []GrantReply) bool {
	var grants []lease.Grant
	newest := lease.Grant{Seq: ask.Seq}
	for _, r := range replies {
		if r.Grant.Host == "" {
			continue
		}
		a.noteMember(r.Status)
		grants = append(grants, r.Grant)
		if r.Grant.Seq > newest.Seq {
			newest = r.Grant
		}
	}
	if newest.Host != "" {
		a.catchUp(ctx, newest.Host)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.RenewedByPeers(sent, ask.Seq, grants)
}

// catchUp takes the view of a peer that is ahead.
func (a *Agent) catchUp(ctx context.Context, peer string) {
	address, _, ok := a.address(peer)
	if !ok {
		return
	}
	view, _ := a.View()
	var reply leader.WatchReply
	if err := a.Near.WithTimeout(ctx, nearTime, address, "Host.Watch", leader.WatchArgs{Seq: view.Seq, Hops: maxHops, Relay: true}, &reply); err != nil {
		return
	}
	if err := a.take(reply); err != nil {
		a.Log.Warn("view from a peer", zap.String("peer", peer), telemetry.Cause(err))
	}
}

// logServing writes a line when the host begins or stops to serve.
func (a *Agent) logServing() {
	standing := a.Explain()
	a.mu.Lock()
	changed := a.wasServing != standing.Serving
	a.wasServing = standing.Serving
	a.mu.Unlock()
	if changed {
		a.Log.Info("lease", zap.Bool("serving", standing.Serving), zap.Uint64("revision", standing.Revision), zap.Bool("by_peers", standing.ByPeers))
	}
}

// watch is the duty that waits for changes.
func (a *Agent) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		view, _ := a.View()
		reply, err := a.watchOnce(ctx, leader.WatchArgs{Seq: view.Seq, Wait: watchWait})
		if err == nil {
			err = a.take(reply)
		}
		if err != nil {
			a.Log.Debug("watch", telemetry.Cause(err))
			duty.Pause(ctx, retryPause)
		}
	}
	return nil
}

func (a *Agent) watchOnce(ctx context.Context, args leader.WatchArgs) (leader.WatchReply, error) {
	var reply leader.WatchReply
	err := a.ask(ctx, args.Hops, args.Wait, func() *leader.NotLeader {
		reply = a.Leader.Watch(ctx, args)
		return reply.NotLeader
	}, func(ctx context.Context, t target, address string) (*leader.NotLeader, error) {
		next := args
		next.Hops++
		next.Relay = t.relay
		reply = leader.WatchReply{}
		err := a.Long.Call(ctx, address, "Host.Watch", next, &reply)
		return reply.NotLeader, err
	})
	return reply, err
}

// learnMembers is the duty that learns of the other hosts and regions.
func (a *Agent) learnMembers(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		reply, err := a.membersOnce(ctx, leader.MembersArgs{Hosts: round%hostsEvery == 0})
		wait := membersEvery
		if err != nil || len(reply.Hosts) == 1 {
			wait, round = retryPause, -1 // just started: nobody is known yet
		}
		for _, status := range reply.Hosts {
			a.noteMember(status)
		}
		for _, load := range reply.Regions {
			a.noteRegion(load)
		}
		duty.Pause(ctx, wait)
	}
	return nil
}

func (a *Agent) membersOnce(ctx context.Context, args leader.MembersArgs) (leader.MembersReply, error) {
	var reply leader.MembersReply
	err := a.ask(ctx, args.Hops, 0, func() *leader.NotLeader {
		reply = a.Leader.Members(args)
		return reply.NotLeader
	}, func(ctx context.Context, _ target, address string) (*leader.NotLeader, error) {
		next := args
		next.Hops++
		reply = leader.MembersReply{}
		err := a.Near.Call(ctx, address, "Host.Members", next, &reply)
		return reply.NotLeader, err
	})
	return reply, err
}

// ping is the duty that measures the way to each other region.
func (a *Agent) ping(ctx context.Context) error {
	for ctx.Err() == nil {
		group := pool.New()
		for region, host := range a.pingTargets() {
			group.Go(func() { a.pingOnce(ctx, region, host) })
		}
		group.Wait()
		duty.Pause(ctx, pingEvery)
	}
	return nil
}

// pingTargets draws one host of each other region.
func (a *Agent) pingTargets() map[string]declare.Host {
	view, _ := a.View()
	hosts := map[string][]declare.Host{}
	for _, h := range declare.Each[declare.Host](view.Config) {
		region := view.Config.RegionOf(h.DataCentre)
		if region != a.Host.Region && h.State != declare.HostGone {
			hosts[region] = append(hosts[region], h)
		}
	}
	out := make(map[string]declare.Host, len(hosts))
	for region, all := range hosts {
		out[region] = all[a.Random()%uint64(len(all))]
	}
	return out
}

func (a *Agent) pingOnce(ctx context.Context, region string, host declare.Host) {
	sent := steady.Time()
	err := a.Near.WithTimeout(ctx, pingTime, host.Reach(host.Control), "Host.Ping", Empty{}, &Empty{})
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.regions[region]
	if l == nil {
		l = &link{}
		a.regions[region] = l
	}
	l.note(err == nil, steady.Time().Sub(sent))
}
