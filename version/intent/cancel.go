package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Cancelled applies cancellations that are stored in the intents' rows. Waiting tasks end at once as not started; granted
// tasks are stopped and end when their outcome is reported. The offers are withdrawn with one message per rack.
func (c *Core) Cancelled(now time.Time, ids ...string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effects []Effect
	for _, id := range ids {
		st := c.intents[id]
		if st == nil || st.intent.State == model.IntentCancelled {
			continue
		}
		st.intent.State = model.IntentCancelled
		if st.gang != nil {
			effects = append(effects, c.cancelGang(st.gang)...)
		}
		for _, t := range st.tasks {
			effects = append(effects, c.cancelTask(now, t)...)
		}
		effects = append(effects, c.finishIntent(now, st)...)
	}
	return append(effects, c.drainWithdrawals()...)
}

// cancelTask cancels one task. Its cost does not depend on the number of tasks, except for a term logarithmic in the
// length of the offer queue. Callers hold c.mu.
func (c *Core) cancelTask(now time.Time, t *taskState) []Effect {
	switch t.phase {
	case phaseWaiting:
		out := model.Outcome{Task: t.task.ID, State: model.OutcomeNotStarted, Error: "cancelled before it started"}
		return c.finishTask(now, t, phaseCancelled, out)
	case phaseUnplaced:
		t.cancelled = true
	case phaseGranted:
		t.cancelled = true
		return []Effect{StopTask{Rack: t.rack, Task: t.task.ID, Token: t.token}}
	}
	return nil
}

// AbandonCall cancels a call whose caller is gone. The verdict is NotRun if the call has not been granted to a rack;
// otherwise the call continues and the verdict is MayHaveRun.
func (c *Core) AbandonCall(now time.Time, id model.TaskID) ([]Effect, verdict.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		return nil, verdict.MayHaveRun
	}
	switch t.phase {
	case phaseWaiting:
		return c.cancelTask(now, t), verdict.NotRun
	case phaseCancelled:
		return nil, verdict.NotRun
	default:
		return nil, verdict.MayHaveRun
	}
}
