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
	// proposeBatch bounds the tasks that one rack is asked for, which is more than a rack of 8 workers has slots.
	proposeBatch = 1024
	// silentTerm is how long a rack that did not answer is left out of plans.
	silentTerm = 10 * time.Second
)

// pendingLimit bounds the confirmed tasks that a confirmation leaves room for.
const pendingLimit = 512

// Plan states an intent and returns a plan; nothing changes.
func (in *Instance) Plan(ctx context.Context, n int, spec model.IntentSpec) (model.Plan, error) {
	if err := in.admitted(); err != nil {
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
	return plan, r.keepPlan(ctx, plan)
}

func (r *intentRunner) keepPlan(ctx context.Context, plan model.Plan) error {
	if err := r.put(ctx, planKey(r.partition(), plan.ID), 0, plan); err != nil {
		return err
	}
	return r.core.AddPlan(plan)
}

// propose asks the racks where the tasks would go, after the tasks that go before them. Tasks that fit nowhere now wait;
// a task that fits no worker at all is an error. A gang of which a part fits waits as a whole.
func (r *intentRunner) propose(ctx context.Context, plan *model.Plan, before, tasks []model.Task) error {
	rest, fits, asked := append(before[:len(before):len(before)], tasks...), false, 0
	for _, name := range r.in.rackNames() {
		if len(rest) == 0 {
			break
		}
		p, err := r.proposeAt(ctx, name, rest)
		if err != nil {
			continue
		}
		asked++
		fits = fits || p.GetFitsEmpty()
		placed := peer.PlacementsFromProto(p.GetPlacements())
		plan.Placements = append(plan.Placements, placed...)
		plan.Displaces = append(plan.Displaces, peer.DisplacementsFromProto(p.GetDisplaces())...)
		rest = withoutPlaced(rest, placed)
	}
	if asked == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rack can be reached").After(time.Second)
	}
	rest = withoutTasks(plan, before, rest)
	if err := r.in.checkGang(plan.Spec); err != nil && len(rest) > 0 {
		return err
	}
	// With other tasks before them the racks have answered for the first of those.
	if len(rest) > 0 && !fits && len(before) == 0 {
		return verdict.Invalid("each", "no worker that could be reached is large enough for one task")
	}
	for _, t := range rest {
		plan.Placements = append(plan.Placements, model.Placement{Task: t.ID, Waits: true, Reason: "waits for free capacity"})
	}
	if plan.Spec.Kind == model.KindGang && len(rest) > 0 {
		waitTogether(plan, len(rest))
	}
	if reason := r.core.QuotaReason(plan.Spec); reason != "" {
		for i := range plan.Placements {
			plan.Placements[i].Reason += "; " + reason
		}
	}
	return nil
}

// proposeAt asks one rack. A rack that did not answer in time is left out for a while, so that a lost availability zone
// does not hold up every plan by a timeout for each of its racks.
func (r *intentRunner) proposeAt(ctx context.Context, name string, tasks []model.Task) (*peerpb.ProposeReply, error) {
	r.mu.Lock()
	silent := r.now().Before(r.silentUntil[name])
	r.mu.Unlock()
	if silent {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "rack %q did not answer", name)
	}
	asked := make([]model.Task, 0, min(len(tasks), proposeBatch))
	for _, t := range tasks[:cap(asked)] {
		t.Payload = nil
		asked = append(asked, t)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := r.in.ask(ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_Propose{
		Propose: &peerpb.Propose{Rack: name, Tasks: peer.TasksToProto(asked)},
	}})
	if err != nil && ctx.Err() != nil {
		r.mu.Lock()
		r.silentUntil[name] = r.now().Add(silentTerm)
		r.mu.Unlock()
	}
	return reply.GetPropose(), err
}

// checkGang returns an error when the workers of the cell could not hold a gang even if they were empty.
func (in *Instance) checkGang(spec model.IntentSpec) error {
	if spec.Kind != model.KindGang {
		return nil
	}
	each := intent.Demand(model.Task{Each: spec.Each})
	room := 0
	for _, m := range in.members.AllWorkers() {
		room += int(intent.RoomFor(m.Capacity, each))
	}
	if room >= spec.Tasks {
		return nil
	}
	return verdict.Invalid("tasks", "the workers of the cell can hold %d members at a time, the gang has %d", room, spec.Tasks)
}

// waitTogether makes all members of a gang wait: nothing runs and nothing is displaced before all fit.
func waitTogether(plan *model.Plan, missing int) {
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
	if err := in.admitted(); err != nil {
		return model.Intent{}, err
	}
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Intent{}, err
	}
	r.planning.Lock()
	defer r.planning.Unlock()
	plan, err := r.findPlan(ctx, planID)
	if err != nil {
		return model.Intent{}, err
	}
	out, confirmed, err := r.core.PrepareConfirm(r.now(), planID)
	if confirmed {
		return out, nil
	}
	if err != nil {
		return r.confirmedBefore(ctx, plan, err)
	}
	if err := r.checkPlan(ctx, plan); err != nil {
		return r.confirmedBefore(ctx, plan, err)
	}
	r.confirming.Lock()
	err = r.writeIntents(ctx, out)
	r.confirming.Unlock()
	if err != nil {
		if verdict.Of(err) == verdict.MayHaveRun {
			r.in.run(func() { r.confirmLater(plan, out) })
		}
		return r.confirmedBefore(ctx, plan, err)
	}
	r.execute(r.core.Confirmed(r.now(), out))
	return out, nil
}

// confirmLater settles a confirmation whose result is unknown: it writes the row again, which requires its absence, until
// either write has certainly taken effect. Otherwise a confirmed intent would lie in the table without an owner that
// runs it. An expired plan is not written again, only looked for.
func (r *intentRunner) confirmLater(plan model.Plan, out model.Intent) {
	for r.in.sleep(r.ctx, lateRetry) {
		if r.confirmAgain(plan, out) {
			return
		}
	}
}

// confirmAgain reports whether the confirmation is settled.
func (r *intentRunner) confirmAgain(plan model.Plan, out model.Intent) bool {
	r.confirming.Lock()
	defer r.confirming.Unlock()
	if _, err := r.core.Intent(out.ID); err == nil {
		return true
	}
	stored, found, err := r.storedIntent(r.ctx, out.ID)
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

// lateRetry is the time between attempts to settle a write whose result is unknown.
const lateRetry = time.Second

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

// confirmedBefore returns the first result of a plan that was confirmed and whose intent is no longer in memory, or else
// the error, with a fresh plan attached if the plan is stale.
func (r *intentRunner) confirmedBefore(ctx context.Context, plan model.Plan, cause error) (model.Intent, error) {
	if verdict.Of(cause) != verdict.NotRun {
		return model.Intent{}, cause
	}
	r.confirming.Lock()
	first, ok, err := r.storedIntent(ctx, plan.IntentID)
	r.confirming.Unlock()
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
	if err := r.propose(ctx, &fresh, r.core.Pending(pendingLimit), tasks); err != nil {
		return err
	}
	reason := r.core.Holds(plan, fresh)
	if reason == "" {
		return nil
	}
	stale := verdict.New(verdict.NotRun, verdict.CodeStalePlan, "plan %q no longer holds: %s", plan.ID, reason)
	if err := r.keepPlan(ctx, fresh); err != nil {
		return stale
	}
	return stale.With(fresh)
}

// withoutTasks removes the placements of other tasks from a plan, and returns those of rest that are not among them.
func withoutTasks(plan *model.Plan, others, rest []model.Task) []model.Task {
	drop := make(map[model.TaskID]bool, len(others))
	for _, t := range others {
		drop[t.ID] = true
	}
	plan.Placements = slices.DeleteFunc(plan.Placements, func(p model.Placement) bool { return drop[p.Task] })
	return slices.DeleteFunc(rest, func(t model.Task) bool { return drop[t.ID] })
}
