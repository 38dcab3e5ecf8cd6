package instance

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

// workersKey returns the key of the row that records the workers of a rack.
func workersKey(rack string) string { return "workers/" + rack }

// loadRecordedWorkers reads the row of workers, which contains every worker that an owner of the rack has ever fenced.
func (r *rackRunner) loadRecordedWorkers() error {
	rows, err := r.in.opts.Table.Get(r.ctx, workersKey(r.core.ID()))
	if err != nil {
		return err
	}
	r.recordLock.Lock()
	defer r.recordLock.Unlock()
	r.recordedWorkers = map[string]store.Member{}
	if len(rows) == 0 {
		return nil
	}
	var members []store.Member
	if err := json.Unmarshal(rows[0].Value, &members); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode %s", rows[0].Key)
	}
	for _, m := range members {
		r.recordedWorkers[m.ID] = m
	}
	r.recordedVersion = rows[0].Version
	return nil
}

// recordWorkers writes the row of the rack's workers if members contains new workers or new addresses. It returns the
// workers that may be used: those in the row, with their current state if members contains them. Callers hold r.recordLock.
func (r *rackRunner) recordWorkers(members []store.Member) []store.Member {
	next := maps.Clone(r.recordedWorkers)
	changed := false
	for _, m := range members {
		old, known := r.recordedWorkers[m.ID]
		if known && old.Address == m.Address {
			r.recordedWorkers[m.ID] = m
		} else {
			changed = true
		}
		next[m.ID] = m
	}
	if changed && r.writeRecordedWorkers(next) {
		r.recordedWorkers = next
	}
	usable := slices.Collect(maps.Values(r.recordedWorkers))
	sort.Slice(usable, func(i, j int) bool { return usable[i].ID < usable[j].ID })
	return usable
}

// writeRecordedWorkers writes the row and reports whether it was certainly written. Callers hold r.recordLock.
func (r *rackRunner) writeRecordedWorkers(members map[string]store.Member) bool {
	list := slices.Collect(maps.Values(members))
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	data, err := json.Marshal(list)
	if err != nil {
		return false
	}
	key := workersKey(r.core.ID())
	versions, err := r.in.opts.Table.Commit(r.ctx, store.Txn{
		ID: uuid.NewString(), Conditions: []store.Condition{r.ownerCondition, {Key: key, Version: r.recordedVersion}},
		Writes: []store.Write{{Key: key, Value: data}},
	})
	if err != nil {
		// An earlier write may have been applied; the next write is conditional on the version that the row has now.
		if rows, readErr := r.in.opts.Table.Get(r.ctx, key); readErr == nil && len(rows) == 1 {
			r.recordedVersion = rows[0].Version
		}
		return false
	}
	r.recordedVersion = versions[0]
	return true
}
