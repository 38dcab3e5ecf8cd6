package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a sound worker with room that gets no job for ever, while the others are full, because one service that fails at once is its only trial
// and begins its pause anew each time.
func TestFailingServiceDoesNotKeepASuspectWorkerClosed(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	sc.round()
	for _, id := range []string{"w2", "w3"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 100 })
	}
	w := sc.core.workers["w1"]
	sc.core.reviewSuspect(w)
	sc.core.reviewSuspect(w)
	sc.addJob("bad", "plain", 1, serviceStep())
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
	sc.addJob("sound", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli = 250 }))
	addedAt := sc.now
	for sc.startedAt["sound.0.0.0"] == 0 && sc.now < addedAt+5*time.Minute {
		sc.reviewRound(end)
	}
	assert.Assert(t, sc.startedAt["sound.0.0.0"] != 0 && sc.now <= addedAt+30*time.Second, "started %v, after %s", sc.startedAt["sound.0.0.0"] != 0, sc.now-addedAt)
}

// Guards against gangs that never start on idle workers because many services, for which the workers that suit them have no room, keep all planning turns.
func TestServicesWithoutRoomDoNotTakeTheTurnOfGangs(t *testing.T) {
	for _, services := range []int{0, maxReservingSteps + 5} {
		t.Run(fmt.Sprint(services), func(t *testing.T) { testServicesWithoutRoom(t, services) })
	}
}

func testServicesWithoutRoom(t *testing.T, services int) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	for id, label := range map[string]string{"w1": "lane", "w2": "other", "w3": "other"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Labels = []string{label, "r1"} })
	}
	sc.core.SetAdvisers([]string{"i1", "i2"})
	sc.round()
	sc.addJob("full", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel, s.TaskDemand.CPUMilli, s.EstimateMS = "lane", 4000, 600_000 }))
	for range 5 {
		sc.round()
	}
	for i := range services {
		step := serviceStep()
		step.RequiredLabel, step.TaskDemand.CPUMilli = "lane", 10
		sc.addJob(fmt.Sprintf("s%02d", i), "short", 1, step)
	}
	for range 50 {
		sc.round()
	}
	sc.addJob("gang", "plain", 1, stepWithTasks(2, func(s *job.Step) { s.Gang, s.RequiredLabel = true, "other" }))
	addedAt := sc.now
	for sc.startedAt["gang.0.0.0"] == 0 && sc.now < addedAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= addedAt+10*time.Second, "started %v, after %s", sc.startedAt["gang.0.0.0"] != 0, sc.now-addedAt)
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
		sc.reviewRound(func(_ string, _ backend.ActiveRun, age time.Duration) string {
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
