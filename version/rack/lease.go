package rack

import (
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// phase is the state of a task that occupies capacity.
type phase uint8

const (
	// phaseClaiming: capacity is reserved, the claim is pending.
	phaseClaiming phase = iota
	// phaseStarting: the start was sent to the worker.
	phaseStarting
	// phaseUnknown: the reply to the start was lost, so that the task may run.
	phaseUnknown
	// phaseRunning: the worker confirmed the start.
	phaseRunning
	// phaseReserved: capacity is reserved for a gang that has not been started.
	phaseReserved
)

// taskState is a task that occupies capacity of a worker.
type taskState struct {
	task   model.Task
	token  model.StartToken
	worker string
	phase  phase
	// startLeaseUntil is the end of the lease sent with the start, on the worker's clock.
	startLeaseUntil worker.ClockReading
	// startedAt is when the task started; before the start, when its capacity was reserved.
	startedAt time.Time
	stopping  bool
	reason    Reason
	// gang is the gang reservation that holds the task; nil otherwise.
	gang *gangReservation

	// demand is the capacity that the task is charged for: the larger of declared and observed. class is the class that
	// it is charged to.
	demand model.Resources
	class  model.Class
	// team is charged with the demand while the worker is part of the rack's totals; nil otherwise.
	team *teamQueue
	// promoteAt is when the task starts to count in a longer class; promoteIndex is its index in the heap of promotions,
	// or -1.
	promoteAt    time.Time
	promoteIndex int
}

// workerState is the ledger of one worker.
type workerState struct {
	member store.Member
	used   model.Resources
	tasks  map[model.TaskID]*taskState

	// inTotals is set while the worker is part of the rack's totals. index, row, cell and position locate the worker in
	// the index of free capacity; index is nil while it is not there.
	inTotals            bool
	index               *freeIndex
	row, cell, position int
	reservation         *workerReservation
	// acceptedWork is set when the worker was part of the rack's totals at least once.
	acceptedWork bool

	// failedJobs are the jobs that failed here since a task last finished. While probing is set, a quarantined worker
	// accepts one task.
	failedJobs           map[string]bool
	quarantined, probing bool
	probeAt              time.Time
	probeAfter           time.Duration

	// fenced is set while the worker is known to have accepted this epoch and its leases have not expired.
	fenced bool
	// everFenced is set when the worker was fenced at least once in this epoch.
	everFenced bool
	bootID     string
	// clockReading is the latest reading of the worker's clock, received at clockReceivedAt by the owner's clock.
	clockReading    worker.ClockReading
	clockReceivedAt time.Time
	// silent is set when no clock reading was received for half of LeaseDuration. The worker gets no new work then, since a
	// lease that is based on an old reading may have expired before the start arrives.
	silent bool

	// lastResult is the highest result sequence received.
	lastResult uint64
	// pendingResults are the results whose outcome is not durable yet, by sequence.
	pendingResults map[uint64]worker.Result
	// toAcknowledge are the result sequences that the next synchronisation acknowledges.
	toAcknowledge []uint64
}

func newWorkerState(m store.Member) *workerState {
	return &workerState{
		member: m, tasks: map[model.TaskID]*taskState{}, pendingResults: map[uint64]worker.Result{}, failedJobs: map[string]bool{},
	}
}

func (w *workerState) free() model.Resources { return w.member.Capacity.Sub(w.used) }

// isOverCapacity reports whether the tasks of the worker declare more than its capacity, which may have shrunk. The observed
// usage of a task may exceed the capacity without that.
func (w *workerState) isOverCapacity() bool {
	if !w.free().HasNegative() {
		return false
	}
	var declared model.Resources
	for _, t := range w.tasks {
		declared = declared.Add(Demand(t.task))
	}
	return w.member.Capacity.Sub(declared).HasNegative()
}

// canRenewLeases reports whether leases on the worker can be granted and renewed.
func (w *workerState) canRenewLeases() bool { return w.fenced }

// acceptsWork reports whether new tasks may be placed on the worker.
func (w *workerState) acceptsWork() bool {
	return w.fenced && !w.silent && !w.leaving()
}

// leaseUntil returns the end of a lease granted now, on the worker's clock. It is based on the latest clock reading, so
// that all leases expire LeaseDuration after the last contact with the worker.
func (w *workerState) leaseUntil(p Policy) worker.ClockReading {
	return w.clockReading + worker.ClockReading(p.LeaseDuration.Milliseconds())
}

// recordClock records a reading of the worker's clock that was received at time now. An older reading is ignored.
func (w *workerState) recordClock(now time.Time, reading worker.ClockReading) {
	if reading >= w.clockReading {
		w.clockReading, w.clockReceivedAt, w.silent = reading, now, false
	}
}

func (c *Core) fenceEffect(w *workerState) Effect {
	return FenceWorker{
		Worker: w.member.ID, Address: w.member.Address, Request: worker.FenceRequest{Rack: c.id, Epoch: c.epoch},
	}
}

// FenceResult records the inventory of a worker that has accepted this epoch. Ledger tasks that the inventory does not list
// have ended: they were stopped, or their start can no longer take effect.
func (c *Core) FenceResult(now time.Time, id string, inv worker.Inventory) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return nil
	}
	var effects []Effect
	if w.everFenced && w.bootID != inv.BootID {
		effects = c.expireAfterRestart(w)
	}
	if w.bootID != inv.BootID {
		w.clockReading, w.lastResult = 0, 0
		w.pendingResults, w.toAcknowledge = map[uint64]worker.Result{}, nil
	}
	w.bootID, w.fenced, w.everFenced = inv.BootID, true, true
	w.recordClock(now, inv.Now)
	c.reindex(w)
	for _, r := range inv.Running {
		c.adopt(now, w, r)
	}
	effects = append(effects, c.recordResults(now, w, inv.Results)...)
	return append(effects, c.decide(now)...)
}

// adopt adds a running task of an inventory to the ledger. Callers hold c.mu.
func (c *Core) adopt(now time.Time, w *workerState, r worker.RunningTask) {
	ran := time.Duration(r.RanMS) * time.Millisecond
	t := w.tasks[r.Task.ID]
	switch {
	case t != nil && t.token == r.Token:
		t.phase = phaseRunning
	case t != nil:
		// A worker runs a task id only once, so it refuses the later start; its reply removes the entry from c.tasks.
		c.removeFromLedger(w, t)
		t = nil
	}
	if t == nil {
		t = &taskState{
			task: r.Task, token: r.Token, worker: w.member.ID, phase: phaseRunning, startedAt: now.Add(-ran),
			demand: Demand(r.Task), class: c.policy.classForRunTime(min(r.Task.Class, model.NumClasses-1), ran), promoteIndex: -1,
		}
		c.addToLedger(w, t)
	}
	if c.tasks[r.Task.ID] == nil {
		c.tasks[r.Task.ID] = t
	}
	if o := c.offers[r.Task.ID]; o != nil {
		c.dequeue(o)
	}
	c.recordUsage(now, w, t, r.Used, ran)
}

// expireAfterRestart releases the tasks of a worker that restarted. Callers hold c.mu.
func (c *Core) expireAfterRestart(w *workerState) []Effect {
	return c.expireTasks(w, "worker restarted")
}

// expireTasks releases the tasks of a worker whose leases have expired or that restarted, and reports the started ones
// as expired. Tasks whose claim is pending stay. Callers hold c.mu.
func (c *Core) expireTasks(w *workerState, reason string) []Effect {
	var effects []Effect
	for _, t := range w.sortedTasks() {
		if t.phase == phaseClaiming {
			continue
		}
		c.release(t)
		if t.token.IsZero() {
			continue
		}
		out := model.Outcome{Task: t.task.ID, Token: t.token, State: model.OutcomeExpired, Worker: w.member.ID, Error: reason}
		effects = append(effects, ReportOutcome{Task: t.task, Outcome: out})
	}
	return effects
}

// sortedTasks returns the tasks of the worker sorted by id, so that effects do not depend on map order.
func (w *workerState) sortedTasks() []*taskState {
	tasks := make([]*taskState, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].task.ID < tasks[j].task.ID })
	return tasks
}

// SyncRequest returns the next synchronisation request for a worker. ok is false while the worker is not fenced.
func (c *Core) SyncRequest(id string, wait time.Duration) (req worker.SyncRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || !w.canRenewLeases() {
		return worker.SyncRequest{}, false
	}
	return worker.SyncRequest{
		Rack: c.id, Epoch: c.epoch, BootID: w.bootID, LeaseUntil: w.leaseUntil(c.policy), AfterSequence: w.lastResult,
		Acknowledged: append([]uint64(nil), w.toAcknowledge...), WaitMS: wait.Milliseconds(),
	}, true
}

// SyncResult handles the reply to a synchronisation request.
func (c *Core) SyncResult(now time.Time, id string, req worker.SyncRequest, reply worker.SyncReply) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || !w.fenced {
		return nil
	}
	if reply.BootID != w.bootID {
		w.fenced = false
		c.reindex(w)
		return append(c.expireAfterRestart(w), c.fenceEffect(w))
	}
	w.recordClock(now, reply.Now)
	c.reindex(w)
	w.toAcknowledge = withoutSequences(w.toAcknowledge, req.Acknowledged)
	effects := c.recordResults(now, w, reply.Results)
	for _, s := range reply.Running {
		if t := w.tasks[s.Task]; t != nil && t.token == s.Token {
			c.recordUsage(now, w, t, s.Used, time.Duration(s.RanMS)*time.Millisecond)
		}
	}
	effects = append(effects, c.resolveUnknown(now, w, reply)...)
	return append(effects, c.decide(now)...)
}

// recordResults releases the capacity of finished runs and reports their outcomes. It skips results that were received
// before. Callers hold c.mu.
func (c *Core) recordResults(now time.Time, w *workerState, results []worker.Result) []Effect {
	var effects []Effect
	for _, r := range results {
		if r.Sequence <= w.lastResult {
			continue
		}
		w.lastResult = r.Sequence
		w.pendingResults[r.Sequence] = r
		c.recordOutcome(now, w, r.Task, r.Outcome)
		out := r.Outcome
		if j := c.jobs.get(r.Task.Intent); j != nil {
			out.Used = j.usage.Min(c.largestCapacity)
		}
		if t := w.tasks[r.Task.ID]; t != nil && t.token == r.Outcome.Token {
			c.release(t)
		}
		effects = append(effects, ReportOutcome{Task: r.Task, Outcome: out, Sequence: r.Sequence, BootID: w.bootID})
	}
	return effects
}

// resolveUnknown resolves starts whose reply was lost: the worker lists the task as running, or the lease sent with the
// start has expired on the worker's clock while the task does not run, so that the start can no longer take effect.
// Callers hold c.mu.
func (c *Core) resolveUnknown(now time.Time, w *workerState, reply worker.SyncReply) []Effect {
	running := make(map[model.StartToken]bool, len(reply.Running))
	for _, r := range reply.Running {
		running[r.Token] = true
	}
	var effects []Effect
	for _, t := range w.sortedTasks() {
		switch {
		case t.phase != phaseUnknown:
		case running[t.token]:
			t.phase = phaseRunning
			effects = append(effects, ReportStarted{Task: t.task, Token: t.token, Worker: t.worker})
		case reply.Now > t.startLeaseUntil:
			effects = append(effects, c.releaseNotStarted(now, t)...)
		}
	}
	return effects
}

// OutcomeDurable records that the outcome with a sequence is durable, so that the worker may discard it. Each boot numbers
// its results from 1, so a report for an earlier boot must not acknowledge a result of the current one.
func (c *Core) OutcomeDurable(id, bootID string, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil && w.bootID == bootID {
		delete(w.pendingResults, sequence)
		w.toAcknowledge = append(w.toAcknowledge, sequence)
	}
}

// ConfirmOwnership records a time at which this epoch was still the current one, as shown by a renewal of the owner's
// session.
func (c *Core) ConfirmOwnership(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.ownershipConfirmedAt) {
		c.ownershipConfirmedAt = at
	}
}

// MayRenewLeases reports whether leases may be granted and renewed. An owner without contact to the table stops after
// OrphanLimit, so that a later owner that cannot reach a worker knows when the worker's leases have expired.
func (c *Core) MayRenewLeases(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.ownershipConfirmedAt) < c.policy.OrphanLimit
}

// Tick does the periodic work: it expires the tasks of workers whose leases have provably expired, requests to fence
// such workers again, and updates promotions, gang reservations, probes and worker reservations.
func (c *Core) Tick(now time.Time) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effects []Effect
	c.promote(now)
	c.expireGangReservations(now)
	c.openProbes(now)
	c.makeReservation(now)
	c.refreshBlockedDemands()
	c.recheckAllBlocked()
	for _, w := range c.workersByArrival {
		if !w.fenced {
			effects = append(effects, c.fenceEffect(w))
			continue
		}
		if silent := now.Sub(w.clockReceivedAt) > c.policy.LeaseDuration/2; silent != w.silent {
			w.silent = silent
			c.reindex(w)
		}
		if now.Sub(w.clockReceivedAt) > c.policy.LeaseDuration+c.policy.expiryMargin() {
			if !c.ownershipConfirmedAt.After(w.clockReceivedAt.Add(c.policy.LeaseDuration + c.policy.expiryMargin())) {
				// A later owner may have renewed the leases. Without a later proof of ownership they have not provably
				// expired.
				continue
			}
			w.fenced = false
			c.reindex(w)
			effects = append(effects, c.expireTasks(w, "lease expired without contact to the worker")...)
			effects = append(effects, c.fenceEffect(w))
		}
	}
	return append(effects, c.decide(now)...)
}

// withoutSequences returns the sequences in all that are not in drop. It reuses the array of all.
func withoutSequences(all, drop []uint64) []uint64 {
	if len(drop) == 0 {
		return all
	}
	dropped := make(map[uint64]bool, len(drop))
	for _, s := range drop {
		dropped[s] = true
	}
	kept := all[:0]
	for _, s := range all {
		if !dropped[s] {
			kept = append(kept, s)
		}
	}
	return kept
}
