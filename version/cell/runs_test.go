package cell

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

var errNoReply = errors.New("no answer")

// A job must not fail late or never because its failed runs are read from several workers out of order.
func TestFailuresCountInAnyOrder(t *testing.T) {
	tc := newTestCluster(t, 2)
	for _, id := range []string{"w1", "w2", "w3"} {
		tc.listWorker(id, nil)
	}
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	for i, id := range []string{"w2", "w3", "w1"} {
		run := []int64{2, 3, 1}[i]
		tc.answerPoll(id, nil, []backend.FinishedRun{tc.completion(id, "a.0.0.0", run, backend.ResultFailed)})
	}
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Failed)
}

// The next leader must not count a failed run again, which would fail the job too early.
func TestFailureIsCountedOnce(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	failed := tc.completion("w1", "a.0.0.0", 1, backend.ResultFailed)
	tc.answerPoll("w1", nil, []backend.FinishedRun{failed})
	progress := tc.storeBatches()[0].Progress[0]

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadJob("a", record("plain", 1, stepWithTasks(1)), progress.Data, next.now))
	next.listWorker("w1", nil)
	next.answerPoll("w1", nil, []backend.FinishedRun{failed})
	assert.Equal(t, len(next.core.jobs["a"].occurrences[0].steps[0].tasks[0].failedRuns), 1)
}

// Tasks must be moved from an unresponsive worker, but not before its leases have expired.
func TestUnresponsiveWorkerLosesItsRuns(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	tc.addWorker("w2")
	unresponsiveSince := tc.now
	for tc.now < unresponsiveSince+3*testLease && len(tc.starts) == 0 {
		_, _, ok := tc.core.PreparePoll("w1", tc.now)
		assert.Assert(t, ok)
		tc.core.PollResult("w1", tc.now, backend.PollReply{}, errNoReply, tc.now)
		tc.answerPoll("w2", nil, nil)
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Worker.ID, "w2")
	assert.Equal(t, tc.starts[0].Command.Run, int64(2))
	waited := tc.now - unresponsiveSince
	assert.Assert(t, waited >= testLease && waited < testLease+time.Second, "task moved after %s", waited)
}

// The capacity of an unanswered start must not be released while the start may still be executed.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4))
	lost := tc.starts[0]
	tc.core.StartResult(lost, backend.Reply{}, errNoReply, tc.now)
	tc.starts = tc.starts[1:]
	running := tc.confirmStarts()["w1"]
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	// A poll is sent at once. It does not list the run, whose number is then stopped. Only a poll after the stop releases the
	// capacity.
	assert.DeepEqual(t, tc.polls, []string{"w1"})
	assert.Equal(t, len(tc.stops), 0)
	tc.answerPoll("w1", running, nil)
	tc.step()
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.stops[0].Command.Task, lost.Command.Task)
	tc.answerPoll("w1", running, nil)
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.core.StopResult(tc.stops[0], backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
	tc.now++
	tc.answerPoll("w1", running, nil)
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
}

// A run whose start was executed and only the answer was lost must continue: stopping it would throw its work away, and that
// of all members of its gang.
func TestUnansweredStartThatRunsContinues(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4, func(s *job.Step) { s.Gang = true }))
	lost := tc.starts[0]
	tc.core.StartResult(lost, backend.Reply{}, errNoReply, tc.now)
	tc.starts = tc.starts[1:]
	running := append(tc.confirmStarts()["w1"], backend.ActiveRun{Task: lost.Command.Task, Run: lost.Command.Run})
	tc.step()
	assert.DeepEqual(t, tc.polls, []string{"w1"})
	tc.answerPoll("w1", running, nil)
	tc.advance(2 * unansweredStartTimeout)
	assert.Equal(t, len(tc.stops), 0)
	assert.Equal(t, len(tc.starts), 0)
}

// A worker that answers neither the start nor the poll after it gets the stop of the run number, so that the start cannot
// be executed later, and the capacity stays reserved.
func TestUnansweredStartIsStoppedWithoutPoll(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	lost := tc.starts[0]
	tc.core.StartResult(lost, backend.Reply{}, errNoReply, tc.now)
	tc.starts = nil
	tc.advance(unansweredStartTimeout + 2*sweepInterval)
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.stops[0].Command.Run, lost.Command.Run)
	assert.Equal(t, len(tc.starts), 0)
}

// A stop must be repeated if its answer was lost.
func TestUnansweredStopIsRepeated(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	running := tc.confirmStarts()["w1"]
	tc.core.CancelJob("a", tc.now)
	tc.step()
	tc.core.StopResult(tc.stops[0], backend.Reply{}, errNoReply, tc.now)
	tc.answerPoll("w1", running, nil)
	tc.advance(time.Second)
	assert.Assert(t, len(tc.stops) > 1)
}

// A task must not run again if its start was not answered but was executed and the run finished before the stop.
func TestUnansweredStartFinishedBeforeStop(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.core.StartResult(tc.starts[0], backend.Reply{}, errNoReply, tc.now)
	tc.advance(unansweredStartTimeout + 2*sweepInterval)
	tc.core.StopResult(tc.stops[0], backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
	tc.now++
	tc.starts = nil
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
}

// A completion must not be acknowledged before it is durable.
func TestCompletionsAreAcknowledgedWhenDurable(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.step()
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	first := tc.core.CollectBatch(80)
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "b.0.0.0", 1, backend.ResultDone)})
	acked := func() int64 {
		req, _, _ := tc.core.PreparePoll("w1", tc.now)
		return req.AcknowledgedCompletion
	}
	assert.Equal(t, acked(), int64(0))
	assert.Equal(t, tc.state("a"), job.Running)
	tc.core.BatchStored(first, false, tc.now)
	assert.Equal(t, acked(), int64(0))
	// Only one job is stored: the completion of the other job stays unacknowledged.
	b := tc.core.CollectBatch(1)
	tc.core.BatchStored(b, true, tc.now)
	assert.Assert(t, acked() < 2)
	tc.storeBatches()
	assert.Equal(t, acked(), int64(2))
	assert.Equal(t, tc.state("a"), job.Completed)
}

// A leader must not send further commands after a worker has refused its token.
func TestRefusedTokenEndsTheEpoch(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	tc.core.StartResult(tc.starts[0], backend.Reply{Refusal: backend.RefusedFence}, nil, tc.now)
	assert.Assert(t, tc.core.Superseded())
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.starts = nil
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	_, suspended, ok := tc.core.PreparePoll("w2", tc.now)
	assert.Assert(t, ok && suspended)
}

// Runs of an earlier boot of a worker must not keep their capacity or block their tasks.
func TestWorkerRestartRemovesItsRuns(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4))
	tc.confirmStarts()
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: 5}, StartedMS: 2000}, nil, tc.now+1)
	tc.storeBatches()
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 4)
	assert.Equal(t, tc.starts[0].Command.Run, int64(2))
}

// A poll reply of an earlier boot must not be applied to the current one.
func TestLatePollReplyOfEarlierBoot(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	sentToEarlierBoot := tc.now - time.Millisecond
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: 5}, StartedMS: 2000}, nil, tc.now+1)
	tc.storeBatches()
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(50 * time.Millisecond)
	tc.confirmStarts()
	tc.core.PollResult("w1", sentToEarlierBoot, backend.PollReply{
		Reply: backend.Reply{ClockMS: 90_000}, StartedMS: 1000, Finished: []backend.FinishedRun{{Number: 9, Task: "a.0.0.0", Run: 1, Result: backend.ResultDone}},
	}, nil, tc.now+1)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Running)
}

// If another worker answers at the address, the tasks of the old worker must not wait until its leases expire.
func TestReplacedWorkerLosesItsRuns(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	tc.confirmStarts()
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil, tc.now)
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Worker.ID, "w2")
}

// Completions of a job whose record has not arrived must not be acknowledged and lost.
func TestCompletionWaitsForJobRecord(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.listWorker("w1", nil)
	ended := tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)
	tc.answerPoll("w1", nil, []backend.FinishedRun{ended})
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(0))
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.answerPoll("w1", nil, []backend.FinishedRun{ended})
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
	assert.Equal(t, len(tc.starts), 0)
}

// A cancelled job must not run if the cancellation arrives before the job's record.
func TestCancellationBeforeJobRecord(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.CancelJob("a", tc.now)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Cancelled)
}

// A speculative copy must start beside a slow run if it is permitted, and must not start otherwise.
func TestSpeculativeRunBesideSlowRun(t *testing.T) {
	for _, permitted := range []bool{false, true} {
		tc := newTestCluster(t, 1)
		tc.addWorker("w1")
		tc.addWorker("w2")
		tc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.Speculative = permitted }))
		tc.step()
		first := tc.starts[0].Command.Worker.ID
		running := tc.confirmStarts()[first]
		for range 12 {
			tc.answerPoll("w1", map[bool][]backend.ActiveRun{true: running}[first == "w1"], nil)
			tc.answerPoll("w2", map[bool][]backend.ActiveRun{true: running}[first == "w2"], nil)
			tc.advance(200 * time.Millisecond)
			if len(tc.starts) > 0 {
				break
			}
			running[0].ProgressPercent += 5
		}
		if !permitted {
			assert.Equal(t, len(tc.starts), 0)
			continue
		}
		assert.Equal(t, len(tc.starts), 1)
		second := tc.starts[0].Command
		assert.Assert(t, second.Worker.ID != first && second.Run == 2)
		tc.confirmStarts()
		tc.answerPoll(second.Worker.ID, nil, []backend.FinishedRun{tc.completion(second.Worker.ID, "a.0.0.0", 2, backend.ResultDone)})
		tc.step()
		assert.Equal(t, len(tc.stops), 1)
		assert.Equal(t, tc.stops[0].Command.Worker.ID, first)
		tc.storeBatches()
		assert.Equal(t, tc.state("a"), job.Completed)
	}
}

// A poll must not wait long past the expected completion of a task: a lost answer would hide the completion.
func TestPollWaitsUntilNextCompletion(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 400 }))
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Assert(t, req.Wait > 400*time.Millisecond && req.Wait < 700*time.Millisecond, "%s", req.Wait)
}

// A queued start must not be sent after its task was cancelled or while the leadership is uncertain.
func TestObsoleteStartIsWithdrawn(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.step()
	assert.Equal(t, len(tc.starts), 2)
	cancelled, needed := tc.starts[0], tc.starts[1]
	tc.core.CancelJob(job.ID("a"), tc.now)
	if cancelled.Command.Task != "a.0.0.0" {
		cancelled, needed = needed, cancelled
	}
	assert.Assert(t, !tc.core.StartNeeded(cancelled, tc.now))
	assert.Assert(t, tc.core.StartNeeded(needed, tc.now))
	tc.core.AllowCommandsUntil(tc.now)
	assert.Assert(t, !tc.core.StartNeeded(needed, tc.now))
	tc.core.StartWithdrawn(cancelled, tc.now)
	tc.core.StartWithdrawn(needed, tc.now)
	tc.core.AllowCommandsUntil(tc.now + time.Hour)
	tc.starts = nil
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "b.0.0.0")
}

// A run that was started between the restart of its worker and the news of it runs on the new boot. It must not be dropped
// with those of the earlier boot, or its task would run twice.
func TestRunStartedAfterUnnoticedRestart(t *testing.T) {
	cases := map[string]struct {
		listed, silent bool
		// startsAfter is the time after which the task starts again, within a second.
		startsAfter time.Duration
	}{
		"the new boot lists the run":          {listed: true},
		"the new boot does not list the run":  {},
		"the new boot does not answer a poll": {silent: true, startsAfter: maxLocalDuration(testLease + lateCallAllowance)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.now += tc.core.recoveryBound(testLease)
			tc.addWorker("w1")
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			tc.step()
			running := tc.confirmStarts()["w1"]
			tc.addWorker("w2")
			tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
			noticedAt := tc.now
			tc.advance(50 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 0)
			assert.DeepEqual(t, tc.polls, []string{"w1"})
			if !c.listed {
				running = nil
			}
			for len(tc.starts) == 0 && tc.now < noticedAt+2*testLease {
				if !c.silent {
					reply := backend.PollReply{Reply: backend.Reply{ClockMS: (tc.now - noticedAt).Milliseconds() + 5}, StartedMS: 2000, Running: running}
					_, _, _ = tc.core.PreparePoll("w1", tc.now)
					tc.core.PollResult("w1", tc.now, reply, nil, tc.now+1)
				}
				tc.answerPoll("w2", nil, nil)
				tc.advance(20 * time.Millisecond)
			}
			waited := tc.now - noticedAt
			assert.Equal(t, len(tc.starts) == 0, c.listed)
			assert.Assert(t, c.listed || (waited >= c.startsAfter && waited < c.startsAfter+time.Second), "started after %s", waited)
		})
	}
}

// A worker that may have restarted since its last answer must not be told to forget completions: the numbers of the new boot
// start again, so that it would forget completions that nobody has read, and their tasks would start again.
func TestNoAcknowledgementAfterUnansweredPoll(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	tc.storeBatches()
	acknowledged := func() int64 {
		req, _, _ := tc.core.PreparePoll("w1", tc.now)
		return req.AcknowledgedCompletion
	}
	assert.Equal(t, acknowledged(), int64(1))
	tc.core.PollResult("w1", tc.now, backend.PollReply{}, errNoReply, tc.now)
	assert.Equal(t, acknowledged(), int64(0))
	tc.answerPoll("w1", nil, nil)
	assert.Equal(t, acknowledged(), int64(1))
	tc.answerPoll("w1", nil, nil)
	assert.Equal(t, acknowledged(), int64(0), "the worker has received it")
}

// Guards against commands after the time that a successor assumes: the process may have been suspended since the last round, so that
// each command has to compare the time itself.
func TestCommandsEndInTime(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	paused := func() bool {
		_, paused, ok := tc.core.PreparePoll("w1", tc.now)
		assert.Assert(t, ok)
		return paused
	}
	tc.core.AllowCommandsUntil(tc.now + time.Second)
	assert.Assert(t, !paused())
	assert.Assert(t, tc.core.StartNeeded(tc.starts[0], tc.now))
	tc.now += time.Second
	assert.Assert(t, !tc.core.StartNeeded(tc.starts[0], tc.now))
	assert.Assert(t, paused())
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 1)
	tc.core.AllowCommandsUntil(tc.now + time.Second)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 2)
	tc.core.EndCommands()
	tc.core.AllowCommandsUntil(tc.now + time.Hour)
	assert.Assert(t, paused())
}
