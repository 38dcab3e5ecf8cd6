package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

const (
	// preemptAfter is how long an urgent step waits for room before tasks of others are stopped for it: longer than its
	// placement advice takes.
	preemptAfter = 150 * time.Millisecond
	// preemptEvery is the time between preemptions for one step, in which the room is given back and used.
	preemptEvery = time.Second
	// preemptSteps bounds the steps for which room is sought in one sweep, which looks at all workers for each.
	preemptSteps = 8
	// preemptLeast is the remaining time of a task below which it is left to end.
	preemptLeast = 500 * time.Millisecond
	// maxPreemptions bounds how often one task is stopped for others, so that it ends some time.
	maxPreemptions = 2
	// keepTerm is how long the room is kept for the urgent queue: its placement advice and its start fit into it.
	keepTerm = 500 * time.Millisecond
)

// preempt stops tasks that save checkpoints for steps of more urgent queues that find no room and can still be on time.
func (c *Core) preempt() {
	examined := 0
	for _, s := range c.ordered() {
		if examined == preemptSteps {
			return
		}
		if s.spec.Gang || s.spec.Lasting || s.spec.BestEffort || c.now < s.became+preemptAfter || c.now < s.preemptAt {
			continue
		}
		if c.blocked(s) || c.now > s.job.objective {
			continue
		}
		examined++
		missing := len(s.waiting) - c.roomFor(s)
		if missing <= 0 {
			continue
		}
		s.preemptAt = c.now + preemptEvery
		share := 1.0
		if s.job.queue.Advice != nil {
			share = c.shareOfGood(s)
		}
		c.makeRoom(s, int(math.Ceil(float64(missing)/share)))
	}
}

// roomFor returns how many tasks of a step the free capacity of the allowed workers holds.
func (c *Core) roomFor(s *step) int {
	room := 0
	for _, w := range c.workers {
		if c.usable(w, s, nil) {
			room += w.roomFor(s.spec.Each)
		}
	}
	return room
}

// roomFor returns how many tasks fit into the free capacity of a worker.
func (w *worker) roomFor(each model.Resources) int {
	n := w.freeCPU() / max(each.CPUMilli, 1)
	if each.MemoryMiB > 0 {
		n = min(n, (w.info.Capacity.MemoryMiB-w.used.MemoryMiB)/each.MemoryMiB)
	}
	if each.Accelerators > 0 {
		n = min(n, (w.info.Capacity.Accelerators-w.used.Accelerators)/each.Accelerators)
	}
	return int(max(n, 0))
}

// makeRoom stops tasks of less urgent queues until a number of tasks of a step fit, a few on each worker.
func (c *Core) makeRoom(s *step, missing int) {
	workers := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		if c.usable(w, s, nil) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.freeCPU(), a.freeCPU()), cmp.Compare(a.info.ID, b.info.ID))
	})
	for _, w := range workers {
		if missing <= 0 {
			return
		}
		missing -= c.makeRoomOn(w, s, min(missing, tasksPerWorker, len(s.waiting)))
	}
}

// makeRoomOn stops tasks on a worker so that up to wanted tasks of a step fit, and returns how many will.
func (c *Core) makeRoomOn(w *worker, s *step, wanted int) int {
	var victims []*run
	free := w.used
	fitting := 0
	for _, r := range c.preemptible(w, s) {
		each := r.task.step.spec.Each
		free.CPUMilli -= each.CPUMilli
		free.MemoryMiB -= each.MemoryMiB
		free.Accelerators -= each.Accelerators
		victims = append(victims, r)
		after := &worker{info: w.info, used: free}
		if fitting = after.roomFor(s.spec.Each); fitting >= wanted {
			break
		}
	}
	if fitting == 0 {
		return 0
	}
	w.keptFor, w.keptUntil = s.job.queue.Priority, c.now+keepTerm
	for _, r := range victims {
		r.task.preempted++
		c.stopRun(r, "makes room for "+string(s.job.id))
	}
	return min(fitting, wanted)
}

// preemptible returns the runs on a worker that may be stopped for a step, the least urgent and youngest first.
func (c *Core) preemptible(w *worker, s *step) []*run {
	var runs []*run
	for _, r := range w.runs {
		spec := r.task.step.spec
		if r.phase != phaseRunning || !spec.Checkpoints || spec.Gang || spec.Lasting || r.task.preempted >= maxPreemptions {
			continue
		}
		if r.task.step.job.queue.Priority > s.job.queue.Priority && c.remaining(r) > preemptLeast {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.task.step.job.queue.Priority, a.task.step.job.queue.Priority),
			cmp.Compare(b.created, a.created), cmp.Compare(a.task.name, b.task.name),
		)
	})
	return runs
}

// keeps reports whether the room of a worker is kept for a queue that is more urgent than a step's.
func (w *worker) keeps(s *step, now Instant) bool {
	return now < w.keptUntil && s.job.queue.Priority > w.keptFor
}
