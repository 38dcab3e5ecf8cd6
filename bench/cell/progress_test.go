package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// progressCase is a number of tasks, spread over steps and occurrences of one job.
type progressCase struct{ occurrences, steps, tasksPerStep int }

func (c progressCase) tasks() int { return c.occurrences * c.steps * c.tasksPerStep }

// record returns a job whose tasks are so small that one worker runs thousands of them. All occurrences are due at once.
func (c progressCase) record(q job.Queue) job.Record {
	q.Name, q.Advice = "unadvised", nil
	spec := job.Spec{Payload: "p", Steps: make([]job.Step, c.steps)}
	for i := range spec.Steps {
		spec.Steps[i] = job.Step{Count: c.tasksPerStep, TaskDemand: model.Resources{CPUMilli: 1, MemoryMiB: 1}, EstimateMS: 500}
	}
	if c.occurrences > 1 {
		spec.Repetitions = c.occurrences
	}
	return job.Record{Queue: q, Epoch: 1, Spec: spec}
}

// runRound starts what waits and ends every other run as done, the rest as failed. It returns whether anything was started.
func (f *fleet) runRound() bool {
	f.now += 20 * time.Millisecond
	ended := map[string][]backend.FinishedRun{}
	for i, action := range f.core.Step(f.now, f.now.Milliseconds()) {
		a, ok := action.(*cell.StartAction)
		if !ok {
			continue
		}
		f.core.StartResult(a, backend.Reply{ClockMS: f.clockMS()}, nil, f.now)
		w := a.Command.Worker.ID
		f.lastCompletions[w]++
		result := backend.ResultDone
		if a.Command.Run == 1 && i%2 == 0 {
			result = backend.ResultFailed
		}
		ended[w] = append(ended[w], backend.FinishedRun{Number: f.lastCompletions[w], Task: a.Command.Task, Run: a.Command.Run, Result: result})
	}
	for w, list := range ended {
		f.now++
		f.poll(w, list)
	}
	return len(ended) > 0
}

// BenchmarkProgress measures the largest progress row of a job of which half of the first runs fail, and how long a new leader takes to
// load it.
func BenchmarkProgress(b *testing.B) {
	for _, c := range []progressCase{{1, 1, 10}, {1, 10, 100}, {1, 200, 25}, {100, 10, 100}} {
		b.Run(fmt.Sprintf("%d", c.tasks()), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, 50)
				r := c.record(f.queue)
				f.core.AddJob("0000000000000001", r, f.now)
				var largest []byte
				for idle := 0; idle < 20; idle++ {
					if f.runRound() {
						idle = 0
					}
					for batch := f.core.CollectBatch(80); !batch.Empty(); batch = f.core.CollectBatch(80) {
						for _, p := range batch.Progress {
							if len(p.Data) > len(largest) {
								largest = p.Data
							}
						}
						f.core.BatchStored(batch, true, f.now)
					}
				}
				state, _ := f.core.State("0000000000000001")
				assert.Equal(b, state, job.Completed)
				startedAt := time.Now()
				next := cell.New(cell.Options{Epoch: 2, LeaseDuration: 6 * time.Second, Retention: time.Second}, f.now)
				assert.NilError(b, next.LoadJob("0000000000000001", r, largest, f.now))
				b.ReportMetric(float64(time.Since(startedAt).Microseconds()), "us/load")
				b.ReportMetric(float64(len(largest)), "B/row")
				b.ReportMetric(float64(len(largest))/float64(c.tasks()), "B/task")
				b.ReportMetric(float64(len(largest))/float64(c.occurrences*c.steps), "B/step")
			}
		})
	}
}
