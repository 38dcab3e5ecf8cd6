package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// roundEnding runs one round of 100 ms and ends runs after their lifetime, with the result that end returns; an empty one lets the run go on.
func (sc *serviceCluster) roundEnding(end func(worker string, r backend.ActiveRun, age time.Duration) string) (ended int) {
	sc.round()
	for id, runs := range sc.running {
		var stay []backend.ActiveRun
		var done []backend.FinishedRun
		for _, r := range runs {
			if how := end(id, r, sc.now-sc.startedAt[r.Task]); how != "" {
				done = append(done, sc.completion(id, r.Task, r.Run, backend.RunResult(how)))
				continue
			}
			stay = append(stay, r)
		}
		if len(done) > 0 {
			sc.running[id] = stay
			sc.poll(id, done...)
			ended += len(done)
		}
	}
	return ended
}

// Guards against a sound worker that gets no work for ever because services that fail at once take every trial of it and begin its pause anew.
func TestFailingServicesDoNotCloseTheOnlyWorkerOfAJob(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	for id, label := range map[string]string{"w1": "lane", "w2": "other", "w3": "other"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Labels = []string{label, "r1"} })
	}
	sc.round()
	for i := range 2 {
		step := serviceStep()
		step.RequiredLabel = "lane"
		sc.addJob(fmt.Sprintf("bad%d", i), "plain", 1, step)
	}
	end := func(_ string, r backend.ActiveRun, age time.Duration) string {
		switch {
		case strings.HasPrefix(r.Task, "bad"):
			return string(backend.ResultFailed)
		case age >= time.Second:
			return string(backend.ResultDone)
		}
		return ""
	}
	for range 100 {
		sc.roundEnding(end)
	}
	sc.addJob("sound", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel, s.TaskDemand.CPUMilli = "lane", 250 }))
	addedAt := sc.now
	for sc.startedSince(addedAt) >= 0 && sc.startedAt["sound.0.0.0"] == 0 && sc.now < addedAt+5*time.Minute {
		sc.roundEnding(end)
	}
	assert.Assert(t, sc.startedAt["sound.0.0.0"] != 0 && sc.now <= addedAt+30*time.Second, "started %v, after %s", sc.startedAt["sound.0.0.0"] != 0, sc.now-addedAt)
}

// Guards against a gang that has nothing running while all workers are suspect and idle.
func TestGangStartsThoughAllWorkersAreSuspect(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3")
	sc.takeOver()
	for id := range sc.boots {
		sc.failRuns(id, 2)
	}
	for id := range sc.boots {
		for i := range 2 {
			sc.core.CancelJob(job.ID(fmt.Sprintf("%s%02d", id, i)), sc.now)
		}
	}
	sc.addJob("gang", "plain", 1, stepWithTasks(6, func(s *job.Step) { s.Gang, s.TaskDemand.CPUMilli = true, 1000 }))
	readAt := sc.now
	for sc.startedAt["gang.0.0.0"] == 0 && sc.now < readAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= readAt+maxStandstill, "the gang started after %s", sc.now-readAt)
}

// Guards against a job that has nothing running while the workers with its label are suspect and idle, and the others of its service are sound.
func TestJobStartsThoughAllWorkersThatSuitItAreSuspect(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3", "w4", "w5")
	for i, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		label := "other"
		if i < 2 {
			label = "lane"
		}
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Labels = []string{label, "r1"} })
	}
	sc.takeOver()
	for _, id := range []string{"w1", "w2"} {
		sc.failRuns(id, 2)
	}
	sc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel = "lane" }))
	readAt := sc.now
	for sc.startedAt["a.0.0.0"] == 0 && sc.now < readAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= readAt+maxStandstill, "the task started after %s", sc.now-readAt)
}

// Guards against a worker on which all runs fail after some seconds and which passes each trial before, so that attempts of jobs are wasted there.
func TestWorkerThatFailsRunsLatePassesNoTrial(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			sc := newServiceCluster(t, 1, "w1", "w2", "w3")
			sc.round()
			for i := range 400 {
				sc.addJob(fmt.Sprintf("j%03d", i), "plain", 1, stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli, s.EstimateMS = 1000, 6000 }))
			}
			failed := 0
			for end := sc.now + time.Minute; sc.now < end; {
				sc.roundEnding(func(w string, _ backend.ActiveRun, age time.Duration) string {
					switch {
					case w == "w1" && age >= after:
						failed++
						return string(backend.ResultFailed)
					case age >= 6*time.Second:
						return string(backend.ResultDone)
					}
					return ""
				})
			}
			// Without trials, with pauses only, it was at most 16.
			assert.Check(t, failed <= 16, "%d runs failed on the faulty worker in a minute", failed)
		})
	}
}

// Guards against a sound worker with room that gets no job for ever, while the others are full, because one service that fails at once is its only trial
// and begins its pause anew each time.
func TestFailingServiceDoesNotKeepASuspectWorkerClosed(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	sc.round()
	for _, id := range []string{"w2", "w3"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 100 })
	}
	w := sc.core.workers["w1"]
	sc.core.beginLongerPause(w)
	sc.core.beginLongerPause(w)
	sc.addJob("bad", "plain", 1, serviceStep())
	end := func(_ string, r backend.ActiveRun, age time.Duration) string {
		switch {
		case strings.HasPrefix(r.Task, "bad"):
			return string(backend.ResultFailed)
		case age >= time.Second:
			return string(backend.ResultDone)
		}
		return ""
	}
	for range 100 {
		sc.roundEnding(end)
	}
	sc.addJob("sound", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli = 250 }))
	addedAt := sc.now
	for sc.startedAt["sound.0.0.0"] == 0 && sc.now < addedAt+5*time.Minute {
		sc.roundEnding(end)
	}
	assert.Assert(t, sc.startedAt["sound.0.0.0"] != 0 && sc.now <= addedAt+30*time.Second, "started %v, after %s", sc.startedAt["sound.0.0.0"] != 0, sc.now-addedAt)
}

// Guards against jobs that fail in every attempt within a second, because each attempt finds another suspect worker that gets a trial.
func TestTrialsDoNotUseUpTheAttemptsOfAJob(t *testing.T) {
	var workers []string
	for i := range 12 {
		workers = append(workers, fmt.Sprintf("w%02d", i))
	}
	sc := newServiceCluster(t, 2, workers...)
	sc.takeOver()
	for _, id := range workers {
		sc.failRuns(id, 2)
		for i := range 2 {
			sc.core.CancelJob(job.ID(fmt.Sprintf("%s%02d", id, i)), sc.now)
		}
	}
	// All workers fail what they run for 3.5 s more, less than the shortest pause.
	const jobs = 4
	for i := range jobs {
		sc.addJob(fmt.Sprintf("j%d", i), "plain", 1, stepWithTasks(1))
	}
	faultyUntil := sc.now + 3500*time.Millisecond
	for end := sc.now + 30*time.Second; sc.now < end; {
		sc.roundEnding(func(_ string, _ backend.ActiveRun, age time.Duration) string {
			switch {
			case sc.now < faultyUntil:
				return string(backend.ResultFailed)
			case age >= time.Second:
				return string(backend.ResultDone)
			}
			return ""
		})
	}
	for i := range jobs {
		assert.Check(t, sc.state(fmt.Sprintf("j%d", i)) == job.Completed, "%s", sc.state(fmt.Sprintf("j%d", i)))
	}
}

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
	sc.core.beginLongerPause(sc.core.workers["w1"])
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
		sc.core.beginLongerPause(sc.core.workers[id])
		sc.core.beginLongerPause(sc.core.workers[id])
		sc.core.beginLongerPause(sc.core.workers[id])
	}
	sc.addJob("bad", "plain", 1, serviceStep())
	var startedAt []Instant
	for end := sc.now + 5*time.Second; sc.now < end; {
		startedAt = append(startedAt, make([]Instant, sc.roundEnding(func(string, backend.ActiveRun, time.Duration) string { return string(backend.ResultFailed) }))...)
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
