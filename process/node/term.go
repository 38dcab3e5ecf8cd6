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

// leadership is one epoch in which this instance leads.
type leadership struct {
	node        *Node
	epoch       uint64
	row         leaderRow
	rowVersion  uint64
	predecessor leaderRow
	core        *cell.Core

	// writeVersion is the version of the row that names the newest write. Each write is conditional on it, so that a write
	// whose answer was lost cannot overwrite a later one. writes numbers the writes of the term.
	writeVersion uint64
	writeCount   uint64
	// storedAt is when the last write that is durable was sent; renewedAt when the renewal row was last among the rows.
	storedAt, renewedAt cell.Instant
	suspended           bool

	mu sync.Mutex
	// loaded says that all rows were read.
	loaded bool
	// members are the instances that have joined, with the time of their last join.
	members map[string]member
	// loggedUnusable are the entries of the registry that were logged as ignored.
	loggedUnusable map[string]struct{}
	// maxOtherMembers is the largest number of other instances in this term. It is used by the loop of decisions only.
	maxOtherMembers int
	// removalLock keeps expired rows from being removed while a table is read anew, since the removed ones would be entered as new.
	removalLock sync.RWMutex
	// commandSlots has a slot for each start and stop on its way.
	commandSlots chan struct{}
	// steppingDown says that this small leader resigns for a larger instance. It is used by the loop of decisions only.
	steppingDown bool

	// The versions up to which the feeds were read, each used by one loop.
	jobsFeedVersion, cancelsFeedVersion, workersFeedVersion uint64

	// resigning asks the writer to give the leadership up; resigned is closed when it has tried.
	resigning atomic.Bool
	resigned  chan struct{}

	cancel func()
}

const (
	// maxBatchRows bounds the rows of one write of progress; the table service takes 100 entries.
	maxBatchRows = 80
	// minWriteInterval is the least time between writes of progress, so that several ends share one.
	minWriteInterval = 12 * time.Millisecond
	// maxInFlightCommands bounds the starts and stops on their way. A backlog that is sent all at once would keep a small processor
	// busy for longer than an order may take, so that all of them would count as unanswered.
	maxInFlightCommands = 48
	// slotTTL is the longest time for which an order counts as on its way. A sound worker answers within a few
	// milliseconds, and waiting for a silent one costs no processor time.
	slotTTL = 100 * time.Millisecond
	// minStepInterval is the least time between two rounds of decisions.
	minStepInterval = 2 * time.Millisecond
	// maxStepInterval is the longest time between two rounds of decisions.
	maxStepInterval = 50 * time.Millisecond
)

// lead runs the term until it is lost, given up or ctx ends.
func (n *Node) lead(ctx context.Context, l *leadership) {
	ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	now := n.opts.Now()
	l.members = map[string]member{}
	l.commandSlots = make(chan struct{}, maxInFlightCommands)
	l.resigned = make(chan struct{})
	l.loggedUnusable = map[string]struct{}{}
	l.storedAt = now
	l.core = cell.New(cell.Options{
		Epoch: l.epoch, Lease: n.opts.Lease, PredecessorTerm: l.predecessorLeaseExtension(), StopTimeout: n.opts.StopTimeout,
		Retention: n.opts.Retention, Note: n.opts.Note,
	}, now)
	n.mu.Lock()
	n.leadership = l
	cfg, waves := n.config, slices.Clone(n.waves)
	n.mu.Unlock()
	l.core.SetConfig(cfg)
	for _, w := range waves {
		l.core.SetWave(w, now)
	}
	n.opts.Log.WithFields(map[string]any{
		"event": "leadership_taken", "epoch": l.epoch, "previous": l.predecessor.Instance, "resigned": l.predecessor.Resigned,
	}).Info("leadership taken")
	l.run(ctx)
	members := l.memberAddresses(formerMemberRetention)
	n.mu.Lock()
	n.leadership = nil
	n.members = members
	n.leader.feedPositionKnown = false
	n.mu.Unlock()
	n.opts.Log.WithFields(map[string]any{"event": "leadership_ended", "epoch": l.epoch}).Info("leadership ended")
}

// predecessorLeaseExtension is how long the former leader may still extend leases: not at all if it resigned or was this instance.
func (l *leadership) predecessorLeaseExtension() time.Duration {
	if l.predecessor.Epoch == 0 || l.predecessor.Resigned || l.predecessor.Instance == l.row.Instance {
		return 0
	}
	return suspendAfter
}

// run starts the loops of the term and waits for them.
func (l *leadership) run(ctx context.Context) {
	var loops sync.WaitGroup
	startLoop := func(f func(context.Context)) {
		loops.Add(1)
		go func() {
			defer loops.Done()
			f(ctx)
		}()
	}
	startLoop(l.runWriter)
	if l.load(ctx) {
		startLoop(l.followJobs)
		startLoop(l.followCancels)
		startLoop(l.followWorkers)
		startLoop(l.runScheduler)
		startLoop(l.removeExpired)
		startLoop(l.followMachines)
	}
	loops.Wait()
}

// runScheduler runs the rounds of decisions and carries out the orders.
func (l *leadership) runScheduler(ctx context.Context) {
	polled := map[string]struct{}{}
	var finishedPolls sync.Map
	for ctx.Err() == nil {
		select {
		case <-l.core.Wake():
		case <-time.After(maxStepInterval):
		case <-ctx.Done():
			return
		}
		if l.core.Superseded() {
			l.cancel()
			return
		}
		names := l.advisers()
		if l.detectIsolation(len(names)-1) || l.detectLargerMember() {
			go l.resign(ctx)
		}
		l.core.SetAdvisers(names)
		for _, action := range l.core.Step(l.node.opts.Now(), time.Now().UnixMilli()) {
			go l.execute(ctx, action)
		}
		finishedPolls.Range(func(id, _ any) bool {
			delete(polled, id.(string))
			finishedPolls.Delete(id)
			return true
		})
		for _, id := range l.core.WorkerIDs() {
			if _, ok := polled[id]; ok {
				continue
			}
			polled[id] = struct{}{}
			go func() {
				l.pollWorker(ctx, id)
				finishedPolls.Store(id, true)
			}()
		}
		pause(ctx, minStepInterval)
	}
}

// execute sends one order and enters its result.
func (l *leadership) execute(ctx context.Context, action cell.Action) {
	workers := l.node.opts.Workers
	switch a := action.(type) {
	case *cell.StartAction:
		l.startTask(ctx, a)
	case *cell.StopAction:
		release := l.acquireSlot()
		reply, err := workers.Stop(ctx, a.Order)
		release()
		l.core.StopResult(a, reply, err, l.node.opts.Now())
	case *cell.PollAction:
		l.pollOnce(ctx, a.Worker)
	case *cell.ThrottleAction:
		_, err := workers.Throttle(ctx, a.Order, a.Percent)
		l.core.ThrottleResult(a, err, l.node.opts.Now())
	case *cell.AdviseAction:
		good, validity, err := l.requestAdvice(ctx, a)
		l.core.AdviceResult(a, good, validity, err, l.node.opts.Now())
	case *cell.MaintainAction:
		leader := backend.Leader{Instance: l.node.opts.Instance, Token: l.epoch}
		refusal, err := l.node.opts.Machines.Maintain(ctx, leader, a.Machine, a.Wave)
		l.core.MaintainResult(a, refusal, err, l.node.opts.Now())
	case *cell.WaveAction:
		status := l.node.opts.Decoder.WaveStatus(a.Wave, a.Completed)
		_, err := l.node.tables.Commit(ctx, backend.Txn{Put: []backend.Row{status}})
		l.core.WaveReported(a, err)
	}
}

// startTask sends a start unless it is not wanted any more when its turn comes. The wait for a slot is not part of the time that
// the order may take.
func (l *leadership) startTask(ctx context.Context, a *cell.StartAction) {
	release := l.acquireSlot()
	defer release()
	if !l.core.Wanted(a) {
		l.core.StartWithdrawn(a, l.node.opts.Now())
		return
	}
	reply, err := l.node.opts.Workers.Start(ctx, a.Order)
	l.core.StartResult(a, reply, err, l.node.opts.Now())
}

// acquireSlot waits for a slot of an order and returns the function that frees it. The slot is free after slotTerm at the
// latest, so that orders to silent workers do not hold up those to the others.
func (l *leadership) acquireSlot() (release func()) {
	l.commandSlots <- struct{}{}
	releaseSlot := sync.OnceFunc(func() { <-l.commandSlots })
	timer := time.AfterFunc(slotTTL, releaseSlot)
	return func() {
		timer.Stop()
		releaseSlot()
	}
}

// pollRetryDelay is the time between polls of a worker that does not answer.
const pollRetryDelay = 150 * time.Millisecond

// ackTimeout is how long a poll waits for ends to become durable, so that it can acknowledge them.
const ackTimeout = 150 * time.Millisecond

// pollWorker extends the leases of a worker and reads its inventory until the worker is forgotten.
func (l *leadership) pollWorker(ctx context.Context, id string) {
	now := l.node.opts.Now
	for ctx.Err() == nil {
		req, suspended, ok := l.core.PreparePoll(id, now())
		if !ok {
			return
		}
		if suspended {
			pause(ctx, pollRetryDelay)
			continue
		}
		sent := now()
		reply, err := l.node.opts.Workers.Poll(ctx, req)
		if ctx.Err() != nil {
			return
		}
		l.core.PollResult(id, sent, reply, err, now())
		if err != nil || reply.Refusal != "" {
			pause(ctx, pollRetryDelay)
			continue
		}
		l.awaitAcks(ctx, id)
	}
}

// pollOnce reads the inventory of a worker without waiting for an end.
func (l *leadership) pollOnce(ctx context.Context, id string) {
	now := l.node.opts.Now
	req, suspended, ok := l.core.PreparePoll(id, now())
	if !ok || suspended {
		return
	}
	req.Wait = 0
	sent := now()
	reply, err := l.node.opts.Workers.Poll(ctx, req)
	if ctx.Err() == nil {
		l.core.PollResult(id, sent, reply, err, now())
	}
}

// awaitAcks waits for the ends of a worker to become durable.
func (l *leadership) awaitAcks(ctx context.Context, id string) {
	deadline := time.NewTimer(ackTimeout)
	defer deadline.Stop()
	for {
		changed, pending := l.core.AcksChanged(id)
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

// runWriter makes progress durable and renews the leadership until it is lost.
func (l *leadership) runWriter(ctx context.Context) {
	defer l.cancel()
	l.readWriteVersion(ctx)
	for ctx.Err() == nil {
		if l.resigning.Load() {
			l.commitResignation(ctx)
			return
		}
		batch := l.core.CollectBatch(maxBatchRows)
		renewalDue := l.node.opts.Now()-l.renewedAt >= renewalInterval
		if batch.Empty() && !renewalDue {
			pause(ctx, minWriteInterval)
			continue
		}
		stored, lost := l.commitBatch(ctx, batch, renewalDue)
		l.core.BatchStored(batch, stored, l.node.opts.Now())
		if lost {
			l.node.opts.Log.WithFields(map[string]any{"event": "leadership_lost", "epoch": l.epoch}).Warn("another instance leads")
			return
		}
		l.suspendIfStale()
		if !stored {
			pause(ctx, storeRetryDelay)
		}
		pause(ctx, minWriteInterval)
	}
}

// suspendIfStale stops the orders to workers while the leadership cannot be renewed.
func (l *leadership) suspendIfStale() {
	stale := l.node.opts.Now()-l.storedAt > suspendAfter-time.Second
	if stale == l.suspended {
		return
	}
	l.suspended = stale
	l.core.Suspend(stale)
	l.node.opts.Log.WithFields(map[string]any{
		"event": "leadership_suspended", "epoch": l.epoch, "suspended": stale,
		"renewal_age_ms": (l.node.opts.Now() - l.storedAt).Milliseconds(),
	}).Warn("renewal of the leadership")
}

// readWriteVersion reads the version on which the first write is conditional. A failure costs the first write a conflict.
func (l *leadership) readWriteVersion(ctx context.Context) {
	row, err := l.node.tables.Get(ctx, writeKey)
	if err != nil {
		l.node.opts.Log.WithError(err).WithField("event", "write_version_unknown").Info("newest write cannot be read")
		return
	}
	l.writeVersion = row.Version
}

// commitBatch writes a batch, and the renewal row if renew is set. lost says that another instance leads.
func (l *leadership) commitBatch(ctx context.Context, batch cell.Batch, renew bool) (stored, lost bool) {
	sent := l.node.opts.Now()
	l.writeCount++
	txn, err := l.buildTxn(batch, l.row, renew)
	if err != nil {
		l.node.opts.Log.WithError(err).Error("progress cannot be encoded")
		return false, false
	}
	version, err := l.node.tables.Commit(ctx, txn)
	if err == nil {
		l.writeVersion = version
		l.recordStored(sent, renew)
		return true, false
	}
	l.node.opts.Log.WithError(err).WithFields(map[string]any{
		"event": "renewal_failed", "epoch": l.epoch, "write": l.writeCount,
	}).Warn("progress was not stored")
	if e := verdict.From(err); e.Verdict == verdict.NotRun && e.Code != verdict.CodeConflict {
		return false, false
	}
	stored, lost = l.resolveCommit(ctx)
	if stored {
		l.recordStored(sent, renew)
	}
	return stored, lost
}

func (l *leadership) recordStored(sent cell.Instant, renewed bool) {
	l.storedAt = sent
	if renewed {
		l.renewedAt = sent
	}
}

// resolveCommit reads the leadership back after a write with an unknown outcome or a failed condition.
func (l *leadership) resolveCommit(ctx context.Context) (stored, lost bool) {
	leader, err := l.node.tables.Get(ctx, leaderKey)
	if err != nil {
		return false, false
	}
	if leader.Version != l.rowVersion {
		return false, true
	}
	newest, err := l.node.tables.Get(ctx, writeKey)
	if err != nil {
		return false, false
	}
	l.writeVersion = newest.Version
	return string(newest.Value) == l.writeID(), false
}

// writeID identifies the newest write of the term.
func (l *leadership) writeID() string {
	return l.row.Claim + "/" + strconv.FormatUint(l.writeCount, 10)
}

// buildTxn returns the write of a batch. The row of the newest write chains the writes of the term.
func (l *leadership) buildTxn(batch cell.Batch, row leaderRow, renew bool) (backend.Txn, error) {
	txn := backend.Txn{
		Expected: []backend.Row{
			{RowKey: leaderKey, Version: l.rowVersion},
			{RowKey: writeKey, Version: l.writeVersion},
		},
		Put: []backend.Row{{RowKey: writeKey, Value: []byte(l.writeID())}},
	}
	if renew {
		txn.Put = append(txn.Put, backend.Row{RowKey: renewalKey, Value: []byte(l.writeID())})
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

// machinesInterval is the time between lists of machines while a wave is open.
const machinesInterval = 500 * time.Millisecond

// followMachines reads the list of machines while a wave is open.
func (l *leadership) followMachines(ctx context.Context) {
	for pause(ctx, machinesInterval) {
		if l.node.opts.Machines == nil || !l.core.NeedsMachines() {
			continue
		}
		readAt := l.node.opts.Now()
		list, err := l.node.opts.Machines.List(ctx)
		if err != nil {
			l.node.opts.Log.WithError(err).WithField("event", "machines_unreadable").Warn("list of machines cannot be read")
			continue
		}
		l.core.SetMachines(list, readAt, l.node.opts.Now())
	}
}
