// This file defines what a gateway knows of another region: that region's own word,
// and what this gateway has sent there since.

package dispatch

import (
	"slices"
	"time"
)

// remoteRegion is what is known of another region.
type remoteRegion struct {
	reportedAt time.Time // when its last word was heard
	digests    map[string]Digest
	inFlight   []*Away                 // sent there, and not in its word yet
	cached     map[string]cachedBlocks // by service: parts of prompts that were sent there
}

// Away is a request on its way to another region. It counts as load there until its
// answer begins, it has failed, or the region's own word can tell of it.
type Away struct {
	dispatcher *Dispatcher
	region     *remoteRegion
	service    string
	sentAt     time.Time
	load       Load
}

// Sent notes that this gateway sends a request to another region, so that the next
// one sees it before the region's own word tells of it. End must be called when the
// answer has begun, or none will come.
func (d *Dispatcher) Sent(region string, req Ask) *Away {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	remote, ok := d.remotes[region]
	if !ok {
		return &Away{dispatcher: d}
	}
	r := &Away{dispatcher: d, region: remote, service: req.Service, sentAt: now, load: Load{Requests: 1}}
	if p, ok := d.pools[req.Service]; ok && p.service.Model != nil {
		in := remote.costInputs(req, p.throughput.throughput(), d.homeRegion(p, req, now) == region, now)
		r.load.Unread = max(0, req.Prompt.TokensIn-max(in.cached, in.assumedCached(req.Prompt)))
		r.load.Reserved = req.Prompt.TokensIn + req.Prompt.TokensOut
		remote.cachedFor(req.Service).record(req.Prompt, now)
	}
	remote.inFlight = append(remote.inFlight, r)
	return r
}

// End takes the request off the load of the other region. It may be called again.
func (r *Away) End() {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	if r.region == nil {
		return
	}
	r.region.inFlight = slices.DeleteFunc(r.region.inFlight, func(o *Away) bool { return o == r })
	r.region = nil
}

// applyDigests takes the region's own word. What was sent less than a round trip before may
// not be in it.
func (r *remoteRegion) applyDigests(digests []Digest, roundTrip time.Duration, now time.Time) {
	r.reportedAt = now
	r.digests = make(map[string]Digest, len(digests))
	for _, digest := range digests {
		r.digests[digest.Service] = digest
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a *Away) bool { return now.Sub(a.sentAt) > roundTrip })
}

// isFresh tells whether the region's word is fresh enough to count.
func (r *remoteRegion) isFresh(now time.Time) bool { return now.Sub(r.reportedAt) <= digestTTL }

// inFlightLoad gives the load of a service that is on its way.
func (r *remoteRegion) inFlightLoad(service string) Load {
	var sum Load
	for _, one := range r.inFlight {
		if one.service == service {
			sum = sum.plus(one.load)
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

// costInputs gives what the expectation of the region's engines rests on; here is
// their speed in this region, for a word that tells none. A keeper of the prompt's
// parts is one engine, so that the mean load counts, else the least.
func (r *remoteRegion) costInputs(req Ask, fallback Throughput, isHome bool, now time.Time) costInputs {
	digest := r.digests[req.Service]
	in := costInputs{
		slots: digest.Slots, cacheTokens: digest.CacheTokens, preferred: isHome, failureRate: digest.FailureRate, throughput: digest.Throughput,
		cached: r.cachedFor(req.Service).tokens(req.Prompt, now), load: digest.LeastLoad.load(),
	}
	if in.throughput.SlotTime <= 0 {
		in.throughput = fallback
	}
	if req.Prompt.Affinity() != "" && (isHome || in.cached > 0) {
		in.load = digest.MeanLoad.load()
	}
	return in
}

// forgetRemoteBlocks forgets the parts that other regions are no longer believed to keep. The
// lock is held.
func (d *Dispatcher) forgetRemoteBlocks(now time.Time) {
	for _, remote := range d.remotes {
		for _, blocks := range remote.cached {
			blocks.removeExpired(now)
		}
	}
}
