package cell

import (
	"maps"
	"slices"
)

// placeGang starts all members of a gang at once, when the workers of its plan and those that can replace some of them have
// the capacity and valid tickets.
func (c *Core) placeGang(s *step) {
	if len(s.waiting) < len(s.tasks) || s.plan == nil || slices.ContainsFunc(s.tasks, c.isHeldAfterCrash) {
		return
	}
	slots := c.startableSlots(s)
	if slots == nil {
		return
	}
	number := s.gangRunNumber + 1
	tasks := slices.Clone(s.waiting)
	var runs []*run
	for _, slot := range slots {
		for _, t := range tasks[:slot.tasks] {
			runs = append(runs, c.addUnsentRun(t, slot.worker, number, s.gangCheckpoint))
		}
		tasks = tasks[slot.tasks:]
	}
	c.startRuns(runs)
	c.dropPlan(s)
	c.pruneWaiting(s)
}

// startableSlots returns the slots on which all members of a gang can start now, or nil. A worker of the plan whose capacity
// is free later than expected is replaced by others that the policy allows.
func (c *Core) startableSlots(s *step) []planSlot {
	missing := len(s.waiting)
	var slots []planSlot
	planned := make(map[*worker]struct{}, len(s.plan.slots))
	for _, slot := range s.plan.slots {
		planned[slot.worker] = struct{}{}
		if n := min(slot.tasks, c.startableMembers(s, slot.worker)); n > 0 {
			slots = append(slots, planSlot{worker: slot.worker, tasks: n})
			missing -= n
		}
	}
	if missing == 0 {
		return slots
	}
	if s.spec.SameRack || s.job.queue.Advice == nil {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(s.advice.approved)) {
		w := c.workers[id]
		if w == nil {
			continue
		}
		if _, inPlan := planned[w]; inPlan || s.tasks[0].avoidedWorkers.contains(id, c.now) {
			continue
		}
		if n := min(missing, c.startableMembers(s, w)); n > 0 {
			slots = append(slots, planSlot{worker: w, tasks: n})
			missing -= n
		}
		if missing == 0 {
			return slots
		}
	}
	return nil
}

// startableMembers returns how many members of a gang can start on a worker now.
func (c *Core) startableMembers(s *step, w *worker) int {
	if !c.hasTicket(w, s) || !c.usable(w, s, nil) {
		return 0
	}
	n := c.capacityFor(w, s)
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-s.runsPerWorker[w])
	}
	return n
}

// sameRackTimeout is how long a gang waits for capacity on one rack before it may be spread over several.
const sameRackTimeout = bestEffortTimeout

func (c *Core) racks() []string {
	seen := map[string]struct{}{}
	var racks []string
	for _, w := range c.workers {
		if _, ok := seen[w.rack]; !ok {
			seen[w.rack] = struct{}{}
			racks = append(racks, w.rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// restartGang stops the remaining members after one has ended. When no run is left, all members wait to start again
// under a higher run number.
func (c *Core) restartGang(s *step) {
	running := false
	for _, t := range s.tasks {
		for _, r := range t.runs {
			running = true
			c.stopRun(r, "another member of the gang ended")
		}
	}
	if running {
		return
	}
	for _, t := range s.tasks {
		c.queueTask(t)
	}
}
