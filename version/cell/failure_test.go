package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/recovery"
)

// TestFailedCoreGivesNothingAway guards against a core that stays locked after a panic, or whose inconsistent state reaches the
// workers, the store or callers.
func TestFailedCoreGivesNothingAway(t *testing.T) {
	tc := newStartedTestCluster(t, job.Step{Count: 2})
	ended, start := tc.starts[0], tc.starts[1]
	// The progress of the first task is not collected before the panic.
	done := tc.completion("w1", ended.Command.Task, ended.Command.Run, backend.ResultDone)
	tc.answerPoll("w1", nil, []backend.FinishedRun{done})
	assert.Assert(t, tc.core.StartNeeded(start, tc.now))
	assert.Assert(t, !tc.core.Failed())
	tc.core.opts.OnDecision = func(Decision) { panic("in the middle of a decision") }
	assert.Assert(t, recovery.Catch(nil, func() { tc.addJob("b", "plain", 1, job.Step{Count: 1}) }))
	tc.core.opts.OnDecision = nil

	assert.Assert(t, tc.core.Failed())
	assert.Equal(t, len(tc.core.Step(tc.now+time.Second, 0)), 0)
	assert.Assert(t, !tc.core.StartNeeded(start, tc.now))
	_, pause, ok := tc.core.PreparePoll("w1", tc.now)
	assert.Assert(t, pause && ok)
	_, known := tc.core.State("a")
	assert.Assert(t, !known)
	assert.Assert(t, tc.core.CollectBatch(10).Empty())
	assert.Equal(t, len(tc.core.TakeExpired(10)), 0)
}
