package cell

import "time"

const (
	// maxReservingSteps limits the steps for which capacity is reserved at the same time.
	maxReservingSteps = 40
	// maxReservingServices limits the steps of services for which capacity is reserved at the same time. They are planned apart from others: many of
	// them may wait for workers that have no room for a long time.
	maxReservingServices = 8
	// maxReservedShare limits the share of the processor capacity that is reserved. The most urgent step may exceed it. With
	// a larger share many gangs hold a part of what they need each.
	maxReservedShare = 0.35
	// maxExploringShare is the share up to which the next steps look for workers.
	maxExploringShare = 0.55
	// maxBlockedPlans limits the steps that cannot start soon and are planned again in one sweep.
	maxBlockedPlans = 20
)

// planningTurn says how far the preparations for a step go. Requests for advice and reserved capacity are limited, so that
// the steps at the head of the queue get all that they need soon, in place of many steps that each get a part.
type planningTurn uint8

const (
	// turnWait: others are before the step.
	turnWait planningTurn = iota
	// turnExplore: the step looks for workers that it may use.
	turnExplore
	// turnReserve: capacity is reserved for the step, and tickets are renewed.
	turnReserve
)

// String returns the name of a turn in the log.
func (t planningTurn) String() string {
	switch t {
	case turnExplore:
		return "explore"
	case turnReserve:
		return "reserve"
	default:
		return "wait"
	}
}

// plannedShare is the demand of the steps that have their turn, apart from those that cannot start soon.
type plannedShare struct {
	core          *Core
	capacity, cpu int64
	steps         int
	// maxSteps limits the steps that have their turn.
	maxSteps int
	// blocked counts the steps that have their turn and cannot start soon.
	blocked int
}

// turnOf returns the turn of the next step in the order of the ranks.
func (p *plannedShare) turnOf(s *step) planningTurn {
	switch share := float64(p.cpu+p.waitingCPU(s)) / float64(max(p.capacity, 1)); {
	case p.steps == 0 || (share <= maxReservedShare && p.steps < p.maxSteps):
		return turnReserve
	case share <= maxExploringShare && p.steps < p.maxSteps:
		return turnExplore
	default:
		return turnWait
	}
}

// plannedWith returns the steps with which a step is planned.
func (c *Core) plannedWith(s *step) *plannedShare {
	if s.spec.LongRunning && !s.spec.Gang {
		return &c.plannedServices
	}
	return &c.planned
}

// resetPlanned prepares for turns of all steps.
func (c *Core) resetPlanned() {
	c.planned = plannedShare{core: c, capacity: c.totalCapacity().CPUMilli, maxSteps: maxReservingSteps}
	c.plannedServices = c.planned
	c.plannedServices.maxSteps = maxReservingServices
}

// add adds the demand of a step that has its turn.
func (p *plannedShare) add(s *step) {
	p.cpu += p.waitingCPU(s)
	p.steps++
}

// addBlocked adds a step that cannot start soon and returns the time after which it is planned again.
func (p *plannedShare) addBlocked() time.Duration {
	p.blocked++
	return sweepInterval * time.Duration(1+p.blocked/maxBlockedPlans)
}

// waitingCPU returns the processor demand in the ledger of the waiting tasks of a step that may start, in thousandths of a core.
func (p *plannedShare) waitingCPU(s *step) int64 {
	return s.allocatedDemand().CPUMilli * int64(p.core.startableTasks(s))
}

// cannotStartSoon reports whether the preparations for a step have come to nothing for now, so that others get its turn: its
// reservation has expired, or there is no plan and no worker left to ask about.
func (c *Core) cannotStartSoon(s *step) bool {
	if s.plan != nil {
		return s.turn == turnReserve && s.reservationAge.paused(c.now)
	}
	return len(s.advice.pending) == 0 && !c.mayFindWorkers(s)
}

// mayFindWorkers reports whether there is a worker that a step could use if the placement policy allows it.
func (c *Core) mayFindWorkers(s *step) bool {
	if s.job.queue.Advice == nil {
		return false
	}
	for id, w := range c.workers {
		c.effort.Planning++
		if _, approved := s.advice.approved[id]; approved || s.advice.isRejected(id) {
			continue
		}
		if c.usable(w, s, nil) && multiplesIn(w.info.Capacity, s.allocatedDemand()) > 0 {
			return true
		}
	}
	return false
}
