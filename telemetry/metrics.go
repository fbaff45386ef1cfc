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

// Metrics are the instruments of one process. New makes them.
type Metrics struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	requests metric.Int64Counter
	attempts metric.Int64Counter
	duration metric.Float64Histogram
	queued   metric.Float64Histogram
	inFlight metric.Int64UpDownCounter
	changes  metric.Int64Counter
	revision metric.Int64Gauge
	wrong    metric.Float64Histogram
	accounts metric.Int64Counter
	crashes  metric.Int64Counter
	crashed  metric.Int64Counter
	limited  metric.Int64Counter
	pushback metric.Int64Counter
	named    labels // accounts that have counters of their own
	engines  labels // engines that have
}

// NewMetrics makes the instruments and a scrape handler of their own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	meter := provider.Meter("linenscale")
	m := &Metrics{provider: provider, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	var errs [13]error
	m.requests, errs[0] = meter.Int64Counter("linenscale_requests", metric.WithDescription("requests that have ended, by service and outcome"))
	m.attempts, errs[1] = meter.Int64Counter("linenscale_attempts", metric.WithDescription("attempts sent to engines and entry hosts, by service and outcome"))
	m.duration, errs[2] = meter.Float64Histogram("linenscale_first_byte_seconds", metric.WithDescription("time to the first byte of an answer"), metric.WithUnit("s"))
	m.queued, errs[3] = meter.Float64Histogram("linenscale_queue_seconds", metric.WithDescription("time spent waiting for a slot"), metric.WithUnit("s"))
	m.inFlight, errs[4] = meter.Int64UpDownCounter("linenscale_in_flight", metric.WithDescription("requests that have not ended"))
	m.changes, errs[5] = meter.Int64Counter("linenscale_changes", metric.WithDescription("changes decided, by outcome"))
	m.revision, errs[6] = meter.Int64Gauge("linenscale_revision", metric.WithDescription("revision of the configuration in force on this host"))
	m.wrong, errs[7] = meter.Float64Histogram("linenscale_predicted_error_seconds", metric.WithDescription("seen less expected time to the first byte of an engine's answer"), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(predictedBuckets...))
	m.accounts, errs[8] = meter.Int64Counter("linenscale_account_requests", metric.WithDescription("requests that have ended, by client account and outcome"))
	m.crashes, errs[9] = meter.Int64Counter("linenscale_engine_crashes", metric.WithDescription("engines that ended while this host had requests on them"))
	m.crashed, errs[10] = meter.Int64Counter("linenscale_crashed_requests", metric.WithDescription("requests of this host that were on engines that ended"))
	m.limited, errs[11] = meter.Int64Counter("linenscale_limited_engines", metric.WithDescription("what came of the limits that engines name, by engine and event"))
	m.pushback, errs[12] = meter.Int64Counter("linenscale_pushback", metric.WithDescription("what came of engines that ask for rest or leave, by engine and event"))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Annotate(err, "metrics")
		}
	}
	return m, nil
}

// predictedBuckets are the bounds of the errors of expectations, in seconds.
var predictedBuckets = []float64{-1, -0.3, -0.1, -0.03, 0, 0.03, 0.1, 0.3, 1, 3}

// Predicted notes by how much an engine's answer began later than expected.
func (m *Metrics) Predicted(service string, later time.Duration) {
	m.wrong.Record(context.Background(), later.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}

// Handler serves the scrape.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close flushes and ends the instruments.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Begin counts a request in and gives the function that counts it out.
func (m *Metrics) Begin(service string) func() {
	attrs := metric.WithAttributes(attribute.String("service", service))
	m.inFlight.Add(context.Background(), 1, attrs)
	return func() { m.inFlight.Add(context.Background(), -1, attrs) }
}

// Request counts a request that has ended.
func (m *Metrics) Request(service, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// Account counts a request of a client account that has ended.
func (m *Metrics) Account(account, outcome string) {
	m.accounts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("account", m.named.of(account)), attribute.String("outcome", outcome)))
}

// Attempt counts an attempt that has ended.
func (m *Metrics) Attempt(service, outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// First notes the time to the first byte and the part of it spent queueing.
func (m *Metrics) First(service string, total, queued time.Duration) {
	attrs := metric.WithAttributes(attribute.String("service", service))
	m.duration.Record(context.Background(), total.Seconds(), attrs)
	m.queued.Record(context.Background(), queued.Seconds(), attrs)
}

// EngineCrash counts an engine that ended, and the requests of this host on it.
func (m *Metrics) EngineCrash(requests int) {
	m.crashes.Add(context.Background(), 1)
	m.crashed.Add(context.Background(), int64(requests))
}

// Limited counts an event of an engine that names a limit.
func (m *Metrics) Limited(engine, event string) {
	m.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("engine", m.engines.of(engine)), attribute.String("event", event)))
}

// Pushback counts an event of an engine that asks for rest or leaves.
func (m *Metrics) Pushback(engine, event string) {
	m.pushback.Add(context.Background(), 1, metric.WithAttributes(attribute.String("engine", m.engines.of(engine)), attribute.String("event", event)))
}

// Change counts a decided change.
func (m *Metrics) Change(outcome string) {
	m.changes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Revision notes the revision in force on this host.
func (m *Metrics) Revision(revision int64) {
	m.revision.Record(context.Background(), revision)
}
