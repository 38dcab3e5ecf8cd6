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
	// since is when the worker was last found to be suspect, and pausedUntil the end of the pause that follows; 0 if a trial has passed since.
	since, pausedUntil Instant
	// pause is the duration of the last pause; 0 after a success.
	pause time.Duration
	// trials counts the runs on the worker that were started since it was last found to be suspect.
	trials int
}

const (
	// suspectFailedJobs is how many consecutive jobs must fail on a worker before it is suspect.
	suspectFailedJobs = 2
	// minSuspectPause and maxSuspectPause limit the pause of a suspect worker. It doubles each time that a run fails which was started after
	// the last pause, and begins anew if a trial fails that was started in it.
	minSuspectPause = 4 * time.Second
	maxSuspectPause = 16 * time.Second
	// trialPhase is how long after the pause a suspect worker gets one run at a time. It ends without a trial, since there may be nothing to start.
	trialPhase = 4 * time.Second
	// crowdedTrialInterval is the time between the trials of a worker during its pause while too many workers are suspect, so that they do not use up
	// the attempts of jobs.
	crowdedTrialInterval = 2 * time.Second
	// serviceTrialDelay is how long a service task waits for another worker before it may be the trial of a suspect worker during its pause.
	serviceTrialDelay = 2 * time.Second
	// maxSuspectShare is the share of the workers that suit a step up to which suspect workers are left alone during their pauses. If more are
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

// suspect makes a worker suspect because of the failure of a task.
func (c *Core) suspect(t *task, w *worker) {
	c.beginLongerPause(w)
	p := &w.health.suspicion
	c.logDecision("worker_suspected", t.step.job.id, map[string]any{
		"worker": w.info.ID, "jobs_in_a_row": p.failedJobsInARow, "pause_ms": p.pause.Milliseconds(),
	})
}

// beginLongerPause begins a pause of a worker that is longer than its last one.
func (c *Core) beginLongerPause(w *worker) {
	p := &w.health.suspicion
	p.pause = min(max(2*p.pause, minSuspectPause), maxSuspectPause)
	c.beginPause(w)
}

// beginPause begins the pause of a worker. The runs that it has are no trials then.
func (c *Core) beginPause(w *worker) {
	p := &w.health.suspicion
	p.since, p.pausedUntil = c.now, c.now+p.pause
	w.endTrials()
}

// clearSuspicion ends the suspicion of a worker because of a trial that has passed.
func (c *Core) clearSuspicion(w *worker, trial *run) {
	p := &w.health.suspicion
	p.pausedUntil = 0
	w.endTrials()
	c.logDecision("worker_cleared", trial.task.step.job.id, map[string]any{
		"worker": w.info.ID, "suspect_ms": (c.now - p.since).Milliseconds(),
	})
	c.ready.capacityFreed(w)
}

// countTrial counts a run that is started on a worker as a trial if the worker has become suspect and no trial has passed since.
func (w *worker) countTrial(r *run) {
	if p := &w.health.suspicion; p.pausedUntil != 0 {
		r.isTrial = true
		p.trials++
	}
}

// removeTrial records that a run is not on the worker any longer.
func (w *worker) removeTrial(r *run) {
	if r.isTrial {
		w.health.suspicion.trials--
	}
}

// endTrials makes the runs of a worker ordinary ones.
func (w *worker) endTrials() {
	w.health.suspicion.trials = 0
	for _, r := range w.runs {
		r.isTrial = false
	}
}

// recordSuccess ends a series of failures, and the suspicion if the run is a trial; r is nil if the run has ended before the ledger had it.
func (c *Core) recordSuccess(r *run, w *worker) {
	p := &w.health.suspicion
	p.failedJobsInARow, p.pause = 0, 0
	if r != nil && r.isTrial {
		c.clearSuspicion(w, r)
	}
}

// recordFailure counts a failure against a worker. r is nil if the run has ended before the ledger had it. If a task fails on a second worker, the
// task is at fault, which takes the failure back from the first worker.
func (c *Core) recordFailure(t *task, r *run, w *worker) {
	p := &w.health.suspicion
	isTrial := r != nil && r.isTrial
	if isTrial && p.isActiveAt(c.now) {
		c.recordFailedTrial(t, r, w)
		return
	}
	if t.firstFailedOn != nil && t.firstFailedOn != w {
		first := &t.firstFailedOn.health.suspicion
		first.failedJobsInARow = max(0, first.failedJobsInARow-1)
		return
	}
	t.firstFailedOn = w
	if p.pause > 0 && !isTrial || p.lastFailedJob == t.step.job.id && p.failedJobsInARow > 0 {
		return
	}
	p.lastFailedJob = t.step.job.id
	p.failedJobsInARow++
	if p.failedJobsInARow >= suspectFailedJobs {
		c.suspect(t, w)
	}
}

// recordFailedTrial keeps a worker suspect. The failure of a service tells nothing more: services may fail at any time and start again at once, so
// that one of them would keep the worker from all others.
func (c *Core) recordFailedTrial(t *task, r *run, w *worker) {
	p := &w.health.suspicion
	switch {
	case t.step.spec.LongRunning:
	case r.createdAt < p.pausedUntil && p.pause > 0:
		c.beginPause(w)
	default:
		c.suspect(t, w)
	}
}

// passTrial ends the suspicion of a worker on which a trial has worked for long enough.
func (c *Core) passTrial(r *run) {
	if !r.isTrial || r.confirmedAt == 0 || c.now < r.confirmedAt+minServiceRun {
		return
	}
	works := r.progressPercent > r.firstPercent
	if r.task.step.spec.LongRunning {
		works = r.progressPercent == 100
	}
	if works {
		c.recordSuccess(r, r.worker)
	}
}

// mayTry reports whether a step may start tasks on a worker as far as suspicion is concerned. The members of a gang start together, and are one trial.
func (c *Core) mayTry(w *worker, s *step) bool {
	p := &w.health.suspicion
	if !p.isActiveAt(c.now) {
		return true
	}
	if p.isPausedAt(c.now) && !c.mayTryInPause(p, s) {
		return false
	}
	return p.trials == 0
}

// mayTryInPause reports whether a step may start tasks on a worker in its pause.
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

// risksAttempt reports whether a task of a job must not be a trial on a worker in its pause, since it would have no further attempt if that fails.
func (c *Core) risksAttempt(w *worker, t *task) bool {
	s := t.step
	if s.spec.LongRunning || !w.health.suspicion.isPausedAt(c.now) {
		return false
	}
	failed := len(t.failedRuns)
	if s.spec.Gang {
		failed = len(s.tasks[0].failedRuns)
	}
	return failed > 0 && failed+1 >= s.job.queue.MaxAttempts
}

// limitTrials returns how many of a number of tasks of a step may start on a worker: one if it is suspect, unless they start together.
func (c *Core) limitTrials(w *worker, s *step, tasks int) int {
	if !s.spec.Gang && w.health.suspicion.isActiveAt(c.now) {
		return min(tasks, 1)
	}
	return tasks
}

// pauseTrials says whether the tasks of a step may be trials of suspect workers during their pauses.
type pauseTrials uint8

const (
	noTrials pauseTrials = iota
	// crowdedTrials: too many of the workers that suit the step are suspect, so that each gets a trial now and then.
	crowdedTrials
	// urgentTrials: a service task has waited for serviceTrialDelay.
	urgentTrials
)

// updateTrials determines which steps may try suspect workers during their pauses.
func (c *Core) updateTrials() {
	crowds := c.newSuspectCrowds()
	for _, s := range c.ready.ranked {
		s.pauseTrials = noTrials
		if crowds.includes(s) {
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

// workerGroup is what the workers that suit a step have in common.
type workerGroup struct{ service, label string }

// suspectCrowds tells of which groups of workers too many are suspect.
type suspectCrowds struct {
	core       *Core
	anySuspect bool
	known      map[workerGroup]bool
}

func (c *Core) newSuspectCrowds() *suspectCrowds {
	crowds := &suspectCrowds{core: c, known: map[workerGroup]bool{}}
	for _, w := range c.workers {
		crowds.anySuspect = crowds.anySuspect || w.health.suspicion.isActiveAt(c.now)
	}
	return crowds
}

// includes reports whether too many of the workers that suit a step are suspect.
func (x *suspectCrowds) includes(s *step) bool {
	if !x.anySuspect {
		return false
	}
	group := workerGroup{s.job.queue.Service, s.spec.RequiredLabel}
	crowded, known := x.known[group]
	if !known {
		crowded = x.isCrowded(s)
		x.known[group] = crowded
	}
	return crowded
}

func (x *suspectCrowds) isCrowded(s *step) bool {
	suitable, suspect := 0, 0
	for _, w := range x.core.workers {
		if !w.listed || w.info.Draining || !w.suits(s) {
			continue
		}
		suitable++
		if w.health.suspicion.isActiveAt(x.core.now) {
			suspect++
		}
	}
	return float64(suspect) > maxSuspectShare*float64(suitable)
}
