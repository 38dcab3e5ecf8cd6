package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

const (
	// removalInterval is the time between removals of expired rows.
	removalInterval = 2 * time.Second
	// maxRemovedJobs bounds the jobs of one removal.
	maxRemovedJobs = 40
)

// removeExpired removes the records and cancellations of jobs past their retention, and lets their progress follow.
func (l *leadership) removeExpired(ctx context.Context) {
	for pause(ctx, removalInterval) {
		ids := l.core.TakeExpired(maxRemovedJobs)
		if len(ids) == 0 {
			continue
		}
		// A removal waits for nobody: the table may be read anew for as long as the store is away.
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

// removeRows removes the rows of jobs from every part in which they may be. A repetition does no harm.
func (l *leadership) removeRows(ctx context.Context, ids []job.ID) error {
	byShard := map[string][]backend.RowKey{}
	for _, id := range ids {
		for _, shard := range shardsOf(id) {
			byShard[shard] = append(byShard[shard], jobKey(id, shard), cancelKey(id, shard))
		}
	}
	for _, keys := range byShard {
		if _, err := l.node.tables.Commit(ctx, backend.Txn{Remove: keys}); err != nil {
			return err
		}
	}
	return nil
}
