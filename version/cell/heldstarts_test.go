package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// ackDue returns a cluster with a worker whose next poll has an acknowledgement.
func ackDue(t *testing.T) *testCluster {
	tc := newTestCluster(t, 1)
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.step()
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	tc.storeBatches()
	return tc
}

// ackInFlight returns a cluster with a worker to which a poll with an acknowledgement is on its way, and the time at which it was sent.
func ackInFlight(t *testing.T) (tc *testCluster, sentAt Instant) {
	tc = ackDue(t)
	sentAt = tc.now
	req, _, _ := tc.core.PreparePoll("w1", sentAt)
	assert.Equal(t, req.AcknowledgedCompletion, int64(1))
	return tc, sentAt
}

// Guards against a start that is on its way together with an acknowledgement, and against one that waits for longer than that.
func TestStartWaitsForTheAnswerToAnAcknowledgement(t *testing.T) {
	answer := backend.PollReply{StartedMS: 1000, Reply: backend.Reply{ClockMS: 1100}}
	lost := verdict.Wrap(errHistoryLost, verdict.MayHaveRun, verdict.CodeUnavailable, "poll")
	for name, resolve := range map[string]func(tc *testCluster, sentAt Instant){
		"answered": func(tc *testCluster, sentAt Instant) { tc.core.PollResult("w1", sentAt, answer, nil, tc.now) },
		"lost": func(tc *testCluster, sentAt Instant) {
			tc.core.PollResult("w1", sentAt, backend.PollReply{}, lost, tc.now)
		},
		"no outcome": func(tc *testCluster, _ Instant) {
			tc.advance(lateCallAllowance)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tc, sentAt := ackInFlight(t)
			tc.addJob("b", "plain", 1, stepWithTasks(1))
			tc.advance(100 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 0)
			// The answer to another poll does not show whether the first one has arrived.
			other := tc.now
			tc.core.PreparePoll("w1", other)
			tc.core.PollResult("w1", other, answer, nil, tc.now)
			tc.step()
			assert.Equal(t, len(tc.starts), 0)
			resolve(tc, sentAt)
			tc.step()
			assert.Equal(t, len(tc.starts), 1)
			tc.advance(time.Second)
			assert.Equal(t, len(tc.starts), 1)
		})
	}
}

// Guards against a held start that is sent although its job was cancelled or its worker has restarted, and against a crash that is counted
// for a task that was never sent.
func TestHeldStartIsWithdrawn(t *testing.T) {
	for name, end := range map[string]func(tc *testCluster){
		"job cancelled": func(tc *testCluster) { tc.core.CancelJob("b", tc.now) },
		"worker restarted": func(tc *testCluster) {
			tc.core.PollResult("w1", tc.now, backend.PollReply{StartedMS: 2000, Reply: backend.Reply{ClockMS: 10}}, nil, tc.now)
		},
		"address of another worker": func(tc *testCluster) {
			tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil, tc.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tc, _ := ackInFlight(t)
			tc.addJob("b", "plain", 1, stepWithTasks(1))
			tc.advance(50 * time.Millisecond)
			held := tc.core.findTask("b.0.0.0")
			end(tc)
			tc.advance(100 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 0)
			assert.Equal(t, held.crashes.total(), 0)
		})
	}
}

// Guards against a second start of a task whose completion the next boot of its worker forgets (TWICE): the start is executed there, and
// ends, before an acknowledgement of numbers of the former boot arrives.
func TestLateAcknowledgementMeetsNoStartOfTheNextBoot(t *testing.T) {
	h := newOrderHistory(t, 1)
	h.quiet = true
	h.infos = map[string]backend.WorkerInfo{"w0": h.infos["w0"]}
	h.core.SetWorker(h.infos["w0"], h.now)
	h.upAt["w0"] = 0
	var ack *backend.PollRequest
	var ackSentAt Instant
	for range 500 {
		h.now += orderTick
		if h.now == time.Hour+orderTick {
			h.submit("a", "")
		}
		h.executeStarts()
		req, _, _ := h.core.PreparePoll("w0", h.now)
		req.Wait = 0
		if req.AcknowledgedCompletion > 0 {
			ack, ackSentAt = &req, h.now
			break
		}
		reply, err := h.workers.Poll(t.Context(), req)
		h.core.PollResult("w0", h.now, reply, err, h.now)
		h.core.BatchStored(h.core.CollectBatch(80), true, h.now)
	}
	assert.Assert(t, ack != nil)
	h.boot("w0")
	h.submit("b", "")
	for range int(h.duration/orderTick) + 2 {
		h.now += orderTick
		h.executeStarts()
	}
	reply, err := h.workers.Poll(t.Context(), *ack)
	h.core.PollResult("w0", ackSentAt, reply, err, h.now)
	h.upAt["w0"] = 0
	h.run(func(int) {})
	assert.DeepEqual(t, h.workers.Violations(), []string(nil))
	state, _ := h.core.State("b")
	assert.Equal(t, state.Terminal(), true)
}

// executeStarts runs a scheduling round and executes its starts at once.
func (h *orderHistory) executeStarts() {
	for _, action := range h.core.Step(h.now, 0) {
		if a, ok := action.(*StartAction); ok {
			reply, err := h.workers.Start(h.t.Context(), a.Command)
			h.core.StartResult(a, reply, err, h.now)
		}
	}
}

// Guards against an acknowledgement that is sent again although the poll with it was answered: a round has begun between the reading of the time
// and the preparation of the poll.
func TestAcknowledgementIsConfirmedBesideARound(t *testing.T) {
	tc := ackDue(t)
	sentAt := tc.now
	tc.step()
	req, _, _ := tc.core.PreparePoll("w1", sentAt)
	assert.Equal(t, req.AcknowledgedCompletion, int64(1))
	tc.core.PollResult("w1", sentAt, backend.PollReply{StartedMS: 1000, Reply: backend.Reply{ClockMS: tc.clockMS()}}, nil, tc.now)
	req, _, _ = tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.AcknowledgedCompletion, int64(0))
}
