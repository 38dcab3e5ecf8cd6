package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// answerAdvice answers a request with tickets for the workers whose index is permitted.
func (tc *testCluster) answerAdvice(a *AdviseAction, validity time.Duration, permitted func(i int) bool) {
	var good []backend.Ticket
	for i, id := range a.Workers {
		if permitted(i) {
			good = append(good, backend.Ticket{Worker: id, Ticket: "t-" + id})
		}
	}
	tc.core.AdviceResult(a, good, validity, nil, tc.now)
}

func permitAll(int) bool { return true }

// addWorkers adds the given number of workers.
func (tc *testCluster) addWorkers(count int) {
	for i := range count {
		tc.addWorker(fmt.Sprintf("w%02d", i))
	}
}

// Short advice requests must not wait behind long ones: some instances are reserved for short requests, and an instance
// handles one request at a time.
func TestShortAdviceRequestsDoNotWaitForLongOnes(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(10)
	tc.core.SetAdvisers([]string{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"})
	for i := range 20 {
		tc.addJob(fmt.Sprintf("audit%02d", i), "long", 1, stepWithTasks(2))
	}
	tc.step()
	// Two thirds of the advisers.
	assert.Equal(t, len(tc.adviceRequests), 5)
	used := map[string]bool{}
	for _, a := range tc.adviceRequests {
		assert.Assert(t, !used[a.Adviser])
		used[a.Adviser] = true
	}
	tc.adviceRequests = nil
	for i := range 20 {
		tc.addJob(fmt.Sprintf("booking%02d", i), "short", 1, stepWithTasks(2))
	}
	tc.step()
	assert.Equal(t, len(tc.adviceRequests), 3)
	for _, a := range tc.adviceRequests {
		assert.Assert(t, a.Expected < mediumAdviceThreshold)
	}
	// In a peak of requests that are answered after their expected duration, every booking starts within half a second.
	// A single instance would need longer for the first audits alone.
	waitStart := tc.now
	for tc.now < waitStart+500*time.Millisecond && len(tc.starts) < 40 {
		for _, a := range tc.adviceRequests {
			tc.answerAdvice(a, 2500*time.Millisecond, permitAll)
		}
		tc.adviceRequests = nil
		tc.now += 25 * time.Millisecond
		for i := range 10 {
			tc.answerPoll(fmt.Sprintf("w%02d", i), nil, nil)
		}
		tc.step()
	}
	assert.Equal(t, len(tc.starts), 40)
}

// Requests of medium duration must not wait until the slow ones of a more urgent queue leave an adviser, and must not take the
// last adviser from fast ones either.
func TestSlowAdviceLeavesAdvisersToMediumOnes(t *testing.T) {
	busy := busyAdvisers{slowAdvice: 5}
	assert.Assert(t, !busy.admits(slowAdvice, 8))
	assert.Assert(t, busy.admits(mediumAdvice, 8))
	busy[mediumAdvice] = 1
	assert.Assert(t, !busy.admits(mediumAdvice, 8))
	assert.Assert(t, busy.admits(fastAdvice, 8))
	// A single adviser serves every request.
	assert.Assert(t, busyAdvisers{}.admits(slowAdvice, 1))
}

// Tasks must not start without a ticket or with an expired one, and advice that is known must not be requested again.
func TestTicketsExpireAndAdviceStays(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(4)
	tc.core.SetAdvisers([]string{"i1"})
	tc.addJob("a", "short", 1, stepWithTasks(1, dependsOn()), stepWithTasks(1, dependsOn(0)))
	tc.step()
	first := tc.adviceRequests
	tc.adviceRequests = nil
	assert.Equal(t, len(first), 1)
	assert.Assert(t, len(first[0].Workers) > 1)
	tc.addJob("blocker", "plain", 1, stepWithTasks(16))
	tc.step()
	assert.Equal(t, len(tc.starts), 16)
	running := tc.confirmStarts()
	tc.answerAdvice(first[0], time.Second, func(i int) bool { return i == 0 })
	tc.advance(1500 * time.Millisecond)
	// Capacity becomes free only after the tickets have expired: advice is requested again for the approved worker, but
	// not for rejected ones.
	for i := range 4 {
		id := fmt.Sprintf("w%02d", i)
		var completions []backend.FinishedRun
		for _, r := range running[id] {
			completions = append(completions, tc.completion(id, r.Task, r.Run, backend.ResultDone))
		}
		tc.answerPoll(id, nil, completions)
	}
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.adviceRequests), 1)
	for _, id := range tc.adviceRequests[0].Workers {
		assert.Assert(t, !slices.Contains(first[0].Workers[1:], id))
	}
	tc.answerAdvice(tc.adviceRequests[0], time.Second, permitAll)
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Ticket, "t-"+tc.starts[0].Command.Worker.ID)
}

// A request must not stay assigned to an instance that does not answer.
func TestFailedAdviceRequestUsesAnotherAdviser(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(4)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addJob("a", "short", 1, stepWithTasks(1))
	tc.step()
	failedRequest := tc.adviceRequests[0]
	tc.core.AdviceResult(failedRequest, nil, 0, errNoReply, tc.now)
	tc.adviceRequests = nil
	tc.step()
	assert.Equal(t, len(tc.adviceRequests), 1)
	assert.Assert(t, tc.adviceRequests[0].Adviser != failedRequest.Adviser)
}

// Attempts must not be wasted on a worker on which everything fails, and a healthy worker must not be avoided because
// of a job that fails everywhere.
func TestFaultyWorkerIsAvoided(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(3)
	for i := range 3 {
		id := fmt.Sprintf("job%d", i)
		tc.addJob(id, "plain", 1, stepWithTasks(1))
		tc.step()
		a := tc.starts[0]
		tc.confirmStarts()
		if a.Command.Worker.ID == "w00" {
			tc.answerPoll("w00", nil, []backend.FinishedRun{tc.completion("w00", a.Command.Task, a.Command.Run, backend.ResultFailed)})
		}
	}
	faulty := tc.core.workers["w00"]
	faulty.health = health{}
	for i := range suspectFailedJobs {
		task := fmt.Sprintf("x%d.0.0.0", i)
		tc.addJob(fmt.Sprintf("x%d", i), "plain", 1, stepWithTasks(1))
		tc.answerPoll("w00", nil, []backend.FinishedRun{tc.completion("w00", task, 1, backend.ResultFailed)})
	}
	assert.Assert(t, faulty.health.suspicion.pausedUntil > tc.now)

	// If a job fails on a second worker, the job is at fault.
	tc2 := newTestCluster(t, 1)
	tc2.addWorkers(2)
	tc2.addJob("bad", "plain", 1, stepWithTasks(1))
	tc2.answerPoll("w00", nil, []backend.FinishedRun{tc2.completion("w00", "bad.0.0.0", 1, backend.ResultFailed)})
	assert.Equal(t, tc2.core.workers["w00"].health.suspicion.failedJobsInARow, 1)
	tc2.answerPoll("w01", nil, []backend.FinishedRun{tc2.completion("w01", "bad.0.0.0", 2, backend.ResultFailed)})
	assert.Equal(t, tc2.core.workers["w00"].health.suspicion.failedJobsInARow, 0)
	assert.Equal(t, tc2.core.workers["w01"].health.suspicion.failedJobsInARow, 0)
}

// Tasks that make no progress on a responsive worker are stopped, and tasks that make progress are not.
func TestStalledRunIsStopped(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(2)
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	running := tc.confirmStarts()
	startedAt := tc.now
	for len(tc.stops) == 0 && tc.now < startedAt+5*time.Second {
		for id, list := range running {
			if list[0].Task == "a.0.0.1" {
				list[0].ProgressPercent++
			}
			tc.answerPoll(id, list, nil)
		}
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.stops[0].Command.Task, "a.0.0.0")
	assert.Assert(t, tc.now-startedAt >= stallTimeout)
}

// A run must not count as stalled because its worker has answered a command, while the long poll that began before the run has
// not reported its progress yet.
func TestRunWithoutReportIsNotStalled(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	tc.advance(1200 * time.Millisecond)
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.step()
	assert.Equal(t, len(tc.confirmStarts()["w1"]), 1)
	tc.advance(700 * time.Millisecond)
	assert.Equal(t, len(tc.stops), 0)
}

// A configuration that removes the advice of a queue must not end the leader's process while a request of the queue is
// outstanding.
func TestQueueLosesItsAdviceDuringARequest(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(2)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addJob("a", "long", 1, stepWithTasks(2, func(s *job.Step) { s.Gang = true }))
	tc.step()
	assert.Equal(t, len(tc.adviceRequests), 1)
	tc.core.SetConfig(job.Config{Version: 2, Queues: []job.Queue{{Name: "long", Service: "desk", MaxAttempts: 3}}})
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 2)
	tc.answerAdvice(tc.adviceRequests[0], time.Second, permitAll)
	tc.advance(200 * time.Millisecond)
}
