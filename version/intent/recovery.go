package intent

import (
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Restore adds an intent that was read from the table at takeover, with the outcomes that were recorded for its tasks.
// Tasks without an outcome are unplaced until all racks have answered. For a recurring intent only the run that is
// recorded as open is restored: a run is recorded before it starts, and the next run only after all its tasks have ended.
func (c *Core) Restore(now time.Time, in model.Intent, outcomes map[model.TaskID]model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.addIntent(now, in)
	if in.Spec.Kind == model.KindRecurring && in.LastRunUnfinished {
		c.addRun(now, st, in.NextRun-1)
	}
	for _, t := range st.tasks {
		if out, ok := outcomes[t.task.ID]; ok {
			t.phase, t.outcome, t.endedAt = phaseDone, out, now
			st.observeOutcome(t, out)
		} else if in.State == model.IntentDone {
			t.phase, t.endedAt = phaseDone, now
		} else if in.State == model.IntentCancelled {
			// The task may still run in some rack; RunningTaskListed stops it.
			t.cancelled = true
		}
		if t.ended() {
			st.openTasks--
			c.taskClosed(t.team)
			if in.Spec.Kind == model.KindRecurring {
				t.retentionElem = c.endedTasks.PushBack(t)
			}
		}
	}
	if in.State != model.IntentConfirmed && st.openTasks == 0 {
		c.startRetention(now, st)
	}
}

// RunningTaskListed records a task that a rack listed as running in its reply to the fence. A task that was cancelled is stopped.
func (c *Core) RunningTaskListed(now time.Time, rack string, rackEpoch uint64, task model.Task, token model.StartToken, worker string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[task.ID]
	if t == nil {
		st := c.callIntentOf(task)
		t = c.addTask(st, task)
		t.cancelled = st != nil && st.intent.State == model.IntentCancelled
	}
	switch {
	case t.ended(), !t.token.IsZero() && t.token != token:
		return nil
	case t.phase == phaseWaiting && t.token == token:
		// The start with this token has ended, and the task waits to be started again.
		return nil
	}
	c.dequeueOffer(t)
	c.removePending(t)
	c.recordGrant(t, rack, rackEpoch)
	c.charge(t, Demand(task))
	t.running, t.worker, t.token = true, worker, token
	if t.cancelled {
		return []Effect{StopTask{Rack: rack, Task: task.ID, Token: token}}
	}
	return nil
}

// AllRacksListed resolves the unplaced tasks; it is called once every rack has listed completely what it runs for the
// partition. toRecord lists the outcomes that must be recorded.
func (c *Core) AllRacksListed(now time.Time) (effects []Effect, toRecord []model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unplaced []*taskState
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		if t := c.tasks[id]; t.phase == phaseUnplaced {
			unplaced = append(unplaced, t)
		}
	}
	for _, t := range unplaced {
		taskEffects, final := c.resolveUnplaced(now, t)
		effects = append(effects, taskEffects...)
		if final {
			toRecord = append(toRecord, t.outcome)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.intents)) {
		// The outcome of the last task may have been recorded without the end of the intent or of its run.
		effects = append(effects, c.finishIntent(now, c.intents[id])...)
	}
	for _, g := range c.sortedGangs() {
		effects = append(effects, c.resolveRestoredGang(now, g)...)
	}
	c.inventoriesComplete = true
	return append(effects, c.dispatch(now)...), toRecord
}

// resolveUnplaced moves an unplaced task that no rack runs to its next phase: it applies the outcome of the latest known
// start, cancels the task, or returns it to waiting. Callers hold c.mu.
func (c *Core) resolveUnplaced(now time.Time, t *taskState) (effects []Effect, final bool) {
	out := t.earlierOutcome
	switch {
	case out.State != "":
		t.phase, t.token = phaseGranted, out.Token
		return c.applyOutcome(now, t, out)
	case t.cancelled:
		out = model.Outcome{Task: t.task.ID, State: model.OutcomeNotStarted, Error: "the intent was cancelled"}
		return c.finishTask(now, t, phaseCancelled, out), false
	default:
		c.returnToWaiting(now, t, time.Time{})
		return nil, false
	}
}
