package cell

import "time"

const (
	// overShare and underShare are the shares of a latency objective above which best-effort tasks are slowed down and
	// below which they are sped up again.
	overShare, underShare = 0.85, 0.6
	// throttleStep is by how many percent a throttled task is sped up at a time.
	throttleStep = 25
	// throttleEvery is the least time between changes on one worker, so that the effect is seen first.
	throttleEvery = 400 * time.Millisecond
)

// protectTargets slows best-effort tasks down on a worker where a task is near or over its latency objective, and lets them
// go on when it is well below.
func (c *Core) protectTargets(w *worker) {
	if w.bestEffort == 0 || c.now < w.throttled+throttleEvery {
		return
	}
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.spec.TargetMS; target > 0 && r.phase == phaseRunning {
			worst = max(worst, float64(r.load)/float64(target))
		}
	}
	for _, r := range w.runs {
		if !r.task.step.spec.BestEffort || r.phase != phaseRunning {
			continue
		}
		share := r.share
		switch {
		case worst > 1:
			share = 0
		case worst > overShare:
			share = r.share / 2
		case worst < underShare && r.share < 100:
			share = min(100, r.share+throttleStep)
		}
		c.throttle(r, share, worst)
	}
}

func (c *Core) throttle(r *run, share int, worst float64) {
	if share == r.share {
		return
	}
	c.note("run_throttled", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "from": r.share, "to": share, "latency_to_objective": worst,
	})
	r.share = share
	r.moved = c.now
	r.worker.throttled = c.now
	c.actions = append(c.actions, &ThrottleAction{r.order(c), share, r})
}

// ThrottleResult enters the answer to a throttle. Without an answer the share is set again at the next poll.
func (c *Core) ThrottleResult(a *ThrottleAction, err error, now Instant) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.note("throttle_unanswered", a.run.task.step.job.id, map[string]any{
		"task": a.run.task.name, "run": a.run.number, "worker": a.run.worker.info.ID, "error": err.Error(),
	})
	a.run.share = unknownShare
}

// unknownShare differs from every share that is asked for, so that the next decision sends one again.
const unknownShare = 99
