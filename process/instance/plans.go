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
	// proposeTimeout bounds the wait for the proposal of one rack.
	proposeTimeout = 500 * time.Millisecond
	// proposeBatchSize bounds the tasks in one request to a rack; it exceeds the slots of a rack of 8 workers.
	proposeBatchSize = 1024
	// unresponsivePeriod is how long plans skip a rack that did not answer in time.
	unresponsivePeriod = 10 * time.Second
)

// maxPendingTasks bounds the confirmed but unplaced tasks for which the check of a plan leaves capacity.
const maxPendingTasks = 512

// Plan returns a plan for an intent and stores it. Nothing runs until the plan is confirmed.
func (in *Instance) Plan(ctx context.Context, n int, spec model.IntentSpec) (model.Plan, error) {
	if err := in.checkAdmission(); err != nil {
		return model.Plan{}, err
	}
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return model.Plan{}, err
	}
	return r.plan(ctx, spec)
}

// plan creates a plan and stores it.
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

// storePlan writes a plan to the table and adds it to the core.
func (r *intentRunner) storePlan(ctx context.Context, plan model.Plan) error {
	if err := r.putRow(ctx, planKey(r.partition(), plan.ID), 0, plan); err != nil {
		return err
	}
	return r.core.AddPlan(plan)
}

// propose asks the racks for placements of tasks, given that the tasks of before are placed first, and adds them to the
// plan. Tasks that fit nowhere at present wait; a task that is too large for every worker is an error. A gang of which only
// some members fit waits as a whole.
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
		plan.Displacements = append(plan.Displacements, peer.DisplacementsFromProto(p.GetDisplaces())...)
		unplaced = withoutPlaced(unplaced, placed)
	}
	if answered == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rack can be reached").WithRetryAfter(time.Second)
	}
	unplaced = removeTasks(plan, before, unplaced)
	if err := r.in.checkGangFits(plan.Spec); err != nil && len(unplaced) > 0 {
		return err
	}
	// If before is not empty, the racks have answered for its tasks first, so fitsEmpty does not describe these tasks.
	if len(unplaced) > 0 && !fitsEmpty && len(before) == 0 {
		return verdict.Invalid("each", "no worker that could be reached is large enough for one task")
	}
	for _, t := range unplaced {
		plan.Placements = append(plan.Placements, model.Placement{Task: t.ID, MustWait: true, Reason: "waits for free capacity"})
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

// proposeAtRack asks one rack for placements. A rack that did not answer in time is skipped for unresponsivePeriod;
// otherwise, after the loss of an availability zone, every plan would wait for a timeout for each rack of the zone.
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

// checkGangFits returns an error when the workers of the cell could not run all members of a gang at once even if the
// workers were empty.
func (in *Instance) checkGangFits(spec model.IntentSpec) error {
	if spec.Kind != model.KindGang {
		return nil
	}
	each := intent.Demand(model.Task{DeclaredDemand: spec.TaskDemand})
	capacity := 0
	for _, m := range in.members.AllWorkers() {
		capacity += int(intent.TasksThatFit(m.Capacity, each))
	}
	if capacity >= spec.Tasks {
		return nil
	}
	return verdict.Invalid("tasks", "the workers of the cell can hold %d members at a time, the gang has %d", capacity, spec.Tasks)
}

// makeGangWait makes all members of a gang wait: none starts and nothing is displaced before all fit.
func makeGangWait(plan *model.Plan, missing int) {
	for i := range plan.Placements {
		p := &plan.Placements[i]
		*p = model.Placement{Task: p.Task, MustWait: true, Reason: "waits until all members of the gang fit"}
	}
	plan.Displacements = plan.Displacements[:0]
}

// withoutPlaced returns the tasks that have no placement in placed.
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

// Confirm starts a planned intent. It is idempotent: a second confirmation of the same plan returns the result of the
// first. A plan that is no longer valid is refused, and the error carries a new plan.
func (in *Instance) Confirm(ctx context.Context, n int, planID string) (model.Intent, error) {
	if err := in.checkAdmission(); err != nil {
		return model.Intent{}, err
	}
	r, err := in.loadedIntentRunner(n)
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

// retryConfirmation resolves a confirmation whose result is unknown: it repeats the write, which requires the row to be
// absent, until it is certain that one of the writes was applied. Otherwise the table could contain a confirmed intent that
// no owner runs. For an expired plan it only reads the row and does not write it again.
func (r *intentRunner) retryConfirmation(plan model.Plan, out model.Intent) {
	for r.in.sleep(r.ctx, unknownResultRetryInterval) {
		if r.retryConfirmationOnce(plan, out) {
			return
		}
	}
}

// retryConfirmationOnce makes one attempt and reports whether the confirmation is resolved.
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

// unknownResultRetryInterval is the time between attempts to resolve a write whose result is unknown.
const unknownResultRetryInterval = time.Second

// findPlan returns a plan from memory or, if it was made under an earlier owner, from the table.
func (r *intentRunner) findPlan(ctx context.Context, id string) (model.Plan, error) {
	plan, err := r.core.Plan(id)
	if err == nil {
		return plan, nil
	}
	rows, readErr := r.in.opts.Table.Get(ctx, planKey(r.partition(), id))
	if readErr != nil {
		return model.Plan{}, verdict.Wrap(readErr, verdict.NotRun, verdict.CodeUnavailable, "read plan %q", id).WithRetryAfter(time.Second)
	}
	if len(rows) == 0 {
		return model.Plan{}, err
	}
	if err := json.Unmarshal(rows[0].Value, &plan); err != nil {
		return model.Plan{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode plan %q", id)
	}
	return plan, r.core.AddPlan(plan)
}

// earlierConfirmation returns the stored intent if the plan was confirmed before and the core does not have the intent.
// Otherwise it returns cause, with a new plan attached if the plan is stale.
func (r *intentRunner) earlierConfirmation(ctx context.Context, plan model.Plan, cause error) (model.Intent, error) {
	if verdict.Of(cause) != verdict.NotRun {
		return model.Intent{}, cause
	}
	r.rowLock.Lock()
	first, ok, err := r.readIntentRow(ctx, plan.IntentID)
	r.rowLock.Unlock()
	if err == nil && ok {
		if first.State == model.IntentConfirmed {
			// The first confirmation was applied, but its result was unknown.
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

// checkPlan requests placements for the tasks of a plan again, after the tasks that were confirmed and are not placed yet.
// It returns an error that carries a new plan when the plan is no longer valid.
func (r *intentRunner) checkPlan(ctx context.Context, plan model.Plan) error {
	fresh, tasks, err := r.core.Draft(r.now(), plan.Spec, r.in.config.Current().Version, r.in.opts.NewID())
	if err != nil {
		return err
	}
	if err := r.propose(ctx, &fresh, r.core.TasksAwaitingGrant(maxPendingTasks), tasks); err != nil {
		return err
	}
	reason := r.core.StalePlanReason(plan, fresh)
	if reason == "" {
		return nil
	}
	stale := verdict.New(verdict.NotRun, verdict.CodeStalePlan, "plan %q no longer holds: %s", plan.ID, reason)
	if err := r.storePlan(ctx, fresh); err != nil {
		return stale
	}
	return stale.WithDetail(fresh)
}

// removeTasks removes the placements of others from a plan and returns the tasks of rest that are not in others.
func removeTasks(plan *model.Plan, others, rest []model.Task) []model.Task {
	drop := make(map[model.TaskID]bool, len(others))
	for _, t := range others {
		drop[t.ID] = true
	}
	plan.Placements = slices.DeleteFunc(plan.Placements, func(p model.Placement) bool { return drop[p.Task] })
	return slices.DeleteFunc(rest, func(t model.Task) bool { return drop[t.ID] })
}
