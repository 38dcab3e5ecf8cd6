package cell

import "slices"

// A leader that is lost may not have noticed the crash of a worker, and its successor finds neither the worker nor what ran there.
// So the last start is stored with the progress of a task that may have crashed a worker: of one with crashes, and of one that ran
// on a worker whose address refuses connections.

// storedRun is the durable form of the last start of such a task.
type storedRun struct {
	Number int64 `json:"n"`
	// Worker is the ID of the worker, and StartedMS identifies its boot; 0 if it was not reported.
	Worker    string `json:"w"`
	StartedMS int64  `json:"b,omitempty"`
	// Confirmed means that the worker had answered the start.
	Confirmed bool `json:"c,omitempty"`
}

// mayCrash reports whether a task may crash its worker, so that its crashes and its last start are stored.
func (t *task) mayCrash() bool { return t.hasCrashes() || t.suspect }

// hasCrashes reports whether crashes of workers were counted for the task.
func (t *task) hasCrashes() bool { return t.crashes.total()+t.crashesTakenBack > 0 }

// suspectRuns records that the runs on a worker may have crashed it: nothing listens at its address.
func (c *Core) suspectRuns(w *worker) {
	if w.info.Draining || w.cordoned {
		return
	}
	for _, r := range w.runs {
		if r.phase != phaseRecording && !r.task.suspect {
			r.task.suspect = true
			c.markRunChanged(r.task)
		}
	}
}

// lastStoredRun returns the run that is stored with the progress of a task that may crash its worker, or nil.
func (t *task) lastStoredRun() *storedRun {
	for _, r := range slices.Backward(t.runs) {
		if r.phase != phaseRecording {
			return &storedRun{Number: r.number, Worker: r.worker.info.ID, StartedMS: r.worker.startedMS, Confirmed: r.isConfirmed()}
		}
	}
	return t.formerRun
}

// loadFormerRun records the last start of a task by a former leader.
func (c *Core) loadFormerRun(t *task, stored storedRun) {
	t.formerRun = &stored
	t.lastRunNumber = max(t.lastRunNumber, stored.Number)
	t.lastKnownRun = max(t.lastKnownRun, stored.Number)
	c.formerRuns = append(c.formerRuns, t)
}

// markRunChanged schedules a write of the progress of a task that may crash its worker, whose last start has changed.
func (c *Core) markRunChanged(t *task) {
	if t.mayCrash() && !t.done && !t.step.job.state.Terminal() {
		c.markChanged(t.step.job)
		c.addUnstoredCrashes(t.step.job)
	}
}

// forgetFormerRun records that the ledger has the run of a former leader, or that its worker lists its completion. From then on a crash
// is counted for the run in the ledger, and only there.
func (t *task) forgetFormerRun(number int64) {
	t.lastKnownRun = max(t.lastKnownRun, number)
	if t.formerRun != nil && t.formerRun.Number == number {
		t.formerRun = nil
	}
}

// forgetFormerRuns forgets the runs that former leaders started on the present boot of a worker that has just listed its runs: those that
// it did not list have ended, or will not start, and a later crash is none of theirs.
func (c *Core) forgetFormerRuns(w *worker) {
	for _, t := range c.formerRuns {
		if r := t.formerRun; r != nil && r.Worker == w.info.ID && (r.StartedMS == 0 || r.StartedMS == w.startedMS) {
			t.formerRun = nil
			c.markRunChanged(t)
		}
	}
}

// settleFormerRuns counts the crashes under runs of former leaders, when all workers that may have the task are known or given up on,
// and before the task can start again.
func (c *Core) settleFormerRuns() {
	c.formerRuns = slices.DeleteFunc(c.formerRuns, func(t *task) bool {
		if t.formerRun == nil {
			return true
		}
		if len(c.inventoryPending) > 0 && c.mayRunUnread(t) {
			return false
		}
		stored := *t.formerRun
		t.formerRun = nil
		if !t.done {
			c.settleFormerRun(t, stored)
		}
		return true
	})
}

// settleFormerRun counts a crash for a task whose last run is not listed by its worker, if the process of the worker has ended
// since. A worker that goes on did not get the start, or the run has ended.
func (c *Core) settleFormerRun(t *task, stored storedRun) {
	w := c.workers[stored.Worker]
	switch {
	case w == nil || w.ended:
		c.countFormerCrash(t, stored)
	case !w.inventoryKnown:
		// The worker is silent. The crash is counted if its process turns out to have ended.
		w.expiredTasks = append(w.expiredTasks, t)
	case stored.StartedMS != 0 && w.startedMS != stored.StartedMS:
		c.countFormerCrash(t, stored)
	}
}

// countFormerCrash counts the crash of a worker of which only the ID is known.
func (c *Core) countFormerCrash(t *task, stored storedRun) {
	k := &crash{worker: stored.Worker, noticedAt: c.now}
	c.crashes = append(c.crashes, k)
	c.countCrash(k, countedTask{task: t, certain: stored.Confirmed})
}
