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
	// reservationScan bounds the workers, blocked groups or displacing offers that one search for a worker reservation or
	// for victims examines.
	reservationScan = 64
	// maxVictims bounds the victims of one offer that a decision examines.
	maxVictims = 256
)

// workerReservation reserves a worker for one waiting task until enough of the worker's tasks have ended. Meanwhile only
// urgent work, and short work that should finish before readyAt, is placed there.
type workerReservation struct {
	task   model.TaskID
	worker *workerState
	// readyAt is when the worker is expected to have enough free capacity.
	readyAt   time.Time
	expiresAt time.Time
	// displacing is set if tasks were stopped for the reservation; then nothing else is placed on the worker.
	displacing bool
}

// reserveWorker reserves a worker for a task. Callers hold c.mu.
func (c *Core) reserveWorker(now time.Time, w *workerState, id model.TaskID, readyAt time.Time, displacing bool) {
	r := &workerReservation{
		task: id, worker: w, readyAt: readyAt, expiresAt: now.Add(c.policy.WorkerReservation.TTL), displacing: displacing,
	}
	w.reservation = r
	c.workerReservations[id] = r
	c.workerReservationList = append(c.workerReservationList, r)
	c.reindex(w)
}

// removeReservation removes the worker reservation for a task, if there is one. Callers hold c.mu.
func (c *Core) removeReservation(id model.TaskID) {
	r := c.workerReservations[id]
	if r == nil {
		return
	}
	delete(c.workerReservations, id)
	for i, other := range c.workerReservationList {
		if other == r {
			c.workerReservationList = append(c.workerReservationList[:i], c.workerReservationList[i+1:]...)
			break
		}
	}
	r.worker.reservation = nil
	c.reindex(r.worker)
	c.recheckAllBlocked()
}

// serveReservations claims the offers whose reserved worker has enough free capacity, and removes reservations that
// expired, or whose worker accepts no work or has become too small. Callers hold c.mu.
func (c *Core) serveReservations(now time.Time, effects []Effect) []Effect {
	if len(c.workerReservationList) == 0 {
		return effects
	}
	for _, r := range slices.Clone(c.workerReservationList) {
		o := c.offers[r.task]
		switch {
		case !r.worker.inTotals || now.After(r.expiresAt):
			c.removeReservation(r.task)
		case o == nil:
			// A task without an offer belongs to a gang, whose reservation request is repeated until it is complete.
		default:
			demand := c.effectiveDemand(o.Task)
			if !demand.Fits(r.worker.member.Capacity) {
				c.removeReservation(r.task)
			} else if c.offerLimitReason(o, demand) == ReasonNone && c.hasCapacity(r.worker, demand) {
				reason := Reason{Code: ReasonReserved, Worker: r.worker.member.ID, Demand: demand}
				effects = append(effects, c.claim(now, o, r.worker, reason))
			}
		}
	}
	return effects
}

// backfillWorker returns a reserved worker for urgent work, or for short work that should finish before the worker is
// needed for its reservation. Callers hold c.mu.
func (c *Core) backfillWorker(now time.Time, task model.Task, demand model.Resources) *workerState {
	if len(c.workerReservationList) == 0 || task.Class > model.ClassShort || c.queueClass(task) > model.ClassShort {
		return nil
	}
	run, hasEstimate := c.expectedRunTime(task)
	for _, r := range c.workerReservationList {
		inTime := task.Class == model.ClassUrgent || hasEstimate && !now.Add(run).After(r.readyAt)
		if inTime && !r.displacing && c.hasCapacity(r.worker, demand) {
			return r.worker
		}
	}
	return nil
}

// canBackfill reports whether an offer might use a reserved worker. Callers hold c.mu.
func (c *Core) canBackfill(o *queuedOffer) bool {
	return len(c.workerReservationList) > 0 && o.class <= model.ClassShort
}

// makeReservation reserves a worker for at most one offer: the longest waiting of the first queue, in the order below,
// that has an offer past the policy's bound and for which a worker is found. Callers hold c.mu.
func (c *Core) makeReservation(now time.Time) {
	limit := max(1, int(float64(len(c.workersByArrival))*c.policy.WorkerReservation.MaxShare))
	if len(c.workerReservationList) >= limit {
		return
	}
	for _, i := range [...]int{int(model.ClassUrgent), overdueQueue, int(model.ClassService), int(model.ClassBatch), int(model.ClassLong)} {
		o := c.longestWaiting(now, c.queues[i])
		if o == nil {
			continue
		}
		demand := c.effectiveDemand(o.Task)
		if w, readyAt := c.soonestWorker(now, demand); w != nil {
			c.reserveWorker(now, w, o.Task.ID, readyAt, false)
			return
		}
	}
}

// longestWaiting returns the oldest blocked offer that has waited past the policy's bound and needs a reservation, or
// nil. It examines a bounded number of groups. Callers hold c.mu.
func (c *Core) longestWaiting(now time.Time, q *classQueue) *queuedOffer {
	var oldest *queuedOffer
	n := 0
	for e := q.blocked.Front(); e != nil && n < reservationScan; e = e.Next() {
		n++
		g := e.Value.(*offerGroup)
		o := g.head()
		if !c.needsReservation(g.blockedReason) || c.workerReservations[o.Task.ID] != nil {
			continue
		}
		if q != c.queues[overdueQueue] && now.Sub(o.queuedAt) < c.policy.WorkerReservation.After {
			continue
		}
		if oldest == nil || o.sequence < oldest.sequence {
			oldest = o
		}
	}
	return oldest
}

// needsReservation reports whether a worker reservation helps an offer that waits for a reason. If the offer waits
// because of the capacity reserved for short work, it helps only large tasks, for which a worker has to be emptied; a
// reservation for a small task would block the capacity that is reserved for short work. Callers hold c.mu.
func (c *Core) needsReservation(r Reason) bool {
	const large = 0.5
	switch r.Code {
	case ReasonNoCapacity:
		return true
	case ReasonShortReserve:
		return r.Demand.DominantShare(c.largestCapacity) > large
	}
	return false
}

// soonestWorker returns the worker that should be the first to have enough free capacity for a demand, by the expected
// run times of its tasks, and when. It examines a bounded number of workers, starting after the last one examined.
// Callers hold c.mu.
func (c *Core) soonestWorker(now time.Time, demand model.Resources) (*workerState, time.Time) {
	var best *workerState
	var bestAt time.Time
	for range min(len(c.workersByArrival), reservationScan) {
		c.searchCursor = (c.searchCursor + 1) % len(c.workersByArrival)
		w := c.workersByArrival[c.searchCursor]
		if !w.inTotals || w.reservation != nil || !demand.Fits(w.member.Capacity) {
			continue
		}
		if at, ok := c.capacityAvailableAt(now, w, demand); ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = w, at
		}
	}
	return best, bestAt
}

// capacityAvailableAt returns when a worker should have enough free capacity for a demand. ok is false if the tasks with
// a known run time free too little. Callers hold c.mu.
func (c *Core) capacityAvailableAt(now time.Time, w *workerState, demand model.Resources) (at time.Time, ok bool) {
	type completion struct {
		at     time.Time
		demand model.Resources
	}
	var completions []completion
	for _, t := range w.tasks {
		if run, ok := c.expectedRunTime(t.task); ok {
			end := t.startedAt.Add(run)
			if end.Before(now) {
				end = now
			}
			completions = append(completions, completion{end, t.demand})
		}
	}
	sort.Slice(completions, func(i, j int) bool { return completions[i].at.Before(completions[j].at) })
	free := w.free()
	at = now
	for _, e := range completions {
		if demand.Fits(free) {
			break
		}
		free = free.Add(e.demand)
		at = e.at
	}
	return at, demand.Fits(free)
}

// displaceable reports whether a task may be stopped for other work: it runs, is preemptible and can start again before
// its latest start time. Callers hold c.mu.
func (c *Core) displaceable(now time.Time, t *taskState) bool {
	if t == nil || !t.task.Preemptible || t.phase != phaseRunning || t.stopping {
		return false
	}
	return t.task.LatestStart.IsZero() || now.Add(c.policy.WorkerReservation.VictimMargin).Before(t.task.LatestStart)
}

// registerDisplacing adds an offer that names victims to the displacing offers. Callers hold c.mu.
func (c *Core) registerDisplacing(o *queuedOffer) {
	if len(o.Victims) > 0 && !o.displacing {
		o.displacing = true
		c.displacingOffers = append(c.displacingOffers, o)
	}
}

// displaceForOffers stops the victims of offers that could not be placed. An offer whose victims cannot be stopped yet
// is tried again by later decisions; each decision tries a bounded number. Callers hold c.mu.
func (c *Core) displaceForOffers(now time.Time, effects []Effect) []Effect {
	for range min(len(c.displacingOffers), reservationScan) {
		o := c.displacingOffers[0]
		c.displacingOffers = c.displacingOffers[1:]
		if c.offers[o.Task.ID] != o {
			continue
		}
		if c.workerReservations[o.Task.ID] == nil {
			effects = c.displace(now, o.Task, c.effectiveDemand(o.Task), o.Victims, effects)
		}
		c.displacingOffers = append(c.displacingOffers, o)
	}
	return effects
}

// displace stops tasks that a confirmed plan names, on one worker where that frees enough capacity for a task, and
// reserves the worker for the task. The capacity is used only after the worker has reported the stops. Callers hold
// c.mu.
func (c *Core) displace(now time.Time, task model.Task, demand model.Resources, named []model.TaskID, effects []Effect) []Effect {
	if len(named) == 0 || c.workerReservations[task.ID] != nil {
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
		if !w.inTotals || w.reservation != nil {
			continue
		}
		victims := sufficientVictims(w.free(), demand, byWorker[id])
		if victims == nil {
			continue
		}
		c.reserveWorker(now, w, task.ID, now, true)
		for _, v := range victims {
			effects = append(effects, c.stopEffect(v, true))
		}
		return effects
	}
	return effects
}

// sufficientVictims returns the shortest prefix of victims whose stop frees enough capacity for a demand, or nil.
func sufficientVictims(free, demand model.Resources, victims []*taskState) []*taskState {
	for i, v := range victims {
		free = free.Add(v.demand)
		if demand.Fits(free) {
			return victims[:i+1]
		}
	}
	return nil
}

// findVictims returns the worker where a displacement for a task loses the least work, and the tasks to displace. The
// cost of a victim is one plus the hours that it has run. Only work of a longer class is displaced. Callers hold c.mu.
func (c *Core) findVictims(now time.Time, task model.Task, demand model.Resources, displaced map[model.TaskID]bool) (*workerState, []*taskState) {
	var best *workerState
	var bestVictims []*taskState
	bestCost := 0.0
	for range min(len(c.workersByArrival), reservationScan) {
		c.searchCursor = (c.searchCursor + 1) % len(c.workersByArrival)
		w := c.workersByArrival[c.searchCursor]
		if !w.inTotals || w.reservation != nil || !demand.Fits(w.member.Capacity) {
			continue
		}
		victims := sufficientVictims(w.free(), demand, c.displaceableTasks(now, w, task.Class, displaced))
		if victims == nil {
			continue
		}
		cost := 0.0
		for _, v := range victims {
			cost += 1 + now.Sub(v.startedAt).Hours()
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	return best, bestVictims
}

// displaceableTasks returns the tasks of a worker that work of a class may displace: the longest class first, and within
// a class the tasks that lose the least run time. Callers hold c.mu.
func (c *Core) displaceableTasks(now time.Time, w *workerState, class model.Class, displaced map[model.TaskID]bool) []*taskState {
	var victims []*taskState
	for _, t := range w.tasks {
		if t.class > class && t.task.Class > class && !displaced[t.task.ID] && c.displaceable(now, t) {
			victims = append(victims, t)
		}
	}
	sort.Slice(victims, func(i, j int) bool {
		a, b := victims[i], victims[j]
		switch {
		case a.class != b.class:
			return a.class > b.class
		case !a.startedAt.Equal(b.startedAt):
			return a.startedAt.After(b.startedAt)
		}
		return a.task.ID < b.task.ID
	})
	return victims
}

// displacement describes the displacement of a victim by a task for a proposal.
func (c *Core) displacement(w *workerState, v *taskState, by model.Task) model.Displacement {
	return model.Displacement{
		Task: v.task.ID, Team: v.task.Team, Rack: c.id, Worker: w.member.ID,
		Reason: "makes room for " + string(by.ID) + "; it is checkpointed first and waits again",
	}
}

// stopEffect marks a task as stopping and returns the effect that stops it. Callers hold c.mu.
func (c *Core) stopEffect(t *taskState, checkpoint bool) Effect {
	t.stopping = true
	return StopTask{Worker: t.worker, Request: worker.StopRequest{
		Rack: c.id, Epoch: c.epoch, Task: t.task.ID, Token: t.token, Checkpoint: checkpoint,
	}}
}

// leaving reports whether the platform is about to remove the worker.
func (w *workerState) leaving() bool { return w.member.State == store.MemberLeaving }
