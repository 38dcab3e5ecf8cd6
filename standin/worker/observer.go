package worker

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// maxFaultTexts is the maximum number of faults that an observer describes. Later faults are only counted.
const maxFaultTexts = 20

// maxRecordedWait is the largest wait in the histogram; longer waits are recorded as this value.
const maxRecordedWait = time.Hour

// Observer records the starts and ends of tasks on the workers of a cell and counts the faults among them. It does not use
// the scheduler's state. Work is identified by its task id, or by the name that the function set by SetNameOf returns, which
// does not have to come from the scheduler.
//
// Locking: mu protects the fields below it.
type Observer struct {
	now func() time.Time

	mu     sync.Mutex
	nameOf func(model.Task) string
	// work and submittedAt are keyed by the name of the work, used is keyed by the worker's id.
	work        map[string]*workRecord
	used        map[string]model.Resources
	submittedAt map[string]time.Time
	// waits holds the waits from submission to the first start, in microseconds.
	waits  *hdrhistogram.Histogram
	counts Counts
	faults []string
	// history is where starts and ends are written; the zero value writes nothing.
	history historyLog
}

// workRecord is the history of one piece of work.
type workRecord struct {
	// runningOn is the number of running copies on each worker, and copies their total.
	runningOn map[string]int
	copies    int
	starts    int
	finished  int
	// lostResult is set when a worker lost a result before it was acknowledged, and cleared by the next start.
	lostResult bool
}

// NewObserver returns an observer. now is used to measure the wait from submission to start.
func NewObserver(now func() time.Time) *Observer {
	return &Observer{
		now: now, nameOf: func(t model.Task) string { return string(t.ID) },
		work: map[string]*workRecord{}, used: map[string]model.Resources{}, submittedAt: map[string]time.Time{},
		waits: hdrhistogram.New(1, maxRecordedWait.Microseconds(), 3),
	}
}

// SetNameOf sets the function that names the work of a task, so that the observer detects work that the scheduler runs
// under two task ids. It must be called before the first start.
func (o *Observer) SetNameOf(nameOf func(model.Task) string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nameOf = nameOf
}

// RecordSubmission records when a caller submitted work. Without it, waits are measured from the submission time in the task.
func (o *Observer) RecordSubmission(name string, submittedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submittedAt[name] = submittedAt
}

// demand returns the resources that a task occupies on a worker, which include at least one slot.
func demand(t model.Task) model.Resources {
	d := t.DeclaredDemand
	d.Slots = max(d.Slots, 1)
	return d
}

// recordStart records that a task started on a worker and checks the start for faults.
func (o *Observer) recordStart(id string, capacity model.Resources, t worker.RunningTask) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name := o.nameOf(t.Task)
	w := o.work[name]
	if w == nil {
		w = &workRecord{runningOn: map[string]int{}}
		o.work[name] = w
	}
	o.checkStart(id, name, t.Task, w)
	o.checkCapacity(id, capacity, t.Task)
	w.runningOn[id]++
	w.copies++
	w.starts++
	w.lostResult = false
	o.history.start(id, name, t)
}

// checkStart counts a start and checks it against the earlier runs of the same work. Callers hold o.mu.
func (o *Observer) checkStart(id, name string, task model.Task, w *workRecord) {
	o.counts.TasksStarted++
	if w.starts == 0 {
		o.recordWait(name, task)
	}
	switch {
	case w.copies > 0:
		o.counts.DoubleRuns++
		o.addFault("%s started on %s while it runs on %v", name, id, w.runningOn)
	case w.starts == 0 || task.Kind.Restarts():
	case task.Kind == model.KindCall && !task.Idempotent:
		o.counts.DoubleRuns++
		o.addFault("call %s, which is not idempotent, started again on %s", name, id)
	case w.finished > 0 && !task.Idempotent:
		o.counts.DoubleRuns++
		o.addFault("%s finished and started again on %s", name, id)
	case w.finished > 0 && !w.lostResult:
		o.counts.Reruns++
		o.addFault("idempotent %s finished and started again on %s", name, id)
	}
}

// recordWait records the wait from submission to the first start. Callers hold o.mu.
func (o *Observer) recordWait(name string, task model.Task) {
	submittedAt, ok := o.submittedAt[name]
	if !ok {
		submittedAt = task.SubmittedAt
	}
	wait := min(max(o.now().Sub(submittedAt), 0), maxRecordedWait)
	_ = o.waits.RecordValue(wait.Microseconds())
}

// checkCapacity adds the demand of a task to the use of its worker and checks it against the capacity. Callers hold o.mu.
func (o *Observer) checkCapacity(id string, capacity model.Resources, task model.Task) {
	needed := demand(task)
	free := capacity.Sub(o.used[id])
	o.used[id] = o.used[id].Add(needed)
	if !needed.Fits(free) {
		o.counts.Overcommits++
		o.addFault("%s needs %+v, but %s has %+v free", task.ID, needed, id, free)
	}
}

// recordEnd records that a task ended on a worker.
func (o *Observer) recordEnd(id string, t worker.RunningTask, state model.OutcomeState) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name := o.nameOf(t.Task)
	w := o.work[name]
	o.history.end(id, name, t, state)
	if w.runningOn[id]--; w.runningOn[id] == 0 {
		delete(w.runningOn, id)
	}
	w.copies--
	o.used[id] = o.used[id].Sub(demand(t.Task))
	if state == model.OutcomeFinished {
		o.counts.TasksFinished++
		w.finished++
	}
}

// recordLostResult records that a worker lost the result of a task before it was acknowledged.
func (o *Observer) recordLostResult(task model.Task) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.work[o.nameOf(task)]; w != nil {
		w.lostResult = true
	}
}

// addFault adds the description of a fault, up to maxFaultTexts. Callers hold o.mu.
func (o *Observer) addFault(format string, args ...any) {
	if len(o.faults) < maxFaultTexts {
		o.faults = append(o.faults, fmt.Sprintf(format, args...))
	}
}

// Counts holds the numbers of starts and faults that an observer recorded, and quantiles of the waits.
type Counts struct {
	TasksStarted  int `json:"tasks_started"`
	TasksFinished int `json:"tasks_finished"`
	// DoubleRuns counts starts of work that was still running, of calls that had started before and are not idempotent,
	// and of other work that had finished and is not idempotent.
	DoubleRuns int `json:"double_runs"`
	// Reruns counts starts of idempotent work that had finished and whose result no worker lost. Such a start is
	// permitted only if the worker with the result cannot be reached.
	Reruns int `json:"reruns"`
	// Overcommits counts starts that exceeded a worker's capacity.
	Overcommits int `json:"overcommits"`
	// WaitP50MS and WaitP99MS are quantiles of the wait from submission to the first start, in milliseconds.
	WaitP50MS float64 `json:"wait_p50_ms"`
	WaitP99MS float64 `json:"wait_p99_ms"`
}

// Counts returns the counts so far.
func (o *Observer) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	c.WaitP50MS = float64(o.waits.ValueAtQuantile(50)) / 1000
	c.WaitP99MS = float64(o.waits.ValueAtQuantile(99)) / 1000
	return c
}

// Waits returns a copy of the histogram of waits, in microseconds.
func (o *Observer) Waits() *hdrhistogram.Histogram {
	o.mu.Lock()
	defer o.mu.Unlock()
	return hdrhistogram.Import(o.waits.Export())
}

// Faults returns descriptions of the first double runs, reruns and overcommits, at most maxFaultTexts.
func (o *Observer) Faults() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.faults...)
}

// Finished returns how often a task finished.
func (o *Observer) Finished(task model.TaskID) int {
	return o.lookup(task).finished
}

// Starts returns how often a task started.
func (o *Observer) Starts(task model.TaskID) int {
	return o.lookup(task).starts
}

// Running returns how many copies of a task are running.
func (o *Observer) Running(task model.TaskID) int {
	return o.lookup(task).copies
}

// lookup returns a copy of the record of work by its name, which is the task id unless SetNameOf set another function.
func (o *Observer) lookup(name model.TaskID) workRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.work[string(name)]; w != nil {
		return *w
	}
	return workRecord{}
}
