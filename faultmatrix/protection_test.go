package faultmatrix

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// The tests of this file show for three protections, without any choice of the scheduler's, that the promise holds with the
// protection and is broken by the same history without it. TestMutations shows the same for whole instances.

// TestFenceStopsLateStart guards against a double run by a start of a former rack owner that arrives after its successor
// has fenced the worker and started the task elsewhere.
func TestFenceStopsLateStart(t *testing.T) {
	history := func(wrap func(worker.Agent) worker.Agent) (doubleRuns int, late error) {
		ctx := context.Background()
		observer := standinworker.NewObserver(time.Now)
		capacity := model.Resources{CPUMilli: 1000, MemoryMiB: 1024, Slots: 1}
		first := wrap(standinworker.New(standinworker.Options{ID: "w1", Capacity: capacity, Observer: observer}))
		second := standinworker.New(standinworker.Options{ID: "w2", Capacity: capacity, Observer: observer})
		old, err := first.Fence(ctx, worker.FenceRequest{Rack: "r", Epoch: 1})
		assert.NilError(t, err)
		_, err = first.Fence(ctx, worker.FenceRequest{Rack: "r", Epoch: 2})
		assert.NilError(t, err)
		inv, err := second.Fence(ctx, worker.FenceRequest{Rack: "r", Epoch: 2})
		assert.NilError(t, err)
		start := worker.StartRequest{
			Rack: "r", Epoch: 2, Task: model.Task{ID: "i1-a/0.0", Kind: model.KindBatch},
			Token:  model.StartToken{Partition: 1, Epoch: 1, Sequence: 2},
			BootID: inv.BootID, LeaseUntil: inv.Now + 60_000,
		}
		_, err = second.Start(ctx, start)
		assert.NilError(t, err)
		start.Epoch, start.Token.Sequence, start.BootID, start.LeaseUntil = 1, 1, old.BootID, old.Now+60_000
		_, late = first.Start(ctx, start)
		return observer.Counts().DoubleRuns, late
	}
	doubleRuns, late := history(func(a worker.Agent) worker.Agent { return a })
	assert.Equal(t, verdict.From(late).Code, verdict.CodeFenced)
	assert.Equal(t, doubleRuns, 0)
	doubleRuns, late = history(func(a worker.Agent) worker.Agent { return withoutFence{a} })
	assert.NilError(t, late)
	assert.Equal(t, doubleRuns, 1)
}

// TestEpochConditionStopsLateWrite guards against an intent that a former owner confirms after its successor has taken the
// partition over.
func TestEpochConditionStopsLateWrite(t *testing.T) {
	history := func(wrap func(store.Table) store.Table) (rows int, late error) {
		ctx := context.Background()
		table := standinplatform.NewTable()
		versions, err := table.Commit(ctx, store.Txn{ID: "take-1", Writes: []store.Write{{Key: "partition/intent/1"}}})
		assert.NilError(t, err)
		confirm := store.Txn{
			ID: "confirm", Writes: []store.Write{{Key: "intent/1/i1-a"}},
			Conditions: []store.Condition{{Key: "partition/intent/1", Version: versions[0]}, {Key: "intent/1/i1-a"}},
		}
		_, err = table.Commit(ctx, store.Txn{ID: "take-2", Writes: []store.Write{{Key: "partition/intent/1"}}})
		assert.NilError(t, err)
		_, late = wrap(table).Commit(ctx, confirm)
		found, err := table.Get(ctx, "intent/1/i1-a")
		assert.NilError(t, err)
		return len(found), late
	}
	rows, late := history(func(t store.Table) store.Table { return t })
	assert.Equal(t, verdict.From(late).Code, verdict.CodeConflict)
	assert.Equal(t, rows, 0)
	rows, late = history(func(t store.Table) store.Table { return withoutEpochCondition{t} })
	assert.NilError(t, late)
	assert.Equal(t, rows, 1)
}

// TestLostAnswerIsNotNotRun guards against NotRun for a write that took effect and whose answer was lost.
func TestLostAnswerIsNotNotRun(t *testing.T) {
	history := func(wrap func(store.Table) store.Table) (rows int, answer error) {
		ctx := context.Background()
		table := standinplatform.NewTable()
		table.SetFaults(standinplatform.Faults{After: func(op string) error {
			if op != "commit" {
				return nil
			}
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
		}})
		_, answer = wrap(table).Commit(ctx, store.Txn{ID: "confirm", Writes: []store.Write{{Key: "intent/1/i1-a"}}})
		found, err := table.Get(ctx, "intent/1/i1-a")
		assert.NilError(t, err)
		return len(found), answer
	}
	rows, answer := history(func(t store.Table) store.Table { return t })
	assert.Equal(t, verdict.Of(answer), verdict.MayHaveRun)
	assert.Equal(t, rows, 1)
	rows, answer = history(func(t store.Table) store.Table { return withoutReadBack{t} })
	assert.Equal(t, verdict.Of(answer), verdict.NotRun)
	assert.Equal(t, rows, 1)
}
