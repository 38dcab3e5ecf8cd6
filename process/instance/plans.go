package instance

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// proposeTimeout bounds the wait for one rack's proposal.
	proposeTimeout = 500 * time.Millisecond
	// proposeBatchSize bounds the tasks that one rack is asked for, which is more than a rack of 8 workers has slots.
	proposeBatchSize = 1024
	// unresponsivePeriod is how long a rack that did not answer is left out of plans.
	unresponsivePeriod = 10 * time.Second
)

// maxPendingTasks bounds the confirmed tasks that a confirmation leaves room for.
const maxPendingTasks = 512

// Plan states an intent and returns a plan; nothing changes.
func (in *Instance) Plan(ctx context.Context, n int, spec model.IntentSpec) (model.Plan, error) {
	if err := in.checkAdmission(); err != nil {
		return model.Plan{}, err
	}
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Plan{}, err
	}
	return r.plan(ctx, spec)
}

// plan makes a plan and stores it.
func (r *intentRunner) plan(ctx context.Context, spec model.IntentSpec) (model.Plan, error) {
	plan, tasks, err := r.core.Draft(r.now(), spec, r.in.config.Current().Version, r.in.opts.NewID())
	if err != nil {
		return model.Plan{}, err
	}
	if err := r.propose(ctx, &plan, nil, tasks); err != nil {
		return model.Plan{}, err
	}
	return plan, r.storePlan(ctx, plan)
}

func (r *intentRunner) storePlan(ctx context.Context, plan model.Plan) error {
	if err := r.putRow(ctx, planKey(r.partition(), plan.ID), 0, plan); err != nil {
		return err
	}
	return r.core.AddPlan(plan)
}

// propose asks the racks where the tasks would go, after the tasks that go before them. Tasks that fit nowhere now wait;
// a task that fits no worker at all is an error. A gang of which a part fits waits as a whole.
func (r *intentRunner) propose(ctx context.Context, plan *model.Plan, before, tasks []model.Task) error {
	unplaced, fitsEmpty, answered := append(before[:len(before):len(before)], tasks...), false, 0
	for _, name := range r.in.rackNames() {
		if len(unplaced) == 0 {
			break
		}
		p, err := r.proposeAtRack(ctx, name, unplaced)
		if err != nil {
			continue
		}
		answered++
		fitsEmpty = fitsEmpty || p.GetFitsEmpty()
		placed := peer.PlacementsFromProto(p.GetPlacements())
		plan.Placements = append(plan.Placements, placed...)
		plan.Displaces = append(plan.Displaces, peer.DisplacementsFromProto(p.GetDisplaces())...)
		unplaced = withoutPlaced(unplaced, placed)
	}
	if answered == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rack can be reached").After(time.Second)
	}
	unplaced = removeTasks(plan, before, unplaced)
	if err := r.in.checkGangFits(plan.Spec); err != nil && len(unplaced) > 0 {
		return err
	}
	// With other tasks before them the racks have answered for the first of those.
	if len(unplaced) > 0 && !fitsEmpty && len(before) == 0 {
		return verdict.Invalid("each", "no worker that could be reached is large enough for one task")
	}
	for _, t := range unplaced {
		plan.Placements = append(plan.Placements, model.Placement{Task: t.ID, Waits: true, Reason: "waits for free capacity"})
	}
	if plan.Spec.Kind == model.KindGang && len(unplaced) > 0 {
		makeGangWait(plan, len(unplaced))
	}
	if reason := r.core.QuotaReason(plan.Spec); reason != "" {
		for i := range plan.Placements {
			plan.Placements[i].Reason += "; " + reason
		}
	}
	return nil
}

// proposeAtRack asks one rack. A rack that did not answer in time is left out for a while, so that a lost availability zone
// does not hold up every plan by a timeout for each of its racks.
func (r *intentRunner) proposeAtRack(ctx context.Context, name string, tasks []model.Task) (*peerpb.ProposeReply, error) {
	r.mu.Lock()
	unresponsive := r.now().Before(r.unresponsiveUntil[name])
	r.mu.Unlock()
	if unresponsive {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "rack %q did not answer", name)
	}
	batch := make([]model.Task, 0, min(len(tasks), proposeBatchSize))
	for _, t := range tasks[:cap(batch)] {
		t.Payload = nil
		batch = append(batch, t)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := r.in.callOwner(ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_Propose{
		Propose: &peerpb.Propose{Rack: name, Tasks: peer.TasksToProto(batch)},
	}})
	if err != nil && ctx.Err() != nil {
		r.mu.Lock()
		r.unresponsiveUntil[name] = r.now().Add(unresponsivePeriod)
		r.mu.Unlock()
	}
	return reply.GetPropose(), err
}

// checkGangFits returns an error when the workers of the cell could not hold a gang even if they were empty.
func (in *Instance) checkGangFits(spec model.IntentSpec) error {
	if spec.Kind != model.KindGang {
		return nil
	}
	each := intent.Demand(model.Task{Each: spec.Each})
	capacity := 0
	for _, m := range in.members.AllWorkers() {
		capacity += int(intent.RoomFor(m.Capacity, each))
	}
	if capacity >= spec.Tasks {
		return nil
	}
	return verdict.Invalid("tasks", "the workers of the cell can hold %d members at a time, the gang has %d", capacity, spec.Tasks)
}

// makeGangWait makes all members of a gang wait: nothing runs and nothing is displaced before all fit.
func makeGangWait(plan *model.Plan, missing int) {
	for i := range plan.Placements {
		p := &plan.Placements[i]
		*p = model.Placement{Task: p.Task, Waits: true, Reason: "waits until all members of the gang fit"}
	}
	plan.Displaces = plan.Displaces[:0]
}

func withoutPlaced(tasks []model.Task, placed []model.Placement) []model.Task {
	done := make(map[model.TaskID]bool, len(placed))
	for _, p := range placed {
		done[p.Task] = true
	}
	var rest []model.Task
	for _, t := range tasks {
		if !done[t.ID] {
			rest = append(rest, t)
		}
	}
	return rest
}

// Confirm makes a plan run. A second confirmation of the same plan returns the first result. A plan that no longer holds
// is refused with a fresh one attached.
func (in *Instance) Confirm(ctx context.Context, n int, planID string) (model.Intent, error) {
	if err := in.checkAdmission(); err != nil {
		return model.Intent{}, err
	}
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Intent{}, err
	}
	r.confirmLock.Lock()
	defer r.confirmLock.Unlock()
	plan, err := r.findPlan(ctx, planID)
	if err != nil {
		return model.Intent{}, err
	}
	out, confirmed, err := r.core.PrepareConfirm(r.now(), planID)
	if confirmed {
		return out, nil
	}
	if err != nil {
		return r.earlierConfirmation(ctx, plan, err)
	}
	if err := r.checkPlan(ctx, plan); err != nil {
		return r.earlierConfirmation(ctx, plan, err)
	}
	r.rowLock.Lock()
	err = r.writeIntents(ctx, out)
	r.rowLock.Unlock()
	if err != nil {
		if verdict.Of(err) == verdict.MayHaveRun {
			r.in.spawn(func() { r.retryConfirmation(plan, out) })
		}
		return r.earlierConfirmation(ctx, plan, err)
	}
	r.execute(r.core.Confirmed(r.now(), out))
	return out, nil
}

// retryConfirmation settles a confirmation whose result is unknown: it writes the row again, which requires its absence, until
// either write has certainly taken effect. Otherwise a confirmed intent would lie in the table without an owner that
// runs it. An expired plan is not written again, only looked for.
func (r *intentRunner) retryConfirmation(plan model.Plan, out model.Intent) {
	for r.in.sleep(r.ctx, unknownResultRetryInterval) {
		if r.retryConfirmationOnce(plan, out) {
			return
		}
	}
}

// retryConfirmationOnce reports whether the confirmation is settled.
func (r *intentRunner) retryConfirmationOnce(plan model.Plan, out model.Intent) bool {
	r.rowLock.Lock()
	defer r.rowLock.Unlock()
	if _, err := r.core.Intent(out.ID); err == nil {
		return true
	}
	stored, found, err := r.readIntentRow(r.ctx, out.ID)
	switch {
	case err != nil:
		return false
	case found && stored.State == model.IntentConfirmed:
		r.execute(r.core.Confirmed(r.now(), stored))
		return true
	case found || r.now().After(plan.ExpiresAt):
		return true
	}
	if r.writeIntents(r.ctx, out) != nil {
		return false
	}
	r.execute(r.core.Confirmed(r.now(), out))
	return true
}

// unknownResultRetryInterval is the time between attempts to settle a write whose result is unknown.
const unknownResultRetryInterval = time.Second

// findPlan returns a plan from memory or, after a takeover, from the table.
func (r *intentRunner) findPlan(ctx context.Context, id string) (model.Plan, error) {
	plan, err := r.core.Plan(id)
	if err == nil {
		return plan, nil
	}
	rows, readErr := r.in.opts.Table.Get(ctx, planKey(r.partition(), id))
	if readErr != nil {
		return model.Plan{}, verdict.Wrap(readErr, verdict.NotRun, verdict.CodeUnavailable, "read plan %q", id).After(time.Second)
	}
	if len(rows) == 0 {
		return model.Plan{}, err
	}
	if err := json.Unmarshal(rows[0].Value, &plan); err != nil {
		return model.Plan{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode plan %q", id)
	}
	return plan, r.core.AddPlan(plan)
}

// earlierConfirmation returns the first result of a plan that was confirmed and whose intent is no longer in memory, or else
// the error, with a fresh plan attached if the plan is stale.
func (r *intentRunner) earlierConfirmation(ctx context.Context, plan model.Plan, cause error) (model.Intent, error) {
	if verdict.Of(cause) != verdict.NotRun {
		return model.Intent{}, cause
	}
	r.rowLock.Lock()
	first, ok, err := r.readIntentRow(ctx, plan.IntentID)
	r.rowLock.Unlock()
	if err == nil && ok {
		if first.State == model.IntentConfirmed {
			// The first confirmation took effect, but its result was unknown.
			r.execute(r.core.Confirmed(r.now(), first))
		}
		return first, nil
	}
	e := verdict.From(cause)
	if e.Code == verdict.CodeStalePlan && e.Detail == nil {
		if fresh, err := r.plan(ctx, plan.Spec); err == nil {
			e.Detail = fresh
		}
	}
	return model.Intent{}, e
}

// checkPlan proposes the tasks of a plan again, next to what was confirmed and is not placed yet, and returns an error
// with a fresh plan when the plan no longer holds.
func (r *intentRunner) checkPlan(ctx context.Context, plan model.Plan) error {
	fresh, tasks, err := r.core.Draft(r.now(), plan.Spec, r.in.config.Current().Version, r.in.opts.NewID())
	if err != nil {
		return err
	}
	if err := r.propose(ctx, &fresh, r.core.Pending(maxPendingTasks), tasks); err != nil {
		return err
	}
	reason := r.core.Holds(plan, fresh)
	if reason == "" {
		return nil
	}
	stale := verdict.New(verdict.NotRun, verdict.CodeStalePlan, "plan %q no longer holds: %s", plan.ID, reason)
	if err := r.storePlan(ctx, fresh); err != nil {
		return stale
	}
	return stale.With(fresh)
}

// removeTasks removes the placements of other tasks from a plan, and returns those of rest that are not among them.
func removeTasks(plan *model.Plan, others, rest []model.Task) []model.Task {
	drop := make(map[model.TaskID]bool, len(others))
	for _, t := range others {
		drop[t.ID] = true
	}
	plan.Placements = slices.DeleteFunc(plan.Placements, func(p model.Placement) bool { return drop[p.Task] })
	return slices.DeleteFunc(rest, func(t model.Task) bool { return drop[t.ID] })
}
