package cell

import (
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// worker is a worker and the ledger of its runs.
type worker struct {
	info   backend.WorkerInfo
	kind   string
	rack   string
	listed bool
	// recordedAddress is the address of the worker in the durable fleet record.
	recordedAddress string
	// unlistedAt is when the worker's entry left the registry.
	unlistedAt Instant
	// startedMS identifies the boot of the worker to which the inventory belongs, by its start time.
	startedMS int64
	// restartedAt is when this leader learned of the boot; 0 for the first boot that it knows.
	restartedAt Instant
	// inventoryKnown means that the inventory of this boot has been read in this epoch, so that commands may be sent.
	inventoryKnown bool
	// clockMS is the latest reading of the worker's clock and clockReceivedAt is when it was received.
	clockMS         int64
	clockReceivedAt Instant
	// leaseEndMS is the latest lease deadline that may ever have been sent, on the worker's clock.
	leaseEndMS int64
	runs       map[runKey]*run
	// allocated is the demand of all runs, except for the processor demand of best-effort runs, which is in
	// bestEffortCPUMilli.
	allocated          model.Resources
	bestEffortCPUMilli int64
	// lastReadCompletion is the number of the last completion read, lastAckedCompletion that of the last one the worker
	// may forget.
	lastReadCompletion, lastAckedCompletion int64
	pendingAcks                             []pendingAck
	// acksChanged receives a value when lastAckedCompletion rises.
	acksChanged chan struct{}
	// startsBlockedUntil prevents new runs for a short time after a command or a poll has failed.
	startsBlockedUntil Instant
	// hasUnknownRuns means that the worker lists runs that the ledger does not have, so that its free capacity is not
	// known.
	hasUnknownRuns bool
	health         health
	// pollRequestedAt is when an additional poll was last requested. pollDeferred means that another one will follow.
	pollRequestedAt Instant
	pollDeferred    bool
	// watchers are the steps that the placement policy allows here and that wait for capacity.
	watchers map[*step]struct{}
	// reservations keep capacity for steps with a plan.
	reservations []capacityReservation
	// unknownRuns and unknownCompletions were listed by the worker and belong to jobs whose records have not arrived.
	unknownRuns        []backend.ActiveRun
	unknownCompletions []backend.FinishedRun
	// unknownTasksSince holds when the worker first listed each task of an unknown job, by the name of the task.
	unknownTasksSince map[string]Instant
	// throttledAt is when the throttle of a best-effort run last changed.
	throttledAt Instant
	// reservedForPriority and reservedUntil reserve the worker's free capacity for queues of this or a more urgent
	// priority after tasks were preempted for them.
	reservedForPriority int
	reservedUntil       Instant
	// cordoned prevents new runs before the maintenance of the machine.
	cordoned      bool
	drainingSince Instant
	// departsAt is when a draining worker may leave.
	departsAt Instant
	// silentSince is when a poll or a start first remained unanswered since the last answer; 0 after an answer.
	silentSince Instant
	// expiredTasks are the tasks whose leases expired since the last answer.
	expiredTasks []*task
	// lastCrash is how the previous boot ended; nil if that was expected or there was none.
	lastCrash *crash
	// isolatedRun is a run beside which nothing else starts for a while.
	isolatedRun *run
}

type runKey struct {
	task string
	run  int64
}

// kindAndRack returns the kind, which is the first label, and the rack, which is the last one.
func kindAndRack(labels []string) (kind, rack string) {
	if len(labels) == 0 {
		return "", ""
	}
	return labels[0], labels[len(labels)-1]
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// isOnRack reports whether the worker is on the given rack.
func (w *worker) isOnRack(rack string) bool {
	return w.hasLabel(rack) || strings.EqualFold(w.rack, rack)
}

// SetWorker records a worker's registry entry.
func (c *Core) SetWorker(info backend.WorkerInfo, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[info.ID]
	if w == nil {
		w = c.addWorker(info.ID)
		if !c.fleetRecordKnown && c.now < c.epochStart+c.recoveryBound() {
			// Without the record any worker may have been used by a former leader.
			c.inventoryPending[info.ID] = struct{}{}
		}
		c.logDecision("worker_listed", "", map[string]any{"worker": info.ID, "zone": info.Zone, "draining": info.Draining})
	}
	if info.StartedMS != 0 && info.StartedMS < w.startedMS {
		return
	}
	if info.StartedMS > w.startedMS && w.startedMS != 0 {
		c.handleWorkerRestart(w, info.StartedMS)
	}
	wasDraining := w.info.Draining
	grown := !info.Capacity.Fits(w.info.Capacity)
	c.recordFleetChange(w.info, info, w.listed)
	w.info = info
	w.listed = true
	if grown {
		c.ready.capacityFreed(w)
	}
	c.scheduleFleetRecord(w)
	w.kind, w.rack = kindAndRack(info.Labels)
	if info.Draining {
		w.departsAt = c.now + time.Duration(info.RemainingMS)*time.Millisecond
		if !wasDraining {
			w.drainingSince = c.now
			c.logDecision("worker_draining", "", map[string]any{"worker": info.ID, "runs": len(w.runs), "remaining_ms": info.RemainingMS})
			c.stopRunsBeforeDeparture(w)
		}
	}
	c.signalWake()
}

// RemoveWorker records that a worker's entry has left the registry. Its runs stay in the ledger until they have
// provably ended.
func (c *Core) RemoveWorker(id string, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = c.now
	c.fleetVersion++
	c.logDecision("worker_unlisted", "", map[string]any{
		"worker": id, "runs": len(w.runs), "last_answer_ms": (c.now - w.clockReceivedAt).Milliseconds(),
	})
	c.signalWake()
}

// handleWorkerRestart discards the state of the worker's previous boot. A run that the previous boot has listed ended with
// it. Any other start may have been executed by the new boot, before this leader knew of it: the next poll shows whether it
// was.
func (c *Core) handleWorkerRestart(w *worker, startedMS int64) {
	c.logDecision("worker_restarted", "", map[string]any{"worker": w.info.ID, "runs": len(w.runs), "started_ms": startedMS})
	k := c.noticeCrash(w)
	for _, r := range w.runs {
		if r.firstReportAt != 0 {
			c.countCrashOfRun(k, r)
			c.dropRun(r, "worker restarted")
		}
	}
	if len(w.runs) > 0 {
		c.pollSoon(w)
	}
	w.restartedAt, w.lastCrash = c.now, k
	w.startedMS = startedMS
	w.inventoryKnown = false
	w.clockMS, w.leaseEndMS = 0, 0
	w.lastReadCompletion, w.lastAckedCompletion, w.pendingAcks = 0, 0, nil
	w.unknownRuns, w.unknownCompletions, w.unknownTasksSince = nil, nil, nil
	w.hasUnknownRuns = false
	w.health = health{}
	w.startsBlockedUntil = 0
}

// leasesEnd returns when every lease on the worker has expired, on the local clock.
func (c *Core) leasesEnd(w *worker) Instant {
	if w.clockMS == 0 {
		// Until the new boot has answered, a start that it has executed may hold a full lease.
		return max(c.epochStart+c.recoveryBound(), w.restartedAt+maxLocalDuration(c.opts.LeaseDuration))
	}
	remaining := time.Duration(w.leaseEndMS-w.clockMS) * time.Millisecond
	return w.clockReceivedAt + maxLocalDuration(max(remaining, 0))
}

// expireLeases drops the runs of a worker that has not answered until all of its leases have expired.
func (c *Core) expireLeases(w *worker) {
	if c.now <= c.leasesEnd(w) {
		return
	}
	if len(w.runs) > 0 {
		c.logDecision("leases_lapsed", "", map[string]any{
			"worker": w.info.ID, "runs": len(w.runs), "last_answer_ms": (c.now - w.clockReceivedAt).Milliseconds(),
		})
		w.expiredTasks = w.tasksAtRisk()
		for _, r := range w.runs {
			c.dropRun(r, "lease expired")
		}
		w.inventoryKnown = false
	}
	delete(c.inventoryPending, w.info.ID)
	if !w.listed && c.now > w.unlistedAt+unlistedWorkerRetention {
		c.noticeCrash(w)
		delete(c.workers, w.info.ID)
		c.fleetChanged = true
	}
}

// unlistedWorkerRetention is how long a worker without a registry entry is kept, since the entry may return.
const unlistedWorkerRetention = 10 * time.Second

// recordClock records a reading of the worker's clock. Older readings are ignored. A former leader, whose commands the worker
// refuses from the first answer on, has sent leases that end at most one lease duration after that answer.
func (c *Core) recordClock(w *worker, readingMS int64) {
	w.silentSince = 0
	if w.clockMS == 0 && readingMS > 0 {
		w.leaseEndMS = max(w.leaseEndMS, readingMS+c.opts.LeaseDuration.Milliseconds())
	}
	if readingMS > w.clockMS {
		w.clockMS, w.clockReceivedAt = readingMS, c.now
	}
}

// recordSilence records that a worker has not answered a poll or a start.
func (c *Core) recordSilence(w *worker) {
	if w.silentSince == 0 {
		w.silentSince = c.now
	}
}

// recordReplyClock records the clock in the reply to a command for a run. A reply to a command for a run that is older than
// the known boot may come from the previous boot, whose clock was another one.
func (c *Core) recordReplyClock(r *run, readingMS int64) {
	if r.createdAt >= r.worker.restartedAt {
		c.recordClock(r.worker, readingMS)
	}
}

// leaseDeadline returns the deadline of a new lease on the worker's clock and records it as sent. While the worker has
// runs or has no registry entry, the lease counts from the latest reading of its clock, so that the leases of an
// unresponsive worker expire. 0 means no deadline, because no reading is known.
func (c *Core) leaseDeadline(w *worker) int64 {
	if w.clockMS == 0 {
		return 0
	}
	elapsed := time.Duration(0)
	if len(w.runs) == 0 && w.listed {
		elapsed = time.Duration(float64(c.now-w.clockReceivedAt) * (1 - maxClockDrift))
	}
	d := w.clockMS + (elapsed + c.opts.LeaseDuration).Milliseconds()
	w.leaseEndMS = max(w.leaseEndMS, d)
	return d
}

func (w *worker) ref() backend.WorkerRef {
	return backend.WorkerRef{ID: w.info.ID, Address: w.info.Address}
}

const (
	// pollWait and idlePollWait are how long a worker with and without runs waits for a completion before it answers a
	// poll.
	pollWait     = time.Second
	idlePollWait = 2 * time.Second
	// completionSlack is added to the time at which a completion is expected.
	completionSlack = 200 * time.Millisecond
	// minPollWait is the shortest wait, for workers whose tasks take longer than expected.
	minPollWait = 300 * time.Millisecond
	// missedPollsToBlock is how many consecutive polls must remain unanswered before no new runs start on a worker: a
	// single answer may be lost.
	missedPollsToBlock = 2
)

// PreparePoll returns the next poll of a worker. ok is false if the worker is no longer known; pause asks the caller to
// try again later.
func (c *Core) PreparePoll(id string, now Instant) (req backend.PollRequest, pause, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil {
		return req, false, false
	}
	if c.halted() {
		return req, true, true
	}
	req = backend.PollRequest{Worker: w.ref(), FencingToken: c.opts.Epoch, LeaseDeadlineMS: c.leaseDeadline(w)}
	if w.health.missedPolls == 0 {
		// A worker that has not answered may have restarted, and numbers its completions anew.
		req.AcknowledgedCompletion = w.lastAckedCompletion
	}
	switch {
	case !w.inventoryKnown || w.lastReadCompletion > w.lastAckedCompletion:
		req.Wait = 0
	case len(w.runs) == 0:
		req.Wait = idlePollWait
	default:
		req.Wait = c.busyPollWait(w)
	}
	return req, false, true
}

// busyPollWait returns how long a poll of a worker with runs should wait, which is until the next completion is
// expected. If the answer is lost, the completion is then observed no later than necessary.
func (c *Core) busyPollWait(w *worker) time.Duration {
	wait := pollWait
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning {
			wait = min(wait, c.remainingDuration(r)+completionSlack)
		}
	}
	return max(wait.Truncate(time.Millisecond), minPollWait)
}

// AcksChanged returns a channel that receives a value when more completions of a worker may be acknowledged, and
// whether any cannot be acknowledged yet.
func (c *Core) AcksChanged(id string) (changed <-chan struct{}, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return nil, false
	}
	return w.acksChanged, w.lastReadCompletion > w.lastAckedCompletion
}

// WorkerCount returns the number of workers in the registry.
func (c *Core) WorkerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		if w.listed {
			n++
		}
	}
	return n
}

// WorkerIDs returns the IDs of the workers to be polled.
func (c *Core) WorkerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	return ids
}

// PollResult records the outcome of a poll of a worker that was sent at sentAt.
func (c *Core) PollResult(id string, sentAt Instant, reply backend.PollReply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil {
		return
	}
	if err != nil {
		c.handlePollFailure(w, sentAt, err)
		return
	}
	if reply.Refusal == backend.RefusedFence {
		c.supersede(w)
		return
	}
	if reply.Refusal == backend.RefusedInstance {
		c.handleWorkerReplaced(w)
		return
	}
	if reply.Refusal != "" {
		c.logDecision("poll_refused", "", map[string]any{"worker": id, "refusal": reply.Refusal})
		w.startsBlockedUntil = c.now + startBlockDuration
		return
	}
	if reply.StartedMS < w.startedMS {
		return
	}
	if reply.StartedMS > w.startedMS {
		if w.startedMS != 0 {
			c.handleWorkerRestart(w, reply.StartedMS)
		}
		w.startedMS = reply.StartedMS
	}
	c.recordClock(w, reply.ClockMS)
	if !w.inventoryKnown {
		c.logDecision("worker_read", "", map[string]any{"worker": id, "running": len(reply.Running), "ended": len(reply.Finished),
			"started_ms": reply.StartedMS})
	}
	w.health.missedPolls = 0
	if w.health.unresponsive {
		w.health.unresponsive = false
		c.logDecision("worker_answers", "", map[string]any{"worker": id})
	}
	w.expiredTasks = nil
	c.recordCompletions(w, reply.Finished)
	c.reconcileRuns(w, sentAt, reply.Running)
	w.forgetResolvedTasks()
	w.inventoryKnown = true
	delete(c.inventoryPending, id)
	c.signalWake()
}

// handleWorkerReplaced drops the runs of a worker whose address belongs to another worker now: its runs ended with its
// process.
func (c *Core) handleWorkerReplaced(w *worker) {
	delete(c.inventoryPending, w.info.ID)
	if !w.inventoryKnown && len(w.runs) == 0 && len(w.expiredTasks) == 0 {
		return
	}
	c.logDecision("worker_replaced", "", map[string]any{"worker": w.info.ID, "runs": len(w.runs), "address": w.info.Address})
	k := c.noticeCrash(w)
	for _, r := range w.runs {
		c.countCrashOfRun(k, r)
		c.dropRun(r, "address is used by another worker")
	}
	w.inventoryKnown = false
}

// handlePollFailure records an unanswered poll that was sent at sentAt. It says nothing about the time after a later answer.
func (c *Core) handlePollFailure(w *worker, sentAt Instant, err error) {
	if sentAt >= w.clockReceivedAt {
		c.recordSilence(w)
	}
	w.health.missedPolls++
	if w.health.missedPolls >= missedPollsToBlock {
		w.startsBlockedUntil = max(w.startsBlockedUntil, c.now+startBlockDuration)
	}
	if !w.health.unresponsive {
		w.health.unresponsive = true
		c.logDecision("worker_silent", "", map[string]any{"worker": w.info.ID, "error": err.Error(), "runs": len(w.runs)})
	}
}

// startBlockDuration is how long no new runs start on a worker after a failure.
const startBlockDuration = 700 * time.Millisecond

// supersede ends the epoch because a worker has seen a higher token.
func (c *Core) supersede(w *worker) {
	if c.superseded {
		return
	}
	c.superseded = true
	c.logDecision("epoch_superseded", "", map[string]any{"worker": w.info.ID, "epoch": c.opts.Epoch})
	c.signalWake()
}

// reconcileRuns compares the runs that a worker lists with the ledger.
func (c *Core) reconcileRuns(w *worker, sentAt Instant, running []backend.ActiveRun) {
	w.unknownRuns = nil
	w.hasUnknownRuns = false
	listed := make(map[runKey]struct{}, len(running))
	for _, item := range running {
		key := runKey{item.Task, item.Run}
		listed[key] = struct{}{}
		r := w.runs[key]
		if r == nil {
			r = c.adoptRun(w, item)
		}
		if r == nil {
			w.hasUnknownRuns = true
			continue
		}
		c.updateRun(r, item)
	}
	for key, r := range w.runs {
		if _, ok := listed[key]; !ok {
			c.handleUnlistedRun(r, sentAt)
		}
	}
	c.protectLatency(w)
}

// freeCPUMilli returns the free processor time of a worker in thousandths of a core.
func (w *worker) freeCPUMilli() int64 { return w.info.Capacity.CPUMilli - w.allocated.CPUMilli }

// isOverCapacity reports whether the runs of the worker exceed its capacity, which may have shrunk since they started. No run
// starts there then, even if it needs nothing of what is exceeded.
func (w *worker) isOverCapacity() bool { return w.info.Capacity.Sub(w.allocated).HasNegative() }

// reservedCPUMilli returns the processor time that is reserved for other steps.
func (w *worker) reservedCPUMilli(s *step) int64 {
	sum := int64(0)
	for _, r := range w.reservations {
		if r.step != s {
			sum += r.step.allocatedDemand().CPUMilli * int64(r.tasks)
		}
	}
	return sum
}

// allocatedDemand returns what one run of a step adds to worker.allocated.
func (s *step) allocatedDemand() model.Resources {
	demand := s.spec.TaskDemand
	if s.spec.BestEffort {
		demand.CPUMilli = 0
	}
	return demand
}

// addDemand adds the demand of one run of a step to the ledger; a sign of -1 subtracts it.
func (w *worker) addDemand(s *step, sign int64) {
	w.allocated = w.allocated.Add(s.allocatedDemand().Times(int(sign)))
	if s.spec.BestEffort {
		w.bestEffortCPUMilli += sign * s.spec.TaskDemand.CPUMilli
	}
	s.runsPerWorker[w] += int(sign)
	if s.runsPerWorker[w] == 0 {
		delete(s.runsPerWorker, w)
	}
}
