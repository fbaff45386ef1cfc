// This file estimates speeds from evidence.

package enginespeed

import (
	"math"
	"slices"
	"time"
)

// Track is the estimate of one engine's speed. The zero value is the mean speed.
type Track struct {
	// logSum and weight are the evidence relative to the service's mean, averaged over a
	// longer time.
	logSum, weight float64
	updatedAt      time.Time
	changedAt      time.Time // when the speed last changed
	speed          float64   // 0 if nothing is known
	step           Step
	steppedAt      time.Time // when there was last enough evidence for a step
}

const (
	// smoothing is the time constant of the average, for engines whose speed hasn't changed.
	// Single answers take twice or half the expected time because of what other gateways sent
	// meanwhile, and a hundred of them show a speed within a tenth.
	smoothing = 4 * time.Second
	// minDeviation and maxDeviation bound the standard deviation of the logarithm of one
	// observed speed, which depends on how well gateways know each other's requests.
	minDeviation = 0.5
	maxDeviation = 1.0
	// minDeviationEngines is the number of engines from which it is estimated.
	minDeviationEngines = 4
	// changeDeviations is how many standard deviations the evidence must differ from its
	// average for the speed to have changed. The average then starts anew.
	changeDeviations = 3.0
	// settleTime is how long after a change the average doesn't include what was before: until
	// an eighth of the evidence is of the former speed.
	settleTime = 2 * timeConstant
	// minChangeWeight is the weight of the evidence from which a change is recognized.
	minChangeWeight = 2.0
	// priorWeight is the weight of the prior, the mean speed, in observations. It is small
	// since differences within the standard error don't count.
	priorWeight = 0.5
	// alike bounds the logarithm of a speed below which an engine counts as one of mean speed,
	// or its standard error if that is more; from twice the bound on the estimate counts in
	// full. Choices among like engines must not follow the noise.
	alike = 0.10
	// observationsPerWeight is how many observations a unit of the averaged weight stands
	// for, of which each counted for timeConstant.
	observationsPerWeight = 1 + float64(smoothing)/float64(timeConstant)
)

// Speed returns how fast the engine is relative to the service's mean; 1 if that isn't known.
func (t Track) Speed() float64 {
	if t.speed == 0 {
		return 1
	}
	return t.speed
}

// Step returns the engine's speed in steps.
func (t Track) Step() Step { return t.step }

// IsIdle reports whether nothing is known of the engine.
func (t Track) IsIdle() bool { return t.weight < minWeight && t.step == 0 }

// minWeight is the weight below which evidence is forgotten.
const minWeight = 0.02

// Update updates the estimates of the engines of one service with the evidence of all
// gateways, sums[i] being that of tracks[i]; it changes both. A request takes as long as usual divided by the
// speed of its engine: the mean of the inverse speeds, weighted by the observations, is 1,
// since the service's usual times are means over its answers.
func Update(tracks []*Track, sums []Sum, now time.Time) {
	var total Sum
	for _, s := range sums {
		total = total.Plus(s)
	}
	mean := 0.0
	if total.Weight > 0 {
		mean = total.LogSum / total.Weight
	}
	for i := range sums {
		sums[i].LogSum -= mean * sums[i].Weight
	}
	deviation := deviationOf(tracks, sums)
	inverse, weight := 0.0, 0.0
	for i, t := range tracks {
		t.add(sums[i], deviation, now)
		t.speed = 0
		if t.weight >= minWeight {
			t.speed = math.Exp(t.logSum / (t.weight + priorWeight/observationsPerWeight))
			inverse += t.weight / t.speed
			weight += t.weight
		}
	}
	for i, t := range tracks {
		if t.speed != 0 {
			t.speed = t.withoutNoise(t.speed*inverse/weight, deviation)
		}
		t.updateStep(sums[i].Weight, now)
	}
}

// deviationOf estimates the standard deviation of the logarithm of one observed speed from the
// differences between the latest evidence and its averages. Few engines that have changed
// don't move the median.
func deviationOf(tracks []*Track, sums []Sum) float64 {
	differences := make([]float64, 0, len(tracks))
	for i, t := range tracks {
		if t.weight >= minWeight && sums[i].Weight >= minChangeWeight {
			differences = append(differences, math.Abs(t.difference(sums[i]))*math.Sqrt(sums[i].Weight))
		}
	}
	if len(differences) < minDeviationEngines {
		return maxDeviation
	}
	slices.Sort(differences)
	// The median of a normal variable's magnitude is 0.67 standard deviations. The averages
	// contain part of the evidence.
	const deviationsPerMedian = 2
	return max(minDeviation, min(maxDeviation, deviationsPerMedian*differences[len(differences)/2]))
}

// difference returns by how much the logarithm of the speed in the evidence differs from its
// average.
func (t *Track) difference(s Sum) float64 { return s.LogSum/s.Weight - t.logSum/t.weight }

// add adds the evidence as of now to the average.
func (t *Track) add(s Sum, deviation float64, now time.Time) {
	if t.weight >= minWeight && s.Weight >= minChangeWeight && math.Abs(t.difference(s)) > changeDeviations*deviation/math.Sqrt(s.Weight) {
		t.changedAt = now
	}
	retained := math.Exp(-float64(max(0, now.Sub(t.updatedAt))) / float64(smoothing))
	t.logSum = retained*t.logSum + (1-retained)*s.LogSum
	t.weight = retained*t.weight + (1-retained)*s.Weight
	t.updatedAt = now
	if latest := s.Weight / observationsPerWeight; now.Sub(t.changedAt) < settleTime || t.weight < latest {
		t.logSum, t.weight = s.LogSum/observationsPerWeight, latest
	}
}

// withoutNoise returns a speed without a difference from the mean that may be noise.
func (t *Track) withoutNoise(speed, deviation float64) float64 {
	log := math.Log(speed)
	bound := max(alike, deviation/math.Sqrt(t.weight*observationsPerWeight))
	return math.Exp(log * max(0, min(1, math.Abs(log)/bound-1)))
}
