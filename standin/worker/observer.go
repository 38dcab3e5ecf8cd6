package worker

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// maxFaults bounds the faults that an observer describes; all are counted.
const maxFaults = 20

// maxWait is the largest wait that an observer tells apart.
const maxWait = time.Hour

// Observer counts what the workers of a cell saw. It knows nothing of the scheduler's state. Work is identified by its
// task id, or by the name that Identify gives, which does not have to come from the scheduler.
type Observer struct {
	clock func() time.Time

	mu        sync.Mutex
	identify  func(model.Task) string
	work      map[string]*observed
	used      map[string]model.Resources
	submitted map[string]time.Time
	waits     *hdrhistogram.Histogram
	counts    Counts
	faults    []string
}

// observed is what an observer knows about one piece of work.
type observed struct {
	// running counts the running copies on each worker.
	running  map[string]int
	copies   int
	starts   int
	finished int
	// lostResult is set when a worker lost the last result before it was acknowledged.
	lostResult bool
}

// NewObserver returns an observer. now is used to measure the wait from submission to start.
func NewObserver(now func() time.Time) *Observer {
	return &Observer{
		clock: now, identify: func(t model.Task) string { return string(t.ID) },
		work: map[string]*observed{}, used: map[string]model.Resources{}, submitted: map[string]time.Time{},
		waits: hdrhistogram.New(1, maxWait.Microseconds(), 3),
	}
}

// Identify sets the function that names work, so that one order that the scheduler runs as two tasks is found. It is
// called before the first start.
func (o *Observer) Identify(name func(model.Task) string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.identify = name
}

// Submitted tells the observer when a caller submitted work. Without it, the time in the task counts.
func (o *Observer) Submitted(name string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submitted[name] = at
}

// demand is what a task takes from a worker: at least one slot.
func demand(t model.Task) model.Resources {
	d := t.Each
	d.Slots = max(d.Slots, 1)
	return d
}

func (o *Observer) started(id string, capacity model.Resources, t worker.RunningTask) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name := o.identify(t.Task)
	w := o.work[name]
	if w == nil {
		w = &observed{running: map[string]int{}}
		o.work[name] = w
	}
	o.countStart(id, name, t.Task, w)
	o.countUse(id, capacity, t.Task)
	w.running[id]++
	w.copies++
	w.starts++
	w.lostResult = false
}

// countStart checks a start against what ran before. Callers hold o.mu.
func (o *Observer) countStart(id, name string, task model.Task, w *observed) {
	o.counts.TasksStarted++
	if w.starts == 0 {
		o.countWait(name, task)
	}
	switch {
	case w.copies > 0:
		o.counts.DoubleRuns++
		o.fault("%s started on %s while it runs on %v", name, id, w.running)
	case w.starts == 0 || task.Kind.Restarts():
	case task.Kind == model.KindCall && !task.Idempotent:
		o.counts.DoubleRuns++
		o.fault("call %s, which is not idempotent, started again on %s", name, id)
	case w.finished > 0 && !task.Idempotent:
		o.counts.DoubleRuns++
		o.fault("%s finished and started again on %s", name, id)
	case w.finished > 0 && !w.lostResult:
		o.counts.Reruns++
		o.fault("idempotent %s finished and started again on %s", name, id)
	}
}

func (o *Observer) countWait(name string, task model.Task) {
	at, ok := o.submitted[name]
	if !ok {
		at = task.Submitted
	}
	wait := min(max(o.clock().Sub(at), 0), maxWait)
	_ = o.waits.RecordValue(wait.Microseconds())
}

// countUse checks a start against the capacity of its worker. Callers hold o.mu.
func (o *Observer) countUse(id string, capacity model.Resources, task model.Task) {
	d := demand(task)
	free := capacity.Sub(o.used[id])
	o.used[id] = o.used[id].Add(d)
	if !d.Fits(free) {
		o.counts.Overcommits++
		o.fault("%s needs %+v, but %s has %+v free", task.ID, d, id, free)
	}
}

func (o *Observer) ended(id string, t worker.RunningTask, state model.OutcomeState) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.work[o.identify(t.Task)]
	if w.running[id]--; w.running[id] == 0 {
		delete(w.running, id)
	}
	w.copies--
	o.used[id] = o.used[id].Sub(demand(t.Task))
	if state == model.OutcomeFinished {
		o.counts.TasksFinished++
		w.finished++
	}
}

// lost notes that a worker lost the result of a task before it was acknowledged.
func (o *Observer) lost(task model.Task) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.work[o.identify(task)]; w != nil {
		w.lostResult = true
	}
}

func (o *Observer) fault(format string, args ...any) {
	if len(o.faults) < maxFaults {
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
	return o.look(task).finished
}

// Starts returns how often a task started.
func (o *Observer) Starts(task model.TaskID) int {
	return o.look(task).starts
}

// Running returns how many copies of a task run now.
func (o *Observer) Running(task model.TaskID) int {
	return o.look(task).copies
}

// look returns what is known about work by its name, which is the task id unless Identify says otherwise.
func (o *Observer) look(name model.TaskID) observed {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.work[string(name)]; w != nil {
		return *w
	}
	return observed{}
}
