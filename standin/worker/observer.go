package worker

import (
	"sort"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// Observer counts what the workers of a cell saw. It knows nothing of the scheduler's state.
type Observer struct {
	mu          sync.Mutex
	where       map[model.TaskID]map[string]bool
	used        map[string]model.Resources
	starts      map[model.TaskID]int
	finished    map[model.TaskID]int
	waits       []time.Duration
	clock       func() time.Time
	doubleRuns  int
	overcommit  int
	startCount  int
	finishCount int
}

// NewObserver returns an observer. now is used to measure the wait from submission to start.
func NewObserver(now func() time.Time) *Observer {
	return &Observer{
		where: map[model.TaskID]map[string]bool{}, used: map[string]model.Resources{},
		starts: map[model.TaskID]int{}, finished: map[model.TaskID]int{}, clock: now,
	}
}

func (o *Observer) started(id string, capacity model.Resources, t worker.RunningTask) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	task := t.Task.ID
	o.startCount++
	o.starts[task]++
	if o.where[task] == nil {
		o.where[task] = map[string]bool{}
	}
	o.where[task][id] = true
	if len(o.where[task]) > 1 || o.ranAgain(t.Task) {
		o.doubleRuns++
	}
	o.used[id] = o.used[id].Add(t.Task.Each)
	if capacity.Sub(o.used[id]).Negative() {
		o.overcommit++
	}
	o.waits = append(o.waits, o.clock().Sub(t.Task.Submitted))
}

// ranAgain reports whether a start repeats work that may not be repeated. Callers hold o.mu.
func (o *Observer) ranAgain(task model.Task) bool {
	switch {
	case task.Idempotent || task.Kind.Restarts():
		return false
	case task.Kind == model.KindCall:
		return o.starts[task.ID] > 1
	default:
		return o.finished[task.ID] > 0
	}
}

func (o *Observer) ended(id string, t worker.RunningTask, state model.OutcomeState) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.where[t.Task.ID], id)
	o.used[id] = o.used[id].Sub(t.Task.Each)
	if state == model.OutcomeFinished {
		o.finishCount++
		o.finished[t.Task.ID]++
	}
}

// Counts is what an observer saw.
type Counts struct {
	TasksStarted  int `json:"tasks_started"`
	TasksFinished int `json:"tasks_finished"`
	// DoubleRuns counts starts of a task that ran elsewhere, or had finished and is not idempotent.
	DoubleRuns int `json:"double_runs"`
	// Overcommits counts starts that exceeded a worker's capacity.
	Overcommits int     `json:"overcommits"`
	WaitP50MS   float64 `json:"wait_p50_ms"`
	WaitP99MS   float64 `json:"wait_p99_ms"`
}

// Counts returns the counts so far.
func (o *Observer) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	waits := append([]time.Duration(nil), o.waits...)
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	quantile := func(q float64) float64 {
		if len(waits) == 0 {
			return 0
		}
		return float64(waits[int(q*float64(len(waits)-1))].Microseconds()) / 1000
	}
	return Counts{
		TasksStarted: o.startCount, TasksFinished: o.finishCount, DoubleRuns: o.doubleRuns, Overcommits: o.overcommit,
		WaitP50MS: quantile(0.5), WaitP99MS: quantile(0.99),
	}
}

// Finished returns how often a task finished.
func (o *Observer) Finished(task model.TaskID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.finished[task]
}

// Starts returns how often a task started.
func (o *Observer) Starts(task model.TaskID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts[task]
}
