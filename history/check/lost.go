package check

import (
	"slices"
	"strings"

	"github.com/lentiltide/lentiltide/history"
)

// lostJob: an instance in touch does not know an accepted job that nobody has cancelled, later than the bound after its
// acceptance. Final states need not be known after their retention.
func lostJob(k *checker, r *result) {
	c, j := k.call, k.call.job
	if c.Operation != history.OperationState || j == nil || !j.accepted.known() || j.cancelSent.known() || !k.inTouchSince(c.Instance, c.sent.at) {
		return
	}
	if c.sent.at <= j.accepted.at+visibleTime || k.retentionOver(j) {
		return
	}
	r.tried++
	if k.event.Answer.Verdict == history.VerdictNotFound {
		k.broken(r, "an accepted job is not known", j.accepted, c.sent, k.now)
	}
}

// retentionOver reports whether the final state of a job may be forgotten.
func (k *checker) retentionOver(j *jobState) bool {
	finished := j.final.known() || j.spec != nil && j.openRuns == 0 && j.done()
	return finished && k.now.at > max(j.final.at, j.idleSince)+retentionTime
}

// lostVerdict: a job is shown as cancelled that nobody has cancelled, or as failed though no task has failed as often as its queue
// allows. A crash of its worker counts as an attempt here, and a job that no set of workers can hold may fail.
func lostVerdict(k *checker, r *result) {
	j, a := k.call.job, k.event.Answer
	switch {
	case j == nil || a.Verdict != history.VerdictState:
	case a.State == history.StateCancelled:
		r.tried++
		if !j.cancelSent.known() {
			k.broken(r, "a job is shown as cancelled that nobody has cancelled", j.submitted, k.call.sent, k.now)
		}
	case a.State == history.StateFailed && j.spec != nil:
		if smallest, _ := k.attempts(j.spec.Queue); smallest > 0 {
			r.tried++
			if !k.failedOften(j, smallest) && !k.mayLackWorker(j) {
				k.broken(r, "a job is shown as failed without cause", j.submitted, k.call.sent, k.now)
			}
		}
	}
}

// failed reports whether a job has failed by the attempts that its queue allows.
func (k *checker) failed(j *jobState) bool {
	smallest, _ := k.attempts(j.spec.Queue)
	return smallest > 0 && k.failedOften(j, smallest)
}

// failedOften reports whether a task, or the tasks of a gang together, have failed as often as allowed. Service tasks have no such limit.
func (k *checker) failedOften(j *jobState, attempts int) bool {
	gangs := map[stepKey]int{}
	for _, t := range j.tasks {
		if t.longRunning() {
			continue
		}
		failures := t.failures + t.crashes
		if t.gang() {
			key := stepKey{t.key.occurrence, t.key.step}
			gangs[key] += failures
			failures = gangs[key]
		}
		if failures >= attempts {
			return true
		}
	}
	return false
}

// mayLackWorker reports whether the workers that are up may be unable to hold a step of a job: those that are described cannot, or a
// placement policy may permit none.
func (k *checker) mayLackWorker(j *jobState) bool {
	restricted := false
	k.queueVersions(j.spec.Queue, func(q history.Queue) { restricted = restricted || q.RestrictsWorkers })
	if restricted {
		return true
	}
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		needed := 1
		if s.Gang {
			needed = s.Count
		}
		if k.places(j, s, needed, func(w *workerState) history.Resources { return w.info.Capacity }) < needed {
			return true
		}
	}
	return false
}

// places returns how many tasks of a step fit the capacity that available gives for a worker, at most limit.
func (k *checker) places(j *jobState, s *history.Step, limit int, available func(*workerState) history.Resources) int {
	n := 0
	for _, w := range k.workers {
		if !w.up || !w.described || !w.hasLabel(s.RequiredLabel) || !k.serves(w, j.spec.Queue) {
			continue
		}
		here := limit
		if s.MaxPerWorker > 0 {
			here = min(here, s.MaxPerWorker)
		}
		if n += fits(demandOf(s), available(w), here); n >= limit {
			return limit
		}
	}
	return n
}

// serves reports whether the newest configuration sends a queue to the service of a worker.
func (k *checker) serves(w *workerState, queue string) bool {
	if len(k.versions) == 0 {
		return true
	}
	q, ok := k.versions[len(k.versions)-1].queues[queue]
	return ok && q.Service == w.info.Service
}

// lostAtEnd: a job that is asked for after the traffic is not known, or gets no answer, at all attempts.
func lostAtEnd(k *checker, r *result) {
	for _, j := range k.sortedJobs() {
		if !j.askedLast.known() || !j.accepted.known() || j.cancelSent.known() || k.retentionOver(j) {
			continue
		}
		if !j.knownLast.known() && !j.unknownLast.known() {
			continue
		}
		r.tried++
		if !j.knownLast.known() {
			k.broken(r, "a job is not known after the end of the traffic", j.accepted, j.askedLast, j.unknownLast)
		}
	}
}

// sortedJobs returns the jobs in the order of their first submission.
func (k *checker) sortedJobs() []*jobState {
	out := make([]*jobState, 0, len(k.jobs))
	for _, j := range k.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *jobState) int {
		if a.submitted.line != b.submitted.line {
			return a.submitted.line - b.submitted.line
		}
		return strings.Compare(a.id, b.id)
	})
	return out
}
