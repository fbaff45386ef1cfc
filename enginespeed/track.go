// This file estimates speeds from evidence.

package enginespeed

import (
	"math"
	"time"
)

// Track is the estimate of one engine's speed. The zero value is the mean speed.
type Track struct {
	// logSum and weight are the evidence relative to the service's mean, averaged over a
	// longer time.
	logSum, weight float64
	updatedAt      time.Time
	speed          float64 // 0 if nothing is known
	step           Step
	steppedAt      time.Time // when there was last enough evidence for a step
}

const (
	// smoothing is the time constant of the average, for engines whose speed hasn't changed.
	// Single answers take twice or half the expected time because of what other gateways sent
	// meanwhile, and a hundred of them show a speed within a tenth.
	smoothing = 5 * time.Second
	// usualDeviation is the standard deviation of the logarithm of one observed speed.
	usualDeviation = 0.75
	// changeDeviations is how many standard deviations the evidence must differ from its
	// average for the speed to have changed. The average then starts anew.
	changeDeviations = 3.0
	// minChangeWeight is the weight of the evidence from which a change is recognized.
	minChangeWeight = 2.0
	// priorWeight is the weight of the prior, the mean speed, in observations.
	priorWeight = 2.0
	// alike and different bound the logarithm of a speed: below alike an engine counts as
	// one of mean speed, from different on its estimate counts in full. Choices among like
	// engines must not follow the noise.
	alike     = 0.10
	different = 0.20
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
// gateways, sums[i] being that of tracks[i]. A request takes as long as usual divided by the
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
	inverse, weight := 0.0, 0.0
	for i, t := range tracks {
		t.add(sums[i].LogSum-mean*sums[i].Weight, sums[i].Weight, now)
		t.speed = 0
		if t.weight >= minWeight {
			t.speed = math.Exp(withoutNoise(t.log()))
			inverse += t.weight / t.speed
			weight += t.weight
		}
	}
	for i, t := range tracks {
		if t.speed != 0 && t.speed != 1 {
			t.speed *= inverse / weight
		}
		t.updateStep(sums[i].Weight, now)
	}
}

// add adds the evidence as of now to the average.
func (t *Track) add(logSum, weight float64, now time.Time) {
	if t.weight >= minWeight && weight >= minChangeWeight &&
		math.Abs(logSum/weight-t.logSum/t.weight) > changeDeviations*usualDeviation/math.Sqrt(weight) {
		t.logSum, t.weight, t.updatedAt = logSum/observationsPerWeight, weight/observationsPerWeight, now
		return
	}
	age := max(0, now.Sub(t.updatedAt))
	if t.updatedAt.IsZero() {
		age = 0
	}
	retained := math.Exp(-float64(age) / float64(smoothing))
	t.logSum = retained*t.logSum + (1-retained)*logSum
	t.weight = retained*t.weight + (1-retained)*weight
	t.updatedAt = now
}

// log returns the estimated logarithm of the speed.
func (t *Track) log() float64 {
	return t.logSum / (t.weight + priorWeight/observationsPerWeight)
}

// withoutNoise returns the logarithm of a speed without differences that may be noise.
func withoutNoise(log float64) float64 {
	return log * max(0, min(1, (math.Abs(log)-alike)/(different-alike)))
}
