package cell

import "time"

// A former leader may have started tasks that the ledger does not have. Until the inventories of the workers that it may have used are read, or
// all leases there have ended, a new leader does not start tasks again that may run there. Of a service task it knows the worker; see
// startRecord. Any other task of an earlier epoch may be on any of the workers, unless the placements of the former leader are known.

// isRecovering reports whether tasks of a job may run that a former leader has started and the ledger does not have, as far as the job tells.
func (c *Core) isRecovering(j *jobState) bool {
	return j.recovered && (len(c.inventoryPending) > 0 || c.now < c.recoveredHeldUntil)
}

// mayRunUnread reports whether a former leader may have started a task on a worker whose inventory is pending.
func (c *Core) mayRunUnread(t *task) bool {
	if !c.isRecovering(t.step.job) {
		return false
	}
	if c.now < c.recoveredHeldUntil || !c.knowsPlacement(t) {
		return true
	}
	_, pending := c.inventoryPending[t.placement.worker]
	pending = pending || c.isPlacedUnread(t)
	if !pending && t.formerRun != nil {
		_, pending = c.inventoryPending[t.formerRun.Worker]
	}
	return pending
}

// knowsPlacement reports whether the workers are known on which a former leader can have started the task: from the record in the row of its
// job, or from the placements that were held for the former leader.
func (c *Core) knowsPlacement(t *task) bool {
	if !c.fleetRecordKnown {
		return false
	}
	if t.step.recordsStarts() {
		return !t.placement.unknown
	}
	return c.placements.known
}

// placeableTasks returns the number of waiting tasks of a step that do not wait for the inventories of workers.
func (c *Core) placeableTasks(s *step) int {
	if !c.isRecovering(s.job) {
		return len(s.waiting)
	}
	if !s.recordsStarts() && !c.placements.known {
		return 0
	}
	n := 0
	for _, t := range s.waiting {
		if !c.mayRunUnread(t) {
			n++
		}
	}
	return n
}

// awaitsRecovery reports whether nothing of a step may start yet, because a former leader may have started all waiting tasks, or a member of
// a gang, on workers whose inventory is pending.
func (c *Core) awaitsRecovery(s *step) bool {
	if !c.isRecovering(s.job) {
		return false
	}
	placeable := c.placeableTasks(s)
	return placeable == 0 || s.spec.Gang && placeable < len(s.tasks)
}

// giveUpInventory stops waiting for the inventory of a worker that has not answered, since the leases of its runs have expired. A
// worker without a registry entry is considered gone then, and not before: while it is cut off, its entry expires although its runs go
// on.
func (c *Core) giveUpInventory(id string) {
	if _, pending := c.inventoryPending[id]; !pending {
		return
	}
	delete(c.inventoryPending, id)
	w := c.workers[id]
	gone := w != nil && !w.listed && !w.inventoryKnown
	if gone {
		w.ended = true
	}
	c.logDecision("recovery_bound_reached", "", map[string]any{
		"worker": id, "gone": gone, "since_takeover_ms": (c.now - c.epochStart).Milliseconds(),
	})
}

// LimitLeaseExtension records that no former leader extends leases later than until, which may be before this epoch, so that they end
// sooner than had to be assumed.
func (c *Core) LimitLeaseExtension(until, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if extension := until - c.epochStart; extension < c.opts.LeaseExtension {
		c.opts.LeaseExtension = extension
		c.logDecision("lease_extension_limited", "", map[string]any{"since_takeover_ms": extension.Milliseconds()})
	}
}

// recoveryBound is the time after the start of the epoch by which every lease of a duration that a former leader has granted has expired,
// and at least the time for the first inventories.
func (c *Core) recoveryBound(lease time.Duration) time.Duration {
	return max(c.opts.LeaseExtension+maxLocalDuration(lease), firstInventoryTimeout)
}

// firstInventoryTimeout is how long a new leader waits at least for the inventory of a worker, even if its leases have ended: two polls fit. The
// worker may list completions that are not durable, whose tasks would be repeated.
const firstInventoryTimeout = 2 * time.Second
