package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against finished jobs that keep their records and tasks in memory for as long as callers may ask for their states, and against a run
// that starts, or a completion that is not acknowledged, once the tasks are dropped.
func TestFinishedJobTakesLittleMemory(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	before := liveHeap()
	const jobs, tasks = 400, 50
	step := stepWithTasks(tasks, func(s *job.Step) { s.TaskDemand.CPUMilli = 10 })
	for i := range jobs {
		tc.addJob(fmt.Sprintf("job%05d", i), "plain", 1, step)
	}
	for range 300 {
		tc.runAll()
		tc.storeBatches()
		tc.now -= 100 * time.Millisecond
	}
	assert.Equal(t, tc.state("job00000"), job.Completed)
	assert.Equal(t, tc.state(fmt.Sprintf("job%05d", jobs-1)), job.Completed)
	assert.Equal(t, len(tc.core.jobs), 0)
	perJob := (liveHeap() - before) / jobs
	assert.Assert(t, perJob < occurrenceFootprint(&job.Spec{Steps: []job.Step{step}})/10, "%d bytes for each finished job of %d tasks", perJob, tasks)

	tc.starts = nil
	tc.addJob("job00000", "plain", 1, step)
	late := tc.completion("w1", "job00000.0.0.3", 9, backend.ResultDone)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "job00001.0.0.1", Run: 7}}, []backend.FinishedRun{late})
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.core.workers["w1"].lastAckedCompletion, late.Number)
	tc.core.CancelJob("job00000", tc.now)
	assert.Equal(t, tc.state("job00000"), job.Completed)
}
