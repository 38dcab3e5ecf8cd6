package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Steps of a backlog are mostly alike. If no worker is left for a task of one of them, none is left for those behind it in the same round, since
// capacity only decreases in a round, and a step may use no capacity that is reserved against one before it.

// demandClass is what decides whether a worker is left for a task of a simple step.
type demandClass struct {
	service, label string
	demand         model.Resources
	duration       time.Duration
	priority       int
}

// fullClasses are the classes for which no worker is left in a round.
type fullClasses map[demandClass]struct{}

// classOf returns the class of a step whose tasks any suitable worker with free capacity may run. ok is false for another step.
func classOf(s *step) (class demandClass, ok bool) {
	spec := s.spec
	if s.job.queue.Advice != nil || spec.Gang || spec.BestEffort || spec.LongRunning || spec.MaxPerWorker > 0 || s.plan != nil {
		return demandClass{}, false
	}
	return demandClass{s.job.queue.Service, spec.RequiredLabel, s.allocatedDemand(), s.estimatedDuration(), s.job.queue.Priority}, true
}

// contains reports whether no worker is left for a step.
func (f fullClasses) contains(s *step) bool {
	if len(f) == 0 {
		return false
	}
	class, ok := classOf(s)
	if !ok {
		return false
	}
	_, full := f[class]
	return full
}

// add records that no worker is left for an unrestricted task of a step.
func (f fullClasses) add(c *Core, s *step) {
	if class, ok := classOf(s); ok && !c.hasIsolatedRuns() {
		f[class] = struct{}{}
	}
}
