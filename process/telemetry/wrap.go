package telemetry

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// Table returns a table that counts the operations on next.
func (m *Metrics) Table(next store.Table, clock clockwork.Clock) store.Table {
	return countedTable{next: next, metrics: m, clock: clock}
}

type countedTable struct {
	next    store.Table
	metrics *Metrics
	clock   clockwork.Clock
}

// Commit implements store.Table.
func (t countedTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	began := t.clock.Now()
	versions, err := t.next.Commit(ctx, txn)
	t.metrics.table("commit", err, len(txn.Conditions), len(versions), t.clock.Since(began))
	return versions, err
}

// Get implements store.Table.
func (t countedTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	began := t.clock.Now()
	rows, err := t.next.Get(ctx, keys...)
	t.metrics.table("get", err, len(keys), 0, t.clock.Since(began))
	return rows, err
}

// Scan implements store.Table.
func (t countedTable) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	began := t.clock.Now()
	rows, err := t.next.Scan(ctx, prefix)
	t.metrics.table("scan", err, len(rows), 0, t.clock.Since(began))
	return rows, err
}

// Workers returns a dialer whose agents count starts and outcomes.
func (m *Metrics) Workers(next worker.Dialer, clock clockwork.Clock) worker.Dialer {
	return countedDialer{next: next, metrics: m, clock: clock}
}

type countedDialer struct {
	next    worker.Dialer
	metrics *Metrics
	clock   clockwork.Clock
}

// Dial implements worker.Dialer.
func (d countedDialer) Dial(address string) worker.Agent {
	return countedAgent{Agent: d.next.Dial(address), metrics: d.metrics, clock: d.clock}
}

type countedAgent struct {
	worker.Agent
	metrics *Metrics
	clock   clockwork.Clock
}

// Start implements worker.Agent.
func (a countedAgent) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	reply, err := a.Agent.Start(ctx, req)
	a.metrics.started(req.Task, verdict.Of(err), a.clock.Since(req.Task.Submitted))
	return reply, err
}

// Sync implements worker.Agent. A result that is sent again because its acknowledgement was lost is counted again.
func (a countedAgent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	reply, err := a.Agent.Sync(ctx, req)
	for _, r := range reply.Results {
		a.metrics.ended(r.Task.Class, r.Outcome.State)
	}
	return reply, err
}
