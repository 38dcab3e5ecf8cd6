package node

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// stepsOf returns steps with the given numbers of tasks.
func stepsOf(counts ...int) job.Spec {
	spec := job.Spec{Payload: "p"}
	for _, n := range counts {
		spec.Steps = append(spec.Steps, job.Step{Count: n, TaskDemand: model.Resources{CPUMilli: 1000}})
	}
	return spec
}

// Guards against the acceptance of a job whose counts, or demands, exceed an integer in sum: each leader that reads it would run out of
// memory, or take its demand for a small one.
func TestSizesThatOverflowAreRejected(t *testing.T) {
	accepted := func(spec job.Spec) bool {
		err := validateSpec(spec)
		assert.Assert(t, err == nil || verdict.From(err).Code == verdict.CodeInvalid)
		return err == nil
	}
	assert.Assert(t, accepted(stepsOf(maxTasks)))
	assert.Assert(t, accepted(stepsOf(maxTasks-1, 1)))
	for _, counts := range [][]int{
		{maxTasks + 1}, {maxTasks, 1}, {math.MaxInt}, {math.MaxInt, math.MaxInt}, {math.MaxInt, math.MaxInt, 7},
		{1 << 62, 1 << 62, 1 << 62, 1 << 62, 12}, {1, math.MinInt}, {0},
	} {
		assert.Assert(t, !accepted(stepsOf(counts...)), "%v", counts)
	}
	for _, demand := range []model.Resources{
		{CPUMilli: math.MaxInt64}, {MemoryMiB: math.MaxInt64 / 2}, {Accelerators: job.MaxDemand + 1}, {CPUMilli: -1},
	} {
		spec := stepsOf(10)
		spec.Steps[0].TaskDemand = demand
		assert.Assert(t, !accepted(spec), "%v", demand)
	}
	largest := stepsOf(maxTasks)
	largest.Steps[0].TaskDemand = model.Resources{CPUMilli: job.MaxDemand, MemoryMiB: job.MaxDemand, Accelerators: job.MaxDemand}
	assert.Assert(t, accepted(largest))
	assert.Assert(t, !largest.Steps[0].TaskDemand.Times(maxTasks).HasNegative())
}

// Guards against a backlog of accepted jobs without a limit, for each of which a leader needs memory, and against a refusal of a job that was accepted
// before, or that runs nevertheless.
func TestSubmissionBeyondTheBacklogIsRefused(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		n := c.follower()
		assert.NilError(t, c.submit(n, "a", 1, smallTask(time.Second), nil))
		setBacklog := func(jobs uint32) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.waitingJobs, n.waitingJobsReceivedAt = map[string]uint32{"other": jobs - 1, testQueue: 1}, n.opts.Now()
		}
		setBacklog(maxWaitingJobs)
		err := c.submit(n, "b", 1, smallTask(time.Second), nil)
		e := verdict.From(err)
		assert.Equal(t, e.Verdict, verdict.NotRun)
		assert.Equal(t, e.Code, verdict.CodeOverloaded)
		assert.Equal(t, e.RetryAfter, backlogRetryAfter)
		setBacklog(maxWaitingJobs)
		assert.NilError(t, c.submit(n, "a", 1, smallTask(time.Second), nil))
		setBacklog(maxWaitingJobs - 1)
		assert.NilError(t, c.submit(n, "c", 1, smallTask(time.Second), nil))
		time.Sleep(5 * time.Second)
		c.requireState(n, "a", job.Completed)
		c.requireState(n, "c", job.Completed)
		assert.Equal(t, c.workers.Starts("b.0.0.0"), 0)
	})
}

// Guards against a repeated submission of an accepted job that is answered as if the job had never run, since its team's limit was lowered meanwhile.
func TestRepetitionAfterALowerLimitIsAccepted(t *testing.T) {
	n, _ := newKeyNode(configWithKeys(1, firstKey))
	submit := func(id job.ID) error {
		spec := stepsOf(1)
		spec.Steps[0].TaskDemand.CPUMilli = 3000
		return n.Submit(t.Context(), job.Queue{Name: "q"}, "a", id, spec)
	}
	assert.NilError(t, submit("a"))
	lowered := configWithKeys(2, firstKey)
	lowered.Teams["a"] = job.Team{Name: "a", Keys: []string{firstKey}, Limit: model.Resources{CPUMilli: 2000}}
	n.config = lowered
	assert.NilError(t, submit("a"))
	e := verdict.From(submit("b"))
	assert.Equal(t, e.Code, verdict.CodeInvalid)
	assert.Equal(t, e.Verdict, verdict.NotRun)
}
