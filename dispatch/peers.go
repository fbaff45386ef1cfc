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
)

// report returns this gateway's own report. The lock is held.
func (d *Dispatcher) report(now time.Time) rollup.Report {
	r := rollup.Report{SentBlocks: d.recentSentBlocks(now), Accounts: d.ownUsage(now), Crashes: d.quarantine.OutgoingLocal(now), Limits: d.limits.Outgoing(now)}
	for _, p := range d.pools {
		for _, e := range p.sorted {
			if e.connectFailures > 0 && now.Sub(e.connectFailedAt) < unreachableReportTime {
				r.Unreachable = append(r.Unreachable, e.hash)
			}
			if e.replaced && now.Sub(e.replacedAt) < replacedReportTime {
				r.Replaced = append(r.Replaced, e.hash)
			}
			switch pushed, excluded := d.pushback.Exclusion(e.hash, now); {
			case !excluded:
			case pushed.Reason == pushback.Draining && now.Sub(pushed.Since) < replacedReportTime:
				r.Draining = append(r.Draining, e.hash)
			case pushed.Reason == pushback.BackingOff:
				r.BackingOff = append(r.BackingOff, rollup.Backoff{Engine: e.hash, Gateways: 1})
			}
			readRate := int(e.readRate.perSecond(now))
			if e.ownLoad.Requests == 0 && readRate == 0 {
				continue
			}
			r.Engines = append(r.Engines, rollup.EngineLoad{
				Engine: e.hash, Requests: e.ownLoad.Requests, Unread: e.ownLoad.Unread, Reserved: e.ownLoad.Reserved, ReadRate: readRate,
			})
		}
	}
	return r
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
	for _, sent := range m.Report.SentBlocks {
		if e, ok := d.enginesByHash[sent.Engine]; ok {
			e.pool.recordBlock(e, sent.Block, now)
		}
	}
	for _, hash := range m.Report.Unreachable {
		// Totals include this gateway's own reports, so engines that it couldn't connect
		// to itself are left out.
		if e, ok := d.enginesByHash[hash]; ok && e.connectFailures == 0 && now.Sub(e.lastHeard) > ownContactTime && now.After(e.excludedUntil) {
			e.excludedUntil = now.Add(peerExclusionTime)
		}
	}
	for _, hash := range m.Report.Replaced {
		if e, ok := d.enginesByHash[hash]; ok && now.Sub(e.lastHeard) > ownContactTime {
			e.replaced = true
		}
	}
	for _, backoff := range m.Report.BackingOff {
		// The engine may still accept requests from this gateway, which a recent answer
		// shows.
		if e, ok := d.enginesByHash[backoff.Engine]; ok && backoff.Gateways >= minBackoffReporters && now.Sub(e.lastHeard) > ownContactTime {
			e.peerBackoffUntil = now.Add(peerExclusionTime)
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

// applyPeerReports updates the loads and account usage of the region's other gateways.
// The lock is held.
func (d *Dispatcher) applyPeerReports() {
	others := d.aggregator.PeerTotals()
	for hash, e := range d.enginesByHash {
		l := others.Loads[hash]
		e.peerLoad = Load{Requests: max(0, l.Requests), Unread: max(0, l.Unread), Reserved: max(0, l.Reserved), ReadRate: float64(max(0, l.ReadRate))}
	}
	d.reportingGateways = 1 + others.Reporting
	d.applyLocalUsage(others)
}

// indexEngines rebuilds the index of engines by hash. The lock is held.
func (d *Dispatcher) indexEngines() {
	clear(d.enginesByHash)
	for _, p := range d.pools {
		for _, e := range p.sorted {
			d.enginesByHash[e.hash] = e
		}
	}
	d.applyPeerReports()
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
