// This file restricts requests that continue a stream to engines of the software version that
// began it, and reports to other regions which versions serve here.

package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/streams"
)

const (
	// excludedOrigin means that another version began the stream.
	excludedOrigin exclusion = "other version"
	// excludedRestarted means that the engine has started again, perhaps at another version.
	excludedRestarted exclusion = "restarted"
)

// exclusionFor is exclusionOf for one request. A stream continues at its own version even if a
// rollout keeps new requests off that version.
func (d *Dispatcher) exclusionFor(p *pool, e *engine, req Request, now time.Time) exclusion {
	switch {
	case req.Origin == nil:
		return d.exclusionOf(p, e, now)
	case e.Version != req.Origin.Version:
		return excludedOrigin
	default:
		return d.exclusionBesidesVersion(p, e, now)
	}
}

// enginesFor returns the engines to choose from. Those that a rollout excludes are not among
// the usable ones, but streams that they began continue there.
func (p *pool) enginesFor(req Request) []*engine {
	if req.Origin != nil {
		return p.sorted
	}
	return p.usable
}

// isCurrent reports whether the registry still has the ticket's incarnation of the engine, at
// the same version. The lock is held.
func (t *Ticket) isCurrent() bool {
	e, ok := t.pool.engines[t.Engine]
	return ok && e == t.engine && e.Version == t.Version
}

// Origin returns the origin of a stream that the engine's answer begins. It returns false if
// the engine is known to have started again since the ticket was issued: the answer may come
// from another version then.
func (t *Ticket) Origin() (streams.Origin, bool) {
	t.dispatcher.mu.Lock()
	defer t.dispatcher.mu.Unlock()
	return streams.Origin{Service: t.pool.service.Name, Version: t.Version}, t.isCurrent()
}

// servingVersions counts this region's engines by service and version. It includes those that
// accept few or no requests just now, since a continued stream may wait for them. Versions of
// which engines have only drained or ended lately have the count 0. The lock is held.
func (d *Dispatcher) servingVersions(now time.Time) []rollup.VersionCount {
	counts := make(map[streams.Origin]int)
	for _, s := range d.catalog.Services() {
		p, ok := d.pools[s.Name]
		if !ok {
			continue
		}
		for _, e := range p.sorted {
			serving := 0
			if reason := d.exclusionBesidesVersion(p, e, now); reason == "" || reason.isTransient() || reason == excludedCold {
				serving = 1
			}
			counts[streams.Origin{Service: s.Name, Version: e.Version}] += serving
		}
	}
	out := make([]rollup.VersionCount, 0, len(counts))
	for o, n := range counts {
		out = append(out, rollup.VersionCount{Service: o.Service, Version: o.Version, Engines: n})
	}
	slices.SortFunc(out, func(a, b rollup.VersionCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// applyVersions replaces the versions that the region reports.
func (r *remoteRegion) applyVersions(counts []rollup.VersionCount) {
	r.versions = nil
	for _, c := range counts {
		if r.versions == nil {
			r.versions = make(map[streams.Origin]int, len(counts))
		}
		r.versions[streams.Origin{Service: c.Service, Version: c.Version}] = c.Engines
	}
}

// lacksVersion reports whether the region is known to have no engine that can continue a stream
// of an origin; false for a request that begins one.
func (r *remoteRegion) lacksVersion(origin *streams.Origin) bool {
	return origin != nil && r.versions != nil && r.versions[*origin] == 0
}

// streamEndTime bounds the time between the last heartbeat of an engine and the last stream that
// begins there, with the slack of records.
const streamEndTime = 10 * time.Second

// viewIsSteady reports whether this gateway knows all engines of its region, those that have ended
// within registry.Retention included.
func (d *Dispatcher) viewIsSteady() bool { return d.ViewIsSteady != nil && d.ViewIsSteady() }

// SoleVersion returns the only version at which a stream of the service can have begun within the
// given time: all engines in the permitted regions have it, including those that have ended since. It
// returns false unless that is certain, so while a region or a control host isn't in contact, and
// for longer times than the registry keeps engines that have ended.
func (d *Dispatcher) SoleVersion(service string, within time.Duration, permitted func(region string) bool) (streams.Origin, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[service]
	if !ok || !d.viewIsSteady() || within+streamEndTime > registry.Retention {
		return streams.Origin{}, false
	}
	versions := make(map[streams.Origin]struct{})
	for _, e := range p.sorted {
		versions[streams.Origin{Service: service, Version: e.Version}] = struct{}{}
	}
	for _, region := range d.RegionOf {
		if region == d.Region || !permitted(region) {
			continue
		}
		remote, reported := d.remotes[region]
		if !reported || !remote.isFresh(d.Clock()) || !remote.versionsComplete {
			return streams.Origin{}, false
		}
		for origin := range remote.versions {
			if origin.Service == service {
				versions[origin] = struct{}{}
			}
		}
	}
	if len(versions) != 1 {
		return streams.Origin{}, false
	}
	for origin := range versions {
		return origin, true
	}
	return streams.Origin{}, false
}

// ConfirmSoleVersion is SoleVersion, confirmed by all control hosts. What this gateway knows may be
// older than the stream, without a sign of it: for as long as polls and reports may be late, a
// gateway that is partitioned or has just resumed counts as connected.
func (d *Dispatcher) ConfirmSoleVersion(ctx context.Context, service string, within time.Duration, permitted func(region string) bool) (streams.Origin, bool) {
	sole, certain := d.SoleVersion(service, within, permitted)
	if !certain || d.EngineVersions == nil {
		return streams.Origin{}, false
	}
	versions, complete := d.EngineVersions(ctx, service)
	if !complete {
		return streams.Origin{}, false
	}
	for _, v := range versions {
		region, known := d.RegionOf[v.DataCentre]
		if v.Version != sole.Version && (!known || region == d.Region || permitted(region)) {
			return streams.Origin{}, false
		}
	}
	return sole, true
}

// LacksVersion reports whether another region is known to have no engine that can continue a
// stream of that origin. It returns false without a recent report of the region.
func (d *Dispatcher) LacksVersion(region string, origin streams.Origin) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	remote, ok := d.remotes[region]
	return ok && remote.isFresh(d.Clock()) && remote.lacksVersion(&origin)
}
