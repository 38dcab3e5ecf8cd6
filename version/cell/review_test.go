package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// reviewRound runs one round of 100 ms and ends runs after their lifetime, with the result that end returns; an empty one lets the run go on.
func (sc *serviceCluster) reviewRound(end func(worker string, r backend.ActiveRun, age time.Duration) string) (ended int) {
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

func isTaskOf(task, prefix string) bool {
	return len(task) >= len(prefix) && task[:len(prefix)] == prefix
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
		case isTaskOf(r.Task, "bad"):
			return string(backend.ResultFailed)
		case age >= time.Second:
			return string(backend.ResultDone)
		}
		return ""
	}
	for range 100 {
		sc.reviewRound(end)
	}
	sc.addJob("sound", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel, s.TaskDemand.CPUMilli = "lane", 250 }))
	addedAt := sc.now
	for sc.startedSince(addedAt) >= 0 && sc.startedAt["sound.0.0.0"] == 0 && sc.now < addedAt+5*time.Minute {
		sc.reviewRound(end)
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
				sc.reviewRound(func(w string, _ backend.ActiveRun, age time.Duration) string {
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
