package cell

import (
	"maps"
	"slices"
)

// A new leader does not start a task again that may run on a worker it has not read. Without knowing where the former leader has started what,
// one such worker holds every task. So the caller of Step replicates each start to other instances, the holders, before the start is sent, and
// the next leader loads what one of them holds: a task is then held only for the workers on which it was started. Service tasks whose starts are
// recorded in the rows of their jobs need no replication; see startRecord.

// TaskPlacement is a start of a task. It is kept until the run is known to have ended, and what follows from that is durable.
type TaskPlacement struct {
	Task   string
	Run    int64
	Worker string
}

// PlacementChange is a placement that was added, or removed if Ended is set.
type PlacementChange struct {
	TaskPlacement
	Ended bool
}

// CommandGate says which commands may be sent as far as the holders matter.
type CommandGate struct {
	// Closed means no starts, and Open all. Otherwise those may be sent whose placement has a sequence number up to Held.
	Closed, Open bool
	Held         uint64
	// Until is when all commands end unless the holders are in contact again; 0 means that they do not.
	Until Instant
}

// maxPlacementLog limits the changes that are kept for holders that have not acknowledged them. A holder that is further behind gets all
// placements anew.
const maxPlacementLog = 1 << 14

// placementLog holds the placements of the tasks of a leadership, and their last changes.
type placementLog struct {
	workers map[runKey]string
	// changes are the last changes, of which the first one has the sequence number first+1.
	changes []PlacementChange
	first   uint64
	// lastStart is the sequence number of the last placement that was added.
	lastStart uint64
	// ended are placements of runs that have ended, until that is durable. endedChanged means that some of them may be removed.
	ended        map[runKey]*endedPlacement
	endedChanged bool
	// unowned are placements without a run in the ledger: the worker is not read, or its job is not known.
	unowned map[runKey]struct{}
	gate    CommandGate
	// former are the placements by the name of the task that a former leader has left on workers whose inventory was pending. known means that
	// they are complete.
	former map[string][]TaskPlacement
	known  bool
}

// endedPlacement is a run that has ended. It is forgotten when a change of its job is durable; job is nil if there is no such job.
type endedPlacement struct {
	job    *jobState
	change uint64
	// resolved means that change is set: the change that a completion causes is made after its run was removed.
	resolved bool
}

func newPlacementLog() placementLog {
	return placementLog{
		workers: map[runKey]string{}, ended: map[runKey]*endedPlacement{}, unowned: map[runKey]struct{}{}, former: map[string][]TaskPlacement{},
		gate: CommandGate{Open: true},
	}
}

// last returns the sequence number of the last change.
func (l *placementLog) last() uint64 { return l.first + uint64(len(l.changes)) }

// append adds a change.
func (l *placementLog) append(change PlacementChange) {
	if len(l.changes) == maxPlacementLog {
		l.first = l.last()
		l.changes = nil
	}
	l.changes = append(l.changes, change)
}

// add adds a placement and returns the sequence number up to which the holders must have the changes before the start is sent.
func (l *placementLog) add(key runKey, worker string) uint64 {
	delete(l.ended, key)
	if l.workers[key] != worker {
		l.workers[key] = worker
		l.append(PlacementChange{TaskPlacement: TaskPlacement{key.task, key.run, worker}})
		l.lastStart = l.last()
	}
	return l.last()
}

// remove removes a placement.
func (l *placementLog) remove(key runKey) {
	delete(l.ended, key)
	delete(l.unowned, key)
	if worker, ok := l.workers[key]; ok {
		delete(l.workers, key)
		l.append(PlacementChange{TaskPlacement: TaskPlacement{key.task, key.run, worker}, Ended: true})
	}
}

// allows reports whether a start whose placement has a sequence number may be sent.
func (g CommandGate) allows(sequence uint64) bool {
	return g.Open || !g.Closed && sequence <= g.Held
}

// recordPlacement adds the placement of a run of the ledger.
func (c *Core) recordPlacement(r *run) uint64 {
	if r.task.step.recordsStarts() {
		return 0
	}
	delete(c.placements.unowned, r.key())
	return c.placements.add(r.key(), r.worker.info.ID)
}

// recordUnknownPlacement adds the placement of a run that a worker lists and whose job is not known.
func (c *Core) recordUnknownPlacement(task string, run int64, w *worker) {
	key := runKey{task, run}
	c.placements.add(key, w.info.ID)
	c.placements.unowned[key] = struct{}{}
}

// endPlacement records that a run has ended, as far as it matters for its job, which may be nil.
func (c *Core) endPlacement(key runKey, j *jobState) {
	if _, ok := c.placements.workers[key]; ok && c.placements.ended[key] == nil {
		c.placements.ended[key] = &endedPlacement{job: j}
		c.placements.endedChanged = true
	}
}

// recordCompletionPlacement adds the placement of a completion, which a successor that does not read the worker must know of until what follows
// from it is durable.
func (c *Core) recordCompletionPlacement(key runKey, w *worker, t *task) {
	if t != nil && t.step.recordsStarts() {
		return
	}
	if t != nil {
		c.placements.add(key, w.info.ID)
	}
	c.endPlacement(key, c.findJob(key.task))
}

// settlePlacementLog removes the placements of ended runs whose ends are durable.
func (c *Core) settlePlacementLog() {
	if !c.placements.endedChanged {
		return
	}
	c.placements.endedChanged = false
	for key, e := range c.placements.ended {
		if !e.resolved && e.job != nil {
			e.change = e.job.lastChange
		}
		e.resolved = true
		if e.job == nil || c.jobs[e.job.id] != e.job || e.job.storedChange >= e.change {
			c.placements.remove(key)
		}
	}
}

// settleUnowned removes the placements without a run in the ledger whose workers were read, or given up, and do not list them.
func (c *Core) settleUnowned() {
	for key := range c.placements.unowned {
		id := c.placements.workers[key]
		if _, pending := c.inventoryPending[id]; pending || c.placements.ended[key] != nil {
			continue
		}
		w := c.workers[id]
		if w != nil && w.listsUnknown(key) {
			continue
		}
		c.placements.remove(key)
	}
}

// listsUnknown reports whether the worker lists a run, or a completion, whose job is not known.
func (w *worker) listsUnknown(key runKey) bool {
	for _, item := range w.unknownRuns {
		if item.Task == key.task && item.Run == key.run {
			return true
		}
	}
	for _, e := range w.unknownCompletions {
		if e.Task == key.task && e.Run == key.run {
			return true
		}
	}
	return false
}

// LoadPlacements loads all placements that were held for the former leader. The fleet record must be loaded.
func (c *Core) LoadPlacements(placements []TaskPlacement, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	l := &c.placements
	for _, p := range placements {
		if _, pending := c.inventoryPending[p.Worker]; !pending {
			continue
		}
		l.former[p.Task] = append(l.former[p.Task], p)
		key := runKey{p.Task, p.Run}
		if _, ok := l.workers[key]; !ok {
			l.add(key, p.Worker)
			l.unowned[key] = struct{}{}
		}
	}
	l.known = c.fleetRecordKnown
	c.unreadChanged = true
	c.signalWake()
}

// isPlacedUnread reports whether a former leader has started a task on a worker whose inventory is pending, as far as placements tell.
func (c *Core) isPlacedUnread(t *task) bool {
	return slices.ContainsFunc(c.placements.former[t.name], func(p TaskPlacement) bool {
		_, pending := c.inventoryPending[p.Worker]
		return pending
	})
}

// ArePlacementsComplete reports whether the placements include every run of former leaders that may go on, so that a successor may rely on them.
func (c *Core) ArePlacementsComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placements.known || c.isLedgerComplete()
}

// SetCommandGate sets which commands may be sent as far as the holders matter.
func (c *Core) SetCommandGate(gate CommandGate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placements.gate == gate {
		return
	}
	c.placements.gate = gate
	c.signalWake()
}

// LastPlacement returns the sequence number of the last change of the placements.
func (c *Core) LastPlacement() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placements.last()
}

// HasStartsAfter reports whether a placement was added after a sequence number.
func (c *Core) HasStartsAfter(sequence uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placements.lastStart > sequence
}

// PlacementChanges returns the changes after a sequence number, and the number of the last one. ok is false if they are not kept any longer.
func (c *Core) PlacementChanges(after uint64) (changes []PlacementChange, last uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.placements
	if after < l.first || after > l.last() {
		return nil, 0, false
	}
	return slices.Clone(l.changes[after-l.first:]), l.last(), true
}

// AllPlacements returns all placements, and the sequence number of the last change.
func (c *Core) AllPlacements() (placements []TaskPlacement, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, worker := range maps.All(c.placements.workers) {
		placements = append(placements, TaskPlacement{key.task, key.run, worker})
	}
	return placements, c.placements.last()
}

// TrimPlacements drops the changes up to a sequence number, which all holders have.
func (c *Core) TrimPlacements(upTo uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.placements
	if upTo <= l.first || upTo > l.last() {
		return
	}
	l.changes = slices.Clone(l.changes[upTo-l.first:])
	l.first = upTo
}
