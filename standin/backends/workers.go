package backends

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// TaskBehavior describes how the stand-in workers run a task.
type TaskBehavior struct {
	// Resources is the demand of one run.
	Resources model.Resources
	Duration  time.Duration
	// Service marks a service task: it runs until it is stopped or its lease expires, or fails on its worker once it has run for Duration.
	Service bool
	// BestEffort excludes the processor demand of the task from the capacity check.
	BestEffort bool
	// Speculative permits copies of the task, which may run at the same time and after the end of another one.
	Speculative bool
	// Gang is the number of members of the gang of which the task is one; 0 for none.
	Gang int
	// FailsOn reports whether a run of the task fails on a worker; nil means that it never fails.
	FailsOn func(worker string) bool
	// Crash is how each run of the task crashes its worker; nil means that it does not.
	Crash *Crash
}

// Workers is a set of stand-in workers. Each worker rejects commands with a fencing token below the highest it has seen,
// runs tasks under a lease and numbers the finished runs. Workers also records what tests need to check a scheduler:
// contract violations, starts, completions and acknowledgements.
//
// Locking: mu protects the fields below it.
type Workers struct {
	now        func() time.Duration
	behaviorOf func(task string) TaskBehavior

	mu      sync.Mutex
	workers map[string]*workerState
	// violations describes each violation of the scheduler's guarantees.
	violations []string
	// starts, failures, doneAt and acknowledged are keyed by task; the last two are about runs that ended as done. doneAt holds the first end.
	starts       map[string]int
	failures     map[string]int
	doneAt       map[string]time.Duration
	acknowledged map[string]bool
	// lastStart holds when the last run of each task started.
	lastStart map[string]time.Duration
	// shownAt holds when each job was first shown to a caller as completed.
	shownAt     map[string]time.Duration
	chooseFault func(worker, command string) error
	// acceptFormerBoots means that calls to a former boot of a worker are executed by the present one.
	acceptFormerBoots bool
	crashes           crashRecord
	// history records what the workers observe, and faults the faults of their calls; nil records nothing.
	history *history.Recorder
	faults  faultLog
	// instanceOf names the instance that sends commands with a fencing token; nil for unknown.
	instanceOf func(token uint64) string
}

// workerState is the state of a worker since its last start. Times are on the clock of Workers.
type workerState struct {
	info         backend.WorkerInfo
	startedAt    time.Duration
	highestToken uint64
	// leaseUntil is the end of the lease of all runs on the worker.
	leaseUntil time.Duration
	running    map[string]*activeRun
	// unacknowledged are the finished runs that the scheduler has not acknowledged, and lastNumber is the number of the
	// latest finished run.
	unacknowledged []backend.FinishedRun
	lastNumber     int64
	// endedAt holds when the runs in unacknowledged ended, by their numbers, and lapsedAt is when the lease was last extended after
	// it had lapsed. An end before that does not bind the scheduler: it may have given up the run meanwhile.
	endedAt  map[int64]time.Duration
	lapsedAt time.Duration
	// highestClosedRun is, for each task, the highest run number that ended or was stopped. The worker does not start
	// runs with this or a lower number.
	highestClosedRun map[string]int64
	// formerCapacities are capacities before a change that starts may still count on.
	formerCapacities []formerCapacity
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	// lastListed is the number of the last finished run that a poll has listed, and expiredLease the end of the last lease whose
	// expiry is recorded.
	lastListed   int64
	expiredLease time.Duration
	// outage is set from a crash of the worker to its next boot.
	outage *outage
	// failing says that the worker fails all runs, and failingSince since when.
	failing      bool
	failingSince time.Duration
}

// formerCapacity is the capacity of a worker before it changed. Starts are judged by it until a time on the clock of Workers.
type formerCapacity struct {
	capacity model.Resources
	until    time.Duration
}

type activeRun struct {
	task      string
	run       int64
	behavior  TaskBehavior
	startedAt time.Duration
	paused    bool
	// gangSince is since when all members of the gang of the run are present; 0 if they are not.
	gangSince time.Duration
}

// finishAt returns when the run ends by itself.
func (r *activeRun) finishAt() time.Duration {
	switch {
	case r.behavior.Gang == 0:
		return r.startedAt + r.behavior.Duration
	case r.gangSince == 0:
		return math.MaxInt64
	}
	return r.gangSince + r.behavior.Duration
}

// worked returns for how long the run has worked.
func (r *activeRun) worked(now time.Duration) time.Duration {
	switch {
	case r.behavior.Gang == 0:
		return now - r.startedAt
	case r.gangSince == 0:
		return 0
	}
	return now - r.gangSince
}

var _ backend.Workers = (*Workers)(nil)

// NewWorkers returns an empty set of workers that use now as their clock. behaviorOf returns the behavior of a task by
// its name.
func NewWorkers(now func() time.Duration, behaviorOf func(task string) TaskBehavior) *Workers {
	return &Workers{
		now: now, behaviorOf: behaviorOf, workers: map[string]*workerState{}, starts: map[string]int{}, failures: map[string]int{},
		doneAt: map[string]time.Duration{}, acknowledged: map[string]bool{}, lastStart: map[string]time.Duration{}, shownAt: map[string]time.Duration{}, crashes: newCrashRecord(),
	}
}

// Add starts a worker. A worker with the same id is replaced, as after a restart, and loses its runs.
func (w *Workers) Add(info backend.WorkerInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[info.ID] = newWorkerState(info, w.now())
	w.recordChange(info, history.ChangeBoot)
}

func newWorkerState(info backend.WorkerInfo, startedAt time.Duration) *workerState {
	return &workerState{
		info: info, startedAt: startedAt, running: map[string]*activeRun{}, highestClosedRun: map[string]int64{}, endedAt: map[int64]time.Duration{},
		changed: make(chan struct{}),
	}
}

// Remove ends the process of a worker and all its runs, which counts as a crash under their tasks.
func (w *Workers) Remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if worker := w.workers[id]; worker != nil {
		for task := range worker.running {
			w.crashes.taskCrashes[task]++
		}
		w.recordChange(worker.info, history.ChangeCrash)
	}
	delete(w.workers, id)
}

// SetCapacity changes the capacity of a worker while it runs and returns what the worker reports about itself from now on; the
// caller writes its registry entry. Runs, lease, clock and fencing token stay. Until the grace has passed, a start is no
// violation if it fits into the former capacity.
func (w *Workers) SetCapacity(id string, capacity model.Resources, grace time.Duration) backend.WorkerInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker := w.workers[id]
	former := formerCapacity{worker.info.Capacity, w.now() + grace}
	worker.formerCapacities = append(worker.formerCapacities, former)
	worker.info.Capacity = capacity
	w.recordChange(worker.info, history.ChangeCapacity)
	return worker.info
}

// ShrinkGrace is how long after a change of its capacity the rules judge starts on a worker by the former one: the shortest
// contact time of a deployment, 3 s, and an interval of heartbeats, 1.5 s.
const ShrinkGrace = 4500 * time.Millisecond

// SetFault sets the function that selects the error of each later call; nil injects none. The error replaces the answer.
// With ErrAnswerLost, which only Start and Stop support, the command is executed first, and choose is called before and
// after it; any other error prevents the command.
func (w *Workers) SetFault(choose func(worker, command string) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chooseFault = choose
	w.faults.end()
}

// AcceptCallsToFormerBoots sets whether the workers execute calls that name a former boot. They do so if a leader or a delegate of an earlier
// program sends them, which names none, or if a call is carried out late by the next boot.
func (w *Workers) AcceptCallsToFormerBoots(accept bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptFormerBoots = accept
}

// ErrAnswerLost means that a command was executed but its answer was lost. ErrNoAnswer means that the command
// was not executed.
var (
	ErrAnswerLost = errors.New("the answer was lost")
	ErrNoAnswer   = errors.New("the worker does not answer")
)

// advance brings the workers up to date: due crashes, boots and ends of runs. Callers hold w.mu.
func (w *Workers) advance() {
	now := w.now()
	w.advanceGangs(now)
	for _, worker := range slices.Collect(maps.Values(w.workers)) {
		w.crashDueRun(worker, now)
		w.endDueRuns(worker, now)
		w.bootIfDue(worker, now)
	}
	w.lapseEntries(now)
}

// endDueRuns ends the runs on a worker that are due and those whose lease has expired. Callers hold w.mu.
func (w *Workers) endDueRuns(worker *workerState, now time.Duration) {
	var expired []*activeRun
	for name, r := range worker.running {
		finishAt := r.finishAt()
		switch {
		case worker.leaseUntil < now && (r.behavior.Service || worker.leaseUntil < finishAt):
			expired = append(expired, r)
		case worker.failsBy(r, now):
			w.end(worker, r, backend.ResultFailed, now)
		case r.paused || finishAt > now:
		case r.behavior.FailsOn != nil && r.behavior.FailsOn(worker.info.ID):
			w.end(worker, r, backend.ResultFailed, now)
		case r.behavior.Service:
		default:
			w.end(worker, r, backend.ResultDone, now)
			if _, ok := w.doneAt[name]; !ok {
				w.doneAt[name] = finishAt
			}
		}
	}
	w.recordLeaseExpiry(worker, now)
	for _, r := range expired {
		w.end(worker, r, backend.ResultExpired, now)
	}
}

// Fail ends the run of a task as failed and reports whether the task had one.
func (w *Workers) Fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, worker := range w.workers {
		if r := worker.running[task]; r != nil {
			w.end(worker, r, backend.ResultFailed, w.now())
			return true
		}
	}
	return false
}

// end removes a run, records its completion and wakes long polls. Callers hold w.mu.
func (w *Workers) end(worker *workerState, r *activeRun, how backend.RunResult, now time.Duration) {
	delete(worker.running, r.task)
	if how == backend.ResultFailed {
		w.failures[r.task]++
	}
	worker.lastNumber++
	worker.endedAt[worker.lastNumber] = now
	worker.highestClosedRun[r.task] = max(worker.highestClosedRun[r.task], r.run)
	finished := backend.FinishedRun{Number: worker.lastNumber, Task: r.task, Run: r.run, Result: how}
	worker.unacknowledged = append(worker.unacknowledged, finished)
	w.recordEnd(worker, finished)
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// clockMS returns the worker's clock in milliseconds. It starts at 1, since 0 means that the clock is not reported.
func (s *workerState) clockMS(now time.Duration) int64 { return (now - s.startedAt).Milliseconds() + 1 }

// beginCommand looks up a worker, applies any fault except ErrAnswerLost, and checks the fencing token. Callers hold w.mu.
func (w *Workers) beginCommand(ref backend.WorkerRef, command string, token uint64) (*workerState, backend.Refusal, error) {
	w.advance()
	worker := w.workers[ref.ID]
	if successor := w.workers[w.crashes.successors[ref.ID]]; successor != nil && successor.outage == nil {
		return successor, backend.RefusedInstance, nil
	}
	if worker == nil {
		return nil, "", ErrNoAnswer
	}
	if worker.outage != nil {
		return nil, "", verdict.Wrap(syscall.ECONNREFUSED, verdict.NotRun, verdict.CodeUnavailable, "connect to worker %s", ref.ID)
	}
	if w.chooseFault != nil {
		if err := w.chooseFault(ref.ID, command); err != nil && !errors.Is(err, ErrAnswerLost) {
			w.faults.begin(ref.ID, faultKindOf(err))
			return nil, "", err
		}
	}
	if !w.acceptFormerBoots && ref.StartedMS != 0 && ref.StartedMS != worker.info.StartedMS {
		return worker, backend.RefusedBoot, nil
	}
	if token < worker.highestToken {
		return worker, backend.RefusedFence, nil
	}
	worker.highestToken = token
	return worker, "", nil
}

// answerLostFault returns ErrAnswerLost if that is the fault of the call. Callers hold w.mu.
func (w *Workers) answerLostFault(id, command string) error {
	if w.chooseFault == nil {
		return nil
	}
	if err := w.chooseFault(id, command); errors.Is(err, ErrAnswerLost) {
		w.faults.begin(id, faultKindOf(err))
		return err
	}
	return nil
}

// MaxLease is the longest lease that a worker grants. A deadline beyond it is shortened.
const MaxLease = 10 * time.Second

// extendLease extends the lease to a deadline on the worker's clock; 0 leaves it as it is. A lease is never shortened.
// Callers hold the mutex of Workers.
func (s *workerState) extendLease(now time.Duration, deadlineMS int64) {
	if deadlineMS > 0 {
		if s.leaseUntil < now {
			s.lapsedAt = now
		}
		deadline := s.startedAt + time.Duration(deadlineMS)*time.Millisecond
		s.leaseUntil = max(s.leaseUntil, min(deadline, now+MaxLease))
	}
}

// Start implements backend.Workers.
func (w *Workers) Start(ctx context.Context, command backend.StartCommand) (backend.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.beginCommand(command.Worker, "start", command.FencingToken)
	if err != nil {
		return backend.Reply{}, err
	}
	now := w.now()
	reply := backend.Reply{Refusal: refusal, ClockMS: worker.clockMS(now)}
	switch {
	case refusal != "":
		return reply, nil
	case command.Run <= worker.highestClosedRun[command.Task]:
		reply.Refusal = backend.RefusedOldRun
		return reply, nil
	case command.LeaseDeadlineMS < reply.ClockMS:
		reply.Refusal = backend.RefusedLate
		return reply, nil
	}
	worker.extendLease(now, command.LeaseDeadlineMS)
	if worker.running[command.Task] == nil {
		w.beginRun(worker, command)
		w.recordStart(ctx, worker, command)
		w.advance()
	}
	if worker.outage != nil {
		return backend.Reply{}, ErrNoAnswer
	}
	return reply, w.answerLostFault(command.Worker.ID, "start")
}

// beginRun starts a run and records the violations that it causes. Callers hold w.mu.
func (w *Workers) beginRun(worker *workerState, command backend.StartCommand) {
	behavior := w.behaviorOf(command.Task)
	if w.acknowledged[command.Task] && !behavior.Speculative {
		w.violations = append(w.violations, fmt.Sprintf("task %s was started again after its completion was acknowledged", command.Task))
	}
	if shownAt, ok := w.shownAt[jobOf(command.Task)]; ok && w.now() > shownAt+shownGrace {
		w.violations = append(w.violations, fmt.Sprintf("task %s was started %v after its job was shown as completed", command.Task, w.now()-shownAt))
	}
	for id, other := range w.workers {
		if other.running[command.Task] != nil && !behavior.Speculative {
			w.violations = append(w.violations, fmt.Sprintf("task %s runs on workers %s and %s", command.Task, id, worker.info.ID))
		}
	}
	worker.running[command.Task] = &activeRun{task: command.Task, run: command.Run, behavior: behavior, startedAt: w.now()}
	w.starts[command.Task]++
	w.lastStart[command.Task] = w.now()
	if behavior.Crash != nil {
		w.recordLateStart(command.Task, behavior.Service)
		w.advanceAfter(behavior.Crash.Delay)
	}
	used := model.Resources{}
	for _, r := range worker.running {
		demand := r.behavior.Resources
		if r.behavior.BestEffort {
			demand.CPUMilli = 0
		}
		used = used.Add(demand)
	}
	if !worker.allows(used, w.now()) {
		w.violations = append(w.violations, fmt.Sprintf("worker %s exceeds its capacity: %+v of %+v", worker.info.ID, used, worker.info.Capacity))
	}
}

// allows reports whether a start may bring the used capacity of the worker to a value: it is within the present capacity, or
// within a former one that still counts.
func (s *workerState) allows(used model.Resources, now time.Duration) bool {
	if used.Fits(s.info.Capacity) {
		return true
	}
	return slices.ContainsFunc(s.formerCapacities, func(f formerCapacity) bool { return now < f.until && used.Fits(f.capacity) })
}

// Stop implements backend.Workers.
func (w *Workers) Stop(_ context.Context, command backend.Command) (backend.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.beginCommand(command.Worker, "stop", command.FencingToken)
	if err != nil {
		return backend.Reply{}, err
	}
	reply := backend.Reply{Refusal: refusal, ClockMS: worker.clockMS(w.now())}
	if refusal != "" {
		return reply, nil
	}
	worker.highestClosedRun[command.Task] = max(worker.highestClosedRun[command.Task], command.Run)
	if r := worker.running[command.Task]; r != nil && r.run <= command.Run {
		w.end(worker, r, backend.ResultStopped, w.now())
	}
	return reply, w.answerLostFault(command.Worker.ID, "stop")
}

// Throttle implements backend.Workers. The stand-in pauses a run at 0 percent and ignores other values: a paused
// run does not finish, and once resumed it finishes as if it had not been paused.
func (w *Workers) Throttle(_ context.Context, command backend.Command, percent int) (backend.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.beginCommand(command.Worker, "throttle", command.FencingToken)
	if err != nil {
		return backend.Reply{}, err
	}
	if r := worker.running[command.Task]; r != nil && refusal == "" {
		r.paused = percent == 0
	}
	return backend.Reply{Refusal: refusal, ClockMS: worker.clockMS(w.now())}, nil
}
