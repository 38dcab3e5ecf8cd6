package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// faultPoint is a kind of call across an interface of the cell at which a fault can be injected.
type faultPoint string

const (
	pointAccept   faultPoint = "accept"
	pointCancel   faultPoint = "cancel"
	pointProgress faultPoint = "progress"
	pointAdvise   faultPoint = "advise"
	pointStart    faultPoint = "start"
	pointPoll     faultPoint = "poll"
	pointStop     faultPoint = "stop"
	// pointDelegate and pointResults are the messages with delegated calls and with their results.
	pointDelegate faultPoint = "delegate"
	pointResults  faultPoint = "results"
	pointNotify   faultPoint = "notify"
	// pointReplicate and pointHandOver are the messages that replicate starts, and that hand them over to a successor.
	pointReplicate faultPoint = "replicate"
	pointHandOver  faultPoint = "hand over"
)

var faultPoints = []faultPoint{pointAccept, pointCancel, pointProgress, pointAdvise, pointStart, pointPoll, pointStop, pointNotify}

// delegationPoints are the messages between a leader and its delegates.
var delegationPoints = []faultPoint{pointDelegate, pointResults}

// callFault is a fault of one call.
type callFault string

const (
	faultRefused    callFault = "refused"
	faultSilent     callFault = "silent"
	faultAnswerLost callFault = "answer-lost"
	faultDelayed    callFault = "carried-out-late"
	faultRepeated   callFault = "carried-out-twice"
	faultLeaderDies callFault = "leader-dies"
	// faultPanics executes the call and then panics in its client.
	faultPanics callFault = "panics"
	// faultDelegateDies kills an instance other than the leader.
	faultDelegateDies callFault = "delegate-dies"
)

var callFaults = []callFault{faultRefused, faultSilent, faultAnswerLost, faultDelayed, faultRepeated, faultPanics, faultLeaderDies, faultDelegateDies}

const (
	// lateCallDelay is the delay after which a late call is executed: longer than a takeover, shorter than a lease.
	lateCallDelay = 3 * time.Second
	// unansweredTimeout is the timeout of a call that has no answer.
	unansweredTimeout = 200 * time.Millisecond
)

// injectedFault fires at the nth call of a fault point.
type injectedFault struct {
	point faultPoint
	fault callFault
	nth   int
	calls int
	fired bool
}

// nextFault counts a call of a fault point and returns the fault if it fires at this call. Callers must not hold c.mu.
func (c *testCell) nextFault(p faultPoint) callFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.injected
	if f == nil || f.point != p || f.fired {
		return ""
	}
	f.calls++
	if f.calls < f.nth {
		return ""
	}
	f.fired = true
	c.recordInjected(f)
	return f.fault
}

// leading returns an instance that leads, also one that is still reading its rows, or "".
func (c *testCell) leading() string {
	c.mu.Lock()
	nodes := maps.Clone(c.nodes)
	c.mu.Unlock()
	for name, n := range nodes {
		if n.currentLeadership() != nil {
			return name
		}
	}
	return ""
}

// callWithFault executes a call with the fault that is due at its fault point, if any.
func callWithFault[T any](ctx context.Context, c *testCell, p faultPoint, call func(context.Context) (T, error)) (T, error) {
	var zero T
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")
	unanswered := func() (T, error) {
		select {
		case <-time.After(unansweredTimeout):
		case <-ctx.Done():
		}
		return zero, unknown
	}
	switch c.nextFault(p) {
	case faultRefused:
		return zero, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	case faultSilent:
		return unanswered()
	case faultAnswerLost:
		_, _ = call(ctx)
		return unanswered()
	case faultDelayed:
		callCtx := backends.WithSender(context.WithoutCancel(ctx), backends.Sender{Instance: backends.SenderOf(ctx).Instance, Late: true})
		c.lateCalls.Go(func() {
			time.Sleep(lateCallDelay)
			_, _ = call(callCtx)
		})
		return unanswered()
	case faultRepeated:
		_, _ = call(ctx)
	case faultPanics:
		_, _ = call(ctx)
		panic("the client of " + p)
	case faultLeaderDies:
		if leader := c.leading(); leader != "" {
			c.lateCalls.Go(func() { c.kill(leader) })
		}
	case faultDelegateDies:
		name := c.follower().opts.Instance
		c.lateCalls.Go(func() { c.kill(name) })
	}
	return call(ctx)
}

// TestEveryFaultAtEveryPoint guards against a violated guarantee when a fault occurs at one of the first calls of a fault
// point: an accepted job completes once, a refused job never starts, and a cancelled job stops.
func TestEveryFaultAtEveryPoint(t *testing.T) {
	runFaultMatrix(t, faultPoints, 0)
}

// The same while the leader makes its calls to workers through another instance, with faults of the messages between the two.
func TestEveryFaultWithDelegatedCalls(t *testing.T) {
	runFaultMatrix(t, append(slices.Clone(delegationPoints), faultPoints...), 1)
}

func runFaultMatrix(t *testing.T, points []faultPoint, delegateFrom int) {
	for _, p := range points {
		for _, fault := range callFaults {
			for nth := 1; nth <= 2; nth++ {
				t.Run(fmt.Sprintf("%s/%s/%d", p, fault, nth), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						runFaultCase(t, &injectedFault{point: p, fault: fault, nth: nth}, delegateFrom)
					})
				})
			}
		}
	}
}

func runFaultCase(t *testing.T, injected *injectedFault, delegateFrom int) {
	c := newTestCellWith(t, 3, 4, delegateFrom)
	// Delegates send results until they are stopped.
	defer c.lateCalls.Wait()
	defer c.stop()
	c.mu.Lock()
	c.injected = injected
	c.mu.Unlock()
	setEstimate := func(step *job.Step) { step.EstimateMS = 400 }
	submitErrs := map[string]error{}
	for i := range 4 {
		id := fmt.Sprintf("job%d", i)
		submitErrs[id] = c.submit(c.node(fmt.Sprintf("i%d", i%3)), id, 3, smallTask(400*time.Millisecond), setEstimate)
		time.Sleep(100 * time.Millisecond)
	}
	cancelled := []string{"gone0", "gone1"}
	for _, id := range cancelled {
		submitErrs[id] = c.submit(c.node("i1"), id, 2, smallTask(30*time.Second), nil)
	}
	time.Sleep(500 * time.Millisecond)
	cancelErrs := map[string]error{}
	for _, id := range cancelled {
		cancelErrs[id] = c.cancel(c.node("i2"), id)
	}
	time.Sleep(20 * time.Second)
	if injected.fault == faultPanics {
		// Only the call that panicked may fail.
		assert.Equal(t, c.panicCount(), 1)
		c.mu.Lock()
		assert.Equal(t, c.panics[placeLeadership]+c.panics[placeNode], 0, "%v", c.panics)
		c.mu.Unlock()
	}
	c.mu.Lock()
	fired := injected.fired
	c.mu.Unlock()
	assert.Assert(t, fired, "the fault did not fire: too few calls of %s", injected.point)
	for i := range 4 {
		id := fmt.Sprintf("job%d", i)
		c.requireOutcome(id, submitErrs[id])
	}
	for _, id := range cancelled {
		if cancelErrs[id] == nil {
			assert.Equal(t, len(c.workers.RunningOn(id+".0.0.0")), 0, "job %s was cancelled, but its task is running", id)
		}
	}
	assert.DeepEqual(t, c.workers.Violations(), []string(nil))
}

// requireOutcome checks the outcome of a job against the answer to its submission.
func (c *testCell) requireOutcome(id string, submitErr error) {
	task := id + ".0.0.0"
	switch {
	case submitErr == nil:
		c.requireCompleted(id)
		stored, _ := cell.StoredState(c.tables.Rows(progressTable)[id].Value)
		assert.Equal(c.t, stored, job.Completed, "the state of job %s is not durable", id)
		assert.Assert(c.t, c.workers.Done(task))
	case verdict.Of(submitErr) == verdict.NotRun:
		assert.Equal(c.t, c.workers.Starts(task), 0, "job %s was refused, but its task was started: %v", id, submitErr)
	}
}

// faultPointOf returns the fault point of a transaction, or "" if it has none.
func faultPointOf(txn backend.Txn) faultPoint {
	for _, row := range txn.Put {
		switch row.Table {
		case jobTable:
			return pointAccept
		case cancelTable:
			return pointCancel
		case progressTable:
			return pointProgress
		}
	}
	return ""
}

// faultyAdvisor is a placement policy whose calls are the fault point pointAdvise.
type faultyAdvisor struct {
	backends.Advisor
	c *testCell
}

// Advise implements backend.Advisor.
func (a *faultyAdvisor) Advise(ctx context.Context, step string, workers []string) ([]backend.Ticket, time.Duration, error) {
	type advice struct {
		good     []backend.Ticket
		validity time.Duration
	}
	out, err := callWithFault(ctx, a.c, pointAdvise, func(ctx context.Context) (advice, error) {
		good, validity, err := a.Advisor.Advise(ctx, step, workers)
		return advice{good, validity}, err
	})
	return out.good, out.validity, err
}
