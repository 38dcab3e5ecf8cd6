package rack

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Explain returns why a task waits or where it was placed, and what would let it run. The result is empty for unknown
// tasks.
func (c *Core) Explain(now time.Time, id model.TaskID) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tasks[id]; t != nil {
		return c.explainPlaced(now, t)
	}
	if o := c.offers[id]; o != nil {
		return c.explainQueued(now, o)
	}
	return nil
}

var phaseTexts = [...]string{
	phaseClaiming: "its start is being agreed with the owner of its intent",
	phaseStarting: "its start was sent to the worker",
	phaseUnknown:  "the worker's answer to its start was lost; the capacity stays taken until the worker shows whether it runs",
	phaseRunning:  "it runs",
	phaseReserved: "its capacity is held until its whole gang can start",
}

// explainPlaced describes the placement and the phase of a task. Callers hold c.mu.
func (c *Core) explainPlaced(now time.Time, t *taskState) []string {
	reasons := []string{
		t.reason.String(),
		fmt.Sprintf("%s on %s since %s, in class %s", phaseTexts[t.phase], t.worker, now.Sub(t.startedAt).Round(time.Millisecond), t.class),
	}
	if t.class != t.task.Class {
		reasons = append(reasons, fmt.Sprintf("it counts as %s instead of %s because of its run time", t.class, t.task.Class))
	}
	if t.stopping {
		reasons = append(reasons, "its stop was requested; the worker has not confirmed it")
	}
	return reasons
}

// explainQueued describes why a queued offer waits and what would let it run. Callers hold c.mu.
func (c *Core) explainQueued(now time.Time, o *queuedOffer) []string {
	reasons := []string{fmt.Sprintf("queued for %s in class %s", now.Sub(o.queuedAt).Round(time.Millisecond), o.class)}
	if o.queue == c.queues[overdueQueue] {
		reasons = append(reasons, "its latest start time has come, so only urgent work precedes it")
	}
	if head := o.group.head(); head != o {
		reasons = append(reasons, fmt.Sprintf("waits behind %s of the same team and size (%d queued)", head.Task.ID, o.group.offers.Len()))
	}
	reason := o.group.blockedReason
	if r := c.workerReservations[o.Task.ID]; r != nil && r.displacing {
		reason = Reason{Code: ReasonDisplacing, Worker: r.worker.member.ID}
	} else if reason.Code == ReasonNone && !c.hasFreeSlot() {
		demand := c.effectiveDemand(o.Task)
		reason = c.waitReason(o.Task.ID, c.offerLimitReason(o, demand), demand)
	}
	reasons = append(reasons, reason.String())
	if r := c.workerReservations[o.Task.ID]; r != nil {
		reasons = append(reasons, fmt.Sprintf("worker %s is reserved for it and should have room in %s",
			r.worker.member.ID, max(r.readyAt.Sub(now), 0).Round(time.Second)))
	}
	return append(reasons, c.remedy(reason))
}

// remedy returns what would let a task run that waits for a reason. Callers hold c.mu.
func (c *Core) remedy(r Reason) string {
	switch r.Code {
	case ReasonTooLarge:
		return fmt.Sprintf("it would run with at most %s, or in a rack with larger workers", describe(c.largestCapacity))
	case ReasonNoCapacity:
		return "it would run when tasks end on one worker that together free " + describe(r.Demand) + ", or with a smaller demand"
	case ReasonClassLimit:
		return "it would run when other tasks of its class end, or with a larger max_share of the class"
	case ReasonShortReserve:
		return "it would run when service, batch or long tasks end, or when less short work arrives"
	case ReasonDisplacing:
		return "it runs as soon as the worker has confirmed the stops"
	default:
		return "it is looked at with the next decision"
	}
}
