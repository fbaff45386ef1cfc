// This file defines what the gateway asks of the other hosts and regions.

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

// memberLife is how old a host's word may be for it to be recommended.
const memberLife = 8 * time.Second

// link is what is known of the way to another region. The zero value is a way
// that has not been tried.
type link struct {
	roundTrip time.Duration
	failed    int // in a row
}

// cutAfter failures in a row a region counts as cut off.
const cutAfter = 2

// linkSmoothing is the weight of the newest round trip.
const linkSmoothing = 0.3

func (l *link) note(ok bool, took time.Duration) {
	if !ok {
		l.failed++
		return
	}
	l.failed = 0
	if l.roundTrip == 0 {
		l.roundTrip = took
		return
	}
	l.roundTrip += time.Duration(linkSmoothing * float64(took-l.roundTrip))
}

func (l *link) cut() bool { return l.failed >= cutAfter }

// noteMember takes over a host's status, unless a newer one is known.
func (a *Agent) noteMember(status leader.HostStatus) {
	if status.Host == "" || status.Host == a.Host.Name {
		return
	}
	for _, f := range a.Fleet.ReceiveCrashReports(status.Crashes, status.Age) {
		a.Log.Warn("request kept from engines", zap.Stringer("fingerprint", f), zap.String("last_crash_seen_by", status.Host))
	}
	if status.Region == a.Host.Region {
		a.Fleet.ReceiveLimitReports(status.Limits, status.Age)
	}
	at := steady.Time().Add(-status.Age)
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.members[status.Host]; ok && old.at.After(at) {
		return
	}
	a.members[status.Host] = member{status, at}
}

// RegionDigests implements gateway.Peers. Of each region the newest word counts.
func (a *Agent) RegionDigests(service string) []route.Digest {
	var out []route.Digest
	for _, d := range a.Fleet.Digests() {
		if d.Service == service {
			out = append(out, d.Digest)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for region, known := range a.loads {
		if d, ok := a.digest(region, known, service); ok {
			out = append(out, d)
		}
	}
	return out
}

// regionLoad is what is known of another region's engines.
type regionLoad struct {
	services []leader.ServiceLoad
	at       time.Time // when it was said, by this host's clock
}

// noteRegion takes over the word of a region, unless a newer one is known.
func (a *Agent) noteRegion(load leader.RegionLoad) {
	at := time.Now().Add(-load.Age)
	a.mu.Lock()
	defer a.mu.Unlock()
	if load.Region != a.Host.Region && at.After(a.loads[load.Region].at) {
		a.loads[load.Region] = regionLoad{load.Services, at}
	}
}

// digest gives the digest of a service in another region, and the way there.
// The lock is held.
func (a *Agent) digest(region string, known regionLoad, service string) (route.Digest, bool) {
	for _, s := range known.services {
		if s.Service != service {
			continue
		}
		d := route.Digest{Region: region, Slots: s.Slots, Load: s.Load, ServiceTime: s.ServiceTime, At: known.at}
		if l := a.regions[region]; l != nil {
			d.RoundTrip, d.Cut = l.roundTrip, l.cut()
		}
		d.RoundTrip = max(d.RoundTrip, time.Millisecond)
		return d, true
	}
	return route.Digest{}, false
}

// EntryHosts implements gateway.Peers: hosts that have said lately that they take
// requests, near ones first.
func (a *Agent) EntryHosts() []declare.Host {
	serving := a.isServing() && !a.Stopping()
	a.mu.Lock()
	defer a.mu.Unlock()
	config := a.holder.View().Config
	var out []declare.Host
	for _, h := range declare.Each[declare.Host](config) {
		if h.State == declare.HostGone || h.State == declare.HostLeaving {
			continue
		}
		m, known := a.members[h.Name]
		live := known && m.status.Ready && steady.Time().Sub(m.at) < memberLife
		if h.Name == a.Host.Name {
			live = serving
		}
		if l := a.regions[config.RegionOf(h.DataCentre)]; l != nil && l.cut() {
			live = false
		}
		if live {
			out = append(out, h)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return a.distance(config, out[i]) < a.distance(config, out[j]) })
	return out
}

func (a *Agent) distance(config declare.Config, h declare.Host) int {
	switch {
	case h.DataCentre == a.Host.DataCentre:
		return 0
	case config.RegionOf(h.DataCentre) == a.Host.Region:
		return 1
	default:
		return 2
	}
}
