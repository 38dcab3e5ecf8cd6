package rack

import (
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

const (
	// reservationScan bounds the workers that one search for a reservation or for victims looks at.
	reservationScan = 64
	// maxVictims bounds the victims of one offer that a decision looks at.
	maxVictims = 256
)

// reservation keeps a worker for one task until enough of its tasks have ended. Only urgent work and short work that
// should end before readyAt is placed there meanwhile.
type reservation struct {
	task   model.TaskID
	worker *workerState
	// readyAt is when the worker should have room.
	readyAt time.Time
	until   time.Time
	// displacing is set when tasks were stopped for the reservation; nothing else is placed there then.
	displacing bool
}

// reserveWorker keeps a worker for a task. Callers hold c.mu.
func (c *Core) reserveWorker(now time.Time, w *workerState, id model.TaskID, readyAt time.Time, displacing bool) {
	r := &reservation{
		task: id, worker: w, readyAt: readyAt, until: now.Add(c.policy.Reserve.Term), displacing: displacing,
	}
	w.reservation = r
	c.reservations[id] = r
	c.reserved = append(c.reserved, r)
	c.reindex(w)
}

// dropReservation ends a reservation. Callers hold c.mu.
func (c *Core) dropReservation(id model.TaskID) {
	r := c.reservations[id]
	if r == nil {
		return
	}
	delete(c.reservations, id)
	for i, other := range c.reserved {
		if other == r {
			c.reserved = append(c.reserved[:i], c.reserved[i+1:]...)
			break
		}
	}
	r.worker.reservation = nil
	c.reindex(r.worker)
	c.capacityFreed()
}

// serveReservations claims the tasks whose reserved worker has room, and ends reservations without use. Callers hold
// c.mu.
func (c *Core) serveReservations(now time.Time, effects []Effect) []Effect {
	if len(c.reserved) == 0 {
		return effects
	}
	for _, r := range slices.Clone(c.reserved) {
		o := c.offers[r.task]
		switch {
		case !r.worker.counted || now.After(r.until):
			c.dropReservation(r.task)
		case o == nil:
			// A task without an offer belongs to a hold that is repeated until it is complete.
		default:
			demand := c.demandOf(o.Task)
			if c.offerLimited(o, demand) == ReasonNone && c.filter(r.worker, demand) {
				reason := Reason{Code: ReasonReserved, Worker: r.worker.member.ID, Demand: demand}
				effects = append(effects, c.claim(now, o, r.worker, reason))
			}
		}
	}
	return effects
}

// backfill returns a reserved worker for urgent work, or for short work that should leave it before the reservation
// begins. Callers hold c.mu.
func (c *Core) backfill(now time.Time, task model.Task, demand model.Resources) *workerState {
	if len(c.reserved) == 0 || task.Class > model.ClassShort || c.queueClass(task) > model.ClassShort {
		return nil
	}
	run, known := c.expectedRun(task)
	for _, r := range c.reserved {
		inTime := task.Class == model.ClassUrgent || known && !now.Add(run).After(r.readyAt)
		if inTime && !r.displacing && c.filter(r.worker, demand) {
			return r.worker
		}
	}
	return nil
}

// canBackfill reports whether an offer might use a reserved worker. Callers hold c.mu.
func (c *Core) canBackfill(o *queuedOffer) bool {
	return len(c.reserved) > 0 && o.class <= model.ClassShort
}

// makeReservation reserves a worker for the offer that has waited longest past the policy's bound. Callers hold c.mu.
func (c *Core) makeReservation(now time.Time) {
	limit := max(1, int(float64(len(c.order))*c.policy.Reserve.MaxShare))
	if len(c.reserved) >= limit {
		return
	}
	for _, i := range [...]int{int(model.ClassUrgent), dueQueue, int(model.ClassService), int(model.ClassBatch), int(model.ClassLong)} {
		o := c.longestWaiting(now, c.queues[i])
		if o == nil {
			continue
		}
		demand := c.demandOf(o.Task)
		if w, readyAt := c.soonest(now, demand); w != nil {
			c.reserveWorker(now, w, o.Task.ID, readyAt, false)
			return
		}
	}
}

// longestWaiting returns the blocked offer that has waited longest past the policy's bound, or nil. It looks at a bounded
// number of groups. Callers hold c.mu.
func (c *Core) longestWaiting(now time.Time, q *classQueue) *queuedOffer {
	var oldest *queuedOffer
	n := 0
	for e := q.parked.Front(); e != nil && n < reservationScan; e = e.Next() {
		n++
		g := e.Value.(*group)
		o := g.head()
		if !c.needsReservation(g.reason) || c.reservations[o.Task.ID] != nil {
			continue
		}
		if q != c.queues[dueQueue] && now.Sub(o.since) < c.policy.Reserve.After {
			continue
		}
		if oldest == nil || o.sequence < oldest.sequence {
			oldest = o
		}
	}
	return oldest
}

// needsReservation reports whether an offer that waits for a reason gains by a reserved worker. While capacity is kept
// for short work, that is so only for large tasks, for which a worker has to be emptied; a reservation for a small one
// would keep short work out of the very capacity that is kept for it. Callers hold c.mu.
func (c *Core) needsReservation(r Reason) bool {
	const large = 0.5
	switch r.Code {
	case ReasonNoRoom:
		return true
	case ReasonShortReserve:
		return r.Demand.DominantShare(c.largestWorker) > large
	}
	return false
}

// soonest returns the worker that should have room for a demand first, by the expected ends of its tasks. It looks at a
// bounded number of workers, beginning with another one each time. Callers hold c.mu.
func (c *Core) soonest(now time.Time, demand model.Resources) (*workerState, time.Time) {
	var best *workerState
	var bestAt time.Time
	for range min(len(c.order), reservationScan) {
		c.cursor = (c.cursor + 1) % len(c.order)
		w := c.order[c.cursor]
		if !w.counted || w.reservation != nil || !demand.Fits(w.member.Capacity) {
			continue
		}
		if at, ok := c.roomAt(now, w, demand); ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = w, at
		}
	}
	return best, bestAt
}

// roomAt returns when a worker should have room for a demand. ok is false when tasks without an end stand in the way.
// Callers hold c.mu.
func (c *Core) roomAt(now time.Time, w *workerState, demand model.Resources) (at time.Time, ok bool) {
	type ending struct {
		at     time.Time
		demand model.Resources
	}
	var endings []ending
	for _, t := range w.tasks {
		if run, ok := c.expectedRun(t.task); ok {
			end := t.since.Add(run)
			if end.Before(now) {
				end = now
			}
			endings = append(endings, ending{end, t.demand})
		}
	}
	sort.Slice(endings, func(i, j int) bool { return endings[i].at.Before(endings[j].at) })
	free := w.free()
	at = now
	for _, e := range endings {
		if demand.Fits(free) {
			break
		}
		free = free.Add(e.demand)
		at = e.at
	}
	return at, demand.Fits(free)
}

// displaceable reports whether a running task may be stopped for other work: it is preemptible, and it can start again
// before its latest start time. Callers hold c.mu.
func (c *Core) displaceable(now time.Time, t *taskState) bool {
	if t == nil || !t.task.Preemptible || t.phase != phaseRunning || t.stopping {
		return false
	}
	return t.task.LatestStart.IsZero() || now.Add(c.policy.Reserve.VictimMargin).Before(t.task.LatestStart)
}

// wantsRoom notes that an offer names victims. Callers hold c.mu.
func (c *Core) wantsRoom(o *queuedOffer) {
	if len(o.Victims) > 0 && !o.displaces {
		o.displaces = true
		c.displacers = append(c.displacers, o)
	}
}

// displaceForOffers stops the victims of offers that found no room. An offer whose victims cannot be stopped yet is
// tried again by later decisions, a bounded number in each. Callers hold c.mu.
func (c *Core) displaceForOffers(now time.Time, effects []Effect) []Effect {
	for range min(len(c.displacers), reservationScan) {
		o := c.displacers[0]
		c.displacers = c.displacers[1:]
		if c.offers[o.Task.ID] != o {
			continue
		}
		if c.reservations[o.Task.ID] == nil {
			effects = c.displace(now, o.Task, c.demandOf(o.Task), o.Victims, effects)
		}
		c.displacers = append(c.displacers, o)
	}
	return effects
}

// displace stops tasks that a confirmed plan names, on one worker where their end makes room for a task, and keeps that
// worker for the task. The capacity is used only after the worker has reported the ends. Callers hold c.mu.
func (c *Core) displace(now time.Time, task model.Task, demand model.Resources, named []model.TaskID, effects []Effect) []Effect {
	if len(named) == 0 || c.reservations[task.ID] != nil {
		return effects
	}
	byWorker := map[string][]*taskState{}
	var workers []string
	for _, id := range named[:min(len(named), maxVictims)] {
		t := c.tasks[id]
		if !c.displaceable(now, t) {
			continue
		}
		if byWorker[t.worker] == nil {
			workers = append(workers, t.worker)
		}
		byWorker[t.worker] = append(byWorker[t.worker], t)
	}
	for _, id := range workers {
		w := c.workers[id]
		if !w.counted || w.reservation != nil {
			continue
		}
		victims := enough(w.free(), demand, byWorker[id])
		if victims == nil {
			continue
		}
		c.reserveWorker(now, w, task.ID, now, true)
		for _, v := range victims {
			effects = append(effects, c.stop(v, true))
		}
		return effects
	}
	return effects
}

// enough returns the first victims whose end makes room for a demand, or nil.
func enough(free, demand model.Resources, victims []*taskState) []*taskState {
	for i, v := range victims {
		free = free.Add(v.demand)
		if demand.Fits(free) {
			return victims[:i+1]
		}
	}
	return nil
}

// findVictims returns the worker where displacing the least work would make room for a task, and the tasks to displace.
// Only work of a longer class is displaced. Callers hold c.mu.
func (c *Core) findVictims(now time.Time, task model.Task, demand model.Resources, taken map[model.TaskID]bool) (*workerState, []*taskState) {
	var best *workerState
	var bestVictims []*taskState
	bestCost := 0.0
	for range min(len(c.order), reservationScan) {
		c.cursor = (c.cursor + 1) % len(c.order)
		w := c.order[c.cursor]
		if !w.counted || w.reservation != nil || !demand.Fits(w.member.Capacity) {
			continue
		}
		victims := enough(w.free(), demand, c.displaceableOn(now, w, task.Class, taken))
		if victims == nil {
			continue
		}
		cost := 0.0
		for _, v := range victims {
			cost += 1 + now.Sub(v.since).Hours()
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	return best, bestVictims
}

// displaceableOn returns the tasks of a worker that work of a class may displace: longest class first, and within a
// class the one that loses the least run time. Callers hold c.mu.
func (c *Core) displaceableOn(now time.Time, w *workerState, class model.Class, taken map[model.TaskID]bool) []*taskState {
	var victims []*taskState
	for _, t := range w.tasks {
		if t.class > class && t.task.Class > class && !taken[t.task.ID] && c.displaceable(now, t) {
			victims = append(victims, t)
		}
	}
	sort.Slice(victims, func(i, j int) bool {
		a, b := victims[i], victims[j]
		switch {
		case a.class != b.class:
			return a.class > b.class
		case !a.since.Equal(b.since):
			return a.since.After(b.since)
		}
		return a.task.ID < b.task.ID
	})
	return victims
}

func (c *Core) displacement(w *workerState, v *taskState, by model.Task) model.Displacement {
	return model.Displacement{
		Task: v.task.ID, Team: v.task.Team, Rack: c.id, Worker: w.member.ID,
		Reason: "makes room for " + string(by.ID) + "; it is checkpointed first and waits again",
	}
}

// stop returns the effect that stops a task. Callers hold c.mu.
func (c *Core) stop(t *taskState, checkpoint bool) Effect {
	t.stopping = true
	return StopTask{Worker: t.worker, Request: worker.StopRequest{
		Rack: c.id, Epoch: c.epoch, Task: t.task.ID, Token: t.token, Checkpoint: checkpoint,
	}}
}

// leaving reports whether the platform takes a worker away.
func (w *workerState) leaving() bool { return w.member.State == store.MemberLeaving }
