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
		assert.Equal(t, p["pause_ms"], minSuspectDuration.Milliseconds())
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
