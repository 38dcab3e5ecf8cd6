package backends

import (
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// Drain makes a worker drain: its registry entry says so for the remaining time, in which the worker goes on as before. Then it leaves with
// all that runs there, and boots again after the downtime. A worker that is down or drains stays as it is.
func (w *Workers) Drain(id string, remaining, downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	worker := w.workers[id]
	if worker == nil || worker.outage != nil || worker.info.Draining {
		return
	}
	worker.info.Draining, worker.info.RemainingMS = true, remaining.Milliseconds()
	if w.crashes.registry.Write != nil {
		w.crashes.registry.Write(worker.info)
	}
	time.AfterFunc(remaining, func() { w.leave(worker, downtime) })
}

// leave ends the process of a worker that has drained, unless it has crashed meanwhile.
func (w *Workers) leave(worker *workerState, downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	id := worker.info.ID
	if w.workers[id] != worker || worker.outage != nil {
		return
	}
	w.recordChange(worker.info, history.ChangeGone)
	w.takeDown(worker, outage{bootAt: w.now() + downtime})
	if w.crashes.registry.Remove != nil {
		w.crashes.registry.Remove(id)
	}
}
