package node

import (
	"context"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Leave makes the instance report itself as not ready and give up its leadership, so that another instance takes over at
// once. It goes on answering callers.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	t := n.currentTerm()
	if t == nil {
		return
	}
	t.resign(ctx)
}

// resign stops the orders of the term and writes what has ended together with the resignation.
func (t *term) resign(ctx context.Context) {
	t.core.Suspend(true)
	t.resigning.Store(true)
	select {
	case <-t.resigned:
	case <-ctx.Done():
	}
}

// commitResignation is called by the writer of the term, which owns the versions of its rows.
func (t *term) commitResignation(ctx context.Context) {
	defer close(t.resigned)
	row := t.row
	row.Resigned = true
	var batch cell.Batch
	for range resignAttempts {
		batch = t.core.CollectBatch(batchRows)
		t.writes++
		txn, err := t.transaction(batch, row, false)
		if err != nil {
			return
		}
		_, err = t.node.tables.Commit(ctx, txn)
		stored, lost := err == nil, false
		if err != nil {
			stored, lost = t.settle(ctx)
		}
		t.core.BatchStored(batch, stored, t.node.opts.Now())
		t.node.opts.Log.WithFields(map[string]any{
			"event": "leadership_resigned", "epoch": t.epoch, "stored": stored, "error": errText(err),
		}).Info("resignation")
		if stored || lost {
			return
		}
		pause(ctx, readRetry)
	}
}

// resignAttempts bounds the attempts to resign; without one the takeover waits for the renewals to stop.
const resignAttempts = 5
