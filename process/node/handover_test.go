package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against work that is repeated because an instance that has restarted takes its empty replica for a whole one: it joined a
// successor before the instance that holds the results did, and leads next.
func TestRestartedInstanceWaitsForTheResultsOfOthers(t *testing.T) {
	for _, lostAfter := range []time.Duration{20, 100, 200, 300} {
		lostAfter := lostAfter * time.Millisecond
		t.Run(fmt.Sprint(lostAfter), func(t *testing.T) {
			runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
				c.startOutage()
				c.crashAllWorkers(workersDowntime)
				holder := ""
				for _, name := range c.names() {
					if name != c.leader() {
						holder = name
					}
				}
				for _, name := range c.names() {
					if name != holder {
						c.kill(name)
						c.start(name)
					}
				}
				time.Sleep(restartTime)
				// The holder reaches neither the store nor the others until the second of the restarted instances has taken over.
				c.isolate(holder)
				c.setStoreFault(holder, refusedFault)
				c.tables.SetFault(nil)
				first := c.awaitTakeover("")
				time.Sleep(lostAfter)
				c.kill(first)
				second := c.awaitTakeover(first)
				assert.Assert(t, second != holder)
				c.isolate("")
				c.setStoreFault(holder, 0)
				c.requireCompletedInTheEnd()
				c.requireOneStartEach()
			})
		})
	}
}

// Guards against a task that crashes its workers and starts anew with every leader: the crashes that a successor has received from its
// predecessor are lost with it, since it leads for a moment only.
func TestCrashesSurviveShortLeaderships(t *testing.T) {
	for _, ledFor := range []time.Duration{0, 5, 20, 100} {
		ledFor := ledFor * time.Millisecond
		t.Run(fmt.Sprint(ledFor), func(t *testing.T) {
			runWithCrashes(t, 12, func(t *testing.T, c *testCell) {
				b := crashingTask(50 * time.Millisecond)
				b.Crash.Downtime = 200 * time.Millisecond
				assert.NilError(t, c.submit(c.follower(), crashingJob, 1, b, nil))
				for c.workers.Starts(crashingTaskName) == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				c.tables.SetFault(refuseAll)
				for range 2000 {
					if c.workers.Starts(crashingTaskName) >= 3 {
						break
					}
					time.Sleep(time.Millisecond)
				}
				c.kill(c.leader())
				time.Sleep(restartTime)
				c.tables.SetFault(nil)
				successor := c.awaitTakeover("")
				time.Sleep(ledFor)
				c.tables.SetFault(refuseAll)
				time.Sleep(100 * time.Millisecond)
				c.kill(successor)
				time.Sleep(restartTime)
				c.tables.SetFault(nil)
				time.Sleep(givenUpWithin)
				c.requireState(c.nodes[c.leader()], crashingJob, job.Failed)
				assert.Assert(t, c.workers.Starts(crashingTaskName) <= 3+2, "%d starts", c.workers.Starts(crashingTaskName))
			})
		})
	}
}
