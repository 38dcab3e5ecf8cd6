// Package worker provides an in-process stand-in for a worker's agent. It simulates tasks with timers, implements the
// fencing and the leases of package worker, and reports each start and end of a task to an Observer that is independent
// of the scheduler. An agent keeps all state in memory and ends with its process.
package worker

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/worker"
)

// Behavior describes how a task runs on the stand-in.
type Behavior struct {
	// RunTime is how long the task runs; a negative value means until it is stopped or its lease expires.
	RunTime time.Duration
	// Fail makes the task end with an error.
	Fail bool
	// Answer is the task's result.
	Answer []byte
}

// Options configures an agent.
type Options struct {
	ID       string
	Capacity model.Resources
	Clock    clockwork.Clock
	// Observer records each start and end of a task; it may be nil.
	Observer *Observer
	// Behave selects how a task runs; nil means DefaultBehavior.
	Behave func(model.Task) Behavior
}

// taskRun is a task that is running.
type taskRun struct {
	worker.RunningTask
	startedAt time.Time
	behavior  Behavior
}

// Agent is one stand-in worker.
//
// Locking: mu protects the fields below it.
type Agent struct {
	opts Options

	mu       sync.Mutex
	boot     int
	bootedAt time.Time
	// epoch is the highest epoch of a request so far.
	epoch   uint64
	running map[model.TaskID]*taskRun
	// results are the results that have not been acknowledged, and lastSequence is the sequence of the latest result.
	results      []worker.Result
	lastSequence uint64
	// endedTokens are the tokens of the starts since the boot whose tasks have ended.
	endedTokens map[model.StartToken]bool
	// changed is closed and replaced when a task ends or the agent restarts.
	changed chan struct{}
	timer   clockwork.Timer
}

var _ worker.Agent = (*Agent)(nil)

// New returns a started agent.
func New(opts Options) *Agent {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Behave == nil {
		opts.Behave = DefaultBehavior
	}
	a := &Agent{opts: opts}
	a.Restart()
	return a
}

// DefaultBehavior runs a task for its declared run time, or until stopped if it declares none, and answers with its id.
func DefaultBehavior(task model.Task) Behavior {
	runTime := time.Duration(task.RunTimeMS) * time.Millisecond
	if runTime == 0 {
		runTime = -1
	}
	return Behavior{RunTime: runTime, Answer: []byte(task.ID)}
}

// Restart simulates a reboot: it ends all tasks, drops all results and changes the boot ID. The epoch is kept.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.running {
		a.opts.Observer.recordEnd(a.opts.ID, t.RunningTask, model.OutcomeExpired)
	}
	for _, r := range a.results {
		a.opts.Observer.recordLostResult(r.Task)
	}
	a.boot++
	a.bootedAt = a.opts.Clock.Now()
	a.running = map[model.TaskID]*taskRun{}
	a.endedTokens = map[model.StartToken]bool{}
	a.results, a.lastSequence = nil, 0
	a.opts.Observer.recordBoot(a.opts.ID, a.opts.Capacity)
	a.wakePolls()
}

// wakePolls wakes long polls. Callers hold a.mu.
func (a *Agent) wakePolls() {
	if a.changed != nil {
		close(a.changed)
	}
	a.changed = make(chan struct{})
}

// now returns the time since the boot. Callers hold a.mu.
func (a *Agent) now() worker.ClockReading {
	return worker.ClockReading(a.opts.Clock.Since(a.bootedAt).Milliseconds())
}

// bootID returns the ID of the current boot. Callers hold a.mu.
func (a *Agent) bootID() string { return fmt.Sprintf("%s-boot%d", a.opts.ID, a.boot) }

// checkEpoch rejects an epoch below the highest so far and otherwise records it. Callers hold a.mu.
func (a *Agent) checkEpoch(epoch uint64) error {
	if epoch < a.epoch {
		return verdict.New(verdict.NotRun, verdict.CodeFenced, "epoch %d is below %d", epoch, a.epoch)
	}
	a.epoch = epoch
	return nil
}

// Fence implements worker.Agent.
func (a *Agent) Fence(_ context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkEpoch(req.Epoch); err != nil {
		return worker.Inventory{}, err
	}
	a.advance()
	inv := worker.Inventory{BootID: a.bootID(), Now: a.now(), Results: append([]worker.Result(nil), a.results...)}
	for _, t := range a.running {
		entry := t.RunningTask
		entry.RanMS = a.opts.Clock.Since(t.startedAt).Milliseconds()
		inv.Running = append(inv.Running, entry)
	}
	sort.Slice(inv.Running, func(i, j int) bool { return inv.Running[i].Task.ID < inv.Running[j].Task.ID })
	return inv, nil
}

// Start implements worker.Agent.
func (a *Agent) Start(_ context.Context, req worker.StartRequest) (worker.StartReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkEpoch(req.Epoch); err != nil {
		return worker.StartReply{}, err
	}
	a.advance()
	if a.endedTokens[req.Token] {
		return worker.StartReply{Now: a.now()}, nil
	}
	if t, ok := a.running[req.Task.ID]; ok {
		if t.Token == req.Token {
			return worker.StartReply{Now: a.now()}, nil
		}
		return worker.StartReply{}, verdict.New(verdict.NotRun, verdict.CodeConflict, "task %s runs under another token", req.Task.ID)
	}
	if req.BootID != a.bootID() || a.now() > req.LeaseUntil {
		return worker.StartReply{}, verdict.New(verdict.NotRun, verdict.CodeExpired, "lease of the start has expired")
	}
	t := &taskRun{
		RunningTask: worker.RunningTask{Task: req.Task, Token: req.Token, LeaseUntil: req.LeaseUntil},
		startedAt:   a.opts.Clock.Now(),
		behavior:    a.opts.Behave(req.Task),
	}
	a.running[req.Task.ID] = t
	a.opts.Observer.recordStart(a.opts.ID, a.opts.Capacity, t.RunningTask)
	a.armTimer()
	return worker.StartReply{Now: a.now()}, nil
}

// Sync implements worker.Agent.
func (a *Agent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	waitTimer := a.opts.Clock.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer waitTimer.Stop()
	for {
		reply, changed, err := a.sync(req)
		if err != nil || len(reply.Results) > 0 || req.WaitMS == 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-waitTimer.Chan():
			req.WaitMS = 0
		case <-ctx.Done():
			return worker.SyncReply{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "sync")
		}
	}
}

// sync applies a sync request once. The channel it returns is closed when a task ends or the agent restarts.
func (a *Agent) sync(req worker.SyncRequest) (worker.SyncReply, chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkEpoch(req.Epoch); err != nil {
		return worker.SyncReply{}, nil, err
	}
	a.advance()
	if req.BootID == a.bootID() {
		for _, t := range a.running {
			t.LeaseUntil = max(t.LeaseUntil, req.LeaseUntil)
		}
		a.acknowledge(req.Acknowledged)
	}
	a.armTimer()
	reply := worker.SyncReply{BootID: a.bootID(), Now: a.now()}
	for _, t := range a.running {
		reply.Running = append(reply.Running, worker.TaskStatus{
			Task: t.Task.ID, Token: t.Token, Used: t.Task.DeclaredDemand, RanMS: a.opts.Clock.Since(t.startedAt).Milliseconds(),
		})
	}
	for _, r := range a.results {
		if r.Sequence > req.AfterSequence {
			reply.Results = append(reply.Results, r)
		}
	}
	return reply, a.changed, nil
}

// acknowledge drops the results with the given sequences. Callers hold a.mu.
func (a *Agent) acknowledge(sequences []uint64) {
	if len(sequences) == 0 {
		return
	}
	acked := make(map[uint64]bool, len(sequences))
	for _, s := range sequences {
		acked[s] = true
	}
	remaining := a.results[:0]
	for _, r := range a.results {
		if !acked[r.Sequence] {
			remaining = append(remaining, r)
		}
	}
	a.results = remaining
}

// Stop implements worker.Agent.
func (a *Agent) Stop(_ context.Context, req worker.StopRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkEpoch(req.Epoch); err != nil {
		return err
	}
	t, ok := a.running[req.Task]
	if !ok || t.Token != req.Token {
		return nil
	}
	state := model.OutcomeStopped
	if req.Checkpoint {
		state = model.OutcomePreempted
	}
	a.end(t, state)
	return nil
}

// Busy reports whether any task is running.
func (a *Agent) Busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running) > 0
}

// Throttle implements worker.Agent. The stand-in checks the epoch and otherwise ignores the command.
func (a *Agent) Throttle(_ context.Context, req worker.ThrottleRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.checkEpoch(req.Epoch)
}

// end removes a running task, records its result and wakes long polls. Callers hold a.mu.
func (a *Agent) end(t *taskRun, state model.OutcomeState) {
	delete(a.running, t.Task.ID)
	a.endedTokens[t.Token] = true
	a.lastSequence++
	out := model.Outcome{
		Task: t.Task.ID, Token: t.Token, State: state, Worker: a.opts.ID,
		RanMS: a.opts.Clock.Since(t.startedAt).Milliseconds(),
	}
	switch state {
	case model.OutcomeFinished:
		out.Answer = t.behavior.Answer
		out.AnswerDigest = xxhash.Sum64(out.Answer)
	case model.OutcomeFailed:
		out.Error = "task failed"
	}
	a.results = append(a.results, worker.Result{Sequence: a.lastSequence, Outcome: out, Task: t.Task})
	a.opts.Observer.recordEnd(a.opts.ID, t.RunningTask, state)
	a.wakePolls()
}

// advance ends the tasks whose run time is over or whose lease has expired. Callers hold a.mu.
func (a *Agent) advance() {
	now := a.opts.Clock.Now()
	timestamp := a.now()
	for _, t := range a.running {
		switch {
		case t.behavior.RunTime >= 0 && now.Sub(t.startedAt) >= t.behavior.RunTime:
			state := model.OutcomeFinished
			if t.behavior.Fail {
				state = model.OutcomeFailed
			}
			a.end(t, state)
		case timestamp > t.LeaseUntil:
			a.end(t, model.OutcomeExpired)
		}
	}
}

// armTimer sets the timer to the next end of a run time or a lease. Callers hold a.mu.
func (a *Agent) armTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
	next := time.Duration(-1)
	for _, t := range a.running {
		due := time.Duration(t.LeaseUntil-a.now()+1) * time.Millisecond
		if t.behavior.RunTime >= 0 {
			due = min(due, t.behavior.RunTime-a.opts.Clock.Since(t.startedAt))
		}
		if next < 0 || due < next {
			next = max(due, 0)
		}
	}
	if next >= 0 {
		a.timer = a.opts.Clock.AfterFunc(next, a.onTimer)
	}
}

// onTimer ends the tasks that are due and sets the timer again.
func (a *Agent) onTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.armTimer()
}
