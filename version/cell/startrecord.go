package cell

import (
	"slices"
	"strconv"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// The worker of each start of a service task is durable before the start command is sent. So a new leader knows which worker may run the task,
// and the loss of another one does not keep the task from starting. A start on the worker that is recorded already needs no further write.

// maxRecordedTasks limits the service tasks of a job whose starts are recorded, so that they fit into a row. A leader takes the absence of a
// record as a sign that the task was never started, so leaders with another limit must not follow each other as ones that record starts.
const maxRecordedTasks = 400

// recordsStarts reports whether the starts of the service tasks of a job are recorded. It depends on nothing but the job, and all leaders agree
// on it.
func recordsStarts(spec *job.Spec) bool {
	return spec.Repetitions == 0 && spec.ServiceTasks() <= maxRecordedTasks
}

func (s *step) recordsStarts() bool { return s.spec.LongRunning && s.job.recordsStarts }

// placement says where a service task was last started, as recorded.
type placement struct {
	// worker is the ID of the worker; empty if the task was never started.
	worker string
	// unknown means that the task may have been started on any worker.
	unknown bool
}

// startRecord is the durable form of the placements of the tasks of a step.
type startRecord struct {
	// Epoch is the epoch of the leader that wrote the record.
	Epoch uint64 `json:"e"`
	// Workers are the IDs of the workers by task index; an empty one means that the placement is unknown. A task without an entry was never
	// started.
	Workers map[string]string `json:"w,omitempty"`
}

// encodeStarts returns the record of the starts of a step. It is nil if a leader that finds none knows that no task was started.
func (c *Core) encodeStarts(s *step) *startRecord {
	if !s.recordsStarts() {
		return nil
	}
	record := &startRecord{Epoch: c.opts.Epoch, Workers: map[string]string{}}
	for _, t := range s.tasks {
		if t.placement != (placement{}) {
			record.Workers[strconv.Itoa(t.index)] = t.placement.worker
		}
	}
	if len(record.Workers) == 0 && c.isRecordedSinceAcceptance(s.job) {
		return nil
	}
	return record
}

// startsOf returns the record of the starts of a step, or nil. r may be nil.
func (r *progressRow) startsOf(s *step) *startRecord {
	if r == nil {
		return nil
	}
	if p := r.Steps[stepKey(s.occurrence.index, s.index)]; p != nil {
		return p.Starts
	}
	return nil
}

// isRecordedSinceAcceptance reports whether all leaders that may have started the job have recorded starts.
func (c *Core) isRecordedSinceAcceptance(j *jobState) bool {
	return j.record.Epoch >= c.opts.StartsRecordedSince
}

// loadStarts sets the placements of the tasks of a step from their record, which is nil if there is none. A leader that does not record starts
// may have followed the one that wrote the record.
func (c *Core) loadStarts(s *step, record *startRecord) {
	if !s.recordsStarts() {
		return
	}
	for _, t := range s.tasks {
		t.placement = placement{unknown: true}
		switch {
		case record == nil:
			t.placement.unknown = !c.isRecordedSinceAcceptance(s.job)
		case record.Epoch >= c.opts.StartsRecordedSince:
			worker, started := record.Workers[strconv.Itoa(t.index)]
			t.placement = placement{worker: worker, unknown: started && worker == ""}
		}
		if t.placement.unknown {
			c.unknownPlacements = append(c.unknownPlacements, t)
		}
	}
}

// setPlacement changes the placement of a task and schedules a write of it.
func (c *Core) setPlacement(t *task, p placement) {
	if t.placement == p {
		return
	}
	if p.unknown {
		c.unknownPlacements = append(c.unknownPlacements, t)
	}
	t.placement = p
	c.markChanged(t.step.job)
	t.placementChange = t.step.job.lastChange
}

// forgetUnrecordedStarts handles a record of a job with an earlier epoch, in which a leader that does not record starts may have started tasks
// that seem to have no start.
func (c *Core) forgetUnrecordedStarts(s *step) {
	if !s.recordsStarts() || c.isRecordedSinceAcceptance(s.job) {
		return
	}
	for _, t := range s.tasks {
		if t.placement == (placement{}) {
			c.setPlacement(t, placement{unknown: true})
		}
	}
}

// settlePlacements determines the unknown placements when every worker that a former leader may have used is read or given up: the ledger has
// all runs then.
func (c *Core) settlePlacements() {
	if len(c.unknownPlacements) == 0 || !c.isLedgerComplete() {
		return
	}
	c.unknownPlacements = slices.DeleteFunc(c.unknownPlacements, func(t *task) bool {
		if !t.placement.unknown || t.step.job.state.Terminal() {
			return true
		}
		if len(t.runs) > 1 {
			return false
		}
		settled := placement{}
		if len(t.runs) == 1 {
			settled.worker = t.runs[0].worker.info.ID
		}
		c.setPlacement(t, settled)
		return true
	})
}

// isLedgerComplete reports whether no run of a former leader can be missing in the ledger.
func (c *Core) isLedgerComplete() bool {
	if len(c.inventoryPending) > 0 || c.now < c.recoveredHeldUntil {
		return false
	}
	return c.fleetRecordKnown || c.now >= c.epochStart+c.recoveryBound(c.maxLease())
}

// isRecordedOn reports whether the last start of a task is durably recorded on a worker.
func (t *task) isRecordedOn(w *worker) bool {
	return t.placement.worker == w.info.ID && t.step.job.storedChange >= t.placementChange
}

// needsRecord reports whether a run must not be sent yet.
func (r *run) needsRecord() bool {
	return r.task.step.recordsStarts() && !r.task.isRecordedOn(r.worker)
}

// mayUseRecord reports whether a task is to start on the worker that is recorded because a start there was given up before it was sent: a
// store that is slower than tickets last would otherwise keep the task from starting.
func (c *Core) mayUseRecord(w *worker, t *task) bool {
	return t.recordUnused && t.isRecordedOn(w) && c.hasTicket(w, t.step) && c.eligible(w, t.step, t)
}

// startTask starts a task on a worker.
func (c *Core) startTask(t *task, w *worker, number int64, checkpoint string) {
	c.startRuns([]*run{c.addUnsentRun(t, w, number, checkpoint)})
	if t.step.spec.LongRunning {
		t.step.reservationAge = reservationAge{}
	}
}

// addUnsentRun adds a run to the ledger whose start command is not sent yet.
func (c *Core) addUnsentRun(t *task, w *worker, number int64, checkpoint string) *run {
	r := c.addRun(t, w, number, phaseRecording)
	w.countTrial(r)
	r.checkpoint = checkpoint
	return r
}

// startRuns sends the start commands of runs together, when all are recorded that must be.
func (c *Core) startRuns(runs []*run) {
	recorded := !slices.ContainsFunc(runs, (*run).needsRecord)
	for _, r := range runs {
		if recorded {
			c.sendStart(r)
			continue
		}
		if r.task.step.recordsStarts() {
			c.setPlacement(r.task, placement{worker: r.worker.info.ID})
		}
		c.recordingRuns = append(c.recordingRuns, r)
	}
}

// withdrawStart removes a run whose start command was not sent, in the next round.
func (c *Core) withdrawStart(r *run, reason string) {
	r.withdrawn, r.stopReason = true, reason
	c.signalWake()
}

// sendRecordedStarts sends the start commands of the runs whose records are durable.
func (c *Core) sendRecordedStarts() {
	runs := c.recordingRuns
	c.recordingRuns = nil
	for _, r := range runs {
		switch {
		case r.removed || r.phase != phaseRecording:
		case r.withdrawn:
			c.startFailed(r, r.stopReason, nil)
		case !r.isStartRecorded():
			c.recordingRuns = append(c.recordingRuns, r)
		case !r.task.step.spec.Gang && !c.mayIssueStarts():
			// The members of a gang are sent together.
			c.recordingRuns = append(c.recordingRuns, r)
		case !c.acceptsRecordedStart(r):
			r.task.recordUnused = true
			c.startFailed(r, "worker no longer accepts the start", nil)
		default:
			c.sendStart(r)
		}
	}
}

// unsentWith returns the runs that are sent together with a run, itself included.
func (r *run) unsentWith() []*run {
	if !r.task.step.spec.Gang {
		return []*run{r}
	}
	var runs []*run
	for _, t := range r.task.step.tasks {
		for _, member := range t.runs {
			if member.phase == phaseRecording {
				runs = append(runs, member)
			}
		}
	}
	return runs
}

// isStartRecorded reports whether the records of a run, and of those that are sent with it, are durable.
func (r *run) isStartRecorded() bool {
	return !slices.ContainsFunc(r.unsentWith(), func(member *run) bool { return member.withdrawn || member.needsRecord() })
}

// acceptsRecordedStart reports whether the workers of a run, and of those that are sent with it, still accept them.
func (c *Core) acceptsRecordedStart(r *run) bool {
	return !slices.ContainsFunc(r.unsentWith(), func(member *run) bool {
		w := member.worker
		return !w.acceptsQueuedStart() || !w.inventoryKnown || w.hasUnknownRuns || !c.isRecorded(w) || c.isClosed(w) || c.now < w.startsBlockedUntil ||
			c.now > w.clockReceivedAt+maxClockAge || !c.hasTicket(w, member.task.step) || !c.mayShare(w, member.task)
	})
}

// sendStart issues the command to start a run.
func (c *Core) sendStart(r *run) {
	t, w := r.task, r.worker
	command, deadline := r.command(c), c.leaseDeadline(w)
	// The deadline is a reading of the clock of this boot. On that of another one it may be far in the future.
	command.Worker = w.bootRef()
	r.phase, r.createdAt, r.progressedAt = phaseStarting, c.now, c.now
	t.recordUnused = false
	c.dispatchStart(&StartAction{backend.StartCommand{
		Command: command, Payload: t.step.job.record.Spec.Payload, LeaseDeadlineMS: deadline,
		Checkpoint: r.checkpoint, Ticket: t.step.advice.approved[w.info.ID].value,
	}, r, c.recordPlacement(r)})
	c.markRunChanged(t)
	t.step.job.started = true
	c.logDecision("task_started", t.step.job.id, map[string]any{
		"task": t.name, "run": r.number, "worker": w.info.ID, "waited_ms": (c.now - t.waitingSince).Milliseconds(),
		"free_cpu_milli": w.freeCPUMilli(), "resumed": r.checkpoint != "", "stamp_age_ms": (c.now - w.clockReceivedAt).Milliseconds(),
	})
}

// reconcilePlacement handles a run that a worker lists and the ledger did not have. A run of the same task that was not sent is withdrawn, and
// a placement that names another worker does not hold any longer.
func (c *Core) reconcilePlacement(adopted *run) {
	t := adopted.task
	for _, other := range t.runs {
		if other.phase == phaseRecording {
			c.withdrawStart(other, "task already runs on another worker")
		}
	}
	if t.step.recordsStarts() && !t.step.job.state.Terminal() && t.placement.worker != adopted.worker.info.ID {
		c.setPlacement(t, placement{unknown: true})
	}
}

// sentRuns returns the number of runs of the task whose start commands were sent.
func (t *task) sentRuns() int {
	n := 0
	for _, r := range t.runs {
		if r.phase != phaseRecording {
			n++
		}
	}
	return n
}

// hasSentRuns reports whether a start command was sent for a run on the worker.
func (w *worker) hasSentRuns() bool {
	for _, r := range w.runs {
		if r.phase != phaseRecording {
			return true
		}
	}
	return false
}
