package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// A stand-in whose failing workers complete a run, keep a service task or stay failing would hide what the scheduler does after such a
// fault.
func TestFailingWorkerFailsAllRuns(t *testing.T) {
	now := time.Hour
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	workers := NewWorkers(func() time.Duration { return now }, func(task string) TaskBehavior {
		return TaskBehavior{Resources: each, Duration: 420 * time.Millisecond, Service: task == "service"}
	})
	run := int64(0)
	for _, id := range []string{"w", "other"} {
		workers.Add(backend.WorkerInfo{ID: id, StartedMS: 5, Capacity: each.Times(8)})
	}
	start := func(id, task string) {
		run++
		reply, err := workers.Start(t.Context(), backend.StartCommand{
			Command: backend.Command{Worker: backend.WorkerRef{ID: id}, Task: task, Run: run, FencingToken: 7}, LeaseDeadlineMS: 60_000,
		})
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, backend.Refusal(""))
	}
	start("w", "service")
	start("w", "almost-done")
	start("other", "elsewhere")
	now += 410 * time.Millisecond
	workers.SetFailing(true, "w")
	now += 10 * time.Millisecond
	assert.Equal(t, workers.Failures("almost-done"), 1)
	assert.Assert(t, !workers.Done("almost-done"))
	assert.Assert(t, workers.Done("elsewhere"))
	assert.Equal(t, len(workers.RunningOn("service")), 1)
	now += shortestFailure + failureSpread
	assert.Equal(t, workers.Failures("service"), 1)
	start("w", "service")
	start("w", "short")
	now += shortestFailure + failureSpread
	assert.Equal(t, workers.Failures("service"), 2)
	assert.Equal(t, workers.Failures("short"), 1)

	start("w", "service")
	start("w", "short")
	workers.SetFailing(false, "w")
	now += time.Second
	assert.Equal(t, workers.Failures("service"), 2)
	assert.Assert(t, workers.Done("short"))
	poll, err := workers.Poll(t.Context(), backend.PollRequest{Worker: backend.WorkerRef{ID: "w"}, FencingToken: 7})
	assert.NilError(t, err)
	assert.Equal(t, len(poll.Running), 1)
	assert.Equal(t, len(poll.Finished), 5)
}
