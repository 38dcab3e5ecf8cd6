package cell

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// takeoverWorkers is the number of workers of a grown site.
	takeoverWorkers = 350
	// runningTasks and waitingTasks are the tasks that run, spread over the workers, and those that wait when the leader is lost.
	runningTasks, waitingTasks = 3600, 800
	// takeoverWindow is the time after the first inventories within which tasks should start.
	takeoverWindow = time.Second
)

// takeover is a leader that has read all workers but some.
type takeover struct {
	core   *cell.Core
	now    time.Duration
	unread map[string]bool
	// placed are the tasks that run, by worker.
	placed map[string][]backend.ActiveRun
}

func workerName(i int) string { return fmt.Sprintf("w%04d", i) }

// newTakeover returns a new leader. startsKnown means that the starts of its predecessor were held for it.
func newTakeover(b *testing.B, unread int, startsKnown bool) *takeover {
	t := &takeover{now: time.Hour, unread: map[string]bool{}, placed: map[string][]backend.ActiveRun{}}
	queue := job.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250}
	t.core = cell.New(cell.Options{Epoch: 2, LeaseDuration: 6 * time.Second, LeaseExtension: 6 * time.Second, Retention: time.Minute}, t.now)
	t.core.SetConfig(job.Config{Version: 1, Queues: []job.Queue{queue}})
	addresses := map[string]string{}
	for i := range takeoverWorkers {
		addresses[workerName(i)] = workerName(i)
		if i < unread {
			t.unread[workerName(i)] = true
		}
	}
	record, err := json.Marshal(addresses)
	assert.NilError(b, err)
	assert.NilError(b, t.core.LoadFleetRecord(t.now, record))
	for id := range addresses {
		t.core.SetWorker(backend.WorkerInfo{ID: id, Address: id, Service: "s", Labels: []string{"k", "r"}, StartedMS: 1,
			Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 64_000}}, t.now)
	}
	t.addJobs(queue)
	if startsKnown {
		t.core.LoadPlacements(t.placements(), t.now)
	}
	for id := range addresses {
		if !t.unread[id] {
			t.core.PreparePoll(id, t.now)
			t.core.PollResult(id, t.now, backend.PollReply{Reply: backend.Reply{ClockMS: 60_000}, StartedMS: 1, Running: t.placed[id]}, nil, t.now)
		}
	}
	return t
}

// addJobs adds the jobs of the former leader.
func (t *takeover) addJobs(queue job.Queue) {
	for i := range (runningTasks + waitingTasks) / tasksPerJob {
		id := job.ID(fmt.Sprintf("%016x", i))
		step := job.Step{Count: tasksPerJob, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 1000}, EstimateMS: 500}
		t.core.AddJob(id, job.Record{Queue: queue, Epoch: 1, Spec: job.Spec{Payload: "p", Steps: []job.Step{step}}}, t.now)
		for k := range tasksPerJob {
			if n := i*tasksPerJob + k; n < runningTasks {
				worker := workerName(n % takeoverWorkers)
				t.placed[worker] = append(t.placed[worker], backend.ActiveRun{Task: fmt.Sprintf("%s.0.0.%d", id, k), Run: 1})
			}
		}
	}
}

func (t *takeover) placements() []cell.TaskPlacement {
	var out []cell.TaskPlacement
	for worker, runs := range t.placed {
		for _, r := range runs {
			out = append(out, cell.TaskPlacement{Task: r.Task, Run: r.Run, Worker: worker})
		}
	}
	return out
}

// run runs the rounds of takeoverWindow and returns the number of started tasks.
func (t *takeover) run() int {
	started := 0
	for end := t.now + takeoverWindow; t.now < end; t.now += 2 * time.Millisecond {
		for _, action := range t.core.Step(t.now, 0) {
			if _, ok := action.(*cell.StartAction); ok {
				started++
			}
		}
		batch := t.core.CollectBatch(80)
		t.core.BatchStored(batch, true, t.now)
	}
	return started
}

// BenchmarkTakeover reports which share of the tasks that wait, and run nowhere, start within a second of the first inventories of a new leader
// beside workers that do not answer it.
func BenchmarkTakeover(b *testing.B) {
	for _, unread := range []int{1, 10} {
		for _, known := range []bool{true, false} {
			b.Run(fmt.Sprintf("unread=%d/starts-known=%v", unread, known), func(b *testing.B) {
				started := 0
				for range b.N {
					started += newTakeover(b, unread, known).run()
				}
				b.ReportMetric(float64(started)/float64(b.N*waitingTasks), "started/waiting")
			})
		}
	}
}
