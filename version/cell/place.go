package cell

import (
	"cmp"
	"slices"
	"time"
)

// rank orders steps: lower values go first.
type rank struct {
	priority int
	late     bool
	due      Instant
	name     string
}

// rankOf puts lasting tasks that must run again first, then orders by priority. Within a priority, jobs that can still be
// on time come before late ones, the most urgent first.
func (c *Core) rankOf(s *step) rank {
	j := s.job
	r := rank{priority: j.queue.Priority, late: c.now > j.objective, due: j.objective, name: s.name}
	if s.spec.Lasting && j.started {
		r.priority = -1
	}
	return r
}

func (a rank) compare(b rank) int {
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if a.due != b.due {
		return cmp.Compare(a.due, b.due)
	}
	return cmp.Compare(a.name, b.name)
}

// ordered returns the steps with waiting tasks in the order in which they are served.
func (c *Core) ordered() []*step {
	type ranked struct {
		rank rank
		step *step
	}
	all := make([]ranked, 0, len(c.ready))
	for s := range c.ready {
		all = append(all, ranked{c.rankOf(s), s})
	}
	slices.SortFunc(all, func(a, b ranked) int { return a.rank.compare(b.rank) })
	steps := make([]*step, len(all))
	for i, r := range all {
		steps[i] = r.step
	}
	return steps
}

// place starts the waiting tasks that have a place.
func (c *Core) place() {
	for _, s := range c.ordered() {
		switch {
		case c.blocked(s):
		case s.spec.Gang:
			c.placeGang(s)
		default:
			c.placeTasks(s)
		}
	}
}

// blocked reports whether a former leader may have started tasks of a step on a worker that was not read yet.
func (c *Core) blocked(s *step) bool { return s.job.recovered && len(c.unread) > 0 }

func (c *Core) placeTasks(s *step) {
	started := false
	for _, t := range s.waiting {
		w := c.best(s, t, anywhere)
		if w == nil {
			continue
		}
		c.startTask(t, w, t.lastRun+1, t.saved)
		started = true
	}
	if started {
		c.unqueue(s)
	}
}

// best returns the allowed worker on which a task should start, or nil.
func (c *Core) best(s *step, t *task, allowed func(*worker) bool) *worker {
	var found *worker
	score := 0.0
	consider := func(w *worker) {
		if !allowed(w) || !c.eligible(w, s, t) {
			return
		}
		if v := c.score(w, s); found == nil || v > score || (v == score && w.info.ID < found.info.ID) {
			found, score = w, v
		}
	}
	if s.job.queue.Advice == nil {
		for _, w := range c.workers {
			consider(w)
		}
		return found
	}
	for id, held := range s.advice.good {
		if w := c.workers[id]; w != nil && held.holds(c.now) {
			consider(w)
		}
	}
	return found
}

// anywhere allows every worker.
func anywhere(*worker) bool { return true }

// eligible reports whether a task of a step may start on a worker now, apart from placement advice.
func (c *Core) eligible(w *worker, s *step, t *task) bool {
	if !c.usable(w, s, t) {
		return false
	}
	if s.spec.BestEffort && !c.leavesEnough(w, s) {
		return false
	}
	return w.fits(s.spec.Each, s.spec.BestEffort)
}

// usable reports whether a task of a step may start on a worker if it has room.
func (c *Core) usable(w *worker, s *step, t *task) bool {
	if !w.listed || !w.known || !w.isRecorded() || w.info.Draining || w.cordoned || w.foreign || c.now < w.blockedUntil || c.now < w.health.suspectUntil {
		return false
	}
	if w.info.Service != s.job.queue.Service || c.now > w.clockAt+maxStampAge || w.keeps(s, c.now) {
		return false
	}
	if s.spec.RequiredLabel != "" && !w.hasLabel(s.spec.RequiredLabel) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.perWorker[w] >= s.spec.MaxPerWorker {
		return false
	}
	if t != nil {
		if _, avoid := t.avoid[w.info.ID]; avoid && len(t.avoid) < len(c.workers) {
			return false
		}
	}
	return true
}

const (
	// maxStampAge keeps starts from workers that have not answered for longer than an idle poll takes.
	maxStampAge = 3500 * time.Millisecond
	// bestEffortTimeout is how long a best-effort step waits for a worker with enough unused processor time.
	bestEffortTimeout = 1500 * time.Millisecond
)

// leavesEnough reports whether the unused processor time of a worker carries a further best-effort task.
func (c *Core) leavesEnough(w *worker, s *step) bool {
	if c.now > s.became+bestEffortTimeout {
		return true
	}
	return w.freeCPU()-w.bestEffort >= s.spec.Each.CPUMilli
}

// score is higher for the better worker: one on the rack of the data, then one with much unused processor time. Tasks with
// a latency objective and best-effort tasks keep away from each other.
func (c *Core) score(w *worker, s *step) float64 {
	capacity := float64(max(w.info.Capacity.CPUMilli, 1))
	v := float64(w.freeCPU()-w.bestEffort/2) / capacity
	if s.spec.BestEffort {
		v = float64(w.freeCPU()-w.bestEffort) / capacity
		v -= servingPenalty * float64(w.serving())
	}
	if s.spec.Lasting && w.bestEffort > 0 {
		v--
	}
	if s.spec.DataRack != "" && !w.sameRack(s.spec.DataRack) {
		v -= farPenalty
	}
	return v
}

const (
	// servingPenalty is what a task with a latency objective on a worker costs a best-effort task in score.
	servingPenalty = 0.5
	// farPenalty puts every worker on the rack of the data before any other.
	farPenalty = 10
)

// serving counts the runs with a latency objective.
func (w *worker) serving() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.spec.TargetMS > 0 {
			n++
		}
	}
	return n
}
