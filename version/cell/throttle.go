package cell

import "time"

const (
	// throttleRatio and resumeRatio are ratios of latency to its objective. Best-effort tasks are slowed down above the
	// first and sped up again below the second.
	throttleRatio, resumeRatio = 0.85, 0.6
	// throttleStepPercent is by how many percentage points a throttled task is sped up at a time.
	throttleStepPercent = 25
	// throttleInterval is the shortest time between changes on one worker, so that the effect of a change is observed
	// first.
	throttleInterval = 400 * time.Millisecond
)

// protectLatency slows down best-effort tasks on a worker where a task is near or above its latency objective, and
// speeds them up again when the latency is well below it.
func (c *Core) protectLatency(w *worker) {
	if w.bestEffortCPUMilli == 0 || c.now < w.throttledAt+throttleInterval {
		return
	}
	worstRatio := 0.0
	for _, r := range w.runs {
		if target := r.task.step.spec.TargetMS; target > 0 && r.phase == phaseRunning {
			worstRatio = max(worstRatio, float64(r.load)/float64(target))
		}
	}
	for _, r := range w.runs {
		if !r.task.step.spec.BestEffort || r.phase != phaseRunning {
			continue
		}
		c.throttle(r, nextThrottle(r.throttlePercent, worstRatio), worstRatio)
	}
}

// nextThrottle returns the throttle that follows a present one at a ratio of latency to its objective. An unknown throttle counts as that
// of a paused run, which may be so, when the run is sped up, and is set to 0 when it is slowed down.
func nextThrottle(present int, ratio float64) int {
	switch {
	case ratio > 1:
		return 0
	case ratio > throttleRatio:
		return max(present, 0) / 2
	case ratio < resumeRatio && present < 100:
		return min(100, max(present, 0)+throttleStepPercent)
	default:
		return present
	}
}

func (c *Core) throttle(r *run, percent int, worstRatio float64) {
	if percent == r.throttlePercent {
		return
	}
	c.logDecision("run_throttled", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "from": r.throttlePercent, "to": percent,
		"latency_to_objective": worstRatio,
	})
	r.throttlePercent = percent
	r.progressedAt = c.now
	r.worker.throttledAt = c.now
	c.actions = append(c.actions, &ThrottleAction{r.command(c), percent, r})
}

// ThrottleResult records the outcome of a throttle command. If it failed, the next poll with a latency ratio outside
// the range from resumeRatio to throttleRatio sends a value again.
func (c *Core) ThrottleResult(a *ThrottleAction, err error, now Instant) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.logDecision("throttle_unanswered", a.run.task.step.job.id, map[string]any{
		"task": a.run.task.name, "run": a.run.number, "worker": a.run.worker.info.ID, "error": err.Error(),
	})
	a.run.throttlePercent = unknownThrottlePercent
}

// unknownThrottlePercent is the throttle of a run after a failed command, and of a run that a former leader may have throttled. It differs
// from all values that are requested, so that the next decision sends one.
const unknownThrottlePercent = -1
