package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// answerAdvice permits the asked workers whose index keep says, with tickets for a time.
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

// addWorkers lists workers.
func (tc *testCluster) addWorkers(count int) {
	for i := range count {
		tc.addWorker(fmt.Sprintf("w%02d", i))
	}
}

// Guards against short questions that wait behind long ones: some instances are kept for short questions, and an instance
// is asked one question at a time.
func TestShortAdviceRequestsDoNotWaitForLongOnes(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(10)
	tc.core.SetAdvisers([]string{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"})
	for i := range 20 {
		tc.addJob(fmt.Sprintf("audit%02d", i), "long", 1, stepWithTasks(2))
	}
	tc.step()
	assert.Equal(t, len(tc.adviceRequests), 8-advisersReservedForShort(8))
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
	assert.Equal(t, len(tc.adviceRequests), advisersReservedForShort(8))
	for _, a := range tc.adviceRequests {
		assert.Assert(t, a.Expected < longAdviceThreshold)
	}
	// The backlog of an advice peak: with answers after their expected time, every booking starts within half a second,
	// while one instance alone would have needed longer for the first audits already.
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

// Guards against starts without a ticket, with one that has run out, and against questions whose answers are known.
func TestTicketsExpireAndAdviceStays(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(4)
	tc.core.SetAdvisers([]string{"i1"})
	tc.addJob("a", "short", 1, stepWithTasks(1, dependsOn()), stepWithTasks(1, dependsOn(0)))
	tc.addJob("blocker", "plain", 1, stepWithTasks(16))
	tc.step()
	assert.Equal(t, len(tc.starts), 16)
	running := tc.confirmStarts()
	first := tc.adviceRequests
	tc.adviceRequests = nil
	if len(first) == 1 {
		tc.answerAdvice(first[0], time.Second, func(i int) bool { return i == 0 })
	}
	tc.advance(1500 * time.Millisecond)
	// Room appears only after the tickets have run out: the good worker is asked about again, bad ones are not.
	for i := range 4 {
		id := fmt.Sprintf("w%02d", i)
		var ends []backend.EndedTask
		for _, r := range running[id] {
			ends = append(ends, tc.completion(id, r.Task, r.Run, backend.EndDone))
		}
		tc.answerPoll(id, nil, ends)
	}
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.adviceRequests), 1)
	if len(first) == 1 {
		bad := first[0].Workers[1:]
		for _, id := range tc.adviceRequests[0].Workers {
			for _, b := range bad {
				assert.Assert(t, id != b)
			}
		}
	}
	tc.answerAdvice(tc.adviceRequests[0], time.Second, permitAll)
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Order.Ticket, "t-"+tc.starts[0].Order.Worker.ID)
}

// Guards against an instance without an answer that keeps its question for ever.
func TestFailedAdviceRequestUsesAnotherAdviser(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(4)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	tc.addJob("a", "short", 1, stepWithTasks(1))
	tc.step()
	asked := tc.adviceRequests[0]
	tc.core.AdviceResult(asked, nil, 0, errNoReply, tc.now)
	tc.adviceRequests = nil
	tc.step()
	assert.Equal(t, len(tc.adviceRequests), 1)
	assert.Assert(t, tc.adviceRequests[0].Adviser != asked.Adviser)
}

// Guards against attempts that are burnt on a worker that fails everything, and against a sound worker that is avoided
// because of a job that fails everywhere.
func TestFaultyWorkerIsAvoided(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(3)
	for i := range 3 {
		id := fmt.Sprintf("job%d", i)
		tc.addJob(id, "plain", 1, stepWithTasks(1))
		tc.step()
		a := tc.starts[0]
		tc.confirmStarts()
		if a.Order.Worker.ID == "w00" {
			tc.answerPoll("w00", nil, []backend.EndedTask{tc.completion("w00", a.Order.Task, a.Order.Run, backend.EndFailed)})
		}
	}
	faulty := tc.core.workers["w00"]
	faulty.health = health{}
	for i := range suspectFailedJobs {
		task := fmt.Sprintf("x%d.0.0.0", i)
		tc.addJob(fmt.Sprintf("x%d", i), "plain", 1, stepWithTasks(1))
		tc.answerPoll("w00", nil, []backend.EndedTask{tc.completion("w00", task, 1, backend.EndFailed)})
	}
	assert.Assert(t, faulty.health.suspectUntil > tc.now)

	// A job that fails on a second worker is at fault itself.
	tc2 := newTestCluster(t, 1)
	tc2.addWorkers(2)
	tc2.addJob("bad", "plain", 1, stepWithTasks(1))
	tc2.answerPoll("w00", nil, []backend.EndedTask{tc2.completion("w00", "bad.0.0.0", 1, backend.EndFailed)})
	assert.Equal(t, tc2.core.workers["w00"].health.failedJobsInARow, 1)
	tc2.answerPoll("w01", nil, []backend.EndedTask{tc2.completion("w01", "bad.0.0.0", 2, backend.EndFailed)})
	assert.Equal(t, tc2.core.workers["w00"].health.failedJobsInARow, 0)
	assert.Equal(t, tc2.core.workers["w01"].health.failedJobsInARow, 0)
}

// Guards against tasks that stand still on a worker that answers, and against moving those that progress.
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
				list[0].Percent++
			}
			tc.answerPoll(id, list, nil)
		}
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.stops[0].Order.Task, "a.0.0.0")
	assert.Assert(t, tc.now-startedAt >= stallTimeout)
}
