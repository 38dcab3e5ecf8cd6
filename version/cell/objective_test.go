package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// occupyWorker starts four tasks of a job on w1, which has four cores.
func (tc *testCluster) occupyWorker(id string, r job.Record) {
	tc.core.AddJob(job.ID(id), r, tc.now)
	tc.advance(120 * time.Millisecond)
	assert.Equal(tc.t, len(tc.starts), 4)
}

// nextStart ends one run and returns the job of the task that starts in its place.
func (tc *testCluster) nextStart(running []backend.ActiveRun) job.ID {
	ended := tc.completion("w1", running[0].Task, running[0].Run, backend.ResultDone)
	tc.answerPoll("w1", running[1:], []backend.FinishedRun{ended})
	tc.storeBatches()
	tc.step()
	assert.Equal(tc.t, len(tc.starts), 1)
	name, _ := job.ParseTaskName(tc.starts[0].Command.Task)
	return name.Job
}

// Guards against a small job that never starts, though it was accepted, once it is late: a job with more work than the workers do in minutes is due
// before it, and another one with time to spare is on time.
func TestLateSmallJobStartsBesideABacklog(t *testing.T) {
	for name, backlog := range map[string]func(tc *testCluster) job.Record{
		"schedule due for long": func(tc *testCluster) job.Record {
			r := tc.recurringRecord(20_000, time.Second, stepWithTasks(1))
			r.Spec.StartAtMS -= 20_000_000
			return r
		},
		"wide job on time": func(*testCluster) job.Record { return record("plain", 1, stepWithTasks(5000)) },
		"wide job of unknown duration": func(*testCluster) job.Record {
			return record("plain", 1, stepWithTasks(5000, func(s *job.Step) { s.EstimateMS = 0 }))
		},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.addWorker("w1")
			tc.occupyWorker("a", backlog(tc))
			running := tc.confirmStarts()["w1"]
			tc.addJob("b", "plain", 1, stepWithTasks(1))
			for range 60 {
				tc.answerPoll("w1", running, nil)
				tc.advance(time.Second)
			}
			assert.Equal(t, len(tc.starts), 0)
			if name == "wide job of unknown duration" {
				// What it has had tells its size.
				tc.core.jobs["a"].usedCPU = 1e6
				tc.core.sweep()
			}
			assert.Equal(t, tc.nextStart(running), job.ID("b"))
		})
	}
}

// Guards against an occurrence that counts as late because its job was accepted long before it is due.
func TestOccurrenceIsOnTimeFromItsDueTime(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.occupyWorker("a", record("plain", 1, stepWithTasks(4)))
	running := tc.confirmStarts()["w1"]
	tc.addJob("late", "plain", 1, stepWithTasks(1))
	tc.step()
	r := tc.recurringRecord(2, time.Hour, stepWithTasks(1))
	r.Spec.StartAtMS += 30_000
	tc.core.AddJob("due", r, tc.now)
	for tc.now < time.Hour+30*time.Second+200*time.Millisecond {
		tc.answerPoll("w1", running, nil)
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, tc.nextStart(running), job.ID("due"))
	assert.Assert(t, tc.core.lateness(tc.core.jobs["due"]) < 0)
}

// Guards against an objective that ignores how many tasks of a step run at the same time: a wide job would count as late from its first second on.
func TestObjectiveOfAWideJobCountsItsWaves(t *testing.T) {
	j := &jobState{record: record("plain", 1, stepWithTasks(320), stepWithTasks(4, dependsOn(0))), queue: job.Queue{Stretch: 1.5, ObjectiveMS: 250}}
	// A quarter of 128 cores runs 32 tasks of one core at a time, for a second each.
	assert.Equal(t, newEstimate(j, 1, 128_000).duration, 16750*time.Millisecond)
	assert.Equal(t, newEstimate(j, 1, 0).duration, 3250*time.Millisecond)
}

// Guards against a job on time that needs placement advice and never starts: steps that can wait have tickets for every worker and take
// its capacity as soon as it is free, before the job can ask about it.
func TestJobOnTimeGetsAdviceBesideABacklogWithTickets(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.SetAdvisers([]string{"i1", "i2"})
	settle := func() {
		for range 3 {
			tc.step()
			requests := tc.adviceRequests
			tc.adviceRequests = nil
			for _, a := range requests {
				tc.answerAdvice(a, time.Hour, permitAll)
			}
		}
	}
	tc.addJob("a", "short", 1, stepWithTasks(5000))
	settle()
	assert.Equal(t, len(tc.starts), 4)
	running := tc.confirmStarts()["w1"]
	tc.addJob("b", "short", 1, stepWithTasks(1))
	for range 5 {
		tc.advance(100 * time.Millisecond)
		tc.answerPoll("w1", running[1:], []backend.FinishedRun{tc.completion("w1", running[0].Task, running[0].Run, backend.ResultDone)})
		tc.storeBatches()
		settle()
		for _, a := range tc.starts {
			if name, _ := job.ParseTaskName(a.Command.Task); name.Job == "b" {
				return
			}
		}
		running = append(running[1:], tc.confirmStarts()["w1"]...)
	}
	t.Fatal("the job did not start")
}
