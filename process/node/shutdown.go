package node

import (
	"context"

	"github.com/lentiltide/lentiltide/version/cell"
)

// Leave makes the instance report that it is not ready and resign its leadership, so that another instance takes over
// immediately. The instance continues to answer callers.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	l := n.currentLeadership()
	if l == nil {
		return
	}
	l.resign(ctx)
}

// resign stops sending commands to workers and requests the resignation, which is written together with the completions that
// are not durable yet. It waits until the writer has tried or ctx ends.
func (l *leadership) resign(ctx context.Context) {
	l.core.Suspend(true)
	l.resigning.Store(true)
	select {
	case <-l.resigned:
	case <-ctx.Done():
	}
}

// commitResignation writes the resignation. It is called by the writer, which owns the versions of the rows.
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

// maxResignAttempts limits the attempts to write the resignation. If none succeeds, a successor takes over only after the
// takeover timeout.
const maxResignAttempts = 5
