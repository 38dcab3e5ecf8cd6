package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// wave is a request for the maintenance of a set of machines.
type wave struct {
	spec      backend.MaintenanceWave
	startedAt Instant
	machines  map[string]*maintenance
	// reportedState is the state last reported to the operator.
	reportedState waveState
	// record is what is durable of the wave.
	record waveRecord
}

// waveState is the state of a wave as reported to the operator.
type waveState uint8

const (
	waveUnreported waveState = iota
	waveRunning
	waveCompleted
)

// maintenance is the maintenance of one machine in a wave.
type maintenance struct {
	machine string
	// worker is the ID of the worker that the machine had when it was last drained or requested.
	worker string
	// recorded is the phase that the durable record of the wave shows.
	recorded maintenancePhase
	phase    maintenancePhase
	// phaseSince is when the phase began, or when the maintenance was last requested or answered in it.
	phaseSince Instant
}

// maintenancePhase is the phase of a machine's maintenance.
type maintenancePhase uint8

const (
	// maintenancePending: the machine is in normal service.
	maintenancePending maintenancePhase = iota
	// maintenanceDraining: no new runs start on the machine and existing ones are moved.
	maintenanceDraining
	// maintenanceRequested: the maintenance has been requested and its outcome is not known.
	maintenanceRequested
	// maintenanceDown: the maintenance has begun.
	maintenanceDown
	// maintenanceFinished: the machine is up again, or needs no maintenance.
	maintenanceFinished
)

// isInProgress reports whether a machine is drained for its maintenance or down.
func (p maintenancePhase) isInProgress() bool {
	return p > maintenancePending && p < maintenanceFinished
}

const (
	// drainTimeout is how long tasks without checkpoints may continue before they are stopped to drain the machine.
	drainTimeout = 3 * time.Second
	// maintenanceRetryInterval is the time between requests for a machine that was busy or did not answer.
	maintenanceRetryInterval = 500 * time.Millisecond
	// minDowntime is how long a machine counts as down after the request, even if a list read earlier shows it as up.
	minDowntime = time.Second
)

// MaintainAction requests the maintenance of a machine. The outcome is passed to MaintainResult.
type MaintainAction struct {
	Machine string
	Wave    int
}

// WaveAction reports the state of a wave to the operator. The outcome is passed to WaveResult.
type WaveAction struct {
	Wave      int
	Completed bool
}

// SetWave adds a request for maintenance. It is idempotent.
func (c *Core) SetWave(spec backend.MaintenanceWave, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if c.waves[spec.Number] != nil {
		return
	}
	w := &wave{spec: spec, startedAt: c.now, machines: map[string]*maintenance{}}
	for _, id := range spec.Machines {
		w.machines[id] = &maintenance{machine: id}
	}
	c.waves[spec.Number] = w
	c.readWaveRecord(w)
	c.logDecision("wave_added", "", map[string]any{"wave": spec.Number, "machines": len(spec.Machines), "max": spec.MaxUnavailable})
	c.signalWake()
}

// NeedsMachines reports whether the list of machines is needed: a wave is open, or a machine is not up again.
func (c *Core) NeedsMachines() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waves {
		if !w.isFinished() {
			return true
		}
	}
	return false
}

// isFinished reports whether the wave is completed and all of its machines are up again.
func (w *wave) isFinished() bool {
	for _, m := range w.machines {
		if m.phase != maintenanceFinished {
			return false
		}
	}
	return w.reportedState == waveCompleted
}

// SetMachines records the list of machines that was read at readAt.
func (c *Core) SetMachines(list backend.MachineList, readAt, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.machines = map[string]backend.Machine{}
	for _, m := range list.Machines {
		c.machines[m.ID] = m
	}
	for _, w := range c.waves {
		for _, m := range w.machines {
			c.observeMachine(w, m, list.Unreadable == nil, readAt)
		}
	}
	c.signalWake()
}

// observeMachine finishes the maintenance of a machine that is up again or no longer exists, which only a complete list shows.
func (c *Core) observeMachine(w *wave, m *maintenance, complete bool, readAt Instant) {
	listed, ok := c.machines[m.machine]
	switch {
	case !ok && !complete:
	case !ok:
		c.setPhase(w, m, maintenanceFinished)
	case m.phase == maintenanceDown && listed.InService && readAt > m.phaseSince+minDowntime:
		c.setPhase(w, m, maintenanceFinished)
	}
}

func (c *Core) setPhase(w *wave, m *maintenance, p maintenancePhase) {
	if m.phase == p {
		return
	}
	m.phase = p
	m.phaseSince = c.now
	if p == maintenanceFinished {
		c.returnToService(m)
	}
	c.logDecision("maintenance", "", map[string]any{"wave": w.spec.Number, "machine": m.machine, "phase": p.String()})
}

// String returns the name of the phase for logs.
func (p maintenancePhase) String() string {
	return [...]string{"waits", "clears", "ordered", "down", "over"}[p]
}

// advanceWaves advances the open waves in ascending order of their numbers.
func (c *Core) advanceWaves() {
	c.readWaveRecords()
	if c.machines == nil || len(c.inventoryPending) > 0 {
		return
	}
	numbers := make([]int, 0, len(c.waves))
	for n := range c.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if w := c.waves[n]; w.record.known && w.reportedState != waveCompleted {
			c.advanceWave(w)
		}
	}
	c.updateCordons()
}

func (c *Core) advanceWave(w *wave) {
	busy, open := 0, 0
	for _, m := range w.machines {
		if c.isBusy(m) {
			busy++
		}
		if m.phase < maintenanceDown {
			open++
		}
	}
	if open == 0 {
		w.reportedState = waveCompleted
		c.actions = append(c.actions, &WaveAction{Wave: w.spec.Number, Completed: true})
		return
	}
	if w.reportedState == waveUnreported {
		w.reportedState = waveRunning
		c.actions = append(c.actions, &WaveAction{Wave: w.spec.Number})
	}
	for _, m := range c.nextMachines(w, max(1, w.spec.MaxUnavailable)-busy) {
		c.setPhase(w, m, maintenanceDraining)
	}
	for _, m := range w.machines {
		c.advanceMachine(w, m)
	}
}

// isBusy reports whether a machine counts towards the maximum of its wave. The list may show a maintenance that this leader has not
// requested.
func (c *Core) isBusy(m *maintenance) bool {
	return m.phase.isInProgress() || m.phase == maintenancePending && c.machines[m.machine].InMaintenance
}

// nextMachines returns at most limit pending machines, those with the lowest drain cost first.
func (c *Core) nextMachines(w *wave, limit int) []*maintenance {
	if limit <= 0 {
		return nil
	}
	var waiting []*maintenance
	for _, m := range w.machines {
		if m.phase == maintenancePending && !c.isBusy(m) {
			waiting = append(waiting, m)
		}
	}
	slices.SortFunc(waiting, func(a, b *maintenance) int {
		return cmp.Or(cmp.Compare(c.drainCost(a), c.drainCost(b)), cmp.Compare(a.machine, b.machine))
	})
	return waiting[:min(limit, len(waiting))]
}

// drainCost returns the cost of moving the runs on a machine. Service tasks weigh more, since each move reduces the
// availability of their job.
func (c *Core) drainCost(m *maintenance) int {
	worker := c.workerOf(m)
	if worker == nil {
		return 0
	}
	cost := 0
	for _, r := range worker.runs {
		cost++
		if r.task.step.spec.LongRunning {
			cost += serviceTaskDrainCost
		}
	}
	return cost
}

// serviceTaskDrainCost is the additional cost of moving a service task, relative to 1 for any other task.
const serviceTaskDrainCost = 10

func (c *Core) workerOf(m *maintenance) *worker {
	return c.workers[c.machines[m.machine].Worker]
}

// advanceMachine drains a machine and requests its maintenance when nothing runs there.
func (c *Core) advanceMachine(w *wave, m *maintenance) {
	switch m.phase {
	case maintenanceDraining:
	case maintenanceRequested:
		if c.now <= m.phaseSince+maintenanceRetryInterval {
			return
		}
	default:
		return
	}
	worker := c.workerOf(m)
	if worker != nil {
		m.worker = worker.info.ID
	}
	switch {
	case worker != nil && len(worker.runs) > 0:
		c.drainWorker(w, m, worker)
	case m.recorded < maintenanceRequested:
		// A new leader must know of the request, whose outcome may be unknown then.
		w.record.changed = true
	default:
		c.requestMaintenance(w, m)
	}
}

func (c *Core) requestMaintenance(w *wave, m *maintenance) {
	c.setPhase(w, m, maintenanceRequested)
	m.phaseSince = c.now
	c.actions = append(c.actions, &MaintainAction{m.machine, w.spec.Number})
}

// drainWorker moves the runs on a machine elsewhere: service tasks within the disruption budget of their steps, tasks
// with checkpoints at once, others after they have had time to finish.
func (c *Core) drainWorker(w *wave, m *maintenance, worker *worker) {
	force := c.now > m.phaseSince+drainTimeout || c.now > w.startedAt+w.spec.Duration*3/4
	for _, r := range worker.runs {
		if r.phase != phaseRunning {
			continue
		}
		s := r.task.step
		switch {
		case s.spec.LongRunning:
			if c.unavailableTasks(s, r) < max(1, s.spec.MaxUnavailable) {
				c.stopRun(r, "machine maintenance")
			}
		case s.spec.Checkpoints || force:
			c.stopRun(r, "machine maintenance")
		}
	}
}

// unavailableTasks counts the tasks of a step that are unavailable, not counting the task of the run except.
func (c *Core) unavailableTasks(s *step, except *run) int {
	n := 0
	for _, t := range s.tasks {
		if t != except.task && !t.isAvailable() {
			n++
		}
	}
	return n
}

// isAvailable reports whether a service task is serving its users.
func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.progressPercent >= 100 {
			return true
		}
	}
	return false
}

// MaintainResult records the outcome of a maintenance request.
func (c *Core) MaintainResult(a *MaintainAction, refusal backend.MachineRefusal, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.waves[a.Wave]
	if w == nil || w.machines[a.Machine] == nil {
		return
	}
	m := w.machines[a.Machine]
	fields := map[string]any{"wave": a.Wave, "machine": a.Machine, "refusal": refusal}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.logDecision("maintenance_answer", "", fields)
	switch {
	case err != nil || refusal == backend.MachineBusy:
		m.phaseSince = c.now
	case refusal == backend.MachineFenced:
		c.superseded = true
	case refusal != "":
		c.setPhase(w, m, maintenanceFinished)
		w.record.changed = true
	case m.phase < maintenanceDown:
		c.setPhase(w, m, maintenanceDown)
		c.retireWorker(m)
		w.record.changed = true
	}
	c.signalWake()
}

// WaveResult records whether the state of a wave was reported to the operator.
func (c *Core) WaveResult(a *WaveAction, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waves[a.Wave]
	if err == nil || w == nil {
		return
	}
	// The state is reported again in the next round.
	if a.Completed {
		w.reportedState = waveRunning
	} else {
		w.reportedState = waveUnreported
	}
}
