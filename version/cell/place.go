package cell

import (
	"cmp"
	"time"
)

// rank is the sort key of a step: lower values are placed first.
type rank struct {
	// excess means that the job is beyond the rate of its team.
	excess   bool
	priority int
	urgency  urgency
	// overShare means that the team has more than its share.
	overShare bool
	// sizeClass is that of the job if the step is late, otherwise 0.
	sizeClass   int
	objectiveAt Instant
	name        string
}

// rankOf ranks service tasks that must be restarted first, then orders by priority; jobs beyond the rate of their team come last.
// Within a priority, jobs that must go on soon to be on time come before late ones, and these before jobs with time to spare; those of teams over
// their share come after others. Late work comes in the order of the sizes of the jobs, and otherwise steps in the order of their objectives.
func (c *Core) rankOf(s *step) rank {
	j := s.job
	r := rank{priority: j.queue.Priority, objectiveAt: c.objectiveAt(j, s.occurrence.index), name: s.name}
	r.urgency = c.urgencyOf(s, r.objectiveAt)
	if r.urgency == late {
		r.sizeClass = c.sizeClass(j)
	}
	if j.team != nil {
		r.excess, r.overShare = c.isExcess(j), j.team.overShare
	}
	if s.spec.LongRunning && j.started {
		r.priority, r.excess = -1, false
	}
	return r
}

func (a rank) compare(b rank) int {
	if a.excess != b.excess {
		return lastIf(a.excess)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if a.urgency != b.urgency {
		return cmp.Compare(a.urgency, b.urgency)
	}
	if a.overShare != b.overShare {
		return lastIf(a.overShare)
	}
	if a.sizeClass != b.sizeClass {
		return cmp.Compare(a.sizeClass, b.sizeClass)
	}
	if a.objectiveAt != b.objectiveAt {
		return cmp.Compare(a.objectiveAt, b.objectiveAt)
	}
	return cmp.Compare(a.name, b.name)
}

// cannotWaitFor reports whether a step must not wait for another one that is in the queue behind it: one of a less urgent queue or, in the same
// queue, one that can wait, or late work of a larger job. A late step waits for a less urgent queue: its capacity is better left to steps on time.
func (a rank) cannotWaitFor(b rank) bool {
	switch {
	case a.priority != b.priority:
		return a.priority < b.priority && a.urgency != late
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	default:
		return a.sizeClass < b.sizeClass
	}
}

// lastIf returns the result of a comparison by a property that only one of the two has: what has it comes last.
func lastIf(first bool) int {
	if first {
		return 1
	}
	return -1
}

// placeReadySteps starts the waiting tasks for which a worker is available.
func (c *Core) placeReadySteps() {
	full := fullClasses{}
	for _, s := range c.ready.ranked {
		if !c.mayIssueStarts() {
			return
		}
		if !s.queuePosition.tryPlacement || len(s.waiting) == 0 || c.awaitsRecovery(s) {
			continue
		}
		s.queuePosition.tryPlacement = false
		if full.contains(s) || c.isHeldByTeam(s) {
			continue
		}
		if s.spec.Gang {
			c.placeGang(s)
		} else if c.placeTasks(s) {
			full.add(c, s)
		}
	}
}

// placeTasks starts the waiting tasks of a step for which a worker is available. It reports whether none is left for a task that avoids no worker.
func (c *Core) placeTasks(s *step) (full bool) {
	started := false
	for _, t := range s.waiting {
		if c.isHeldByTeam(s) {
			break
		}
		if !c.mayIssueStarts() {
			s.queuePosition.tryPlacement = true
			break
		}
		if c.mayRunUnread(t) {
			continue
		}
		w := c.selectWorker(s, t)
		if w == nil {
			if len(t.avoidedWorkers) == 0 && t.crashes.total() == 0 {
				// No worker is left for the other tasks either.
				full = true
				break
			}
			continue
		}
		c.startTask(t, w, t.lastRunNumber+1, t.checkpoint)
		started = true
	}
	if started {
		c.pruneWaiting(s)
	}
	return full
}

// selectWorker returns the worker with the highest score on which a task can start, or nil.
func (c *Core) selectWorker(s *step, t *task) *worker {
	if w := c.workers[t.placement.worker]; w != nil && c.mayUseRecord(w, t) {
		return w
	}
	var selected *worker
	bestScore := 0.0
	consider := func(w *worker) {
		c.effort.Placement++
		if !c.eligible(w, s, t) {
			return
		}
		if score := c.score(w, s); selected == nil || score > bestScore || (score == bestScore && w.info.ID < selected.info.ID) {
			selected, bestScore = w, score
		}
	}
	if s.job.queue.Advice == nil {
		for _, w := range c.workers {
			consider(w)
		}
		return selected
	}
	for id, approval := range s.advice.approved {
		if w := c.workers[id]; w != nil && approval.isValid(c.now) {
			consider(w)
		}
	}
	return selected
}

// hasTicket reports whether the placement policy allows a start on the worker now.
func (c *Core) hasTicket(w *worker, s *step) bool {
	return s.job.queue.Advice == nil || s.advice.approved[w.info.ID].isValid(c.now)
}

// eligible reports whether a task of a step may start on a worker now, apart from placement advice. t may be nil.
func (c *Core) eligible(w *worker, s *step, t *task) bool {
	if !c.usable(w, s, t) {
		return false
	}
	if s.spec.BestEffort && !c.hasIdleCPU(w, s) {
		return false
	}
	return c.capacityFor(w, s) > 0
}

// capacityFor returns how many tasks of a step fit into the capacity of a worker that is free and not reserved for others.
func (c *Core) capacityFor(w *worker, s *step) int {
	if w.isOverCapacity() {
		return 0
	}
	return c.limitTrials(w, s, multiplesIn(w.info.Capacity.Sub(w.allocated).Sub(c.reservedFor(w, s)), s.allocatedDemand()))
}

// usable reports whether a task of a step may start on a worker, provided that the free capacity suffices. t may be
// nil.
func (c *Core) usable(w *worker, s *step, t *task) bool {
	return c.obstacleOn(w, s) == noObstacle && (t == nil || (c.mayUse(w, t) && c.mayShare(w, t) && !c.risksAttempt(w, t)))
}

// obstacle is the reason why no task of a step may start on a worker, whatever its free capacity.
type obstacle uint8

const (
	noObstacle obstacle = iota
	// obstacleUnsuitable: the worker is of another service or lacks the label that the step requires.
	obstacleUnsuitable
	// obstacleUnknown: the entry or the inventory of the present boot is not known, or the worker is not recorded yet.
	obstacleUnknown
	// obstacleSilent: the worker has not answered lately.
	obstacleSilent
	// obstacleLeaving: the worker drains, or its machine waits for maintenance.
	obstacleLeaving
	// obstacleBlocked: starts are blocked shortly after a command or a poll has failed.
	obstacleBlocked
	// obstacleSuspect: tasks of several jobs have failed on the worker; see suspicion.
	obstacleSuspect
	// obstacleReserved: the worker is reserved for more urgent work, or for a task that may crash it.
	obstacleReserved
	// obstacleSpread: the worker has as many tasks of the step as it may have.
	obstacleSpread
)

// obstacleOn returns why no task of a step may start on a worker.
func (c *Core) obstacleOn(w *worker, s *step) obstacle {
	switch {
	case !w.suits(s):
		return obstacleUnsuitable
	case !w.listed || !w.entryIsCurrent() || !w.inventoryKnown || !c.isRecorded(w) || w.hasUnknownRuns:
		return obstacleUnknown
	case w.info.Draining || w.cordoned:
		return obstacleLeaving
	case c.now < w.startsBlockedUntil:
		return obstacleBlocked
	case !c.mayTry(w, s):
		return obstacleSuspect
	case c.isClosed(w):
		return obstacleSilent
	case c.now > w.clockReceivedAt+maxClockAge:
		return obstacleSilent
	case w.isReservedAgainst(s, c.now) || c.hasIsolatedRun(w, s):
		return obstacleReserved
	case s.spec.MaxPerWorker > 0 && s.runsPerWorker[w] >= s.spec.MaxPerWorker:
		return obstacleSpread
	default:
		return noObstacle
	}
}

const (
	// maxClockAge prevents starts on workers that have not answered for longer than an idle poll takes.
	maxClockAge = 3500 * time.Millisecond
	// bestEffortTimeout is how long a best-effort step waits for a worker with enough idle processor time.
	bestEffortTimeout = 1500 * time.Millisecond
)

// hasIdleCPU reports whether the idle processor time of a worker suffices for another best-effort task. After
// bestEffortTimeout any worker is accepted.
func (c *Core) hasIdleCPU(w *worker, s *step) bool {
	if c.now > s.readyAt+bestEffortTimeout {
		return true
	}
	return w.freeCPUMilli()-w.bestEffortCPUMilli >= s.spec.TaskDemand.CPUMilli
}

// score rates a worker for a step; higher is better. The rack of the data counts most, then idle processor time. Tasks
// with a latency objective and best-effort tasks are kept apart.
func (c *Core) score(w *worker, s *step) float64 {
	capacity := float64(max(w.info.Capacity.CPUMilli, 1))
	v := float64(w.freeCPUMilli()-w.reservedCPUMilli(s)-w.bestEffortCPUMilli/2) / capacity
	if s.spec.BestEffort {
		v = float64(w.freeCPUMilli()-w.bestEffortCPUMilli) / capacity
		v -= servingPenalty * float64(w.servingRuns())
	}
	if s.spec.LongRunning && w.bestEffortCPUMilli > 0 {
		v--
	}
	if s.spec.LongRunning && c.hasLongLeases(w) {
		v -= longLeasePenalty
	}
	if w.health.suspicion.isActiveAt(c.now) {
		v -= suspectPenalty
	}
	v += c.speedScore(w, s)
	if s.spec.DataRack != "" && !w.isOnRack(s.spec.DataRack) {
		v -= remoteRackPenalty
	}
	return v
}

const (
	// servingPenalty reduces the score for a best-effort task for each run with a latency objective on the worker.
	servingPenalty = 0.5
	// longLeasePenalty reduces the score for a service task on a worker that has started again lately, by more than idle processor time
	// can outweigh. If that worker is lost too, the task stays away until its long leases have ended.
	longLeasePenalty = 5
	// remoteRackPenalty is large enough to rank every worker on the rack of the data before any other.
	remoteRackPenalty = 10
)

// servingRuns counts the runs with a latency objective.
func (w *worker) servingRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.spec.TargetMS > 0 {
			n++
		}
	}
	return n
}
