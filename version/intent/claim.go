package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Claim asks for the right to start a task in a rack. The right is granted to one rack at a time; the same rack epoch
// gets the same token again, so that a lost answer does no harm.
func (c *Core) Claim(now time.Time, id model.TaskID, rack string, rackEpoch uint64) (model.StartToken, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		return model.StartToken{}, false
	}
	switch {
	case t.phase == phaseGranted && t.rack == rack && t.rackEpoch == rackEpoch && !t.running:
		return t.token, true
	case t.phase != phaseWaiting:
		return model.StartToken{}, false
	}
	c.sequence++
	t.token = model.StartToken{Partition: c.partition, Epoch: c.epoch, Sequence: c.sequence}
	t.phase, t.rack, t.rackEpoch, t.running = phaseGranted, rack, rackEpoch, false
	return t.token, true
}

// Started notes that a granted task runs. A task that was cancelled meanwhile is stopped.
func (c *Core) Started(now time.Time, id model.TaskID, token model.StartToken, worker string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil || t.token != token || t.phase != phaseGranted {
		return nil
	}
	t.running, t.worker = true, worker
	if t.cancelled {
		return []Effect{StopTask{Rack: t.rack, Task: id, Token: token}}
	}
	return nil
}

// Ended takes the outcome of a start. final is true when the outcome is the task's last and has to be recorded; repeated
// reports of the same token are ignored. A task that is unknown in this epoch, such as a call of an earlier one, is
// entered with its outcome. The error is NotRun while the task is unplaced and the outcome does not settle it: the worker
// has to keep the outcome until all racks have answered.
func (c *Core) Ended(now time.Time, task model.Task, out model.Outcome) (effects []Effect, final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[out.Task]
	if t == nil {
		t = &taskState{task: task, phase: phaseDone, token: out.Token, outcome: out}
		c.tasks[out.Task] = t
		return []Effect{TaskEnded{Task: task, Outcome: out}}, true, nil
	}
	if t.phase == phaseUnplaced {
		if !c.settles(t, out) {
			t.keepEarlier(out)
			return nil, false, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "task %s is not placed yet", out.Task).After(unplacedRetry)
		}
		t.phase, t.token = phaseGranted, out.Token
	}
	if t.token != out.Token || t.phase != phaseGranted {
		return nil, false, nil
	}
	effects, final = c.end(now, t, out)
	return effects, final, nil
}

// unplacedRetry is the retry time for an outcome of a task that is not placed yet.
const unplacedRetry = 200 * time.Millisecond

// settles reports whether an outcome of any earlier start is the task's last, whatever other starts there were.
func (c *Core) settles(t *taskState, out model.Outcome) bool {
	return out.State == model.OutcomeFinished && !t.task.Kind.Restarts()
}

// keepEarlier keeps the outcome of the latest start that is known for an unplaced task.
func (t *taskState) keepEarlier(out model.Outcome) {
	if t.earlier.State == "" || t.earlier.Token.Less(out.Token) {
		t.earlier = out
	}
}

// end applies an outcome to a granted task. Callers hold c.mu.
func (c *Core) end(now time.Time, t *taskState, out model.Outcome) (effects []Effect, final bool) {
	if c.startsAgain(t, out) {
		t.phase, t.running, t.rack, t.worker = phaseWaiting, false, "", ""
		t.offeredAt = now.Add(-c.policy.OfferTerm)
		return c.offerWaiting(now), false
	}
	t.phase, t.running, t.outcome = phaseDone, false, out
	if out.State == model.OutcomeNotStarted {
		t.phase = phaseCancelled
	}
	c.finishIntent(t.task.Intent)
	return []Effect{TaskEnded{Task: t.task, Outcome: out}}, true
}

// startsAgain reports whether a task goes back to waiting after an outcome. Callers hold c.mu.
func (c *Core) startsAgain(t *taskState, out model.Outcome) bool {
	if t.cancelled {
		return false
	}
	switch out.State {
	case model.OutcomeNotStarted, model.OutcomePreempted:
		return true
	case model.OutcomeFailed:
		t.lastError = out.Error
		return c.retriesFailure(t, out.Worker)
	case model.OutcomeLapsed:
		t.lastError = out.Error
		return t.task.Idempotent || t.task.Kind != model.KindCall
	case model.OutcomeFinished:
		return t.task.Kind.Restarts()
	default:
		return false
	}
}

// retriesFailure counts distinct workers on which a task failed. A call that is not idempotent is never repeated, since
// a failed run may have had effects.
func (c *Core) retriesFailure(t *taskState, worker string) bool {
	if t.task.Kind == model.KindCall && !t.task.Idempotent {
		return false
	}
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[worker] = true
	return len(t.failedOn) < c.policy.MaxAttempts
}

// finishIntent marks an intent as done when all its tasks have ended. Callers hold c.mu.
func (c *Core) finishIntent(id string) {
	st := c.intents[id]
	if st == nil || st.intent.Spec.Kind.Standing() || st.intent.State != model.IntentConfirmed {
		return
	}
	for _, taskID := range st.tasks {
		if p := c.tasks[taskID].phase; p != phaseDone && p != phaseCancelled {
			return
		}
	}
	st.intent.State = model.IntentDone
}

// RackReplaced returns tasks to waiting that an earlier epoch of a rack was granted and that the later epoch, with a
// complete inventory, does not list. known are the tokens that it lists.
func (c *Core) RackReplaced(now time.Time, rack string, rackEpoch uint64, known map[model.StartToken]bool) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effects []Effect
	for _, t := range c.tasks {
		if t.phase != phaseGranted || t.rack != rack || t.rackEpoch >= rackEpoch {
			continue
		}
		if known[t.token] {
			t.rackEpoch = rackEpoch
			continue
		}
		state := model.OutcomeNotStarted
		if t.running {
			state = model.OutcomeLapsed
		}
		out := model.Outcome{Task: t.task.ID, Token: t.token, State: state, Worker: t.worker, Error: "the rack's owner was replaced"}
		if c.startsAgain(t, out) {
			t.phase, t.running, t.rack, t.worker = phaseWaiting, false, "", ""
			t.offeredAt = time.Time{}
			continue
		}
		t.phase, t.running, t.outcome = phaseDone, false, out
		effects = append(effects, TaskEnded{Task: t.task, Outcome: out})
	}
	return append(effects, c.offerWaiting(now)...)
}
