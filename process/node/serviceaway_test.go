package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/standin/backends"
)

// Guards against finished work that is done again: the leader is lost and returns while the store does not answer, for longer than a lease,
// and a worker answers the first poll of the next leader late.
func TestFinishedWorkAfterAnOutageOfTheStoreAndTheLeader(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(2*time.Second), nil))
		time.Sleep(time.Second)
		running := c.workers.RunningOn("a.0.0.0")
		assert.Equal(t, len(running), 1)
		old := c.leader()
		for name := range c.nodes {
			c.setStoreFault(name, backends.FaultRefused)
		}
		c.kill(old)
		time.Sleep(200 * time.Millisecond)
		c.start(old)
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		c.silentWorkers[running[0]] = true
		c.mu.Unlock()
		for name := range c.nodes {
			c.setStoreFault(name, backends.FaultNone)
		}
		time.Sleep(time.Second)
		c.mu.Lock()
		delete(c.silentWorkers, running[0])
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.workers.Starts("a.0.0.0"), 1)
	})
}
