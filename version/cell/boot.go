package cell

import "github.com/lentiltide/lentiltide/backend"

// The registry has other writers, and start times are readings of clocks that may be set back. So a worker's own answers decide
// which boot is the present one; an entry of another boot only announces it. Otherwise one entry with a start time in the far future
// would end the runs of a worker that goes on with them, and hide all its later boots.

// announcedBoot is a registry entry of a boot that has not answered yet.
type announcedBoot struct {
	info backend.WorkerInfo
	at   Instant
}

// announceBoot keeps a registry entry until its boot answers. Until then nothing starts on the worker, since the capacity and the
// labels of the boot that will receive a start are not known.
func (c *Core) announceBoot(w *worker, info backend.WorkerInfo) {
	if w.announced == nil || w.announced.info.StartedMS != info.StartedMS {
		c.logDecision("worker_boot_announced", "", map[string]any{
			"worker": info.ID, "started_ms": info.StartedMS, "known_started_ms": w.startedMS, "address": info.Address,
		})
		w.announced = &announcedBoot{at: c.now}
		c.expectLongLeases(w)
		c.pollSoon(w)
	}
	w.announced.info = info
	c.signalWake()
}

// recordBoot records which boot has answered a poll that was sent at sentAt. It returns false for an answer of an earlier boot,
// which the present one has overtaken: a poll that is sent after the first answer of a boot cannot reach an earlier one.
func (c *Core) recordBoot(w *worker, sentAt Instant, startedMS, clockMS int64) bool {
	switch {
	case startedMS == w.startedMS:
	case w.startedMS == 0:
		w.startedMS, w.bootKnownAt = startedMS, c.now
		c.suspectLongLeases(w, clockMS)
	case sentAt < w.bootKnownAt:
		return false
	default:
		c.handleWorkerRestart(w, startedMS)
		w.startedMS, w.bootKnownAt = startedMS, c.now
	}
	w.bootRefused = false
	c.settleAnnouncement(w, sentAt)
	return true
}

// handleRefusedBoot records that a worker has refused a call to its known boot. The next poll shows which boot is the present one.
func (c *Core) handleRefusedBoot(w *worker) {
	if !w.bootRefused {
		c.logDecision("worker_boot_refused", "", map[string]any{"worker": w.info.ID, "known_started_ms": w.startedMS})
	}
	w.bootRefused = true
	c.pollSoon(w)
}

// isBootCertain reports whether nothing speaks against the known boot of a worker. Only then do polls extend leases and acknowledge
// completions, which they do for this boot alone: on the clock of a boot that is announced, or that has begun unnoticed, the deadline of a
// lease would be far in the future.
func (w *worker) isBootCertain() bool {
	return w.announced == nil && !w.health.unresponsive && !w.bootRefused
}

// bootRef returns the worker with its known boot, so that no other boot executes the command.
func (w *worker) bootRef() backend.WorkerRef {
	ref := w.ref()
	ref.StartedMS = w.startedMS
	return ref
}

// suspectLongLeases expects long leases on a worker that a former leader may have used, if its clock shows that it has started so recently
// that the former leader may have sent deadlines of the boot before. This leader knows when they end, but its successor would not.
func (c *Core) suspectLongLeases(w *worker, clockMS int64) {
	_, used := c.inventoryPending[w.info.ID]
	if used && c.opts.Epoch > 1 && clockMS < maxLocalDuration(c.maxLease()+lateCallAllowance).Milliseconds() {
		c.expectLongLeases(w)
	}
}

// settleAnnouncement applies the announced entry if its boot has answered, and drops it if another one has answered a poll that was
// sent after the entry was read.
func (c *Core) settleAnnouncement(w *worker, sentAt Instant) {
	a := w.announced
	switch {
	case a == nil:
	case a.info.StartedMS == w.startedMS:
		w.announced = nil
		c.applyEntry(w, a.info)
	case sentAt >= a.at:
		w.announced = nil
		c.logDecision("worker_boot_refuted", "", map[string]any{
			"worker": w.info.ID, "started_ms": a.info.StartedMS, "known_started_ms": w.startedMS,
		})
	}
}

// entryIsCurrent reports whether the registry entry is that of the worker's present boot. The capacity and the labels of a boot without
// an entry are not known.
func (w *worker) entryIsCurrent() bool {
	if w.announced != nil {
		return false
	}
	return w.info.StartedMS == 0 || w.startedMS == 0 || w.info.StartedMS == w.startedMS
}

// pollRef returns the worker with the address of its next poll. While a boot is announced, that is the announced address, and the
// known one after an unanswered poll.
func (w *worker) pollRef() backend.WorkerRef {
	if w.announced == nil || w.health.missedPolls%2 != 0 {
		return w.ref()
	}
	return backend.WorkerRef{ID: w.info.ID, Address: w.announced.info.Address}
}
