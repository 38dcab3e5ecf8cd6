package cell

import "github.com/lentiltide/lentiltide/model/job"

// openOccurrence creates an occurrence and queues the steps without dependencies.
func (c *Core) openOccurrence(j *jobState, index int) *occurrence {
	o := &occurrence{index: index}
	j.occurrences[index] = o
	j.openedOccurrences = max(j.openedOccurrences, index+1)
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
		c.queueStep(s)
	}
	c.finishIfComplete(j)
	return o
}

// openDueOccurrences opens the occurrences of recurring jobs that are due.
func (c *Core) openDueOccurrences() {
	for _, j := range c.recurring {
		j.retireOccurrences()
		c.openDueOccurrencesOf(j)
	}
}

// maxOpenTasks limits the tasks of the open occurrences of a job. Those of further occurrences that are due wait until earlier ones are
// complete, so that a backlog takes neither the memory of the instance nor the time of other jobs, and its progress fits into a row.
const maxOpenTasks = 10_000

func (c *Core) openDueOccurrencesOf(j *jobState) {
	spec := &j.record.Spec
	for !j.state.Terminal() && j.openedOccurrences < spec.Repetitions && j.hasRoomForOccurrence() &&
		c.wallClockMS >= spec.DueMS(j.openedOccurrences) {
		c.openOccurrence(j, j.openedOccurrences)
	}
}

// hasRoomForOccurrence reports whether a further occurrence may be open beside the others.
func (j *jobState) hasRoomForOccurrence() bool {
	return len(j.occurrences) == 0 || len(j.occurrences)+1 <= maxOpenTasks/max(1, j.record.Spec.Tasks())
}

// openOccurrencesUpTo opens the occurrences up to the one with the given index. A former leader has opened it, and those
// before it are due as well, even if they are not due yet according to this instance's clock.
func (c *Core) openOccurrencesUpTo(j *jobState, index int) {
	for j.openedOccurrences <= index && j.openedOccurrences < j.record.Spec.Repetitions {
		if j.doneOccurrences.contains(j.openedOccurrences) {
			j.openedOccurrences++
			continue
		}
		c.openOccurrence(j, j.openedOccurrences)
	}
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
	if j.openedOccurrences < max(1, j.record.Spec.Repetitions) {
		return
	}
	for _, o := range j.occurrences {
		if !o.isComplete() {
			return
		}
	}
	c.finishJob(j, job.Completed, "")
}
