package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// explain explains a job with one step on the queue "plain".
func (tc *testCluster) explain(s job.Step) StepPlacement {
	record := job.Record{Queue: tc.core.config.Queues[0], Spec: job.Spec{Steps: []job.Step{s}}}
	return tc.core.Explain(record, 10, tc.now).Steps[0]
}

// Guards against an explanation that differs from the decision: it names the worker that the tasks would get, counts each other one
// under the reason that keeps tasks off it, and changes nothing.
func TestExplanationMatchesThePlacement(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("near")
	tc.addWorker("full")
	tc.addWorker("other")
	tc.addWorker("leaving")
	tc.listWorker("near", func(w *backend.WorkerInfo) { w.Labels = []string{"k", "r2"} })
	tc.listWorker("full", func(w *backend.WorkerInfo) { w.Capacity = model.Resources{CPUMilli: 500, MemoryMiB: 8000} })
	tc.listWorker("other", func(w *backend.WorkerInfo) { w.Service = "else" })
	tc.listWorker("leaving", func(w *backend.WorkerInfo) { w.Draining = true })
	tc.listWorker("new", nil)
	tc.addWorker("far")
	s := stepWithTasks(6)
	s.DataRack = "r2"
	got := tc.explain(s)
	assert.Equal(t, got.Startable, 6)
	assert.Equal(t, got.StepsAhead, 0)
	assert.Assert(t, got.Feasible && !got.NeedsAdvice)
	assert.DeepEqual(t, got.Obstacles, map[string]int{"full": 1, "unsuitable": 1, "leaving": 1, "unknown": 1})
	assert.Equal(t, len(got.Workers), 2)
	assert.Equal(t, got.Workers[0].Worker, "near")
	assert.Assert(t, got.Workers[0].OnDataRack && !got.Workers[1].OnDataRack)

	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.addJob("a", "plain", 1, s)
	tc.advance(100 * time.Millisecond)
	placed := map[string]int{}
	for _, start := range tc.starts {
		placed[start.Command.Worker.ID]++
	}
	assert.DeepEqual(t, placed, map[string]int{"near": 4, "far": 2})
}

// Guards against an explanation that hides what waits: the cell is full, another step comes first, or no worker can ever hold it.
func TestExplanationOfWaitingWork(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4))
	tc.confirmStarts()
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	got := tc.explain(stepWithTasks(1))
	assert.Equal(t, got.Startable, 0)
	assert.Equal(t, got.StepsAhead, 1)
	assert.DeepEqual(t, got.Obstacles, map[string]int{"full": 1})
	assert.Assert(t, got.Feasible)
	huge := stepWithTasks(1)
	huge.TaskDemand.CPUMilli = 1_000_000
	assert.Assert(t, !tc.explain(huge).Feasible)
}

// Guards against an explanation that promises a part of a gang, or more than the team of the job may run.
func TestExplanationOfGangsAndLimits(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	gang := stepWithTasks(5)
	gang.Gang = true
	assert.Equal(t, tc.explain(gang).Startable, 0)
	gang.Count = 4
	assert.Equal(t, tc.explain(gang).Startable, 4)

	cfg := tc.core.config
	cfg.Version++
	cfg.Teams = map[string]job.Team{"a": {Name: "a", Limit: model.Resources{CPUMilli: 3000}}}
	tc.core.SetConfig(cfg)
	record := job.Record{Queue: cfg.Queues[0], Team: "a", Spec: job.Spec{Steps: []job.Step{stepWithTasks(4)}}}
	got := tc.core.Explain(record, 10, tc.now).Steps[0]
	assert.Equal(t, got.TeamAllows, 3)
	assert.Equal(t, got.Startable, 3)
	assert.Equal(t, len(tc.core.teams), 0)
}

// Guards against an objective that overflows, so that a job with absurd estimates would count as late and come after all others.
func TestObjectiveOfAbsurdEstimates(t *testing.T) {
	steps := []job.Step{stepWithTasks(1), stepWithTasks(1)}
	steps[0].EstimateMS, steps[1].EstimateMS, steps[1].DependsOn = 1<<62, 1<<62, []int{0}
	j := &jobState{record: job.Record{Spec: job.Spec{Steps: steps}}, queue: job.Queue{Stretch: 1e300}}
	for _, cpuMilli := range []int64{0, 1, 128_000} {
		e := newEstimate(j, 1, cpuMilli)
		assert.Equal(t, e.duration, maxObjectiveMS*time.Millisecond)
	}
}
