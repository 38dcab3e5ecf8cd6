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
	// pending are the outstanding requests: at most one, except for a gang.
	pending []*adviceRequest
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

// extra returns the number of workers with advice beyond those in the footprint of a step.
func (a *stepAdvice) extra() int { return max(0, len(a.approved)+len(a.rejected)-maxAdviceWorkers) }

// dropAdvice forgets the advice on a step that needs none any longer. Otherwise the workers would keep the step in memory.
func (c *Core) dropAdvice(s *step) {
	for id := range s.advice.approved {
		if w := c.workers[id]; w != nil {
			delete(w.watchers, s)
		}
	}
	s.job.extraAdvice -= s.advice.extra()
	s.advice.approved, s.advice.rejected = nil, nil
	c.account(s.job)
}

// isPending reports whether an outstanding request names the worker.
func (a *stepAdvice) isPending(id string) bool {
	for _, r := range a.pending {
		if slices.Contains(r.workers, id) {
			return true
		}
	}
	return false
}

// isRejected reports whether the policy does not allow the worker.
func (a *stepAdvice) isRejected(id string) bool {
	_, rejected := a.rejected[id]
	return rejected
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
	// dueAt is when the answer is expected.
	dueAt Instant
	// expectedSoon and expectedTotal are the numbers of openings that an exploration is expected to yield.
	expectedSoon, expectedTotal float64
	// askedCPUMilli is what the step is expected to use of each worker, as added to worker.askedCPUMilli.
	askedCPUMilli int64
}

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
	present := make(map[string]struct{}, len(names))
	for _, name := range names {
		present[name] = struct{}{}
	}
	for _, a := range c.advisers {
		_, stays := present[a.name]
		a.removed = !stays
		if a.removed && a.request == nil {
			delete(c.advisers, a.name)
		}
	}
	for _, name := range names {
		if c.advisers[name] == nil {
			c.advisers[name] = &adviser{name: name}
			c.logDecision("adviser_joined", "", map[string]any{"adviser": name, "advisers": len(c.advisers)})
			c.signalWake()
		}
	}
}

// sendAdviceRequests assigns the most urgent requests to the idle advisers. Slow requests leave some advisers to faster ones.
func (c *Core) sendAdviceRequests() {
	var idle []*adviser
	var busy busyAdvisers
	total := 0
	for _, s := range c.ready.ranked {
		if s.job.queue.Advice == nil || len(s.waiting) == 0 || !c.ready.mayAskAdvice(s, c.now) || c.awaitsRecovery(s) || c.isHeldByTeam(s) {
			continue
		}
		if total == 0 {
			idle, busy, total = c.idleAdvisers()
		}
		if len(idle) == 0 {
			return
		}
		speed := speedOf(s)
		for len(idle) > 0 && busy.admits(speed, total) {
			request := c.nextAdviceRequest(s)
			if request == nil {
				break
			}
			busy[speed]++
			c.sendAdviceRequest(idle[0], request)
			idle = idle[1:]
		}
	}
}

// adviceSpeed classifies the requests of a step by the duration of the largest of them.
type adviceSpeed uint8

const (
	fastAdvice adviceSpeed = iota
	mediumAdvice
	slowAdvice
	numAdviceSpeeds
)

const (
	// mediumAdviceThreshold and slowAdviceThreshold are the durations above which requests are of these speeds.
	mediumAdviceThreshold = 100 * time.Millisecond
	slowAdviceThreshold   = 400 * time.Millisecond
	// maxSlowShare and maxMediumShare limit the shares of the advisers with slow requests, and with slow or medium ones.
	maxSlowShare, maxMediumShare = 2.0 / 3, 0.85
)

func speedOf(s *step) adviceSpeed {
	switch d := s.adviceDuration(maxAdviceWorkers); {
	case d > slowAdviceThreshold:
		return slowAdvice
	case d > mediumAdviceThreshold:
		return mediumAdvice
	default:
		return fastAdvice
	}
}

// busyAdvisers counts the advisers with a request by its speed.
type busyAdvisers [numAdviceSpeeds]int

// admits reports whether another adviser may get a request of a speed. A single adviser serves all.
func (b busyAdvisers) admits(speed adviceSpeed, total int) bool {
	if total <= 1 || speed == fastAdvice {
		return true
	}
	slow, medium := int(math.Floor(maxSlowShare*float64(total))), int(math.Floor(maxMediumShare*float64(total)))
	if speed == slowAdvice && b[slowAdvice] >= slow {
		return false
	}
	return b[slowAdvice]+b[mediumAdvice] < medium
}

// idleAdvisers returns the idle advisers, the number of advisers with a request by its speed, and the number of all advisers.
func (c *Core) idleAdvisers() (idle []*adviser, busy busyAdvisers, total int) {
	for _, a := range c.advisers {
		if a.removed {
			continue
		}
		total++
		switch {
		case a.request != nil:
			busy[speedOf(a.request.step)]++
		case c.now >= a.pausedUntil:
			idle = append(idle, a)
		}
	}
	slices.SortFunc(idle, func(a, b *adviser) int { return cmp.Compare(a.name, b.name) })
	return idle, busy, total
}

// nextAdviceRequest returns the request that a step needs now, or nil. A gang may need several at once.
func (c *Core) nextAdviceRequest(s *step) *adviceRequest {
	var request *adviceRequest
	switch {
	case s.spec.Gang:
		request = c.gangAdviceRequest(s)
	case len(s.advice.pending) > 0:
		return nil
	default:
		if workers := c.adviceCandidates(s); len(workers) > 0 {
			request = c.newAdviceRequest(s, workers)
		} else if s.turn != turnWait && c.plansAhead(s) {
			request = c.explorationRequest(s, c.adviceWorkerCount(s))
		}
	}
	if request == nil {
		c.ready.noAdviceCandidates(s, c.now)
	}
	return request
}

func (c *Core) newAdviceRequest(s *step, workers []string) *adviceRequest {
	expected := s.adviceDuration(len(workers))
	return &adviceRequest{step: s, workers: workers, expected: expected, dueAt: c.now + expected}
}

// adviceDuration returns the expected duration of a request for advice on a number of workers. It is 0 if the queue needs
// none: a configuration may remove the advice while a request is outstanding.
func (s *step) adviceDuration(workers int) time.Duration {
	advice := s.job.queue.Advice
	if advice == nil {
		return 0
	}
	return time.Duration((advice.DecisionMS + advice.PerWorkerMS*float64(workers)) * float64(time.Millisecond))
}

const (
	// maxAdviceWorkers limits the workers of one request. The users' objective counts a call on 30 workers a step.
	maxAdviceWorkers = 30
	// extraAdviceWorkers is added to the number of workers that the expected approval rate requires.
	extraAdviceWorkers = 2
	// expectedTasksPerWorker is how many tasks of a step are expected to share a worker, unless it allows fewer.
	expectedTasksPerWorker = 2
)

// adviceWorkerCount returns how many workers without advice to ask about so that the waiting tasks are expected to be
// placed.
func (c *Core) adviceWorkerCount(s *step) int {
	needed := float64(c.startableTasks(s)) / (float64(s.expectedTasksPerWorker()) * c.approvalRate(s))
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
	request.askedCPUMilli = request.step.askedCPUMilli()
	c.addAskedDemand(request, request.askedCPUMilli)
	request.step.advice.pending = append(request.step.advice.pending, request)
	c.actions = append(c.actions, &AdviseAction{
		Adviser: a.name, Step: request.step.name, Workers: request.workers, Expected: request.expected, request: request,
	})
	c.logDecision("advice_asked", request.step.job.id, map[string]any{
		"step": request.step.name, "workers": len(request.workers), "adviser": a.name, "expected_ms": request.expected.Milliseconds(),
		"waiting": len(request.step.waiting), "waited_ms": (c.now - request.step.readyAt).Milliseconds(),
	})
}

// addAskedDemand adds a demand to worker.askedCPUMilli of the workers of a request.
func (c *Core) addAskedDemand(request *adviceRequest, cpuMilli int64) {
	for _, id := range request.workers {
		if w := c.workers[id]; w != nil {
			// The worker may have been added again since the request was sent.
			w.askedCPUMilli = max(0, w.askedCPUMilli+cpuMilli)
		}
	}
}

// askedCPUMilli returns the processor demand that a step which asks about a worker is expected to place there. It is 0 for a gang, which
// asks about more workers than it uses, and where the answer takes so long that the free capacity of now says little about then.
func (s *step) askedCPUMilli() int64 {
	if s.spec.Gang || speedOf(s) != fastAdvice {
		return 0
	}
	return s.allocatedDemand().CPUMilli * int64(s.expectedTasksPerWorker())
}

// expectedTasksPerWorker returns how many tasks of a step are expected to share a worker.
func (s *step) expectedTasksPerWorker() int {
	if s.spec.MaxPerWorker > 0 {
		return min(expectedTasksPerWorker, s.spec.MaxPerWorker)
	}
	return expectedTasksPerWorker
}

// adviserPause is how long no requests are sent through an instance that failed to answer.
const adviserPause = 500 * time.Millisecond

// AdviceResult records the outcome of a request for placement advice.
func (c *Core) AdviceResult(a *AdviseAction, approved []backend.Ticket, validity time.Duration, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	request := a.request
	request.step.advice.pending = slices.DeleteFunc(request.step.advice.pending, func(r *adviceRequest) bool { return r == request })
	c.addAskedDemand(request, -request.askedCPUMilli)
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
	if s.advice.approved == nil {
		// The step needs no advice any longer.
		return
	}
	extra := s.advice.extra()
	defer func() {
		s.job.extraAdvice += s.advice.extra() - extra
		c.account(s.job)
	}()
	asked, answered := 0, 0
	for _, id := range request.workers {
		if _, known := s.advice.approved[id]; !known {
			asked++
		}
	}
	for _, t := range approved {
		if _, known := s.advice.approved[t.Worker]; !known {
			answered++
		}
		s.advice.approved[t.Worker] = ticket{t.Ticket, c.now + validity - ticketMargin}
		c.ready.watch(s, c.workers[t.Worker])
	}
	s.queuePosition.tryPlacement = true
	for _, id := range request.workers {
		if _, ok := s.advice.approved[id]; !ok {
			s.advice.rejected[id] = struct{}{}
			s.feasibility = feasibility{}
		}
	}
	c.updateApprovalRate(s, asked, answered)
	s.nextPlanAt = 0
	c.logDecision("advice_answered", s.job.id, map[string]any{"step": s.name, "asked": len(request.workers), "good": len(approved)})
}

// updateApprovalRate records how many of the workers of a request that the step had no advice on were approved.
func (c *Core) updateApprovalRate(s *step, asked, approved int) {
	if asked == 0 {
		return
	}
	rate := float64(approved) / float64(asked)
	name := s.job.queue.Name
	if old, ok := c.approvalRates[name]; ok {
		rate = old + approvalRateWeight*(rate-old)
	}
	c.approvalRates[name] = rate
}
