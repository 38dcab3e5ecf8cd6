package cell

import (
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// finishedJob is a job whose final state is durable and that has no runs left. It is kept for as long as callers may ask for its state, and until
// its rows are removed: a record that is read again must not start it.
type finishedJob struct {
	state job.State
	// reportedAt is when the final state was known to be durable.
	reportedAt Instant
	// expired means that the retention has passed.
	expired bool
}

// expiryCheckInterval is the time between two looks for jobs past their retention.
const expiryCheckInterval = time.Second

// releaseEnded drops the tasks of jobs that have ended and have no runs left, and all but the final state once that is durable. Completions that
// are listed later are acknowledged like those of jobs whose final state was loaded.
func (c *Core) releaseEnded() {
	c.ended = slices.DeleteFunc(c.ended, func(j *jobState) bool {
		if !j.released && j.hasRuns() {
			return false
		}
		c.release(j)
		if !j.reportedState.Terminal() {
			return false
		}
		delete(c.jobs, j.id)
		c.finished[j.id] = finishedJob{state: j.reportedState, reportedAt: j.reportedAt}
		return true
	})
}

// release drops the tasks of a job that has ended.
func (c *Core) release(j *jobState) {
	j.released = true
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.dropAdvice(s)
		}
	}
	j.occurrences, j.progress, j.checkpoints = nil, nil, nil
	j.record.Spec = job.Spec{}
	c.account(j)
}

// AddFinishedJob adds a job whose final state is durable. Its steps are not needed: any remaining runs are stopped, and
// their completions are acknowledged.
func (c *Core) AddFinishedJob(id job.ID, state job.State, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.addFinishedJob(id, state)
}

func (c *Core) addFinishedJob(id job.ID, state job.State) {
	if c.isInMemory(id) {
		return
	}
	c.takeDeferred(id)
	c.finished[id] = finishedJob{state: state, reportedAt: c.now}
}

// isInMemory reports whether a job is admitted or finished, so that its record is not needed.
func (c *Core) isInMemory(id job.ID) bool {
	_, finished := c.finished[id]
	return finished || c.jobs[id] != nil
}

// expireFinishedJobs marks jobs past their retention, which begins when callers can see the final state. Their rows can be removed.
func (c *Core) expireFinishedJobs() {
	if c.now < c.nextExpiryCheck {
		return
	}
	c.nextExpiryCheck = c.now + expiryCheckInterval
	for id, f := range c.finished {
		if !f.expired && c.now > f.reportedAt+c.opts.Retention {
			f.expired = true
			c.finished[id] = f
			c.expiredJobs = append(c.expiredJobs, id)
		}
	}
}

// TakeExpired returns at most limit jobs past their retention, whose records and cancellations can be removed.
func (c *Core) TakeExpired(limit int) []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.panicked {
		return nil
	}
	n := min(limit, len(c.expiredJobs))
	ids := c.expiredJobs[:n:n]
	c.expiredJobs = c.expiredJobs[n:]
	return ids
}

// RowsRemoved records whether the records and cancellations of jobs were removed. The progress is removed afterwards,
// so that a record is never read without its progress.
func (c *Core) RowsRemoved(ids []job.ID, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !removed {
		c.expiredJobs = append(c.expiredJobs, ids...)
		return
	}
	for _, id := range ids {
		delete(c.finished, id)
	}
	c.progressRemovals = append(c.progressRemovals, ids...)
	c.signalWake()
}
