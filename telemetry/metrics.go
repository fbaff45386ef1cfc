package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds the instruments of one process. NewMetrics creates it. It is safe for
// concurrent use.
type Metrics struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	requests        metric.Int64Counter
	attempts        metric.Int64Counter
	firstByte       metric.Float64Histogram
	queueTime       metric.Float64Histogram
	inFlight        metric.Int64UpDownCounter
	changes         metric.Int64Counter
	revision        metric.Int64Gauge
	predictionError metric.Float64Histogram
	accountRequests metric.Int64Counter
	engineCrashes   metric.Int64Counter
	crashedRequests metric.Int64Counter
	limitEvents     metric.Int64Counter
	pushbackEvents  metric.Int64Counter
	trafficBytes    metric.Int64Counter
	continuations   metric.Int64Counter
	streamSearches  metric.Int64Counter
	partQuarantines metric.Int64Counter
	unusualEngines  metric.Int64Gauge
	putAfter        metric.Int64Counter
	promises        metric.Int64Counter
	ownLoad         metric.Int64Gauge
	accountLabels   labelSet // the accounts that have counters of their own
	engineLabels    labelSet // the engines that have counters of their own
}

// NewMetrics creates the instruments, and a scrape handler with a registry of its own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Annotate(err, "create metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	meter := provider.Meter("linenscale")
	m := &Metrics{provider: provider, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	var errs [21]error
	m.requests, errs[0] = meter.Int64Counter("linenscale_requests", metric.WithDescription("requests that have ended, by service and outcome"))
	m.attempts, errs[1] = meter.Int64Counter("linenscale_attempts", metric.WithDescription("attempts sent to engines and entry hosts, by service and outcome"))
	m.firstByte, errs[2] = meter.Float64Histogram("linenscale_first_byte_seconds", metric.WithDescription("time to the first byte of an answer"), metric.WithUnit("s"))
	m.queueTime, errs[3] = meter.Float64Histogram("linenscale_queue_seconds", metric.WithDescription("time spent waiting for a slot"), metric.WithUnit("s"))
	m.inFlight, errs[4] = meter.Int64UpDownCounter("linenscale_in_flight", metric.WithDescription("requests that have not ended"))
	m.changes, errs[5] = meter.Int64Counter("linenscale_changes", metric.WithDescription("changes decided, by outcome"))
	m.revision, errs[6] = meter.Int64Gauge("linenscale_revision", metric.WithDescription("revision of the effective configuration on this host"))
	m.predictionError, errs[7] = meter.Float64Histogram("linenscale_predicted_error_seconds", metric.WithDescription("actual minus predicted time to the first byte of an engine's answer"), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(predictionErrorBuckets...))
	m.accountRequests, errs[8] = meter.Int64Counter("linenscale_account_requests", metric.WithDescription("requests that have ended, by client account and outcome"))
	m.engineCrashes, errs[9] = meter.Int64Counter("linenscale_engine_crashes", metric.WithDescription("engines that crashed with requests of this host in flight"))
	m.crashedRequests, errs[10] = meter.Int64Counter("linenscale_crashed_requests", metric.WithDescription("requests of this host that were in flight on engines that crashed"))
	m.limitEvents, errs[11] = meter.Int64Counter("linenscale_limited_engines", metric.WithDescription("events of engines that announce rate limits, by engine and event"))
	m.pushbackEvents, errs[12] = meter.Int64Counter("linenscale_pushback", metric.WithDescription("events of engines that ask for backoff or announce draining, by engine and event"))
	m.trafficBytes, errs[13] = meter.Int64Counter("linenscale_traffic", metric.WithDescription("bytes exchanged with other hosts, by kind and distance"), metric.WithUnit("By"))
	m.continuations, errs[14] = meter.Int64Counter("linenscale_stream_continuations", metric.WithDescription("attempts that continue a stream, by service and by who resumes it"))
	m.streamSearches, errs[15] = meter.Int64Counter("linenscale_stream_searches", metric.WithDescription("searches for the origin of a stream that a caller resumes, by service and outcome"))
	m.partQuarantines, errs[16] = meter.Int64Counter("linenscale_quarantined_parts", metric.WithDescription("parts of prompts that this host has quarantined because engines crashed under them, or learned to be"))
	m.unusualEngines, errs[17] = meter.Int64Gauge("linenscale_unusual_engines", metric.WithDescription("engines a quarter slower or faster than their service's mean, by service and kind"))
	m.putAfter, errs[18] = meter.Int64Counter("linenscale_put_after", metric.WithDescription("requests not admitted because others go first, by service and by who does: priority or account"))
	m.promises, errs[19] = meter.Int64Counter("linenscale_promised_returns", metric.WithDescription("promises to rejected requests that they go before newcomers, by outcome: made, kept or lapsed"))
	m.ownLoad, errs[20] = meter.Int64Gauge("linenscale_own_load", metric.WithDescription("load that this gateway announces: 0 normal, 1 busy, 2 overloaded, 3 can't serve"))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Annotate(err, "metrics")
		}
	}
	return m, nil
}

// predictionErrorBuckets holds the bucket bounds of prediction errors, in seconds.
var predictionErrorBuckets = []float64{-1, -0.3, -0.1, -0.03, 0, 0.03, 0.1, 0.3, 1, 3}

// RecordPredictionError records the error of a predicted time to the first byte of an
// engine's answer: later is the actual less the predicted time, negative for an early
// answer.
func (m *Metrics) RecordPredictionError(service string, later time.Duration) {
	m.predictionError.Record(context.Background(), later.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}

// Handler returns the handler of the Prometheus scrape.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close flushes and shuts down the instruments.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// RequestStarted adds a request to those in flight, and returns the function that removes it.
func (m *Metrics) RequestStarted(service string) func() {
	attrs := metric.WithAttributes(attribute.String("service", service))
	m.inFlight.Add(context.Background(), 1, attrs)
	return func() { m.inFlight.Add(context.Background(), -1, attrs) }
}

// CountRequest counts a request that has ended.
func (m *Metrics) CountRequest(service, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// CountAccountRequest counts a request of a client account that has ended.
func (m *Metrics) CountAccountRequest(account, outcome string) {
	m.accountRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("account", m.accountLabels.label(account)), attribute.String("outcome", outcome)))
}

// CountAttempt counts an attempt that has ended.
func (m *Metrics) CountAttempt(service, outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// CountContinuation counts an attempt that continues a stream after the events that the caller
// has. by says who resumes it: the caller, a gateway within one answer, or a gateway that
// another one handed the stream over to.
func (m *Metrics) CountContinuation(service, by string) {
	m.continuations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("by", by)))
}

// CountStreamSearch counts a search for the origin of a stream that a caller resumes.
func (m *Metrics) CountStreamSearch(service, outcome string) {
	m.streamSearches.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// RecordFirstByte records the time to the first byte of an answer, and how much of it the
// request waited for a slot.
func (m *Metrics) RecordFirstByte(service string, total, queued time.Duration) {
	attrs := metric.WithAttributes(attribute.String("service", service))
	m.firstByte.Record(context.Background(), total.Seconds(), attrs)
	m.queueTime.Record(context.Background(), queued.Seconds(), attrs)
}

// CountEngineCrash counts an engine that crashed, and this host's requests in flight on it.
func (m *Metrics) CountEngineCrash(requests int) {
	m.engineCrashes.Add(context.Background(), 1)
	m.crashedRequests.Add(context.Background(), int64(requests))
}

// CountQuarantinedParts counts parts of prompts that have become quarantined.
func (m *Metrics) CountQuarantinedParts(parts int) {
	m.partQuarantines.Add(context.Background(), int64(parts))
}

// CountPutAfter counts a request that wasn't admitted because others go first. by says who.
func (m *Metrics) CountPutAfter(service, by string) {
	m.putAfter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("by", by)))
}

// CountPromises counts promises to rejected requests.
func (m *Metrics) CountPromises(outcome string, n int) {
	m.promises.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// CountLimitEvent counts an event of an engine that announces a rate limit.
func (m *Metrics) CountLimitEvent(engine, event string) {
	m.limitEvents.Add(context.Background(), 1, metric.WithAttributes(attribute.String("engine", m.engineLabels.label(engine)), attribute.String("event", event)))
}

// CountPushbackEvent counts an event of an engine that asks for backoff or announces draining.
func (m *Metrics) CountPushbackEvent(engine, event string) {
	m.pushbackEvents.Add(context.Background(), 1, metric.WithAttributes(attribute.String("engine", m.engineLabels.label(engine)), attribute.String("event", event)))
}

// CountChange counts a decided change.
func (m *Metrics) CountChange(outcome string) {
	m.changes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordUnusualEngines records how many engines of a service are slow, and how many fast.
func (m *Metrics) RecordUnusualEngines(service string, slow, fast int) {
	for kind, count := range map[string]int{"slow": slow, "fast": fast} {
		m.unusualEngines.Record(context.Background(), int64(count), metric.WithAttributes(attribute.String("service", service), attribute.String("kind", kind)))
	}
}

// RecordRevision records the revision of the effective configuration on this host.
func (m *Metrics) RecordRevision(revision int64) {
	m.revision.Record(context.Background(), revision)
}

// RecordOwnLoad records the level of load that this gateway announces.
func (m *Metrics) RecordOwnLoad(level int64) {
	m.ownLoad.Record(context.Background(), level)
}

// Traffic counts the bytes of one kind that are exchanged with hosts at one distance.
type Traffic struct {
	counter metric.Int64Counter
	option  metric.MeasurementOption
}

// Traffic returns the counter of a kind of traffic with hosts at a distance.
func (m *Metrics) Traffic(kind, distance string) *Traffic {
	return &Traffic{m.trafficBytes, metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", kind), attribute.String("distance", distance)))}
}

// Add counts n bytes.
func (t *Traffic) Add(n int) {
	if n > 0 {
		t.counter.Add(context.Background(), int64(n), t.option)
	}
}
