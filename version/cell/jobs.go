package cell

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// jobState is the state of an accepted job.
type jobState struct {
	id     job.ID
	record job.Record
	queue  job.Queue
	// team is the team that submitted the job; nil for none. beyondRate means that it had submitted more than its rate.
	team       *team
	beyondRate bool
	addedAt    Instant
	// estimate is the last result of Core.estimateOf, and usedCPU the processor time that runs had reserved, in core-milliseconds.
	estimate estimate
	usedCPU  float64
	// recovered means that the job may have been started in an earlier epoch.
	recovered bool
	// baseRunNumber is the number after which the run numbers of this epoch start.
	baseRunNumber int64
	occurrences   map[int]*occurrence
	// nextIndex is the index from which on occurrences are opened in their order; later ones may be open already. doneOccurrences are those
	// that are complete and need not be kept any longer.
	nextIndex       int
	doneOccurrences indexRanges
	started         bool
	// recordsStarts is the result of the function of that name.
	recordsStarts bool
	// state is the decided state; reportedState is the durable one.
	state, reportedState job.State
	// lastChange is the number of the last change of the progress, and storedChange that of the last one that is durable. Each job is
	// stored for itself, since the store may refuse the row of one.
	lastChange, storedChange uint64
	refusal                  rowRefusal
	// finishedAt is when the final state was decided, and reportedAt when it was known to be durable.
	finishedAt, reportedAt Instant
	// lastCrash is the record of the last crash of a worker under a task of the job.
	lastCrash crashRecord
	// progress is the durable progress when the job was loaded, as far as it is not applied yet: that of occurrences which are not open.
	progress *progressRow
	// recordSize and occurrenceSize are the parts of the footprint, and accounted is its sum as of the last change. released means that the
	// job has ended and that its tasks are not in memory any longer.
	recordSize, occurrenceSize, accounted int64
	released                              bool
	// extraAdvice counts the advice on workers beyond maxAdviceWorkers of each open step.
	extraAdvice int
	// activeAt is when the job was admitted, or a run was added or removed last. admissions is how often the job has been admitted.
	activeAt   Instant
	admissions int
	// checkpoints are those of waiting tasks from before the job was deferred, by task name.
	checkpoints map[string]string
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	index     int
	steps     []*step
	openSteps int
}

// step is a step of an occurrence.
type step struct {
	job        *jobState
	occurrence *occurrence
	index      int
	spec       *job.Step
	name       string
	tasks      []*task
	// openTasks counts the tasks that are not done.
	openTasks int
	// waiting are the tasks that wait for a placement.
	waiting []*task
	// runsPerWorker counts the runs of the step on each worker.
	runsPerWorker map[*worker]int
	readyAt       Instant
	advice        stepAdvice
	queuePosition queuePosition
	// gangRunNumber and gangCheckpoint are the run number and the checkpoint shared by all members of a gang.
	gangRunNumber  int64
	gangCheckpoint string
	// feasibility is the last result of Core.isFeasible.
	feasibility feasibility
	// suitable is the last result of Core.suitableWorkers.
	suitable    suitableCount
	pauseTrials pauseTrials
	// turn says how far the preparations for the step may go.
	turn planningTurn
	// plan is the plan for the waiting tasks, or nil. nextPlanAt is the earliest time of the next plan.
	plan       *plan
	nextPlanAt Instant
	// nextExplorationAt is the earliest time at which workers are looked for again.
	nextExplorationAt Instant
	// openingsSoon and openingsTotal are the numbers of openings on the workers that the placement policy allows, as of the
	// last plan.
	openingsSoon, openingsTotal int
	// reservationAge limits how long capacity is reserved for the step.
	reservationAge reservationAge
	// finished are the tasks that ended, until the step is complete.
	finished []finishedTask
	// observedDuration is the duration of the first completed task; 0 before that.
	observedDuration time.Duration
	// nextPreemptionAt is the earliest time at which other tasks may be preempted for the step again.
	nextPreemptionAt Instant
	// nextHeldLogAt is the earliest time of the next log entry about the limit of the team.
	nextHeldLogAt Instant
	// nextWaitLogAt is the earliest time of the next log entry about the wait of a gang or of service tasks.
	nextWaitLogAt Instant
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	name  string
	done  bool
	// failedRuns are the numbers of the failed runs in the order in which their completions were read, which can be any
	// order: a new leader reads them from several workers.
	failedRuns    []int64
	lastRunNumber int64
	checkpoint    string
	runs          []*run
	// avoidedWorkers are workers on which the task failed, stalled or was refused.
	avoidedWorkers avoidedWorkers
	firstFailedOn  *worker
	// crashes counts the workers that crashed under the task, without outages of racks. crashesTakenBack counts those that
	// were attributed to outages although the task may have caused them.
	crashes          crashCount
	crashesTakenBack int
	// pausedUntil is when a service task may start again after maxCrashes.
	pausedUntil Instant
	// suspect means that the address of a worker that ran the task refused connections.
	suspect bool
	// formerRun is the last start by a former leader until it is known what became of it; otherwise nil.
	formerRun *storedRun
	// lastKnownRun is the highest number of a run of which this leader knows, or 0. lastRunNumber begins after those of former leaders.
	lastKnownRun int64
	// placement is the worker of the last start of a service task whose starts are recorded, and placementChange the number of the change
	// that has set it.
	placement       placement
	placementChange uint64
	// recordUnused means that the last start was recorded and not sent.
	recordUnused bool
	waiting      bool
	// waitingSince is when the task began to wait. A start that was not made does not end its wait.
	waitingSince Instant
	// unsentStarts counts the starts since then that were decided and not made, and unsentReason is the reason of the last one.
	unsentStarts int
	unsentReason string
	// preemptions counts how often the task was stopped for a more urgent one.
	preemptions int
}

func stepName(id job.ID, occurrence, index int) string {
	return fmt.Sprintf("%s.%d.%d", id, occurrence, index)
}

// estimatedDuration returns how long a task of the step is expected to take.
func (s *step) estimatedDuration() time.Duration {
	if s.observedDuration > 0 {
		return s.observedDuration
	}
	return max(time.Duration(s.spec.EstimateMS)*time.Millisecond, 50*time.Millisecond)
}

// runNumbersPerEpoch separates the run numbers of different epochs, so that a start by a former leader that this leader
// does not know of has a lower number.
const runNumbersPerEpoch = 64

// AddJob adds an accepted job without progress. It is idempotent. If the record names an older epoch, a former leader may
// have started the job. A job can have two records; the older epoch counts.
func (c *Core) AddJob(id job.ID, record job.Record, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.addJob(id, record, nil, false)
}

// addJob adds a job with its durable progress, which may be nil. The progress is applied before the job is scheduled and
// before the runs and completions that workers have listed for it are handled. lookedUp means that both were read for a LookupAction: a deferred
// job is admitted only then, since the tables are followed without the progress. Callers hold c.mu.
func (c *Core) addJob(id job.ID, record job.Record, progress *progressRow, lookedUp bool) {
	if j := c.jobs[id]; j != nil {
		c.lowerEpoch(j, record.Epoch)
		return
	}
	if c.isInMemory(id) {
		return
	}
	if _, unreadable := c.unreadable[id]; unreadable {
		return
	}
	if record.Epoch > c.opts.Epoch {
		// The instance that accepted the job knows a later leader, which does not expect starts by this one.
		c.superseded = true
		c.logDecision("epoch_superseded", id, map[string]any{"epoch": c.opts.Epoch, "by_epoch": record.Epoch})
		c.signalWake()
		return
	}
	record.Spec.LimitDemands()
	if _, early := c.earlyCancels[id]; early {
		delete(c.earlyCancels, id)
		c.finishDeferred(id, job.Cancelled, "cancelled by the caller")
		return
	}
	if !c.isAdmitted(id, &record, progress, lookedUp) {
		return
	}
	deferred := c.takeDeferred(id)
	j := &jobState{
		id: id, record: record, queue: record.Queue, addedAt: c.now, recovered: record.Epoch < c.opts.Epoch,
		occurrences: map[int]*occurrence{}, state: job.Queued, reportedState: job.Queued, progress: progress,
		recordsStarts: recordsStarts(&record.Spec), recordSize: recordFootprint(&record), occurrenceSize: occurrenceFootprint(&record.Spec),
		activeAt: c.now,
	}
	deferred.resume(j)
	if q, ok := c.config.Queue(j.queue.Name); ok {
		j.queue = q
	}
	j.team = c.teamOf(record.Team)
	if j.team != nil && !j.recovered && deferred == nil {
		j.beyondRate = !j.team.rate.take(c.now)
	}
	c.unreadChanged = c.unreadChanged || j.recovered
	j.baseRunNumber = c.baseRunNumber(j.record.Epoch)
	if deferred != nil {
		j.baseRunNumber = max(j.baseRunNumber, deferred.runNumber)
	}
	c.jobs[id] = j
	c.logJobAdded(j)
	c.account(j)
	if record.Spec.Repetitions > 0 {
		c.recurring[id] = j
		if progress != nil {
			j.doneOccurrences = progress.Done
		}
		c.openDueOccurrencesOf(j)
		c.finishIfComplete(j)
	} else {
		c.openOccurrence(j, 0)
	}
	if deferred != nil {
		c.resumeCrashes(j, deferred.crashes)
	}
	c.resolveUnknownTasks(j)
	c.signalWake()
}

func (c *Core) logJobAdded(j *jobState) {
	fields := map[string]any{
		"queue": j.queue.Name, "steps": len(j.record.Spec.Steps), "recovered": j.recovered, "config": c.config.Version,
	}
	if j.team != nil {
		fields["team"], fields["beyond_rate"] = j.team.name, j.beyondRate
	}
	if j.admissions > 1 || j.addedAt != c.now {
		fields["admissions"], fields["deferred_ms"] = j.admissions, (c.now - j.addedAt).Milliseconds()
	}
	c.logDecision("job_added", j.id, fields)
}

// baseRunNumber returns the number after which the run numbers of this epoch start for a job accepted in the given epoch.
func (c *Core) baseRunNumber(accepted uint64) int64 {
	return int64(c.opts.Epoch-accepted) * runNumbersPerEpoch
}

// lowerEpoch handles another record of a known job, which names the given epoch: a caller that repeats a submission may have
// it stored again in the other shard of the job. The leader of an older epoch may have started the job.
func (c *Core) lowerEpoch(j *jobState, epoch uint64) {
	if epoch >= j.record.Epoch {
		return
	}
	j.record.Epoch = epoch
	j.recovered = true
	j.baseRunNumber = c.baseRunNumber(epoch)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.gangRunNumber = max(s.gangRunNumber, j.baseRunNumber)
			for _, t := range s.tasks {
				t.lastRunNumber = max(t.lastRunNumber, j.baseRunNumber)
			}
			c.forgetUnrecordedStarts(s)
		}
	}
}

// queueStep queues the tasks of a step if the step's dependencies are done.
func (c *Core) queueStep(s *step) {
	if s.openTasks == 0 || s.job.state.Terminal() || !s.dependenciesDone() {
		return
	}
	if s.readyAt == 0 {
		s.readyAt = c.now
	}
	for _, t := range s.tasks {
		c.queueTask(t)
	}
}

func (s *step) dependenciesDone() bool {
	for _, p := range s.spec.DependsOn {
		if p < 0 || p >= len(s.occurrence.steps) || s.occurrence.steps[p].openTasks > 0 {
			return false
		}
	}
	return true
}

// queueTask queues a task if it needs a placement.
func (c *Core) queueTask(t *task) {
	if t.done || t.waiting || len(t.runs) > 0 || t.step.job.state.Terminal() || !t.step.dependenciesDone() {
		return
	}
	c.enqueue(t)
}

// enqueue adds a task to the waiting tasks of its step.
func (c *Core) enqueue(t *task) {
	t.waiting = true
	t.waitingSince, t.unsentStarts, t.unsentReason = c.now, 0, ""
	t.step.waiting = append(t.step.waiting, t)
	c.ready.add(c, t.step)
	c.signalWake()
}

// pruneWaiting removes tasks from the queue of their step that have started or ended.
func (c *Core) pruneWaiting(s *step) {
	remaining := s.waiting[:0]
	for _, t := range s.waiting {
		if t.waiting {
			remaining = append(remaining, t)
		}
	}
	s.waiting = remaining
	if len(remaining) == 0 {
		c.endReservation(s)
		c.ready.remove(s)
	}
}

// completeTask marks a task as done, stops its other runs and queues the steps that depended on it.
func (c *Core) completeTask(t *task, completedBy *run) {
	if t.done {
		return
	}
	s := t.step
	t.done = true
	t.waiting = false
	s.openTasks--
	c.pruneWaiting(s)
	c.markChanged(s.job)
	for _, r := range t.runs {
		// The members of a gang end together, so no stop is needed.
		if r != completedBy && !s.spec.Gang {
			c.stopRun(r, "task is done")
		}
	}
	if s.openTasks > 0 {
		return
	}
	c.dropAdvice(s)
	for _, next := range s.occurrence.steps {
		c.queueStep(next)
	}
	s.occurrence.openSteps--
	c.finishIfComplete(s.job)
}

// finishJob sets the final state of a job and stops its remaining runs.
func (c *Core) finishJob(j *jobState, state job.State, reason string) {
	if j.state.Terminal() {
		return
	}
	j.state = state
	j.finishedAt = c.now
	// The row of a finished job is small.
	j.refusal = rowRefusal{}
	delete(c.recurring, j.id)
	c.markChanged(j)
	if state == job.Completed {
		c.addUnstoredCompletion(j)
	}
	c.logDecision("job_finished", j.id, map[string]any{
		"state": state, "reason": reason, "after_ms": (c.now - j.addedAt).Milliseconds(), "late_ms": c.lateness(j).Milliseconds(),
	})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.stopStep(s)
		}
	}
	c.ended = append(c.ended, j)
}

// stopStep stops all runs of a step and removes its tasks from the queue.
func (c *Core) stopStep(s *step) {
	c.dropPlan(s)
	for _, t := range s.tasks {
		t.waiting = false
		for _, r := range t.runs {
			c.stopRun(r, "job is finished")
		}
	}
	c.pruneWaiting(s)
}

// markChanged marks the progress of a job as changed.
func (c *Core) markChanged(j *jobState) {
	c.changeCount++
	j.lastChange = c.changeCount
	c.dirtyJobs[j.id] = j
	c.signalWake()
}

func (j *jobState) hasRuns() bool {
	for _, o := range j.occurrences {
		if o.hasRuns() {
			return true
		}
	}
	return false
}

// findJob returns the job of the task with the given name, or nil.
func (c *Core) findJob(task string) *jobState {
	n, ok := job.ParseTaskName(task)
	if !ok {
		return nil
	}
	return c.jobs[n.Job]
}

// findTask returns the task with the given name, or nil. It is nil for a task of an occurrence that is complete and not kept any longer.
func (c *Core) findTask(name string) *task {
	n, ok := job.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil {
		return nil
	}
	if n.Occurrence < j.record.Spec.Repetitions && !j.state.Terminal() {
		c.openListedOccurrence(j, n.Occurrence)
	}
	o := j.occurrences[n.Occurrence]
	if o == nil || n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return o.steps[n.Step].tasks[n.Index]
}
