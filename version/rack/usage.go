package rack

import (
	"container/heap"
	"math"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// usageReportDelay is the run time from which a worker's reports reflect the usage of the task itself.
const usageReportDelay = 5 * time.Second

// effectiveDemand returns the larger of the declared demand of a task and the usage observed of its job. The observed
// usage is bounded by the largest worker capacity, so that a wrong observation cannot make a job unplaceable.
// Callers hold c.mu.
func (c *Core) effectiveDemand(task model.Task) model.Resources {
	declared := Demand(task)
	j := c.jobs.get(task.Intent)
	if j == nil {
		return declared
	}
	return declared.Max(j.usage.Min(c.largestCapacity))
}

// addToLedger adds a task to the ledger of a worker. Callers hold c.mu.
func (c *Core) addToLedger(w *workerState, t *taskState) {
	w.tasks[t.task.ID] = t
	w.used = w.used.Add(t.demand)
	if w.inTotals {
		c.charge(t, 1)
	}
	c.reindex(w)
}

// removeFromLedger removes a task from the ledger of a worker and makes blocked groups be examined again. Callers hold
// c.mu.
func (c *Core) removeFromLedger(w *workerState, t *taskState) {
	delete(w.tasks, t.task.ID)
	w.used = w.used.Sub(t.demand)
	if w.inTotals {
		c.charge(t, -1)
	}
	c.reindex(w)
	c.recheckAllBlocked()
}

// charge adds the demand of a task to the usage of its team and class, or subtracts it if sign is negative. Callers hold
// c.mu.
func (c *Core) charge(t *taskState, sign int) {
	if sign > 0 {
		q := c.queues[t.class]
		t.team = q.getOrCreateTeam(teamKey{t.task.Account, t.task.Team}, &c.policy)
		t.team.runningTasks++
		t.team.charge(t.demand, 1, c.totalCapacity)
		return
	}
	t.team.runningTasks--
	t.team.charge(t.demand, -1, c.totalCapacity)
	t.team.queue.removeIdleTeam(t.team)
	t.team = nil
}

// updateCharge changes the class or the demand of a task in the ledger. Callers hold c.mu.
func (c *Core) updateCharge(w *workerState, t *taskState, class model.Class, demand model.Resources) {
	if t.class == class && t.demand == demand {
		return
	}
	if w.inTotals {
		c.charge(t, -1)
	}
	w.used = w.used.Sub(t.demand).Add(demand)
	t.class, t.demand = class, demand
	if w.inTotals {
		c.charge(t, 1)
	}
	c.reindex(w)
	c.recheckAllBlocked()
}

// reindex updates the totals and the index of free capacity after a change of a worker. Callers hold c.mu.
func (c *Core) reindex(w *workerState) {
	if inTotals := w.acceptsWork() && !w.quarantined; inTotals != w.inTotals {
		c.setInTotals(w, inTotals)
	}
	free := w.free()
	placeable := (w.inTotals || w.probing) && w.reservation == nil && free.Slots > 0
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

// setInTotals adds a worker and its tasks to the totals of the rack, or removes them. Callers hold c.mu.
func (c *Core) setInTotals(w *workerState, inTotals bool) {
	w.inTotals = inTotals
	if inTotals {
		w.acceptedWork = true
		c.totalCapacity = c.totalCapacity.Add(w.member.Capacity)
		c.largestCapacity = c.largestCapacity.Max(w.member.Capacity)
		c.recheckAllBlocked()
	} else {
		c.totalCapacity = c.totalCapacity.Sub(w.member.Capacity)
	}
	for _, t := range w.tasks {
		if inTotals {
			c.charge(t, 1)
		} else {
			c.charge(t, -1)
		}
	}
}

// setCapacity changes the capacity of a worker. Callers hold c.mu, reindex the worker and update largestCapacity afterwards.
func (c *Core) setCapacity(w *workerState, capacity model.Resources) {
	if w.index != nil {
		// The index depends on the accelerator type.
		w.index.remove(w)
	}
	if w.inTotals {
		c.totalCapacity = c.totalCapacity.Sub(w.member.Capacity).Add(capacity)
	}
	w.member.Capacity = capacity
	c.recheckAllBlocked()
}

// updateLargestCapacity computes largestCapacity again after workers have changed. Callers hold c.mu.
func (c *Core) updateLargestCapacity() {
	c.largestCapacity = model.Resources{}
	for _, w := range c.workersByArrival {
		if w.acceptedWork && !w.leaving() {
			c.largestCapacity = c.largestCapacity.Max(w.member.Capacity)
		}
	}
}

// pool returns the index of the workers with an accelerator type, which it creates if necessary. Callers hold c.mu.
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

// recheckAllBlocked makes the next decisions examine all blocked groups again. Callers hold c.mu.
func (c *Core) recheckAllBlocked() {
	for _, q := range c.queues {
		q.recheck = q.blocked.Len()
	}
}

// shortDemand returns the demand of running and queued short and urgent work. Callers hold c.mu.
func (c *Core) shortDemand() model.Resources {
	return c.queues[model.ClassUrgent].used.Add(c.queues[model.ClassShort].used).Add(c.queuedShortDemand)
}

// updateShortReserve adjusts the capacity reserved for short work to the demand of short work, which is its arrival rate
// times its observed time in the rack. The reserve grows at once and shrinks with the time constant Decay. Callers hold
// c.mu.
func (c *Core) updateShortReserve(now time.Time) {
	p := c.policy.Short
	demand := c.shortDemand()
	elapsed := now.Sub(c.shortReserveUpdatedAt)
	c.shortReserveUpdatedAt = now
	decay := math.Exp(-float64(max(elapsed, 0)) / float64(p.Decay))
	track := func(reserved float64, demand, total int64) float64 {
		target := math.Min(float64(demand)*p.Headroom, float64(total)*p.MaxShare)
		target = math.Max(target, float64(total)*p.MinShare)
		return math.Max(target, target+(reserved-target)*decay)
	}
	c.shortReserve.cpu = track(c.shortReserve.cpu, demand.CPUMilli, c.totalCapacity.CPUMilli)
	c.shortReserve.memory = track(c.shortReserve.memory, demand.MemoryMiB, c.totalCapacity.MemoryMiB)
	c.shortReserve.slots = track(c.shortReserve.slots, demand.Slots, c.totalCapacity.Slots)
}

// reservedCapacity is the capacity reserved for short work, in the units of model.Resources.
type reservedCapacity struct{ cpu, memory, slots float64 }

// limitReason returns the reason why a class may not use more capacity now, or ReasonNone. A class or group of classes
// that runs nothing may always start one task, so that a limit below the size of one task cannot block it forever.
// Callers hold c.mu.
func (c *Core) limitReason(class model.Class, demand model.Resources) ReasonCode {
	used := c.queues[class].used
	if maxShare := c.policy.Classes[class].MaxShare; maxShare < 1 && used.Slots > 0 &&
		used.Add(demand).DominantShare(c.totalCapacity) > maxShare {
		return ReasonClassLimit
	}
	if class <= model.ClassShort {
		return ReasonNone
	}
	longerUsage := c.queues[model.ClassService].used.Add(c.queues[model.ClassBatch].used).Add(c.queues[model.ClassLong].used)
	if longerUsage.Slots == 0 {
		return ReasonNone
	}
	after := longerUsage.Add(demand)
	exceeds := func(after, total int64, reserved float64) bool { return reserved >= 1 && after > total-int64(reserved) }
	if exceeds(after.CPUMilli, c.totalCapacity.CPUMilli, c.shortReserve.cpu) || exceeds(after.MemoryMiB, c.totalCapacity.MemoryMiB, c.shortReserve.memory) ||
		exceeds(after.Slots, c.totalCapacity.Slots, c.shortReserve.slots) {
		return ReasonShortReserve
	}
	return ReasonNone
}

// recordUsage records a worker's report of a running task: its usage and the time that it has run. Callers hold c.mu.
func (c *Core) recordUsage(now time.Time, w *workerState, t *taskState, used model.Resources, ran time.Duration) {
	j := c.jobs.getOrCreate(t.task.Intent)
	j.raiseUsage(used)
	demand := Demand(t.task).Max(used)
	if ran < usageReportDelay {
		demand = t.demand.Max(used)
	}
	if started := now.Add(-ran); t.phase == phaseRunning && started.Before(t.startedAt) {
		t.startedAt = started
	}
	c.updateCharge(w, t, t.class, demand)
	c.schedulePromotion(t)
}

// schedulePromotion schedules the time from which a task counts in a longer class. Callers hold c.mu.
func (c *Core) schedulePromotion(t *taskState) {
	c.cancelPromotion(t)
	switch {
	case t.class < model.ClassService:
		t.promoteAt = t.startedAt.Add(c.policy.Short.ShortUntil)
	case t.class == model.ClassBatch:
		t.promoteAt = t.startedAt.Add(c.policy.Short.LongAfter)
	default:
		return
	}
	heap.Push(&c.promotions, t)
}

// cancelPromotion removes a task from the heap of promotions. Callers hold c.mu.
func (c *Core) cancelPromotion(t *taskState) {
	if t.promoteIndex >= 0 {
		heap.Remove(&c.promotions, t.promoteIndex)
	}
}

// promote moves tasks to longer classes according to the time that they have run. Callers hold c.mu.
func (c *Core) promote(now time.Time) {
	for len(c.promotions) > 0 && !c.promotions[0].promoteAt.After(now) {
		t := heap.Pop(&c.promotions).(*taskState)
		class := c.policy.classForRunTime(t.class, now.Sub(t.startedAt))
		if w := c.workers[t.worker]; w != nil && w.tasks[t.task.ID] == t {
			c.jobs.getOrCreate(t.task.Intent).raiseRunTime(now.Sub(t.startedAt))
			c.updateCharge(w, t, class, t.demand)
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
