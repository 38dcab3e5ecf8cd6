package cell

import "time"

const (
	// waitLogDelay is how long a gang has waited before its wait is logged.
	waitLogDelay = 4 * time.Second
	// waitLogInterval is the time between log entries about the wait of one gang.
	waitLogInterval = 3 * time.Second
)

// logWaitingGangs logs now and then what the gangs that have not started for long wait for.
func (c *Core) logWaitingGangs() {
	for _, s := range c.ready.ranked {
		if !s.spec.Gang || s.spec.LongRunning || c.now < s.readyAt+waitLogDelay || c.now < s.nextWaitLogAt {
			continue
		}
		s.nextWaitLogAt = c.now + waitLogInterval
		c.logDecision("gang_waiting", s.job.id, c.waitOf(s))
	}
}

// waitOf describes the state of a gang that waits. plan_in_ms is the time until its plan is ready, and pause_ms the time until
// capacity may be reserved for it again.
func (c *Core) waitOf(s *step) map[string]any {
	fields := map[string]any{
		"step": s.name, "waited_ms": (c.now - s.readyAt).Milliseconds(), "turn": s.turn.String(),
		"tasks": len(s.tasks), "waiting": len(s.waiting), "cpu_milli": s.spec.TaskDemand.CPUMilli,
		"openings_soon": s.openingsSoon, "openings": s.openingsTotal,
		"reserved_ms": s.reservationAge.reserved.Milliseconds(),
		"approved":    len(s.advice.approved), "rejected": len(s.advice.rejected), "asking": len(s.advice.pending),
	}
	if s.plan != nil {
		fields["plan_in_ms"] = (s.plan.readyAt - c.now).Milliseconds()
	}
	if s.reservationAge.paused(c.now) {
		fields["pause_ms"] = (s.reservationAge.pausedUntil - c.now).Milliseconds()
	}
	return fields
}
