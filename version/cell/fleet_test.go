package cell

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// failPolls fails the polls of a worker for the given duration, as the poll loop does with a worker that is gone.
func (tc *testCluster) failPolls(id string, d time.Duration) {
	err := verdict.Wrap(errors.New("no answer"), verdict.MayHaveRun, verdict.CodeUnavailable, "poll")
	for end := tc.now + d; tc.now < end; tc.advance(200 * time.Millisecond) {
		if _, _, ok := tc.core.PreparePoll(id, tc.now); !ok {
			return
		}
		tc.core.PollResult(id, tc.now, backend.PollReply{}, err, tc.now)
	}
}

// recordedWorkers returns the fleet record that the rows in the batches make up, the newest of each shard.
func recordedWorkers(batches []Batch) map[string]string {
	byShard := map[int]fleetRow{}
	for _, b := range batches {
		for _, row := range b.Fleet {
			byShard[row.Shard] = row.workers
		}
	}
	record := map[string]string{}
	for _, row := range byShard {
		maps.Copy(record, row.addresses)
	}
	return record
}

// fleetData returns the encoded rows of the fleet record in the batches.
func fleetData(batches []Batch) [][]byte {
	var rows [][]byte
	for _, b := range batches {
		for _, row := range b.Fleet {
			rows = append(rows, row.Data)
		}
	}
	return rows
}

// inUseByID returns the addresses of the workers that are in use.
func (tc *testCluster) inUseByID() map[string]string {
	record := map[string]string{}
	for id, w := range tc.core.workers {
		if tc.core.inUse(w) {
			record[id] = w.info.Address
		}
	}
	return record
}

// A worker that is gone must be forgotten although its polls go on until then: each later leader would wait for it, and the
// record of the workers in use would grow with each worker that was ever replaced.
func TestGoneWorkerIsForgotten(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.core.RemoveWorker("w2", tc.now)
	tc.failPolls("w2", 30*time.Second)
	assert.DeepEqual(t, tc.core.WorkerIDs(), []string{"w1"})
	_, recorded := recordedWorkers(tc.storeBatches())["w2"]
	assert.Assert(t, !recorded)
}

// The record of the workers in use must hold every worker on which a task may run or whose completions are not durable, and
// no other: a later leader starts no recovered task before it has heard of each.
func TestFleetRecordHoldsWorkersInUse(t *testing.T) {
	running := []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}
	cases := []struct {
		name string
		// prepare brings about what w1 holds before its registry entry goes.
		prepare  func(tc *testCluster)
		recorded bool
	}{
		{"a run", func(tc *testCluster) { tc.answerPoll("w1", running, nil) }, true},
		{"a completion that is not durable", func(tc *testCluster) {
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
		}, true},
		{"a durable completion", func(tc *testCluster) {
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
			tc.storeBatches()
		}, false},
		{"an unknown run", func(tc *testCluster) {
			tc.answerPoll("w1", append(running, backend.ActiveRun{Task: "unknown.0.0.0", Run: 1}), nil)
			tc.answerPoll("w1", []backend.ActiveRun{{Task: "unknown.0.0.0", Run: 1}}, nil)
		}, true},
		{"an expired lease and a completion that is not durable", func(tc *testCluster) {
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
			tc.core.RemoveWorker("w1", tc.now)
			tc.failPolls("w1", testLease+time.Second)
		}, true},
		{"an expired lease", func(tc *testCluster) {
			tc.answerPoll("w1", running, nil)
			tc.core.RemoveWorker("w1", tc.now)
			tc.failPolls("w1", testLease+time.Second)
		}, false},
	}
	for _, c := range cases {
		tc := newStartedTestCluster(t, stepWithTasks(1))
		tc.addWorker("w2")
		tc.confirmStarts()
		c.prepare(tc)
		tc.core.RemoveWorker("w1", tc.now)
		tc.advance(200 * time.Millisecond)
		row := tc.inUseByID()
		_, recorded := row["w1"]
		assert.Equal(t, recorded, c.recorded, c.name)
		assert.Equal(t, row["w2"], "w2:1", c.name)
	}
}

// A worker that returns to the registry after it has left the record must be recorded again before it is used.
func TestReturningWorkerIsRecordedBeforeUse(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.core.RemoveWorker("w1", tc.now)
	tc.advance(200 * time.Millisecond)
	assert.DeepEqual(t, recordedWorkers(tc.storeBatches()), map[string]string{})
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0)
	assert.DeepEqual(t, recordedWorkers(tc.storeBatches()), map[string]string{"w1": "w1:1"})
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
}

// A worker whose entry returns while a record without it is being written must not be used before it is recorded again: a later
// leader would not wait for it, and its tasks would run twice.
func TestWorkerReturnsDuringTheWriteOfTheRecord(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	tc.core.RemoveWorker("w1", tc.now)
	tc.advance(2 * sweepInterval)
	tc.listWorker("w3", nil)
	batch := tc.core.CollectBatch(80)
	_, recorded := recordedWorkers([]Batch{batch})["w1"]
	assert.Assert(t, !recorded)
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", nil, nil)
	tc.addJob("a", "plain", 1, stepWithTasks(8))
	tc.step()
	for _, a := range tc.starts {
		assert.Assert(t, a.Command.Worker.ID != "w1")
	}
	tc.core.BatchStored(batch, true, tc.now)
	assert.Equal(t, recordedWorkers(tc.storeBatches())["w1"], "w1:1")
}

// TestFleetRecordIsWrittenByDifference guards against a record that is written as a whole whenever a worker changes, and against
// rows that reach the size limit of the store.
func TestFleetRecordIsWrittenByDifference(t *testing.T) {
	const maxRowBytes = 65_536
	for _, workers := range []int{48, 3000, 10_000} {
		tc := newTestCluster(t, 1)
		for i := range workers {
			tc.listWorker(fmt.Sprintf("worker-%08d", i), nil)
		}
		batches := tc.storeBatches()
		assert.Equal(t, len(recordedWorkers(batches)), workers)
		for _, b := range batches {
			assert.Assert(t, len(b.Fleet) <= maxFleetRows)
			for _, row := range b.Fleet {
				assert.Assert(t, len(row.Data) < maxRowBytes/4, "%d workers: %d bytes", workers, len(row.Data))
			}
		}
		tc.listWorker("another", nil)
		batches = tc.storeBatches()
		assert.Equal(t, len(batches), 1)
		assert.Equal(t, len(batches[0].Fleet), 1)
		assert.Assert(t, tc.core.FleetRecordStored())
	}
}

// TestLeaderIsLostBetweenTheRowsOfTheRecord guards against a new leader that does not know of a worker that its predecessor used,
// although only some rows of the record were written.
func TestLeaderIsLostBetweenTheRowsOfTheRecord(t *testing.T) {
	tc := newTestCluster(t, 1)
	const workers = 500
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		tc.listWorker(id, nil)
		tc.answerPoll(id, nil, nil)
	}
	first := tc.core.CollectBatch(80)
	assert.Assert(t, len(first.Fleet) < FleetShards)
	tc.core.BatchStored(first, true, tc.now)
	tc.core.BatchStored(tc.core.CollectBatch(80), false, tc.now)
	tc.addJob("a", "plain", 1, stepWithTasks(4*workers))
	tc.advance(100 * time.Millisecond)
	assert.Assert(t, len(tc.starts) > workers)
	next := newTestCluster(t, 2)
	assert.NilError(t, next.core.LoadFleetRecord(next.now, fleetData([]Batch{first})...))
	for _, a := range tc.starts {
		_, known := next.core.workers[a.Command.Worker.ID]
		assert.Assert(t, known, a.Command.Worker.ID)
	}
	tc.storeBatches()
	// No more starts than maxStartsInFlight wait for their results.
	started := len(tc.starts)
	for range 4 * workers / maxStartsInFlight {
		tc.confirmStarts()
		tc.advance(200 * time.Millisecond)
		started += len(tc.starts)
	}
	assert.Equal(t, started, 4*workers)
}

// TestRefusedRowDoesNotStopOthers guards against a row that the store refuses whatever happens and that keeps the completions of
// all other jobs from being acknowledged.
func TestRefusedRowDoesNotStopOthers(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addWorker("w2")
	for _, id := range []string{"a", "b"} {
		tc.addJob(id, "plain", 1, stepWithTasks(1), stepWithTasks(1, dependsOn(0)))
	}
	tc.step()
	tc.confirmStarts()
	workerOf := map[string]string{}
	for id, w := range tc.core.workers {
		for key := range w.runs {
			workerOf[key.task[:1]] = id
		}
	}
	for _, id := range []string{"a", "b"} {
		tc.answerPoll(workerOf[id], nil, []backend.FinishedRun{tc.completion(workerOf[id], id+".0.0.0", 1, backend.ResultDone)})
	}
	for range 2 {
		b := tc.core.CollectBatch(1)
		assert.Equal(t, len(b.Progress), 1)
		if b.Progress[0].Job == "a" {
			tc.core.BatchRefused(b, tc.now)
		} else {
			tc.core.BatchStored(b, true, tc.now)
		}
	}
	assert.Assert(t, tc.core.CollectBatch(10).Empty())
	assert.Equal(t, tc.core.RefusedRows(), 1)
	assert.Equal(t, tc.acknowledged(workerOf["b"]), int64(1))
	assert.Equal(t, tc.acknowledged(workerOf["a"]), int64(0))
	tc.advance(50 * time.Millisecond)
	tc.confirmStarts()
	tc.answerPoll(workerOf["a"], nil, []backend.FinishedRun{tc.completion(workerOf["a"], "a.0.1.0", 1, backend.ResultDone)})
	tc.storeBatches()
	assert.Equal(t, tc.core.RefusedRows(), 0)
	assert.Equal(t, tc.state("a"), job.Completed, "the final state is a small row")
	assert.Equal(t, tc.acknowledged(workerOf["a"]), int64(2))
}

// Guards against tasks that run twice because a new leader assumes the usual leases on a worker that has restarted: a call to its former
// boot gives the new one the longest lease that workers grant.
func TestSuccessorAccountsForLongLeases(t *testing.T) {
	const longest = 3 * testLease
	tc := newTestCluster(t, 1)
	tc.core.opts.MaxLease = longest
	tc.addWorker("w1")
	restart := func(clockMS int64) {
		tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: clockMS}, StartedMS: 2000}, nil, tc.now+1)
	}
	restart(5)
	tc.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 0, "the restart is not recorded")
	restarted := fleetData(tc.storeBatches())
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)

	waits := func(rows [][]byte) time.Duration {
		next := newTestCluster(t, 2)
		next.core.opts.MaxLease, next.core.opts.LeaseExtension = longest, 0
		startedAt := next.now
		assert.NilError(t, next.core.LoadFleetRecord(next.now, rows...))
		next.listWorker("w1", func(info *backend.WorkerInfo) { info.StartedMS = 2000 })
		next.addWorker("w2")
		next.addJob("a", "plain", 1, stepWithTasks(1))
		for len(next.starts) == 0 && next.now < startedAt+time.Minute {
			next.answerPoll("w2", nil, nil)
			next.advance(100 * time.Millisecond)
		}
		return next.now - startedAt
	}
	long := maxLocalDuration(longest + lateCallAllowance)
	waited := waits(restarted)
	assert.Assert(t, waited >= long && waited < long+time.Second, "waited %s", waited)

	tc.advance(long + time.Second)
	waited = waits(fleetData(tc.storeBatches()))
	assert.Assert(t, waited >= testLease && waited < testLease+time.Second, "waited %s", waited)
}

// Guards against tasks that run twice because the second leader after the restart of a worker assumes the usual leases there: the first one
// does not see the restart, but only the new boot, to which calls of its predecessor may have given the longest lease.
func TestYoungBootOfAFormerLeaderIsMarked(t *testing.T) {
	const longest = 3 * testLease
	for name, c := range map[string]struct {
		clockMS int64
		marked  bool
	}{
		"young boot": {150, true},
		"old boot":   {time.Minute.Milliseconds(), false},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 2)
			tc.core.opts.MaxLease, tc.core.opts.LeaseExtension = longest, 0
			assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte(`{"w1":"w1:1"}`)))
			tc.listWorker("w1", nil)
			tc.core.PollResult("w1", tc.now, backend.PollReply{Reply: backend.Reply{ClockMS: c.clockMS}, StartedMS: 1000}, nil, tc.now+1)
			tc.addJob("a", "plain", 2, stepWithTasks(1))
			tc.advance(50 * time.Millisecond)
			assert.Equal(t, len(tc.starts) == 0, c.marked, "a worker is used before its mark is durable")
			rows := fleetData(tc.storeBatches())
			tc.advance(50 * time.Millisecond)
			assert.Equal(t, len(tc.starts), 1)
			if !c.marked {
				assert.Equal(t, len(rows), 0)
				return
			}
			next := newTestCluster(t, 3)
			next.core.opts.MaxLease, next.core.opts.LeaseExtension = longest, 0
			assert.NilError(t, next.core.LoadFleetRecord(next.now, rows...))
			assert.Equal(t, next.core.leasesEnd(next.core.workers["w1"]), next.core.epochStart+maxLocalDuration(longest+lateCallAllowance))
		})
	}
}
