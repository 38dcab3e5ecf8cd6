package cell

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// maxAdviceCandidates limits the workers that are compared for a request, apart from approved ones and those on the rack of the data.
	// Comparing all workers of a large cell would cost more than the better choice is worth.
	maxAdviceCandidates = 200
	// maxAdviceExamined limits the workers that are examined for a request, apart from the same ones. The next attempt begins at others.
	maxAdviceExamined = 400
)

// adviceCandidate is a worker to ask about.
type adviceCandidate struct {
	id       string
	approved bool
	score    float64
}

// candidateSearch looks for the workers to ask about for a step.
type candidateSearch struct {
	core  *Core
	step  *step
	found []adviceCandidate
	// seen are the workers that were examined in more than one way.
	seen map[*worker]struct{}
}

// adviceCandidates returns the workers to ask about: first approved ones whose tickets have expired, then those without
// advice, the ones with the most free capacity first. In a large cell the latter are the best of a sample of those with capacity. A step
// that has found none shortly before only looks at workers whose capacity has become free since.
func (c *Core) adviceCandidates(s *step) []string {
	search := candidateSearch{core: c, step: s}
	search.considerApproved()
	if s.spec.DataRack != "" {
		search.considerAll(c.byRack.workersOn(c, s.spec.DataRack))
	}
	freed, known := c.ready.freedSince(s)
	if c.now < s.queuePosition.nextAdviceAt && known {
		search.considerAll(freed)
	} else {
		search.considerSample()
	}
	return search.choose()
}

// considerApproved considers the workers that the policy allows, whose tickets may have expired.
func (f *candidateSearch) considerApproved() {
	for id := range f.step.advice.approved {
		if w := f.core.workers[id]; w != nil {
			f.consider(w)
		}
	}
}

// considerAll considers some workers, each once.
func (f *candidateSearch) considerAll(workers []*worker) {
	if f.seen == nil {
		f.seen = make(map[*worker]struct{}, len(workers))
	}
	for _, w := range workers {
		if _, again := f.seen[w]; again {
			continue
		}
		f.seen[w] = struct{}{}
		if _, approved := f.step.advice.approved[w.info.ID]; !approved {
			f.consider(w)
		}
	}
}

// considerSample considers workers with free capacity until there are enough.
func (f *candidateSearch) considerSample() {
	examined, found := 0, len(f.found)
	f.core.free.atLeast(f.core.neededCPUMilli(f.step), func(w *worker) bool {
		examined++
		if _, again := f.seen[w]; again {
			return examined < maxAdviceExamined
		}
		if _, approved := f.step.advice.approved[w.info.ID]; !approved {
			f.consider(w)
		}
		return examined < maxAdviceExamined && len(f.found)-found < maxAdviceCandidates
	})
}

// neededCPUMilli returns the free processor time without which no task of a step starts on a worker now.
func (c *Core) neededCPUMilli(s *step) int64 {
	if s.spec.BestEffort && c.now > s.readyAt+bestEffortTimeout {
		return 0
	}
	return s.spec.TaskDemand.CPUMilli
}

// consider adds a worker if it can be asked about.
func (f *candidateSearch) consider(w *worker) {
	c, s := f.core, f.step
	c.effort.Advice++
	if !s.spec.BestEffort && w.freeCPUMilli() < s.spec.TaskDemand.CPUMilli {
		return
	}
	t, approved := s.advice.approved[w.info.ID]
	if s.advice.isRejected(w.info.ID) || (approved && t.isValid(c.now)) || !c.eligible(w, s, nil) {
		return
	}
	// What other steps ask about is likely to be taken before the answer to this request.
	taken := float64(w.askedCPUMilli) / float64(max(w.info.Capacity.CPUMilli, 1))
	f.found = append(f.found, adviceCandidate{w.info.ID, approved, c.score(w, s) - taken})
}

// choose returns the best of the workers that were found, as many as are expected to be needed.
func (f *candidateSearch) choose() []string {
	slices.SortFunc(f.found, func(a, b adviceCandidate) int {
		if a.approved != b.approved {
			return lastIf(b.approved)
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	limit := f.core.adviceWorkerCount(f.step)
	ids := make([]string, 0, limit)
	expectedCapacity := 0.0
	for _, candidate := range f.found {
		if len(ids) == maxAdviceWorkers || (expectedCapacity >= float64(limit) && len(ids) > 0) {
			break
		}
		ids = append(ids, candidate.id)
		expectedCapacity++
		if candidate.approved {
			expectedCapacity += 1/f.core.approvalRate(f.step) - 1
		}
	}
	return ids
}

// rackIndex holds the workers by rack as of a version of the fleet.
type rackIndex struct {
	fleetVersion uint64
	workers      map[string][]*worker
}

// workersOn returns the workers on a rack; see worker.isOnRack.
func (x *rackIndex) workersOn(c *Core, rack string) []*worker {
	if x.workers == nil || x.fleetVersion != c.fleetVersion {
		x.build(c)
	}
	return x.workers[strings.ToLower(rack)]
}

func (x *rackIndex) build(c *Core) {
	x.fleetVersion, x.workers = c.fleetVersion, map[string][]*worker{}
	for _, w := range c.workers {
		names := map[string]struct{}{strings.ToLower(w.rack): {}}
		for _, label := range w.info.Labels {
			names[strings.ToLower(label)] = struct{}{}
		}
		for name := range names {
			x.workers[name] = append(x.workers[name], w)
		}
	}
}
