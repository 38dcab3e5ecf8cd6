package node

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// A refusal states that no earlier attempt to submit the job takes effect, also one without an answer whose write is still on its
// way. So it is stored in place of the job record: inserts are conditional on the absence of the row. A later attempt replaces it.

// refusedRecord is the value of a job row that marks a refusal. It is no JSON object, so that it cannot be taken for a job record.
var refusedRecord = []byte(`"refused"`)

func isRefused(record []byte) bool { return bytes.Equal(record, refusedRecord) }

// Refuse makes sure that no attempt so far to submit a job takes effect. It returns cause, which has the verdict NotRun, if that is
// certain, nil if the job exists, and an error with MayHaveRun if neither is known.
func (n *Node) Refuse(ctx context.Context, id job.ID, cause error) error {
	exists, err := n.storeRefusals(ctx, id)
	if exists {
		return n.answerForExisting(cause)
	}
	if err != nil {
		return uncertain(err)
	}
	return cause
}

// refuseAuthorized is Refuse for a caller whose key is in force: if the job exists, its submission has succeeded.
func (n *Node) refuseAuthorized(ctx context.Context, id job.ID, cause error) error {
	exists, err := n.storeRefusals(ctx, id)
	if exists {
		return nil
	}
	if err != nil {
		return uncertain(err)
	}
	return cause
}

// storeRefusals stores a refusal in each row in which a job may be. exists is true if one of them holds the job. After an error it is not known
// whether an attempt takes effect.
func (n *Node) storeRefusals(ctx context.Context, id job.ID) (exists bool, unknown error) {
	for _, shard := range shardsOf(id) {
		exists, err := n.storeRefusal(ctx, jobKey(id, shard))
		if exists {
			return true, nil
		}
		if err == nil {
			continue
		}
		unknown = err
		if n.direct.Silent() {
			break
		}
	}
	return false, unknown
}

// storeRefusal makes sure that a row holds a refusal written by this call. exists is true if it holds a job.
func (n *Node) storeRefusal(ctx context.Context, key backend.RowKey) (exists bool, err error) {
	for range maxReplacements {
		existing, err := n.inserts.Insert(ctx, key, refusedRecord)
		if err != nil || len(existing) == 0 {
			return false, err
		}
		if !isRefused(existing) {
			return true, nil
		}
		renewed, err := n.renewRefusal(ctx, key)
		if renewed || err != nil {
			return false, err
		}
	}
	return false, errRefusalChanges()
}

// renewRefusal writes a refusal again: attempts that began after it would replace it. renewed is false if the row has changed.
func (n *Node) renewRefusal(ctx context.Context, key backend.RowKey) (renewed bool, err error) {
	row, err := n.tables.Get(ctx, key)
	if err != nil || row.Version == 0 || !isRefused(row.Value) {
		return false, err
	}
	_, err = n.tables.Commit(ctx, backend.Txn{
		Expected: []backend.Row{{RowKey: key, Version: row.Version}}, Put: []backend.Row{{RowKey: key, Value: refusedRecord}},
	})
	if err != nil && verdict.From(err).Code == verdict.CodeConflict {
		return false, nil
	}
	return err == nil, err
}

func errRefusalChanges() error { return unavailable(nil, "the refusal of the job keeps changing") }

// answerForExisting returns the answer to a submission that cannot be accepted although the job exists: success, unless its key may
// have been withdrawn.
func (n *Node) answerForExisting(cause error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requiresKeys() {
		return uncertain(cause)
	}
	return nil
}

// uncertain returns the error for a submission that was not stored, while an earlier attempt may have been.
func uncertain(cause error) error {
	e := verdict.From(cause)
	return verdict.Wrap(cause, verdict.MayHaveRun, e.Code, "it is not known whether the job was stored").WithRetryAfter(retryAfter)
}

// maxReplacements limits the attempts to replace a refusal that other attempts replace or remove at the same time.
const maxReplacements = 3

// storeJob stores a job record unless the job exists; if it does, storeJob returns its record. seen is the newest version of the
// store that was known when the attempt began. An error with NotRun means that the job was refused meanwhile.
func (n *Node) storeJob(ctx context.Context, id job.ID, record []byte, seen uint64) (existing []byte, err error) {
	for range maxReplacements {
		existing, err = n.storeRequestPatiently(ctx, id, record)
		if err != nil {
			return nil, uncertain(err)
		}
		if !isRefused(existing) {
			return existing, nil
		}
		done, err := n.replaceRefusal(ctx, id, record, seen)
		if done || err != nil {
			return nil, err
		}
	}
	return nil, uncertain(errRefusalChanges())
}

const (
	// storeWait is how long a submission that has not been written waits for the store to answer again.
	storeWait = 300 * time.Millisecond
	// storeWaitInterval is the time between its attempts.
	storeWaitInterval = 100 * time.Millisecond
)

// storeRequestPatiently is storeRequest with further attempts for a short time while nothing has been written. An earlier attempt of
// the caller may have been stored, so that it cannot be refused, and without a refusal it asks again at once.
func (n *Node) storeRequestPatiently(ctx context.Context, id job.ID, record []byte) (existing []byte, err error) {
	deadline := n.opts.Now() + storeWait
	for {
		existing, err = n.storeRequest(ctx, id, record)
		if err == nil || verdict.Of(err) != verdict.NotRun || n.opts.Now() >= deadline || !pause(ctx, storeWaitInterval) {
			return existing, err
		}
	}
}

// replaceRefusal replaces the refusal of a job by its record, if the refusal was stored before this attempt began. Otherwise the
// refusal covers this attempt too. done is false if the rows have changed.
func (n *Node) replaceRefusal(ctx context.Context, id job.ID, record []byte, seen uint64) (done bool, err error) {
	row, err := n.refusalRow(ctx, id)
	if err != nil {
		return false, uncertain(err)
	}
	if row.Version == 0 {
		return false, nil
	}
	if row.Version > seen {
		err := n.Refuse(ctx, id, unavailable(nil, "another attempt was refused at the same time"))
		return true, err
	}
	_, err = n.tables.Commit(ctx, backend.Txn{
		Expected: []backend.Row{{RowKey: row.RowKey, Version: row.Version}},
		Put:      []backend.Row{{RowKey: row.RowKey, Value: record}},
	})
	if err == nil {
		return true, nil
	}
	if e := verdict.From(err); e.Code == verdict.CodeConflict {
		return false, nil
	}
	return false, uncertain(err)
}

// refusalRow returns the row with the refusal of a job in the first of its shards that can be read, or a row with version 0.
func (n *Node) refusalRow(ctx context.Context, id job.ID) (backend.Row, error) {
	var lastErr error
	for _, shard := range shardsOf(id) {
		row, err := n.tables.Get(ctx, jobKey(id, shard))
		if err == nil && row.Version != 0 && isRefused(row.Value) {
			return row, nil
		}
		if err == nil && row.Version != 0 {
			return backend.Row{}, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return backend.Row{}, lastErr
}

// refusalRetention is how long a refusal is kept after the leader has read it. A write without an answer may be executed seconds
// later.
const refusalRetention = time.Minute

// storedRefusal is a refusal that the leader has read.
type storedRefusal struct {
	version uint64
	readAt  cell.Instant
}

// noteRefusal records a job row that holds a refusal, so that it is removed after refusalRetention.
func (l *leadership) noteRefusal(row backend.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusals[row.RowKey].version != row.Version {
		l.refusals[row.RowKey] = storedRefusal{row.Version, l.node.opts.Now()}
	}
}

// takeExpiredRefusals returns refusals past their retention, at most limit, and forgets them.
func (l *leadership) takeExpiredRefusals(limit int) []backend.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []backend.Row
	now := l.node.opts.Now()
	for key, r := range l.refusals {
		if len(rows) == limit {
			break
		}
		if now > r.readAt+refusalRetention {
			rows = append(rows, backend.Row{RowKey: key, Version: r.version})
			delete(l.refusals, key)
		}
	}
	return rows
}

// removeRefusals removes refusals past their retention, unless a job has replaced them.
func (l *leadership) removeRefusals(ctx context.Context) {
	byShard := map[string][]backend.Row{}
	for _, row := range l.takeExpiredRefusals(maxRemovedRefusals) {
		byShard[row.Shard] = append(byShard[row.Shard], row)
	}
	for _, rows := range byShard {
		for chunk := range slices.Chunk(rows, maxRemovedRows/2) {
			l.removeRefusalRows(ctx, chunk)
		}
	}
}

// removeRefusalRows removes refusals of a shard together or, if a job has replaced one of them, one by one. If the store does not remove them,
// they are removed later.
func (l *leadership) removeRefusalRows(ctx context.Context, rows []backend.Row) {
	txn := backend.Txn{Expected: rows}
	for _, row := range rows {
		txn.Remove = append(txn.Remove, row.RowKey)
	}
	_, err := l.node.tables.Commit(ctx, txn)
	switch {
	case err == nil:
	case verdict.From(err).Code != verdict.CodeConflict:
		for _, row := range rows {
			l.noteRefusal(row)
		}
	case len(rows) > 1:
		for row := range slices.Chunk(rows, 1) {
			l.removeRefusalRows(ctx, row)
		}
	}
}

// decodeJobRecord decodes the value of a job row. refused is true if it marks a refusal.
func decodeJobRecord(value []byte) (record job.Record, refused bool, err error) {
	if isRefused(value) {
		return job.Record{}, true, nil
	}
	err = json.Unmarshal(value, &record)
	return record, false, err
}
