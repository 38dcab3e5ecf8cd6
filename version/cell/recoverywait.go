package cell

import (
	"maps"
	"slices"
	"time"
)

const (
	// recoveryWaitLogInterval is the time between log entries about waiting service tasks of earlier epochs.
	recoveryWaitLogInterval = time.Second
	// maxLoggedWorkers limits the workers in such an entry.
	maxLoggedWorkers = 8
)

// logRecoveryWait logs which workers the waiting service tasks of earlier epochs wait for, and what their bound consists of. Service tasks
// have no end of their own, so nothing else shows that they are away.
func (c *Core) logRecoveryWait() {
	if len(c.inventoryPending) == 0 || c.now < c.nextRecoveryWaitLog {
		return
	}
	tasks, pending := c.heldServiceTasks()
	if tasks == 0 {
		return
	}
	c.nextRecoveryWaitLog = c.now + recoveryWaitLogInterval
	bound, longLeases := c.recoveryEnd(pending)
	c.logDecision("recovery_waits", "", map[string]any{
		"service_tasks": tasks, "workers": pending[:min(len(pending), maxLoggedWorkers)], "pending": len(pending),
		"bound_ms": (bound - c.now).Milliseconds(), "long_leases": longLeases, "lease_extension_ms": c.opts.LeaseExtension.Milliseconds(),
		"since_takeover_ms": (c.now - c.epochStart).Milliseconds(),
	})
}

// heldServiceTasks returns the number of waiting service tasks that wait for the inventories of workers, and these workers.
func (c *Core) heldServiceTasks() (tasks int, workers []string) {
	waitedFor := map[string]struct{}{}
	for _, s := range c.ready.ranked {
		if !s.spec.LongRunning {
			continue
		}
		for _, t := range s.waiting {
			if !c.mayRunUnread(t) {
				continue
			}
			tasks++
			if c.knowsPlacement(t) {
				waitedFor[t.placement.worker] = struct{}{}
				continue
			}
			maps.Copy(waitedFor, c.inventoryPending)
		}
	}
	return tasks, slices.Sorted(maps.Keys(waitedFor))
}

// recoveryEnd returns when the leases on all of the workers have ended, and whether the last of them may have long leases.
func (c *Core) recoveryEnd(workers []string) (end Instant, longLeases bool) {
	for _, id := range workers {
		w := c.workers[id]
		if w == nil {
			continue
		}
		if e := c.leasesEnd(w); e > end {
			end, longLeases = e, e == w.longLeasesUntil
		}
	}
	return end, longLeases
}
