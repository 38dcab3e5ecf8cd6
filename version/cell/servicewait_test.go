package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a service task that stays away without a log line or a metric that says so, and why.
func TestWaitOfServiceTasksIsExplained(t *testing.T) {
	tc := newTestCluster(t, 1)
	waits := tc.recordDecisions("service_waiting")
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.listWorker("w2", func(info *backend.WorkerInfo) { info.Draining = true })
	tc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning, s.RequiredLabel = true, "other" }))
	waited := time.Duration(0)
	for ; len(*waits) == 0 && waited < time.Minute; waited += 100 * time.Millisecond {
		assert.Assert(t, tc.core.Load().LongestServiceWaitMS <= waited.Milliseconds()+int64(tick/time.Millisecond))
		tc.advance(100 * time.Millisecond)
	}
	assert.Assert(t, waited >= serviceWaitLogDelay && waited < serviceWaitLogDelay+time.Second, "logged after %s", waited)
	assert.Equal(t, (*waits)[0]["task"], "a.0.0.0")
	assert.DeepEqual(t, (*waits)[0]["workers"], map[string]int{"unsuitable": 2})
	load := tc.core.Load()
	assert.Equal(t, load.WaitingServices, 1)
	assert.Assert(t, load.LongestServiceWaitMS >= serviceWaitLogDelay.Milliseconds())
}

// Guards against a wait whose log line does not tell how many workers each reason holds for the task that waits, and which of them the placement
// policy has not been asked about.
func TestWaitOfServiceTasksNamesTheWorkersOfEachReason(t *testing.T) {
	tc := newTestCluster(t, 1)
	waits := tc.recordDecisions("service_waiting")
	for _, id := range []string{"suspect", "full", "rejected", "unasked", "avoided"} {
		tc.addWorker(id)
	}
	tc.listWorker("full", func(info *backend.WorkerInfo) { info.Capacity.CPUMilli = 500 })
	tc.core.workers["suspect"].health.suspicion = suspicion{pausedUntil: tc.now + time.Minute, trials: 1}
	tc.addJob("a", "short", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning = true }))
	s := tc.core.jobs["a"].occurrences[0].steps[0]
	s.advice.rejected["rejected"] = struct{}{}
	s.waiting[0].avoidedWorkers.addFor(tc.core.workers["avoided"], tc.now, time.Minute)
	for end := tc.now + serviceWaitLogDelay + time.Second; len(*waits) == 0 && tc.now < end; {
		tc.advance(100 * time.Millisecond)
		for id := range tc.core.workers {
			tc.answerPoll(id, nil, nil)
		}
	}
	assert.Equal(t, len(*waits), 1)
	wait := (*waits)[0]
	assert.DeepEqual(t, wait["workers"], map[string]int{"suspect": 1, "full": 1, "rejected": 1, "not_asked": 1, "avoided": 1})
	assert.Equal(t, wait["suspect_with_capacity"], 1)
}

// Guards against a wait that seems to begin anew with each start that is decided and not made, so that no log line and no metric shows it.
func TestWaitOfServiceTasksGoesOnOverUnsentStarts(t *testing.T) {
	tc := newTestCluster(t, 1)
	waits := tc.recordDecisions("service_waiting")
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.LongRunning = true }))
	for end := tc.now + serviceWaitLogDelay + time.Second; tc.now < end; {
		tc.advance(200 * time.Millisecond)
		tc.storeBatches()
		tc.step()
		for _, a := range tc.starts {
			tc.core.StartResult(a, backend.Reply{ClockMS: tc.clockMS(), Refusal: backend.RefusedCapacity}, nil, tc.now)
		}
		tc.starts = nil
		tc.answerPoll("w1", nil, nil)
	}
	assert.Assert(t, len(*waits) > 0, "the wait is not logged")
	wait := (*waits)[0]
	assert.Assert(t, wait["waited_ms"].(int64) >= serviceWaitLogDelay.Milliseconds())
	assert.Assert(t, wait["unsent_starts"].(int) > 2)
	assert.Equal(t, wait["unsent_reason"], string(backend.RefusedCapacity))
}
