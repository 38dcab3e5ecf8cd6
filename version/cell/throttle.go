package cell

import "time"

const (
	// throttleRatio and resumeRatio are the shares of a latency objective above which best-effort tasks are slowed down and
	// below which they are sped up again.
	throttleRatio, resumeRatio = 0.85, 0.6
	// throttleStepPercent is by how many percent a throttled task is sped up at a time.
	throttleStepPercent = 25
	// throttleInterval is the least time between changes on one worker, so that the effect is seen first.
	throttleInterval = 400 * time.Millisecond
)

// protectLatency slows best-effort tasks down on a worker where a task is near or over its latency objective, and lets them
// go on when it is well below.
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
		percent := r.percent
		switch {
		case worstRatio > 1:
			percent = 0
		case worstRatio > throttleRatio:
			percent = r.percent / 2
		case worstRatio < resumeRatio && r.percent < 100:
			percent = min(100, r.percent+throttleStepPercent)
		}
		c.throttle(r, percent, worstRatio)
	}
}

func (c *Core) throttle(r *run, percent int, worstRatio float64) {
	if percent == r.percent {
		return
	}
	c.logDecision("run_throttled", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "from": r.percent, "to": percent, "latency_to_objective": worstRatio,
	})
	r.percent = percent
	r.progressedAt = c.now
	r.worker.throttledAt = c.now
	c.actions = append(c.actions, &ThrottleAction{r.command(c), percent, r})
}

// ThrottleResult enters the answer to a throttle. Without an answer the share is set again at the next poll.
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
	a.run.percent = unknownThrottlePercent
}

// unknownThrottlePercent differs from every share that is asked for, so that the next decision sends one again.
const unknownThrottlePercent = 99
