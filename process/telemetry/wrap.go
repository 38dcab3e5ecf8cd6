package telemetry

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// InstrumentTable returns a table that forwards operations to next and records their results, row counts and durations.
func (m *Metrics) InstrumentTable(next store.Table, clock clockwork.Clock) store.Table {
	return instrumentedTable{next: next, metrics: m, clock: clock}
}

type instrumentedTable struct {
	next    store.Table
	metrics *Metrics
	clock   clockwork.Clock
}

// Commit implements store.Table.
func (t instrumentedTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	startedAt := t.clock.Now()
	versions, err := t.next.Commit(ctx, txn)
	t.metrics.recordTableOp("commit", err, len(txn.Conditions), len(versions), t.clock.Since(startedAt))
	return versions, err
}

// Get implements store.Table.
func (t instrumentedTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	startedAt := t.clock.Now()
	rows, err := t.next.Get(ctx, keys...)
	t.metrics.recordTableOp("get", err, len(keys), 0, t.clock.Since(startedAt))
	return rows, err
}

// Scan implements store.Table.
func (t instrumentedTable) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	startedAt := t.clock.Now()
	rows, err := t.next.Scan(ctx, prefix)
	t.metrics.recordTableOp("scan", err, len(rows), 0, t.clock.Since(startedAt))
	return rows, err
}

// InstrumentWorkers returns a dialer whose agents record starts and outcomes.
func (m *Metrics) InstrumentWorkers(next worker.Dialer, clock clockwork.Clock) worker.Dialer {
	return instrumentedDialer{next: next, metrics: m, clock: clock}
}

type instrumentedDialer struct {
	next    worker.Dialer
	metrics *Metrics
	clock   clockwork.Clock
}

// Dial implements worker.Dialer.
func (d instrumentedDialer) Dial(address string) worker.Agent {
	return instrumentedAgent{Agent: d.next.Dial(address), metrics: d.metrics, clock: d.clock}
}

type instrumentedAgent struct {
	worker.Agent
	metrics *Metrics
	clock   clockwork.Clock
}

// Start implements worker.Agent.
func (a instrumentedAgent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	reply, err := a.Agent.Start(ctx, req)
	a.metrics.recordStart(req.Task, verdict.Of(err), a.clock.Since(req.Task.SubmittedAt))
	return reply, err
}

// Sync implements worker.Agent. A result that the worker sends again because its acknowledgement was lost is counted again.
func (a instrumentedAgent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	reply, err := a.Agent.Sync(ctx, req)
	for _, r := range reply.Results {
		a.metrics.recordOutcome(r.Task.Class, r.Outcome.State)
	}
	return reply, err
}
