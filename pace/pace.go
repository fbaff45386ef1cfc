// Package pace estimates the throughput of engines from the duration of their
// responses.
//
// The throughput of an engine isn't declared anywhere. A LinearEstimator estimates a fixed time
// and a time per unit of work, by linear regression over recent responses; a MeanEstimator, an
// average duration. Each starts from a prior that a few responses outweigh, and discounts old
// responses. The regression also limits the effect of outliers: a response may be late because
// of a lost packet, or early because it came from a cache. Package enginespeed compares engines
// with their peers.
package pace

import (
	"math"
	"time"
)

// LinearEstimator estimates the duration of work as a fixed time plus a time per unit.
// NewLinearEstimator returns one.
type LinearEstimator struct {
	// Sums of the least-squares fit over all observations, weighted by age; x is the
	// work and y the duration in ns.
	sumWeight, sumX, sumY, sumXX, sumXY float64
	meanError                           float64 // mean absolute error, in ns
}

const (
	// observationDecay multiplies the weight of earlier observations at each new one,
	// so that about the last 50 count.
	observationDecay = 0.98
	// priorWeight is the initial weight of a prior, in observations.
	priorWeight = 2.0
	// outlierFactor times the mean absolute error is the largest residual that counts
	// in full. A larger one is clipped.
	outlierFactor = 3.0
	// minWorkShare is the share of the mean duration that is attributed to the work at least.
	// Delays for other reasons would otherwise hide what the work takes, and a queue of any
	// length would seem to cost nothing; with it, five times the usual work is expected to take
	// twice as long.
	minWorkShare = 0.25
	// errorSmoothing is the weight of the latest error.
	errorSmoothing = 0.05
	// discountedWeight is what all earlier observations together count after Discount, in
	// observations.
	discountedWeight = 0.1
	// priorErrorShare is the initial mean absolute error as a share of the prior
	// duration.
	priorErrorShare = 0.3
)

// NewLinearEstimator returns a line whose prior goes through two points: the duration fixed
// without work, and duration for the given work.
func NewLinearEstimator(fixed time.Duration, work float64, duration time.Duration) *LinearEstimator {
	l := &LinearEstimator{meanError: priorErrorShare * float64(duration)}
	l.add(0, float64(fixed), priorWeight)
	l.add(work, float64(duration), priorWeight)
	return l
}

func (l *LinearEstimator) add(x, y, weight float64) {
	l.sumWeight += weight
	l.sumX += weight * x
	l.sumY += weight * y
	l.sumXX += weight * x * x
	l.sumXY += weight * x * y
}

// Observe adds an observation: the duration of the given work.
func (l *LinearEstimator) Observe(work float64, duration time.Duration) {
	expected := float64(l.Estimate(work))
	residual := float64(duration) - expected
	bound := outlierFactor * l.meanError
	l.meanError += errorSmoothing * (min(math.Abs(residual), 2*bound) - l.meanError)
	residual = max(-bound, min(bound, residual))
	for _, sum := range []*float64{&l.sumWeight, &l.sumX, &l.sumY, &l.sumXX, &l.sumXY} {
		*sum *= observationDecay
	}
	l.add(work, expected+residual, 1)
}

// Discount lets all earlier observations together count less than one, so that the next one
// corrects an estimate that may be out of date.
func (l *LinearEstimator) Discount() {
	factor := min(1, discountedWeight/l.sumWeight)
	for _, sum := range []*float64{&l.sumWeight, &l.sumX, &l.sumY, &l.sumXX, &l.sumXY} {
		*sum *= factor
	}
}

// PerUnit returns the estimated time per unit of work, in ns. It is never negative, and never
// less than minWorkShare allows.
func (l *LinearEstimator) PerUnit() float64 {
	if l.sumX <= 0 {
		return 0
	}
	least := minWorkShare * max(0, l.sumY) / l.sumX
	determinant := l.sumWeight*l.sumXX - l.sumX*l.sumX
	if determinant <= 0 {
		return least
	}
	return max(least, (l.sumWeight*l.sumXY-l.sumX*l.sumY)/determinant)
}

// Fixed returns the estimated time without work. It is never negative.
func (l *LinearEstimator) Fixed() time.Duration {
	return time.Duration(max(0, (l.sumY-l.PerUnit()*l.sumX)/l.sumWeight))
}

// Estimate returns the expected duration of the given work.
func (l *LinearEstimator) Estimate(work float64) time.Duration {
	return l.Fixed() + time.Duration(l.PerUnit()*work)
}

// MeanError returns the mean absolute error of the expected duration.
func (l *LinearEstimator) MeanError() time.Duration { return time.Duration(l.meanError) }

// MeanEstimator estimates an average duration. NewMeanEstimator returns one.
type MeanEstimator struct {
	sumWeight, sum float64
	meanError      float64 // mean absolute error, in ns
}

// NewMeanEstimator returns a mean with the given prior.
func NewMeanEstimator(prior time.Duration) *MeanEstimator {
	return &MeanEstimator{sumWeight: priorWeight, sum: priorWeight * float64(prior), meanError: priorErrorShare * float64(prior)}
}

// Observe adds an observation.
func (m *MeanEstimator) Observe(duration time.Duration) {
	m.meanError += errorSmoothing * (math.Abs(float64(duration-m.Value())) - m.meanError)
	m.sum = observationDecay*m.sum + float64(duration)
	m.sumWeight = observationDecay*m.sumWeight + 1
}

// Discount lets all earlier observations together count less than one, so that the next one
// corrects an estimate that may be out of date.
func (m *MeanEstimator) Discount() {
	factor := min(1, discountedWeight/m.sumWeight)
	m.sum *= factor
	m.sumWeight *= factor
}

// Value returns the estimated mean.
func (m *MeanEstimator) Value() time.Duration { return time.Duration(m.sum / m.sumWeight) }

// MeanError returns the mean absolute deviation from the mean.
func (m *MeanEstimator) MeanError() time.Duration { return time.Duration(m.meanError) }
