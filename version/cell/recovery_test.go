package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Recovered tasks must not start before the inventories of all recorded workers have been read, including workers that
// the registry has lost.
func TestRecoveredTasksWaitForRecordedWorkers(t *testing.T) {
	previous := newTestCluster(t, 1)
	previous.listWorker("w1", nil)
	previous.listWorker("w2", nil)
	fleet := fleetData(previous.storeBatches())

	tc := newTestCluster(t, 2)
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, fleet...))
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.addJob("new", "plain", 2, stepWithTasks(1))
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "new.0.0.0")
	tc.confirmStarts()
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1, ProgressPercent: 10}}, nil)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.1")
	assert.Assert(t, tc.starts[0].Command.Run > runNumbersPerEpoch)
}

// Recovery must wait for a recorded worker that does not answer until its leases have expired, and no longer. A worker without a registry
// entry may be cut off and go on with its runs. Once no former leader sends commands, its leases end sooner.
func TestRecoveryWaitsForTheLeasesOfUnreachableWorkers(t *testing.T) {
	const leadersEndedAfter = 900 * time.Millisecond
	for _, listed := range []bool{false, true} {
		for _, leadersEnded := range []bool{false, true} {
			tc := newTestCluster(t, 2)
			startedAt := tc.now
			assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1"}`)))
			if listed {
				tc.listWorker("w1", nil)
			}
			tc.addWorker("w2")
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			bound := 6*time.Second + maxLocalDuration(testLease)
			if leadersEnded {
				tc.advance(leadersEndedAfter - (tc.now - startedAt))
				tc.core.LimitLeaseExtension(tc.now, tc.now)
				tc.core.LimitLeaseExtension(tc.now+time.Second, tc.now)
				bound = leadersEndedAfter + maxLocalDuration(testLease)
			}
			for len(tc.starts) == 0 && tc.now < startedAt+time.Minute {
				tc.answerPoll("w2", nil, nil)
				tc.advance(100 * time.Millisecond)
			}
			waited := tc.now - startedAt
			assert.Assert(t, waited >= bound && waited < bound+time.Second, "listed %t, leaders ended %t: recovery ended after %s", listed, leadersEnded, waited)
		}
	}
}

// A worker that no former leader has used, and that does not answer yet, must not keep the recovered tasks waiting: in a
// fleet whose workers are being replaced some worker is always new, and each change of the leader starts the wait again.
func TestNewWorkerDoesNotDelayRecovery(t *testing.T) {
	tc := newTestCluster(t, 2)
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1"}`)))
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", nil, nil)
	tc.storeBatches()
	tc.listWorker("new", nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Worker.ID, "w1")
}

// If the record of the workers in use cannot be read, any worker may have been used by a former leader.
func TestUnreadableFleetRecordDelaysRecovery(t *testing.T) {
	tc := newTestCluster(t, 2)
	assert.Assert(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1"`)) != nil)
	tc.addWorker("w1")
	tc.listWorker("w2", nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w2", nil, nil)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// The next leader must not lose a final state or continue the job's runs.
func TestFinalStateSurvives(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(2))
	tc.core.CancelJob("a", tc.now)
	progress := tc.storeBatches()[0].Progress[0]

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadJob("a", record("plain", 1, stepWithTasks(2)), progress.Data, next.now))
	next.listWorker("w1", nil)
	next.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
	assert.Equal(t, next.state("a"), job.Cancelled)
	next.advance(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0)
	assert.Equal(t, len(next.stops), 1)
}

// Progress must not be lost when the leader changes between two steps.
func TestStepsContinueInTheNextEpoch(t *testing.T) {
	steps := []job.Step{stepWithTasks(2), stepWithTasks(1, dependsOn(0))}
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, steps...)
	tc.step()
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{
		tc.completion("w1", "a.0.0.0", 1, backend.ResultDone), tc.completion("w1", "a.0.0.1", 1, backend.ResultDone),
	})
	batches := tc.storeBatches()

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadJob("a", record("plain", 1, steps...), batches[0].Progress[0].Data, next.now))
	next.addWorker("w1")
	next.advance(50 * time.Millisecond)
	assert.Equal(t, len(next.starts), 1)
	assert.Equal(t, next.starts[0].Command.Task, "a.0.1.0")
}

// Rows of finished jobs must not stay in the store forever.
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
	_, known := tc.core.State("a")
	assert.Assert(t, !known)
}

// A finished job past its retention must not run again when its record, which is not removed yet, is read once more,
// for instance after the table service has lost its feed history. A new job with the same name must run.
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

// A task that a former leader started must not run twice when the job's record arrives after the worker's inventory.
func TestJobRecordArrivesAfterItsRuns(t *testing.T) {
	tc := newTestCluster(t, 2)
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	tc.addWorker("w2")
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, []backend.FinishedRun{tc.completion("w1", "a.0.0.1", 1, backend.ResultDone)})
	tc.addJob("a", "plain", 1, stepWithTasks(3))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.2")
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, []backend.FinishedRun{{Number: 1, Task: "a.0.0.1", Run: 1, Result: backend.ResultDone}})
	tc.storeBatches()
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(1))
}

// A former leader must not start jobs that were accepted for its successor.
func TestJobOfALaterEpochEndsTheEpoch(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 2, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	assert.Assert(t, tc.core.Superseded())
}

// Remaining runs of a finished job, which is loaded without its steps, must be stopped, their completions acknowledged,
// and their demand not ignored by new starts.
func TestRemainingRunsOfFinishedJobs(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.core.AddFinishedJob("a", job.Completed, tc.now)
	tc.listWorker("w1", nil)
	remaining := []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}
	tc.answerPoll("w1", remaining, []backend.FinishedRun{tc.completion("w1", "a.0.0.1", 1, backend.ResultDone)})
	tc.storeBatches()
	tc.addJob("b", "plain", 2, stepWithTasks(4))
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.state("a"), job.Completed)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(1))
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultStopped)})
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 4)
}

// A task must not run twice when its draining worker has lost its registry entry and its connections, but not its
// process. The worker may continue past its announced departure, so its runs end only when the leases expire.
func TestDrainingWorkerKeepsItsRunsUntilTheLeasesExpire(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	tc.addWorker("w2")
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.Draining, info.RemainingMS = true, 1500 })
	tc.core.RemoveWorker("w1", tc.now)
	unresponsiveSince := tc.now
	for tc.now < unresponsiveSince+3*testLease && len(tc.starts) == 0 {
		tc.answerPoll("w2", nil, nil)
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(tc.starts), 1)
	assert.Assert(t, tc.now-unresponsiveSince >= testLease, "task moved after %s", tc.now-unresponsiveSince)
}

// Guards against a job that is reported as completed although only instances and workers know it, all of which may be lost at once, and
// against a next leader that does not find it completed while its worker lists the completions.
func TestCompletedJobIsReportedWhenDurable(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	fleet := [][]byte{[]byte(`{"w1":"w1:1"}`)}
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	tc.confirmStarts()
	completions := []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone), tc.completion("w1", "a.0.0.1", 1, backend.ResultDone)}
	tc.answerPoll("w1", nil, completions)
	assert.Equal(t, tc.state("a"), job.Running)
	tc.core.BatchStored(tc.core.CollectBatch(80), false, tc.now)
	tc.advance(unstoredReportDelay)
	assert.Equal(t, tc.state("a"), job.Running, "the worker may crash, so that only this leader knows")
	unstored := tc.core.UnstoredResults(0, 10, tc.now)
	assert.DeepEqual(t, unstored, UnstoredResults{Completed: []job.ID{"a"}, Sequence: 1})
	tc.core.SetReplicated(unstored.Sequence)
	assert.Equal(t, tc.state("a"), job.Running, "all instances may be lost")
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(0))
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadFleetRecord(next.now, fleet...))
	next.addJob("a", "plain", 1, stepWithTasks(2))
	next.listWorker("w1", nil)
	next.answerPoll("w1", nil, completions)
	next.advance(unstoredReportDelay)
	assert.Equal(t, len(next.starts), 0)
	next.storeBatches()
	assert.Equal(t, next.state("a"), job.Completed)
}

// Guards against a completed job that runs again after the worker that retained its completions has crashed and the leader is lost before
// it could store them, and against one that is reported as completed before the next leader has stored that.
func TestReplicatedCompletionIsAdopted(t *testing.T) {
	next := newTestCluster(t, 2)
	next.addWorker("w1")
	next.core.HoldRecovered(next.now + time.Second)
	next.addJob("a", "plain", 1, stepWithTasks(2))
	next.advance(500 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0)
	next.core.AdoptCompletions([]job.ID{"a", "unknown"}, next.now)
	assert.Equal(t, next.state("a"), job.Running)
	next.advance(2 * time.Second)
	assert.Equal(t, len(next.starts), 0)
	batches := next.storeBatches()
	state, _ := StoredState(batches[len(batches)-1].Progress[0].Data)
	assert.Equal(t, state, job.Completed)
	assert.Equal(t, next.state("a"), job.Completed)
	assert.Equal(t, len(next.core.UnstoredResults(0, 10, next.now).Completed), 0)
}

// A failed job must not be reported before the failure is durable: the next leader has attempts left if a worker is
// lost.
func TestFailedJobIsReportedWhenDurable(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	for run := int64(1); run <= 3; run++ {
		tc.advance(5 * time.Second)
		tc.confirmStarts()
		tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", run, backend.ResultFailed)})
	}
	tc.advance(time.Second)
	assert.Equal(t, tc.state("a"), job.Running)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Failed)
}

// A completion of a job that is not known yet must not hide later completions of the same worker: their tasks would be
// considered lost and start again.
func TestUnknownCompletionDoesNotHideOthers(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 2, stepWithTasks(2))
	tc.step()
	tc.confirmStarts()
	unknown := tc.completion("w1", "late.0.0.0", 1, backend.ResultDone)
	completions := []backend.FinishedRun{unknown, tc.completion("w1", "a.0.0.0", 1, backend.ResultDone), tc.completion("w1", "a.0.0.1", 1, backend.ResultDone)}
	tc.answerPoll("w1", nil, completions)
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(0))

	tc.addJob("late", "plain", 1, stepWithTasks(1))
	tc.storeBatches()
	assert.Equal(t, tc.state("late"), job.Completed)
	req, _, _ = tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(3))
}

// The timeout for an unknown job must not count from an earlier unknown job: the completion would be acknowledged
// before its job record arrives.
func TestUnknownJobTimeoutRestarts(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	for i, id := range []string{"first", "second"} {
		tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", id+".0.0.0", 1, backend.ResultDone)})
		tc.advance(100 * time.Millisecond)
		tc.addJob(id, "plain", 1, stepWithTasks(1))
		tc.storeBatches()
		assert.Equal(t, tc.state(id), job.Completed, "job %d", i)
		tc.advance(unknownJobTimeout)
		tc.answerPoll("w1", nil, nil)
	}
	assert.Equal(t, len(tc.starts), 0)
}

// The timeout of one unknown job must not run for another one on the same worker: the completion of a task that ended
// shortly before would be acknowledged at once, and the task would run again when its record arrives.
func TestUnknownJobTimeoutCountsForEachTask(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	first := tc.completion("w1", "first.0.0.0", 1, backend.ResultDone)
	tc.answerPoll("w1", nil, []backend.FinishedRun{first})
	tc.advance(unknownJobTimeout - 200*time.Millisecond)
	second := tc.completion("w1", "second.0.0.0", 1, backend.ResultDone)
	tc.answerPoll("w1", nil, []backend.FinishedRun{first, second})
	tc.advance(400 * time.Millisecond)
	tc.answerPoll("w1", nil, []backend.FinishedRun{first, second})
	assert.Equal(t, tc.acknowledged("w1"), int64(1))
	tc.addJob("second", "plain", 1, stepWithTasks(1))
	tc.advance(400 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
}

// A completion must be acknowledged eventually if its job does not exist, but not at once: the record may be on its way.
func TestCompletionWithoutJobRecordIsAcknowledged(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	unknown := tc.completion("w1", "late.0.0.0", 1, backend.ResultDone)
	tc.answerPoll("w1", nil, []backend.FinishedRun{unknown})
	tc.advance(unknownJobTimeout)
	tc.answerPoll("w1", nil, []backend.FinishedRun{unknown})
	assert.Equal(t, tc.acknowledged("w1"), int64(0))
	tc.advance(lookupInterval + sweepInterval)
	tc.answerPoll("w1", nil, []backend.FinishedRun{unknown})
	assert.Equal(t, tc.acknowledged("w1"), int64(1))
}

// A completion must not be acknowledged because the record of its job cannot be read for long: the task would start again
// when the record arrives. Lookups must end when the job is known.
func TestCompletionOfUnreadableJobIsNotAcknowledged(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	tc.lookupError = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store is silent")
	done := tc.completion("w1", "late.0.0.0", 1, backend.ResultDone)
	for range 10 {
		tc.answerPoll("w1", nil, []backend.FinishedRun{done})
		tc.advance(unknownJobTimeout)
	}
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(0))
	assert.Assert(t, tc.lookups > 10)
	tc.addJob("late", "plain", 1, stepWithTasks(1))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("late"), job.Completed)
	sent := tc.lookups
	tc.advance(3 * lookupInterval)
	assert.Equal(t, tc.lookups, sent)
}

// No tasks may start on a worker with runs that the ledger does not have: their demand is not known, so their capacity
// is not free before the worker has reported their completions.
func TestUnknownRunsBlockNewStarts(t *testing.T) {
	cases := map[string]func(tc *testCluster){
		"of a finished job": func(tc *testCluster) { tc.core.AddFinishedJob("a", job.Completed, tc.now) },
		"of an unknown job": func(*testCluster) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 2)
			prepare(tc)
			tc.listWorker("w1", nil)
			remaining := []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}
			tc.answerPoll("w1", remaining, nil)
			tc.storeBatches()
			tc.advance(unknownJobTimeout)
			tc.answerPoll("w1", remaining, nil)
			tc.addJob("b", "plain", 2, stepWithTasks(1))
			tc.advance(2 * startBlockDuration)
			assert.Equal(t, len(tc.starts), 0)
			tc.answerPoll("w1", nil, nil)
			tc.advance(100 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 1)
		})
	}
}

// A stored failure must not be forgotten, and a listed one must not be lost, when the record of a job arrives with its
// progress after a worker has listed a completion of the job: the task would have more attempts than allowed.
func TestProgressIsAppliedBeforeListedCompletions(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 2, backend.ResultFailed)})
	stored := []byte(`{"t":{"0.0":{"f":{"0":[1]}}}}`)
	assert.NilError(t, tc.core.LoadJob("a", record("plain", 1, stepWithTasks(1)), stored, tc.now))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	run := tc.starts[0].Command.Run
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", run, backend.ResultFailed)})
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Failed)
}

// Runs of a former leader must not be considered expired before this leader has sent a lease: its first poll sends none, and
// the next one can be late, for instance while completions are stored. The runs would start a second time.
func TestRunsOfFormerLeaderKeepTheirLease(t *testing.T) {
	tc := newTestCluster(t, 2)
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	tc.listWorker("w1", nil)
	tc.listWorker("w2", nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.answerPoll("w2", nil, nil)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1, ProgressPercent: 10}}, nil)
	answeredAt := tc.now
	for len(tc.starts) == 0 && tc.now < answeredAt+time.Minute {
		tc.answerPoll("w2", nil, nil)
		tc.advance(50 * time.Millisecond)
	}
	assert.Equal(t, len(tc.starts), 1)
	assert.Assert(t, tc.now-answeredAt >= testLease, "run considered expired after %s", tc.now-answeredAt)
	assert.Assert(t, tc.now-answeredAt < 2*testLease, "run considered expired after %s", tc.now-answeredAt)
}

// A second record of a job that names an older epoch must count, however it arrives: the leader of that epoch may have
// started the job on a worker that has not been read.
func TestOlderRecordOfAJobCounts(t *testing.T) {
	tc := newTestCluster(t, 3)
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	tc.listWorker("w1", nil)
	tc.addWorker("w2")
	for _, epoch := range []uint64{3, 2, 3} {
		tc.addJob("a", "plain", epoch, stepWithTasks(1))
	}
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w1", nil, nil)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Run, int64(runNumbersPerEpoch+1))
}
