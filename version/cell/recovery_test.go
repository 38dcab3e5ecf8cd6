package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against starts of recovered tasks before the inventories of all recorded workers were read, also of those that the
// registry has lost.
func TestRecoveredTasksWaitForRecordedWorkers(t *testing.T) {
	previous := newTestCluster(t, 1)
	previous.listWorker("w1", nil)
	previous.listWorker("w2", nil)
	fleet := previous.storeBatches()[0].Fleet

	tc := newTestCluster(t, 2)
	assert.NilError(t, tc.core.LoadFleet(fleet, tc.now))
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.addJob("new", "plain", 2, stepWithTasks(1))
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Order.Task, "new.0.0.0")
	tc.confirmStarts()
	tc.answerPoll("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 10}}, nil)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Order.Task, "a.0.0.1")
	assert.Assert(t, tc.starts[0].Order.Run > runNumbersPerEpoch)
}

// Guards against a wait without an end for a recorded worker that is gone, and for one that is listed and cut off.
func TestRecoveryEndsWithoutMissingWorker(t *testing.T) {
	fleet := []byte(`{"w1":"w1:1"}`)
	for _, listed := range []bool{false, true} {
		tc := newTestCluster(t, 2)
		assert.NilError(t, tc.core.LoadFleet(fleet, tc.now))
		if listed {
			tc.listWorker("w1", nil)
		}
		tc.addWorker("w2")
		tc.addJob("a", "plain", 1, stepWithTasks(1))
		startedAt := tc.now
		for len(tc.starts) == 0 && tc.now < startedAt+time.Minute {
			tc.answerPoll("w2", nil, nil)
			tc.advance(100 * time.Millisecond)
		}
		waited := tc.now - startedAt
		if listed {
			assert.Assert(t, waited > 6*time.Second+testLease, "waited %s", waited)
		} else {
			assert.Assert(t, waited >= missingWorkerTimeout && waited < missingWorkerTimeout+time.Second, "waited %s", waited)
		}
	}
}

// Guards against a final state that is forgotten by the next leader, and against work that goes on after it.
func TestFinalStateSurvives(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(2))
	tc.core.CancelJob("a", tc.now)
	progress := tc.storeBatches()[0].Progress[0]

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadProgress("a", record("plain", 1, stepWithTasks(2)), progress.Data, next.now))
	next.listWorker("w1", nil)
	next.answerPoll("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}, nil)
	assert.Equal(t, next.state("a"), job.Cancelled)
	next.advance(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0)
	assert.Equal(t, len(next.stops), 1)
}

// Guards against progress that is lost when a leader changes between steps.
func TestStepsContinueInTheNextEpoch(t *testing.T) {
	steps := []job.Step{stepWithTasks(2), stepWithTasks(1, dependsOn(0))}
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, steps...)
	tc.step()
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.EndedTask{
		tc.completion("w1", "a.0.0.0", 1, backend.EndDone), tc.completion("w1", "a.0.0.1", 1, backend.EndDone),
	})
	batches := tc.storeBatches()

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadProgress("a", record("plain", 1, steps...), batches[0].Progress[0].Data, next.now))
	next.addWorker("w1")
	next.advance(50 * time.Millisecond)
	assert.Equal(t, len(next.starts), 1)
	assert.Equal(t, next.starts[0].Order.Task, "a.0.1.0")
}

// Guards against rows that stay in the store for ever.
func TestFinishedJobsAreRemoved(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.core.CancelJob("a", tc.now)
	tc.storeBatches()
	tc.advance(time.Minute + time.Second)
	expired := tc.core.TakeExpired(10)
	assert.DeepEqual(t, expired, []job.ID{"a"})
	assert.Equal(t, len(tc.storeBatches()), 0)
	tc.core.RowsRemoved(expired, false)
	tc.core.RowsRemoved(tc.core.TakeExpired(10), true)
	batches := tc.storeBatches()
	assert.DeepEqual(t, batches[len(batches)-1].Removed, []job.ID{"a"})
	_, known := tc.core.State("a", tc.now)
	assert.Assert(t, !known)
}

// Guards against a finished job past its retention that runs again because its record, which is not removed yet, is read
// once more, as when the table service has forgotten its history; and against a new job of that name that does not run.
func TestExpiredJobDoesNotRunAgain(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.core.CancelJob("a", tc.now)
	tc.storeBatches()
	tc.advance(time.Minute + time.Second)
	expired := tc.core.TakeExpired(10)
	assert.DeepEqual(t, expired, []job.ID{"a"})
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.core.RowsRemoved(expired, true)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against a second run of a task that a former leader started, when its job is learned of after the inventory of the
// worker.
func TestJobRecordArrivesAfterItsRuns(t *testing.T) {
	tc := newTestCluster(t, 2)
	assert.NilError(t, tc.core.LoadFleet([]byte(`{"w1":"w1:1","w2":"w2:1"}`), tc.now))
	tc.addWorker("w2")
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}, []backend.EndedTask{tc.completion("w1", "a.0.0.1", 1, backend.EndDone)})
	tc.addJob("a", "plain", 1, stepWithTasks(3))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Order.Task, "a.0.0.2")
	tc.answerPoll("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}, []backend.EndedTask{{Number: 1, Task: "a.0.0.1", Run: 1, How: backend.EndDone}})
	tc.storeBatches()
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(1))
}

// Guards against a former leader that starts jobs which were accepted for its successor.
func TestJobOfALaterEpochEndsTheEpoch(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 2, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	assert.Assert(t, tc.core.Superseded())
}

// Guards against a finished job that is read without its steps and whose leftovers go on, keep their ends, or hide their
// demand from new starts.
func TestRemainingRunsOfFinishedJobs(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.core.AddFinished("a", job.Completed, tc.now)
	tc.listWorker("w1", nil)
	left := []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}
	tc.answerPoll("w1", left, []backend.EndedTask{tc.completion("w1", "a.0.0.1", 1, backend.EndDone)})
	tc.storeBatches()
	tc.addJob("b", "plain", 2, stepWithTasks(4))
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.state("a"), job.Completed)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(1))
	tc.answerPoll("w1", nil, []backend.EndedTask{tc.completion("w1", "a.0.0.0", 1, backend.EndStopped)})
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 4)
}

// Guards against a second run of a task on a leaving worker that has lost its entry and its connections, but not its process:
// it may go on past its announced time, so only its leases end its runs.
func TestDrainingWorkerKeepsItsRunsUntilTheLeasesExpire(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	tc.addWorker("w2")
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.Draining, info.RemainingMS = true, 1500 })
	tc.core.RemoveWorker("w1", tc.now)
	silentSince := tc.now
	for tc.now < silentSince+3*testLease && len(tc.starts) == 0 {
		tc.answerPoll("w2", nil, nil)
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(tc.starts), 1)
	assert.Assert(t, tc.now-silentSince >= testLease, "moved after %s", tc.now-silentSince)
}

// Guards against completed jobs that are shown as running while the store is silent, and against a next leader that does not
// find them completed.
func TestCompletedJobIsReportedDuringStoreOutage(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	fleet := []byte(`{"w1":"w1:1"}`)
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	tc.confirmStarts()
	ends := []backend.EndedTask{tc.completion("w1", "a.0.0.0", 1, backend.EndDone), tc.completion("w1", "a.0.0.1", 1, backend.EndDone)}
	tc.answerPoll("w1", nil, ends)
	assert.Equal(t, tc.state("a"), job.Running)
	tc.core.BatchStored(tc.core.CollectBatch(80), false, tc.now)
	tc.advance(unstoredReportDelay)
	assert.Equal(t, tc.state("a"), job.Completed)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(0))

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadFleet(fleet, next.now))
	next.addJob("a", "plain", 1, stepWithTasks(2))
	next.listWorker("w1", nil)
	next.answerPoll("w1", nil, ends)
	next.advance(unstoredReportDelay)
	assert.Equal(t, len(next.starts), 0)
	assert.Equal(t, next.state("a"), job.Completed)
}

// Guards against a failure that is shown before it is durable: the next leader has attempts left if a worker is lost.
func TestFailedJobIsReportedWhenDurable(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	for run := int64(1); run <= 3; run++ {
		tc.advance(5 * time.Second)
		tc.confirmStarts()
		tc.answerPoll("w1", nil, []backend.EndedTask{tc.completion("w1", "a.0.0.0", run, backend.EndFailed)})
	}
	tc.advance(time.Second)
	assert.Equal(t, tc.state("a"), job.Running)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Failed)
}

// Guards against an end of a job that is not known yet and that hides the later ends of its worker: their tasks would count
// as lost and start again.
func TestUnknownCompletionDoesNotHideOthers(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 2, stepWithTasks(2))
	tc.step()
	tc.confirmStarts()
	unknown := tc.completion("w1", "late.0.0.0", 1, backend.EndDone)
	ends := []backend.EndedTask{unknown, tc.completion("w1", "a.0.0.0", 1, backend.EndDone), tc.completion("w1", "a.0.0.1", 1, backend.EndDone)}
	tc.answerPoll("w1", nil, ends)
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(0))

	tc.addJob("late", "plain", 1, stepWithTasks(1))
	tc.storeBatches()
	assert.Equal(t, tc.state("late"), job.Completed)
	req, _, _ = tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(3))
}

// Guards against a wait for unknown jobs that counts from an earlier one, so that the end of the next one is
// acknowledged before its job arrives.
func TestUnknownJobTimeoutRestarts(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	for i, id := range []string{"first", "second"} {
		tc.answerPoll("w1", nil, []backend.EndedTask{tc.completion("w1", id+".0.0.0", 1, backend.EndDone)})
		tc.advance(100 * time.Millisecond)
		tc.addJob(id, "plain", 1, stepWithTasks(1))
		tc.storeBatches()
		assert.Equal(t, tc.state(id), job.Completed, "job %d", i)
		tc.advance(unknownJobTimeout)
		tc.answerPoll("w1", nil, nil)
	}
	assert.Equal(t, len(tc.starts), 0)
}

// Guards against an end that is never acknowledged because its job never arrives.
func TestCompletionWithoutJobRecordIsAcknowledged(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	unknown := tc.completion("w1", "late.0.0.0", 1, backend.EndDone)
	tc.answerPoll("w1", nil, []backend.EndedTask{unknown})
	tc.advance(unknownJobTimeout)
	tc.answerPoll("w1", nil, []backend.EndedTask{unknown})
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(1))
}

// Guards against starts on a worker that still runs what the ledger does not have: its demand is not known, so the capacity it
// takes is not free before the worker has listed its end.
func TestUnknownRunsBlockNewStarts(t *testing.T) {
	cases := map[string]func(tc *testCluster){
		"of a finished job": func(tc *testCluster) { tc.core.AddFinished("a", job.Completed, tc.now) },
		"of an unknown job": func(*testCluster) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 2)
			prepare(tc)
			tc.listWorker("w1", nil)
			left := []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}
			tc.answerPoll("w1", left, nil)
			tc.storeBatches()
			tc.advance(unknownJobTimeout)
			tc.answerPoll("w1", left, nil)
			tc.addJob("b", "plain", 2, stepWithTasks(1))
			tc.advance(2 * startBlockDuration)
			assert.Equal(t, len(tc.starts), 0)
			tc.answerPoll("w1", nil, nil)
			tc.advance(100 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 1)
		})
	}
}
