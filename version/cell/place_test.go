package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// A step must not start before the steps it depends on are done.
func TestStepsWaitForTheirDependencies(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(2), stepWithTasks(1), stepWithTasks(1, dependsOn(0, 1)))
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 3)
	tc.confirmStarts()
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.1", Run: 1}}, []backend.FinishedRun{
		tc.completion("w1", "a.0.0.0", 1, backend.ResultDone), tc.completion("w1", "a.0.1.0", 1, backend.ResultDone),
	})
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.1", 1, backend.ResultDone)})
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.2.0")
}

// Tasks must not start on workers that may not run the step: one of another service, without the required label,
// draining, with the maximum number of tasks of the step, or without enough capacity.
func TestIneligibleWorkers(t *testing.T) {
	cases := map[string]struct {
		worker func(*backend.WorkerInfo)
		step   func(*job.Step)
	}{
		"service":  {func(i *backend.WorkerInfo) { i.Service = "other" }, nil},
		"label":    {nil, func(s *job.Step) { s.RequiredLabel = "b" }},
		"draining": {func(i *backend.WorkerInfo) { i.Draining, i.RemainingMS = true, 5000 }, nil},
		"memory":   {nil, func(s *job.Step) { s.TaskDemand.MemoryMiB = 9000 }},
		"cpu":      {nil, func(s *job.Step) { s.TaskDemand.CPUMilli = 4001 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.listWorker("w1", c.worker)
			tc.answerPoll("w1", nil, nil)
			tc.storeBatches()
			s := stepWithTasks(1)
			if c.step != nil {
				c.step(&s)
			}
			tc.addJob("a", "plain", 1, s)
			tc.advance(200 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 0)
		})
	}
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(4, func(s *job.Step) { s.MaxPerWorker = 1 }))
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 2)
	assert.Assert(t, tc.starts[0].Command.Worker.ID != tc.starts[1].Command.Worker.ID)
}

// The capacity of a stopped run must not be released before the run has ended.
func TestStoppedRunsKeepTheirCapacity(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4))
	running := tc.confirmStarts()["w1"]
	tc.core.CancelJob("a", tc.now)
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	tc.answerPoll("w1", running, nil)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w1", running[1:], []backend.FinishedRun{tc.completion("w1", running[0].Task, 1, backend.ResultStopped)})
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// The morning peak must not wait behind long jobs: the queue with the higher priority is placed first, and within a
// priority the jobs that can still be on time.
func TestPlacementOrder(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addJob("audit", "long", 1, stepWithTasks(4))
	tc.addJob("late", "plain", 1, stepWithTasks(2))
	tc.advance(5 * time.Second)
	tc.addJob("fresh", "plain", 1, stepWithTasks(2))
	tc.addJob("booking", "short", 1, stepWithTasks(2))
	tc.addWorker("w1")
	tc.addWorker("w2")
	// The booking and the audit need advice; the request of the booking is sent first.
	tc.core.SetAdvisers([]string{"i1"})
	tc.starts = nil
	tc.step()
	assert.Equal(t, tc.starts[0].Command.Task, "fresh.0.0.0")
	assert.Equal(t, len(tc.adviceRequests), 1)
	assert.Equal(t, tc.adviceRequests[0].Step, "booking.0.0")
}

// A gang must not start partially, and the remaining members must not continue when one has ended.
func TestGangStartsAndRestartsTogether(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	gang := stepWithTasks(6, func(s *job.Step) { s.Gang = true })
	tc.addJob("a", "plain", 1, gang)
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.addWorker("w2")
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 6)
	running := tc.confirmStarts()
	lost := running["w1"][0]
	tc.answerPoll("w2", running["w2"], nil)
	tc.answerPoll("w1", running["w1"][1:], []backend.FinishedRun{tc.completion("w1", lost.Task, 1, backend.ResultFailed)})
	tc.step()
	assert.Equal(t, len(tc.stops), 5)
	for id, list := range running {
		var completions []backend.FinishedRun
		for _, r := range list {
			if r.Task != lost.Task {
				completions = append(completions, tc.completion(id, r.Task, 1, backend.ResultGangEnded))
			}
		}
		assert.Equal(t, len(tc.starts), 0)
		tc.answerPoll(id, nil, completions)
		tc.step()
	}
	assert.Equal(t, len(tc.starts), 6)
	for _, a := range tc.starts {
		assert.Equal(t, a.Command.Run, int64(2))
	}
	// The completion of one member completes the whole gang.
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 2, backend.ResultDone)})
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
}

// A gang must not be spread over several racks if one has enough capacity.
func TestGangPrefersOneRack(t *testing.T) {
	tc := newTestCluster(t, 1)
	for i, rack := range []string{"r1", "r2", "r2", "r3"} {
		id := fmt.Sprintf("w%d", i)
		tc.listWorker(id, func(info *backend.WorkerInfo) { info.Labels = []string{"k", rack} })
		tc.answerPoll(id, nil, nil)
	}
	tc.storeBatches()
	tc.addJob("a", "plain", 1, stepWithTasks(6, func(s *job.Step) { s.Gang, s.SameRack = true, true }))
	tc.step()
	assert.Equal(t, len(tc.starts), 6)
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Worker.ID == "w1" || a.Command.Worker.ID == "w2")
	}
}

// A best-effort gang must start, beside other tasks if it finds no idle processor time.
func TestBestEffortGangStarts(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(4, withEstimate(60_000)))
	tc.step()
	tc.confirmStarts()
	tc.addJob("idle", "plain", 1, stepWithTasks(2, asGang, asBestEffort))
	tc.addJob("none", "plain", 1, stepWithTasks(7, asGang, asBestEffort))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 2)
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Task == "idle.0.0.0" || a.Command.Task == "idle.0.0.1", a.Command.Task)
	}
	tc.starts = nil
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 7)
}

// Occurrences of recurring jobs must not start early, twice or not at all.
func TestOccurrencesStartWhenDue(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	start := tc.now.Milliseconds() + 1000
	tc.core.AddJob("a", job.Record{
		Queue: job.Queue{Name: "plain", Service: "desk", MaxAttempts: 3}, Epoch: 1,
		Spec: job.Spec{Steps: []job.Step{stepWithTasks(1)}, Repetitions: 2, StartAtMS: start, IntervalMS: 500},
	}, tc.now)
	tc.advance(900 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.0")
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 2)
	assert.Equal(t, tc.starts[1].Command.Task, "a.1.0.0")
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{
		tc.completion("w1", "a.0.0.0", 1, backend.ResultDone), tc.completion("w1", "a.1.0.0", 1, backend.ResultDone),
	})
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
}

// An occurrence that a former leader opened before this leader's clock reached its time must not make the leader skip the
// occurrences before it.
func TestAdoptedOccurrenceDoesNotSkipEarlierOnes(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	start := tc.now.Milliseconds() + 1000
	tc.core.AddJob("a", job.Record{
		Queue: job.Queue{Name: "plain", Service: "desk", MaxAttempts: 3}, Epoch: 1,
		Spec: job.Spec{Steps: []job.Step{stepWithTasks(1)}, Repetitions: 3, StartAtMS: start, IntervalMS: 500},
	}, tc.now)
	adopted := backend.ActiveRun{Task: "a.1.0.0", Run: 1}
	tc.answerPoll("w1", []backend.ActiveRun{adopted}, nil)
	tc.advance(3 * time.Second)
	var started []string
	for _, a := range tc.starts {
		started = append(started, a.Command.Task)
	}
	assert.DeepEqual(t, started, []string{"a.0.0.0", "a.2.0.0"})
}

// A service task that has failed on each worker that can run it must run again soon, although there are other workers: tasks
// that last may fail at any time, and a worker must not be lost to them for good.
func TestServiceTaskReturnsToItsOnlyWorkers(t *testing.T) {
	tc := newTestCluster(t, 1)
	for _, id := range []string{"w1", "w2"} {
		tc.listWorker(id, func(w *backend.WorkerInfo) { w.Labels = []string{"lane", "r1"} })
		tc.answerPoll(id, nil, nil)
	}
	tc.addWorker("other")
	tc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.RequiredLabel = true, "lane" }))
	tc.run(2 * tick)
	for range 2 {
		assert.Equal(t, len(tc.starts), 1)
		worker, run := tc.starts[0].Command.Worker.ID, tc.starts[0].Command.Run
		tc.confirmStarts()
		tc.answerPoll(worker, nil, []backend.FinishedRun{tc.completion(worker, "a.0.0.0", run, backend.ResultFailed)})
		tc.run(2 * tick)
	}
	for end := tc.now + 6*time.Second; tc.now < end && len(tc.starts) == 0; tc.run(100 * time.Millisecond) {
		for _, id := range []string{"w1", "w2"} {
			tc.answerPoll(id, nil, nil)
		}
	}
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against service tasks that stay away for a longest lease because they started on a worker that had just restarted and was lost
// again, although others had room. If all workers have restarted, the tasks start all the same.
func TestServiceTasksAvoidRestartedWorkers(t *testing.T) {
	for _, onlyRestarted := range []bool{false, true} {
		tc := newTestCluster(t, 1)
		tc.core.opts.MaxLease = 3 * testLease
		expected := "w1"
		if !onlyRestarted {
			expected = "w2"
			tc.addWorker(expected)
			tc.addJob("busy", "plain", 1, stepWithTasks(2))
			tc.step()
		}
		tc.addWorker("w1")
		tc.answerBoot(2000)
		tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
		tc.answerBoot(2000)
		tc.addJob("service", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning = true }))
		for range 5 {
			tc.step()
			tc.storeBatches()
		}
		last := tc.starts[len(tc.starts)-1].Command
		assert.Equal(t, last.Task, "service.0.0.0")
		assert.Equal(t, last.Worker.ID, expected)
	}
}
