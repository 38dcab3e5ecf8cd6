package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// stepAdvice is the advice of the placement policy for a step. The decision about a worker does not change; only its
// ticket expires.
type stepAdvice struct {
	approved map[string]ticket
	rejected map[string]struct{}
	// pending is the outstanding request, or nil.
	pending *adviceRequest
	// retryAt is the earliest time of the next request after a failed one.
	retryAt Instant
}

type ticket struct {
	value     string
	expiresAt Instant
}

// ticketMargin is the time reserved for a command to reach the worker before its ticket expires.
const ticketMargin = 60 * time.Millisecond

func (t ticket) isValid(now Instant) bool { return t.expiresAt > now+ticketMargin }

func (a *stepAdvice) init() {
	a.approved = map[string]ticket{}
	a.rejected = map[string]struct{}{}
}

// expireTicket causes a new ticket for the worker to be requested.
func (a *stepAdvice) expireTicket(id string) {
	if t, ok := a.approved[id]; ok {
		t.expiresAt = 0
		a.approved[id] = t
	}
}

// adviceRequest asks which workers may run a step.
type adviceRequest struct {
	step     *step
	workers  []string
	expected time.Duration
}

// isLong reports whether the request takes so long that it must leave advisers to short requests.
func (r *adviceRequest) isLong() bool { return r.expected > longAdviceThreshold }

// longAdviceThreshold is the expected duration above which a request counts as long. Long requests may not occupy all
// advisers.
const longAdviceThreshold = 150 * time.Millisecond

// adviser is an instance through which placement advice is requested. The policy serves one call per instance at a
// time.
type adviser struct {
	name        string
	request     *adviceRequest
	pausedUntil Instant
	removed     bool
}

// SetAdvisers sets the instances through which placement advice can be requested.
func (c *Core) SetAdvisers(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.advisers {
		a.removed = !slices.Contains(names, a.name)
		if a.removed && a.request == nil {
			delete(c.advisers, a.name)
		}
	}
	for _, name := range names {
		if c.advisers[name] == nil {
			c.advisers[name] = &adviser{name: name}
			c.logDecision("adviser_joined", "", map[string]any{"adviser": name, "advisers": len(c.advisers)})
		}
	}
	c.signalWake()
}

// sendAdviceRequests assigns the most urgent requests to the idle advisers.
func (c *Core) sendAdviceRequests() {
	idle, longRequests, total := c.idleAdvisers()
	if len(idle) == 0 {
		return
	}
	longLimit := total - advisersReservedForShort(total)
	for _, s := range c.rankedSteps() {
		if len(idle) == 0 {
			return
		}
		request := c.adviceRequestFor(s)
		if request == nil || (request.isLong() && longRequests >= longLimit) {
			continue
		}
		if request.isLong() {
			longRequests++
		}
		c.sendAdviceRequest(idle[0], request)
		idle = idle[1:]
	}
}

// idleAdvisers returns the idle advisers, the number of advisers with a long request, and the total number of advisers.
func (c *Core) idleAdvisers() (idle []*adviser, longRequests, total int) {
	for _, a := range c.advisers {
		if a.removed {
			continue
		}
		total++
		switch {
		case a.request != nil:
			if a.request.isLong() {
				longRequests++
			}
		case c.now >= a.pausedUntil:
			idle = append(idle, a)
		}
	}
	slices.SortFunc(idle, func(a, b *adviser) int { return cmp.Compare(a.name, b.name) })
	return idle, longRequests, total
}

// advisersReservedForShort returns the number of advisers that long requests leave to short ones.
func advisersReservedForShort(total int) int {
	if total <= 1 {
		return 0
	}
	return (total + 2) / 3
}

// adviceRequestFor returns the request that a step needs now, or nil.
func (c *Core) adviceRequestFor(s *step) *adviceRequest {
	advice := s.job.queue.Advice
	if advice == nil || s.advice.pending != nil || c.now < s.advice.retryAt || c.awaitsRecovery(s) || len(s.waiting) == 0 {
		return nil
	}
	workers := c.adviceCandidates(s)
	if len(workers) == 0 {
		return nil
	}
	ms := advice.DecisionMS + advice.PerWorkerMS*float64(len(workers))
	return &adviceRequest{step: s, workers: workers, expected: time.Duration(ms * float64(time.Millisecond))}
}

const (
	// maxAdviceWorkers limits the workers of one request. The users' objective counts a call on 30 workers a step.
	maxAdviceWorkers = 30
	// extraAdviceWorkers is added to the number of workers that the expected approval rate requires.
	extraAdviceWorkers = 2
	// expectedTasksPerWorker is how many tasks of a step are expected to share a worker.
	expectedTasksPerWorker = 2
)

// adviceCandidates returns the workers to ask about: first approved ones whose tickets have expired, then those without
// advice, the ones with the most free capacity first.
func (c *Core) adviceCandidates(s *step) []string {
	type candidate struct {
		id       string
		approved bool
		score    float64
	}
	var candidates []candidate
	for id, w := range c.workers {
		t, approved := s.advice.approved[id]
		if _, rejected := s.advice.rejected[id]; rejected || (approved && t.isValid(c.now)) || !c.eligible(w, s, nil) {
			continue
		}
		candidates = append(candidates, candidate{id, approved, c.score(w, s)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.approved != b.approved {
			if a.approved {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	limit := c.adviceWorkerCount(s)
	ids := make([]string, 0, limit)
	expectedCapacity := 0.0
	for _, candidate := range candidates {
		if len(ids) == maxAdviceWorkers || (expectedCapacity >= float64(limit) && len(ids) > 0) {
			break
		}
		ids = append(ids, candidate.id)
		expectedCapacity++
		if candidate.approved {
			expectedCapacity += 1/c.approvalRate(s) - 1
		}
	}
	return ids
}

// adviceWorkerCount returns how many workers without advice to ask about so that the waiting tasks are expected to be
// placed.
func (c *Core) adviceWorkerCount(s *step) int {
	perWorker := expectedTasksPerWorker
	if s.spec.MaxPerWorker > 0 {
		perWorker = min(perWorker, s.spec.MaxPerWorker)
	}
	needed := float64(len(s.waiting)) / (float64(perWorker) * c.approvalRate(s))
	return min(int(math.Ceil(needed))+extraAdviceWorkers, maxAdviceWorkers)
}

const (
	// defaultApprovalRate is assumed for a queue for which no advice has been received.
	defaultApprovalRate = 0.5
	// minApprovalRate is the lowest rate used for estimates, which limits the number of workers in a request.
	minApprovalRate = 0.15
	// approvalRateWeight is the weight of one answer in the moving average of the approval rate.
	approvalRateWeight = 0.2
)

func (c *Core) approvalRate(s *step) float64 {
	if rate, ok := c.approvalRates[s.job.queue.Name]; ok {
		return max(rate, minApprovalRate)
	}
	return defaultApprovalRate
}

func (c *Core) sendAdviceRequest(a *adviser, request *adviceRequest) {
	a.request = request
	request.step.advice.pending = request
	c.actions = append(c.actions, &AdviseAction{
		Adviser: a.name, Step: request.step.name, Workers: request.workers, Expected: request.expected, request: request,
	})
	c.logDecision("advice_asked", request.step.job.id, map[string]any{
		"step": request.step.name, "workers": len(request.workers), "adviser": a.name, "expected_ms": request.expected.Milliseconds(),
		"waiting": len(request.step.waiting), "waited_ms": (c.now - request.step.readyAt).Milliseconds(),
	})
}

// adviserPause is how long no requests are sent through an instance that failed to answer.
const adviserPause = 500 * time.Millisecond

// AdviceResult records the outcome of a request for placement advice.
func (c *Core) AdviceResult(a *AdviseAction, approved []backend.Ticket, validity time.Duration, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	request := a.request
	request.step.advice.pending = nil
	if adviser := c.advisers[a.Adviser]; adviser != nil && adviser.request == request {
		adviser.request = nil
		if err != nil {
			adviser.pausedUntil = c.now + adviserPause
		}
		if adviser.removed {
			delete(c.advisers, adviser.name)
		}
	}
	c.signalWake()
	if err != nil {
		c.logDecision("advice_failed", request.step.job.id, map[string]any{
			"step": request.step.name, "adviser": a.Adviser, "error": err.Error(), "verdict": verdict.Of(err).String(),
		})
		return
	}
	c.recordAdvice(request, approved, validity)
}

// recordAdvice stores the tickets and the rejected workers. The validity counts from the receipt of the answer;
// ticketMargin covers its transmission.
func (c *Core) recordAdvice(request *adviceRequest, approved []backend.Ticket, validity time.Duration) {
	s := request.step
	for _, t := range approved {
		s.advice.approved[t.Worker] = ticket{t.Ticket, c.now + validity - ticketMargin}
	}
	for _, id := range request.workers {
		if _, ok := s.advice.approved[id]; !ok {
			s.advice.rejected[id] = struct{}{}
		}
	}
	rate := float64(len(approved)) / float64(len(request.workers))
	name := s.job.queue.Name
	if old, ok := c.approvalRates[name]; ok {
		rate = old + approvalRateWeight*(rate-old)
	}
	c.approvalRates[name] = rate
	c.logDecision("advice_answered", s.job.id, map[string]any{"step": s.name, "asked": len(request.workers), "good": len(approved)})
}
