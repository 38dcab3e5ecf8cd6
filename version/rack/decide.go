package rack

import (
	"container/heap"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// overdueQueue is the index of the queue of offers whose latest start time has come.
const overdueQueue = int(model.NumClasses)

// maxUnblockedGroups bounds the blocked groups of one queue that compete for released capacity in one decision. The
// groups that do not get it have to be blocked again, which costs more than the placement; among eight groups, the
// smallest team share is close to the smallest of all teams.
const maxUnblockedGroups = 8

// queueClass returns the class in which a task is queued: its own, or a longer one if its job was observed to run
// longer. Urgent work keeps its class. Callers hold c.mu.
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

// enqueue adds an offer to the queue of its class. A repeated offer keeps its position and gets the new epoch and
// victims. enqueue returns false if the queue is full. Callers hold c.mu.
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

// push appends an offer to a queue under the next sequence number. Callers hold c.mu.
func (c *Core) push(o *queuedOffer, q *classQueue, demand model.Resources) {
	c.sequence++
	o.sequence = c.sequence
	q.add(o, demand, &c.policy)
}

// dequeue removes an offer from its queue, and the worker reservation for it, without a scan of the queue. Callers hold
// c.mu.
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

// moveOverdue moves offers whose latest start time has come to the overdue queue, which precedes all but urgent work.
// Callers hold c.mu.
func (c *Core) moveOverdue(now time.Time) {
	for len(c.due) > 0 && !c.due[0].Task.LatestStart.After(now) {
		o := heap.Pop(&c.due).(*queuedOffer)
		o.queue.remove(o)
		c.push(o, c.queues[overdueQueue], c.effectiveDemand(o.Task))
	}
}

// decide places queued offers until nothing more fits. Urgent work precedes worker reservations. Callers hold c.mu.
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

// hasFreeSlot reports whether a worker in the index has a free slot or any worker is reserved. Otherwise no offer is
// examined, so that the cost of a decision in a full rack does not depend on the length of its queues. Callers hold
// c.mu.
func (c *Core) hasFreeSlot() bool {
	for _, p := range c.pools {
		if p.nonEmpty != 0 {
			return true
		}
	}
	return len(c.workerReservationList) > 0
}

// tryNext places the first offer of the team with the smallest weighted share, or blocks the group of that offer.
// Callers hold c.mu.
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

// offerLimitReason returns the limit that applies to an offer; offers past their latest start time have none. Callers
// hold c.mu.
func (c *Core) offerLimitReason(o *queuedOffer, demand model.Resources) ReasonCode {
	if o.queue == c.queues[overdueQueue] {
		return ReasonNone
	}
	return c.limitReason(o.class, demand)
}

// claim reserves capacity of a worker for an offer and requests the right to start it. Callers hold c.mu.
func (c *Core) claim(now time.Time, o *queuedOffer, w *workerState, reason Reason) Effect {
	class := o.class
	c.dequeue(o)
	c.reserveCapacity(now, w, o.Task, class, reason)
	return ClaimTask{Task: o.Task, Reason: reason}
}

// waitReason returns why a task is not placed. Callers hold c.mu.
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

// largestCapacityFor returns the largest worker capacity, under the accelerator type of a demand. Callers hold c.mu.
func (c *Core) largestCapacityFor(demand model.Resources) model.Resources {
	capacity := c.largestCapacity
	if demand.Accelerators > 0 {
		capacity.AcceleratorType = demand.AcceleratorType
	}
	return capacity
}

// nextQueue returns the queue to serve next, or nil: urgent work, offers past their latest start time, short work, and
// then the class with the smallest weighted share. Callers hold c.mu.
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

// recheckBlocked unblocks groups of a queue that may fit after capacity was released. It examines a bounded number of
// groups and leaves the others to the next decision. Callers hold c.mu.
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

// refreshBlockedDemands recomputes the demands of the blocked groups that are examined next, since usage of their jobs
// may have been observed after they were blocked. Callers hold c.mu.
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
