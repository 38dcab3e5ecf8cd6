package rack

import (
	"container/heap"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// overdueQueue is the queue of work whose latest start time has come.
const overdueQueue = int(model.NumClasses)

// maxUnblockedGroups bounds the blocked groups of one queue that compete for released capacity in one decision. The groups that
// lose have to be parked again, which costs more than the placement; among eight the team with the smallest share is
// close to the smallest of all.
const maxUnblockedGroups = 8

// queueClass returns the class in which a task is queued: its own, or a longer one if its job was seen to run longer.
// Urgent work keeps its class. Callers hold c.mu.
func (c *Core) queueClass(task model.Task) model.Class {
	class := min(task.Class, model.NumClasses-1)
	if class == model.ClassUrgent {
		return class
	}
	if j := c.jobs.get(task.Intent); j != nil {
		return c.policy.classForRunTime(class, j.runTime)
	}
	return class
}

// enqueue adds an offer. A repeated offer keeps its place and takes the new epoch and victims. It returns false when
// the queue of the class is full. Callers hold c.mu.
func (c *Core) enqueue(now time.Time, o Offer) bool {
	if _, ok := c.tasks[o.Task.ID]; ok {
		return true
	}
	if q := c.offers[o.Task.ID]; q != nil {
		q.IntentEpoch, q.Victims = o.IntentEpoch, o.Victims
		c.registerDisplacing(q)
		return true
	}
	class := c.queueClass(o.Task)
	if c.queuedCount[class] >= c.policy.Classes[class].QueueLimit {
		return false
	}
	q := &queuedOffer{Offer: o, queuedAt: now, class: class, dueIndex: -1}
	c.offers[o.Task.ID] = q
	c.queuedCount[class]++
	demand := c.effectiveDemand(o.Task)
	if class <= model.ClassShort && demand.Fits(c.largestCapacityFor(demand)) {
		q.shortDemand = demand
		c.queuedShortDemand = c.queuedShortDemand.Add(demand)
	}
	c.push(q, c.queues[class], demand)
	c.meanDemand.updateMean(c.sharesOf(demand), c.sequence)
	c.registerDisplacing(q)
	if !o.Task.LatestStart.IsZero() && class != model.ClassUrgent {
		heap.Push(&c.due, q)
	}
	return true
}

// push appends an offer to a queue. Callers hold c.mu.
func (c *Core) push(o *queuedOffer, q *classQueue, demand model.Resources) {
	c.sequence++
	o.sequence = c.sequence
	q.add(o, demand, &c.policy)
}

// dequeue removes an offer from all queues at constant cost. Callers hold c.mu.
func (c *Core) dequeue(o *queuedOffer) {
	delete(c.offers, o.Task.ID)
	c.queuedCount[o.class]--
	c.queuedShortDemand = c.queuedShortDemand.Sub(o.shortDemand)
	o.queue.remove(o)
	if o.dueIndex >= 0 {
		heap.Remove(&c.due, o.dueIndex)
	}
	c.removeReservation(o.Task.ID)
}

// moveOverdue moves offers whose latest start time has come to the queue that precedes all but urgent work. Callers hold
// c.mu.
func (c *Core) moveOverdue(now time.Time) {
	for len(c.due) > 0 && !c.due[0].Task.LatestStart.After(now) {
		o := heap.Pop(&c.due).(*queuedOffer)
		o.queue.remove(o)
		c.push(o, c.queues[overdueQueue], c.effectiveDemand(o.Task))
	}
}

// decide reserves capacity for queued offers until nothing more fits. Urgent work precedes reservations. Callers hold
// c.mu.
func (c *Core) decide(now time.Time) []Effect {
	c.updateShortReserve(now)
	c.moveOverdue(now)
	var effects []Effect
	urgent := c.queues[model.ClassUrgent]
	c.recheckBlocked(urgent)
	for len(urgent.active) > 0 && c.hasFreeSlot() {
		effects = c.tryNext(now, urgent, effects)
	}
	effects = c.serveReservations(now, effects)
	for _, q := range c.queues {
		c.recheckBlocked(q)
	}
	for q := c.nextQueue(); q != nil && c.hasFreeSlot(); q = c.nextQueue() {
		effects = c.tryNext(now, q, effects)
	}
	return c.displaceForOffers(now, effects)
}

// hasFreeSlot reports whether any worker has a free slot. Without one no offer is looked at, so that the decisions of a full
// rack do not depend on the length of its queues. Callers hold c.mu.
func (c *Core) hasFreeSlot() bool {
	for _, p := range c.pools {
		if p.nonEmpty != 0 {
			return true
		}
	}
	return len(c.workerReservationList) > 0
}

// tryNext places the first offer of the team with the smallest share, or parks its group. Callers hold c.mu.
func (c *Core) tryNext(now time.Time, q *classQueue, effects []Effect) []Effect {
	g := q.active[0].oldestGroup()
	o := g.head()
	demand := c.effectiveDemand(o.Task)
	limit := c.offerLimitReason(o, demand)
	if limit == ReasonNone {
		if w, reason := c.place(now, o.Task, demand); w != nil {
			return append(effects, c.claim(now, o, w, reason))
		}
	}
	q.block(g, c.waitReason(o.Task.ID, limit, demand))
	return effects
}

// offerLimitReason is limited for an offer; work past its latest start has no limit. Callers hold c.mu.
func (c *Core) offerLimitReason(o *queuedOffer, demand model.Resources) ReasonCode {
	if o.queue == c.queues[overdueQueue] {
		return ReasonNone
	}
	return c.limitReason(o.class, demand)
}

// claim reserves a worker for an offer and asks for the right to start it. Callers hold c.mu.
func (c *Core) claim(now time.Time, o *queuedOffer, w *workerState, reason Reason) Effect {
	class := o.class
	c.dequeue(o)
	c.reserveCapacity(now, w, o.Task, class, reason)
	return ClaimTask{Task: o.Task, Reason: reason}
}

// waitReason tells apart why a task is not placed. Callers hold c.mu.
func (c *Core) waitReason(id model.TaskID, limit ReasonCode, demand model.Resources) Reason {
	r := Reason{Code: ReasonNoCapacity, Demand: demand}
	switch {
	case c.workerReservations[id] != nil:
		r.Code, r.Worker = ReasonDisplacing, c.workerReservations[id].worker.member.ID
	case !demand.Fits(c.largestCapacityFor(demand)):
		r.Code = ReasonTooLarge
	case limit != ReasonNone:
		r.Code = limit
	}
	return r
}

// largestCapacityFor returns the largest worker capacity with the accelerator type of a demand. Callers hold c.mu.
func (c *Core) largestCapacityFor(demand model.Resources) model.Resources {
	capacity := c.largestCapacity
	if demand.Accelerators > 0 {
		capacity.AcceleratorType = demand.AcceleratorType
	}
	return capacity
}

// nextQueue returns the queue to serve next, or nil: urgent work, work past its latest start, short work, and then the
// class with the smallest weighted share. Callers hold c.mu.
func (c *Core) nextQueue() *classQueue {
	for _, i := range [...]int{int(model.ClassUrgent), overdueQueue, int(model.ClassShort)} {
		if len(c.queues[i].active) > 0 {
			return c.queues[i]
		}
	}
	var next *classQueue
	leastShare := 0.0
	for class := model.ClassService; class < model.NumClasses; class++ {
		q := c.queues[class]
		if len(q.active) == 0 {
			continue
		}
		if s := q.used.DominantShare(c.totalCapacity) / c.policy.Classes[class].Weight; next == nil || s < leastShare {
			next, leastShare = q, s
		}
	}
	return next
}

// recheckBlocked tries a bounded number of blocked groups of a queue again after capacity was released. The rest is left
// for the next decision. Callers hold c.mu.
func (c *Core) recheckBlocked(q *classQueue) {
	if !c.hasFreeSlot() {
		return
	}
	unblocked := 0
	for n := min(q.recheck, c.policy.WakeLimit); n > 0 && q.recheck > 0 && unblocked < maxUnblockedGroups; n-- {
		q.recheck--
		e := q.blocked.Front()
		g := e.Value.(*offerGroup)
		o := g.head()
		demand := g.blockedReason.Demand
		if (c.fitsAnyWorker(demand) || c.canBackfill(o)) && c.offerLimitReason(o, demand) == ReasonNone {
			q.unblock(g)
			unblocked++
			continue
		}
		q.blocked.MoveToBack(e)
	}
}

// refreshBlockedDemands brings the demands of blocked groups up to date with what was observed of their jobs since they were
// parked, for those that are tried next. Callers hold c.mu.
func (c *Core) refreshBlockedDemands() {
	for _, q := range c.queues {
		n := 0
		for e := q.blocked.Front(); e != nil && n < c.policy.WakeLimit; e = e.Next() {
			g := e.Value.(*offerGroup)
			g.blockedReason.Demand = c.effectiveDemand(g.head().Task)
			n++
		}
	}
}
