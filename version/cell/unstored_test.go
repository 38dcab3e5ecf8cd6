package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// crashedTwice returns a cluster in which task x.0.0.0 has crashed two of three workers, the first crash being stored.
func crashedTwice(t *testing.T) *crashCluster {
	cc := newCrashCluster(t, 1, "a1", "a2", "a3")
	cc.addJob("x", "plain", 1, stepWithTasks(1))
	cc.crash(cc.start("x.0.0.0"))
	cc.storeBatches()
	cc.advance(20 * time.Millisecond)
	cc.crash(cc.start("x.0.0.0"))
	return cc
}

// TestTaskIsHeldAfterCrash guards against a task that starts again before its last crash outlasts the leader, and against one that
// waits for an instance that does not exist.
func TestTaskIsHeldAfterCrash(t *testing.T) {
	cases := map[string]struct {
		release func(cc *crashCluster)
		within  time.Duration
	}{
		"stored":     {func(cc *crashCluster) { cc.storeBatches() }, 200 * time.Millisecond},
		"replicated": {func(cc *crashCluster) { cc.core.SetReplicated(cc.core.unstored.lastSequence) }, 200 * time.Millisecond},
		"alone":      {func(*crashCluster) {}, maxCrashHold + 200*time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cc := crashedTwice(t)
			cc.advance(maxCrashHold / 2)
			assert.Equal(t, len(cc.starts), 0)
			c.release(cc)
			cc.advance(c.within)
			assert.Equal(t, len(cc.starts), 1)
		})
	}
}

// TestReplicatedCrashesAreAdopted guards against a new leader that counts the crashes under a task anew, and against one that counts
// the crash under the last run twice.
func TestReplicatedCrashesAreAdopted(t *testing.T) {
	cc := crashedTwice(t)
	results := cc.core.UnstoredResults(0, 10, cc.now)
	assert.Assert(t, results.Empty(), "a write may still store the crash in time")
	cc.advance(unstoredReportDelay)
	results = cc.core.UnstoredResults(0, 10, cc.now)
	assert.Equal(t, len(results.Crashes), 1)
	next := newCrashCluster(t, 2, "a1", "a2", "a3")
	next.addJob("x", "plain", 1, stepWithTasks(1))
	for range 2 {
		assert.NilError(t, next.core.AdoptCrashes("x", results.Crashes[0].Data, next.now))
	}
	assert.Equal(t, next.crashesOf("x.0.0.0"), 2)
	next.storeBatches()
	next.crash(next.start("x.0.0.0"))
	next.advance(2 * crashSettleTime)
	assert.Equal(t, len(next.starts), 0, "the task has crashed three workers")
	assert.Assert(t, next.core.AdoptCrashes("x", []byte("["), next.now) != nil)
	assert.NilError(t, next.core.AdoptCrashes("unknown", results.Crashes[0].Data, next.now))
}

// TestStoredCrashesAreNotReplicated guards against replicas that grow while the store answers.
func TestStoredCrashesAreNotReplicated(t *testing.T) {
	cc := crashedTwice(t)
	for range 10 {
		cc.storeBatches()
		cc.advance(unstoredReportDelay / 4)
		assert.Assert(t, cc.core.UnstoredResults(0, 10, cc.now).Empty())
	}
	cc.storeBatches()
	assert.Assert(t, cc.core.UnstoredResults(0, 10, cc.now).Empty())
	assert.Equal(t, len(cc.core.unstored.entries), 0)
}

// TestAdoptedResultsArePassedOn guards against results of a former leader that are lost with its successor, which has received them and
// not stored them, and against results that are lost because they are young when the leadership ends.
func TestAdoptedResultsArePassedOn(t *testing.T) {
	cc := crashedTwice(t)
	assert.Equal(t, len(cc.core.AllUnstoredResults().Crashes), 1)
	crashes := cc.core.AllUnstoredResults().Crashes[0].Data
	next := newCrashCluster(t, 2, "a1", "a2", "a3")
	next.addJob("x", "plain", 1, stepWithTasks(1))
	next.addJob("y", "plain", 1, stepWithTasks(1))
	next.storeBatches()
	next.core.AdoptCompletions([]job.ID{"y"}, next.now)
	assert.NilError(t, next.core.AdoptCrashes("x", crashes, next.now))
	results := next.core.AllUnstoredResults()
	assert.DeepEqual(t, results.Completed, []job.ID{"y"})
	assert.Equal(t, len(results.Crashes), 1)
	assert.Equal(t, results.AdoptedSequence, results.Sequence)
	next.storeBatches()
	results = next.core.AllUnstoredResults()
	assert.Assert(t, results.Empty())
	assert.Assert(t, results.StoredSequence >= results.AdoptedSequence)
}

// TestSupersededCrashesAreNotReportedAsStored guards against instances that forget the crashes under a task when another crash takes their
// place, which they receive later: a leader lost in between would take both along.
func TestSupersededCrashesAreNotReportedAsStored(t *testing.T) {
	cc := crashedTwice(t)
	cc.advance(unstoredReportDelay)
	held := cc.core.UnstoredResults(0, 10, cc.now)
	assert.Equal(t, len(held.Crashes), 1)
	cc.core.SetReplicated(held.Sequence)
	cc.crash(cc.start("x.0.0.0"))
	results := cc.core.UnstoredResults(held.Sequence, 0, cc.now)
	assert.Assert(t, results.StoredSequence < held.Sequence, "nothing was stored, and %d is reported as stored", results.StoredSequence)
	results = cc.core.UnstoredResults(held.Sequence, 10, cc.now)
	assert.Equal(t, len(results.Crashes), 1, "the record is older than a write takes, whatever superseded it")
	assert.Assert(t, results.StoredSequence < held.Sequence)
	cc.storeBatches()
	results = cc.core.UnstoredResults(results.Sequence, 10, cc.now)
	assert.Assert(t, results.StoredSequence >= results.Sequence)
}

// TestAdoptedCrashesAreWholeWhenTheirSuccessorIsSent guards against a leader that takes its adopted crashes for replicated although a crash
// that supersedes them has not been sent yet.
func TestAdoptedCrashesAreWholeWhenTheirSuccessorIsSent(t *testing.T) {
	former := crashedTwice(t)
	next := newCrashCluster(t, 2, "a1", "a2", "a3")
	next.addJob("x", "plain", 1, stepWithTasks(1))
	for range 2 {
		assert.NilError(t, next.core.AdoptCrashes("x", former.core.AllUnstoredResults().Crashes[0].Data, next.now))
	}
	results := next.core.UnstoredResults(0, 10, next.now)
	assert.Assert(t, results.Empty())
	assert.Assert(t, max(results.Sequence, results.StoredSequence) < results.AdoptedSequence)
	next.advance(unstoredReportDelay)
	results = next.core.UnstoredResults(0, 10, next.now)
	assert.Equal(t, len(results.Crashes), 1)
	assert.Assert(t, results.Sequence >= results.AdoptedSequence)
}

// TestResultsBeyondABatch guards against a leader that resigns as if all results were durable, although they did not fit into its last
// write.
func TestResultsBeyondABatch(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addJob("x", "plain", 1, stepWithTasks(1))
	tc.addJob("y", "plain", 1, stepWithTasks(1))
	assert.Assert(t, tc.core.AreResultsIn(Batch{}))
	tc.core.AdoptCompletions([]job.ID{"x", "y"}, tc.now)
	first := tc.core.CollectBatch(1)
	assert.Equal(t, len(first.Progress), 1)
	assert.Assert(t, !tc.core.AreResultsIn(first))
	tc.core.BatchStored(first, false, tc.now)
	both := tc.core.CollectBatch(10)
	assert.Assert(t, tc.core.AreResultsIn(both))
	assert.Assert(t, !tc.core.AreResultsIn(Batch{}))
	tc.core.BatchStored(both, true, tc.now)
	assert.Assert(t, tc.core.AreResultsIn(Batch{}))
}

// TestAdoptedRunsOfFormerLeaders guards against a crash that a new leader does not count, since it ignores the last start in the results of a
// former leader, or counts twice, since the former leader has counted it after the stored start, and against one that fails as it learns of
// two starts.
func TestAdoptedRunsOfFormerLeaders(t *testing.T) {
	for name, c := range map[string]struct {
		// change is what the former leader learned after its last write.
		change func(t *task)
		// lacksStart means that the last write was before the start.
		lacksStart bool
		want       int
	}{
		"start was not stored": {change: func(*task) {}, lacksStart: true, want: 2},
		"later start": {change: func(t *task) {
			t.runs, t.formerRun = nil, &storedRun{Number: 2, Worker: "a1", StartedMS: 1000, Confirmed: true}
		}, want: 2},
		"same start":    {change: func(*task) {}, want: 2},
		"crash counted": {change: func(t *task) { t.runs, t.crashes.certain = nil, 2 }, want: 2},
		"crash and a later start": {change: func(t *task) {
			t.runs, t.crashes.certain, t.formerRun = nil, 2, &storedRun{Number: 2, Worker: "a1", StartedMS: 1000}
		}, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			cc := newCrashCluster(t, 1, "a1")
			cc.addJob("x", "plain", 1, stepWithTasks(1))
			former := cc.core.findTask("x.0.0.0")
			former.crashes = crashCount{certain: 1}
			cc.start("x.0.0.0")
			batches := cc.storeBatches()
			stored := batches[len(batches)-1].Progress[0].Data
			if c.lacksStart {
				stored = []byte(`{"t":{"0.0":{"c":{"0":[1,0,0]}}}}`)
			}
			c.change(former)
			next := newCrashCluster(t, 2)
			assert.NilError(t, next.core.LoadFleetRecord(next.now, []byte(`{"a1":"a1:1"}`)))
			assert.NilError(t, next.core.LoadJob("x", record("plain", 1, stepWithTasks(1)), stored, next.now))
			for range 2 {
				assert.NilError(t, next.core.AdoptCrashes("x", cc.core.encodeProgress(former.step.job), next.now))
			}
			next.core.PollResult("a1", next.now, backend.PollReply{Reply: backend.Reply{ClockMS: 10}, StartedMS: 2000}, nil, next.now+1)
			next.advance(20 * time.Millisecond)
			assert.Equal(t, next.crashesOf("x.0.0.0"), c.want)
		})
	}
}
