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

// Guards against a job that fails late or never because its failed runs are read from several workers out of order.
func TestFailuresCountInAnyOrder(t *testing.T) {
	tc := newTestCluster(t, 2)
	for _, id := range []string{"w1", "w2", "w3"} {
		tc.listWorker(id, nil)
	}
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	for i, id := range []string{"w2", "w3", "w1"} {
		run := []int64{2, 3, 1}[i]
		tc.answerPoll(id, nil, []backend.EndedTask{tc.completion(id, "a.0.0.0", run, backend.EndFailed)})
	}
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Failed)
}

// Guards against a failed run that is counted again by the next leader, which would fail a job too early.
func TestFailureIsCountedOnce(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	failed := tc.completion("w1", "a.0.0.0", 1, backend.EndFailed)
	tc.answerPoll("w1", nil, []backend.EndedTask{failed})
	progress := tc.storeBatches()[0].Progress[0]

	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadProgress("a", record("plain", 1, stepWithTasks(1)), progress.Data, next.now))
	next.listWorker("w1", nil)
	next.answerPoll("w1", nil, []backend.EndedTask{failed})
	assert.Equal(t, len(next.core.jobs["a"].occurrences[0].steps[0].tasks[0].failedRuns), 1)
}

// Guards against work that is never moved from a worker that has fallen silent, and against moving it before its leases
// have lapsed.
func TestUnresponsiveWorkerLosesItsRuns(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	tc.addWorker("w2")
	silentSince := tc.now
	for tc.now < silentSince+3*testLease && len(tc.starts) == 0 {
		_, _, ok := tc.core.PreparePoll("w1", tc.now)
		assert.Assert(t, ok)
		tc.core.PollResult("w1", tc.now, backend.PollReply{}, errNoReply, tc.now)
		tc.answerPoll("w2", nil, nil)
		tc.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Order.Worker.ID, "w2")
	assert.Equal(t, tc.starts[0].Order.Run, int64(2))
	waited := tc.now - silentSince
	assert.Assert(t, waited >= testLease && waited < testLease+time.Second, "moved after %s", waited)
}

// Guards against capacity that is given away while a start without an answer may still be carried out.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4))
	lost := tc.starts[0]
	tc.core.StartResult(lost, backend.Reply{}, errNoReply, tc.now)
	tc.starts = tc.starts[1:]
	running := tc.confirmStarts()["w1"]
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	// The number is stopped at once, and only a poll after the stop frees the capacity.
	assert.Equal(t, len(tc.stops), 1)
	assert.Equal(t, tc.stops[0].Order.Task, lost.Order.Task)
	tc.answerPoll("w1", running, nil)
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.core.StopResult(tc.stops[0], backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
	tc.now++
	tc.answerPoll("w1", running, nil)
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against a stop whose answer was lost and that is never repeated.
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

// Guards against a start without an answer that is done twice, because it was carried out and ended before the stop.
func TestUnansweredStartFinishedBeforeStop(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.core.StartResult(tc.starts[0], backend.Reply{}, errNoReply, tc.now)
	tc.step()
	tc.core.StopResult(tc.stops[0], backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
	tc.now++
	tc.starts = nil
	tc.answerPoll("w1", nil, []backend.EndedTask{tc.completion("w1", "a.0.0.0", 1, backend.EndDone)})
	tc.advance(300 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
}

// Guards against an acknowledgement of an end that is not durable.
func TestCompletionsAreAcknowledgedWhenDurable(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.step()
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.EndedTask{tc.completion("w1", "a.0.0.0", 1, backend.EndDone)})
	first := tc.core.CollectBatch(80)
	tc.answerPoll("w1", nil, []backend.EndedTask{tc.completion("w1", "b.0.0.0", 1, backend.EndDone)})
	acked := func() int64 {
		req, _, _ := tc.core.PreparePoll("w1", tc.now)
		return req.Acked
	}
	assert.Equal(t, acked(), int64(0))
	assert.Equal(t, tc.state("a"), job.Running)
	tc.core.BatchStored(first, false, tc.now)
	assert.Equal(t, acked(), int64(0))
	// One job at a time: the end of the other stays unacknowledged.
	b := tc.core.CollectBatch(1)
	tc.core.BatchStored(b, true, tc.now)
	assert.Assert(t, acked() < 2)
	tc.storeBatches()
	assert.Equal(t, acked(), int64(2))
	assert.Equal(t, tc.state("a"), job.Completed)
}

// Guards against a leader that goes on giving orders after a worker has refused its token.
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

// Guards against the runs of a former life of a worker that keep their capacity or their tasks.
func TestWorkerRestartRemovesItsRuns(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(4))
	tc.confirmStarts()
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: 5}, StartedMS: 2000}, nil, tc.now+1)
	tc.storeBatches()
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 4)
	assert.Equal(t, tc.starts[0].Order.Run, int64(2))
}

// Guards against answers of a former life that are taken for the present one.
func TestLatePollReplyOfEarlierBoot(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: 5}, StartedMS: 2000}, nil, tc.now+1)
	tc.storeBatches()
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(50 * time.Millisecond)
	tc.confirmStarts()
	tc.core.PollResult("w1", tc.now, backend.PollReply{
		Reply: backend.Reply{ClockMS: 90_000}, StartedMS: 1000, Ended: []backend.EndedTask{{Number: 9, Task: "a.0.0.0", Run: 1, How: backend.EndDone}},
	}, nil, tc.now+1)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Running)
}

// Guards against an answer of another worker at the address that leaves the tasks of the old one waiting for its leases.
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
	assert.Equal(t, tc.starts[0].Order.Worker.ID, "w2")
}

// Guards against ends of a job whose record has not arrived that are acknowledged and lost.
func TestCompletionWaitsForJobRecord(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.listWorker("w1", nil)
	ended := tc.completion("w1", "a.0.0.0", 1, backend.EndDone)
	tc.answerPoll("w1", nil, []backend.EndedTask{ended})
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Acked, int64(0))
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.answerPoll("w1", nil, []backend.EndedTask{ended})
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
	assert.Equal(t, len(tc.starts), 0)
}

// Guards against a job that runs although it was cancelled, because the cancellation was learned of first.
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

// Guards against a permitted copy that never starts beside a slow run, and against one that starts without permission.
func TestSpeculativeRunBesideSlowRun(t *testing.T) {
	for _, permitted := range []bool{false, true} {
		tc := newTestCluster(t, 1)
		tc.addWorker("w1")
		tc.addWorker("w2")
		tc.addJob("a", "plain", 1, stepWithTasks(1, func(s *job.Step) { s.Speculative = permitted }))
		tc.step()
		first := tc.starts[0].Order.Worker.ID
		running := tc.confirmStarts()[first]
		for range 12 {
			tc.answerPoll("w1", map[bool][]backend.RunningTask{true: running}[first == "w1"], nil)
			tc.answerPoll("w2", map[bool][]backend.RunningTask{true: running}[first == "w2"], nil)
			tc.advance(200 * time.Millisecond)
			if len(tc.starts) > 0 {
				break
			}
			running[0].Percent += 5
		}
		if !permitted {
			assert.Equal(t, len(tc.starts), 0)
			continue
		}
		assert.Equal(t, len(tc.starts), 1)
		second := tc.starts[0].Order
		assert.Assert(t, second.Worker.ID != first && second.Run == 2)
		tc.confirmStarts()
		tc.answerPoll(second.Worker.ID, nil, []backend.EndedTask{tc.completion(second.Worker.ID, "a.0.0.0", 2, backend.EndDone)})
		tc.step()
		assert.Equal(t, len(tc.stops), 1)
		assert.Equal(t, tc.stops[0].Order.Worker.ID, first)
		tc.storeBatches()
		assert.Equal(t, tc.state("a"), job.Completed)
	}
}

// Guards against polls that wait long past the end of a task, so that a lost answer hides the end.
func TestPollWaitsUntilNextCompletion(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 400 }))
	tc.answerPoll("w1", tc.confirmStarts()["w1"], nil)
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Assert(t, req.Wait > 400*time.Millisecond && req.Wait < 700*time.Millisecond, "%s", req.Wait)
}

// Guards against starts that wait for their turn and are sent after their task was cancelled, or by a leader in doubt.
func TestObsoleteStartIsWithdrawn(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.step()
	assert.Equal(t, len(tc.starts), 2)
	cancelled, kept := tc.starts[0], tc.starts[1]
	tc.core.CancelJob(job.ID("a"), tc.now)
	if cancelled.Order.Task != "a.0.0.0" {
		cancelled, kept = kept, cancelled
	}
	assert.Assert(t, !tc.core.Wanted(cancelled))
	assert.Assert(t, tc.core.Wanted(kept))
	tc.core.Suspend(true)
	assert.Assert(t, !tc.core.Wanted(kept))
	tc.core.StartWithdrawn(cancelled, tc.now)
	tc.core.StartWithdrawn(kept, tc.now)
	tc.core.Suspend(false)
	tc.starts = nil
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Order.Task, "b.0.0.0")
}
