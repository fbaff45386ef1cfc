// This file defines the choice of region.

package route

import (
	"math"
	"time"
)

// Digest is what is known of one region's engines for one service.
type Digest struct {
	Region      string
	Slots       int // of healthy engines
	Load        int // running and waiting there
	ServiceTime time.Duration
	At          time.Time     // when the region measured it
	RoundTrip   time.Duration // from here; 0 for home
	Cost        float64       // of an engine there, relative
	Cut         bool          // can't be reached now
}

// maxDigestAge is how long a digest counts; an older one says nothing.
const maxDigestAge = 10 * time.Second

// wait estimates the time until a slot is free for one more request: the
// backlog, and the wait that random arrivals cause before there is one
// (Sakasegawa's approximation for many servers, 1977). tail is how many times
// the mean counts; a wait at the 99th percentile is some 4.6 times the mean. What
// a region had free is trusted less the older the word of it is.
func (d *Digest) wait(now time.Time, tail float64) time.Duration {
	slots := float64(d.Slots)
	if slots == 0 {
		return math.MaxInt64 / 4
	}
	load := float64(d.Load + 1)
	if d.RoundTrip > 0 {
		stale := min(1, float64(now.Sub(d.At))/float64(maxDigestAge))
		load += stale * max(0, slots-load)
	}
	busy := min(load/slots, maxBusy)
	random := math.Pow(busy, math.Sqrt(2*(slots+1))-1) / (slots * (1 - busy))
	backlog := max(0, load-slots) / slots
	return time.Duration((backlog + tail*random) * float64(max(d.ServiceTime, time.Millisecond)))
}

// maxBusy bounds the share of busy slots in the estimate of random waits.
const maxBusy = 0.97

// free estimates how many slots a region has free.
func (d *Digest) free(now time.Time) float64 {
	stale := min(1, float64(now.Sub(d.At))/float64(maxDigestAge))
	return max(0, float64(d.Slots-d.Load)*(1-stale))
}

// Weights says what a service's operators care about.
type Weights struct {
	Tail   float64
	Cost   float64
	Away   float64
	Target time.Duration // for the first token
}

// RegionAsk is what the choice of region needs to know of the request.
type RegionAsk struct {
	Permitted func(region string) bool
	Prefill   time.Duration // to read the prompt into a cold cache
	// Warm is the share of the prompt believed cached at home, 0 to 1.
	Warm float64
}

// RegionChoice is the outcome. Index is -1 where no region is permitted and
// reachable.
type RegionChoice struct {
	Index  int
	Reason string
	// Expected is the time to the first token that the choice was made for.
	Expected time.Duration
}

// awayMargin is how much better than home another region must be, where only
// the share sent away counts.
const awayMargin = 500 * time.Millisecond

// awayShare weighs the share sent away against tail latency, 0 to 1. Weights
// that say nothing weigh both the same.
func (w *Weights) awayShare() float64 {
	if w.Tail+w.Away == 0 {
		return 0.5
	}
	return w.Away / (w.Tail + w.Away)
}

// tail is how many times the mean random wait counts.
func (w *Weights) tail() float64 { return 1 + (tailFactor-1)*(1-w.awayShare()) }

// tailFactor is what an exponential wait's 99th percentile is to its mean.
const tailFactor = 4.6

// patience is the expected time to the first token at home up to which nothing
// goes away. It rises from nothing, where only tail latency counts, to several
// times the target, where only the share sent away does: the expectation is
// that of the slowest, and most of the requests are faster.
func (w *Weights) patience() time.Duration {
	share := w.awayShare()
	return time.Duration(patienceFactor * share * share * float64(w.Target))
}

const patienceFactor = 4

// ChooseRegion picks the region for a request. home is the index of the
// region in which this host stands and is preferred: a request goes elsewhere
// only if home can't meet the target and another region can do better by more
// than the operators' margin, wide-area trip and cold cache counted.
//
// Two things keep hosts that see the same old digest from acting as one. Only
// that share of requests goes away which home can't take; and the region is
// drawn by free slots, not by rank. random is any 64 uniform bits.
func ChooseRegion(now time.Time, digests []Digest, home int, w Weights, a *RegionAsk, random uint64) RegionChoice {
	homeOK := home >= 0 && (a.Permitted == nil || a.Permitted(digests[home].Region)) && digests[home].Slots > 0
	if homeOK {
		expected := digests[home].wait(now, w.tail()) + cold(a.Prefill, a.Warm)
		if expected <= w.patience() {
			return RegionChoice{Index: home, Reason: "home meets the target", Expected: expected}
		}
		if !drawExcess(&digests[home], &w, now, random) {
			return RegionChoice{Index: home, Reason: "home's share", Expected: expected}
		}
	}
	best := drawRegion(now, digests, home, w, a, mix(random), maxDigestAge)
	if !homeOK {
		if best.Index < 0 { // old word is better than none
			best = drawRegion(now, digests, home, w, a, mix(random), math.MaxInt64)
		}
		return best
	}
	stay := digests[home].wait(now, w.tail()) + cold(a.Prefill, a.Warm)
	margin := time.Duration(w.awayShare() * float64(awayMargin))
	if best.Index < 0 || best.Expected+margin >= stay {
		return RegionChoice{Index: home, Reason: "no other region is better", Expected: stay}
	}
	return best
}

func cold(prefill time.Duration, warm float64) time.Duration {
	return time.Duration((1 - warm) * float64(prefill))
}

// drawExcess decides whether this request belongs to the share that home can't
// take within its target.
func drawExcess(home *Digest, w *Weights, now time.Time, random uint64) bool {
	wait := float64(home.wait(now, w.tail()))
	over := wait - float64(w.patience())
	if over <= 0 {
		return false
	}
	share := over / wait
	return float64(random>>11)/(1<<53) < share
}

// drawRegion draws one of the other regions by free slots over cost and time,
// among those whose digest is not older than maxAge.
func drawRegion(now time.Time, digests []Digest, home int, w Weights, a *RegionAsk, random uint64, maxAge time.Duration) RegionChoice {
	total := 0.0
	for i := range digests {
		total += regionWeight(now, &digests[i], i == home, w, a, maxAge)
	}
	if total == 0 {
		return RegionChoice{Index: -1, Reason: "no permitted region can be reached"}
	}
	at := float64(random>>11) / (1 << 53) * total
	last := -1
	for i := range digests {
		weight := regionWeight(now, &digests[i], i == home, w, a, maxAge)
		if weight == 0 {
			continue
		}
		last = i
		if at -= weight; at < 0 {
			break
		}
	}
	d := &digests[last]
	return RegionChoice{Index: last, Reason: "away", Expected: d.wait(now, w.tail()) + d.RoundTrip + a.Prefill}
}

// leastWeight keeps a region drawable whose digest shows nothing free: it may
// still be the only one that is permitted.
const leastWeight = 1e-3

func regionWeight(now time.Time, d *Digest, isHome bool, w Weights, a *RegionAsk, maxAge time.Duration) float64 {
	if isHome || d.Cut || now.Sub(d.At) > maxAge || d.Slots == 0 || (a.Permitted != nil && !a.Permitted(d.Region)) {
		return 0
	}
	time := 1 + w.Tail*d.RoundTrip.Seconds()
	cost := 1 + w.Cost*d.Cost
	return (d.free(now) + leastWeight) / (time * cost)
}
