package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// The progress of an occurrence that a former leader has opened must not be lost when the clock of the next leader is behind,
// so that the occurrence is not due there: its tasks would start again in the epoch after that.
func TestProgressOfLaterOccurrenceIsKept(t *testing.T) {
	const interval = 10 * time.Second
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	tc.step()
	recurring := record("plain", 1, stepWithTasks(2))
	recurring.Spec.Repetitions, recurring.Spec.StartAtMS, recurring.Spec.IntervalMS = 3, tc.now.Milliseconds(), interval.Milliseconds()
	stored := []byte(`{"t":{"0.0":{"d":"AQ=="},"1.0":{"a":true}}}`)
	assert.NilError(t, tc.core.LoadJob("a", recurring, stored, tc.now))
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "a.0.0.1")
	run := tc.starts[0].Command.Run
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.1", run, backend.ResultDone)})
	batches := tc.storeBatches()

	next := newTestCluster(t, 3)
	next.now = tc.now + interval
	next.addWorker("w1")
	assert.NilError(t, next.core.LoadJob("a", recurring, batches[0].Progress[0].Data, next.now))
	next.advance(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0)
}

// recurringRecord returns a record whose steps are due repeatedly from now on.
func (tc *testCluster) recurringRecord(repetitions int, interval time.Duration, steps ...job.Step) job.Record {
	r := record("plain", 1, steps...)
	r.Spec.Repetitions, r.Spec.StartAtMS, r.Spec.IntervalMS = repetitions, tc.now.Milliseconds(), interval.Milliseconds()
	return r
}

// smallSteps returns steps of one task each, of which a worker runs a hundred at a time.
func smallSteps(n int) []job.Step {
	steps := make([]job.Step, n)
	for i := range steps {
		steps[i] = stepWithTasks(1, func(s *job.Step) { s.TaskDemand = model.Resources{CPUMilli: 40, MemoryMiB: 1} })
	}
	return steps
}

// runAll starts what waits and ends all runs on w1 as done.
func (tc *testCluster) runAll() {
	tc.advance(120 * time.Millisecond)
	tc.answerPoll("w1", nil, tc.completeRuns("w1", tc.confirmStarts()["w1"]))
}

// Guards against progress of a recurring job that grows with each occurrence until the store refuses it, and against occurrences that
// start again after a change of the leader.
func TestProgressOfARecurringJobStaysSmall(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	const repetitions, steps = 500, 20
	r := tc.recurringRecord(repetitions, 100*time.Millisecond, smallSteps(steps)...)
	tc.core.AddJob("a", r, tc.now)
	largest := 0
	var data []byte
	for range repetitions - 100 {
		tc.runAll()
		for _, b := range tc.storeBatches() {
			for _, p := range b.Progress {
				largest, data = max(largest, len(p.Data)), p.Data
			}
		}
	}
	assert.Assert(t, largest < 4000, "%d bytes", largest)
	assert.Assert(t, len(tc.core.jobs["a"].occurrences) < 10)
	done := tc.core.jobs["a"].doneOccurrences.last()
	assert.Assert(t, done > 300, "%d", done)

	next := tc.successor()
	next.addWorker("w1")
	assert.NilError(t, next.core.LoadJob("a", r, data, next.now))
	next.advance(50 * time.Millisecond)
	for _, a := range next.starts {
		name, _ := job.ParseTaskName(a.Command.Task)
		assert.Assert(t, name.Occurrence > done, a.Command.Task)
	}
	for range repetitions {
		next.runAll()
		next.storeBatches()
	}
	assert.Equal(t, next.state("a"), job.Completed)

	// All occurrences are complete, and the leader is lost before it has stored that the job is.
	last := newTestCluster(t, 3)
	assert.NilError(t, last.core.LoadJob("a", r, []byte(fmt.Sprintf(`{"o":[[0,%d]]}`, repetitions-1)), next.now))
	assert.Equal(t, last.core.jobs["a"].state, job.Completed)
}

// Guards against a backlog of occurrences that are due at once, which would take the memory of the instance and keep other jobs from
// starting.
func TestBacklogOfOccurrencesIsPaced(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	r := tc.recurringRecord(40_000, time.Millisecond, smallSteps(2)...)
	r.Spec.StartAtMS -= 40_000
	tc.core.AddJob("a", r, tc.now)
	tc.advance(200 * time.Millisecond)
	assert.Assert(t, len(tc.core.jobs["a"].occurrences) <= maxOpenTasks/2)
	assert.Assert(t, len(tc.starts) > 50)
	running := tc.confirmStarts()["w1"]
	tc.answerPoll("w1", nil, tc.completeRuns("w1", running))
	tc.addJob("urgent", "short", 1, stepWithTasks(1))
	for range 20 {
		tc.runAll()
		tc.storeBatches()
	}
	assert.Assert(t, tc.core.jobs["a"].doneOccurrences.last() > 500)
	for _, b := range tc.storeBatches() {
		for _, p := range b.Progress {
			assert.Assert(t, len(p.Data) < maxProgressBytes)
		}
	}
}

// Guards against progress that does not fit into a row although the job was accepted: the widest jobs, with all attempts used up and with
// crashes of workers under all tasks.
func TestProgressOfTheWidestJobsFits(t *testing.T) {
	tc := newTestCluster(t, 1)
	const tasks = 5000
	tc.addJob("a", "plain", 1, stepWithTasks(tasks))
	j := tc.core.jobs["a"]
	workers := make([]*worker, 300)
	for i := range workers {
		workers[i] = tc.core.addWorker(fmt.Sprintf("i-%08x", i*7919))
		workers[i].startedMS = 1_700_000_000_000 + int64(i)*1237
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, task := range j.occurrences[0].steps[0].tasks {
		run := rng.Int64N(100)
		task.failedRuns = []int64{run, run + rng.Int64N(5), run + 64 + rng.Int64N(5)}
		task.crashes = crashCount{certain: rng.IntN(3), possible: rng.IntN(2)}
		task.suspect = true
		w := workers[rng.IntN(len(workers))]
		task.formerRun = &storedRun{Number: run + 70, Worker: w.info.ID, StartedMS: w.startedMS, Confirmed: rng.IntN(2) == 0}
	}
	data := tc.core.encodeProgress(j)
	assert.Assert(t, len(data) <= maxProgressBytes, "%d bytes", len(data))
	row, err := decodeProgress(data)
	assert.NilError(t, err)
	assert.Equal(t, len(row.Steps["0.0"].Failed), tasks)
}

// Guards against indexes that are lost or added in the set of complete occurrences, whatever the order.
func TestIndexRanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		var ranges indexRanges
		added := map[int]bool{}
		for range 200 {
			index := rng.IntN(100)
			ranges = ranges.with(index)
			added[index] = true
			previous := -2
			for _, span := range ranges {
				assert.Assert(t, span[0] > previous+1 && span[0] <= span[1], "%v", ranges)
				previous = span[1]
			}
			for i := range 100 {
				assert.Equal(t, ranges.contains(i), added[i], "%v %d", ranges, i)
			}
		}
	}
}

// Guards against an occurrence that starts long before its time because the product of its index and the interval overflows.
func TestOccurrenceFarAheadIsNotDue(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.addWorker("w1")
	r := tc.recurringRecord(10, time.Hour, stepWithTasks(1))
	r.Spec.IntervalMS = 1 << 62
	assert.NilError(t, tc.core.LoadJob("a", r, []byte(`{"o":[[0,2]]}`), tc.now))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
}
