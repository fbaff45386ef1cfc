// Package health computes the health of each engine of a pool from all available
// sources.
//
// There are five sources: the platform's list of hosts, which lags; the
// operator's label; this host's probes; errors and broken responses of real
// requests; and the engine's latency compared with its peers. Each of the first
// three alone makes an engine unhealthy. The last two only mark outliers. An
// outlier is ejected only while at least half of the pool stays, because a fault
// that all engines show has another cause than the engines. A request that an
// engine sheds because of load doesn't count as a failure.
//
// An engine that recovers gets a rising share of its slots, because its cache is
// cold and all requests that wait for its peers would move to it at once.
package health

import (
	"sort"
	"time"

	"github.com/linenscale/linenscale/route"
)

// Parameters of the evaluation.
const (
	// smoothing is the weight of the latest observation.
	smoothing = 0.15
	// outlierFailureRate is the smoothed failure rate above which an engine is an
	// outlier.
	outlierFailureRate = 0.5
	// minObservations is the number of observations needed before an engine can
	// be an outlier.
	minObservations = 5
	// slowFactor is the multiple of the median latency above which an engine is
	// an outlier.
	slowFactor = 4
	// probationLength is the number of successes that end the probation after an
	// ejection.
	probationLength = 5
	// unreachableAfter is the number of consecutive failed probes that make an
	// engine unreachable.
	unreachableAfter = 2
	// baseEjection is the duration of the first ejection. It doubles with each
	// further ejection, up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = 80 * time.Second
	// RampTime is how long a recovered engine takes to get all its slots back.
	RampTime = 10 * time.Second
	// initialRamp is the share of slots at the start of the ramp.
	initialRamp = 0.1
)

// Tracker tracks the health of one engine. The zero value is a healthy engine
// without observations. It is not safe for concurrent use.
type Tracker struct {
	draining bool
	stopping bool

	failedProbes int // consecutive failures
	failureRate  float64
	latency      float64 // smoothed time to the first byte, in seconds
	observations int

	ejectedUntil time.Time
	ejections    int
	probation    int // successes still needed after an ejection
	recoveredAt  time.Time
	previous     route.Health
}

// Outcome is the result of a real request at an engine.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // connection error, or a broken or invalid response
	Shed              // rejected by the engine because of load
	Abandoned         // cancelled by the caller, which doesn't concern the engine
)

// RecordOutcome records the outcome of a real request and, for a success, the time to
// the first byte.
func (e *Tracker) RecordOutcome(outcome Outcome, firstByte time.Duration) {
	switch outcome {
	case Shed, Abandoned:
		return
	case Failed:
		e.failureRate += smoothing * (1 - e.failureRate)
		if e.probation > 0 {
			e.failureRate, e.observations = 1, minObservations
		}
	default:
		e.failureRate -= smoothing * e.failureRate
		e.countProbationSuccess()
		e.observeLatency(firstByte.Seconds())
		e.failedProbes = 0
	}
	e.observations++
}

// countProbationSuccess counts a success after an ejection. On probation, a single
// failure ejects the engine again, for twice as long.
func (e *Tracker) countProbationSuccess() {
	if e.probation == 0 {
		return
	}
	e.probation--
	if e.probation == 0 {
		e.ejections = 0
	}
}

func (e *Tracker) observeLatency(seconds float64) {
	if e.latency == 0 {
		e.latency = seconds
		return
	}
	e.latency += smoothing * (seconds - e.latency)
}

// RecordProbe records the result of a probe.
func (e *Tracker) RecordProbe(ok bool) {
	if ok {
		e.failedProbes = 0
		return
	}
	e.failedProbes++
}

// SetDraining sets whether the engine's host is being reclaimed according to the
// platform's list.
func (e *Tracker) SetDraining(draining bool) { e.draining = draining }

// SetStopping sets whether an operator's label tells the engine to stop.
func (e *Tracker) SetStopping(stopping bool) { e.stopping = stopping }

// Latency returns the smoothed time to the first byte, or 0 if no request has
// succeeded since the last ejection.
func (e *Tracker) Latency() time.Duration {
	return time.Duration(e.latency * float64(time.Second))
}

// Evaluate returns the health of each engine of a pool, at the same index. It may
// start or end ejections.
func Evaluate(pool []*Tracker, now time.Time) []route.Health {
	out := make([]route.Health, len(pool))
	for i, e := range pool {
		out[i] = e.individualHealth(now)
	}
	ejectOutliers(pool, out, now)
	for i, e := range pool {
		e.recordHealth(out[i], now)
	}
	return out
}

// individualHealth returns the health of the engine without a comparison with its
// peers.
func (e *Tracker) individualHealth(now time.Time) route.Health {
	switch {
	case e.stopping:
		return route.Stopping
	case e.draining:
		return route.Draining
	case e.failedProbes >= unreachableAfter:
		return route.Unreachable
	case now.Before(e.ejectedUntil):
		return route.Ejected
	default:
		return route.Healthy
	}
}

// ejectOutliers ejects outliers, worst first, as long as at least half of the
// usable engines (healthy or ejected) stay healthy. If earlier ejections leave
// fewer healthy, it ends ejections, best engine first.
func ejectOutliers(pool []*Tracker, out []route.Health, now time.Time) {
	usable, healthy := 0, 0
	for _, h := range out {
		if h == route.Healthy || h == route.Ejected {
			usable++
		}
		if h == route.Healthy {
			healthy++
		}
	}
	minHealthy := (usable + 1) / 2
	median := medianLatency(pool, out)
	for _, i := range worstFirst(pool) {
		if out[i] == route.Healthy && healthy > minHealthy && pool[i].isOutlier(median) {
			out[i] = route.Ejected
			pool[i].startEjection(now)
			healthy--
		}
	}
	order := worstFirst(pool)
	for k := len(order) - 1; k >= 0 && healthy < minHealthy; k-- {
		if i := order[k]; out[i] == route.Ejected {
			out[i] = route.Healthy
			pool[i].ejectedUntil = time.Time{}
			healthy++
		}
	}
}

func (e *Tracker) isOutlier(median float64) bool {
	if e.observations < minObservations {
		return false
	}
	return e.failureRate > outlierFailureRate || (median > 0 && e.latency > slowFactor*median)
}

func (e *Tracker) startEjection(now time.Time) {
	duration := min(baseEjection<<min(e.ejections, 4), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(duration)
	e.observations, e.failureRate, e.latency = 0, 0, 0
	e.probation = probationLength
}

// worstFirst returns the indexes of the pool ordered by failure rate, then by
// latency, highest first.
func worstFirst(pool []*Tracker) []int {
	order := make([]int, len(pool))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := pool[order[a]], pool[order[b]]
		if x.failureRate != y.failureRate {
			return x.failureRate > y.failureRate
		}
		return x.latency > y.latency
	})
	return order
}

// medianLatency returns the median latency of the healthy engines in seconds, or 0
// if fewer than three have one.
func medianLatency(pool []*Tracker, out []route.Health) float64 {
	var all []float64
	for i, e := range pool {
		if out[i] == route.Healthy && e.latency > 0 {
			all = append(all, e.latency)
		}
	}
	if len(all) < 3 {
		return 0
	}
	sort.Float64s(all)
	return all[len(all)/2]
}

// recordHealth stores the health and starts the ramp when an engine becomes
// healthy again. An engine that was always healthy gets no ramp, nor does one
// whose stopping label was removed, because it has been serving all the time.
func (e *Tracker) recordHealth(h route.Health, now time.Time) {
	if h == route.Healthy && e.previous != route.Healthy && e.previous != route.Stopping {
		e.recoveredAt = now
	}
	e.previous = h
}

// Ramp returns the share of its slots that the engine may use, 0 to 1.
func (e *Tracker) Ramp(now time.Time) float64 {
	if e.recoveredAt.IsZero() {
		return 1
	}
	return min(1, initialRamp+(1-initialRamp)*float64(now.Sub(e.recoveredAt))/float64(RampTime))
}
