package worker

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// maxFaultTexts bounds the faults that an observer describes; all are counted.
const maxFaultTexts = 20

// maxRecordedWait is the largest wait that an observer tells apart.
const maxRecordedWait = time.Hour

// Observer counts what the workers of a cell saw. It knows nothing of the scheduler's state. Work is identified by its
// task id, or by the name that Identify gives, which does not have to come from the scheduler.
type Observer struct {
	now func() time.Time

	mu          sync.Mutex
	nameOf      func(model.Task) string
	work        map[string]*workRecord
	used        map[string]model.Resources
	submittedAt map[string]time.Time
	waits       *hdrhistogram.Histogram
	counts      Counts
	faults      []string
}

// workRecord is what an observer knows about one piece of work.
type workRecord struct {
	// runningOn counts the running copies on each worker.
	runningOn map[string]int
	copies    int
	starts    int
	finished  int
	// lostResult is set when a worker lost the last result before it was acknowledged.
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

// Identify sets the function that names work, so that one order that the scheduler runs as two tasks is found. It is
// called before the first start.
func (o *Observer) Identify(nameOf func(model.Task) string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nameOf = nameOf
}

// Submitted tells the observer when a caller submitted work. Without it, the time in the task counts.
func (o *Observer) Submitted(name string, submittedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submittedAt[name] = submittedAt
}

// demand is what a task takes from a worker: at least one slot.
func demand(t model.Task) model.Resources {
	d := t.Each
	d.Slots = max(d.Slots, 1)
	return d
}

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
}

// checkStart checks a start against what ran before. Callers hold o.mu.
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

func (o *Observer) recordWait(name string, task model.Task) {
	submittedAt, ok := o.submittedAt[name]
	if !ok {
		submittedAt = task.Submitted
	}
	wait := min(max(o.now().Sub(submittedAt), 0), maxRecordedWait)
	_ = o.waits.RecordValue(wait.Microseconds())
}

// checkCapacity checks a start against the capacity of its worker. Callers hold o.mu.
func (o *Observer) checkCapacity(id string, capacity model.Resources, task model.Task) {
	needed := demand(task)
	free := capacity.Sub(o.used[id])
	o.used[id] = o.used[id].Add(needed)
	if !needed.Fits(free) {
		o.counts.Overcommits++
		o.addFault("%s needs %+v, but %s has %+v free", task.ID, needed, id, free)
	}
}

func (o *Observer) recordEnd(id string, t worker.RunningTask, state model.OutcomeState) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.work[o.nameOf(t.Task)]
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

// recordLostResult notes that a worker lost the result of a task before it was acknowledged.
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

func (o *Observer) addFault(format string, args ...any) {
	if len(o.faults) < maxFaultTexts {
		o.faults = append(o.faults, fmt.Sprintf(format, args...))
	}
}

// Counts is what an observer saw.
type Counts struct {
	TasksStarted  int `json:"tasks_started"`
	TasksFinished int `json:"tasks_finished"`
	// DoubleRuns counts starts of work that ran elsewhere, of a call that had started before and is not idempotent, and
	// of other work that had finished and is not idempotent.
	DoubleRuns int `json:"double_runs"`
	// Reruns counts starts of idempotent work that had finished and whose result no worker lost. Such a start is
	// permitted only where the worker with the result cannot be reached.
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

// Waits returns a copy of the waits in microseconds.
func (o *Observer) Waits() *hdrhistogram.Histogram {
	o.mu.Lock()
	defer o.mu.Unlock()
	return hdrhistogram.Import(o.waits.Export())
}

// Faults describes the first double runs, reruns and overcommits.
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

// Running returns how many copies of a task run now.
func (o *Observer) Running(task model.TaskID) int {
	return o.lookup(task).copies
}

// lookup returns what is known about work by its name, which is the task id unless Identify says otherwise.
func (o *Observer) lookup(name model.TaskID) workRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.work[string(name)]; w != nil {
		return *w
	}
	return workRecord{}
}
