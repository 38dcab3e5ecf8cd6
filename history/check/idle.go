package check

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// idlePeriod is the time between two checks of what stands still.
const idlePeriod = 500 * time.Millisecond

// checkIdle checks the jobs that are accepted and not finished. It runs every idlePeriod once there is one.
func (k *checker) checkIdle() {
	k.repeat(idlePeriod, k.checkIdle)
	asked := k.trafficEnded.known() && k.now.at >= k.trafficEnded.at+finishTime
	for _, j := range k.openJobs() {
		if j.idleReported || !asked && !j.hasService() || k.failed(j) {
			continue
		}
		if asked {
			k.checkIdleJob(j)
		}
		if !j.idleReported {
			k.checkServices(j)
		}
	}
}

// openJobs returns the accepted jobs with a spec that are neither cancelled nor shown in a final state, in a fixed order.
func (k *checker) openJobs() []*jobState {
	out := make([]*jobState, 0, len(k.open))
	for j := range k.open {
		if j.spec != nil {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *jobState) int { return cmp.Compare(a.accepted.line, b.accepted.line) })
	return out
}

// checkIdleJob: after the traffic, a job has had nothing running for the bound while a task's turn has come, there is capacity for it
// twice over, and under half of the capacity of its service is in use.
func (k *checker) checkIdleJob(j *jobState) {
	s := k.readyStep(j)
	ready := s != nil && k.calmSince(k.now.at) && !k.halfUsed(j) && k.roomTwice(j, s)
	if ready {
		k.result(nameIdle).tried++
	}
	if k.heldFor(&j.idleFrom, ready && j.openRuns == 0) >= idleTime {
		j.idleReported = true
		k.broken(k.result(nameIdle), "nothing of a job runs though there is capacity", j.accepted, k.now)
	}
}

// heldFor records whether a condition holds now, and returns for how long it has held at each check. From is the first of these
// checks, 0 for none.
func (k *checker) heldFor(from *time.Duration, holds bool) time.Duration {
	switch {
	case !holds:
		*from = 0
		return 0
	case *from == 0:
		*from = k.now.at
	}
	return k.now.at - *from
}

// readyStep returns a step of the first occurrence that is not done, of which a task's turn came before the bound; nil if there is
// none.
func (k *checker) readyStep(j *jobState) *history.Step {
	o := j.firstOpen()
	if o == j.occurrences() || j.due(o)+idleTime > k.now.at {
		return nil
	}
	for i := range j.spec.Steps {
		ready := !j.stepDone(o, i)
		for _, d := range j.spec.Steps[i].DependsOn {
			ready = ready && j.stepDone(o, d)
		}
		if ready {
			return &j.spec.Steps[i]
		}
	}
	return nil
}

// halfUsed reports whether half of the capacity of the workers of a job's service that are up is in use in a dimension.
func (k *checker) halfUsed(j *jobState) bool {
	var used, capacity history.Resources
	for _, w := range k.workers {
		if w.up && w.described && k.serves(w, j.spec.Queue) {
			used, capacity = add(used, w.used, 1), add(capacity, w.info.Capacity, 1)
		}
	}
	over := func(used, capacity int64) bool { return used > 0 && 2*used >= capacity }
	return over(used.CPUMilli, capacity.CPUMilli) || over(used.MemoryMB, capacity.MemoryMB) || over(used.GPU, capacity.GPU)
}

// roomTwice reports whether a task of a step, or a gang, fits the free capacity twice.
func (k *checker) roomTwice(j *jobState, s *history.Step) bool {
	needed := 2
	if s.Gang {
		needed = 2 * s.Count
	}
	free := func(w *workerState) history.Resources { return add(w.info.Capacity, w.used, -1) }
	return !k.mayLackWorker(j) && k.places(j, s, needed, free) >= needed
}
