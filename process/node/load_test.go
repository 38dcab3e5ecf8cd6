package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// failRanges makes one of every count range reads of all instances fail, or none if count is 0.
func (c *testCell) failRanges(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rangesPerFault = count
}

// setSilentWorker sets whether a worker does not answer any call.
func (c *testCell) setSilentWorker(worker string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentWorkers[worker] = silent
}

func (n nodeTables) checkRangeFault(ctx context.Context, shard string) error {
	n.c.mu.Lock()
	n.c.ranges++
	fails := n.c.rangesPerFault > 0 && n.c.ranges%n.c.rangesPerFault == 0
	n.c.mu.Unlock()
	if fails {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the read is refused")
	}
	return n.checkFault(ctx, shard)
}

// Guards against a new leader that never loads its rows, and against a feed that stays lost, while single reads of the store
// fail: all shards would have to be read without a failure.
func TestRowsAreLoadedOnAnUnreliablePath(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 5, smallTask(time.Second), nil))
		c.failRanges(4)
		c.kill(c.leader())
		time.Sleep(5 * time.Second)
		c.requireState(c.follower(), "a", job.Completed)
		c.storeFormerJob("b", shardsOf("b")[0], time.Second)
		c.tables.TrimHistory()
		time.Sleep(5 * time.Second)
		c.requireState(c.follower(), "b", job.Completed)
	})
}

// Guards against a start that does not wait for the workers of a former leader: a job can have a record in each of its shards,
// accepted under different epochs, if a caller repeated the submission while one shard did not answer.
func TestOldestRecordOfAJobCounts(t *testing.T) {
	for first := range 2 {
		runInCell(t, func(t *testing.T, c *testCell) {
			shards := shardsOf("a")
			c.setUnavailableShard(shards[first])
			assert.NilError(t, c.submit(c.follower(), "a", 1, smallTask(8*time.Second), nil))
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, c.workers.Starts("a.0.0.0"), 1)
			former := c.leader()
			worker := c.workers.RunningOn("a.0.0.0")[0]
			c.setUnavailableShard("")
			c.storeRecord("a", shards[first], 2, 8*time.Second)
			c.setSilentWorker(worker, true)
			c.kill(former)
			time.Sleep(3 * time.Second)
			assert.Assert(t, c.leader() != "")
			assert.Equal(t, c.workers.Starts("a.0.0.0"), 1)
			c.setSilentWorker(worker, false)
			time.Sleep(20 * time.Second)
			c.requireState(c.follower(), "a", job.Completed)
		})
	}
}
