package rack

import (
	"container/heap"
	"math"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// observeLag is the run time after which a worker's reports show a task's own usage.
const observeLag = 5 * time.Second

// demandOf returns the capacity that a task takes: the larger of the declared demand and the usage observed of its job.
// The observed part is bounded by the largest worker, so that a wrong observation cannot make a job unplaceable.
// Callers hold c.mu.
func (c *Core) demandOf(task model.Task) model.Resources {
	declared := Demand(task)
	j := c.jobs.get(task.Intent)
	if j == nil {
		return declared
	}
	return declared.Max(j.usage.Min(c.largestWorker))
}

// occupy enters a task into the ledger of a worker. Callers hold c.mu.
func (c *Core) occupy(w *workerState, t *taskState) {
	w.tasks[t.task.ID] = t
	w.used = w.used.Add(t.demand)
	if w.counted {
		c.charge(t, 1)
	}
	c.reindex(w)
}

// vacate removes a task from the ledger of a worker. Callers hold c.mu.
func (c *Core) vacate(w *workerState, t *taskState) {
	delete(w.tasks, t.task.ID)
	w.used = w.used.Sub(t.demand)
	if w.counted {
		c.charge(t, -1)
	}
	c.reindex(w)
	c.capacityFreed()
}

// charge adds a task to the usage of its team and class, or takes it back. Callers hold c.mu.
func (c *Core) charge(t *taskState, sign int) {
	if sign > 0 {
		q := c.queues[t.class]
		t.team = q.team(teamKey{t.task.Account, t.task.Team}, &c.policy)
		t.team.running++
		t.team.charge(t.demand, 1, c.total)
		return
	}
	t.team.running--
	t.team.charge(t.demand, -1, c.total)
	t.team.queue.forget(t.team)
	t.team = nil
}

// recharge changes the class or the demand of a task in the ledger. Callers hold c.mu.
func (c *Core) recharge(w *workerState, t *taskState, class model.Class, demand model.Resources) {
	if t.class == class && t.demand == demand {
		return
	}
	if w.counted {
		c.charge(t, -1)
	}
	w.used = w.used.Sub(t.demand).Add(demand)
	t.class, t.demand = class, demand
	if w.counted {
		c.charge(t, 1)
	}
	c.reindex(w)
	c.capacityFreed()
}

// reindex brings the totals and the index up to date after a change of a worker. Callers hold c.mu.
func (c *Core) reindex(w *workerState) {
	if counted := w.acceptsWork() && !w.quarantined; counted != w.counted {
		c.count(w, counted)
	}
	free := w.free()
	placeable := (w.counted || w.probing) && w.reservation == nil && free.Slots > 0
	if w.index != nil {
		if placeable && w.row == indexLevel(free.CPUMilli) && w.cell == indexLevel(free.MemoryMiB) {
			return
		}
		w.index.remove(w)
	}
	if placeable {
		c.pool(w.member.Capacity.AcceleratorType).insert(w)
	}
}

// count adds a worker and its tasks to the totals of the rack, or takes them out. Callers hold c.mu.
func (c *Core) count(w *workerState, counted bool) {
	w.counted = counted
	if counted {
		c.total = c.total.Add(w.member.Capacity)
		c.largestWorker = c.largestWorker.Max(w.member.Capacity)
		c.capacityFreed()
	} else {
		c.total = c.total.Sub(w.member.Capacity)
	}
	for _, t := range w.tasks {
		if counted {
			c.charge(t, 1)
		} else {
			c.charge(t, -1)
		}
	}
}

// pool returns the index of the workers with an accelerator type. Callers hold c.mu.
func (c *Core) pool(acceleratorType string) *freeIndex {
	for _, p := range c.pools {
		if p.acceleratorType == acceleratorType {
			return &p.freeIndex
		}
	}
	p := &workerPool{acceleratorType: acceleratorType}
	c.pools = append(c.pools, p)
	return &p.freeIndex
}

// workerPool is the index of the workers with one accelerator type.
type workerPool struct {
	acceleratorType string
	freeIndex
}

// capacityFreed makes the next decisions look at blocked groups again. Callers hold c.mu.
func (c *Core) capacityFreed() {
	for _, q := range c.queues {
		q.recheck = q.parked.Len()
	}
}

// shortDemand returns the demand of running and queued short and urgent work. Callers hold c.mu.
func (c *Core) shortDemand() model.Resources {
	return c.queues[model.ClassUrgent].used.Add(c.queues[model.ClassShort].used).Add(c.shortQueued)
}

// updateShare lets the capacity kept for short work follow the demand of short work, which is its arrival rate times
// its observed time in the rack: at once upwards, by the decay time constant downwards. Callers hold c.mu.
func (c *Core) updateShare(now time.Time) {
	p := c.policy.Short
	demand := c.shortDemand()
	elapsed := now.Sub(c.shareAt)
	c.shareAt = now
	keep := math.Exp(-float64(max(elapsed, 0)) / float64(p.Decay))
	follow := func(kept float64, demand, total int64) float64 {
		target := math.Min(float64(demand)*p.Headroom, float64(total)*p.MaxShare)
		target = math.Max(target, float64(total)*p.MinShare)
		return math.Max(target, target+(kept-target)*keep)
	}
	c.kept.cpu = follow(c.kept.cpu, demand.CPUMilli, c.total.CPUMilli)
	c.kept.memory = follow(c.kept.memory, demand.MemoryMiB, c.total.MemoryMiB)
	c.kept.slots = follow(c.kept.slots, demand.Slots, c.total.Slots)
}

// keptCapacity is the capacity kept for short work, in the units of model.Resources.
type keptCapacity struct{ cpu, memory, slots float64 }

// limited returns the reason why a class may not take more capacity now, or ReasonNone. A class or group of classes
// that runs nothing may always start one task, so that a limit below one task's size cannot block it for ever.
// Callers hold c.mu.
func (c *Core) limited(class model.Class, demand model.Resources) ReasonCode {
	used := c.queues[class].used
	if most := c.policy.Classes[class].MaxShare; most < 1 && used.Slots > 0 &&
		used.Add(demand).DominantShare(c.total) > most {
		return ReasonClassLimit
	}
	if class <= model.ClassShort {
		return ReasonNone
	}
	rest := c.queues[model.ClassService].used.Add(c.queues[model.ClassBatch].used).Add(c.queues[model.ClassLong].used)
	if rest.Slots == 0 {
		return ReasonNone
	}
	after := rest.Add(demand)
	exceeds := func(after, total int64, kept float64) bool { return kept >= 1 && after > total-int64(kept) }
	if exceeds(after.CPUMilli, c.total.CPUMilli, c.kept.cpu) || exceeds(after.MemoryMiB, c.total.MemoryMiB, c.kept.memory) ||
		exceeds(after.Slots, c.total.Slots, c.kept.slots) {
		return ReasonShortReserve
	}
	return ReasonNone
}

// observe takes a worker's report of a running task. Callers hold c.mu.
func (c *Core) observe(now time.Time, w *workerState, t *taskState, used model.Resources, ran time.Duration) {
	j := c.jobs.touch(t.task.Intent)
	j.raise(used)
	demand := Demand(t.task).Max(used)
	if ran < observeLag {
		demand = t.demand.Max(used)
	}
	if started := now.Add(-ran); t.phase == phaseRunning && started.Before(t.since) {
		t.since = started
	}
	c.recharge(w, t, t.class, demand)
	c.schedulePromotion(t)
}

// schedulePromotion enters the time from which a task counts in a longer class. Callers hold c.mu.
func (c *Core) schedulePromotion(t *taskState) {
	c.dropPromotion(t)
	switch {
	case t.class < model.ClassService:
		t.promoteAt = t.since.Add(c.policy.Short.ShortUntil)
	case t.class == model.ClassBatch:
		t.promoteAt = t.since.Add(c.policy.Short.LongAfter)
	default:
		return
	}
	heap.Push(&c.promotions, t)
}

// dropPromotion removes a task from the heap of promotions. Callers hold c.mu.
func (c *Core) dropPromotion(t *taskState) {
	if t.promoteIndex >= 0 {
		heap.Remove(&c.promotions, t.promoteIndex)
	}
}

// promote moves tasks to longer classes by the time that they have run. Callers hold c.mu.
func (c *Core) promote(now time.Time) {
	for len(c.promotions) > 0 && !c.promotions[0].promoteAt.After(now) {
		t := heap.Pop(&c.promotions).(*taskState)
		class := c.policy.lengthen(t.class, now.Sub(t.since))
		if w := c.workers[t.worker]; w != nil && w.tasks[t.task.ID] == t {
			c.jobs.touch(t.task.Intent).ranAtLeast(now.Sub(t.since))
			c.recharge(w, t, class, t.demand)
			c.schedulePromotion(t)
		}
	}
}

// promotionHeap orders running tasks by the time from which they count in a longer class.
type promotionHeap []*taskState

func (h promotionHeap) Len() int           { return len(h) }
func (h promotionHeap) Less(i, j int) bool { return h[i].promoteAt.Before(h[j].promoteAt) }
func (h promotionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].promoteIndex, h[j].promoteIndex = i, j
}
func (h *promotionHeap) Push(x any) {
	t := x.(*taskState)
	t.promoteIndex = len(*h)
	*h = append(*h, t)
}
func (h *promotionHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.promoteIndex = -1
	return t
}
