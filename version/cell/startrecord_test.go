package cell

import (
	"crypto/rand"
	"maps"
	"math"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

func isService(s *job.Step) { s.LongRunning = true }

// recordingSuccessor returns a core of the next epoch that has loaded the durable rows. The records name the jobs.
func (tc *testCluster) recordingSuccessor(records map[job.ID]job.Record) *testCluster {
	next := newTestCluster(tc.t, tc.core.opts.Epoch+1)
	next.core.opts.StartsRecordedSince = tc.core.opts.StartsRecordedSince
	next.loadRows(tc, records)
	return next
}

// loadRows loads the durable rows of another cluster.
func (tc *testCluster) loadRows(from *testCluster, records map[job.ID]job.Record) {
	tc.storedProgress, tc.storedFleet = maps.Clone(from.storedProgress), maps.Clone(from.storedFleet)
	assert.NilError(tc.t, tc.core.LoadFleetRecord(tc.now, slices.Collect(maps.Values(from.storedFleet))...))
	for id, r := range records {
		if data, ok := from.storedProgress[id]; ok {
			assert.NilError(tc.t, tc.core.LoadJob(id, r, data, tc.now))
		} else {
			tc.core.AddJob(id, r, tc.now)
		}
	}
}

// run runs scheduling rounds for the given duration and stores the batches after each.
func (tc *testCluster) run(d time.Duration) {
	for end := tc.now + d; tc.now < end; {
		tc.step()
		tc.storeBatches()
	}
}

// startServices starts the service jobs a, b and c of one task each on one of the workers w1, w2 and w3 each, and returns the worker of each job and the
// records.
func startServices(tc *testCluster) (workerOf map[string]string, records map[job.ID]job.Record) {
	step := stepWithTasks(1, isService)
	step.TaskDemand.CPUMilli = 4000
	records = map[job.ID]job.Record{}
	for _, id := range []string{"w1", "w2", "w3"} {
		tc.addWorker(id)
	}
	for _, id := range []job.ID{"a", "b", "c"} {
		records[id] = record("plain", 1, step)
		tc.core.AddJob(id, records[id], tc.now)
	}
	tc.run(2 * tick)
	assert.Equal(tc.t, len(tc.starts), 3)
	workerOf = map[string]string{}
	for id, running := range tc.confirmStarts() {
		tc.answerPoll(id, running, nil)
		workerOf[running[0].Task[:1]] = id
	}
	tc.storeBatches()
	return workerOf, records
}

// newRecordingCluster returns a core of epoch 1 with worker w1 and a service job of one task, whose start is not durable yet, and the record of
// the job.
func newRecordingCluster(t *testing.T) (tc *testCluster, records map[job.ID]job.Record) {
	tc = newTestCluster(t, 1)
	tc.addWorker("w1")
	records = map[job.ID]job.Record{"a": record("plain", 1, stepWithTasks(1, isService))}
	tc.core.AddJob("a", records["a"], tc.now)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.core.findTask("a.0.0.0").runs), 1)
	return tc, records
}

// Guards against a start of which a new leader does not know, whether the write fails, its answer is lost or the leader commands end.
func TestServiceStartIsDurableBeforeItIsSent(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	assert.Equal(t, len(tc.starts), 0)
	tc.core.BatchStored(tc.core.CollectBatch(80), false, tc.now)
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w1", nil, nil)
	written := tc.core.CollectBatch(80)
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.core.BatchStored(written, true, tc.now)
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	row, err := decodeProgress(written.Progress[0].Data)
	assert.NilError(t, err)
	assert.DeepEqual(t, row.Steps["0.0"].Starts, &startRecord{Epoch: 1, Workers: map[string]string{"0": "w1"}})
	assert.Assert(t, tc.starts[0].Command.LeaseDeadlineMS > tc.clockMS()+testLease.Milliseconds()*9/10, "the lease began before the start was sent")
}

// Guards against a start by a leader that has resigned, or whose commands have ended, when its record becomes durable.
func TestRecordedStartIsNotSentAfterTheCommandsEnd(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	tc.core.EndCommands()
	tc.storeBatches()
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
}

// Guards against service tasks that wait for the store although their worker is recorded.
func TestRestartOnTheRecordedWorkerNeedsNoWrite(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	tc.run(2 * tick)
	for run := int64(1); run < 4; run++ {
		assert.Equal(t, len(tc.starts), 1)
		assert.Equal(t, tc.starts[0].Command.Run, run)
		tc.confirmStarts()
		tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", run, backend.ResultFailed)})
		for end := tc.now + avoidDuration + 100*time.Millisecond; tc.now < end; tc.advance(100 * time.Millisecond) {
			tc.answerPoll("w1", nil, nil)
		}
	}
}

// Guards against a start that is sent to a worker that does not accept it any longer, and against one that is counted as a crash, stopped or
// never made up for although it was never sent.
func TestStartThatWasNotSent(t *testing.T) {
	cases := map[string]func(tc *testCluster){
		"worker drains": func(tc *testCluster) {
			tc.listWorker("w1", func(w *backend.WorkerInfo) { w.Draining, w.RemainingMS = true, 1000 })
		},
		"worker is unlisted": func(tc *testCluster) { tc.core.RemoveWorker("w1", tc.now) },
		"worker has restarted": func(tc *testCluster) {
			tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: 1}, StartedMS: 2000}, nil, tc.now)
		},
		"worker is replaced": func(tc *testCluster) {
			tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil, tc.now)
		},
		"worker is silent": func(tc *testCluster) {
			for range missedPollsToBlock {
				tc.core.PollResult("w1", tc.now, backend.PollReply{}, errors.Wrap(syscall.ECONNREFUSED, "poll"), tc.now)
			}
		},
		"leases expire": func(tc *testCluster) {
			for end := tc.now + testLease + time.Second; tc.now < end; tc.advance(100 * time.Millisecond) {
				tc.answerPoll("w2", nil, nil)
			}
		},
		"capacity shrinks": func(tc *testCluster) { tc.setCapacity("w1", 0, 0) },
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			tc, _ := newRecordingCluster(t)
			batch := tc.core.CollectBatch(80)
			tc.addWorker("w2")
			lose(tc)
			tc.core.BatchStored(batch, true, tc.now)
			for end := tc.now + 2*time.Second; tc.now < end; tc.run(100 * time.Millisecond) {
				tc.answerPoll("w2", nil, nil)
			}
			assert.Equal(t, len(tc.starts), 1)
			assert.Equal(t, tc.starts[0].Command.Worker.ID, "w2")
			assert.Equal(t, len(tc.stops), 0)
			task := tc.core.findTask("a.0.0.0")
			assert.Equal(t, task.crashes, crashCount{})
			assert.Equal(t, task.suspect, false)
		})
	}
}

// Guards against a start of a cancelled job, and against a stop of a run that was never sent.
func TestCancelledJobWithAnUnsentStart(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	batch := tc.core.CollectBatch(80)
	task := tc.core.findTask("a.0.0.0")
	assert.Equal(t, len(task.runs), 1)
	tc.core.CancelJob("a", tc.now)
	tc.core.BatchStored(batch, true, tc.now)
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts)+len(tc.stops), 0)
	assert.Equal(t, len(task.runs), 0)
	assert.Equal(t, tc.state("a"), job.Cancelled)
	assert.Equal(t, tc.core.workers["w1"].allocated.CPUMilli, int64(0))
}

// Guards against completions that are not acknowledged while a start waits for its record.
func TestUnsentStartDelaysNoAcknowledgement(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "unknown.0.0.0", 1, backend.ResultStopped)})
	w := tc.core.workers["w1"]
	assert.Equal(t, w.hasUnreportedStart() || w.hasUnconfirmedStart(), false)
}

// Guards against a run that is adopted while another start of its task waits for its record.
func TestAdoptedRunWithdrawsAnUnsentStart(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	tc.addWorker("w2")
	tc.answerPoll("w2", []backend.ActiveRun{{Task: "a.0.0.0", Run: 9}}, nil)
	tc.run(time.Second)
	assert.Equal(t, len(tc.starts)+len(tc.stops), 0)
	assert.Equal(t, len(tc.core.findTask("a.0.0.0").runs), 1)
	assert.Equal(t, tc.core.workers["w1"].allocated.CPUMilli, int64(0))
}

// Guards against members of a gang of service tasks that start without the others.
func TestGangOfServiceTasksStartsTogether(t *testing.T) {
	for _, shrink := range []bool{false, true} {
		tc := newTestCluster(t, 1)
		tc.addWorker("w1")
		tc.addWorker("w2")
		tc.addJob("a", "plain", 1, stepWithTasks(6, isService, asGang))
		tc.advance(200 * time.Millisecond)
		assert.Equal(t, len(tc.starts), 0)
		assert.Equal(t, tc.core.placeableTasks(tc.core.jobs["a"].occurrences[0].steps[0]), 0)
		if shrink {
			tc.setCapacity("w2", 0, 0)
		}
		tc.storeBatches()
		tc.step()
		if !shrink {
			assert.Equal(t, len(tc.starts), 6)
			continue
		}
		tc.run(time.Second)
		assert.Equal(t, len(tc.starts)+len(tc.stops), 0)
		tc.setCapacity("w2", 4000, 8000)
		tc.run(time.Second)
		assert.Equal(t, len(tc.starts), 6)
	}
}

// Guards against jobs whose starts do not fit into a row, and against successors that take the starts of jobs without records for recorded
// ones.
func TestJobsWithoutStartRecords(t *testing.T) {
	recurring := job.Spec{Steps: []job.Step{stepWithTasks(1, isService)}, Repetitions: 2}
	cases := map[string]job.Record{
		"many tasks": record("plain", 1, stepWithTasks(maxRecordedTasks, isService), stepWithTasks(1, isService)),
		"recurring":  {Queue: record("plain", 1).Queue, Epoch: 1, Spec: recurring},
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.addWorker("w1")
			tc.core.AddJob("a", r, tc.now)
			tc.advance(200 * time.Millisecond)
			assert.Assert(t, len(tc.starts) > 0)
			assert.Equal(t, len(tc.core.encodeProgress(tc.core.jobs["a"])), len(`{}`))
			next := tc.recordingSuccessor(map[job.ID]job.Record{"a": r})
			next.addWorker("w2")
			next.run(time.Second)
			assert.Equal(t, len(next.starts), 0)
		})
	}
}

// Guards against a row that the store refuses because of its start records.
func TestStartRecordsFitIntoARow(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addJob("a", "plain", 1, stepWithTasks(maxRecordedTasks, isService))
	for _, task := range tc.core.jobs["a"].occurrences[0].steps[0].tasks {
		task.placement = placement{worker: rand.Text() + rand.Text()}
	}
	data := tc.core.encodeProgress(tc.core.jobs["a"])
	assert.Assert(t, len(data) <= maxProgressBytes/2, "%d bytes", len(data))
}

// Guards against a service task that never starts because the store is slower than tickets last.
func TestServiceStartWithASlowStore(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1"})
	for _, id := range []string{"w1", "w2", "w3"} {
		tc.addWorker(id)
	}
	tc.addJob("a", "short", 1, stepWithTasks(1, isService))
	const ticketValidity, write = 500 * time.Millisecond, 800 * time.Millisecond
	writes := 0
	for ; writes < 10 && len(tc.starts) == 0; writes++ {
		batch := tc.core.CollectBatch(80)
		for end := tc.now + write; tc.now < end; tc.advance(50 * time.Millisecond) {
			tc.approveAll(ticketValidity)
			for _, id := range []string{"w1", "w2", "w3"} {
				tc.answerPoll(id, nil, nil)
			}
		}
		tc.core.BatchStored(batch, true, tc.now)
	}
	assert.Assert(t, len(tc.starts) == 1 && writes <= 3, "%d starts after %d writes", len(tc.starts), writes)
}

// Guards against a crash that a successor counts for a start that was not sent.
func TestUnsentStartIsNotStoredAsLastStart(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	task := tc.core.findTask("a.0.0.0")
	task.suspect = true
	assert.Assert(t, task.lastStoredRun() == nil)
	tc.run(2 * tick)
	assert.Equal(t, task.lastStoredRun().Number, int64(1))
}

// Guards against a start beside which the task has got too many crashes to start.
func TestUnsentStartIsWithdrawnAfterCrashes(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	tc.core.findTask("a.0.0.0").crashes = crashCount{certain: maxCrashes}
	tc.run(2 * tick)
	assert.Equal(t, len(tc.starts), 0)
}

// Guards against a task that is recorded on one worker after the other and never started.
func TestRecordOfAnUnsentStartIsUsed(t *testing.T) {
	tc := newTestCluster(t, 1)
	for _, id := range []string{"w1", "w2"} {
		tc.addWorker(id)
	}
	tc.addJob("a", "plain", 1, stepWithTasks(1, isService))
	task := tc.core.findTask("a.0.0.0")
	assert.Equal(t, tc.core.selectWorker(task.step, task).info.ID, "w1")
	task.placement, task.recordUnused = placement{worker: "w2"}, true
	assert.Equal(t, tc.core.selectWorker(task.step, task).info.ID, "w2")
}

// Guards against a job of service tasks whose counts overflow in sum, so that its starts are recorded although they do not fit into a row.
func TestStartsOfOverflowingCountsAreNotRecorded(t *testing.T) {
	service := func(s *job.Step) { s.LongRunning = true }
	spec := job.Spec{Steps: []job.Step{stepWithTasks(math.MaxInt, service), stepWithTasks(math.MaxInt, service), stepWithTasks(8, service)}}
	assert.Assert(t, !recordsStarts(&spec))
}
