package loads

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
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
	// clockResolution is the resolution of the virtual clock.
	clockResolution = 5 * time.Millisecond
	// pollInterval is the time between polls of a worker on which nothing ends.
	pollInterval = 500 * time.Millisecond
	// commandLatency is the time from sending a command until its worker handles it.
	commandLatency = 5 * time.Millisecond
	leaseDuration  = 6 * time.Second
)

// errNoAnswer is the outcome of a command or poll that is sent to an unresponsive worker.
var errNoAnswer = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")

// schedulingPolicy holds the settings in which the product's scheduling differs from the naive one.
type schedulingPolicy struct {
	// arrivalOrder gives all queues the same priority and objective, so that jobs are served in order of arrival.
	arrivalOrder bool
	// advisers is the number of instances that request placement advice.
	advisers int
	// speculative permits a second run of a task whose first run is slow or on an unresponsive worker.
	speculative bool
}

var (
	product = schedulingPolicy{advisers: 8, speculative: true}
	naive   = schedulingPolicy{arrivalOrder: true, advisers: 1}
)

// fleet simulates the workers and placement advisers of a cell core.
type fleet struct {
	t         testing.TB
	policy    schedulingPolicy
	core      *cell.Core
	now       time.Duration
	workers   map[string]*worker
	queues    map[string]job.Queue
	jobs      map[job.ID]*submittedJob
	scheduled map[time.Duration][]func()
	lastJob   int
	// allowed reports whether the placement policy allows a step to run on a worker. The tickets of allowed workers are valid
	// until the instant in tickets, by step and worker.
	allowed func(step, worker string) bool
	tickets map[[2]string]time.Duration
	// refusedTickets counts the starts that were refused because their ticket had expired.
	refusedTickets int
}

// worker runs each task for the duration that its job was submitted with.
type worker struct {
	unresponsive   bool
	running        map[string]*taskRun
	lastCompletion int64
	nextPoll       time.Duration
}

type taskRun struct {
	number    int64
	startedAt time.Duration
	duration  time.Duration
	// savedProgress is the progress at the last checkpoint of the earlier runs.
	savedProgress time.Duration
}

// checkpointInterval is the time between checkpoints of a run.
const checkpointInterval = time.Second

// checkpoint returns the progress at the run's last checkpoint in milliseconds, as text like the product stores it.
func (r *taskRun) checkpoint(now time.Duration) string {
	return strconv.FormatInt((r.savedProgress + (now - r.startedAt).Truncate(checkpointInterval)).Milliseconds(), 10)
}

// submittedJob records when a job was submitted, first started and finished. Instants are 0 until they are reached.
type submittedJob struct {
	queue        string
	submittedAt  time.Duration
	taskDuration time.Duration
	startedAt    time.Duration
	finishedAt   time.Duration
}

// defaultCapacity is the capacity of a worker.
var defaultCapacity = model.Resources{CPUMilli: 16_000, MemoryMiB: 64_000}

func newFleet(t testing.TB, p schedulingPolicy, workers int) *fleet {
	queues := map[string]job.Queue{
		"short": newQueue(p, "short", 0, 250, &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500}),
		"long":  newQueue(p, "long", 2, 1200, &job.Advice{DecisionMS: 420, PerWorkerMS: 6, ValidityMS: 2500}),
	}
	return newFleetWith(t, p, workers, defaultCapacity, queues)
}

func newFleetWith(t testing.TB, p schedulingPolicy, workers int, capacity model.Resources, queues map[string]job.Queue) *fleet {
	f := &fleet{
		t: t, policy: p, now: time.Hour, workers: map[string]*worker{}, jobs: map[job.ID]*submittedJob{},
		scheduled: map[time.Duration][]func(){}, queues: queues, tickets: map[[2]string]time.Duration{},
		allowed: func(string, string) bool { return true },
	}
	f.core = cell.New(cell.Options{
		Epoch: 1, LeaseDuration: leaseDuration, Retention: time.Hour, StopTimeout: 200 * time.Millisecond, OnDecision: f.recordDecision,
	}, f.now)
	f.core.SetConfig(job.Config{Version: 1, Queues: slices.Collect(maps.Values(f.queues))})
	names := make([]string, p.advisers)
	for i := range names {
		names[i] = fmt.Sprintf("i%d", i)
	}
	f.core.SetAdvisers(names)
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		f.workers[id] = &worker{running: map[string]*taskRun{}}
		f.core.SetWorker(backend.WorkerInfo{
			ID: id, Address: id, Service: "desk", Labels: []string{"k", "r"}, StartedMS: 1,
			Capacity: capacity,
		}, f.now)
		f.poll(id, nil)
	}
	f.storeBatches()
	return f
}

func newQueue(p schedulingPolicy, name string, priority int, objectiveMS int64, advice *job.Advice) job.Queue {
	q := job.Queue{
		Name: name, Service: "desk", Priority: priority, ObjectiveMS: objectiveMS, Stretch: 1.5, MaxAttempts: 3, Advice: advice,
	}
	if p.arrivalOrder {
		q.Priority, q.ObjectiveMS, q.Stretch = 1, 60_000, 0
	}
	return q
}

// recordDecision records the first start and the completion of each job from the decisions that the core logs.
func (f *fleet) recordDecision(d cell.Decision) {
	s := f.jobs[d.Job]
	if s == nil {
		return
	}
	switch d.Event {
	case "task_started":
		if s.startedAt == 0 {
			s.startedAt = f.now
		}
	case "job_finished":
		s.finishedAt = f.now
	}
}

// submit adds a job with one step.
func (f *fleet) submit(queue string, tasks int, cpus int64, duration time.Duration) job.ID {
	return f.submitStep(queue, job.Step{
		Count: tasks, TaskDemand: model.Resources{CPUMilli: 1000 * cpus, MemoryMiB: 1000}, EstimateMS: duration.Milliseconds(),
		Speculative: f.policy.speculative, Checkpoints: queue == "long",
	})
}

// submitStep adds a job with the given step, whose tasks take as long as estimated.
func (f *fleet) submitStep(queue string, step job.Step) job.ID {
	f.lastJob++
	duration := time.Duration(step.EstimateMS) * time.Millisecond
	id := job.ID(fmt.Sprintf("%016x", f.lastJob))
	f.jobs[id] = &submittedJob{queue: queue, submittedAt: f.now, taskDuration: duration}
	f.core.AddJob(id, job.Record{Queue: f.queues[queue], Epoch: 1, Spec: job.Spec{Payload: "p", Steps: []job.Step{step}}}, f.now)
	return id
}

// after schedules a function to run after a delay.
func (f *fleet) after(d time.Duration, do func()) {
	at := (f.now + d).Truncate(clockResolution)
	f.scheduled[at] = append(f.scheduled[at], do)
}

// advance moves the virtual clock forward in steps of clockResolution, and lets the workers and the core act at each step.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += clockResolution
		for _, do := range f.scheduled[f.now.Truncate(clockResolution)] {
			do()
		}
		delete(f.scheduled, f.now.Truncate(clockResolution))
		for _, id := range slices.Sorted(maps.Keys(f.workers)) {
			f.stepWorker(id)
		}
		f.storeBatches()
		for _, action := range f.core.Step(f.now, f.now.Milliseconds()) {
			f.execute(action)
		}
	}
}

// stepWorker finishes the runs whose duration is over, and polls the worker if any finished or the next poll is due.
func (f *fleet) stepWorker(id string) {
	w := f.workers[id]
	var ended []backend.FinishedRun
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		if r := w.running[task]; !w.unresponsive && f.now >= r.startedAt+r.duration-r.savedProgress {
			delete(w.running, task)
			w.lastCompletion++
			ended = append(ended, backend.FinishedRun{Number: w.lastCompletion, Task: task, Run: r.number, Result: backend.ResultDone})
		}
	}
	if len(ended) > 0 || f.now >= w.nextPoll {
		w.nextPoll = f.now + pollInterval
		f.poll(id, ended)
	}
}

func (f *fleet) poll(id string, ended []backend.FinishedRun) {
	w := f.workers[id]
	if _, _, ok := f.core.PreparePoll(id, f.now); !ok {
		return
	}
	if w.unresponsive {
		f.core.PollResult(id, f.now, backend.PollReply{}, errNoAnswer, f.now)
		return
	}
	reply := backend.PollReply{Reply: backend.Reply{ClockMS: f.now.Milliseconds()}, StartedMS: 1, Finished: ended}
	for task, r := range w.running {
		percent := int(100 * (f.now - r.startedAt + r.savedProgress) / r.duration)
		reply.Running = append(reply.Running, backend.ActiveRun{
			Task: task, Run: r.number, ProgressPercent: percent, Checkpoint: r.checkpoint(f.now),
		})
	}
	f.core.PollResult(id, f.now, reply, nil, f.now)
}

func (f *fleet) storeBatches() {
	for {
		batch := f.core.CollectBatch(80)
		if batch.Empty() {
			return
		}
		f.core.BatchStored(batch, true, f.now)
	}
}

func (f *fleet) execute(action cell.Action) {
	switch a := action.(type) {
	case *cell.AdviseAction:
		f.after(a.Expected, func() {
			var tickets []backend.Ticket
			validity := f.adviceValidity(a.Step)
			for _, id := range a.Workers {
				if f.allowed(a.Step, id) {
					f.tickets[[2]string{a.Step, id}] = f.now + validity
					tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
				}
			}
			f.core.AdviceResult(a, tickets, validity, nil, f.now)
		})
	case *cell.StartAction:
		f.after(commandLatency, func() { f.startTask(a) })
	case *cell.StopAction:
		f.after(commandLatency, func() { f.stopTask(a) })
	case *cell.PollAction:
		f.poll(a.Worker, nil)
	}
}

// adviceValidity returns how long the tickets for a step are valid.
func (f *fleet) adviceValidity(step string) time.Duration {
	id, _, _ := strings.Cut(step, ".")
	return time.Duration(f.queues[f.jobs[job.ID(id)].queue].Advice.ValidityMS) * time.Millisecond
}

func (f *fleet) startTask(a *cell.StartAction) {
	w := f.workers[a.Command.Worker.ID]
	if w.unresponsive {
		f.core.StartResult(a, backend.Reply{}, errNoAnswer, f.now)
		return
	}
	n, ok := job.ParseTaskName(a.Command.Task)
	assert.Assert(f.t, ok)
	step := strings.TrimSuffix(a.Command.Task, fmt.Sprintf(".%d", n.Index))
	if f.queues[f.jobs[n.Job].queue].Advice != nil && f.now > f.tickets[[2]string{step, a.Command.Worker.ID}] {
		f.refusedTickets++
		f.core.StartResult(a, backend.Reply{ClockMS: f.now.Milliseconds(), Refusal: backend.RefusedTicket}, nil, f.now)
		return
	}
	// A first run has no checkpoint; the empty string parses as 0.
	saved, _ := strconv.ParseInt(a.Command.Checkpoint, 10, 64)
	w.running[a.Command.Task] = &taskRun{
		number: a.Command.Run, startedAt: f.now, duration: f.jobs[n.Job].taskDuration, savedProgress: time.Duration(saved) * time.Millisecond,
	}
	f.core.StartResult(a, backend.Reply{ClockMS: f.now.Milliseconds()}, nil, f.now)
}

func (f *fleet) stopTask(a *cell.StopAction) {
	w := f.workers[a.Command.Worker.ID]
	if w.unresponsive {
		f.core.StopResult(a, backend.Reply{}, errNoAnswer, f.now)
		return
	}
	if r := w.running[a.Command.Task]; r != nil {
		delete(w.running, a.Command.Task)
		w.lastCompletion++
		f.poll(a.Command.Worker.ID, []backend.FinishedRun{{
			Number: w.lastCompletion, Task: a.Command.Task, Run: r.number, Result: backend.ResultStopped, Checkpoint: r.checkpoint(f.now),
		}})
	}
	f.core.StopResult(a, backend.Reply{ClockMS: f.now.Milliseconds()}, nil, f.now)
}

// quantile returns the time within which a share of the jobs of a queue got from submission to the instant that pick returns.
// Jobs that have not reached it count with the time until now.
func (f *fleet) quantile(queue string, share float64, pick func(*submittedJob) time.Duration) time.Duration {
	var times []time.Duration
	for _, s := range f.jobs {
		if s.queue != queue {
			continue
		}
		at := pick(s)
		if at == 0 {
			at = f.now
		}
		times = append(times, at-s.submittedAt)
	}
	slices.Sort(times)
	return times[int(share*float64(len(times)-1))]
}

func firstStart(s *submittedJob) time.Duration { return s.startedAt }
func completion(s *submittedJob) time.Duration { return s.finishedAt }
