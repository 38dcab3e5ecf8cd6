package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// fullCell is a cell whose workers are full of short tasks, with a service of which the placement policy allows only two workers.
type fullCell struct {
	*serviceCluster
	// runTime is the duration of the short tasks, and endsAt holds when those that run end.
	runTime time.Duration
	endsAt  map[string]Instant
	// storeDelay is the duration of a write. batch is the one in progress, which is stored at batchAt.
	storeDelay time.Duration
	batch      Batch
	batchAt    Instant
	// refused are the starts that were decided and not made.
	refused *[]map[string]any
}

const (
	fullCellWorkers = 8
	// serviceJob is the name of the job of the service.
	serviceJob = "service"
)

// newFullCell returns a cell in which the service runs and short tasks fill all workers; phase varies the moment.
func newFullCell(t *testing.T, runTime time.Duration, phase int) *fullCell {
	fc := &fullCell{serviceCluster: newServiceCluster(t, 1), runTime: runTime, endsAt: map[string]Instant{}}
	fc.refused = fc.recordDecisions("start_refused")
	for i := range fullCellWorkers {
		id := fmt.Sprintf("w%d", i)
		fc.boots[id] = 1000
		fc.listWorker(id, nil)
	}
	fc.core.SetAdvisers([]string{"i1", "i2"})
	fc.serviceCluster.round()
	fc.addJob(serviceJob, "long", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.TaskDemand.CPUMilli = true, 3000 }))
	fc.rounds(100)
	assert.Assert(t, fc.startedAt[serviceJob+".0.0.0"] > 0, "the service has not started")
	for i := range 40 {
		fc.addJob(fmt.Sprintf("short%02d", i), "plain", 1, stepWithTasks(100, func(s *job.Step) { s.EstimateMS = runTime.Milliseconds() }))
	}
	fc.rounds(30 + 7*phase)
	return fc
}

func (fc *fullCell) rounds(n int) {
	for range n {
		fc.round()
	}
}

// round runs rounds for 100 ms, in which short tasks end one by one.
func (fc *fullCell) round() {
	for range 5 {
		fc.advance(20 * time.Millisecond)
		fc.executeStarts()
		fc.answerAdvice()
		for id := range fc.running {
			fc.endDueRun(id)
		}
		fc.poll("")
		fc.store()
	}
}

func (fc *fullCell) executeStarts() {
	for _, a := range fc.starts {
		fc.startedAt[a.Command.Task] = fc.now
		if !strings.HasPrefix(a.Command.Task, serviceJob) {
			fc.endsAt[a.Command.Task] = fc.now + fc.runTime
		}
	}
	for id, runs := range fc.confirmStarts() {
		fc.running[id] = append(fc.running[id], runs...)
	}
}

// answerAdvice answers the requests for advice whose time has come.
func (fc *fullCell) answerAdvice() {
	fc.adviceRequests = slices.DeleteFunc(fc.adviceRequests, func(a *AdviseAction) bool {
		if fc.now < a.request.dueAt {
			return false
		}
		var tickets []backend.Ticket
		for _, id := range a.Workers {
			if id == "w2" || id == "w5" {
				tickets = append(tickets, backend.Ticket{Worker: id, Ticket: "t"})
			}
		}
		fc.core.AdviceResult(a, tickets, 2*time.Second, nil, fc.now)
		return true
	})
}

// endDueRun ends a short task of a worker whose time has come, and updates the progress of the others.
func (fc *fullCell) endDueRun(id string) {
	runs := fc.running[id]
	for i := range runs {
		runs[i].ProgressPercent = 100
		if end := fc.endsAt[runs[i].Task]; end != 0 {
			runs[i].ProgressPercent = min(99, 100-int(100*max(0, end-fc.now)/fc.runTime))
		}
	}
	i := slices.IndexFunc(runs, func(r backend.ActiveRun) bool { return fc.endsAt[r.Task] != 0 && fc.now >= fc.endsAt[r.Task] })
	if i >= 0 {
		fc.running[id] = slices.Delete(slices.Clone(runs), i, i+1)
		fc.poll(id, fc.completion(id, runs[i].Task, runs[i].Run, backend.ResultDone))
	}
}

// store stores progress, one batch after the other, each of which takes storeDelay.
func (fc *fullCell) store() {
	if fc.storeDelay == 0 && fc.batch.Empty() {
		fc.storeBatches()
		return
	}
	if !fc.batch.Empty() {
		if fc.now < fc.batchAt {
			return
		}
		fc.core.BatchStored(fc.batch, true, fc.now)
		fc.batch = Batch{}
	}
	if b := fc.core.CollectBatch(80); !b.Empty() {
		fc.batch, fc.batchAt = b, fc.now+fc.storeDelay
	}
}

// failService ends the run of the service as failed and returns its task.
func (fc *fullCell) failService() string {
	for worker, runs := range fc.running {
		i := slices.IndexFunc(runs, func(r backend.ActiveRun) bool { return strings.HasPrefix(r.Task, serviceJob) })
		if i < 0 {
			continue
		}
		fc.running[worker] = slices.Delete(slices.Clone(runs), i, i+1)
		fc.poll(worker, fc.completion(worker, runs[i].Task, runs[i].Run, backend.ResultFailed))
		return runs[i].Task
	}
	fc.t.Fatal("the service does not run")
	return ""
}

// awaitService runs rounds until a service task has started after an instant, at most a minute, and returns how long that took.
func (fc *fullCell) awaitService(task string, since Instant) time.Duration {
	for fc.startedAt[task] <= since && fc.now < since+time.Minute {
		fc.round()
	}
	return fc.now - since
}
