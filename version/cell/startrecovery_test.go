package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a service task that failed on a living worker and waits after a takeover for a lost worker on which it never ran.
func TestServiceTaskWaitsOnlyForItsOwnWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	workerOf, records := startServices(tc)

	next := tc.recordingSuccessor(records)
	next.listWorker(workerOf["a"], nil)
	next.answerPoll(workerOf["a"], nil, []backend.FinishedRun{next.completion(workerOf["a"], "a.0.0.0", 1, backend.ResultFailed)})
	next.addWorker("w4")
	next.run(200 * time.Millisecond)
	assert.Equal(t, len(next.starts), 1)
	assert.Equal(t, next.starts[0].Command.Task, "a.0.0.0")
	assert.Equal(t, next.starts[0].Command.Worker.ID, "w4")
}

// Guards against a service task that is never started, or started twice, when the leader is lost after its record and before its command, or
// when the answer to the write was lost. Its worker may run it or not, and may not answer.
func TestLeaderIsLostBetweenRecordAndCommand(t *testing.T) {
	for _, name := range []string{"not started", "started", "silent"} {
		t.Run(name, func(t *testing.T) {
			tc, records := newRecordingCluster(t)
			tc.addWorker("w2")
			tc.storeBatches()
			next := tc.recordingSuccessor(records)
			startedAt := next.now
			next.listWorker("w1", nil)
			next.listWorker("w2", nil)
			next.answerPoll("w2", nil, nil)
			next.run(time.Second)
			assert.Equal(t, len(next.starts), 0)
			switch name {
			case "not started":
				next.answerPoll("w1", nil, nil)
				next.run(2 * sweepInterval)
				assert.Equal(t, len(next.starts), 1)
				return
			case "started":
				next.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1, ProgressPercent: 100}}, nil)
			}
			for len(next.starts) == 0 && next.now < startedAt+time.Minute {
				next.answerPoll("w2", nil, nil)
				if name == "started" {
					next.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1, ProgressPercent: 100}}, nil)
				}
				next.run(100 * time.Millisecond)
			}
			if name == "started" {
				assert.Equal(t, len(next.starts)+len(next.stops), 0)
				return
			}
			assert.Equal(t, len(next.starts), 1)
			assert.Equal(t, next.starts[0].Command.Worker.ID, "w2")
			assert.Assert(t, next.now >= startedAt+6*time.Second+maxLocalDuration(testLease), "started after %s", next.now-startedAt)
		})
	}
}

// Guards against a second run of a task whose worker is cut off: its registry entry is gone, and other workers answer.
func TestServiceTaskOnACutOffWorker(t *testing.T) {
	tc := newTestCluster(t, 1)
	workerOf, records := startServices(tc)
	next := tc.recordingSuccessor(records)
	startedAt := next.now
	next.addWorker(workerOf["b"])
	next.addWorker("w4")
	answer := func() {
		next.answerPoll("w4", nil, nil)
		next.answerPoll(workerOf["b"], []backend.ActiveRun{{Task: "b.0.0.0", Run: 1}}, nil)
	}
	for end := next.now + 5*time.Second; next.now < end; next.run(100 * time.Millisecond) {
		answer()
	}
	assert.Equal(t, len(next.starts), 0)

	third := next.recordingSuccessor(records)
	third.listWorker("w4", nil)
	for len(third.starts) == 0 && third.now < startedAt+time.Minute {
		third.answerPoll("w4", nil, nil)
		third.run(100 * time.Millisecond)
	}
	assert.Assert(t, third.now >= startedAt+6*time.Second+maxLocalDuration(testLease), "started after %s", third.now-startedAt)
	assert.Equal(t, len(third.starts), 1, "the worker has room for one task")
}

// Guards against a successor that looks for a task only where it was recorded, although it runs elsewhere: the start there was late.
func TestAdoptedRunOnAnotherWorkerThanRecorded(t *testing.T) {
	tc := newTestCluster(t, 1)
	workerOf, records := startServices(tc)
	other := workerOf["b"]
	tc.answerPoll(workerOf["a"], nil, []backend.FinishedRun{tc.completion(workerOf["a"], "a.0.0.0", 1, backend.ResultFailed)})
	tc.answerPoll(other, []backend.ActiveRun{{Task: "b.0.0.0", Run: 1}, {Task: "a.0.0.0", Run: 9}}, nil)
	row := tc.storeBatches()[0].Progress
	assert.Equal(t, len(row), 1)
	next := tc.recordingSuccessor(records)
	next.listWorker(workerOf["a"], nil)
	next.answerPoll(workerOf["a"], nil, nil)
	next.addWorker("w4")
	next.run(time.Second)
	assert.Equal(t, len(next.starts), 0)

	// When all workers are read, the run is recorded where it is.
	tc.core.fleetRecordKnown = true
	tc.run(2 * sweepInterval)
	assert.Equal(t, tc.core.findTask("a.0.0.0").placement, placement{worker: other})
}

// Guards against a leader that trusts records although one that keeps none, of an earlier program, has led since or before: the tasks may run
// on any worker. Once all are read, the placements are written, and only once.
func TestStartsWithoutRecords(t *testing.T) {
	const since = 5
	cases := map[string]struct {
		recordEpoch uint64
		progress    string
	}{
		"no progress":                     {since - 1, ``},
		"no starts":                       {since - 1, `{"t":{"0.0":{"c":{"0":[1,0,0]}}}}`},
		"starts of an interrupted series": {since - 1, `{"t":{"0.0":{"s":{"e":4,"w":{"0":"w1"}}}}}`},
		"unknown":                         {since, `{"t":{"0.0":{"s":{"e":5,"w":{"0":""}}}}}`},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 6)
			tc.core.opts.StartsRecordedSince = since
			fleet := newTestCluster(t, 1)
			for _, id := range []string{"w1", "w2"} {
				fleet.addWorker(id)
			}
			if k.progress != "" {
				fleet.storedProgress["a"] = []byte(k.progress)
			}
			records := map[job.ID]job.Record{"a": record("plain", k.recordEpoch, stepWithTasks(2, isService))}
			tc.loadRows(fleet, records)
			tc.addWorker("w1")
			tc.run(time.Second)
			assert.Equal(t, len(tc.starts), map[string]int{"unknown": 1}[name], "the second task of the case unknown was never started")
			tc.listWorker("w2", nil)
			tc.answerPoll("w2", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
			tc.run(500 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 1)
			assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.1")
			tc.confirmStarts()
			assert.Equal(t, tc.core.findTask("a.0.0.0").placement, placement{worker: "w2"})
			tc.advance(time.Second)
			assert.Equal(t, len(tc.storeBatches()), 0)

			next := tc.recordingSuccessor(records)
			assert.Equal(t, next.core.findTask("a.0.0.0").placement, placement{worker: "w2"})
		})
	}
}

// Guards against placements that are lost, or unknown ones that seem known, when a row is written for another reason.
func TestPlacementsSurviveARewrite(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.core.opts.StartsRecordedSince = 1
	rows := newTestCluster(t, 1)
	for _, id := range []string{"w1", "w2"} {
		rows.addWorker(id)
	}
	rows.storedProgress["a"] = []byte(`{"t":{"0.0":{"s":{"e":1,"w":{"0":"w1","1":"","2":"w2"}}}}}`)
	records := map[job.ID]job.Record{"a": record("plain", 1, stepWithTasks(4, isService))}
	tc.loadRows(rows, records)
	tc.addWorker("w1")
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts), 2)
	row, err := decodeProgress(tc.storedProgress["a"])
	assert.NilError(t, err)
	assert.DeepEqual(t, row.Steps["0.0"].Starts, &startRecord{Epoch: 2, Workers: map[string]string{"0": "w1", "1": "", "2": "w2", "3": "w1"}})
}

// Guards against a second record of a job, with an earlier epoch, that makes tasks seem never started which a leader without records may have
// started.
func TestSecondRecordOfAnEarlierEpoch(t *testing.T) {
	tc := newTestCluster(t, 5)
	tc.core.opts.StartsRecordedSince = 4
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
	tc.core.AddJob("a", record("plain", 4, stepWithTasks(1, isService)), tc.now)
	tc.core.AddJob("a", record("plain", 2, stepWithTasks(1, isService)), tc.now)
	tc.addWorker("w1")
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts), 0)
}

// Guards against the tasks of a step that wait for a lost worker while others of the step start, with placement advice and a limit of their
// team: only these may be asked for, planned and started.
func TestSomeTasksOfAStepWait(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.core.opts.StartsRecordedSince = 1
	tc.core.SetAdvisers([]string{"i1"})
	rows := newTestCluster(t, 1)
	for _, id := range []string{"w1", "lost"} {
		rows.addWorker(id)
	}
	rows.storedProgress["a"] = []byte(`{"t":{"0.0":{"s":{"e":1,"w":{"0":"lost","1":"w1"}}}}}`)
	r := record("short", 1, stepWithTasks(3, isService))
	r.Team = "t"
	tc.core.SetConfig(job.Config{Version: 2, Queues: tc.core.config.Queues, Teams: map[string]job.Team{
		"t": {Limit: model.Resources{CPUMilli: 3000}, Weight: 1},
	}})
	tc.loadRows(rows, map[job.ID]job.Record{"a": r})
	tc.addWorker("w1")
	for range 20 {
		tc.approveAll(2500 * time.Millisecond)
		tc.run(50 * time.Millisecond)
		tc.answerPoll("w1", nil, nil)
	}
	started := []string{}
	for _, a := range tc.starts {
		started = append(started, a.Command.Task)
	}
	slices.Sort(started)
	assert.DeepEqual(t, started, []string{"a.0.0.1", "a.0.0.2"})
	assert.Equal(t, tc.core.Dump(1).Jobs[0].AwaitingRecovery, true)
}

// loadService returns a core of epoch 6 that knows the workers w1, which answers, and lost, and has loaded a service job. All leaders from epoch
// 5 on have recorded starts.
func loadService(t *testing.T, recordEpoch uint64, progress string, step job.Step) (tc *testCluster, records map[job.ID]job.Record) {
	tc = newTestCluster(t, 6)
	tc.core.opts.StartsRecordedSince = 5
	rows := newTestCluster(t, 1)
	for _, id := range []string{"w1", "lost"} {
		rows.addWorker(id)
	}
	rows.storedProgress["a"] = []byte(progress)
	records = map[job.ID]job.Record{"a": record("plain", recordEpoch, step)}
	tc.loadRows(rows, records)
	tc.addWorker("w1")
	return tc, records
}

// Guards against a task that starts before a crash under its last start, on a worker that is not read, is counted.
func TestServiceTaskWaitsForTheWorkerOfItsLastStart(t *testing.T) {
	tc, _ := loadService(t, 5, `{"t":{"0.0":{"c":{"0":[1,0,0]},"r":{"0":{"n":1,"w":"lost"}},"s":{"e":5,"w":{"0":"w1"}}}}}`, stepWithTasks(1, isService))
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("lost", nil, nil)
	for end := tc.now + isolationTimeout + time.Second; tc.now < end; tc.run(100 * time.Millisecond) {
		tc.answerPoll("w1", nil, nil)
	}
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against members of a gang that start again, or without the others, while one of them may run on a worker that is not read.
func TestGangWaitsForTheWorkersOfAllMembers(t *testing.T) {
	tc, _ := loadService(t, 5, `{"t":{"0.0":{"s":{"e":5,"w":{"0":"lost","1":"w1"}}}}}`, stepWithTasks(2, isService, asGang))
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("lost", nil, nil)
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts), 2)
}

// Guards against placements that are relied on although the record of the workers in use cannot be read, and against ones that are taken for
// known before the leases of workers have ended that it may have named.
func TestPlacementsWithoutAFleetRecord(t *testing.T) {
	tc := newTestCluster(t, 6)
	startedAt := tc.now
	tc.core.opts.StartsRecordedSince = 5
	assert.Assert(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1"`)) != nil)
	r := record("plain", 5, stepWithTasks(2, isService))
	assert.NilError(t, tc.core.LoadJob("a", r, []byte(`{"t":{"0.0":{"s":{"e":5,"w":{"0":"w1","1":""}}}}}`), tc.now))
	tc.listWorker("w2", nil)
	tc.addWorker("w1")
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	task := tc.core.findTask("a.0.0.1")
	task.step.spec.RequiredLabel = "none"
	tc.answerPoll("w2", nil, nil)
	for task.placement.unknown && tc.now < startedAt+time.Minute {
		tc.answerPoll("w1", nil, nil)
		tc.answerPoll("w2", nil, nil)
		tc.run(100 * time.Millisecond)
	}
	assert.Assert(t, tc.now >= startedAt+tc.core.recoveryBound(testLease), "known after %s", tc.now-startedAt)
	assert.Equal(t, task.placement, placement{})
}

// Guards against a job of an earlier program whose tasks wait again after each takeover, since nothing says that they were never started.
func TestTasksWithoutAStartAreRecorded(t *testing.T) {
	tc, records := loadService(t, 4, `{}`, stepWithTasks(1, isService, func(s *job.Step) { s.RequiredLabel = "none" }))
	assert.Equal(t, tc.core.findTask("a.0.0.0").placement, placement{unknown: true})
	tc.answerPoll("lost", nil, nil)
	tc.run(time.Second)
	next := tc.recordingSuccessor(records)
	assert.Equal(t, next.core.findTask("a.0.0.0").placement, placement{})
}

// Guards against a task with two runs that is recorded on one of their workers.
func TestPlacementOfATaskWithTwoRuns(t *testing.T) {
	tc := newTestCluster(t, 1)
	workerOf, _ := startServices(tc)
	tc.core.fleetRecordKnown = true
	other := workerOf["b"]
	listed := []backend.ActiveRun{{Task: "b.0.0.0", Run: 1}, {Task: "a.0.0.0", Run: 9}}
	tc.answerPoll(other, listed, nil)
	tc.run(500 * time.Millisecond)
	task := tc.core.findTask("a.0.0.0")
	assert.Equal(t, len(task.runs), 2)
	assert.Equal(t, task.placement, placement{unknown: true})
	tc.answerPoll(other, listed[:1], []backend.FinishedRun{tc.completion(other, "a.0.0.0", 9, backend.ResultStopped)})
	tc.run(2 * sweepInterval)
	assert.Equal(t, task.placement, placement{worker: workerOf["a"]})
}
