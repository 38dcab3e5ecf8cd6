package cell

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// failPolls fails the polls of a worker for the given duration, as the poll loop does with a worker that is gone.
func (tc *testCluster) failPolls(id string, d time.Duration) {
	err := verdict.Wrap(errors.New("no answer"), verdict.MayHaveRun, verdict.CodeUnavailable, "poll")
	for end := tc.now + d; tc.now < end; tc.advance(200 * time.Millisecond) {
		if _, _, ok := tc.core.PreparePoll(id, tc.now); !ok {
			return
		}
		tc.core.PollResult(id, tc.now, backend.PollReply{}, err, tc.now)
	}
}

// recordedWorkers returns the workers of the newest fleet record among the batches; nil if none has one.
func recordedWorkers(batches []Batch) fleetRow {
	var row fleetRow
	for _, b := range batches {
		if b.fleet != nil {
			row = b.fleet
		}
	}
	return row
}

// A worker that is gone must be forgotten although its polls go on until then: each later leader would wait for it, and the
// record of the workers in use would grow with each worker that was ever replaced.
func TestGoneWorkerIsForgotten(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.core.RemoveWorker("w2", tc.now)
	tc.failPolls("w2", 30*time.Second)
	assert.DeepEqual(t, tc.core.WorkerIDs(), []string{"w1"})
	assert.DeepEqual(t, recordedWorkers(tc.storeBatches()), fleetRow{"w1": "w1:1"})
}
