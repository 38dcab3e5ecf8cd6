package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/journal"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// intentTick is the time between checks for offers that have expired.
	intentTick = 500 * time.Millisecond
	// journalFlush is the time between batches of outcomes. With 64 busy partitions it allows 128 writes/s, which leaves room
	// for sessions and confirmations in the budget of 200 writes/s.
	journalFlush = 500 * time.Millisecond
	// journalPending bounds the outcomes of a partition that wait for a write.
	journalPending = 50_000
	// journalReserve is kept free for outcomes that no worker holds.
	journalReserve = 10_000
)

// intentRunner executes the effects of one intent core for one epoch.
type intentRunner struct {
	in      *Instance
	core    *intent.Core
	journal *journal.Journal
	// condition makes durable writes fail once the partition has another owner.
	condition store.Condition
	ctx       context.Context
	cancel    context.CancelFunc
	// loaded is set when the stored intents were read; the instance's lock protects it.
	loaded bool

	// planning serialises confirmations, each with its check against those before it. It is taken before confirming.
	planning semaphore

	// confirming serialises the writes of intent rows. It protects versions, the versions of rows as last written or read.
	confirming semaphore
	versions   map[string]uint64
	keys       keyWriter

	mu      sync.Mutex
	waiting map[model.TaskID][]chan model.Outcome
	// cancels are the cancellations that wait to be written together.
	cancels    []*cancellation
	cancelling bool
	// silentUntil is until when a rack that did not answer is left out of plans.
	silentUntil map[string]time.Time
}

// semaphore is a lock that is held during input and output. Its waiters block on a channel, which tests in virtual time
// need in order to advance the clock.
type semaphore chan struct{}

// Lock takes the semaphore.
func (s semaphore) Lock() { s <- struct{}{} }

// Unlock returns the semaphore.
func (s semaphore) Unlock() { <-s }

func partitionNumber(p ownership.Partition) int {
	n, err := strconv.Atoi(p.Name)
	if err != nil {
		return -1
	}
	return n
}

func intentPrefix(n int) string         { return fmt.Sprintf("intent/%d/", n) }
func handoverKey(n int) string          { return fmt.Sprintf("handover/%d", n) }
func planKey(n int, id string) string   { return fmt.Sprintf("plan/%d/%s", n, id) }
func intentKey(n int, id string) string { return intentPrefix(n) + id }
func (r *intentRunner) now() time.Time  { return r.in.opts.Clock.Now() }
func (r *intentRunner) partition() int  { return r.core.Partition() }

func (in *Instance) acquireIntent(p ownership.Partition, epoch, rowVersion uint64) {
	n := partitionNumber(p)
	r := &intentRunner{
		in: in, core: intent.New(n, epoch, intentPolicy(in.config.Current().Document)),
		condition: store.Condition{Key: "partition/" + p.String(), Version: rowVersion},
		waiting:   map[model.TaskID][]chan model.Outcome{}, versions: map[string]uint64{},
		silentUntil: map[string]time.Time{}, planning: make(semaphore, 1), confirming: make(semaphore, 1),
	}
	r.core.SetQuotas(in.opts.Quotas)
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
	r.in.router.notify()
	r.in.run(func() { r.journal.Run(r.ctx) })
	r.in.run(r.askRacks)
	r.tick()
	r.in.every(r.ctx, intentTick, r.tick)
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
		r.versions[row.Key] = row.Version
		r.core.Restore(r.now(), in, outcomes)
	}
	r.core.RestoreCalls(r.now(), outcomes)
	return r.loadTickets()
}

// loadTickets reads the ticket tables that the owner before has left.
func (r *intentRunner) loadTickets() error {
	rows, err := r.in.opts.Table.Get(r.ctx, handoverKey(r.partition()))
	if err != nil || len(rows) == 0 {
		return err
	}
	var left intent.Handover
	if err := json.Unmarshal(rows[0].Value, &left); err != nil {
		return err
	}
	r.core.RestoreTickets(left)
	return nil
}

// tick gives the core the current view of the cell and executes what is due.
func (r *intentRunner) tick() {
	view := r.in.cellView()
	r.core.SetRacks(r.now(), view.racks)
	r.core.SetPool(r.in.usages.pool(view, r.partition()))
	r.core.SetOlderGang(r.in.usages.olderGang(r.partition()))
	r.execute(r.core.Tick(r.now()))
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
			r.record(final)
			r.execute(effects)
		}
		if missing > 0 && !r.in.sleep(r.ctx, retryDelay) || missing == 0 && !r.in.awaitChange(r.ctx) {
			return
		}
	}
}

// askRack enters what a rack lists for the partition. complete is true when nothing else can run in the rack.
func (r *intentRunner) askRack(name string) (rackEpoch uint64, complete bool) {
	known, rackEpoch, complete := r.listRack(name)
	if !complete {
		return 0, false
	}
	effects, final := r.core.RackReplaced(r.now(), name, rackEpoch, known)
	r.record(final)
	r.execute(effects)
	return rackEpoch, true
}

// listRack enters what a rack lists for the partition and returns the start tokens of what runs or has ended there.
func (r *intentRunner) listRack(name string) (known map[model.StartToken]bool, rackEpoch uint64, complete bool) {
	reply, err := r.in.ask(r.ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_FenceIntent{
		FenceIntent: &peerpb.FenceIntent{Rack: name, Partition: uint32(r.partition()), Epoch: r.core.Epoch()},
	}})
	if err != nil {
		return nil, 0, false
	}
	answer := reply.GetFenceIntent()
	known = map[model.StartToken]bool{}
	for _, t := range answer.GetTasks() {
		task, token := peer.TaskFromProto(t.GetTask()), peer.TokenFromProto(t.GetToken())
		known[token] = true
		if out := peer.OutcomeFromProto(t.GetOutcome()); out.State != "" {
			_, _ = r.ended(task, out)
			continue
		}
		r.execute(r.core.Known(r.now(), name, answer.GetRackEpoch(), task, token, t.GetWorker()))
	}
	return known, answer.GetRackEpoch(), answer.GetComplete()
}

// record appends outcomes to the journal that no worker reports.
func (r *intentRunner) record(outcomes []model.Outcome) {
	for _, out := range outcomes {
		_, _ = r.journal.Append(out)
	}
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

// stopWaiting removes a caller that has gone.
func (r *intentRunner) stopWaiting(id model.TaskID, gone chan model.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := slices.DeleteFunc(r.waiting[id], func(ch chan model.Outcome) bool { return ch == gone })
	if len(left) == 0 {
		delete(r.waiting, id)
		return
	}
	r.waiting[id] = left
}

// ended enters an outcome and returns a channel that is closed when it is durable; nil means that nothing has to be
// recorded. While the journal is full the outcome is refused as NotRun, and the worker keeps it.
func (r *intentRunner) ended(task model.Task, out model.Outcome) (<-chan struct{}, error) {
	pending, done := r.journal.Pending(out.Task)
	if done != nil {
		return done, nil
	}
	if pending >= journalPending-journalReserve {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the outcome journal is full").After(time.Second)
	}
	effects, final, err := r.core.Ended(r.now(), task, out)
	if err != nil {
		return nil, err
	}
	if !final {
		r.execute(effects)
		_, done := r.journal.Pending(out.Task)
		return done, nil
	}
	// The outcome is queued before the end of the intent is, so that no row says done before its outcomes are durable.
	for _, e := range effects {
		if ended, ok := e.(intent.TaskEnded); ok && ended.Outcome.Task == out.Task {
			out = ended.Outcome
		}
	}
	done, err = r.journal.Append(out)
	r.execute(effects)
	return done, err
}

// unlessMoved returns err, but for an intent that is not found while another instance may own the partition: that one may
// know the intent and may have run the call, so that the result is unknown here.
func (r *intentRunner) unlessMoved(ctx context.Context, err error) error {
	if verdict.From(err).Code != verdict.CodeNotFound {
		return err
	}
	rows, readErr := r.in.opts.Table.Get(ctx, r.condition.Key)
	if readErr == nil && len(rows) == 1 && rows[0].Version == r.condition.Version {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeWrongOwner, "intent partition %d may have another owner, which may know the intent", r.partition()).After(retryDelay)
}

// Call runs a call of a standing intent and waits for its outcome. A caller that gives up before the call was granted
// gets NotRun. A key, which a call without a ticket may have, is recorded before anything is dispatched.
func (in *Instance) Call(ctx context.Context, n int, id string, ticket model.StartToken, key string, payload []byte) (model.Outcome, error) {
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Outcome{}, err
	}
	if key != "" {
		if ticket, err = r.recordKey(ctx, id, key, payload); err != nil {
			return model.Outcome{}, r.unlessMoved(ctx, err)
		}
	}
	res, err := r.core.Call(r.now(), id, ticket, r.in.opts.NewID(), payload)
	if err != nil {
		return model.Outcome{}, r.unlessMoved(ctx, err)
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
		r.stopWaiting(res.Task.ID, done)
		effects, v := r.core.Abandon(r.now(), res.Task.ID)
		r.execute(effects)
		return model.Outcome{}, verdict.Wrap(ctx.Err(), v, verdict.CodeUnavailable, "wait for the outcome")
	case <-r.ctx.Done():
		return model.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.CodeWrongOwner, "the partition moved to another owner").After(retryDelay)
	}
}
