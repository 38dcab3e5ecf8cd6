package intent

import (
	"fmt"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Explanation describes why a task is in its current state.
type Explanation struct {
	Task TaskStatus `json:"task"`
	// Reasons are in the order in which they were found, those of the intent owner first.
	Reasons []string `json:"reasons"`
	// Racks are the racks that have the task queued or run it; their owners can add further reasons.
	Racks []string `json:"racks"`
}

// Explain returns what the intent owner knows about the state of a task.
func (c *Core) Explain(now time.Time, id model.TaskID) (Explanation, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		return Explanation{}, notFoundError("task", string(id))
	}
	e := Explanation{Task: t.status(), Reasons: []string{}, Racks: []string{}}
	addReason := func(format string, args ...any) { e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...)) }
	switch t.phase {
	case phaseUnplaced:
		addReason("the partition was taken over; the task may run in a rack that has not answered yet")
	case phaseWaiting:
		e.Racks = append(e.Racks, t.offeredRacks...)
		sort.Strings(e.Racks)
		c.explainWaiting(now, t, addReason)
	case phaseGranted:
		e.Racks = append(e.Racks, t.rack)
		c.explainGranted(t, addReason)
	default:
		addReason("ended as %s", t.outcome.State)
		if t.outcome.Error != "" {
			addReason("%s", t.outcome.Error)
		}
	}
	if t.lastError != "" && !t.ended() {
		addReason("the last failure was: %s; %d failures on %d distinct workers so far", t.lastError, t.failures, len(t.failedOn))
	}
	c.explainHints(now, t, addReason)
	return e, nil
}

func (c *Core) explainWaiting(now time.Time, t *taskState, addReason func(string, ...any)) {
	if g := t.gang; g != nil {
		addReason("the gang is %s", gangPhaseNames[g.phase])
		if g.reason != "" {
			addReason("%s", g.reason)
		}
		if wait := g.notBefore.Sub(now); wait > 0 {
			addReason("it is tried again in %s", wait.Round(time.Millisecond))
		}
	}
	if !t.admitted {
		c.explainQuota(t, addReason)
		return
	}
	if wait := t.notBefore.Sub(now); wait > 0 {
		addReason("it is started again in %s", wait.Round(time.Millisecond))
	}
	if t.gang != nil {
		return
	}
	if len(c.racks) == 0 {
		addReason("no rack can be reached")
	}
	if t.task.Kind == model.KindService && t.intent != nil {
		for _, zone := range c.zones {
			if !c.zoneBelowLimit(t, zone) {
				addReason("availability zone %s has its share of the service", zone)
			}
		}
	}
	addReason("offered %d times, now to %d racks", t.offerCount, len(t.offeredRacks))
}

func (c *Core) explainQuota(t *taskState, addReason func(string, ...any)) {
	q := c.quota(t.team)
	total := t.team.used.Add(c.unitDemand(t))
	switch {
	case !withinLimit(total, q.Limit):
		addReason("team %q would exceed its limit", t.team.key.team)
	case !withinLimit(total, q.Share):
		addReason("team %q uses its share, and there is no free capacity to borrow", t.team.key.team)
	default:
		addReason("work of team %q that came before or is of a higher class is not admitted yet", t.team.key.team)
	}
}

func (c *Core) explainGranted(t *taskState, addReason func(string, ...any)) {
	switch {
	case t.beingReclaimed:
		addReason("being stopped after a checkpoint, since the owner of the borrowed capacity needs it")
	case t.cancelled:
		addReason("being stopped, since it was cancelled")
	case t.gang != nil && t.gang.phase == gangStopping:
		addReason("being stopped, so that the gang starts again as a whole: %s", t.gang.reason)
	case t.running:
		addReason("runs on worker %s of rack %s", t.worker, t.rack)
	default:
		addReason("granted to rack %s, which is starting it", t.rack)
	}
}

func (c *Core) explainHints(now time.Time, t *taskState, addReason func(string, ...any)) {
	if t.ended() {
		return
	}
	task := t.effectiveTask()
	if task.RunTimeMS > t.task.RunTimeMS {
		addReason("run time taken as %d ms, as observed, instead of the declared %d ms", task.RunTimeMS, t.task.RunTimeMS)
	}
	if Demand(task) != Demand(t.task) {
		addReason("size taken as observed, which is larger than declared")
	}
	if !task.LatestStart.IsZero() {
		addReason("must start by %s to meet its deadline", task.LatestStart.UTC().Format(time.RFC3339))
		if now.After(task.LatestStart) && t.phase == phaseWaiting {
			addReason("this time has passed, so the work takes precedence")
		}
	}
}
