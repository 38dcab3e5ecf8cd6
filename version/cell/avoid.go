package cell

import (
	"maps"
	"time"
)

// avoidDuration is how long a task avoids a worker on which it failed, stalled or was refused. It is shorter than the time
// within which a service task must run again, since the workers that it avoids may be the only ones that can run it.
const avoidDuration = 5 * time.Second

// minAvoidDuration is that time if the task avoids all workers that suit it. A job must not have nothing running for longer while there is room for it.
const minAvoidDuration = 2 * time.Second

// avoidAfterEarlierFailure is that time for a service task that failed before this leader knew of the run.
const avoidAfterEarlierFailure = 2 * time.Second

// avoidedWorkers holds until when a task avoids workers, by worker ID.
type avoidedWorkers map[string]Instant

// add makes the task avoid a worker from now on, and forgets the workers that it does not avoid any longer.
func (a avoidedWorkers) add(w *worker, now Instant) { a.addFor(w, now, avoidDuration) }

// addFor makes the task avoid a worker for a time.
func (a avoidedWorkers) addFor(w *worker, now Instant, d time.Duration) {
	maps.DeleteFunc(a, func(_ string, until Instant) bool { return now >= until })
	a[w.info.ID] = now + d
}

// contains reports whether the task avoids a worker.
func (a avoidedWorkers) contains(id string, now Instant) bool {
	until, ok := a[id]
	return ok && now < until
}

// mayUse reports whether a task may start on a worker as far as its earlier runs are concerned. A task that has been on all
// workers avoids none, and one that has been on all that suit it avoids them for minAvoidDuration.
func (c *Core) mayUse(w *worker, t *task) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return false
		}
	}
	if !t.avoidedWorkers.contains(w.info.ID, c.now) || len(t.avoidedWorkers) >= len(c.workers) {
		return true
	}
	ending := t.avoidedWorkers[w.info.ID] - avoidDuration + minAvoidDuration
	return c.now >= ending && len(t.avoidedWorkers) >= c.suitableWorkers(t.step)
}
