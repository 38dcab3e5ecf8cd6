package check

import "github.com/lentiltide/lentiltide/history"

// archiveLater forgets the tasks and calls of a job once its final state need not be shown any more, so that the memory for a long
// history does not grow with the number of its tasks. Jobs that have failed keep their tasks, whose attempts are counted.
func (k *checker) archiveLater(j *jobState) {
	k.repeat(retentionTime, func() {
		if j.openRuns > 0 || j.openCalls > 0 || !j.settled() {
			k.archiveLater(j)
			return
		}
		k.checkLinearizable(j)
		j.wasDone = j.spec != nil && j.done()
		j.archived, j.operations, j.tasks, j.doneTasks = true, nil, nil, nil
	})
}

// settled reports whether the acknowledgements that are to come cannot break a sentence: the job is cancelled, or each of its tasks
// has an end as done that is acknowledged.
func (j *jobState) settled() bool {
	if j.cancelled.known() {
		return true
	}
	if j.spec == nil || !j.done() {
		return false
	}
	for _, t := range j.tasks {
		noted := false
		for _, c := range t.completions() {
			noted = noted || c.noted.known()
		}
		if !noted {
			return false
		}
	}
	return true
}

// startAfterArchive: a start of a task that is not remembered, but whose end as done was acknowledged.
func (k *checker) startAfterArchive(r *result) {
	if j := k.run.task.job; j.archived && j.wasDone {
		k.broken(r, "a task starts long after its job was done", j.submitted, j.final, k.now)
	}
}

// checkLinearizable checks the calls of a job that were observed.
func (k *checker) checkLinearizable(j *jobState) {
	if len(j.operations) < 2 {
		return
	}
	r := k.result(nameLinearizable)
	r.tried++
	k.recordOrder(r, j.operations)
}

// finalShown records that a job is shown in a final state for the first time.
func (k *checker) finalShown(j *jobState) {
	j.final = k.now
	if q := queueOf(j); q != "" {
		delete(k.queue(q).notBegun, j)
	}
	if k.event.Answer.State != history.StateFailed {
		k.archiveLater(j)
	}
}
