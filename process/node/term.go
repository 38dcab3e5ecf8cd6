package node

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// term is one epoch in which this instance leads.
type term struct {
	node       *Node
	epoch      uint64
	row        leaderRow
	rowVersion uint64
	previous   leaderRow
	core       *cell.Core

	// writeVersion is the version of the row that names the newest write. Each write is conditional on it, so that a write
	// whose answer was lost cannot overwrite a later one. writes numbers the writes of the term.
	writeVersion uint64
	writes       uint64
	// storedAt is when the last write that is durable was sent; renewedAt when the renewal row was last among the rows.
	storedAt, renewedAt cell.Instant
	suspended           bool

	mu sync.Mutex
	// loaded says that all rows were read.
	loaded bool
	// members are the instances that have joined, with the time of their last join.
	members map[string]member
	// unusable are the entries of the registry that were logged as ignored.
	unusable map[string]struct{}
	// mostMembers is the largest number of other instances in this term. It is used by the loop of decisions only.
	mostMembers int
	// rows keeps expired rows from being removed while a table is read anew, since the removed ones would be entered as new.
	rows sync.RWMutex
	// orders has a slot for each start and stop on its way.
	orders chan struct{}
	// steppingDown says that this small leader resigns for a larger instance. It is used by the loop of decisions only.
	steppingDown bool

	// The versions up to which the feeds were read, each used by one loop.
	jobsAfter, cancelsAfter, workersAfter uint64

	// resigning asks the writer to give the leadership up; resigned is closed when it has tried.
	resigning atomic.Bool
	resigned  chan struct{}

	end func()
}

const (
	// batchRows bounds the rows of one write of progress; the table service takes 100 entries.
	batchRows = 80
	// batchPause is the least time between writes of progress, so that several ends share one.
	batchPause = 12 * time.Millisecond
	// maxOrders bounds the starts and stops on their way. A backlog that is sent all at once would keep a small processor
	// busy for longer than an order may take, so that all of them would count as unanswered.
	maxOrders = 48
	// slotTerm is the longest time for which an order counts as on its way. A sound worker answers within a few
	// milliseconds, and waiting for a silent one costs no processor time.
	slotTerm = 100 * time.Millisecond
	// stepPause is the least time between two rounds of decisions.
	stepPause = 2 * time.Millisecond
	// stepIdle is the longest time between two rounds of decisions.
	stepIdle = 50 * time.Millisecond
)

// lead runs the term until it is lost, given up or ctx ends.
func (n *Node) lead(ctx context.Context, t *term) {
	ctx, t.end = context.WithCancel(ctx)
	defer t.end()
	now := n.opts.Now()
	t.members = map[string]member{}
	t.orders = make(chan struct{}, maxOrders)
	t.resigned = make(chan struct{})
	t.unusable = map[string]struct{}{}
	t.storedAt = now
	t.core = cell.New(cell.Options{
		Epoch: t.epoch, Lease: n.opts.Lease, PredecessorTerm: t.predecessorTerm(), StopTimeout: n.opts.StopTimeout,
		Retention: n.opts.Retention, Note: n.opts.Note,
	}, now)
	n.mu.Lock()
	n.term = t
	cfg, waves := n.config, slices.Clone(n.waves)
	n.mu.Unlock()
	t.core.SetConfig(cfg)
	for _, w := range waves {
		t.core.SetWave(w, now)
	}
	n.opts.Log.WithFields(map[string]any{
		"event": "leadership_taken", "epoch": t.epoch, "previous": t.previous.Instance, "resigned": t.previous.Resigned,
	}).Info("leadership taken")
	t.run(ctx)
	members := t.memberAddresses(keepMembers)
	n.mu.Lock()
	n.term = nil
	n.members = members
	n.leader.known = false
	n.mu.Unlock()
	n.opts.Log.WithFields(map[string]any{"event": "leadership_ended", "epoch": t.epoch}).Info("leadership ended")
}

// predecessorTerm is how long the former leader may still extend leases: not at all if it resigned or was this instance.
func (t *term) predecessorTerm() time.Duration {
	if t.previous.Epoch == 0 || t.previous.Resigned || t.previous.Instance == t.row.Instance {
		return 0
	}
	return suspendAfter
}

// run starts the loops of the term and waits for them.
func (t *term) run(ctx context.Context) {
	var loops sync.WaitGroup
	loop := func(f func(context.Context)) {
		loops.Add(1)
		go func() {
			defer loops.Done()
			f(ctx)
		}()
	}
	loop(t.write)
	if t.load(ctx) {
		loop(t.followJobs)
		loop(t.followCancels)
		loop(t.followWorkers)
		loop(t.decide)
		loop(t.removeExpired)
		loop(t.followMachines)
	}
	loops.Wait()
}

// decide runs the rounds of decisions and carries out the orders.
func (t *term) decide(ctx context.Context) {
	polled := map[string]struct{}{}
	var ended sync.Map
	for ctx.Err() == nil {
		select {
		case <-t.core.Wake():
		case <-time.After(stepIdle):
		case <-ctx.Done():
			return
		}
		if t.core.Superseded() {
			t.end()
			return
		}
		names := t.advisers()
		if t.isolated(len(names)-1) || t.hasLargerMember() {
			go t.resign(ctx)
		}
		t.core.SetAdvisers(names)
		for _, action := range t.core.Step(t.node.opts.Now(), time.Now().UnixMilli()) {
			go t.carryOut(ctx, action)
		}
		ended.Range(func(id, _ any) bool {
			delete(polled, id.(string))
			ended.Delete(id)
			return true
		})
		for _, id := range t.core.WorkerIDs() {
			if _, ok := polled[id]; ok {
				continue
			}
			polled[id] = struct{}{}
			go func() {
				t.poll(ctx, id)
				ended.Store(id, true)
			}()
		}
		pause(ctx, stepPause)
	}
}

// carryOut sends one order and enters its result.
func (t *term) carryOut(ctx context.Context, action cell.Action) {
	workers := t.node.opts.Workers
	switch a := action.(type) {
	case *cell.StartAction:
		t.start(ctx, a)
	case *cell.StopAction:
		release := t.takeSlot()
		reply, err := workers.Stop(ctx, a.Order)
		release()
		t.core.StopResult(a, reply, err, t.node.opts.Now())
	case *cell.PollAction:
		t.pollOnce(ctx, a.Worker)
	case *cell.ThrottleAction:
		_, err := workers.Throttle(ctx, a.Order, a.Percent)
		t.core.ThrottleResult(a, err, t.node.opts.Now())
	case *cell.AdviseAction:
		good, validity, err := t.advise(ctx, a)
		t.core.AdviceResult(a, good, validity, err, t.node.opts.Now())
	case *cell.MaintainAction:
		leader := backend.Leader{Instance: t.node.opts.Instance, Token: t.epoch}
		refusal, err := t.node.opts.Machines.Maintain(ctx, leader, a.Machine, a.Wave)
		t.core.MaintainResult(a, refusal, err, t.node.opts.Now())
	case *cell.WaveAction:
		status := t.node.opts.Decoder.WaveStatus(a.Wave, a.Completed)
		_, err := t.node.tables.Commit(ctx, backend.Txn{Put: []backend.Row{status}})
		t.core.WaveReported(a, err)
	}
}

// start sends a start unless it is not wanted any more when its turn comes. The wait for a slot is not part of the time that
// the order may take.
func (t *term) start(ctx context.Context, a *cell.StartAction) {
	release := t.takeSlot()
	defer release()
	if !t.core.Wanted(a) {
		t.core.StartWithdrawn(a, t.node.opts.Now())
		return
	}
	reply, err := t.node.opts.Workers.Start(ctx, a.Order)
	t.core.StartResult(a, reply, err, t.node.opts.Now())
}

// takeSlot waits for a slot of an order and returns the function that frees it. The slot is free after slotTerm at the
// latest, so that orders to silent workers do not hold up those to the others.
func (t *term) takeSlot() (release func()) {
	t.orders <- struct{}{}
	free := sync.OnceFunc(func() { <-t.orders })
	timer := time.AfterFunc(slotTerm, free)
	return func() {
		timer.Stop()
		free()
	}
}

// pollRetry is the time between polls of a worker that does not answer.
const pollRetry = 150 * time.Millisecond

// ackWait is how long a poll waits for ends to become durable, so that it can acknowledge them.
const ackWait = 150 * time.Millisecond

// poll extends the leases of a worker and reads its inventory until the worker is forgotten.
func (t *term) poll(ctx context.Context, id string) {
	now := t.node.opts.Now
	for ctx.Err() == nil {
		req, suspended, ok := t.core.PreparePoll(id, now())
		if !ok {
			return
		}
		if suspended {
			pause(ctx, pollRetry)
			continue
		}
		sent := now()
		reply, err := t.node.opts.Workers.Poll(ctx, req)
		if ctx.Err() != nil {
			return
		}
		t.core.PollResult(id, sent, reply, err, now())
		if err != nil || reply.Refusal != "" {
			pause(ctx, pollRetry)
			continue
		}
		t.awaitAcks(ctx, id)
	}
}

// pollOnce reads the inventory of a worker without waiting for an end.
func (t *term) pollOnce(ctx context.Context, id string) {
	now := t.node.opts.Now
	req, suspended, ok := t.core.PreparePoll(id, now())
	if !ok || suspended {
		return
	}
	req.Wait = 0
	sent := now()
	reply, err := t.node.opts.Workers.Poll(ctx, req)
	if ctx.Err() == nil {
		t.core.PollResult(id, sent, reply, err, now())
	}
}

// awaitAcks waits for the ends of a worker to become durable.
func (t *term) awaitAcks(ctx context.Context, id string) {
	deadline := time.NewTimer(ackWait)
	defer deadline.Stop()
	for {
		changed, pending := t.core.AcksChanged(id)
		if !pending {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// write makes progress durable and renews the leadership until it is lost.
func (t *term) write(ctx context.Context) {
	defer t.end()
	t.readWriteVersion(ctx)
	for ctx.Err() == nil {
		if t.resigning.Load() {
			t.commitResignation(ctx)
			return
		}
		batch := t.core.CollectBatch(batchRows)
		due := t.node.opts.Now()-t.renewedAt >= renewEvery
		if batch.Empty() && !due {
			pause(ctx, batchPause)
			continue
		}
		stored, lost := t.commit(ctx, batch, due)
		t.core.BatchStored(batch, stored, t.node.opts.Now())
		if lost {
			t.node.opts.Log.WithFields(map[string]any{"event": "leadership_lost", "epoch": t.epoch}).Warn("another instance leads")
			return
		}
		t.suspendIfStale()
		if !stored {
			pause(ctx, readRetry)
		}
		pause(ctx, batchPause)
	}
}

// suspendIfStale stops the orders to workers while the leadership cannot be renewed.
func (t *term) suspendIfStale() {
	stale := t.node.opts.Now()-t.storedAt > suspendAfter-time.Second
	if stale == t.suspended {
		return
	}
	t.suspended = stale
	t.core.Suspend(stale)
	t.node.opts.Log.WithFields(map[string]any{
		"event": "leadership_suspended", "epoch": t.epoch, "suspended": stale,
		"renewal_age_ms": (t.node.opts.Now() - t.storedAt).Milliseconds(),
	}).Warn("renewal of the leadership")
}

// readWriteVersion reads the version on which the first write is conditional. A failure costs the first write a conflict.
func (t *term) readWriteVersion(ctx context.Context) {
	row, err := t.node.tables.Get(ctx, writeKey)
	if err != nil {
		t.node.opts.Log.WithError(err).WithField("event", "write_version_unknown").Info("newest write cannot be read")
		return
	}
	t.writeVersion = row.Version
}

// commit writes a batch, and the renewal row if renew is set. lost says that another instance leads.
func (t *term) commit(ctx context.Context, batch cell.Batch, renew bool) (stored, lost bool) {
	sent := t.node.opts.Now()
	t.writes++
	txn, err := t.transaction(batch, t.row, renew)
	if err != nil {
		t.node.opts.Log.WithError(err).Error("progress cannot be encoded")
		return false, false
	}
	version, err := t.node.tables.Commit(ctx, txn)
	if err == nil {
		t.writeVersion = version
		t.noteStored(sent, renew)
		return true, false
	}
	t.node.opts.Log.WithError(err).WithFields(map[string]any{
		"event": "renewal_failed", "epoch": t.epoch, "write": t.writes,
	}).Warn("progress was not stored")
	if e := verdict.From(err); e.Verdict == verdict.NotRun && e.Code != verdict.CodeConflict {
		return false, false
	}
	stored, lost = t.settle(ctx)
	if stored {
		t.noteStored(sent, renew)
	}
	return stored, lost
}

func (t *term) noteStored(sent cell.Instant, renewed bool) {
	t.storedAt = sent
	if renewed {
		t.renewedAt = sent
	}
}

// settle reads the leadership back after a write with an unknown outcome or a failed condition.
func (t *term) settle(ctx context.Context) (stored, lost bool) {
	leader, err := t.node.tables.Get(ctx, leaderKey)
	if err != nil {
		return false, false
	}
	if leader.Version != t.rowVersion {
		return false, true
	}
	newest, err := t.node.tables.Get(ctx, writeKey)
	if err != nil {
		return false, false
	}
	t.writeVersion = newest.Version
	return string(newest.Value) == t.writeName(), false
}

// writeName identifies the newest write of the term.
func (t *term) writeName() string {
	return t.row.Claim + "/" + strconv.FormatUint(t.writes, 10)
}

// transaction returns the write of a batch. The row of the newest write chains the writes of the term.
func (t *term) transaction(batch cell.Batch, row leaderRow, renew bool) (backend.Txn, error) {
	txn := backend.Txn{
		Expected: []backend.Row{
			{RowKey: leaderKey, Version: t.rowVersion},
			{RowKey: writeKey, Version: t.writeVersion},
		},
		Put: []backend.Row{{RowKey: writeKey, Value: []byte(t.writeName())}},
	}
	if renew {
		txn.Put = append(txn.Put, backend.Row{RowKey: renewalKey, Value: []byte(t.writeName())})
	}
	if batch.Fleet != nil {
		txn.Put = append(txn.Put, backend.Row{RowKey: fleetKey, Value: batch.Fleet})
	}
	for _, p := range batch.Progress {
		txn.Put = append(txn.Put, backend.Row{RowKey: progressKey(p.Job), Value: p.Data})
	}
	for _, id := range batch.Removed {
		txn.Remove = append(txn.Remove, progressKey(id))
	}
	if row.Resigned {
		value, err := json.Marshal(row)
		if err != nil {
			return txn, err
		}
		txn.Put = append(txn.Put, backend.Row{RowKey: leaderKey, Value: value})
	}
	return txn, nil
}

// machinesEvery is the time between lists of machines while a wave is open.
const machinesEvery = 500 * time.Millisecond

// followMachines reads the list of machines while a wave is open.
func (t *term) followMachines(ctx context.Context) {
	for pause(ctx, machinesEvery) {
		if t.node.opts.Machines == nil || !t.core.NeedsMachines() {
			continue
		}
		read := t.node.opts.Now()
		list, err := t.node.opts.Machines.List(ctx)
		if err != nil {
			t.node.opts.Log.WithError(err).WithField("event", "machines_unreadable").Warn("list of machines cannot be read")
			continue
		}
		t.core.SetMachines(list, read, t.node.opts.Now())
	}
}
