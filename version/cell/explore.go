package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxGangAdviceRequests limits the outstanding requests of one gang.
	maxGangAdviceRequests = 6
	// ticketLead is how long before the capacity of a plan is free its tickets should be there.
	ticketLead = 50 * time.Millisecond
	// ticketReserve is the remaining validity after the expected start of a gang up to which tickets are renewed with others.
	ticketReserve = 500 * time.Millisecond
	// maxTicketsPerRequest limits the workers of a request that renews tickets. The policy accepts 100 workers.
	maxTicketsPerRequest = 60
	// wantedOpenings is the number of openings soon that a step looks for, and maxWantedOpenings that of all openings, as a
	// multiple of its waiting tasks.
	wantedOpenings, maxWantedOpenings = 1.25, 4
	// explorationSize is the number of workers in a request of a gang that looks for more workers. Most of the time of a
	// request does not depend on their number.
	explorationSize = 40
	// explorationRetryInterval is the time after which workers are looked for again if none had capacity.
	explorationRetryInterval = 100 * time.Millisecond
)

// gangAdviceRequest returns the next request for a gang, or nil: for the workers of its plan whose tickets would have expired
// when the gang can start, or for workers without advice while the approved ones do not suffice.
func (c *Core) gangAdviceRequest(s *step) *adviceRequest {
	if s.turn == turnWait || len(s.advice.pending) >= maxGangAdviceRequests {
		return nil
	}
	if s.plan != nil && s.turn == turnReserve {
		if workers := c.ticketsToRenew(s); len(workers) > 0 {
			return c.newAdviceRequest(s, workers)
		}
	}
	return c.explorationRequest(s, explorationSize)
}

// explorationRequest returns a request for up to limit workers without advice, or nil if none is needed.
func (c *Core) explorationRequest(s *step, limit int) *adviceRequest {
	workers, soon, total := c.workersToExplore(s, limit)
	if len(workers) == 0 {
		return nil
	}
	r := c.newAdviceRequest(s, workers)
	r.expectedSoon, r.expectedTotal = soon, total
	return r
}

// ticketsToRenew returns the workers of a plan that need a new ticket, as soon as the answer is expected to arrive shortly
// before their capacity is free. A request also names the workers whose tickets expire soon after its answer, so that all
// tickets are valid at the same time.
func (c *Core) ticketsToRenew(s *step) []string {
	answerIn := s.adviceDuration(len(s.plan.slots))
	if s.plan.freeAt > c.now+answerIn+ticketLead {
		return nil
	}
	startAt := max(s.plan.readyAt, c.now+answerIn)
	needed := false
	var ids []string
	for _, slot := range s.plan.slots {
		id := slot.worker.info.ID
		ticket := s.advice.approved[id]
		if s.advice.isPending(id) || ticket.isValid(startAt+ticketReserve) {
			continue
		}
		ids = append(ids, id)
		needed = needed || !ticket.isValid(s.plan.readyAt)
	}
	if !needed {
		return nil
	}
	for _, w := range s.plan.spares {
		if id := w.info.ID; !s.advice.isPending(id) && !s.advice.approved[id].isValid(startAt+ticketReserve) {
			ids = append(ids, id)
		}
	}
	return ids[:min(len(ids), maxTicketsPerRequest)]
}

// workersToExplore returns up to limit workers without advice to ask about, those with the most openings first, or nil if
// the approved workers and the outstanding requests are expected to suffice. It also returns the numbers of openings soon
// and in all that the answer is expected to yield.
func (c *Core) workersToExplore(s *step, limit int) (ids []string, soon, total float64) {
	if c.now < s.nextExplorationAt || c.missingOpenings(s) <= 0 {
		return nil, 0, 0
	}
	candidates := c.unexploredOpenings(s)
	if len(candidates) == 0 {
		s.nextExplorationAt = c.now + explorationRetryInterval
		return nil, 0, 0
	}
	slices.SortFunc(candidates, func(a, b candidateOpenings) int {
		return cmp.Or(cmp.Compare(b.soon, a.soon), cmp.Compare(b.total, a.total), cmp.Compare(a.id, b.id))
	})
	rate := c.approvalRate(s)
	for _, candidate := range candidates[:min(len(candidates), limit)] {
		ids = append(ids, candidate.id)
		soon += rate * float64(candidate.soon)
		total += rate * float64(candidate.total)
	}
	return ids, soon, total
}

// missingOpenings returns how many more openings a step looks for: more than it has tasks, so that it need not wait for the
// last of them, and soon, unless it has found several times as many that come later.
func (c *Core) missingOpenings(s *step) float64 {
	tasks := float64(c.placeableTasks(s))
	soon, total := float64(s.openingsSoon), float64(s.openingsTotal)
	for _, r := range s.advice.pending {
		soon += r.expectedSoon
		total += r.expectedTotal
	}
	return min(math.Ceil(wantedOpenings*tasks)-soon, math.Ceil(maxWantedOpenings*tasks)-total)
}

// soonFor returns the time up to which an opening counts as soon for a step: its tickets could be renewed until then.
func (c *Core) soonFor(s *step) Instant {
	if s.job.queue.Advice == nil {
		return c.now + openingResolution
	}
	return c.now + s.adviceDuration(maxAdviceWorkers) + openingResolution
}

// candidateOpenings is a worker without advice, with the number of tasks that it could run soon and within the horizon.
type candidateOpenings struct {
	id          string
	soon, total int
}

// unexploredOpenings returns the workers without advice and outstanding request that have openings for a step.
func (c *Core) unexploredOpenings(s *step) []candidateOpenings {
	soonAt := c.soonFor(s)
	var out []candidateOpenings
	for id, w := range c.workers {
		c.effort.Planning++
		if _, approved := s.advice.approved[id]; approved || s.advice.isRejected(id) || s.advice.isPending(id) {
			continue
		}
		times := c.openingTimes(w, s)
		if len(times) == 0 {
			continue
		}
		candidate := candidateOpenings{id: id, total: len(times)}
		for _, at := range times {
			if at <= soonAt {
				candidate.soon++
			}
		}
		out = append(out, candidate)
	}
	return out
}
