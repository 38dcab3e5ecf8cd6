package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// Workers may list tasks of a job that is not known: a former leader started the job after this leader had read the
// records, or the change feed is behind. The record was durable before the first start, so a read of the store that
// starts after the task was listed finds the job if it exists. Until such a read has found none, the completions of the
// task must not be acknowledged: its job may be added later, and would start the task again.

const (
	// unknownJobTimeout is how long after a task of an unknown job was listed the job may turn out not to exist.
	unknownJobTimeout = 5 * time.Second
	// lookupInterval is the time between two lookups of an unknown job.
	lookupInterval = time.Second
)

// jobLookup is the state of the lookups of an unknown job.
type jobLookup struct {
	inFlight bool
	// startedAt is when the last lookup started.
	startedAt Instant
	// absentAt is when the last lookup that found no record started; 0 if there was none.
	absentAt Instant
}

// LookupAction reads the rows of a job that is not known, or deferred, and adds the job. The outcome is passed to LookupResult.
type LookupAction struct {
	Job       job.ID
	startedAt Instant
}

// awaitsJobRecord reports whether a task of an unknown job may belong to a job that exists, and records when the task was
// first listed. The time counts for each task: the read that found no record must have started after the task was listed.
func (c *Core) awaitsJobRecord(w *worker, task string) bool {
	n, ok := job.ParseTaskName(task)
	if !ok || c.isInMemory(n.Job) {
		return false
	}
	since, listed := w.unknownTasksSince[task]
	if !listed {
		if w.unknownTasksSince == nil {
			w.unknownTasksSince = map[string]Instant{}
		}
		since = c.now
		w.unknownTasksSince[task] = since
	}
	if c.lookups[n.Job] == nil {
		c.lookups[n.Job] = &jobLookup{}
	}
	return c.lookups[n.Job].absentAt <= since+unknownJobTimeout
}

// forgetResolvedTasks removes the listing times of tasks that no longer wait for the records of their jobs.
func (w *worker) forgetResolvedTasks() {
	if len(w.unknownTasksSince) == 0 {
		return
	}
	waiting := map[string]Instant{}
	for _, item := range w.unknownRuns {
		waiting[item.Task] = w.unknownTasksSince[item.Task]
	}
	for _, e := range w.unknownCompletions {
		waiting[e.Task] = w.unknownTasksSince[e.Task]
	}
	w.unknownTasksSince = waiting
}

// sendLookups issues the lookups that are due, and ends those of jobs that are known or of which no worker lists a task.
func (c *Core) sendLookups() {
	if len(c.lookups) == 0 {
		return
	}
	listed := map[job.ID]struct{}{}
	for _, w := range c.workers {
		for task := range w.unknownTasksSince {
			if n, ok := job.ParseTaskName(task); ok {
				listed[n.Job] = struct{}{}
			}
		}
	}
	for id, lookup := range c.lookups {
		if _, ok := listed[id]; !ok || c.isInMemory(id) {
			delete(c.lookups, id)
			continue
		}
		if lookup.inFlight || lookup.startedAt != 0 && c.now < lookup.startedAt+lookupInterval {
			continue
		}
		lookup.inFlight, lookup.startedAt = true, c.now
		c.issueLookup(id)
	}
}

// issueLookup hands a lookup to the caller of Step.
func (c *Core) issueLookup(id job.ID) {
	c.outstandingLookups[id]++
	c.actions = append(c.actions, &LookupAction{id, c.now})
}

// endLookup records that the result of a lookup has arrived.
func (c *Core) endLookup(id job.ID) {
	if c.outstandingLookups[id]--; c.outstandingLookups[id] <= 0 {
		delete(c.outstandingLookups, id)
	}
}

// LookupResult records the outcome of a lookup. If a record was found, the caller has added the job before.
func (c *Core) LookupResult(a *LookupAction, found bool, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	lookup := c.lookups[a.Job]
	c.endLookup(a.Job)
	c.readFailed(a.Job)
	fields := map[string]any{"found": found}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.logDecision("job_looked_up", a.Job, fields)
	if lookup == nil {
		return
	}
	lookup.inFlight = false
	if found || err != nil {
		return
	}
	lookup.absentAt = a.startedAt
	for _, w := range c.workers {
		if len(w.unknownCompletions) > 0 {
			c.handleResolvedCompletions(w)
		}
	}
}
