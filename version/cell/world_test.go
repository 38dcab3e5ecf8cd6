package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// world drives a Core by hand: tests say what the workers answer and read the orders.
type world struct {
	t    *testing.T
	core *Core
	now  Instant
	// starts and stops are the orders that were not answered by the test yet.
	starts  []*StartAction
	stops   []*StopAction
	advices []*AdviseAction
	ends    map[string]int64
}

const (
	testLease = 4 * time.Second
	tick      = 10 * time.Millisecond
)

// newWorld returns a core of an epoch with a queue that needs no advice ("plain"), one with cheap advice ("short") and one
// with expensive advice ("long").
func newWorld(t *testing.T, epoch uint64) *world {
	w := &world{t: t, now: time.Hour, ends: map[string]int64{}}
	w.core = New(Options{
		Epoch: epoch, Lease: testLease, PredecessorTerm: 6 * time.Second, StopTimeout: 400 * time.Millisecond,
		Retention: time.Minute,
	}, w.now)
	queue := func(name string, priority int, advice *job.Advice) job.Queue {
		return job.Queue{
			Name: name, Service: "desk", Priority: priority, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250, Advice: advice,
		}
	}
	w.core.SetConfig(job.Config{Version: 1, Queues: []job.Queue{
		queue("plain", 1, nil),
		queue("short", 0, &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500}),
		queue("long", 2, &job.Advice{DecisionMS: 420, PerWorkerMS: 6, ValidityMS: 2500}),
	}})
	return w
}

// newStartedWorld returns a core of epoch 1 that has ordered the tasks of job a to start on worker w1.
func newStartedWorld(t *testing.T, step job.Step) *world {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, step)
	w.step()
	return w
}

// worker lists a worker of 4 cores and lets it answer its first poll.
func (w *world) worker(id string) {
	w.list(id, nil)
	w.read(id, nil, nil)
	w.store()
}

// list enters the entry of a worker.
func (w *world) list(id string, change func(*backend.WorkerInfo)) {
	info := backend.WorkerInfo{
		ID: id, Address: id + ":1", Service: "desk", Zone: "a", Labels: []string{"k", "r1"}, StartedMS: 1000,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMiB: 8000},
	}
	if change != nil {
		change(&info)
	}
	w.core.SetWorker(info, w.now)
}

// clockMS is the clock of every worker.
func (w *world) clockMS() int64 { return (w.now - time.Hour).Milliseconds() + 1000 }

// read lets a worker answer a poll with an inventory.
func (w *world) read(id string, running []backend.RunningTask, ended []backend.EndedTask) {
	req, _, ok := w.core.PreparePoll(id, w.now)
	assert.Assert(w.t, ok)
	assert.Equal(w.t, req.Worker.ID, id)
	w.core.PollResult(id, w.now, backend.PollReply{
		Reply: backend.Reply{ClockMS: w.clockMS()}, StartedMS: 1000, Running: running, Ended: ended,
	}, nil, w.now+1)
	w.now += 2
}

// end returns the end of a run with the next number of its worker.
func (w *world) end(worker, task string, run int64, how backend.How) backend.EndedTask {
	w.ends[worker]++
	return backend.EndedTask{Number: w.ends[worker], Task: task, Run: run, How: how}
}

// step runs one round of decisions and collects the orders.
func (w *world) step() {
	w.now += tick
	for _, action := range w.core.Step(w.now, w.now.Milliseconds()) {
		switch a := action.(type) {
		case *StartAction:
			w.starts = append(w.starts, a)
		case *StopAction:
			w.stops = append(w.stops, a)
		case *AdviseAction:
			w.advices = append(w.advices, a)
		}
	}
}

// run lets time pass in rounds of decisions.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// confirm answers all starts with success and returns them as running tasks by worker.
func (w *world) confirm() map[string][]backend.RunningTask {
	running := map[string][]backend.RunningTask{}
	for _, a := range w.starts {
		w.core.StartResult(a, backend.Reply{ClockMS: w.clockMS()}, nil, w.now)
		id := a.Order.Worker.ID
		running[id] = append(running[id], backend.RunningTask{Task: a.Order.Task, Run: a.Order.Run})
	}
	w.starts = nil
	w.now++
	return running
}

// store makes all progress durable and returns the batches.
func (w *world) store() []Batch {
	var batches []Batch
	for {
		b := w.core.CollectBatch(80)
		if b.Empty() {
			return batches
		}
		w.core.BatchStored(b, true, w.now)
		batches = append(batches, b)
	}
}

// add adds a job of steps to a queue.
func (w *world) add(id, queue string, epoch uint64, steps ...job.Step) {
	w.core.AddJob(job.ID(id), record(queue, epoch, steps...), w.now)
}

func record(queue string, epoch uint64, steps ...job.Step) job.Record {
	return job.Record{
		Queue: job.Queue{Name: queue, Service: "desk", MaxAttempts: 3}, Epoch: epoch, Spec: job.Spec{Payload: "p", Steps: steps},
	}
}

// tasks returns a step of tasks with a core each.
func tasks(count int, change ...func(*job.Step)) job.Step {
	s := job.Step{Count: count, Each: model.Resources{CPUMilli: 1000, MemoryMiB: 100}, EstimateMS: 1000}
	for _, f := range change {
		f(&s)
	}
	return s
}

func after(steps ...int) func(*job.Step) { return func(s *job.Step) { s.After = steps } }

func (w *world) state(id string) job.State {
	state, ok := w.core.State(job.ID(id), w.now)
	assert.Assert(w.t, ok)
	return state
}
