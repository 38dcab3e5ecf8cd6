package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// newSmallCluster returns a core that has little memory for jobs, with a worker of 4 cores.
func newSmallCluster(t *testing.T, epoch uint64, memoryBytes int64) *testCluster {
	tc := newTestCluster(t, epoch)
	tc.core.admission = newAdmission(memoryBytes)
	tc.rows = map[job.ID]job.Record{}
	tc.addWorker("w1")
	return tc
}

// loadRow passes a stored job to the core with its progress.
func (tc *testCluster) loadRow(id job.ID, r job.Record) {
	if progress := tc.storedProgress[id]; len(progress) > 0 {
		assert.NilError(tc.t, tc.core.LoadJob(id, r, progress, tc.now))
		return
	}
	tc.core.AddJob(id, r, tc.now)
}

// submit stores a job and passes it to the core.
func (tc *testCluster) submit(id string, r job.Record) {
	tc.rows[job.ID(id)] = r
	tc.loadRow(job.ID(id), r)
}

// runUntil runs rounds in which the worker w1 ends all its runs as done, until a job is in a state.
func (tc *testCluster) runUntil(id string, want job.State, rounds int) {
	for range rounds {
		if tc.state(id) == want {
			return
		}
		tc.runAll()
		tc.storeBatches()
	}
	assert.Equal(tc.t, tc.state(id), want, "%s", id)
}

func requiring(label string) func(*job.Step) { return func(s *job.Step) { s.RequiredLabel = label } }

// Guards against a leader that runs out of memory on a job of any size that is in the store, however it got there, and against one that cannot
// be cancelled or seen.
func TestJobLargerThanMemoryIsDeferred(t *testing.T) {
	for name, counts := range map[string][]int{
		"negative sum":                {math.MaxInt, math.MaxInt},
		"sum wraps to a small number": {math.MaxInt, math.MaxInt, 7},
		"wide":                        {60_000},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newSmallCluster(t, 2, 32<<20)
			var steps []job.Step
			for _, n := range counts {
				steps = append(steps, stepWithTasks(n))
			}
			tc.submit("huge", record("plain", 2, steps...))
			recurring := record("plain", 1, steps...)
			recurring.Spec.Repetitions, recurring.Spec.IntervalMS = math.MaxInt, math.MaxInt64
			tc.storedProgress["loaded"] = []byte(`{"t":{"0.0":{"d":"AQ=="}}}`)
			tc.submit("loaded", recurring)
			tc.submit("ordinary", record("plain", 2, stepWithTasks(4)))
			assert.Equal(t, len(tc.core.jobs), 1)
			assert.Equal(t, tc.state("huge"), job.Queued)
			assert.Equal(t, tc.state("loaded"), job.Running)
			tc.runUntil("ordinary", job.Completed, 3)
			tc.advance(30 * time.Second)
			assert.Equal(t, tc.lookups, 0)
			assert.Equal(t, tc.core.WaitingJobs()["plain"], 1)
			dump := tc.core.Dump(10)
			assert.Equal(t, len(dump.Deferred), 2)
			assert.Equal(t, dump.Deferred[0].Reason, deferredTooLarge)
			assert.Equal(t, dump.Memory.TooLarge, 2)

			tc.core.CancelJob("huge", tc.now)
			tc.storeBatches()
			assert.Equal(t, tc.state("huge"), job.Cancelled)
			assert.Equal(t, string(tc.storedProgress["huge"]), `{"s":"cancelled"}`)
			tc.submit("huge", record("plain", 2, steps...))
			assert.Equal(t, tc.state("huge"), job.Cancelled)
		})
	}
}

// Guards against accepted work that takes more memory than the leader has, with jobs that each are within their own limit, and against large
// jobs that keep small ones out.
func TestMemoryOfAllJobsIsBounded(t *testing.T) {
	tc := newSmallCluster(t, 1, 16<<20)
	for i := range 200 {
		tc.submit(fmt.Sprintf("wide%03d", i), record("plain", 1, stepWithTasks(1000), stepWithTasks(1000, dependsOn(0))))
	}
	assert.Assert(t, len(tc.core.jobs) < 10)
	assert.Equal(t, len(tc.core.jobs)+len(tc.core.admission.deferred), 200)
	assert.Equal(t, tc.core.WaitingJobs()["plain"], 200)
	tc.submit("small", record("plain", 1, stepWithTasks(1)))
	assert.Assert(t, tc.core.jobs["small"] != nil)
	for i := range 40 {
		tc.advance(time.Second)
		use := tc.core.MemoryUse()
		assert.Assert(t, use.UsedBytes <= use.LimitBytes, "%d s: %+v", i, use)
	}
}

// Guards against jobs that cannot start and keep the memory for ever, so that others are never started though there is capacity.
func TestJobsThatCannotStartAreEvicted(t *testing.T) {
	for name, step := range map[string]job.Step{
		"small": stepWithTasks(10, requiring("nowhere")),
		"large": stepWithTasks(2000, requiring("nowhere")),
	} {
		t.Run(name, func(t *testing.T) {
			tc := newSmallCluster(t, 1, 4<<20)
			jobs := 20_000 / step.Count
			for i := range jobs {
				// A more urgent queue must not keep the memory either.
				tc.submit(fmt.Sprintf("never%04d", i), record("short", 1, step))
			}
			tc.submit("ordinary", record("plain", 1, step))
			tc.submit("possible", record("plain", 1, stepWithTasks(step.Count)))
			tc.advance(100 * time.Millisecond)
			for range 60 {
				tc.advance(100 * time.Millisecond)
				if len(tc.starts) > 0 {
					break
				}
			}
			assert.Assert(t, len(tc.starts) > 0)
			assert.Equal(t, tc.starts[0].Command.Task[:9], "possible.")
			use := tc.core.MemoryUse()
			assert.Assert(t, use.UsedBytes <= use.LimitBytes)
			assert.Equal(t, len(tc.core.jobs)+use.Deferred, jobs+2)
		})
	}
}

// Guards against advice that takes the memory of the leader: jobs that the placement policy allows nowhere ask about every worker of a large cell.
func TestAdviceIsPartOfTheMemory(t *testing.T) {
	tc := newSmallCluster(t, 1, 200<<10)
	const workers, jobs = 300, 12
	for i := range workers {
		tc.addWorker(fmt.Sprintf("v%03d", i))
	}
	tc.core.SetAdvisers([]string{"i1", "i2", "i3", "i4"})
	for i := range jobs {
		tc.submit(fmt.Sprintf("never%02d", i), record("short", 1, stepWithTasks(1)))
	}
	rejected := 0
	for range 300 {
		requests := tc.adviceRequests
		tc.adviceRequests = nil
		for _, a := range requests {
			rejected += len(a.Workers)
			tc.answerAdvice(a, time.Minute, func(int) bool { return false })
		}
		tc.advance(20 * time.Millisecond)
		use := tc.core.MemoryUse()
		inFlight := int64(4 * maxAdviceWorkers * adviceFootprint)
		assert.Assert(t, float64(use.UsedBytes) <= maxOvershoot*float64(use.LimitBytes)+float64(5*inFlight), "%+v", use)
	}
	assert.Assert(t, rejected > jobs*workers/2)
	assert.Assert(t, tc.core.MemoryUse().Evictions > 0)
}

// Guards against steps that stay in memory after their end because workers on which they had tickets still refer to them.
func TestAdviceOfEndedStepsIsDropped(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(6)
	tc.core.SetAdvisers([]string{"i1", "i2"})
	for i := range 20 {
		tc.addJob(fmt.Sprintf("j%02d", i), "short", 1, stepWithTasks(2))
	}
	for i := range 20 {
		if i%4 == 3 {
			tc.core.CancelJob(job.ID(fmt.Sprintf("j%02d", i)), tc.now)
		}
	}
	for range 60 {
		requests := tc.adviceRequests
		tc.adviceRequests = nil
		tc.advance(20 * time.Millisecond)
		for _, a := range requests {
			tc.answerAdvice(a, time.Minute, permitAll)
		}
		for id, running := range tc.confirmStarts() {
			tc.answerPoll(id, nil, tc.completeRuns(id, running))
		}
		tc.storeBatches()
	}
	for i := range 20 {
		assert.Assert(t, tc.state(fmt.Sprintf("j%02d", i)).Terminal())
	}
	for id, w := range tc.core.workers {
		assert.Equal(t, len(w.watchers), 0, id)
	}
	assert.Equal(t, tc.core.admission.used, int64(0))
}

// Guards against a job of the largest size that an instance accepts and that the smallest leader could never hold.
func TestLargestAcceptedJobFits(t *testing.T) {
	const smallestMemory = 12 << 20
	var steps []job.Step
	for i := range job.MaxSteps {
		steps = append(steps, stepWithTasks(5000/job.MaxSteps, func(s *job.Step) { s.DependsOn = make([]int, i) }))
	}
	r := record("plain", 1, steps...)
	r.Spec.Payload = string(make([]byte, 4000))
	a := newAdmission(smallestMemory)
	assert.Assert(t, a.canHold(recordFootprint(&r)+occurrenceFootprint(&r.Spec)))
}
