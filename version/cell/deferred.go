package cell

import (
	"strings"

	"github.com/lentiltide/lentiltide/model/job"
)

// deferredJob is an accepted job that is not in memory. Its size does not depend on the job, apart from the checkpoints of its tasks.
type deferredJob struct {
	id       job.ID
	queue    string
	priority int
	team     string
	// bestEffort means that a step is best-effort.
	bestEffort bool
	// epoch is that of the record, and recovered means that a former leader may have started the job.
	epoch     uint64
	recovered bool
	// size is the footprint of the job with one open occurrence.
	size int64
	// addedAt is when the job became known, and deferredAt when it was deferred last.
	addedAt, deferredAt Instant
	// retryAt is the earliest time of the next read.
	retryAt Instant
	// dueMS is when the next occurrence is due, in milliseconds since the Unix epoch; 0 for a job without occurrences, or with one that was open.
	dueMS int64
	// admissions is how often the job has been admitted.
	admissions int
	// startable means that the workers could hold a task when the job was deferred.
	startable bool
	// started and beyondRate are as in jobState. runNumber is the highest run number of its tasks, above which the next ones begin.
	started, beyondRate bool
	runNumber           int64
	// checkpoints are those of tasks that wait, by task name.
	checkpoints map[string]string
	// crashes is progress with crashes that a former leader could not store.
	crashes []byte
	// reading means that the rows of the job are being read, and required that the job is admitted whatever memory it takes.
	reading, required bool
	reason            DeferralReason
}

// DeferralReason is the reason why a job is not in memory.
type DeferralReason string

// The reasons why a job is not in memory.
const (
	// deferredTooLarge: the job takes more memory than the leader has for jobs. It never starts under a leader of this size.
	deferredTooLarge DeferralReason = "larger_than_memory"
	// deferredMemory: other jobs take the memory.
	deferredMemory DeferralReason = "memory"
	// deferredIdle: the job had no run, and others waited for its memory.
	deferredIdle DeferralReason = "idle"
)

func deferredReason(a *admission, size int64) DeferralReason {
	if !a.canHold(size) {
		return deferredTooLarge
	}
	return deferredMemory
}

// newDeferredJob returns the entry of a job whose record has arrived, with its progress, which may be nil.
func newDeferredJob(id job.ID, record *job.Record, size int64, progress *progressRow) *deferredJob {
	d := &deferredJob{
		id: id, queue: strings.Clone(record.Queue.Name), priority: record.Queue.Priority, team: strings.Clone(record.Team), epoch: record.Epoch, size: size,
		bestEffort: record.Spec.HasBestEffort(),
	}
	if progress != nil {
		d.started = len(progress.Steps)+len(progress.Done) > 0
	}
	if record.Spec.Repetitions > 0 {
		d.dueMS = record.Spec.DueMS(0)
	}
	return d
}

// deferredFrom returns the entry of a job that was admitted.
func (c *Core) deferredFrom(j *jobState) *deferredJob {
	d := &deferredJob{
		id: j.id, queue: j.queue.Name, priority: j.queue.Priority, epoch: j.record.Epoch, recovered: j.recovered,
		size: j.recordSize + j.occurrenceSize, addedAt: j.addedAt, admissions: j.admissions, started: j.started, beyondRate: j.beyondRate,
		runNumber: j.baseRunNumber, bestEffort: j.record.Spec.HasBestEffort(),
	}
	if j.team != nil {
		d.team = j.team.name
	}
	if j.record.Spec.Repetitions > 0 && !j.hasOpenWork() {
		d.dueMS = j.nextDueMS()
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			d.runNumber = max(d.runNumber, s.gangRunNumber)
			for _, t := range s.tasks {
				d.addTask(t)
			}
		}
	}
	return d
}

// hasOpenWork reports whether an occurrence is open and not complete.
func (j *jobState) hasOpenWork() bool {
	for _, o := range j.occurrences {
		if !o.isComplete() {
			return true
		}
	}
	return false
}

// lowerDeferredEpoch is lowerEpoch for a job that is not in memory.
func (c *Core) lowerDeferredEpoch(d *deferredJob, epoch uint64) {
	d.epoch = min(d.epoch, epoch)
	d.recovered = d.recovered || d.epoch < c.opts.Epoch
}

// addTask adds what a later admission needs of a task and what its job's rows do not hold.
func (d *deferredJob) addTask(t *task) {
	d.runNumber = max(d.runNumber, t.lastRunNumber)
	if t.checkpoint == "" || t.done {
		return
	}
	if d.checkpoints == nil {
		d.checkpoints = map[string]string{}
	}
	d.checkpoints[t.name] = t.checkpoint
}

// deferJob adds an entry for a job that is not in memory.
func (c *Core) deferJob(d *deferredJob, reason DeferralReason) {
	d.deferredAt, d.reason = c.now, reason
	if d.addedAt == 0 {
		d.addedAt = c.now
		d.recovered = d.epoch < c.opts.Epoch
		if t := c.teamOf(d.team); t != nil && !d.recovered {
			d.beyondRate = !t.rate.take(c.now)
		}
	}
	if q, ok := c.config.Queue(d.queue); ok {
		d.queue, d.priority = q.Name, q.Priority
	}
	c.admission.deferred[d.id] = d
	c.addCandidate(d)
	c.unreadChanged = c.unreadChanged || d.recovered
	c.logDecision("job_deferred", d.id, map[string]any{
		"queue": d.queue, "reason": reason, "bytes": d.size, "used_bytes": c.admission.used, "limit_bytes": c.admission.limit,
		"deferred": len(c.admission.deferred),
	})
}

// takeDeferred removes the entry of a job that is deferred no longer, and returns it, or nil if there is none.
func (c *Core) takeDeferred(id job.ID) *deferredJob {
	d := c.admission.deferred[id]
	if d != nil {
		c.endRead(d)
		delete(c.admission.deferred, id)
	}
	return d
}

// resume applies what is known of a deferred job to its state after an admission, before its occurrences are opened. d may be nil.
func (d *deferredJob) resume(j *jobState) {
	j.admissions = 1
	if d == nil {
		return
	}
	j.admissions += d.admissions
	j.addedAt, j.started, j.beyondRate = d.addedAt, d.started, d.beyondRate
	j.recovered = j.recovered || d.recovered
	j.record.Epoch = min(j.record.Epoch, d.epoch)
	j.checkpoints = d.checkpoints
}

// restoreCheckpoint applies the checkpoint that a task had when its job was deferred.
func (t *task) restoreCheckpoint() {
	checkpoint, ok := t.step.job.checkpoints[t.name]
	if !ok {
		return
	}
	t.checkpoint = checkpoint
	if t.step.spec.Gang {
		t.step.gangCheckpoint = checkpoint
	}
}

// state returns the state that is reported for a deferred job.
func (d *deferredJob) state() job.State {
	if d.started {
		return job.Running
	}
	return job.Queued
}

// finishDeferred gives a job that is not in memory its final state.
func (c *Core) finishDeferred(id job.ID, state job.State, reason string) {
	j := &jobState{id: id, addedAt: c.now, started: true, state: job.Queued, reportedState: job.Queued, released: true}
	if d := c.takeDeferred(id); d != nil {
		j.addedAt, j.queue = d.addedAt, job.Queue{Name: d.queue}
	}
	c.jobs[id] = j
	c.finishJob(j, state, reason)
}

// DeferJob adds a job whose progress was not read, without its tasks. Its rows are read when there is memory for it.
func (c *Core) DeferJob(id job.ID, record job.Record, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if c.isInMemory(id) || c.admission.deferred[id] != nil {
		return
	}
	size := recordFootprint(&record) + occurrenceFootprint(&record.Spec)
	d := newDeferredJob(id, &record, size, nil)
	d.started, d.startable = true, c.couldStart(&record)
	c.deferJob(d, deferredReason(&c.admission, size))
}

// DeferredJob is a job that is not in memory, for operators.
type DeferredJob struct {
	ID     job.ID         `json:"id"`
	Queue  string         `json:"queue"`
	State  job.State      `json:"state"`
	Reason DeferralReason `json:"reason"`
	AgeMS  int64          `json:"age_ms"`
	// Bytes is the memory that the job would take.
	Bytes int64 `json:"bytes"`
}

func (c *Core) dumpDeferred(d *deferredJob) DeferredJob {
	return DeferredJob{d.id, d.queue, d.state(), d.reason, (c.now - d.addedAt).Milliseconds(), d.size}
}

// MemoryUse is the memory that a leader needs for jobs.
type MemoryUse struct {
	// UsedBytes is an upper bound for the jobs in memory, and LimitBytes what there is for them.
	UsedBytes  int64 `json:"used_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// Deferred are the jobs that are not in memory, and TooLarge those of them that are larger than it.
	Deferred int `json:"deferred"`
	TooLarge int `json:"too_large"`
	// Evictions counts the jobs that were deferred after they had been admitted.
	Evictions uint64 `json:"evictions"`
}

// MemoryUse returns the memory that is in use for jobs.
func (c *Core) MemoryUse() MemoryUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memoryUse()
}

func (c *Core) memoryUse() MemoryUse {
	a := &c.admission
	use := MemoryUse{UsedBytes: a.used, LimitBytes: a.limit, Deferred: len(a.deferred), Evictions: a.evictions}
	for _, d := range a.deferred {
		if d.reason == deferredTooLarge {
			use.TooLarge++
		}
	}
	return use
}
