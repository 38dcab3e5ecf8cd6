package cell

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// failPolls fails the polls of a worker for the given duration, as the poll loop does with a worker that is gone.
func (tc *testCluster) failPolls(id string, d time.Duration) {
	err := verdict.Wrap(errors.New("no answer"), verdict.MayHaveRun, verdict.CodeUnavailable, "poll")
	for end := tc.now + d; tc.now < end; tc.advance(200 * time.Millisecond) {
		if _, _, ok := tc.core.PreparePoll(id, tc.now); !ok {
			return
		}
		tc.core.PollResult(id, tc.now, backend.PollReply{}, err, tc.now)
	}
}

// recordedWorkers returns the workers of the newest fleet record among the batches; nil if none has one.
func recordedWorkers(batches []Batch) fleetRow {
	var row fleetRow
	for _, b := range batches {
		if b.fleet != nil {
			row = b.fleet
		}
	}
	return row
}

// A worker that is gone must be forgotten although its polls go on until then: each later leader would wait for it, and the
// record of the workers in use would grow with each worker that was ever replaced.
func TestGoneWorkerIsForgotten(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.core.RemoveWorker("w2", tc.now)
	tc.failPolls("w2", 30*time.Second)
	assert.DeepEqual(t, tc.core.WorkerIDs(), []string{"w1"})
	assert.DeepEqual(t, recordedWorkers(tc.storeBatches()), fleetRow{"w1": "w1:1"})
}

// The record of the workers in use must hold every worker on which a task may run or whose completions are not durable, and
// no other: a later leader starts no recovered task before it has heard of each.
func TestFleetRecordHoldsWorkersInUse(t *testing.T) {
	running := []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}
	cases := []struct {
		name string
		// prepare brings about what w1 holds before its registry entry goes.
		prepare  func(tc *testCluster)
		recorded bool
	}{
		{"a run", func(tc *testCluster) { tc.answerPoll("w1", running, nil) }, true},
		{"a completion that is not durable", func(tc *testCluster) {
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
		}, true},
		{"a durable completion", func(tc *testCluster) {
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
			tc.storeBatches()
		}, false},
		{"an unknown run", func(tc *testCluster) {
			tc.answerPoll("w1", append(running, backend.ActiveRun{Task: "unknown.0.0.0", Run: 1}), nil)
			tc.answerPoll("w1", []backend.ActiveRun{{Task: "unknown.0.0.0", Run: 1}}, nil)
		}, true},
		{"an expired lease and a completion that is not durable", func(tc *testCluster) {
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
			tc.core.RemoveWorker("w1", tc.now)
			tc.failPolls("w1", testLease+time.Second)
		}, true},
		{"an expired lease", func(tc *testCluster) {
			tc.answerPoll("w1", running, nil)
			tc.core.RemoveWorker("w1", tc.now)
			tc.failPolls("w1", testLease+time.Second)
		}, false},
	}
	for _, c := range cases {
		tc := newStartedTestCluster(t, stepWithTasks(1))
		tc.addWorker("w2")
		tc.confirmStarts()
		c.prepare(tc)
		tc.core.RemoveWorker("w1", tc.now)
		tc.advance(200 * time.Millisecond)
		row := tc.core.fleetRecord()
		_, recorded := row["w1"]
		assert.Equal(t, recorded, c.recorded, c.name)
		assert.Equal(t, row["w2"], "w2:1", c.name)
	}
}

// A worker that returns to the registry after it has left the record must be recorded again before it is used.
func TestReturningWorkerIsRecordedBeforeUse(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.RemoveWorker("w1", tc.now)
	tc.advance(200 * time.Millisecond)
	assert.DeepEqual(t, recordedWorkers(tc.storeBatches()), fleetRow{})
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	assert.DeepEqual(t, recordedWorkers(tc.storeBatches()), fleetRow{"w1": "w1:1"})
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// A worker whose entry returns while a record without it is being written must not be used before it is recorded again: a later
// leader would not wait for it, and its tasks would run twice.
func TestWorkerReturnsDuringTheWriteOfTheRecord(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.core.RemoveWorker("w1", tc.now)
	tc.listWorker("w3", nil)
	batch := tc.core.CollectBatch(80)
	_, recorded := batch.fleet["w1"]
	assert.Assert(t, !recorded)
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(8))
	tc.step()
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Worker.ID != "w1")
	}
	tc.core.BatchStored(batch, true, tc.now)
	assert.Equal(t, recordedWorkers(tc.storeBatches())["w1"], "w1:1")
}
