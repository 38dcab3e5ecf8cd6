package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// loseAll crashes all workers and kills all instances at one moment, while the store refuses all calls. It returns some time after all of
// them are back.
func (c *testCell) loseAll() {
	c.tables.SetFault(refuseAll)
	c.crashAllWorkers(workersDowntime)
	for _, name := range c.names() {
		c.kill(name)
	}
	time.Sleep(restartTime)
	for _, name := range c.names() {
		c.start(name)
	}
	c.tables.SetFault(nil)
	time.Sleep(4 * time.Second)
}

// awaitState waits until an instance reports a state of a job.
func (c *testCell) awaitState(id string, want job.State) {
	c.t.Helper()
	for range 1000 {
		if state, err := c.state(c.follower(), id); err == nil && state == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("job %s is not shown as %s", id, want)
}

// answerCase is an answer that binds: give makes an instance give it for job a, and check fails the test if it no longer holds. starts is
// the number of starts of its tasks when all was lost.
type answerCase struct {
	give  func(t *testing.T, c *testCell)
	check func(t *testing.T, c *testCell, starts int)
}

// startsOfA returns the number of starts of the tasks of job a.
func (c *testCell) startsOfA() int { return c.workers.Starts("a.0.0.0") + c.workers.Starts("a.0.0.1") }

var bindingAnswers = map[string]answerCase{
	"accepted": {
		func(t *testing.T, c *testCell) {
			assert.NilError(t, c.submit(c.follower(), "a", 2, smallTask(time.Second), nil))
		},
		func(t *testing.T, c *testCell, _ int) { c.awaitState("a", job.Completed) },
	},
	"refused": {
		func(t *testing.T, c *testCell) {
			assert.Equal(t, verdict.Of(c.refuse(c.follower(), "a")), verdict.NotRun)
		},
		func(t *testing.T, c *testCell, starts int) {
			for shard := range 2 {
				err := c.writeLate("a", shard)
				assert.Assert(t, err != nil, "an earlier attempt takes effect")
				assert.Equal(t, verdict.From(err).Code, verdict.CodeConflict)
			}
			c.requireNoMoreStarts(starts)
		},
	},
	"cancelled": {
		func(t *testing.T, c *testCell) {
			assert.NilError(t, c.submit(c.follower(), "a", 2, smallTask(3*time.Second), nil))
			time.Sleep(500 * time.Millisecond)
			assert.NilError(t, c.cancel(c.follower(), "a"))
		},
		func(t *testing.T, c *testCell, starts int) {
			c.awaitState("a", job.Cancelled)
			c.requireNoMoreStarts(starts)
		},
	},
	"no such job to cancel": {
		func(t *testing.T, c *testCell) {
			assert.Equal(t, verdict.From(c.cancel(c.follower(), "a")).Code, verdict.CodeExpired)
		},
		func(t *testing.T, c *testCell, starts int) {
			for shard := range 2 {
				assert.NilError(t, c.writeLate("a", shard))
			}
			c.requireNoMoreStarts(starts)
			c.awaitState("a", job.Cancelled)
		},
	},
	"shown as failed": {
		func(t *testing.T, c *testCell) {
			b := smallTask(100 * time.Millisecond)
			b.FailsOn = func(string) bool { return true }
			assert.NilError(t, c.submit(c.follower(), "a", 1, b, nil))
			c.awaitState("a", job.Failed)
		},
		func(t *testing.T, c *testCell, starts int) {
			c.awaitState("a", job.Failed)
			c.requireNoMoreStarts(starts)
		},
	},
	"shown as completed": {
		func(t *testing.T, c *testCell) {
			assert.NilError(t, c.submit(c.follower(), "a", 2, smallTask(500*time.Millisecond), nil))
			c.awaitState("a", job.Completed)
		},
		func(t *testing.T, c *testCell, starts int) {
			c.awaitState("a", job.Completed)
			c.requireNoMoreStarts(starts)
		},
	},
	"shown as cancelled": {
		func(t *testing.T, c *testCell) {
			assert.NilError(t, c.submit(c.follower(), "a", 2, smallTask(3*time.Second), nil))
			assert.NilError(t, c.cancel(c.follower(), "a"))
			c.awaitState("a", job.Cancelled)
		},
		func(t *testing.T, c *testCell, starts int) {
			c.awaitState("a", job.Cancelled)
			c.requireNoMoreStarts(starts)
		},
	},
}

// requireNoMoreStarts fails the test if tasks of job a have started more often, or do within some seconds.
func (c *testCell) requireNoMoreStarts(starts int) {
	c.t.Helper()
	assert.Equal(c.t, c.startsOfA(), starts)
	time.Sleep(5 * time.Second)
	assert.Equal(c.t, c.startsOfA(), starts)
}

// Guards against answers that rest on memory: all instances and all workers are lost as soon as the answer was given, and what the caller
// was told must still hold. In half of the cases all are lost twice.
func TestBindingAnswersSurviveTheLossOfAll(t *testing.T) {
	for name, answer := range bindingAnswers {
		for _, again := range []bool{false, true} {
			title := name
			if again {
				title += ", lost twice"
			}
			t.Run(title, func(t *testing.T) {
				runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
					answer.give(t, c)
					starts := c.startsOfA()
					c.loseAll()
					if again {
						c.loseAll()
					}
					answer.check(t, c, starts)
				})
			})
		}
	}
}
