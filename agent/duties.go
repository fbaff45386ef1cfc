// This file defines the agent's tasks: reports, renewal by peers, watch, members and
// pings.

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

// Intervals and timeouts of the tasks.
const (
	watchWait          = 2 * time.Second // longest wait of one long poll
	retryInterval      = 100 * time.Millisecond
	membersInterval    = 2 * time.Second
	hostsRequestPeriod = 2 // every n-th members request includes the hosts
	pingInterval       = 2 * time.Second
	pingTimeout        = time.Second
)

// reportInterval is the time between two reports. Several fit into a lease, so that one
// lost message does not end it.
func (a *Agent) reportInterval() time.Duration { return a.Settings.Control.LeaseTime / 4 }

// peerRenewalInterval is the time between two checks whether the lease needs a renewal by
// peers.
const peerRenewalInterval = 150 * time.Millisecond

// runPeerRenewal renews the lease through the peers while no leader can be reached. It
// runs independently of the reports, which may take longer than a lease to fail.
func (a *Agent) runPeerRenewal(ctx context.Context) error {
	for ctx.Err() == nil {
		if a.peerRenewalDue() {
			a.requestPeerRenewal(ctx)
			a.logServing()
		}
		duty.Pause(ctx, peerRenewalInterval)
	}
	return nil
}

// runReports renews the lease by periodic reports to the leader. It also reports at once
// when the view changes, which acknowledges the new view.
func (a *Agent) runReports(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := a.View()
		renewed := a.reportOnce(ctx)
		a.logServing()
		wait := a.reportInterval()
		if !renewed {
			wait = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	return nil
}

// reportOnce sends one report to the leader, applies the reply and reports whether the
// lease was renewed.
func (a *Agent) reportOnce(ctx context.Context) bool {
	sent := steady.Time()
	report := a.ownReport(sent)
	ctx, cancel := context.WithTimeout(ctx, a.Settings.Control.LeaseTime/2)
	defer cancel()
	reply, err := a.forwardReports(ctx, leader.ReportArgs{Reports: []leader.Report{report}})
	if err != nil {
		return false
	}
	for _, r := range reply.Renewals {
		if r.Host == a.Host.Name {
			return a.applyRenewal(sent, r)
		}
	}
	return false
}

// maxStaleReports is the number of consecutive reports that may find the leader's view
// newer before the relay, which should have forwarded that view, is excluded.
const maxStaleReports = 10

// applyRenewal applies the leader's reply to a report sent at the given time, and reports
// whether the lease was renewed.
func (a *Agent) applyRenewal(sent time.Time, r leader.Renewal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Renewed {
		a.staleReports = 0
		a.holder.ApplyLeaderRenewal(sent, r.Seq)
		return true
	}
	a.staleReports++
	if hosts := a.dataCentreHosts(); a.staleReports >= maxStaleReports && len(hosts) > 0 {
		a.staleReports = 0
		a.excludedUntil[hosts[0]] = steady.Time().Add(exclusionTime)
	}
	return false
}

// ownReport returns the report of this host's view, leases and status at time now.
func (a *Agent) ownReport(now time.Time) leader.Report {
	status := a.ownStatus()
	a.mu.Lock()
	defer a.mu.Unlock()
	return leader.Report{Lease: a.holder.Report(now), Status: status}
}

// forwardReports sends reports to the leader, directly or through a relay.
func (a *Agent) forwardReports(ctx context.Context, args leader.ReportArgs) (leader.ReportReply, error) {
	var reply leader.ReportReply
	err := a.callLeader(ctx, args.Hops, 0, func() *leader.NotLeader {
		reply = a.Leader.Report(args)
		return reply.NotLeader
	}, func(ctx context.Context, _ candidate, address string) (*leader.NotLeader, error) {
		next := args
		next.Hops++
		reply = leader.ReportReply{}
		err := a.ShortCalls.Call(ctx, address, "Host.Report", next, &reply)
		return reply.NotLeader, err
	})
	return reply, err
}

// peerRenewalDue reports whether less than half of the lease remains, so that a renewal
// by peers is needed.
func (a *Agent) peerRenewalDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.ExpiresAt().Sub(steady.Time()) < a.Settings.Control.LeaseTime/2
}

// requestPeerRenewal requests a renewal from the other hosts of the data centre and
// reports whether a majority granted it. If a peer has a newer view, it fetches that
// view instead.
func (a *Agent) requestPeerRenewal(ctx context.Context) bool {
	a.mu.Lock()
	req := a.holder.RenewalRequest()
	peers := a.dataCentreHosts()
	a.mu.Unlock()
	sent := steady.Time()
	replies := make([]GrantReply, len(peers))
	group := pool.New()
	for i, name := range peers {
		address, _, ok := a.controlAddress(name)
		if name == a.Host.Name || !ok {
			continue
		}
		group.Go(func() {
			if err := a.ShortCalls.CallTimeout(ctx, localCallTimeout, address, "Host.Grant", GrantArgs{req, a.ownStatus()}, &replies[i]); err != nil {
				replies[i] = GrantReply{}
			}
		})
	}
	group.Wait()
	return a.applyGrants(ctx, sent, req, replies)
}

// applyGrants applies the replies to a request for renewal sent at the given time.
func (a *Agent) applyGrants(ctx context.Context, sent time.Time, req lease.RenewalRequest, replies []GrantReply) bool {
	var grants []lease.RenewalReply
	latest := lease.RenewalReply{Seq: req.Seq}
	for _, r := range replies {
		if r.Grant.Host == "" {
			continue
		}
		a.recordStatus(r.Status)
		grants = append(grants, r.Grant)
		if r.Grant.Seq > latest.Seq {
			latest = r.Grant
		}
	}
	if latest.Host != "" {
		a.catchUpFrom(ctx, latest.Host)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.ApplyPeerGrants(sent, req.Seq, grants)
}

// catchUpFrom fetches and applies the newer view of a peer.
func (a *Agent) catchUpFrom(ctx context.Context, peer string) {
	address, _, ok := a.controlAddress(peer)
	if !ok {
		return
	}
	view, _ := a.View()
	var reply leader.WatchReply
	if err := a.ShortCalls.CallTimeout(ctx, localCallTimeout, address, "Host.Watch", leader.WatchArgs{Seq: view.Seq, Hops: maxHops, Relay: true}, &reply); err != nil {
		return
	}
	if err := a.applyChanges(reply); err != nil {
		a.Log.Warn("view from peer not applied", zap.String("peer", peer), telemetry.ErrorField(err))
	}
}

// logServing logs when the host starts or stops serving.
func (a *Agent) logServing() {
	status := a.LeaseStatus()
	a.mu.Lock()
	changed := a.wasServing != status.Serving
	a.wasServing = status.Serving
	a.mu.Unlock()
	if changed {
		a.Log.Info("lease", zap.Bool("serving", status.Serving), zap.Uint64("revision", status.Revision), zap.Bool("by_peers", status.ByPeers))
	}
}

// runWatch waits for changes of the configuration and applies them.
func (a *Agent) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		view, _ := a.View()
		reply, err := a.watchOnce(ctx, leader.WatchArgs{Seq: view.Seq, Wait: watchWait})
		if err == nil {
			err = a.applyChanges(reply)
		}
		if err != nil {
			a.Log.Debug("watch", telemetry.ErrorField(err))
			duty.Pause(ctx, retryInterval)
		}
	}
	return nil
}

// watchOnce makes one long poll for changes, through a relay or to the leader.
func (a *Agent) watchOnce(ctx context.Context, args leader.WatchArgs) (leader.WatchReply, error) {
	var reply leader.WatchReply
	err := a.callLeader(ctx, args.Hops, args.Wait, func() *leader.NotLeader {
		reply = a.Leader.Watch(ctx, args)
		return reply.NotLeader
	}, func(ctx context.Context, target candidate, address string) (*leader.NotLeader, error) {
		next := args
		next.Hops++
		next.Relay = target.relay
		reply = leader.WatchReply{}
		err := a.LongCalls.Call(ctx, address, "Host.Watch", next, &reply)
		return reply.NotLeader, err
	})
	return reply, err
}

// runMembers periodically fetches the status of the other hosts and the loads of the
// other regions.
func (a *Agent) runMembers(ctx context.Context) error {
	for iteration := 0; ctx.Err() == nil; iteration++ {
		reply, err := a.fetchMembers(ctx, leader.MembersArgs{Hosts: iteration%hostsRequestPeriod == 0})
		wait := membersInterval
		if err != nil || len(reply.Hosts) == 1 {
			wait, iteration = retryInterval, -1 // just started: no other host is known yet
		}
		for _, status := range reply.Hosts {
			a.recordStatus(status)
		}
		for _, load := range reply.Regions {
			a.recordRegionLoad(load)
		}
		duty.Pause(ctx, wait)
	}
	return nil
}

// fetchMembers makes one request for the loads of the regions and, if args.Hosts is set,
// the status of the hosts.
func (a *Agent) fetchMembers(ctx context.Context, args leader.MembersArgs) (leader.MembersReply, error) {
	var reply leader.MembersReply
	err := a.callLeader(ctx, args.Hops, 0, func() *leader.NotLeader {
		reply = a.Leader.Members(args)
		return reply.NotLeader
	}, func(ctx context.Context, _ candidate, address string) (*leader.NotLeader, error) {
		next := args
		next.Hops++
		reply = leader.MembersReply{}
		err := a.ShortCalls.Call(ctx, address, "Host.Members", next, &reply)
		return reply.NotLeader, err
	})
	return reply, err
}

// runPings periodically measures the round trip to each other region.
func (a *Agent) runPings(ctx context.Context) error {
	for ctx.Err() == nil {
		group := pool.New()
		for region, host := range a.pingTargets() {
			group.Go(func() { a.pingOnce(ctx, region, host) })
		}
		group.Wait()
		duty.Pause(ctx, pingInterval)
	}
	return nil
}

// pingTargets returns one random host of each other region.
func (a *Agent) pingTargets() map[string]declare.Host {
	view, _ := a.View()
	hosts := map[string][]declare.Host{}
	for _, h := range declare.ObjectsOf[declare.Host](view.Config) {
		region := view.Config.RegionOf(h.DataCentre)
		if region != a.Host.Region && h.State != declare.HostTerminated {
			hosts[region] = append(hosts[region], h)
		}
	}
	out := make(map[string]declare.Host, len(hosts))
	for region, candidates := range hosts {
		out[region] = candidates[a.Random()%uint64(len(candidates))]
	}
	return out
}

// pingOnce measures the round trip to a host and records the result for its region.
func (a *Agent) pingOnce(ctx context.Context, region string, host declare.Host) {
	sent := steady.Time()
	err := a.ShortCalls.CallTimeout(ctx, pingTimeout, host.AddressFromOtherRegion(host.Control), "Host.Ping", Empty{}, &Empty{})
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[region]
	if l == nil {
		l = &link{}
		a.links[region] = l
	}
	l.record(err == nil, steady.Time().Sub(sent))
}
