package worker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// TestObserverCountsFaults guards against an observer that misses a fault or counts a permitted start as one. All tests
// that check for double runs, reruns and overcommits depend on it.
func TestObserverCountsFaults(t *testing.T) {
	small := model.Resources{CPUMilli: 1000, MemoryMiB: 1}
	capacity := model.Resources{CPUMilli: 2000, MemoryMiB: 100, Slots: 2, Accelerators: 1, AcceleratorType: "a"}
	task := func(id string, kind model.Kind, idempotent bool, each model.Resources) worker.RunningTask {
		return worker.RunningTask{Task: model.Task{ID: model.TaskID(id), Kind: kind, Idempotent: idempotent, DeclaredDemand: each}}
	}
	batch, idempotentBatch := task("b", model.KindBatch, false, small), task("b", model.KindBatch, true, small)
	call, idempotentCall := task("c", model.KindCall, false, small), task("c", model.KindCall, true, small)
	service := task("s", model.KindService, false, small)
	type step struct {
		worker string
		task   worker.RunningTask
		// end is the state in which the task ends; empty means that the step starts the task.
		end model.OutcomeState
		// lost is set if the worker loses the result.
		lost bool
	}
	for _, tc := range []struct {
		name                           string
		steps                          []step
		doubleRuns, reruns, overcommit int
	}{
		{name: "once", steps: []step{{"w1", batch, "", false}, {"w1", batch, model.OutcomeFinished, false}}},
		{name: "two workers at once", steps: []step{{"w1", batch, "", false}, {"w2", batch, "", false}}, doubleRuns: 1},
		{name: "twice on one worker", steps: []step{{"w1", idempotentBatch, "", false}, {"w1", idempotentBatch, "", false}}, doubleRuns: 1},
		{name: "service on two workers", steps: []step{{"w1", service, "", false}, {"w2", service, "", false}}, doubleRuns: 1},
		{name: "idempotent call on two workers", steps: []step{{"w1", idempotentCall, "", false}, {"w2", idempotentCall, "", false}}, doubleRuns: 1},
		{name: "third copy after one ended", steps: []step{
			{"w1", batch, "", false}, {"w2", batch, "", false}, {"w1", batch, model.OutcomeExpired, false}, {"w3", batch, "", false},
		}, doubleRuns: 2},
		{name: "preempted and started elsewhere", steps: []step{
			{"w1", batch, "", false}, {"w1", batch, model.OutcomePreempted, false}, {"w2", batch, "", false},
		}},
		{name: "finished and started again", steps: []step{
			{"w1", batch, "", false}, {"w1", batch, model.OutcomeFinished, false}, {"w2", batch, "", false},
		}, doubleRuns: 1},
		{name: "finished, result lost, not idempotent", steps: []step{
			{"w1", batch, "", false}, {"w1", batch, model.OutcomeFinished, true}, {"w2", batch, "", false},
		}, doubleRuns: 1},
		{name: "finished, result lost, idempotent", steps: []step{
			{"w1", idempotentBatch, "", false}, {"w1", idempotentBatch, model.OutcomeFinished, true}, {"w2", idempotentBatch, "", false},
		}},
		{name: "finished, result kept, idempotent", steps: []step{
			{"w1", idempotentBatch, "", false}, {"w1", idempotentBatch, model.OutcomeFinished, false}, {"w2", idempotentBatch, "", false},
		}, reruns: 1},
		{name: "failed call started again", steps: []step{
			{"w1", call, "", false}, {"w1", call, model.OutcomeFailed, false}, {"w2", call, "", false},
		}, doubleRuns: 1},
		{name: "service started again", steps: []step{
			{"w1", service, "", false}, {"w1", service, model.OutcomeFinished, false}, {"w2", service, "", false},
		}},
		{name: "processors", steps: []step{
			{"w1", batch, "", false}, {"w1", task("big", model.KindBatch, false, model.Resources{CPUMilli: 1001}), "", false},
		}, overcommit: 1},
		{name: "capacity is free again after the end", steps: []step{
			{"w1", batch, "", false}, {"w1", batch, model.OutcomeFinished, false},
			{"w1", task("big", model.KindBatch, false, model.Resources{CPUMilli: 2000}), "", false},
		}},
		{name: "a task that declares no slots occupies one", steps: []step{
			{"w1", task("1", model.KindBatch, false, model.Resources{}), "", false},
			{"w1", task("2", model.KindBatch, false, model.Resources{}), "", false},
			{"w1", task("3", model.KindBatch, false, model.Resources{}), "", false},
		}, overcommit: 1},
		{name: "accelerators of another type", steps: []step{
			{"w1", task("acc", model.KindBatch, false, model.Resources{Accelerators: 1, AcceleratorType: "b"}), "", false},
		}, overcommit: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := NewObserver(time.Now)
			for _, s := range tc.steps {
				if s.end == "" {
					o.recordStart(s.worker, capacity, s.task)
					continue
				}
				o.recordEnd(s.worker, s.task, s.end)
				if s.lost {
					o.recordLostResult(s.task.Task)
				}
			}
			c := o.Counts()
			assert.Equal(t, c.DoubleRuns, tc.doubleRuns)
			assert.Equal(t, c.Reruns, tc.reruns)
			assert.Equal(t, c.Overcommits, tc.overcommit)
			assert.Equal(t, len(o.Faults()), tc.doubleRuns+tc.reruns+tc.overcommit)
		})
	}
}

// TestObserverSetNameOf guards against a double run that is missed because its two starts have different task ids, and
// against a wait that is measured from when the scheduler accepts the work instead of from its submission.
func TestObserverSetNameOf(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewObserver(func() time.Time { return now })
	o.SetNameOf(func(t model.Task) string { return string(t.Payload) })
	o.RecordSubmission("hold 7", now.Add(-2*time.Second))
	for _, id := range []model.TaskID{"x/1", "x/2"} {
		o.recordStart("w1", model.Resources{Slots: 8}, worker.RunningTask{Task: model.Task{
			ID: id, Kind: model.KindCall, Payload: []byte("hold 7"), SubmittedAt: now,
		}})
	}
	c := o.Counts()
	assert.Equal(t, c.DoubleRuns, 1)
	assert.Assert(t, c.WaitP50MS > 1990 && c.WaitP50MS < 2010, "median wait is %v ms, want 1990 to 2010", c.WaitP50MS)
}
