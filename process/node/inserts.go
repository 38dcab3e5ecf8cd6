package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// partCount is the number of parts over which jobs and cancellations are spread. A part takes one transaction at a time.
	partCount = 8
	// insertBatch bounds the rows of one transaction, each of which takes two entries of the service's 100.
	insertBatch = 40
	// insertBytes bounds the values of one transaction, well below the service's limit of 1 MB in base64.
	insertBytes = 400_000
	// insertRetry is the time between attempts whose outcome is unknown or that were refused for now.
	insertRetry = 60 * time.Millisecond
)

// jobParts returns the parts of the jobs and cancellations.
func jobParts() []string {
	parts := make([]string, partCount)
	for i := range parts {
		parts[i] = partName(uint32(i))
	}
	return parts
}

// partsOf returns the parts in which the rows of a job may be, the usual one first. The second one is used while the first
// does not answer. A row in both means the same job.
func partsOf(id job.ID) [2]string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	first := h.Sum32() % partCount
	second := (first + 1 + (h.Sum32()/partCount)%(partCount-1)) % partCount
	return [2]string{partName(first), partName(second)}
}

func partName(i uint32) string { return fmt.Sprintf("p%d", i) }

func jobKey(id job.ID, part string) backend.RowKey {
	return backend.RowKey{Table: jobTable, Part: part, Key: string(id)}
}

func cancelKey(id job.ID, part string) backend.RowKey {
	return backend.RowKey{Table: cancelTable, Part: part, Key: string(id)}
}

func progressKey(id job.ID) backend.RowKey {
	return backend.RowKey{Table: progressTable, Part: cellPart, Key: string(id)}
}

// inserter writes rows that must not exist yet. Rows of one part share transactions while one is on its way.
type inserter struct {
	tables *observedTables

	mu    sync.Mutex
	parts map[string]*insertQueue
}

// insertQueue holds the rows of one part that wait for the transaction on its way.
type insertQueue struct {
	waiting []*insert
	busy    bool
}

// insert is one row to be written and its outcome.
type insert struct {
	key   backend.RowKey
	value []byte
	done  chan insertOutcome
}

// insertOutcome is what became of an insert: the row that exists now, or the error of the last attempt.
type insertOutcome struct {
	// existing is the value that was there before, nil if the insert wrote the row.
	existing []byte
	err      error
}

func newInserter(tables *observedTables) *inserter {
	return &inserter{tables: tables, parts: map[string]*insertQueue{}}
}

// Insert writes a row unless one exists, whose value it returns then. It repeats attempts until ctx ends or the part
// counts as down. The error has the verdict NotRun only if every attempt was certainly refused.
func (i *inserter) Insert(ctx context.Context, key backend.RowKey, value []byte) (existing []byte, err error) {
	certain := true
	for attempt := 1; ; attempt++ {
		if err := i.tables.Check(ctx, key.Part); err != nil {
			return nil, insertFailed(err, certain)
		}
		out := i.try(ctx, &insert{key: key, value: value, done: make(chan insertOutcome, 1)})
		if out.err == nil {
			return out.existing, nil
		}
		certain = certain && verdict.Of(out.err) == verdict.NotRun
		if (certain && attempt >= refusedAttempts) || i.tables.Down(key.Part) || !pause(ctx, insertRetry) {
			return nil, insertFailed(out.err, certain)
		}
	}
}

// try waits for the outcome of one attempt. It gives up with an unknown outcome when the store counts as down.
func (i *inserter) try(ctx context.Context, in *insert) insertOutcome {
	i.enqueue(in)
	check := time.NewTicker(downCheck)
	defer check.Stop()
	for {
		select {
		case out := <-in.done:
			return out
		case <-ctx.Done():
			return insertOutcome{err: verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the store")}
		case <-check.C:
			if i.tables.Down(in.key.Part) {
				return insertOutcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the store does not answer")}
			}
		}
	}
}

// downCheck is the time between checks whether the store still answers.
const downCheck = 100 * time.Millisecond

// refusedAttempts is after how many certain refusals a caller is told to come back later.
const refusedAttempts = 3

func insertFailed(cause error, certain bool) error {
	v := verdict.MayHaveRun
	if certain {
		v = verdict.NotRun
	}
	return verdict.Wrap(cause, v, verdict.CodeUnavailable, "the store did not answer in time").After(retryAfter)
}

func (i *inserter) enqueue(in *insert) {
	i.mu.Lock()
	defer i.mu.Unlock()
	q := i.parts[in.key.Part]
	if q == nil {
		q = &insertQueue{}
		i.parts[in.key.Part] = q
	}
	q.waiting = append(q.waiting, in)
	if !q.busy {
		q.busy = true
		go i.drain(q)
	}
}

// drain writes the waiting rows of a part in batches until none is left.
func (i *inserter) drain(q *insertQueue) {
	for {
		batch := i.take(q)
		if len(batch) == 0 {
			return
		}
		i.write(batch)
	}
}

// take returns the next batch, in which each row occurs once.
func (i *inserter) take(q *insertQueue) []*insert {
	i.mu.Lock()
	defer i.mu.Unlock()
	var batch, rest []*insert
	bytes := 0
	seen := map[backend.RowKey]struct{}{}
	for _, in := range q.waiting {
		_, twice := seen[in.key]
		if twice || len(batch) == insertBatch || (bytes > 0 && bytes+len(in.value) > insertBytes) {
			rest = append(rest, in)
			continue
		}
		seen[in.key] = struct{}{}
		bytes += len(in.value)
		batch = append(batch, in)
	}
	q.waiting = rest
	q.busy = len(batch) > 0
	return batch
}

// write commits a batch. Rows that exist already are answered and the others are tried again without them.
func (i *inserter) write(batch []*insert) {
	// The transaction outlives the callers, which may have given up.
	ctx := context.Background()
	for len(batch) > 0 {
		txn := backend.Txn{}
		for _, in := range batch {
			txn.Expected = append(txn.Expected, backend.Row{RowKey: in.key})
			txn.Put = append(txn.Put, backend.Row{RowKey: in.key, Value: in.value})
		}
		_, err := i.tables.Commit(ctx, txn)
		rest := batch
		if err == nil {
			answer(batch, insertOutcome{})
			return
		}
		if e := verdict.From(err); e.Code == verdict.CodeConflict {
			rest = answerExisting(batch, e)
		}
		if len(rest) == len(batch) {
			answer(batch, insertOutcome{err: err})
			return
		}
		batch = rest
	}
}

func answer(batch []*insert, out insertOutcome) {
	for _, in := range batch {
		in.done <- out
	}
}

// answerExisting answers the inserts whose rows exist and returns the others.
func answerExisting(batch []*insert, e *verdict.Error) []*insert {
	rows, _ := e.Detail.([]backend.Row)
	existing := map[backend.RowKey][]byte{}
	for _, row := range rows {
		if row.Version != 0 && !row.Deleted {
			existing[row.RowKey] = row.Value
		}
	}
	var rest []*insert
	for _, in := range batch {
		if value, ok := existing[in.key]; ok {
			in.done <- insertOutcome{existing: append([]byte{}, value...)}
			continue
		}
		rest = append(rest, in)
	}
	return rest
}
