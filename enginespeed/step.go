// This file defines steps of speed.

package enginespeed

import (
	"math"
	"time"
)

// Step is a speed in few steps, for decisions that all gateways must take alike and that
// cost something to change. The zero value is the mean speed.
type Step int8

const (
	// stepLog is the logarithm of the ratio of two steps, about 5 to 4.
	stepLog = 0.223
	// stepMargin is by how many steps an estimate must be beyond the boundary between two
	// for the step to change.
	stepMargin = 0.25
	// MaxStep is the highest step, and -MaxStep the lowest: a quarter of the mean speed, and
	// four times it.
	MaxStep = 6
	// minStepWeight is the weight of the evidence from which a step may change. It keeps
	// the homes of prompts where they are while there is little traffic.
	minStepWeight = 3.0
	// stepHoldTime is how long a step lasts without enough evidence.
	stepHoldTime = 10 * time.Second
)

// Speed returns the speed of the step.
func (s Step) Speed() float64 { return math.Exp(float64(s) * stepLog) }

// updateStep changes the step if the speed is clearly beyond it. weight is that of the
// latest evidence.
func (t *Track) updateStep(weight float64, now time.Time) {
	if weight < minStepWeight {
		if now.Sub(t.steppedAt) > stepHoldTime {
			t.step = 0
		}
		return
	}
	t.steppedAt = now
	if steps := math.Log(t.Speed()) / stepLog; math.Abs(steps-float64(t.step)) > 0.5+stepMargin {
		t.step = Step(max(-MaxStep, min(MaxStep, math.Round(steps))))
	}
}
