package node

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// storeSpec writes the record of a job that an instance of another version has accepted.
func (c *testCell) storeSpec(id job.ID, spec job.Spec) {
	queue, err := c.follower().Queue("h", "/b/"+string(id))
	assert.NilError(c.t, err)
	record, err := json.Marshal(job.Record{Queue: queue, Epoch: 1, Spec: spec})
	assert.NilError(c.t, err)
	c.recordUnanswered(string(id), spec)
	c.tables.Put(jobKey(id, shardsOf(id)[0]), record)
}

// runWithLittleMemory runs a test in a cell whose leaders have little memory for jobs.
func runWithLittleMemory(t *testing.T, bytes int64, test func(t *testing.T, c *testCell)) {
	runInCell(t, func(t *testing.T, c *testCell) {
		for name := range c.nodes {
			c.kill(name)
		}
		c.jobMemory = bytes
		for i := range 3 {
			c.start(fmt.Sprintf("s%d", i))
		}
		time.Sleep(12 * time.Second)
		test(t, c)
	})
}

// Guards against a row in the store that ends each leader that reads it, and keeps the jobs of others from starting, or that no cancellation
// reaches.
func TestStoredJobThatNoLeaderCanHold(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.storeSpec("a000000000000001", stepsOf(math.MaxInt, math.MaxInt))
		c.storeSpec("a000000000000002", stepsOf(math.MaxInt, math.MaxInt, 9))
		recurring := stepsOf(1 << 40)
		recurring.Repetitions, recurring.IntervalMS = math.MaxInt, 1
		c.storeSpec("a000000000000003", recurring)
		time.Sleep(2 * time.Second)
		c.kill(c.leader())
		time.Sleep(5 * time.Second)
		assert.NilError(t, c.submit(c.follower(), "b", 5, smallTask(time.Second), nil))
		time.Sleep(4 * time.Second)
		c.requireState(c.follower(), "b", job.Completed)
		c.requireState(c.follower(), "a000000000000001", job.Queued)
		dump := c.nodes[c.leader()].loadedLeadership().core.Dump(10)
		assert.Equal(t, len(dump.Deferred), 3)
		assert.Equal(t, dump.Deferred[0].Reason, cell.DeferralReason("larger_than_memory"))

		assert.NilError(t, c.cancel(c.follower(), "a000000000000001"))
		time.Sleep(time.Second)
		c.requireState(c.follower(), "a000000000000001", job.Cancelled)
		c.start("i3")
		c.kill(c.leader())
		time.Sleep(5 * time.Second)
		c.requireState(c.follower(), "a000000000000001", job.Cancelled)
		c.requireState(c.follower(), "a000000000000002", job.Queued)
	})
}

// Guards against jobs that are lost, or run twice, when leaders with little memory defer them, while leaders are lost and the store is away.
func TestLittleMemoryOverChangesOfTheLeader(t *testing.T) {
	runWithLittleMemory(t, 60<<10, func(t *testing.T, c *testCell) {
		var ids []string
		for i := range 40 {
			ids = append(ids, fmt.Sprintf("j%02d", i))
			assert.NilError(t, c.submit(c.follower(), ids[i], 1+i%7, smallTask(time.Duration(100+i*50)*time.Millisecond), nil))
		}
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, c.nodes[c.leader()].Status().Memory.Deferred > 10)
		c.kill(c.leader())
		time.Sleep(5 * time.Second)
		c.setStoreFaults(backends.FaultRefused)
		time.Sleep(2 * time.Second)
		c.setStoreFaults(backends.FaultNone)
		time.Sleep(4 * time.Second)
		c.kill(c.leader())
		c.start("s9")
		for range 30 {
			time.Sleep(time.Second)
			if leader := c.nodes[c.leader()]; leader != nil {
				memory := leader.Status().Memory
				assert.Assert(t, memory.UsedBytes <= memory.LimitBytes, "%+v", memory)
			}
		}
		for _, id := range ids {
			c.requireState(c.follower(), id, job.Completed)
		}
	})
}

// setStoreFaults sets the fault of the table service for all instances.
func (c *testCell) setStoreFaults(fault backends.Fault) {
	for name := range c.nodes {
		c.setStoreFault(name, fault)
	}
}

// Guards against a new leader that holds whole tables in memory while it reads them: more progress than it may hold, and many pages.
func TestTablesLargerThanMemoryAreLoaded(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "done", 1, smallTask(100*time.Millisecond), nil))
		time.Sleep(2 * time.Second)
		padding := make([]byte, 50_000)
		for i := range padding {
			padding[i] = ' '
		}
		const jobs = 200
		for i := range jobs {
			id := fmt.Sprintf("p%03d", i)
			c.storeRecord(job.ID(id), shardsOf(job.ID(id))[0], 1, 50*time.Millisecond)
			c.tables.Put(progressKey(job.ID(id)), append([]byte(`{"t":{"0.0":{"f":{"0":[1]}}}}`), padding...))
		}
		c.kill(c.leader())
		time.Sleep(30 * time.Second)
		c.requireState(c.follower(), "done", job.Completed)
		for i := range jobs {
			c.requireState(c.follower(), fmt.Sprintf("p%03d", i), job.Completed)
		}
	})
}
