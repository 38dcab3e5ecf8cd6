package node

import (
	"context"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

const (
	// removalInterval is the time between removals of expired rows.
	removalInterval = 2 * time.Second
	// maxRemovedJobs limits the finished jobs of one removal. They are removed faster than the largest cells finish jobs; otherwise the rows, and
	// what the leader keeps of them, would grow for as long as the load lasts.
	maxRemovedJobs = 600
	// maxRemovedRefusals limits the refusals of one removal. While a backlog is full, every submission is refused.
	maxRemovedRefusals = 2000
	// maxRemovedCancels limits the cancellations of unknown jobs of one removal. Each takes transactions of its own.
	maxRemovedCancels = 100
	// maxRemovedRows limits the rows of one transaction; the table service allows 100 entries, of which a condition is one.
	maxRemovedRows = 80
)

// removeExpired removes the records and cancellations of jobs past their retention. The writer removes their progress
// afterwards.
func (l *leadership) removeExpired(ctx context.Context) {
	for pause(ctx, removalInterval) {
		l.removeRefusals(ctx)
		l.removeCancels(ctx)
		ids := l.core.TakeExpired(maxRemovedJobs)
		if len(ids) == 0 {
			continue
		}
		// The removal does not wait for the lock: a table that is being read again may hold it for as long as the store is
		// unavailable.
		if !l.removalLock.TryLock() {
			l.core.RowsRemoved(ids, false)
			continue
		}
		err := l.removeRows(ctx, ids)
		l.core.RowsRemoved(ids, err == nil)
		l.removalLock.Unlock()
		l.node.opts.Log.WithFields(map[string]any{"event": "rows_removed", "jobs": len(ids), "error": errText(err)}).Info("expired rows removed")
	}
}

// removeCancels removes the cancellations of jobs that have never become known. If a removal fails, the next leader repeats it.
func (l *leadership) removeCancels(ctx context.Context) {
	for _, id := range l.core.TakeExpiredCancels(maxRemovedCancels) {
		if err := l.removeCancel(ctx, id); err != nil {
			l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "cancel_not_removed", "job": id}).Info("expired cancellation was not removed")
		}
	}
}

// removeCancel removes the cancellation of a job that has not become known. If the job exists, as when its record could not be read for a
// long time, or that cannot be read, the scheduler keeps the cancellation.
func (l *leadership) removeCancel(ctx context.Context, id job.ID) error {
	record, err := l.node.readRow(ctx, id, jobKey)
	if err != nil || record.Version != 0 {
		l.core.CancelJob(id, l.node.opts.Now())
		return err
	}
	for _, shard := range shardsOf(id) {
		txn := backend.Txn{Remove: []backend.RowKey{cancelKey(id, shard)}}
		if _, err = l.node.tables.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}

// removeRows removes the rows of jobs from every shard in which they may be. It is safe to repeat.
func (l *leadership) removeRows(ctx context.Context, ids []job.ID) error {
	byShard := map[string][]backend.RowKey{}
	for _, id := range ids {
		for _, shard := range shardsOf(id) {
			byShard[shard] = append(byShard[shard], jobKey(id, shard), cancelKey(id, shard))
		}
	}
	for _, keys := range byShard {
		for chunk := range slices.Chunk(keys, maxRemovedRows) {
			if _, err := l.node.tables.Commit(ctx, backend.Txn{Remove: chunk}); err != nil {
				return err
			}
		}
	}
	return nil
}
