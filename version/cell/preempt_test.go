package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

func checkpoints(s *job.Step) { s.Checkpoints = true; s.EstimateMS = 20_000 }

// fill lets a job of the long queue take all room of a worker and run until a percentage is done.
func (w *world) fill(id string, percent int, change func(*job.Step)) {
	w.add(id, "long", 1, tasks(4, change))
	w.advise()
	w.step()
	assert.Equal(w.t, len(w.starts), 4)
	running := w.confirm()["w1"]
	for i := range running {
		running[i].Percent, running[i].Saved = percent, "c1"
	}
	w.read("w1", running, nil)
}

// advise permits every worker that is asked about.
func (w *world) advise() {
	for range 3 {
		w.step()
		for _, a := range w.advices {
			var good []backend.Ticket
			for _, id := range a.Workers {
				good = append(good, backend.Ticket{Worker: id, Ticket: "t"})
			}
			w.core.AdviceResult(a, good, time.Minute, nil, w.now)
		}
		w.advices = nil
	}
}

// Guards against urgent work that waits behind long work although that can go on from a checkpoint later.
func TestUrgentWorkMakesRoom(t *testing.T) {
	w := newWorld(t, 1)
	w.core.SetAdvisers([]string{"i1", "i2"})
	w.worker("w1")
	w.fill("audit", 10, checkpoints)
	w.add("hold", "short", 1, tasks(1))
	w.run(preemptAfter + 2*sweepEvery)
	assert.Equal(t, len(w.stops), 1)
	stopped := w.stops[0].Order
	w.core.StopResult(w.stops[0], backend.Reply{}, nil, w.now)
	ended := w.end("w1", stopped.Task, stopped.Run, backend.EndStopped)
	ended.Saved = "c2"
	w.read("w1", nil, []backend.EndedTask{ended})
	w.step()
	assert.Equal(t, len(w.starts), 0, "the audit may not take the room back")
	w.advise()
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "hold.0.0.0")
}

// Guards against more work that is stopped than the urgent tasks take, where every worker may run them.
func TestPreemptionStopsNoMoreThanNeeded(t *testing.T) {
	w := newWorld(t, 1)
	w.core.SetAdvisers([]string{"i1", "i2"})
	w.worker("w1")
	w.fill("audit", 10, checkpoints)
	w.worker("w2")
	w.add("audit2", "long", 1, tasks(4, checkpoints))
	w.advise()
	w.step()
	w.confirm()
	w.add("hold", "plain", 1, tasks(2))
	w.run(preemptAfter + 2*sweepEvery)
	assert.Equal(t, len(w.stops), 2)
}

// Guards against work that is stopped for others and would lose what it has done, that is not less urgent, or that was
// stopped often enough.
func TestWorkThatIsNotPreempted(t *testing.T) {
	cases := map[string]struct {
		percent int
		change  func(*job.Step)
		queue   string
	}{
		"without checkpoints": {10, func(s *job.Step) { s.EstimateMS = 20_000 }, "short"},
		"lasting":             {10, func(s *job.Step) { checkpoints(s); s.Lasting = true }, "short"},
		"almost done":         {95, checkpoints, "short"},
		"as urgent":           {10, checkpoints, "long"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.core.SetAdvisers([]string{"i1", "i2"})
			w.worker("w1")
			w.fill("audit", c.percent, c.change)
			w.add("other", c.queue, 1, tasks(1))
			w.run(preemptAfter + 2*sweepEvery)
			assert.Equal(t, len(w.stops), 0)
		})
	}
}

// Guards against a task that is stopped for others again and again and never ends.
func TestPreemptionsAreBounded(t *testing.T) {
	w := newWorld(t, 1)
	w.core.SetAdvisers([]string{"i1", "i2"})
	w.worker("w1")
	w.fill("audit", 10, checkpoints)
	for _, t := range w.core.jobs["audit"].occurrences[0].steps[0].tasks {
		t.preempted = maxPreemptions
	}
	w.add("hold", "short", 1, tasks(1))
	w.run(preemptAfter + 2*sweepEvery)
	assert.Equal(t, len(w.stops), 0)
}
