package cell

import (
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// A task may crash each worker that runs it. After the first crash it looks like a task whose worker crashed by chance, so
// crashes are counted for every task that ran on a worker when it crashed. Tasks with crashes are kept apart, so that a crash
// says more about one of them the more it has, and a job with a task that has reached maxCrashes has failed.

const (
	// maxCrashes is how many workers may crash under a task before its job has failed.
	maxCrashes = 3
	// isolationCrashes is the number of crashes from which a task runs apart from tasks that started recently.
	isolationCrashes = 2
	// isolationDuration is how long after its start a run counts as recent, and how long nothing else starts beside an
	// isolated one.
	isolationDuration = 2 * time.Second
	// isolationTimeout is how long a task waits for a worker without recently started runs. Afterwards any worker may do.
	isolationTimeout = 2 * time.Second
	// rackOutageWindow is the time within which the last answers of the workers of a rack lie that lost power together.
	rackOutageWindow = 2 * time.Second
	// minRackOutage is the lowest number of crashed workers, and rackOutageShare the share of the workers of a rack, from
	// which their crashes count as one outage of the rack. No more than maxShareOutside of the other workers may have crashed
	// at about the same time: tasks that crash workers are not confined to a rack.
	minRackOutage   = 3
	maxShareOutside = 0.5
	rackOutageShare = 0.75
	// maxCrashesTakenBack is how many crashes under a task may be attributed to outages that its job may have caused. The task
	// starts no more than twice after maxCrashes.
	maxCrashesTakenBack = 2
	// crashSettleTime is how long after a crash its tasks are judged: the other workers of the rack may be noticed by then.
	crashSettleTime = time.Second
	// crashRetention is how long a crash is kept to recognize the outage of a rack. Workers may return one after the other.
	crashRetention = 15 * time.Second
	// stableServiceRun is how long a service task must run for its earlier crashes to be forgotten.
	stableServiceRun = time.Minute
)

// crash is the end of a worker's process without notice.
type crash struct {
	worker, address, rack string
	// lastAnswerAt is when the worker answered last, and silentSince when it first failed to answer; 0 if it did not.
	lastAnswerAt, silentSince Instant
	noticedAt                 Instant
	// tasks are the tasks for which the crash was counted.
	tasks []*task
	// settled means that the tasks have been judged, and takenBack that the crash was attributed to an outage of its rack.
	settled, takenBack bool
}

// noticeCrash records that the process of a worker has ended, and counts the crash for the tasks whose leases have expired
// since the last answer. It returns nil if the end was expected: the worker was about to leave or had a maintenance.
func (c *Core) noticeCrash(w *worker) *crash {
	expired := w.expiredTasks
	w.expiredTasks = nil
	if w.info.Draining || w.cordoned {
		return nil
	}
	k := &crash{
		worker: w.info.ID, address: w.info.Address, rack: w.rack, lastAnswerAt: w.clockReceivedAt, silentSince: w.silentSince, noticedAt: c.now,
	}
	c.crashes = slices.DeleteFunc(c.crashes, func(old *crash) bool { return c.now > old.noticedAt+crashRetention })
	c.crashes = append(c.crashes, k)
	for _, t := range expired {
		c.countCrash(k, t)
	}
	return k
}

// countCrash counts a crash, which may be nil, for a task that ran on the worker.
func (c *Core) countCrash(k *crash, t *task) {
	if k == nil || slices.Contains(k.tasks, t) {
		return
	}
	t.crashes++
	k.tasks = append(k.tasks, t)
	if k.settled {
		k.settled, k.takenBack, k.noticedAt = false, false, c.now
	}
	c.markChanged(t.step.job)
}

// countCrashOfRun counts a crash for the task of a run, unless its start was sent when the worker did not answer any longer.
func (c *Core) countCrashOfRun(k *crash, r *run) {
	if k != nil && !wasSentTooLate(r, k.silentSince) {
		c.countCrash(k, r.task)
	}
}

// wasSentTooLate reports whether the start of a run was sent after its worker had failed to answer, and was not answered.
func wasSentTooLate(r *run, silentSince Instant) bool {
	return r.confirmedAt == 0 && silentSince != 0 && r.createdAt > silentSince
}

// settleCrashes judges the tasks of crashes after crashSettleTime.
func (c *Core) settleCrashes() {
	for _, k := range c.crashes {
		if k.settled || c.now < k.noticedAt+crashSettleTime {
			continue
		}
		k.settled = true
		if len(k.tasks) == 0 {
			continue
		}
		c.logDecision("worker_crashed", "", map[string]any{
			"worker": k.worker, "rack": k.rack, "tasks": len(k.tasks), "rack_outage": c.takeBackOutage(k),
			"last_answer_ms": (c.now - k.lastAnswerAt).Milliseconds(),
		})
		for _, t := range k.tasks {
			c.giveUpAfterCrashes(t)
		}
	}
}

// giveUpAfterCrashes ends the job of a task under which too many workers have crashed.
func (c *Core) giveUpAfterCrashes(t *task) {
	j := t.step.job
	if t.crashes < maxCrashes || t.done || j.state.Terminal() {
		return
	}
	c.logDecision("task_given_up", j.id, map[string]any{"task": t.name, "crashes": t.crashes})
	c.finishJob(j, job.Failed, "workers crashed whenever task "+t.name+" ran")
}

// takeBackOutage reports whether a crash belongs to an outage of its rack. The crashes of such an outage are taken back from
// the tasks.
func (c *Core) takeBackOutage(k *crash) bool {
	outage, outside := c.crashesWith(k)
	if !c.isRackOutage(k.rack, len(addressesOf(outage)), len(addressesOf(outside))) {
		return false
	}
	for _, other := range outage {
		if other.takenBack {
			continue
		}
		other.takenBack = true
		for _, t := range other.tasks {
			c.takeBack(t, outage)
		}
	}
	return true
}

// isRackOutage reports whether the numbers of workers that crashed at about the same time on a rack and outside of it show an
// outage of the rack.
func (c *Core) isRackOutage(rack string, crashed, crashedOutside int) bool {
	addresses, others := map[string]struct{}{}, map[string]struct{}{}
	for _, w := range c.workers {
		if w.rack == rack {
			addresses[w.info.Address] = struct{}{}
		} else {
			others[w.info.Address] = struct{}{}
		}
	}
	return crashed >= minRackOutage && float64(crashed) >= rackOutageShare*float64(len(addresses)) &&
		len(others) > 0 && float64(crashedOutside) <= maxShareOutside*float64(len(others))
}

// crashesWith returns the crashes of the workers that answered last at about the same time as that of a crash, on its rack and
// outside of it.
func (c *Core) crashesWith(k *crash) (onRack, outside []*crash) {
	for _, other := range c.crashes {
		if (other.lastAnswerAt - k.lastAnswerAt).Abs() > rackOutageWindow {
			continue
		}
		if other.rack == k.rack {
			onRack = append(onRack, other)
		} else {
			outside = append(outside, other)
		}
	}
	return onRack, outside
}

// addressesOf returns the addresses of crashed workers. A worker may return under another ID, but at its address.
func addressesOf(crashes []*crash) map[string]struct{} {
	addresses := map[string]struct{}{}
	for _, k := range crashes {
		addresses[k.address] = struct{}{}
	}
	return addresses
}

// takeBack takes one crash of an outage back from a task. If its job had tasks on all of the workers, it may have caused the
// outage; this is taken back maxCrashesTakenBack times only.
func (c *Core) takeBack(t *task, outage []*crash) {
	if t.crashes == 0 {
		return
	}
	if ranOnAll(t.step.job, outage) {
		if t.crashesTakenBack >= maxCrashesTakenBack {
			return
		}
		t.crashesTakenBack++
	}
	t.crashes--
	c.markChanged(t.step.job)
}

// ranOnAll reports whether a job had tasks on all crashed workers.
func ranOnAll(j *jobState, crashes []*crash) bool {
	for _, k := range crashes {
		if !slices.ContainsFunc(k.tasks, func(t *task) bool { return t.step.job == j }) {
			return false
		}
	}
	return true
}

// tasksAtRisk returns the tasks that may have run on a worker since its last answer.
func (w *worker) tasksAtRisk() []*task {
	var tasks []*task
	for _, r := range w.runs {
		if !wasSentTooLate(r, w.silentSince) {
			tasks = append(tasks, r.task)
		}
	}
	return tasks
}

// forgetEarlierCrashes takes the crashes back from a service task whose run has been stable: it may meet crashes by chance for
// as long as it lasts.
func (c *Core) forgetEarlierCrashes(r *run) {
	if r.task.step.spec.LongRunning && r.task.crashes > 0 && c.now > r.createdAt+stableServiceRun {
		r.task.crashes = 0
		c.markChanged(r.task.step.job)
	}
}

// isIsolated reports whether a task runs apart from others. The members of a gang cannot, since they start together.
func (t *task) isIsolated() bool { return t.crashes >= isolationCrashes && !t.step.spec.Gang }

// mayShare reports whether a task with crashes may start on a worker now, beside the runs there. Two tasks with crashes are kept
// apart for a while, so that the next crash is counted for one of them only.
func (c *Core) mayShare(w *worker, t *task) bool {
	if t.crashes == 0 || t.step.spec.Gang {
		return true
	}
	if t.crashes >= maxCrashes {
		// The task is about to be judged.
		return false
	}
	patient := t.isIsolated() && c.now < t.waitingSince+isolationTimeout
	for _, r := range w.runs {
		recent := c.now < r.createdAt+isolationDuration
		if recent && r.task.step.job != t.step.job && (patient || r.task.crashes > 0) {
			return false
		}
	}
	return true
}

// hasIsolatedRun reports whether nothing else may start on a worker because an isolated run has started there recently.
func (c *Core) hasIsolatedRun(w *worker) bool {
	return w.isolatedRun != nil && c.now < w.isolatedRun.createdAt+isolationDuration
}
