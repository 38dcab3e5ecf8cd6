package instance

import (
	"context"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// cancelBatchSize bounds the number of cancellations in one transaction.
const cancelBatchSize = 64

// cancellation is one request to cancel an intent.
type cancellation struct {
	id   string
	done chan cancelResult
}

type cancelResult struct {
	intent model.Intent
	err    error
}

// Cancel cancels an intent. Concurrent cancellations are written in batches, so that many at once stay within the write
// budget; each gets its own result.
func (in *Instance) Cancel(ctx context.Context, n int, id string) (model.Intent, error) {
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return model.Intent{}, err
	}
	c := &cancellation{id: id, done: make(chan cancelResult, 1)}
	r.mu.Lock()
	r.pendingCancels = append(r.pendingCancels, c)
	startWriter := !r.cancelWriterRunning
	r.cancelWriterRunning = true
	r.mu.Unlock()
	if startWriter {
		in.spawn(r.writeCancellations)
	}
	select {
	case res := <-c.done:
		return res.intent, res.err
	case <-ctx.Done():
		return model.Intent{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the cancellation")
	case <-r.ctx.Done():
		return model.Intent{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the partition moved to another owner").WithRetryAfter(retryDelay)
	}
}

// writeCancellations writes pending cancellations in batches until none is left.
func (r *intentRunner) writeCancellations() {
	for {
		r.mu.Lock()
		n := min(cancelBatchSize, len(r.pendingCancels))
		batch := r.pendingCancels[:n:n]
		r.pendingCancels = r.pendingCancels[n:]
		if n == 0 {
			r.pendingCancels, r.cancelWriterRunning = nil, false
		}
		r.mu.Unlock()
		if n == 0 {
			return
		}
		r.writeCancelBatch(batch)
	}
}

// writeCancelBatch writes a batch of cancellations in one transaction. After a conflict each intent is written by a
// transaction of its own, so that one conflicting row does not fail the others.
func (r *intentRunner) writeCancelBatch(batch []*cancellation) {
	r.rowLock.Lock()
	defer r.rowLock.Unlock()
	var outstanding []*cancellation
	var rows []model.Intent
	seen := map[string]bool{}
	for _, c := range batch {
		out, err := r.core.Intent(c.id)
		if err != nil || out.State == model.IntentCancelled {
			c.done <- cancelResult{out, err}
			continue
		}
		out.State = model.IntentCancelled
		outstanding = append(outstanding, c)
		if !seen[c.id] {
			seen[c.id] = true
			rows = append(rows, out)
		}
	}
	if len(rows) == 0 {
		return
	}
	err := r.writeIntents(r.ctx, rows...)
	if err != nil && len(rows) > 1 && verdict.From(err).Code == verdict.CodeConflict {
		r.writeCancelsSeparately(outstanding, rows)
		return
	}
	r.completeCancellations(outstanding, rows, err)
}

// writeCancelsSeparately writes each row by a transaction of its own. Callers hold r.rowLock.
func (r *intentRunner) writeCancelsSeparately(outstanding []*cancellation, rows []model.Intent) {
	for _, row := range rows {
		var requests []*cancellation
		for _, c := range outstanding {
			if c.id == row.ID {
				requests = append(requests, c)
			}
		}
		r.completeCancellations(requests, []model.Intent{row}, r.writeIntents(r.ctx, row))
	}
}

// completeCancellations applies the result of a write to the core and sends it to the callers. Callers hold r.rowLock.
func (r *intentRunner) completeCancellations(outstanding []*cancellation, rows []model.Intent, err error) {
	byID := make(map[string]model.Intent, len(rows))
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		byID[row.ID] = row
		ids = append(ids, row.ID)
	}
	if err == nil {
		r.execute(r.core.Cancelled(r.now(), ids...))
	} else if verdict.Of(err) == verdict.MayHaveRun {
		r.in.spawn(func() { r.retryCancellations(ids) })
	}
	for _, c := range outstanding {
		c.done <- cancelResult{byID[c.id], err}
	}
}

// retryCancellations resolves cancellations whose result is unknown: it repeats the write until it was certainly applied.
// Otherwise the table could say that an intent is cancelled while its tasks run.
func (r *intentRunner) retryCancellations(ids []string) {
	for len(ids) > 0 && r.in.sleep(r.ctx, unknownResultRetryInterval) {
		var unresolved []string
		for _, id := range ids {
			if !r.retryCancellation(id) {
				unresolved = append(unresolved, id)
			}
		}
		ids = unresolved
	}
}

// retryCancellation makes one attempt and reports whether the cancellation is resolved.
func (r *intentRunner) retryCancellation(id string) bool {
	r.rowLock.Lock()
	defer r.rowLock.Unlock()
	out, err := r.core.Intent(id)
	if err != nil || out.State == model.IntentCancelled {
		return true
	}
	out.State = model.IntentCancelled
	if r.writeIntents(r.ctx, out) != nil {
		return false
	}
	r.execute(r.core.Cancelled(r.now(), id))
	return true
}
