package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// submitServices submits jobs of two service tasks each and returns the names of the tasks, which run.
func (c *testCell) submitServices(jobs int) []string {
	behavior := smallTask(time.Hour)
	behavior.Service = true
	var tasks []string
	for i := range jobs {
		id := fmt.Sprintf("service%d", i)
		assert.NilError(c.t, c.submit(c.follower(), id, 2, behavior, nil))
		tasks = append(tasks, id+".0.0.0", id+".0.0.1")
	}
	time.Sleep(2 * time.Second)
	for _, task := range tasks {
		assert.Equal(c.t, len(c.workers.RunningOn(task)), 1, task)
	}
	return tasks
}

// onePerWorker returns one task of each worker but one. A worker on which the tasks of several jobs fail is avoided for some seconds.
func (c *testCell) onePerWorker(except string, tasks []string) []string {
	var chosen []string
	seen := map[string]bool{except: true}
	for _, task := range tasks {
		if worker := c.workers.RunningOn(task)[0]; !seen[worker] {
			seen[worker] = true
			chosen = append(chosen, task)
		}
	}
	return chosen
}

// failAll ends the runs of tasks as failed.
func (c *testCell) failAll(tasks []string) {
	for _, task := range tasks {
		c.workers.Fail(task)
	}
}

// requireRunning fails the test unless each of the tasks has one run.
func (c *testCell) requireRunning(tasks []string) {
	c.t.Helper()
	for _, task := range tasks {
		assert.Check(c.t, len(c.workers.RunningOn(task)) == 1, "%s is away", task)
	}
}

// Guards against service tasks that fail on living workers and stay away after takeovers, because a worker on which they did not run is lost.
func TestFailedServiceTasksDoNotWaitForLostWorkers(t *testing.T) {
	const bound = 2 * time.Second
	for takeovers := 1; takeovers <= 2; takeovers++ {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 5, 6)
				defer c.stop()
				tasks := c.submitServices(6)
				failing := c.onePerWorker("w00", tasks)
				assert.Equal(t, len(failing), 5)
				c.workers.Remove("w00")
				old := c.leader()
				c.kill(old)
				c.failAll(failing)
				next := c.awaitLeaderOtherThan(old)
				for range takeovers - 1 {
					c.kill(next)
					next = c.awaitLeaderOtherThan(next)
				}
				time.Sleep(bound)
				c.requireRunning(failing)
				time.Sleep(20 * time.Second)
				c.requireRunning(tasks)
				assert.DeepEqual(t, c.workers.Violations(), []string(nil))
			})
		})
	}
}

// Guards against service tasks that run twice, or stay away, when a leader that is cut off from the store and the instances goes on with some of
// the workers while tasks fail on both sides, and the next leader is lost as well.
func TestServiceTasksRunOnceBesideACutOffLeader(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.useLongLeases()
		tasks := c.submitServices(4)
		failing := c.onePerWorker("", tasks)
		assert.Equal(t, len(failing), 4)
		old := c.cutOffLeader("w00", "w01")
		c.failAll(failing)
		next := c.awaitLeaderOtherThan(old)
		time.Sleep(time.Second)
		c.failAll(tasks[:2])
		c.kill(next)
		time.Sleep(12 * time.Second)
		c.start(next)
		c.rejoinLeader(old)
		time.Sleep(20 * time.Second)
		c.requireRunning(tasks)
	})
}

// Guards against a leader that relies on records of starts although a leader of an earlier program, which writes none, has led since.
func TestStartsAreRecordedSinceTheLastEarlierProgram(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		since := func() (epoch, since uint64) {
			var row leaderRow
			assert.NilError(t, json.Unmarshal(c.tables.Rows(leaderTable)[leaderKey.Key].Value, &row))
			return row.Epoch, row.StartsRecordedSince
		}
		old := c.leader()
		c.kill(old)
		c.awaitLeaderOtherThan(old)
		epoch, recordedSince := since()
		assert.Assert(t, epoch > 1 && recordedSince == 1, "epoch %d, since %d", epoch, recordedSince)
		c.start(old)
		c.claimLate(old)
		time.Sleep(5 * time.Second)
		last, recordedSince := since()
		assert.Equal(t, last, epoch+2)
		assert.Equal(t, recordedSince, last)
	})
}
