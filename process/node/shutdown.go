package node

import (
	"context"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Leave makes the instance report itself as not ready and give up its leadership, so that another instance takes over at
// once. It goes on answering callers.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	l := n.currentLeadership()
	if l == nil {
		return
	}
	l.resign(ctx)
}

// resign stops the orders of the term and writes what has ended together with the resignation.
func (l *leadership) resign(ctx context.Context) {
	l.core.Suspend(true)
	l.resigning.Store(true)
	select {
	case <-l.resigned:
	case <-ctx.Done():
	}
}

// commitResignation is called by the writer of the term, which owns the versions of its rows.
func (l *leadership) commitResignation(ctx context.Context) {
	defer close(l.resigned)
	row := l.row
	row.Resigned = true
	var batch cell.Batch
	for range maxResignAttempts {
		batch = l.core.CollectBatch(maxBatchRows)
		l.writeCount++
		txn, err := l.buildTxn(batch, row, false)
		if err != nil {
			return
		}
		_, err = l.node.tables.Commit(ctx, txn)
		stored, lost := err == nil, false
		if err != nil {
			stored, lost = l.resolveCommit(ctx)
		}
		l.core.BatchStored(batch, stored, l.node.opts.Now())
		l.node.opts.Log.WithFields(map[string]any{
			"event": "leadership_resigned", "epoch": l.epoch, "stored": stored, "error": errText(err),
		}).Info("resignation")
		if stored || lost {
			return
		}
		pause(ctx, storeRetryDelay)
	}
}

// maxResignAttempts bounds the attempts to resign; without one the takeover waits for the renewals to stop.
const maxResignAttempts = 5
