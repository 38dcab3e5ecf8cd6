package cell

import (
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/backend"
)

const (
	// pollWait and idlePollWait are how long a worker with and without runs waits for a completion before it answers a
	// poll.
	pollWait     = time.Second
	idlePollWait = 2 * time.Second
	// completionSlack is added to the time at which a completion is expected.
	completionSlack = 200 * time.Millisecond
	// minPollWait is the shortest wait, for workers whose tasks take longer than expected.
	minPollWait = 300 * time.Millisecond
	// missedPollsToBlock is how many consecutive polls must remain unanswered before no new runs start on a worker: a
	// single answer may be lost.
	missedPollsToBlock = 2
)

// PreparePoll returns the next poll of a worker. It carries an acknowledgement only until one poll with it has been answered, and
// none after a poll without an answer: a worker that has restarted numbers its completions anew, and would drop those of its new
// boot up to the number. A closed worker gets none either: its leases may have lapsed, and without a deadline the poll does not show the
// worker that another lease begins.
//
// ok is false if the worker is no longer known; pause asks the caller to try again later.
func (c *Core) PreparePoll(id string, now Instant) (req backend.PollRequest, pause, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil {
		return req, false, false
	}
	if c.halted() {
		return req, true, true
	}
	req = backend.PollRequest{Worker: w.pollRef(), FencingToken: c.opts.Epoch}
	bootCertain := w.isBootCertain()
	if bootCertain {
		req.Worker = w.bootRef()
		req.LeaseDeadlineMS = c.leaseDeadline(w)
	}
	if w.ackIsDue() && bootCertain && !w.hasUnreportedStart() && !c.isClosed(w) {
		req.AcknowledgedCompletion = w.lastAckedCompletion
		w.sentAck, w.ackSentAt = w.lastAckedCompletion, now
		w.recordAckPoll(now)
	} else {
		// The answer to this poll does not confirm an earlier acknowledgement.
		w.sentAck = w.deliveredAck
	}
	switch {
	case !w.inventoryKnown || w.health.unresponsive || w.lastReadCompletion > w.lastAckedCompletion || req.AcknowledgedCompletion > 0:
		// While a poll waits, the worker might restart and finish runs of its new boot that the acknowledgement covers. One that was silent
		// waits for the next lease.
		req.Wait = 0
	case len(w.runs) == 0:
		req.Wait = idlePollWait
	default:
		req.Wait = c.busyPollWait(w)
	}
	return req, false, true
}

// ackIsDue reports whether completions are durable of which the worker does not know yet that it may forget them.
func (w *worker) ackIsDue() bool {
	return w.health.missedPolls == 0 && w.lastAckedCompletion > w.deliveredAck
}

// hasUnconfirmedStart reports whether a start has not been answered, so that the next poll may not report it.
func (w *worker) hasUnconfirmedStart() bool {
	for _, r := range w.runs {
		if r.phase != phaseRecording && !r.isConfirmed() {
			return true
		}
	}
	return false
}

// hasUnreportedStart reports whether a run has been started that no poll has reported. Completion numbers are those of one boot: if
// the worker has restarted, the start may have been executed by the new boot, and an acknowledgement of numbers of the former one
// would make it forget a completion that nobody has read.
func (w *worker) hasUnreportedStart() bool {
	for _, r := range w.runs {
		if r.phase != phaseRecording && r.firstReportAt == 0 && !r.completionUnread {
			return true
		}
	}
	return false
}

// busyPollWait returns how long a poll of a worker with runs should wait, which is until the next completion is
// expected. If the answer is lost, the completion is then observed no later than necessary.
func (c *Core) busyPollWait(w *worker) time.Duration {
	wait := pollWait
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning {
			wait = min(wait, c.remainingDuration(r)+completionSlack)
		}
	}
	return max(wait.Truncate(time.Millisecond), minPollWait)
}

// AcksChanged returns a channel that receives a value when more completions of a worker may be acknowledged, and
// whether any cannot be acknowledged yet: they are not durable, a start is on its way to the worker, or the worker is closed.
func (c *Core) AcksChanged(id string) (changed <-chan struct{}, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return nil, false
	}
	return w.acksChanged, w.lastReadCompletion > w.lastAckedCompletion || w.ackIsDue() && (w.hasUnconfirmedStart() || c.isClosed(w))
}

// PollResult records the outcome of a poll of a worker that was sent at sentAt.
func (c *Core) PollResult(id string, sentAt Instant, reply backend.PollReply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil {
		return
	}
	c.endAckPoll(w, sentAt)
	if err != nil {
		c.handlePollFailure(w, sentAt, err)
		return
	}
	if reply.Refusal == backend.RefusedFence {
		c.supersede(w)
		return
	}
	if reply.Refusal == backend.RefusedInstance {
		c.handleRefusedInstance(w)
		return
	}
	if reply.Refusal == backend.RefusedBoot {
		c.handleRefusedBoot(w)
		return
	}
	if reply.Refusal != "" {
		c.logDecision("poll_refused", "", map[string]any{"worker": id, "refusal": reply.Refusal})
		w.startsBlockedUntil = c.now + startBlockDuration
		return
	}
	if !c.recordBoot(w, sentAt, reply.StartedMS, reply.ClockMS) {
		return
	}
	if !w.answered {
		w.answered = true
		c.fleetVersion++
	}
	c.recordClock(w, reply.ClockMS)
	if sentAt >= w.ackSentAt {
		w.deliveredAck = w.sentAck
	}
	if !w.inventoryKnown {
		c.logDecision("worker_read", "", map[string]any{"worker": id, "running": len(reply.Running), "ended": len(reply.Finished),
			"started_ms": reply.StartedMS})
	}
	w.health.missedPolls = 0
	if w.health.unresponsive {
		w.health.unresponsive = false
		c.logDecision("worker_answers", "", map[string]any{"worker": id})
	}
	w.expiredTasks, w.ended = nil, false
	c.recordCompletions(w, reply.Finished)
	c.reconcileRuns(w, sentAt, reply)
	c.forgetFormerRuns(w)
	w.forgetResolvedTasks()
	w.inventoryKnown = true
	if reply.IsComplete() {
		delete(c.inventoryPending, id)
	}
	c.signalWake()
}

// handleRefusedInstance records that the worker at the polled address has another ID. While a boot at another address is announced,
// the next poll is sent to the other of the two addresses.
func (c *Core) handleRefusedInstance(w *worker) {
	if a := w.announced; a != nil && a.info.Address != w.info.Address {
		w.health.missedPolls++
		return
	}
	c.handleWorkerReplaced(w)
}

// handleWorkerReplaced drops the runs of a worker whose address belongs to another worker now: its runs ended with its
// process.
func (c *Core) handleWorkerReplaced(w *worker) {
	delete(c.inventoryPending, w.info.ID)
	w.ended = true
	if !w.inventoryKnown && len(w.runs) == 0 && len(w.expiredTasks) == 0 {
		return
	}
	c.logDecision("worker_replaced", "", map[string]any{"worker": w.info.ID, "runs": len(w.runs), "address": w.info.Address})
	c.withdrawHeldStarts(w)
	k := c.noticeCrash(w)
	for _, r := range w.runs {
		c.countCrashOfRun(k, r)
		c.dropRun(r, "address is used by another worker")
	}
	w.inventoryKnown = false
}

// handlePollFailure records an unanswered poll that was sent at sentAt. It says nothing about the time after a later answer.
func (c *Core) handlePollFailure(w *worker, sentAt Instant, err error) {
	if sentAt >= w.clockReceivedAt {
		c.recordSilence(w)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.suspectRuns(w)
	}
	w.health.missedPolls++
	if w.health.missedPolls >= missedPollsToBlock {
		w.startsBlockedUntil = max(w.startsBlockedUntil, c.now+startBlockDuration)
	}
	if !w.health.unresponsive {
		w.health.unresponsive = true
		c.logDecision("worker_silent", "", map[string]any{"worker": w.info.ID, "error": err.Error(), "runs": len(w.runs)})
	}
}

// startBlockDuration is how long no new runs start on a worker after a failure.
const startBlockDuration = 700 * time.Millisecond

// reconcileRuns compares the runs that a worker lists with the ledger.
func (c *Core) reconcileRuns(w *worker, sentAt Instant, reply backend.PollReply) {
	w.unknownRuns = nil
	w.hasUnknownRuns = false
	c.inventories++
	for _, item := range reply.Running {
		r := w.runs[runKey{item.Task, item.Run}]
		if r == nil {
			r = c.adoptRun(w, item)
		}
		if r == nil {
			w.hasUnknownRuns = true
			continue
		}
		r.listedIn = c.inventories
		c.updateRun(r, item)
	}
	for _, r := range w.runs {
		if r.listedIn != c.inventories {
			c.handleUnlistedRun(r, sentAt, reply.IsComplete())
		}
	}
	c.protectLatency(w)
}

// pollSoon polls a worker in addition to a long poll that may be in progress there.
func (c *Core) pollSoon(w *worker) {
	if w.pollDeferred {
		return
	}
	if w.pollRequestedAt != 0 && c.now < w.pollRequestedAt+minPollRequestInterval {
		w.pollDeferred = true
		c.deferredPolls = append(c.deferredPolls, w)
		return
	}
	w.pollRequestedAt = c.now
	c.actions = append(c.actions, &PollAction{w.info.ID})
	c.signalWake()
}

// sendDeferredPolls sends the polls whose time has come.
func (c *Core) sendDeferredPolls() {
	c.deferredPolls = slices.DeleteFunc(c.deferredPolls, func(w *worker) bool {
		if c.now < w.pollRequestedAt+minPollRequestInterval {
			return false
		}
		w.pollDeferred = false
		c.pollSoon(w)
		return true
	})
}

// minPollRequestInterval is the shortest time between additional polls of a worker.
const minPollRequestInterval = 20 * time.Millisecond
