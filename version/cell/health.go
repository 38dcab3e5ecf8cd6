package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// health is what the ends of runs say about a worker.
type health struct {
	// unresponsive says that the last poll had no answer.
	unresponsive bool
	// missedPolls counts the polls in a row that had no answer.
	missedPolls int
	// failedJobsInARow counts jobs that failed here in a row and failed nowhere else.
	failedJobsInARow int
	lastFailedJob    job.ID
	suspectUntil     Instant
	suspectDuration  time.Duration
}

const (
	// suspectFailedJobs is how many jobs in a row must fail on a worker before it is avoided.
	suspectFailedJobs = 2
	// minSuspectDuration and suspectPauseMax bound how long a suspect worker is avoided.
	minSuspectDuration = 4 * time.Second
	maxSuspectDuration = 16 * time.Second
)

func (h *health) recordSuccess() {
	h.failedJobsInARow = 0
	h.suspectDuration = 0
}

// recordFailure counts a failure against a worker. A task that fails on a second worker is at fault itself, which clears the first.
func (c *Core) recordFailure(t *task, w *worker) {
	if t.firstFailedOn != nil && t.firstFailedOn != w {
		t.firstFailedOn.health.failedJobsInARow = max(0, t.firstFailedOn.health.failedJobsInARow-1)
		return
	}
	t.firstFailedOn = w
	h := &w.health
	if h.lastFailedJob == t.step.job.id && h.failedJobsInARow > 0 {
		return
	}
	h.lastFailedJob = t.step.job.id
	h.failedJobsInARow++
	if h.failedJobsInARow < suspectFailedJobs {
		return
	}
	h.suspectDuration = min(max(2*h.suspectDuration, minSuspectDuration), maxSuspectDuration)
	h.suspectUntil = c.now + h.suspectDuration
	c.logDecision("worker_suspected", t.step.job.id, map[string]any{
		"worker": w.info.ID, "jobs_in_a_row": h.failedJobsInARow, "pause_ms": h.suspectDuration.Milliseconds(),
	})
}

const (
	// slowRunFactor is how many times its expected duration a run must have taken for a copy to start beside it.
	slowRunFactor = 1.7
	// slowRunSlack is added for tasks that are short.
	slowRunSlack = 150 * time.Millisecond
)

// queueSpeculativeRuns lets a second run of a task start where copies are permitted and the first one is slow or its worker silent.
func (c *Core) queueSpeculativeRuns(w *worker) {
	for _, r := range w.runs {
		t := r.task
		s := t.step
		if !s.spec.Speculative || s.spec.Lasting || t.done || t.waiting || len(t.runs) > 1 || s.job.state.Terminal() {
			continue
		}
		slow := c.now > r.createdAt+time.Duration(slowRunFactor*float64(s.estimatedDuration()))+slowRunSlack
		if r.phase == phaseStopping || (!slow && w.health.missedPolls < missedPollsToBlock) {
			continue
		}
		c.logDecision("copy_wanted", s.job.id, map[string]any{
			"task": t.name, "worker": w.info.ID, "percent": r.progressPercent, "silent_polls": w.health.missedPolls, "after_ms": (c.now - r.createdAt).Milliseconds(),
		})
		t.avoidedWorkers[w.info.ID] = struct{}{}
		t.waiting = true
		t.waitingSince = c.now
		s.waiting = append(s.waiting, t)
		c.readySteps[s] = struct{}{}
	}
}

const (
	// stallTimeout is how long the progress of a sound task may stand still: several times its slowest observed step.
	stallTimeout = 1500 * time.Millisecond
	// gangStallTimeout allows for members that wait for each other.
	gangStallTimeout = 4500 * time.Millisecond
	// stallEstimateFraction is the share of the estimate for which progress may stand still.
	stallEstimateFraction = 0.3
	// maxProgressAge is how recent the progress must be to judge it.
	maxProgressAge = 1300 * time.Millisecond
)

// stopStalledRuns moves tasks that stand still while the worker answers.
func (c *Core) stopStalledRuns(w *worker) {
	if c.now > w.clockReceivedAt+maxProgressAge {
		return
	}
	for _, r := range w.runs {
		if r.phase == phaseRunning && c.isStalled(r) {
			c.logDecision("run_stalled", r.task.step.job.id, map[string]any{
				"task": r.task.name, "run": r.number, "worker": w.info.ID, "percent": r.progressPercent,
				"still_ms": (c.now - r.progressedAt).Milliseconds(),
			})
			c.recordFailure(r.task, w)
			r.task.avoidedWorkers[w.info.ID] = struct{}{}
			c.stopRun(r, "no progress")
		}
	}
}

// isStalled reports whether a run makes no progress although nothing holds it back.
func (c *Core) isStalled(r *run) bool {
	s := r.task.step
	if r.percent < 100 || s.spec.BestEffort || r.progressPercent >= 100 {
		return false
	}
	limit := max(stallTimeout, time.Duration(stallEstimateFraction*float64(s.estimatedDuration())))
	if s.spec.Gang {
		limit = max(limit, gangStallTimeout)
	}
	return c.now > r.progressedAt+limit
}

// stopRunsBeforeDeparture prepares for a worker that leaves: tasks that last start elsewhere at once, others only if they would not end in
// time.
func (c *Core) stopRunsBeforeDeparture(w *worker) {
	for _, r := range w.runs {
		if r.phase != phaseRunning {
			continue
		}
		if r.task.step.spec.Lasting || c.now+c.remainingDuration(r) > w.departsAt {
			c.stopRun(r, "worker is leaving")
		}
	}
}

// remainingDuration estimates how long a run still takes, from its progress if there is enough of it.
func (c *Core) remainingDuration(r *run) time.Duration {
	elapsed := c.now - r.createdAt
	if r.progressPercent >= minExtrapolationPercent {
		return time.Duration(float64(elapsed) * float64(100-r.progressPercent) / float64(r.progressPercent))
	}
	return max(0, r.task.step.estimatedDuration()-elapsed)
}

// minExtrapolationPercent is the least progress from which a duration is extrapolated.
const minExtrapolationPercent = 5
