// Package journal records the outcomes of an intent partition in the platform's table, in batches. A Journal lives for
// one epoch of the partition.
package journal

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

// Prefix returns the key prefix of the outcome rows of a partition.
func Prefix(partition int) string { return fmt.Sprintf("outcome/%d/", partition) }

// Options configures a Journal.
type Options struct {
	Partition int
	Epoch     uint64
	Table     store.Table
	Clock     clockwork.Clock
	// Condition makes each write fail once the partition has another owner.
	Condition store.Condition
	// FlushInterval is the time between batches.
	FlushInterval time.Duration
	// MaxPending is the maximum number of outcomes that are not durable yet.
	MaxPending int
}

// Journal collects outcomes and writes them in batches.
type Journal struct {
	opts Options

	// flushLock serialises flushes and protects batchOutcomes, batchTxnID and batchNumber. It is acquired before mu. It is a
	// channel of capacity 1 and not a mutex, since it is held during a write to the table and waiting for it must end with
	// the context.
	flushLock     chan struct{}
	batchOutcomes []model.Outcome
	batchTxnID    string
	batchNumber   uint64

	// mu protects the fields below. pending holds the outcomes that are in no batch yet; durableSignals holds a channel for
	// each task whose outcome is not durable yet.
	mu             sync.Mutex
	pending        []model.Outcome
	durableSignals map[model.TaskID]chan struct{}
}

// New returns a journal; Run writes its batches.
func New(opts Options) *Journal {
	return &Journal{opts: opts, flushLock: make(chan struct{}, 1), durableSignals: map[model.TaskID]chan struct{}{}}
}

// Append queues an outcome. The returned channel is closed when the outcome is durable. For a task whose outcome is not
// durable yet, it queues nothing and returns the same channel. It returns a NotRun error when the journal is full.
func (j *Journal) Append(out model.Outcome) (<-chan struct{}, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if done, ok := j.durableSignals[out.Task]; ok {
		return done, nil
	}
	if len(j.durableSignals) >= j.opts.MaxPending {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the outcome journal is full").WithRetryAfter(time.Second)
	}
	done := make(chan struct{})
	j.durableSignals[out.Task] = done
	j.pending = append(j.pending, out)
	return done, nil
}

// Pending returns the number of outcomes that are not durable yet, and the channel that Append returned for a task, or nil
// if no outcome of the task is pending.
func (j *Journal) Pending(task model.TaskID) (count int, done <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if ch, ok := j.durableSignals[task]; ok {
		return len(j.durableSignals), ch
	}
	return len(j.durableSignals), nil
}

// Run writes a batch every FlushInterval until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	ticker := j.opts.Clock.NewTicker(j.opts.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			_ = j.Flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes the queued outcomes as one row. Once a write of a batch has been attempted, the batch keeps its content, key
// and transaction id until it is durable, so that a delayed earlier write can neither duplicate nor replace it.
func (j *Journal) Flush(ctx context.Context) error {
	select {
	case j.flushLock <- struct{}{}:
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "wait for the batch before")
	}
	defer func() { <-j.flushLock }()
	if !j.prepareBatch() {
		return nil
	}
	data, err := json.Marshal(j.batchOutcomes)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%d-%012d", Prefix(j.opts.Partition), j.opts.Epoch, j.batchNumber)
	_, err = j.opts.Table.Commit(ctx, store.Txn{
		ID:         j.batchTxnID,
		Conditions: []store.Condition{j.opts.Condition, {Key: key}},
		Writes:     []store.Write{{Key: key, Value: data}},
	})
	if err != nil && !j.batchWritten(ctx, key) {
		return err
	}
	j.batchNumber++
	j.completeBatch()
	return nil
}

// prepareBatch moves the queued outcomes into a new batch unless an earlier batch is still to be written. It reports
// whether there is a batch to write. Callers hold j.flushLock.
func (j *Journal) prepareBatch() bool {
	if len(j.batchOutcomes) > 0 {
		return true
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.batchOutcomes, j.pending = j.pending, nil
	j.batchTxnID = uuid.NewString()
	return len(j.batchOutcomes) > 0
}

// batchWritten reads the row of the batch back and reports whether the write took effect. Callers hold j.flushLock.
func (j *Journal) batchWritten(ctx context.Context, key string) bool {
	rows, err := j.opts.Table.Get(ctx, key)
	return err == nil && len(rows) == 1 && rows[0].TxnID == j.batchTxnID
}

// completeBatch signals that the outcomes of the batch are durable and clears the batch. Callers hold j.flushLock.
func (j *Journal) completeBatch() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, out := range j.batchOutcomes {
		close(j.durableSignals[out.Task])
		delete(j.durableSignals, out.Task)
	}
	j.batchOutcomes = nil
}

// Load reads the recorded outcomes of a partition from the table.
func Load(ctx context.Context, table store.Table, partition int) (map[model.TaskID]model.Outcome, error) {
	rows, err := table.Scan(ctx, Prefix(partition))
	if err != nil {
		return nil, err
	}
	outcomes := map[model.TaskID]model.Outcome{}
	for _, row := range rows {
		var batch []model.Outcome
		if err := json.Unmarshal(row.Value, &batch); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "outcome row %q", row.Key)
		}
		for _, out := range batch {
			outcomes[out.Task] = out
		}
	}
	return outcomes, nil
}
