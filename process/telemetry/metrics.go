package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// secondsBuckets are the bounds of histograms of times, in seconds. They resolve milliseconds for placements and minutes
// for long work.
var secondsBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30, 60, 300, 1800, 7200,
}

// Metrics are the metrics of one instance. Each has a registry of its own, so that several instances of one process do
// not mix.
type Metrics struct {
	*registry
	gauges *gauges

	requests    metric.Int64Counter
	requestTime metric.Float64Histogram
	forwards    metric.Int64Counter
	starts      metric.Int64Counter
	outcomes    metric.Int64Counter
	waits       metric.Float64Histogram
	tableOps    metric.Int64Counter
	tableRows   metric.Int64Counter
	tableTime   metric.Float64Histogram
}

// NewMetrics returns the metrics of an instance.
func NewMetrics() (*Metrics, error) {
	registry, err := newRegistry()
	if err != nil {
		return nil, err
	}
	m := &Metrics{registry: registry}
	b := &builder{meter: registry.meter}
	m.requests = b.counter("lentiltide.requests", "Requests answered, by class, operation, verdict and code.")
	m.requestTime = b.seconds("lentiltide.request.duration", "Time from a request to its answer, by operation.")
	m.forwards = b.counter("lentiltide.forwards", "Requests sent to the owner of their partition, by operation and verdict.")
	m.starts = b.counter("lentiltide.starts", "Starts asked of workers, by class and verdict.")
	m.outcomes = b.counter("lentiltide.outcomes", "Outcomes received from workers, by class and state.")
	m.waits = b.seconds("lentiltide.wait", "Time from submission to the start on a worker, by class.")
	m.tableOps = b.counter("lentiltide.table.operations", "Operations on the table service, by operation and result.")
	m.tableRows = b.counter("lentiltide.table.rows", "Rows read from and written to the table service, by direction.")
	m.tableTime = b.seconds("lentiltide.table.duration", "Time of an operation on the table service, by operation.")
	m.gauges = b.gauges()
	return m, b.err
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) note(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.note(err)
	return c
}

func (b *builder) seconds(name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBuckets...))
	b.note(err)
	return h
}

func with(pairs ...string) metric.MeasurementOption {
	set := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		set = append(set, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(set...)
}

// Request counts an answered request of a caller.
func (m *Metrics) Request(class model.Class, operation string, v verdict.Verdict, code verdict.Code, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, with("class", class.String(), "operation", operation, "verdict", v.String(), "code", string(code)))
	m.requestTime.Record(ctx, took.Seconds(), with("operation", operation))
}

// Forwarded counts a request that was sent to another instance.
func (m *Metrics) Forwarded(operation string, v verdict.Verdict) {
	m.forwards.Add(context.Background(), 1, with("operation", operation, "verdict", v.String()))
}

func (m *Metrics) started(task model.Task, v verdict.Verdict, wait time.Duration) {
	ctx := context.Background()
	class := task.Class.String()
	m.starts.Add(ctx, 1, with("class", class, "verdict", v.String()))
	if v == verdict.Ran {
		m.waits.Record(ctx, max(wait, 0).Seconds(), with("class", class))
	}
}

func (m *Metrics) ended(class model.Class, state model.OutcomeState) {
	m.outcomes.Add(context.Background(), 1, with("class", class.String(), "state", string(state)))
}

func (m *Metrics) table(op string, err error, read, written int, took time.Duration) {
	ctx := context.Background()
	result := "ok"
	if err != nil {
		result = string(verdict.From(err).Code)
	}
	m.tableOps.Add(ctx, 1, with("operation", op, "result", result))
	m.tableRows.Add(ctx, int64(read), with("direction", "read"))
	m.tableRows.Add(ctx, int64(written), with("direction", "written"))
	m.tableTime.Record(ctx, took.Seconds(), with("operation", op))
}
