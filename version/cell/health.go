package cell

import (
	"time"
)

// health summarizes the polls of a worker.
type health struct {
	// unresponsive means that the last poll was not answered.
	unresponsive bool
	// missedPolls counts consecutive unanswered polls.
	missedPolls int
	suspicion   suspicion
}

const (
	// slowRunFactor is the multiple of its estimated duration after which a run is slow and a speculative copy may
	// start.
	slowRunFactor = 1.7
	// slowRunSlack is added so that short tasks are not considered slow too early.
	slowRunSlack = 150 * time.Millisecond
)

// queueSpeculativeRun queues a second run of a task that permits speculative copies if its only run is slow or on a worker that has missed at
// least missedPollsToBlock polls in a row. A task with crashes gets none: the copy could crash another worker.
func (c *Core) queueSpeculativeRun(r *run) {
	t, w := r.task, r.worker
	s := t.step
	if !s.spec.Speculative || s.spec.LongRunning || t.done || t.waiting || len(t.runs) > 1 || s.job.state.Terminal() || t.crashes.total() > 0 {
		return
	}
	slow := c.now > r.createdAt+time.Duration(slowRunFactor*float64(s.estimatedDuration()))+slowRunSlack
	if r.phase == phaseStopping || (!slow && w.health.missedPolls < missedPollsToBlock) {
		return
	}
	c.logDecision("copy_wanted", s.job.id, map[string]any{
		"task": t.name, "worker": w.info.ID, "percent": r.progressPercent,
		"silent_polls": w.health.missedPolls, "after_ms": (c.now - r.createdAt).Milliseconds(),
	})
	t.avoidedWorkers.add(w, c.now)
	c.enqueue(t)
}

const (
	// stallTimeout is how long the progress of a healthy task may stay unchanged: several times its slowest observed
	// step.
	stallTimeout = 1500 * time.Millisecond
	// gangStallTimeout allows for gang members that wait for each other.
	gangStallTimeout = 4500 * time.Millisecond
	// stallEstimateFraction is the fraction of a task's estimated duration for which its progress may stay unchanged.
	stallEstimateFraction = 0.3
	// maxProgressAge is the age up to which a progress report is recent enough to detect a stall.
	maxProgressAge = 1300 * time.Millisecond
)

// stopIfStalled stops a run that makes no progress although the worker reports it, so that its task starts elsewhere. The answer to another
// command says nothing about its progress.
func (c *Core) stopIfStalled(r *run) {
	recent := r.reportedAt != 0 && c.now <= r.reportedAt+maxProgressAge
	if !recent || !c.isStalled(r) {
		return
	}
	c.logDecision("run_stalled", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "percent": r.progressPercent,
		"still_ms": (c.now - r.progressedAt).Milliseconds(),
	})
	c.recordFailure(r.task, r, r.worker)
	r.task.avoidedWorkers.add(r.worker, c.now)
	c.stopRun(r, "no progress")
}

// isStalled reports whether a run has made no progress for longer than its limit. Throttled runs, best-effort runs and
// runs at 100 percent are never considered stalled.
func (c *Core) isStalled(r *run) bool {
	s := r.task.step
	if r.throttlePercent < 100 || s.spec.BestEffort || r.progressPercent >= 100 {
		return false
	}
	limit := max(stallTimeout, time.Duration(stallEstimateFraction*float64(s.estimatedDuration())))
	if s.spec.Gang {
		limit = max(limit, gangStallTimeout)
	}
	return c.now > r.progressedAt+limit
}

// stopRunsBeforeDeparture prepares for the departure of a draining worker: service tasks are stopped at once to start
// elsewhere, other tasks only if they would not finish in time.
func (c *Core) stopRunsBeforeDeparture(w *worker) {
	for _, r := range w.runs {
		if r.phase != phaseRunning {
			continue
		}
		if r.task.step.spec.LongRunning || c.now+c.remainingDuration(r) > w.departsAt {
			c.stopRun(r, "worker is draining")
		}
	}
}

// remainingDuration estimates how long a run still takes, from its estimated duration until its progress since the first
// report suffices to extrapolate. The progress is that of the last report, which may be a second old.
func (c *Core) remainingDuration(r *run) time.Duration {
	if r.firstReportAt == 0 {
		return afterEstimate(r.task.step.estimatedDuration() - (c.now - r.createdAt))
	}
	perPercent := r.task.step.estimatedDuration() / 100
	if progressed := r.progressPercent - r.firstPercent; progressed >= minExtrapolationPercent {
		perPercent = (r.progressedAt - r.firstReportAt) / time.Duration(progressed)
	}
	return afterEstimate(perPercent*time.Duration(100-r.progressPercent) - (c.now - r.progressedAt))
}

// afterEstimate returns the remaining duration of a run that was expected to take remaining longer. A run that has passed its
// estimate is expected to take as long again as it is late: it may hang.
func afterEstimate(remaining time.Duration) time.Duration { return max(remaining, -remaining) }

// minExtrapolationPercent is the lowest progress between two reports from which the remaining duration is extrapolated.
const minExtrapolationPercent = 5
