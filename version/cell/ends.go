package cell

import (
	"math"
	"slices"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// pendingAck is an end that may be acknowledged when the change with a number is durable.
type pendingAck struct {
	number int64
	change uint64
}

// neverDurable is the change of an end that waits for its job, higher than any that becomes durable.
const neverDurable = math.MaxUint64

// recordCompletions handles the ends that are new.
func (c *Core) recordCompletions(w *worker, ended []backend.EndedTask) {
	for _, e := range ended {
		if e.Number > w.lastHandledCompletion {
			w.lastHandledCompletion = e.Number
			w.pendingAcks = append(w.pendingAcks, pendingAck{e.Number, neverDurable})
			w.unknownCompletions = append(w.unknownCompletions, e)
		}
	}
	c.handleResolvedCompletions(w)
}

// handleResolvedCompletions handles the ends whose job is known. The others wait for theirs, and keep the later ones from being
// acknowledged, but not from being handled.
func (c *Core) handleResolvedCompletions(w *worker) {
	var unresolved []backend.EndedTask
	for _, e := range w.unknownCompletions {
		if c.findTask(e.Task) == nil && !c.belongsToFinishedJob(e.Task) && c.awaitsJobRecord(w) {
			unresolved = append(unresolved, e)
			continue
		}
		changesBefore := c.changeCount
		c.handleCompletion(w, e)
		requiredChange := uint64(0)
		if c.changeCount > changesBefore {
			requiredChange = c.changeCount
		} else if t := c.findTask(e.Task); t != nil {
			// The end may repeat what is known but not yet durable.
			requiredChange = t.step.job.lastChange
		}
		w.setRequiredChange(e.Number, requiredChange)
	}
	w.unknownCompletions = unresolved
	c.advanceAcks(w)
}

// setRequiredChange enters the change that must be durable before an end is acknowledged.
func (w *worker) setRequiredChange(number int64, change uint64) {
	for i := range w.pendingAcks {
		if w.pendingAcks[i].number == number {
			w.pendingAcks[i].change = change
		}
	}
}

// advanceAcks raises what a worker may forget to what is durable.
func (c *Core) advanceAcks(w *worker) {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].change <= c.durableChange {
		w.lastAckedCompletion = w.pendingAcks[n].number
		n++
	}
	if n == 0 {
		return
	}
	w.pendingAcks = w.pendingAcks[n:]
	select {
	case w.acksChanged <- struct{}{}:
	default:
	}
}

// handleCompletion handles an end that a worker lists.
func (c *Core) handleCompletion(w *worker, e backend.EndedTask) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		c.removeRun(r)
	}
	t := c.findTask(e.Task)
	if t == nil {
		c.logDecision("unknown_end", "", map[string]any{"task": e.Task, "run": e.Run, "worker": w.info.ID, "how": e.How})
		return
	}
	s := t.step
	t.lastRunNumber = max(t.lastRunNumber, e.Run)
	s.job.started = true
	if e.Saved != "" {
		t.checkpoint = e.Saved
		if s.spec.Gang {
			s.gangCheckpoint = e.Saved
		}
	}
	c.logDecision("run_ended", s.job.id, map[string]any{"task": t.name, "run": e.Run, "worker": w.info.ID, "how": e.How})
	switch e.How {
	case backend.EndDone:
		c.handleRunSucceeded(t, r, w)
	case backend.EndFailed:
		c.handleRunFailed(t, e.Run, w)
	}
	if r != nil {
		c.handleRunRemoved(r)
	}
}

// handleRunSucceeded handles a run that has finished its task.
func (c *Core) handleRunSucceeded(t *task, r *run, w *worker) {
	s := t.step
	w.health.recordSuccess()
	if r != nil && s.observedDuration == 0 && r.checkpoint == "" {
		s.observedDuration = c.now - r.createdAt
	}
	if s.spec.Lasting {
		return
	}
	if s.spec.Gang {
		// One end stands for all members.
		for _, member := range s.tasks {
			c.completeTask(member, nil)
		}
		return
	}
	c.completeTask(t, r)
}

// handleRunFailed counts a failed run. Failed runs of lasting tasks do not count.
func (c *Core) handleRunFailed(t *task, number int64, w *worker) {
	s := t.step
	c.recordFailure(t, w)
	t.avoidedWorkers[w.info.ID] = struct{}{}
	if s.spec.Lasting || t.done || s.job.state.Terminal() {
		return
	}
	failureOwner := t
	if s.spec.Gang {
		// The members fail together, so the first one counts for the gang.
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
