package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/journal"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// intentTick is the time between checks for offers that have expired.
	intentTick = 500 * time.Millisecond
	// journalFlush is the time between batches of outcomes.
	journalFlush = 200 * time.Millisecond
	// journalPending bounds the outcomes of a partition that wait for a write.
	journalPending = 50_000
)

// intentRunner executes the effects of one intent core for one epoch.
type intentRunner struct {
	in      *Instance
	core    *intent.Core
	journal *journal.Journal
	// condition makes durable writes fail once the partition has another owner.
	condition platform.Condition
	ctx       context.Context
	cancel    context.CancelFunc
	// loaded is set when the stored intents were read; the instance's lock protects it.
	loaded bool

	// confirming serialises confirmations and cancellations.
	confirming sync.Mutex

	mu      sync.Mutex
	waiting map[model.TaskID][]chan model.Outcome
}

func partitionNumber(p ownership.Partition) int {
	n, err := strconv.Atoi(p.Name)
	if err != nil {
		return -1
	}
	return n
}

func intentPrefix(n int) string         { return fmt.Sprintf("intent/%d/", n) }
func planKey(n int, id string) string   { return fmt.Sprintf("plan/%d/%s", n, id) }
func intentKey(n int, id string) string { return intentPrefix(n) + id }
func (r *intentRunner) now() time.Time  { return r.in.opts.Clock.Now() }
func (r *intentRunner) partition() int  { return r.core.Partition() }

func (in *Instance) acquireIntent(p ownership.Partition, epoch, rowVersion uint64) {
	n := partitionNumber(p)
	r := &intentRunner{
		in: in, core: intent.New(n, epoch, intent.DefaultPolicy()),
		condition: platform.Condition{Key: "partition/" + p.String(), Version: rowVersion},
		waiting:   map[model.TaskID][]chan model.Outcome{},
	}
	r.ctx, r.cancel = context.WithCancel(in.ctx)
	r.journal = journal.New(journal.Options{
		Partition: n, Epoch: epoch, Table: in.opts.Table, Clock: in.opts.Clock, Condition: r.condition,
		FlushEvery: journalFlush, MaxPending: journalPending,
	})
	in.mu.Lock()
	in.intents[n] = r
	in.mu.Unlock()
	in.run(r.serve)
}

// serve loads the stored state, asks every rack what runs, and then keeps the partition going.
func (r *intentRunner) serve() {
	for r.load() != nil {
		if !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
	r.in.mu.Lock()
	r.loaded = true
	r.in.mu.Unlock()
	r.in.run(func() { r.journal.Run(r.ctx) })
	r.in.run(r.askRacks)
	r.in.every(r.ctx, intentTick, func() { r.execute(r.core.Tick(r.now())) })
}

// load reads the intents and outcomes of the partition from the table.
func (r *intentRunner) load() error {
	outcomes, err := journal.Load(r.ctx, r.in.opts.Table, r.partition())
	if err != nil {
		return err
	}
	rows, err := r.in.opts.Table.Scan(r.ctx, intentPrefix(r.partition()))
	if err != nil {
		return err
	}
	for _, row := range rows {
		var in model.Intent
		if err := json.Unmarshal(row.Value, &in); err != nil {
			return err
		}
		r.core.Restore(r.now(), in, outcomes)
	}
	return nil
}

// askRacks raises the epoch at every rack owner and enters what each lists, now and whenever a rack gets a new owner.
// Tasks with no known place wait until all racks have answered completely.
func (r *intentRunner) askRacks() {
	answered := map[string]uint64{}
	opened := false
	for {
		missing := 0
		for _, name := range r.in.rackNames() {
			loc, ok := r.in.owners.Locate(ownership.Rack(name))
			if ok && answered[name] >= loc.Epoch {
				continue
			}
			if epoch, complete := r.askRack(name); complete {
				answered[name] = epoch
			} else {
				missing++
			}
		}
		if missing == 0 && !opened && len(answered) > 0 {
			opened = true
			effects, final := r.core.RacksAnswered(r.now())
			r.execute(effects)
			for _, out := range final {
				_, _ = r.journal.Append(out)
			}
		}
		if !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
}

// askRack enters what a rack lists for the partition. complete is true when nothing else can run in the rack.
func (r *intentRunner) askRack(name string) (rackEpoch uint64, complete bool) {
	reply, err := r.in.ask(r.ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_FenceIntent{
		FenceIntent: &peerpb.FenceIntent{Rack: name, Partition: uint32(r.partition()), Epoch: r.core.Epoch()},
	}})
	if err != nil {
		return 0, false
	}
	answer := reply.GetFenceIntent()
	known := map[model.StartToken]bool{}
	for _, t := range answer.GetTasks() {
		task, token := peer.TaskFromProto(t.GetTask()), peer.TokenFromProto(t.GetToken())
		known[token] = true
		if out := peer.OutcomeFromProto(t.GetOutcome()); out.State != "" {
			_, _ = r.ended(task, out)
			continue
		}
		r.core.Known(r.now(), name, answer.GetRackEpoch(), task, token, t.GetWorker())
	}
	if !answer.GetComplete() {
		return 0, false
	}
	r.execute(r.core.RackReplaced(r.now(), name, answer.GetRackEpoch(), known))
	return answer.GetRackEpoch(), true
}

// execute runs effects, each on a goroutine of its own where it sends a message.
func (r *intentRunner) execute(effects []intent.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case intent.OfferTask:
			r.in.run(func() { r.offer(e) })
		case intent.StopTask:
			r.in.run(func() { r.stop(e) })
		case intent.TaskEnded:
			r.answer(e.Outcome)
		}
	}
}

func (r *intentRunner) offer(e intent.OfferTask) {
	name := e.Rack
	if name == "" {
		name = r.in.chooseRack(e.Task)
	}
	if name == "" {
		return
	}
	victims := make([]string, len(e.Victims))
	for i, v := range e.Victims {
		victims[i] = string(v)
	}
	// A lost offer is repeated when its term ends.
	_, _ = r.in.ask(r.ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_Offer{Offer: &peerpb.Offer{
		Rack: name, IntentEpoch: r.core.Epoch(), Tasks: peer.TasksToProto([]model.Task{e.Task}), Victims: victims,
	}}})
}

// stop repeats a stop until the rack has taken it.
func (r *intentRunner) stop(e intent.StopTask) {
	for {
		_, err := r.in.ask(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_StopTask{
			StopTask: &peerpb.StopTask{Rack: e.Rack, Task: string(e.Task), Token: peer.TokenToProto(e.Token)},
		}})
		if err == nil || !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
}

// chooseRack picks the better of two random racks by their summaries; among racks whose largest worker seems too full it
// picks any, where the offer waits.
func (in *Instance) chooseRack(task model.Task) string {
	names := in.rackNames()
	if len(names) == 0 {
		return ""
	}
	now := in.opts.Clock.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	best, bestFree := "", int64(-1)
	for range 2 {
		name := names[in.rng.IntN(len(names))]
		sum, age, _ := in.summaries.get(now, name)
		free := discount(sum.Largest.CPUMilli, age)
		if free > bestFree {
			best, bestFree = name, free
		}
	}
	return best
}

// answer hands an outcome to the callers that wait for it.
func (r *intentRunner) answer(out model.Outcome) {
	r.mu.Lock()
	waiting := r.waiting[out.Task]
	delete(r.waiting, out.Task)
	r.mu.Unlock()
	for _, ch := range waiting {
		ch <- out
	}
}

// wait registers a caller for the outcome of a task.
func (r *intentRunner) wait(id model.TaskID) chan model.Outcome {
	ch := make(chan model.Outcome, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[id] = append(r.waiting[id], ch)
	return ch
}

// ended enters an outcome and returns a channel that is closed when it is durable; nil means that nothing has to be
// recorded.
func (r *intentRunner) ended(task model.Task, out model.Outcome) (<-chan struct{}, error) {
	effects, final, err := r.core.Ended(r.now(), task, out)
	if err != nil {
		return nil, err
	}
	r.execute(effects)
	if !final {
		_, done := r.journal.Pending(out.Task)
		return done, nil
	}
	return r.journal.Append(out)
}

// Plan states an intent and returns a plan; nothing changes.
func (in *Instance) Plan(ctx context.Context, n int, spec model.IntentSpec) (model.Plan, error) {
	if err := in.admitted(); err != nil {
		return model.Plan{}, err
	}
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Plan{}, err
	}
	plan, tasks := r.core.Draft(r.now(), spec, in.config.Current().Version, uuid.NewString())
	if err := r.propose(ctx, &plan, tasks); err != nil {
		return model.Plan{}, err
	}
	if err := r.put(ctx, planKey(n, plan.ID), 0, plan); err != nil {
		return model.Plan{}, err
	}
	r.core.AddPlan(plan)
	return plan, nil
}

// propose asks the racks where the tasks would go. Tasks that fit nowhere now wait; a task that fits no worker at all is
// an error.
func (r *intentRunner) propose(ctx context.Context, plan *model.Plan, tasks []model.Task) error {
	rest, fits, asked := tasks, false, 0
	for _, name := range r.in.rackNames() {
		if len(rest) == 0 {
			break
		}
		reply, err := r.in.ask(ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_Propose{
			Propose: &peerpb.Propose{Rack: name, Tasks: peer.TasksToProto(rest)},
		}})
		if err != nil {
			continue
		}
		asked++
		p := reply.GetPropose()
		fits = fits || p.GetFitsEmpty()
		placed := peer.PlacementsFromProto(p.GetPlacements())
		plan.Placements = append(plan.Placements, placed...)
		plan.Displaces = append(plan.Displaces, peer.DisplacementsFromProto(p.GetDisplaces())...)
		rest = withoutPlaced(rest, placed)
	}
	if asked == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rack can be reached").After(time.Second)
	}
	if len(rest) > 0 && !fits {
		return verdict.Invalid("each", "no worker that could be reached is large enough for one task")
	}
	for _, t := range rest {
		plan.Placements = append(plan.Placements, model.Placement{Task: t.ID, Waits: true, Reason: "waits for free capacity"})
	}
	return nil
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

// put writes a row under the partition's condition. version 0 requires the row to be absent.
func (r *intentRunner) put(ctx context.Context, key string, version uint64, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode %s", key)
	}
	txn := platform.Txn{
		ID: uuid.NewString(), Conditions: []platform.Condition{r.condition, {Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: data}},
	}
	_, err = r.in.opts.Table.Commit(ctx, txn)
	if verdict.Of(err) != verdict.MayHaveRun {
		return err
	}
	rows, readErr := r.in.opts.Table.Get(ctx, key)
	if readErr == nil && len(rows) == 1 && rows[0].TxnID == txn.ID {
		return nil
	}
	return err
}

// Confirm makes a plan run. A second confirmation of the same plan returns the first result.
func (in *Instance) Confirm(ctx context.Context, n int, planID string) (model.Intent, error) {
	if err := in.admitted(); err != nil {
		return model.Intent{}, err
	}
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Intent{}, err
	}
	r.confirming.Lock()
	defer r.confirming.Unlock()
	out, confirmed, err := r.core.PrepareConfirm(r.now(), planID)
	if err != nil || confirmed {
		return out, err
	}
	if err := r.put(ctx, intentKey(n, out.ID), 0, out); err != nil {
		return model.Intent{}, err
	}
	r.execute(r.core.Confirmed(r.now(), out))
	return out, nil
}

// Cancel ends an intent.
func (in *Instance) Cancel(ctx context.Context, n int, id string) (model.Intent, error) {
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Intent{}, err
	}
	r.confirming.Lock()
	defer r.confirming.Unlock()
	out, err := r.core.Intent(id)
	if err != nil || out.State == model.IntentCancelled {
		return out, err
	}
	out.State = model.IntentCancelled
	rows, err := in.opts.Table.Get(ctx, intentKey(n, id))
	if err != nil || len(rows) == 0 {
		return model.Intent{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "intent row cannot be read").After(time.Second)
	}
	if err := r.put(ctx, intentKey(n, id), rows[0].Version, out); err != nil {
		return model.Intent{}, err
	}
	effects, err := r.core.Cancelled(r.now(), id)
	r.execute(effects)
	return out, err
}

// Call runs a call of a standing intent and waits for its outcome.
func (in *Instance) Call(ctx context.Context, n int, id string, ticket model.StartToken, payload []byte) (model.Outcome, error) {
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Outcome{}, err
	}
	res, err := r.core.Call(r.now(), id, ticket, uuid.NewString(), payload)
	if err != nil {
		return model.Outcome{}, err
	}
	if res.Outcome != nil {
		return *res.Outcome, nil
	}
	done := r.wait(res.Task.ID)
	r.execute(res.Effects)
	select {
	case out := <-done:
		return out, nil
	case <-ctx.Done():
		return model.Outcome{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the outcome")
	case <-r.ctx.Done():
		return model.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the partition moved to another owner").After(retryDelay)
	}
}
