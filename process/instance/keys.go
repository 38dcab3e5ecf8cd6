package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/intent"
)

const (
	// keyBatchDelay is how long the first key of a batch waits for others.
	keyBatchDelay = 20 * time.Millisecond
	// keyBatchSize bounds the number of keys in one transaction.
	keyBatchSize = 64
	// maxPendingKeys bounds the keys of a partition that wait for a write.
	maxPendingKeys = 1024
	// keysPerSecond bounds the new keys that all instances together record per second. It is the part of the cell's budget
	// of 200 writes/s that outcomes and sessions do not use at the peak rate of task starts.
	keysPerSecond = 120
	// keyBurst is the number of new keys that one instance may record at once after an idle period.
	keyBurst = 16
)

// admitKey charges one new key to this instance's share of keysPerSecond. The error is NotRun.
func (in *Instance) admitKey() error {
	now := in.opts.Clock.Now()
	in.keyLimiter.SetLimitAt(now, rate.Limit(keysPerSecond/float64(max(1, len(in.owners.Sessions())))))
	if in.keyLimiter.AllowN(now, 1) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "more Idempotency-Keys arrive than can be recorded; tickets have no such limit").WithRetryAfter(time.Second)
}

// keyRequest is an idempotency key that waits to be recorded.
type keyRequest struct {
	rowKey  string
	binding intent.Key
	done    chan keyResult
}

// keyResult is the recorded key, which may be that of an earlier call, or the error.
type keyResult struct {
	key intent.Key
	err error
}

// keyWriter records the idempotency keys of one partition and epoch in batches.
type keyWriter struct {
	mu      sync.Mutex
	pending []*keyRequest
	running bool
}

// recordKey durably binds a key to a ticket and returns the ticket. Nothing is dispatched before that, so every error is
// NotRun, even if the result of the write is unknown: a row that appears later refers to a ticket that was never used.
func (r *intentRunner) recordKey(ctx context.Context, id, key string, payload []byte) (model.StartToken, error) {
	if _, err := r.core.Intent(id); err != nil {
		return model.StartToken{}, err
	}
	tickets, err := r.core.Tickets(1)
	if err != nil {
		return model.StartToken{}, err
	}
	req := &keyRequest{
		rowKey:  fmt.Sprintf("key/%d/%s", r.partition(), intent.KeyHash(id, key)),
		binding: intent.NewKey(id, tickets[0], payload), done: make(chan keyResult, 1),
	}
	if err := r.keys.add(r, req); err != nil {
		return model.StartToken{}, err
	}
	select {
	case res := <-req.done:
		if res.err != nil {
			e := verdict.From(res.err)
			if e.Code == verdict.CodeOverloaded {
				return model.StartToken{}, e
			}
			return model.StartToken{}, verdict.Wrap(e, verdict.NotRun, verdict.CodeUnavailable, "the Idempotency-Key cannot be recorded").WithRetryAfter(max(e.RetryAfter, retryDelay))
		}
		return res.key.Ticket, res.key.CheckPayload(payload)
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return model.StartToken{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the Idempotency-Key was not recorded in time").WithRetryAfter(retryDelay)
}

// add queues a key and starts the writer unless it is running.
func (w *keyWriter) add(r *intentRunner, req *keyRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= maxPendingKeys {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many Idempotency-Keys wait to be recorded").WithRetryAfter(time.Second)
	}
	w.pending = append(w.pending, req)
	if !w.running {
		w.running = true
		r.in.spawn(func() { w.run(r) })
	}
	return nil
}

// run writes batches until the queue is empty.
func (w *keyWriter) run(r *intentRunner) {
	for {
		r.in.sleep(r.ctx, keyBatchDelay)
		w.mu.Lock()
		n := min(keyBatchSize, len(w.pending))
		batch := w.pending[:n:n]
		w.pending = w.pending[n:]
		if n == 0 {
			w.pending, w.running = nil, false
		}
		w.mu.Unlock()
		if n == 0 {
			return
		}
		r.writeKeys(batch)
	}
}

// writeKeys answers the requests whose keys have a row, writes the other keys in one transaction, and answers their
// requests. Two requests with the same key share the row of the first.
func (r *intentRunner) writeKeys(batch []*keyRequest) {
	found, err := r.readKeys(batch)
	var conditions []store.Condition
	var writes []store.Write
	newKeys, refusals := map[string]intent.Key{}, map[*keyRequest]error{}
	for _, req := range batch {
		if _, ok := found[req.rowKey]; ok || err != nil {
			continue
		}
		if _, ok := newKeys[req.rowKey]; ok {
			continue
		}
		if refusal := r.in.admitKey(); refusal != nil {
			refusals[req] = refusal
			continue
		}
		var data []byte
		data, err = json.Marshal(req.binding)
		newKeys[req.rowKey] = req.binding
		conditions = append(conditions, store.Condition{Key: req.rowKey})
		writes = append(writes, store.Write{Key: req.rowKey, Value: data})
	}
	if err == nil && len(writes) > 0 {
		_, err = r.commit(r.ctx, conditions, writes)
	}
	for _, req := range batch {
		if refusal := refusals[req]; refusal != nil {
			req.done <- keyResult{err: refusal}
			continue
		}
		key, ok := found[req.rowKey]
		if !ok {
			key = newKeys[req.rowKey]
		}
		if ok {
			req.done <- keyResult{key: key}
		} else {
			req.done <- keyResult{key, err}
		}
	}
}

// readKeys returns the stored keys of a batch, by row key.
func (r *intentRunner) readKeys(batch []*keyRequest) (map[string]intent.Key, error) {
	rowKeys := make([]string, len(batch))
	for i, req := range batch {
		rowKeys[i] = req.rowKey
	}
	rows, err := r.in.opts.Table.Get(r.ctx, rowKeys...)
	if err != nil {
		return nil, err
	}
	found := make(map[string]intent.Key, len(rows))
	for _, row := range rows {
		var key intent.Key
		if err := json.Unmarshal(row.Value, &key); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode %s", row.Key)
		}
		found[row.Key] = key
	}
	return found, nil
}
