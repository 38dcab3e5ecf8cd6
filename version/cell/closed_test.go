package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// failPoll lets a poll of a worker fail.
func (tc *testCluster) failPoll(id string) {
	_, _, ok := tc.core.PreparePoll(id, tc.now)
	assert.Assert(tc.t, ok)
	tc.core.PollResult(id, tc.now, backend.PollReply{}, fmt.Errorf("no answer"), tc.now+1)
	tc.now += 2
}

// deadline returns the deadline of the next poll of a worker.
func (tc *testCluster) deadline(id string) int64 {
	req, _, ok := tc.core.PreparePoll(id, tc.now)
	assert.Assert(tc.t, ok)
	return req.LeaseDeadlineMS
}

// Guards against a leader that grants a lease, or starts a task, on a worker while a renewal says that no leader does.
func TestClosedWorkerGetsNoLeases(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	assert.Equal(t, len(tc.core.CloseWorkers(tc.now, true)), 0)
	granted := tc.deadline("w1")
	assert.Assert(t, granted > 0)
	tc.failPoll("w1")
	granted = max(granted, tc.core.workers["w1"].leaseEndMS)

	listed := tc.core.CloseWorkers(tc.now, true)
	assert.Equal(t, len(listed), 1)
	// The clocks of the worker and the leader run alike.
	lasts := time.Duration(granted-tc.clockMS()) * time.Millisecond
	assert.Assert(t, listed["w1"].LeasesEnd >= tc.now+lasts && listed["w1"].LeasesEnd < tc.now+lasts+time.Second)
	assert.Equal(t, listed["w1"].StartedMS, int64(1000))
	assert.Equal(t, tc.deadline("w1"), int64(0))
	assert.Assert(t, !tc.core.ReopeningDue())

	// It answers, and stays closed until a renewal without it is durable.
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, tc.deadline("w1"), int64(0))
	tc.core.RenewalStored(listed, tc.now)
	assert.Equal(t, tc.deadline("w1"), int64(0))
	assert.Assert(t, tc.core.ReopeningDue())
	listed = tc.core.CloseWorkers(tc.now, true)
	assert.Equal(t, len(listed), 0)
	assert.Equal(t, tc.deadline("w1"), int64(0))
	tc.core.RenewalStored(listed, tc.now)
	assert.Assert(t, !tc.core.ReopeningDue())
	assert.Assert(t, tc.deadline("w1") > 0)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against an outage of the store that closes workers, of which a single answer was lost and which cannot be opened then.
func TestNoWorkerIsClosedWhileTheStoreIsAway(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.failPoll("w1")
	assert.Equal(t, len(tc.core.CloseWorkers(tc.now, true)), 1)
	tc.failPoll("w2")
	listed := tc.core.CloseWorkers(tc.now, false)
	assert.Equal(t, len(listed), 1)
	// Both answer. Only w1 needs a renewal.
	tc.answerPoll("w1", nil, nil)
	tc.answerPoll("w2", nil, nil)
	assert.Assert(t, tc.deadline("w2") > 0)
	assert.Equal(t, tc.deadline("w1"), int64(0))
}

// Guards against leases that are counted anew from each takeover, on a worker to which nobody has granted one since.
func TestLeasesOfClosedWorkersEndOverTakeovers(t *testing.T) {
	cases := map[string]struct {
		change func(*backend.WorkerInfo)
		boot   int64
		// inherits means that the bound of the former leader holds.
		inherits bool
	}{
		"worker without an entry":     {boot: 1000, inherits: true},
		"worker with its entry":       {change: func(*backend.WorkerInfo) {}, boot: 1000, inherits: true},
		"worker with another entry":   {change: func(w *backend.WorkerInfo) { w.StartedMS = 2000 }, boot: 1000},
		"worker whose boot was unset": {change: func(*backend.WorkerInfo) {}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 2)
			startedAt := tc.now
			closed := map[string]ClosedWorker{"w1": {LeasesEnd: startedAt + 1500*time.Millisecond, StartedMS: k.boot}}
			tc.core.loadClosed(closed)
			// The first renewal precedes the fleet record.
			assert.DeepEqual(t, tc.core.CloseWorkers(tc.now, true), closed)
			// For a worker that has restarted, longer leases would be assumed otherwise.
			assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"workers":{"w1":"w1:1"},"long_leases":["w1"]}`)))
			if k.change != nil {
				tc.listWorker("w1", k.change)
			}
			tc.addWorker("w2")
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			bound := 6*time.Second + maxLocalDuration(testLease)
			if k.inherits {
				bound = 1500 * time.Millisecond
				assert.DeepEqual(t, tc.core.CloseWorkers(tc.now, true), closed)
			}
			for len(tc.starts) == 0 && tc.now < startedAt+time.Minute {
				assert.Equal(t, tc.deadline("w1"), int64(0))
				tc.answerPoll("w2", nil, nil)
				tc.core.RenewalStored(tc.core.CloseWorkers(tc.now, true), tc.now)
				tc.advance(100 * time.Millisecond)
			}
			waited := tc.now - startedAt
			assert.Assert(t, waited >= bound && waited < bound+time.Second, "recovery ended after %s", waited)
		})
	}
}

// Guards against a list that makes a row larger than the store takes.
func TestClosedWorkersAreLimited(t *testing.T) {
	tc := newTestCluster(t, 1)
	for i := range MaxClosedWorkers + 10 {
		id := fmt.Sprint("w", i)
		tc.addWorker(id)
		tc.failPoll(id)
	}
	assert.Equal(t, len(tc.core.CloseWorkers(tc.now, true)), MaxClosedWorkers)
	assert.Equal(t, len(tc.core.CloseWorkers(tc.now, true)), MaxClosedWorkers)
	assert.Equal(t, len(tc.core.closed), MaxClosedWorkers)
}

// Guards against an acknowledgement by a poll without a deadline: the leases on the worker may have lapsed, so that its runs count as lost, and
// the worker would take the acknowledged ends for ends within one lease. It also guards against polls that follow each other without a pause
// while the acknowledgement is held back.
func TestClosedWorkerGetsNoAcknowledgement(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	tc.failPoll("w1")
	listed := tc.core.CloseWorkers(tc.now, true)
	assert.Equal(t, len(listed), 1)
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	tc.storeBatches()
	assert.Equal(t, tc.acknowledged("w1"), int64(0))
	changed, pending := tc.core.AcksChanged("w1")
	assert.Assert(t, pending)
	for len(changed) > 0 {
		<-changed
	}
	tc.core.RenewalStored(nil, tc.now)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, tc.acknowledged("w1"), int64(1))
}

// Guards against a start without a deadline on a worker that was closed while the start waited for its record.
func TestRecordedStartIsNotSentToAClosedWorker(t *testing.T) {
	tc, _ := newRecordingCluster(t)
	tc.failPoll("w1")
	assert.Equal(t, len(tc.core.CloseWorkers(tc.now, true)), 1)
	tc.storeBatches()
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerPoll("w1", nil, nil)
	tc.core.RenewalStored(nil, tc.now)
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 1)
	assert.Assert(t, tc.starts[0].Command.LeaseDeadlineMS > 0)
}
