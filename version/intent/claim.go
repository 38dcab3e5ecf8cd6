package intent

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// refusedStartDelay is how long a task waits after its start was refused before it is offered again. Without a delay, a
// worker that refused every start made the intent owner and the rack owner exchange offers, claims and reports in a tight
// loop.
const refusedStartDelay = 200 * time.Millisecond

// Claim requests the right to start a task in a rack. The right is granted to one rack at a time; a repeated claim of the
// same rack epoch returns the same token, so that a lost reply does no harm. A task whose claim is denied is offered again,
// at the latest when its current offer expires.
func (c *Core) Claim(now time.Time, id model.TaskID, rack string, rackEpoch uint64) (model.StartToken, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil || c.frozen {
		return model.StartToken{}, false
	}
	if t.phase == phaseGranted && t.gang == nil && t.rack == rack && t.rackEpoch == rackEpoch && !t.running {
		return t.token, true
	}
	if rackEpoch < c.rackEpochs[rack] || c.claimDenialReason(now, t, rack) != "" {
		// The rack removed the offer from its queue to claim the task.
		c.removeOfferedRack(now, t, rack)
		return model.StartToken{}, false
	}
	c.grant(now, t, rack, rackEpoch)
	return t.token, true
}

// claimDenialReason returns why a claim is denied, or an empty text if it can be granted. Callers hold c.mu.
func (c *Core) claimDenialReason(now time.Time, t *taskState, rack string) string {
	switch {
	case t.phase != phaseWaiting:
		return "the task is " + phaseNames[t.phase]
	case t.gang != nil:
		return "members of a gang are only started together"
	case !t.admitted:
		return "the team's quota does not admit the task"
	case now.Before(t.notBefore):
		return "the task's restart delay has not passed"
	case c.reclaimNeeded && !withinLimit(t.team.used, c.quota(t.team).Share):
		return "the team has borrowed capacity that other teams wait for within their shares"
	case t.task.Kind == model.KindService && t.intent != nil && !c.zoneBelowLimit(t, c.rackZones[rack]):
		return "the availability zone already has its share of the service's tasks"
	}
	return ""
}

// Started records that a granted task runs on a worker. It is stopped at once if it was cancelled meanwhile or if its
// gang is being stopped.
func (c *Core) Started(now time.Time, id model.TaskID, token model.StartToken, worker string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil || t.token != token || t.phase != phaseGranted {
		return nil
	}
	t.running, t.worker = true, worker
	if t.cancelled || (t.gang != nil && t.gang.phase == gangStopping) {
		return []Effect{StopTask{Rack: t.rack, Task: id, Token: token}}
	}
	return nil
}

// Ended applies the outcome of a start. final is true if the outcome is the task's last and must be recorded; repeated
// reports of the same token are ignored. A task that is unknown in this epoch, such as a call of an earlier one, is added
// with its outcome. The error is NotRun while the task is unplaced and the outcome is not conclusive: the worker must keep
// the outcome until all racks have answered.
func (c *Core) Ended(now time.Time, task model.Task, out model.Outcome) (effects []Effect, final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[out.Task]
	if t == nil {
		t = c.addTask(c.callIntentOf(task), task)
		t.token = out.Token
		return c.finishTask(now, t, phaseDone, out), true, nil
	}
	if t.phase == phaseUnplaced {
		if !c.isConclusive(t, out) {
			t.recordEarlierOutcome(out)
			return nil, false, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "task %s is not placed yet", out.Task).WithRetryAfter(unplacedRetryDelay)
		}
		t.phase, t.token = phaseGranted, out.Token
	}
	if t.token != out.Token || t.phase != phaseGranted {
		return nil, false, nil
	}
	effects, final = c.applyOutcome(now, t, out)
	return append(effects, c.dispatch(now)...), final, nil
}

// callIntentOf returns the intent of a task of an earlier epoch if it is a call intent, whose tasks Restore does not
// create; otherwise it returns nil. Callers hold c.mu.
func (c *Core) callIntentOf(task model.Task) *intentState {
	if st := c.intents[task.Intent]; st != nil && st.intent.Spec.Kind == model.KindCall {
		return st
	}
	return nil
}

// unplacedRetryDelay is the retry time sent while a task is unplaced, a ticket's epoch is not known completely, or the
// partition is being handed over.
const unplacedRetryDelay = 200 * time.Millisecond

// isConclusive reports whether an outcome of an earlier start ends the task no matter which other starts there were.
func (c *Core) isConclusive(t *taskState, out model.Outcome) bool {
	return out.State == model.OutcomeFinished && !t.task.Kind.Restarts()
}

// recordEarlierOutcome records an outcome of an unplaced task, unless that of a later start is known.
func (t *taskState) recordEarlierOutcome(out model.Outcome) {
	if t.earlierOutcome.State == "" || t.earlierOutcome.Token.Less(out.Token) {
		t.earlierOutcome = out
	}
}

// applyOutcome applies an outcome to a granted task; final is true if the task has ended. Callers hold c.mu.
func (c *Core) applyOutcome(now time.Time, t *taskState, out model.Outcome) (effects []Effect, final bool) {
	t.intent.observeOutcome(t, out)
	delete(c.displacedBy, t.task.ID)
	if out.RanMS >= c.policy.StableRun.Milliseconds() {
		t.failedOn, t.failures, t.restarts = nil, 0, 0
	}
	if t.gang != nil {
		return c.applyMemberOutcome(now, t, out)
	}
	if c.shouldRestart(t, &out) {
		c.setTaskWaiting(now, t, now.Add(c.restartDelay(t, out)))
		return nil, false
	}
	return c.finishTask(now, t, lastPhase(out), out), true
}

// lastPhase returns the terminal phase of a task whose last outcome is out.
func lastPhase(out model.Outcome) phase {
	if out.State == model.OutcomeNotStarted {
		return phaseCancelled
	}
	return phaseDone
}

// shouldRestart reports whether a task goes back to waiting after an outcome. If a failing task is not started again, the
// reason is added to out. Callers hold c.mu.
func (c *Core) shouldRestart(t *taskState, out *model.Outcome) bool {
	if t.cancelled {
		return false
	}
	switch out.State {
	case model.OutcomeNotStarted, model.OutcomePreempted:
		return true
	case model.OutcomeFailed:
		t.lastError = out.Error
		return c.recordFailure(t, out)
	case model.OutcomeExpired:
		t.lastError = out.Error
		return t.task.Idempotent || t.task.Kind != model.KindCall
	case model.OutcomeFinished:
		return t.task.Kind.Restarts()
	default:
		return false
	}
}

// recordFailure counts a failure of a task and the distinct workers on which it failed, and reports whether the task may
// be started again. A call that is not idempotent is never repeated, since a failed run may have had side effects. Callers
// hold c.mu.
func (c *Core) recordFailure(t *taskState, out *model.Outcome) bool {
	if t.task.Kind == model.KindCall && !t.task.Idempotent {
		return false
	}
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[out.Worker] = true
	t.failures++
	if len(t.failedOn) < c.policy.MaxAttempts && t.failures < c.policy.MaxFailures {
		return true
	}
	out.Error = fmt.Sprintf("stopped after %d failures on %d distinct workers; the last one: %s", t.failures, len(t.failedOn), out.Error)
	t.lastError = out.Error
	return false
}

// restartDelay returns how long a task waits before it is started again. A task that failed, or a service or watcher that
// ended, waits longer each time, so that one that keeps ending at once does not load the cell. Callers hold c.mu.
func (c *Core) restartDelay(t *taskState, out model.Outcome) time.Duration {
	if out.State == model.OutcomeNotStarted {
		return refusedStartDelay
	}
	if out.State != model.OutcomeFailed && out.State != model.OutcomeFinished {
		return 0
	}
	delay := backoff(c.policy.RestartBackoff, c.policy.MaxRestartBackoff, t.restarts)
	t.restarts++
	return delay
}

// RackReplaced ends the starts that were granted to earlier epochs of a rack and that the complete inventory of rackEpoch
// does not list; listedTokens are the start tokens that it lists. The affected tasks go back to waiting or end. toRecord
// lists the outcomes that must be recorded.
func (c *Core) RackReplaced(now time.Time, rack string, rackEpoch uint64, listedTokens map[model.StartToken]bool) (effects []Effect, toRecord []model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rackEpochs[rack] = max(c.rackEpochs[rack], rackEpoch)
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		t := c.tasks[id]
		if t.phase != phaseGranted || t.rack != rack || t.rackEpoch >= rackEpoch {
			continue
		}
		if listedTokens[t.token] {
			t.rackEpoch = rackEpoch
			continue
		}
		state := model.OutcomeNotStarted
		if t.running {
			state = model.OutcomeExpired
		}
		out := model.Outcome{Task: t.task.ID, Token: t.token, State: state, Worker: t.worker, Error: "the rack's owner was replaced"}
		taskEffects, final := c.applyOutcome(now, t, out)
		effects = append(effects, taskEffects...)
		if final {
			toRecord = append(toRecord, t.outcome)
		}
	}
	return append(effects, c.dispatch(now)...), toRecord
}
