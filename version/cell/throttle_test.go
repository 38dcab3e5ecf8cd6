package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Best-effort tasks must not keep a serving task above its latency objective, and must not stay throttled forever.
func TestBestEffortYieldsToServingTasks(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("serve", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.TargetMS = true, 100 }))
	tc.addJob("fill", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.BestEffort = true }))
	tc.run(2 * tick)
	running := tc.confirmStarts()["w1"]
	assert.Equal(t, len(running), 2)
	share := 100
	poll := func(latency int64) {
		for i := range running {
			running[i].ProgressPercent++
			if running[i].Task == "serve.0.0.0" {
				running[i].Load, running[i].ProgressPercent = latency, 100
			}
		}
		tc.now += throttleInterval
		tc.answerPoll("w1", running, nil)
		for _, action := range tc.core.Step(tc.now, 0) {
			if a, ok := action.(*ThrottleAction); ok {
				assert.Equal(t, a.Command.Task, "fill.0.0.0")
				share = a.Percent
			}
		}
	}
	poll(50)
	assert.Equal(t, share, 100)
	poll(90)
	assert.Equal(t, share, 50)
	poll(120)
	assert.Equal(t, share, 0)
	for range 10 {
		poll(40)
	}
	assert.Equal(t, share, 100)
}

// Best-effort tasks must not count against the processor capacity, but must count against the memory.
func TestBestEffortUsesWhatIsLeft(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("fill", "plain", 1, stepWithTasks(3, func(s *job.Step) { s.BestEffort = true }))
	tc.step()
	assert.Equal(t, len(tc.starts), 3)
	tc.confirmStarts()
	tc.addJob("a", "plain", 1, stepWithTasks(4))
	tc.step()
	assert.Equal(t, len(tc.starts), 4)
	tc.confirmStarts()
	tc.addJob("more", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.BestEffort = true }))
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w1", []backend.ActiveRun{}, nil)
	tc.addJob("big", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.BestEffort, s.TaskDemand.MemoryMiB = true, 8000 }))
	tc.advance(bestEffortTimeout + 200*time.Millisecond)
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Task != "big.0.0.0" || tc.core.workers["w1"].allocated.MemoryMiB <= 8000)
	}
}

// Guards against a best-effort run that stays paused for ever, since the leader that has paused it is lost, and against one that a new
// leader speeds up beside a task above its objective.
func TestSuccessorThrottlesAdoptedRuns(t *testing.T) {
	cases := map[string]struct {
		latency int64
		want    []int
	}{
		"latency is low":  {40, []int{25, 50, 75, 100}},
		"latency is high": {90, []int{0}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 2)
			tc.addWorker("w1")
			tc.addJob("serve", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.TargetMS = true, 100 }))
			tc.addJob("fill", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.BestEffort = true }))
			running := []backend.ActiveRun{{Task: "serve.0.0.0", Run: 1, ProgressPercent: 100, Load: k.latency}, {Task: "fill.0.0.0", Run: 1}}
			var sent []int
			for range 8 {
				tc.now += throttleInterval
				tc.answerPoll("w1", running, nil)
				for _, action := range tc.core.Step(tc.now, 0) {
					if a, ok := action.(*ThrottleAction); ok {
						sent = append(sent, a.Percent)
					}
				}
			}
			assert.DeepEqual(t, sent, k.want)
		})
	}
}
