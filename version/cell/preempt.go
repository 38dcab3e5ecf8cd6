package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

const (
	// preemptionDelay is how long an urgent step waits for capacity before other tasks are preempted for it. It is
	// longer than its placement advice takes.
	preemptionDelay = 150 * time.Millisecond
	// preemptionInterval is the time between preemptions for one step, in which the capacity is released and used.
	preemptionInterval = time.Second
	// maxPreemptionSteps limits the steps considered for preemption in one sweep, since all workers are examined for
	// each.
	maxPreemptionSteps = 8
	// minPreemptRemaining is the remaining duration up to which a task is left to finish.
	minPreemptRemaining = 500 * time.Millisecond
	// maxPreemptPercent is the progress from which a task is left to finish.
	maxPreemptPercent = 90
	// maxPreemptions limits how often one task is preempted, so that it finishes eventually.
	maxPreemptions = 2
	// reservationDuration is how long the released capacity is reserved for the urgent queue. It covers the placement
	// advice and the start.
	reservationDuration = 500 * time.Millisecond
)

// preempt stops tasks with checkpoints for steps of more urgent queues that lack capacity and can still be on time.
func (c *Core) preempt() {
	examined := 0
	for _, s := range c.ready.ranked {
		if examined == maxPreemptionSteps {
			return
		}
		if s.spec.Gang || s.spec.LongRunning || s.spec.BestEffort || c.now < s.readyAt+preemptionDelay || c.now < s.nextPreemptionAt {
			continue
		}
		if c.awaitsRecovery(s) || s.queuePosition.rank.urgency == late || s.queuePosition.rank.excess || s.queuePosition.rank.overShare || c.isHeldByTeam(s) {
			continue
		}
		examined++
		missing := len(s.waiting) - c.taskCapacity(s, len(s.waiting))
		if missing <= 0 {
			continue
		}
		s.nextPreemptionAt = c.now + preemptionInterval
		approvalRate := 1.0
		if s.job.queue.Advice != nil {
			approvalRate = c.approvalRate(s)
		}
		c.preemptRuns(s, int(math.Ceil(float64(missing)/approvalRate)))
	}
}

// taskCapacity returns how many tasks of a step fit into the free capacity of the usable workers, or a number from wanted on.
func (c *Core) taskCapacity(s *step, wanted int) int {
	capacity := 0
	c.free.atLeast(s.spec.TaskDemand.CPUMilli, func(w *worker) bool {
		c.effort.Preemption++
		if c.usable(w, s, nil) {
			capacity += w.taskCapacity(s.spec.TaskDemand)
		}
		return capacity < wanted
	})
	return capacity
}

// taskCapacity returns how many tasks with the given demand fit into the free capacity of the worker.
func (w *worker) taskCapacity(demand model.Resources) int {
	if w.isOverCapacity() {
		return 0
	}
	return multiplesIn(w.info.Capacity.Sub(w.allocated), demand)
}

// preemptRuns stops tasks of less urgent queues until the missing number of tasks of a step fits, a few on each worker.
func (c *Core) preemptRuns(s *step, missing int) {
	workers := make([]*worker, 0, len(c.workers))
	c.effort.Preemption += uint64(len(c.workers))
	for _, w := range c.workers {
		if c.usable(w, s, nil) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.freeCPUMilli(), a.freeCPUMilli()), cmp.Compare(a.info.ID, b.info.ID))
	})
	for _, w := range workers {
		if missing <= 0 {
			return
		}
		missing -= c.preemptRunsOn(w, s, min(missing, expectedTasksPerWorker, len(s.waiting)))
	}
}

// preemptRunsOn stops tasks on a worker so that up to wanted tasks of a step fit, and returns how many will.
func (c *Core) preemptRunsOn(w *worker, s *step, wanted int) int {
	victims, fitting := c.victimsFor(w, s, wanted)
	if fitting == 0 {
		return 0
	}
	w.reservedForPriority, w.reservedUntil = s.job.queue.Priority, c.now+reservationDuration
	for _, r := range victims {
		r.task.preemptions++
		c.stopRun(r, "preempted for job "+string(s.job.id))
	}
	return min(fitting, wanted)
}

// victimsFor returns the runs to stop on a worker so that up to wanted tasks of a step fit, and how many will. Without the last
// of the runs fewer would fit.
func (c *Core) victimsFor(w *worker, s *step, wanted int) (victims []*run, fitting int) {
	candidates := c.preemptibleRuns(w, s)
	after := &worker{info: w.info, allocated: w.allocated}
	for i, r := range candidates {
		after.allocated = after.allocated.Sub(r.task.step.allocatedDemand())
		if n := after.taskCapacity(s.spec.TaskDemand); n > fitting {
			victims, fitting = candidates[:i+1], n
		}
		if fitting >= wanted {
			break
		}
	}
	return victims, fitting
}

// preemptibleRuns returns the runs on a worker that may be stopped for a step, the least urgent and most recently
// started first.
func (c *Core) preemptibleRuns(w *worker, s *step) []*run {
	var runs []*run
	for _, r := range w.runs {
		spec := r.task.step.spec
		if r.phase != phaseRunning || !spec.Checkpoints || spec.Gang || spec.LongRunning || r.task.preemptions >= maxPreemptions {
			continue
		}
		if r.progressPercent >= maxPreemptPercent {
			continue
		}
		if r.task.step.job.queue.Priority > s.job.queue.Priority && c.remainingDuration(r) > minPreemptRemaining {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.task.step.job.queue.Priority, a.task.step.job.queue.Priority),
			cmp.Compare(b.createdAt, a.createdAt), cmp.Compare(a.task.name, b.task.name),
		)
	})
	return runs
}

// isReservedAgainst reports whether the capacity of a worker is reserved for a queue that is more urgent than that of
// the step.
func (w *worker) isReservedAgainst(s *step, now Instant) bool {
	return now < w.reservedUntil && s.job.queue.Priority > w.reservedForPriority
}
