package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// machines lists one machine for each worker; those in down are not up.
func (w *world) machines(ids []string, down map[string]bool) {
	var list []backend.Machine
	for _, id := range ids {
		list = append(list, backend.Machine{ID: "m-" + id, Worker: id, Up: !down[id]})
	}
	w.core.SetMachines(list, w.now, w.now)
}

// maintained collects the orders of maintenance of some rounds.
func (w *world) maintained(d time.Duration) (machines []string, completed bool) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		for _, action := range w.core.Step(w.now, 0) {
			switch a := action.(type) {
			case *MaintainAction:
				machines = append(machines, a.Machine)
				w.core.MaintainResult(a, "", nil, w.now)
			case *WaveAction:
				completed = completed || a.Completed
			case *StopAction:
				w.noteStop(a)
			}
		}
	}
	return machines, completed
}

// noteStop collects a stop, but not its repetitions.
func (w *world) noteStop(a *StopAction) {
	for _, known := range w.stops {
		if known.Order.Task == a.Order.Task && known.Order.Run == a.Order.Run {
			return
		}
	}
	w.stops = append(w.stops, a)
}

// Guards against more machines down than the wave allows, and against a wave that is called completed too early.
func TestWaveKeepsItsMaximum(t *testing.T) {
	w := newWorld(t, 1)
	ids := []string{"w1", "w2", "w3"}
	for _, id := range ids {
		w.worker(id)
	}
	w.core.SetWave(backend.Wave{Number: 1, Machines: []string{"m-w1", "m-w2", "m-w3"}, Duration: time.Minute, Max: 1}, w.now)
	w.machines(ids, nil)
	down := map[string]bool{}
	var order []string
	for range 3 {
		begun, completed := w.maintained(3 * time.Second)
		assert.Equal(t, len(begun), 1, "%v", begun)
		assert.Equal(t, completed, len(order) == 2)
		order = append(order, begun[0])
		down[begun[0][2:]] = true
		w.machines(ids, down)
		again, _ := w.maintained(time.Second)
		assert.Equal(t, len(again), 0)
		down[begun[0][2:]] = false
		w.machines(ids, down)
	}
	assert.Equal(t, fmt.Sprint(order), "[m-w1 m-w2 m-w3]")
}

// Guards against tasks that last and are stopped for a maintenance while too many others of their step are away.
func TestWaveKeepsTheDisruptionBudget(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	lasting := tasks(3, func(s *job.Step) { s.Lasting, s.MaxUnavailable = true, 1 })
	w.add("a", "plain", 1, lasting)
	w.step()
	running := w.confirm()["w1"]
	assert.Equal(t, len(running), 3)
	for i := range running {
		running[i].Percent = 100
	}
	w.read("w1", running, nil)
	w.core.SetWave(backend.Wave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, Max: 1}, w.now)
	w.machines([]string{"w1"}, nil)
	begun, _ := w.maintained(time.Second)
	assert.Equal(t, len(begun), 0)
	assert.Equal(t, len(w.stops), 1)
	// The stopped task is at work elsewhere before the next one is stopped.
	w.worker("w2")
	stopped := w.stops[0].Order
	var left []backend.RunningTask
	for _, r := range running {
		if r.Task != stopped.Task {
			left = append(left, r)
		}
	}
	w.read("w1", left, []backend.EndedTask{w.end("w1", stopped.Task, stopped.Run, backend.EndStopped)})
	w.step()
	moved := w.confirm()["w2"]
	assert.Equal(t, len(moved), 1)
	_, _ = w.maintained(300 * time.Millisecond)
	assert.Equal(t, len(w.stops), 1)
	moved[0].Percent = 100
	w.read("w2", moved, nil)
	w.read("w1", left, nil)
	_, _ = w.maintained(300 * time.Millisecond)
	assert.Equal(t, len(w.stops), 2)
}

// Guards against orders with a refused token.
func TestFencedMaintenanceEndsTheEpoch(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.core.SetWave(backend.Wave{Number: 1, Machines: []string{"m-w1"}, Duration: time.Minute, Max: 1}, w.now)
	w.machines([]string{"w1"}, nil)
	w.now += time.Second
	for _, action := range w.core.Step(w.now, 0) {
		if a, ok := action.(*MaintainAction); ok {
			w.core.MaintainResult(a, backend.MachineFenced, nil, w.now)
		}
	}
	assert.Assert(t, w.core.Superseded())
}
