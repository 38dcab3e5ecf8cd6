package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// Callers may hand in more work than the leader has memory for, and a former leader of another size may have accepted it. So the steps and
// tasks of a job are in memory only while the job is admitted. Any other job is deferred: the leader keeps an entry of fixed size and reads the
// rows of the job again when there is memory for it. Where memory is short, admitted jobs without runs are evicted after a while, so that
// jobs that cannot start do not keep others from starting, for whatever reason.

const (
	// defaultMemoryBytes is the memory for jobs if Options.MemoryBytes is not set.
	defaultMemoryBytes = 64 << 20
	// largeJobShare is the share of the memory from which a job is large. Large jobs take largeJobsShare together at most, so that there is
	// memory for small ones.
	largeJobShare  = 1.0 / 64
	largeJobsShare = 0.75
	// backlogShare is the share up to which jobs open occurrences beside others of the same job.
	backlogShare = 0.5
	// maxOvershoot is the multiple of the memory from which jobs without runs are evicted at once.
	maxOvershoot = 1.25
	// maxAdmissionReads limits the deferred jobs whose rows are read at the same time.
	maxAdmissionReads = 16
	// maxCandidates limits the deferred jobs of a size group that are kept in their order, and candidateScanJobs is the number of deferred jobs
	// for which the interval between two scans of all of them grows by one round.
	maxCandidates     = 256
	candidateScanJobs = 4000
	// admissionRetryInterval is the time after which the rows of a deferred job are read again if they could not be read.
	admissionRetryInterval = time.Second
	// minResidence is how long an admitted job without runs keeps its memory at least, and maxIdleResidence how long it does whatever its
	// priority, while others wait for memory.
	minResidence     = 2 * time.Second
	maxIdleResidence = 10 * time.Second
	// dueLead is how long before its next occurrence a deferred job is admitted.
	dueLead = 2 * time.Second
)

// admission decides which jobs are in memory.
type admission struct {
	// limit is the memory for jobs in bytes, and used what the admitted jobs and those whose rows are being read may take of it.
	limit, used int64
	// deferred are the jobs that are not in memory.
	deferred map[job.ID]*deferredJob
	// candidates are the next deferred jobs to admit in each size group, as of scannedAt and with those deferred since.
	candidates [numSizeGroups][]*deferredJob
	scannedAt  Instant
	// waiting says for each size group whether deferred jobs waited for memory when that was last examined.
	waiting [numSizeGroups]bool
	// reads is the number of deferred jobs whose rows are being read.
	reads int
	// evictions counts the jobs that were deferred after they had been admitted.
	evictions uint64
}

// sizeGroup separates small jobs from large ones, which do not wait for each other.
type sizeGroup uint8

const (
	smallJobs sizeGroup = iota
	largeJobs
	numSizeGroups
)

func newAdmission(limit int64) admission {
	if limit <= 0 {
		limit = defaultMemoryBytes
	}
	return admission{limit: limit, deferred: map[job.ID]*deferredJob{}}
}

func (a *admission) share(s float64) int64 { return int64(float64(a.limit) * s) }

func (a *admission) sizeGroupOf(size int64) sizeGroup {
	if size > a.share(largeJobShare) {
		return largeJobs
	}
	return smallJobs
}

// fits reports whether there is memory for a further job.
func (a *admission) fits(size int64) bool {
	if a.sizeGroupOf(size) == largeJobs {
		return a.used+size <= a.share(largeJobsShare)
	}
	return a.used+size <= a.limit
}

// canHold reports whether there is memory for a job if no other one is admitted.
func (a *admission) canHold(size int64) bool {
	return a.sizeGroupOf(size) == smallJobs || size <= a.share(largeJobsShare)
}

// fitsBacklog reports whether a job may open a further occurrence beside others.
func (a *admission) fitsBacklog(size int64) bool { return a.used+size <= a.share(backlogShare) }

// isAdmitted decides whether a job whose record has arrived is kept in memory, and defers it otherwise. A job of which a worker lists tasks
// is kept in any case: its runs count in the ledger, and its completions must be handled.
func (c *Core) isAdmitted(id job.ID, record *job.Record, progress *progressRow, lookedUp bool) bool {
	a := &c.admission
	size := recordFootprint(record) + occurrenceFootprint(&record.Spec)
	d := a.deferred[id]
	_, listed := c.lookups[id]
	switch {
	case !a.canHold(size):
	case d != nil && !lookedUp:
	case d != nil && (d.reading || d.required), listed:
		return true
	case d == nil && a.fits(size) && !a.waiting[a.sizeGroupOf(size)]:
		return true
	}
	if d != nil {
		c.lowerDeferredEpoch(d, record.Epoch)
		return false
	}
	d = newDeferredJob(id, record, size, progress)
	d.startable = c.couldStart(record)
	c.deferJob(d, deferredReason(a, size))
	return false
}

// admitDeferred reads the rows of deferred jobs for which there is memory, or for which others are evicted.
func (c *Core) admitDeferred() {
	a := &c.admission
	victims := victimSearch{core: c}
	victims.evictExcess()
	if len(a.deferred) == 0 {
		a.waiting = [numSizeGroups]bool{}
		return
	}
	c.updateCandidates()
	for g := range numSizeGroups {
		a.waiting[g] = !c.admitSizeGroup(g, &victims)
	}
}

// admitSizeGroup admits the candidates of a size group in their order. It reports whether there was memory for all of them.
func (c *Core) admitSizeGroup(g sizeGroup, victims *victimSearch) bool {
	a := &c.admission
	for len(a.candidates[g]) > 0 {
		d := a.candidates[g][0]
		a.candidates[g] = a.candidates[g][1:]
		if !c.mayAdmit(d) {
			continue
		}
		if a.reads >= maxAdmissionReads || !d.required && !a.fits(d.size) && !victims.makeRoom(d) {
			c.addCandidate(d)
			return false
		}
		c.readDeferred(d)
	}
	return true
}

// updateCandidates looks for the deferred jobs to admit next in each size group: those that could start before others, then those that have
// never been admitted in the order of their priorities, then the others in the order in which they were deferred.
func (c *Core) updateCandidates() {
	a := &c.admission
	interval := sweepInterval * time.Duration(len(a.deferred)/candidateScanJobs)
	if a.scannedAt != 0 && c.now < a.scannedAt+interval {
		return
	}
	a.scannedAt = c.now
	a.candidates = [numSizeGroups][]*deferredJob{}
	for _, d := range a.deferred {
		c.addCandidate(d)
	}
}

// addCandidate adds a job to the first maxCandidates of its size group.
func (c *Core) addCandidate(d *deferredJob) {
	if !c.mayAdmit(d) {
		return
	}
	l := &c.admission.candidates[c.admission.sizeGroupOf(d.size)]
	if n := len(*l); n == maxCandidates && c.compareCandidates((*l)[n-1], d) <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(*l, d, c.compareCandidates)
	*l = slices.Insert(*l, at, d)
	*l = (*l)[:min(len(*l), maxCandidates)]
}

func (c *Core) compareCandidates(a, b *deferredJob) int {
	if a.required != b.required {
		return lastIf(b.required)
	}
	if lacking := c.lacksWorker(a); lacking != c.lacksWorker(b) {
		return lastIf(lacking)
	}
	if (a.admissions == 0) != (b.admissions == 0) {
		return lastIf(a.admissions > 0)
	}
	if a.admissions == 0 && a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return cmp.Or(cmp.Compare(a.deferredAt, b.deferredAt), cmp.Compare(a.id, b.id))
}

// lacksWorker reports whether no worker could hold a task of a deferred job when it was deferred. The workers may have changed since, so
// the answer holds for a limited time.
func (c *Core) lacksWorker(d *deferredJob) bool {
	return !d.startable && c.now < d.deferredAt+maxIdleResidence
}

// mayAdmit reports whether a deferred job is to be admitted as soon as there is memory for it.
func (c *Core) mayAdmit(d *deferredJob) bool {
	return c.admission.deferred[d.id] == d && !d.reading && c.admission.canHold(d.size) && c.now >= d.retryAt && c.wallClockMS >= d.dueMS-dueLead.Milliseconds()
}

// readDeferred reads the rows of a deferred job, for which its memory is set aside.
func (c *Core) readDeferred(d *deferredJob) {
	d.reading = true
	c.admission.reads++
	c.admission.used += d.size
	c.issueLookup(d.id)
}

// endRead ends the read of a deferred job, whether it was admitted or not.
func (c *Core) endRead(d *deferredJob) {
	if d.reading {
		d.reading = false
		c.admission.reads--
		c.admission.used -= d.size
	}
}

// readFailed records that a deferred job was not admitted after its rows had been read.
func (c *Core) readFailed(id job.ID) {
	if d := c.admission.deferred[id]; d != nil && d.reading {
		c.endRead(d)
		d.retryAt = c.now + admissionRetryInterval
	}
}

// victimSearch finds the admitted jobs to evict for deferred ones.
type victimSearch struct {
	core *Core
	// found are the jobs without runs, the first to evict at the front; nil before they were looked for.
	found []*jobState
}

// makeRoom defers admitted jobs until there is memory for another one. It reports whether there is.
func (v *victimSearch) makeRoom(d *deferredJob) bool {
	if v.found == nil {
		v.search(minResidence)
	}
	for i := 0; i < len(v.found) && !v.core.admission.fits(d.size); i++ {
		if j := v.found[i]; j != nil && v.core.mayBeEvictedFor(j, d) {
			v.core.evict(j)
			v.found[i] = nil
		}
	}
	return v.core.admission.fits(d.size)
}

// evictExcess defers admitted jobs while they take more than there is for them: their advice has grown since they were admitted.
func (v *victimSearch) evictExcess() {
	a := &v.core.admission
	if a.used <= a.limit {
		return
	}
	residence := minResidence
	if a.used > a.share(maxOvershoot) {
		residence = 0
	}
	v.search(residence)
	for i := 0; i < len(v.found) && a.used > a.limit; i++ {
		v.core.evict(v.found[i])
		v.found[i] = nil
	}
}

// search finds the jobs that have had no run for a time.
func (v *victimSearch) search(residence time.Duration) {
	v.found = []*jobState{}
	startable := map[*jobState]bool{}
	for _, j := range v.core.jobs {
		if v.core.isIdle(j, residence) {
			v.found = append(v.found, j)
			startable[j] = v.core.isStartable(j)
		}
	}
	slices.SortFunc(v.found, func(a, b *jobState) int {
		if startable[a] != startable[b] {
			return lastIf(startable[a])
		}
		return cmp.Or(cmp.Compare(b.queue.Priority, a.queue.Priority), cmp.Compare(a.activeAt, b.activeAt), cmp.Compare(a.id, b.id))
	})
}

// mayBeEvictedFor reports whether an idle job may be evicted for a deferred one. A more urgent job keeps its memory for longer if it could start.
func (c *Core) mayBeEvictedFor(j *jobState, d *deferredJob) bool {
	return j.queue.Priority >= d.priority || !c.isStartable(j) || c.now >= j.activeAt+maxIdleResidence
}

// couldStart reports whether the workers could hold a task of a job that is not in memory if nothing else ran there, as far as they are known.
func (c *Core) couldStart(record *job.Record) bool {
	if c.serviceCPUMilli(record.Queue.Service) == 0 {
		return true
	}
	j := &jobState{queue: record.Queue}
	return slices.ContainsFunc(record.Spec.Steps, func(spec job.Step) bool {
		spec.Gang = false
		return len(spec.DependsOn) == 0 && c.fleetHolds(&step{job: j, spec: &spec})
	})
}

// isStartable reports whether the workers could hold a waiting task of a job if nothing else ran there.
func (c *Core) isStartable(j *jobState) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if len(s.waiting) > 0 && c.isFeasible(s) {
				return true
			}
		}
	}
	return false
}

// isIdle reports whether an admitted job can be deferred: it has had no run for a time, and its rows hold all that is known of it, apart
// from what a deferredJob holds.
func (c *Core) isIdle(j *jobState, residence time.Duration) bool {
	if j.state.Terminal() || c.now < j.activeAt+residence || j.lastChange > j.storedChange || c.isRecovering(j) {
		return false
	}
	if c.outstandingLookups[j.id] > 0 {
		// What was read may be older than the progress of now.
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if slices.ContainsFunc(s.tasks, c.hasTransientState) {
				return false
			}
		}
	}
	return true
}

// hasTransientState reports whether a task has state that is neither in the rows of its job nor in a deferredJob.
func (c *Core) hasTransientState(t *task) bool {
	return len(t.runs) > 0 || t.formerRun != nil || t.placement.unknown || t.mayCrash() || c.now < t.pausedUntil
}

// evict defers an admitted job without runs.
func (c *Core) evict(j *jobState) {
	startable := c.isStartable(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.withdrawStep(s)
		}
	}
	delete(c.jobs, j.id)
	delete(c.recurring, j.id)
	delete(c.dirtyJobs, j.id)
	c.admission.used -= j.accounted
	c.admission.evictions++
	d := c.deferredFrom(j)
	d.startable = startable
	c.deferJob(d, deferredIdle)
}

// withdrawStep removes the tasks of a step without runs from the queue.
func (c *Core) withdrawStep(s *step) {
	c.dropPlan(s)
	for _, t := range s.waiting {
		t.waiting = false
	}
	s.waiting = nil
	c.ready.remove(s)
	c.dropAdvice(s)
	if s.job.team != nil {
		delete(s.job.team.held, s)
	}
}
