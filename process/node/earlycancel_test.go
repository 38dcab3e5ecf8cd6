package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// writeLate writes the record of a job as the store does that executes a write seconds after it was sent.
func (c *testCell) writeLate(id job.ID, shard int) error {
	n := c.follower()
	q, err := n.Queue("h", "/b/"+string(id))
	assert.NilError(c.t, err)
	c.mu.Lock()
	c.behaviors[string(id)] = backends.TaskBehavior{Service: true, Resources: model.Resources{CPUMilli: 1000}}
	c.mu.Unlock()
	step := job.Step{Count: 2, TaskDemand: model.Resources{CPUMilli: 1000}, LongRunning: true}
	spec := job.Spec{Payload: "p", Steps: []job.Step{step}}
	c.recordUnanswered(string(id), spec)
	record, err := json.Marshal(job.Record{Queue: q, Spec: spec})
	assert.NilError(c.t, err)
	key := jobKey(id, shardsOf(id)[shard])
	_, err = c.tables.Commit(c.t.Context(), backend.Txn{
		Expected: []backend.Row{{RowKey: key}}, Put: []backend.Row{{RowKey: key, Value: record}},
	})
	return err
}

// Guards against a job that runs although its cancellation was acknowledged: its record was on its way and not known yet. That holds
// for both shards of the job, for repeated attempts to submit it, and over a change of the leader.
func TestCancellationComesBeforeTheRecord(t *testing.T) {
	for _, shard := range []int{0, 1} {
		for _, leaderLost := range []bool{false, true} {
			runInCell(t, func(t *testing.T, c *testCell) {
				id := job.ID("late")
				err := c.cancel(c.follower(), string(id))
				assert.Equal(t, verdict.From(err).Code, verdict.CodeExpired)
				if leaderLost {
					c.restartLeader(2 * time.Second)
				}
				time.Sleep(5 * time.Second)
				assert.NilError(t, c.writeLate(id, shard))
				time.Sleep(3 * time.Second)
				c.requireState(c.follower(), string(id), job.Cancelled)
				assert.NilError(t, c.submit(c.follower(), string(id), 2, smallTask(time.Second), nil))
				time.Sleep(3 * time.Second)
				c.requireState(c.follower(), string(id), job.Cancelled)
				assert.Equal(t, c.workers.Starts("late.0.0.0")+c.workers.Starts("late.0.0.1"), 0)
			})
		}
	}
}

// Guards against cancellations of jobs that never existed, which would fill the store.
func TestCancellationsOfUnknownJobsAreRemoved(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		for _, id := range []string{"x", "y", "z"} {
			err := c.cancel(c.follower(), id)
			assert.Equal(t, verdict.From(err).Code, verdict.CodeExpired)
		}
		time.Sleep(50 * time.Second)
		assert.Equal(t, len(c.tables.Rows(cancelTable)), 3)
		c.kill(c.leader())
		time.Sleep(70 * time.Second)
		assert.Equal(t, len(c.tables.Rows(cancelTable)), 0)
	})
}

// Guards against cancellations of unknown jobs that come faster than they are removed, and against the removal of that of a job which exists.
func TestManyCancellationsOfUnknownJobsAreRemoved(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	now := time.Hour
	n.opts.Now = func() time.Duration { return now }
	l := &leadership{node: n, core: cell.New(cell.Options{Epoch: 1}, now)}
	for i := range 500 {
		id := job.ID(fmt.Sprintf("%016x", i))
		_, err := n.storeRequest(t.Context(), id, nil)
		assert.NilError(t, err)
		l.core.CancelJob(id, now)
	}
	const existing = "0000000000000007"
	assert.NilError(t, submitAt(t.Context(), n, existing))
	now += time.Hour
	l.core.CancelJob(existing, now)
	l.removeCancels(t.Context())
	assert.DeepEqual(t, slices.Collect(maps.Keys(tables.Rows(cancelTable))), []string{existing})
}

// Guards against a final state that is taken back: a caller was told that a job is cancelled, since its cancellation is stored, while the
// leader has completed the job before and could not store that yet.
func TestStoredCancellationIsNoFinalState(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		leader, asked := c.leader(), c.follower()
		assert.NilError(t, c.submit(asked, "a", 1, smallTask(500*time.Millisecond), nil))
		time.Sleep(300 * time.Millisecond)
		// The leader reaches the workers, but neither the store nor other instances, for less than a takeover takes.
		c.setStoreFault(leader, backends.FaultRefused)
		c.isolate(leader)
		time.Sleep(400 * time.Millisecond)
		assert.Assert(t, c.workers.Done("a.0.0.0"))
		assert.NilError(t, asked.Cancel(t.Context(), job.Queue{Name: testQueue}, "a"))
		shown, err := c.state(asked, "a")
		assert.NilError(t, err)
		c.isolate("")
		c.setStoreFault(leader, backends.FaultNone)
		time.Sleep(2 * time.Second)
		final, err := c.state(asked, "a")
		assert.NilError(t, err)
		assert.Assert(t, final.Terminal())
		assert.Assert(t, !shown.Terminal() || shown == final, "%s was shown before %s", shown, final)
	})
}

// Guards against a job that runs although its cancellation was acknowledged: the leader learns of the cancellation by a message, and of the
// job only after it has removed the cancellation as that of a job that does not exist.
func TestCancellationOfAJobThatTheLeaderReadsLate(t *testing.T) {
	for shard := range 2 {
		runInCell(t, func(t *testing.T, c *testCell) {
			id := job.ID("late")
			c.setSilentFeed(jobTable)
			_, epoch := c.follower().leaderAddress()
			c.storeRecord(id, shardsOf(id)[shard], epoch, time.Second)
			assert.NilError(t, c.cancel(c.follower(), string(id)))
			time.Sleep(80 * time.Second)
			c.setSilentFeed("")
			time.Sleep(5 * time.Second)
			assert.Equal(t, c.workers.Starts("late.0.0.0"), 0)
			c.requireState(c.follower(), string(id), job.Cancelled)
		})
	}
}
