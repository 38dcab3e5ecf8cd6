package rack

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// TestLeaseExpiryNeedsProofOfOwnership guards against tasks that run twice: an owner that was paused must not treat
// leases as expired that its successor may have renewed, or running tasks are started again elsewhere.
func TestLeaseExpiryNeedsProofOfOwnership(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, "rack-1", 1, DefaultPolicy())
	c.SetMembers(now, []store.Member{{ID: "w1", State: store.MemberLive, Capacity: model.Resources{CPUMilli: 8000, MemoryMiB: 8192, Slots: 8}}})
	running := worker.RunningTask{Task: model.Task{ID: "i1-a/0.0"}, Token: model.StartToken{Epoch: 1, Sequence: 1}}
	c.FenceResult(now, "w1", worker.Inventory{BootID: "b1", Running: []worker.RunningTask{running}})
	countExpired := func(at time.Time) (count int) {
		for _, e := range c.Tick(at) {
			if out, ok := e.(ReportOutcome); ok && out.Outcome.State == model.OutcomeExpired {
				count++
			}
		}
		return count
	}
	later := now.Add(time.Minute)
	assert.Equal(t, countExpired(later), 0)
	c.ConfirmOwnership(later)
	assert.Equal(t, countExpired(later), 1)
}

// TestOwnerWithoutTableStopsRenewing guards against an owner without contact to the table that renews leases for longer
// than a successor waits that cannot reach the worker.
func TestOwnerWithoutTableStopsRenewing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, "rack-1", 1, DefaultPolicy())
	assert.Assert(t, c.MayRenewLeases(now.Add(2*time.Hour-time.Second)))
	assert.Assert(t, !c.MayRenewLeases(now.Add(2*time.Hour)))
}

// TestReportOfEarlierBootAcknowledgesNothing guards against a lost outcome: a worker numbers the results of each boot
// from 1, so a late report for the previous boot could acknowledge a result that is not durable yet.
func TestReportOfEarlierBootAcknowledgesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, "rack-1", 1, DefaultPolicy())
	c.SetMembers(now, []store.Member{{ID: "w1", State: store.MemberLive, Capacity: model.Resources{CPUMilli: 8000, MemoryMiB: 8192, Slots: 8}}})
	result := func(id model.TaskID) worker.Result {
		return worker.Result{Sequence: 1, Task: model.Task{ID: id}, Outcome: model.Outcome{Task: id, State: model.OutcomeFinished, Worker: "w1"}}
	}
	c.FenceResult(now, "w1", worker.Inventory{BootID: "b1", Results: []worker.Result{result("i1-a/0.0")}})
	c.FenceResult(now, "w1", worker.Inventory{BootID: "b2", Results: []worker.Result{result("i1-a/0.1")}})
	c.OutcomeDurable("w1", "b1", 1)
	req, ok := c.SyncRequest("w1", 0)
	assert.Assert(t, ok)
	assert.Equal(t, len(req.Acknowledged), 0)
	c.OutcomeDurable("w1", "b2", 1)
	req, _ = c.SyncRequest("w1", 0)
	assert.DeepEqual(t, req.Acknowledged, []uint64{1})
}
