package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// durationBuckets are the bucket boundaries of duration histograms, in seconds. They resolve milliseconds for placements
// and minutes for long work.
var durationBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30, 60, 300, 1800, 7200,
}

// Metrics holds the metrics of one instance. Each Metrics has its own registry, so that the metrics of several instances in
// one process do not mix.
type Metrics struct {
	*registry
	gauges *gauges

	requests        metric.Int64Counter
	requestDuration metric.Float64Histogram
	forwards        metric.Int64Counter
	starts          metric.Int64Counter
	outcomes        metric.Int64Counter
	startWait       metric.Float64Histogram
	tableOps        metric.Int64Counter
	tableRows       metric.Int64Counter
	tableDuration   metric.Float64Histogram
}

// NewMetrics returns the metrics of an instance.
func NewMetrics() (*Metrics, error) {
	registry, err := newRegistry()
	if err != nil {
		return nil, err
	}
	m := &Metrics{registry: registry}
	b := &instrumentBuilder{meter: registry.meter}
	m.requests = b.newCounter("lentiltide.requests", "Requests answered, by class, operation, verdict and code.")
	m.requestDuration = b.newDurationHistogram("lentiltide.request.duration", "Time from a request to its answer, by operation.")
	m.forwards = b.newCounter("lentiltide.forwards", "Requests sent to the owner of their partition, by operation and verdict.")
	m.starts = b.newCounter("lentiltide.starts", "Starts asked of workers, by class and verdict.")
	m.outcomes = b.newCounter("lentiltide.outcomes", "Outcomes received from workers, by class and state.")
	m.startWait = b.newDurationHistogram("lentiltide.wait", "Time from submission to the start on a worker, by class.")
	m.tableOps = b.newCounter("lentiltide.table.operations", "Operations on the table service, by operation and result.")
	m.tableRows = b.newCounter("lentiltide.table.rows", "Rows read from and written to the table service, by direction.")
	m.tableDuration = b.newDurationHistogram("lentiltide.table.duration", "Time of an operation on the table service, by operation.")
	m.gauges = b.newGauges()
	return m, b.err
}

// instrumentBuilder creates instruments and records the first error.
type instrumentBuilder struct {
	meter metric.Meter
	err   error
}

func (b *instrumentBuilder) recordError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *instrumentBuilder) newCounter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.recordError(err)
	return c
}

func (b *instrumentBuilder) newDurationHistogram(name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	b.recordError(err)
	return h
}

// withAttributes returns an option with the attributes in pairs, which holds keys and values in turn.
func withAttributes(pairs ...string) metric.MeasurementOption {
	set := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		set = append(set, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(set...)
}

// ObserveRequest records an answered request of a caller and the time that the answer took.
func (m *Metrics) ObserveRequest(class model.Class, operation string, v verdict.Verdict, code verdict.Code, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, withAttributes("class", class.String(), "operation", operation, "verdict", v.String(), "code", string(code)))
	m.requestDuration.Record(ctx, took.Seconds(), withAttributes("operation", operation))
}

// ObserveForward counts a request that was forwarded to another instance.
func (m *Metrics) ObserveForward(operation string, v verdict.Verdict) {
	m.forwards.Add(context.Background(), 1, withAttributes("operation", operation, "verdict", v.String()))
}

func (m *Metrics) recordStart(task model.Task, v verdict.Verdict, wait time.Duration) {
	ctx := context.Background()
	class := task.Class.String()
	m.starts.Add(ctx, 1, withAttributes("class", class, "verdict", v.String()))
	if v == verdict.Ran {
		m.startWait.Record(ctx, max(wait, 0).Seconds(), withAttributes("class", class))
	}
}

func (m *Metrics) recordOutcome(class model.Class, state model.OutcomeState) {
	m.outcomes.Add(context.Background(), 1, withAttributes("class", class.String(), "state", string(state)))
}

func (m *Metrics) recordTableOp(op string, err error, read, written int, took time.Duration) {
	ctx := context.Background()
	result := "ok"
	if err != nil {
		result = string(verdict.From(err).Code)
	}
	m.tableOps.Add(ctx, 1, withAttributes("operation", op, "result", result))
	m.tableRows.Add(ctx, int64(read), withAttributes("direction", "read"))
	m.tableRows.Add(ctx, int64(written), withAttributes("direction", "written"))
	m.tableDuration.Record(ctx, took.Seconds(), withAttributes("operation", op))
}
