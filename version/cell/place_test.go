package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a step that starts before the steps it depends on are done.
func TestStepsWaitForTheirDependencies(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, tasks(2), tasks(1), tasks(1, after(0, 1)))
	w.run(50 * time.Millisecond)
	assert.Equal(t, len(w.starts), 3)
	w.confirm()
	w.read("w1", []backend.RunningTask{{Task: "a.0.0.1", Run: 1}}, []backend.EndedTask{
		w.end("w1", "a.0.0.0", 1, backend.EndDone), w.end("w1", "a.0.1.0", 1, backend.EndDone),
	})
	w.run(50 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.read("w1", nil, []backend.EndedTask{w.end("w1", "a.0.0.1", 1, backend.EndDone)})
	w.run(50 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "a.0.2.0")
}

// Guards against starts on workers that may not run a step: another service, a missing label, a leaving worker, one that
// holds enough tasks of the step, one without room.
func TestPlacesThatAreNotAllowed(t *testing.T) {
	cases := map[string]struct {
		worker func(*backend.WorkerInfo)
		step   func(*job.Step)
	}{
		"service":  {func(i *backend.WorkerInfo) { i.Service = "other" }, nil},
		"label":    {nil, func(s *job.Step) { s.RequiredLabel = "b" }},
		"draining": {func(i *backend.WorkerInfo) { i.Draining, i.RemainingMS = true, 5000 }, nil},
		"memory":   {nil, func(s *job.Step) { s.Each.MemoryMiB = 9000 }},
		"cpu":      {nil, func(s *job.Step) { s.Each.CPUMilli = 4001 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.list("w1", c.worker)
			w.read("w1", nil, nil)
			w.store()
			s := tasks(1)
			if c.step != nil {
				c.step(&s)
			}
			w.add("a", "plain", 1, s)
			w.run(200 * time.Millisecond)
			assert.Equal(t, len(w.starts), 0)
		})
	}
	w := newWorld(t, 1)
	w.worker("w1")
	w.worker("w2")
	w.add("a", "plain", 1, tasks(4, func(s *job.Step) { s.MaxPerWorker = 1 }))
	w.run(200 * time.Millisecond)
	assert.Equal(t, len(w.starts), 2)
	assert.Assert(t, w.starts[0].Order.Worker.ID != w.starts[1].Order.Worker.ID)
}

// Guards against capacity that is given away while a stopped run has not ended.
func TestStoppedRunsKeepTheirCapacity(t *testing.T) {
	w := newStartedWorld(t, tasks(4))
	running := w.confirm()["w1"]
	w.core.CancelJob("a", w.now)
	w.add("b", "plain", 1, tasks(1))
	w.run(100 * time.Millisecond)
	w.read("w1", running, nil)
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.read("w1", running[1:], []backend.EndedTask{w.end("w1", running[0].Task, 1, backend.EndStopped)})
	w.run(50 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
}

// Guards against the dawn peak waiting behind long work: of what waits for room, the queue with the higher priority goes
// first, then what can still be on time.
func TestDawnPeakGoesBeforeAudits(t *testing.T) {
	w := newWorld(t, 1)
	w.add("audit", "long", 1, tasks(4))
	w.add("late", "plain", 1, tasks(2))
	w.run(5 * time.Second)
	w.add("fresh", "plain", 1, tasks(2))
	w.add("booking", "short", 1, tasks(2))
	w.worker("w1")
	w.worker("w2")
	// The booking and the audit need advice, of which the booking's question goes first.
	w.core.SetAdvisers([]string{"i1"})
	w.starts = nil
	w.step()
	assert.Equal(t, w.starts[0].Order.Task, "fresh.0.0.0")
	assert.Equal(t, len(w.advices), 1)
	assert.Equal(t, w.advices[0].Step, "booking.0.0")
}

// Guards against gangs that start in part, and against members that go on when one is gone.
func TestGangStartsAndRestartsWhole(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	gang := tasks(6, func(s *job.Step) { s.Gang = true })
	w.add("a", "plain", 1, gang)
	w.run(200 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.worker("w2")
	w.run(50 * time.Millisecond)
	assert.Equal(t, len(w.starts), 6)
	running := w.confirm()
	lost := running["w1"][0]
	w.read("w2", running["w2"], nil)
	w.read("w1", running["w1"][1:], []backend.EndedTask{w.end("w1", lost.Task, 1, backend.EndFailed)})
	w.step()
	assert.Equal(t, len(w.stops), 5)
	for id, list := range running {
		var ends []backend.EndedTask
		for _, r := range list {
			if r.Task != lost.Task {
				ends = append(ends, w.end(id, r.Task, 1, backend.EndBroken))
			}
		}
		assert.Equal(t, len(w.starts), 0)
		w.read(id, nil, ends)
		w.step()
	}
	assert.Equal(t, len(w.starts), 6)
	for _, a := range w.starts {
		assert.Equal(t, a.Order.Run, int64(2))
	}
	// One end stands for all members.
	w.confirm()
	w.read("w1", nil, []backend.EndedTask{w.end("w1", "a.0.0.0", 2, backend.EndDone)})
	w.store()
	assert.Equal(t, w.state("a"), job.Completed)
}

// Guards against a gang that is spread although one rack has room for it.
func TestGangPrefersOneRack(t *testing.T) {
	w := newWorld(t, 1)
	for i, rack := range []string{"r1", "r2", "r2", "r3"} {
		id := fmt.Sprintf("w%d", i)
		w.list(id, func(info *backend.WorkerInfo) { info.Labels = []string{"k", rack} })
		w.read(id, nil, nil)
	}
	w.store()
	w.add("a", "plain", 1, tasks(6, func(s *job.Step) { s.Gang, s.SameRack = true, true }))
	w.step()
	assert.Equal(t, len(w.starts), 6)
	for _, a := range w.starts {
		assert.Assert(t, a.Order.Worker.ID == "w1" || a.Order.Worker.ID == "w2")
	}
}

// Guards against occurrences of recurring work that start early, twice or not at all.
func TestOccurrencesStartWhenDue(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	start := w.now.Milliseconds() + 1000
	w.core.AddJob("a", job.Record{
		Queue: job.Queue{Name: "plain", Service: "desk", MaxAttempts: 3}, Epoch: 1,
		Spec: job.Spec{Steps: []job.Step{tasks(1)}, Repeat: 2, StartAtMS: start, IntervalMS: 500},
	}, w.now)
	w.run(900 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.run(300 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "a.0.0.0")
	w.run(500 * time.Millisecond)
	assert.Equal(t, len(w.starts), 2)
	assert.Equal(t, w.starts[1].Order.Task, "a.1.0.0")
	w.confirm()
	w.read("w1", nil, []backend.EndedTask{
		w.end("w1", "a.0.0.0", 1, backend.EndDone), w.end("w1", "a.1.0.0", 1, backend.EndDone),
	})
	w.store()
	assert.Equal(t, w.state("a"), job.Completed)
}
