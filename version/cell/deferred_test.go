package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against tasks whose state is lost while their job is deferred: a run number that is used again, a checkpoint, a task that is done, a
// failed attempt.
func TestDeferredJobKeepsItsState(t *testing.T) {
	tc := newSmallCluster(t, 1, 4<<20)
	r := record("plain", 1, stepWithTasks(3, func(s *job.Step) { s.Checkpoints = true }))
	tc.submit("a", r)
	tc.step()
	started := map[string]int64{}
	for _, a := range tc.starts {
		started[a.Command.Task] = a.Command.Run
	}
	assert.Equal(t, len(started), 3)
	tc.confirmStarts()
	ended := []backend.FinishedRun{
		tc.completion("w1", "a.0.0.0", started["a.0.0.0"], backend.ResultDone),
		tc.completion("w1", "a.0.0.1", started["a.0.0.1"], backend.ResultStopped),
		tc.completion("w1", "a.0.0.2", started["a.0.0.2"], backend.ResultFailed),
	}
	ended[1].Checkpoint = "half"
	tc.answerPoll("w1", nil, ended)
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.Capacity = model.Resources{CPUMilli: 500, MemoryMiB: 10} })
	tc.storeBatches()
	tc.advance(minResidence + time.Second)
	j := tc.core.jobs["a"]
	assert.Assert(t, tc.core.isIdle(j, minResidence))
	tc.core.evict(j)
	assert.Equal(t, tc.state("a"), job.Running)
	used := tc.core.admission.used
	tc.starts = nil
	tc.listWorker("w1", nil)
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, tc.lookups, 1)
	resumed := map[string]*StartAction{}
	for _, a := range tc.starts {
		resumed[a.Command.Task] = a
	}
	assert.Equal(t, len(resumed), 2)
	assert.Equal(t, resumed["a.0.0.1"].Command.Checkpoint, "half")
	for task, a := range resumed {
		assert.Assert(t, a.Command.Run > started[task])
	}
	assert.Equal(t, len(tc.core.findTask("a.0.0.2").failedRuns), 1)
	assert.Assert(t, tc.core.admission.used > used)
}

// Guards against a worker that cannot be used, or a task that starts again, since a former leader has started a job that its successor defers.
func TestRunOfADeferredJobIsAdopted(t *testing.T) {
	tc := newSmallCluster(t, 2, 4<<20)
	for i := range 10 {
		tc.submit(fmt.Sprintf("wide%d", i), record("plain", 1, stepWithTasks(2000)))
	}
	assert.Assert(t, tc.core.admission.deferred["wide9"] != nil)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "wide9.0.0.7", Run: 3}}, []backend.FinishedRun{tc.completion("w1", "wide8.0.0.5", 2, backend.ResultDone)})
	assert.Assert(t, tc.core.workers["w1"].hasUnknownRuns)
	tc.advance(120 * time.Millisecond)
	assert.Equal(t, tc.state("wide9"), job.Running)
	assert.Equal(t, len(tc.core.findTask("wide9.0.0.7").runs), 1)
	assert.Assert(t, tc.core.findTask("wide8.0.0.5").done)
	assert.Equal(t, tc.core.workers["w1"].lastAckedCompletion, int64(0))
	tc.storeBatches()
	assert.Equal(t, tc.core.workers["w1"].lastAckedCompletion, int64(1))
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Task != "wide9.0.0.7" && a.Command.Task != "wide8.0.0.5")
	}
}

// Guards against results of a former leader that are lost because its successor defers their jobs.
func TestResultsOfDeferredJobsAreAdopted(t *testing.T) {
	tc := newSmallCluster(t, 2, 4<<20)
	for i := range 10 {
		tc.submit(fmt.Sprintf("wide%d", i), record("plain", 1, stepWithTasks(2000)))
	}
	tc.core.AdoptCompletions([]job.ID{"wide9"}, tc.now)
	assert.NilError(t, tc.core.AdoptCrashes("wide8", []byte(`{"s":"failed"}`), tc.now))
	assert.NilError(t, tc.core.AdoptCrashes("wide7", []byte(`{"t":{"0.0":{"c":{"5":[2,0,0]}}}}`), tc.now))
	tc.storeBatches()
	assert.Equal(t, tc.state("wide9"), job.Completed)
	assert.Equal(t, tc.state("wide8"), job.Failed)
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, tc.core.findTask("wide7.0.0.5").crashes.certain, 2)
}

// Guards against a worker that lists a task of a late occurrence: all occurrences before it took the memory of the leader.
func TestListedOccurrenceIsOpenedAlone(t *testing.T) {
	tc := newSmallCluster(t, 2, 16<<20)
	r := tc.recurringRecord(math.MaxInt, time.Hour, smallSteps(2)...)
	tc.submit("a", r)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.1000000000.0.0", Run: 3}}, nil)
	tc.advance(200 * time.Millisecond)
	j := tc.core.jobs["a"]
	assert.Equal(t, len(j.occurrences), 2)
	assert.Equal(t, len(tc.core.findTask("a.1000000000.0.0").runs), 1)
	assert.Equal(t, j.nextIndex, 1)
}

// Guards against progress of occurrences that are not open, which a later write of the row would remove: their tasks would start again.
func TestProgressOfClosedOccurrencesIsKept(t *testing.T) {
	tc := newSmallCluster(t, 2, 16<<20)
	r := tc.recurringRecord(20_000, time.Millisecond, smallSteps(2)...)
	r.Spec.StartAtMS -= 20_000
	r.Spec.Steps[1].DependsOn = []int{0}
	tc.storedProgress["a"] = []byte(`{"o":[[0,99]],"t":{"15000.0":{"a":true},"100.0":{"a":true}}}`)
	tc.submit("a", r)
	tc.runAll()
	tc.storeBatches()
	row, err := decodeProgress(tc.storedProgress["a"])
	assert.NilError(t, err)
	assert.Assert(t, row.Steps["15000.0"] != nil && row.Steps["15000.0"].All)
	assert.Assert(t, row.Steps["100.0"] == nil && row.Done.contains(100), "%v", row.Done)
	for range 400 {
		tc.runAll()
		for _, a := range tc.starts {
			assert.Assert(t, a.Command.Task != "a.15000.0.0")
		}
	}
	assert.Assert(t, tc.core.jobs["a"].doneOccurrences.contains(15000), "%v", tc.core.jobs["a"].doneOccurrences)
}

// Guards against an occurrence that was open when its job was deferred and that waits until the next one is due.
func TestOpenOccurrenceOfADeferredJobIsDue(t *testing.T) {
	tc := newSmallCluster(t, 1, 4<<20)
	tc.submit("a", tc.recurringRecord(2, time.Hour, stepWithTasks(1, requiring("later"))))
	tc.advance(minResidence + time.Second)
	tc.core.evict(tc.core.jobs["a"])
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.Labels = []string{"later"} })
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.0")
	running := tc.confirmStarts()["w1"]
	tc.answerPoll("w1", nil, tc.completeRuns("w1", running))
	tc.storeBatches()
	tc.advance(minResidence + time.Second)
	tc.core.evict(tc.core.jobs["a"])
	lookups := tc.lookups
	tc.advance(10 * time.Second)
	assert.Equal(t, tc.lookups, lookups)
	r := tc.rows["a"]
	assert.Equal(t, tc.core.admission.deferred["a"].dueMS, r.Spec.DueMS(1))
}

// Guards against a start that does not wait for the workers of a former leader, since the record with the oldest epoch arrived while the job was
// deferred.
func TestOldestRecordOfADeferredJobCounts(t *testing.T) {
	tc := newSmallCluster(t, 3, 4<<20)
	tc.submit("a", record("plain", 3, stepWithTasks(1, requiring("later"))))
	tc.advance(minResidence + time.Second)
	tc.core.evict(tc.core.jobs["a"])
	tc.core.AddJob("a", record("plain", 1, stepWithTasks(1)), tc.now)
	tc.advance(300 * time.Millisecond)
	j := tc.core.jobs["a"]
	assert.Assert(t, j.recovered)
	assert.Equal(t, j.record.Epoch, uint64(1))
	assert.Equal(t, j.baseRunNumber, int64(2*runNumbersPerEpoch))
}

// Guards against tasks that run again because a deferred job is admitted without its progress: the tables are followed without it, and are read again
// as a whole after a gap.
func TestFollowedRowDoesNotAdmitADeferredJob(t *testing.T) {
	r := record("plain", 1, stepWithTasks(2, requiring("later")))
	deferred := func() *testCluster {
		tc := newSmallCluster(t, 2, 4<<20)
		tc.storedProgress["a"] = []byte(`{"t":{"0.0":{"d":"AQ=="}}}`)
		tc.submit("a", r)
		tc.advance(minResidence + time.Second)
		tc.core.evict(tc.core.jobs["a"])
		return tc
	}
	check := func(tc *testCluster) {
		tc.listWorker("w1", func(info *backend.WorkerInfo) { info.Labels = []string{"later"} })
		tc.advance(2 * time.Second)
		assert.Assert(t, tc.core.findTask("a.0.0.0").done)
		for _, a := range tc.starts {
			assert.Assert(t, a.Command.Task != "a.0.0.0")
		}
	}
	t.Run("while it is read", func(t *testing.T) {
		tc := deferred()
		tc.core.readDeferred(tc.core.admission.deferred["a"])
		tc.core.AddJob("a", r, tc.now)
		assert.Assert(t, tc.core.jobs["a"] == nil)
		check(tc)
	})
	t.Run("while a worker lists it", func(t *testing.T) {
		tc := deferred()
		tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.1", Run: 2}}, nil)
		tc.core.AddJob("a", r, tc.now)
		assert.Assert(t, tc.core.jobs["a"] == nil)
		check(tc)
		assert.Equal(t, len(tc.core.findTask("a.0.0.1").runs), 1)
	})
	t.Run("and one that was read before it changed", func(t *testing.T) {
		tc := deferred()
		tc.lookupError = errNoReply
		tc.core.issueLookup("a")
		tc.core.readDeferred(tc.core.admission.deferred["a"])
		assert.NilError(t, tc.core.AddLookedUpJob("a", r, tc.storedProgress["a"], tc.now))
		tc.advance(minResidence + time.Second)
		assert.Assert(t, tc.core.isIdle(tc.core.jobs["a"], minResidence))
		tc.core.issueLookup("a")
		assert.Assert(t, !tc.core.isIdle(tc.core.jobs["a"], minResidence))
	})
}

// Guards against a team that exceeds its limit after a change of the leader, since what a former leader may have started of its jobs counts as little, or
// as less than nothing: a job that is not in memory, occurrences that are not open, demands whose sum overflows.
func TestUnreadUseOfATeamIsNotTooSmall(t *testing.T) {
	const lostCPU, limit = 4000, 3000
	bestEffort := func(s *job.Step) { s.BestEffort = true }
	for name, c := range map[string]struct {
		step        job.Step
		repetitions int
		memory      int64
		want        int64
	}{
		"demand that overflows":      {stepWithTasks(5000, func(s *job.Step) { s.TaskDemand.CPUMilli = math.MaxInt64 }), 0, 64 << 20, lostCPU},
		"not in memory":              {stepWithTasks(5000), 0, 1 << 20, lostCPU},
		"best effort, not in memory": {stepWithTasks(5000, bestEffort), 0, 1 << 20, lostCPU + job.MaxDemand},
		"occurrences":                {stepWithTasks(1), 1000, 64 << 20, lostCPU},
		"best-effort occurrences":    {stepWithTasks(1, bestEffort), 1000, 64 << 20, lostCPU + job.MaxDemand},
	} {
		t.Run(name, func(t *testing.T) {
			rows := newTestCluster(t, 1)
			rows.addWorker("w1")
			rows.addWorker("lost")
			tc := newTestCluster(t, 2)
			tc.core.admission = newAdmission(c.memory)
			tc.core.SetConfig(job.Config{Version: 2, Queues: tc.core.config.Queues, Teams: map[string]job.Team{
				"t": {Name: "t", Limit: model.Resources{CPUMilli: limit}, Weight: 1},
			}})
			r := record("plain", 1, c.step)
			r.Team, r.Spec.Repetitions, r.Spec.IntervalMS = "t", c.repetitions, 1000
			tc.loadRows(rows, map[job.ID]job.Record{"a": r})
			tc.addWorker("w1")
			tc.step()
			assert.Equal(t, tc.core.teams["t"].unread.CPUMilli, c.want)
			later := record("plain", 2, stepWithTasks(1))
			later.Team = "t"
			tc.core.AddJob("b", later, tc.now)
			tc.advance(200 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 0)
		})
	}
}
