package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// maxStandstill is how long a job may have nothing running while its turn has come and there is room for it.
const maxStandstill = 3 * time.Second

// failRuns reports that a number of runs of different jobs that a former leader had started on a worker have failed, in one answer.
func (sc *serviceCluster) failRuns(worker string, count int) {
	var ended []backend.FinishedRun
	for i := range count {
		id := fmt.Sprintf("%s%02d", worker, i)
		sc.addJob(id, "plain", 1, stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli = 4000 }))
		ended = append(ended, sc.completion(worker, id+".0.0.0", 1, backend.ResultFailed))
	}
	sc.poll(worker, ended...)
}

// takeOver makes a cluster that of a leader which follows others that used its workers.
func (sc *serviceCluster) takeOver() {
	record := "{"
	for id := range sc.boots {
		record += fmt.Sprintf(`%q:"%s:1",`, id, id)
	}
	assert.NilError(sc.t, sc.core.LoadFleetRecord(sc.now, []byte(record[:len(record)-1]+"}")))
}

// Guards against a worker that stays suspect for the longest pause because a new leader reads many failures of runs in one answer, which say no
// more than that runs failed there once.
func TestFailuresReadTogetherAreOneSeries(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3")
	pauses := sc.recordDecisions("worker_suspected")
	sc.takeOver()
	sc.failRuns("w1", 6)
	assert.Assert(t, len(*pauses) > 0)
	for _, p := range *pauses {
		assert.Equal(t, p["pause_ms"], minSuspectPause.Milliseconds())
	}
}

// Guards against a service task that stays away, with room for it, because all workers with room are suspect since a new leader has read that many
// runs failed on them.
func TestServiceReturnsThoughWorkersWithRoomAreSuspect(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3", "w4", "w5")
	sc.takeOver()
	sc.addJob("a", "plain", 1, serviceStep())
	for _, id := range []string{"w1", "w2"} {
		sc.failRuns(id, 8)
	}
	// Tasks that go on fill the others.
	for _, id := range []string{"w3", "w4", "w5"} {
		sc.addJob("full"+id, "plain", 1, stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli, s.EstimateMS = 4000, 60_000 }))
		sc.running[id] = []backend.ActiveRun{{Task: "full" + id + ".0.0.0", Run: 1}}
	}
	sc.poll("w1", sc.completion("w1", "a.0.0.0", 1, backend.ResultFailed))
	failedAt := sc.now
	for sc.startedAt["a.0.0.0"] <= failedAt && sc.now < failedAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= failedAt+maxServiceAway, "the task was away for %s", sc.now-failedAt)
}

// Guards against jobs that have nothing running while all workers are suspect and idle.
func TestJobsStartThoughAllWorkersAreSuspect(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3")
	sc.takeOver()
	for id := range sc.boots {
		sc.failRuns(id, 6)
	}
	readAt := sc.now
	for sc.startedSince(readAt) < len(sc.boots) && sc.now < readAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= readAt+maxStandstill, "the first tasks started after %s", sc.now-readAt)
}

// Guards against a suspect worker that gets as many tasks as it holds when its pause ends, all of which fail if it is still faulty, and against one
// that stays suspect although its trial has passed.
func TestSuspectWorkerGetsOneTrialAtATime(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	w := tc.core.workers["w1"]
	for i := range suspectFailedJobs {
		id := fmt.Sprintf("x%d", i)
		// No worker suits its further attempts.
		tc.addJob(id, "plain", 1, stepWithTasks(1, func(s *job.Step) { s.RequiredLabel = "none" }))
		tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", id+".0.0.0", 1, backend.ResultFailed)})
	}
	assert.Assert(t, w.health.suspicion.isPausedAt(tc.now))
	tc.listWorker("w2", func(info *backend.WorkerInfo) { info.Draining = true })
	tc.advance(minSuspectPause + 100*time.Millisecond)
	tc.answerPoll("w1", nil, nil)
	tc.starts = nil
	tc.addJob("a", "plain", 1, stepWithTasks(4))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 1)
	running := tc.confirmStarts()["w1"]
	for passed := time.Duration(0); passed < minServiceRun+time.Second; passed += 100 * time.Millisecond {
		tc.advance(100 * time.Millisecond)
		for i := range running {
			running[i].ProgressPercent = min(99, running[i].ProgressPercent+1)
		}
		tc.answerPoll("w1", running, nil)
	}
	assert.Assert(t, !w.health.suspicion.isActiveAt(tc.now))
	assert.Equal(t, len(tc.starts), 3)
}

// Guards against a faulty worker on which the attempts of one job after the other are wasted: each trial that fails doubles the pause.
func TestFailedTrialsDoubleThePause(t *testing.T) {
	tc := newTestCluster(t, 1)
	pauses := tc.recordDecisions("worker_suspected")
	tc.addWorker("w1")
	for i := range 40 {
		tc.addJob(fmt.Sprintf("x%02d", i), "plain", 1, stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli = 4000 }))
	}
	for _, id := range []string{"w2", "w3"} {
		tc.addWorker(id)
		tc.listWorker(id, func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 500 })
	}
	for end := tc.now + 50*time.Second; tc.now < end; {
		tc.advance(100 * time.Millisecond)
		var ended []backend.FinishedRun
		for id, runs := range tc.confirmStarts() {
			for _, r := range runs {
				ended = append(ended, tc.completion(id, r.Task, r.Run, backend.ResultFailed))
			}
		}
		tc.answerPoll("w1", nil, ended)
		tc.answerPoll("w2", nil, nil)
		tc.answerPoll("w3", nil, nil)
		tc.storeBatches()
	}
	var got []int64
	for _, p := range *pauses {
		got = append(got, p["pause_ms"].(int64))
	}
	assert.DeepEqual(t, got, []int64{4000, 8000, 16000, 16000, 16000})
}

// Guards against a service task that stays away for the pause of the only worker that holds it, though the worker is sound again, and
// against a worker that stays suspect although a service works there.
func TestServiceTriesASuspectWorkerInItsPause(t *testing.T) {
	sc := newServiceCluster(t, 1, "w1", "w2", "w3")
	sc.round()
	for _, id := range []string{"w2", "w3"} {
		sc.listWorker(id, func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 100 })
	}
	sc.addJob("service", "plain", 1, serviceStep())
	sc.round()
	w := sc.core.workers["w1"]
	for w.health.suspicion.pause < maxSuspectPause {
		sc.core.beginLongerPause(w)
	}
	sc.running["w1"] = nil
	sc.poll("w1", sc.completion("w1", "service.0.0.0", 1, backend.ResultFailed))
	failedAt := sc.now
	for sc.startedAt["service.0.0.0"] <= failedAt && sc.now < failedAt+time.Minute {
		sc.round()
	}
	assert.Assert(t, sc.now <= failedAt+maxServiceAway, "the task was away for %s", sc.now-failedAt)
	for end := sc.now + minServiceRun + time.Second; sc.now < end; {
		sc.round()
	}
	assert.Assert(t, !w.health.suspicion.isActiveAt(sc.now), "the worker is suspect although the service works there")
}

// Guards against jobs whose attempts are used up on faulty workers, one after the other, because all workers are suspect and get trials, and against
// pauses that are long when the workers are sound again, because each of these trials has doubled them.
func TestTrialsOfACrowdOfSuspectWorkersAreFew(t *testing.T) {
	sc := newServiceCluster(t, 2, "w1", "w2", "w3")
	sc.takeOver()
	for id := range sc.boots {
		sc.failRuns(id, 20)
	}
	const faulty = 8 * time.Second
	starts := 0
	for end := sc.now + faulty; sc.now < end; {
		sc.round()
		for id, runs := range sc.running {
			var ended []backend.FinishedRun
			for _, r := range runs {
				ended = append(ended, sc.completion(id, r.Task, r.Run, backend.ResultFailed))
			}
			starts += len(runs)
			delete(sc.running, id)
			sc.poll(id, ended...)
		}
	}
	most := len(sc.boots) * (int(faulty/crowdedTrialInterval) + 1)
	assert.Assert(t, starts > 0 && starts <= most, "%d starts, %d allowed", starts, most)
	for id, w := range sc.core.workers {
		assert.Check(t, w.health.suspicion.pausedUntil <= sc.now+minSuspectPause, "%s is paused for %s", id, w.health.suspicion.pausedUntil-sc.now)
	}
}
