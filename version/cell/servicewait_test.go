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
	assert.DeepEqual(t, (*waits)[0]["obstacles"], map[string]int{"unsuitable": 2})
	load := tc.core.Load()
	assert.Equal(t, load.WaitingServices, 1)
	assert.Assert(t, load.LongestServiceWaitMS >= serviceWaitLogDelay.Milliseconds())
}
