package node

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// fleetLeader is the writer of a leadership on a stand-in store, with a scheduler whose workers answer.
type fleetLeader struct {
	*leadership
	t      *testing.T
	tables *backends.Tables
	now    time.Duration
	// refused is the key of a row that the store refuses.
	refused string
}

// refusingTables refuses the transactions that write a row with a key.
type refusingTables struct {
	backend.Tables
	key *string
}

// Commit implements backend.Tables.
func (r refusingTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	for _, row := range txn.Put {
		if row.Key == *r.key {
			return 0, verdict.Invalid("row", "row %s is too large", row.Key)
		}
	}
	return r.Tables.Commit(ctx, txn)
}

// newFleetLeader takes over as the leader of an epoch.
func newFleetLeader(t *testing.T, tables *backends.Tables, epoch uint64) *fleetLeader {
	f := &fleetLeader{t: t, tables: tables, now: time.Duration(epoch) * time.Hour}
	n, _ := newIdleNode(Options{Tables: refusingTables{tables, &f.refused}, Peers: struct{ peer.Caller }{}})
	n.opts.Now = func() time.Duration { return f.now }
	n.direct.now = n.opts.Now
	n.direct.answeredAt = f.now
	tables.Put(leaderKey, []byte("{}"))
	row, err := tables.Get(t.Context(), leaderKey)
	assert.NilError(t, err)
	f.leadership = &leadership{node: n, epoch: epoch, rowVersion: row.Version, batchLimit: maxBatchRows, row: leaderRow{Claim: fmt.Sprint(epoch)}, loaded: true}
	f.core = cell.New(cell.Options{Epoch: epoch, LeaseDuration: 4 * time.Second, Retention: time.Hour}, f.now)
	f.cover = newStartCover(f.leadership, placementCover{})
	f.readWriteVersion(t.Context())
	var rows []backend.Row
	for _, r := range tables.Rows(writeTable) {
		rows = append(rows, r)
	}
	f.loadFleetRecord(rows)
	return f
}

// list lists workers and answers their polls.
func (f *fleetLeader) list(workers int) {
	for i := range workers {
		id := fmt.Sprintf("worker-%08d", i)
		f.core.SetWorker(backend.WorkerInfo{
			ID: id, Address: fmt.Sprintf("10.20.%d.%d:8161", i/250, i%250), Service: "s", Labels: []string{"k", "r"}, StartedMS: 1,
			Capacity: model.Resources{CPUMilli: 4000, MemoryMiB: 8000},
		}, f.now)
		f.core.PreparePoll(id, f.now)
		f.core.PollResult(id, f.now, backend.PollReply{Reply: backend.Reply{ClockMS: f.now.Milliseconds()}, StartedMS: 1}, nil, f.now)
	}
}

// write makes at most limit writes and returns how many were needed to store everything.
func (f *fleetLeader) write(limit int) int {
	for writes := range limit {
		batch := f.core.CollectBatch(f.batchLimit)
		if batch.Empty() {
			return writes
		}
		_, lost := f.commitBatch(f.t.Context(), batch, true)
		assert.Assert(f.t, !lost)
	}
	return limit
}

// TestLargeFleetIsRecorded guards against a fleet whose record exceeds the row limit of the store, so that each leader is lost as
// soon as it has read the registry: a calm start, a leader lost between two writes, and all instances lost.
func TestLargeFleetIsRecorded(t *testing.T) {
	for _, workers := range []int{48, 3000, 10_000} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			tables := backends.NewTables()
			first := newFleetLeader(t, tables, 1)
			first.list(workers)
			first.write(1)
			half := first.core.UsableWorkers()
			assert.Assert(t, half > 0)
			second := newFleetLeader(t, tables, 2)
			assert.Equal(t, len(second.core.WorkerIDs()), half, "the record holds the workers that were usable")
			second.list(workers)
			writes := second.write(20)
			assert.Assert(t, writes < 20)
			assert.Equal(t, second.core.UsableWorkers(), workers)
			for key, row := range tables.Rows(writeTable) {
				assert.Assert(t, len(row.Value) < backends.MaxRowBytes/4, "%s: %d bytes", key, len(row.Value))
			}
			third := newFleetLeader(t, tables, 3)
			assert.Equal(t, len(third.core.WorkerIDs()), workers)
			third.list(workers)
			assert.Equal(t, third.write(20), 0, "nothing has changed")
			assert.Equal(t, third.core.UsableWorkers(), workers)
		})
	}
}

// TestFormerFleetRowIsReplaced guards against a rolling update after which a worker in use is not known, and against a row of the
// earlier program that stays.
func TestFormerFleetRowIsReplaced(t *testing.T) {
	tables := backends.NewTables()
	tables.Put(formerFleetKey, []byte(`{"worker-00000000":"10.20.0.0:8161","left":"10.20.0.9:8161"}`))
	first := newFleetLeader(t, tables, 1)
	assert.Equal(t, len(first.core.WorkerIDs()), 2)
	first.write(1)
	assert.Assert(t, tables.Rows(writeTable)[formerFleetKey.Key].Version != 0, "not all rows are written yet")
	second := newFleetLeader(t, tables, 2)
	assert.Equal(t, len(second.core.WorkerIDs()), 2)
	second.list(1)
	second.write(20)
	_, _, refused := second.writeBatch(t.Context(), cell.Batch{}, true)
	assert.NilError(t, refused)
	assert.Equal(t, tables.Rows(writeTable)[formerFleetKey.Key].Version, uint64(0))
	third := newFleetLeader(t, tables, 3)
	assert.Equal(t, len(third.core.WorkerIDs()), 2)
}

// TestRefusedRowDoesNotEndTheLeadership guards against a row that the store refuses whatever happens and that keeps the leader from
// renewing its leadership and from storing what the other jobs have done.
func TestRefusedRowDoesNotEndTheLeadership(t *testing.T) {
	f := newFleetLeader(t, backends.NewTables(), 1)
	f.list(4)
	f.write(5)
	f.refused = "3"
	for i := range 6 {
		id := job.ID(fmt.Sprint(i))
		f.core.AddJob(id, job.Record{Epoch: 1, Spec: job.Spec{Steps: []job.Step{{Count: 1}}}}, f.now)
		f.core.CancelJob(id, f.now)
	}
	f.write(40)
	assert.Equal(t, f.core.RefusedRows(), 1)
	rows := f.tables.Rows(progressTable)
	for i := range 6 {
		assert.Equal(t, rows[fmt.Sprint(i)].Version != 0, i != 3, "job %d", i)
	}
	batch := f.core.CollectBatch(maxBatchRows)
	assert.Assert(t, batch.Empty())
	stored, lost := f.commitBatch(t.Context(), batch, true)
	assert.Assert(t, stored && !lost)
	f.core.AddJob("7", job.Record{Epoch: 1, Spec: job.Spec{Steps: []job.Step{{Count: 1}}}}, f.now)
	f.core.CancelJob("7", f.now)
	f.refused = "7"
	f.commitResignation(t.Context())
	var row leaderRow
	assert.NilError(t, json.Unmarshal(f.tables.Rows(leaderTable)[leaderKey.Key].Value, &row))
	assert.Assert(t, row.Resigned, "the resignation is written without the row")
}

// TestSeriesOfTakeoversIsSlowedDown guards against a cell whose leaders are lost one after the other and read all inventories each
// time, and against a delay after resignations, as in a rolling restart.
func TestSeriesOfTakeoversIsSlowedDown(t *testing.T) {
	var changes leaderChanges
	for epoch := uint64(1); epoch <= 8; epoch++ {
		changes.record(leaderRow{Epoch: epoch}, time.Duration(epoch)*time.Second)
		changes.record(leaderRow{Epoch: epoch, Resigned: epoch == 4}, time.Duration(epoch)*time.Second)
	}
	assert.Equal(t, changes.count(9*time.Second), 6)
	assert.Equal(t, changes.count(time.Minute), 0)
	assert.Equal(t, takeoverDelayAfter(maxQuickTakeovers), time.Duration(0))
	previous := time.Duration(0)
	for n := maxQuickTakeovers + 1; n < maxQuickTakeovers+20; n++ {
		delay := takeoverDelayAfter(n)
		assert.Assert(t, delay >= previous && delay > 0 && delay <= maxTakeoverBackoff)
		previous = delay
	}
	assert.Equal(t, previous, maxTakeoverBackoff)
}
