package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// configKey is the row of the configuration in a test cell.
var configKey = backend.RowKey{Table: "config", Key: "current"}

// setTransferTime sets how long an instance takes to read rows of the configuration: it has a slow link.
func (c *testCell) setTransferTime(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transferTimes[name] = d
}

// transfer simulates the transfer of rows to an instance: data arrives every 100 ms until the transfer time of the instance has
// passed.
func (n nodeTables) transfer(ctx context.Context, page backend.Page) error {
	n.c.mu.Lock()
	remaining := n.c.transferTimes[n.name]
	n.c.mu.Unlock()
	for ; len(page.Rows) > 0 && remaining > 0; remaining -= 100 * time.Millisecond {
		backend.ReportProgress(ctx)
		if !pause(ctx, 100*time.Millisecond) {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "transfer")
		}
	}
	return nil
}

// requireOutdated checks what an instance answers that knows that its configuration is outdated.
func (c *testCell) requireOutdated(n *testNode) {
	c.t.Helper()
	for what, err := range map[string]error{
		"submission":    c.submit(n, "late", 1, smallTask(time.Second), nil),
		"count":         countWaiting(n),
		"unknown queue": unknownQueue(n),
	} {
		assert.Assert(c.t, err != nil, what)
		e := verdict.From(err)
		assert.Equal(c.t, e.Code, verdict.CodeUnavailable, what)
		assert.Equal(c.t, e.Verdict, verdict.NotRun, what)
		assert.Assert(c.t, e.RetryAfter > 0, what)
	}
	assert.Assert(c.t, !n.Ready())
}

// requireCurrent checks what an instance answers whose configuration may be current.
func (c *testCell) requireCurrent(n *testNode, id string) {
	c.t.Helper()
	assert.NilError(c.t, c.submit(n, id, 1, smallTask(time.Second), nil))
	assert.NilError(c.t, countWaiting(n))
	assert.Equal(c.t, verdict.From(unknownQueue(n)).Code, verdict.CodeNotFound)
	assert.Assert(c.t, n.Ready())
}

func countWaiting(n *testNode) error {
	_, err := n.WaitingJobs(context.Background(), job.Queue{Name: testQueue})
	return err
}

func unknownQueue(n *testNode) error {
	_, err := n.Queue("h", "/unknown/")
	return err
}

// Guards against an instance that goes on answering by a configuration of which it knows that a newer one exists: its link
// takes longer to transfer the newer one than a change may take to be in force.
func TestOutdatedConfigurationIsNotUsed(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		slow := c.follower()
		c.isolate(slow.opts.Instance)
		c.setTransferTime(slow.opts.Instance, 8*time.Second)
		c.requireCurrent(slow, "a")
		c.tables.Put(configKey, []byte("2"))
		time.Sleep(2 * time.Second)
		assert.NilError(t, c.submit(slow, "b", 1, smallTask(time.Second), nil), "the change need not be in force yet")
		time.Sleep(time.Second)
		c.requireOutdated(slow)
		_, err := c.state(slow, "a")
		assert.NilError(t, err, "the state of a job does not depend on the configuration")
		time.Sleep(6 * time.Second)
		assert.Equal(t, slow.Status().Config, uint64(2))
		assert.NilError(t, c.submit(slow, "c", 1, smallTask(time.Second), nil))
	})
}

// Guards against refusals while the store is away: without a sign of a change the last configuration stays in use, but a queue
// that it lacks may have been added.
func TestUnconfirmedConfigurationIsUsed(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		n := c.follower()
		for name := range c.nodes {
			c.setStoreFault(name, backends.FaultNoAnswer)
		}
		time.Sleep(5 * time.Second)
		_, err := n.Queue("h", "/b/x")
		assert.NilError(t, err)
		e := verdict.From(unknownQueue(n))
		assert.Equal(t, e.Code, verdict.CodeUnavailable)
		assert.Equal(t, e.Verdict, verdict.NotRun)
		assert.Assert(t, e.RetryAfter > 0)
	})
}
