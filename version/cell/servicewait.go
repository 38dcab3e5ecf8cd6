package cell

import "time"

const (
	// serviceWaitLogDelay is how long a service task waits before its wait is logged. Workers that are lost keep theirs for a lease.
	serviceWaitLogDelay = 5 * time.Second
	// serviceWaitLogInterval is the time between log entries about the wait of the service tasks of one step.
	serviceWaitLogInterval = 3 * time.Second
)

// logWaitingServices logs now and then why service tasks that have waited for long do not start.
func (c *Core) logWaitingServices() {
	for _, s := range c.ready.ranked {
		if !s.spec.LongRunning || c.now < s.nextWaitLogAt {
			continue
		}
		t := s.longestWaiting()
		if t == nil || c.now < t.waitingSince+serviceWaitLogDelay {
			continue
		}
		s.nextWaitLogAt = c.now + serviceWaitLogInterval
		c.logDecision("service_waiting", s.job.id, c.serviceWait(s, t))
		// The description examines every worker, so that the others wait for the next sweep.
		return
	}
}

// serviceWait describes why a service task does not start.
func (c *Core) serviceWait(s *step, t *task) map[string]any {
	workers, suspectWithCapacity := c.workersFor(s, t)
	return map[string]any{
		"task": t.name, "waited_ms": (c.now - t.waitingSince).Milliseconds(), "waiting": len(s.waiting), "run": t.lastRunNumber,
		"unsent_starts": t.unsentStarts, "unsent_reason": t.unsentReason,
		"unread_workers": len(c.inventoryPending), "awaits_recovery": c.awaitsRecovery(s), "paused_ms": max(0, t.pausedUntil-c.now).Milliseconds(),
		"crashes": t.crashes.total(), "team_allows": min(c.teamCapacity(s), s.spec.Count), "turn": s.turn.String(), "planned": s.plan != nil,
		"workers": workers, "suspect_with_capacity": suspectWithCapacity, "asking": len(s.advice.pending),
	}
}

// workersFor returns the number of workers by what keeps a waiting task from them, and how many of the suspect ones have free capacity for it.
func (c *Core) workersFor(s *step, t *task) (byReason map[string]int, suspectWithCapacity int) {
	byReason = map[string]int{}
	for _, w := range c.workers {
		reason := c.reasonAgainst(w, s, t)
		byReason[reason]++
		if reason == obstacleSuspect.String() && c.capacityFor(w, s) > 0 {
			suspectWithCapacity++
		}
	}
	return byReason, suspectWithCapacity
}

// reasonAgainst returns why a waiting task does not start on a worker; "startable" if only a scheduling round is missing.
func (c *Core) reasonAgainst(w *worker, s *step, t *task) string {
	ticket, approved := s.advice.approved[w.info.ID]
	switch o := c.obstacleOn(w, s); {
	case o != noObstacle:
		return o.String()
	case !c.mayUse(w, t) || c.risksAttempt(w, t):
		return "avoided"
	case !c.mayShare(w, t):
		return "isolated"
	case s.advice.isRejected(w.info.ID):
		return "rejected"
	case c.capacityFor(w, s) == 0:
		return obstacleFull
	case s.job.queue.Advice == nil || ticket.isValid(c.now):
		return "startable"
	case s.advice.isPending(w.info.ID):
		return "asked"
	case approved:
		return "ticket_expired"
	default:
		return "not_asked"
	}
}

// longestWaiting returns the task of a step that has waited longest, or nil.
func (s *step) longestWaiting() *task {
	var longest *task
	for _, t := range s.waiting {
		if longest == nil || t.waitingSince < longest.waitingSince {
			longest = t
		}
	}
	return longest
}
