// Package route chooses: an engine within a region, and the region itself.
//
// Every choice is a pure function of a view, a request and a random number, so
// that it can be tested and measured without a network; the daemon calls the
// same functions. What a host knows of an engine is an estimate with an age:
// the engine's last report, corrected by the requests that this host has sent
// and seen end since.
package route

import (
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/pushback"
)

// Health says whether an engine may get new requests.
type Health uint8

// The states of health. The zero value is Healthy.
const (
	Healthy     Health = iota
	Ejected            // failing or far slower than its peers
	Leaving            // its host is being reclaimed
	Stopping           // an operator's label says to finish and stop
	Unreachable        // probes and connections fail
)

// String gives the word used in logs.
func (h Health) String() string {
	return [...]string{"healthy", "ejected", "leaving", "stopping", "unreachable"}[h]
}

// Engine is what one entry host knows of one engine.
type Engine struct {
	Name    string
	Address string
	Place   permit.Place
	Labels  declare.Labels
	Model   string // empty: any model
	Slots   int    // requests it runs side by side
	Cost    float64

	InFlight   int     // requests of this host that have not ended
	Others     float64 // requests of other hosts, smoothed over its reports
	ReportedAt time.Time
	// DistrustUntil is set where the engine's reports have been caught out.
	DistrustUntil time.Time

	ServiceTime time.Duration // smoothed time that a request holds a slot
	Health      Health
	Ramp        float64 // share of Slots open to this host; 0 means all
	Limited     bool    // it names a limit of which this host has no share, or has used it
	// Asked is what keeps this host's requests away by its own word; 0 for nothing.
	Asked pushback.Reason
}

// Load estimates how many requests the engine has now: those of this host,
// which are known, and those of the others, as of its reports.
func (e *Engine) Load() float64 { return float64(e.InFlight) + e.Others }

// Parameters of the estimate.
const (
	// othersSmoothing is the weight of the newest report. What other hosts
	// have at an engine changes faster than reports tell; hosts that all
	// follow the same late report would all run to the same engine.
	othersSmoothing = 0.2
	// maxReportAge is how long a load report is believed.
	maxReportAge = 5 * time.Second
	// distrustTime is how long an engine isn't believed that was caught.
	distrustTime = 30 * time.Second
)

// WithReport gives the engine with a report taken in: total is what it had at
// that time, own what this host had there at that time. An engine that claims
// less than this host alone had isn't believed for a while.
func (e Engine) WithReport(total, own int, at time.Time) Engine {
	if total < own {
		e.DistrustUntil = at.Add(distrustTime)
	}
	if at.Before(e.DistrustUntil) {
		return e
	}
	others := float64(total - own)
	if e.ReportedAt.IsZero() {
		e.Others = others
	} else {
		e.Others += othersSmoothing * (others - e.Others)
	}
	e.ReportedAt = at
	return e
}

// believed tells whether the engine's own reports say what others have there.
func (e *Engine) believed(now time.Time) bool {
	return now.Sub(e.ReportedAt) <= maxReportAge && !now.Before(e.DistrustUntil)
}

// FillOthers gives the engines whose reports are old or not believed the mean
// of the others. Load is no less than this host knows even without it.
func FillOthers(engines []Engine, now time.Time) {
	sum, n := 0.0, 0
	for i := range engines {
		if engines[i].believed(now) {
			sum += engines[i].Others
			n++
		}
	}
	for i := range engines {
		if e := &engines[i]; !e.believed(now) {
			e.Others = sum / float64(max(1, n))
		}
	}
}

// capacity is the number of requests the engine may hold at its present ramp.
func (e *Engine) capacity() float64 {
	if e.Ramp > 0 && e.Ramp < 1 {
		return max(1, e.Ramp*float64(e.Slots))
	}
	return float64(e.Slots)
}

// utilisation is load over capacity, with one more request counted in.
func (e *Engine) utilisation() float64 {
	return (e.Load() + 1) / e.capacity()
}

// expectedWait estimates the time until a slot is free for one more request.
func (e *Engine) expectedWait() time.Duration {
	excess := e.Load() + 1 - e.capacity()
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / e.capacity() * float64(e.serviceTime()))
}

// defaultServiceTime stands in until a request has ended.
const defaultServiceTime = time.Second

func (e *Engine) serviceTime() time.Duration {
	if e.ServiceTime == 0 {
		return defaultServiceTime
	}
	return e.ServiceTime
}

// View is what a choice is made from: the engines of one service in one
// region, and where prompts' prefixes are believed to be cached.
type View struct {
	Now     time.Time
	Engines []Engine
	Cached  *PrefixIndex // nil: nothing is known
}

// Ask is what a choice needs to know of the request.
type Ask struct {
	Model       string
	PrefixChain []uint64      // hashes of the prompt's growing prefixes
	Prefill     time.Duration // to read the whole prompt into a cold cache
	// Permitted tells whether selectors allow the engine; nil allows all.
	Permitted func(e *Engine) bool
	// Tried holds the engines that earlier attempts went to.
	Tried []int
}

// Refused says why an engine was not considered.
type Refused uint8

// The reasons. The zero value means that it was considered.
const (
	RefusedNot Refused = iota
	RefusedHealth
	RefusedModel
	RefusedSelector
	RefusedTried
	RefusedLimited
	RefusedResting
	RefusedLeaving
	RefusedFull
)

// String gives the word used in logs and by explain.
func (r Refused) String() string {
	return [...]string{"considered", "health", "model", "selector", "tried", "limited", "resting", "leaving", "full"}[r]
}

// judge tells whether one engine can take the request at all.
func judge(v *View, a *Ask, i int) Refused {
	e := &v.Engines[i]
	if e.Health != Healthy {
		return RefusedHealth
	}
	if e.Model != "" && a.Model != "" && e.Model != a.Model {
		return RefusedModel
	}
	for _, tried := range a.Tried {
		if tried == i {
			return RefusedTried
		}
	}
	if a.Permitted != nil && !a.Permitted(e) {
		return RefusedSelector
	}
	switch {
	case e.Asked == pushback.Draining:
		return RefusedLeaving
	case e.Asked != 0:
		return RefusedResting
	case e.Limited:
		return RefusedLimited
	}
	if e.Full() {
		return RefusedFull
	}
	return RefusedNot
}

// maxUtilisation bounds what one host lets an engine hold: its slots and a few
// waiting, so that a batch is refilled without a round trip.
const maxUtilisation = 1.125

// Full tells whether the engine should get no more for now.
func (e *Engine) Full() bool { return e.utilisation() > maxUtilisation }

// Choice is the outcome of choosing an engine.
type Choice struct {
	Index  int // into View.Engines; -1 for none
	Hit    int // blocks of the prompt believed to be cached there
	Score  time.Duration
	Reason string
}

// None is the choice of no engine.
var None = Choice{Index: -1, Reason: "no engine can take it"}
