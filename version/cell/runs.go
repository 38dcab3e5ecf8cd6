package cell

import (
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// phase is the scheduler's view of a run's lifecycle.
type phase uint8

const (
	// phaseStarting: the start command has been issued and the worker has not confirmed it.
	phaseStarting phase = iota
	// phaseRunning: the worker has confirmed the run.
	phaseRunning
	// phaseStopping: the run is being stopped.
	phaseStopping
	// phaseRecording: the start command waits until the worker of the start is durably recorded. Nothing was sent.
	phaseRecording
)

// run is one start of a task on a worker. It occupies capacity until the worker reports its completion, until a stop
// ensures that it does not run, or until its lease has expired.
type run struct {
	task   *task
	number int64
	worker *worker
	phase  phase
	// confirmedAt is when the worker answered the start or first listed the run, or when an unanswered start was stopped.
	confirmedAt Instant
	createdAt   Instant
	// queuedAt is when the task began to wait for the run.
	queuedAt Instant
	// unansweredAt is when the start was found to be unanswered; 0 if it was answered.
	unansweredAt Instant
	// stopSentAt and stopAnsweredAt are when the last stop was sent and when it was answered.
	stopSentAt, stopAnsweredAt Instant
	stopReason                 string
	checkpoint                 string
	progressPercent            int
	// firstPercent is the progress in the first report, at firstReportAt. A run that resumes from a checkpoint does not begin
	// at 0.
	firstPercent  int
	firstReportAt Instant
	// reportedAt is when a poll last listed the run; 0 before that.
	reportedAt Instant
	// listedIn is the number of the last inventory that listed the run; see Core.inventories.
	listedIn uint64
	// progressedAt is when progressPercent last changed, or when the throttle was last changed.
	progressedAt Instant
	load         int64
	// throttlePercent is the share of its normal speed at which the run works, in percent, or unknownThrottlePercent.
	throttlePercent int
	removed         bool
	// isTrial means that the worker was found to be suspect before the run was started, and that no trial has passed since.
	isTrial bool
	// held means that the start has not been sent, since an acknowledgement is on its way to the worker.
	held bool
	// withdrawn means that the start command is not to be sent.
	withdrawn bool
	// completionUnread means that the run has ended, and that its completion may be beyond those that the worker lists at a time.
	completionUnread bool
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

func (r *run) command(c *Core) backend.Command {
	return backend.Command{Worker: r.worker.ref(), Task: r.task.name, Run: r.number, FencingToken: c.opts.Epoch}
}

// addRun adds a run to the ledger of its task and its worker.
func (c *Core) addRun(t *task, w *worker, number int64, p phase) *run {
	r := &run{task: t, worker: w, number: number, phase: p, createdAt: c.now, progressedAt: c.now, throttlePercent: 100,
		checkpoint: t.checkpoint, queuedAt: c.now}
	if t.waiting {
		r.queuedAt = t.waitingSince
	}
	t.runs = append(t.runs, r)
	t.step.job.activeAt = c.now
	t.forgetFormerRun(number)
	t.lastRunNumber = max(t.lastRunNumber, number)
	if t.step.spec.Gang {
		t.step.gangRunNumber = max(t.step.gangRunNumber, number)
	}
	w.runs[r.key()] = r
	w.addDemand(t.step, 1)
	c.free.update(w)
	t.step.addTeamUse(1)
	w.releaseReservation(t.step)
	t.waiting = false
	if t.isIsolated() {
		w.isolatedRun = r
	}
	return r
}

// removeRun removes a run from the ledger and releases its capacity.
func (c *Core) removeRun(r *run) {
	if r.removed {
		return
	}
	r.removed = true
	j := r.task.step.job
	j.activeAt = c.now
	j.usedCPU += float64(r.task.step.spec.TaskDemand.CPUMilli) / 1000 * float64((c.now - r.createdAt).Milliseconds())
	c.endPlacement(r.key(), r.task.step.job)
	r.worker.removeTrial(r)
	delete(r.worker.runs, r.key())
	r.worker.addDemand(r.task.step, -1)
	c.free.update(r.worker)
	r.task.step.addTeamUse(-1)
	if r.worker.isolatedRun == r {
		r.worker.isolatedRun = nil
	}
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	c.markRunChanged(t)
	c.ready.capacityFreed(r.worker)
	c.signalWake()
}

// StartNeeded reports whether a queued start may still be sent. By then its task may be done, cancelled or stopped, the
// leadership may be uncertain, or the worker may no longer accept the run.
func (c *Core) StartNeeded(a *StartAction, now Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	return !a.run.removed && a.run.phase == phaseStarting && !c.halted() && a.run.worker.acceptsQueuedStart()
}

// acceptsQueuedStart reports whether a start that was issued earlier may still be sent to the worker. Its demand is part of the
// ledger, so that of several queued starts only those that exceed a shrunken capacity are withdrawn.
func (w *worker) acceptsQueuedStart() bool {
	return w.listed && w.entryIsCurrent() && !w.info.Draining && !w.cordoned && !w.isOverCapacity()
}

// StartWithdrawn records that a start was not sent.
func (c *Core) StartWithdrawn(a *StartAction, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.inFlight.starts--
	if !a.run.removed {
		c.startFailed(a.run, "start no longer needed", nil)
	}
}

// StartResult records the outcome of a start.
func (c *Core) StartResult(a *StartAction, reply backend.Reply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.inFlight.starts--
	c.signalWake()
	r := a.run
	if r.removed {
		return
	}
	switch {
	case err == nil && reply.Refusal == "":
		c.startConfirmed(r, reply)
	case err == nil:
		c.startRefused(r, reply)
	case verdict.Of(err) == verdict.NotRun:
		r.worker.startsBlockedUntil = c.now + startBlockDuration
		c.startFailed(r, "start command was not sent", err)
	default:
		c.startOutcomeUnknown(r, err)
	}
	r.worker.signalAcks()
}

func (c *Core) startConfirmed(r *run, reply backend.Reply) {
	c.recordReplyClock(r, reply)
	if r.confirmedAt == 0 {
		r.confirmedAt = c.now
		c.markRunChanged(r.task)
	}
	if r.phase == phaseStarting {
		r.phase = phaseRunning
	}
}

// startOutcomeUnknown keeps the capacity of an unanswered start reserved until its outcome is resolved: a poll shows whether
// the worker has executed it. If it has not, its run number is stopped, which prevents a start that arrives late.
func (c *Core) startOutcomeUnknown(r *run, err error) {
	c.logDecision("start_unanswered", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "error": err.Error(),
	})
	if r.phase != phaseStarting {
		return
	}
	r.unansweredAt = c.now
	c.recordSilence(r.worker)
	c.pollSoon(r.worker)
}

// unansweredStartTimeout is how long after its timeout an unanswered start may remain unresolved before its run number is
// stopped: the polls of the worker are not answered either.
const unansweredStartTimeout = 400 * time.Millisecond

// resolveUnansweredStart stops the run number of a start whose outcome no poll has shown.
func (c *Core) resolveUnansweredStart(r *run) {
	if r.unansweredAt != 0 && c.now > r.unansweredAt+unansweredStartTimeout {
		c.stopUnansweredStart(r)
	}
}

func (c *Core) stopUnansweredStart(r *run) {
	r.confirmedAt = c.now
	c.stopRun(r, "start command was not answered")
}

// startRefused handles a worker that has definitely not started the run.
func (c *Core) startRefused(r *run, reply backend.Reply) {
	w, t := r.worker, r.task
	c.recordReplyClock(r, reply)
	switch reply.Refusal {
	case backend.RefusedFence:
		c.supersede(w)
		return
	case backend.RefusedOldRun:
		t.lastRunNumber += runNumberIncrement
		t.step.gangRunNumber += runNumberIncrement
	case backend.RefusedTicket:
		t.step.advice.expireTicket(w.info.ID)
	case backend.RefusedCapacity:
		// The worker may have shrunk, which its registry entry shows soon, and may grow again.
		w.startsBlockedUntil = c.now + startBlockDuration
	case backend.RefusedUnhealthy, backend.RefusedInvalid:
		w.startsBlockedUntil = c.now + startBlockDuration
		t.avoidedWorkers.add(w, c.now)
	case backend.RefusedLate, backend.RefusedInstance:
		w.inventoryKnown = false
	case backend.RefusedBoot:
		w.inventoryKnown = false
		c.handleRefusedBoot(w)
	}
	c.startFailed(r, string(reply.Refusal), nil)
}

// runNumberIncrement is added to the run numbers of a task when a worker refuses one as too low.
const runNumberIncrement = 8

// startFailed releases the capacity of a start that has definitely not happened.
func (c *Core) startFailed(r *run, reason string, err error) {
	fields := map[string]any{"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "reason": reason}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.logDecision("start_refused", r.task.step.job.id, fields)
	t, unsent := r.task, r.task.unsentStarts+1
	c.removeRun(r)
	c.handleRunRemoved(r)
	if t.waiting {
		t.waitingSince, t.unsentStarts, t.unsentReason = min(t.waitingSince, r.queuedAt), unsent, reason
	}
}

// dropRun removes a run that definitely no longer exists, without a completion reported by its worker.
func (c *Core) dropRun(r *run, reason string) {
	c.logDecision("run_lost", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "reason": reason,
	})
	r.task.checkpoint = latestCheckpoint(r)
	c.removeRun(r)
	c.handleRunRemoved(r)
}

func latestCheckpoint(r *run) string {
	if r.checkpoint != "" {
		return r.checkpoint
	}
	return r.task.checkpoint
}

// handleRunRemoved decides what follows the removal of a run: a gang is stopped and restarted as a whole, any other
// task waits again.
func (c *Core) handleRunRemoved(r *run) {
	t := r.task
	if t.step.spec.Gang && !t.done {
		c.restartGang(t.step)
		return
	}
	c.queueTask(t)
}

// stopRun stops a run. Its capacity stays reserved until the worker reports the completion.
func (c *Core) stopRun(r *run, reason string) {
	switch r.phase {
	case phaseStopping:
		return
	case phaseRecording:
		c.withdrawStart(r, reason)
		return
	}
	r.phase = phaseStopping
	r.stopReason = reason
	c.logDecision("run_stopping", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "reason": reason, "percent": r.progressPercent,
	})
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	if !c.issueStop(&StopAction{r.command(c), r}) {
		// retryStop sends it.
		r.stopSentAt = 0
		return
	}
	r.stopSentAt = c.now
	c.signalWake()
}

// StopResult records the outcome of a stop.
func (c *Core) StopResult(a *StopAction, reply backend.Reply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.inFlight.stops--
	r := a.run
	if err != nil || r.removed {
		return
	}
	c.recordReplyClock(r, reply)
	switch reply.Refusal {
	case "":
		r.stopAnsweredAt = c.now
		c.pollSoon(r.worker)
	case backend.RefusedFence:
		c.supersede(r.worker)
	case backend.RefusedInstance:
		r.worker.inventoryKnown = false
	}
}

const (
	// stopRetryInterval is the time after which a stop that had no effect is sent again.
	stopRetryInterval = 450 * time.Millisecond
	// unresponsiveStopRetryInterval applies to a worker that does not answer polls. It may still receive the stop.
	unresponsiveStopRetryInterval = 2 * time.Second
)

// retryStop sends a stop again that had no effect.
func (c *Core) retryStop(r *run) {
	wait := stopRetryInterval
	if r.worker.health.unresponsive {
		wait = unresponsiveStopRetryInterval
	}
	if c.now > r.stopSentAt+wait {
		c.sendStop(r)
	}
}

// handleUnlistedRun handles a run that is missing from the answer to a poll sent at sentAt. If the answer is not complete, the run may have
// finished its task; it stays in the ledger until its completion is listed.
func (c *Core) handleUnlistedRun(r *run, sentAt Instant, complete bool) {
	if r.createdAt < r.worker.restartedAt {
		// The previous boot had it.
		c.countCrashOfRun(r.worker.lastCrash, r)
	}
	switch r.phase {
	case phaseStarting:
		if r.unansweredAt != 0 && sentAt >= r.unansweredAt {
			c.stopUnansweredStart(r)
		}
	case phaseRunning:
		if sentAt > r.confirmedAt {
			c.handleEndedRun(r, "not listed by the worker", complete)
		}
	case phaseStopping:
		if r.stopAnsweredAt != 0 && sentAt >= r.stopAnsweredAt {
			c.handleEndedRun(r, r.stopReason, complete)
		}
	}
}

// handleEndedRun drops a run that does not run any longer, unless its completion may not be listed yet.
func (c *Core) handleEndedRun(r *run, reason string, complete bool) {
	if complete {
		c.dropRun(r, reason)
		return
	}
	r.completionUnread = true
}

// adoptRun adds a run to the ledger that a worker lists and the ledger does not have: it was started by a former
// leader, or its start was executed after it had been given up. Runs that must not continue are stopped.
func (c *Core) adoptRun(w *worker, item backend.ActiveRun) *run {
	t := c.findTask(item.Task)
	if t == nil && c.awaitsJobRecord(w, item.Task) {
		w.unknownRuns = append(w.unknownRuns, item)
		c.recordUnknownPlacement(item.Task, item.Run, w)
		return nil
	}
	if t == nil {
		c.logDecision("unknown_run", "", map[string]any{"task": item.Task, "run": item.Run, "worker": w.info.ID})
		c.issueStop(&StopAction{Command: backend.Command{
			Worker: w.ref(), Task: item.Task, Run: item.Run, FencingToken: c.opts.Epoch,
		}, run: &run{removed: true}})
		return nil
	}
	if t.waiting && t.step.job.recovered {
		c.held.found++
	}
	r := c.addRun(t, w, item.Run, phaseRunning)
	c.recordPlacement(r)
	r.confirmedAt = c.now
	if t.step.spec.BestEffort {
		r.throttlePercent = unknownThrottlePercent
	}
	j := t.step.job
	j.started = true
	c.reconcilePlacement(r)
	c.pruneWaiting(t.step)
	c.logDecision("run_adopted", j.id, map[string]any{"task": t.name, "run": item.Run, "worker": w.info.ID, "percent": item.ProgressPercent})
	switch {
	case t.done || j.state.Terminal():
		c.stopRun(r, "job or task is finished")
	case t.step.spec.Gang && item.Run < t.step.gangRunNumber:
		c.stopRun(r, "gang runs under a higher run number")
	case t.sentRuns() > 1 && !t.step.spec.Speculative:
		c.stopRun(r, "task already runs on another worker")
	}
	return r
}

// resolveUnknownTasks processes the runs and completions of a job that workers listed before its record arrived: a
// former leader may have started the job, and its tasks must not start again.
func (c *Core) resolveUnknownTasks(j *jobState) {
	prefix := string(j.id) + "."
	for _, w := range c.workers {
		for _, item := range w.unknownRuns {
			if strings.HasPrefix(item.Task, prefix) && w.runs[runKey{item.Task, item.Run}] == nil {
				c.adoptRun(w, item)
			}
		}
		if len(w.unknownCompletions) > 0 {
			c.handleResolvedCompletions(w)
		}
	}
}

// updateRun records what a worker reports about a run.
func (c *Core) updateRun(r *run, item backend.ActiveRun) {
	if r.phase == phaseStarting {
		r.phase = phaseRunning
		r.confirmedAt = c.now
	}
	if item.Checkpoint != "" {
		r.checkpoint = item.Checkpoint
		r.task.checkpoint = item.Checkpoint
		if r.task.step.spec.Gang {
			r.task.step.gangCheckpoint = item.Checkpoint
		}
	}
	r.reportedAt = c.now
	if r.firstReportAt == 0 {
		r.firstReportAt, r.firstPercent, r.progressedAt = c.now, item.ProgressPercent, c.now
	}
	if item.ProgressPercent != r.progressPercent {
		r.progressPercent = item.ProgressPercent
		r.progressedAt = c.now
	}
	r.load = item.Load
	c.forgetEarlierCrashes(r)
	c.passTrial(r)
	if r.task.done && r.phase == phaseRunning {
		c.stopRun(r, "task is done")
		return
	}
}
