package cell

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// startedUnderFormerLeader starts a task with a crash on worker a1 under epoch 1 and returns a cluster of epoch 2 with what the
// former leader had stored.
func startedUnderFormerLeader(t *testing.T) *crashCluster {
	cc := newCrashCluster(t, 1, "a1")
	cc.addJob("x", "plain", 1, stepWithTasks(1))
	cc.core.findTask("x.0.0.0").crashes = crashCount{certain: 1}
	cc.start("x.0.0.0")
	batches := cc.storeBatches()
	next := &crashCluster{newTestCluster(t, 2), map[string]int64{"a1": 1000, "b1": 1000}}
	assert.NilError(t, next.core.LoadFleetRecord(next.now, []byte(`{"a1":"a1:1","b1":"b1:1"}`)))
	progress := batches[len(batches)-1].Progress
	assert.NilError(t, next.core.LoadJob("x", record("plain", 1, stepWithTasks(1)), progress[0].Data, next.now))
	next.list("b1")
	next.poll("b1")
	return next
}

// Guards against a task that crashes one more worker at each change of the leader: the crash under a run of a former leader must
// be counted, however the new leader notices it, and before the task starts again.
func TestCrashUnderRunOfFormerLeaderIsCounted(t *testing.T) {
	answer := func(next *crashCluster, reply backend.PollReply, err error) {
		reply.ClockMS = next.clockMS()
		next.core.PollResult("a1", next.now, reply, err, next.now+1)
	}
	running := []backend.ActiveRun{{Task: "x.0.0.0", Run: 1}}
	cases := map[string]struct {
		notice func(next *crashCluster)
		want   int
	}{
		"worker restarted": {func(next *crashCluster) { answer(next, backend.PollReply{StartedMS: 2000}, nil) }, 2},
		"address of another worker": {func(next *crashCluster) {
			answer(next, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil)
		}, 2},
		"worker gone": {func(next *crashCluster) { next.advance(next.core.recoveryBound(testLease) + 200*time.Millisecond) }, 2},
		"run goes on": {func(next *crashCluster) { answer(next, backend.PollReply{StartedMS: 1000, Running: running}, nil) }, 1},
		"run has ended": {func(next *crashCluster) {
			ended := []backend.FinishedRun{{Number: 1, Task: "x.0.0.0", Run: 1, Result: backend.ResultStopped}}
			answer(next, backend.PollReply{StartedMS: 1000, Finished: ended}, nil)
		}, 1},
		"start never arrived": {func(next *crashCluster) { answer(next, backend.PollReply{StartedMS: 1000}, nil) }, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := startedUnderFormerLeader(t)
			c.notice(next)
			next.advance(20 * time.Millisecond)
			assert.Equal(t, next.crashesOf("x.0.0.0"), c.want)
			assert.Assert(t, len(next.starts) == 0 || next.starts[0].Command.Run > 1)
		})
	}
}

// Guards against a first crash that is not counted because the leader is lost before it knows that the worker has crashed and not
// only lost its connections.
func TestFirstCrashIsCountedAfterATakeover(t *testing.T) {
	refused := verdict.Wrap(syscall.ECONNREFUSED, verdict.NotRun, verdict.CodeUnavailable, "connect")
	silent := verdict.Wrap(errors.New("timeout"), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for reply")
	for name, c := range map[string]struct {
		failure error
		want    int
	}{
		"connection refused": {refused, 1},
		"no answer":          {silent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			cc := newCrashCluster(t, 1, "a1")
			cc.addJob("x", "plain", 1, stepWithTasks(1))
			cc.start("x.0.0.0")
			cc.core.PollResult("a1", cc.now, backend.PollReply{}, c.failure, cc.now+1)
			batches := cc.storeBatches()
			next := newCrashCluster(t, 2)
			assert.NilError(t, next.core.LoadFleetRecord(next.now, []byte(`{"a1":"a1:1"}`)))
			data := []byte("{}")
			if len(batches) > 0 {
				data = batches[0].Progress[0].Data
			}
			assert.NilError(t, next.core.LoadJob("x", record("plain", 1, stepWithTasks(1)), data, next.now))
			next.core.PollResult("a1", next.now, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil, next.now+1)
			next.advance(20 * time.Millisecond)
			assert.Equal(t, next.crashesOf("x.0.0.0"), c.want)
		})
	}
}

// Guards against a crash that is counted twice, or for a task that had ended or was not there: while another worker is unread after a
// takeover, the runs of the former leader go on, end and crash.
func TestCrashUnderRunOfFormerLeaderIsCountedOnce(t *testing.T) {
	running := []backend.ActiveRun{{Task: "x.0.0.0", Run: 1}}
	ended := []backend.FinishedRun{{Number: 1, Task: "x.0.0.0", Run: 1, Result: backend.ResultStopped}}
	nextBoot := backend.PollReply{StartedMS: 2000}
	cases := map[string]struct {
		answers []backend.PollReply
		want    int
	}{
		"adopted, worker restarted":           {[]backend.PollReply{{StartedMS: 1000, Running: running}, nextBoot}, 2},
		"adopted, address of another worker":  {[]backend.PollReply{{StartedMS: 1000, Running: running}, {Reply: backend.Reply{Refusal: backend.RefusedInstance}}}, 2},
		"adopted and ended, worker restarted": {[]backend.PollReply{{StartedMS: 1000, Running: running}, {StartedMS: 1000, Finished: ended}, nextBoot}, 1},
		"ended, worker restarted":             {[]backend.PollReply{{StartedMS: 1000, Finished: ended}, nextBoot}, 1},
		"never started, worker restarted":     {[]backend.PollReply{{StartedMS: 1000}, nextBoot}, 1},
		"ended on the next boot":              {[]backend.PollReply{{StartedMS: 2000, Finished: ended}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := startedUnderFormerLeader(t)
			next.core.inventoryPending["unread"] = struct{}{}
			for _, reply := range c.answers {
				reply.ClockMS = next.clockMS()
				next.core.PollResult("a1", next.now, reply, nil, next.now+1)
				next.advance(20 * time.Millisecond)
			}
			delete(next.core.inventoryPending, "unread")
			next.advance(20 * time.Millisecond)
			assert.Equal(t, next.crashesOf("x.0.0.0"), c.want)
		})
	}
}
