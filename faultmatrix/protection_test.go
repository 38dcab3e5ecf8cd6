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

// The tests of this file run a fixed sequence of requests without an instance for each of three protections. The promise holds
// with the protection and is broken by the same sequence without it. TestMutations shows the same for whole instances.

// TestFenceStopsLateStart guards against a double run: a start request of a former rack owner arrives after the new owner has
// fenced the worker and started the task on another one.
func TestFenceStopsLateStart(t *testing.T) {
	replay := func(wrap func(worker.Agent) worker.Agent) (doubleRuns int, lateErr error) {
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
		_, lateErr = first.Start(ctx, start)
		return observer.Counts().DoubleRuns, lateErr
	}
	doubleRuns, lateErr := replay(func(a worker.Agent) worker.Agent { return a })
	assert.Equal(t, verdict.From(lateErr).Code, verdict.CodeFenced)
	assert.Equal(t, doubleRuns, 0)
	doubleRuns, lateErr = replay(func(a worker.Agent) worker.Agent { return withoutFence{a} })
	assert.NilError(t, lateErr)
	assert.Equal(t, doubleRuns, 1)
}

// TestEpochConditionStopsLateWrite guards against an intent that a former owner of a partition confirms after another owner
// has taken over the partition.
func TestEpochConditionStopsLateWrite(t *testing.T) {
	replay := func(wrap func(store.Table) store.Table) (rows int, lateErr error) {
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
		_, lateErr = wrap(table).Commit(ctx, confirm)
		found, err := table.Get(ctx, "intent/1/i1-a")
		assert.NilError(t, err)
		return len(found), lateErr
	}
	rows, lateErr := replay(func(t store.Table) store.Table { return t })
	assert.Equal(t, verdict.From(lateErr).Code, verdict.CodeConflict)
	assert.Equal(t, rows, 0)
	rows, lateErr = replay(func(t store.Table) store.Table { return withoutEpochCondition{t} })
	assert.NilError(t, lateErr)
	assert.Equal(t, rows, 1)
}

// TestLostAnswerIsNotReportedAsNotRun guards against reporting NotRun for a write that took effect but whose answer was lost.
func TestLostAnswerIsNotReportedAsNotRun(t *testing.T) {
	replay := func(wrap func(store.Table) store.Table) (rows int, answerErr error) {
		ctx := context.Background()
		table := standinplatform.NewTable()
		table.SetFaults(standinplatform.Faults{After: func(op string) error {
			if op != "commit" {
				return nil
			}
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "answer lost")
		}})
		_, answerErr = wrap(table).Commit(ctx, store.Txn{ID: "confirm", Writes: []store.Write{{Key: "intent/1/i1-a"}}})
		found, err := table.Get(ctx, "intent/1/i1-a")
		assert.NilError(t, err)
		return len(found), answerErr
	}
	rows, answerErr := replay(func(t store.Table) store.Table { return t })
	assert.Equal(t, verdict.Of(answerErr), verdict.MayHaveRun)
	assert.Equal(t, rows, 1)
	rows, answerErr = replay(func(t store.Table) store.Table { return withoutReadBack{t} })
	assert.Equal(t, verdict.Of(answerErr), verdict.NotRun)
	assert.Equal(t, rows, 1)
}
