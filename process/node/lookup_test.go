package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// setSilentFeed makes the change feed of a table unanswered for all instances, and waits for the long polls in progress.
func (c *testCell) setSilentFeed(table string) {
	c.mu.Lock()
	c.silentFeed = table
	c.mu.Unlock()
	time.Sleep(2 * feedLongPoll)
}

func (n nodeTables) checkFeedFault(ctx context.Context, table string) error {
	n.c.mu.Lock()
	silent := n.c.silentFeed == table
	n.c.mu.Unlock()
	if silent {
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "the feed is silent")
	}
	return n.checkFault(ctx, "")
}

// storeFormerJob writes the record of a job of one task that an instance accepted before it knew a leader.
func (c *testCell) storeFormerJob(id job.ID, shard string, task time.Duration) {
	c.storeRecord(id, shard, 0, task)
}

// storeRecord writes the record of a job of one task that an instance accepted under an epoch.
func (c *testCell) storeRecord(id job.ID, shard string, epoch uint64, task time.Duration) {
	c.mu.Lock()
	c.behaviors[string(id)] = smallTask(task)
	c.mu.Unlock()
	queue, err := c.follower().Queue("h", "/b/"+string(id))
	assert.NilError(c.t, err)
	steps := []job.Step{{Count: 1, TaskDemand: smallTask(task).Resources, EstimateMS: task.Milliseconds()}}
	spec := job.Spec{Payload: "p", Steps: steps}
	c.recordUnanswered(string(id), spec)
	record, err := json.Marshal(job.Record{Queue: queue, Epoch: epoch, Spec: spec})
	assert.NilError(c.t, err)
	c.tables.Put(jobKey(id, shard), record)
}

// startFormerRun starts run 1 of the task of a job on a worker, as the leader of an earlier epoch did before the worker knew
// of a later one.
func (c *testCell) startFormerRun(id job.ID, worker string) {
	_, epoch := c.nodes[c.leader()].leaderAddress()
	reply, err := c.workers.Start(c.t.Context(), backend.StartCommand{
		Command: backend.Command{Worker: backend.WorkerRef{ID: worker, Address: worker + ":1"}, Task: string(id) + ".0.0.0", Run: 1, FencingToken: epoch},
		Payload: "p", LeaseDeadlineMS: 1 << 40,
	})
	assert.NilError(c.t, err)
	assert.Equal(c.t, reply.Refusal, backend.Refusal(""))
}

// Guards against a second start of a task that a former leader has started when the change feed of the jobs is lost for
// longer than any timeout: its completion must be claimed, and not be acknowledged as that of an unknown job.
func TestJobOfFormerLeaderWhileFeedIsLost(t *testing.T) {
	for shard := range 2 {
		runInCell(t, func(t *testing.T, c *testCell) {
			c.setSilentFeed(jobTable)
			c.storeFormerJob("late", shardsOf("late")[shard], time.Second)
			c.startFormerRun("late", "w00")
			time.Sleep(15 * time.Second)
			c.setSilentFeed("")
			c.requireState(c.follower(), "late", job.Completed)
			assert.Assert(t, c.workers.Acknowledged("late.0.0.0"))
			assert.Equal(t, c.workers.Starts("late.0.0.0"), 1)
		})
	}
}

// Guards against a completion that is acknowledged while the store does not answer the leader: the job of the task is not
// known to be absent.
func TestJobOfFormerLeaderWhileStoreIsSilent(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.setSilentFeed(jobTable)
		c.storeFormerJob("late", shardsOf("late")[0], time.Second)
		c.setUnavailableShard(shardsOf("late")[0])
		c.startFormerRun("late", "w00")
		time.Sleep(15 * time.Second)
		assert.Assert(t, c.workers.Done("late.0.0.0"))
		assert.Assert(t, !c.workers.Acknowledged("late.0.0.0"))
		c.setUnavailableShard("")
		time.Sleep(3 * time.Second)
		c.requireState(c.follower(), "late", job.Completed)
		assert.Equal(t, c.workers.Starts("late.0.0.0"), 1)
		c.setSilentFeed("")
	})
}
