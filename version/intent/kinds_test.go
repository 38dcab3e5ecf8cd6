package intent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// rackViews returns views of n racks, each with capacity for free tasks of one core, spread over the given number of zones.
func rackViews(n, zones int, free int64) []RackView {
	var racks []RackView
	for i := range n {
		r := model.Resources{CPUMilli: 1000 * free, MemoryMiB: 1 << 20, Slots: free}
		racks = append(racks, RackView{Rack: fmt.Sprintf("rack-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Epoch: 1, Free: r, LargestFree: r})
	}
	return racks
}

// newCore returns a core of epoch 1 with the given racks and the default policy.
func newCore(racks []RackView) *Core {
	c := New(3, 1, DefaultPolicy())
	c.SetRacks(testNow, racks)
	return c
}

func confirmedIntent(id string, spec model.IntentSpec) model.Intent {
	if spec.Team == "" {
		spec.Account, spec.Team = "office", "fleet"
	}
	return model.Intent{ID: id, PlanID: "p3-" + id, Spec: spec, State: model.IntentConfirmed, ConfirmedAt: testNow}
}

// offeredRacks returns the racks to which the OfferTasks effects offer each task.
func offeredRacks(effects []Effect) map[model.TaskID][]string {
	racks := map[model.TaskID][]string{}
	for _, e := range effects {
		if o, ok := e.(OfferTasks); ok {
			for _, t := range o.Tasks {
				racks[t.ID] = append(racks[t.ID], o.Rack)
			}
		}
	}
	return racks
}

// countEffects returns the number of effects of type E.
func countEffects[E Effect](effects []Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

// startTask claims a task for a rack and reports that it runs.
func startTask(t *testing.T, c *Core, now time.Time, id model.TaskID, rack string) model.StartToken {
	t.Helper()
	token, granted := c.Claim(now, id, rack, 1)
	assert.Assert(t, granted, "claim of task %s for rack %s was denied", id, rack)
	c.Started(now, id, token, "w-"+rack)
	return token
}

// endTask reports an outcome of the current start of a task.
func endTask(t *testing.T, c *Core, now time.Time, id model.TaskID, state model.OutcomeState, worker string) ([]Effect, bool) {
	t.Helper()
	st := c.tasks[id]
	effects, final, err := c.Ended(now, st.task, model.Outcome{Task: id, Token: st.token, State: state, Worker: worker, Error: "boom"})
	assert.NilError(t, err)
	return effects, final
}

// TestRecurringRuns guards against two runs in one period, overlapping runs, and catch-up runs for periods that passed.
func TestRecurringRuns(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	in := confirmedIntent("i3-r", model.IntentSpec{Kind: model.KindRecurring, Tasks: 1, PeriodMS: 60_000})
	run := func(c *Core, now time.Time) bool {
		row, due := c.PrepareRun(now, in.ID)
		if due {
			c.RunRecorded(now, row, true)
			in = row
		}
		return due
	}
	assert.Equal(t, countEffects[RecordRun](c.Confirmed(testNow, in)), 1)
	assert.Assert(t, run(c, testNow))
	assert.Assert(t, !run(c, testNow.Add(time.Second)))
	// The first run lasts into the third period: the second period has no run, the third a late one.
	late := testNow.Add(130 * time.Second)
	assert.Equal(t, countEffects[RecordRun](c.Tick(late)), 0)
	startTask(t, c, late, "i3-r/0.0", "rack-0")
	effects, _ := endTask(t, c, late, "i3-r/0.0", model.OutcomeFinished, "w")
	assert.Equal(t, countEffects[SaveIntent](effects), 1)
	assert.Equal(t, countEffects[RecordRun](c.Tick(late)), 1)
	assert.Assert(t, run(c, late))
	assert.Assert(t, c.tasks["i3-r/2.0"] != nil)
	// Recording the same row again starts nothing.
	assert.Equal(t, countEffects[OfferTasks](c.RunRecorded(late, in, true)), 0)
	assert.Equal(t, c.intents["i3-r"].openTasks, 1)

	// The next owner continues the recorded run and starts no second run in its period.
	next := New(3, 2, DefaultPolicy())
	next.SetRacks(testNow, rackViews(1, 1, 8))
	next.Restore(late, in, nil)
	assert.Assert(t, !run(next, late))
	next.AllRacksListed(late)
	startTask(t, next, late, "i3-r/2.0", "rack-0")
	endTask(t, next, late, "i3-r/2.0", model.OutcomeFinished, "w")
	assert.Assert(t, !run(next, late))
	// After many periods without an owner only the current period gets a run.
	assert.Assert(t, run(next, testNow.Add(time.Hour)))
	assert.Assert(t, !run(next, testNow.Add(time.Hour)))
}

// TestRunThatEndedBeforeTakeover guards against a recurring intent that never runs again: all tasks of its run had ended
// when the owner died, but the intent's row still recorded the run as open.
func TestRunThatEndedBeforeTakeover(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	in := confirmedIntent("i3-r", model.IntentSpec{Kind: model.KindRecurring, Tasks: 1, PeriodMS: 60_000})
	in.NextRun, in.LastRunUnfinished = 1, true
	c.Restore(testNow, in, map[model.TaskID]model.Outcome{"i3-r/0.0": {Task: "i3-r/0.0", State: model.OutcomeFinished}})
	effects, _ := c.AllRacksListed(testNow)
	assert.Equal(t, countEffects[SaveIntent](effects), 1)
	assert.Equal(t, countEffects[RecordRun](c.Tick(testNow.Add(time.Minute))), 1)
}

// TestServiceSpread guards against a service that runs more than an even share of its tasks in one availability zone, so
// that the loss of the zone stops too many of them.
func TestServiceSpread(t *testing.T) {
	c := newCore(rackViews(6, 3, 8))
	effects := c.Confirmed(testNow, confirmedIntent("i3-s", model.IntentSpec{Kind: model.KindService, Tasks: 6}))
	zones := map[string]int{}
	for id, racks := range offeredRacks(effects) {
		assert.Equal(t, len(racks), 1)
		startTask(t, c, testNow, id, racks[0])
		zones[c.rackZones[racks[0]]]++
	}
	assert.DeepEqual(t, zones, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2})
	// A zone that has its share is not granted the task that another zone lost.
	c.Ended(testNow, c.tasks["i3-s/0.0"].task, model.Outcome{Task: "i3-s/0.0", Token: c.tasks["i3-s/0.0"].token, State: model.OutcomeExpired})
	lost := c.rackZones["rack-0"]
	for _, r := range c.racks {
		if r.Zone != lost {
			_, granted := c.Claim(testNow, "i3-s/0.0", r.Rack, 1)
			assert.Assert(t, !granted)
		}
	}
}

// TestRestartBackoff guards against restarting a task that ends at once in a tight loop, and against stopping a task for
// good although it had stable runs between its failures.
func TestRestartBackoff(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.Confirmed(testNow, confirmedIntent("i3-w", model.IntentSpec{Kind: model.KindWatcher, Tasks: 1}))
	now, id := testNow, model.TaskID("i3-w/0.0")
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		startTask(t, c, now, id, "rack-0")
		endTask(t, c, now, id, model.OutcomeFinished, "w")
		_, early := c.Claim(now.Add(wait-time.Millisecond), id, "rack-0", 1)
		assert.Assert(t, !early)
		now = now.Add(wait)
	}
	for i := range 5 {
		startTask(t, c, now, id, "rack-0")
		st := c.tasks[id]
		_, final, err := c.Ended(now, st.task, model.Outcome{Task: id, Token: st.token, State: model.OutcomeFailed, Worker: fmt.Sprint(i), RanMS: 3_600_000})
		assert.NilError(t, err)
		assert.Assert(t, !final)
		now = now.Add(time.Minute)
	}
}

// TestFailingTaskIsStopped guards against restarting a task that always fails without end.
func TestFailingTaskIsStopped(t *testing.T) {
	for name, worker := range map[string]func(int) string{
		"distinct workers": func(i int) string { return fmt.Sprint(i) }, "one worker": func(int) string { return "w" },
	} {
		c := newCore(rackViews(1, 1, 8))
		c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{Kind: model.KindBatch, Tasks: 1}))
		now, id, final := testNow, model.TaskID("i3-b/0.0"), false
		tries := 0
		for ; !final; tries++ {
			startTask(t, c, now, id, "rack-0")
			_, final = endTask(t, c, now, id, model.OutcomeFailed, worker(tries))
			now = now.Add(10 * time.Minute)
		}
		want := map[string]int{"distinct workers": c.policy.MaxAttempts, "one worker": c.policy.MaxFailures}[name]
		assert.Equal(t, tries, want)
		assert.Assert(t, strings.Contains(c.tasks[id].outcome.Error, "stopped after"))
	}
}

// TestObservedHints guards against wrong hints that are never corrected: later tasks are offered with the observed run time
// and size, and with a latest start that follows from them.
func TestObservedHints(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	deadline := testNow.Add(time.Hour)
	c.Confirmed(testNow, confirmedIntent("i3-b", model.IntentSpec{
		Kind: model.KindBatch, Tasks: 2, RunTimeMS: 1000, Deadline: deadline, TaskDemand: model.Resources{CPUMilli: 1000},
	}))
	token := startTask(t, c, testNow, "i3-b/0.0", "rack-0")
	_, _, err := c.Ended(testNow, c.tasks["i3-b/0.0"].task, model.Outcome{
		Task: "i3-b/0.0", Token: token, State: model.OutcomeFinished, RanMS: 600_000, Used: model.Resources{CPUMilli: 4000},
	})
	assert.NilError(t, err)
	effects := c.Tick(testNow.Add(c.policy.OfferTTL))
	task := effects[0].(OfferTasks).Tasks[0]
	assert.Equal(t, task.RunTimeMS, int64(600_000))
	assert.Equal(t, task.DeclaredDemand.CPUMilli, int64(4000))
	assert.Assert(t, task.LatestStart.Equal(deadline.Add(-10*time.Minute)))
}

// TestCancelManyIntents guards against a cancellation that leaves tasks without a final outcome or sends one message per
// task.
func TestCancelManyIntents(t *testing.T) {
	c := newCore(rackViews(4, 2, 8))
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprintf("i3-%d", i))
		c.Confirmed(testNow, confirmedIntent(ids[i], model.IntentSpec{Kind: model.KindBatch, Tasks: 2}))
	}
	startTask(t, c, testNow, "i3-0/0.0", "rack-0")
	effects := c.Cancelled(testNow, ids...)
	assert.Equal(t, countEffects[TaskEnded](effects), 99)
	assert.Equal(t, countEffects[StopTask](effects), 1)
	withdrawn := countEffects[WithdrawTasks](effects)
	assert.Assert(t, withdrawn >= 1 && withdrawn <= 4)
	for _, e := range effects {
		if end, ok := e.(TaskEnded); ok {
			assert.Equal(t, end.Outcome.State, model.OutcomeNotStarted)
		}
	}
	effects, final := endTask(t, c, testNow, "i3-0/0.0", model.OutcomeStopped, "w")
	assert.Assert(t, final)
	assert.Equal(t, countEffects[TaskEnded](effects), 1)
	_, granted := c.Claim(testNow, "i3-1/0.0", "rack-0", 1)
	assert.Assert(t, !granted)
}

// TestAbandonedCall guards against the verdict MayHaveRun for a call that was never granted, and against the verdict NotRun
// for one that was.
func TestAbandonedCall(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.Confirmed(testNow, confirmedIntent("i3-c", model.IntentSpec{Kind: model.KindCall, Tasks: 1}))
	tickets, err := c.Tickets(2)
	assert.NilError(t, err)
	waiting, err := c.Call(testNow, "i3-c", tickets[0], "", nil)
	assert.NilError(t, err)
	granted, err := c.Call(testNow, "i3-c", tickets[1], "", nil)
	assert.NilError(t, err)
	startTask(t, c, testNow, granted.Task.ID, "rack-0")
	_, v := c.AbandonCall(testNow, waiting.Task.ID)
	assert.Equal(t, v, verdict.NotRun)
	_, v = c.AbandonCall(testNow, granted.Task.ID)
	assert.Equal(t, v, verdict.MayHaveRun)
	again, err := c.Call(testNow, "i3-c", tickets[0], "", nil)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome.State, model.OutcomeNotStarted)
	// The call of a ticket that is past its retention may have run.
	endTask(t, c, testNow, granted.Task.ID, model.OutcomeFinished, "w")
	c.Tick(testNow.Add(c.policy.Retention + time.Second))
	_, err = c.Call(testNow, "i3-c", tickets[1], "", nil)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
}

// TestPlanIsCheckedAgainstFreshProposal guards against a confirmation that displaces tasks which the plan did not report,
// and against two confirmed plans that displace the same task.
func TestPlanIsCheckedAgainstFreshProposal(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	shown := model.Plan{ID: "p3-x", IntentID: "i3-x", Displacements: []model.Displacement{{Task: "i3-v/0.0"}}}
	fresh := shown
	assert.Equal(t, c.StalePlanReason(shown, fresh), "")
	fresh.Displacements = append(fresh.Displacements[:1:1], model.Displacement{Task: "i3-v/0.1"})
	assert.Assert(t, strings.Contains(c.StalePlanReason(shown, fresh), "i3-v/0.1"))
	fresh = shown
	fresh.Placements = []model.Placement{{Task: "t", MustWait: true}}
	assert.Assert(t, strings.Contains(c.StalePlanReason(shown, fresh), "wait"))
	other := shown
	other.ID, other.IntentID = "p3-i3-y", "i3-y"
	assert.NilError(t, c.AddPlan(other))
	c.Confirmed(testNow, confirmedIntent("i3-y", model.IntentSpec{Kind: model.KindBatch, Tasks: 1}))
	assert.Assert(t, strings.Contains(c.StalePlanReason(shown, shown), "i3-y"))
}

// TestInfeasibleWorkIsRejected guards against a plan for work that can never run.
func TestInfeasibleWorkIsRejected(t *testing.T) {
	c := newCore(rackViews(1, 1, 8))
	c.SetQuotas(testQuotas{"small": {Limit: model.Resources{CPUMilli: 2000}}})
	each := model.Resources{CPUMilli: 1000}
	for field, spec := range map[string]model.IntentSpec{
		"deadline": {Team: "small", Kind: model.KindBatch, Tasks: 1, TaskDemand: each, Deadline: testNow.Add(time.Second), RunTimeMS: 2000},
		"each":     {Team: "small", Kind: model.KindBatch, Tasks: 1, TaskDemand: model.Resources{CPUMilli: 3000}},
		"tasks":    {Team: "small", Kind: model.KindGang, Tasks: 3, TaskDemand: each},
	} {
		_, _, err := c.Draft(testNow, spec, 0, "u")
		assert.Equal(t, verdict.From(err).Field, field)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	}
}
