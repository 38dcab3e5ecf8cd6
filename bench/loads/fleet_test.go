package loads

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// tick is the resolution of the virtual clock.
	tick = 5 * time.Millisecond
	// pollEvery is the time between polls of a worker on which nothing ends.
	pollEvery = 500 * time.Millisecond
	// orderTime is how long an order takes.
	orderTime = 5 * time.Millisecond
	lease     = 6 * time.Second
)

// errNoAnswer is the outcome of an order to a silent worker.
var errNoAnswer = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")

// policy is what tells the product's order from a naive one.
type policy struct {
	// naive gives all queues one priority and objective, so that jobs are served as they arrive.
	naive bool
	// advisers are the instances that ask for placement advice.
	advisers int
	// copies permits a second run beside a slow or silent one.
	copies bool
}

var (
	product = policy{advisers: 8, copies: true}
	naive   = policy{naive: true, advisers: 1}
)

// fleet is a cell of workers and placement advisers around a core.
type fleet struct {
	t       testing.TB
	policy  policy
	core    *cell.Core
	now     time.Duration
	workers map[string]*worker
	queues  map[string]job.Queue
	jobs    map[job.ID]*submitted
	later   map[time.Duration][]func()
	next    int
}

// worker runs tasks for the time that their names stand for.
type worker struct {
	silent  bool
	running map[string]*run
	ends    int64
	pollAt  time.Duration
}

type run struct {
	number int64
	began  time.Duration
	length time.Duration
	// saved is how much was done at the last checkpoint of the runs before this one.
	saved time.Duration
}

// checkpointEvery is the time between checkpoints of the long tasks.
const checkpointEvery = time.Second

// checkpoint returns the progress that is saved, as the product stores it.
func (r *run) checkpoint(now time.Duration) string {
	return strconv.FormatInt((r.saved + (now - r.began).Truncate(checkpointEvery)).Milliseconds(), 10)
}

// submitted is what was seen of a job.
type submitted struct {
	queue    string
	at       time.Duration
	length   time.Duration
	started  time.Duration
	finished time.Duration
}

func newFleet(t testing.TB, p policy, workers int) *fleet {
	f := &fleet{
		t: t, policy: p, now: time.Hour, workers: map[string]*worker{}, jobs: map[job.ID]*submitted{},
		later: map[time.Duration][]func(){},
	}
	f.core = cell.New(cell.Options{
		Epoch: 1, Lease: lease, Retention: time.Hour, StopTimeout: 200 * time.Millisecond, Note: f.note,
	}, f.now)
	f.queues = map[string]job.Queue{
		"short": f.queue("short", 0, 250, &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500}),
		"long":  f.queue("long", 2, 1200, &job.Advice{DecisionMS: 420, PerWorkerMS: 6, ValidityMS: 2500}),
	}
	f.core.SetConfig(job.Config{Version: 1, Queues: slices.Collect(maps.Values(f.queues))})
	names := make([]string, p.advisers)
	for i := range names {
		names[i] = fmt.Sprintf("i%d", i)
	}
	f.core.SetAdvisers(names)
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		f.workers[id] = &worker{running: map[string]*run{}}
		f.core.SetWorker(backend.WorkerInfo{
			ID: id, Address: id, Service: "desk", Labels: []string{"k", "r"}, StartedMS: 1,
			Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 64_000},
		}, f.now)
		f.poll(id, nil)
	}
	f.store()
	return f
}

func (f *fleet) queue(name string, priority int, objectiveMS int64, advice *job.Advice) job.Queue {
	q := job.Queue{
		Name: name, Service: "desk", Priority: priority, ObjectiveMS: objectiveMS, Stretch: 1.5, MaxAttempts: 3, Advice: advice,
	}
	if f.policy.naive {
		q.Priority, q.ObjectiveMS, q.Stretch = 1, 60_000, 0
	}
	return q
}

// note takes the first start and the end of each job from the decisions.
func (f *fleet) note(d cell.Decision) {
	s := f.jobs[d.Job]
	if s == nil {
		return
	}
	switch d.Event {
	case "task_started":
		if s.started == 0 {
			s.started = f.now
		}
	case "job_finished":
		s.finished = f.now
	}
}

// submit hands a job of one step in.
func (f *fleet) submit(queue string, tasks int, cores int64, length time.Duration) job.ID {
	f.next++
	id := job.ID(fmt.Sprintf("%016x", f.next))
	f.jobs[id] = &submitted{queue: queue, at: f.now, length: length}
	step := job.Step{
		Count: tasks, Each: model.Resources{CPUMilli: 1000 * cores, MemoryMiB: 1000}, EstimateMS: length.Milliseconds(),
		Speculative: f.policy.copies, Checkpoints: queue == "long",
	}
	f.core.AddJob(id, job.Record{Queue: f.queues[queue], Epoch: 1, Spec: job.Spec{Payload: "p", Steps: []job.Step{step}}}, f.now)
	return id
}

// after calls a function after some time.
func (f *fleet) after(d time.Duration, do func()) {
	at := (f.now + d).Truncate(tick)
	f.later[at] = append(f.later[at], do)
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tick
		for _, do := range f.later[f.now.Truncate(tick)] {
			do()
		}
		delete(f.later, f.now.Truncate(tick))
		for _, id := range slices.Sorted(maps.Keys(f.workers)) {
			f.serve(id)
		}
		f.store()
		for _, action := range f.core.Step(f.now, f.now.Milliseconds()) {
			f.carryOut(action)
		}
	}
}

// serve ends the runs that are finished and answers polls.
func (f *fleet) serve(id string) {
	w := f.workers[id]
	var ended []backend.EndedTask
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		if r := w.running[task]; !w.silent && f.now >= r.began+r.length-r.saved {
			delete(w.running, task)
			w.ends++
			ended = append(ended, backend.EndedTask{Number: w.ends, Task: task, Run: r.number, How: backend.EndDone})
		}
	}
	if len(ended) > 0 || f.now >= w.pollAt {
		w.pollAt = f.now + pollEvery
		f.poll(id, ended)
	}
}

func (f *fleet) poll(id string, ended []backend.EndedTask) {
	w := f.workers[id]
	if _, _, ok := f.core.PreparePoll(id, f.now); !ok {
		return
	}
	if w.silent {
		f.core.PollResult(id, f.now, backend.PollReply{}, errNoAnswer, f.now)
		return
	}
	reply := backend.PollReply{Reply: backend.Reply{ClockMS: f.now.Milliseconds()}, StartedMS: 1, Ended: ended}
	for task, r := range w.running {
		percent := int(100 * (f.now - r.began + r.saved) / r.length)
		reply.Running = append(reply.Running, backend.RunningTask{
			Task: task, Run: r.number, Percent: percent, Saved: r.checkpoint(f.now),
		})
	}
	f.core.PollResult(id, f.now, reply, nil, f.now)
}

func (f *fleet) store() {
	for {
		batch := f.core.CollectBatch(80)
		if batch.Empty() {
			return
		}
		f.core.BatchStored(batch, true, f.now)
	}
}

func (f *fleet) carryOut(action cell.Action) {
	switch a := action.(type) {
	case *cell.AdviseAction:
		f.after(a.Expected, func() {
			var good []backend.Ticket
			for _, id := range a.Workers {
				good = append(good, backend.Ticket{Worker: id, Ticket: "t"})
			}
			f.core.AdviceResult(a, good, 2500*time.Millisecond, nil, f.now)
		})
	case *cell.StartAction:
		f.after(orderTime, func() { f.start(a) })
	case *cell.StopAction:
		f.after(orderTime, func() { f.stop(a) })
	case *cell.PollAction:
		f.poll(a.Worker, nil)
	}
}

func (f *fleet) start(a *cell.StartAction) {
	w := f.workers[a.Order.Worker.ID]
	if w.silent {
		f.core.StartResult(a, backend.Reply{}, errNoAnswer, f.now)
		return
	}
	n, ok := job.ParseTaskName(a.Order.Task)
	assert.Assert(f.t, ok)
	// A first run has no checkpoint, which counts as 0.
	saved, _ := strconv.ParseInt(a.Order.Checkpoint, 10, 64)
	w.running[a.Order.Task] = &run{
		number: a.Order.Run, began: f.now, length: f.jobs[n.Job].length, saved: time.Duration(saved) * time.Millisecond,
	}
	f.core.StartResult(a, backend.Reply{ClockMS: f.now.Milliseconds()}, nil, f.now)
}

func (f *fleet) stop(a *cell.StopAction) {
	w := f.workers[a.Order.Worker.ID]
	if w.silent {
		f.core.StopResult(a, backend.Reply{}, errNoAnswer, f.now)
		return
	}
	if r := w.running[a.Order.Task]; r != nil {
		delete(w.running, a.Order.Task)
		w.ends++
		f.poll(a.Order.Worker.ID, []backend.EndedTask{{
			Number: w.ends, Task: a.Order.Task, Run: r.number, How: backend.EndStopped, Saved: r.checkpoint(f.now),
		}})
	}
	f.core.StopResult(a, backend.Reply{ClockMS: f.now.Milliseconds()}, nil, f.now)
}

// quantile returns the time that a share of the jobs of a queue took from their submission to an instant that pick chooses.
// Jobs that have not come that far count with the time so far.
func (f *fleet) quantile(queue string, share float64, pick func(*submitted) time.Duration) time.Duration {
	var times []time.Duration
	for _, s := range f.jobs {
		if s.queue != queue {
			continue
		}
		at := pick(s)
		if at == 0 {
			at = f.now
		}
		times = append(times, at-s.at)
	}
	slices.Sort(times)
	return times[int(share*float64(len(times)-1))]
}

func started(s *submitted) time.Duration  { return s.started }
func finished(s *submitted) time.Duration { return s.finished }
