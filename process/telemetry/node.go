package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/process/node"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// NodeMetrics are the metrics of one instance of a cell.
type NodeMetrics struct {
	*registry
	decisions  metric.Int64Counter
	startWait  metric.Float64Histogram
	jobTime    metric.Float64Histogram
	adviceWait metric.Float64Histogram
	requests   metric.Int64Counter
	answerTime metric.Float64Histogram
	tableCalls metric.Int64Counter
	tableTime  metric.Float64Histogram
}

// NewNodeMetrics returns the metrics of an instance, in a registry of their own.
func NewNodeMetrics() (*NodeMetrics, error) {
	registry, err := newRegistry()
	if err != nil {
		return nil, err
	}
	m := &NodeMetrics{registry: registry}
	b := &builder{meter: m.meter}
	m.decisions = b.counter("lentiltide.decisions", "Decisions of the leader, by event; see the table of events in the documentation.")
	m.startWait = b.seconds("lentiltide.start.wait", "Time for which a task waited for its start.")
	m.jobTime = b.seconds("lentiltide.job.duration", "Time from the acceptance of a job to its end, by state.")
	m.adviceWait = b.seconds("lentiltide.advice.wait", "Time for which a step waited for its question about placement.")
	m.requests = b.counter("lentiltide.requests", "Requests of callers, by event and verdict.")
	m.answerTime = b.seconds("lentiltide.answer.duration", "Time from a request to its answer, by event.")
	m.tableCalls = b.counter("lentiltide.table.calls", "Calls of the table service, by operation and result.")
	m.tableTime = b.seconds("lentiltide.table.duration", "Time of a call of the table service, by operation.")
	return m, b.err
}

// Watch reads the gauges from the instance and the log writer whenever the metrics are read.
func (m *NodeMetrics) Watch(status func() node.Status, dropped func() uint64) error {
	b := &builder{meter: m.meter}
	epoch := b.gauge("lentiltide.epoch", "Epoch in which this instance leads; 0 if it does not.")
	config := b.gauge("lentiltide.config.version", "Version of the configuration in force on this instance.")
	configAge := b.gauge("lentiltide.config.age", "Time since the configuration was known to be current, in milliseconds.")
	waiting := b.gauge("lentiltide.jobs.waiting", "Accepted jobs without a started task.")
	workers := b.gauge("lentiltide.workers", "Workers that the leader can use.")
	advisers := b.gauge("lentiltide.members", "Other instances that have joined this leader.")
	lines := b.gauge("lentiltide.log.dropped", "Log lines that were dropped.")
	if b.err != nil {
		return b.err
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := status()
		o.ObserveInt64(epoch, int64(s.Epoch))
		o.ObserveInt64(config, int64(s.Config))
		o.ObserveInt64(configAge, s.ConfigAgeMS)
		o.ObserveInt64(waiting, int64(s.Waiting))
		o.ObserveInt64(workers, int64(s.Workers))
		o.ObserveInt64(advisers, int64(s.Members))
		o.ObserveInt64(lines, int64(dropped()))
		return nil
	}, epoch, config, configAge, waiting, workers, advisers, lines)
	return errors.Wrap(err, "register gauges")
}

// Decision counts a decision of the leader.
func (m *NodeMetrics) Decision(d cell.Decision) {
	ctx := context.Background()
	m.decisions.Add(ctx, 1, with("event", d.Event))
	switch d.Event {
	case "task_started":
		m.startWait.Record(ctx, secondsOf(d.Fields["waited_ms"]))
	case "advice_asked":
		m.adviceWait.Record(ctx, secondsOf(d.Fields["waited_ms"]))
	case "job_finished":
		state, _ := d.Fields["state"].(job.State)
		m.jobTime.Record(ctx, secondsOf(d.Fields["after_ms"]), with("state", string(state)))
	}
}

// secondsOf converts a field in milliseconds.
func secondsOf(field any) float64 {
	ms, _ := field.(int64)
	return (time.Duration(ms) * time.Millisecond).Seconds()
}

// Answer counts the answer to a caller's request.
func (m *NodeMetrics) Answer(event string, v verdict.Verdict, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, with("event", event, "verdict", v.String()))
	m.answerTime.Record(ctx, took.Seconds(), with("event", event))
}

// Tables returns a table service that counts the calls of next.
func (m *NodeMetrics) Tables(next backend.Tables) backend.Tables { return meteredTables{next, m} }

type meteredTables struct {
	next    backend.Tables
	metrics *NodeMetrics
}

func (t meteredTables) note(op string, began time.Time, err error) {
	result := "ok"
	if err != nil {
		result = string(verdict.From(err).Code)
	}
	ctx := context.Background()
	t.metrics.tableCalls.Add(ctx, 1, with("operation", op, "result", result))
	t.metrics.tableTime.Record(ctx, time.Since(began).Seconds(), with("operation", op))
}

// Commit implements backend.Tables.
func (t meteredTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	began := time.Now()
	version, err := t.next.Commit(ctx, txn)
	t.note("commit", began, err)
	return version, err
}

// Get implements backend.Tables.
func (t meteredTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	began := time.Now()
	row, err := t.next.Get(ctx, key)
	t.note("get", began, err)
	return row, err
}

// Range implements backend.Tables.
func (t meteredTables) Range(ctx context.Context, table, part, from string) (backend.Page, error) {
	began := time.Now()
	page, err := t.next.Range(ctx, table, part, from)
	t.note("range", began, err)
	return page, err
}

// Feed implements backend.Tables.
func (t meteredTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	began := time.Now()
	page, err := t.next.Feed(ctx, table, after, wait)
	t.note("feed", began, err)
	return page, err
}
