package cell

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// jobState is an accepted job.
type jobState struct {
	id      job.ID
	record  job.Record
	queue   job.Queue
	arrived Instant
	// objective is when the job should be completed.
	objective Instant
	// recovered says that the job may have been started in a former epoch.
	recovered bool
	// runBase is the run number above which this epoch numbers its runs.
	runBase     int64
	occurrences map[int]*occurrence
	// opened counts the occurrences that are due.
	opened  int
	started bool
	// state is the state as decided; shown is the one that is durable.
	state, shown job.State
	// changed is the number of the last change of the progress; dirtySince the first one that is not in a batch.
	changed, dirtySince uint64
	finished            Instant
	// expired says that the retention has passed.
	expired  bool
	progress *progressRow
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	index int
	steps []*step
	open  int
}

// step is a step of an occurrence.
type step struct {
	job        *jobState
	occurrence *occurrence
	index      int
	spec       *job.Step
	name       string
	tasks      []*task
	// open counts the tasks that are not done.
	open int
	// waiting are the tasks that have no run and are not done.
	waiting []*task
	// perWorker counts the runs of the step on a worker.
	perWorker map[*worker]int
	became    Instant
	advice    stepAdvice
	// gangRun and gangSaved are the run number and the checkpoint that all members of a gang share.
	gangRun   int64
	gangSaved string
	// observed is the duration of the first task that was done, 0 if none was.
	observed time.Duration
	// preemptAt is when tasks of others may be stopped for the step again.
	preemptAt Instant
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	name  string
	done  bool
	// failed are the numbers of the failed runs, in the order in which their ends were read: a new leader reads them from
	// several workers in any order.
	failed  []int64
	lastRun int64
	saved   string
	runs    []*run
	// avoid are workers on which the task failed or stood still.
	avoid    map[string]struct{}
	failedOn *worker
	waiting  bool
	since    Instant
	// preempted counts how often the task was stopped for a more urgent one.
	preempted int
}

func stepName(id job.ID, occurrence, index int) string {
	return fmt.Sprintf("%s.%d.%d", id, occurrence, index)
}

// estimate is how long a task of the step takes.
func (s *step) estimate() time.Duration {
	if s.observed > 0 {
		return s.observed
	}
	return max(time.Duration(s.spec.EstimateMS)*time.Millisecond, 50*time.Millisecond)
}

// runsPerEpoch separates the run numbers of epochs, so that a start by a former leader that nobody knows of is lower.
const runsPerEpoch = 64

// AddJob adds an accepted job. It is idempotent. A job whose record names an older epoch may have been started by a former
// leader.
func (c *Core) AddJob(id job.ID, record job.Record, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if c.jobs[id] != nil {
		return
	}
	if record.Epoch > c.opts.Epoch {
		// The instance that accepted the job knows a later leader, which does not expect starts by this one.
		c.superseded = true
		c.note("epoch_superseded", id, map[string]any{"epoch": c.opts.Epoch, "by_epoch": record.Epoch})
		c.poke()
		return
	}
	j := &jobState{
		id: id, record: record, queue: record.Queue, arrived: c.now, recovered: record.Epoch < c.opts.Epoch,
		occurrences: map[int]*occurrence{}, state: job.Queued, shown: job.Queued,
	}
	if q, ok := c.config.Queue(j.queue.Name); ok {
		j.queue = q
	}
	if j.recovered {
		j.runBase = int64(c.opts.Epoch-record.Epoch) * runsPerEpoch
	}
	j.objective = c.now + objectiveOf(j)
	c.jobs[id] = j
	c.note("job_added", id, map[string]any{
		"queue": j.queue.Name, "steps": len(record.Spec.Steps), "recovered": j.recovered, "config": c.config.Version,
	})
	if record.Spec.Repeat > 0 {
		c.timed[id] = j
		c.openDue(j)
	} else {
		c.open(j, 0)
	}
	c.claimListed(j)
	if _, early := c.cancelled[id]; early {
		delete(c.cancelled, id)
		c.finish(j, job.Cancelled, "cancelled by the caller")
	}
	c.poke()
}

// AddFinished adds a job whose final state is durable. Its steps are not needed any more: what may still run of it is
// stopped, and its ends are acknowledged.
func (c *Core) AddFinished(id job.ID, state job.State, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if c.jobs[id] != nil {
		return
	}
	c.jobs[id] = &jobState{
		id: id, state: state, shown: state, finished: c.now, started: true, occurrences: map[int]*occurrence{},
	}
}

// isOver reports whether a task belongs to a job that was added as finished.
func (c *Core) isOver(name string) bool {
	n, ok := job.ParseTaskName(name)
	return ok && c.jobs[n.Job] != nil && c.jobs[n.Job].state.Terminal()
}

// objectiveOf returns how long a job may take to be on time.
func objectiveOf(j *jobState) time.Duration {
	steps := j.record.Spec.Steps
	chain := make([]float64, len(steps))
	longest := 0.0
	for i, s := range steps {
		before := 0.0
		for _, p := range s.After {
			if p >= 0 && p < i {
				before = max(before, chain[p])
			}
		}
		chain[i] = before + float64(s.EstimateMS)
		longest = max(longest, chain[i])
	}
	ms := max(j.queue.Stretch, 1)*longest + float64(j.queue.ObjectiveMS)
	return time.Duration(ms * float64(time.Millisecond))
}

// open creates an occurrence and queues the steps that depend on nothing.
func (c *Core) open(j *jobState, index int) *occurrence {
	o := &occurrence{index: index}
	j.occurrences[index] = o
	j.opened = max(j.opened, index+1)
	for i := range j.record.Spec.Steps {
		s := &step{
			job: j, occurrence: o, index: i, spec: &j.record.Spec.Steps[i], perWorker: map[*worker]int{},
			name: stepName(j.id, index, i),
		}
		s.advice.init()
		for t := range s.spec.Count {
			s.tasks = append(s.tasks, &task{
				step: s, index: t, name: job.TaskName{Job: j.id, Occurrence: index, Step: i, Index: t}.String(),
				lastRun: j.runBase, avoid: map[string]struct{}{},
			})
		}
		s.gangRun = j.runBase
		s.open = len(s.tasks)
		o.steps = append(o.steps, s)
		o.open++
	}
	if j.progress != nil {
		c.applyProgress(j, o)
	}
	for _, s := range o.steps {
		c.queueStep(s)
	}
	c.closeOccurrence(o, j)
	return o
}

// openOccurrences opens the occurrences of recurring jobs that are due.
func (c *Core) openOccurrences() {
	for _, j := range c.timed {
		c.openDue(j)
	}
}

func (c *Core) openDue(j *jobState) {
	spec := &j.record.Spec
	for !j.state.Terminal() && j.opened < spec.Repeat && c.wallMS >= spec.StartAtMS+int64(j.opened)*spec.IntervalMS {
		c.open(j, j.opened)
	}
	if j.opened >= spec.Repeat || j.state.Terminal() {
		delete(c.timed, j.id)
	}
}

// queueStep lets the tasks of a step wait if the step's dependencies are done.
func (c *Core) queueStep(s *step) {
	if s.open == 0 || s.job.state.Terminal() || !s.dependenciesDone() {
		return
	}
	if s.became == 0 {
		s.became = c.now
	}
	for _, t := range s.tasks {
		c.queueTask(t)
	}
}

func (s *step) dependenciesDone() bool {
	for _, p := range s.spec.After {
		if p < 0 || p >= len(s.occurrence.steps) || s.occurrence.steps[p].open > 0 {
			return false
		}
	}
	return true
}

// queueTask lets a task wait for a place if it needs one.
func (c *Core) queueTask(t *task) {
	if t.done || t.waiting || len(t.runs) > 0 || t.step.job.state.Terminal() || !t.step.dependenciesDone() {
		return
	}
	t.waiting = true
	t.since = c.now
	t.step.waiting = append(t.step.waiting, t)
	c.ready[t.step] = struct{}{}
	c.poke()
}

// unqueue takes tasks from the wait after they were started or ended.
func (c *Core) unqueue(s *step) {
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		if t.waiting {
			kept = append(kept, t)
		}
	}
	s.waiting = kept
	if len(kept) == 0 {
		delete(c.ready, s)
	}
}

// taskDone marks a task as done, stops its other runs and queues what depended on it.
func (c *Core) taskDone(t *task, by *run) {
	if t.done {
		return
	}
	s := t.step
	t.done = true
	t.waiting = false
	s.open--
	c.unqueue(s)
	c.touch(s.job)
	for _, r := range t.runs {
		// The members of a gang end together, so they need no stop.
		if r != by && !s.spec.Gang {
			c.stopRun(r, "task is done")
		}
	}
	if s.open > 0 {
		return
	}
	for _, next := range s.occurrence.steps {
		c.queueStep(next)
	}
	s.occurrence.open--
	c.closeOccurrence(s.occurrence, s.job)
}

// closeOccurrence completes the job when the last occurrence is complete.
func (c *Core) closeOccurrence(o *occurrence, j *jobState) {
	if o.open > 0 || j.opened < max(1, j.record.Spec.Repeat) {
		return
	}
	for _, other := range j.occurrences {
		if other.open > 0 {
			return
		}
	}
	c.finish(j, job.Completed, "")
}

// finish ends a job. What still runs is stopped.
func (c *Core) finish(j *jobState, state job.State, reason string) {
	if j.state.Terminal() {
		return
	}
	j.state = state
	j.finished = c.now
	delete(c.timed, j.id)
	c.touch(j)
	c.note("job_finished", j.id, map[string]any{
		"state": state, "reason": reason, "after_ms": (c.now - j.arrived).Milliseconds(),
		"late_ms": (c.now - j.objective).Milliseconds(),
	})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.abandon(s)
		}
	}
}

// abandon stops all runs of a step and forgets its waiting tasks.
func (c *Core) abandon(s *step) {
	for _, t := range s.tasks {
		t.waiting = false
		for _, r := range t.runs {
			c.stopRun(r, "job is finished")
		}
	}
	c.unqueue(s)
}

// touch marks the progress of a job as changed.
func (c *Core) touch(j *jobState) {
	c.changes++
	j.changed = c.changes
	if c.dirty[j.id] == nil {
		j.dirtySince = c.changes
	}
	c.dirty[j.id] = j
	c.poke()
}

// CancelJob cancels a job whose cancellation is durable.
func (c *Core) CancelJob(id job.ID, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	j := c.jobs[id]
	if j == nil {
		c.cancelled[id] = c.now
		return
	}
	c.finish(j, job.Cancelled, "cancelled by the caller")
}

// earlyCancelTerm is how long a cancellation is remembered whose job is not known yet: the two are learned of on different
// ways.
const earlyCancelTerm = time.Minute

func (c *Core) forgetEarlyCancels() {
	for id, at := range c.cancelled {
		if c.now > at+earlyCancelTerm {
			delete(c.cancelled, id)
		}
	}
}

// unstoredDelay is how long a completed job waits for its progress to become durable before it is shown as completed. It
// exceeds a write to the store, so that only an outage of the store makes a difference.
const unstoredDelay = 200 * time.Millisecond

// State returns the state of a job that may be shown, and whether the job is known. A completed job is shown without its
// durable progress when the store does not answer: workers keep the ends of its tasks until they are acknowledged, so that
// the next leader finds the job completed too.
func (c *Core) State(id job.ID, now Instant) (job.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.shown.Terminal() {
		return j.shown, true
	}
	if j.state == job.Completed && now >= j.finished+unstoredDelay {
		return j.state, true
	}
	if j.started {
		return job.Running, true
	}
	return job.Queued, true
}

// Waiting returns the number of accepted jobs without a started task, by queue.
func (c *Core) Waiting() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, j := range c.jobs {
		if !j.started && !j.state.Terminal() {
			out[j.queue.Name]++
		}
	}
	return out
}

// expireFinished marks jobs past their retention, whose rows can go. They stay known until their records are removed, so that
// a record that is read again does not start them.
func (c *Core) expireFinished() {
	for id, j := range c.jobs {
		if !j.expired && j.shown.Terminal() && c.now > j.finished+c.opts.Retention && !j.hasRuns() {
			j.expired = true
			j.occurrences = map[int]*occurrence{}
			c.expired = append(c.expired, id)
		}
	}
}

func (j *jobState) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// find returns a task by its name.
func (c *Core) find(name string) *task {
	n, ok := job.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[n.Occurrence]
	if o == nil && n.Occurrence < j.record.Spec.Repeat {
		// A former leader opened an occurrence that is not due on this instance's clock.
		o = c.open(j, n.Occurrence)
	}
	if o == nil || n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return o.steps[n.Step].tasks[n.Index]
}
