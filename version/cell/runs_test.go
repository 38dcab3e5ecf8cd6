package cell

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

var errSilent = errors.New("no answer")

// Guards against a job that fails late or never because its failed runs are read from several workers out of order.
func TestFailuresCountInAnyOrder(t *testing.T) {
	w := newWorld(t, 2)
	for _, id := range []string{"w1", "w2", "w3"} {
		w.list(id, nil)
	}
	w.add("a", "plain", 1, tasks(1))
	for i, id := range []string{"w2", "w3", "w1"} {
		run := []int64{2, 3, 1}[i]
		w.read(id, nil, []backend.EndedTask{w.end(id, "a.0.0.0", run, backend.EndFailed)})
	}
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.store()
	assert.Equal(t, w.state("a"), job.Failed)
}

// Guards against a failed run that is counted again by the next leader, which would fail a job too early.
func TestFailureIsCountedOnce(t *testing.T) {
	w := newStartedWorld(t, tasks(1))
	w.confirm()
	failed := w.end("w1", "a.0.0.0", 1, backend.EndFailed)
	w.read("w1", nil, []backend.EndedTask{failed})
	progress := w.store()[0].Progress[0]

	next := newWorld(t, 2)
	assert.NilError(t, next.core.LoadProgress("a", record("plain", 1, tasks(1)), progress.Data, next.now))
	next.list("w1", nil)
	next.read("w1", nil, []backend.EndedTask{failed})
	assert.Equal(t, len(next.core.jobs["a"].occurrences[0].steps[0].tasks[0].failed), 1)
}

// Guards against work that is never moved from a worker that has fallen silent, and against moving it before its leases
// have lapsed.
func TestSilentWorkerLosesItsRuns(t *testing.T) {
	w := newStartedWorld(t, tasks(1))
	w.read("w1", w.confirm()["w1"], nil)
	w.worker("w2")
	silentSince := w.now
	for w.now < silentSince+3*testLease && len(w.starts) == 0 {
		_, _, ok := w.core.PreparePoll("w1", w.now)
		assert.Assert(t, ok)
		w.core.PollResult("w1", w.now, backend.PollReply{}, errSilent, w.now)
		w.read("w2", nil, nil)
		w.run(100 * time.Millisecond)
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Worker.ID, "w2")
	assert.Equal(t, w.starts[0].Order.Run, int64(2))
	waited := w.now - silentSince
	assert.Assert(t, waited >= testLease && waited < testLease+time.Second, "moved after %s", waited)
}

// Guards against capacity that is given away while a start without an answer may still be carried out.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	w := newStartedWorld(t, tasks(4))
	lost := w.starts[0]
	w.core.StartResult(lost, backend.Reply{}, errSilent, w.now)
	w.starts = w.starts[1:]
	running := w.confirm()["w1"]
	w.add("b", "plain", 1, tasks(1))
	w.run(300 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	// The number is stopped at once, and only a poll after the stop frees the capacity.
	assert.Equal(t, len(w.stops), 1)
	assert.Equal(t, w.stops[0].Order.Task, lost.Order.Task)
	w.read("w1", running, nil)
	w.run(300 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.core.StopResult(w.stops[0], backend.Reply{ClockMS: w.clockMS()}, nil, w.now)
	w.now++
	w.read("w1", running, nil)
	w.step()
	assert.Equal(t, len(w.starts), 1)
}

// Guards against a stop whose answer was lost and that is never repeated.
func TestUnansweredStopIsRepeated(t *testing.T) {
	w := newStartedWorld(t, tasks(1))
	running := w.confirm()["w1"]
	w.core.CancelJob("a", w.now)
	w.step()
	w.core.StopResult(w.stops[0], backend.Reply{}, errSilent, w.now)
	w.read("w1", running, nil)
	w.run(time.Second)
	assert.Assert(t, len(w.stops) > 1)
}

// Guards against a start without an answer that is done twice, because it was carried out and ended before the stop.
func TestUnansweredStartHasEnded(t *testing.T) {
	w := newStartedWorld(t, tasks(1))
	w.core.StartResult(w.starts[0], backend.Reply{}, errSilent, w.now)
	w.step()
	w.core.StopResult(w.stops[0], backend.Reply{ClockMS: w.clockMS()}, nil, w.now)
	w.now++
	w.starts = nil
	w.read("w1", nil, []backend.EndedTask{w.end("w1", "a.0.0.0", 1, backend.EndDone)})
	w.run(300 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.store()
	assert.Equal(t, w.state("a"), job.Completed)
}

// Guards against an acknowledgement of an end that is not durable.
func TestEndsAreAcknowledgedWhenDurable(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, tasks(1))
	w.add("b", "plain", 1, tasks(1))
	w.step()
	w.confirm()
	w.read("w1", nil, []backend.EndedTask{w.end("w1", "a.0.0.0", 1, backend.EndDone)})
	first := w.core.CollectBatch(80)
	w.read("w1", nil, []backend.EndedTask{w.end("w1", "b.0.0.0", 1, backend.EndDone)})
	acked := func() int64 {
		req, _, _ := w.core.PreparePoll("w1", w.now)
		return req.Acked
	}
	assert.Equal(t, acked(), int64(0))
	assert.Equal(t, w.state("a"), job.Running)
	w.core.BatchStored(first, false, w.now)
	assert.Equal(t, acked(), int64(0))
	// One job at a time: the end of the other stays unacknowledged.
	b := w.core.CollectBatch(1)
	w.core.BatchStored(b, true, w.now)
	assert.Assert(t, acked() < 2)
	w.store()
	assert.Equal(t, acked(), int64(2))
	assert.Equal(t, w.state("a"), job.Completed)
}

// Guards against a leader that goes on giving orders after a worker has refused its token.
func TestRefusedTokenEndsTheEpoch(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.worker("w2")
	w.add("a", "plain", 1, tasks(2))
	w.step()
	w.core.StartResult(w.starts[0], backend.Reply{Refusal: backend.RefusedFence}, nil, w.now)
	assert.Assert(t, w.core.Superseded())
	w.add("b", "plain", 1, tasks(1))
	w.starts = nil
	w.run(time.Second)
	assert.Equal(t, len(w.starts), 0)
	_, suspended, ok := w.core.PreparePoll("w2", w.now)
	assert.Assert(t, ok && suspended)
}

// Guards against the runs of a former life of a worker that keep their capacity or their tasks.
func TestRestartedWorkerRunsNothing(t *testing.T) {
	w := newStartedWorld(t, tasks(4))
	w.confirm()
	w.list("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	w.core.PollResult("w1", w.now, backend.PollReply{Reply: backend.Reply{ClockMS: 5}, StartedMS: 2000}, nil, w.now+1)
	w.store()
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 4)
	assert.Equal(t, w.starts[0].Order.Run, int64(2))
}

// Guards against answers of a former life that are taken for the present one.
func TestLateAnswerOfAFormerLife(t *testing.T) {
	w := newWorld(t, 1)
	w.list("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	w.core.PollResult("w1", w.now, backend.PollReply{Reply: backend.Reply{ClockMS: 5}, StartedMS: 2000}, nil, w.now+1)
	w.store()
	w.add("a", "plain", 1, tasks(1))
	w.run(50 * time.Millisecond)
	w.confirm()
	w.core.PollResult("w1", w.now, backend.PollReply{
		Reply: backend.Reply{ClockMS: 90_000}, StartedMS: 1000, Ended: []backend.EndedTask{{Number: 9, Task: "a.0.0.0", Run: 1, How: backend.EndDone}},
	}, nil, w.now+1)
	w.store()
	assert.Equal(t, w.state("a"), job.Running)
}

// Guards against an answer of another worker at the address that leaves the tasks of the old one waiting for its leases.
func TestReplacedWorkerLosesItsRuns(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.worker("w2")
	w.add("a", "plain", 1, tasks(2))
	w.step()
	w.confirm()
	w.core.PollResult("w1", w.now, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil, w.now)
	w.run(50 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Worker.ID, "w2")
}

// Guards against ends of a job whose record has not arrived that are acknowledged and lost.
func TestEndOfAnUnknownJobWaitsForItsRecord(t *testing.T) {
	w := newWorld(t, 2)
	w.list("w1", nil)
	ended := w.end("w1", "a.0.0.0", 1, backend.EndDone)
	w.read("w1", nil, []backend.EndedTask{ended})
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Equal(t, req.Acked, int64(0))
	w.add("a", "plain", 1, tasks(1))
	w.read("w1", nil, []backend.EndedTask{ended})
	w.store()
	assert.Equal(t, w.state("a"), job.Completed)
	assert.Equal(t, len(w.starts), 0)
}

// Guards against a job that runs although it was cancelled, because the cancellation was learned of first.
func TestCancellationBeforeItsJob(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.core.CancelJob("a", w.now)
	w.add("a", "plain", 1, tasks(1))
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
	w.store()
	assert.Equal(t, w.state("a"), job.Cancelled)
}

// Guards against a permitted copy that never starts beside a slow run, and against one that starts without permission.
func TestCopyBesideASlowRun(t *testing.T) {
	for _, permitted := range []bool{false, true} {
		w := newWorld(t, 1)
		w.worker("w1")
		w.worker("w2")
		w.add("a", "plain", 1, tasks(1, func(s *job.Step) { s.Speculative = permitted }))
		w.step()
		first := w.starts[0].Order.Worker.ID
		running := w.confirm()[first]
		for range 12 {
			w.read("w1", map[bool][]backend.RunningTask{true: running}[first == "w1"], nil)
			w.read("w2", map[bool][]backend.RunningTask{true: running}[first == "w2"], nil)
			w.run(200 * time.Millisecond)
			if len(w.starts) > 0 {
				break
			}
			running[0].Percent += 5
		}
		if !permitted {
			assert.Equal(t, len(w.starts), 0)
			continue
		}
		assert.Equal(t, len(w.starts), 1)
		second := w.starts[0].Order
		assert.Assert(t, second.Worker.ID != first && second.Run == 2)
		w.confirm()
		w.read(second.Worker.ID, nil, []backend.EndedTask{w.end(second.Worker.ID, "a.0.0.0", 2, backend.EndDone)})
		w.step()
		assert.Equal(t, len(w.stops), 1)
		assert.Equal(t, w.stops[0].Order.Worker.ID, first)
		w.store()
		assert.Equal(t, w.state("a"), job.Completed)
	}
}

// Guards against polls that wait long past the end of a task, so that a lost answer hides the end.
func TestPollWaitsUntilTheNextEnd(t *testing.T) {
	w := newStartedWorld(t, tasks(1, func(s *job.Step) { s.EstimateMS = 400 }))
	w.read("w1", w.confirm()["w1"], nil)
	req, _, _ := w.core.PreparePoll("w1", w.now)
	assert.Assert(t, req.Wait > 400*time.Millisecond && req.Wait < 700*time.Millisecond, "%s", req.Wait)
}

// Guards against starts that wait for their turn and are sent after their task was cancelled, or by a leader in doubt.
func TestStartIsWithdrawnWhenNotWanted(t *testing.T) {
	w := newWorld(t, 1)
	w.worker("w1")
	w.add("a", "plain", 1, tasks(1))
	w.add("b", "plain", 1, tasks(1))
	w.step()
	assert.Equal(t, len(w.starts), 2)
	cancelled, kept := w.starts[0], w.starts[1]
	w.core.CancelJob(job.ID("a"), w.now)
	if cancelled.Order.Task != "a.0.0.0" {
		cancelled, kept = kept, cancelled
	}
	assert.Assert(t, !w.core.Wanted(cancelled))
	assert.Assert(t, w.core.Wanted(kept))
	w.core.Suspend(true)
	assert.Assert(t, !w.core.Wanted(kept))
	w.core.StartWithdrawn(cancelled, w.now)
	w.core.StartWithdrawn(kept, w.now)
	w.core.Suspend(false)
	w.starts = nil
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Task, "b.0.0.0")
}
