package cell

import (
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// phase is what is known of a run.
type phase uint8

const (
	// phaseStarting: the order is on its way.
	phaseStarting phase = iota
	// phaseRunning: the worker has confirmed the run.
	phaseRunning
	// phaseStopping: the run is to be stopped.
	phaseStopping
)

// run is one start of a task on a worker. It holds capacity until the worker has listed its end, until a stop has made it
// impossible, or until its lease has lapsed.
type run struct {
	task   *task
	number int64
	worker *worker
	phase  phase
	// known is when the worker answered the start.
	known   Instant
	created Instant
	// stopSent and stopDone are when the last stop was sent and answered.
	stopSent, stopDone Instant
	stopReason         string
	saved              string
	percent            int
	// moved is when percent changed last.
	moved Instant
	load  int64
	// share is the throttle in percent.
	share   int
	dropped bool
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

func (r *run) order(c *Core) backend.Order {
	return backend.Order{Worker: r.worker.ref(), Task: r.task.name, Run: r.number, Token: c.opts.Epoch}
}

// addRun enters a run into the ledger.
func (c *Core) addRun(t *task, w *worker, number int64, p phase) *run {
	r := &run{task: t, worker: w, number: number, phase: p, created: c.now, moved: c.now, share: 100, saved: t.saved}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	if t.step.spec.Gang {
		t.step.gangRun = max(t.step.gangRun, number)
	}
	w.runs[r.key()] = r
	w.reserve(t.step, 1)
	t.waiting = false
	return r
}

// removeRun takes a run from the ledger.
func (c *Core) removeRun(r *run) {
	if r.dropped {
		return
	}
	r.dropped = true
	delete(r.worker.runs, r.key())
	r.worker.reserve(r.task.step, -1)
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	c.poke()
}

// startTask orders a task to be started on a worker.
func (c *Core) startTask(t *task, w *worker, number int64, saved string) {
	deadline := c.deadline(w)
	r := c.addRun(t, w, number, phaseStarting)
	r.saved = saved
	order := backend.StartOrder{
		Order: r.order(c), Payload: t.step.job.record.Spec.Payload, DeadlineMS: deadline,
		Checkpoint: saved, Ticket: t.step.advice.good[w.info.ID].value,
	}
	c.actions = append(c.actions, &StartAction{order, r})
	if !t.step.job.started {
		t.step.job.started = true
	}
	c.note("task_started", t.step.job.id, map[string]any{
		"task": t.name, "run": number, "worker": w.info.ID, "waited_ms": (c.now - t.since).Milliseconds(),
		"free_cpu_milli": w.freeCPU(), "resumed": saved != "", "stamp_age_ms": (c.now - w.clockAt).Milliseconds(),
	})
}

// Wanted reports whether a start may still be sent. One that waited may belong to a task that is done, cancelled or stopped
// meanwhile, or to a leadership that is in doubt.
func (c *Core) Wanted(a *StartAction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !a.run.dropped && a.run.phase == phaseStarting && !c.suspended && !c.superseded
}

// StartWithdrawn enters a start that was not sent.
func (c *Core) StartWithdrawn(a *StartAction, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if !a.run.dropped {
		c.startFailed(a.run, "not wanted any more", nil)
	}
}

// StartResult enters the answer to a start.
func (c *Core) StartResult(a *StartAction, reply backend.Reply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	r := a.run
	if r.dropped {
		return
	}
	switch {
	case err == nil && reply.Refusal == "":
		c.startConfirmed(r, reply)
	case err == nil:
		c.startRefused(r, reply)
	case verdict.Of(err) == verdict.NotRun:
		r.worker.blockedUntil = c.now + blockAfterFailure
		c.startFailed(r, "not sent", err)
	default:
		c.startUnsure(r, err)
	}
	c.poke()
}

func (c *Core) startConfirmed(r *run, reply backend.Reply) {
	c.noteClock(r.worker, reply.ClockMS)
	if r.known == 0 {
		r.known = c.now
	}
	if r.phase == phaseStarting {
		r.phase = phaseRunning
	}
}

// startUnsure keeps the capacity of a start without an answer until it is settled. A stop of its number makes a start that
// is carried out late impossible; a poll after the stop shows that nothing runs.
func (c *Core) startUnsure(r *run, err error) {
	c.note("start_unanswered", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "error": err.Error(),
	})
	if r.phase != phaseStarting {
		return
	}
	r.known = c.now
	c.stopRun(r, "start had no answer")
}

// startRefused handles a worker that has certainly not started the run.
func (c *Core) startRefused(r *run, reply backend.Reply) {
	w, t := r.worker, r.task
	c.noteClock(w, reply.ClockMS)
	switch reply.Refusal {
	case backend.RefusedFence:
		c.supersede(w)
		return
	case backend.RefusedOldRun:
		t.lastRun += oldRunStep
		t.step.gangRun += oldRunStep
	case backend.RefusedTicket:
		t.step.advice.forgetTicket(w.info.ID)
	case backend.RefusedRoom, backend.RefusedUnhealthy, backend.RefusedInvalid:
		w.blockedUntil = c.now + blockAfterFailure
		t.avoid[w.info.ID] = struct{}{}
	case backend.RefusedLate, backend.RefusedInstance:
		w.known = false
	}
	c.startFailed(r, string(reply.Refusal), nil)
}

// oldRunStep is by how much the run numbers of a task rise after a worker refused one as too low.
const oldRunStep = 8

// startFailed gives the capacity of a start back that has certainly not happened.
func (c *Core) startFailed(r *run, reason string, err error) {
	fields := map[string]any{"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "reason": reason}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.note("start_refused", r.task.step.job.id, fields)
	c.removeRun(r)
	c.afterRun(r)
}

// dropRun ends a run that certainly no longer exists, without an end in a list.
func (c *Core) dropRun(r *run, reason string) {
	c.note("run_lost", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "reason": reason,
	})
	r.task.saved = newerSave(r)
	c.removeRun(r)
	c.afterRun(r)
}

func newerSave(r *run) string {
	if r.saved != "" {
		return r.saved
	}
	return r.task.saved
}

// afterRun decides what follows a run that is gone: a gang breaks, other tasks wait again.
func (c *Core) afterRun(r *run) {
	t := r.task
	if t.step.spec.Gang && !t.done {
		c.gangBroken(t.step)
		return
	}
	c.queueTask(t)
}

// stopRun has a run stopped. Its capacity stays reserved until the worker has listed its end.
func (c *Core) stopRun(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	r.phase = phaseStopping
	r.stopReason = reason
	c.note("run_stopping", r.task.step.job.id, map[string]any{
		"task": r.task.name, "run": r.number, "worker": r.worker.info.ID, "reason": reason, "percent": r.percent,
	})
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now
	c.actions = append(c.actions, &StopAction{r.order(c), r})
	c.poke()
}

// StopResult enters the answer to a stop.
func (c *Core) StopResult(a *StopAction, reply backend.Reply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	r := a.run
	if err != nil || r.dropped {
		return
	}
	c.noteClock(r.worker, reply.ClockMS)
	switch reply.Refusal {
	case "":
		r.stopDone = c.now
		c.actions = append(c.actions, &PollAction{r.worker.info.ID})
		c.poke()
	case backend.RefusedFence:
		c.supersede(r.worker)
	case backend.RefusedInstance:
		r.worker.known = false
	}
}

const (
	// stopRepeat is the time after which a stop without an effect is sent again.
	stopRepeat = 450 * time.Millisecond
	// silentStopRepeat is the same for a worker that does not answer polls. It may hear the stop all the same.
	silentStopRepeat = 2 * time.Second
)

// repeatStops sends the stops again that had no effect.
func (c *Core) repeatStops(w *worker) {
	wait := stopRepeat
	if w.health.silent {
		wait = silentStopRepeat
	}
	for _, r := range w.runs {
		if r.phase == phaseStopping && c.now > r.stopSent+wait {
			c.sendStop(r)
		}
	}
}

// missing handles a run that a poll sent at an instant has not listed.
func (c *Core) missing(r *run, sent Instant) {
	switch r.phase {
	case phaseStarting:
	case phaseRunning:
		if sent > r.known {
			c.dropRun(r, "not listed by the worker")
		}
	case phaseStopping:
		if r.stopDone != 0 && sent >= r.stopDone {
			c.dropRun(r, r.stopReason)
		}
	}
}

// adopt enters a run that a worker lists and the ledger does not have: one of a former leader, or a start that was carried
// out after it had counted as lost. Runs that must not go on are stopped.
func (c *Core) adopt(w *worker, item backend.RunningTask) *run {
	t := c.find(item.Task)
	if t == nil && !c.isOver(item.Task) && c.awaitsJob(w) {
		w.unclaimedRuns = append(w.unclaimedRuns, item)
		return nil
	}
	if t == nil {
		c.note("unknown_run", "", map[string]any{"task": item.Task, "run": item.Run, "worker": w.info.ID})
		c.actions = append(c.actions, &StopAction{Order: backend.Order{
			Worker: w.ref(), Task: item.Task, Run: item.Run, Token: c.opts.Epoch,
		}, run: &run{dropped: true}})
		return nil
	}
	r := c.addRun(t, w, item.Run, phaseRunning)
	r.known = c.now
	j := t.step.job
	j.started = true
	c.unqueue(t.step)
	c.note("run_adopted", j.id, map[string]any{"task": t.name, "run": item.Run, "worker": w.info.ID, "percent": item.Percent})
	switch {
	case t.done || j.state.Terminal():
		c.stopRun(r, "job or task is finished")
	case t.step.spec.Gang && item.Run < t.step.gangRun:
		c.stopRun(r, "gang runs under a higher number")
	case len(t.runs) > 1 && !t.step.spec.Speculative:
		c.stopRun(r, "task runs elsewhere")
	}
	return r
}

// unknownJobTimeout is how long the record of a job may take to arrive after a worker has listed one of its tasks. A former
// leader may have started the job after the records were read.
const unknownJobTimeout = 5 * time.Second

// awaitsJob reports whether a task that no known job has may belong to a job that is about to arrive.
func (c *Core) awaitsJob(w *worker) bool {
	if w.unknownSince == 0 {
		w.unknownSince = c.now
	}
	return c.now <= w.unknownSince+unknownJobTimeout
}

// claimListed enters what workers have listed of a job before it was known: a former leader may have started it, and its
// tasks must not start again.
func (c *Core) claimListed(j *jobState) {
	prefix := string(j.id) + "."
	for _, w := range c.workers {
		for _, item := range w.unclaimedRuns {
			if strings.HasPrefix(item.Task, prefix) && w.runs[runKey{item.Task, item.Run}] == nil {
				c.adopt(w, item)
			}
		}
		if len(w.unclaimedEnds) > 0 {
			c.claimEnds(w)
		}
	}
}

// observe enters what a worker reports about a run.
func (c *Core) observe(r *run, item backend.RunningTask) {
	if r.phase == phaseStarting {
		r.phase = phaseRunning
		r.known = c.now
	}
	if item.Saved != "" {
		r.saved = item.Saved
		r.task.saved = item.Saved
		if r.task.step.spec.Gang {
			r.task.step.gangSaved = item.Saved
		}
	}
	if item.Percent != r.percent {
		r.percent = item.Percent
		r.moved = c.now
	}
	r.load = item.Load
	if r.task.done && r.phase == phaseRunning {
		c.stopRun(r, "task is done")
		return
	}
}
