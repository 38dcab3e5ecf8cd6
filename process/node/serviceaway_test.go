package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// Guards against a service task that stays away for what a leader might extend and a lease more, because the leader and the worker of the task
// are lost for good at the same time. Nothing is disturbed afterwards, and all other workers have room.
func TestServiceReturnsAfterTheLossOfLeaderAndWorker(t *testing.T) {
	loseLeaderAndServiceWorker(t, 3*time.Second)
}

// The same with workers that have been up for long, which cannot have longest leases.
func TestServiceReturnsAfterTheLossOfLeaderAndOldWorker(t *testing.T) {
	loseLeaderAndServiceWorker(t, 30*time.Second)
}

// loseLeaderAndServiceWorker loses the leader and a worker with a service task for good, when the task has run for a time.
func loseLeaderAndServiceWorker(t *testing.T, runs time.Duration) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.useLongLeases()
		service := backends.TaskBehavior{Service: true, Resources: model.Resources{CPUMilli: 1000, MemoryMiB: 100}}
		assert.NilError(t, c.submit(c.follower(), "s", 4, service, nil))
		time.Sleep(runs)
		lostAt := c.now()
		c.loseWorkerOf("s.0.0.0")
		c.kill(c.leader())
		c.awaitRun("s.0.0.0", lostAt+time.Minute)
		assert.Assert(t, c.now() <= lostAt+9*time.Second, "the task was away for %s", c.now()-lostAt)
	})
}

// Guards against a task that runs twice because a start of a leader, with a deadline on the clock of the former boot, reached the next boot of
// a worker just before the leader was lost: no record says that the worker has a longest lease.
func TestStartOnANewBootBeforeTheLossOfTheLeader(t *testing.T) {
	for name, joinsAfter := range map[string]time.Duration{"the leader returns at once": 0, "the leader joins its successor late": 4500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				c.useLongLeases()
				time.Sleep(30 * time.Second)
				workers := []string{"w00", "w01", "w02", "w03"}
				for _, id := range workers {
					c.workers.Remove(id)
					c.workers.Add(c.workerInfo(id))
				}
				assert.NilError(t, c.submit(c.follower(), "a", 1, smallTask(20*time.Second), nil))
				// The leader may wait for the entries of the new boots, and then records that they may have longest leases.
				for ms := 0; ms < 5000 && len(c.workers.RunningOn("a.0.0.0")) == 0; ms++ {
					if ms == 300 {
						for _, id := range workers {
							c.writeRegistryEntry(c.workers.Info(id))
						}
					}
					time.Sleep(time.Millisecond)
				}
				running := c.workers.RunningOn("a.0.0.0")
				assert.Equal(t, len(running), 1)
				c.cutOff(running[0])
				old := c.leader()
				c.kill(old)
				if joinsAfter > 0 {
					c.cutOffStore(old)
				}
				time.Sleep(200 * time.Millisecond)
				c.start(old)
				for _, id := range workers {
					if id != running[0] {
						c.writeRegistryEntry(c.workers.Info(id))
					}
				}
				time.Sleep(joinsAfter)
				c.rejoinLeader(old)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

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
