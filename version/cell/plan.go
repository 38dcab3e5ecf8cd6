package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// plan assigns waiting tasks of a step to workers that may run them, with the capacity that is free or expected to become
// free. The capacity is reserved, so that smaller tasks of less urgent steps do not take it as it becomes free. The members
// of a gang start together when the whole plan is ready, other tasks as soon as they fit.
type plan struct {
	slots []planSlot
	// spares are workers that can replace one whose capacity is free later than expected.
	spares []*worker
	// freeAt is when the capacity for all tasks is expected to be there, and readyAt when their tickets are there too.
	freeAt, readyAt Instant
	// madeAt is when the plan was made or last confirmed.
	madeAt Instant
}

// planSlot is the part of a plan on one worker.
type planSlot struct {
	worker *worker
	tasks  int
	// readyAt is when the worker is expected to be able to run all of these tasks.
	readyAt Instant
}

// capacityReservation keeps capacity of a worker for tasks of a step.
type capacityReservation struct {
	step  *step
	tasks int
	// usableUntil is the time until which other tasks may use the capacity.
	usableUntil Instant
}

const (
	// planHorizon limits how long after now the capacity of a plan may become free.
	planHorizon = 10 * time.Second
	// planInterval is the time after which a plan is made again, since capacity may have become free sooner elsewhere.
	planInterval = 300 * time.Millisecond
	// planSlack is how much later than expected a plan may be ready before it is made again.
	planSlack = 100 * time.Millisecond
	// minPlanGain is how much sooner than a plan another one must be ready to replace it. Its workers may need new tickets.
	minPlanGain = 300 * time.Millisecond
	// spareShare is the number of spare workers of a gang's plan, as a share of its members.
	spareShare = 0.25
	// stopDuration is the expected duration of a stop.
	stopDuration = 400 * time.Millisecond
	// openingResolution is the time within which openings are considered equal.
	openingResolution = 100 * time.Millisecond
)

// opening is the expected time at which a worker can run one more task of a step: its capacity is free and its ticket can be
// there.
type opening struct {
	worker *worker
	// freeAt is when the capacity is free, and at when the ticket is there too.
	freeAt, at Instant
	// onWorker is the number of openings on the worker.
	onWorker int
}

// plansAhead reports whether capacity is reserved for the waiting tasks of a step: for gangs, and for tasks that others which can wait longer
// would otherwise keep from starting. Steps that the workers cannot hold get none.
func (c *Core) plansAhead(s *step) bool {
	if len(s.waiting) == 0 || c.awaitsRecovery(s) || c.isHeldByTeam(s) {
		return false
	}
	if s.spec.Gang {
		return len(s.waiting) == len(s.tasks) && c.isFeasible(s)
	}
	return !s.spec.BestEffort && s.queuePosition.rank.cannotWaitFor(c.ready.last) && c.isFeasible(s)
}

// planReadySteps updates the plans of the waiting steps in the order of their ranks and reserves the capacity for them.
func (c *Core) planReadySteps() {
	for _, w := range c.workers {
		w.reservations = nil
	}
	c.resetPlanned()
	for _, s := range c.ready.ranked {
		if !c.plansAhead(s) {
			s.plan, s.turn = nil, turnWait
			s.reservationAge.interrupt()
			continue
		}
		planned := c.plannedWith(s)
		s.turn = planned.turnOf(s)
		if s.turn == turnWait {
			s.plan = nil
			s.reservationAge.interrupt()
			continue
		}
		c.updatePlan(s)
		c.reserveCapacity(s)
		if c.cannotStartSoon(s) {
			s.nextPlanAt = max(s.nextPlanAt, c.now+planned.addBlocked())
			continue
		}
		planned.add(s)
	}
}

// planNewSteps makes the plans of steps that have become ready or received advice since the last plan, without waiting for
// the next time that all plans are updated.
func (c *Core) planNewSteps() {
	for _, s := range c.ready.ranked {
		if s.plan != nil || s.nextPlanAt != 0 || !c.plansAhead(s) {
			continue
		}
		if s.turn == turnWait {
			planned := c.plannedWith(s)
			if s.turn = planned.turnOf(s); s.turn == turnWait {
				continue
			}
			planned.add(s)
		}
		c.makePlan(s)
		c.reserveCapacity(s)
	}
}

// reserveCapacity reserves the capacity of the plan of a step if it has its turn.
func (c *Core) reserveCapacity(s *step) {
	if s.plan == nil || s.turn != turnReserve || !s.reservationAge.mayReserve(c.now) {
		s.reservationAge.interrupt()
		return
	}
	for _, slot := range s.plan.slots {
		usableUntil := slot.readyAt
		if s.spec.Gang {
			usableUntil = s.plan.readyAt
		}
		slot.worker.reservations = append(slot.worker.reservations, capacityReservation{s, slot.tasks, usableUntil})
	}
}

// reservedFor returns the capacity of a worker that a step may not use.
func (c *Core) reservedFor(w *worker, s *step) model.Resources {
	var sum model.Resources
	for _, r := range w.reservations {
		if r.step != s && c.respectsReservation(s, r) {
			sum = sum.Add(r.step.allocatedDemand().Times(r.tasks))
		}
	}
	return sum
}

// respectsReservation reports whether a step may not use capacity that is reserved for another one. It respects the
// reservations of the steps before it only: if two gangs respected each other's, neither would start. A task that is expected
// to end before the capacity is needed may use it until then.
func (c *Core) respectsReservation(s *step, r capacityReservation) bool {
	if r.step.queuePosition.rank.compare(s.queuePosition.rank) >= 0 {
		return false
	}
	return s.spec.Gang || s.spec.LongRunning || c.now+s.estimatedDuration() > r.usableUntil
}

// releaseReservation releases the capacity that is reserved on a worker for one task of a step, after the task has started.
func (w *worker) releaseReservation(s *step) {
	for i := range w.reservations {
		if w.reservations[i].step == s {
			w.reservations[i].tasks = max(0, w.reservations[i].tasks-1)
			return
		}
	}
}

// dropPlan releases the capacity that is reserved for a step.
func (c *Core) dropPlan(s *step) {
	if s.plan == nil {
		return
	}
	for _, slot := range s.plan.slots {
		w := slot.worker
		w.reservations = slices.DeleteFunc(w.reservations, func(r capacityReservation) bool { return r.step == s })
	}
	s.plan, s.reservationAge, s.nextPlanAt = nil, reservationAge{}, 0
}

// updatePlan makes the plan of a step if there is none, if the present one is old, or if it does not hold any longer. A plan
// is only replaced by one that is ready considerably sooner.
func (c *Core) updatePlan(s *step) {
	old := s.plan
	holds := old != nil && s.spec.Gang && c.planHolds(s)
	if (holds && c.now < old.madeAt+planInterval && c.now <= old.readyAt+planSlack) || c.now < s.nextPlanAt {
		return
	}
	c.makePlan(s)
	if !holds {
		return
	}
	c.updateReadyAt(s, old)
	if old.readyAt <= c.now+planHorizon && (s.plan == nil || old.readyAt <= s.plan.readyAt+minPlanGain) {
		s.plan = old
	}
}

func (c *Core) planHolds(s *step) bool {
	for _, slot := range s.plan.slots {
		if !c.usable(slot.worker, s, nil) {
			return false
		}
	}
	return true
}

// updateReadyAt sets the time at which the workers of a plan are expected to have its capacity and tickets.
func (c *Core) updateReadyAt(s *step, p *plan) {
	p.madeAt, p.freeAt, p.readyAt = c.now, c.now, c.now
	for i := range p.slots {
		slot := &p.slots[i]
		times := c.openingTimes(slot.worker, s)
		if len(times) < slot.tasks {
			p.freeAt, p.readyAt = math.MaxInt64, math.MaxInt64
			return
		}
		freeAt := times[slot.tasks-1]
		slot.readyAt = c.withTicket(slot.worker, s, freeAt)
		p.freeAt = max(p.freeAt, freeAt)
		p.readyAt = max(p.readyAt, slot.readyAt)
	}
}

// makePlan chooses the workers on which the waiting tasks of a step can start soonest, among those that the placement policy
// is known to allow. Workers on which a member of a gang has failed are used only if the others do not suffice. A gang has no
// plan if the capacity does not suffice within the horizon.
func (c *Core) makePlan(s *step) {
	s.plan = nil
	s.nextPlanAt = c.now + sweepInterval
	s.queuePosition.tryPlacement = true
	openings := c.approvedOpenings(s)
	s.openingsSoon, s.openingsTotal = 0, len(openings)
	soonAt := c.soonFor(s)
	for _, o := range openings {
		if o.at <= soonAt {
			s.openingsSoon++
		}
	}
	avoided := s.waiting[0].avoidedWorkers
	others := slices.DeleteFunc(slices.Clone(openings), func(o opening) bool {
		return avoided.contains(o.worker.info.ID, c.now)
	})
	if s.plan = c.bestPlan(s, others); s.plan == nil && len(others) < len(openings) {
		s.plan = c.bestPlan(s, openings)
	}
}

// bestPlan returns the plan that is ready first. If the step asks for a single rack, only plans on one rack are considered
// until sameRackTimeout has passed.
func (c *Core) bestPlan(s *step, openings []opening) *plan {
	if s.spec.Gang && s.spec.SameRack {
		if p := c.planOnOneRack(s, openings); p != nil || c.now < s.readyAt+sameRackTimeout {
			return p
		}
	}
	return c.planOn(s, openings)
}

// planOnOneRack returns the plan that is ready first among those on a single rack, or nil.
func (c *Core) planOnOneRack(s *step, openings []opening) *plan {
	byRack := map[string][]opening{}
	for _, o := range openings {
		byRack[o.worker.rack] = append(byRack[o.worker.rack], o)
	}
	var best *plan
	for _, rack := range c.racks() {
		if p := c.planOn(s, byRack[rack]); p != nil && (best == nil || p.readyAt < best.readyAt) {
			best = p
		}
	}
	return best
}

// planOn returns the plan that uses the earliest openings, on as few workers as possible among equal ones. It returns nil if
// there are none, or fewer than a gang has members.
func (c *Core) planOn(s *step, openings []opening) *plan {
	tasks := c.startableTasks(s)
	if len(openings) == 0 || (s.spec.Gang && len(openings) < tasks) {
		return nil
	}
	slices.SortFunc(openings, func(a, b opening) int {
		return cmp.Or(
			cmp.Compare(a.at.Truncate(openingResolution), b.at.Truncate(openingResolution)),
			cmp.Compare(b.onWorker, a.onWorker), cmp.Compare(a.worker.info.ID, b.worker.info.ID),
		)
	})
	p := &plan{madeAt: c.now, freeAt: c.now, readyAt: c.now}
	index := map[*worker]int{}
	for _, o := range openings[:min(tasks, len(openings))] {
		i, ok := index[o.worker]
		if !ok {
			i = len(p.slots)
			index[o.worker] = i
			p.slots = append(p.slots, planSlot{worker: o.worker})
		}
		p.slots[i].tasks++
		p.slots[i].readyAt = max(p.slots[i].readyAt, o.at)
		p.freeAt = max(p.freeAt, o.freeAt)
		p.readyAt = max(p.readyAt, o.at)
	}
	p.spares = spareWorkers(openings[min(tasks, len(openings)):], index, p.readyAt, max(1, int(spareShare*float64(tasks))))
	return p
}

// spareWorkers returns the workers of the openings until readyAt that the plan does not use, up to the given number of
// openings.
func spareWorkers(openings []opening, planned map[*worker]int, readyAt Instant, limit int) []*worker {
	var spares []*worker
	for _, o := range openings {
		if limit == 0 {
			break
		}
		if _, used := planned[o.worker]; used || o.at > readyAt || slices.Contains(spares, o.worker) {
			continue
		}
		spares = append(spares, o.worker)
		limit--
	}
	return spares
}

// approvedOpenings returns the openings for tasks of a step on the workers that the placement policy is known to allow, with
// or without a valid ticket.
func (c *Core) approvedOpenings(s *step) []opening {
	var out []opening
	add := func(w *worker) {
		times := c.openingTimes(w, s)
		for _, at := range times {
			out = append(out, opening{w, at, c.withTicket(w, s, at), len(times)})
		}
	}
	if s.job.queue.Advice == nil {
		for _, w := range c.workers {
			add(w)
		}
		return out
	}
	for id := range s.advice.approved {
		if w := c.workers[id]; w != nil {
			add(w)
		}
	}
	return out
}

// withTicket returns the earliest time from at on at which a valid ticket for the worker can be there.
func (c *Core) withTicket(w *worker, s *step, at Instant) Instant {
	if s.job.queue.Advice == nil || s.advice.approved[w.info.ID].isValid(at) {
		return at
	}
	for _, r := range s.advice.pending {
		if slices.Contains(r.workers, w.info.ID) {
			return max(at, r.dueAt)
		}
	}
	return max(at, c.now+s.adviceDuration(len(s.waiting)))
}

// openingTimes returns when a worker is expected to have the capacity for one, two and more tasks of a step, up to the
// horizon. It assumes that no other task starts there.
func (c *Core) openingTimes(w *worker, s *step) []Instant {
	c.effort.Planning++
	demand := c.plannedDemand(s)
	if !c.usable(w, s, nil) || multiplesIn(w.info.Capacity, demand) == 0 {
		return nil
	}
	limit := c.limitTrials(w, s, len(s.waiting))
	if s.spec.MaxPerWorker > 0 {
		limit = min(limit, s.spec.MaxPerWorker-s.runsPerWorker[w])
	}
	unallocated, reserved := w.info.Capacity.Sub(w.allocated), c.reservedFor(w, s)
	var times []Instant
	addFitting := func(at Instant) {
		if unallocated.HasNegative() {
			return
		}
		for n := multiplesIn(unallocated.Sub(reserved), demand); len(times) < min(n, limit); {
			times = append(times, at)
		}
	}
	addFitting(c.now)
	if len(times) >= limit {
		return times
	}
	for _, e := range c.expectedEnds(w) {
		if len(times) >= limit {
			break
		}
		unallocated = unallocated.Add(e.demand)
		addFitting(e.at)
	}
	return times
}

// plannedDemand returns the demand of a task for which openings are looked for. A best-effort gang looks for idle processor time
// until bestEffortTimeout has passed.
func (c *Core) plannedDemand(s *step) model.Resources {
	if c.now <= s.readyAt+bestEffortTimeout {
		return s.spec.TaskDemand
	}
	return s.allocatedDemand()
}

// expectedEnd is the expected end of a run, and the capacity that it releases.
type expectedEnd struct {
	at     Instant
	demand model.Resources
}

// expectedEnds returns the ends of the runs on a worker that are expected before the horizon, the earliest first.
func (c *Core) expectedEnds(w *worker) []expectedEnd {
	ends := make([]expectedEnd, 0, len(w.runs))
	for _, r := range w.runs {
		spec := r.task.step.spec
		at := c.now + c.remainingDuration(r)
		switch {
		case r.phase == phaseStopping:
			at = max(c.now, r.stopSentAt+stopDuration)
		case spec.LongRunning:
			continue
		}
		if at > c.now+planHorizon {
			continue
		}
		ends = append(ends, expectedEnd{at, r.task.step.allocatedDemand()})
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	return ends
}

// multiplesIn returns how many times a demand fits into free capacity.
func multiplesIn(free, demand model.Resources) int {
	n := int64(math.MaxInt32)
	for _, d := range [...]struct{ free, demand int64 }{
		{free.CPUMilli, demand.CPUMilli}, {free.MemoryMiB, demand.MemoryMiB}, {free.Accelerators, demand.Accelerators},
	} {
		if d.demand > 0 {
			n = min(n, d.free/d.demand)
		}
	}
	return int(max(n, 0))
}
