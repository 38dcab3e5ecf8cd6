package cell

import (
	"slices"

	"github.com/lentiltide/lentiltide/backend"
)

// feasibility is the answer of Core.isFeasible for a step, as of a version of the fleet; a version of 0 means that there is none.
type feasibility struct {
	fleetVersion uint64
	feasible     bool
}

// suitableCount is the answer of Core.suitableWorkers, as of a version of the fleet and a number of rejected workers.
type suitableCount struct {
	fleetVersion      uint64
	rejected, workers int
}

// isFeasible reports whether the listed workers that have answered could hold the waiting tasks of a step if nothing else ran there: all members
// of a gang, or one task of any other step. A step that cannot start must not keep others from their turns; workers may have
// shrunk, and grow again.
func (c *Core) isFeasible(s *step) bool {
	if s.feasibility.fleetVersion != c.fleetVersion {
		s.feasibility = feasibility{c.fleetVersion, c.fleetHolds(s)}
	}
	return s.feasibility.feasible
}

func (c *Core) fleetHolds(s *step) bool {
	missing := 1
	if s.spec.Gang {
		missing = len(s.tasks)
	}
	for _, w := range c.workers {
		c.effort.Planning++
		if !w.listed || !w.answered || w.info.Draining || !w.suits(s) || s.advice.isRejected(w.info.ID) {
			continue
		}
		fitting := multiplesIn(w.info.Capacity, s.allocatedDemand())
		if s.spec.MaxPerWorker > 0 {
			fitting = min(fitting, s.spec.MaxPerWorker)
		}
		if missing -= fitting; missing <= 0 {
			return true
		}
	}
	return false
}

// suitableWorkers returns the number of listed workers that suit a step and that the placement policy has not rejected.
func (c *Core) suitableWorkers(s *step) int {
	if s.suitable.fleetVersion == c.fleetVersion && s.suitable.rejected == len(s.advice.rejected) {
		return s.suitable.workers
	}
	n := 0
	for _, w := range c.workers {
		c.effort.Planning++
		if w.listed && !w.info.Draining && w.suits(s) && !s.advice.isRejected(w.info.ID) {
			n++
		}
	}
	s.suitable = suitableCount{c.fleetVersion, len(s.advice.rejected), n}
	return n
}

// suits reports whether a worker is of the service and has the label that a step needs.
func (w *worker) suits(s *step) bool {
	return w.info.Service == s.job.queue.Service && (s.spec.RequiredLabel == "" || w.hasLabel(s.spec.RequiredLabel))
}

// recordFleetChange makes the next isFeasible of each step look at the workers again if a registry entry differs from the
// former one in what decides it.
func (c *Core) recordFleetChange(former, entry backend.WorkerInfo, wasListed bool) {
	if !wasListed || former.Capacity != entry.Capacity || former.Draining != entry.Draining || former.Service != entry.Service ||
		!slices.Equal(former.Labels, entry.Labels) {
		c.fleetVersion++
	}
}
