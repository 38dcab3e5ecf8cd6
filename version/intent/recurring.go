package intent

import (
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Runs of a recurring intent. Period k begins at the confirmation plus k times the period, and has at most one run, run
// k. A run starts while its period lasts and no earlier run has an open task: overlapping runs do not exist, a run that
// is held up by an earlier one starts late, and a period that passes meanwhile has no run. After a takeover only the
// current period can get a run; periods that passed without an owner have none. The start of a run is recorded in the
// intent's row before its tasks exist, so that no successor starts it again; without the table no run starts.

// currentPeriod returns the number of the current period of a recurring intent.
func currentPeriod(in model.Intent, now time.Time) int {
	return int(now.Sub(in.ConfirmedAt) / (time.Duration(in.Spec.EveryMS) * time.Millisecond))
}

// recordDueRuns asks to record the runs that are due. Callers hold c.mu.
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
	return in.State == model.IntentConfirmed && st.openTasks == 0 && !in.RunOpen && !now.Before(in.ConfirmedAt) && currentPeriod(in, now) >= in.Runs
}

// PrepareRun returns the row that records the start of the run of the current period. due is false when there is none to
// start any more. RunRecorded follows in any case.
func (c *Core) PrepareRun(now time.Time, id string) (in model.Intent, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil || !c.isRunDue(now, st) {
		return model.Intent{}, false
	}
	in = st.intent
	in.Runs, in.RunOpen = currentPeriod(in, now)+1, true
	return in, true
}

// RunRecorded starts a run whose row is in the table. recorded is false when the row was not written; then it is tried
// again with a later tick.
func (c *Core) RunRecorded(now time.Time, in model.Intent, recorded bool) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[in.ID]
	if st == nil {
		return nil
	}
	st.recordingRun = false
	if !recorded || st.intent.State != model.IntentConfirmed || st.intent.Runs >= in.Runs {
		return nil
	}
	st.intent.Runs, st.intent.RunOpen = in.Runs, true
	c.evictEndedTasks(now, in.Spec.Tasks)
	for _, t := range c.addRun(now, st, in.Runs-1) {
		c.returnToWaiting(now, t, time.Time{})
	}
	return c.dispatch(now)
}

// overloadedError is the error for work beyond the memory bound; nothing ran.
func overloadedError(limit int) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the partition holds %d tasks, its limit", limit).After(time.Second)
}
