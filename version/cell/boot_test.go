package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// answerBoot answers a poll of w1, which was sent at the present time, by a boot on which runs go on.
func (tc *testCluster) answerBoot(startedMS int64, running ...backend.ActiveRun) {
	tc.now += time.Millisecond
	reply := backend.PollReply{Reply: backend.Reply{ClockMS: tc.clockMS()}, StartedMS: startedMS, Running: running}
	tc.core.PollResult("w1", tc.now, reply, nil, tc.now+1)
	tc.now += time.Millisecond
	tc.storeBatches()
}

// Guards against a task that runs twice because a registry entry of another writer has a start time in the future: the worker goes on
// with its runs.
func TestEntryOfUnknownBootEndsNoRun(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	run := backend.ActiveRun{Task: "a.0.0.0", Run: 1}
	started := tc.core.workers["w1"].startedMS
	tc.answerBoot(started, run)
	tc.addWorker("w2")
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 1 << 41 })
	tc.starts = nil
	for range 20 {
		tc.advance(100 * time.Millisecond)
		tc.answerBoot(started, run)
	}
	assert.Equal(t, len(tc.starts), 0)
	assert.Equal(t, len(tc.core.workers["w1"].runs), 1)

	// The worker is used again, by the entry that it wrote before.
	tc.core.RemoveWorker("w2", tc.now)
	tc.addJob("b", "plain", 1, stepWithTasks(1))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against a worker that is lost for good because an earlier entry or boot had a higher start time than its present one.
func TestBootWithEarlierStartTimeIsUsed(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 5000 })
	tc.answerBoot(5000)
	tc.storeBatches()
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 1 << 41 })
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 3000 })
	tc.answerBoot(3000)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against starts by the former capacity on a worker that has announced another boot.
func TestAnnouncedBootGetsNoStartsBeforeItAnswers(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.listWorker("w1", func(info *backend.WorkerInfo) {
		info.StartedMS, info.Capacity = 9000, model.Resources{CPUMilli: 1000, MemoryMiB: 8000}
	})
	tc.addJob("a", "plain", 1, stepWithTasks(3))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.answerBoot(9000)
	tc.advance(200 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against a worker that is lost, or loses its runs, because an entry of another writer gives an address where another worker
// listens.
func TestFalseAddressOfAnnouncedBoot(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	started := tc.core.workers["w1"].startedMS
	known := tc.core.workers["w1"].info.Address
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS, info.Address = 9000, "elsewhere:1" })
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Worker.Address, "elsewhere:1")
	tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{Refusal: backend.RefusedInstance}}, nil, tc.now+1)
	assert.Equal(t, len(tc.core.workers["w1"].runs), 1)
	req, _, _ = tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Worker.Address, known)
	tc.answerBoot(started, backend.ActiveRun{Task: "a.0.0.0", Run: 1})
	req, _, _ = tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, req.Worker.Address, known)
}

// Guards against a worker that is forgotten while its next boot is announced and has not answered yet.
func TestAnnouncedBootIsNotForgotten(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.RemoveWorker("w1", tc.now)
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 9000 })
	tc.advance(2 * unlistedWorkerRetention)
	tc.answerBoot(9000)
	tc.storeBatches()
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against runs in two places and starts beyond the capacity while another writer puts entries with any start time, address and
// capacity among those of the workers, and boots have any start times.
func TestForeignEntriesInRandomOrders(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newOrderHistory(t, seed)
			h.clocksSetBack = true
			h.afterTick = func() {
				if h.rng.IntN(50) > 0 {
					return
				}
				info := h.infos[fmt.Sprintf("w%d", h.rng.IntN(orderWorkers))]
				info.StartedMS = 1 + h.rng.Int64N(1_000_000)
				info.Address = fmt.Sprintf("w%d:%d", h.rng.IntN(orderWorkers), 1+h.rng.IntN(2))
				info.Capacity = info.Capacity.Times(h.rng.IntN(100))
				h.core.SetWorker(info, h.now)
			}
			h.run(func(tick int) {
				if tick%40 == 0 {
					h.submit(job.ID(fmt.Sprintf("job%d", tick)), "")
				}
			})
			if v := h.workers.Violations(); len(v) > 0 {
				t.Log(h.log.String())
				assert.DeepEqual(t, v, []string(nil))
			}
			h.requireJobsFinish()
		})
	}
}

// requireJobsFinish runs the history without disturbances until all jobs have ended.
func (h *orderHistory) requireJobsFinish() {
	h.afterTick = func() {}
	h.quiet = true
	h.run(func(int) {})
	for id := range h.records {
		state, _ := h.core.State(id)
		assert.Assert(h.t, state.Terminal(), "job %s is %s", id, state)
	}
}

// Guards against decisions by the capacity of a worker that exists only in an entry of another writer: the cell would count as
// almost empty, and a gang that no worker holds would keep others from their turns.
func TestWorkerThatNeverAnswersAddsNoCapacity(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.listWorker("w9", func(info *backend.WorkerInfo) { info.Capacity = info.Capacity.Times(1000) })
	assert.Equal(t, tc.core.totalCapacity().CPUMilli, int64(4000))
	gang := stepWithTasks(12)
	gang.Gang = true
	tc.addJob("a", "plain", 1, gang)
	s := tc.core.jobs["a"].occurrences[0].steps[0]
	assert.Assert(t, !tc.core.isFeasible(s))
	tc.addWorker("w9")
	assert.Assert(t, !tc.core.isFeasible(s))
	tc.addWorker("w2")
	assert.Assert(t, tc.core.isFeasible(s))
}

// Guards against a task that runs twice on a worker that restarts and then falls silent: a call to the former boot, whose clock was
// ahead, has made the next boot grant its longest lease.
func TestRestartedWorkerMayHoldTheLongestLease(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.opts.MaxLease = 3 * testLease
	tc.addWorker("w1")
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 9000 })
	tc.answerBoot(9000)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	tc.confirmStarts()
	tc.addWorker("w2")
	tc.advance(2 * testLease)
	assert.Equal(t, len(tc.core.workers["w1"].runs), 1)
	tc.advance(2 * testLease)
	assert.Equal(t, len(tc.core.workers["w1"].runs), 0)
}

// Guards against tasks of a lost worker that stay away for the longest lease after a takeover, although the worker has been up for too long
// to have granted it to a call that was sent to its former boot. A worker that has started lately may have.
func TestLongRunningWorkerHoldsTheUsualLease(t *testing.T) {
	const longest = 3 * testLease
	cases := map[string]struct{ uptime, bound time.Duration }{
		"long":  {time.Minute, testLease},
		"short": {2 * time.Second, longest + lateCallAllowance},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 2)
			tc.core.opts.MaxLease = longest
			assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1","w2":"w2:1"}`)))
			tc.listWorker("w1", nil)
			tc.addWorker("w2")
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			reply := backend.PollReply{Reply: backend.Reply{ClockMS: c.uptime.Milliseconds()}, StartedMS: 1000,
				Running: []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}}
			tc.core.PollResult("w1", tc.now, reply, nil, tc.now)
			answeredAt := tc.now
			for len(tc.starts) == 0 && tc.now < answeredAt+time.Minute {
				tc.answerPoll("w2", nil, nil)
				tc.advance(50 * time.Millisecond)
			}
			waited := tc.now - answeredAt
			assert.Assert(t, waited >= maxLocalDuration(c.bound) && waited < c.bound+time.Second, "started again after %s", waited)
		})
	}
}

// Guards against a boot that gets the longest lease from a poll whose deadline is a reading of the clock of the former boot: the poll after
// an unanswered one may reach a boot of which the leader does not know.
func TestPollOfASilentWorkerHasNoDeadline(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	req, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Assert(t, req.LeaseDeadlineMS > 0 && req.Wait > 0)
	tc.core.PollResult("w1", tc.now, backend.PollReply{}, errors.New("timeout"), tc.now+1)
	req, _, _ = tc.core.PreparePoll("w1", tc.now+2)
	assert.Equal(t, req.LeaseDeadlineMS, int64(0))
	assert.Equal(t, req.Wait, time.Duration(0))
	tc.answerPoll("w1", nil, nil)
	req, _, _ = tc.core.PreparePoll("w1", tc.now)
	assert.Assert(t, req.LeaseDeadlineMS > 0 && req.Wait > 0)
}

// Guards against lease deadlines, acknowledgements and starts that a later boot of a worker executes, since they name no boot.
func TestCallsNameTheKnownBoot(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.listWorker("w1", nil)
	first, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, first, backend.PollRequest{Worker: backend.WorkerRef{ID: "w1", Address: "w1:1"}, FencingToken: 1})
	tc.answerBoot(1000)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Worker.StartedMS, int64(1000))
	poll, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, poll.Worker.StartedMS, int64(1000))
	assert.Assert(t, poll.LeaseDeadlineMS > 0)
}

// Guards against a worker whose new boot stays unknown, because all calls name the former one, and against a start that holds capacity although
// it was refused.
func TestRefusedBootIsReadAgain(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	w := tc.core.workers["w1"]
	clockMS := w.clockMS
	tc.core.StartResult(tc.starts[0], backend.Reply{Refusal: backend.RefusedBoot, ClockMS: clockMS + 1_000_000}, nil, tc.now)
	assert.Equal(t, len(w.runs), 0)
	assert.Equal(t, w.clockMS, clockMS)
	tc.starts = nil
	tc.step()
	assert.DeepEqual(t, tc.polls, []string{"w1"})
	assert.Equal(t, len(tc.starts), 0)
	poll, _, _ := tc.core.PreparePoll("w1", tc.now)
	assert.Equal(t, poll.Worker.StartedMS, int64(0))
	assert.Equal(t, poll.LeaseDeadlineMS, int64(0))
	assert.Equal(t, poll.AcknowledgedCompletion, int64(0))
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	tc.answerBoot(2000)
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Worker.StartedMS, int64(2000))
}
