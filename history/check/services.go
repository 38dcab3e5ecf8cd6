package check

import (
	"slices"

	"github.com/lentiltide/lentiltide/history"
)

// hasService reports whether a step of the job has service tasks.
func (j *jobState) hasService() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s history.Step) bool { return s.LongRunning })
}

// maxServiceTasks is the number of tasks of a service step that are watched.
const maxServiceTasks = 1000

// checkServices checks the service tasks of a job.
func (k *checker) checkServices(j *jobState) {
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if !s.LongRunning || !k.turnCame(j, i) {
			continue
		}
		if !j.serviceTried && k.calmSince(k.now.at) {
			j.serviceTried = true
			k.result(nameService).tried++
		}
		for n := range min(s.Count, maxServiceTasks) {
			k.checkService(j.task(taskKey{0, i, n}))
		}
	}
}

// turnCame reports whether the tasks of a step of the first occurrence may run.
func (k *checker) turnCame(j *jobState, step int) bool {
	for _, d := range j.spec.Steps[step].DependsOn {
		if !j.stepDone(0, d) {
			return false
		}
	}
	return j.due(0) <= k.now.at
}

// checkService: a service task does not run for idleTime, from serviceTime after its last run, while there is capacity for it twice over,
// and nothing is disturbed from calmTime before. The capacity is looked at every idlePeriod; the other times are exact.
func (k *checker) checkService(t *taskState) {
	j := t.job
	if _, open := k.open[j]; !open || j.idleReported {
		return
	}
	away := len(t.runs) == 0
	room := k.heldFor(&t.roomFrom, away && k.roomTwice(j, t.step()))
	if t.roomFrom == 0 || k.all.active > 0 {
		return
	}
	due := idleTime + max(t.ended+serviceTime, j.accepted.at+serviceTime, k.all.ended+calmTime, k.now.at-room)
	switch {
	case due <= k.now.at:
		j.idleReported = true
		k.broken(k.result(nameService), "a service task does not run though there is capacity", j.accepted, t.lastStart, k.now)
	case due < k.now.at+idlePeriod:
		k.timers.add(due, func() { k.checkService(t) })
	}
}
