package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
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
