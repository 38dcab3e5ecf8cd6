package cell

import (
	"maps"
	"slices"
	"time"
)

const (
	// recoveryWaitLogInterval is the time between log entries about waiting tasks of earlier epochs.
	recoveryWaitLogInterval = time.Second
	// maxLoggedWorkers limits the workers in such an entry.
	maxLoggedWorkers = 8
)

// heldTasks says how many tasks of earlier epochs wait for the inventories of workers.
type heldTasks struct {
	// tasks are those at countedAt, the time of the last count, and taskTime is the sum of their waits.
	tasks     int
	countedAt Instant
	taskTime  time.Duration
	// found are the waiting tasks of which a worker turned out to have a run.
	found uint64
}

// count records that a number of tasks wait now.
func (h *heldTasks) count(tasks int, now Instant) {
	h.taskTime += time.Duration(h.tasks) * (now - h.countedAt)
	h.tasks, h.countedAt = tasks, now
}

// recoveryWait says which waiting tasks of earlier epochs wait for the inventories of workers.
type recoveryWait struct {
	// services and others are the numbers of service tasks and of other tasks.
	services, others int
	// workers are those for which any of them waits.
	workers map[string]struct{}
}

// logRecoveryWait logs which workers the waiting tasks of earlier epochs wait for, and what their bound consists of. Service tasks have no
// end of their own, so nothing else shows that they are away.
func (c *Core) logRecoveryWait() {
	idle := c.held.tasks == 0
	if idle && len(c.inventoryPending) == 0 || !idle && c.now < c.held.countedAt+recoveryWaitLogInterval {
		return
	}
	wait := c.recoveryWait()
	c.held.count(wait.services+wait.others, c.now)
	if c.held.tasks == 0 {
		return
	}
	workers := slices.Sorted(maps.Keys(wait.workers))
	bound, longLeases := c.recoveryEnd(workers)
	c.logDecision("recovery_waits", "", map[string]any{
		"service_tasks": wait.services, "other_tasks": wait.others, "starts_known": c.placements.known,
		"workers": workers[:min(len(workers), maxLoggedWorkers)], "pending": len(workers),
		"bound_ms": (bound - c.now).Milliseconds(), "long_leases": longLeases, "lease_extension_ms": c.opts.LeaseExtension.Milliseconds(),
		"since_takeover_ms": (c.now - c.epochStart).Milliseconds(),
	})
}

// recoveryWait returns which waiting tasks wait for the inventories of workers.
func (c *Core) recoveryWait() recoveryWait {
	wait := recoveryWait{workers: map[string]struct{}{}}
	for _, s := range c.ready.ranked {
		if !c.isRecovering(s.job) {
			continue
		}
		for _, t := range s.waiting {
			if !c.mayRunUnread(t) {
				continue
			}
			if s.spec.LongRunning {
				wait.services++
			} else {
				wait.others++
			}
			c.addAwaitedWorkers(t, wait.workers)
		}
	}
	return wait
}

// addAwaitedWorkers adds the workers whose inventories a task waits for.
func (c *Core) addAwaitedWorkers(t *task, workers map[string]struct{}) {
	if !c.knowsPlacement(t) {
		maps.Copy(workers, c.inventoryPending)
		return
	}
	add := func(id string) {
		if _, pending := c.inventoryPending[id]; pending {
			workers[id] = struct{}{}
		}
	}
	add(t.placement.worker)
	if t.formerRun != nil {
		add(t.formerRun.Worker)
	}
	for _, p := range c.placements.former[t.name] {
		add(p.Worker)
	}
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
