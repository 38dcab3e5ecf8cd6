package rack

import (
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// hold reserves capacity for tasks that start together. It is kept after it has started, so that a repeated start is
// answered alike.
type hold struct {
	id          string
	partition   int
	intentEpoch uint64
	tasks       map[model.TaskID]*taskState
	expires     time.Time
	// started is set once tokens were taken; forgetAt is when the hold is forgotten then.
	started  map[model.TaskID]model.StartToken
	forgetAt time.Time
	// wanted are the tasks for which victims were stopped and a worker is reserved.
	wanted []model.TaskID
}

// drop forgets a task that is no longer held.
func (h *hold) drop(t *taskState) {
	delete(h.tasks, t.task.ID)
	t.held = nil
}

// HoldRequest reserves capacity for tasks of a gang.
type HoldRequest struct {
	// ID names the reservation; repeating it extends the reservation and tries the missing tasks again.
	ID          string
	Partition   int
	IntentEpoch uint64
	Tasks       []model.Task
	// Term is the time after which the reservation ends unless it was started.
	Term time.Duration
	// Victims are running tasks that the confirmed plan allows to be displaced.
	Victims []model.TaskID
}

// Hold reserves capacity for those tasks that fit now and returns their places. It refuses with NotRun when the intent
// epoch is too low or the reservation was started already.
func (c *Core) Hold(now time.Time, req HoldRequest) ([]model.Placement, []Effect, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.IntentEpoch < c.intentEpochs[req.Partition] {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeFenced, "intent epoch %d is below %d", req.IntentEpoch, c.intentEpochs[req.Partition])
	}
	c.expireHolds(now)
	h := c.holds[req.ID]
	if h == nil {
		h = &hold{id: req.ID, partition: req.Partition, intentEpoch: req.IntentEpoch, tasks: map[model.TaskID]*taskState{}}
		c.holds[req.ID] = h
	}
	if h.started != nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "hold %s was started already", req.ID)
	}
	h.expires = now.Add(req.Term)
	c.nextExpiry = earliest(c.nextExpiry, h.expires)
	placements, effects := c.holdTasks(now, h, req)
	if len(h.tasks) == 0 && len(h.wanted) == 0 {
		delete(c.holds, h.id)
	}
	return placements, append(effects, c.decide(now)...), nil
}

// holdTasks reserves capacity for the tasks of a request. A demand that has just found no room is not tried again, so
// that a request to a full rack is cheap. Callers hold c.mu.
func (c *Core) holdTasks(now time.Time, h *hold, req HoldRequest) (placements []model.Placement, effects []Effect) {
	var full model.Resources
	for _, task := range req.Tasks {
		demand := Demand(task)
		if demand == full && len(req.Victims) == 0 && c.tasks[task.ID] == nil {
			continue
		}
		var p *model.Placement
		if p, effects = c.holdTask(now, h, task, req.Victims, effects); p != nil {
			placements = append(placements, *p)
		} else if c.tasks[task.ID] == nil {
			full = demand
		}
	}
	return placements, effects
}

// earliest returns the earlier time; the zero time stands for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// holdTask reserves capacity for one task of a hold. A task that is claimed or runs already is not held. Callers hold
// c.mu.
func (c *Core) holdTask(now time.Time, h *hold, task model.Task, victims []model.TaskID, effects []Effect) (*model.Placement, []Effect) {
	t := c.tasks[task.ID]
	if t == nil {
		demand, class := c.demandOf(task), c.queueClass(task)
		w, reason := c.placeHeld(now, task, class, demand)
		if w == nil {
			effects = c.displace(now, task, demand, victims, effects)
			if c.reservations[task.ID] != nil {
				h.wanted = append(h.wanted, task.ID)
			}
			return nil, effects
		}
		if o := c.offers[task.ID]; o != nil {
			c.dequeue(o)
		}
		t = c.reserve(now, w, task, class, reason)
		t.phase, t.held = phaseHeld, h
		h.tasks[task.ID] = t
	}
	if t.held != h {
		return nil, effects
	}
	return &model.Placement{
		Task: task.ID, Rack: c.id, Worker: t.worker, Zone: c.workers[t.worker].member.Zone, Reason: t.reason.String(),
	}, effects
}

// placeHeld returns the worker for a task of a hold: the one reserved for it, or any with room. Callers hold c.mu.
func (c *Core) placeHeld(now time.Time, task model.Task, class model.Class, demand model.Resources) (*workerState, Reason) {
	if r := c.reservations[task.ID]; r != nil {
		if !c.filter(r.worker, demand) {
			return nil, Reason{}
		}
		c.dropReservation(task.ID)
		return r.worker, Reason{Code: ReasonReserved, Worker: r.worker.member.ID, Demand: demand}
	}
	if c.limited(class, demand) != ReasonNone {
		return nil, Reason{}
	}
	return c.place(now, task, demand)
}

// StartHeld starts tasks of a hold, each under its own token, and releases the others. With an error nothing was
// started. A task whose worker may no longer take work is reported as not started.
func (c *Core) StartHeld(now time.Time, id string, tasks []model.TaskID, tokens []model.StartToken) ([]Effect, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(tasks) != len(tokens) {
		return nil, verdict.Invalid("tokens", "expected %d, got %d", len(tasks), len(tokens))
	}
	c.expireHolds(now)
	h := c.holds[id]
	if h == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeExpired, "hold %s has expired or was released", id)
	}
	if h.started != nil {
		return nil, h.repeated(tasks, tokens)
	}
	for i, task := range tasks {
		if h.tasks[task] == nil || tokens[i].Epoch < c.intentEpochs[tokens[i].Partition] {
			return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "task %s is not held by %s", task, id)
		}
	}
	h.started = make(map[model.TaskID]model.StartToken, len(tasks))
	h.forgetAt = now.Add(c.policy.HoldMemory)
	var effects []Effect
	for i, task := range tasks {
		t := h.tasks[task]
		h.started[task] = tokens[i]
		h.drop(t)
		t.token = tokens[i]
		effects = append(effects, c.start(now, t)...)
	}
	c.releaseHeld(h)
	return append(effects, c.decide(now)...), nil
}

// repeated answers a start that was taken before: nil when it is the same one.
func (h *hold) repeated(tasks []model.TaskID, tokens []model.StartToken) error {
	for i, task := range tasks {
		if h.started[task] != tokens[i] {
			return verdict.New(verdict.NotRun, verdict.CodeConflict, "hold %s was started with other tokens", h.id)
		}
	}
	return nil
}

// Release ends a hold that was not started. A hold that was started is not affected.
func (c *Core) Release(now time.Time, id string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holds[id]
	if h == nil || h.started != nil {
		return nil
	}
	delete(c.holds, id)
	c.releaseHeld(h)
	return c.decide(now)
}

// releaseHeld returns the capacity that a hold still keeps. Callers hold c.mu.
func (c *Core) releaseHeld(h *hold) {
	for _, id := range slices.Sorted(maps.Keys(h.tasks)) {
		c.release(h.tasks[id])
	}
	for _, id := range h.wanted {
		if c.offers[id] == nil {
			c.dropReservation(id)
		}
	}
}

// expireHolds ends holds whose term is over and forgets holds that were started long ago. Callers hold c.mu.
func (c *Core) expireHolds(now time.Time) {
	if c.nextExpiry.IsZero() || !now.After(c.nextExpiry) {
		return
	}
	c.nextExpiry = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(c.holds)) {
		h := c.holds[id]
		at := h.expires
		if h.started != nil {
			at = h.forgetAt
		}
		if !now.After(at) {
			c.nextExpiry = earliest(c.nextExpiry, at)
			continue
		}
		delete(c.holds, id)
		if h.started == nil {
			c.releaseHeld(h)
		}
	}
}

// fenceHolds ends the holds of earlier owners of an intent partition. Callers hold c.mu.
func (c *Core) fenceHolds(partition int, epoch uint64) {
	for _, id := range slices.Sorted(maps.Keys(c.holds)) {
		h := c.holds[id]
		if h.partition == partition && h.intentEpoch < epoch && h.started == nil {
			delete(c.holds, id)
			c.releaseHeld(h)
		}
	}
}
