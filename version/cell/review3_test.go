package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a run that a former leader started, and that is adopted only when its job is read, as a trial whose failure begins a pause anew.
func TestFailureOfAnAdoptedRunDoesNotBeginAPauseAnew(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3")
	sc.takeOver()
	sc.failRuns("w1", 2)
	w := sc.core.workers["w1"]
	first := w.health.suspicion.pausedUntil
	sc.running["w1"] = []backend.ActiveRun{{Task: "late.0.0.0", Run: 1}}
	sc.round()
	sc.addJob("late", "plain", 1, stepWithTasks(1))
	sc.round()
	sc.running["w1"] = nil
	sc.poll("w1", sc.completion("w1", "late.0.0.0", 1, backend.ResultFailed))
	assert.Equal(t, w.health.suspicion.pausedUntil, first)
}

// Guards against a worker whose runs hang, and which passes each trial before the run counts as stalled.
func TestHangingWorkerPassesNoTrial(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	cleared := sc.recordDecisions("worker_cleared")
	sc.round()
	sc.core.reviewSuspect(sc.core.workers["w1"])
	for _, id := range []string{"w2", "w3"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 100 })
	}
	for i := range 20 {
		sc.addJob(fmt.Sprintf("j%02d", i), "plain", 1, stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 10_000 }))
	}
	for end := sc.now + time.Minute; sc.now < end; {
		sc.round()
		// A stopped run ends.
		for key, r := range sc.core.workers["w1"].runs {
			if r.phase == phaseStopping {
				for i, item := range sc.running["w1"] {
					if item.Task == key.task {
						sc.running["w1"] = append(append([]backend.ActiveRun{}, sc.running["w1"][:i]...), sc.running["w1"][i+1:]...)
						sc.poll("w1", sc.completion("w1", item.Task, item.Run, backend.ResultStopped))
						break
					}
				}
			}
		}
		for i := range sc.running["w1"] {
			sc.running["w1"][i].ProgressPercent = 1
		}
	}
	assert.Equal(t, len(*cleared), 0)
}

// Guards against a service that fails at once and is the trial of one suspect worker after the other without the wait for another worker, because its step
// keeps the permission of its former wait.
func TestPermissionForTrialsEndsWithTheWait(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3", "w4", "w5", "w6", "w7")
	sc.round()
	for _, id := range []string{"w4", "w5", "w6", "w7"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 100 })
	}
	for _, id := range []string{"w1", "w2", "w3"} {
		sc.core.reviewSuspect(sc.core.workers[id])
		sc.core.reviewSuspect(sc.core.workers[id])
		sc.core.reviewSuspect(sc.core.workers[id])
	}
	sc.addJob("bad", "plain", 1, serviceStep())
	var startedAt []Instant
	for end := sc.now + 5*time.Second; sc.now < end; {
		startedAt = append(startedAt, make([]Instant, sc.reviewRound(func(string, backend.ActiveRun, time.Duration) string { return string(backend.ResultFailed) }))...)
		for i := range startedAt {
			if startedAt[i] == 0 {
				startedAt[i] = sc.now
			}
		}
	}
	assert.Assert(t, len(startedAt) > 1)
	for i := 1; i < len(startedAt); i++ {
		assert.Check(t, startedAt[i] >= startedAt[i-1]+serviceTrialDelay, "trial %d came %s after the one before", i, startedAt[i]-startedAt[i-1])
	}
}

// Guards against a job that has nothing running with room for it, because its task avoids the only worker that suits it for 5 s after a failure, counted
// from when the failure is read.
func TestJobReturnsToTheOnlyWorkerThatSuitsIt(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3")
	sc.takeOver()
	sc.listWorker("w1", func(info *backend.WorkerInfo) { info.Labels = []string{"lane", "r1"} })
	sc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel = "lane" }))
	sc.poll("w1", sc.completion("w1", "a.0.0.0", 1, backend.ResultFailed))
	readAt := sc.now
	for sc.startedAt["a.0.0.0"] == 0 && sc.now < readAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= readAt+maxStandstill, "the task started after %s", sc.now-readAt)
}
