package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// step is a call at an interface of a cell at which a fault fires.
type step string

const (
	stepAccept   step = "accept"
	stepCancel   step = "cancel"
	stepProgress step = "progress"
	stepAdvise   step = "advise"
	stepStart    step = "start"
	stepPoll     step = "poll"
	stepStop     step = "stop"
	stepNotify   step = "notify"
)

var matrixSteps = []step{stepAccept, stepCancel, stepProgress, stepAdvise, stepStart, stepPoll, stepStop, stepNotify}

// callFault is what becomes of one call.
type callFault string

const (
	faultRefused    callFault = "refused"
	faultSilent     callFault = "silent"
	faultAnswerLost callFault = "answer-lost"
	faultLate       callFault = "carried-out-late"
	faultTwice      callFault = "carried-out-twice"
	faultLeaderDies callFault = "leader-dies"
)

var matrixFaults = []callFault{faultRefused, faultSilent, faultAnswerLost, faultLate, faultTwice, faultLeaderDies}

const (
	// lateBy is how much later a late call is carried out: longer than a takeover takes, shorter than a lease.
	lateBy = 3 * time.Second
	// unansweredAfter bounds a call that has no answer.
	unansweredAfter = 200 * time.Millisecond
)

// armedFault fires at the nth call of a step.
type armedFault struct {
	step  step
	fault callFault
	nth   int
	seen  int
	fired bool
}

// faultOf returns the fault of a call of a step, if it is its turn. Callers must not hold c.mu.
func (c *testCell) faultOf(s step) callFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.armed
	if a == nil || a.step != s || a.fired {
		return ""
	}
	a.seen++
	if a.seen < a.nth {
		return ""
	}
	a.fired = true
	return a.fault
}

// through carries out a call under the fault of its step.
func through[T any](ctx context.Context, c *testCell, s step, do func(context.Context) (T, error)) (T, error) {
	var zero T
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")
	unanswered := func() (T, error) {
		select {
		case <-time.After(unansweredAfter):
		case <-ctx.Done():
		}
		return zero, unknown
	}
	switch c.faultOf(s) {
	case faultRefused:
		return zero, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	case faultSilent:
		return unanswered()
	case faultAnswerLost:
		_, _ = do(ctx)
		return unanswered()
	case faultLate:
		late := context.WithoutCancel(ctx)
		c.late.Go(func() {
			time.Sleep(lateBy)
			_, _ = do(late)
		})
		return unanswered()
	case faultTwice:
		_, _ = do(ctx)
	case faultLeaderDies:
		leader := c.leader()
		c.late.Go(func() { c.kill(leader) })
	}
	return do(ctx)
}

// TestEveryFaultAtEveryStep guards the promises of a cell against a fault at the first calls of every step: what was accepted
// completes once, what was refused never starts, what was cancelled ends.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, s := range matrixSteps {
		for _, fault := range matrixFaults {
			for nth := 1; nth <= 2; nth++ {
				t.Run(fmt.Sprintf("%s/%s/%d", s, fault, nth), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playCell(t, &armedFault{step: s, fault: fault, nth: nth}) })
				})
			}
		}
	}
}

func playCell(t *testing.T, armed *armedFault) {
	c := newTestCell(t, 3, 4)
	defer c.stop()
	defer c.late.Wait()
	c.mu.Lock()
	c.armed = armed
	c.mu.Unlock()
	second := func(s *job.Step) { s.EstimateMS = 400 }
	outcome := map[string]error{}
	for i := range 4 {
		id := fmt.Sprintf("job%d", i)
		outcome[id] = c.submit(c.node(fmt.Sprintf("i%d", i%3)), id, 3, small(400*time.Millisecond), second)
		time.Sleep(100 * time.Millisecond)
	}
	cancelled := []string{"gone0", "gone1"}
	for _, id := range cancelled {
		outcome[id] = c.submit(c.node("i1"), id, 2, small(30*time.Second), nil)
	}
	time.Sleep(500 * time.Millisecond)
	cancelErr := map[string]error{}
	for _, id := range cancelled {
		cancelErr[id] = c.cancel(c.node("i2"), id)
	}
	time.Sleep(20 * time.Second)
	assert.Assert(t, armed.fired, "the step does not occur")
	for i := range 4 {
		id := fmt.Sprintf("job%d", i)
		c.requireOutcome(id, outcome[id])
	}
	for _, id := range cancelled {
		if cancelErr[id] == nil {
			assert.Equal(t, len(c.workers.RunningOn(id+".0.0.0")), 0, "%s was cancelled", id)
		}
	}
	assert.DeepEqual(t, c.workers.Violations(), []string(nil))
}

// requireOutcome compares what became of a job with what its caller was told.
func (c *testCell) requireOutcome(id string, told error) {
	task := id + ".0.0.0"
	switch {
	case told == nil:
		c.requireCompleted(id)
		assert.Assert(c.t, c.workers.Done(task))
	case verdict.Of(told) == verdict.NotRun:
		assert.Equal(c.t, c.workers.Starts(task), 0, "%s was refused: %v", id, told)
	}
}

// stepOf returns the step of a transaction.
func stepOf(txn backend.Txn) step {
	for _, row := range txn.Put {
		switch row.Table {
		case jobTable:
			return stepAccept
		case cancelTable:
			return stepCancel
		case progressTable:
			return stepProgress
		}
	}
	return ""
}

// matrixAdvisor puts the fault of its step before a placement policy.
type matrixAdvisor struct {
	backends.Advisor
	c *testCell
}

// Advise implements backend.Advisor.
func (a *matrixAdvisor) Advise(ctx context.Context, name string, workers []string) ([]backend.Ticket, time.Duration, error) {
	type advice struct {
		good     []backend.Ticket
		validity time.Duration
	}
	out, err := through(ctx, a.c, stepAdvise, func(ctx context.Context) (advice, error) {
		good, validity, err := a.Advisor.Advise(ctx, name, workers)
		return advice{good, validity}, err
	})
	return out.good, out.validity, err
}
