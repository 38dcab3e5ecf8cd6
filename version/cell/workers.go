package cell

import (
	"strings"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// worker is a worker and the ledger of what runs there.
type worker struct {
	info   backend.WorkerInfo
	kind   string
	rack   string
	listed bool
	// recorded is the address under which the worker is in the durable record of the fleet.
	recorded string
	// unlistedAt is when the entry left the registry.
	unlistedAt Instant
	// startedMS is the life of the worker of which the inventory is known.
	startedMS int64
	// known says that the inventory of this life was read in this epoch, so that orders may be sent.
	known bool
	// clockMS is the newest stamp of the worker's clock and clockAt when it was received.
	clockMS int64
	clockAt Instant
	// leaseMS is the latest end of a lease on the worker's clock that was ever sent.
	leaseMS int64
	runs    map[runKey]*run
	// used is what the runs reserve; the processor demand of best-effort runs is in bestEffort instead.
	used       model.Resources
	bestEffort int64
	// read is the number of the last end handled; acked the last that may be forgotten.
	read, acked int64
	acks        []pendingAck
	// acksChanged receives a value when acked rises.
	acksChanged chan struct{}
	// blockedUntil keeps new runs away for a moment after an order failed.
	blockedUntil Instant
	// foreign says that the worker runs what the ledger does not have, so that its free capacity is not known.
	foreign bool
	health  health
	// unclaimedRuns and unclaimedEnds are listed by the worker and belong to jobs that are not known yet.
	unclaimedRuns []backend.RunningTask
	unclaimedEnds []backend.EndedTask
	// unknownSince is since when the worker lists tasks of unknown jobs, 0 if it lists none.
	unknownSince Instant
	// throttled is when a best-effort run was throttled last.
	throttled Instant
	// keptFor and keptUntil keep the room for queues of this priority or a higher one, after tasks were stopped for it.
	keptFor   int
	keptUntil Instant
	// cordoned keeps new runs away before a maintenance of the machine.
	cordoned   bool
	drainingAt Instant
	// leaves is when a draining worker may be gone.
	leaves Instant
}

type runKey struct {
	task string
	run  int64
}

// labelsOf returns the kind, which is the first label, and the rack, which is the last.
func labelsOf(labels []string) (kind, rack string) {
	if len(labels) == 0 {
		return "", ""
	}
	return labels[0], labels[len(labels)-1]
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// sameRack reports whether the worker is on the named rack.
func (w *worker) sameRack(rack string) bool {
	return w.hasLabel(rack) || strings.EqualFold(w.rack, rack)
}

// SetWorker enters a worker's entry of the registry.
func (c *Core) SetWorker(info backend.WorkerInfo, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[info.ID]
	if w == nil {
		w = c.newWorker(info.ID)
		if c.now < c.start+c.recoveryBound() {
			c.unread[info.ID] = struct{}{}
		}
		c.note("worker_listed", "", map[string]any{"worker": info.ID, "zone": info.Zone, "draining": info.Draining})
	}
	if info.StartedMS != 0 && info.StartedMS < w.startedMS {
		return
	}
	if info.StartedMS > w.startedMS && w.startedMS != 0 {
		c.newLife(w, info.StartedMS)
	}
	wasDraining := w.info.Draining
	w.info = info
	w.listed = true
	c.record(w)
	w.kind, w.rack = labelsOf(info.Labels)
	if info.Draining {
		w.leaves = c.now + time.Duration(info.RemainingMS)*time.Millisecond
		if !wasDraining {
			w.drainingAt = c.now
			c.note("worker_draining", "", map[string]any{"worker": info.ID, "runs": len(w.runs), "remaining_ms": info.RemainingMS})
			c.evacuate(w)
		}
	}
	c.poke()
}

// RemoveWorker notes that a worker's entry has left the registry. Its runs stay accounted until they have provably ended.
func (c *Core) RemoveWorker(id string, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = c.now
	c.note("worker_unlisted", "", map[string]any{
		"worker": id, "runs": len(w.runs), "last_answer_ms": (c.now - w.clockAt).Milliseconds(),
	})
	c.poke()
}

// newLife drops everything that belonged to a former life of a worker: a worker that starts anew runs nothing.
func (c *Core) newLife(w *worker, startedMS int64) {
	c.note("worker_restarted", "", map[string]any{"worker": w.info.ID, "runs": len(w.runs), "started_ms": startedMS})
	for _, r := range w.runs {
		c.dropRun(r, "worker restarted")
	}
	w.startedMS = startedMS
	w.known = false
	w.clockMS, w.leaseMS = 0, 0
	w.read, w.acked, w.acks = 0, 0, nil
	w.unclaimedRuns, w.unclaimedEnds, w.unknownSince = nil, nil, 0
	w.foreign = false
	w.health = health{}
	w.blockedUntil = 0
}

// leaseEnd returns when every lease on the worker has lapsed, on the caller's clock.
func (c *Core) leaseEnd(w *worker) Instant {
	if w.clockMS == 0 {
		return c.start + c.recoveryBound()
	}
	left := time.Duration(w.leaseMS-w.clockMS) * time.Millisecond
	return w.clockAt + stretchClock(max(left, 0))
}

// expireLease drops the runs of a worker that has not answered until every lease on it has lapsed.
func (c *Core) expireLease(w *worker) {
	if c.now <= c.leaseEnd(w) {
		return
	}
	if len(w.runs) > 0 {
		c.note("leases_lapsed", "", map[string]any{
			"worker": w.info.ID, "runs": len(w.runs), "last_answer_ms": (c.now - w.clockAt).Milliseconds(),
		})
		for _, r := range w.runs {
			c.dropRun(r, "lease lapsed")
		}
		w.known = false
	}
	delete(c.unread, w.info.ID)
	if !w.listed && c.now > w.unlistedAt+forgetWorkerAfter {
		delete(c.workers, w.info.ID)
		c.fleetChanged = true
	}
}

// forgetWorkerAfter is how long a worker without an entry is kept, since an entry may come back.
const forgetWorkerAfter = 10 * time.Second

// noteClock enters a stamp of the worker's clock.
func (c *Core) noteClock(w *worker, stampMS int64) {
	if stampMS > w.clockMS {
		w.clockMS, w.clockAt = stampMS, c.now
	}
}

// deadline returns the end of a lease on the worker's clock and notes that it was sent. While the worker runs something, the
// lease counts from its newest stamp, so that the leases of a worker that has fallen silent lapse. 0 means no deadline,
// because no stamp is known.
func (c *Core) deadline(w *worker) int64 {
	if w.clockMS == 0 {
		return 0
	}
	elapsed := time.Duration(0)
	if len(w.runs) == 0 {
		elapsed = time.Duration(float64(c.now-w.clockAt) * (1 - clockDrift))
	}
	d := w.clockMS + (elapsed + c.opts.Lease).Milliseconds()
	w.leaseMS = max(w.leaseMS, d)
	return d
}

func (w *worker) ref() backend.WorkerRef {
	return backend.WorkerRef{ID: w.info.ID, Address: w.info.Address}
}

const (
	// pollWait and idlePollWait are how long a worker with and without runs waits for an end before it answers.
	pollWait     = time.Second
	idlePollWait = 2 * time.Second
	// endSlack is added to the time at which an end is expected.
	endSlack = 200 * time.Millisecond
	// shortestPollWait bounds the polls of a worker whose tasks take longer than expected.
	shortestPollWait = 300 * time.Millisecond
	// missesToBlock is how many polls in a row must have had no answer before new runs keep away from a worker: a single
	// answer may be lost.
	missesToBlock = 2
)

// PreparePoll returns the next poll of a worker. ok is false when the worker is forgotten; pause asks the caller to try
// again later.
func (c *Core) PreparePoll(id string, now Instant) (req backend.PollRequest, pause, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil {
		return req, false, false
	}
	if c.suspended || c.superseded {
		return req, true, true
	}
	req = backend.PollRequest{Worker: w.ref(), Token: c.opts.Epoch, DeadlineMS: c.deadline(w), Acked: w.acked}
	switch {
	case !w.known || w.read > w.acked:
		req.Wait = 0
	case len(w.runs) == 0:
		req.Wait = idlePollWait
	default:
		req.Wait = c.untilEnd(w)
	}
	return req, false, true
}

// untilEnd returns how long a poll of a worker should wait: until the next end is expected. A poll whose answer is lost then
// delays the news of an end no longer than needed.
func (c *Core) untilEnd(w *worker) time.Duration {
	wait := pollWait
	for _, r := range w.runs {
		if !r.task.step.spec.Lasting {
			wait = min(wait, c.remaining(r)+endSlack)
		}
	}
	return max(wait.Truncate(time.Millisecond), shortestPollWait)
}

// AcksChanged returns a channel that receives a value when ends of a worker may be acknowledged, and whether there are
// ends that may not be yet.
func (c *Core) AcksChanged(id string) (changed <-chan struct{}, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return nil, false
	}
	return w.acksChanged, w.read > w.acked
}

// WorkerIDs returns the workers that need to be polled.
func (c *Core) WorkerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	return ids
}

// PollResult enters the answer to a poll of a worker that was sent at an instant.
func (c *Core) PollResult(id string, sent Instant, reply backend.PollReply, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.workers[id]
	if w == nil {
		return
	}
	if err != nil {
		c.pollFailed(w, err)
		return
	}
	if reply.Refusal == backend.RefusedFence {
		c.supersede(w)
		return
	}
	if reply.Refusal == backend.RefusedInstance {
		c.lifeOver(w)
		return
	}
	if reply.Refusal != "" {
		c.note("poll_refused", "", map[string]any{"worker": id, "refusal": reply.Refusal})
		w.blockedUntil = c.now + blockAfterFailure
		return
	}
	if reply.StartedMS < w.startedMS {
		return
	}
	if reply.StartedMS > w.startedMS {
		if w.startedMS != 0 {
			c.newLife(w, reply.StartedMS)
		}
		w.startedMS = reply.StartedMS
	}
	c.noteClock(w, reply.ClockMS)
	if !w.known {
		c.note("worker_read", "", map[string]any{"worker": id, "running": len(reply.Running), "ended": len(reply.Ended), "started_ms": reply.StartedMS})
	}
	w.health.missed = 0
	if w.health.silent {
		w.health.silent = false
		c.note("worker_answers", "", map[string]any{"worker": id})
	}
	c.readEnds(w, reply.Ended)
	c.readRunning(w, sent, reply.Running)
	if len(w.unclaimedRuns) == 0 && len(w.unclaimedEnds) == 0 {
		w.unknownSince = 0
	}
	w.known = true
	delete(c.unread, id)
	c.poke()
}

// lifeOver drops the runs of a worker whose address another life answers for: what ran there has ended with its process.
func (c *Core) lifeOver(w *worker) {
	delete(c.unread, w.info.ID)
	if !w.known && len(w.runs) == 0 {
		return
	}
	c.note("worker_replaced", "", map[string]any{"worker": w.info.ID, "runs": len(w.runs), "address": w.info.Address})
	for _, r := range w.runs {
		c.dropRun(r, "another worker has the address")
	}
	w.known = false
}

// pollFailed notes a poll without an answer.
func (c *Core) pollFailed(w *worker, err error) {
	w.health.missed++
	if w.health.missed >= missesToBlock {
		w.blockedUntil = max(w.blockedUntil, c.now+blockAfterFailure)
	}
	if !w.health.silent {
		w.health.silent = true
		c.note("worker_silent", "", map[string]any{"worker": w.info.ID, "error": err.Error(), "runs": len(w.runs)})
	}
}

// blockAfterFailure keeps new runs from a worker that did not answer.
const blockAfterFailure = 700 * time.Millisecond

// supersede ends the epoch: a worker has seen a higher token.
func (c *Core) supersede(w *worker) {
	if c.superseded {
		return
	}
	c.superseded = true
	c.note("epoch_superseded", "", map[string]any{"worker": w.info.ID, "epoch": c.opts.Epoch})
	c.poke()
}

// readRunning compares the runs that a worker lists with the ledger.
func (c *Core) readRunning(w *worker, sent Instant, running []backend.RunningTask) {
	w.unclaimedRuns = nil
	w.foreign = false
	listed := make(map[runKey]struct{}, len(running))
	for _, item := range running {
		key := runKey{item.Task, item.Run}
		listed[key] = struct{}{}
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, item)
		}
		if r == nil {
			w.foreign = true
			continue
		}
		c.observe(r, item)
	}
	for key, r := range w.runs {
		if _, ok := listed[key]; !ok {
			c.missing(r, sent)
		}
	}
	c.protectTargets(w)
}

// freeCPU returns the free processor time of a worker in thousandths of a core.
func (w *worker) freeCPU() int64 { return w.info.Capacity.CPUMilli - w.used.CPUMilli }

// fits reports whether a task of a step fits.
func (w *worker) fits(each model.Resources, bestEffort bool) bool {
	capacity := w.info.Capacity
	if w.used.MemoryMiB+each.MemoryMiB > capacity.MemoryMiB || w.used.Accelerators+each.Accelerators > capacity.Accelerators {
		return false
	}
	return bestEffort || w.used.CPUMilli+each.CPUMilli <= capacity.CPUMilli
}

// reserve adds the demand of a run to the ledger; sign -1 releases it.
func (w *worker) reserve(s *step, sign int64) {
	each := s.spec.Each
	w.used.MemoryMiB += sign * each.MemoryMiB
	w.used.Accelerators += sign * each.Accelerators
	if s.spec.BestEffort {
		w.bestEffort += sign * each.CPUMilli
	} else {
		w.used.CPUMilli += sign * each.CPUMilli
	}
	s.perWorker[w] += int(sign)
	if s.perWorker[w] == 0 {
		delete(s.perWorker, w)
	}
}
