package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against commands for all tasks of a wide job at once, which take the memory of the leader and keep urgent tasks waiting behind them, and
// against ones that are never sent because others had to wait.
func TestCommandsInFlightAreBounded(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	const tasks = 5000
	tc.addJob("a", "plain", 1, stepWithTasks(tasks, func(s *job.Step) { s.TaskDemand = model.Resources{} }))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), maxStartsInFlight)
	tc.addJob("b", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 100 }))
	var running []backend.ActiveRun
	startedAfter := 0
	for len(running) < tasks+1 {
		for _, r := range tc.confirmStarts()["w1"] {
			running = append(running, r)
			if name, _ := job.ParseTaskName(r.Task); name.Job == "b" {
				startedAfter = len(running)
			}
		}
		tc.answerPoll("w1", running, nil)
		tc.advance(100 * time.Millisecond)
		assert.Assert(t, len(tc.starts) <= maxStartsInFlight)
	}
	assert.Assert(t, startedAfter > 0 && startedAfter <= 2*maxStartsInFlight, "%d", startedAfter)

	tc.core.CancelJob("a", tc.now)
	stopped := map[string]bool{}
	for len(stopped) < tasks {
		tc.step()
		assert.Assert(t, len(tc.stops) <= maxStopsInFlight)
		before := len(stopped)
		for _, a := range tc.stops {
			stopped[a.Command.Task] = true
			tc.core.StopResult(a, backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
		}
		tc.stops = nil
		tc.advance(100 * time.Millisecond)
		assert.Assert(t, len(stopped) > before || len(tc.stops) > 0)
	}
}

// Guards against starts of service tasks that are sent all at once when their records become durable together.
func TestRecordedStartsInFlightAreBounded(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	service := stepWithTasks(maxRecordedTasks, isService, func(s *job.Step) { s.TaskDemand = model.Resources{} })
	const jobs = 5
	for i := range jobs {
		tc.addJob(fmt.Sprint("s", i), "plain", 1, service)
	}
	tc.advance(200 * time.Millisecond)
	tc.storeBatches()
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), maxStartsInFlight)
	started := 0
	var running []backend.ActiveRun
	for range 4 {
		started += len(tc.starts)
		running = append(running, tc.confirmStarts()["w1"]...)
		tc.answerPoll("w1", running, nil)
		tc.advance(100 * time.Millisecond)
		tc.storeBatches()
		tc.advance(100 * time.Millisecond)
		assert.Assert(t, len(tc.starts) <= maxStartsInFlight)
	}
	assert.Equal(t, started+len(tc.starts), jobs*maxRecordedTasks)
}
