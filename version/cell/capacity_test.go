package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// setCapacity changes the capacity in the registry entry of a worker that keeps running.
func (tc *testCluster) setCapacity(id string, cpuMilli, memoryMiB int64) {
	tc.listWorker(id, func(info *backend.WorkerInfo) {
		info.Capacity = model.Resources{CPUMilli: cpuMilli, MemoryMiB: memoryMiB}
	})
}

func asGang(s *job.Step)       { s.Gang = true }
func asBestEffort(s *job.Step) { s.BestEffort = true }
func asCheckpoint(s *job.Step) { s.Checkpoints = true }
func withEstimate(ms int64) func(*job.Step) {
	return func(s *job.Step) { s.EstimateMS = ms }
}

// A start must not bring a worker over a capacity that has shrunk below what runs there, and the runs must go on.
func TestShrunkenWorkerGetsNoStarts(t *testing.T) {
	steps := map[string]job.Step{
		"task":         stepWithTasks(1),
		"gang":         stepWithTasks(2, asGang),
		"best effort":  stepWithTasks(1, asBestEffort),
		"service task": stepWithTasks(1, func(s *job.Step) { s.LongRunning = true }),
		"speculative":  stepWithTasks(1, func(s *job.Step) { s.Speculative = true }),
		"memory only":  stepWithTasks(1, func(s *job.Step) { s.TaskDemand.CPUMilli = 0 }),
		"memory gang":  stepWithTasks(2, asGang, func(s *job.Step) { s.TaskDemand.CPUMilli = 0 }),
	}
	capacities := map[string]model.Resources{
		"cpu": {CPUMilli: 1000, MemoryMiB: 8000}, "memory": {CPUMilli: 8000, MemoryMiB: 150}, "both": {CPUMilli: 1999, MemoryMiB: 199},
		"none": {},
	}
	for name, s := range steps {
		for shrunken, capacity := range capacities {
			for _, queue := range []string{"plain", "short"} {
				t.Run(name+"/"+shrunken+"/"+queue, func(t *testing.T) {
					tc := newStartedTestCluster(t, stepWithTasks(2, withEstimate(60_000)))
					tc.core.SetAdvisers([]string{"i1", "i2"})
					running := tc.confirmStarts()["w1"]
					assert.Equal(t, len(running), 2)
					tc.answerPoll("w1", running, nil)
					tc.setCapacity("w1", capacity.CPUMilli, capacity.MemoryMiB)
					tc.addJob("b", queue, 1, s)
					for range 30 {
						tc.advance(100 * time.Millisecond)
						tc.approveAll(2500 * time.Millisecond)
						tc.storeBatches()
						tc.answerPoll("w1", running, nil)
					}
					assert.Equal(t, len(tc.starts), 0)
					assert.Equal(t, len(tc.stops), 0)
					tc.setCapacity("w1", 4000, 8000)
					tc.advance(50 * time.Millisecond)
					tc.approveAll(2500 * time.Millisecond)
					tc.advance(50 * time.Millisecond)
					tc.approveAll(2500 * time.Millisecond)
					tc.run(50 * time.Millisecond)
					assert.Equal(t, len(tc.starts), s.Count)
				})
			}
		}
	}
}

// approveAll answers all requests for advice with tickets for every worker.
func (tc *testCluster) approveAll(validity time.Duration) {
	for _, a := range tc.adviceRequests {
		var tickets []backend.Ticket
		for _, id := range a.Workers {
			tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
		}
		tc.core.AdviceResult(a, tickets, validity, nil, tc.now)
	}
	tc.adviceRequests = nil
}

// Waiting tasks must start in the next round when the capacity of a worker has grown, not after the next sweep.
func TestWaitingTasksStartWhenCapacityGrows(t *testing.T) {
	for _, queue := range []string{"plain", "short"} {
		tc := newTestCluster(t, 1)
		tc.core.SetAdvisers([]string{"i1"})
		tc.addWorker("w1")
		tc.setCapacity("w1", 500, 8000)
		tc.addJob("a", queue, 1, stepWithTasks(2))
		tc.advance(time.Second)
		tc.approveAll(2500 * time.Millisecond)
		assert.Equal(t, len(tc.starts), 0)
		// Without a sweep only the change itself can cause the starts.
		tc.core.nextSweep = tc.now + time.Hour
		for len(tc.core.Wake()) > 0 {
			<-tc.core.Wake()
		}
		tc.setCapacity("w1", 4000, 8000)
		assert.Equal(t, len(tc.core.Wake()), 1)
		tc.step()
		if queue == "short" {
			assert.Equal(t, len(tc.adviceRequests), 1)
			tc.approveAll(2500 * time.Millisecond)
			tc.step()
		}
		assert.Equal(t, len(tc.starts), 2, queue)
	}
}

// A start that waits to be sent must be withdrawn when its worker may not run it any longer, and only as many starts as
// exceed the capacity.
func TestQueuedStartIsWithdrawnWhenItsWorkerChanges(t *testing.T) {
	cases := map[string]struct {
		change func(*backend.WorkerInfo)
		needed int
	}{
		"no change":    {nil, 3},
		"shrunken":     {func(i *backend.WorkerInfo) { i.Capacity.CPUMilli = 3000 }, 1},
		"less memory":  {func(i *backend.WorkerInfo) { i.Capacity.MemoryMiB = 350 }, 1},
		"no capacity":  {func(i *backend.WorkerInfo) { i.Capacity = model.Resources{} }, 0},
		"draining":     {func(i *backend.WorkerInfo) { i.Draining, i.RemainingMS = true, 60_000 }, 0},
		"grown":        {func(i *backend.WorkerInfo) { i.Capacity.CPUMilli = 8000 }, 3},
		"another zone": {func(i *backend.WorkerInfo) { i.Zone = "b" }, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.listWorker("w1", func(i *backend.WorkerInfo) { i.Capacity.CPUMilli = 5000 })
			tc.answerPoll("w1", nil, nil)
			tc.storeBatches()
			tc.addJob("a", "plain", 1, stepWithTasks(2))
			tc.step()
			running := tc.confirmStarts()["w1"]
			tc.answerPoll("w1", running, nil)
			tc.addJob("b", "plain", 1, stepWithTasks(3))
			tc.step()
			assert.Equal(t, len(tc.starts), 3)
			tc.listWorker("w1", func(i *backend.WorkerInfo) {
				i.Capacity.CPUMilli = 5000
				if c.change != nil {
					c.change(i)
				}
			})
			needed := 0
			for _, a := range tc.starts {
				if tc.core.StartNeeded(a, tc.now) {
					needed++
				} else {
					tc.core.StartWithdrawn(a, tc.now)
				}
			}
			assert.Equal(t, needed, c.needed)
		})
	}
}

// A start that waits to be sent must be withdrawn when its worker has left the registry or awaits maintenance.
func TestQueuedStartIsWithdrawnWhenItsWorkerLeaves(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	assert.Assert(t, tc.core.StartNeeded(tc.starts[0], tc.now))
	tc.core.RemoveWorker("w1", tc.now)
	assert.Assert(t, !tc.core.StartNeeded(tc.starts[0], tc.now))

	tc = newStartedTestCluster(t, stepWithTasks(1))
	tc.core.SetWave(backend.MaintenanceWave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, MaxUnavailable: 1}, tc.now)
	tc.listMachines([]string{"w1"}, nil)
	assert.Assert(t, tc.core.StartNeeded(tc.starts[0], tc.now))
	tc.advance(200 * time.Millisecond)
	assert.Assert(t, !tc.core.StartNeeded(tc.starts[0], tc.now))
}

// A gang of which one queued start was withdrawn must not start partially.
func TestGangIsWithdrawnWhenAWorkerShrinks(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(6, asGang))
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 6)
	tc.setCapacity("w2", 1000, 8000)
	for _, a := range tc.starts {
		if tc.core.StartNeeded(a, tc.now) {
			tc.core.StartResult(a, backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
		} else {
			tc.core.StartWithdrawn(a, tc.now)
		}
	}
	tc.starts = nil
	tc.step()
	for _, a := range tc.stops {
		tc.core.StopResult(a, backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
	}
	tc.now++
	tc.answerPoll("w1", nil, nil)
	tc.answerPoll("w2", nil, nil)
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.setCapacity("w2", 2000, 8000)
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 6)
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Run > 1)
	}
}

// The plan of a gang, made for a capacity that has shrunk, must not start it there, and another plan must replace it.
func TestGangPlanFollowsTheCapacity(t *testing.T) {
	tc := newTestCluster(t, 1)
	for _, id := range []string{"w1", "w2", "w3"} {
		tc.addWorker(id)
	}
	tc.addJob("a", "plain", 1, stepWithTasks(12, withEstimate(1000)))
	tc.step()
	running := tc.confirmStarts()
	assert.Equal(t, len(running), 3)
	tc.addJob("g", "plain", 1, stepWithTasks(8, asGang))
	tc.advance(300 * time.Millisecond)
	tc.listWorker("w1", func(i *backend.WorkerInfo) { i.Capacity.CPUMilli = 2000 })
	tc.listWorker("w2", func(i *backend.WorkerInfo) { i.Capacity.CPUMilli = 2000 })
	for id, list := range running {
		var completions []backend.FinishedRun
		for _, r := range list {
			completions = append(completions, tc.completion(id, r.Task, r.Run, backend.ResultDone))
		}
		tc.answerPoll(id, nil, completions)
	}
	tc.step()
	tc.advance(200 * time.Millisecond)
	perWorker := map[string]int{}
	for _, a := range tc.starts {
		perWorker[a.Command.Worker.ID]++
	}
	assert.DeepEqual(t, perWorker, map[string]int{"w1": 2, "w2": 2, "w3": 4})
}

// A gang that the workers can no longer hold, since they have shrunk or the policy does not allow enough of them, must not keep
// gangs behind it from starting, and must start when the capacity is back.
func TestGangThatNoLongerFitsDoesNotBlockOthers(t *testing.T) {
	tc := newTestCluster(t, 1)
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprintf("w%d", i))
		tc.addWorker(ids[i])
	}
	for _, id := range ids[:5] {
		tc.setCapacity(id, 2000, 8000)
	}
	tc.addJob("a", "plain", 1, stepWithTasks(8, asGang, func(s *job.Step) { s.TaskDemand.CPUMilli = 4000 }))
	tc.addJob("b", "plain", 1, stepWithTasks(4, asGang))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 4)
	for id, running := range tc.confirmStarts() {
		var completions []backend.FinishedRun
		for _, r := range running {
			assert.Equal(t, r.Task[:2], "b.")
			completions = append(completions, tc.completion(id, r.Task, r.Run, backend.ResultDone))
		}
		tc.answerPoll(id, nil, completions)
	}
	assert.Equal(t, tc.state("a"), job.Queued)
	for _, id := range ids[:5] {
		tc.setCapacity(id, 4000, 8000)
	}
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 8)
}

// A gang that can never start, since the policy rejects too many workers, must not keep gangs behind it from starting.
func TestGangWithoutEnoughApprovedWorkersDoesNotBlockOthers(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	for i := range 10 {
		tc.addWorker(fmt.Sprintf("w%d", i))
	}
	wholeWorker := func(s *job.Step) { s.TaskDemand.CPUMilli = 4000 }
	tc.addJob("a", "short", 1, stepWithTasks(8, asGang, wholeWorker))
	tc.addJob("b", "plain", 1, stepWithTasks(4, asGang))
	for range 100 {
		tc.step()
		for _, a := range tc.adviceRequests {
			var tickets []backend.Ticket
			for _, id := range a.Workers {
				if id < "w5" {
					tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
				}
			}
			tc.core.AdviceResult(a, tickets, 2500*time.Millisecond, nil, tc.now)
		}
		tc.adviceRequests = nil
	}
	assert.Equal(t, len(tc.starts), 4)
}

// A new leader that adopts runs above the capacity of a worker must not start more there, and must not stop the runs.
func TestAdoptedRunsAboveTheCapacity(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.setCapacity("w1", 1000, 8000)
	tc.addJob("a", "plain", 1, stepWithTasks(4, withEstimate(60_000)))
	running := []backend.ActiveRun{}
	for i := range 3 {
		running = append(running, backend.ActiveRun{Task: fmt.Sprintf("a.0.0.%d", i), Run: 1})
	}
	tc.answerPoll("w1", running, nil)
	tc.storeBatches()
	tc.advance(500 * time.Millisecond)
	tc.answerPoll("w1", running, nil)
	tc.advance(500 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.stops), 0)
	tc.answerPoll("w1", nil, []backend.FinishedRun{
		tc.completion("w1", "a.0.0.0", 1, backend.ResultDone), tc.completion("w1", "a.0.0.1", 1, backend.ResultDone),
		tc.completion("w1", "a.0.0.2", 1, backend.ResultDone),
	})
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Urgent tasks must get the capacity of a worker above its capacity only when enough runs there have ended, and no run may be
// stopped there in vain.
func TestPreemptionOnAShrunkenWorker(t *testing.T) {
	cases := map[string]struct {
		cpuMilli int64
		stops    int
	}{
		"fits after three stops": {2000, 3},
		"fits after all stops":   {1000, 4},
		"never fits":             {500, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.core.SetAdvisers([]string{"i1"})
			tc.addWorker("w1")
			tc.addJob("long", "plain", 1, stepWithTasks(4, asCheckpoint, withEstimate(60_000)))
			tc.step()
			running := tc.confirmStarts()["w1"]
			tc.answerPoll("w1", running, nil)
			tc.setCapacity("w1", c.cpuMilli, 8000)
			tc.addJob("urgent", "short", 1, stepWithTasks(1, withEstimate(60_000)))
			tc.advance(300 * time.Millisecond)
			assert.Equal(t, len(tc.stops), c.stops)
			for i, r := range running {
				tc.answerPoll("w1", running[i+1:], []backend.FinishedRun{tc.completion("w1", r.Task, r.Run, backend.ResultStopped)})
				tc.advance(20 * time.Millisecond)
				tc.approveAll(2500 * time.Millisecond)
				tc.advance(20 * time.Millisecond)
				stopped := int64(i + 1)
				if fits := (4-stopped)*1000+1000 <= c.cpuMilli; !fits {
					assert.Equal(t, len(tc.starts), 0)
				}
			}
		})
	}
}

// A task must not be stopped for urgent work that fits no better without it.
func TestPreemptionStopsNothingInVain(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1"})
	tc.addWorker("w1")
	demand := func(cpuMilli int64) func(*job.Step) { return func(s *job.Step) { s.TaskDemand.CPUMilli = cpuMilli } }
	tc.addJob("a", "plain", 1, stepWithTasks(2, asCheckpoint, withEstimate(60_000), demand(500)))
	tc.step()
	tc.advance(20 * time.Millisecond)
	tc.addJob("b", "plain", 1, stepWithTasks(1, asCheckpoint, withEstimate(60_000), demand(3000)))
	tc.step()
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	tc.setCapacity("w1", 3500, 8000)
	tc.addJob("urgent", "short", 1, stepWithTasks(2, withEstimate(60_000), demand(2500)))
	tc.advance(300 * time.Millisecond)
	var stopped []string
	for _, a := range tc.stops {
		stopped = append(stopped, a.Command.Task)
	}
	assert.DeepEqual(t, stopped, []string{"b.0.0.0"})
}

// A task that workers refused for lack of capacity must start there once they have it again, also if the worker that has not
// refused it cannot take it.
func TestRefusalForCapacityIsForgotten(t *testing.T) {
	for name, change := range map[string]func(*job.Step){"task": func(*job.Step) {}, "gang": asGang} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.addWorker("w1")
			tc.addWorker("w2")
			tc.addWorker("w3")
			tc.setCapacity("w3", 0, 0)
			tc.addJob("a", "plain", 1, stepWithTasks(1, change))
			refusedBy := map[string]bool{}
			for range 2 {
				tc.advance(300 * time.Millisecond)
				assert.Equal(t, len(tc.starts), 1)
				refusedBy[tc.starts[0].Command.Worker.ID] = true
				tc.core.StartResult(tc.starts[0], backend.Reply{Refusal: backend.RefusedCapacity, ClockMS: tc.clockMS()}, nil, tc.now)
				tc.starts = nil
			}
			assert.Equal(t, len(refusedBy), 2)
			tc.advance(startBlockDuration)
			assert.Equal(t, len(tc.starts), 1)
		})
	}
}

// Guards against starts on a worker that has restarted with less capacity, or with other labels, by the registry entry of its former
// boot.
func TestNewBootGetsNoStartsBeforeItsEntry(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: tc.clockMS()}, StartedMS: 2000}, nil, tc.now+1)
	tc.addJob("a", "plain", 1, stepWithTasks(3))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.listWorker("w1", func(w *backend.WorkerInfo) {
		w.StartedMS, w.Capacity = 2000, model.Resources{CPUMilli: 1000, MemoryMiB: 8000}
	})
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: tc.clockMS()}, StartedMS: 2000}, nil, tc.now+1)
	tc.storeBatches()
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against a start that waits for its turn while its worker restarts, and is sent by the entry of the former boot.
func TestQueuedStartIsWithdrawnAfterARestart(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	assert.Assert(t, tc.core.StartNeeded(tc.starts[0], tc.now))
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: tc.clockMS()}, StartedMS: 2000}, nil, tc.now+1)
	assert.Assert(t, !tc.core.StartNeeded(tc.starts[0], tc.now))
}
