// Package enginespeed estimates how fast each engine of a service is, relative to the
// service's mean, from what all gateways of a region see together.
//
// It answers a region whose engines differ in speed and whose gateways are many: each
// gateway sees few answers of each engine, and by itself learns too little before the load
// has changed. A gateway keeps an Evidence for each engine that it uses, decayed sums that
// add up over gateways (Sum). Update turns the sums of all engines of a service into
// estimates (Track). They are relative to each other, so that an error that all gateways share, such
// as a service's time that isn't known yet, makes no engine seem fast or slow.
//
// An answer's first event shows the engine's speed: the expected duration contains all
// reading that was queued before it, so that an engine that is only full doesn't seem slow.
// The time between later events depends on what else the engine does at the time, and is
// kept apart.
package enginespeed

import (
	"math"
	"time"
)

const (
	// timeConstant is the time after which past observations count about a third (1/e). A
	// change of an engine's speed is to be known within two seconds of traffic, when the
	// observations before it count an eighth.
	timeConstant = time.Second
	// minRatio and maxRatio bound one observed speed relative to the estimate: a lost packet, or a long prompt that
	// another gateway has just sent, doesn't make an engine slow.
	minRatio = 0.15
	maxRatio = 8.0
	// jitterShare is the share of the usual error that counts on both sides of a ratio, so
	// that a few milliseconds don't matter where little is to be read.
	jitterShare = 0.125
	// minGatewayWeight and lonelyWeight bound what one gateway's observations of an engine
	// weigh, so that those of a gateway that measures wrongly don't outweigh the others'. A
	// lone gateway's may weigh lonelyWeight, two gateways' half of it each, and so on.
	minGatewayWeight = 4.0
	lonelyWeight     = 16.0
	// minTokens is the number of tokens from which the time per token is known. Steps vary
	// with the prompts that an engine reads at the same time.
	minTokens = 40
)

// Evidence is what one gateway has lately seen of one engine. The zero value has seen
// nothing.
type Evidence struct {
	sum       Sum
	updatedAt time.Time
}

// Sum is evidence of one or more gateways at one moment.
type Sum struct {
	// LogSum and Weight are the sums of a regression through the origin: of the logarithms
	// of the observed speeds on how much each observation shows of the speed.
	LogSum, Weight float64
	// TokenTime is how long streams took for the Tokens after their first events.
	TokenTime time.Duration
	Tokens    float64
}

// ObserveFirstEvent adds the time until an answer's first event, and the expected time at
// the service's mean speed. usualError is the mean error of the expected time, and speed the
// estimated speed of the engine, around which the observation is bounded.
func (e *Evidence) ObserveFirstEvent(expected, took, usualError time.Duration, speed float64, now time.Time) {
	jitter := jitterShare * float64(max(usualError, 0))
	expectedTime, time := float64(max(expected, 1))+jitter, float64(max(took, 1))+jitter
	observed := math.Log(speed * max(minRatio, min(maxRatio, expectedTime/time/speed)))
	// Jitter on both sides makes the engine seem closer to the mean than it is, by about the
	// mean of its shares in both.
	shown := 1 - jitter/2*(1/expectedTime+1/time)
	e.decay(now)
	e.sum.LogSum += shown * observed
	e.sum.Weight += shown * shown
}

// ObserveTokens adds the time in which a stream got so many tokens after its first event.
func (e *Evidence) ObserveTokens(tokens int, took time.Duration, now time.Time) {
	e.decay(now)
	e.sum.TokenTime += took
	e.sum.Tokens += float64(tokens)
}

func (e *Evidence) decay(now time.Time) {
	e.sum = e.sum.times(decayFactor(now.Sub(e.updatedAt)))
	e.updatedAt = now
}

func decayFactor(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// Sum returns the evidence as of now, to be added to that of the region's other gateways.
// gateways is the number of all.
func (e Evidence) Sum(gateways int, now time.Time) Sum {
	s := e.sum.times(decayFactor(now.Sub(e.updatedAt)))
	if limit := max(minGatewayWeight, lonelyWeight/float64(max(1, gateways))); s.Weight > limit {
		s.LogSum *= limit / s.Weight
		s.Weight = limit
	}
	return s
}

func (s Sum) times(factor float64) Sum {
	return Sum{s.LogSum * factor, s.Weight * factor, time.Duration(float64(s.TokenTime) * factor), s.Tokens * factor}
}

// Plus returns the sum with the evidence of further gateways.
func (s Sum) Plus(o Sum) Sum {
	return Sum{s.LogSum + o.LogSum, s.Weight + o.Weight, s.TokenTime + o.TokenTime, s.Tokens + o.Tokens}
}

// PerToken returns how long the engine's streams have lately taken for each token; 0 if that
// isn't known.
func (s Sum) PerToken() time.Duration {
	if s.Tokens < minTokens {
		return 0
	}
	return time.Duration(float64(s.TokenTime) / s.Tokens)
}
