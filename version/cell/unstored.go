package cell

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/model/job"
)

// While the store does not answer, two kinds of results are replicated to the instances that may lead next, so that less is repeated if
// the leader is lost. Completed jobs: a worker retains the completions of its tasks too, but it may crash. Crashes of workers, before the
// tasks that may have caused them start again: nothing else retains them. The replicas may all be lost at once, so no answer to a caller
// rests on them.

const (
	// unstoredReportDelay is how long a result waits for its progress to become durable before it is replicated. It is longer
	// than a write to the store takes, so that replication only matters during an outage of the store.
	unstoredReportDelay = 100 * time.Millisecond
	// maxCrashHold is how long a task waits for its last crash to become durable or replicated before it starts again: there may
	// be no other instance.
	maxCrashHold = time.Second
	// minHeldCrashes is the number of crashes from which a task waits so: most tasks with a single crash did not cause it.
	minHeldCrashes = 2
	// maxCrashBytes limits the progress in one reply.
	maxCrashBytes = 64 << 10
)

// unstoredResults are the results that are not durable.
type unstoredResults struct {
	// entries are in ascending order of their sequence numbers.
	entries      []unstoredEntry
	lastSequence uint64
	// adoptedSequence is the number of the last result of a former leader.
	adoptedSequence uint64
	// replicatedSequence is the sequence number up to which the results are replicated.
	replicatedSequence uint64
}

// unstoredEntry is a completed job, or a job with a task that may have crashed a worker, whose progress is not durable.
type unstoredEntry struct {
	sequence uint64
	job      *jobState
	// crashChange is the number of the change with the crash; 0 for a completion.
	crashChange uint64
	// since is the sequence number of the first entry that this one supersedes, its own if there is none, and addedAt is when that was
	// added.
	since   uint64
	addedAt Instant
}

// crashRecord says which change of a job holds the last crash of a worker under one of its tasks.
type crashRecord struct {
	change, sequence uint64
	countedAt        Instant
}

// add adds an entry with the next sequence number, which it returns.
func (u *unstoredResults) add(e unstoredEntry) uint64 {
	u.lastSequence++
	e.sequence = u.lastSequence
	if e.since == 0 {
		e.since = e.sequence
	}
	u.entries = append(u.entries, e)
	return e.sequence
}

// removeStored removes the entries whose progress has become durable.
func (u *unstoredResults) removeStored() {
	u.entries = slices.DeleteFunc(u.entries, func(e unstoredEntry) bool {
		if e.crashChange != 0 {
			return e.crashChange <= e.job.storedChange
		}
		return e.job.reportedState.Terminal()
	})
}

// addUnstoredCompletion adds a job that has just been completed.
func (c *Core) addUnstoredCompletion(j *jobState) {
	c.unstored.add(unstoredEntry{job: j, addedAt: c.now})
}

// storedSequence returns the sequence number up to which all entries, those that others supersede included, are durable.
func (u *unstoredResults) storedSequence() uint64 {
	stored := u.lastSequence
	for _, e := range u.entries {
		stored = min(stored, e.since-1)
	}
	return stored
}

// addUnstoredCrashes adds the crashes under the tasks of a job, and their last starts, as of its last change. An earlier entry is
// superseded; instances that hold it keep it until this one is durable.
func (c *Core) addUnstoredCrashes(j *jobState) uint64 {
	c.unstored.removeStored()
	added := unstoredEntry{job: j, crashChange: j.lastChange, addedAt: c.now}
	c.unstored.entries = slices.DeleteFunc(c.unstored.entries, func(e unstoredEntry) bool {
		if e.job != j || e.crashChange == 0 {
			return false
		}
		added.since, added.addedAt = e.since, e.addedAt
		return true
	})
	return c.unstored.add(added)
}

// holdAfterCrash makes the tasks of a job that may crash workers wait until the last crash outlasts this leader.
func (c *Core) holdAfterCrash(j *jobState) {
	j.lastCrash = crashRecord{change: j.lastChange, sequence: c.addUnstoredCrashes(j), countedAt: c.now}
}

// isHeldAfterCrash reports whether a task waits for the record of its last crash: a new leader that does not know of it would start
// the task once too often.
func (c *Core) isHeldAfterCrash(t *task) bool {
	last := t.step.job.lastCrash
	return t.crashes.total() >= minHeldCrashes && last.change > t.step.job.storedChange && last.sequence > c.unstored.replicatedSequence &&
		c.now < last.countedAt+maxCrashHold
}

// UnstoredResults holds results that are not durable.
type UnstoredResults struct {
	// Completed are completed jobs.
	Completed []job.ID
	// Crashes is the progress of jobs with tasks that may have crashed workers.
	Crashes []Progress
	// Sequence is the number of the last of the results, or the number that was asked for if there are none. All results up to
	// StoredSequence are durable.
	Sequence, StoredSequence uint64
	// AdoptedSequence is the number of the last result of a former leader that was adopted.
	AdoptedSequence uint64
}

// Empty reports whether there are no results.
func (r UnstoredResults) Empty() bool { return len(r.Completed)+len(r.Crashes) == 0 }

// UnstoredResults returns the results after a sequence number, at most limit, whose progress has not become durable in the time
// that a write takes.
func (c *Core) UnstoredResults(after uint64, limit int, now Instant) UnstoredResults {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.panicked {
		return UnstoredResults{Sequence: after}
	}
	return c.unstoredResults(after, limit, maxCrashBytes, now-unstoredReportDelay)
}

// AllUnstoredResults returns the results that are not durable when the leadership has ended, however young they are.
func (c *Core) AllUnstoredResults() UnstoredResults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unstoredResults(0, math.MaxInt, math.MaxInt, c.now)
}

// unstoredResults returns the results after a sequence number that were added at a time or before, within limits of their number and, in
// bytes, of the progress.
func (c *Core) unstoredResults(after uint64, limit, maxBytes int, addedUntil Instant) UnstoredResults {
	u := &c.unstored
	u.removeStored()
	out := UnstoredResults{Sequence: after, StoredSequence: u.storedSequence(), AdoptedSequence: u.adoptedSequence}
	bytes := 0
	for _, e := range u.entries {
		if e.sequence <= after {
			continue
		}
		if len(out.Completed)+len(out.Crashes) >= limit || bytes > maxBytes || e.addedAt > addedUntil {
			break
		}
		if e.crashChange != 0 {
			data := c.encodeProgress(e.job)
			bytes += len(data)
			out.Crashes = append(out.Crashes, Progress{Job: e.job.id, Data: data})
		} else {
			out.Completed = append(out.Completed, e.job.id)
		}
		out.Sequence = e.sequence
	}
	return out
}

// AreResultsIn reports whether all results that are not durable are in a batch.
func (c *Core) AreResultsIn(b Batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.panicked {
		return false
	}
	c.unstored.removeStored()
	collected := map[*jobState]uint64{}
	for _, p := range b.Progress {
		collected[p.state] = p.change
	}
	return !slices.ContainsFunc(c.unstored.entries, func(e unstoredEntry) bool { return collected[e.job] < e.job.lastChange })
}

// SetReplicated records that the instances that may lead next hold the results up to a sequence number.
func (c *Core) SetReplicated(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence > c.unstored.replicatedSequence {
		c.unstored.replicatedSequence = sequence
		c.signalWake()
	}
}

// AdoptCompletions completes jobs that were completed under a former leader, which could not store that.
func (c *Core) AdoptCompletions(ids []job.ID, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	for _, id := range ids {
		if c.admission.deferred[id] != nil {
			c.finishDeferred(id, job.Completed, "completed under a former leader")
			continue
		}
		j := c.jobs[id]
		if j == nil || j.state.Terminal() {
			continue
		}
		c.finishJob(j, job.Completed, "completed under a former leader")
	}
	c.unstored.adoptedSequence = c.unstored.lastSequence
}

// AdoptCrashes adds the crashes that were counted under a former leader, which could not store them.
func (c *Core) AdoptCrashes(id job.ID, data []byte, now Instant) error {
	row, err := decodeProgress(data)
	if err != nil {
		return errors.Wrapf(err, "decode replicated progress of job %s", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if d := c.admission.deferred[id]; d != nil {
		c.adoptDeferredCrashes(d, row, data)
		return nil
	}
	j := c.jobs[id]
	if j == nil || j.state.Terminal() {
		return nil
	}
	c.adoptJobCrashes(j, row)
	return nil
}

// adoptDeferredCrashes keeps crashes for the admission of their job, which follows at once: the next leader must learn of them too.
func (c *Core) adoptDeferredCrashes(d *deferredJob, row *progressRow, data []byte) {
	if row.State == job.Failed {
		c.finishDeferred(d.id, job.Failed, "failed under a former leader")
		return
	}
	d.crashes, d.required = data, true
	c.addCandidate(d)
	c.signalWake()
}

// resumeCrashes adds crashes that were kept while the job was deferred; data may be empty.
func (c *Core) resumeCrashes(j *jobState, data []byte) {
	if len(data) == 0 {
		return
	}
	if row, err := decodeProgress(data); err == nil {
		c.adoptJobCrashes(j, row)
	}
}

func (c *Core) adoptJobCrashes(j *jobState, row *progressRow) {
	defer c.addAdoptedCrashes(j, c.changeCount)
	if row.State == job.Failed {
		c.finishJob(j, job.Failed, "failed under a former leader")
		return
	}
	for key := range row.Steps {
		c.openListedOccurrence(j, occurrenceOf(key))
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if p := row.Steps[stepKey(o.index, s.index)]; p != nil {
				c.adoptStepCrashes(s, p)
			}
		}
	}
}

// addAdoptedCrashes adds the crashes of a job that were adopted, unless the job has not changed since a change: this leader may be lost as
// well before they are durable.
func (c *Core) addAdoptedCrashes(j *jobState, since uint64) {
	if j.lastChange > since {
		c.addUnstoredCrashes(j)
	}
	c.unstored.adoptedSequence = c.unstored.lastSequence
}

// adoptStepCrashes adds the crashes under the tasks of a step that a former leader had counted.
func (c *Core) adoptStepCrashes(s *step, p *stepProgress) {
	for _, t := range s.tasks {
		key := strconv.Itoa(t.index)
		counted, ok := p.Crashes[key]
		if !ok || t.done {
			continue
		}
		if r, ok := p.Runs[key]; ok && r.Number > t.lastKnownRun {
			c.loadFormerRun(t, r)
		} else if counted[0]+counted[1] > t.crashes.total() && (!ok || r.Number != t.lastKnownRun) {
			// The former leader has counted the crash under the stored run since that was stored.
			t.formerRun = nil
		}
		t.crashes.certain = max(t.crashes.certain, counted[0])
		t.crashes.possible = max(t.crashes.possible, counted[1])
		t.crashesTakenBack = max(t.crashesTakenBack, counted[2])
		if t.crashes.tooMany() {
			c.judgeLater(t)
		}
		c.markChanged(s.job)
	}
}

// HoldRecovered delays the tasks of recovered jobs, so that results of a former leader can arrive.
func (c *Core) HoldRecovered(until Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredHeldUntil = until
}
