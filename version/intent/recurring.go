package intent

import (
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Runs of a recurring intent. Period k begins k periods after the confirmation and has at most one run, run k. A run starts
// during its period once no earlier run has an open task: runs never overlap, a run that is delayed by an earlier one
// starts late, and a period that passes meanwhile has no run. After a takeover only the current period can get a run;
// periods that passed without an owner have none. The start of a run is recorded in the intent's row before its tasks
// exist, so that no later owner starts it again; no run starts while the table cannot be written.

// currentPeriod returns the number of the current period of a recurring intent, starting from 0.
func currentPeriod(in model.Intent, now time.Time) int {
	return int(now.Sub(in.ConfirmedAt) / (time.Duration(in.Spec.PeriodMS) * time.Millisecond))
}

// recordDueRuns returns the effects that record the runs that are due. Callers hold c.mu.
func (c *Core) recordDueRuns(now time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(c.recurring)) {
		st := c.recurring[id]
		if !st.recordingRun && c.isRunDue(now, st) {
			st.recordingRun = true
			effects = append(effects, RecordRun{ID: id})
		}
	}
	return effects
}

func (c *Core) isRunDue(now time.Time, st *intentState) bool {
	in := st.intent
	return in.State == model.IntentConfirmed && st.openTasks == 0 && !in.LastRunUnfinished && !now.Before(in.ConfirmedAt) && currentPeriod(in, now) >= in.NextRun
}

// PrepareRun returns the intent row that records the start of the run of the current period. due is false if there is no
// longer a run to start. The caller must call RunRecorded in either case.
func (c *Core) PrepareRun(now time.Time, id string) (in model.Intent, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil || !c.isRunDue(now, st) {
		return model.Intent{}, false
	}
	in = st.intent
	in.NextRun, in.LastRunUnfinished = currentPeriod(in, now)+1, true
	return in, true
}

// RunRecorded starts a run whose row has been written. recorded is false if the row was not written; a later tick then
// tries again.
func (c *Core) RunRecorded(now time.Time, in model.Intent, recorded bool) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[in.ID]
	if st == nil {
		return nil
	}
	st.recordingRun = false
	if !recorded || st.intent.State != model.IntentConfirmed || st.intent.NextRun >= in.NextRun {
		return nil
	}
	st.intent.NextRun, st.intent.LastRunUnfinished = in.NextRun, true
	c.evictEndedTasks(now, in.Spec.Tasks)
	for _, t := range c.addRun(now, st, in.NextRun-1) {
		c.setTaskWaiting(now, t, time.Time{})
	}
	return c.dispatch(now)
}

// overloadedError returns the error for work beyond the bound on tasks in memory; nothing of it ran.
func overloadedError(limit int) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the partition holds %d tasks, its limit", limit).WithRetryAfter(time.Second)
}
