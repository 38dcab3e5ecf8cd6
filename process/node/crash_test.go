package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
)

const (
	// workerDowntime is how long a crashed worker is away.
	workerDowntime = 3 * time.Second
	// crashingJob is the id of the job whose tasks crash their workers, and crashingTaskName the name of its first task.
	crashingJob, crashingTaskName = "crasher", "crasher.0.0.0"
	// crashingDuration is how long such a task would take.
	crashingDuration = time.Second
	// givenUpWithin is the time within which such a job has failed and the other jobs are completed.
	givenUpWithin = 40 * time.Second
)

// runWithCrashes runs a test in a cell of three instances and a number of workers, whose registry entries follow their crashes.
func runWithCrashes(t *testing.T, workers int, test func(t *testing.T, c *testCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 3, workers)
		defer c.stop()
		c.workers.SetRegistry(backends.Registry{
			Write:  c.writeRegistryEntry,
			Remove: c.removeRegistryEntry,
		})
		test(t, c)
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// crashingTask describes a task that crashes its worker after a delay.
func crashingTask(delay time.Duration) backends.TaskBehavior {
	b := smallTask(crashingDuration)
	b.Crash = &backends.Crash{Delay: delay, Downtime: workerDowntime}
	return b
}

// crashCase is a job of tasks that crash their workers.
type crashCase struct {
	tasks    int
	behavior backends.TaskBehavior
	modify   func(*job.Step)
}

func crashCases() map[string]crashCase {
	newID, soon, service := crashingTask(50*time.Millisecond), crashingTask(50*time.Millisecond), crashingTask(50*time.Millisecond)
	newID.Crash.NewID = true
	soon.Crash.Downtime = 200 * time.Millisecond
	service.Service = true
	return map[string]crashCase{
		"at the start":                    {1, crashingTask(0), nil},
		"after 50 ms":                     {1, crashingTask(50 * time.Millisecond), nil},
		"after most of the duration":      {1, crashingTask(crashingDuration * 9 / 10), nil},
		"workers return under another id": {1, newID, nil},
		"workers return at once":          {1, soon, nil},
		"step of many tasks":              {12, crashingTask(50 * time.Millisecond), nil},
		"gang at the start":               {4, crashingTask(0), func(s *job.Step) { s.Gang = true }},
		"gang":                            {4, crashingTask(50 * time.Millisecond), func(s *job.Step) { s.Gang = true }},
		"service":                         {1, service, nil},
	}
}

// submitOrdinary submits a number of ordinary jobs, waits for an interval after each, and returns their ids.
func (c *testCell) submitOrdinary(name string, jobs int, interval time.Duration) []string {
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%s%d", name, i)
		assert.NilError(c.t, c.submit(c.follower(), id, 2, smallTask(time.Second), nil))
		ids = append(ids, id)
		time.Sleep(interval)
	}
	return ids
}

// requireAllCompleted fails the test unless all of the jobs are reported as completed.
func (c *testCell) requireAllCompleted(ids []string) {
	c.t.Helper()
	for _, id := range ids {
		state, err := c.state(c.nodes[c.leader()], id)
		assert.NilError(c.t, err)
		assert.Equal(c.t, state, job.Completed, "job %s", id)
	}
}

// logCrashes logs the starts of the tasks that crash their workers and the crashes under them.
func (c *testCell) logCrashes(tasks int) {
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", crashingJob, i)
		c.t.Logf("%s: %d starts, %d worker crashes", task, c.workers.Starts(task), c.workers.TaskCrashes(task))
	}
}

// requireGivenUp fails the test unless the crashing job is reported as failed and its tasks were started no more often than
// they may.
func (c *testCell) requireGivenUp() {
	c.t.Helper()
	state, err := c.state(c.nodes[c.leader()], crashingJob)
	assert.NilError(c.t, err)
	assert.Equal(c.t, state, job.Failed, "%d violations: %.300q", len(c.workers.Violations()), c.workers.Violations())
	assert.DeepEqual(c.t, c.workers.Violations(), []string(nil))
}

// requirePaused fails the test unless the crashing job, a service, goes on and its tasks were started no more often than they may.
func (c *testCell) requirePaused() {
	c.t.Helper()
	state, err := c.state(c.nodes[c.leader()], crashingJob)
	assert.NilError(c.t, err)
	assert.Equal(c.t, state, job.Running)
	assert.Assert(c.t, c.workers.Starts(crashingTaskName) > maxCrashesOfAJob, "the service is not started again")
	assert.DeepEqual(c.t, c.workers.Violations(), []string(nil))
}

// maxCrashesOfAJob is the number of crashes after which a job that ends is given up.
const maxCrashesOfAJob = 3

// Guards against a task that is started again and again although each worker that starts it crashes, against a service that is given up
// for that, and against ordinary jobs that fail or never complete beside it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for name, d := range crashCases() {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 8, func(t *testing.T, c *testCell) {
				ids := c.submitOrdinary("before", 3, 200*time.Millisecond)
				assert.NilError(t, c.submit(c.follower(), crashingJob, d.tasks, d.behavior, d.modify))
				ids = append(ids, c.submitOrdinary("beside", 20, 500*time.Millisecond)...)
				time.Sleep(givenUpWithin)
				c.logCrashes(d.tasks)
				c.requireAllCompleted(ids)
				if d.behavior.Service {
					c.requirePaused()
				} else {
					c.requireGivenUp()
				}
			})
		})
	}
}

// killPoint is a number of starts of a task and of crashes under it at which the leader is killed.
type killPoint struct{ starts, crashes int }

// killLeaderAt kills the leader when a task reaches the kill point and starts it again. It reports false if the task has not
// reached the point within 20 s, because it was given up.
func (c *testCell) killLeaderAt(task string, p killPoint) bool {
	for wait := 0; c.workers.Starts(task) < p.starts || c.workers.TaskCrashes(task) < p.crashes; wait++ {
		if wait > 4000 {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	leader := c.leader()
	c.kill(leader)
	time.Sleep(time.Second)
	c.start(leader)
	time.Sleep(3 * time.Second)
	return true
}

// Guards against a new leader that starts to count the crashes under a task from zero.
func TestCrashesAreCountedAcrossTakeovers(t *testing.T) {
	cases := map[string][]killPoint{
		"before the leader notices a crash": {{2, 2}, {4, 4}},
		"after the leader noticed a crash":  {{starts: 3}},
	}
	for name, kills := range cases {
		t.Run(name, func(t *testing.T) {
			runWithCrashes(t, 8, func(t *testing.T, c *testCell) {
				ids := c.submitOrdinary("before", 3, 200*time.Millisecond)
				assert.NilError(t, c.submit(c.follower(), crashingJob, 1, crashingTask(50*time.Millisecond), nil))
				for i, p := range kills {
					killed := c.killLeaderAt(crashingTaskName, p)
					assert.Assert(t, killed || i > 0, "the task was given up before the leader could be killed")
				}
				// Jobs that ended earlier are no longer known afterwards.
				c.requireAllCompleted(ids)
				ids = c.submitOrdinary("after", 10, 500*time.Millisecond)
				time.Sleep(givenUpWithin / 2)
				c.logCrashes(1)
				c.requireAllCompleted(ids)
				c.requireGivenUp()
			})
		})
	}
}

// TestCrashesSurviveStoreOutageAndLostLeader guards against a task that crashes its workers and starts anew with every leader: the
// crashes cannot be stored while the store does not answer, and the leader is lost before it returns.
func TestCrashesSurviveStoreOutageAndLostLeader(t *testing.T) {
	runWithCrashes(t, 12, func(t *testing.T, c *testCell) {
		b := crashingTask(50 * time.Millisecond)
		b.Crash.Downtime = 200 * time.Millisecond
		assert.NilError(t, c.submit(c.follower(), crashingJob, 1, b, nil))
		for c.workers.Starts(crashingTaskName) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		c.tables.SetFault(func(bool) backends.Fault { return backends.FaultRefused })
		for range 2000 {
			if c.workers.Starts(crashingTaskName) >= 3 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.kill(c.leader())
		time.Sleep(500 * time.Millisecond)
		c.tables.SetFault(nil)
		time.Sleep(givenUpWithin)
		c.requireState(c.nodes[c.leader()], crashingJob, job.Failed)
		assert.Assert(t, c.workers.Starts(crashingTaskName) <= 3+2, "%d starts", c.workers.Starts(crashingTaskName))
	})
}
