package check

import (
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// ref is a line of the history and its time. Line 0 means that there was no such event.
type ref struct {
	line int
	at   time.Duration
}

func (r ref) known() bool { return r.line > 0 }

// call is a request of a client.
type call struct {
	history.Call
	sent ref
	job  *jobState
}

// taskKey is a task of a job, and stepKey a step of an occurrence.
type taskKey struct{ occurrence, step, index int }
type stepKey struct{ occurrence, step int }

func keyOf(t history.Task) taskKey { return taskKey{t.Occurrence, t.Step, t.Index} }

// jobState is what is known of a job.
type jobState struct {
	id string
	// spec is nil if it was not recorded.
	spec *history.Job
	// submitted is the first call that submits the job, accepted and cancelled the first such answers, cancelSent the first call
	// that cancels it, begun the first start.
	submitted, accepted, cancelSent, cancelled, begun ref
	attempts, refused                                 int
	lastRefusal                                       ref
	// completed and final are the first answers that show the job as completed or in any final state.
	completed, final ref
	// openRuns is the number of runs, idleSince when it became 0.
	openRuns  int
	idleSince time.Duration
	tasks     map[taskKey]*taskState
	// doneTasks counts the tasks of a step that have ended as done.
	doneTasks map[stepKey]int
	// askedLast is the first state call after the traffic, knownLast the first answer to one that shows a state, and unknownLast
	// the last answer that does not.
	askedLast, knownLast, unknownLast ref
	operations                        []operation
	reads                             int
	// idleReported means that the job is reported for standing still, serviceTried that its service tasks are watched. IdleFrom is
	// since when it has stood still; 0 if it does not.
	idleReported, serviceTried bool
	idleFrom                   time.Duration
	// cancelAnswered means that a call that cancels the job was answered.
	cancelAnswered bool
	// openCalls is the number of calls without an answer so far.
	openCalls int
	// archived means that the tasks and operations are forgotten, wasDone that all tasks had ended as done before.
	archived, wasDone bool
}

// step returns a step of the job, or nil if it is not known.
func (j *jobState) step(index int) *history.Step {
	if j.spec == nil || index < 0 || index >= len(j.spec.Steps) {
		return nil
	}
	return &j.spec.Steps[index]
}

// occurrences returns how many times the steps run.
func (j *jobState) occurrences() int { return max(1, j.spec.Repetitions) }

// due returns when an occurrence is due. Jobs without a time are due at once.
func (j *jobState) due(occurrence int) time.Duration {
	if j.spec.Repetitions == 0 {
		return 0
	}
	return time.Duration(j.spec.StartAtUS+int64(occurrence)*j.spec.IntervalUS) * time.Microsecond
}

func (j *jobState) task(k taskKey) *taskState {
	t := j.tasks[k]
	if t == nil {
		if j.tasks == nil {
			j.tasks = map[taskKey]*taskState{}
		}
		t = &taskState{key: k, job: j}
		j.tasks[k] = t
	}
	return t
}

// countDone counts a task that has ended as done for the first time.
func (j *jobState) countDone(k taskKey) {
	if j.doneTasks == nil {
		j.doneTasks = map[stepKey]int{}
	}
	j.doneTasks[stepKey{k.occurrence, k.step}]++
}

// stepDone reports whether all tasks of a step have ended as done. One member stands for a gang.
func (j *jobState) stepDone(occurrence, step int) bool {
	s := j.step(step)
	if s == nil {
		return false
	}
	done := j.doneTasks[stepKey{occurrence, step}]
	return j.wasDone || done >= max(1, s.Count) || s.Gang && done > 0
}

// done reports whether all tasks have ended as done. The spec must be known.
func (j *jobState) done() bool {
	return j.wasDone || j.firstOpen() == j.occurrences()
}

// firstOpen returns the first occurrence of which a task has not ended as done, or the number of occurrences.
func (j *jobState) firstOpen() int {
	if len(j.spec.Steps) == 0 {
		return 0
	}
	for o := range j.occurrences() {
		for s := range j.spec.Steps {
			if !j.stepDone(o, s) {
				return o
			}
		}
	}
	return j.occurrences()
}

// taskState is what is known of a task.
type taskState struct {
	key taskKey
	job *jobState
	// runs are those that have not ended.
	runs []*run
	// completed and failed are the ends as done and as failed, without those that were lost before their acknowledgement.
	completed, failed []*completion
	// done means that a run has ended as done.
	done bool
	// crashes counts the workers that crashed under a run.
	crashes int
	// failures counts the runs that have ended as failed.
	failures int
	ended    time.Duration
	// lastStart is the last start. RoomFrom is since when there has been room for a service task that does not run; 0 if there is none or
	// it runs.
	lastStart ref
	roomFrom  time.Duration
	// lastNoted is when an end of the task was last acknowledged.
	lastNoted ref
	// overBudget are starts after enough failed ends, of which some are not acknowledged yet.
	overBudget []budgetStart
}

func (t *taskState) step() *history.Step { return t.job.step(t.key.step) }

func (t *taskState) speculative() bool { s := t.step(); return s != nil && s.Speculative }
func (t *taskState) longRunning() bool { s := t.step(); return s != nil && s.LongRunning }
func (t *taskState) gang() bool        { s := t.step(); return s != nil && s.Gang }

// completions returns the ends as done that stand for the task: for the member of a gang those of all members.
func (t *taskState) completions() []*completion {
	if !t.gang() {
		return t.completed
	}
	var out []*completion
	for key, member := range t.job.tasks {
		if key.occurrence == t.key.occurrence && key.step == t.key.step {
			out = append(out, member.completed...)
		}
	}
	return out
}

// run is a run that has not ended.
type run struct {
	task     *taskState
	number   uint64
	worker   *workerState
	instance string
	late     bool
	started  ref
	// inTouch says that the instance was in touch when the run began.
	inTouch bool
	// reported means that the run is reported for outliving a cancellation.
	reported bool
}

// completion is an end as done or failed.
type completion struct {
	task   *taskState
	number uint64
	result history.Result
	ended  ref
	// noted is when the end was acknowledged or counts as such; lost means that this cannot happen any more.
	noted ref
	lost  bool
	// acknowledged means that an acknowledgement has reached the end.
	acknowledged bool
	// listed means that the end was listed while nothing was disturbed.
	listed bool
	// watched means that the acknowledgement is waited for.
	watched bool
	// startedAfter are starts of the task after the end, as long as it is not acknowledged.
	startedAfter []ref
}

// remove returns list without item, in any order.
func remove[T comparable](list []T, item T) []T {
	for i, x := range list {
		if x == item {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}
