// This file defines what a gateway knows of another region: the region's last report, and
// the requests sent there since.

package dispatch

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/streams"
)

// remoteRegion is the known state of another region.
type remoteRegion struct {
	reportedAt time.Time // when its last report arrived in this region
	digests    map[string]Digest
	versions   map[streams.Origin]int // engines that serve, by service and version; nil if not reported
	// versionsComplete is set if the region has no other versions, lately ended ones included.
	versionsComplete bool
	callerDemand     map[uint32]rollup.RouteDemand // of its callers, by class
	inFlight         []*RemoteRequest              // sent there, and not in its last report yet
	cached           map[string]cachedBlocks       // by service: prompt blocks sent there
}

// RemoteRequest is a request handed over to another region. It counts as load of that
// region until its answer begins, it fails, or the region's own report includes it.
type RemoteRequest struct {
	dispatcher *Dispatcher
	region     *remoteRegion
	service    string
	sentAt     time.Time
	load       Load
}

// BeginRemote counts a request as sent to another region, so that the next choice of region
// includes it before the region's own report does. The caller must call End when the
// answer has begun or has failed.
func (d *Dispatcher) BeginRemote(region string, req Request) *RemoteRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	remote, ok := d.remotes[region]
	if !ok {
		return &RemoteRequest{dispatcher: d}
	}
	r := &RemoteRequest{dispatcher: d, region: remote, service: req.Service, sentAt: now, load: Load{Requests: 1}}
	if p, ok := d.pools[req.Service]; ok && p.service.Model != nil {
		in := remote.costInputs(req, p.throughput.current(), d.homeRegion(p, req, now) == region, now)
		r.load.Unread = max(0, req.Prompt.InputTokens-max(in.cached, in.assumedCached(req.Prompt)))
		r.load.Reserved = req.Prompt.InputTokens + req.Prompt.OutputTokens
		remote.cachedFor(req.Service).record(req.Prompt, now)
	}
	remote.inFlight = append(remote.inFlight, r)
	return r
}

// End removes the request from the other region's load. Further calls do nothing.
func (r *RemoteRequest) End() {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	if r.region == nil {
		return
	}
	r.region.inFlight = slices.DeleteFunc(r.region.inFlight, func(o *RemoteRequest) bool { return o == r })
	r.region = nil
}

// applyDigests replaces the region's digests. Requests sent less than a round trip ago
// stay counted separately, since the report may not include them.
func (r *remoteRegion) applyDigests(digests []Digest, roundTrip time.Duration, now time.Time) {
	r.reportedAt = now
	r.digests = make(map[string]Digest, len(digests))
	for _, digest := range digests {
		r.digests[digest.Service] = digest
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a *RemoteRequest) bool { return now.Sub(a.sentAt) > roundTrip })
}

// applyCallerDemand replaces the demand of the region's callers.
func (r *remoteRegion) applyCallerDemand(demand []rollup.RouteDemand) {
	r.callerDemand = make(map[uint32]rollup.RouteDemand, len(demand))
	for _, class := range demand {
		r.callerDemand[class.Route] = class
	}
}

// isFresh reports whether the region's report is recent enough to use.
func (r *remoteRegion) isFresh(now time.Time) bool { return now.Sub(r.reportedAt) <= digestTTL }

// inFlightLoad returns the load of a service's requests that the region's report doesn't
// include yet.
func (r *remoteRegion) inFlightLoad(service string) Load {
	var sum Load
	for _, sent := range r.inFlight {
		if sent.service == service {
			sum = sum.plus(sent.load)
		}
	}
	return sum
}

func (r *remoteRegion) cachedFor(service string) cachedBlocks {
	blocks, ok := r.cached[service]
	if !ok {
		blocks = make(cachedBlocks)
		r.cached[service] = blocks
	}
	return blocks
}

// costInputs returns the inputs of the cost estimate for the region's engines. fallback
// is the throughput in this region, used if the report has none. If the prompt's shared
// blocks are cached there, the request goes to the one engine that holds them, so the
// mean load counts; otherwise it goes to the least loaded engine.
func (r *remoteRegion) costInputs(req Request, fallback Throughput, isHome bool, now time.Time) costInputs {
	digest := r.digests[req.Service]
	in := costInputs{
		slots: digest.Slots, cacheTokens: digest.CacheTokens, preferred: isHome, failureRate: digest.FailureRate, throughput: digest.Throughput,
		cached: r.cachedFor(req.Service).tokens(req.Prompt, now), load: digest.LeastLoad.load(),
	}
	if in.throughput.SlotTime <= 0 {
		in.throughput = fallback
	}
	if req.Prompt.AffinityKey() != "" && (isHome || in.cached > 0) {
		in.load = digest.MeanLoad.load()
	}
	return in
}

// forgetRemoteBlocks removes expired blocks of other regions. The lock is held.
func (d *Dispatcher) forgetRemoteBlocks(now time.Time) {
	for _, remote := range d.remotes {
		for _, blocks := range remote.cached {
			blocks.removeExpired(now)
		}
	}
}
