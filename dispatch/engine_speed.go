// This file defines how fast each engine is, as far as all gateways of the region together
// have seen.

package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/enginespeed"
	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/rollup"
)

// engineSpeed is what is known of one engine's speed.
type engineSpeed struct {
	own   enginespeed.Evidence // of this gateway
	peers enginespeed.Sum      // of the region's other gateways, as last reported
	track enginespeed.Track    // the estimate as of the last update
	// perToken is how long streams took for each token as of the last update; 0 if not known.
	perToken time.Duration
	listed   bool // in Dispatcher.knownSpeeds
}

// speed returns how fast an engine reads and generates relative to the service's mean; 1 if
// that isn't known.
func (e *engine) speed(time.Time) float64 {
	return e.speeds.track.Speed()
}

// tokenTime returns how long the engine's streams have lately taken for each token, with all
// that it reads beside them; 0 if that isn't known.
func (e *engine) tokenTime(time.Time) time.Duration { return e.speeds.perToken }

// regionSpeed returns the sum of the speeds of the engines that accept requests and aren't
// cold. The lock is held.
func (d *Dispatcher) regionSpeed(p *pool, now time.Time) float64 {
	sum := 0.0
	for _, e := range d.digestEngines(p, now) {
		sum += e.speed(now)
	}
	return sum
}

const (
	// minReportedWeight and minReportedTokens are the least evidence that a gateway reports:
	// less changes no estimate.
	minReportedWeight = 0.05
	minReportedTokens = 5
	// unusualSpeed is the factor from the mean, in either direction, from which the speed of
	// an engine is logged.
	unusualSpeed = 1.25
	// maxLoggedSpeeds bounds the engines in one line.
	maxLoggedSpeeds = 8
)

// addSpeedToReport adds this gateway's evidence of an engine's speed. It returns false if
// there is none.
func (d *Dispatcher) addSpeedToReport(r *rollup.Report, e *engine, now time.Time) bool {
	s := e.speeds.own.Sum(d.reportingGateways, now)
	if s.Weight < minReportedWeight && s.Tokens < minReportedTokens {
		return false
	}
	r.Speeds = append(r.Speeds, rollup.EngineSpeed{
		Engine: e.hash, LogSum: int(math.Round(100 * s.LogSum)), Weight: int(math.Round(100 * s.Weight)),
		TokenMicros: int(s.TokenTime.Microseconds()), Tokens: int(s.Tokens),
	})
	return true
}

// maxReportedLog bounds the mean logarithm of speeds that is taken from reports, in hundredths:
// a factor of eight in both directions, as for single observations. A gateway that reports more
// is wrong.
const maxReportedLog = 208

// reportedSpeed returns the evidence in a sum of reports. What subtracting this gateway's own
// report leaves may be slightly negative.
func reportedSpeed(r rollup.EngineSpeed) enginespeed.Sum {
	if r.Weight <= 0 {
		r.LogSum, r.Weight = 0, 0
	}
	r.LogSum = max(-maxReportedLog*r.Weight/100, min(maxReportedLog*r.Weight/100, r.LogSum))
	if r.TokenMicros <= 0 || r.Tokens <= 0 {
		r.TokenMicros, r.Tokens = 0, 0
	}
	return enginespeed.Sum{LogSum: float64(r.LogSum) / 100, Weight: float64(r.Weight) / 100, TokenTime: time.Duration(r.TokenMicros) * time.Microsecond, Tokens: float64(r.Tokens)}
}

// applyPeerSpeeds updates the speeds of all engines of which this gateway or others have seen
// anything lately. The lock is held.
func (d *Dispatcher) applyPeerSpeeds(others rollup.PeerTotals, now time.Time) {
	for _, e := range d.knownSpeeds {
		e.speeds.peers = enginespeed.Sum{}
	}
	for hash, r := range others.Speeds {
		if e, ok := d.enginesByHash[hash]; ok {
			e.use().speeds.peers = reportedSpeed(r)
			d.addKnownSpeed(e)
		}
	}
	for e := range d.reported {
		d.addKnownSpeed(e)
	}
	// Sums of floating-point numbers depend on the order.
	slices.SortFunc(d.knownSpeeds, func(a, b *engine) int { return cmp.Compare(a.hash, b.hash) })
	byPool := make(map[*pool][]*engine)
	for _, e := range d.knownSpeeds {
		byPool[e.pool] = append(byPool[e.pool], e)
	}
	for _, engines := range byPool {
		d.updateSpeeds(engines, now)
	}
	d.knownSpeeds = slices.DeleteFunc(d.knownSpeeds, func(e *engine) bool {
		e.speeds.listed = !e.speeds.track.IsIdle() || e.speeds.perToken > 0
		return !e.speeds.listed
	})
}

// addKnownSpeed adds an engine to those whose speeds are updated.
func (d *Dispatcher) addKnownSpeed(e *engine) {
	if e.activity != idle && !e.speeds.listed {
		e.speeds.listed = true
		d.knownSpeeds = append(d.knownSpeeds, e)
	}
}

// updateSpeeds updates the speeds of engines of one service.
func (d *Dispatcher) updateSpeeds(engines []*engine, now time.Time) {
	tracks, sums := make([]*enginespeed.Track, len(engines)), make([]enginespeed.Sum, len(engines))
	for i, e := range engines {
		tracks[i], sums[i] = &e.speeds.track, e.speeds.own.Sum(d.reportingGateways, now).Plus(e.speeds.peers)
		e.speeds.perToken = sums[i].PerToken()
	}
	enginespeed.Update(tracks, sums, now)
}

// highestByStep finds the engine that ranks highest by rendezvous hashing weighted by the
// steps of the engines' speeds. Weights are computed only for the highest rank of each step.
type highestByStep [2*enginespeed.MaxStep + 1]candidate

// isHigher reports whether a rank is the highest so far of the engine's step.
func (h *highestByStep) isHigher(c candidate) bool {
	highest := h[c.engine.speeds.track.Step()+enginespeed.MaxStep]
	return highest.engine == nil || c.rank > highest.rank
}

func (h *highestByStep) add(c candidate) { h[c.engine.speeds.track.Step()+enginespeed.MaxStep] = c }

// engine returns the engine that ranks highest; nil if none was added.
func (h *highestByStep) engine() *engine {
	var best *engine
	highest := math.Inf(-1)
	for i, c := range h {
		if c.engine == nil {
			continue
		}
		speed := enginespeed.Step(i - enginespeed.MaxStep).Speed()
		if weight := rendezvous.Weighted(c.rank, speed); weight > highest {
			best, highest = c.engine, weight
		}
	}
	return best
}

// logSpeeds logs the engines of a service whose speeds are farthest from the mean, and counts
// them. The lock is held.
func (d *Dispatcher) logSpeeds(p *pool, now time.Time) {
	var slow, fast []*engine
	for _, e := range p.sorted {
		switch speed := e.speed(now); {
		case speed >= unusualSpeed:
			fast = append(fast, e)
		case speed <= 1/unusualSpeed:
			slow = append(slow, e)
		}
	}
	if d.Metrics != nil {
		d.Metrics.RecordUnusualEngines(p.service.Name, len(slow), len(fast))
	}
	if len(slow)+len(fast) == 0 {
		return
	}
	bySpeed := func(a, b *engine) int { return cmp.Compare(a.speed(now), b.speed(now)) }
	slices.SortFunc(slow, bySpeed)
	slices.SortFunc(fast, func(a, b *engine) int { return bySpeed(b, a) })
	format := func(engines []*engine) (out []string) {
		for _, e := range engines[:min(len(engines), maxLoggedSpeeds)] {
			out = append(out, fmt.Sprintf("%s:%.2f", e.ID, e.speed(now)))
		}
		return out
	}
	d.Log.Info("engine speeds", zap.String("service", p.service.Name), zap.Strings("slowest", format(slow)), zap.Strings("fastest", format(fast)), zap.Int("slow", len(slow)), zap.Int("fast", len(fast)), zap.Int("engines", len(p.sorted)))
}
