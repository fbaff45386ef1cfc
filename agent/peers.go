// This file defines the state of other hosts and regions that the gateway uses for
// routing.

package agent

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/route"
)

// statusTTL is the age beyond which a host's status is not used.
const statusTTL = 8 * time.Second

// link is the measured state of the network path to another region. The zero value is a
// path without measurements.
type link struct {
	roundTrip time.Duration
	failures  int // consecutive
}

// partitionedAfter is the number of consecutive failed pings after which a region counts
// as partitioned.
const partitionedAfter = 2

// roundTripSmoothing is the weight of the latest sample in the moving average of the
// round trip.
const roundTripSmoothing = 0.3

// record adds the result of one ping.
func (l *link) record(ok bool, took time.Duration) {
	if !ok {
		l.failures++
		return
	}
	l.failures = 0
	if l.roundTrip == 0 {
		l.roundTrip = took
		return
	}
	l.roundTrip += time.Duration(roundTripSmoothing * float64(took-l.roundTrip))
}

func (l *link) partitioned() bool { return l.failures >= partitionedAfter }

// recordStatus stores another host's status, unless a newer one is stored, and applies its
// reports of crashes and rate limits.
func (a *Agent) recordStatus(status leader.HostStatus) {
	if status.Host == "" || status.Host == a.Host.Name {
		return
	}
	for _, f := range a.Fleet.ReceiveCrashReports(status.Crashes, status.Age) {
		a.Log.Warn("request quarantined", zap.Stringer("fingerprint", f), zap.String("last_crash_seen_by", status.Host))
	}
	if status.Region == a.Host.Region {
		a.Fleet.ReceiveLimitReports(status.Limits, status.Age)
	}
	at := steady.Time().Add(-status.Age)
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.statuses[status.Host]; ok && old.issuedAt.After(at) {
		return
	}
	a.statuses[status.Host] = receivedStatus{status, at}
}

// RegionDigests implements gateway.Peers. It uses the latest load report of each region.
func (a *Agent) RegionDigests(service string) []route.Digest {
	var out []route.Digest
	for _, d := range a.Fleet.Digests() {
		if d.Service == service {
			out = append(out, d.Digest)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for region, load := range a.regionLoads {
		if d, ok := a.remoteDigest(region, load, service); ok {
			out = append(out, d)
		}
	}
	return out
}

// regionLoad is the latest load report of another region's engines.
type regionLoad struct {
	services []leader.ServiceLoad
	issuedAt time.Time // by this host's clock
}

// recordRegionLoad stores the load report of another region, unless a newer one is stored.
func (a *Agent) recordRegionLoad(load leader.RegionLoad) {
	at := time.Now().Add(-load.Age)
	a.mu.Lock()
	defer a.mu.Unlock()
	if load.Region != a.Host.Region && at.After(a.regionLoads[load.Region].issuedAt) {
		a.regionLoads[load.Region] = regionLoad{load.Services, at}
	}
}

// remoteDigest returns the digest of a service in another region, with the round trip to
// that region. It returns false if the region reports no such service. The caller holds
// the lock.
func (a *Agent) remoteDigest(region string, load regionLoad, service string) (route.Digest, bool) {
	for _, s := range load.services {
		if s.Service != service {
			continue
		}
		d := route.Digest{Region: region, Slots: s.Slots, Load: s.Load, ServiceTime: s.ServiceTime, At: load.issuedAt}
		if l := a.links[region]; l != nil {
			d.RoundTrip, d.Cut = l.roundTrip, l.partitioned()
		}
		d.RoundTrip = max(d.RoundTrip, time.Millisecond)
		return d, true
	}
	return route.Digest{}, false
}

// EntryHosts implements gateway.Peers. It returns the hosts whose recent status says that
// they accept requests: those of this data centre first, then those of this region.
func (a *Agent) EntryHosts() []declare.Host {
	serving := a.isServing() && !a.Stopping()
	a.mu.Lock()
	defer a.mu.Unlock()
	config := a.holder.View().Config
	var out []declare.Host
	for _, h := range declare.ObjectsOf[declare.Host](config) {
		if h.State == declare.HostTerminated || h.State == declare.HostDraining {
			continue
		}
		received, found := a.statuses[h.Name]
		live := found && received.status.Ready && steady.Time().Sub(received.issuedAt) < statusTTL
		if h.Name == a.Host.Name {
			live = serving
		}
		if l := a.links[config.RegionOf(h.DataCentre)]; l != nil && l.partitioned() {
			live = false
		}
		if live {
			out = append(out, h)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return a.proximity(config, out[i]) < a.proximity(config, out[j]) })
	return out
}

// proximity ranks a host by its distance: 0 in this data centre, 1 in this region, 2 in
// another region.
func (a *Agent) proximity(config declare.Config, h declare.Host) int {
	switch {
	case h.DataCentre == a.Host.DataCentre:
		return 0
	case config.RegionOf(h.DataCentre) == a.Host.Region:
		return 1
	default:
		return 2
	}
}
