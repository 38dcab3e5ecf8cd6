package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// fleet drives a cell core; its workers finish every task before their next poll.
type fleet struct {
	core            *cell.Core
	now             time.Duration
	lastCompletions map[string]int64
	lastJob         int
	queue           job.Queue
	// records are the stored jobs, if admission reads them.
	records map[job.ID]job.Record
}

// tasksPerJob is the number of tasks of a job's only step, as in the larger workloads that the users describe.
const tasksPerJob = 10

func newFleet(b *testing.B, workers int) *fleet {
	f := &fleet{now: time.Hour, lastCompletions: map[string]int64{}}
	f.core = cell.New(cell.Options{Epoch: 1, LeaseDuration: 6 * time.Second, Retention: time.Second}, f.now)
	f.queue = job.Queue{
		Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250,
		Advice: &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500},
	}
	f.core.SetConfig(job.Config{Version: 1, Queues: []job.Queue{f.queue}})
	f.core.SetAdvisers([]string{"i1", "i2", "i3", "i4"})
	f.addWorkers(workers)
	assert.Equal(b, f.core.UsableWorkers(), workers)
	return f
}

// addWorkers adds workers with 16 cores and reads them.
func (f *fleet) addWorkers(workers int) {
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		f.core.SetWorker(backend.WorkerInfo{
			ID: id, Address: id, Service: "s", Labels: []string{"k", "r"}, StartedMS: 1,
			Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 64_000},
		}, f.now)
		f.poll(id, nil)
	}
	f.storeBatches()
}

func (f *fleet) clockMS() int64 { return f.now.Milliseconds() }

func (f *fleet) poll(id string, ended []backend.FinishedRun) {
	f.core.PreparePoll(id, f.now)
	f.core.PollResult(id, f.now, backend.PollReply{Reply: backend.Reply{ClockMS: f.clockMS()}, StartedMS: 1, Finished: ended}, nil, f.now)
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

// runJob runs one job from its acceptance to its completion and returns the number of started tasks.
func (f *fleet) runJob() int {
	f.lastJob++
	id := job.ID(fmt.Sprintf("%016x", f.lastJob))
	step := job.Step{Count: tasksPerJob, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 1000}, EstimateMS: 500}
	f.core.AddJob(id, job.Record{Queue: f.queue, Epoch: 1, Spec: job.Spec{Payload: "p", Steps: []job.Step{step}}}, f.now)
	started := 0
	for started < tasksPerJob {
		f.now += 2 * time.Millisecond
		ended := map[string][]backend.FinishedRun{}
		for _, action := range f.core.Step(f.now, 0) {
			switch a := action.(type) {
			case *cell.AdviseAction:
				var tickets []backend.Ticket
				for _, w := range a.Workers {
					tickets = append(tickets, backend.Ticket{Worker: w, Ticket: "t"})
				}
				f.core.AdviceResult(a, tickets, 2500*time.Millisecond, nil, f.now)
			case *cell.StartAction:
				started++
				f.core.StartResult(a, backend.Reply{ClockMS: f.clockMS()}, nil, f.now)
				w := a.Command.Worker.ID
				f.lastCompletions[w]++
				ended[w] = append(ended[w], backend.FinishedRun{Number: f.lastCompletions[w], Task: a.Command.Task, Run: a.Command.Run, Result: backend.ResultDone})
			}
		}
		for w, list := range ended {
			f.now++
			f.poll(w, list)
		}
	}
	f.storeBatches()
	return started
}

// BenchmarkStart measures the decisions for one task start, from the acceptance of its job to the stored completion,
// without network. Every worker is polled once a second, like an idle one.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 350, 970, 1100, 3300, 10_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(b, workers)
			starts := 0
			pollAt := f.now
			b.ResetTimer()
			for starts < b.N {
				starts += f.runJob()
				if f.now > pollAt+time.Second {
					pollAt = f.now
					for _, id := range f.core.WorkerIDs() {
						f.poll(id, nil)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "us/start")
		})
	}
}

// BenchmarkState measures the heap bytes that the core uses for each worker and for each waiting job.
func BenchmarkState(b *testing.B) {
	for range b.N {
		before := heapBytes()
		f := newFleet(b, 970)
		withWorkers := heapBytes()
		step := job.Step{Count: tasksPerJob, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 1000}, EstimateMS: 500}
		f.core.SetAdvisers(nil)
		const jobs = 2000
		for i := range jobs {
			id := job.ID(fmt.Sprintf("%016x", i))
			f.core.AddJob(id, job.Record{Queue: f.queue, Epoch: 1, Spec: job.Spec{Payload: "p", Steps: []job.Step{step}}}, f.now)
		}
		withJobs := heapBytes()
		b.ReportMetric((withWorkers-before)/970, "B/worker")
		b.ReportMetric((withJobs-withWorkers)/jobs, "B/job")
		runtime.KeepAlive(f)
	}
}
