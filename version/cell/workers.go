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
	// longLeasesUntil is until when the worker may have leases that are longer than usual, and recordedLongLeases means that the record
	// says so.
	longLeasesUntil    Instant
	recordedLongLeases bool
	// fleetShard is the row of the fleet record that holds the worker.
	fleetShard int
	// unlistedAt is when the worker's entry left the registry.
	unlistedAt Instant
	// startedMS identifies the boot of the worker to which the inventory belongs, by its start time, and bootKnownAt is when the
	// boot first answered. Only answers change them.
	startedMS   int64
	bootKnownAt Instant
	// bootRefused means that the worker has refused a call to startedMS since it has started again.
	bootRefused bool
	// announced is a registry entry of another boot, which waits for an answer of that boot.
	announced *announcedBoot
	// restartedAt is when this leader learned of the boot; 0 for the first boot that it knows.
	restartedAt Instant
	// answered means that the worker has answered a poll in this epoch.
	answered bool
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
	// sentAck is the last acknowledgement sent, at ackSentAt, and deliveredAck the last one that the worker has received for sure.
	sentAck, deliveredAck int64
	ackSentAt             Instant
	// ackPolls are when the polls with an acknowledgement were sent that are not answered.
	ackPolls []Instant
	// acksChanged receives a value when lastAckedCompletion rises, and when a start is answered.
	acksChanged chan struct{}
	// startsBlockedUntil prevents new runs for a short time after a command or a poll has failed.
	startsBlockedUntil Instant
	// hasUnknownRuns means that the worker lists runs that the ledger does not have, so that its free capacity is not
	// known.
	hasUnknownRuns bool
	health         health
	// speed is what the tasks that ended here tell about the worker; see speedOf.
	speed speedEstimate
	// pollRequestedAt is when an additional poll was last requested. pollDeferred means that another one will follow.
	pollRequestedAt Instant
	pollDeferred    bool
	// watchers are the steps that the placement policy allows here and that wait for capacity.
	watchers     map[*step]struct{}
	freePosition freePosition
	// askedCPUMilli is the processor demand that steps with a request for advice about the worker are expected to place here.
	askedCPUMilli int64
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
	// cordoned prevents new runs before and during the maintenance of the machine, and retired means that the maintenance has ended
	// the process of the worker.
	cordoned, retired bool
	drainingSince     Instant
	// departsAt is when a draining worker may leave.
	departsAt Instant
	// silentSince is when a poll or a start first remained unanswered since the last answer; 0 after an answer.
	silentSince Instant
	// expiredTasks are the tasks whose leases expired since the last answer.
	expiredTasks []*task
	// lastCrash is how the previous boot ended; nil if that was expected or there was none.
	lastCrash *crash
	// ended means that the process with this ID has ended, as far as is known.
	ended bool
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
		if !c.fleetRecordKnown && c.now < c.epochStart+c.recoveryBound(c.maxLease()) {
			// Without the record any worker may have been used by a former leader.
			c.inventoryPending[info.ID] = struct{}{}
		}
		c.logDecision("worker_listed", "", map[string]any{"worker": info.ID, "zone": info.Zone, "draining": info.Draining})
	}
	if w.startedMS != 0 && info.StartedMS != 0 && info.StartedMS != w.startedMS {
		c.announceBoot(w, info)
		return
	}
	w.announced = nil
	c.applyEntry(w, info)
}

// applyEntry makes a registry entry that of the worker's present boot.
func (c *Core) applyEntry(w *worker, info backend.WorkerInfo) {
	wasDraining := w.info.Draining
	grown := !info.Capacity.Fits(w.info.Capacity)
	c.recordFleetChange(w.info, info, w.listed)
	w.info = info
	w.listed = true
	c.free.update(w)
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
	if w == nil {
		return
	}
	w.announced = nil
	if !w.listed {
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
// it, and one whose start was not sent is not sent any longer. Any other start may have been executed by the new boot, before this leader
// knew of it: the next poll shows whether it was.
func (c *Core) handleWorkerRestart(w *worker, startedMS int64) {
	c.logDecision("worker_restarted", "", map[string]any{"worker": w.info.ID, "runs": len(w.runs), "started_ms": startedMS})
	c.withdrawHeldStarts(w)
	k := c.noticeCrash(w)
	for _, r := range w.runs {
		if r.phase == phaseRecording || r.completionUnread || r.firstReportAt != 0 {
			c.countCrashOfRun(k, r)
			c.dropRun(r, "worker restarted")
		}
	}
	if len(w.runs) > 0 {
		c.pollSoon(w)
	}
	w.restartedAt, w.lastCrash = c.now, k
	w.retired = false
	c.expectLongLeases(w)
	w.inventoryKnown = false
	w.clockMS, w.leaseEndMS = 0, 0
	w.lastReadCompletion, w.lastAckedCompletion, w.pendingAcks = 0, 0, nil
	w.sentAck, w.deliveredAck = 0, 0
	w.unknownRuns, w.unknownCompletions, w.unknownTasksSince = nil, nil, nil
	w.hasUnknownRuns = false
	w.endTrials()
	w.health = health{}
	w.startsBlockedUntil = 0
}

func (w *worker) ref() backend.WorkerRef {
	return backend.WorkerRef{ID: w.info.ID, Address: w.info.Address}
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

// WorkerSetVersion returns a number that rises when the result of WorkerIDs changes.
func (c *Core) WorkerSetVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workerSetVersion
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

// supersede ends the epoch because a worker has seen a higher token.
func (c *Core) supersede(w *worker) {
	if c.superseded {
		return
	}
	c.superseded = true
	c.logDecision("epoch_superseded", "", map[string]any{"worker": w.info.ID, "epoch": c.opts.Epoch})
	c.signalWake()
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
