package backends

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// Image says how the stand-in workers run a task.
type Image struct {
	Each     model.Resources
	Duration time.Duration
	// Lasting tasks never end by themselves.
	Lasting bool
	// BestEffort tasks do not count against the processor capacity.
	BestEffort bool
	// Fails says that a run of the task fails on a worker.
	Fails func(worker string) bool
}

// Workers are stand-in workers that keep the highest fencing token, run tasks under leases and number their ends. They also
// keep the record by which tests judge a scheduler.
//
// Locking: mu protects everything.
type Workers struct {
	now   func() time.Duration
	image func(task string) Image

	mu      sync.Mutex
	workers map[string]*standWorker
	// Violations describe every broken promise.
	violations []string
	starts     map[string]int
	done       map[string]bool
	noted      map[string]bool
	fault      func(worker, order string) error
}

// standWorker is one life of a worker.
type standWorker struct {
	info    backend.WorkerInfo
	bornAt  time.Duration
	token   uint64
	until   time.Duration
	running map[string]*standRun
	ended   []backend.EndedTask
	number  int64
	lowest  map[string]int64
	changed chan struct{}
}

type standRun struct {
	task    string
	run     int64
	image   Image
	started time.Duration
	paused  bool
}

var _ backend.Workers = (*Workers)(nil)

// NewWorkers returns workers on a clock. image describes each task by its name.
func NewWorkers(now func() time.Duration, image func(task string) Image) *Workers {
	return &Workers{
		now: now, image: image, workers: map[string]*standWorker{}, starts: map[string]int{}, done: map[string]bool{},
		noted: map[string]bool{},
	}
}

// Add starts a worker, or starts it anew under the same id.
func (w *Workers) Add(info backend.WorkerInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[info.ID] = &standWorker{
		info: info, bornAt: w.now(), running: map[string]*standRun{}, lowest: map[string]int64{}, changed: make(chan struct{}),
	}
}

// Remove ends a worker with everything that runs there.
func (w *Workers) Remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.workers, id)
}

// SetFault decides about each later call: an error is returned in place of an answer, after the order was carried out if it
// is ErrAnswerLost.
func (w *Workers) SetFault(fault func(worker, order string) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// ErrAnswerLost says that an order was carried out and its answer lost; ErrSilent that it was not carried out.
var (
	ErrAnswerLost = errors.New("the answer was lost")
	ErrSilent     = errors.New("the worker is silent")
)

// Violations returns the broken promises that the workers saw.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// Starts returns how often a task was started; Done whether a run of it ended as done.
func (w *Workers) Starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// Done reports whether a run of a task ended as done.
func (w *Workers) Done(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.done[task]
}

// Acknowledged reports whether the end of a task that is done was acknowledged, so that its worker has forgotten it.
func (w *Workers) Acknowledged(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.noted[task]
}

// RunningOn returns the ids of the workers on which a task runs.
func (w *Workers) RunningOn(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var ids []string
	for id, worker := range w.workers {
		if worker.running[task] != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// advance ends runs that are finished or whose leases have lapsed. Callers hold w.mu.
func (w *Workers) advance() {
	now := w.now()
	for _, worker := range w.workers {
		for name, r := range worker.running {
			finished := r.started + r.image.Duration
			switch {
			case worker.until < now && (r.image.Lasting || worker.until < finished):
				worker.end(name, r, backend.EndLapsed)
			case r.image.Lasting || r.paused || finished > now:
			case r.image.Fails != nil && r.image.Fails(worker.info.ID):
				worker.end(name, r, backend.EndFailed)
			default:
				worker.end(name, r, backend.EndDone)
				w.done[name] = true
			}
		}
	}
}

func (s *standWorker) end(name string, r *standRun, how backend.How) {
	delete(s.running, name)
	s.number++
	s.lowest[name] = max(s.lowest[name], r.run)
	s.ended = append(s.ended, backend.EndedTask{Number: s.number, Task: name, Run: r.run, How: how})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *standWorker) clock(now time.Duration) int64 { return (now - s.bornAt).Milliseconds() + 1 }

// call finds a worker and applies a fault. Callers hold w.mu.
func (w *Workers) call(ref backend.WorkerRef, order string, token uint64) (*standWorker, backend.Refusal, error) {
	w.advance()
	worker := w.workers[ref.ID]
	if worker == nil {
		return nil, "", ErrSilent
	}
	if w.fault != nil {
		if err := w.fault(ref.ID, order); err != nil && !errors.Is(err, ErrAnswerLost) {
			return nil, "", err
		}
	}
	if token < worker.token {
		return worker, backend.RefusedFence, nil
	}
	worker.token = token
	return worker, "", nil
}

// lost returns ErrAnswerLost if the fault asks for it. Callers hold w.mu.
func (w *Workers) lost(id, order string) error {
	if w.fault == nil {
		return nil
	}
	if err := w.fault(id, order); errors.Is(err, ErrAnswerLost) {
		return err
	}
	return nil
}

func (s *standWorker) extend(now time.Duration, deadlineMS int64) {
	if deadlineMS > 0 {
		s.until = max(s.until, s.bornAt+time.Duration(deadlineMS)*time.Millisecond)
	}
}

// Start implements backend.Workers.
func (w *Workers) Start(_ context.Context, o backend.StartOrder) (backend.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.call(o.Worker, "start", o.Token)
	if err != nil {
		return backend.Reply{}, err
	}
	now := w.now()
	reply := backend.Reply{Refusal: refusal, ClockMS: worker.clock(now)}
	switch {
	case refusal != "":
		return reply, nil
	case o.Run <= worker.lowest[o.Task]:
		reply.Refusal = backend.RefusedOldRun
		return reply, nil
	case o.DeadlineMS < reply.ClockMS:
		reply.Refusal = backend.RefusedLate
		return reply, nil
	}
	worker.extend(now, o.DeadlineMS)
	if worker.running[o.Task] == nil {
		w.begin(worker, o)
	}
	return reply, w.lost(o.Worker.ID, "start")
}

// begin starts a run and notes what it breaks. Callers hold w.mu.
func (w *Workers) begin(worker *standWorker, o backend.StartOrder) {
	image := w.image(o.Task)
	if w.noted[o.Task] {
		w.violations = append(w.violations, fmt.Sprintf("%s started again after its end was taken note of", o.Task))
	}
	for id, other := range w.workers {
		if other.running[o.Task] != nil {
			w.violations = append(w.violations, fmt.Sprintf("%s runs on %s and %s", o.Task, id, worker.info.ID))
		}
	}
	worker.running[o.Task] = &standRun{task: o.Task, run: o.Run, image: image, started: w.now()}
	w.starts[o.Task]++
	used := model.Resources{}
	for _, r := range worker.running {
		each := r.image.Each
		if r.image.BestEffort {
			each.CPUMilli = 0
		}
		used = used.Add(each)
	}
	capacity := worker.info.Capacity
	if used.CPUMilli > capacity.CPUMilli || used.MemoryMiB > capacity.MemoryMiB || used.Accelerators > capacity.Accelerators {
		w.violations = append(w.violations, fmt.Sprintf("%s is over its capacity", worker.info.ID))
	}
}

// Stop implements backend.Workers.
func (w *Workers) Stop(_ context.Context, o backend.Order) (backend.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.call(o.Worker, "stop", o.Token)
	if err != nil {
		return backend.Reply{}, err
	}
	reply := backend.Reply{Refusal: refusal, ClockMS: worker.clock(w.now())}
	if refusal != "" {
		return reply, nil
	}
	worker.lowest[o.Task] = max(worker.lowest[o.Task], o.Run)
	if r := worker.running[o.Task]; r != nil && r.run <= o.Run {
		worker.end(o.Task, r, backend.EndStopped)
	}
	return reply, w.lost(o.Worker.ID, "stop")
}

// Throttle implements backend.Workers. The stand-in knows running and paused tasks only.
func (w *Workers) Throttle(_ context.Context, o backend.Order, percent int) (backend.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.call(o.Worker, "throttle", o.Token)
	if err != nil {
		return backend.Reply{}, err
	}
	if r := worker.running[o.Task]; r != nil && refusal == "" {
		r.paused = percent == 0
	}
	return backend.Reply{Refusal: refusal, ClockMS: worker.clock(w.now())}, nil
}

// Poll implements backend.Workers.
func (w *Workers) Poll(ctx context.Context, req backend.PollRequest) (backend.PollReply, error) {
	deadline := time.NewTimer(req.Wait)
	defer deadline.Stop()
	for {
		reply, changed, err := w.inventory(req)
		if err != nil || reply.Refusal != "" || len(reply.Ended) > 0 || req.Wait == 0 {
			return reply, err
		}
		tick := time.NewTimer(10 * time.Millisecond)
		select {
		case <-changed:
		case <-tick.C:
		case <-deadline.C:
			req.Wait = 0
		case <-ctx.Done():
			tick.Stop()
			return backend.PollReply{}, ctx.Err()
		}
		tick.Stop()
	}
}

func (w *Workers) inventory(req backend.PollRequest) (backend.PollReply, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, refusal, err := w.call(req.Worker, "poll", req.Token)
	if err != nil {
		return backend.PollReply{}, nil, err
	}
	now := w.now()
	reply := backend.PollReply{Reply: backend.Reply{Refusal: refusal, ClockMS: worker.clock(now)}, StartedMS: worker.info.StartedMS}
	if refusal != "" {
		return reply, nil, nil
	}
	worker.extend(now, req.DeadlineMS)
	worker.ended = slices.DeleteFunc(worker.ended, func(e backend.EndedTask) bool {
		if e.Number <= req.Acked && e.How == backend.EndDone {
			w.noted[e.Task] = true
		}
		return e.Number <= req.Acked
	})
	reply.Ended = slices.Clone(worker.ended)
	for name, r := range worker.running {
		percent := 100
		if !r.image.Lasting {
			percent = int(100 * (now - r.started) / max(r.image.Duration, 1))
		}
		reply.Running = append(reply.Running, backend.RunningTask{Task: name, Run: r.run, Percent: percent})
	}
	return reply, worker.changed, nil
}

// Advisor is a placement policy that permits every worker.
type Advisor struct {
	// Delay is the time of an answer.
	Delay time.Duration
	// Validity is how long tickets hold.
	Validity time.Duration
	// Good decides about a worker; nil permits all.
	Good func(step, worker string) bool
}

var _ backend.Advisor = (*Advisor)(nil)

// Advise implements backend.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, workers []string) ([]backend.Ticket, time.Duration, error) {
	timer := time.NewTimer(a.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	var good []backend.Ticket
	for _, id := range workers {
		if a.Good == nil || a.Good(step, id) {
			good = append(good, backend.Ticket{Worker: id, Ticket: step + "@" + id})
		}
	}
	return good, a.Validity, nil
}
