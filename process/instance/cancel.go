package instance

import (
	"context"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// cancelBatch bounds the cancellations of one transaction.
const cancelBatch = 64

// cancellation is one request to cancel an intent.
type cancellation struct {
	id   string
	done chan cancelResult
}

type cancelResult struct {
	intent model.Intent
	err    error
}

// Cancel ends an intent. Cancellations that arrive together are written together, so that a wave of them stays within
// the write budget; each gets its own result.
func (in *Instance) Cancel(ctx context.Context, n int, id string) (model.Intent, error) {
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Intent{}, err
	}
	c := &cancellation{id: id, done: make(chan cancelResult, 1)}
	r.mu.Lock()
	r.cancels = append(r.cancels, c)
	start := !r.cancelling
	r.cancelling = true
	r.mu.Unlock()
	if start {
		in.run(r.cancelWave)
	}
	select {
	case res := <-c.done:
		return res.intent, res.err
	case <-ctx.Done():
		return model.Intent{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the cancellation")
	case <-r.ctx.Done():
		return model.Intent{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the partition moved to another owner").After(retryDelay)
	}
}

// cancelWave writes cancellations until none is left.
func (r *intentRunner) cancelWave() {
	for {
		r.mu.Lock()
		n := min(cancelBatch, len(r.cancels))
		batch := r.cancels[:n:n]
		r.cancels = r.cancels[n:]
		if n == 0 {
			r.cancels, r.cancelling = nil, false
		}
		r.mu.Unlock()
		if n == 0 {
			return
		}
		r.cancelAll(batch)
	}
}

// cancelAll cancels a batch in one transaction. If that fails with NotRun, each is tried alone, so that one cannot spoil
// the others.
func (r *intentRunner) cancelAll(batch []*cancellation) {
	r.confirming.Lock()
	defer r.confirming.Unlock()
	var open []*cancellation
	var rows []model.Intent
	seen := map[string]bool{}
	for _, c := range batch {
		out, err := r.core.Intent(c.id)
		if err != nil || out.State == model.IntentCancelled {
			c.done <- cancelResult{out, err}
			continue
		}
		out.State = model.IntentCancelled
		open = append(open, c)
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
		r.cancelEach(open, rows)
		return
	}
	r.cancelled(open, rows, err)
}

func (r *intentRunner) cancelEach(open []*cancellation, rows []model.Intent) {
	for _, row := range rows {
		var same []*cancellation
		for _, c := range open {
			if c.id == row.ID {
				same = append(same, c)
			}
		}
		r.cancelled(same, []model.Intent{row}, r.writeIntents(r.ctx, row))
	}
}

// cancelled enters written cancellations and answers them. Callers hold r.confirming.
func (r *intentRunner) cancelled(open []*cancellation, rows []model.Intent, err error) {
	byID := make(map[string]model.Intent, len(rows))
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		byID[row.ID] = row
		ids = append(ids, row.ID)
	}
	if err == nil {
		r.execute(r.core.Cancelled(r.now(), ids...))
	} else if verdict.Of(err) == verdict.MayHaveRun {
		r.in.run(func() { r.cancelLater(ids) })
	}
	for _, c := range open {
		c.done <- cancelResult{byID[c.id], err}
	}
}

// cancelLater settles cancellations whose result is unknown: it cancels again until that has certainly taken effect, so
// that the table does not say cancelled while the tasks run.
func (r *intentRunner) cancelLater(ids []string) {
	for len(ids) > 0 && r.in.sleep(r.ctx, lateRetry) {
		var open []string
		for _, id := range ids {
			if !r.cancelAgain(id) {
				open = append(open, id)
			}
		}
		ids = open
	}
}

// cancelAgain reports whether the cancellation is settled.
func (r *intentRunner) cancelAgain(id string) bool {
	r.confirming.Lock()
	defer r.confirming.Unlock()
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
