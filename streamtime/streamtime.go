// Package streamtime estimates what the choice of an engine does to streams of a language
// model: whether an answer will be complete by its deadline there, and whether reading its
// prompt makes the streams beside it pause for too long.
//
// It answers the load of engines that differ in speed and of answers that differ in length. A
// slow or full engine generates so slowly that long answers can't end in time there, whatever
// their start, while short ones can; and a prompt that is read beside running streams delays
// each of their tokens. The results are expected shares, smooth in all inputs, so that an
// engine just beyond a limit is hardly worse than one just before it and a wrong estimate costs
// little. The caller weighs them.
package streamtime

import (
	"math"
	"time"
)

const (
	// lengthSpread is the standard deviation of the logarithm of an answer's length around
	// its estimate, which is right in the median and often well off: one of three answers is
	// longer or shorter than it by a factor of 1.6.
	lengthSpread = 0.5
	// shortestAnswer is the share of the estimated length below which answers hardly ever
	// end. If not even that much can be generated in time, the estimate is good enough to
	// reject the request, however wrong it is.
	shortestAnswer = 0.25
	// pauseSpread is the standard deviation of the logarithm of a pause around its estimate:
	// engines vary from one moment to the next, by a third in one of three pauses.
	pauseSpread = 0.3
	// pieceTokens is how many prompt tokens an engine is assumed to read between two tokens
	// of its streams. Much smaller pieces leave an accelerator idle, and larger ones only
	// make a reading worse for the streams.
	pieceTokens = 1024
)

// Stream is an answer as it is expected on one engine.
type Stream struct {
	Remaining time.Duration // until the deadline; 0 if there is none
	Wait      time.Duration // until the first event
	Tokens    int           // estimated length; 0 if not known
	TokenTime time.Duration // for each token, with all that the engine reads beside it
}

// EndsLate returns the expected share of such answers that aren't complete by the deadline.
func (s Stream) EndsLate() float64 {
	if s.Remaining <= 0 {
		return 0
	}
	return shareAbove(s.Duration(), s.Remaining-s.Wait, lengthSpread)
}

// CanEnd reports whether the answer may be complete by the deadline if the estimate of its
// length is as wrong as estimates can be.
func (s Stream) CanEnd() bool {
	return s.Remaining <= 0 || time.Duration(shortestAnswer*float64(s.Duration())) <= s.Remaining-s.Wait
}

// Duration returns the expected time from the first event to the end.
func (s Stream) Duration() time.Duration { return time.Duration(s.Tokens) * s.TokenTime }

// Reading is a prompt that an engine reads beside its streams.
type Reading struct {
	Tokens       int           // to read
	ReadPerToken time.Duration // on this engine
	TokenTime    time.Duration // of the streams
	EventTokens  int           // tokens of one event; 0 if not known
	MaxPause     time.Duration // longest acceptable pause of the streams; 0 for any
}

// Interrupts returns the expected share of the engine's streams that pause for too long because
// of the reading. It is 0 for a reading that takes less than MaxPause in all.
func (r Reading) Interrupts() float64 {
	total := time.Duration(r.Tokens) * r.ReadPerToken
	if r.MaxPause <= 0 || r.EventTokens <= 0 || total <= r.MaxPause {
		return 0
	}
	// A reading that ends within two limits delays only some of the streams' events.
	met := min(1, float64(total-r.MaxPause)/float64(r.MaxPause))
	return met * r.Delays()
}

// Delays returns the expected share of the streams' pauses that are too long while the engine
// reads piece after piece of a prompt.
func (r Reading) Delays() float64 {
	if r.MaxPause <= 0 || r.EventTokens <= 0 {
		return 0
	}
	return shareAbove(time.Duration(r.EventTokens)*(r.TokenTime+pieceTokens*r.ReadPerToken), r.MaxPause, pauseSpread)
}

// shareAbove returns the share of a lognormal distribution above a limit.
func shareAbove(median, limit time.Duration, spread float64) float64 {
	switch {
	case median <= 0:
		return 0
	case limit <= 0:
		return 1
	default:
		return math.Erfc(math.Log(float64(limit)/float64(median))/(spread*math.Sqrt2)) / 2
	}
}
