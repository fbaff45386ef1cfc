// This file defines what is learned of the speed of one service's engines.

package dispatch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pace"
)

// Speed is how fast the engines of a service are expected to work.
type Speed struct {
	_     struct{}      `cbor:",toarray"`
	Fixed time.Duration // until the first event, beside the reading
	Token time.Duration // to read one token of a prompt
	Out   time.Duration // to give one token of an answer
	Hold  time.Duration // that a request holds its slot
}

// Beliefs before the first answers, which replace them: some ten answers count more
// than these. Engines of two accelerators read 30 to 60 tokens in a millisecond and
// give one in 4 to 10.
const (
	believedFixed  = 20 * time.Millisecond
	believedTokens = 9000
	believedRead   = 250 * time.Millisecond // to read so many tokens
	believedOut    = 8 * time.Millisecond
	believedHold   = 2 * time.Second       // of a model's request
	believedPlain  = 20 * time.Millisecond // of any other
)

// speeds learns the Speed of a service's engines. It is guarded by the Dispatcher's
// lock; newSpeeds makes one.
type speeds struct {
	first *pace.Line // time until the first event, by the tokens to be read until then
	out   *pace.Mean
	hold  *pace.Mean

	model   bool // the service's engines run one
	answers int  // that something was learned from
}

func newSpeeds(model bool) *speeds {
	hold := believedPlain
	if model {
		hold = believedHold
	}
	return &speeds{
		first: pace.NewLine(believedFixed, believedTokens, believedFixed+believedRead),
		out:   pace.NewMean(believedOut), hold: pace.NewMean(hold), model: model,
	}
}

// speed gives what is believed now.
func (s *speeds) speed() Speed {
	return Speed{Fixed: s.first.Fixed(), Token: time.Duration(s.first.PerUnit()), Out: s.out.Value(), Hold: s.hold.Value()}
}

// doubt gives by how much the expected time until an answer begins is usually off.
// Without a model the whole answer comes at once, when the request leaves its slot.
func (s *speeds) doubt() time.Duration {
	if s.model {
		return s.first.Error()
	}
	return s.hold.Error()
}

// logBeliefs logs what is believed of the engines' speeds, and of the way to the other
// regions. The lock is held.
func (d *Dispatcher) logBeliefs() {
	for _, service := range slices.Sorted(maps.Keys(d.pools)) {
		speeds := d.pools[service].speeds
		now := speeds.speed()
		d.Log.Info("speeds believed", zap.String("service", service), zap.Duration("fixed", now.Fixed), zap.Duration("token_read", now.Token),
			zap.Duration("token_out", now.Out), zap.Duration("hold", now.Hold), zap.Duration("usual_error", speeds.doubt()), zap.Int("answers", speeds.answers))
	}
	for _, region := range slices.Sorted(maps.Keys(d.far)) {
		roundTrip, known := d.Trip(region)
		d.Log.Info("trip believed", zap.String("region", region), zap.Duration("round_trip", roundTrip), zap.Bool("known", known), zap.Duration("word_age", d.Clock().Sub(d.far[region].at)))
	}
}

// learnBegun learns from the begin of an answer, if the engine wasn't cold and had
// a slot free: then only the reading of prompts comes before it.
func (t *Ticket) learnBegun(now time.Time) {
	if t.Cold || t.queued || t.CopyFrom != "" || t.pool.service.Model == nil {
		return
	}
	took := now.Sub(t.began)
	line := t.pool.speeds.first
	// An error that is usual says nothing of the engine.
	usual := line.Error()
	t.engine.slow.Note(line.At(t.work)+usual, took+usual, now)
	line.Note(t.work, took)
}

// learnEnd learns from a whole answer.
func (t *Ticket) learnEnd(now time.Time) {
	if t.Cold || t.queued || t.firstAt.IsZero() {
		return
	}
	t.pool.speeds.answers++
	t.pool.speeds.hold.Note(now.Sub(t.began))
	if t.out > 0 {
		t.pool.speeds.out.Note(now.Sub(t.firstAt) / time.Duration(t.out))
	}
}
