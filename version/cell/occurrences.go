package cell

import (
	"math"

	"github.com/lentiltide/lentiltide/model/job"
)

// openOccurrence creates an occurrence and queues the steps without dependencies.
func (c *Core) openOccurrence(j *jobState, index int) *occurrence {
	o := &occurrence{index: index}
	j.occurrences[index] = o
	c.account(j)
	for i := range j.record.Spec.Steps {
		s := &step{
			job: j, occurrence: o, index: i, spec: &j.record.Spec.Steps[i], runsPerWorker: map[*worker]int{},
			name: stepName(j.id, index, i),
		}
		s.advice.init()
		avoided := avoidedWorkers{}
		for t := range s.spec.Count {
			if !s.spec.Gang {
				// The members of a gang share the set: what fails one of them ends all.
				avoided = avoidedWorkers{}
			}
			s.tasks = append(s.tasks, &task{
				step: s, index: t, name: job.TaskName{Job: j.id, Occurrence: index, Step: i, Index: t}.String(),
				lastRunNumber: j.baseRunNumber, avoidedWorkers: avoided,
			})
		}
		s.gangRunNumber = j.baseRunNumber
		s.openTasks = len(s.tasks)
		o.steps = append(o.steps, s)
		o.openSteps++
	}
	for _, s := range o.steps {
		c.loadStarts(s, j.progress.startsOf(s))
	}
	if j.progress != nil {
		c.applyProgress(j, o)
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			t.restoreCheckpoint()
		}
	}
	for _, s := range o.steps {
		c.queueStep(s)
	}
	c.finishIfComplete(j)
	return o
}

// openDueOccurrences opens the occurrences of recurring jobs that are due.
func (c *Core) openDueOccurrences() {
	for _, j := range c.recurring {
		j.retireOccurrences()
		c.account(j)
		c.openDueOccurrencesOf(j)
	}
}

const (
	// maxOpenTasks limits the tasks of the open occurrences of a job, so that its progress fits into a row.
	maxOpenTasks = 10_000
	// maxWaitingTasks limits the waiting tasks of each step without dependencies, over all open occurrences of a job, for a further occurrence
	// to be opened. Further ones would wait behind them, and take memory and the time of other jobs.
	maxWaitingTasks = 400
)

func (c *Core) openDueOccurrencesOf(j *jobState) {
	if j.state.Terminal() || c.wallClockMS < j.nextDueMS() {
		return
	}
	for c.wallClockMS >= j.nextDueMS() && c.hasRoomForOccurrence(j) {
		c.openOccurrence(j, j.nextIndex)
	}
}

// hasRoomForOccurrence reports whether a further occurrence may be open beside the others.
func (c *Core) hasRoomForOccurrence(j *jobState) bool {
	if len(j.occurrences) == 0 {
		return true
	}
	return c.admission.fitsBacklog(j.occurrenceSize) && len(j.occurrences)+1 <= maxOpenTasks/max(1, j.record.Spec.Tasks()) &&
		j.waitingRootTasks() < maxWaitingTasks
}

// waitingRootTasks returns the smallest number of waiting tasks of a step without dependencies, over all open occurrences.
func (j *jobState) waitingRootTasks() int {
	fewest := math.MaxInt
	for i := range j.record.Spec.Steps {
		if len(j.record.Spec.Steps[i].DependsOn) > 0 {
			continue
		}
		waiting := 0
		for _, o := range j.occurrences {
			waiting += len(o.steps[i].waiting)
		}
		fewest = min(fewest, waiting)
	}
	return fewest
}

// hasNextOccurrence reports whether a recurring job has occurrences that were not opened, and moves nextIndex to the first of them.
func (j *jobState) hasNextOccurrence() bool {
	for j.nextIndex < j.record.Spec.Repetitions {
		if last, done := j.doneOccurrences.spanEnd(j.nextIndex); done {
			j.nextIndex = last + 1
			continue
		}
		if j.occurrences[j.nextIndex] == nil {
			return true
		}
		j.nextIndex++
	}
	return false
}

// nextDueMS returns when the next occurrence is due, in milliseconds since the Unix epoch.
func (j *jobState) nextDueMS() int64 {
	if !j.hasNextOccurrence() {
		return math.MaxInt64
	}
	return j.record.Spec.DueMS(j.nextIndex)
}

// openListedOccurrence opens an occurrence of which a worker, or the results of a former leader, name a task. It may not be due yet according to
// this instance's clock. The others that a former leader had opened stay closed until they are due here.
func (c *Core) openListedOccurrence(j *jobState, index int) {
	if index < 0 || index >= j.record.Spec.Repetitions || j.occurrences[index] != nil || j.doneOccurrences.contains(index) {
		return
	}
	c.openOccurrence(j, index)
}

// isComplete reports whether all tasks of an occurrence are done.
func (o *occurrence) isComplete() bool { return o.openSteps == 0 }

// retireOccurrences forgets the complete occurrences of a job on whose tasks no run is left. Only their indexes are kept.
func (j *jobState) retireOccurrences() {
	for index, o := range j.occurrences {
		if o.isComplete() && !o.hasRuns() {
			j.doneOccurrences = j.doneOccurrences.with(index)
			delete(j.occurrences, index)
		}
	}
}

func (o *occurrence) hasRuns() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// finishIfComplete completes the job when all of its occurrences are complete.
func (c *Core) finishIfComplete(j *jobState) {
	if j.hasNextOccurrence() || j.state.Terminal() {
		return
	}
	for _, o := range j.occurrences {
		if !o.isComplete() {
			return
		}
	}
	c.finishJob(j, job.Completed, "")
}
