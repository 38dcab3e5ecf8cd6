package intent

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Draft returns a plan without placements and the tasks that it would run. unique makes the IDs unique in the cell. Draft
// returns an error with verdict NotRun if the work can never run: its team's limit is too low, its deadline too early, or
// it has more tasks than a partition may hold.
func (c *Core) Draft(now time.Time, spec model.IntentSpec, configVersion uint64, unique string) (model.Plan, []model.Task, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := model.Plan{
		ID: planID(c.partition, unique), IntentID: intentID(c.partition, unique), Partition: c.partition, Spec: spec,
		Placements: []model.Placement{}, Displacements: []model.Displacement{},
		ConfigVersion: configVersion, CreatedAt: now, ExpiresAt: now.Add(c.policy.PlanTTL),
	}
	if err := c.checkFeasible(now, spec); err != nil {
		return model.Plan{}, nil, err
	}
	return p, planTasks(p, now), nil
}

// planTasks returns the tasks that a plan would run. For a call intent, which is a template for calls, it returns one call.
func planTasks(p model.Plan, now time.Time) []model.Task {
	in := model.Intent{ID: p.IntentID, Spec: p.Spec}
	count := p.Spec.Tasks
	if p.Spec.Kind == model.KindCall {
		count = 1
	}
	tasks := make([]model.Task, 0, count)
	for i := range count {
		tasks = append(tasks, NewTask(in, p.Partition, 0, i, now))
	}
	return tasks
}

// checkFeasible returns an error if the work can never run. Callers hold c.mu.
func (c *Core) checkFeasible(now time.Time, spec model.IntentSpec) error {
	if spec.Tasks > c.policy.MaxTasks {
		return verdict.Invalid("tasks", "expected at most %d, the limit of a partition", c.policy.MaxTasks)
	}
	if !spec.Deadline.IsZero() && now.Add(spec.RunTime()).After(spec.Deadline) {
		return verdict.Invalid("deadline", "the declared run time of %s ends after the deadline even if the work starts now", spec.RunTime())
	}
	limit := c.quotaOf(teamKey{spec.Account, spec.Team}).Limit
	each := Demand(model.Task{DeclaredDemand: spec.TaskDemand})
	if !withinLimit(each, limit) {
		return verdict.Invalid("each", "one task exceeds the quota limit of team %q", spec.Team)
	}
	if spec.Kind == model.KindGang && !withinLimit(multiply(each, spec.Tasks), limit) {
		return verdict.Invalid("tasks", "the members of the gang together exceed the quota limit of team %q", spec.Team)
	}
	return nil
}

func multiply(r model.Resources, n int) model.Resources {
	k := int64(n)
	r.CPUMilli *= k
	r.MemoryMiB *= k
	r.Accelerators *= k
	r.Slots *= k
	r.Connections *= k
	return r
}

// QuotaReason returns how the team's quota affects the tasks of a plan, or an empty text if they fit the team's share.
func (c *Core) QuotaReason(spec model.IntentSpec) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := teamKey{spec.Account, spec.Team}
	q := c.quotaOf(key)
	total := multiply(Demand(model.Task{DeclaredDemand: spec.TaskDemand}), spec.Tasks)
	if tm := c.teams[key]; tm != nil {
		total = total.Add(tm.used)
	}
	switch {
	case !withinLimit(total, q.Limit):
		return "some tasks wait until the team's use falls below its limit"
	case !withinLimit(total, q.Share) && spec.Preemptible:
		return "partly on borrowed capacity; may be stopped after a checkpoint when its owner needs it"
	case !withinLimit(total, q.Share):
		return "partly on borrowed capacity"
	}
	return ""
}

// AddPlan stores a plan in memory so that it can be confirmed until it expires. It returns an error with verdict NotRun if
// there are too many plans.
func (c *Core) AddPlan(p model.Plan) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.plans[p.ID]; ok {
		return nil
	}
	if len(c.plans) >= c.policy.MaxPlans {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d plans wait for a confirmation, the limit", len(c.plans)).WithRetryAfter(time.Second)
	}
	c.plans[p.ID] = p
	c.plansByExpiry.PushBack(p)
	return nil
}

// Plan returns a plan that was added.
func (c *Core) Plan(id string) (model.Plan, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[id]
	if !ok {
		return model.Plan{}, notFoundError("plan", id)
	}
	return p, nil
}

// PrepareConfirm returns the intent row to be written to confirm a plan. confirmed is true if the plan was confirmed before;
// the returned intent is then that of the first confirmation. All errors have verdict NotRun; their codes include
// CodeNotFound, CodeStalePlan and CodeOverloaded.
func (c *Core) PrepareConfirm(now time.Time, id string) (in model.Intent, confirmed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[id]
	if !ok {
		return model.Intent{}, false, notFoundError("plan", id)
	}
	if st := c.intents[p.IntentID]; st != nil {
		return st.intent, true, nil
	}
	if now.After(p.ExpiresAt) {
		return model.Intent{}, false, verdict.New(verdict.NotRun, verdict.CodeStalePlan, "plan %q has expired", id)
	}
	if err := c.checkFeasible(now, p.Spec); err != nil {
		return model.Intent{}, false, err
	}
	if !c.evictEndedTasks(now, p.Spec.Tasks) {
		return model.Intent{}, false, overloadedError(c.policy.MaxTasks)
	}
	return model.Intent{
		ID: p.IntentID, PlanID: p.ID, Spec: p.Spec, State: model.IntentConfirmed, ConfirmedAt: now,
	}, false, nil
}

// TasksAwaitingGrant returns up to limit confirmed tasks of the partition that were offered at most once and are not granted
// yet. A plan that is confirmed now must leave capacity for them.
func (c *Core) TasksAwaitingGrant(limit int) []model.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tasks []model.Task
	add := func(h offerHeap) {
		for _, t := range h {
			if len(tasks) < limit && t.offerCount <= 1 && t.restarts == 0 {
				tasks = append(tasks, t.effectiveTask())
			}
		}
	}
	add(c.offers.initial)
	for _, h := range c.offers.repeated {
		add(h)
	}
	return tasks
}

// StalePlanReason returns why a plan as reported to the client is no longer valid, given a fresh proposal for the same
// tasks, or an empty text. A plan is valid while the configuration is unchanged, it displaces no task that it did not
// report, no task that it displaces is displaced by another confirmed plan, and no more tasks have to wait than it reported.
func (c *Core) StalePlanReason(reported, fresh model.Plan) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reported.ConfigVersion != fresh.ConfigVersion {
		return fmt.Sprintf("the configuration changed from version %d to %d", reported.ConfigVersion, fresh.ConfigVersion)
	}
	reportedVictims := make(map[model.TaskID]bool, len(reported.Displacements))
	for _, d := range reported.Displacements {
		reportedVictims[d.Task] = true
		if other := c.displacedBy[d.Task]; other != "" && other != reported.IntentID {
			return fmt.Sprintf("task %s is displaced by intent %s already", d.Task, other)
		}
	}
	for _, d := range fresh.Displacements {
		if !reportedVictims[d.Task] {
			return fmt.Sprintf("it would now displace task %s, which it did not show", d.Task)
		}
	}
	if before, after := waitingPlacements(reported), waitingPlacements(fresh); after > before {
		return fmt.Sprintf("%d tasks would have to wait, the plan showed %d", after, before)
	}
	return ""
}

func waitingPlacements(p model.Plan) int {
	n := 0
	for _, placement := range p.Placements {
		if placement.MustWait {
			n++
		}
	}
	return n
}

// Confirmed adds an intent whose row has been written and returns its first offers or gang reservations.
func (c *Core) Confirmed(now time.Time, in model.Intent) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.intents[in.ID] != nil {
		return nil
	}
	st := c.addIntent(now, in)
	plan := c.plans[in.PlanID]
	plannedRack := make(map[model.TaskID]string, len(plan.Placements))
	for _, p := range plan.Placements {
		plannedRack[p.Task] = p.Rack
	}
	victims := make([]model.TaskID, 0, len(plan.Displacements))
	for _, d := range plan.Displacements {
		victims = append(victims, d.Task)
		c.displacedBy[d.Task] = in.ID
	}
	for _, t := range st.tasks {
		c.setTaskWaiting(now, t, time.Time{})
		t.preferredRack, t.victims = plannedRack[t.task.ID], victims
	}
	if st.gang != nil {
		c.setGangWaiting(now, st.gang, 0)
	}
	effects := c.recordDueRuns(now)
	effects = append(effects, c.advanceGangs(now)...)
	return append(effects, c.dispatch(now)...)
}
