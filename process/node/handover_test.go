package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against work that is repeated because an instance that has restarted takes its empty replica for a whole one: it joined a
// successor before the instance that holds the results did, and leads next.
func TestRestartedInstanceWaitsForTheResultsOfOthers(t *testing.T) {
	for _, lostAfter := range []time.Duration{20, 100, 200, 300} {
		lostAfter := lostAfter * time.Millisecond
		t.Run(fmt.Sprint(lostAfter), func(t *testing.T) {
			runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
				holder, first := c.loseAllButAFollower()
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

// Guards against results of a former leader that are lost with its successor, because the instance that held them is no candidate any
// longer and forgets them when it hands them over.
func TestInstanceThatIsNoCandidateKeepsWhatItHandsOver(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		assert.NilError(t, c.submit(c.follower(), "a", 1, smallTask(time.Minute), nil))
		time.Sleep(300 * time.Millisecond)
		l, holder := c.nodes[c.leader()].loadedLeadership(), c.follower()
		c.tables.SetFault(refuseAll)
		c.isolate(holder.opts.Instance)
		for i := range maxCandidates {
			l.handleJoin(&peerpb.Join{Instance: fmt.Sprint("large", i), CpuShare: 8})
		}
		former := newResultReplica(l.epoch - 1)
		former.merge(&peerpb.JoinReply{Epoch: former.epoch, UnstoredJobs: []string{"a"}, UnstoredSequence: 7})
		holder.mu.Lock()
		holder.replica = former
		holder.replica.handOver = true
		holder.mu.Unlock()
		join := holder.joinRequest()
		reply := l.handleJoin(join)
		assert.Assert(t, !reply.GetCandidate())
		requireHeld := func(want int) {
			t.Helper()
			holder.mu.Lock()
			defer holder.mu.Unlock()
			holder.updateReplica(join, reply)
			assert.Equal(t, holder.replica.epoch, l.epoch)
			assert.Equal(t, holder.replica.size(), want)
		}
		requireHeld(1)
		c.tables.SetFault(nil)
		time.Sleep(time.Second)
		join = holder.joinRequest()
		reply = l.handleJoin(join)
		requireHeld(0)
	})
}

// Guards against work that is repeated because the results of a former leader count as durable when its successor resigns, which has not
// received them: an instance that has restarted leads next and does not wait for those of others.
func TestResignationDoesNotHideTheResultsOfOthers(t *testing.T) {
	for _, resignsAfter := range []time.Duration{0, 20, 100, 300} {
		resignsAfter := resignsAfter * time.Millisecond
		t.Run(fmt.Sprint(resignsAfter), func(t *testing.T) {
			runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
				holder, first := c.loseAllButAFollower()
				time.Sleep(resignsAfter)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				c.nodes[first].Leave(ctx)
				cancel()
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

// loseAllButAFollower crashes the workers and restarts all instances but one in an outage of the store. The remaining one, the holder of the
// results, reaches neither the store nor the others when the store is back. It returns when the first of the restarted instances leads.
func (c *testCell) loseAllButAFollower() (holder, first string) {
	c.t.Helper()
	c.startOutage()
	c.crashAllWorkers(workersDowntime)
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
	c.isolate(holder)
	c.setStoreFault(holder, refusedFault)
	c.tables.SetFault(nil)
	return holder, c.awaitTakeover("")
}
