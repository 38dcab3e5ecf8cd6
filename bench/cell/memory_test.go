package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// memoryMB is the memory of a small instance, of which a quarter is for jobs.
const memoryMB = 284

// newMemoryFleet returns a core with the memory for jobs of a small instance, whose workers have 16 cores each.
func newMemoryFleet(workers int) *fleet {
	f := &fleet{now: time.Hour, lastCompletions: map[string]int64{}, records: map[job.ID]job.Record{}}
	f.core = cell.New(cell.Options{Epoch: 1, LeaseDuration: 6 * time.Second, Retention: time.Second, MemoryBytes: memoryMB << 18}, f.now)
	f.queue = job.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250}
	f.core.SetConfig(job.Config{Version: 1, Queues: []job.Queue{f.queue}})
	f.addWorkers(workers)
	return f
}

// shape is the shape of the jobs of a benchmark.
type shape struct {
	name string
	// steps and tasks are the numbers of steps and of the tasks of each, and due is how many occurrences are due.
	steps, tasks, due int
}

var shapes = []shape{
	{"one_step_of_10", 1, 10, 0}, {"one_step_of_5000", 1, 5000, 0}, {"200_steps_of_25", 200, 25, 0},
	{"schedule_of_1", 1, 1, 20_000}, {"schedule_of_two_steps", 2, 1, 20_000},
}

// addShape adds the job with a number.
func (f *fleet) addShape(s shape, i int) {
	spec := job.Spec{Payload: "p", Repetitions: s.due}
	for range s.steps {
		spec.Steps = append(spec.Steps, job.Step{Count: s.tasks, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 1000}, EstimateMS: 500})
	}
	if s.due > 0 {
		spec.StartAtMS, spec.IntervalMS = f.now.Milliseconds()-int64(s.due)*1000, 1000
	}
	id := job.ID(fmt.Sprintf("%016x", i))
	f.records[id] = job.Record{Queue: f.queue, Epoch: 1, Spec: spec}
	f.core.AddJob(id, f.records[id], f.now)
}

// BenchmarkMemory measures the live heap of a leader whose memory for jobs is used up, with as many tasks running as the workers hold, relative to
// what admission accounts for, and the processor time of a scheduling round, while further jobs are deferred.
func BenchmarkMemory(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				f := newMemoryFleet(48)
				f.core.Step(f.now, f.now.Milliseconds())
				jobs := 0
				for ; f.core.MemoryUse().Deferred < 100 && jobs < 20_000; jobs++ {
					f.addShape(s, jobs)
					f.now += 10 * time.Millisecond
					f.round()
				}
				const rounds = 100
				startedAt := time.Now()
				for range rounds {
					f.now += 100 * time.Millisecond
					f.round()
				}
				b.ReportMetric(float64(time.Since(startedAt).Microseconds())/rounds, "us/sweep")
				use := f.core.MemoryUse()
				b.ReportMetric((heapBytes()-before)/1e6, "MB/heap")
				b.ReportMetric(float64(use.UsedBytes)/1e6, "MB/accounted")
				b.ReportMetric(float64(jobs-use.Deferred), "jobs")
				runtime.KeepAlive(f)
			}
		})
	}
}

// round runs a scheduling round, confirms its starts and reads the jobs that are admitted.
func (f *fleet) round() {
	for _, action := range f.core.Step(f.now, f.now.Milliseconds()) {
		switch a := action.(type) {
		case *cell.StartAction:
			f.core.StartResult(a, backend.Reply{ClockMS: f.clockMS()}, nil, f.now)
		case *cell.LookupAction:
			_ = f.core.AddLookedUpJob(a.Job, f.records[a.Job], nil, f.now)
			f.core.LookupResult(a, true, nil, f.now)
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkDeferred measures the live heap that a leader needs for each accepted job that is not in memory, and the processor time of a round
// beside them.
func BenchmarkDeferred(b *testing.B) {
	const jobs = 100_000
	for range b.N {
		f := newMemoryFleet(48)
		f.core.Step(f.now, f.now.Milliseconds())
		before := heapBytes()
		record := job.Record{Queue: f.queue, Epoch: 1, Spec: job.Spec{Payload: "p", Steps: []job.Step{{Count: 10, EstimateMS: 500}}}}
		for i := range jobs {
			f.core.DeferJob(job.ID(fmt.Sprintf("%016x", i)), record, f.now)
		}
		b.ReportMetric((heapBytes()-before)/jobs, "B/job")
		startedAt := time.Now()
		const rounds = 20
		for range rounds {
			f.now += 100 * time.Millisecond
			f.core.Step(f.now, f.now.Milliseconds())
		}
		b.ReportMetric(float64(time.Since(startedAt).Microseconds())/rounds, "us/sweep")
		runtime.KeepAlive(f)
	}
}
