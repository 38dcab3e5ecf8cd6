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
	// maxCrashes is how many workers may crash under a task before its job has failed. Of crashes under which the task may not
	// have run, maxPossibleCrashes weigh as much: a task may start no more than twice after the third crash.
	maxCrashes, maxPossibleCrashes = 3, 4
	// isolationCrashes is the number of crashes from which a task runs apart from tasks of other jobs that started recently.
	isolationCrashes = 1
	// isolationDuration is how long after its start a run counts as recent, and how long nothing else starts beside an
	// isolated one.
	isolationDuration = 2 * time.Second
	// isolationTimeout is how long a task waits for a worker without recently started runs. Afterwards any worker may do; a task
	// that is not one of a service still avoids those on which another task with crashes has started recently.
	isolationTimeout = 2 * time.Second
	// rackOutageWindow is the time within which the last answers of the workers of a rack lie that lost power together.
	rackOutageWindow = 2 * time.Second
	// minRackOutage is the lowest number of crashed workers, and rackOutageShare the share of the workers of a rack, from
	// which their crashes count as one outage of the rack. No more than maxShareOutside of the other workers may have crashed
	// at about the same time: tasks that crash workers are not confined to a rack.
	minRackOutage   = 3
	maxShareOutside = 0.5
	rackOutageShare = 0.75
	// maxCrashesTakenBack is how many crashes that a task may have caused are attributed to outages: tasks that crash the workers
	// of a rack look like one. The task starts no more than twice after maxCrashes.
	maxCrashesTakenBack = 2
	// crashSettleTime is how long after a crash its tasks are judged: the other workers of the rack may be noticed by then.
	crashSettleTime = time.Second
	// crashRetention is how long a crash is kept to recognize the outage of a rack. Workers may return one after the other.
	crashRetention = 15 * time.Second
	// youngRunAge is the age up to which a run may have crashed its worker by itself, although the worker seems to have been lost
	// in an outage: tasks that crash their workers mostly do so early.
	youngRunAge = time.Second
	// serviceCrashPause is how long a service task waits after maxCrashes, since its job is not given up: a service has no limit of attempts, and
	// workers crash under its tasks by chance for as long as it lasts.
	serviceCrashPause = 3 * time.Second
	// stableServiceRun is how long a service task must run for its earlier crashes to be forgotten.
	stableServiceRun = time.Minute
)

// crashCount counts the crashes under a task.
type crashCount struct {
	// certain are those of workers that had confirmed a run of the task, possible those of workers whose start was not answered or
	// whose leases had expired.
	certain, possible int
}

func (n crashCount) total() int { return n.certain + n.possible }

// tooMany reports whether a task with these crashes is to be given up.
func (n crashCount) tooMany() bool {
	return n.certain*maxPossibleCrashes+n.possible*maxCrashes >= maxCrashes*maxPossibleCrashes
}

// add adds one crash; a sign of -1 takes one back.
func (n *crashCount) add(certain bool, sign int) {
	if certain {
		n.certain = max(0, n.certain+sign)
	} else {
		n.possible = max(0, n.possible+sign)
	}
}

// countedTask is a task for which a crash was counted.
type countedTask struct {
	task    *task
	certain bool
	// young means that the run was younger than youngRunAge when the worker crashed.
	young bool
}

// crash is the end of a worker's process without notice.
type crash struct {
	worker, address, rack string
	// lastAnswerAt is when the worker answered last, and silentSince when it first failed to answer; 0 if it did not.
	lastAnswerAt, silentSince Instant
	noticedAt                 Instant
	// tasks are the tasks for which the crash was counted.
	tasks []countedTask
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
	c.crashes = slices.DeleteFunc(c.crashes, func(old *crash) bool { return old.settled && c.now > old.noticedAt+crashRetention })
	c.crashes = append(c.crashes, k)
	for _, t := range expired {
		c.countCrash(k, countedTask{task: t})
	}
	return k
}

// countCrash counts a crash for a task that ran on the worker, or may have run there.
func (c *Core) countCrash(k *crash, counted countedTask) {
	t := counted.task
	if slices.ContainsFunc(k.tasks, func(other countedTask) bool { return other.task == t }) {
		return
	}
	t.crashes.add(counted.certain, 1)
	k.tasks = append(k.tasks, counted)
	if k.settled {
		k.settled, k.takenBack, k.noticedAt = false, false, c.now
	}
	c.markChanged(t.step.job)
	c.holdAfterCrash(t.step.job)
}

// countCrashOfRun counts a crash, which may be nil, for the task of a run that may have run then.
func (c *Core) countCrashOfRun(k *crash, r *run) {
	if k != nil && r.mayHaveRun(k.silentSince) {
		c.countCrash(k, countedTask{r.task, r.isConfirmed(), k.wasYoung(r)})
	}
}

// wasYoung reports whether a run was younger than youngRunAge when its worker crashed, or started after the last answer.
func (k *crash) wasYoung(r *run) bool {
	crashedBy := k.noticedAt
	if k.silentSince != 0 {
		crashedBy = k.silentSince
	}
	return r.createdAt > k.lastAnswerAt || crashedBy < r.createdAt+youngRunAge
}

// isConfirmed reports whether the worker has answered the start of a run or listed it.
func (r *run) isConfirmed() bool {
	return r.firstReportAt != 0 || (r.confirmedAt != 0 && r.unansweredAt == 0)
}

// mayHaveRun reports whether a run may have been on its worker when that ended: its start was sent before the worker failed to answer, and the
// run has not ended.
func (r *run) mayHaveRun(silentSince Instant) bool {
	return r.phase != phaseRecording && !r.completionUnread && !r.wasSentTooLate(silentSince)
}

// wasSentTooLate reports whether the start of a run was sent after its worker had failed to answer, and was not answered.
func (r *run) wasSentTooLate(silentSince Instant) bool {
	return !r.isConfirmed() && silentSince != 0 && r.createdAt > silentSince
}

// judgeLater judges a task whose crashes a former leader has stored but not judged.
func (c *Core) judgeLater(t *task) {
	c.crashes = append(c.crashes, &crash{noticedAt: c.now, tasks: []countedTask{{task: t}}})
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
		for _, counted := range k.tasks {
			c.giveUpAfterCrashes(counted.task)
		}
	}
}

// giveUpAfterCrashes ends the job of a task under which too many workers have crashed, unless the task is one of a service.
func (c *Core) giveUpAfterCrashes(t *task) {
	j := t.step.job
	if !t.crashes.tooMany() || t.done || j.state.Terminal() {
		return
	}
	if t.step.spec.LongRunning {
		c.pauseAfterCrashes(t)
		return
	}
	c.logDecision("task_given_up", j.id, map[string]any{
		"task": t.name, "crashes": t.crashes.certain, "possible_crashes": t.crashes.possible,
	})
	c.finishJob(j, job.Failed, "workers crashed whenever task "+t.name+" ran")
}

// pauseAfterCrashes makes a service task wait before it starts again. The task stays isolated.
func (c *Core) pauseAfterCrashes(t *task) {
	c.logDecision("service_paused", t.step.job.id, map[string]any{
		"task": t.name, "crashes": t.crashes.certain, "possible_crashes": t.crashes.possible, "pause_ms": serviceCrashPause.Milliseconds(),
	})
	t.crashes, t.crashesTakenBack = crashCount{certain: isolationCrashes}, 0
	t.pausedUntil = c.now + serviceCrashPause
	c.markChanged(t.step.job)
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
		for _, counted := range other.tasks {
			c.takeBack(counted, outage)
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

// takeBack takes one crash of an outage back from a task. The task may have caused the crash if its run was young, and its job the
// outage if it had tasks on all of the workers; this is taken back maxCrashesTakenBack times only.
func (c *Core) takeBack(counted countedTask, outage []*crash) {
	t := counted.task
	if counted.young || ranOnAll(t.step.job, outage) {
		if t.crashesTakenBack >= maxCrashesTakenBack {
			return
		}
		t.crashesTakenBack++
	}
	t.crashes.add(counted.certain, -1)
	c.markChanged(t.step.job)
}

// ranOnAll reports whether a job had tasks on all crashed workers.
func ranOnAll(j *jobState, crashes []*crash) bool {
	for _, k := range crashes {
		if !slices.ContainsFunc(k.tasks, func(counted countedTask) bool { return counted.task.step.job == j }) {
			return false
		}
	}
	return true
}

// tasksAtRisk returns the tasks that may have run on a worker since its last answer.
func (w *worker) tasksAtRisk() []*task {
	var tasks []*task
	for _, r := range w.runs {
		if r.mayHaveRun(w.silentSince) {
			tasks = append(tasks, r.task)
		}
	}
	return tasks
}

// forgetEarlierCrashes takes the crashes back from a service task whose run has been stable: it may meet crashes by chance for
// as long as it lasts.
func (c *Core) forgetEarlierCrashes(r *run) {
	if r.task.step.spec.LongRunning && r.task.mayCrash() && c.now > r.createdAt+stableServiceRun {
		r.task.crashes, r.task.crashesTakenBack, r.task.suspect = crashCount{}, 0, false
		c.markChanged(r.task.step.job)
	}
}

// isIsolated reports whether a task runs apart from others. The members of a gang cannot, since they start together.
func (t *task) isIsolated() bool { return t.crashes.total() >= isolationCrashes && !t.step.spec.Gang }

// mayShare reports whether a task with crashes may start on a worker now, beside the runs there. Two tasks with crashes are kept
// apart for a while, so that the next crash is counted for one of them only.
func (c *Core) mayShare(w *worker, t *task) bool {
	if t.crashes.total() == 0 || t.step.spec.Gang {
		return true
	}
	if c.isHeldAfterCrash(t) || c.now < t.pausedUntil {
		return false
	}
	if t.crashes.tooMany() {
		// The task is about to be judged.
		return false
	}
	patient := t.isIsolated() && c.now < t.waitingSince+isolationTimeout
	if !patient && t.step.spec.LongRunning {
		// A service is not given up, and many of its tasks may wait for few workers after a crash.
		return true
	}
	for _, r := range w.runs {
		recent := c.now < r.createdAt+isolationDuration
		if recent && r.task.step.job != t.step.job && (patient || r.task.crashes.total() > 0) {
			return false
		}
	}
	return true
}

// hasIsolatedRun reports whether a step may not start on a worker because an isolated run of another job has started there
// recently. Service tasks wait for it for isolationTimeout only.
func (c *Core) hasIsolatedRun(w *worker, s *step) bool {
	r := w.isolatedRun
	return r != nil && r.task.step.job != s.job && c.now < r.createdAt+isolationDuration && !c.isOverdueService(s)
}

// hasIsolatedRuns reports whether a worker may accept tasks of one job only. Steps of different jobs are not alike then.
func (c *Core) hasIsolatedRuns() bool {
	for _, w := range c.workers {
		if w.isolatedRun != nil {
			return true
		}
	}
	return false
}

// isOverdueService reports whether a service task of a step has waited for isolationTimeout.
func (c *Core) isOverdueService(s *step) bool {
	if !s.spec.LongRunning {
		return false
	}
	t := s.longestWaiting()
	return t != nil && c.now >= t.waitingSince+isolationTimeout
}
