// This file defines what is learned of the speed of one service's engines.

package dispatch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pace"
)

// Throughput is how fast the engines of a service are expected to work.
type Throughput struct {
	_              struct{}      `cbor:",toarray"`
	Overhead       time.Duration // until the first event, beside the reading
	ReadPerToken   time.Duration // to read one token of a prompt
	OutputPerToken time.Duration // to give one token of an answer
	SlotTime       time.Duration // that a request holds its slot
}

// Beliefs before the first answers, which replace them: some ten answers count more
// than these. Engines of two accelerators read 30 to 60 tokens in a millisecond and
// give one in 4 to 10.
const (
	priorOverhead       = 20 * time.Millisecond
	priorReadTokens     = 9000
	priorReadTime       = 250 * time.Millisecond // to read so many tokens
	priorOutputPerToken = 8 * time.Millisecond
	priorModelSlotTime  = 2 * time.Second       // of a model's request
	priorPlainSlotTime  = 20 * time.Millisecond // of any other
)

// throughputEstimator learns the Throughput of a service's engines. It is guarded by the Dispatcher's
// lock; newThroughputEstimator makes one.
type throughputEstimator struct {
	firstEvent     *pace.Line // time until the first event, by the tokens to be read until then
	outputPerToken *pace.Mean
	slotTime       *pace.Mean

	model   bool // the service's engines run one
	answers int  // that something was learned from
}

func newThroughputEstimator(model bool) *throughputEstimator {
	slotTime := priorPlainSlotTime
	if model {
		slotTime = priorModelSlotTime
	}
	return &throughputEstimator{
		firstEvent:     pace.NewLine(priorOverhead, priorReadTokens, priorOverhead+priorReadTime),
		outputPerToken: pace.NewMean(priorOutputPerToken), slotTime: pace.NewMean(slotTime), model: model,
	}
}

// throughput gives what is believed now.
func (s *throughputEstimator) throughput() Throughput {
	return Throughput{Overhead: s.firstEvent.Fixed(), ReadPerToken: time.Duration(s.firstEvent.PerUnit()), OutputPerToken: s.outputPerToken.Value(), SlotTime: s.slotTime.Value()}
}

// usualError gives by how much the expected time until an answer begins is usually off.
// Without a model the whole answer comes at once, when the request leaves its slot.
func (s *throughputEstimator) usualError() time.Duration {
	if s.model {
		return s.firstEvent.Error()
	}
	return s.slotTime.Error()
}

// logEstimates logs what is believed of the engines' speeds, and of the way to the other
// regions. The lock is held.
func (d *Dispatcher) logEstimates() {
	for _, service := range slices.Sorted(maps.Keys(d.pools)) {
		estimator := d.pools[service].throughput
		t := estimator.throughput()
		d.Log.Info("speeds believed", zap.String("service", service), zap.Duration("fixed", t.Overhead), zap.Duration("token_read", t.ReadPerToken),
			zap.Duration("token_out", t.OutputPerToken), zap.Duration("hold", t.SlotTime), zap.Duration("usual_error", estimator.usualError()), zap.Int("answers", estimator.answers))
	}
	for _, region := range slices.Sorted(maps.Keys(d.remotes)) {
		roundTrip, known := d.Trip(region)
		d.Log.Info("trip believed", zap.String("region", region), zap.Duration("round_trip", roundTrip), zap.Bool("known", known), zap.Duration("word_age", d.Clock().Sub(d.remotes[region].reportedAt)))
	}
}

// recordFirstEvent learns from the begin of an answer, if the engine wasn't cold and had
// a slot free: then only the reading of prompts comes before it.
func (t *Ticket) recordFirstEvent(now time.Time) {
	if t.Cold || t.queued || t.CopyFrom != "" || t.pool.service.Model == nil {
		return
	}
	took := now.Sub(t.sentAt)
	estimate := t.pool.throughput.firstEvent
	// An error that is usual says nothing of the engine.
	usualError := estimate.Error()
	t.engine.slowdown.Note(estimate.At(t.readTokens)+usualError, took+usualError, now)
	estimate.Note(t.readTokens, took)
}

// recordCompletion learns from a whole answer.
func (t *Ticket) recordCompletion(now time.Time) {
	if t.Cold || t.queued || t.firstEventAt.IsZero() {
		return
	}
	t.pool.throughput.answers++
	t.pool.throughput.slotTime.Note(now.Sub(t.sentAt))
	if t.outputTokens > 0 {
		t.pool.throughput.outputPerToken.Note(now.Sub(t.firstEventAt) / time.Duration(t.outputTokens))
	}
}
