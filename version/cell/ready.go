package cell

import (
	"slices"
	"time"
)

// readyQueue holds the steps with waiting tasks in the order of their ranks. A scheduling round only considers the steps
// for which something has changed, so that its cost does not grow with the number of waiting steps.
type readyQueue struct {
	// ranked are the ready steps, and until the next update also steps that were ready before.
	ranked []*step
	// last is the rank of the last ready step.
	last rank
	// unsorted means that steps were added, or that their ranks may have changed.
	unsorted bool
	// anyFreed means that capacity has become free since the last update, which steps that need no advice could use wherever
	// it is. freedCount counts how often that happened.
	anyFreed   bool
	freedCount uint64
	// freed are the workers whose capacity has become free last, one entry for each time, at most 2*maxFreed.
	freed []*worker
}

// queuePosition is the state of a step in the queue.
type queuePosition struct {
	queued bool
	rank   rank
	// tryPlacement means that a worker may have become available since the last attempt.
	tryPlacement bool
	// nextAdviceAt is the earliest time at which the step looks for workers to ask about again, unless capacity becomes free
	// before: freedCount was the count when it last found none.
	nextAdviceAt Instant
	freedCount   uint64
}

// mayAskAdvice reports whether a step may find workers to ask about.
func (q *readyQueue) mayAskAdvice(s *step, now Instant) bool {
	return now >= s.queuePosition.nextAdviceAt || s.queuePosition.freedCount != q.freedCount
}

// noAdviceCandidates records that a step found no worker to ask about.
func (q *readyQueue) noAdviceCandidates(s *step, now Instant) {
	s.queuePosition.nextAdviceAt = now + adviceRetryInterval
	s.queuePosition.freedCount = q.freedCount
}

// adviceRetryInterval is the time after which a step without a worker to ask about looks for one again.
const adviceRetryInterval = 20 * time.Millisecond

// add adds a step that has waiting tasks.
func (q *readyQueue) add(c *Core, s *step) {
	s.queuePosition.tryPlacement = true
	s.queuePosition.nextAdviceAt = 0
	if s.queuePosition.queued {
		return
	}
	s.queuePosition.queued = true
	s.queuePosition.rank = c.rankOf(s)
	q.ranked = append(q.ranked, s)
	q.unsorted = true
	for id := range s.advice.approved {
		q.watch(s, c.workers[id])
	}
}

// remove removes a step without waiting tasks. It leaves the order at the next update.
func (q *readyQueue) remove(s *step) { q.unsorted = q.unsorted || s.queuePosition.queued }

// update puts the steps in order at the start of a scheduling round.
func (q *readyQueue) update(c *Core) {
	if q.anyFreed {
		q.anyFreed = false
		for _, s := range q.ranked {
			s.queuePosition.tryPlacement = s.queuePosition.tryPlacement || s.job.queue.Advice == nil
		}
	}
	if !q.unsorted {
		return
	}
	q.unsorted = false
	q.ranked = slices.DeleteFunc(q.ranked, func(s *step) bool {
		s.queuePosition.queued = len(s.waiting) > 0
		return !s.queuePosition.queued
	})
	slices.SortFunc(q.ranked, func(a, b *step) int { return a.queuePosition.rank.compare(b.queuePosition.rank) })
	if len(q.ranked) > 0 {
		q.last = q.ranked[len(q.ranked)-1].queuePosition.rank
	}
}

// markAll makes the next round consider every step, since conditions that depend on the time may have changed.
func (q *readyQueue) markAll(c *Core) {
	for _, s := range q.ranked {
		s.queuePosition.tryPlacement = true
		s.queuePosition.rank = c.rankOf(s)
	}
	q.unsorted = true
}

// watch makes the next round consider a step when capacity becomes free on a worker, which may be nil.
func (q *readyQueue) watch(s *step, w *worker) {
	if w != nil {
		w.watchers[s] = struct{}{}
	}
}

// capacityFreed makes the next round consider the steps that may run on a worker.
func (q *readyQueue) capacityFreed(w *worker) {
	for s := range w.watchers {
		if !s.queuePosition.queued {
			delete(w.watchers, s)
			continue
		}
		s.queuePosition.tryPlacement = true
	}
	q.anyFreed = true
	q.freedCount++
	if len(q.freed) == 2*maxFreed {
		q.freed = append(q.freed[:0], q.freed[maxFreed:]...)
	}
	q.freed = append(q.freed, w)
}

// maxFreed is the number of entries of readyQueue.freed that are kept at least.
const maxFreed = 512

// freedSince returns the workers whose capacity has become free since a step found no worker to ask about. ok is false if not all of them
// are known any longer.
func (q *readyQueue) freedSince(s *step) (freed []*worker, ok bool) {
	n := q.freedCount - s.queuePosition.freedCount
	if n > uint64(len(q.freed)) {
		return nil, false
	}
	return q.freed[uint64(len(q.freed))-n:], true
}
