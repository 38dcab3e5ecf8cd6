package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
)

const (
	// shownTasks is the number of tasks of the job whose state is watched, each of which runs for shownTaskTime.
	shownTasks, shownTaskTime = 12, time.Second
	// watchInterval is the time between two requests for its state.
	watchInterval = 25 * time.Millisecond
	// workersDowntime is how long crashed workers are away, and restartTime how long a killed instance is.
	workersDowntime, restartTime = 300 * time.Millisecond, 500 * time.Millisecond
	// longDowntime lasts until the instances have been in touch with the store for over 3 s again. Only then do the rules forbid a start.
	longDowntime = 8 * time.Second
)

// startOutage submits job a and watches its state; the store refuses all calls shortly after the job has started. It returns when
// all tasks have ended.
func (c *testCell) startOutage() {
	c.t.Helper()
	assert.NilError(c.t, c.submit(c.follower(), "a", shownTasks, smallTask(shownTaskTime), nil))
	time.Sleep(300 * time.Millisecond)
	c.tables.SetFault(refuseAll)
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(watchInterval) {
		c.showState("a")
	}
}

// showState requests the state of a job from all live instances, as callers do. The workers record whether it is completed.
func (c *testCell) showState(id string) {
	for name, n := range c.nodes {
		c.mu.Lock()
		down := c.down[name]
		c.mu.Unlock()
		if !down {
			// An instance that cannot tell the state shows nothing.
			_, _ = c.state(n, id)
		}
	}
}

// crashAllWorkers crashes all workers, which forget the completions that were not acknowledged.
func (c *testCell) crashAllWorkers(downtime time.Duration) {
	c.workers.Crash(backends.Crash{Downtime: downtime}, "w00", "w01", "w02", "w03")
}

// requireCompletedInTheEnd ends the outage and fails the test unless the job is completed some time after it.
func (c *testCell) requireCompletedInTheEnd() {
	c.t.Helper()
	c.tables.SetFault(nil)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(watchInterval) {
		c.showState("a")
	}
	c.requireState(c.nodes[c.leader()], "a", job.Completed)
}

// requireOneStartEach fails the test if a task of job a started again.
func (c *testCell) requireOneStartEach() {
	c.t.Helper()
	for i := range shownTasks {
		assert.Equal(c.t, c.workers.Starts(fmt.Sprintf("a.0.0.%d", i)), 1)
	}
}

// names returns the names of all instances.
func (c *testCell) names() []string {
	var names []string
	for i := range len(c.nodes) {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	return names
}

// Guards against tasks of a job that callers were shown as completed and that start again, because all instances were lost while the
// store was away, and with them the only record of the completion.
func TestShownJobStaysCompletedWhenAllInstancesAreLost(t *testing.T) {
	for name, downtime := range map[string]time.Duration{
		"with the workers": workersDowntime, "with the workers for longer": longDowntime, "without the workers": 0,
	} {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
				c.startOutage()
				if downtime > 0 {
					c.crashAllWorkers(downtime)
				}
				for _, name := range c.names() {
					c.kill(name)
				}
				time.Sleep(restartTime)
				for _, name := range c.names() {
					c.start(name)
				}
				time.Sleep(2 * time.Second)
				c.requireCompletedInTheEnd()
			})
		})
	}
}

// Guards against tasks of a completed job that start again, whether callers were shown it or not, because a successor was lost shortly
// after its takeover, together with the results that the other instances had handed to it. One of those stays alive.
func TestShownJobStaysCompletedAfterShortLeaderships(t *testing.T) {
	for _, ledFor := range []time.Duration{0, 2, 5, 10, 50, 200} {
		for _, restarts := range []bool{false, true} {
			for _, lostAfter := range []time.Duration{25, 50, 75, 100, 250} {
				ledFor, lostAfter := ledFor*time.Millisecond, lostAfter*time.Millisecond
				t.Run(fmt.Sprintf("led for %v, lost after %v, restarts %v", ledFor, lostAfter, restarts), func(t *testing.T) {
					runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
						c.startOutage()
						c.loseTwoLeaders(ledFor, lostAfter, restarts)
						c.requireCompletedInTheEnd()
						c.requireOneStartEach()
					})
				})
			}
		}
	}
}

// loseTwoLeaders crashes the workers and kills the leader in an outage of the store, lets a successor lead for a while, and kills that one
// in a second outage.
func (c *testCell) loseTwoLeaders(ledFor, lostAfter time.Duration, restarts bool) {
	c.crashAllWorkers(workersDowntime)
	c.kill(c.leader())
	time.Sleep(restartTime)
	c.tables.SetFault(nil)
	successor := c.awaitTakeover("")
	time.Sleep(ledFor)
	c.tables.SetFault(refuseAll)
	time.Sleep(lostAfter)
	c.kill(successor)
	time.Sleep(100 * time.Millisecond)
	if restarts {
		c.start(successor)
	}
	time.Sleep(200 * time.Millisecond)
}

// refusedFault is the fault of an outage of the table service, and refuseAll lets all calls fail with it.
const refusedFault = backends.FaultRefused

func refuseAll(bool) backends.Fault { return refusedFault }

// awaitTakeover waits until an instance other than the former one leads, whether its state is loaded or not, and returns its name.
func (c *testCell) awaitTakeover(former string) string {
	c.t.Helper()
	for range 20_000 {
		for name, n := range c.nodes {
			c.mu.Lock()
			down := c.down[name]
			c.mu.Unlock()
			if name != former && !down && n.currentLeadership() != nil {
				return name
			}
		}
		time.Sleep(time.Millisecond)
	}
	c.t.Fatal("no instance takes over")
	return ""
}

// Guards against tasks of a job that callers were shown as completed and that start again, because the write of its final state counted as
// done while the store had not executed it, or executed it late: all instances and workers are lost around that time.
func TestShownJobStaysCompletedWhileWritesAreLate(t *testing.T) {
	for _, txnTime := range []time.Duration{250 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		for _, lostAfter := range []time.Duration{800, 1100, 1400, 1700, 2000, 2600, 3200, 4000} {
			lostAfter := lostAfter * time.Millisecond
			t.Run(fmt.Sprintf("%v, lost after %v", txnTime, lostAfter), func(t *testing.T) {
				runWithCrashes(t, 4, func(t *testing.T, c *testCell) {
					defer c.lateCalls.Wait()
					assert.NilError(t, c.submit(c.follower(), "a", shownTasks, smallTask(shownTaskTime), nil))
					time.Sleep(300 * time.Millisecond)
					c.slow.setSpeed(20*time.Millisecond, txnTime)
					for end := time.Now().Add(lostAfter); time.Now().Before(end); time.Sleep(watchInterval) {
						c.showState("a")
					}
					c.crashAllWorkers(workersDowntime)
					for _, name := range c.names() {
						c.kill(name)
					}
					c.slow.setSpeed(0, 0)
					for _, name := range c.names() {
						c.start(name)
					}
					c.requireCompletedInTheEnd()
				})
			})
		}
	}
}

// formerLeaderOfACompletedJob returns a leader that has lost the store and does not know of its successor, which has shown job a as completed.
func (c *testCell) formerLeaderOfACompletedJob() string {
	former := c.leader()
	assert.NilError(c.t, c.submit(c.follower(), "a", 4, smallTask(1500*time.Millisecond), nil))
	time.Sleep(300 * time.Millisecond)
	c.mu.Lock()
	c.sides[former], c.relaysFail = 1, true
	c.mu.Unlock()
	c.setStoreFault(former, backends.FaultNoAnswer)
	successor := c.awaitTakeover(former)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(watchInterval) {
		if state, err := c.state(c.nodes[successor], "a"); err == nil && state == job.Completed {
			break
		}
	}
	c.requireState(c.nodes[successor], "a", job.Completed)
	assert.Assert(c.t, c.nodes[former].loadedLeadership() != nil, "the former leader must not know of its successor")
	return former
}

// Guards against a job that callers were shown as completed and that a former leader, which does not know of its successor yet, shows as
// running: it cannot write for a while, as after a pause of its process, and answers from its memory when it goes on.
func TestFormerLeaderShowsNoEarlierState(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		former := c.formerLeaderOfACompletedJob()
		c.setStoreFault(former, backends.FaultNone)
		for range 40 {
			if state, err := c.state(c.nodes[former], "a"); err == nil {
				assert.Equal(t, state, job.Completed)
			}
			time.Sleep(watchInterval)
		}
	})
}

// Guards against a leader that shows a job as completed, since the store says so, and as running again when the store is silent.
func TestLeaderKeepsTheFinalStateThatItHasShown(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		former := c.formerLeaderOfACompletedJob()
		l := c.nodes[former].loadedLeadership()
		c.setStoreFault(former, backends.FaultNone)
		assert.Equal(t, l.jobState(t.Context(), "a"), job.Completed)
		c.setStoreFault(former, backends.FaultNoAnswer)
		state, _ := l.core.State("a")
		assert.Assert(t, !state.Terminal())
		assert.Equal(t, l.jobState(t.Context(), "a"), job.Completed)
	})
}
