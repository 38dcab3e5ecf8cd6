package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// health is what the ends of runs say about a worker.
type health struct {
	// silent says that the last poll had no answer.
	silent bool
	// missed counts the polls in a row that had no answer.
	missed int
	// streak counts jobs that failed here in a row and failed nowhere else.
	streak       int
	lastJob      job.ID
	suspectUntil Instant
	pause        time.Duration
}

const (
	// suspectStreak is how many jobs in a row must fail on a worker before it is avoided.
	suspectStreak = 2
	// suspectPause and suspectPauseMax bound how long a suspect worker is avoided.
	suspectPause    = 4 * time.Second
	suspectPauseMax = 16 * time.Second
)

func (h *health) succeeded() {
	h.streak = 0
	h.pause = 0
}

// countFailure counts a failure against a worker. A task that fails on a second worker is at fault itself, which clears the first.
func (c *Core) countFailure(t *task, w *worker) {
	if t.failedOn != nil && t.failedOn != w {
		t.failedOn.health.streak = max(0, t.failedOn.health.streak-1)
		return
	}
	t.failedOn = w
	h := &w.health
	if h.lastJob == t.step.job.id && h.streak > 0 {
		return
	}
	h.lastJob = t.step.job.id
	h.streak++
	if h.streak < suspectStreak {
		return
	}
	h.pause = min(max(2*h.pause, suspectPause), suspectPauseMax)
	h.suspectUntil = c.now + h.pause
	c.note("worker_suspected", t.step.job.id, map[string]any{
		"worker": w.info.ID, "jobs_in_a_row": h.streak, "pause_ms": h.pause.Milliseconds(),
	})
}

const (
	// slowFactor is how many times its expected duration a run must have taken for a copy to start beside it.
	slowFactor = 1.7
	// slowSlack is added for tasks that are short.
	slowSlack = 150 * time.Millisecond
)

// startCopies lets a second run of a task start where copies are permitted and the first one is slow or its worker silent.
func (c *Core) startCopies(w *worker) {
	for _, r := range w.runs {
		t := r.task
		s := t.step
		if !s.spec.Speculative || s.spec.Lasting || t.done || t.waiting || len(t.runs) > 1 || s.job.state.Terminal() {
			continue
		}
		late := c.now > r.created+time.Duration(slowFactor*float64(s.estimate()))+slowSlack
		if r.phase == phaseStopping || (!late && w.health.missed < missesToBlock) {
			continue
		}
		c.note("copy_wanted", s.job.id, map[string]any{
			"task": t.name, "worker": w.info.ID, "percent": r.percent, "silent_polls": w.health.missed, "after_ms": (c.now - r.created).Milliseconds(),
		})
		t.avoid[w.info.ID] = struct{}{}
		t.waiting = true
		t.since = c.now
		s.waiting = append(s.waiting, t)
		c.ready[s] = struct{}{}
	}
}

const (
	// stallAfter is how long the progress of a sound task may stand still: several times its slowest observed step.
	stallAfter = 1500 * time.Millisecond
	// gangStallAfter allows for members that wait for each other.
	gangStallAfter = 4500 * time.Millisecond
	// stallShare is the share of the estimate for which progress may stand still.
	stallShare = 0.3
	// freshPoll is how recent the progress must be to judge it.
	freshPoll = 1300 * time.Millisecond
)

// checkRuns moves tasks that stand still while the worker answers.
func (c *Core) checkRuns(w *worker) {
	if c.now > w.clockAt+freshPoll {
		return
	}
	for _, r := range w.runs {
		if r.phase == phaseRunning && c.stalled(r) {
			c.note("run_stalled", r.task.step.job.id, map[string]any{
				"task": r.task.name, "run": r.number, "worker": w.info.ID, "percent": r.percent,
				"still_ms": (c.now - r.moved).Milliseconds(),
			})
			c.countFailure(r.task, w)
			r.task.avoid[w.info.ID] = struct{}{}
			c.stopRun(r, "no progress")
		}
	}
}

// stalled reports whether a run makes no progress although nothing holds it back.
func (c *Core) stalled(r *run) bool {
	s := r.task.step
	if r.share < 100 || s.spec.BestEffort || r.percent >= 100 {
		return false
	}
	limit := max(stallAfter, time.Duration(stallShare*float64(s.estimate())))
	if s.spec.Gang {
		limit = max(limit, gangStallAfter)
	}
	return c.now > r.moved+limit
}

// evacuate prepares for a worker that leaves: tasks that last start elsewhere at once, others only if they would not end in
// time.
func (c *Core) evacuate(w *worker) {
	for _, r := range w.runs {
		if r.phase != phaseRunning {
			continue
		}
		if r.task.step.spec.Lasting || c.now+c.remaining(r) > w.leaves {
			c.stopRun(r, "worker is leaving")
		}
	}
}

// remaining estimates how long a run still takes, from its progress if there is enough of it.
func (c *Core) remaining(r *run) time.Duration {
	elapsed := c.now - r.created
	if r.percent >= minPercent {
		return time.Duration(float64(elapsed) * float64(100-r.percent) / float64(r.percent))
	}
	return max(0, r.task.step.estimate()-elapsed)
}

// minPercent is the least progress from which a duration is extrapolated.
const minPercent = 5
