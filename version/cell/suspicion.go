package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// suspicion is what the failed runs on a worker tell about it. A worker on which several jobs have failed in a row is suspect: nothing starts there
// during a pause, then one trial run at a time, until a trial has passed or the trial phase ends. Failures of runs that were started before the
// pause belong to the series that has caused it, whenever they are read.
type suspicion struct {
	// failedJobsInARow counts consecutive jobs that failed on this worker and on no other.
	failedJobsInARow int
	lastFailedJob    job.ID
	// since is when the worker was last found to be suspect, and pausedUntil the end of the pause that follows.
	since, pausedUntil Instant
	// pause is the duration of the last pause; 0 after a success.
	pause time.Duration
}

const (
	// suspectFailedJobs is how many consecutive jobs must fail on a worker before it is suspect.
	suspectFailedJobs = 2
	// minSuspectPause and maxSuspectPause limit the pause of a suspect worker. It doubles each time that a run fails which was started after
	// the last pause, and begins anew if a trial fails that was started in it.
	minSuspectPause = 4 * time.Second
	maxSuspectPause = 16 * time.Second
	// trialPhase is how long after the pause a suspect worker gets one run at a time. It ends without a trial, since there may be nothing to start
	// but gangs, whose members do not start one by one.
	trialPhase = 4 * time.Second
	// minTrialRun is how long a run must work on a suspect worker to pass as a trial.
	minTrialRun = 2 * time.Second
	// crowdedTrialInterval is the time between the trials of a worker during its pause while too many workers are suspect, so that they do not use up
	// the attempts of jobs.
	crowdedTrialInterval = 2 * time.Second
	// serviceTrialDelay is how long a service task waits for another worker before it may be the trial of a suspect worker during its pause.
	serviceTrialDelay = 2 * time.Second
	// maxSuspectShare is the share of the workers of a service up to which suspect workers are left alone during their pauses. If more are
	// suspect, what made the runs fail is hardly a fault of single workers, and too few are left.
	maxSuspectShare = 0.5
	// suspectPenalty ranks every other worker before a suspect one.
	suspectPenalty = 2 * remoteRackPenalty
)

// isPausedAt reports whether the pause of a suspect worker has not ended.
func (p *suspicion) isPausedAt(now Instant) bool { return now < p.pausedUntil }

// isActiveAt reports whether the worker is suspect.
func (p *suspicion) isActiveAt(now Instant) bool {
	return p.pausedUntil != 0 && now < p.pausedUntil+trialPhase
}

// begin begins a pause, which is longer than the last one.
func (p *suspicion) begin(now Instant) {
	p.pause = min(max(2*p.pause, minSuspectPause), maxSuspectPause)
	p.restart(now)
}

// restart begins the pause anew.
func (p *suspicion) restart(now Instant) {
	p.since, p.pausedUntil = now, now+p.pause
}

// isTrial reports whether a run was started on a worker that was suspect by then.
func (p *suspicion) isTrial(r *run) bool {
	return r != nil && p.pausedUntil != 0 && r.createdAt > p.since
}

// recordSuccess ends a series of failures, and the suspicion if the run is a trial; r is nil if the run has ended before the ledger had it.
func (c *Core) recordSuccess(r *run, w *worker) {
	p := &w.health.suspicion
	p.failedJobsInARow, p.pause = 0, 0
	if !p.isTrial(r) {
		return
	}
	p.pausedUntil = 0
	c.logDecision("worker_cleared", r.task.step.job.id, map[string]any{
		"worker": w.info.ID, "suspect_ms": (c.now - p.since).Milliseconds(),
	})
	c.ready.capacityFreed(w)
}

// recordFailure counts a failure against a worker. r is nil if the run has ended before the ledger had it. If a task fails on a second worker, the
// task is at fault, which takes the failure back from the first worker; as a trial of a suspect worker it has not passed all the same.
func (c *Core) recordFailure(t *task, r *run, w *worker) {
	p := &w.health.suspicion
	if p.isTrial(r) && r.createdAt < p.pausedUntil && p.pause > 0 {
		p.restart(c.now)
		return
	}
	if p.isTrial(r) && p.isActiveAt(c.now) {
		c.suspect(t, w)
		return
	}
	if t.firstFailedOn != nil && t.firstFailedOn != w {
		first := &t.firstFailedOn.health.suspicion
		first.failedJobsInARow = max(0, first.failedJobsInARow-1)
		return
	}
	t.firstFailedOn = w
	if p.pause > 0 && !p.isTrial(r) || p.lastFailedJob == t.step.job.id && p.failedJobsInARow > 0 {
		return
	}
	p.lastFailedJob = t.step.job.id
	p.failedJobsInARow++
	if p.failedJobsInARow >= suspectFailedJobs {
		c.suspect(t, w)
	}
}

// suspect makes a worker suspect because of the failure of a task.
func (c *Core) suspect(t *task, w *worker) {
	p := &w.health.suspicion
	p.begin(c.now)
	c.logDecision("worker_suspected", t.step.job.id, map[string]any{
		"worker": w.info.ID, "jobs_in_a_row": p.failedJobsInARow, "pause_ms": p.pause.Milliseconds(),
	})
}

// passTrial ends the suspicion of a worker on which a trial has worked for long enough.
func (c *Core) passTrial(r *run) {
	p := &r.worker.health.suspicion
	if p.isTrial(r) && p.isActiveAt(c.now) && r.confirmedAt != 0 && c.now >= r.confirmedAt+minTrialRun {
		c.recordSuccess(r, r.worker)
	}
}

// hasTrial reports whether a trial has been started on a suspect worker and not ended.
func (w *worker) hasTrial() bool {
	for _, r := range w.runs {
		if w.health.suspicion.isTrial(r) {
			return true
		}
	}
	return false
}

// mayTry reports whether a task of a step may start on a worker as far as suspicion is concerned.
func (c *Core) mayTry(w *worker, s *step) bool {
	p := &w.health.suspicion
	if !p.isActiveAt(c.now) {
		return true
	}
	if p.isPausedAt(c.now) && !c.mayTryInPause(p, s) {
		return false
	}
	return !w.hasTrial()
}

// mayTryInPause reports whether a task of a step may be the trial of a worker in its pause.
func (c *Core) mayTryInPause(p *suspicion, s *step) bool {
	switch s.pauseTrials {
	case urgentTrials:
		return true
	case crowdedTrials:
		return c.now >= p.since+crowdedTrialInterval
	default:
		return false
	}
}

// limitTrials returns how many of a number of tasks may start on a worker: one if it is suspect.
func (c *Core) limitTrials(w *worker, tasks int) int {
	if w.health.suspicion.isActiveAt(c.now) {
		return min(tasks, 1)
	}
	return tasks
}

// pauseTrials says whether the tasks of a step may be trials of suspect workers during their pauses.
type pauseTrials uint8

const (
	noTrials pauseTrials = iota
	// crowdedTrials: too many workers of the service are suspect, so that each gets a trial now and then.
	crowdedTrials
	// urgentTrials: a service task has waited for serviceTrialDelay.
	urgentTrials
)

// updateTrials determines which steps may try suspect workers during their pauses.
func (c *Core) updateTrials() {
	crowded := c.crowdedBySuspects()
	for _, s := range c.ready.ranked {
		s.pauseTrials = noTrials
		if crowded[s.job.queue.Service] && !s.spec.Gang {
			s.pauseTrials = crowdedTrials
		}
		if !s.spec.LongRunning {
			continue
		}
		if t := s.longestWaiting(); t != nil && c.now >= t.waitingSince+serviceTrialDelay {
			s.pauseTrials = urgentTrials
		}
	}
}

// crowdedBySuspects returns the services of whose workers too many are suspect.
func (c *Core) crowdedBySuspects() map[string]bool {
	type counts struct{ listed, suspect int }
	services := map[string]counts{}
	for _, w := range c.workers {
		if !w.listed || w.info.Draining {
			continue
		}
		n := services[w.info.Service]
		n.listed++
		if w.health.suspicion.isActiveAt(c.now) {
			n.suspect++
		}
		services[w.info.Service] = n
	}
	crowded := map[string]bool{}
	for name, n := range services {
		crowded[name] = float64(n.suspect) > maxSuspectShare*float64(n.listed)
	}
	return crowded
}
