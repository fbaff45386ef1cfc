// This file defines what the gateways of a region report to each other, and how they use
// the reports. Package rollup defines who reports to whom.

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/rollup"
)

const (
	// unreachableReportTime is how long a gateway reports that it couldn't connect to an
	// engine: in about five reports, any of which may be lost.
	unreachableReportTime = 500 * time.Millisecond
	// replacedReportTime is the same for an engine that was replaced or is draining. It
	// is longer because these states are final.
	replacedReportTime = time.Second
	// peerExclusionTime is how long the other gateways then exclude the engine. After it
	// each may try for itself: the network path may be broken for one gateway only.
	peerExclusionTime = 600 * time.Millisecond
	// ownContactTime is how recently a gateway must have received something from an
	// engine itself to disregard such reports.
	ownContactTime = 500 * time.Millisecond
	// minBackoffReporters is the number of gateways to which an engine must have sent a
	// backoff for the others to back off too, so that not each of them has to be rejected
	// first. An engine may reject a single gateway for a reason specific to it, and then
	// has that much more capacity for the others.
	minBackoffReporters = 2
	// minReportedReadShare is the share of an engine's time for reading prompts below which
	// a gateway doesn't report that it uses it.
	minReportedReadShare = 0.02
	// significantShare and significantReadTime bound the loads that a leader sends to all
	// gateways of its group: from a sixteenth of an engine's slots or memory, or from so
	// many prompt tokens that reading them delays the next answer noticeably. If engines
	// are many and hardly used, nearly every engine that runs anything runs a single
	// request, and reports of these would grow with the requests of the whole region.
	significantShare    = 16
	significantReadTime = 20 * time.Millisecond
)

// report returns this gateway's own report. The lock is held.
func (d *Dispatcher) report(now time.Time) rollup.Report {
	r := rollup.Report{SentBlocks: d.recentSentBlocks(now), Accounts: d.ownUsage(now), Crashes: d.quarantine.OutgoingLocal(now), Parts: d.parts.OutgoingLocal(now), Limits: d.limits.Outgoing(now), Demand: d.ownDemand(now), LongReads: d.longReads(now), Returns: d.outgoingReturns(now), Refunds: d.ownRefunds(now), Shares: d.ownShares(now)}
	for e := range d.reported {
		if !d.addToReport(&r, e, now) {
			delete(d.reported, e)
		}
	}
	return r
}

// addToReport adds what other gateways need to know about an engine. It returns false if
// there is nothing, and will be nothing until this gateway uses the engine again.
func (d *Dispatcher) addToReport(r *rollup.Report, e *engine, now time.Time) (found bool) {
	if e.connectFailures > 0 && now.Sub(e.connectFailedAt) < unreachableReportTime {
		r.Unreachable, found = append(r.Unreachable, e.hash), true
	}
	if e.replaced && now.Sub(e.replacedAt) < replacedReportTime {
		r.Replaced, found = append(r.Replaced, e.hash), true
	}
	switch pushed, excluded := d.pushback.Exclusion(e.hash, now); {
	case !excluded:
	case pushed.Reason == pushback.Draining && now.Sub(pushed.Since) < replacedReportTime:
		r.Draining, found = append(r.Draining, e.hash), true
	case pushed.Reason == pushback.BackingOff:
		r.BackingOff, found = append(r.BackingOff, rollup.Backoff{Engine: e.hash, Gateways: 1}), true
	case pushed.Reason == pushback.OnTrial:
		found = true
	}
	found = d.addSpeedToReport(r, e, now) || found
	readRate := e.readRate.perSecond(now)
	reads := readRate*e.pool.throughput.current().ReadPerToken.Seconds() >= minReportedReadShare
	if e.ownLoad.Requests == 0 && !reads {
		return found
	}
	r.Engines = append(r.Engines, rollup.EngineLoad{
		Engine: e.hash, Requests: e.ownLoad.Requests, Unread: e.ownLoad.Unread, Reserved: e.ownLoad.Reserved, ReadRate: int(readRate),
	})
	return true
}

// isSignificantLoad reports whether the load of all gateways of the region on an engine may
// change which engine is chosen. The lock is held.
func (d *Dispatcher) isSignificantLoad(l rollup.EngineLoad) bool {
	e, known := d.enginesByHash[l.Engine]
	if !known || l.Requests*significantShare >= e.Slots {
		return true
	}
	model := e.pool.service.Model
	if model == nil {
		return l.Requests > 0
	}
	return l.Reserved*significantShare >= model.CacheTokens || e.pool.throughput.current().readTime(l.Unread) >= significantReadTime
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// Outgoing returns the messages to send to other gateways. The owner calls it every
// rollup.ReportInterval.
func (d *Dispatcher) Outgoing() []rollup.OutgoingMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	out := d.aggregator.Outgoing(d.report(now))
	d.logLeadership()
	d.applyPeerReports()
	if now.Sub(d.regionReportSent) >= regionReportInterval && d.reportsRegion() {
		d.regionReportSent = now
		if report, ok := d.regionReport(now); ok {
			out = append(out, rollup.OutgoingMessage{To: d.regionReportRecipients(), Message: report})
		}
	}
	return out
}

// logLeadership logs when this gateway starts or stops aggregating its group. The lock is
// held.
func (d *Dispatcher) logLeadership() {
	leader, members := d.aggregator.LeaderStatus()
	if leader != d.isGroupLeader {
		d.isGroupLeader = leader
		d.Log.Info("group leadership changed", zap.Bool("leads", leader), zap.Int("members", members))
	}
}

// Receive applies a message from another gateway.
func (d *Dispatcher) Receive(m rollup.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	for _, r := range d.aggregator.Receive(m) {
		d.receiveRegionReport(r, now)
	}
	d.mergeLocalCrashes(m, now)
	d.mergeLimits(m, now)
	d.mergeReturns(m, now)
	for _, sent := range m.Report.SentBlocks {
		if e, ok := d.enginesByHash[sent.Engine]; ok {
			e.pool.recordBlock(e, sent.Block, now)
			d.reportedBlocks[sent] = now
		}
	}
	for _, hash := range m.Report.Unreachable {
		// Totals include this gateway's own reports, so engines that it couldn't connect
		// to itself are left out.
		if e, ok := d.enginesByHash[hash]; ok && e.connectFailures == 0 && now.Sub(e.lastHeard) > ownContactTime && now.After(e.excludedUntil) {
			e.use().excludedUntil = now.Add(peerExclusionTime)
		}
	}
	for _, hash := range m.Report.Replaced {
		if e, ok := d.enginesByHash[hash]; ok && now.Sub(e.lastHeard) > ownContactTime {
			e.use().replaced = true
		}
	}
	for _, backoff := range m.Report.BackingOff {
		// The engine may still accept requests from this gateway, which a recent answer
		// shows.
		if e, ok := d.enginesByHash[backoff.Engine]; ok && backoff.Gateways >= minBackoffReporters && now.Sub(e.lastHeard) > ownContactTime {
			e.use().peerBackoffUntil = now.Add(peerExclusionTime)
		}
	}
	for _, hash := range m.Report.Draining {
		if e, ok := d.enginesByHash[hash]; ok {
			d.markDraining(e, m.From, now)
		}
	}
	if m.Total || d.aggregator.IsFullMesh() {
		d.applyPeerReports()
	}
}

// applyPeerReports updates the loads and account usage of the region's other gateways. It
// visits only the engines that have, or had, such a load. The lock is held.
func (d *Dispatcher) applyPeerReports() {
	others := d.aggregator.PeerTotals()
	for _, e := range d.peerLoaded {
		e.peerLoad = Load{}
	}
	d.peerLoaded = d.peerLoaded[:0]
	for hash, l := range others.Loads {
		if e, ok := d.enginesByHash[hash]; ok {
			e.use().peerLoad = Load{Requests: max(0, l.Requests), Unread: max(0, l.Unread), Reserved: max(0, l.Reserved), ReadRate: float64(max(0, l.ReadRate))}
			d.peerLoaded = append(d.peerLoaded, e)
		}
	}
	d.reportingGateways = 1 + others.Reporting
	d.peerDemand = others.Demand
	d.applyPeerSpeeds(others, d.Clock())
	d.applyLongReads(others)
	d.applyLocalUsage(others)
	d.updateShares(others.Shares)
	d.applyDemand(others.Demand, d.Clock())
}

// updateGateways updates the list of this region's gateways, the gateways that share rate
// limits, and the number of all gateways. Gateways that are stopping get few requests and
// so no share. The lock is held.
func (d *Dispatcher) updateGateways(now time.Time) {
	names, sharing, all := []string{d.Name}, []string{d.Name}, 1
	for _, h := range d.Peers() {
		if h.Name == d.Name {
			if h.Stopping {
				sharing = sharing[1:]
			}
			continue
		}
		all++
		if h.Region != d.Region {
			continue
		}
		names = append(names, h.Name)
		if !h.Stopping {
			sharing = append(sharing, h.Name)
		}
	}
	d.gateways.set(names)
	d.limits.SetMembers(sharing, now)
	if d.Allowances != nil {
		d.Allowances.SetGateways(all)
	}
}
