package rack

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// filter reports whether a worker can take a task now.
func (c *Core) filter(w *workerState, demand model.Resources) bool {
	return w.acceptsWork() && demand.Fits(w.free())
}

// score rates a worker for a task; the highest score wins. It prefers the worker that is left with the least free
// capacity in its dominant dimension, so that others stay usable for large tasks.
func (c *Core) score(w *workerState, demand model.Resources) float64 {
	return -w.free().Sub(demand).DominantShare(w.member.Capacity)
}

// place returns the worker for a task, or nil if it fits nowhere now. Callers hold c.mu.
func (c *Core) place(task model.Task) *workerState {
	demand := Demand(task)
	var best *workerState
	bestScore := 0.0
	for _, w := range c.workers {
		if !c.filter(w, demand) {
			continue
		}
		s := c.score(w, demand)
		if best == nil || s > bestScore || (s == bestScore && w.member.ID < best.member.ID) {
			best, bestScore = w, s
		}
	}
	return best
}

// reserve takes the capacity for an offer. Callers hold c.mu.
func (c *Core) reserve(now time.Time, w *workerState, o *queuedOffer) {
	t := &taskState{task: o.Task, worker: w.member.ID, phase: phaseClaiming, since: now}
	c.tasks[o.Task.ID] = t
	w.tasks[o.Task.ID] = t
	w.used = w.used.Add(Demand(o.Task))
}

// release returns the capacity of a task that provably does not run. Callers hold c.mu.
func (c *Core) release(t *taskState) {
	delete(c.tasks, t.task.ID)
	if w := c.workers[t.worker]; w != nil && w.tasks[t.task.ID] == t {
		delete(w.tasks, t.task.ID)
		w.used = w.used.Sub(Demand(t.task))
	}
}

// Demand returns the capacity that a task takes; it takes at least one slot.
func Demand(task model.Task) model.Resources {
	d := task.Each
	d.Slots = max(d.Slots, 1)
	return d
}

// Proposal is the dry run of placing tasks.
type Proposal struct {
	Placements []model.Placement
	Displaces  []model.Displacement
	// FitsEmpty is true when some worker of the rack could hold one of the tasks if it were empty.
	FitsEmpty bool
}

// Propose returns where tasks would go now, without changing anything. Tasks that fit nowhere are left out.
func (c *Core) Propose(tasks []model.Task) Proposal {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p Proposal
	var trial []*taskState
	for _, task := range tasks {
		w := c.place(task)
		if w == nil {
			continue
		}
		t := &taskState{task: task, worker: w.member.ID}
		trial = append(trial, t)
		w.used = w.used.Add(Demand(task))
		p.Placements = append(p.Placements, model.Placement{
			Task: task.ID, Rack: c.id, Worker: w.member.ID, Zone: w.member.Zone, Reason: "fits now",
		})
	}
	for _, t := range trial {
		w := c.workers[t.worker]
		w.used = w.used.Sub(Demand(t.task))
	}
	if len(tasks) > 0 {
		p.FitsEmpty = c.fitsEmpty(Demand(tasks[0]))
	}
	return p
}

func (c *Core) fitsEmpty(demand model.Resources) bool {
	for _, w := range c.workers {
		if demand.Fits(w.member.Capacity) {
			return true
		}
	}
	return false
}

// Summary is a short form of a rack's state for routing offers.
type Summary struct {
	Rack  string
	Epoch uint64
	// Free is the sum over usable workers; Largest is the free capacity of the worker with the most free processor time.
	Free, Largest model.Resources
	// Queued counts queued offers by class.
	Queued [model.NumClasses]int
}

// Summary returns the current summary.
func (c *Core) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Rack: c.id, Epoch: c.epoch}
	for _, w := range c.workers {
		if !w.acceptsWork() {
			continue
		}
		free := w.free()
		s.Free = s.Free.Add(free)
		if free.CPUMilli > s.Largest.CPUMilli {
			s.Largest = free
		}
	}
	for i := range c.queues {
		s.Queued[i] = c.queues[i].len()
	}
	return s
}
