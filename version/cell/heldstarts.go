package cell

import (
	"slices"
	"time"
)

// An acknowledgement names numbers of one boot, and a poll names the worker and not its boot. If the worker restarts while a poll with an
// acknowledgement is on its way, the next boot may execute and end a start before the poll arrives, and then forgets a completion that
// nobody has read. So a start is not sent to a worker while such a poll is unanswered. These polls do not wait for completions, and are
// answered within milliseconds.

// recordAckPoll records that a poll with an acknowledgement is sent.
func (w *worker) recordAckPoll(sentAt Instant) { w.ackPolls = append(w.ackPolls, sentAt) }

// endAckPoll records the outcome of a poll that was sent at sentAt, if it had an acknowledgement.
func (c *Core) endAckPoll(w *worker, sentAt Instant) {
	if i := slices.Index(w.ackPolls, sentAt); i >= 0 {
		w.ackPolls = slices.Delete(w.ackPolls, i, i+1)
		c.signalWake()
	}
}

// hasAckInFlight reports whether a poll with an acknowledgement may be on its way to the worker.
func (c *Core) hasAckInFlight(w *worker) bool {
	w.ackPolls = slices.DeleteFunc(w.ackPolls, func(sentAt Instant) bool { return c.now > sentAt+lateCallAllowance })
	return len(w.ackPolls) > 0
}

// mayDispatch reports whether no acknowledgement is on its way to the worker of a start, and a successor would learn of the start.
func (c *Core) mayDispatch(a *StartAction) bool {
	known := a.run.task.step.recordsStarts() || c.placements.gate.allows(a.placement)
	return known && !c.hasAckInFlight(a.run.worker)
}

// dispatchStart sends a start, or holds it until it may be sent.
func (c *Core) dispatchStart(a *StartAction) {
	if c.mayDispatch(a) {
		c.issueStart(a)
		return
	}
	a.run.held = true
	c.heldStarts = append(c.heldStarts, a)
}

// minLoggedHold is the shortest time for which a start is held that is logged. The replication of its placement takes less.
const minLoggedHold = 20 * time.Millisecond

// sendHeldStarts sends the starts that need not be held any longer.
func (c *Core) sendHeldStarts() {
	c.heldStarts = slices.DeleteFunc(c.heldStarts, func(a *StartAction) bool {
		r := a.run
		switch {
		case r.removed:
			return true
		case r.phase != phaseStarting:
			c.startFailed(r, "start no longer needed", nil)
			return true
		case !c.mayDispatch(a):
			return false
		}
		if held := c.now - r.createdAt; held >= minLoggedHold {
			c.logDecision("start_held", r.task.step.job.id, map[string]any{
				"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "held_us": held.Microseconds(),
			})
		}
		r.held, r.createdAt = false, c.now
		c.issueStart(a)
		return true
	})
}

// withdrawHeldStarts gives up the held starts of a worker whose process has ended. The worker has received none of them.
func (c *Core) withdrawHeldStarts(w *worker) {
	for _, r := range w.runs {
		if r.held {
			c.startFailed(r, "worker ended before the start was sent", nil)
		}
	}
}
