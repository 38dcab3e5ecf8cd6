package cell

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/model/job"
)

// progressRow is the durable progress of a job.
type progressRow struct {
	// State is the state of the job if it is final, otherwise empty.
	State job.State `json:"s,omitempty"`
	// Steps holds the steps with finished runs or recorded starts, keyed by occurrence.step.
	Steps map[string]*stepProgress `json:"t,omitempty"`
	// Done are the occurrences of a recurring job whose steps are all done. They are not in Steps.
	Done indexRanges `json:"o,omitempty"`
}

// stepProgress is the durable progress of a step.
type stepProgress struct {
	// All means that all tasks are done.
	All bool `json:"a,omitempty"`
	// Done is a bitmap of the tasks that are done.
	Done []byte `json:"d,omitempty"`
	// Failed holds the numbers of the failed runs, keyed by task index.
	Failed map[string][]int64 `json:"f,omitempty"`
	// Crashes holds the numbers of certain and possible crashes of workers under a task, and task.crashesTakenBack, keyed by
	// task index.
	Crashes map[string][3]int `json:"c,omitempty"`
	// Runs holds the last starts of the tasks that may crash their workers, keyed by task index.
	Runs map[string]storedRun `json:"r,omitempty"`
	// Starts says where the tasks of a service step were started.
	Starts *startRecord `json:"s,omitempty"`
}

// Progress is the encoded progress of one job.
type Progress struct {
	Job  job.ID
	Data []byte
	// state is the job, and change the number of its last change when the progress was encoded.
	state  *jobState
	change uint64
}

// Batch holds progress to be stored.
type Batch struct {
	Progress []Progress
	// Removed are jobs whose progress can be removed.
	Removed []job.ID
	// Fleet are the changed rows of the fleet record.
	Fleet []FleetRow
	// Waves are the changed records of waves.
	Waves []WaveRow
}

// Rows returns the number of rows to write or remove.
func (b Batch) Rows() int { return len(b.Fleet) + len(b.Waves) + len(b.Progress) + len(b.Removed) }

// Empty reports whether there is nothing to write.
func (b Batch) Empty() bool { return b.Rows() == 0 }

// maxBatchBytes limits the progress in one batch. In base64 it is below the 1 MB that a transaction may have.
const maxBatchBytes = 600_000

// CollectBatch returns at most limit changed rows, or an empty batch.
func (c *Core) CollectBatch(limit int) Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.panicked {
		return Batch{}
	}
	batch := Batch{}
	c.addFleetRecord(&batch)
	c.addWaveRecords(&batch, limit)
	bytes := 0
	for id, j := range c.dirtyJobs {
		if batch.Rows() >= limit || bytes > maxBatchBytes {
			break
		}
		if j.refusal.holds(c.now) {
			continue
		}
		data := c.encodeProgress(j)
		bytes += len(data)
		batch.Progress = append(batch.Progress, Progress{id, data, j, j.lastChange})
		delete(c.dirtyJobs, id)
	}
	for len(c.progressRemovals) > 0 && batch.Rows()+2*len(batch.Removed) < limit {
		batch.Removed = append(batch.Removed, c.progressRemovals[0])
		c.progressRemovals = c.progressRemovals[1:]
	}
	return batch
}

// BatchStored records the outcome of writing a batch. If it was not stored, its content is collected again in the
// latest state.
func (c *Core) BatchStored(b Batch, stored bool, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.handleFleetRecordStored(b, stored)
	c.handleWaveRecordsStored(b, stored)
	if !stored {
		c.requeueBatch(b)
		return
	}
	for _, p := range b.Progress {
		p.state.refusal = rowRefusal{}
		p.state.storedChange = max(p.state.storedChange, p.change)
		c.placements.endedChanged = true
		if p.state.state.Terminal() && p.state.lastChange <= p.change {
			c.reportState(p.state)
		}
	}
	c.unstored.removeStored()
	for w := range c.awaitingAcks {
		c.advanceAcks(w)
	}
}

// reportState reports the final state of a job, which has become durable. A state that was not durable for longer than a write takes
// is logged.
func (c *Core) reportState(j *jobState) {
	if j.reportedState.Terminal() {
		return
	}
	if unstored := c.now - j.finishedAt; unstored > unstoredReportDelay {
		c.logDecision("final_state_stored", j.id, map[string]any{"state": j.state, "unstored_ms": unstored.Milliseconds()})
	}
	j.reportedState, j.reportedAt = j.state, c.now
}

// BatchRefused records that the store refuses a batch with a single row whatever happens. The row is not written again for a while,
// however often it changes, and the completions in it are not acknowledged; the other jobs go on.
func (c *Core) BatchRefused(b Batch, now Instant) {
	c.BatchStored(b, false, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range b.Progress {
		p.state.refusal.record(c.now)
	}
	for _, row := range b.Waves {
		c.waves[row.Wave].record.refusal.record(c.now)
	}
}

// rowRefusal is how often in a row the store has refused a row whatever happens.
type rowRefusal struct {
	count int
	// until is when the row is written again. Each attempt may delay the other rows of a batch.
	until Instant
}

const (
	// minRefusalPause is the pause after the first refusal of a row; it doubles with each further one, up to maxRefusalPause.
	minRefusalPause = time.Second
	maxRefusalPause = 16 * time.Second
)

func (r *rowRefusal) record(now Instant) {
	pause := minRefusalPause
	for range r.count {
		pause = min(2*pause, maxRefusalPause)
	}
	r.count++
	r.until = now + pause
}

// holds reports whether the row is not to be written yet.
func (r *rowRefusal) holds(now Instant) bool { return now < r.until }

// RefusedRows returns the number of jobs whose progress the store refuses.
func (c *Core) RefusedRows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.dirtyJobs {
		if j.refusal.count > 0 {
			n++
		}
	}
	return n
}

func (c *Core) requeueBatch(b Batch) {
	for _, p := range b.Progress {
		if c.jobs[p.Job] != nil {
			c.dirtyJobs[p.Job] = p.state
		}
	}
	c.progressRemovals = append(c.progressRemovals, b.Removed...)
}

// stepKey returns the key of a step in a progress row.
func stepKey(occurrence, step int) string { return fmt.Sprintf("%d.%d", occurrence, step) }

func (c *Core) encodeProgress(j *jobState) []byte {
	if j.state.Terminal() {
		return mustEncodeProgress(progressRow{State: j.state})
	}
	var data []byte
	for detail := allStarts; detail <= noStarts; detail++ {
		data = mustEncodeProgress(c.progressRow(j, detail))
		if len(data) <= maxProgressBytes {
			break
		}
	}
	return data
}

// startDetail is which last starts of tasks that may crash their workers the progress of a job holds. Without them a crash may not be
// counted that a lost leader has not noticed.
type startDetail int

const (
	allStarts startDetail = iota
	// startsWithCrashes are those of tasks with crashes.
	startsWithCrashes
	noStarts
)

// holds reports whether the last start of a task is held.
func (d startDetail) holds(t *task) bool {
	return d == allStarts || d == startsWithCrashes && t.hasCrashes()
}

// progressRow returns the progress of a job that is not finished.
func (c *Core) progressRow(j *jobState, detail startDetail) progressRow {
	row := progressRow{Steps: map[string]*stepProgress{}, Done: j.doneOccurrences}
	if j.progress != nil {
		// What is not applied yet belongs to occurrences that are not open.
		maps.Copy(row.Steps, j.progress.Steps)
	}
	for _, o := range j.occurrences {
		if j.record.Spec.Repetitions > 0 && o.isComplete() {
			row.Done = row.Done.with(o.index)
			continue
		}
		for _, s := range o.steps {
			p := s.progress(detail)
			if starts := c.encodeStarts(s); starts != nil {
				if p == nil {
					p = &stepProgress{}
				}
				p.Starts = starts
			}
			if p != nil {
				row.Steps[stepKey(o.index, s.index)] = p
			}
		}
	}
	return row
}

// mustEncodeProgress encodes a progress row. Its type always encodes without an error.
func mustEncodeProgress(row progressRow) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(errors.Wrap(err, "encode progress"))
	}
	return compressProgress(data)
}

// progress returns the durable form of a step, or nil if no task is done, no run has failed and no worker has crashed.
func (s *step) progress(detail startDetail) *stepProgress {
	if s.openTasks == 0 {
		return &stepProgress{All: true}
	}
	p := &stepProgress{}
	hasProgress := false
	for _, t := range s.tasks {
		if t.done {
			if p.Done == nil {
				p.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			p.Done[t.index/8] |= 1 << (t.index % 8)
			hasProgress = true
		}
		if len(t.failedRuns) > 0 {
			if p.Failed == nil {
				p.Failed = map[string][]int64{}
			}
			p.Failed[strconv.Itoa(t.index)] = t.failedRuns
			hasProgress = true
		}
		if t.mayCrash() && !t.done && (t.hasCrashes() || detail.holds(t)) {
			p.addCrashes(t, detail.holds(t))
			hasProgress = true
		}
	}
	if !hasProgress {
		return nil
	}
	return p
}

// addCrashes adds the crashes under a task and, if wanted, its last start.
func (p *stepProgress) addCrashes(t *task, withStart bool) {
	if p.Crashes == nil {
		p.Crashes, p.Runs = map[string][3]int{}, map[string]storedRun{}
	}
	key := strconv.Itoa(t.index)
	p.Crashes[key] = [3]int{t.crashes.certain, t.crashes.possible, t.crashesTakenBack}
	if r := t.lastStoredRun(); r != nil && withStart {
		p.Runs[key] = *r
	}
}

// occurrenceOf returns the occurrence of a key of progressRow.Steps, or -1.
func occurrenceOf(key string) int {
	occurrence, _, _ := strings.Cut(key, ".")
	index, err := strconv.Atoi(occurrence)
	if err != nil {
		return -1
	}
	return index
}

// StoredState returns the state in a job's durable progress: the final state, and whether a task has ended or a start is
// recorded. Progress that is absent or cannot be decoded yields no state.
func StoredState(data []byte) (state job.State, started bool) {
	if len(data) == 0 {
		return "", false
	}
	row, err := decodeProgress(data)
	if err != nil {
		return "", false
	}
	return row.State, len(row.Steps)+len(row.Done) > 0
}

// LoadJob adds a job with its durable progress, which may be empty. A job whose progress cannot be decoded, which is the only error, is not added
// later either, unless it is loaded with progress that can.
func (c *Core) LoadJob(id job.ID, record job.Record, progress []byte, now Instant) error {
	return c.loadJob(id, record, progress, now, false)
}

// AddLookedUpJob is LoadJob for a record and progress that were read for a LookupAction. A deferred job is admitted.
func (c *Core) AddLookedUpJob(id job.ID, record job.Record, progress []byte, now Instant) error {
	return c.loadJob(id, record, progress, now, true)
}

func (c *Core) loadJob(id job.ID, record job.Record, progress []byte, now Instant, lookedUp bool) error {
	var row *progressRow
	var err error
	if len(progress) > 0 {
		row, err = decodeProgress(progress)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if err != nil {
		c.unreadable[id] = struct{}{}
		c.takeDeferred(id)
		return errors.Wrapf(err, "decode progress of job %s", id)
	}
	if row != nil {
		delete(c.unreadable, id)
	}
	if row != nil && row.State.Terminal() {
		c.addFinishedJob(id, row.State)
		return nil
	}
	c.addJob(id, record, row, lookedUp)
	return nil
}

// applyProgress applies the job's durable progress to the steps of an occurrence.
func (c *Core) applyProgress(j *jobState, o *occurrence) {
	for _, s := range o.steps {
		key := stepKey(o.index, s.index)
		p := j.progress.Steps[key]
		if p == nil {
			continue
		}
		delete(j.progress.Steps, key)
		j.started = true
		openBefore := s.openTasks
		for _, t := range s.tasks {
			c.applyTaskProgress(s, t, p)
		}
		if openBefore > 0 && s.openTasks == 0 {
			o.openSteps--
		}
		c.pruneWaiting(s)
	}
}

func (c *Core) applyTaskProgress(s *step, t *task, p *stepProgress) {
	doneBit := t.index/8 < len(p.Done) && p.Done[t.index/8]&(1<<(t.index%8)) != 0
	if (p.All || doneBit) && !t.done {
		t.done = true
		t.waiting = false
		s.openTasks--
	}
	key := strconv.Itoa(t.index)
	stored := p.Crashes[key]
	t.crashes, t.crashesTakenBack = crashCount{certain: stored[0], possible: stored[1]}, stored[2]
	if t.crashes.tooMany() {
		c.judgeLater(t)
	}
	if r, ok := p.Runs[key]; ok {
		c.loadFormerRun(t, r)
	}
	t.failedRuns = p.Failed[key]
	for _, number := range t.failedRuns {
		t.lastRunNumber, t.lastKnownRun = max(t.lastRunNumber, number), max(t.lastKnownRun, number)
	}
}
