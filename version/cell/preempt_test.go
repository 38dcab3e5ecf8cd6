package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

func withCheckpoints(s *job.Step) { s.Checkpoints = true; s.EstimateMS = 20_000 }

// fillWorker starts a job of the long queue that takes all capacity of worker w1 and reports the given progress.
func (tc *testCluster) fillWorker(id string, percent int, change func(*job.Step)) {
	tc.addJob(id, "long", 1, stepWithTasks(4, change))
	tc.answerAllAdvice()
	tc.run(2 * tick)
	assert.Equal(tc.t, len(tc.starts), 4)
	running := tc.confirmStarts()["w1"]
	for i := range running {
		running[i].ProgressPercent, running[i].Checkpoint = percent, "c1"
	}
	tc.answerPoll("w1", running, nil)
}

// answerAllAdvice approves every worker of all requests.
func (tc *testCluster) answerAllAdvice() {
	for range 3 {
		tc.step()
		for _, a := range tc.adviceRequests {
			var good []backend.Ticket
			for _, id := range a.Workers {
				good = append(good, backend.Ticket{Worker: id, Ticket: "t"})
			}
			tc.core.AdviceResult(a, good, time.Minute, nil, tc.now)
		}
		tc.adviceRequests = nil
	}
}

// Urgent tasks must not wait behind long ones that can continue from a checkpoint later.
func TestPreemptionForUrgentStep(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addWorker("w1")
	tc.fillWorker("audit", 10, withCheckpoints)
	tc.addJob("hold", "short", 1, stepWithTasks(1))
	tc.advance(preemptionDelay + 2*sweepInterval)
	assert.Equal(t, len(tc.stops), 1)
	stopped := tc.stops[0].Command
	tc.core.StopResult(tc.stops[0], backend.Reply{}, nil, tc.now)
	ended := tc.completion("w1", stopped.Task, stopped.Run, backend.ResultStopped)
	ended.Checkpoint = "c2"
	tc.answerPoll("w1", nil, []backend.FinishedRun{ended})
	tc.step()
	assert.Equal(t, len(tc.starts), 0, "the audit must not take the reserved capacity")
	tc.answerAllAdvice()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "hold.0.0.0")
}

// No more tasks may be stopped than the urgent ones need if every worker may run them.
func TestPreemptionStopsNoMoreThanNeeded(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addWorker("w1")
	tc.fillWorker("audit", 10, withCheckpoints)
	tc.addWorker("w2")
	tc.addJob("audit2", "long", 1, stepWithTasks(4, withCheckpoints))
	tc.answerAllAdvice()
	tc.step()
	tc.confirmStarts()
	tc.addJob("hold", "plain", 1, stepWithTasks(2))
	tc.advance(preemptionDelay + 2*sweepInterval)
	assert.Equal(t, len(tc.stops), 2)
}

// Tasks must not be preempted if they would lose their work, are about to finish or are not less urgent.
func TestRunsThatAreNotPreempted(t *testing.T) {
	cases := map[string]struct {
		percent int
		change  func(*job.Step)
		queue   string
	}{
		"without checkpoints": {10, func(s *job.Step) { s.EstimateMS = 20_000 }, "short"},
		"lasting":             {10, func(s *job.Step) { withCheckpoints(s); s.LongRunning = true }, "short"},
		"almost done":         {95, withCheckpoints, "short"},
		"same priority":       {10, withCheckpoints, "long"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.core.SetAdvisers([]string{"i1", "i2"})
			tc.addWorker("w1")
			tc.fillWorker("audit", c.percent, c.change)
			tc.addJob("other", c.queue, 1, stepWithTasks(1))
			tc.advance(preemptionDelay + 2*sweepInterval)
			assert.Equal(t, len(tc.stops), 0)
		})
	}
}

// A task must not be preempted so often that it never finishes.
func TestPreemptionsAreBounded(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addWorker("w1")
	tc.fillWorker("audit", 10, withCheckpoints)
	for _, t := range tc.core.jobs["audit"].occurrences[0].steps[0].tasks {
		t.preemptions = maxPreemptions
	}
	tc.addJob("hold", "short", 1, stepWithTasks(1))
	tc.advance(preemptionDelay + 2*sweepInterval)
	assert.Equal(t, len(tc.stops), 0)
}

// Preempting a best-effort task releases no processor time that the ledger holds, so it must not be counted as capacity for an
// urgent task.
func TestPreemptingBestEffortFreesNoProcessorTime(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addWorker("w1")
	tc.fillWorker("audit", 95, withCheckpoints)
	tc.addJob("filler", "long", 1, stepWithTasks(1, func(s *job.Step) { withCheckpoints(s); s.BestEffort = true }))
	tc.advance(bestEffortTimeout + 200*time.Millisecond)
	tc.answerAllAdvice()
	running := tc.confirmStarts()["w1"]
	assert.Equal(t, len(running), 1)
	tc.addJob("hold", "short", 1, stepWithTasks(1))
	tc.advance(preemptionDelay + 2*sweepInterval)
	assert.Equal(t, len(tc.stops), 0)
}
