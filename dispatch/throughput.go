// This file estimates the throughput of one service's engines.

package dispatch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/pace"
)

// Throughput describes how fast a service's engines are expected to answer.
type Throughput struct {
	_              struct{}      `cbor:",toarray"`
	Overhead       time.Duration // time until the first event, in addition to reading the prompt
	ReadPerToken   time.Duration // to read one prompt token
	OutputPerToken time.Duration // to generate one token of the answer
	SlotTime       time.Duration // how long a request occupies its slot
}

// Estimates before the first answers. About ten answers outweigh them. Engines of two
// accelerators read 30 to 60 tokens per millisecond and generate one in 4 to 10 ms.
const (
	priorOverhead       = 20 * time.Millisecond
	priorReadTokens     = 9000
	priorReadTime       = 250 * time.Millisecond // for priorReadTokens
	priorOutputPerToken = 8 * time.Millisecond
	priorModelSlotTime  = 2 * time.Second       // with a model
	priorPlainSlotTime  = 20 * time.Millisecond // without a model
)

// throughputEstimator estimates the Throughput of a service's engines from their answers.
// The Dispatcher's lock guards it.
type throughputEstimator struct {
	firstEvent     *pace.LinearEstimator // time until the first event, by the tokens to be read before it
	outputPerToken *pace.MeanEstimator
	slotTime       *pace.MeanEstimator

	model      bool      // the service's engines run a model
	answers    int       // number of answers used
	answeredAt time.Time // when one of them last began or ended
	trials     trials
}

func newThroughputEstimator(model bool) *throughputEstimator {
	slotTime := priorPlainSlotTime
	if model {
		slotTime = priorModelSlotTime
	}
	return &throughputEstimator{
		firstEvent:     pace.NewLinearEstimator(priorOverhead, priorReadTokens, priorOverhead+priorReadTime),
		outputPerToken: pace.NewMeanEstimator(priorOutputPerToken), slotTime: pace.NewMeanEstimator(slotTime), model: model,
	}
}

// current returns the current estimate.
func (s *throughputEstimator) current() Throughput {
	return Throughput{Overhead: s.firstEvent.Fixed(), ReadPerToken: time.Duration(s.firstEvent.PerUnit()), OutputPerToken: s.outputPerToken.Value(), SlotTime: s.slotTime.Value()}
}

// usualError returns the mean error of the estimated time until an answer begins. Without
// a model the whole answer arrives at once, when the request frees its slot.
func (s *throughputEstimator) usualError() time.Duration {
	if s.model {
		return s.firstEvent.MeanError()
	}
	return s.slotTime.MeanError()
}

// logEstimates logs the throughput of each service and the round trip to each other
// region. The lock is held.
func (d *Dispatcher) logEstimates() {
	for _, service := range slices.Sorted(maps.Keys(d.pools)) {
		estimator := d.pools[service].throughput
		t := estimator.current()
		d.Log.Info("throughput estimate", zap.String("service", service), zap.Duration("fixed", t.Overhead), zap.Duration("token_read", t.ReadPerToken),
			zap.Duration("token_out", t.OutputPerToken), zap.Duration("hold", t.SlotTime), zap.Duration("usual_error", estimator.usualError()), zap.Int("answers", estimator.answers))
		d.logSpeeds(d.pools[service], d.Clock())
	}
	for _, region := range slices.Sorted(maps.Keys(d.remotes)) {
		roundTrip, known := d.RoundTripTo(region)
		d.Log.Info("round-trip estimate", zap.String("region", region), zap.Duration("round_trip", roundTrip), zap.Bool("known", known), zap.Duration("word_age", d.Clock().Sub(d.remotes[region].reportedAt)))
	}
}

// recordFirstEvent updates the estimates with the time until an answer's first event. It
// does so only if the engine was warm and had a free slot, and this process ran all the
// time: then nothing but the reading of prompts precedes the event.
func (t *Ticket) recordFirstEvent(now time.Time) {
	if t.Cold || t.queued || t.TransferFrom != "" || t.pool.service.Model == nil || t.dispatcher.wasSuspended(t.sentAt) {
		return
	}
	t.pool.throughput.answeredAt = now
	took := now.Sub(t.sentAt)
	firstEvent := t.pool.throughput.firstEvent
	t.engine.speeds.own.ObserveFirstEvent(firstEvent.Estimate(t.readTokens), took, firstEvent.MeanError(), t.engine.speed(now), now)
	// Fast engines are sent more to read, and would make reading seem to take no time.
	firstEvent.Observe(t.readTokens, time.Duration(float64(took)*t.engine.speed(now)))
}

// recordCompletion updates the estimates with a complete answer. now counts as its end
// unless RecordLastByte was called.
func (t *Ticket) recordCompletion(now time.Time) {
	if t.Cold || t.queued || t.firstEventAt.IsZero() || t.dispatcher.wasSuspended(t.sentAt) {
		return
	}
	if !t.lastByteAt.IsZero() {
		now = t.lastByteAt
	}
	t.pool.throughput.answers++
	t.pool.throughput.answeredAt = now
	t.pool.throughput.slotTime.Observe(now.Sub(t.sentAt))
	if t.outputTokens > 0 {
		t.pool.throughput.outputPerToken.Observe(now.Sub(t.firstEventAt) / time.Duration(t.outputTokens))
		t.recordStreamed(now)
	}
}
