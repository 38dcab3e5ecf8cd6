package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// cutOff disconnects a worker from all instances and from the store, so that its registry entry expires.
func (c *testCell) cutOff(worker string) {
	c.mu.Lock()
	c.silentWorkers[worker] = true
	c.mu.Unlock()
	c.removeRegistryEntry(worker)
}

// rejoin ends the cut of a worker, whose entry returns.
func (c *testCell) rejoin(entry backend.WorkerInfo) {
	c.mu.Lock()
	delete(c.silentWorkers, entry.ID)
	c.mu.Unlock()
	c.writeRegistryEntry(entry)
}

// restartLeader kills the leader and starts the instance again after a delay.
func (c *testCell) restartLeader(delay time.Duration) {
	old := c.leader()
	c.kill(old)
	time.Sleep(delay)
	c.start(old)
}

// useLongLeases restarts all instances with leases that last longer than a takeover and the first rounds after it.
func (c *testCell) useLongLeases() {
	c.lease = longLease
	for name := range c.nodes {
		c.kill(name)
		c.start(name)
	}
	time.Sleep(2 * time.Second)
}

// longLease is the duration of leases that useLongLeases sets.
const longLease = 6 * time.Second

// Guards against tasks that run twice because a new leader takes a worker that is cut off for gone while its leases last. Only the loss
// of the former leader by a restart tells it that no more leases follow.
func TestCutOffWorkerKeepsItsTasksOverATakeover(t *testing.T) {
	cases := map[string]struct {
		// cutBefore is how long before the loss of the leader the workers are cut off; losses is how many leaders are lost.
		cutBefore, cut time.Duration
		workers        []string
		losses         int
	}{
		"at the same time":    {cut: 5 * time.Second, workers: []string{"w00"}, losses: 1},
		"for a short time":    {cut: 3 * time.Second, workers: []string{"w00"}, losses: 1},
		"long before":         {cutBefore: 3 * time.Second, cut: 6 * time.Second, workers: []string{"w00"}, losses: 1},
		"two workers":         {cut: 5 * time.Second, workers: []string{"w00", "w01"}, losses: 1},
		"all workers":         {cut: 3500 * time.Millisecond, workers: []string{"w00", "w01", "w02", "w03"}, losses: 1},
		"two leaders lost":    {cut: 5 * time.Second, workers: []string{"w00"}, losses: 2},
		"for good, two times": {cut: time.Minute, workers: []string{"w00"}, losses: 2},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				c.useLongLeases()
				entries := map[string]backend.WorkerInfo{}
				for _, id := range k.workers {
					entries[id] = c.workers.Info(id)
				}
				assert.NilError(t, c.submit(c.follower(), "a", 10, smallTask(9*time.Second), nil))
				time.Sleep(time.Second)
				assert.Assert(t, c.workers.Running("w00") > 0)
				for _, id := range k.workers {
					c.cutOff(id)
				}
				cutAt := c.now()
				time.Sleep(k.cutBefore)
				for range k.losses {
					c.restartLeader(500 * time.Millisecond)
					time.Sleep(1500 * time.Millisecond)
				}
				if k.cut < time.Minute {
					time.Sleep(k.cut - (c.now() - cutAt))
					for _, entry := range entries {
						c.rejoin(entry)
					}
				}
				time.Sleep(25 * time.Second)
				c.requireState(c.follower(), "a", job.Completed)
			})
		})
	}
}

// Guards against recovered tasks that wait for leases of a worker that is gone for longer than its leases can last, after the process
// of the former leader has been replaced.
func TestRecoveryAfterARestartOfTheLeaderTakesOneLease(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 4, smallTask(time.Minute), nil))
		time.Sleep(time.Second)
		c.loseWorkerOf("a.0.0.0")
		killedAt := c.now()
		// The instance returns after another one has taken over.
		c.restartLeader(2 * time.Second)
		c.awaitRun("a.0.0.0", killedAt+time.Minute)
		// One lease of 4 s with its margins, the restart, and the takeover.
		assert.Assert(t, c.now() < killedAt+8*time.Second, "the task started again after %s", c.now()-killedAt)
	})
}
