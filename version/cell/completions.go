package cell

import (
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// pendingAck is a completion that may be acknowledged once a change of its job is durable.
type pendingAck struct {
	number int64
	// unresolved means that the completion waits for its job to become known.
	unresolved bool
	// job is the job of the completion, and change the number of its change; nil if there is no such job.
	job    *jobState
	change uint64
}

// isDurable reports whether a completion may be acknowledged.
func (a pendingAck) isDurable() bool {
	return !a.unresolved && (a.job == nil || a.change <= a.job.storedChange)
}

// recordCompletions queues the completions that are new and handles those whose job is known.
func (c *Core) recordCompletions(w *worker, ended []backend.FinishedRun) {
	for _, e := range ended {
		if e.Number > w.lastReadCompletion {
			w.lastReadCompletion = e.Number
			w.pendingAcks = append(w.pendingAcks, pendingAck{number: e.Number, unresolved: true})
			c.awaitingAcks[w] = struct{}{}
			w.unknownCompletions = append(w.unknownCompletions, e)
			if c.findTask(e.Task) == nil {
				c.recordUnknownPlacement(e.Task, e.Run, w)
			}
		}
	}
	c.handleResolvedCompletions(w)
}

// handleResolvedCompletions handles the completions whose job is known or does not exist. The others wait
// for their jobs. They delay the acknowledgement of later completions, but not their handling.
func (c *Core) handleResolvedCompletions(w *worker) {
	var unresolved []backend.FinishedRun
	for _, e := range w.unknownCompletions {
		if c.findTask(e.Task) == nil && c.awaitsJobRecord(w, e.Task) {
			unresolved = append(unresolved, e)
			continue
		}
		c.handleCompletion(w, e)
		required := pendingAck{number: e.Number, job: c.findJob(e.Task)}
		if required.job != nil {
			// The completion may repeat a state that is known but not durable yet.
			required.change = required.job.lastChange
		}
		w.setRequiredChange(required)
	}
	w.unknownCompletions = unresolved
	c.advanceAcks(w)
}

// setRequiredChange sets the change that must be durable before a completion is acknowledged.
func (w *worker) setRequiredChange(required pendingAck) {
	for i := range w.pendingAcks {
		if w.pendingAcks[i].number == required.number {
			w.pendingAcks[i] = required
		}
	}
}

// advanceAcks raises the number up to which the worker may forget completions to the last one that is durable.
func (c *Core) advanceAcks(w *worker) {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].isDurable() {
		w.lastAckedCompletion = w.pendingAcks[n].number
		n++
	}
	w.pendingAcks = w.pendingAcks[n:]
	if len(w.pendingAcks) == 0 {
		delete(c.awaitingAcks, w)
	}
	if n > 0 {
		w.signalAcks()
	}
}

// signalAcks wakes the caller that waits for the acknowledgements of the worker.
func (w *worker) signalAcks() {
	select {
	case w.acksChanged <- struct{}{}:
	default:
	}
}

// handleCompletion processes a completion that a worker lists.
func (c *Core) handleCompletion(w *worker, e backend.FinishedRun) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		c.removeRun(r)
	}
	t := c.findTask(e.Task)
	c.recordCompletionPlacement(runKey{e.Task, e.Run}, w, t)
	if t == nil {
		c.logDecision("unknown_end", "", map[string]any{"task": e.Task, "run": e.Run, "worker": w.info.ID, "how": e.Result})
		return
	}
	s := t.step
	t.forgetFormerRun(e.Run)
	t.lastRunNumber = max(t.lastRunNumber, e.Run)
	s.job.started = true
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
		if s.spec.Gang {
			s.gangCheckpoint = e.Checkpoint
		}
	}
	c.logDecision("run_ended", s.job.id, map[string]any{"task": t.name, "run": e.Run, "worker": w.info.ID, "how": e.Result})
	switch e.Result {
	case backend.ResultDone:
		c.handleRunSucceeded(t, r, w)
	case backend.ResultFailed:
		c.handleRunFailed(t, r, e.Run, w)
	}
	if r != nil {
		c.handleRunRemoved(r)
	}
}

// handleRunSucceeded handles a run that has finished its task.
func (c *Core) handleRunSucceeded(t *task, r *run, w *worker) {
	s := t.step
	c.recordSuccess(r, w)
	if r != nil && s.observedDuration == 0 && r.checkpoint == "" {
		s.observedDuration = c.now - r.createdAt
	}
	if r != nil && !t.done {
		c.recordDuration(r)
	}
	if s.spec.LongRunning {
		return
	}
	if s.spec.Gang {
		// The completion of one member completes the whole gang.
		for _, member := range s.tasks {
			c.completeTask(member, nil)
		}
		return
	}
	c.completeTask(t, r)
}

// handleRunFailed counts a failed run; r is nil if it has ended before the ledger had it. Failed runs of service tasks are not counted towards
// the limit of attempts.
func (c *Core) handleRunFailed(t *task, r *run, number int64, w *worker) {
	s := t.step
	if s.spec.LongRunning {
		c.handleServiceFailure(t, r, w)
		return
	}
	c.recordFailure(t, r, w)
	t.avoidedWorkers.add(w, c.now)
	if t.done || s.job.state.Terminal() {
		return
	}
	failureOwner := t
	if s.spec.Gang {
		// The members of a gang fail together, so failures are counted on the first member only.
		failureOwner = s.tasks[0]
	}
	if slices.Contains(failureOwner.failedRuns, number) {
		return
	}
	failureOwner.failedRuns = append(failureOwner.failedRuns, number)
	c.markChanged(s.job)
	if len(failureOwner.failedRuns) >= max(1, s.job.queue.MaxAttempts) {
		c.finishJob(s.job, job.Failed, "task "+t.name+" failed in every attempt")
	}
}

// minServiceRun is how long a service task works on a sound worker at least, for its failure not to be held against the worker.
const minServiceRun = 5 * time.Second

// handleServiceFailure makes a service task avoid the worker on which it has failed, and counts an early failure against the worker: service
// tasks may fail at any time, and all workers that suit them would be avoided in the end. How long a run of a former leader has worked is not
// known. A run that the ledger did not have may have failed
// some time before this epoch.
func (c *Core) handleServiceFailure(t *task, r *run, w *worker) {
	if r == nil {
		t.avoidedWorkers.addFor(w, c.now, avoidAfterEarlierFailure)
		return
	}
	startedHere := r.number > t.step.job.baseRunNumber
	if startedHere && c.now < r.createdAt+minServiceRun {
		c.recordFailure(t, r, w)
	}
	t.avoidedWorkers.add(w, c.now)
}
