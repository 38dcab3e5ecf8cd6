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
	explained := c.explainStep(s, 0)
	return map[string]any{
		"task": t.name, "waited_ms": (c.now - t.waitingSince).Milliseconds(), "waiting": len(s.waiting), "run": t.lastRunNumber,
		"unread_workers": len(c.inventoryPending), "awaits_recovery": c.awaitsRecovery(s), "paused_ms": max(0, t.pausedUntil-c.now).Milliseconds(),
		"crashes": t.crashes.total(), "avoided": len(t.avoidedWorkers), "team_allows": explained.TeamAllows, "startable": explained.Startable,
		"obstacles": explained.Obstacles, "asking": len(s.advice.pending), "approved": len(s.advice.approved),
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
