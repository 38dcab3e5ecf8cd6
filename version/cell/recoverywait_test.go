package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
