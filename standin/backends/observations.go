package backends

import (
	"slices"
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// Info returns what a worker reports about itself.
func (w *Workers) Info(id string) backend.WorkerInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	if worker := w.workers[id]; worker != nil {
		return worker.info
	}
	return backend.WorkerInfo{}
}

// Running returns how many runs a worker has.
func (w *Workers) Running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.workers[id].running)
}

// shownGrace is the time after a job was shown as completed in which a start of its tasks may still arrive.
const shownGrace = time.Second

// ShowCompleted records that a caller was told that a job is completed. Starts of its tasks from shownGrace after that on are
// violations.
func (w *Workers) ShowCompleted(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.shownAt[job]; !ok {
		w.shownAt[job] = w.now()
	}
}

// ShownCompleted returns the number of jobs that callers were told are completed.
func (w *Workers) ShownCompleted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.shownAt)
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// Violations describes the violations that the workers observed: a task started again after it was done, if that end was
// acknowledged then or later, or after its job was shown as completed, a task that runs on two workers, a worker over its capacity, or
// a task that is not given up although the workers that start it crash.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// Starts returns how many runs of a task were started.
func (w *Workers) Starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// Failures returns how many runs of a task have ended as failed.
func (w *Workers) Failures(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.failures[task]
}

// Done reports whether a run of a task ended as done.
func (w *Workers) Done(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	_, ok := w.doneAt[task]
	return ok
}

// DoneAt returns when a run of a task first ended as done, on the clock of Workers, and whether one did.
func (w *Workers) DoneAt(task string) (at time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	at, ok = w.doneAt[task]
	return at, ok
}

// Acknowledged reports whether the scheduler acknowledged the completion of a run that ended as done, after which the
// worker drops its record.
func (w *Workers) Acknowledged(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged[task]
}

// RunningOn returns the sorted ids of the workers on which a task runs.
func (w *Workers) RunningOn(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var ids []string
	for id, worker := range w.workers {
		if worker.running[task] != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RunningTasks returns the names of all running tasks.
func (w *Workers) RunningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var tasks []string
	for _, worker := range w.workers {
		for name := range worker.running {
			tasks = append(tasks, name)
		}
	}
	return tasks
}
