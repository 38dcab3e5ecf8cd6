package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// wave is a request for the maintenance of machines.
type wave struct {
	spec     backend.Wave
	began    Instant
	machines map[string]*maintenance
	// reported is the state that the operator has.
	reported waveState
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
	// since is when the phase began.
	since Instant
}

// maintenancePhase is how far a machine is.
type maintenancePhase uint8

const (
	// maintenanceWaits: the machine serves.
	maintenanceWaits maintenancePhase = iota
	// maintenanceClears: nothing new starts there and what runs moves away.
	maintenanceClears
	// maintenanceOrdered: the order is on its way or its outcome unknown.
	maintenanceOrdered
	// maintenanceDown: the maintenance has begun.
	maintenanceDown
	// maintenanceOver: the machine is up again, or needs no maintenance.
	maintenanceOver
)

const (
	// clearTimeout is how long tasks without a checkpoint may go on before a machine is cleared by force.
	clearTimeout = 3 * time.Second
	// maintainRetry is the time between orders for a machine that was busy or gave no answer.
	maintainRetry = 500 * time.Millisecond
	// downAtLeast is how long a machine counts as down after the order, whatever a list that was read before says.
	downAtLeast = time.Second
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
	w := &wave{spec: spec, began: c.now, machines: map[string]*maintenance{}}
	for _, id := range spec.Machines {
		w.machines[id] = &maintenance{machine: id}
	}
	c.waves[spec.Number] = w
	c.note("wave_added", "", map[string]any{"wave": spec.Number, "machines": len(spec.Machines), "max": spec.Max})
	c.poke()
}

// NeedsMachines reports whether a wave is open, so that the list of machines is needed.
func (c *Core) NeedsMachines() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waves {
		if w.reported != waveCompleted {
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
	c.poke()
}

// observeMachine notes a machine that is up again, or that no longer exists.
func (c *Core) observeMachine(w *wave, m *maintenance, read Instant) {
	listed, ok := c.machines[m.machine]
	switch {
	case !ok:
		c.setPhase(w, m, maintenanceOver)
	case m.phase == maintenanceDown && listed.Up && read > m.since+downAtLeast:
		c.setPhase(w, m, maintenanceOver)
	}
}

func (c *Core) setPhase(w *wave, m *maintenance, p maintenancePhase) {
	if m.phase == p {
		return
	}
	m.phase = p
	m.since = c.now
	c.note("maintenance", "", map[string]any{"wave": w.spec.Number, "machine": m.machine, "phase": p.String()})
}

// String returns the name of a phase for logs.
func (p maintenancePhase) String() string {
	return [...]string{"waits", "clears", "ordered", "down", "over"}[p]
}

// driveWaves moves the open waves on, lower numbers first.
func (c *Core) driveWaves() {
	for _, w := range c.waves {
		if w.reported == waveUnreported {
			w.reported = waveRunning
			c.actions = append(c.actions, &WaveAction{Wave: w.spec.Number})
		}
	}
	if c.machines == nil || len(c.unread) > 0 {
		return
	}
	numbers := make([]int, 0, len(c.waves))
	for n := range c.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if w := c.waves[n]; w.reported != waveCompleted {
			c.driveWave(w)
		}
	}
}

func (c *Core) driveWave(w *wave) {
	busy, open := 0, 0
	for _, m := range w.machines {
		switch m.phase {
		case maintenanceClears, maintenanceOrdered, maintenanceDown:
			busy++
		}
		if m.phase < maintenanceDown {
			open++
		}
	}
	if open == 0 {
		w.reported = waveCompleted
		c.actions = append(c.actions, &WaveAction{Wave: w.spec.Number, Completed: true})
		return
	}
	for _, m := range c.nextMachines(w, max(1, w.spec.Max)-busy) {
		c.setPhase(w, m, maintenanceClears)
	}
	for _, m := range w.machines {
		c.driveMachine(w, m)
	}
}

// nextMachines returns the waiting machines on which the least would have to move, at most limit.
func (c *Core) nextMachines(w *wave, limit int) []*maintenance {
	if limit <= 0 {
		return nil
	}
	var waiting []*maintenance
	for _, m := range w.machines {
		if m.phase == maintenanceWaits {
			waiting = append(waiting, m)
		}
	}
	slices.SortFunc(waiting, func(a, b *maintenance) int {
		return cmp.Or(cmp.Compare(c.movingCost(a), c.movingCost(b)), cmp.Compare(a.machine, b.machine))
	})
	return waiting[:min(limit, len(waiting))]
}

// movingCost weighs the runs on a machine; tasks that last weigh more, since each costs its job availability.
func (c *Core) movingCost(m *maintenance) int {
	worker := c.workerOf(m)
	if worker == nil {
		return 0
	}
	cost := 0
	for _, r := range worker.runs {
		cost++
		if r.task.step.spec.Lasting {
			cost += lastingMoveCost
		}
	}
	return cost
}

// lastingMoveCost is what moving a task that lasts weighs against moving another one.
const lastingMoveCost = 10

func (c *Core) workerOf(m *maintenance) *worker {
	return c.workers[c.machines[m.machine].Worker]
}

// driveMachine clears a machine and orders its maintenance when nothing runs there.
func (c *Core) driveMachine(w *wave, m *maintenance) {
	switch m.phase {
	case maintenanceClears:
		if worker := c.workerOf(m); worker != nil && len(worker.runs) > 0 {
			worker.cordoned = true
			c.clear(w, m, worker)
			return
		}
		if worker := c.workerOf(m); worker != nil {
			worker.cordoned = true
		}
		c.order(w, m)
	case maintenanceOrdered:
		if c.now > m.since+maintainRetry {
			c.order(w, m)
		}
	}
}

func (c *Core) order(w *wave, m *maintenance) {
	c.setPhase(w, m, maintenanceOrdered)
	m.since = c.now
	c.actions = append(c.actions, &MaintainAction{m.machine, w.spec.Number})
}

// clear moves what runs on a machine away: tasks that last as far as their jobs can miss them, tasks with a checkpoint at
// once, others when they have had time to end.
func (c *Core) clear(w *wave, m *maintenance, worker *worker) {
	hurry := c.now > m.since+clearTimeout || c.now > w.began+w.spec.Duration*3/4
	for _, r := range worker.runs {
		if r.phase != phaseRunning {
			continue
		}
		s := r.task.step
		switch {
		case s.spec.Lasting:
			if c.away(s, r) < max(1, s.spec.MaxUnavailable) {
				c.stopRun(r, "machine maintenance")
			}
		case s.spec.Checkpoints || hurry:
			c.stopRun(r, "machine maintenance")
		}
	}
}

// away counts the tasks of a step, other than that of a run, that are not at work.
func (c *Core) away(s *step, except *run) int {
	n := 0
	for _, t := range s.tasks {
		if t != except.task && !t.atWork() {
			n++
		}
	}
	return n
}

// atWork reports whether a task that lasts serves its users.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.percent >= 100 {
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
	c.note("maintenance_answer", "", fields)
	switch {
	case err != nil || refusal == backend.MachineBusy:
		m.since = c.now
	case refusal == backend.MachineFenced:
		c.superseded = true
	case refusal != "":
		c.setPhase(w, m, maintenanceOver)
	default:
		c.setPhase(w, m, maintenanceDown)
	}
	c.poke()
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
		w.reported = waveRunning
	} else {
		w.reported = waveUnreported
	}
}
