package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// shardCount is the number of shards over which jobs and cancellations are spread. A shard processes one transaction at
	// a time, and a slow store takes 0.2 s for each.
	shardCount = 64
	// maxInsertRows limits the rows of one transaction. Each row takes two entries of the 100 that the service allows.
	maxInsertRows = 40
	// maxInsertBytes limits the values of one transaction. It is well below the service's limit of 1 MB in base64.
	maxInsertBytes = 400_000
	// insertRetryDelay is the delay before an insert that the store refused for its rate is tried again. It doubles with each
	// attempt, of which there are maxInsertAttempts: the backlog of a shard of a slow store takes up to a second.
	insertRetryDelay  = 60 * time.Millisecond
	maxInsertAttempts = 5
	// maxInsertWait is how long rows wait for the transaction in flight of their shard to be batched behind it. A slow store takes
	// longer; then a further transaction is sent, up to maxInsertWriters at the same time.
	maxInsertWait    = 100 * time.Millisecond
	maxInsertWriters = 4
)

// jobShards returns the names of the shards that hold jobs and cancellations.
func jobShards() []string {
	shards := make([]string, shardCount)
	for i := range shards {
		shards[i] = shardName(uint32(i))
	}
	return shards
}

// shardsOf returns the primary and the alternate shard of a job's rows. The alternate is written while the primary does not
// answer. Rows in both shards mean the same job.
func shardsOf(id job.ID) [2]string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	primary := h.Sum32() % shardCount
	alternate := (primary + 1 + (h.Sum32()/shardCount)%(shardCount-1)) % shardCount
	return [2]string{shardName(primary), shardName(alternate)}
}

func shardName(i uint32) string { return fmt.Sprintf("p%d", i) }

func jobKey(id job.ID, shard string) backend.RowKey {
	return backend.RowKey{Table: jobTable, Shard: shard, Key: string(id)}
}

func cancelKey(id job.ID, shard string) backend.RowKey {
	return backend.RowKey{Table: cancelTable, Shard: shard, Key: string(id)}
}

func progressKey(id job.ID) backend.RowKey {
	return backend.RowKey{Table: progressTable, Shard: cellShard, Key: string(id)}
}

// inserter writes rows that must not exist yet. Rows of a shard that arrive while a transaction on it is in flight are
// batched into the next one, which is sent when the first has ended or after maxInsertWait.
type inserter struct {
	tables backend.Tables

	mu sync.Mutex
	// queues holds the queue of each shard.
	queues map[string]*insertQueue
}

// insertQueue holds the rows of one shard that wait for a transaction in flight. The mu of the inserter protects it.
type insertQueue struct {
	pending []*insert
	// writers is the number of goroutines that write batches.
	writers int
}

// insert is one row to write; done receives its outcome.
type insert struct {
	key   backend.RowKey
	value []byte
	done  chan insertOutcome
}

// insertOutcome is the result of an insert: the value of an existing row, or the error of the last attempt.
type insertOutcome struct {
	// existing is the value of the row that existed before, nil if the insert wrote the row.
	existing []byte
	err      error
}

func newInserter(tables backend.Tables) *inserter {
	return &inserter{tables: tables, queues: map[string]*insertQueue{}}
}

// Insert writes a row unless it exists; if it does, Insert returns its value. Attempts that the store refuses for its rate
// are repeated. The error has the verdict NotRun only if no attempt can have taken effect.
func (i *inserter) Insert(ctx context.Context, key backend.RowKey, value []byte) (existing []byte, err error) {
	return i.InsertAny(ctx, []backend.RowKey{key}, value)
}

// InsertAny writes a row under the first of several keys whose shard has no backlog: attempts that the store refuses for its rate are
// repeated with the next key. Of other errors it returns the first. The error has the verdict NotRun only if no attempt can have
// taken effect.
func (i *inserter) InsertAny(ctx context.Context, keys []backend.RowKey, value []byte) (existing []byte, err error) {
	delay := insertRetryDelay
	for attempt := 1; ; attempt++ {
		existing, err = i.insertOnce(ctx, keys[(attempt-1)%len(keys)], value)
		overloaded := err != nil && verdict.From(err).Code == verdict.CodeOverloaded && verdict.Of(err) == verdict.NotRun
		if !overloaded || attempt == maxInsertAttempts {
			return existing, err
		}
		if attempt%len(keys) != 0 {
			continue
		}
		if !pause(ctx, delay) {
			return nil, err
		}
		delay *= 2
	}
}

// insertOnce makes one attempt to write a row.
func (i *inserter) insertOnce(ctx context.Context, key backend.RowKey, value []byte) (existing []byte, err error) {
	in := &insert{key: key, value: value, done: make(chan insertOutcome, 1)}
	i.enqueue(in)
	select {
	case out := <-in.done:
		return out.existing, out.err
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the store")
	}
}

func (i *inserter) enqueue(in *insert) {
	i.mu.Lock()
	defer i.mu.Unlock()
	q := i.queues[in.key.Shard]
	if q == nil {
		q = &insertQueue{}
		i.queues[in.key.Shard] = q
	}
	q.pending = append(q.pending, in)
	if q.writers == 0 {
		q.writers++
		go i.drain(q)
		return
	}
	time.AfterFunc(maxInsertWait, func() { i.addWriter(q, in) })
}

// addWriter starts a further writer if an insert still waits for a transaction in flight.
func (i *inserter) addWriter(q *insertQueue, in *insert) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if q.writers < maxInsertWriters && slices.Contains(q.pending, in) {
		q.writers++
		go i.drain(q)
	}
}

// drain writes the pending rows of a shard in batches until none is left.
func (i *inserter) drain(q *insertQueue) {
	for {
		batch := i.nextBatch(q)
		if len(batch) == 0 {
			return
		}
		i.write(batch)
	}
}

// nextBatch removes the next batch from the queue. A key occurs only once in a batch; its duplicates stay in the queue.
func (i *inserter) nextBatch(q *insertQueue) []*insert {
	i.mu.Lock()
	defer i.mu.Unlock()
	var batch, remaining []*insert
	bytes := 0
	seen := map[backend.RowKey]struct{}{}
	for _, in := range q.pending {
		_, duplicate := seen[in.key]
		if duplicate || len(batch) == maxInsertRows || (bytes > 0 && bytes+len(in.value) > maxInsertBytes) {
			remaining = append(remaining, in)
			continue
		}
		seen[in.key] = struct{}{}
		bytes += len(in.value)
		batch = append(batch, in)
	}
	q.pending = remaining
	if len(batch) == 0 {
		q.writers--
	}
	return batch
}

// write commits a batch. If some rows exist already, their inserts are completed and the remaining rows are tried again.
func (i *inserter) write(batch []*insert) {
	// The transaction outlives the callers: it is not cancelled when they time out.
	ctx := context.Background()
	for len(batch) > 0 {
		txn := backend.Txn{}
		for _, in := range batch {
			txn.Expected = append(txn.Expected, backend.Row{RowKey: in.key})
			txn.Put = append(txn.Put, backend.Row{RowKey: in.key, Value: in.value})
		}
		_, err := i.tables.Commit(ctx, txn)
		remaining := batch
		if err == nil {
			deliver(batch, insertOutcome{})
			return
		}
		if e := verdict.From(err); e.Code == verdict.CodeConflict {
			remaining = deliverExisting(batch, e)
		}
		if len(remaining) == len(batch) {
			deliver(batch, insertOutcome{err: err})
			return
		}
		batch = remaining
	}
}

func deliver(batch []*insert, out insertOutcome) {
	for _, in := range batch {
		in.done <- out
	}
}

// deliverExisting completes the inserts whose rows exist and returns the others.
func deliverExisting(batch []*insert, e *verdict.Error) []*insert {
	rows, _ := e.Detail.([]backend.Row)
	existing := map[backend.RowKey][]byte{}
	for _, row := range rows {
		if row.Version != 0 && !row.Deleted {
			existing[row.RowKey] = row.Value
		}
	}
	var remaining []*insert
	for _, in := range batch {
		if value, ok := existing[in.key]; ok {
			in.done <- insertOutcome{existing: append([]byte{}, value...)}
			continue
		}
		remaining = append(remaining, in)
	}
	return remaining
}

// storeRequest writes the record of a job, or its cancellation if the record is empty, unless the row exists; if it does,
// storeRequest returns its value. If the primary shard does not answer, the alternate is used; the leader merges both. The
// error has the verdict NotRun only if no attempt can have written the row.
func (n *Node) storeRequest(ctx context.Context, id job.ID, record []byte) ([]byte, error) {
	combined := verdict.NotRun
	var firstErr error
	key, value := jobKey, record
	if len(record) == 0 {
		key, value = cancelKey, []byte("{}")
	}
	shards := shardsOf(id)
	for first := range shards {
		// A shard with a backlog is left to the other one.
		keys := []backend.RowKey{key(id, shards[first]), key(id, shards[1-first])}
		existing, err := n.inserts.InsertAny(ctx, keys, value)
		if err == nil {
			return existing, nil
		}
		if firstErr == nil {
			firstErr = err
		}
		if verdict.Of(err) != verdict.NotRun {
			combined = verdict.MayHaveRun
		}
		if n.direct.Silent() {
			break
		}
	}
	return nil, verdict.Wrap(firstErr, combined, verdict.From(firstErr).Code, "store the request").WithRetryAfter(retryAfter)
}

// readRow reads a row that may be in either shard of a job. A result with version 0 and no error means that it is in
// neither, or that the job was refused.
func (n *Node) readRow(ctx context.Context, id job.ID, key func(job.ID, string) backend.RowKey) (backend.Row, error) {
	var lastErr error
	for _, shard := range shardsOf(id) {
		row, err := n.tables.Get(ctx, key(id, shard))
		if err == nil && row.Version != 0 && !isRefused(row.Value) {
			return row, nil
		}
		if err != nil {
			lastErr = unavailable(err, "the store cannot be read")
		}
	}
	return backend.Row{}, lastErr
}
