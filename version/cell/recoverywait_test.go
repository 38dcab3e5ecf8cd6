package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// Guards against a wait of service tasks after a takeover that no log line explains.
func TestRecoveryWaitIsLogged(t *testing.T) {
	tc := newTestCluster(t, 2)
	waits := tc.recordDecisions("recovery_waits")
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1"}`)))
	tc.addWorker("w2")
	step := stepWithTasks(2)
	step.LongRunning = true
	tc.addJob("a", "plain", 1, step)
	tc.advance(recoveryWaitLogInterval + 200*time.Millisecond)
	assert.Equal(t, len(*waits), 2)
	assert.Equal(t, (*waits)[0]["service_tasks"], 2)
	assert.DeepEqual(t, (*waits)[0]["workers"], []string{"w1"})
	bound := time.Duration((*waits)[0]["bound_ms"].(int64)+(*waits)[0]["since_takeover_ms"].(int64)) * time.Millisecond
	expected := 6*time.Second + maxLocalDuration(testLease)
	// Both figures are rounded down to milliseconds.
	assert.Assert(t, bound <= expected && bound > expected-2*time.Millisecond, "bound %s, expected %s", bound, expected)
}

// Guards against a log line that blames a worker for which no task waits.
func TestLoggedRecoveryWaitNamesTheWorkersOfTheStarts(t *testing.T) {
	tc := newRecoveringCluster(t, "w1", "w2")
	waits := tc.recordDecisions("recovery_waits")
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.core.LoadPlacements([]TaskPlacement{{"a.0.0.1", 1, "w2"}}, tc.now)
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(*waits), 1)
	assert.Equal(t, (*waits)[0]["other_tasks"], 1)
	assert.Equal(t, (*waits)[0]["starts_known"], true)
	assert.DeepEqual(t, (*waits)[0]["workers"], []string{"w2"})
}

// Guards against recovered tasks that wait a whole lease although the commands of all former leaders ended before the epoch.
func TestRecoveryCountsFromTheEndOfFormerCommands(t *testing.T) {
	const endedBefore = 1500 * time.Millisecond
	tc := newTestCluster(t, 2)
	startedAt := tc.now
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1"}`)))
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.core.LimitLeaseExtension(startedAt-endedBefore, tc.now)
	for len(tc.starts) == 0 && tc.now < startedAt+time.Minute {
		tc.answerPoll("w2", nil, nil)
		tc.advance(100 * time.Millisecond)
	}
	bound, waited := maxLocalDuration(testLease)-endedBefore, tc.now-startedAt
	assert.Assert(t, waited >= bound && waited < bound+time.Second, "recovery ended after %s", waited)
}

// Guards against tasks that a takeover holds without an operator seeing how many, for which worker and until when, and whether that was needed.
func TestHeldTasksAreCounted(t *testing.T) {
	tc := newRecoveringCluster(t, "w1", "w2")
	tc.addJob("a", "plain", 1, stepWithTasks(3))
	tc.core.LoadPlacements([]TaskPlacement{{"a.0.0.0", 1, "w1"}, {"a.0.0.1", 1, "w1"}}, tc.now)
	tc.answerPoll("w2", nil, nil)
	tc.storeBatches()
	tc.advance(1500 * time.Millisecond)
	dumped := tc.core.Dump(1).Jobs[0]
	assert.Equal(t, len(dumped.AwaitedWorkers), 1)
	assert.Equal(t, dumped.AwaitedWorkers[0].ID, "w1")
	assert.Assert(t, dumped.AwaitedWorkers[0].LeasesEndMS > 0)
	assert.Equal(t, tc.core.Load().HeldTasks, 2)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
	tc.advance(1500 * time.Millisecond)
	load := tc.core.Load()
	assert.Equal(t, load.HeldTasks, 0)
	assert.Equal(t, load.FoundTasks, uint64(1))
	// They waited for 1.5 s, which is counted each second.
	assert.Assert(t, load.HeldTaskMS >= 3000 && load.HeldTaskMS < 5000, "%d ms", load.HeldTaskMS)
	assert.Assert(t, !tc.core.Dump(1).Jobs[0].AwaitingRecovery)
}
