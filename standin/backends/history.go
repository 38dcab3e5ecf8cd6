package backends

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
)

// Sender is what a test knows about the sender of a command and no protocol says.
type Sender struct {
	// Instance is the instance that sent the command.
	Instance string
	// Late says that the worker carries out the command later than it arrived.
	Late bool
}

type senderKey struct{}

// WithSender returns a context for the commands of a sender.
func WithSender(ctx context.Context, s Sender) context.Context {
	return context.WithValue(ctx, senderKey{}, s)
}

// SenderOf returns the sender of the commands with a context; the zero value if it is unknown.
func SenderOf(ctx context.Context) Sender {
	s, _ := ctx.Value(senderKey{}).(Sender)
	return s
}

// SetHistory sets the recorder of what the workers observe from now on; nil records nothing.
func (w *Workers) SetHistory(r *history.Recorder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = r
	w.faults = faultLog{recorder: r, target: history.TargetWorker}
}

// taskOf returns the task of a name. A name that is not one of the scheduler is taken for the job.
func taskOf(name string) history.Task {
	if task, err := history.ParseTask(name); err == nil {
		return task
	}
	return history.Task{Job: name}
}

// HistoryResources returns resources as a history has them.
func HistoryResources(r model.Resources) history.Resources {
	return history.Resources{CPUMilli: r.CPUMilli, MemoryMB: r.MemoryMiB, GPU: r.Accelerators}
}

// RegistryEvent returns the event of a registry entry that the store has accepted.
func RegistryEvent(entry backend.WorkerInfo) history.Event {
	change := history.ChangeReady
	if entry.Draining {
		change = history.ChangeDraining
	}
	return history.Event{Kind: history.KindRegistry, Observer: "store", Registry: &history.Registry{
		Worker: entry.ID, Boot: entry.StartedMS, Change: change,
	}}
}

// RegistryRemoval returns the event of a registry entry that the store has removed.
func RegistryRemoval(id string) history.Event {
	return history.Event{Kind: history.KindRegistry, Observer: "store", Registry: &history.Registry{Worker: id, Change: history.ChangeRemoved}}
}

// recordChange records a change of a worker. Callers hold w.mu.
func (w *Workers) recordChange(info backend.WorkerInfo, change history.Change) {
	event := history.Worker{Worker: info.ID, Boot: info.StartedMS, Change: change}
	if change == history.ChangeBoot || change == history.ChangeCapacity {
		event.Service, event.Labels, event.Capacity = info.Service, info.Labels, HistoryResources(info.Capacity)
	}
	w.history.Record(history.Event{Kind: history.KindWorker, Observer: info.ID, Worker: &event})
}

// SetInstanceOf sets the function that names the instance that sends commands with a fencing token, for commands whose context has
// no sender. It must not call the methods of Workers.
func (w *Workers) SetInstanceOf(instanceOf func(token uint64) string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instanceOf = instanceOf
}

// recordStart records that a worker has started a run. Callers hold w.mu.
func (w *Workers) recordStart(ctx context.Context, worker *workerState, command backend.StartCommand) {
	sender := SenderOf(ctx)
	if sender.Instance == "" && w.instanceOf != nil {
		sender.Instance = w.instanceOf(command.FencingToken)
	}
	w.history.Record(history.Event{Kind: history.KindStart, Observer: worker.info.ID, Start: &history.Start{
		Task: taskOf(command.Task), Run: uint64(command.Run), Worker: worker.info.ID, Boot: worker.info.StartedMS,
		Instance: sender.Instance, Epoch: command.FencingToken, Late: sender.Late, Payload: command.Payload,
	}})
}

// historyResults are the results of runs as a history has them.
var historyResults = map[backend.RunResult]history.Result{
	backend.ResultDone: history.ResultDone, backend.ResultFailed: history.ResultFailed, backend.ResultStopped: history.ResultStopped,
	backend.ResultExpired: history.ResultExpired, backend.ResultGangEnded: history.ResultBroken, backend.ResultGangIncomplete: history.ResultAlone,
}

// recordEnd records the end of a run. Callers hold w.mu.
func (w *Workers) recordEnd(worker *workerState, run backend.FinishedRun) {
	w.history.Record(history.Event{Kind: history.KindEnd, Observer: worker.info.ID, End: &history.End{
		Task: taskOf(run.Task), Run: uint64(run.Run), Worker: worker.info.ID, Boot: worker.info.StartedMS,
		Number: uint64(run.Number), Result: historyResults[run.Result],
	}})
}

// recordLeaseExpiry records that the lease of a worker has expired, once for each lease. Callers hold w.mu.
func (w *Workers) recordLeaseExpiry(worker *workerState, now time.Duration) {
	if worker.leaseUntil == 0 || worker.leaseUntil >= now || worker.expiredLease == worker.leaseUntil || worker.outage != nil {
		return
	}
	worker.expiredLease = worker.leaseUntil
	w.recordChange(worker.info, history.ChangeLeaseExpired)
}

// recordListing records that a worker lists completions that it has not listed before. Callers hold w.mu.
func (w *Workers) recordListing(ctx context.Context, worker *workerState, runs []backend.FinishedRun) {
	if len(runs) == 0 || runs[len(runs)-1].Number <= worker.lastListed {
		return
	}
	worker.lastListed = runs[len(runs)-1].Number
	w.history.Record(history.Event{Kind: history.KindListing, Observer: worker.info.ID, Listing: &history.Listing{
		Worker: worker.info.ID, Boot: worker.info.StartedMS, Instance: SenderOf(ctx).Instance, UpTo: uint64(worker.lastListed),
	}})
}

// recordAcknowledgement records that completions up to a number, which the worker still had, are acknowledged. expired says that the
// lease had expired. Callers hold w.mu.
func (w *Workers) recordAcknowledgement(ctx context.Context, worker *workerState, upTo int64, expired bool) {
	if len(worker.unacknowledged) == 0 || worker.unacknowledged[0].Number > upTo {
		return
	}
	w.history.Record(history.Event{Kind: history.KindAcknowledgement, Observer: worker.info.ID, Acknowledgement: &history.Acknowledgement{
		Worker: worker.info.ID, Boot: worker.info.StartedMS, Instance: SenderOf(ctx).Instance,
		UpTo: uint64(min(upTo, worker.lastNumber)), Expired: expired,
	}})
}

// faultLog records the begin and the end of the faults that are injected into calls. A fault begins with the first call that it affects.
type faultLog struct {
	recorder *history.Recorder
	target   history.TargetKind
	// number counts the faults, and open are those that have not ended, by the name of their target.
	number int
	open   map[string]history.Fault
}

// begin records that a fault affects a target, unless that is recorded already.
func (l *faultLog) begin(name string, kind history.FaultKind) {
	if _, ok := l.open[name]; ok || l.recorder == nil {
		return
	}
	if l.open == nil {
		l.open = map[string]history.Fault{}
	}
	l.number++
	fault := history.Fault{
		ID: fmt.Sprintf("%s-call-%d", l.target, l.number), Change: history.ChangeBegin, Kind: kind, Target: l.target, Name: name,
	}
	l.open[name] = fault
	l.recorder.Record(history.Event{Kind: history.KindFault, Observer: "stand-in", Fault: &fault})
}

// end records the end of all faults in progress.
func (l *faultLog) end() {
	for name, fault := range l.open {
		delete(l.open, name)
		fault.Change = history.ChangeEnd
		l.recorder.Record(history.Event{Kind: history.KindFault, Observer: "stand-in", Fault: &fault})
	}
}

// faultKindOf returns the kind of fault that replaces the answer of a worker by an error.
func faultKindOf(err error) history.FaultKind {
	if errors.Is(err, ErrAnswerLost) {
		return history.FaultAnswersLost
	}
	return history.FaultSilent
}

// SetHistory sets the recorder of the faults that are injected from now on; nil records nothing.
func (t *Tables) SetHistory(r *history.Recorder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faultLog{recorder: r, target: history.TargetStore}
}

// recordFault records that a fault affects a call. Callers hold t.mu.
func (t *Tables) recordFault(f Fault) {
	kinds := map[Fault]history.FaultKind{
		FaultRefused: history.FaultDown, FaultNoAnswer: history.FaultSilent, FaultAnswerLost: history.FaultAnswersLost, FaultLate: history.FaultLate,
	}
	if f != FaultNone {
		t.faults.begin("", kinds[f])
	}
}
