package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// stepAdvice is what the placement policy said about a step. The answer for a worker does not change; only its ticket runs
// out.
type stepAdvice struct {
	good map[string]ticket
	bad  map[string]struct{}
	// asking is the question that waits for an answer, or nil.
	asking *question
	// retryAt keeps a failed question from being repeated at once.
	retryAt Instant
}

type ticket struct {
	value   string
	expires Instant
}

// ticketMargin is left for an order to reach the worker before its ticket runs out.
const ticketMargin = 60 * time.Millisecond

func (t ticket) holds(now Instant) bool { return t.expires > now+ticketMargin }

func (a *stepAdvice) init() {
	a.good = map[string]ticket{}
	a.bad = map[string]struct{}{}
}

// forgetTicket makes a worker be asked about again.
func (a *stepAdvice) forgetTicket(id string) {
	if t, ok := a.good[id]; ok {
		t.expires = 0
		a.good[id] = t
	}
}

// question asks which workers may run a step.
type question struct {
	step     *step
	workers  []string
	expected time.Duration
}

// long reports whether a question keeps an adviser from short ones.
func (q *question) long() bool { return q.expected > longQuestion }

// longQuestion separates the questions that may not take every adviser.
const longQuestion = 150 * time.Millisecond

// adviser is an instance by way of which placement advice is asked. The policy serves one call of an instance at a time.
type adviser struct {
	name       string
	busy       *question
	pauseUntil Instant
	gone       bool
}

// SetAdvisers names the instances by way of which placement advice can be asked.
func (c *Core) SetAdvisers(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.advisers {
		a.gone = !slices.Contains(names, a.name)
		if a.gone && a.busy == nil {
			delete(c.advisers, a.name)
		}
	}
	for _, name := range names {
		if c.advisers[name] == nil {
			c.advisers[name] = &adviser{name: name}
			c.note("adviser_joined", "", map[string]any{"adviser": name, "advisers": len(c.advisers)})
		}
	}
	c.poke()
}

// ask gives the free advisers the most urgent questions.
func (c *Core) ask() {
	free, long, total := c.freeAdvisers()
	if len(free) == 0 {
		return
	}
	longLimit := total - shortReserve(total)
	for _, s := range c.ordered() {
		if len(free) == 0 {
			return
		}
		q := c.questionFor(s)
		if q == nil || (q.long() && long >= longLimit) {
			continue
		}
		if q.long() {
			long++
		}
		c.send(free[0], q)
		free = free[1:]
	}
}

// freeAdvisers returns the advisers without a question, how many have a long one, and how many there are.
func (c *Core) freeAdvisers() (free []*adviser, long, total int) {
	for _, a := range c.advisers {
		if a.gone {
			continue
		}
		total++
		switch {
		case a.busy != nil:
			if a.busy.long() {
				long++
			}
		case c.now >= a.pauseUntil:
			free = append(free, a)
		}
	}
	slices.SortFunc(free, func(a, b *adviser) int { return cmp.Compare(a.name, b.name) })
	return free, long, total
}

// shortReserve is the number of advisers that long questions leave to short ones.
func shortReserve(total int) int {
	if total <= 1 {
		return 0
	}
	return (total + 2) / 3
}

// questionFor returns the question that a step needs answered now, or nil.
func (c *Core) questionFor(s *step) *question {
	advice := s.job.queue.Advice
	if advice == nil || s.advice.asking != nil || c.now < s.advice.retryAt || c.blocked(s) || len(s.waiting) == 0 {
		return nil
	}
	workers := c.worthAsking(s)
	if len(workers) == 0 {
		return nil
	}
	ms := advice.DecisionMS + advice.PerWorkerMS*float64(len(workers))
	return &question{step: s, workers: workers, expected: time.Duration(ms * float64(time.Millisecond))}
}

const (
	// maxAsked bounds the workers of one question. The users' objective counts a call on 30 workers a step.
	maxAsked = 30
	// spareAsked is how many more workers are asked about than the expected share of good ones needs.
	spareAsked = 2
	// tasksPerWorker is how many tasks of a step are expected to share a worker.
	tasksPerWorker = 2
)

// worthAsking returns the workers to ask about: those known to be good whose tickets have run out, then unknown ones with
// the most room.
func (c *Core) worthAsking(s *step) []string {
	type option struct {
		id    string
		known bool
		score float64
	}
	var options []option
	for id, w := range c.workers {
		held, good := s.advice.good[id]
		if _, bad := s.advice.bad[id]; bad || (good && held.holds(c.now)) || !c.eligible(w, s, nil) {
			continue
		}
		options = append(options, option{id, good, c.score(w, s)})
	}
	slices.SortFunc(options, func(a, b option) int {
		if a.known != b.known {
			if a.known {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	limit := c.askCount(s)
	ids := make([]string, 0, limit)
	room := 0.0
	for _, o := range options {
		if len(ids) == maxAsked || (room >= float64(limit) && len(ids) > 0) {
			break
		}
		ids = append(ids, o.id)
		room++
		if o.known {
			room += 1/c.shareOfGood(s) - 1
		}
	}
	return ids
}

// askCount is how many unknown workers must be asked about so that the waiting tasks are expected to find room.
func (c *Core) askCount(s *step) int {
	per := tasksPerWorker
	if s.spec.MaxPerWorker > 0 {
		per = min(per, s.spec.MaxPerWorker)
	}
	need := float64(len(s.waiting)) / (float64(per) * c.shareOfGood(s))
	return min(int(math.Ceil(need))+spareAsked, maxAsked)
}

const (
	// firstGoodShare is assumed of a queue about which nothing was asked yet.
	firstGoodShare = 0.5
	// leastGoodShare bounds the number of workers asked about.
	leastGoodShare = 0.15
	// goodShareWeight is the weight of one answer in the mean.
	goodShareWeight = 0.2
)

func (c *Core) shareOfGood(s *step) float64 {
	if share, ok := c.goodShare[s.job.queue.Name]; ok {
		return max(share, leastGoodShare)
	}
	return firstGoodShare
}

func (c *Core) send(a *adviser, q *question) {
	a.busy = q
	q.step.advice.asking = q
	c.actions = append(c.actions, &AdviseAction{
		Adviser: a.name, Step: q.step.name, Workers: q.workers, Expected: q.expected, question: q,
	})
	c.note("advice_asked", q.step.job.id, map[string]any{
		"step": q.step.name, "workers": len(q.workers), "adviser": a.name, "expected_ms": q.expected.Milliseconds(),
		"waiting": len(q.step.waiting), "waited_ms": (c.now - q.step.became).Milliseconds(),
	})
}

// adviserPause keeps questions from an instance that gave no answer.
const adviserPause = 500 * time.Millisecond

// AdviceResult enters the answer to a question.
func (c *Core) AdviceResult(a *AdviseAction, good []backend.Ticket, validity time.Duration, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	q := a.question
	q.step.advice.asking = nil
	if by := c.advisers[a.Adviser]; by != nil && by.busy == q {
		by.busy = nil
		if err != nil {
			by.pauseUntil = c.now + adviserPause
		}
		if by.gone {
			delete(c.advisers, by.name)
		}
	}
	c.poke()
	if err != nil {
		c.note("advice_failed", q.step.job.id, map[string]any{
			"step": q.step.name, "adviser": a.Adviser, "error": err.Error(), "verdict": verdict.Of(err).String(),
		})
		return
	}
	c.learn(q, good, validity)
}

// learn enters the tickets. Validity counts from the answer; the margin covers its way.
func (c *Core) learn(q *question, good []backend.Ticket, validity time.Duration) {
	s := q.step
	for _, g := range good {
		s.advice.good[g.Worker] = ticket{g.Ticket, c.now + validity - ticketMargin}
	}
	for _, id := range q.workers {
		if _, ok := s.advice.good[id]; !ok {
			s.advice.bad[id] = struct{}{}
		}
	}
	share := float64(len(good)) / float64(len(q.workers))
	name := s.job.queue.Name
	if old, ok := c.goodShare[name]; ok {
		share = old + goodShareWeight*(share-old)
	}
	c.goodShare[name] = share
	c.note("advice_answered", s.job.id, map[string]any{"step": s.name, "asked": len(q.workers), "good": len(good)})
}
