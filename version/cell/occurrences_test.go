package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// The progress of an occurrence that a former leader has opened must not be lost when the clock of the next leader is behind,
// so that the occurrence is not due there: its tasks would start again in the epoch after that.
func TestProgressOfLaterOccurrenceIsKept(t *testing.T) {
	const interval = 10 * time.Second
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	tc.step()
	recurring := record("plain", 1, stepWithTasks(2))
	recurring.Spec.Repetitions, recurring.Spec.StartAtMS, recurring.Spec.IntervalMS = 3, tc.now.Milliseconds(), interval.Milliseconds()
	stored := []byte(`{"t":{"0.0":{"d":"AQ=="},"1.0":{"a":true}}}`)
	assert.NilError(t, tc.core.LoadProgress("a", recurring, stored, tc.now))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.1")
	run := tc.starts[0].Command.Run
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.1", run, backend.ResultDone)})
	batches := tc.storeBatches()

	next := newTestCluster(t, 3)
	next.now = tc.now + interval
	next.addWorker("w1")
	assert.NilError(t, next.core.LoadProgress("a", recurring, batches[0].Progress[0].Data, next.now))
	next.advance(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0)
}
