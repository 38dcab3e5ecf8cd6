package rack

import (
	"container/heap"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// dueQueue is the queue of work whose latest start time has come.
const dueQueue = int(model.NumClasses)

// queueClass returns the class in which a task is queued: its own, or a longer one if its job was seen to run longer.
// Urgent work keeps its class. Callers hold c.mu.
func (c *Core) queueClass(task model.Task) model.Class {
	class := min(task.Class, model.NumClasses-1)
	if class == model.ClassUrgent {
		return class
	}
	if j := c.jobs.get(task.Intent); j != nil {
		return c.policy.lengthen(class, j.runTime)
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
		if q.group.parked != nil {
			q.queue.unpark(q.group)
		}
		return true
	}
	class := c.queueClass(o.Task)
	if c.queued[class] >= c.policy.Classes[class].QueueLimit {
		return false
	}
	q := &queuedOffer{Offer: o, since: now, class: class, dueIndex: -1}
	c.offers[o.Task.ID] = q
	c.queued[class]++
	demand := c.demandOf(o.Task)
	if class <= model.ClassShort && demand.Fits(c.largestOf(demand)) {
		q.demand = demand
		c.shortQueued = c.shortQueued.Add(demand)
	}
	c.push(q, c.queues[class], demand)
	c.profile.learn(c.shares(demand), c.sequence)
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
	c.queued[o.class]--
	c.shortQueued = c.shortQueued.Sub(o.demand)
	o.queue.remove(o)
	if o.dueIndex >= 0 {
		heap.Remove(&c.due, o.dueIndex)
	}
	c.dropReservation(o.Task.ID)
}

// raiseDue moves offers whose latest start time has come to the queue that precedes all but urgent work. Callers hold
// c.mu.
func (c *Core) raiseDue(now time.Time) {
	for len(c.due) > 0 && !c.due[0].Task.LatestStart.After(now) {
		o := heap.Pop(&c.due).(*queuedOffer)
		o.queue.remove(o)
		c.push(o, c.queues[dueQueue], c.demandOf(o.Task))
	}
}

// decide reserves capacity for queued offers until nothing more fits. Urgent work precedes reservations. Callers hold
// c.mu.
func (c *Core) decide(now time.Time) []Effect {
	c.updateShare(now)
	c.raiseDue(now)
	var effects []Effect
	urgent := c.queues[model.ClassUrgent]
	c.recheckParked(urgent)
	for len(urgent.active) > 0 {
		effects = c.tryNext(now, urgent, effects)
	}
	effects = c.serveReservations(now, effects)
	for _, q := range c.queues {
		c.recheckParked(q)
	}
	for q := c.nextQueue(); q != nil; q = c.nextQueue() {
		effects = c.tryNext(now, q, effects)
	}
	return effects
}

// tryNext places the first offer of the team with the smallest share, or parks its group. Callers hold c.mu.
func (c *Core) tryNext(now time.Time, q *classQueue, effects []Effect) []Effect {
	g := q.active[0].next()
	o := g.head()
	demand := c.demandOf(o.Task)
	limit := c.offerLimited(o, demand)
	if limit == ReasonNone {
		if w, reason := c.place(now, o.Task, demand); w != nil {
			return append(effects, c.claim(now, o, w, reason))
		}
	}
	effects = c.displace(now, o.Task, demand, o.Victims, effects)
	q.park(g, c.waitReason(o.Task.ID, limit, demand))
	return effects
}

// offerLimited is limited for an offer; work past its latest start has no limit. Callers hold c.mu.
func (c *Core) offerLimited(o *queuedOffer, demand model.Resources) ReasonCode {
	if o.queue == c.queues[dueQueue] {
		return ReasonNone
	}
	return c.limited(o.class, demand)
}

// claim reserves a worker for an offer and asks for the right to start it. Callers hold c.mu.
func (c *Core) claim(now time.Time, o *queuedOffer, w *workerState, reason Reason) Effect {
	class := o.class
	c.dequeue(o)
	c.reserve(now, w, o.Task, class, reason)
	return ClaimTask{Task: o.Task, Reason: reason}
}

// waitReason tells apart why a task is not placed. Callers hold c.mu.
func (c *Core) waitReason(id model.TaskID, limit ReasonCode, demand model.Resources) Reason {
	r := Reason{Code: ReasonNoRoom, Demand: demand}
	switch {
	case c.reservations[id] != nil:
		r.Code, r.Worker = ReasonDisplacing, c.reservations[id].worker.member.ID
	case !demand.Fits(c.largestOf(demand)):
		r.Code = ReasonTooLarge
	case limit != ReasonNone:
		r.Code = limit
	}
	return r
}

// largestOf returns the largest worker capacity with the accelerator type of a demand. Callers hold c.mu.
func (c *Core) largestOf(demand model.Resources) model.Resources {
	most := c.largestWorker
	if demand.Accelerators > 0 {
		most.AcceleratorType = demand.AcceleratorType
	}
	return most
}

// nextQueue returns the queue to serve next, or nil: urgent work, work past its latest start, short work, and then the
// class with the smallest weighted share. Callers hold c.mu.
func (c *Core) nextQueue() *classQueue {
	for _, i := range [...]int{int(model.ClassUrgent), dueQueue, int(model.ClassShort)} {
		if len(c.queues[i].active) > 0 {
			return c.queues[i]
		}
	}
	var next *classQueue
	least := 0.0
	for class := model.ClassService; class < model.NumClasses; class++ {
		q := c.queues[class]
		if len(q.active) == 0 {
			continue
		}
		if s := q.used.DominantShare(c.total) / c.policy.Classes[class].Weight; next == nil || s < least {
			next, least = q, s
		}
	}
	return next
}

// recheckParked tries a bounded number of blocked groups of a queue again after capacity was released. The rest is left
// for the next decision. Callers hold c.mu.
func (c *Core) recheckParked(q *classQueue) {
	for n := min(q.recheck, c.policy.WakeLimit); n > 0 && q.recheck > 0; n-- {
		q.recheck--
		e := q.parked.Front()
		g := e.Value.(*group)
		o := g.head()
		demand := c.demandOf(o.Task)
		if c.offerLimited(o, demand) == ReasonNone && (c.fitsAny(demand) || c.canBackfill(o)) {
			q.unpark(g)
			continue
		}
		q.parked.MoveToBack(e)
	}
}
