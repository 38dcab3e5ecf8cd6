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
	before := newWorld(t, 1)
	before.list("w1", nil)
	before.list("w2", nil)
	fleet := before.store()[0].Fleet

	w := newWorld(t, 2)
	assert.NilError(t, w.core.LoadFleet(fleet, w.now))
	w.worker("w2")
	w.add("a", "plain", 1, tasks(2))
	w.add("new", "plain", 2, tasks(1))
	w.run(500 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "new.0.0.0")
	w.confirm()
	w.read("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 10}}, nil)
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "a.0.0.1")
	assert.Assert(t, w.starts[0].Order.Run > runsPerEpoch)
}

// Guards against a wait without an end for a recorded worker that is gone, and for one that is listed and cut off.
func TestRecoveryEndsWithoutTheWorker(t *testing.T) {
	fleet := []byte(`{"w1":"w1:1"}`)
	for _, listed := range []bool{false, true} {
		w := newWorld(t, 2)
		assert.NilError(t, w.core.LoadFleet(fleet, w.now))
		if listed {
			w.list("w1", nil)
		}
		w.worker("w2")
		w.add("a", "plain", 1, tasks(1))
		began := w.now
		for len(w.starts) == 0 && w.now < began+time.Minute {
			w.read("w2", nil, nil)
			w.run(100 * time.Millisecond)
		}
		waited := w.now - began
		if listed {
			assert.Assert(t, waited > 6*time.Second+testLease, "waited %s", waited)
		} else {
			assert.Assert(t, waited >= missingTimeout && waited < missingTimeout+time.Second, "waited %s", waited)
		}
	}
}

// Guards against a final state that is forgotten by the next leader, and against work that goes on after it.
func TestFinalStateSurvives(t *testing.T) {
	w := newStartedWorld(t, tasks(2))
	w.core.CancelJob("a", w.now)
	progress := w.store()[0].Progress[0]

	next := newWorld(t, 2)
	assert.NilError(t, next.core.LoadProgress("a", record("plain", 1, tasks(2)), progress.Data, next.now))
	next.list("w1", nil)
	next.read("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}, nil)
	assert.Equal(t, next.state("a"), job.Cancelled)
	next.run(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0)
	assert.Equal(t, len(next.stops), 1)
}

// Guards against progress that is lost when a leader changes between steps.
func TestStepsContinueInTheNextEpoch(t *testing.T) {
	steps := []job.Step{tasks(2), tasks(1, after(0))}
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, steps...)
	w.step()
	w.confirm()
	w.read("w1", nil, []backend.EndedTask{
		w.end("w1", "a.0.0.0", 1, backend.EndDone), w.end("w1", "a.0.0.1", 1, backend.EndDone),
	})
	batches := w.store()

	next := newWorld(t, 2)
	assert.NilError(t, next.core.LoadProgress("a", record("plain", 1, steps...), batches[0].Progress[0].Data, next.now))
	next.worker("w1")
	next.run(50 * time.Millisecond)
	assert.Equal(t, len(next.starts), 1)
	assert.Equal(t, next.starts[0].Order.Task, "a.0.1.0")
}

// Guards against rows that stay in the store for ever.
func TestFinishedJobsAreRemoved(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, tasks(1))
	w.core.CancelJob("a", w.now)
	w.store()
	w.run(time.Minute + time.Second)
	expired := w.core.TakeExpired(10)
	assert.DeepEqual(t, expired, []job.ID{"a"})
	assert.Equal(t, len(w.store()), 0)
	w.core.RowsRemoved(expired, false)
	w.core.RowsRemoved(w.core.TakeExpired(10), true)
	batches := w.store()
	assert.DeepEqual(t, batches[len(batches)-1].Removed, []job.ID{"a"})
	_, known := w.core.State("a", w.now)
	assert.Assert(t, !known)
}

// Guards against a finished job past its retention that runs again because its record, which is not removed yet, is read
// once more, as when the table service has forgotten its history; and against a new job of that name that does not run.
func TestExpiredJobDoesNotRunAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, tasks(1))
	w.core.CancelJob("a", w.now)
	w.store()
	w.run(time.Minute + time.Second)
	expired := w.core.TakeExpired(10)
	assert.DeepEqual(t, expired, []job.ID{"a"})
	w.read("w1", nil, nil)
	w.add("a", "plain", 1, tasks(1))
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.core.RowsRemoved(expired, true)
	w.add("a", "plain", 1, tasks(1))
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
}

// Guards against a second run of a task that a former leader started, when its job is learned of after the inventory of the
// worker.
func TestJobIsLearnedOfAfterItsRuns(t *testing.T) {
	w := newWorld(t, 2)
	assert.NilError(t, w.core.LoadFleet([]byte(`{"w1":"w1:1","w2":"w2:1"}`), w.now))
	w.worker("w2")
	w.list("w1", nil)
	w.read("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}, []backend.EndedTask{w.end("w1", "a.0.0.1", 1, backend.EndDone)})
	w.add("a", "plain", 1, tasks(3))
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "a.0.0.2")
	w.read("w1", []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}, []backend.EndedTask{{Number: 1, Task: "a.0.0.1", Run: 1, How: backend.EndDone}})
	w.store()
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(1))
}

// Guards against a former leader that starts jobs which were accepted for its successor.
func TestJobOfALaterEpochEndsTheEpoch(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 2, tasks(1))
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	assert.Assert(t, w.core.Superseded())
}

// Guards against a finished job that is read without its steps and whose leftovers go on, keep their ends, or hide their
// demand from new starts.
func TestLeftoversOfFinishedJobs(t *testing.T) {
	w := newWorld(t, 2)
	w.core.AddFinished("a", job.Completed, w.now)
	w.list("w1", nil)
	left := []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}
	w.read("w1", left, []backend.EndedTask{w.end("w1", "a.0.0.1", 1, backend.EndDone)})
	w.store()
	w.add("b", "plain", 2, tasks(4))
	w.step()
	assert.Equal(t, len(w.starts), 0)
	assert.Equal(t, len(w.stops), 1)
	assert.Equal(t, w.state("a"), job.Completed)
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(1))
	w.read("w1", nil, []backend.EndedTask{w.end("w1", "a.0.0.0", 1, backend.EndStopped)})
	w.run(time.Second)
	assert.Equal(t, len(w.starts), 4)
}

// Guards against a second run of a task on a leaving worker that has lost its entry and its connections, but not its process:
// it may go on past its announced time, so only its leases end its runs.
func TestLeavingWorkerKeepsItsRunsUntilTheLeasesLapse(t *testing.T) {
	w := newStartedWorld(t, tasks(1))
	w.read("w1", w.confirm()["w1"], nil)
	w.worker("w2")
	w.list("w1", func(info *backend.WorkerInfo) { info.Draining, info.RemainingMS = true, 1500 })
	w.core.RemoveWorker("w1", w.now)
	silentSince := w.now
	for w.now < silentSince+3*testLease && len(w.starts) == 0 {
		w.read("w2", nil, nil)
		w.run(100 * time.Millisecond)
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Assert(t, w.now-silentSince >= testLease, "moved after %s", w.now-silentSince)
}

// Guards against completed jobs that are shown as running while the store is silent, and against a next leader that does not
// find them completed.
func TestCompletedJobIsShownWhileTheStoreIsSilent(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	fleet := []byte(`{"w1":"w1:1"}`)
	w.add("a", "plain", 1, tasks(2))
	w.step()
	w.confirm()
	ends := []backend.EndedTask{w.end("w1", "a.0.0.0", 1, backend.EndDone), w.end("w1", "a.0.0.1", 1, backend.EndDone)}
	w.read("w1", nil, ends)
	assert.Equal(t, w.state("a"), job.Running)
	w.core.BatchStored(w.core.CollectBatch(80), false, w.now)
	w.run(unstoredDelay)
	assert.Equal(t, w.state("a"), job.Completed)
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(0))

	next := newWorld(t, 2)
	assert.NilError(t, next.core.LoadFleet(fleet, next.now))
	next.add("a", "plain", 1, tasks(2))
	next.list("w1", nil)
	next.read("w1", nil, ends)
	next.run(unstoredDelay)
	assert.Equal(t, len(next.starts), 0)
	assert.Equal(t, next.state("a"), job.Completed)
}

// Guards against a failure that is shown before it is durable: the next leader has attempts left if a worker is lost.
func TestFailedJobIsShownWhenDurable(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, tasks(1))
	for run := int64(1); run <= 3; run++ {
		w.run(5 * time.Second)
		w.confirm()
		w.read("w1", nil, []backend.EndedTask{w.end("w1", "a.0.0.0", run, backend.EndFailed)})
	}
	w.run(time.Second)
	assert.Equal(t, w.state("a"), job.Running)
	w.store()
	assert.Equal(t, w.state("a"), job.Failed)
}

// Guards against an end of a job that is not known yet and that hides the later ends of its worker: their tasks would count
// as lost and start again.
func TestEndOfAnUnknownJobHidesNoOther(t *testing.T) {
	w := newWorld(t, 2)
	w.worker("w1")
	w.add("a", "plain", 2, tasks(2))
	w.step()
	w.confirm()
	unknown := w.end("w1", "late.0.0.0", 1, backend.EndDone)
	ends := []backend.EndedTask{unknown, w.end("w1", "a.0.0.0", 1, backend.EndDone), w.end("w1", "a.0.0.1", 1, backend.EndDone)}
	w.read("w1", nil, ends)
	w.run(time.Second)
	assert.Equal(t, len(w.starts), 0)
	w.store()
	assert.Equal(t, w.state("a"), job.Completed)
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(0))

	w.add("late", "plain", 1, tasks(1))
	w.store()
	assert.Equal(t, w.state("late"), job.Completed)
	req, _, _ = w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(3))
}

// Guards against a wait for unknown jobs that counts from an earlier one, so that the end of the next one is
// acknowledged before its job arrives.
func TestUnknownJobTimeoutStartsAnew(t *testing.T) {
	w := newWorld(t, 2)
	w.worker("w1")
	for i, id := range []string{"first", "second"} {
		w.read("w1", nil, []backend.EndedTask{w.end("w1", id+".0.0.0", 1, backend.EndDone)})
		w.run(100 * time.Millisecond)
		w.add(id, "plain", 1, tasks(1))
		w.store()
		assert.Equal(t, w.state(id), job.Completed, "job %d", i)
		w.run(unknownJobTimeout)
		w.read("w1", nil, nil)
	}
	assert.Equal(t, len(w.starts), 0)
}

// Guards against an end that is never acknowledged because its job never arrives.
func TestEndOfAJobThatNeverArrivesIsAcknowledged(t *testing.T) {
	w := newWorld(t, 2)
	w.worker("w1")
	unknown := w.end("w1", "late.0.0.0", 1, backend.EndDone)
	w.read("w1", nil, []backend.EndedTask{unknown})
	w.run(unknownJobTimeout)
	w.read("w1", nil, []backend.EndedTask{unknown})
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(1))
}

// Guards against starts on a worker that still runs what the ledger does not have: its demand is not known, so the capacity it
// takes is not free before the worker has listed its end.
func TestForeignRunsKeepTheWorkerFull(t *testing.T) {
	cases := map[string]func(w *world){
		"of a finished job": func(w *world) { w.core.AddFinished("a", job.Completed, w.now) },
		"of an unknown job": func(*world) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			prepare(w)
			w.list("w1", nil)
			left := []backend.RunningTask{{Task: "a.0.0.0", Run: 1}}
			w.read("w1", left, nil)
			w.store()
			w.run(unknownJobTimeout)
			w.read("w1", left, nil)
			w.add("b", "plain", 2, tasks(1))
			w.run(2 * blockAfterFailure)
			assert.Equal(t, len(w.starts), 0)
			w.read("w1", nil, nil)
			w.run(100 * time.Millisecond)
			assert.Equal(t, len(w.starts), 1)
		})
	}
}
