// This file defines what the gateways of a region tell each other, and what they
// make of it. Package rollup says who tells whom.

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/rollup"
)

const (
	// unreachableReportTime is for how long a gateway tells that it couldn't reach an engine:
	// some five reports, each of which may be lost.
	unreachableReportTime = 500 * time.Millisecond
	// replacedReportTime is the same for an engine that was replaced or leaves: for longer, since it is
	// for good.
	replacedReportTime = time.Second
	// peerExclusionTime is for how long the others avoid the engine then. After it
	// each may try for itself: the way may be cut for one gateway only.
	peerExclusionTime = 600 * time.Millisecond
	// ownContactTime is how fresh a gateway's own sign of an engine must be for it
	// not to believe the others of either.
	ownContactTime = 500 * time.Millisecond
	// minBackoffReporters is how many gateways an engine must have asked for rest for the others to keep
	// off as well, so that each need not be refused itself. One may have been refused for its
	// own sake: of what it then doesn't send, the engine takes as much from the others.
	minBackoffReporters = 2
)

// report gives what this gateway does. The lock is held.
func (d *Dispatcher) report(now time.Time) rollup.Report {
	r := rollup.Report{Parts: d.recentSentBlocks(now), Accounts: d.ownUsage(now), Crashes: d.quarantine.TellNear(now), Limits: d.limits.Tell(now)}
	for _, p := range d.pools {
		for _, e := range p.sorted {
			if e.connectFailures > 0 && now.Sub(e.connectFailedAt) < unreachableReportTime {
				r.Dead = append(r.Dead, e.hash)
			}
			if e.replaced && now.Sub(e.replacedAt) < replacedReportTime {
				r.Gone = append(r.Gone, e.hash)
			}
			switch pushed, excluded := d.pushback.Bar(e.hash, now); {
			case !excluded:
			case pushed.Reason == pushback.Leaving && now.Sub(pushed.Since) < replacedReportTime:
				r.Leaving = append(r.Leaving, e.hash)
			case pushed.Reason == pushback.Resting:
				r.Resting = append(r.Resting, rollup.Resting{Engine: e.hash, Gateways: 1})
			}
			reading := int(e.readRate.perSecond(now))
			if e.ownLoad.Requests == 0 && reading == 0 {
				continue
			}
			r.Engines = append(r.Engines, rollup.EngineLoad{
				Engine: e.hash, Requests: e.ownLoad.Requests, Unread: e.ownLoad.Unread, Held: e.ownLoad.Reserved, Reading: reading,
			})
		}
	}
	return r
}

func hashOf(engine string) uint64 { return xxhash.Sum64String(engine) }

// Tell gives what is to be told to other gateways. The owner calls it each
// rollup.Every.
func (d *Dispatcher) Tell() []rollup.Outgoing {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	out := d.aggregator.Tell(d.report(now))
	d.logLeadership()
	d.applyPeerReports()
	if now.Sub(d.regionReportSent) >= regionReportInterval && d.reportsRegion() {
		d.regionReportSent = now
		if report, ok := d.regionReport(now); ok {
			out = append(out, rollup.Outgoing{To: d.regionReportRecipients(), Message: report})
		}
	}
	return out
}

// logLeadership logs when this gateway begins or ends to sum others' loads. The lock is
// held.
func (d *Dispatcher) logLeadership() {
	leader, members := d.aggregator.Leads()
	if leader != d.isGroupLeader {
		d.isGroupLeader = leader
		d.Log.Info("sums loads of its group", zap.Bool("leads", leader), zap.Int("members", members))
	}
}

// Hear takes another gateway's message.
func (d *Dispatcher) Hear(m rollup.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	for _, r := range d.aggregator.Hear(m) {
		d.receiveRegionReport(r, now)
	}
	d.mergeLocalCrashes(m, now)
	d.mergeLimits(m, now)
	for _, sent := range m.Report.Parts {
		if e, ok := d.enginesByHash[sent.Engine]; ok {
			e.pool.recordBlock(e, sent.Part, now)
		}
	}
	for _, hash := range m.Report.Dead {
		// What this gateway told itself comes back to it.
		if e, ok := d.enginesByHash[hash]; ok && e.connectFailures == 0 && now.Sub(e.lastHeard) > ownContactTime && now.After(e.excludedUntil) {
			e.excludedUntil = now.Add(peerExclusionTime)
		}
	}
	for _, hash := range m.Report.Gone {
		if e, ok := d.enginesByHash[hash]; ok && now.Sub(e.lastHeard) > ownContactTime {
			e.replaced = true
		}
	}
	for _, backoff := range m.Report.Resting {
		// It may take this gateway's requests all the same; a fresh answer shows that it does.
		if e, ok := d.enginesByHash[backoff.Engine]; ok && backoff.Gateways >= minBackoffReporters && now.Sub(e.lastHeard) > ownContactTime {
			e.peerBackoffUntil = now.Add(peerExclusionTime)
		}
	}
	for _, hash := range m.Report.Leaving {
		if e, ok := d.enginesByHash[hash]; ok {
			d.markDraining(e, m.From, now)
		}
	}
	if m.Total || d.aggregator.Few() {
		d.applyPeerReports()
	}
}

// applyPeerReports takes over what the other gateways of the region do. The lock is held.
func (d *Dispatcher) applyPeerReports() {
	others := d.aggregator.Others()
	for hash, e := range d.enginesByHash {
		l := others.Loads[hash]
		e.peerLoad = Load{Requests: max(0, l.Requests), Unread: max(0, l.Unread), Reserved: max(0, l.Held), ReadRate: float64(max(0, l.Reading))}
	}
	d.reportingGateways = 1 + others.Gateways
	d.applyLocalUsage(others)
}

// indexEngines lets engines be found by their hash. The lock is held.
func (d *Dispatcher) indexEngines() {
	clear(d.enginesByHash)
	for _, p := range d.pools {
		for _, e := range p.sorted {
			d.enginesByHash[e.hash] = e
		}
	}
	d.applyPeerReports()
}

// updateGateways takes over which gateways of this region there are, and how many of all. Those
// that are stopping get few requests, and share no limit. The lock is held.
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
