package rack

import (
	"container/list"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
)

// maxFailedJobs bounds the failed jobs that are recorded for one worker.
const maxFailedJobs = 64

// jobStats holds what was observed of the tasks of one intent.
type jobStats struct {
	id string
	// usage is the maximum of the observed usage of one task. CPU, memory and connections decay towards the usage of
	// tasks that finish.
	usage model.Resources
	// runTime is a moving average of the observed run time of one task.
	runTime time.Duration
	// failedOn are the workers on which a task failed; succeeded is set when a task finished on any worker.
	failedOn   map[string]bool
	succeeded  bool
	lruElement *list.Element
}

// likelyBroken reports whether failures are attributed to the job instead of the workers: it failed on at least two
// workers and finished on none.
func (j *jobStats) likelyBroken() bool { return len(j.failedOn) >= 2 && !j.succeeded }

// raiseUsage raises the usage to the observed usage of a task.
func (j *jobStats) raiseUsage(used model.Resources) { j.usage = j.usage.Max(used) }

// raiseRunTime raises the run time to the time that a task has already run.
func (j *jobStats) raiseRunTime(ran time.Duration) { j.runTime = max(j.runTime, ran) }

// recordCompletion updates the run time and the usage with those of a task that finished. The usage falls by 1/8 of the
// difference, or stays if the task used more.
func (j *jobStats) recordCompletion(ran time.Duration, used model.Resources) {
	if j.runTime == 0 {
		j.runTime = ran
	}
	j.runTime += (ran - j.runTime) / 4
	fall := func(usage *int64, used int64) { *usage -= max(*usage-used, 0) / 8 }
	fall(&j.usage.CPUMilli, used.CPUMilli)
	fall(&j.usage.MemoryMiB, used.MemoryMiB)
	fall(&j.usage.Connections, used.Connections)
}

// jobTable holds the statistics of a bounded number of jobs and evicts the least recently used.
type jobTable struct {
	limit int
	byID  map[string]*jobStats
	lru   *list.List
}

func newJobTable(limit int) jobTable {
	return jobTable{limit: limit, byID: map[string]*jobStats{}, lru: list.New()}
}

func (t *jobTable) get(id string) *jobStats { return t.byID[id] }

// getOrCreate returns the statistics of a job and marks them as the most recently used.
func (t *jobTable) getOrCreate(id string) *jobStats {
	if j := t.byID[id]; j != nil {
		t.lru.MoveToFront(j.lruElement)
		return j
	}
	if len(t.byID) >= t.limit {
		oldest := t.lru.Remove(t.lru.Back()).(*jobStats)
		delete(t.byID, oldest.id)
	}
	j := &jobStats{id: id, failedOn: map[string]bool{}}
	j.lruElement = t.lru.PushFront(j)
	t.byID[id] = j
	return j
}

// expectedRunTime returns the expected run time of a task: the observed run time of its job, or else the declared one.
// ok is false if neither is known or the task is of a kind that runs until it is stopped. Callers hold c.mu.
func (c *Core) expectedRunTime(task model.Task) (run time.Duration, ok bool) {
	if task.Kind.Restarts() {
		return 0, false
	}
	if j := c.jobs.get(task.Intent); j != nil && j.runTime > 0 {
		return j.runTime, true
	}
	return time.Duration(task.RunTimeMS) * time.Millisecond, task.RunTimeMS > 0
}

// recordOutcome records the outcome of a task that a worker reported, and updates the quarantine of the workers that it
// concerns. Callers hold c.mu.
func (c *Core) recordOutcome(now time.Time, w *workerState, task model.Task, out model.Outcome) {
	j := c.jobs.getOrCreate(task.Intent)
	switch out.State {
	case model.OutcomeFinished:
		var used model.Resources
		if t := w.tasks[task.ID]; t != nil && t.token == out.Token {
			used = t.demand
		}
		j.recordCompletion(time.Duration(out.RanMS)*time.Millisecond, used)
		j.succeeded = true
		clear(w.failedJobs)
		c.liftQuarantine(w)
	case model.OutcomeFailed:
		j.failedOn[w.member.ID] = true
		if len(w.failedJobs) < maxFailedJobs {
			w.failedJobs[task.Intent] = true
		}
		if w.quarantined {
			c.probeFailed(now, w)
		}
	default:
		return
	}
	c.updateQuarantine(now, w)
	for id := range j.failedOn {
		if other := c.workers[id]; other != nil && other != w {
			c.updateQuarantine(now, other)
		}
	}
}

// updateQuarantine quarantines a worker while enough distinct jobs have failed there since a task last finished. Jobs
// that are likely broken do not count, so that a broken job cannot take workers out of use. Callers hold c.mu.
func (c *Core) updateQuarantine(now time.Time, w *workerState) {
	blamedJobs := 0
	for id := range w.failedJobs {
		if j := c.jobs.get(id); j != nil && !j.likelyBroken() {
			blamedJobs++
		}
	}
	quarantine := blamedJobs >= c.policy.Quarantine.Jobs
	if quarantine == w.quarantined {
		return
	}
	w.quarantined, w.probing = quarantine, false
	w.probeAfter = c.policy.Quarantine.ProbeAfter
	w.probeAt = now.Add(w.probeAfter)
	c.reindex(w)
}

// liftQuarantine ends the quarantine of a worker on which a task finished. Callers hold c.mu.
func (c *Core) liftQuarantine(w *workerState) {
	if w.quarantined {
		w.quarantined, w.probing = false, false
		c.reindex(w)
	}
}

// probeFailed doubles the time to the next probe, up to the policy's ProbeMax. Callers hold c.mu.
func (c *Core) probeFailed(now time.Time, w *workerState) {
	w.probing = false
	w.probeAfter = min(2*w.probeAfter, c.policy.Quarantine.ProbeMax)
	w.probeAt = now.Add(w.probeAfter)
	c.reindex(w)
}

// openProbes opens quarantined workers for one task each when their probe is due, and closes workers whose condition no
// longer holds. Callers hold c.mu.
func (c *Core) openProbes(now time.Time) {
	for _, w := range c.workersByArrival {
		open := w.quarantined && w.fenced && w.member.State != store.MemberLeaving && !now.Before(w.probeAt)
		if open != w.probing {
			w.probing = open
			c.reindex(w)
			c.recheckAllBlocked()
		}
	}
}
