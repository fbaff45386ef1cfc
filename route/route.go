// Package route chooses the region for a request and the engine within a region.
//
// Every choice is a pure function of a view, a request and a random number, so
// that tests and simulations run the same code as the daemon, without a network.
// A host only has an estimate of an engine's load: the engine's last report,
// corrected by the requests that this host has started and finished since then.
package route

import (
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/pushback"
)

// Health is the state of an engine. Only a Healthy engine gets new requests.
type Health uint8

// The health states. The zero value is Healthy.
const (
	Healthy     Health = iota
	Ejected            // an outlier: high failure rate, or far slower than its peers
	Draining           // draining, because the platform reclaims its host
	Stopping           // an operator's label tells it to finish its requests and stop
	Unreachable        // probes fail
)

// String returns the name used in logs and explanations.
func (h Health) String() string {
	return [...]string{"healthy", "ejected", "leaving", "stopping", "unreachable"}[h]
}

// Engine holds an entry host's state for one engine.
type Engine struct {
	Name    string
	Address string
	Place   permit.Place
	Labels  declare.Labels
	Model   string // empty for any model
	Slots   int    // requests that it runs concurrently
	Cost    float64

	InFlight   int     // requests from this host in flight
	OtherLoad  float64 // requests from other hosts, smoothed over reports
	ReportedAt time.Time
	// IgnoreReportsUntil is the time before which reports of the engine are ignored,
	// because one of them contradicted this host's own count.
	IgnoreReportsUntil time.Time

	ServiceTime time.Duration // smoothed time that a request occupies a slot
	Health      Health
	Ramp        float64 // share of Slots that may be used; 0 means all
	RateLimited bool    // this host has used up its share of the engine's rate limit, or has none
	// Pushback by which the engine excludes itself for this host; 0 for none.
	Pushback pushback.Reason
}

// Load estimates the number of requests at the engine: the exact number from
// this host plus the reported number from other hosts.
func (e *Engine) Load() float64 { return float64(e.InFlight) + e.OtherLoad }

// Parameters of the load estimate.
const (
	// otherLoadSmoothing is the weight of the latest report. The load from other
	// hosts changes faster than reports arrive, and hosts that all followed the
	// same stale report would all choose the same engine.
	otherLoadSmoothing = 0.2
	// maxReportAge is the age at which a load report becomes stale.
	maxReportAge = 5 * time.Second
	// ignoreReportsTime is how long reports are ignored after a wrong one.
	ignoreReportsTime = 30 * time.Second
)

// WithReport returns the engine with a load report applied. At the time at, the
// engine reported total requests and this host had own requests in flight there.
// A total below own is wrong; reports of the engine are then ignored for
// ignoreReportsTime.
func (e Engine) WithReport(total, own int, at time.Time) Engine {
	if total < own {
		e.IgnoreReportsUntil = at.Add(ignoreReportsTime)
	}
	if at.Before(e.IgnoreReportsUntil) {
		return e
	}
	others := float64(total - own)
	if e.ReportedAt.IsZero() {
		e.OtherLoad = others
	} else {
		e.OtherLoad += otherLoadSmoothing * (others - e.OtherLoad)
	}
	e.ReportedAt = at
	return e
}

// reportUsable reports whether OtherLoad can be relied on: the latest report isn't
// stale, and reports of the engine aren't being ignored.
func (e *Engine) reportUsable(now time.Time) bool {
	return now.Sub(e.ReportedAt) <= maxReportAge && !now.Before(e.IgnoreReportsUntil)
}

// FillOtherLoad sets OtherLoad of each engine whose report is stale or ignored to the
// mean of the engines with a usable report. Whatever the mean is, Load includes this
// host's own requests.
func FillOtherLoad(engines []Engine, now time.Time) {
	sum, n := 0.0, 0
	for i := range engines {
		if engines[i].reportUsable(now) {
			sum += engines[i].OtherLoad
			n++
		}
	}
	for i := range engines {
		if e := &engines[i]; !e.reportUsable(now) {
			e.OtherLoad = sum / float64(max(1, n))
		}
	}
}

// capacity returns the number of requests that the engine may run at its current
// ramp.
func (e *Engine) capacity() float64 {
	if e.Ramp > 0 && e.Ramp < 1 {
		return max(1, e.Ramp*float64(e.Slots))
	}
	return float64(e.Slots)
}

// utilisation returns the load including one more request, divided by the
// capacity.
func (e *Engine) utilisation() float64 {
	return (e.Load() + 1) / e.capacity()
}

// expectedWait estimates the time until a slot is free for one more request.
func (e *Engine) expectedWait() time.Duration {
	excess := e.Load() + 1 - e.capacity()
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / e.capacity() * float64(e.serviceTimeOrDefault()))
}

// defaultServiceTime is assumed until a request has finished.
const defaultServiceTime = time.Second

func (e *Engine) serviceTimeOrDefault() time.Duration {
	if e.ServiceTime == 0 {
		return defaultServiceTime
	}
	return e.ServiceTime
}

// View is the input of a choice: the engines of one service in one region, and
// the prompt prefixes that they have cached.
type View struct {
	Now      time.Time
	Engines  []Engine
	Prefixes *PrefixIndex // nil if caches are not tracked
}

// Request describes a request for the choice of an engine.
type Request struct {
	Model       string
	PrefixChain []uint64      // hashes of the prompt's first block, first two blocks, and so on
	PrefillTime time.Duration // time to prefill the whole prompt with an empty cache
	// Permitted reports whether selectors allow the engine; nil allows all.
	Permitted func(e *Engine) bool
	// Tried holds the indexes of the engines that earlier attempts used.
	Tried []int
}

// Exclusion is the reason why an engine is excluded from a choice.
type Exclusion uint8

// The reasons. The zero value means that the engine was considered.
const (
	NotExcluded         Exclusion = iota
	ExcludedHealth                // not Healthy
	ExcludedModel                 // serves another model
	ExcludedSelector              // not permitted by selectors
	ExcludedTried                 // an earlier attempt used it
	ExcludedRateLimited           // this host's share of its rate limit is used up
	ExcludedBackingOff            // it asked this host for backoff
	ExcludedDraining              // it announced that it is draining
	ExcludedFull                  // utilisation above maxUtilisation
)

// String returns the name used in logs and explanations.
func (r Exclusion) String() string {
	return [...]string{"considered", "health", "model", "selector", "tried", "limited", "resting", "leaving", "full"}[r]
}

// exclusion returns why engine i can't serve the request, or NotExcluded if the
// engine is eligible.
func exclusion(v *View, req *Request, i int) Exclusion {
	e := &v.Engines[i]
	if e.Health != Healthy {
		return ExcludedHealth
	}
	if e.Model != "" && req.Model != "" && e.Model != req.Model {
		return ExcludedModel
	}
	for _, tried := range req.Tried {
		if tried == i {
			return ExcludedTried
		}
	}
	if req.Permitted != nil && !req.Permitted(e) {
		return ExcludedSelector
	}
	switch {
	case e.Pushback == pushback.Draining:
		return ExcludedDraining
	case e.Pushback != 0:
		return ExcludedBackingOff
	case e.RateLimited:
		return ExcludedRateLimited
	}
	if e.Full() {
		return ExcludedFull
	}
	return NotExcluded
}

// maxUtilisation limits how many requests an engine may have: one for each slot
// and a few waiting, so that the engine refills its batch without a round trip.
const maxUtilisation = 1.125

// Full reports whether one more request would exceed the utilisation limit.
func (e *Engine) Full() bool { return e.utilisation() > maxUtilisation }

// Choice is the result of Choose.
type Choice struct {
	Index        int           // into View.Engines; -1 for none
	CachedBlocks int           // leading prompt blocks that the engine probably has cached
	ExpectedTime time.Duration // expected time to the first token; set only by PrefixBounded
	Reason       string
}

// NoChoice is returned if no engine is eligible.
var NoChoice = Choice{Index: -1, Reason: "no engine can take it"}
