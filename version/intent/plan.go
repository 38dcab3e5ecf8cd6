package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Draft returns a plan without placements and the tasks that it would run. unique makes the ids unique in the cell.
func (c *Core) Draft(now time.Time, spec model.IntentSpec, configVersion uint64, unique string) (model.Plan, []model.Task) {
	p := model.Plan{
		ID: planID(c.partition, unique), IntentID: intentID(c.partition, unique), Partition: c.partition, Spec: spec,
		Placements: []model.Placement{}, Displaces: []model.Displacement{},
		ConfigVersion: configVersion, CreatedAt: now, ExpiresAt: now.Add(c.policy.PlanTerm),
	}
	in := model.Intent{ID: p.IntentID, Spec: spec}
	count := spec.Tasks
	if spec.Kind.Standing() {
		count = 1
	}
	tasks := make([]model.Task, 0, count)
	for i := range count {
		tasks = append(tasks, NewTask(in, c.partition, 0, i, now))
	}
	return p, tasks
}

// AddPlan keeps a plan until it is confirmed or expires.
func (c *Core) AddPlan(p model.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans[p.ID] = p
}

// Plan returns a plan that was added.
func (c *Core) Plan(id string) (model.Plan, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[id]
	if !ok {
		return model.Plan{}, notFound("plan", id)
	}
	return p, nil
}

// PrepareConfirm returns the intent to be written for a plan. confirmed is set when the plan was confirmed before; then
// the returned intent is the first result. Errors: CodeNotFound, CodeStalePlan; both NotRun.
func (c *Core) PrepareConfirm(now time.Time, id string) (in model.Intent, confirmed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[id]
	if !ok {
		return model.Intent{}, false, notFound("plan", id)
	}
	if st := c.intents[p.IntentID]; st != nil {
		return st.intent, true, nil
	}
	if now.After(p.ExpiresAt) {
		return model.Intent{}, false, verdict.New(verdict.NotRun, verdict.CodeStalePlan, "plan %q has expired", id)
	}
	return model.Intent{
		ID: p.IntentID, PlanID: p.ID, Spec: p.Spec, State: model.IntentConfirmed, ConfirmedAt: now,
	}, false, nil
}

// Confirmed enters an intent whose row is in the table and returns its first offers.
func (c *Core) Confirmed(now time.Time, in model.Intent) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.intents[in.ID] != nil {
		return nil
	}
	st := c.addIntent(now, in)
	plan := c.plans[in.PlanID]
	place := make(map[model.TaskID]string, len(plan.Placements))
	for _, p := range plan.Placements {
		place[p.Task] = p.Rack
	}
	victims := make([]model.TaskID, 0, len(plan.Displaces))
	for _, d := range plan.Displaces {
		victims = append(victims, d.Task)
	}
	for _, id := range st.tasks {
		c.tasks[id].preferRack = place[id]
		c.tasks[id].victims = victims
	}
	return c.offerWaiting(now)
}

// Cancelled enters a cancellation whose row is in the table. Waiting tasks end at once; running ones are stopped.
func (c *Core) Cancelled(now time.Time, id string) ([]Effect, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil {
		return nil, notFound("intent", id)
	}
	st.intent.State = model.IntentCancelled
	var effects []Effect
	for _, taskID := range st.tasks {
		t := c.tasks[taskID]
		switch t.phase {
		case phaseWaiting:
			t.phase = phaseCancelled
			effects = append(effects, TaskEnded{Task: t.task, Outcome: model.Outcome{Task: taskID, State: model.OutcomeNotStarted}})
		case phaseUnplaced:
			t.cancelled = true
		case phaseGranted:
			t.cancelled = true
			effects = append(effects, StopTask{Rack: t.rack, Task: taskID, Token: t.token})
		}
	}
	return effects, nil
}

// Intent returns an intent as kept in the table.
func (c *Core) Intent(id string) (model.Intent, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil {
		return model.Intent{}, notFound("intent", id)
	}
	return st.intent, nil
}
