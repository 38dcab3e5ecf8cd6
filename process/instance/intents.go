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
	// intentTickInterval is the time between checks for offers that have expired.
	intentTickInterval = 500 * time.Millisecond
	// journalFlushInterval is the time between batches of outcomes. 64 busy partitions write 128 batches/s, which leaves
	// 72 writes/s of the budget of 200 writes/s to sessions and confirmations.
	journalFlushInterval = 500 * time.Millisecond
	// maxPendingOutcomes bounds the outcomes of a partition that wait for a write.
	maxPendingOutcomes = 50_000
	// reservedOutcomes is the part of maxPendingOutcomes that is reserved for outcomes that no worker stores.
	reservedOutcomes = 10_000
)

// intentRunner serves one intent partition for one epoch: it executes the effects of the partition's core.
type intentRunner struct {
	in      *Instance
	core    *intent.Core
	journal *journal.Journal
	// ownerCondition requires the partition row to be unchanged, so that writes fail once the partition has another owner.
	ownerCondition store.Condition
	ctx            context.Context
	cancel         context.CancelFunc
	// loaded is set when the stored intents have been read; in.mu protects it.
	loaded bool

	// confirmLock serialises confirmations, so that each is checked against those before it. It is acquired before rowLock.
	confirmLock channelMutex

	// rowLock serialises the writes of intent rows. It protects rowVersions, the row versions as last written or read.
	rowLock     channelMutex
	rowVersions map[string]uint64
	keys        keyWriter

	// mu protects the fields below.
	mu      sync.Mutex
	waiters map[model.TaskID][]chan model.Outcome
	// pendingCancels are the cancellations that wait for the next batch.
	pendingCancels      []*cancellation
	cancelWriterRunning bool
	// unresponsiveUntil is the time, by rack, until which a rack that did not answer is skipped by plans.
	unresponsiveUntil map[string]time.Time
}

// channelMutex is a mutex that may be held during I/O. Its waiters block on a channel: a test in virtual time advances the
// clock only while all goroutines block on channels, not on a sync.Mutex.
type channelMutex chan struct{}

// Lock locks s and blocks while it is locked.
func (s channelMutex) Lock() { s <- struct{}{} }

// Unlock unlocks s.
func (s channelMutex) Unlock() { <-s }

// partitionNumber returns the number of an intent partition, or -1 if its name is not a number.
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
		ownerCondition: store.Condition{Key: "partition/" + p.String(), Version: rowVersion},
		waiters:        map[model.TaskID][]chan model.Outcome{}, rowVersions: map[string]uint64{},
		unresponsiveUntil: map[string]time.Time{}, confirmLock: make(channelMutex, 1), rowLock: make(channelMutex, 1),
	}
	r.core.SetQuotas(in.opts.Quotas)
	r.ctx, r.cancel = context.WithCancel(in.ctx)
	r.journal = journal.New(journal.Options{
		Partition: n, Epoch: epoch, Table: in.opts.Table, Clock: in.opts.Clock, Condition: r.ownerCondition,
		FlushInterval: journalFlushInterval, MaxPending: maxPendingOutcomes,
	})
	in.mu.Lock()
	in.intents[n] = r
	in.mu.Unlock()
	in.spawn(r.serve)
}

// serve loads the stored state, fences the racks to learn what runs there, and then ticks the core until r.ctx is cancelled.
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
	r.in.spawn(func() { r.journal.Run(r.ctx) })
	r.in.spawn(r.fenceRacks)
	r.tick()
	r.in.runEvery(r.ctx, intentTickInterval, r.tick)
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
		r.rowVersions[row.Key] = row.Version
		r.core.Restore(r.now(), in, outcomes)
	}
	r.core.RestoreCalls(r.now(), outcomes)
	return r.loadTickets()
}

// loadTickets reads the ticket tables that the previous owner stored when it released the partition.
func (r *intentRunner) loadTickets() error {
	rows, err := r.in.opts.Table.Get(r.ctx, handoverKey(r.partition()))
	if err != nil || len(rows) == 0 {
		return err
	}
	var handover intent.Handover
	if err := json.Unmarshal(rows[0].Value, &handover); err != nil {
		return err
	}
	r.core.RestoreTickets(handover)
	return nil
}

// tick updates the core's view of the cell and executes the effects that are due.
func (r *intentRunner) tick() {
	view := r.in.currentCellView()
	r.core.SetRacks(r.now(), view.racks)
	r.core.SetPool(r.in.usages.pool(view, r.partition()))
	r.core.SetOldestOtherGang(r.in.usages.oldestOtherGang(r.partition()))
	r.execute(r.core.Tick(r.now()))
}

// fenceRacks raises the partition's epoch at the owner of every rack and applies the tasks that the rack lists, at the start
// and whenever a rack gets a new owner. Tasks without a known placement wait until all racks have answered completely.
func (r *intentRunner) fenceRacks() {
	answered := map[string]uint64{}
	allAnswered := false
	for {
		missing := 0
		for _, name := range r.in.rackNames() {
			loc, ok := r.in.owners.Locate(ownership.Rack(name))
			if ok && answered[name] >= loc.Epoch {
				continue
			}
			if epoch, complete := r.fenceRack(name); complete {
				answered[name] = epoch
			} else {
				missing++
			}
		}
		if missing == 0 && !allAnswered && len(answered) > 0 {
			allAnswered = true
			effects, final := r.core.AllRacksListed(r.now())
			r.appendOutcomes(final)
			r.execute(effects)
		}
		if missing > 0 && !r.in.sleep(r.ctx, retryDelay) || missing == 0 && !r.in.awaitChange(r.ctx) {
			return
		}
	}
}

// fenceRack fences one rack and applies the tasks that it lists for the partition. complete is true when the rack can run
// no other tasks of the partition than those listed.
func (r *intentRunner) fenceRack(name string) (rackEpoch uint64, complete bool) {
	listed, rackEpoch, complete := r.fenceAndList(name)
	if !complete {
		return 0, false
	}
	effects, final := r.core.RackReplaced(r.now(), name, rackEpoch, listed)
	r.appendOutcomes(final)
	r.execute(effects)
	return rackEpoch, true
}

// fenceAndList raises the partition's epoch at a rack, applies the tasks that the rack lists for the partition, and returns
// the start tokens of those that run or have finished there.
func (r *intentRunner) fenceAndList(name string) (listed map[model.StartToken]bool, rackEpoch uint64, complete bool) {
	reply, err := r.in.callOwner(r.ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_FenceIntent{
		FenceIntent: &peerpb.FenceIntent{Rack: name, Partition: uint32(r.partition()), Epoch: r.core.Epoch()},
	}})
	if err != nil {
		return nil, 0, false
	}
	answer := reply.GetFenceIntent()
	listed = map[model.StartToken]bool{}
	for _, t := range answer.GetTasks() {
		task, token := peer.TaskFromProto(t.GetTask()), peer.TokenFromProto(t.GetToken())
		listed[token] = true
		if out := peer.OutcomeFromProto(t.GetOutcome()); out.State != "" {
			_, _ = r.recordOutcome(task, out)
			continue
		}
		r.execute(r.core.RunningTaskListed(r.now(), name, answer.GetRackEpoch(), task, token, t.GetWorker()))
	}
	return listed, answer.GetRackEpoch(), answer.GetComplete()
}

// appendOutcomes appends to the journal outcomes that are not reported by a worker.
func (r *intentRunner) appendOutcomes(outcomes []model.Outcome) {
	for _, out := range outcomes {
		_, _ = r.journal.Append(out)
	}
}

// notifyWaiters sends an outcome to the callers that wait for it.
func (r *intentRunner) notifyWaiters(out model.Outcome) {
	r.mu.Lock()
	waiting := r.waiters[out.Task]
	delete(r.waiters, out.Task)
	r.mu.Unlock()
	for _, ch := range waiting {
		ch <- out
	}
}

// addWaiter returns a channel that receives the outcome of a task.
func (r *intentRunner) addWaiter(id model.TaskID) chan model.Outcome {
	ch := make(chan model.Outcome, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[id] = append(r.waiters[id], ch)
	return ch
}

// removeWaiter removes a channel that addWaiter returned, when its caller no longer waits.
func (r *intentRunner) removeWaiter(id model.TaskID, caller chan model.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := slices.DeleteFunc(r.waiters[id], func(ch chan model.Outcome) bool { return ch == caller })
	if len(remaining) == 0 {
		delete(r.waiters, id)
		return
	}
	r.waiters[id] = remaining
}

// recordOutcome applies an outcome to the core and appends it to the journal. The returned channel is closed when the
// outcome is durable; nil means that nothing has to be recorded. While the journal is full the outcome is refused as
// NotRun, and the worker retains it.
func (r *intentRunner) recordOutcome(task model.Task, out model.Outcome) (<-chan struct{}, error) {
	pending, done := r.journal.Pending(out.Task)
	if done != nil {
		return done, nil
	}
	if pending >= maxPendingOutcomes-reservedOutcomes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the outcome journal is full").WithRetryAfter(time.Second)
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
	// The outcome is queued before the effects run, which may write that the intent is done: the row of an intent must not
	// say so before its outcomes are durable.
	for _, e := range effects {
		if ended, ok := e.(intent.TaskEnded); ok && ended.Outcome.Task == out.Task {
			out = ended.Outcome
		}
	}
	done, err = r.journal.Append(out)
	r.execute(effects)
	return done, err
}

// unknownIfMoved replaces a not-found error by MayHaveRun while another instance may own the partition: that instance may
// know the intent and may have run the call, so the result is unknown here. Any other error is returned as it is.
func (r *intentRunner) unknownIfMoved(ctx context.Context, err error) error {
	if verdict.From(err).Code != verdict.CodeNotFound {
		return err
	}
	rows, readErr := r.in.opts.Table.Get(ctx, r.ownerCondition.Key)
	if readErr == nil && len(rows) == 1 && rows[0].Version == r.ownerCondition.Version {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeWrongOwner, "intent partition %d may have another owner, which may know the intent", r.partition()).WithRetryAfter(retryDelay)
}

// Call runs one call of an intent of kind call and waits for its outcome. If ctx ends before the call was granted, the error is
// NotRun. A call without a ticket may have an idempotency key, which is recorded before anything is dispatched.
func (in *Instance) Call(ctx context.Context, n int, id string, ticket model.StartToken, key string, payload []byte) (model.Outcome, error) {
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return model.Outcome{}, err
	}
	if key != "" {
		if ticket, err = r.recordKey(ctx, id, key, payload); err != nil {
			return model.Outcome{}, r.unknownIfMoved(ctx, err)
		}
	}
	res, err := r.core.Call(r.now(), id, ticket, r.in.opts.NewID(), payload)
	if err != nil {
		return model.Outcome{}, r.unknownIfMoved(ctx, err)
	}
	if res.Outcome != nil {
		return *res.Outcome, nil
	}
	done := r.addWaiter(res.Task.ID)
	r.execute(res.Effects)
	select {
	case out := <-done:
		return out, nil
	case <-ctx.Done():
		r.removeWaiter(res.Task.ID, done)
		effects, v := r.core.AbandonCall(r.now(), res.Task.ID)
		r.execute(effects)
		return model.Outcome{}, verdict.Wrap(ctx.Err(), v, verdict.CodeUnavailable, "wait for the outcome")
	case <-r.ctx.Done():
		return model.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.CodeWrongOwner, "the partition moved to another owner").WithRetryAfter(retryDelay)
	}
}
