package backends

import (
	"fmt"
	"hash/crc32"
	"time"
)

// shortestFailure and failureSpread are the range of the times after which a failing worker fails a run.
const shortestFailure, failureSpread = 50 * time.Millisecond, 350 * time.Millisecond

// SetFailing sets whether some workers fail all runs, whatever the task: those that they run now and those that they start. They answer
// all calls meanwhile. A run that is not due to fail before the end of the fault goes on undisturbed.
func (w *Workers) SetFailing(failing bool, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, id := range ids {
		if worker := w.workers[id]; worker != nil {
			worker.failing, worker.failingSince = failing, w.now()
		}
	}
}

// failsBy reports whether a worker that fails all runs has failed a run by now.
func (s *workerState) failsBy(r *activeRun, now time.Duration) bool {
	if !s.failing {
		return false
	}
	name := fmt.Sprintf("%s %d", r.task, r.run)
	delay := shortestFailure + time.Duration(crc32.ChecksumIEEE([]byte(name)))%failureSpread
	at := max(r.startedAt, s.failingSince) + delay
	if !r.behavior.Service {
		// No run ends as done on a failing worker, also not one that would have ended before the delay.
		at = min(at, r.finishAt())
	}
	return at <= now
}
