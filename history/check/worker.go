package check

import (
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// workerState is what is known of a worker.
type workerState struct {
	// info is its present boot. The service, labels and capacity are known if described is set.
	info      history.Worker
	described bool
	up        bool
	runs      []*run
	used      history.Resources
	// pending are ends as done or failed that were not acknowledged.
	pending []*completion
	// draining is when it was acknowledged that the worker drains.
	draining ref
	// former are the capacities before changes, each with the time until which starts may count on it.
	former []formerCapacity
}

// formerCapacity is the capacity of a worker before a change.
type formerCapacity struct {
	capacity history.Resources
	until    time.Duration
}

// changeCapacity sets the capacity of a worker that goes on.
func (w *workerState) changeCapacity(capacity history.Resources, at time.Duration) {
	w.former = slices.DeleteFunc(w.former, func(f formerCapacity) bool { return f.until < at })
	w.former = append(w.former, formerCapacity{w.info.Capacity, at + shrinkTime})
	w.info.Capacity = capacity
}

// allows reports whether a demand on top of what is used is within the capacity, or within a former one that still counts.
func (w *workerState) allows(demand history.Resources, at time.Duration) bool {
	return !exceeds(w.used, demand, w.info.Capacity) || slices.ContainsFunc(w.former, func(f formerCapacity) bool {
		return at <= f.until && !exceeds(w.used, demand, f.capacity)
	})
}

// demandOf returns what a task of a step counts against the capacity of its worker.
func demandOf(s *history.Step) history.Resources {
	if s == nil {
		return history.Resources{}
	}
	d := s.Demand
	if s.BestEffort {
		d.CPUMilli = 0
	}
	return d
}

func add(a, b history.Resources, sign int64) history.Resources {
	return history.Resources{CPUMilli: a.CPUMilli + sign*b.CPUMilli, MemoryMB: a.MemoryMB + sign*b.MemoryMB, GPU: a.GPU + sign*b.GPU}
}

// exceeds reports whether a demand on top of what is used is over the capacity in a dimension that the demand has.
func exceeds(used, demand, capacity history.Resources) bool {
	over := func(used, demand, capacity int64) bool { return demand > 0 && used+demand > capacity }
	return over(used.CPUMilli, demand.CPUMilli, capacity.CPUMilli) || over(used.MemoryMB, demand.MemoryMB, capacity.MemoryMB) ||
		over(used.GPU, demand.GPU, capacity.GPU)
}

// fits returns how many tasks of a demand fit a free capacity, at most limit.
func fits(demand, free history.Resources, limit int) int {
	n := int64(limit)
	for _, d := range [][2]int64{{demand.CPUMilli, free.CPUMilli}, {demand.MemoryMB, free.MemoryMB}, {demand.GPU, free.GPU}} {
		if d[0] > 0 {
			n = min(n, max(0, d[1]/d[0]))
		}
	}
	return int(n)
}

// hasLabel reports whether the worker has a label. No label is one that every worker has.
func (w *workerState) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// clear ends everything on the worker without a completion. It returns the runs that ended.
func (w *workerState) clear(at time.Duration) []*run {
	ended := w.runs
	w.runs = nil
	w.used = history.Resources{}
	for _, r := range ended {
		r.task.runs = remove(r.task.runs, r)
		r.task.ended = at
		r.task.job.ended(at)
	}
	w.lose()
	return ended
}

// lose marks the completions as lost that were not acknowledged and do not count as such.
func (w *workerState) lose() {
	for _, c := range w.pending {
		if c.noted.known() {
			continue
		}
		c.lost = true
		c.task.completed = remove(c.task.completed, c)
		c.task.failed = remove(c.task.failed, c)
	}
	w.pending = nil
}

// ended records the end of a run.
func (j *jobState) ended(at time.Duration) {
	if j.openRuns--; j.openRuns == 0 {
		j.idleSince = at
	}
}
