package cell

import (
	"math"
	"slices"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// pendingAck is an end that may be acknowledged when the change with a number is durable.
type pendingAck struct {
	number int64
	change uint64
}

// unclaimed is the change of an end that waits for its job, higher than any that becomes durable.
const unclaimed = math.MaxUint64

// readEnds handles the ends that are new.
func (c *Core) readEnds(w *worker, ended []backend.EndedTask) {
	for _, e := range ended {
		if e.Number > w.read {
			w.read = e.Number
			w.acks = append(w.acks, pendingAck{e.Number, unclaimed})
			w.unclaimedEnds = append(w.unclaimedEnds, e)
		}
	}
	c.claimEnds(w)
}

// claimEnds handles the ends whose job is known. The others wait for theirs, and keep the later ones from being
// acknowledged, but not from being handled.
func (c *Core) claimEnds(w *worker) {
	var waiting []backend.EndedTask
	for _, e := range w.unclaimedEnds {
		if c.find(e.Task) == nil && !c.isOver(e.Task) && c.awaitsJob(w) {
			waiting = append(waiting, e)
			continue
		}
		before := c.changes
		c.readEnd(w, e)
		need := uint64(0)
		if c.changes > before {
			need = c.changes
		} else if t := c.find(e.Task); t != nil {
			// The end may repeat what is known but not yet durable.
			need = t.step.job.changed
		}
		w.noteNeed(e.Number, need)
	}
	w.unclaimedEnds = waiting
	c.advanceAcks(w)
}

// noteNeed enters the change that must be durable before an end is acknowledged.
func (w *worker) noteNeed(number int64, change uint64) {
	for i := range w.acks {
		if w.acks[i].number == number {
			w.acks[i].change = change
		}
	}
}

// advanceAcks raises what a worker may forget to what is durable.
func (c *Core) advanceAcks(w *worker) {
	n := 0
	for n < len(w.acks) && w.acks[n].change <= c.stored {
		w.acked = w.acks[n].number
		n++
	}
	if n == 0 {
		return
	}
	w.acks = w.acks[n:]
	select {
	case w.acksChanged <- struct{}{}:
	default:
	}
}

// readEnd handles an end that a worker lists.
func (c *Core) readEnd(w *worker, e backend.EndedTask) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		c.removeRun(r)
	}
	t := c.find(e.Task)
	if t == nil {
		c.note("unknown_end", "", map[string]any{"task": e.Task, "run": e.Run, "worker": w.info.ID, "how": e.How})
		return
	}
	s := t.step
	t.lastRun = max(t.lastRun, e.Run)
	s.job.started = true
	if e.Saved != "" {
		t.saved = e.Saved
		if s.spec.Gang {
			s.gangSaved = e.Saved
		}
	}
	c.note("run_ended", s.job.id, map[string]any{"task": t.name, "run": e.Run, "worker": w.info.ID, "how": e.How})
	switch e.How {
	case backend.EndDone:
		c.runDone(t, r, w)
	case backend.EndFailed:
		c.runFailed(t, e.Run, w)
	}
	if r != nil {
		c.afterRun(r)
	}
}

// runDone handles a run that has finished its task.
func (c *Core) runDone(t *task, r *run, w *worker) {
	s := t.step
	w.health.succeeded()
	if r != nil && s.observed == 0 && r.saved == "" {
		s.observed = c.now - r.created
	}
	if s.spec.Lasting {
		return
	}
	if s.spec.Gang {
		// One end stands for all members.
		for _, member := range s.tasks {
			c.taskDone(member, nil)
		}
		return
	}
	c.taskDone(t, r)
}

// runFailed counts a failed run. Failed runs of lasting tasks do not count.
func (c *Core) runFailed(t *task, number int64, w *worker) {
	s := t.step
	c.countFailure(t, w)
	t.avoid[w.info.ID] = struct{}{}
	if s.spec.Lasting || t.done || s.job.state.Terminal() {
		return
	}
	counted := t
	if s.spec.Gang {
		// The members fail together, so the first one counts for the gang.
		counted = s.tasks[0]
	}
	if slices.Contains(counted.failed, number) {
		return
	}
	counted.failed = append(counted.failed, number)
	c.touch(s.job)
	if len(counted.failed) >= max(1, s.job.queue.MaxAttempts) {
		c.finish(s.job, job.Failed, "task "+t.name+" failed in every attempt")
	}
}
