package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against best-effort tasks that keep a serving task over its latency objective, and that stay throttled for ever.
func TestBestEffortYieldsToServingTasks(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("serve", "plain", 1, tasks(1, func(s *job.Step) { s.Lasting, s.TargetMS = true, 100 }))
	w.add("fill", "plain", 1, tasks(1, func(s *job.Step) { s.BestEffort = true }))
	w.step()
	running := w.confirm()["w1"]
	assert.Equal(t, len(running), 2)
	share := 100
	poll := func(latency int64) {
		for i := range running {
			running[i].Percent++
			if running[i].Task == "serve.0.0.0" {
				running[i].Load, running[i].Percent = latency, 100
			}
		}
		w.now += throttleEvery
		w.read("w1", running, nil)
		for _, action := range w.core.Step(w.now, 0) {
			if a, ok := action.(*ThrottleAction); ok {
				assert.Equal(t, a.Order.Task, "fill.0.0.0")
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

// Guards against best-effort tasks that are counted against the processor capacity, or not against the memory.
func TestBestEffortUsesWhatIsLeft(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("fill", "plain", 1, tasks(3, func(s *job.Step) { s.BestEffort = true }))
	w.step()
	assert.Equal(t, len(w.starts), 3)
	w.confirm()
	w.add("a", "plain", 1, tasks(4))
	w.step()
	assert.Equal(t, len(w.starts), 4)
	w.confirm()
	w.add("more", "plain", 1, tasks(1, func(s *job.Step) { s.BestEffort = true }))
	w.step()
	assert.Equal(t, len(w.starts), 0)
	w.read("w1", []backend.RunningTask{}, nil)
	w.add("big", "plain", 1, tasks(1, func(s *job.Step) { s.BestEffort, s.Each.MemoryMiB = true, 8000 }))
	w.run(bestEffortTimeout + 200*time.Millisecond)
	for _, a := range w.starts {
		assert.Assert(t, a.Order.Task != "big.0.0.0" || w.core.workers["w1"].used.MemoryMiB <= 8000)
	}
}
