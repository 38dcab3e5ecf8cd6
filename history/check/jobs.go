package check

import (
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// gangAlone: a member waited for the others in vain, before its job is cancelled, with its sender in touch and nothing disturbed.
func gangAlone(k *checker, r *result) {
	if k.run == nil || !k.run.task.gang() {
		return
	}
	e, j := k.event.End, k.run.task.job
	if !k.run.inTouch || j.cancelSent.known() || !k.calmSince(k.run.started.at) {
		return
	}
	r.tried++
	if e.Result == history.ResultAlone {
		k.broken(r, "a member of a gang ends alone", k.run.started, k.now)
	}
}

// unaskedStart: a start of what no client has sent, or with another payload.
func unaskedStart(k *checker, r *result) {
	r.tried++
	t, s := k.run.task, k.event.Start
	j := t.job
	switch {
	case !j.submitted.known():
		k.broken(r, "a task starts of a job that nobody submitted", k.now)
	case j.spec == nil:
	case t.step() == nil || t.key.index >= t.step().Count || t.key.occurrence >= j.occurrences():
		k.broken(r, "a task starts that its job does not have", j.submitted, k.now)
	case s.Payload != "" && j.spec.Payload != "" && s.Payload != j.spec.Payload:
		k.broken(r, "a task starts with another payload than the client has sent", j.submitted, k.now)
	}
}

// startAfterCancel: an instance in touch starts a task later than the bound after the cancellation was acknowledged.
func startAfterCancel(k *checker, r *result) {
	cancelled := k.run.task.job.cancelled
	if !cancelled.known() || k.run.late || !k.run.inTouch {
		return
	}
	r.tried++
	if k.now.at > cancelled.at+cancelTime {
		k.broken(r, "a task starts after the cancellation of its job", cancelled, k.now)
	}
}

// cancelledJob counts the jobs that are cancelled while they run. The timer of applyCancellation checks them.
func cancelledJob(k *checker, r *result) {
	if k.event.Answer.Verdict == history.VerdictCancelled && k.call.job != nil && k.call.job.openRuns > 0 {
		r.tried++
	}
}

// goneBy returns when a run of a cancelled job must have ended. A start that came late, or from an instance that was not in
// touch, is counted from when it is in touch.
func (r *run) goneBy(j *jobState) time.Duration {
	from := j.cancelled.at
	if r.started.at > from && (r.late || !r.inTouch) {
		from = r.started.at + contactTime
	}
	return from + cancelTime + stopTime
}

// checkRunsAfterCancel: a task runs after its time, and after any calm time of the length that a cancellation takes.
func (k *checker) checkRunsAfterCancel(j *jobState) {
	if j.openRuns == 0 {
		return
	}
	from := k.now.at - cancelTime - stopTime
	r := k.result(nameRunsOn)
	again := false
	for _, t := range j.tasks {
		for _, run := range t.runs {
			switch {
			case run.reported:
			case k.calmSince(from) && k.now.at >= run.goneBy(j):
				run.reported = true
				k.broken(r, "a task runs on after the cancellation of its job", run.started, j.cancelled, k.now)
			default:
				again = true
			}
		}
	}
	if again {
		k.repeat(cancelTime+stopTime, func() { k.checkRunsAfterCancel(j) })
	}
}

// refusedStart: a task starts, and all attempts to submit its job were rejected.
func refusedStart(k *checker, r *result) {
	for _, j := range k.sortedJobs() {
		if j.refused == 0 {
			continue
		}
		r.tried++
		if j.begun.known() && j.refused == j.attempts {
			k.broken(r, "a task starts of a job of which all attempts were rejected", j.submitted, j.begun, j.lastRefusal)
		}
	}
}

// shownCompleted: a job is shown as completed while a task has not ended as done.
func shownCompleted(k *checker, r *result) {
	j := k.call.job
	if k.event.Answer.State != history.StateCompleted || j == nil || j.spec == nil {
		return
	}
	r.tried++
	if !j.done() {
		k.broken(r, "a job is shown as completed while a task has not ended as done", j.submitted, k.call.sent, k.now)
	}
}

// shownState: the state cannot be read.
func shownState(k *checker, r *result) {
	a := k.event.Answer
	if a.Verdict != history.VerdictState {
		return
	}
	r.tried++
	if s := a.State; !s.Final() && s != history.StateQueued && s != history.StateRunning {
		k.broken(r, "a job is shown in a state that does not exist", k.call.sent, k.now)
	}
}

// shownUnknown: a job is shown that nobody submitted.
func shownUnknown(k *checker, r *result) {
	j := k.call.job
	if k.event.Answer.Verdict != history.VerdictState || j == nil {
		return
	}
	r.tried++
	if !j.submitted.known() {
		k.broken(r, "a job is shown that nobody submitted", k.call.sent, k.now)
	}
}

// shownWaiting: an instance in touch gives under half of the jobs without times that were accepted before the bound and of which
// nothing has started.
func shownWaiting(k *checker, r *result) {
	c, a := k.call, k.event.Answer
	if a.Verdict != history.VerdictWaiting || c.Queue == "" || !k.inTouchSince(c.Instance, c.sent.at) {
		return
	}
	var waiting []ref
	for j := range k.queue(c.Queue).notBegun {
		if j.spec.Repetitions == 0 && j.accepted.at+visibleTime+waitingAge < c.sent.at {
			waiting = append(waiting, j.accepted)
		}
	}
	if len(waiting) == 0 {
		return
	}
	r.tried++
	if 2*a.Waiting < len(waiting) {
		k.broken(r, "under half of the waiting jobs are shown", append(waiting, c.sent, k.now)...)
	}
}
