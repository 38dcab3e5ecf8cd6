package rack

import (
	"maps"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// gangReservation reserves capacity for tasks that start together. It is retained for a time after its start, so that a
// repeated start gets the same reply.
type gangReservation struct {
	id          string
	partition   int
	intentEpoch uint64
	tasks       map[model.TaskID]*taskState
	expiresAt   time.Time
	// startTokens are the tokens of the started tasks; nil before the start. removeAt is when a started reservation is
	// removed.
	startTokens map[model.TaskID]model.StartToken
	removeAt    time.Time
	// displacingTasks are the tasks for which victims were stopped and a worker was reserved.
	displacingTasks []model.TaskID
}

// removeTask removes a task from the reservation.
func (g *gangReservation) removeTask(t *taskState) {
	delete(g.tasks, t.task.ID)
	t.gang = nil
}

// GangReservationRequest requests a gang reservation: capacity for tasks of a gang.
type GangReservationRequest struct {
	// ID identifies the reservation. A repeated request extends the reservation and tries the missing tasks again.
	ID          string
	Partition   int
	IntentEpoch uint64
	Tasks       []model.Task
	// TTL is the time after which the reservation expires unless it was started.
	TTL time.Duration
	// Victims are the running tasks that the confirmed plan allows this rack to displace.
	Victims []model.TaskID
}

// ReserveGang reserves capacity for those tasks of a gang that fit now and returns their placements. It fails with NotRun if
// the intent epoch is stale or the reservation was already started.
func (c *Core) ReserveGang(now time.Time, req GangReservationRequest) ([]model.Placement, []Effect, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.IntentEpoch < c.intentEpochs[req.Partition] {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeFenced, "intent epoch %d is below %d", req.IntentEpoch, c.intentEpochs[req.Partition])
	}
	c.expireGangReservations(now)
	g := c.gangReservations[req.ID]
	if g == nil {
		g = &gangReservation{id: req.ID, partition: req.Partition, intentEpoch: req.IntentEpoch, tasks: map[model.TaskID]*taskState{}}
		c.gangReservations[req.ID] = g
	}
	if g.startTokens != nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "hold %s was started already", req.ID)
	}
	g.expiresAt = now.Add(req.TTL)
	c.nextGangExpiry = earliest(c.nextGangExpiry, g.expiresAt)
	placements, effects := c.reserveGangTasks(now, g, req)
	if len(g.tasks) == 0 && len(g.displacingTasks) == 0 {
		delete(c.gangReservations, g.id)
	}
	return placements, append(effects, c.decide(now)...), nil
}

// reserveGangTasks reserves capacity for the tasks of a request. A demand equal to the last one that could not be placed
// is not tried again unless the request names victims, so that a request to a full rack is cheap. Callers hold c.mu.
func (c *Core) reserveGangTasks(now time.Time, g *gangReservation, req GangReservationRequest) (placements []model.Placement, effects []Effect) {
	var unplacedDemand model.Resources
	for _, task := range req.Tasks {
		demand := Demand(task)
		if demand == unplacedDemand && len(req.Victims) == 0 && c.tasks[task.ID] == nil {
			continue
		}
		var p *model.Placement
		if p, effects = c.reserveGangTask(now, g, task, req.Victims, effects); p != nil {
			placements = append(placements, *p)
		} else if c.tasks[task.ID] == nil {
			unplacedDemand = demand
		}
	}
	return placements, effects
}

// earliest returns the earlier of two times; a zero time a stands for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// reserveGangTask reserves capacity for one task of a gang. A task that is already claimed or running gets no
// reservation. Callers hold c.mu.
func (c *Core) reserveGangTask(now time.Time, g *gangReservation, task model.Task, victims []model.TaskID, effects []Effect) (*model.Placement, []Effect) {
	t := c.tasks[task.ID]
	if t == nil {
		demand, class := c.effectiveDemand(task), c.queueClass(task)
		w, reason := c.placeGangTask(now, task, class, demand)
		if w == nil {
			effects = c.displace(now, task, demand, victims, effects)
			if c.workerReservations[task.ID] != nil {
				g.displacingTasks = append(g.displacingTasks, task.ID)
			}
			return nil, effects
		}
		if o := c.offers[task.ID]; o != nil {
			c.dequeue(o)
		}
		t = c.reserveCapacity(now, w, task, class, reason)
		t.phase, t.gang = phaseReserved, g
		g.tasks[task.ID] = t
	}
	if t.gang != g {
		return nil, effects
	}
	return &model.Placement{
		Task: task.ID, Rack: c.id, Worker: t.worker, Zone: c.workers[t.worker].member.Zone, Reason: t.reason.String(),
	}, effects
}

// placeGangTask returns the worker for a task of a gang: the worker reserved for it, or else any with enough free
// capacity. Callers hold c.mu.
func (c *Core) placeGangTask(now time.Time, task model.Task, class model.Class, demand model.Resources) (*workerState, Reason) {
	if r := c.workerReservations[task.ID]; r != nil {
		if !c.hasCapacity(r.worker, demand) {
			return nil, Reason{}
		}
		c.removeReservation(task.ID)
		return r.worker, Reason{Code: ReasonReserved, Worker: r.worker.member.ID, Demand: demand}
	}
	if c.limitReason(class, demand) != ReasonNone {
		return nil, Reason{}
	}
	return c.place(now, task, demand)
}

// StartGang starts tasks of a gang reservation, each with its own token, and releases the others. If it returns an
// error, nothing was started. A task whose worker no longer accepts work is reported as not started.
func (c *Core) StartGang(now time.Time, id string, tasks []model.TaskID, tokens []model.StartToken) ([]Effect, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(tasks) != len(tokens) {
		return nil, verdict.Invalid("tokens", "expected %d, got %d", len(tasks), len(tokens))
	}
	c.expireGangReservations(now)
	g := c.gangReservations[id]
	if g == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeExpired, "hold %s has expired or was released", id)
	}
	if g.startTokens != nil {
		return nil, g.checkRepeatedStart(tasks, tokens)
	}
	for i, task := range tasks {
		if g.tasks[task] == nil || tokens[i].Epoch < c.intentEpochs[tokens[i].Partition] {
			return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "task %s is not held by %s", task, id)
		}
	}
	g.startTokens = make(map[model.TaskID]model.StartToken, len(tasks))
	g.removeAt = now.Add(c.policy.StartedGangRetention)
	var effects []Effect
	for i, task := range tasks {
		t := g.tasks[task]
		g.startTokens[task] = tokens[i]
		g.removeTask(t)
		t.token = tokens[i]
		effects = append(effects, c.startEffects(now, t)...)
	}
	c.releaseGangCapacity(g)
	return append(effects, c.decide(now)...), nil
}

// checkRepeatedStart returns nil if a start repeats the one that was accepted before, and an error if it differs.
func (g *gangReservation) checkRepeatedStart(tasks []model.TaskID, tokens []model.StartToken) error {
	for i, task := range tasks {
		if g.startTokens[task] != tokens[i] {
			return verdict.New(verdict.NotRun, verdict.CodeConflict, "hold %s was started with other tokens", g.id)
		}
	}
	return nil
}

// ReleaseGang removes a gang reservation that was not started. It does not affect one that was started.
func (c *Core) ReleaseGang(now time.Time, id string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangReservations[id]
	if g == nil || g.startTokens != nil {
		return nil
	}
	delete(c.gangReservations, id)
	c.releaseGangCapacity(g)
	return c.decide(now)
}

// releaseGangCapacity releases the capacity and the workers that a gang reservation still keeps. Callers hold c.mu.
func (c *Core) releaseGangCapacity(g *gangReservation) {
	for _, id := range slices.Sorted(maps.Keys(g.tasks)) {
		c.release(g.tasks[id])
	}
	for _, id := range g.displacingTasks {
		if c.offers[id] == nil {
			c.removeReservation(id)
		}
	}
}

// expireGangReservations releases expired gang reservations and removes started ones after their retention time. Callers
// hold c.mu.
func (c *Core) expireGangReservations(now time.Time) {
	if c.nextGangExpiry.IsZero() || !now.After(c.nextGangExpiry) {
		return
	}
	c.nextGangExpiry = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(c.gangReservations)) {
		g := c.gangReservations[id]
		at := g.expiresAt
		if g.startTokens != nil {
			at = g.removeAt
		}
		if !now.After(at) {
			c.nextGangExpiry = earliest(c.nextGangExpiry, at)
			continue
		}
		delete(c.gangReservations, id)
		if g.startTokens == nil {
			c.releaseGangCapacity(g)
		}
	}
}

// fenceGangReservations releases the gang reservations of earlier owners of an intent partition, except started ones.
// Callers hold c.mu.
func (c *Core) fenceGangReservations(partition int, epoch uint64) {
	for _, id := range slices.Sorted(maps.Keys(c.gangReservations)) {
		g := c.gangReservations[id]
		if g.partition == partition && g.intentEpoch < epoch && g.startTokens == nil {
			delete(c.gangReservations, id)
			c.releaseGangCapacity(g)
		}
	}
}
