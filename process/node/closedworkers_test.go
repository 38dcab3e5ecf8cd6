package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// loseWorkerOf loses the only worker that runs a task for good, and returns its ID.
func (c *testCell) loseWorkerOf(task string) string {
	running := c.workers.RunningOn(task)
	assert.Equal(c.t, len(running), 1)
	c.workers.Remove(running[0])
	c.cutOff(running[0])
	return running[0]
}

// awaitRun waits until a task runs, at most until an instant.
func (c *testCell) awaitRun(task string, until time.Duration) {
	for len(c.workers.RunningOn(task)) == 0 && c.now() < until {
		time.Sleep(50 * time.Millisecond)
	}
}

// loseLeader kills the leader for good and waits until another instance leads.
func (c *testCell) loseLeader() {
	old := c.leader()
	c.kill(old)
	c.awaitLeaderOtherThan(old)
}

// Guards against tasks of a lost worker that stay away for a lease after each takeover of a series.
func TestSeriesOfLeadersWaitsOnceForALostWorker(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(time.Minute), nil))
		// By then the longest leases that may have been granted before the first epoch have ended.
		time.Sleep(10 * time.Second)
		c.loseWorkerOf("a.0.0.0")
		lostAt := c.now()
		time.Sleep(3 * time.Second)
		c.loseLeader()
		c.loseLeader()
		takenAt := c.now()
		c.awaitRun("a.0.0.0", lostAt+time.Minute)
		// The lease of 4 s with its margins ended before the last takeover or ends soon after it.
		assert.Assert(t, c.now() < max(takenAt+1500*time.Millisecond, lostAt+7*time.Second), "the task started again %s after the loss, %s after the last takeover",
			c.now()-lostAt, c.now()-takenAt)
	})
}

// Guards against tasks that run twice because a successor relies on a list of closed workers that the former leader has replaced: a worker is
// silent, answers, and is cut off with the leader soon after.
func TestWorkerThatAnsweredIsNotTakenForClosed(t *testing.T) {
	for _, answers := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(answers.String(), func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				c.useLongLeases()
				assert.NilError(t, c.submit(c.follower(), "a", 8, smallTask(20*time.Second), nil))
				time.Sleep(time.Second)
				assert.Assert(t, c.workers.Running("w00") > 0)
				entries := []backend.WorkerInfo{c.workers.Info("w00"), c.workers.Info("w01")}
				for _, w := range entries {
					c.cutOff(w.ID)
				}
				time.Sleep(4500 * time.Millisecond)
				assert.Equal(t, len(c.closedWorkers()), 2)
				for _, w := range entries {
					c.rejoin(w)
				}
				time.Sleep(2*time.Second + answers)
				assert.Equal(t, len(c.closedWorkers()), 0)
				assert.NilError(t, c.submit(c.follower(), "b", 8, smallTask(20*time.Second), nil))
				time.Sleep(200 * time.Millisecond)
				assert.Assert(t, c.workers.Running("w00")+c.workers.Running("w01") > 0)
				old := c.cutOffLeader("w00", "w01")
				time.Sleep(12 * time.Second)
				c.rejoinLeader(old)
				time.Sleep(50 * time.Second)
				c.requireState(c.follower(), "a", job.Completed)
				c.requireState(c.follower(), "b", job.Completed)
			})
		})
	}
}

// closedWorkers returns the closed workers that the renewal row lists.
func (c *testCell) closedWorkers() map[string]closedWorker {
	return decodeRenewal(c.tables.Rows(leaderTable)[renewalKey.Key].Value).ClosedWorkers
}

// Guards against a takeover that relies on a renewal which the leader has replaced.
func TestTakeoverIsConditionalOnTheRenewal(t *testing.T) {
	view := leaderView{rowVersion: 7, renewalVersion: 9}
	assert.DeepEqual(t, view.takeoverConditions(), []backend.Row{{RowKey: leaderKey, Version: 7}, {RowKey: renewalKey, Version: 9}})
	view.row.Resigned = true
	assert.DeepEqual(t, view.takeoverConditions(), []backend.Row{{RowKey: leaderKey, Version: 7}})
}

// Guards against closed workers that are lost, or taken from the wrong row, on their way to a successor.
func TestClosedWorkersOfRows(t *testing.T) {
	const now, seen = time.Hour, time.Hour + time.Second
	closed := map[string]cell.ClosedWorker{
		"w1": {LeasesEnd: now + 1500*time.Millisecond + 1, StartedMS: 1000}, "w2": {LeasesEnd: now - time.Second},
	}
	value, err := json.Marshal(renewalRow{Claim: "c", closedWorkersField: newClosedWorkersField(closed, now)})
	assert.NilError(t, err)
	view := leaderView{row: leaderRow{Claim: "c", Epoch: 2}, rowSeenAt: seen, renewal: decodeRenewal(value), renewalSeenAt: seen}
	assert.DeepEqual(t, view.closedWorkers(), map[string]cell.ClosedWorker{
		"w1": {LeasesEnd: seen + 1501*time.Millisecond, StartedMS: 1000}, "w2": {LeasesEnd: seen},
	})
	// The lists of a leader that has resigned, or that has not renewed yet, are in its row.
	view.row.closedWorkersField = newClosedWorkersField(map[string]cell.ClosedWorker{"w3": {LeasesEnd: now}}, now)
	listed := map[string]cell.ClosedWorker{"w3": {LeasesEnd: seen}}
	view.row.Resigned = true
	assert.DeepEqual(t, view.closedWorkers(), listed)
	view.row.Resigned, view.row.Claim = false, "d"
	assert.DeepEqual(t, view.closedWorkers(), listed)
	view.renewal = decodeRenewal([]byte(`{"claim":"d"}`))
	assert.DeepEqual(t, view.closedWorkers(), map[string]cell.ClosedWorker{})
}
