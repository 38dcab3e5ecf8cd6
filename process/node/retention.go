package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

const (
	// removeEvery is the time between removals of expired rows.
	removeEvery = 2 * time.Second
	// removeBatch bounds the jobs of one removal.
	removeBatch = 40
)

// removeExpired removes the records and cancellations of jobs past their retention, and lets their progress follow.
func (t *term) removeExpired(ctx context.Context) {
	for pause(ctx, removeEvery) {
		ids := t.core.TakeExpired(removeBatch)
		if len(ids) == 0 {
			continue
		}
		// A removal waits for nobody: the table may be read anew for as long as the store is away.
		if !t.rows.TryLock() {
			t.core.RowsRemoved(ids, false)
			continue
		}
		err := t.removeRows(ctx, ids)
		t.core.RowsRemoved(ids, err == nil)
		t.rows.Unlock()
		t.node.opts.Log.WithFields(map[string]any{"event": "rows_removed", "jobs": len(ids), "error": errText(err)}).Info("expired rows removed")
	}
}

// removeRows removes the rows of jobs from every part in which they may be. A repetition does no harm.
func (t *term) removeRows(ctx context.Context, ids []job.ID) error {
	byPart := map[string][]backend.RowKey{}
	for _, id := range ids {
		for _, part := range partsOf(id) {
			byPart[part] = append(byPart[part], jobKey(id, part), cancelKey(id, part))
		}
	}
	for _, keys := range byPart {
		if _, err := t.node.tables.Commit(ctx, backend.Txn{Remove: keys}); err != nil {
			return err
		}
	}
	return nil
}
