package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// A stand-in that restarts a worker when its capacity changes, or that misses a start above it, would hide the scheduler's
// faults.
func TestCapacityChangesWhileAWorkerRuns(t *testing.T) {
	now := time.Hour
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	workers := NewWorkers(func() time.Duration { return now }, func(string) TaskBehavior {
		return TaskBehavior{Resources: each, Duration: time.Minute}
	})
	workers.Add(backend.WorkerInfo{ID: "w", StartedMS: 5, Capacity: each.Times(4)})
	start := func(task string) {
		reply, err := workers.Start(t.Context(), backend.StartCommand{
			Command: backend.Command{Worker: backend.WorkerRef{ID: "w"}, Task: task, Run: 1, FencingToken: 7}, LeaseDeadlineMS: 60_000,
		})
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, backend.Refusal(""))
	}
	start("a")
	start("b")
	now += time.Second
	info := workers.SetCapacity("w", each, 2*time.Second)
	assert.Equal(t, info.Capacity, each)
	assert.Equal(t, info.StartedMS, int64(5))
	poll, err := workers.Poll(t.Context(), backend.PollRequest{Worker: backend.WorkerRef{ID: "w"}, FencingToken: 7})
	assert.NilError(t, err)
	assert.Equal(t, len(poll.Running), 2)
	assert.Equal(t, poll.ClockMS, int64(1001))
	stale, err := workers.Poll(t.Context(), backend.PollRequest{Worker: backend.WorkerRef{ID: "w"}, FencingToken: 6})
	assert.NilError(t, err)
	assert.Equal(t, stale.Refusal, backend.RefusedFence)

	now += 1999 * time.Millisecond
	start("c")
	assert.Equal(t, len(workers.Violations()), 0)
	now += time.Millisecond
	start("d")
	assert.Equal(t, len(workers.Violations()), 1)
	workers.SetCapacity("w", each.Times(5), 0)
	start("e")
	assert.Equal(t, len(workers.Violations()), 1)
}

// TestServiceTasksFail guards against a stand-in whose service tasks fail before their age, or while they shall not, and one that counts such
// an end as done.
func TestServiceTasksFail(t *testing.T) {
	now, failing := time.Hour, false
	workers := NewWorkers(func() time.Duration { return now }, func(string) TaskBehavior {
		return TaskBehavior{Service: true, Duration: 2 * time.Second, FailsOn: func(string) bool { return failing }}
	})
	workers.Add(backend.WorkerInfo{ID: "w", StartedMS: 5})
	command := backend.Command{Worker: backend.WorkerRef{ID: "w"}, Task: "a", Run: 1, FencingToken: 7}
	_, err := workers.Start(t.Context(), backend.StartCommand{Command: command, LeaseDeadlineMS: 9000})
	assert.NilError(t, err)
	finished := func() []backend.FinishedRun {
		poll, err := workers.Poll(t.Context(), backend.PollRequest{Worker: command.Worker, FencingToken: 7})
		assert.NilError(t, err)
		return poll.Finished
	}
	failing = true
	now += 1999 * time.Millisecond
	assert.Equal(t, len(finished()), 0)
	failing = false
	now += time.Second
	assert.Equal(t, len(finished()), 0)
	failing = true
	assert.DeepEqual(t, finished(), []backend.FinishedRun{{Number: 1, Task: "a", Run: 1, Result: backend.ResultFailed}})
	assert.Assert(t, !workers.Done("a"))
}
