// This file defines the choice of a region for a request.

package route

import (
	"math"
	"time"
)

// Digest summarises the load and capacity of one region's engines for one
// service.
type Digest struct {
	Region      string
	Slots       int // of healthy engines
	Load        int // requests running and waiting in the region
	ServiceTime time.Duration
	At          time.Time     // when the region measured the load
	RoundTrip   time.Duration // RTT from this host; 0 for the home region
	Cost        float64       // relative cost of an engine
	Cut         bool          // the region is unreachable
}

// maxDigestAge is the age at which a digest stops being usable.
const maxDigestAge = 10 * time.Second

// expectedWait estimates the time until a slot is free for one more request. It
// is the sum of the time to clear the backlog and the queueing delay that random
// arrivals cause before there is a backlog (Sakasegawa's approximation for
// multi-server queues, 1977). queueingWeight scales the mean queueing delay; the
// 99th percentile is about 4.6 times the mean. For a remote region, the free
// slots that the digest reports count less the older the digest is.
func (d *Digest) expectedWait(now time.Time, queueingWeight float64) time.Duration {
	slots := float64(d.Slots)
	if slots == 0 {
		return math.MaxInt64 / 4
	}
	load := float64(d.Load + 1)
	if d.RoundTrip > 0 {
		staleness := min(1, float64(now.Sub(d.At))/float64(maxDigestAge))
		load += staleness * max(0, slots-load)
	}
	utilisation := min(load/slots, maxQueueingUtilisation)
	queueing := math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
	backlog := max(0, load-slots) / slots
	return time.Duration((backlog + queueingWeight*queueing) * float64(max(d.ServiceTime, time.Millisecond)))
}

// maxQueueingUtilisation caps the utilisation used for the queueing delay,
// which goes to infinity as utilisation approaches 1.
const maxQueueingUtilisation = 0.97

// freeSlots estimates the number of free slots in a region. The estimate
// decreases linearly to 0 as the digest reaches maxDigestAge.
func (d *Digest) freeSlots(now time.Time) float64 {
	staleness := min(1, float64(now.Sub(d.At))/float64(maxDigestAge))
	return max(0, float64(d.Slots-d.Load)*(1-staleness))
}

// Weights holds the priorities that operators set for a service.
type Weights struct {
	TailLatency      float64       // weight of tail latency
	Cost             float64       // weight of engine cost
	Locality         float64       // weight of keeping requests in the home region
	FirstTokenTarget time.Duration // target for the time to the first token
}

// RegionRequest describes a request for the choice of a region.
type RegionRequest struct {
	// Permitted reports whether selectors allow the region; nil allows all.
	Permitted   func(region string) bool
	PrefillTime time.Duration // time to prefill the prompt with an empty cache
	// Estimated share of the prompt that is cached in the home region, 0 to 1.
	CachedShare float64
}

// RegionChoice is the result of ChooseRegion.
type RegionChoice struct {
	Index          int // into the digests; -1 if no region is permitted and reachable
	Reason         string
	FirstTokenTime time.Duration // expected time to the first token in the chosen region
}

// remoteMargin is the margin by which the expected time of a remote region must
// beat that of the home region if locality is the only priority. It scales with
// localityWeight.
const remoteMargin = 500 * time.Millisecond

// localityWeight returns the weight, 0 to 1, of keeping requests in the home
// region relative to tail latency. If neither weight is set, both count the
// same.
func (w *Weights) localityWeight() float64 {
	if w.TailLatency+w.Locality == 0 {
		return 0.5
	}
	return w.Locality / (w.TailLatency + w.Locality)
}

// queueingWeight returns the factor for the mean queueing delay. It ranges from
// 1, if only locality counts, to p99ToMean, if only tail latency counts.
func (w *Weights) queueingWeight() float64 { return 1 + (p99ToMean-1)*(1-w.localityWeight()) }

// p99ToMean is the ratio of the 99th percentile to the mean of an exponential
// distribution (ln 100).
const p99ToMean = 4.6

// homeThreshold returns the expected time to the first token in the home region
// up to which every request stays there. It rises from 0, if only tail latency
// counts, to homeThresholdFactor times the target, if only locality counts. It
// may exceed the target because the expectation is for the slowest requests and
// most requests are faster.
func (w *Weights) homeThreshold() time.Duration {
	locality := w.localityWeight()
	return time.Duration(homeThresholdFactor * locality * locality * float64(w.FirstTokenTarget))
}

const homeThresholdFactor = 4

// ChooseRegion picks the region for a request. home is the index of this host's
// own region, or negative. The home region is preferred: a request goes to a
// remote region only if home can't meet the target and the remote region is
// faster by more than the operators' margin, with the wide-area round trip and
// the cold cache included.
//
// Two measures prevent a thundering herd of hosts that have the same stale
// digest. Only the share of requests that exceeds the capacity of the home
// region goes to remote regions, and the remote region is drawn at random in
// proportion to free slots rather than taken as the best.
//
// random is 64 uniformly distributed bits.
func ChooseRegion(now time.Time, digests []Digest, home int, w Weights, req *RegionRequest, random uint64) RegionChoice {
	homeUsable := home >= 0 && (req.Permitted == nil || req.Permitted(digests[home].Region)) && digests[home].Slots > 0
	if homeUsable {
		expected := digests[home].expectedWait(now, w.queueingWeight()) + uncachedPrefill(req.PrefillTime, req.CachedShare)
		if expected <= w.homeThreshold() {
			return RegionChoice{Index: home, Reason: "home meets the target", FirstTokenTime: expected}
		}
		if !inHomeExcess(&digests[home], &w, now, random) {
			return RegionChoice{Index: home, Reason: "home's share", FirstTokenTime: expected}
		}
	}
	remote := drawRemoteRegion(now, digests, home, w, req, splitmix64(random), maxDigestAge)
	if !homeUsable {
		if remote.Index < 0 { // a stale digest is better than none
			remote = drawRemoteRegion(now, digests, home, w, req, splitmix64(random), math.MaxInt64)
		}
		return remote
	}
	homeExpected := digests[home].expectedWait(now, w.queueingWeight()) + uncachedPrefill(req.PrefillTime, req.CachedShare)
	margin := time.Duration(w.localityWeight() * float64(remoteMargin))
	if remote.Index < 0 || remote.FirstTokenTime+margin >= homeExpected {
		return RegionChoice{Index: home, Reason: "no other region is better", FirstTokenTime: homeExpected}
	}
	return remote
}

// uncachedPrefill returns the prefill time for the part of a prompt that isn't
// cached.
func uncachedPrefill(prefill time.Duration, cachedShare float64) time.Duration {
	return time.Duration((1 - cachedShare) * float64(prefill))
}

// inHomeExcess reports whether this request falls into the share of requests that
// the home region can't serve within homeThreshold. The share is drawn at random.
func inHomeExcess(home *Digest, w *Weights, now time.Time, random uint64) bool {
	expected := float64(home.expectedWait(now, w.queueingWeight()))
	excess := expected - float64(w.homeThreshold())
	if excess <= 0 {
		return false
	}
	share := excess / expected
	return float64(random>>11)/(1<<53) < share
}

// drawRemoteRegion draws a remote region at random, in proportion to its
// regionWeight. It ignores regions whose digest is older than maxAge.
func drawRemoteRegion(now time.Time, digests []Digest, home int, w Weights, req *RegionRequest, random uint64, maxAge time.Duration) RegionChoice {
	total := 0.0
	for i := range digests {
		total += regionWeight(now, &digests[i], i == home, w, req, maxAge)
	}
	if total == 0 {
		return RegionChoice{Index: -1, Reason: "no permitted region can be reached"}
	}
	remaining := float64(random>>11) / (1 << 53) * total
	chosen := -1
	for i := range digests {
		weight := regionWeight(now, &digests[i], i == home, w, req, maxAge)
		if weight == 0 {
			continue
		}
		chosen = i
		if remaining -= weight; remaining < 0 {
			break
		}
	}
	d := &digests[chosen]
	return RegionChoice{Index: chosen, Reason: "away", FirstTokenTime: d.expectedWait(now, w.queueingWeight()) + d.RoundTrip + req.PrefillTime}
}

// minRegionWeight keeps a region without free slots eligible, because it may be
// the only permitted one.
const minRegionWeight = 1e-3

// regionWeight returns the free slots of a region divided by its latency and cost
// factors, or 0 if the region isn't eligible.
func regionWeight(now time.Time, d *Digest, isHome bool, w Weights, req *RegionRequest, maxAge time.Duration) float64 {
	if isHome || d.Cut || now.Sub(d.At) > maxAge || d.Slots == 0 || (req.Permitted != nil && !req.Permitted(d.Region)) {
		return 0
	}
	latencyFactor := 1 + w.TailLatency*d.RoundTrip.Seconds()
	costFactor := 1 + w.Cost*d.Cost
	return (d.freeSlots(now) + minRegionWeight) / (latencyFactor * costFactor)
}
