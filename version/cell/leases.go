package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/backend"
)

// leasesEnd returns when every lease on the worker has expired, on the local clock.
func (c *Core) leasesEnd(w *worker) Instant {
	if w.clockMS == 0 {
		// Until the present boot has answered, a run that it has started may hold a full lease.
		end := max(c.epochStart+c.recoveryBound(c.opts.LeaseDuration), w.longLeasesUntil)
		if inherited, ok := c.inheritedLeasesEnd(w); ok {
			end = min(end, inherited)
		}
		return end
	}
	remaining := time.Duration(w.leaseEndMS-w.clockMS) * time.Millisecond
	return max(w.clockReceivedAt+maxLocalDuration(max(remaining, 0)), w.longLeasesUntil)
}

// hasLongLeases reports whether a worker may have leases that are longer than usual. The deadlines of calls to its former boot are readings
// of the clock of that boot, and on the clock of the present one, which starts anew, they are far in the future.
func (c *Core) hasLongLeases(w *worker) bool { return c.now < w.longLeasesUntil }

// expectLongLeases records that a worker has, or may have, started again.
func (c *Core) expectLongLeases(w *worker) {
	w.longLeasesUntil = c.now + maxLocalDuration(c.maxLease()+lateCallAllowance)
	c.scheduleFleetRecord(w)
}

// expireLeases drops the runs of a worker that has not answered until all of its leases have expired.
func (c *Core) expireLeases(w *worker) {
	if c.now <= c.leasesEnd(w) {
		return
	}
	if len(w.runs) > 0 {
		c.logDecision("leases_lapsed", "", map[string]any{
			"worker": w.info.ID, "runs": len(w.runs), "last_answer_ms": (c.now - w.clockReceivedAt).Milliseconds(),
		})
		w.expiredTasks = w.tasksAtRisk()
		for _, r := range w.runs {
			c.dropRun(r, "lease expired")
		}
		w.inventoryKnown = false
	}
	c.giveUpInventory(w.info.ID)
	if !w.listed && w.announced == nil && c.now > w.unlistedAt+unlistedWorkerRetention {
		c.noticeCrash(w)
		delete(c.workers, w.info.ID)
		c.free.remove(w)
		delete(c.awaitingAcks, w)
		c.workerSetVersion++
		c.markFleetChanged(w)
	}
}

// unlistedWorkerRetention is how long a worker without a registry entry is kept, since the entry may return.
const unlistedWorkerRetention = 10 * time.Second

// lateCallAllowance is how long a call that was sent to the former boot of a worker may still be on its way when the next boot has
// answered.
const lateCallAllowance = time.Second

// maxLease returns the longest lease that workers grant.
func (c *Core) maxLease() time.Duration { return max(c.opts.MaxLease, c.opts.LeaseDuration) }

// maxLateCall is how long after the start of a boot it may execute calls that were sent to the former one: calls may be executed 12 s
// late, and a leader sends deadlines for up to maxClockAge after the last answer.
const maxLateCall = 12*time.Second + maxClockAge

// formerLeaseEnd returns the latest deadline, on the clock of a worker, of the leases that former leaders have granted before a first
// reading of it, from which on the worker refuses their commands. Usually they end a lease duration later. But the deadlines of calls to a
// former boot are readings of its clock, and on that of the next boot, which starts anew, they are far in the future: executed there, such
// a call grants the longest lease.
func (c *Core) formerLeaseEnd(w *worker, readingMS int64) int64 {
	if w.restartedAt != 0 {
		return readingMS + (c.maxLease() + lateCallAllowance).Milliseconds()
	}
	late := min(readingMS, maxLateCall.Milliseconds())
	return max(readingMS+c.opts.LeaseDuration.Milliseconds(), late+c.maxLease().Milliseconds())
}

// recordClock records a reading of the worker's clock. Older readings are ignored.
func (c *Core) recordClock(w *worker, readingMS int64) {
	w.silentSince = 0
	if w.clockMS == 0 && readingMS > 0 {
		w.leaseEndMS = max(w.leaseEndMS, c.formerLeaseEnd(w, readingMS))
	}
	if readingMS > w.clockMS {
		w.clockMS, w.clockReceivedAt = readingMS, c.now
	}
}

// recordSilence records that a worker has not answered a poll or a start.
func (c *Core) recordSilence(w *worker) {
	if w.silentSince == 0 {
		w.silentSince = c.now
	}
}

// recordReplyClock records the clock in the reply to a command for a run. A reply to a command for a run that is older than
// the known boot may come from the previous boot, whose clock was another one, and one that refuses the process in question comes from
// another process.
func (c *Core) recordReplyClock(r *run, reply backend.Reply) {
	ofOther := reply.Refusal == backend.RefusedInstance || reply.Refusal == backend.RefusedBoot
	if !ofOther && r.createdAt >= r.worker.restartedAt {
		c.recordClock(r.worker, reply.ClockMS)
	}
}

// leaseDeadline returns the deadline of a new lease on the worker's clock and records it as sent. While the worker has
// runs or has no registry entry, the lease counts from the latest reading of its clock, so that the leases of an
// unresponsive worker expire. 0 means no deadline, because no reading is known or the worker is closed.
func (c *Core) leaseDeadline(w *worker) int64 {
	if w.clockMS == 0 || c.isClosed(w) {
		return 0
	}
	elapsed := time.Duration(0)
	if !w.hasSentRuns() && w.listed {
		elapsed = time.Duration(float64(c.now-w.clockReceivedAt) * (1 - maxClockDrift))
	}
	d := w.clockMS + (elapsed + c.opts.LeaseDuration).Milliseconds()
	w.leaseEndMS = max(w.leaseEndMS, d)
	return d
}
