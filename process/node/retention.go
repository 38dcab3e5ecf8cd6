package node

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

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
	// maxRemovedCancels limits the cancellations of unknown jobs of one removal, and maxRecordReads the reads at the same time that show whether
	// their jobs exist.
	maxRemovedCancels = 600
	maxRecordReads    = 16
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
		err := l.removeRows(ctx, ids, jobKey, cancelKey)
		l.core.RowsRemoved(ids, err == nil)
		l.removalLock.Unlock()
		l.node.opts.Log.WithFields(map[string]any{"event": "rows_removed", "jobs": len(ids), "error": errText(err)}).Info("expired rows removed")
	}
}

// removeCancels removes the cancellations of jobs that have never become known. If a removal fails, the next leader repeats it.
func (l *leadership) removeCancels(ctx context.Context) {
	ids := l.selectAbsent(ctx, l.core.TakeExpiredCancels(maxRemovedCancels))
	if err := l.removeRows(ctx, ids, cancelKey); err != nil {
		l.node.opts.Log.WithError(err).WithFields(map[string]any{"event": "cancels_not_removed", "jobs": len(ids)}).Info("expired cancellations were not removed")
	}
}

// selectAbsent returns the jobs without a record. If a job exists, as when its record could not be read for a long time, or that cannot be read,
// the scheduler keeps the cancellation.
func (l *leadership) selectAbsent(ctx context.Context, ids []job.ID) []job.ID {
	exists := make([]bool, len(ids))
	var group errgroup.Group
	group.SetLimit(maxRecordReads)
	for i, id := range ids {
		group.Go(func() error {
			record, err := l.node.readRow(ctx, id, jobKey)
			if exists[i] = err != nil || record.Version != 0; exists[i] {
				l.core.CancelJob(id, l.node.opts.Now())
			}
			return nil
		})
	}
	_ = group.Wait()
	var absent []job.ID
	for i, id := range ids {
		if !exists[i] {
			absent = append(absent, id)
		}
	}
	return absent
}

// removeRows removes rows of jobs, whose keys the given functions return, from every shard in which they may be. It is safe to repeat.
func (l *leadership) removeRows(ctx context.Context, ids []job.ID, keys ...func(job.ID, string) backend.RowKey) error {
	byShard := map[string][]backend.RowKey{}
	for _, id := range ids {
		for _, shard := range shardsOf(id) {
			for _, key := range keys {
				byShard[shard] = append(byShard[shard], key(id, shard))
			}
		}
	}
	for _, rows := range byShard {
		for chunk := range slices.Chunk(rows, maxRemovedRows) {
			if _, err := l.node.tables.Commit(ctx, backend.Txn{Remove: chunk}); err != nil {
				return err
			}
		}
	}
	return nil
}
