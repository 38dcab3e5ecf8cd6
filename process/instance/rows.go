package instance

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/intent"
)

// maxCommitAttempts bounds the attempts to commit a transaction whose answer was lost.
const maxCommitAttempts = 5

// commit commits a transaction that is conditional on the partition row and returns the versions of the written rows. After
// a lost answer it reads the written rows back and repeats the same transaction while its result is unknown; at most one of
// the attempts can apply.
func (r *intentRunner) commit(ctx context.Context, conditions []store.Condition, writes []store.Write) ([]uint64, error) {
	txn := store.Txn{
		ID: uuid.NewString(), Conditions: append([]store.Condition{r.ownerCondition}, conditions...), Writes: writes,
	}
	var err error
	for attempt := range maxCommitAttempts {
		var versions []uint64
		if versions, err = r.in.opts.Table.Commit(ctx, txn); err == nil {
			return versions, nil
		}
		if verdict.Of(err) == verdict.NotRun && attempt == 0 {
			return nil, r.ownerError(ctx, err)
		}
		versions, unchanged := r.readBack(ctx, txn)
		if versions != nil {
			return versions, nil
		}
		// The conflict proves that the transaction can no longer apply; the unchanged rows prove that no earlier attempt did.
		if unchanged && verdict.From(err).Code == verdict.CodeConflict {
			return nil, r.ownerError(ctx, err)
		}
		if !r.in.sleep(ctx, retryDelay) {
			break
		}
	}
	// An earlier attempt may have been applied or may still arrive, so even a refusal of the last one does not mean NotRun.
	return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "the result of a write is unknown").WithRetryAfter(retryDelay)
}

// ownerError replaces a conflict on the partition row by CodeWrongOwner: it means that the partition has another owner.
func (r *intentRunner) ownerError(ctx context.Context, err error) error {
	if verdict.From(err).Code != verdict.CodeConflict {
		return err
	}
	rows, readErr := r.in.opts.Table.Get(ctx, r.ownerCondition.Key)
	if readErr == nil && len(rows) == 1 && rows[0].Version == r.ownerCondition.Version {
		return err
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeWrongOwner, "intent partition %d moved to another owner", r.partition()).WithRetryAfter(retryDelay)
}

// readBack returns the versions of the rows that a transaction has written, or nil if it is not known to have been
// applied. unchanged is set when all its rows still have the versions that it requires.
func (r *intentRunner) readBack(ctx context.Context, txn store.Txn) (versions []uint64, unchanged bool) {
	keys := make([]string, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	rows, err := r.in.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, false
	}
	found := make(map[string]store.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
		if row.TxnID == txn.ID {
			versions = append(versions, row.Version)
		}
	}
	if len(versions) == len(keys) {
		return versions, false
	}
	required := map[string]uint64{}
	for _, c := range txn.Conditions {
		required[c.Key] = c.Version
	}
	for _, key := range keys {
		version, conditional := required[key]
		if !conditional || found[key].Version != version {
			return nil, false
		}
	}
	return nil, true
}

// putRow writes a row, conditional on its version and on the partition row. version 0 requires the row to be absent.
func (r *intentRunner) putRow(ctx context.Context, key string, version uint64, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode %s", key)
	}
	_, err = r.commit(ctx, []store.Condition{{Key: key, Version: version}}, []store.Write{{Key: key, Value: data}})
	return err
}

// writeIntents writes the rows of existing or new intents in one transaction. Callers hold r.rowLock.
func (r *intentRunner) writeIntents(ctx context.Context, intents ...model.Intent) error {
	if err := r.loadMissingVersions(ctx, intents); err != nil {
		return err
	}
	var conditions []store.Condition
	var writes []store.Write
	for _, in := range intents {
		key := intentKey(r.partition(), in.ID)
		data, err := json.Marshal(in)
		if err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode %s", key)
		}
		conditions = append(conditions, store.Condition{Key: key, Version: r.rowVersions[key]})
		writes = append(writes, store.Write{Key: key, Value: data})
	}
	versions, err := r.commit(ctx, conditions, writes)
	for i, w := range writes {
		if err != nil {
			// The version may be outdated: an earlier write whose result was unknown may have been applied.
			delete(r.rowVersions, w.Key)
			continue
		}
		r.rowVersions[w.Key] = versions[i]
	}
	return err
}

// loadMissingVersions reads the row versions that are not in r.rowVersions. A newly confirmed intent is left out, since its
// row must be absent. Callers hold r.rowLock.
func (r *intentRunner) loadMissingVersions(ctx context.Context, intents []model.Intent) error {
	var missing []string
	for _, in := range intents {
		key := intentKey(r.partition(), in.ID)
		if _, ok := r.rowVersions[key]; !ok && (in.State != model.IntentConfirmed || in.GangStarts > 0 || in.NextRun > 0) {
			missing = append(missing, key)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	rows, err := r.in.opts.Table.Get(ctx, missing...)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read intent rows").WithRetryAfter(retryDelay)
	}
	for _, row := range rows {
		r.rowVersions[row.Key] = row.Version
	}
	return nil
}

// readIntentRow reads the row of an intent; ok is false when there is none. Callers hold r.rowLock.
func (r *intentRunner) readIntentRow(ctx context.Context, id string) (in model.Intent, ok bool, err error) {
	rows, err := r.in.opts.Table.Get(ctx, intentKey(r.partition(), id))
	if err != nil || len(rows) == 0 {
		return model.Intent{}, false, err
	}
	if err := json.NewDecoder(bytes.NewReader(rows[0].Value)).Decode(&in); err != nil {
		return model.Intent{}, false, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode %s", rows[0].Key)
	}
	r.rowVersions[rows[0].Key] = rows[0].Version
	return in, true, nil
}

// deleteBatchSize bounds the number of rows that one transaction deletes.
const deleteBatchSize = 64

// deleteRows deletes the rows of intents and plans that are past their retention. After a failure rows remain, which the
// next owner loads and deletes.
func (r *intentRunner) deleteRows(e intent.DeleteRows) {
	r.rowLock.Lock()
	defer r.rowLock.Unlock()
	var writes []store.Write
	for _, id := range e.Intents {
		key := intentKey(r.partition(), id)
		delete(r.rowVersions, key)
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	for _, id := range e.Plans {
		writes = append(writes, store.Write{Key: planKey(r.partition(), id), Delete: true})
	}
	for len(writes) > 0 {
		n := min(deleteBatchSize, len(writes))
		if _, err := r.commit(r.ctx, nil, writes[:n]); err != nil {
			r.in.opts.Log.WithError(err).WithField("partition", r.partition()).Warn("could not delete rows past their retention")
			return
		}
		writes = writes[n:]
	}
}
