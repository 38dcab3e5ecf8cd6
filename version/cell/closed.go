package cell

// A leader that gets no answer from a worker closes it: its renewal lists the worker with the time by which all leases there have ended. From
// then on the leader grants no lease there and starts nothing, until a renewal that does not list the worker is durable. So a successor
// knows when the leases on a silent worker have ended, however often the leader changes meanwhile.

import "time"

const (
	// MaxClosedWorkers limits the list, which is part of a row of the store. An entry takes about 50 bytes.
	MaxClosedWorkers = 512
	// firstAnswerAllowance is how long after the fleet record was loaded a worker may take for its first answer.
	firstAnswerAllowance = 500 * time.Millisecond
)

// ClosedWorker is a worker on which no leader grants leases.
type ClosedWorker struct {
	// LeasesEnd is when all leases on the worker have ended.
	LeasesEnd Instant
	// StartedMS is the start time of the boot that was known last, 0 if none was. LeasesEnd does not hold for a later boot.
	StartedMS int64
}

// loadClosed adopts the workers that former leaders have closed, which stay closed until a renewal of this leadership does not list them.
func (c *Core) loadClosed(closed map[string]ClosedWorker) {
	c.closed, c.inheritedClosed = map[string]struct{}{}, map[string]ClosedWorker{}
	for id, inherited := range closed {
		c.closed[id] = struct{}{}
		c.inheritedClosed[id] = inherited
	}
}

// CloseWorkers returns the workers that the next renewal must list. Workers that are not closed yet are added if addSilent is set.
func (c *Core) CloseWorkers(now Instant, addSilent bool) map[string]ClosedWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	out := map[string]ClosedWorker{}
	if c.mu.panicked {
		return out
	}
	for id := range c.closed {
		w := c.workers[id]
		switch {
		case w == nil && c.fleetLoadedAt == 0:
			out[id] = c.inheritedClosed[id]
		case w != nil && w.isSilent():
			out[id] = c.closedWorker(w)
		}
	}
	if addSilent {
		c.closeSilent(out)
	}
	return out
}

// closeSilent closes silent workers and adds them to a list.
func (c *Core) closeSilent(list map[string]ClosedWorker) {
	for id, w := range c.workers {
		if len(list) >= MaxClosedWorkers {
			return
		}
		if c.isClosed(w) || !c.shouldClose(w) {
			continue
		}
		list[id] = c.closedWorker(w)
		c.closed[id] = struct{}{}
		c.logDecision("worker_closed", "", map[string]any{"worker": id, "leases_end_ms": (list[id].LeasesEnd - c.now).Milliseconds()})
	}
}

// shouldClose reports whether a worker that may have leases, or that a successor would wait for, does not answer.
func (c *Core) shouldClose(w *worker) bool {
	_, pending := c.inventoryPending[w.info.ID]
	if !pending && w.recordedAddress == "" {
		return false
	}
	return w.health.unresponsive || pending && !w.answered && c.now >= c.fleetLoadedAt+firstAnswerAllowance
}

// isSilent reports whether a worker has not answered its last poll, or none in this epoch.
func (w *worker) isSilent() bool { return !w.answered || w.health.unresponsive }

// isClosed reports whether a renewal that may have been written lists the worker.
func (c *Core) isClosed(w *worker) bool {
	_, closed := c.closed[w.info.ID]
	return closed
}

// closedWorker returns what a renewal says about a closed worker.
func (c *Core) closedWorker(w *worker) ClosedWorker {
	boot := w.knownBoot()
	if boot == 0 {
		boot = c.inheritedClosed[w.info.ID].StartedMS
	}
	return ClosedWorker{LeasesEnd: c.leasesEnd(w), StartedMS: boot}
}

// knownBoot returns the start time of the latest boot of which this leader knows.
func (w *worker) knownBoot() int64 {
	switch {
	case w.announced != nil:
		return w.announced.info.StartedMS
	case w.startedMS != 0:
		return w.startedMS
	default:
		return w.info.StartedMS
	}
}

// inheritedLeasesEnd returns when all leases on a worker that former leaders have closed have ended, unless the worker has answered since or
// may have started again. That leaves a worker which answers this leader the time to list its completions.
func (c *Core) inheritedLeasesEnd(w *worker) (end Instant, ok bool) {
	inherited, ok := c.inheritedClosed[w.info.ID]
	if !ok || w.answered {
		return 0, false
	}
	if boot := w.knownBoot(); boot != 0 && boot != inherited.StartedMS {
		return 0, false
	}
	return max(inherited.LeasesEnd, c.fleetLoadedAt+firstAnswerAllowance), true
}

// ReopeningDue reports whether a closed worker answers, so that the next renewal is due.
func (c *Core) ReopeningDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.closed {
		if w := c.workers[id]; w != nil && !w.isSilent() {
			return true
		}
	}
	return false
}

// RenewalStored records that a renewal with a list of closed workers is durable, which opens all others.
func (c *Core) RenewalStored(listed map[string]ClosedWorker, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	for id := range c.closed {
		if _, ok := listed[id]; ok {
			continue
		}
		delete(c.closed, id)
		c.logDecision("worker_opened", "", map[string]any{"worker": id})
		if w := c.workers[id]; w != nil {
			w.signalAcks()
			c.pollSoon(w)
			c.ready.capacityFreed(w)
		}
	}
}
