package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

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
