package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// writeUntilEnd runs the writer until the leadership is lost or resigned, and then ends it. After a panic the writer runs once
// more, to resign.
func (l *leadership) writeUntilEnd(ctx context.Context) {
	defer l.cancel()
	defer close(l.resigned)
	if !l.guard(func() { l.runWriter(ctx) }) {
		l.guard(func() { l.runWriter(ctx) })
	}
}

// runWriter makes progress durable and renews the leadership until it is lost.
func (l *leadership) runWriter(ctx context.Context) {
	l.readWriteVersion(ctx)
	for ctx.Err() == nil {
		if l.resigning.Load() {
			l.commitResignation(ctx)
			return
		}
		renewalDue := l.node.opts.Now()-l.renewedAt >= renewalInterval || l.core.ReopeningDue() || l.cover.isRenewalDue()
		batch := cell.Batch{}
		if l.batchLimit == maxBatchRows || !renewalDue {
			// While a row is refused, renewals are written apart from the others.
			batch = l.core.CollectBatch(l.batchLimit)
		}
		if batch.Empty() && !renewalDue {
			pause(ctx, minWriteInterval)
			continue
		}
		stored, lost := l.commitBatch(ctx, batch, renewalDue)
		if lost {
			l.node.opts.Log.WithFields(map[string]any{"event": "leadership_lost", "epoch": l.epoch}).Warn("leadership lost to another instance")
			return
		}
		l.logSuspension()
		if !stored {
			pause(ctx, storeRetryDelay)
		}
		pause(ctx, minWriteInterval)
	}
}

// commandsUntil returns until when the leader sends commands to workers without a further durable write.
func (l *leadership) commandsUntil() cell.Instant { return l.storedAt + suspendAfter - suspendMargin }

// confirmedMargin is how long before the earliest takeover a leader without a durable write reckons with a successor.
const confirmedMargin = 100 * time.Millisecond

// isConfirmed reports whether no other instance can have taken over since the last durable write.
func (l *leadership) isConfirmed() bool {
	return l.node.opts.Now() < time.Duration(l.confirmedAt.Load())+lostLeaderTakeoverTimeout-confirmedMargin
}

// logSuspension logs whether the commands to workers are suspended, since the leadership cannot be renewed.
func (l *leadership) logSuspension() {
	stale := l.node.opts.Now() >= l.commandsUntil()
	if stale == l.suspended {
		return
	}
	l.suspended = stale
	l.node.opts.Log.WithFields(map[string]any{
		"event": "leadership_suspended", "epoch": l.epoch, "suspended": stale,
		"renewal_age_ms": (l.node.opts.Now() - l.storedAt).Milliseconds(),
	}).Warn("leadership suspended or resumed")
}

// readWriteVersion reads the version on which the first write is conditional. If it fails, the first write gets a conflict.
func (l *leadership) readWriteVersion(ctx context.Context) {
	row, err := l.node.tables.Get(ctx, writeKey)
	if err != nil {
		l.node.opts.Log.WithError(err).WithField("event", "write_version_unknown").Info("cannot read the version of the newest write; the first write may conflict")
		return
	}
	l.writeVersion = row.Version
}

// commitBatch writes a batch, and the renewal row if renew is set, and passes the outcome to the scheduler. lost is true if
// another instance leads.
func (l *leadership) commitBatch(ctx context.Context, batch cell.Batch, renew bool) (stored, lost bool) {
	stored, lost, refused := l.writeBatch(ctx, batch, renew)
	now := l.node.opts.Now()
	if refused != nil && batch.Rows() == 1 {
		l.core.BatchRefused(batch, now)
	} else {
		l.core.BatchStored(batch, stored, now)
	}
	l.adjustBatchLimit(batch, stored, refused)
	return stored, lost
}

// adjustBatchLimit halves the limit after a write that the store refused whatever happens, and doubles it after one that it took.
func (l *leadership) adjustBatchLimit(batch cell.Batch, stored bool, refused error) {
	switch {
	case refused != nil:
		l.batchLimit = max(1, batch.Rows()/2)
		if batch.Rows() == 1 {
			l.batchLimit = maxBatchRows
		}
		l.node.opts.Log.WithError(refused).WithFields(map[string]any{
			"event": "write_refused", "epoch": l.epoch, "rows": batch.Rows(),
		}).Error("the store refuses a write; the rows are written apart")
	case stored && !batch.Empty():
		l.batchLimit = min(2*l.batchLimit, maxBatchRows)
	}
}

// writeBatch writes a batch, and the renewal row if renew is set. refused is the error of a write that the store refuses whatever
// happens.
func (l *leadership) writeBatch(ctx context.Context, batch cell.Batch, renew bool) (stored, lost bool, refused error) {
	sent := l.node.opts.Now()
	l.writeCount++
	txn, err := l.buildTxn(batch, l.row, renew)
	if err != nil {
		l.node.opts.Log.WithError(err).Error("cannot encode the progress")
		return false, false, nil
	}
	removesFormerRow := l.removeFormerFleetRow(&txn)
	version, err := l.node.tables.Commit(ctx, txn)
	if err == nil {
		l.writeVersion = version
		if removesFormerRow {
			l.hasFormerFleetRow = false
		}
		l.recordStored(sent, renew)
		return true, false, nil
	}
	e := verdict.From(err)
	if e.Code == verdict.CodeInvalid && !batch.Empty() {
		return false, false, err
	}
	l.node.opts.Log.WithError(err).WithFields(map[string]any{
		"event": "renewal_failed", "epoch": l.epoch, "write": l.writeCount,
	}).Warn("progress was not stored")
	if e.Verdict == verdict.NotRun && e.Code != verdict.CodeConflict {
		return false, false, nil
	}
	stored, lost = l.resolveCommit(ctx)
	if stored {
		l.recordStored(sent, renew)
	}
	return stored, lost, nil
}

// removeFormerFleetRow adds the removal of the row at formerFleetKey to a transaction if all rows that replace it are durable.
func (l *leadership) removeFormerFleetRow(txn *backend.Txn) bool {
	if !l.isLoaded() || !l.hasFormerFleetRow || !l.core.FleetRecordStored() {
		return false
	}
	txn.Remove = append(txn.Remove, formerFleetKey)
	return true
}

// isLoaded reports whether all rows were read.
func (l *leadership) isLoaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

func (l *leadership) recordStored(sent cell.Instant, renewed bool) {
	l.storedAt = sent
	l.confirmedAt.Store(int64(sent))
	l.core.AllowCommandsUntil(l.commandsUntil())
	if renewed {
		l.core.RenewalStored(l.listed, l.node.opts.Now())
		l.cover.renewalStored()
		l.renewedAt = sent
	}
}

// resolveCommit resolves a write with an unknown outcome or a failed condition by reading the leader row and the row of the
// newest write.
func (l *leadership) resolveCommit(ctx context.Context) (stored, lost bool) {
	leader, err := l.node.tables.Get(ctx, leaderKey)
	if err != nil {
		return false, false
	}
	if leader.Version != l.rowVersion {
		return false, true
	}
	newest, err := l.node.tables.Get(ctx, writeKey)
	if err != nil {
		return false, false
	}
	l.writeVersion = newest.Version
	return string(newest.Value) == l.writeID(), false
}

// writeID returns the id of the newest write of the leadership.
func (l *leadership) writeID() string {
	return l.row.Claim + "/" + strconv.FormatUint(l.writeCount, 10)
}

// buildTxn returns the transaction that writes a batch. Each transaction is conditional on the row of the newest write and
// replaces it, which puts the writes of the leadership in sequence.
func (l *leadership) buildTxn(batch cell.Batch, row leaderRow, renew bool) (backend.Txn, error) {
	txn := backend.Txn{
		Expected: []backend.Row{
			{RowKey: leaderKey, Version: l.rowVersion},
			{RowKey: writeKey, Version: l.writeVersion},
		},
		Put: []backend.Row{{RowKey: writeKey, Value: []byte(l.writeID())}},
	}
	if renew {
		renewal, err := l.encodeRenewal()
		if err != nil {
			return txn, err
		}
		txn.Put = append(txn.Put, backend.Row{RowKey: renewalKey, Value: renewal})
	}
	for _, row := range batch.Fleet {
		txn.Put = append(txn.Put, backend.Row{RowKey: fleetKey(row.Shard), Value: row.Data})
	}
	for _, row := range batch.Waves {
		txn.Put = append(txn.Put, backend.Row{RowKey: waveKey(row.Wave), Value: row.Data})
	}
	for _, p := range batch.Progress {
		txn.Put = append(txn.Put, backend.Row{RowKey: progressKey(p.Job), Value: p.Data})
	}
	for _, id := range batch.Removed {
		txn.Remove = append(txn.Remove, progressKey(id))
	}
	if row.Resigned {
		row.leaseExtensionFields, row.closedWorkersField = l.leaseExtensionFields(), l.closeWorkers()
		row.placementCoverField = l.cover.field()
		value, err := json.Marshal(row)
		if err != nil {
			return txn, err
		}
		txn.Put = append(txn.Put, backend.Row{RowKey: leaderKey, Value: value})
	}
	return txn, nil
}
