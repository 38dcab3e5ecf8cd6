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

// NodeMetrics holds the metrics of one instance of a cell.
type NodeMetrics struct {
	*registry
	decisions      decisionCounter
	startWait      metric.Float64Histogram
	jobDuration    metric.Float64Histogram
	adviceWait     metric.Float64Histogram
	requests       metric.Int64Counter
	answerDuration metric.Float64Histogram
	tableCalls     metric.Int64Counter
	tableDuration  metric.Float64Histogram
	panics         metric.Int64Counter
	refusedKeys    metric.Int64Counter
}

// NewNodeMetrics returns the metrics of an instance, in their own registry.
func NewNodeMetrics() (*NodeMetrics, error) {
	registry, err := newRegistry()
	if err != nil {
		return nil, err
	}
	m := &NodeMetrics{registry: registry}
	b := &instrumentBuilder{meter: m.meter}
	m.decisions.counter = b.newCounter("lentiltide.decisions", "Decisions of the leader, by event; see the table of events in the documentation.")
	m.startWait = b.newDurationHistogram("lentiltide.start.wait", "Time for which a task waited for its start.")
	m.jobDuration = b.newDurationHistogram("lentiltide.job.duration", "Time from the acceptance of a job to its end, by state.")
	m.adviceWait = b.newDurationHistogram("lentiltide.advice.wait", "Time for which a step waited for its question about placement.")
	m.requests = b.newCounter("lentiltide.requests", "Requests of callers, by event and verdict.")
	m.answerDuration = b.newDurationHistogram("lentiltide.answer.duration", "Time from a request to its answer, by event.")
	m.tableCalls = b.newCounter("lentiltide.table.calls", "Calls of the table service, by operation and result.")
	m.tableDuration = b.newDurationHistogram("lentiltide.table.duration", "Time of a call of the table service, by operation.")
	m.panics = b.newCounter("lentiltide.panics", "Panics after which the instance went on, by place.")
	m.refusedKeys = b.newCounter("lentiltide.keys.refused", "Calls that were not authorized, by reason.")
	return m, b.err
}

// RecordRefusedKey counts a call that was not authorized.
func (m *NodeMetrics) RecordRefusedKey(reason string) {
	m.refusedKeys.Add(context.Background(), 1, withAttributes("reason", reason))
}

// RecordPanic counts a recovered panic.
func (m *NodeMetrics) RecordPanic(place string) {
	m.panics.Add(context.Background(), 1, withAttributes("place", place))
}

// RegisterGauges registers status and dropped, which are called on each collection of the metrics, as the sources of the gauges.
// dropped returns the number of dropped log lines.
func (m *NodeMetrics) RegisterGauges(status func() node.Status, dropped func() uint64) error {
	b := &instrumentBuilder{meter: m.meter}
	epoch := b.newGauge("lentiltide.epoch", "Epoch in which this instance leads; 0 if it does not.")
	config := b.newGauge("lentiltide.config.version", "Version of the configuration in force on this instance.")
	configAge := b.newGauge("lentiltide.config.age", "Time since the configuration was known to be current, in milliseconds.")
	waiting := b.newGauge("lentiltide.jobs.waiting", "Accepted jobs without a started task.")
	workers := b.newGauge("lentiltide.workers", "Workers that the leader can use.")
	members := b.newGauge("lentiltide.members", "Other instances that have joined this leader.")
	takeovers := b.newGauge("lentiltide.leader.takeovers", "Changes of the leader within 20 s, without resignations.")
	refusedRows := b.newGauge("lentiltide.store.refused_rows", "Rows that the store refuses whatever happens, such as rows that are too large.")
	teams := newTeamGauges(b)
	load := newLoadInstruments(b)
	droppedLines := b.newGauge("lentiltide.log.dropped", "Log lines that were dropped.")
	if b.err != nil {
		return b.err
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := status()
		o.ObserveInt64(epoch, int64(s.Epoch))
		o.ObserveInt64(config, int64(s.Config))
		o.ObserveInt64(configAge, s.ConfigAgeMS)
		o.ObserveInt64(takeovers, int64(s.Takeovers))
		o.ObserveInt64(refusedRows, int64(s.RefusedRows))
		o.ObserveInt64(waiting, int64(s.Waiting))
		o.ObserveInt64(workers, int64(s.Workers))
		o.ObserveInt64(members, int64(s.Members))
		o.ObserveInt64(droppedLines, int64(dropped()))
		teams.observe(o, s.Teams)
		load.observe(o, s)
		return nil
	}, append(append(teams.instruments(), load.instruments()...), epoch, config, configAge, takeovers, refusedRows, waiting, workers, members, droppedLines)...)
	return errors.Wrap(err, "register the callback of the node gauges")
}

// RecordDecision counts a decision of the leader and records the durations that it carries.
func (m *NodeMetrics) RecordDecision(d cell.Decision) {
	ctx := context.Background()
	m.decisions.add(d.Event)
	switch d.Event {
	case "task_started":
		m.startWait.Record(ctx, millisToSeconds(d.Fields["waited_ms"]))
	case "advice_asked":
		m.adviceWait.Record(ctx, millisToSeconds(d.Fields["waited_ms"]))
	case "job_finished":
		state, _ := d.Fields["state"].(job.State)
		m.jobDuration.Record(ctx, millisToSeconds(d.Fields["after_ms"]), withAttributes("state", string(state)))
	}
}

// millisToSeconds converts a decision field in milliseconds to seconds; a field of another type than int64 counts as 0.
func millisToSeconds(field any) float64 {
	ms, _ := field.(int64)
	return (time.Duration(ms) * time.Millisecond).Seconds()
}

// RecordAnswer records the answer to a caller's request and the time that it took.
func (m *NodeMetrics) RecordAnswer(event string, v verdict.Verdict, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, withAttributes("event", event, "verdict", v.String()))
	m.answerDuration.Record(ctx, took.Seconds(), withAttributes("event", event))
}

// InstrumentTables returns a table service that forwards calls to next and records their results and durations.
func (m *NodeMetrics) InstrumentTables(next backend.Tables) backend.Tables {
	return instrumentedTables{next, m}
}

type instrumentedTables struct {
	next    backend.Tables
	metrics *NodeMetrics
}

func (t instrumentedTables) record(op string, startedAt time.Time, err error) {
	result := "ok"
	if err != nil {
		result = string(verdict.From(err).Code)
	}
	ctx := context.Background()
	t.metrics.tableCalls.Add(ctx, 1, withAttributes("operation", op, "result", result))
	t.metrics.tableDuration.Record(ctx, time.Since(startedAt).Seconds(), withAttributes("operation", op))
}

// Commit implements backend.Tables.
func (t instrumentedTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	startedAt := time.Now()
	version, err := t.next.Commit(ctx, txn)
	t.record("commit", startedAt, err)
	return version, err
}

// Get implements backend.Tables.
func (t instrumentedTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	startedAt := time.Now()
	row, err := t.next.Get(ctx, key)
	t.record("get", startedAt, err)
	return row, err
}

// Range implements backend.Tables.
func (t instrumentedTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	startedAt := time.Now()
	page, err := t.next.Range(ctx, table, shard, from)
	t.record("range", startedAt, err)
	return page, err
}

// Feed implements backend.Tables.
func (t instrumentedTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	startedAt := time.Now()
	page, err := t.next.Feed(ctx, table, after, wait)
	t.record("feed", startedAt, err)
	return page, err
}
