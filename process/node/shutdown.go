package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
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

// failedLeadershipPause is how long an instance whose leadership has failed leaves a takeover to the others.
const failedLeadershipPause = 5 * time.Second

// guard calls f and reports whether it returned without a panic. A panic ends the leadership.
func (l *leadership) guard(f func()) (ok bool) {
	ok = l.node.opts.Panics.Run(placeLeadership, f)
	if !ok {
		l.fail()
	}
	return ok
}

// fail ends the leadership after a panic, since the state of the scheduler may be inconsistent: the writer resigns, and another
// instance reads the durable state.
func (l *leadership) fail() {
	if !l.failed.CompareAndSwap(false, true) {
		return
	}
	n := l.node
	n.mu.Lock()
	n.noTakeoverUntil = n.opts.Now() + failedLeadershipPause
	n.mu.Unlock()
	n.opts.Log.WithFields(map[string]any{"event": "leadership_failed", "epoch": l.epoch}).Error("leadership ends after an unexpected failure")
	l.core.EndCommands()
	l.resigning.Store(true)
}

// resign stops sending commands to workers and requests the resignation, which is written together with the completions that
// are not durable yet. It waits until the writer has tried or ctx ends.
func (l *leadership) resign(ctx context.Context) {
	l.core.EndCommands()
	l.resigning.Store(true)
	select {
	case <-l.resigned:
	case <-ctx.Done():
	}
}

// commitResignation writes the resignation. It is called by the writer, which owns the versions of the rows.
func (l *leadership) commitResignation(ctx context.Context) {
	l.endOwnCommands()
	row := l.row
	row.Resigned = true
	refused := false
	for range maxResignAttempts {
		batch := cell.Batch{}
		if !refused {
			batch = l.core.CollectBatch(maxBatchRows)
		}
		row.Unstored = !l.isLoaded() || !l.resultsWhole(l.node.opts.Now()) || !l.core.AreResultsIn(batch)
		l.writeCount++
		txn, err := l.buildTxn(batch, row, false)
		if err != nil {
			return
		}
		_, err = l.node.tables.Commit(ctx, txn)
		// Rows that the store refuses whatever happens must not keep the resignation from being written.
		refused = err != nil && verdict.From(err).Code == verdict.CodeInvalid
		stored, lost := err == nil, false
		if err != nil {
			stored, lost = l.resolveCommit(ctx)
		}
		l.core.BatchStored(batch, stored, l.node.opts.Now())
		l.node.opts.Log.WithFields(map[string]any{
			"event": "leadership_resigned", "epoch": l.epoch, "stored": stored, "unstored": row.Unstored, "error": errText(err),
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
