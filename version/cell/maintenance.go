package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// wave is a request for the maintenance of machines.
type wave struct {
	spec      backend.Wave
	startedAt Instant
	machines  map[string]*maintenance
	// reportedState is the state that the operator has.
	reportedState waveState
}

// waveState is the state of a wave as reported to the operator.
type waveState uint8

const (
	waveUnreported waveState = iota
	waveRunning
	waveCompleted
)

// maintenance is one machine of a wave.
type maintenance struct {
	machine string
	phase   maintenancePhase
	// phaseSince is when the phase began.
	phaseSince Instant
}

// maintenancePhase is how far a machine is.
type maintenancePhase uint8

const (
	// maintenancePending: the machine serves.
	maintenancePending maintenancePhase = iota
	// maintenanceDraining: nothing new starts there and what runs moves away.
	maintenanceDraining
	// maintenanceRequested: the order is on its way or its outcome unknown.
	maintenanceRequested
	// maintenanceDown: the maintenance has begun.
	maintenanceDown
	// maintenanceFinished: the machine is up again, or needs no maintenance.
	maintenanceFinished
)

const (
	// drainTimeout is how long tasks without a checkpoint may go on before a machine is cleared by force.
	drainTimeout = 3 * time.Second
	// maintenanceRetryInterval is the time between orders for a machine that was busy or gave no answer.
	maintenanceRetryInterval = 500 * time.Millisecond
	// minDowntime is how long a machine counts as down after the order, whatever a list that was read before says.
	minDowntime = time.Second
)

// MaintainAction begins the maintenance of a machine. The result goes to MaintainResult.
type MaintainAction struct {
	Machine string
	Wave    int
}

// WaveAction reports to the operator the state of a wave. The result goes to WaveReported.
type WaveAction struct {
	Wave      int
	Completed bool
}

// SetWave enters a request for maintenance. It is idempotent.
func (c *Core) SetWave(spec backend.Wave, now Instant) {
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
	c.logDecision("wave_added", "", map[string]any{"wave": spec.Number, "machines": len(spec.Machines), "max": spec.Max})
	c.signalWake()
}

// NeedsMachines reports whether a wave is open, so that the list of machines is needed.
func (c *Core) NeedsMachines() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waves {
		if w.reportedState != waveCompleted {
			return true
		}
	}
	return false
}

// SetMachines enters the list of machines as read at an instant.
func (c *Core) SetMachines(list []backend.Machine, read, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.machines = map[string]backend.Machine{}
	for _, m := range list {
		c.machines[m.ID] = m
	}
	for _, w := range c.waves {
		for _, m := range w.machines {
			c.observeMachine(w, m, read)
		}
	}
	c.signalWake()
}

// observeMachine notes a machine that is up again, or that no longer exists.
func (c *Core) observeMachine(w *wave, m *maintenance, read Instant) {
	listed, ok := c.machines[m.machine]
	switch {
	case !ok:
		c.setPhase(w, m, maintenanceFinished)
	case m.phase == maintenanceDown && listed.Up && read > m.phaseSince+minDowntime:
		c.setPhase(w, m, maintenanceFinished)
	}
}

func (c *Core) setPhase(w *wave, m *maintenance, p maintenancePhase) {
	if m.phase == p {
		return
	}
	m.phase = p
	m.phaseSince = c.now
	c.logDecision("maintenance", "", map[string]any{"wave": w.spec.Number, "machine": m.machine, "phase": p.String()})
}

// String returns the name of a phase for logs.
func (p maintenancePhase) String() string {
	return [...]string{"waits", "clears", "ordered", "down", "over"}[p]
}

// advanceWaves moves the open waves on, lower numbers first.
func (c *Core) advanceWaves() {
	for _, w := range c.waves {
		if w.reportedState == waveUnreported {
			w.reportedState = waveRunning
			c.actions = append(c.actions, &WaveAction{Wave: w.spec.Number})
		}
	}
	if c.machines == nil || len(c.inventoryPending) > 0 {
		return
	}
	numbers := make([]int, 0, len(c.waves))
	for n := range c.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if w := c.waves[n]; w.reportedState != waveCompleted {
			c.advanceWave(w)
		}
	}
}

func (c *Core) advanceWave(w *wave) {
	busy, open := 0, 0
	for _, m := range w.machines {
		switch m.phase {
		case maintenanceDraining, maintenanceRequested, maintenanceDown:
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
	for _, m := range c.nextMachines(w, max(1, w.spec.Max)-busy) {
		c.setPhase(w, m, maintenanceDraining)
	}
	for _, m := range w.machines {
		c.advanceMachine(w, m)
	}
}

// nextMachines returns the waiting machines on which the least would have to move, at most limit.
func (c *Core) nextMachines(w *wave, limit int) []*maintenance {
	if limit <= 0 {
		return nil
	}
	var waiting []*maintenance
	for _, m := range w.machines {
		if m.phase == maintenancePending {
			waiting = append(waiting, m)
		}
	}
	slices.SortFunc(waiting, func(a, b *maintenance) int {
		return cmp.Or(cmp.Compare(c.drainCost(a), c.drainCost(b)), cmp.Compare(a.machine, b.machine))
	})
	return waiting[:min(limit, len(waiting))]
}

// drainCost weighs the runs on a machine; tasks that last weigh more, since each costs its job availability.
func (c *Core) drainCost(m *maintenance) int {
	worker := c.workerOf(m)
	if worker == nil {
		return 0
	}
	cost := 0
	for _, r := range worker.runs {
		cost++
		if r.task.step.spec.Lasting {
			cost += serviceTaskDrainCost
		}
	}
	return cost
}

// serviceTaskDrainCost is what moving a task that lasts weighs against moving another one.
const serviceTaskDrainCost = 10

func (c *Core) workerOf(m *maintenance) *worker {
	return c.workers[c.machines[m.machine].Worker]
}

// advanceMachine clears a machine and orders its maintenance when nothing runs there.
func (c *Core) advanceMachine(w *wave, m *maintenance) {
	switch m.phase {
	case maintenanceDraining:
		if worker := c.workerOf(m); worker != nil && len(worker.runs) > 0 {
			worker.cordoned = true
			c.drainWorker(w, m, worker)
			return
		}
		if worker := c.workerOf(m); worker != nil {
			worker.cordoned = true
		}
		c.requestMaintenance(w, m)
	case maintenanceRequested:
		if c.now > m.phaseSince+maintenanceRetryInterval {
			c.requestMaintenance(w, m)
		}
	}
}

func (c *Core) requestMaintenance(w *wave, m *maintenance) {
	c.setPhase(w, m, maintenanceRequested)
	m.phaseSince = c.now
	c.actions = append(c.actions, &MaintainAction{m.machine, w.spec.Number})
}

// drainWorker moves what runs on a machine away: tasks that last as far as their jobs can miss them, tasks with a checkpoint at
// once, others when they have had time to end.
func (c *Core) drainWorker(w *wave, m *maintenance, worker *worker) {
	force := c.now > m.phaseSince+drainTimeout || c.now > w.startedAt+w.spec.Duration*3/4
	for _, r := range worker.runs {
		if r.phase != phaseRunning {
			continue
		}
		s := r.task.step
		switch {
		case s.spec.Lasting:
			if c.unavailableTasks(s, r) < max(1, s.spec.MaxUnavailable) {
				c.stopRun(r, "machine maintenance")
			}
		case s.spec.Checkpoints || force:
			c.stopRun(r, "machine maintenance")
		}
	}
}

// unavailableTasks counts the tasks of a step, other than that of a run, that are not at work.
func (c *Core) unavailableTasks(s *step, except *run) int {
	n := 0
	for _, t := range s.tasks {
		if t != except.task && !t.isAvailable() {
			n++
		}
	}
	return n
}

// isAvailable reports whether a task that lasts serves its users.
func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.progressPercent >= 100 {
			return true
		}
	}
	return false
}

// MaintainResult enters the answer to an order of maintenance.
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
	default:
		c.setPhase(w, m, maintenanceDown)
	}
	c.signalWake()
}

// WaveReported enters whether the state of a wave was reported to the operator.
func (c *Core) WaveReported(a *WaveAction, err error) {
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
