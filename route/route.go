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

	InFlight    int // requests of this host that have not ended
	Reported    int // running and waiting, by its last report
	OwnAtReport int // this host's InFlight when that report came
	ReportedAt  time.Time

	ServiceTime time.Duration // smoothed time that a request holds a slot
	Health      Health
	Ramp        float64 // share of Slots open to this host; 0 means all
}

// Load estimates how many requests the engine has now. A report counts until
// it is older than maxReportAge; what this host has sent or seen end since is
// added or taken off. An engine that claims less than this host alone has in
// flight there is not believed.
func (e *Engine) Load(now time.Time) int {
	if now.Sub(e.ReportedAt) > maxReportAge {
		return e.InFlight
	}
	return max(e.Reported+e.InFlight-e.OwnAtReport, e.InFlight)
}

// maxReportAge is how long a load report is believed.
const maxReportAge = 5 * time.Second

// capacity is the number of requests the engine may hold at its present ramp.
func (e *Engine) capacity() float64 {
	if e.Ramp > 0 && e.Ramp < 1 {
		return max(1, e.Ramp*float64(e.Slots))
	}
	return float64(e.Slots)
}

// utilisation is load over capacity, with one more request counted in.
func (e *Engine) utilisation(now time.Time) float64 {
	return float64(e.Load(now)+1) / e.capacity()
}

// expectedWait estimates the time until a slot is free for one more request.
func (e *Engine) expectedWait(now time.Time) time.Duration {
	excess := float64(e.Load(now)+1) - e.capacity()
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
	RefusedFull
)

// String gives the word used in logs and by explain.
func (r Refused) String() string {
	return [...]string{"considered", "health", "model", "selector", "tried", "full"}[r]
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
	if e.utilisation(v.Now) > maxUtilisation {
		return RefusedFull
	}
	return RefusedNot
}

// maxUtilisation bounds what one host lets an engine hold: its slots and a few
// waiting, so that a batch is refilled without a round trip.
const maxUtilisation = 1.25

// Choice is the outcome of choosing an engine.
type Choice struct {
	Index  int // into View.Engines; -1 for none
	Hit    int // blocks of the prompt believed to be cached there
	Score  time.Duration
	Reason string
}

// None is the choice of no engine.
var None = Choice{Index: -1, Reason: "no engine can take it"}
