package worker

import (
	"fmt"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/worker"
)

// historyLog writes what an observer sees to a history. The observer's lock protects it.
type historyLog struct {
	recorder *history.Recorder
	cell     string
	// runs are the numbers of the runs in progress by their workers and tokens, and lastRun is the number of the latest run.
	runs    map[workerRun]uint64
	lastRun uint64
	// ends counts the ends on each worker.
	ends map[string]uint64
}

// workerRun is a run on a worker.
type workerRun struct {
	worker string
	token  model.StartToken
}

// SetHistory sets the recorder of the boots of workers and the starts and ends of tasks from now on. The names of workers and jobs
// are prefixed with that of the cell, so that several cells share a history. A call is a job under the name of its work; other tasks
// belong to the job of their intent. Epochs, listings and acknowledgements are left out: those of this interface are not the ones
// that a history describes.
func (o *Observer) SetHistory(r *history.Recorder, cell string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = historyLog{recorder: r, cell: cell, runs: map[workerRun]uint64{}, ends: map[string]uint64{}}
}

// HistoryName returns the name of a worker, a job or an instance of a cell in a history that several cells share.
func HistoryName(cell, name string) string { return cell + "/" + name }

// HistoryResources returns resources as a history has them, which leaves out slots and connections.
func HistoryResources(r model.Resources) history.Resources {
	return history.Resources{CPUMilli: r.CPUMilli, MemoryMB: r.MemoryMiB, GPU: r.Accelerators}
}

// taskOf returns a task as a history has it. name is the name of its work.
func (l *historyLog) taskOf(name string, task model.Task) history.Task {
	out := history.Task{Job: HistoryName(l.cell, name)}
	if task.Kind == model.KindCall {
		return out
	}
	out.Job = HistoryName(l.cell, task.Intent)
	// The names of tasks are those of model.NewTaskID; another one is task 0.
	_, _ = fmt.Sscanf(string(task.ID), task.Intent+"/%d.%d", &out.Occurrence, &out.Index)
	return out
}

// recordBoot records the boot of a worker.
func (o *Observer) recordBoot(id string, capacity model.Resources) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	id = HistoryName(o.history.cell, id)
	o.history.recorder.Record(history.Event{Kind: history.KindWorker, Observer: id, Worker: &history.Worker{
		Worker: id, Change: history.ChangeBoot, Capacity: HistoryResources(capacity),
	}})
}

// start records the start of a run.
func (l *historyLog) start(id, name string, t worker.RunningTask) {
	if l.recorder == nil {
		return
	}
	l.lastRun++
	l.runs[workerRun{id, t.Token}] = l.lastRun
	id = HistoryName(l.cell, id)
	l.recorder.Record(history.Event{Kind: history.KindStart, Observer: id, Start: &history.Start{
		Task: l.taskOf(name, t.Task), Run: l.lastRun, Worker: id,
	}})
}

// historyResults are the results of runs as a history has them.
var historyResults = map[model.OutcomeState]history.Result{
	model.OutcomeFinished: history.ResultDone, model.OutcomeFailed: history.ResultFailed, model.OutcomeStopped: history.ResultStopped,
	model.OutcomePreempted: history.ResultStopped, model.OutcomeExpired: history.ResultExpired,
}

// end records the end of a run.
func (l *historyLog) end(id, name string, t worker.RunningTask, state model.OutcomeState) {
	if l.recorder == nil {
		return
	}
	key := workerRun{id, t.Token}
	run := l.runs[key]
	delete(l.runs, key)
	id = HistoryName(l.cell, id)
	l.ends[id]++
	l.recorder.Record(history.Event{Kind: history.KindEnd, Observer: id, End: &history.End{
		Task: l.taskOf(name, t.Task), Run: run, Worker: id, Number: l.ends[id], Result: historyResults[state],
	}})
}
