package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// operation is what a caller asks about one job.
type operation int

const (
	opSubmit operation = iota
	opCancel
	opState
)

type jobInput struct {
	op operation
	id string
}

// jobOutput is what the caller was told.
type jobOutput struct {
	// verdict says whether the operation took effect; MayHaveRun if the caller cannot know.
	verdict verdict.Verdict
	// unknown says that there is no such job.
	unknown bool
	state   job.State
}

// jobStatus is a job as callers may see it: absent, accepted, or cancelled after its acceptance.
type jobStatus int

const (
	absent jobStatus = iota
	accepted
	cancelled
)

// acceptance is the sequential behaviour of one job. An operation without an answer stays open for the whole history, since it
// may take effect at any later time.
var acceptance = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byJob := map[string][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(jobInput).id
			byJob[id] = append(byJob[id], o)
		}
		var out [][]porcupine.Operation
		for _, o := range byJob {
			out = append(out, o)
		}
		return out
	},
	Init: func() any { return absent },
	Step: func(state, input, output any) (bool, any) {
		return stepJob(state.(jobStatus), input.(jobInput), output.(jobOutput))
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

func stepJob(s jobStatus, in jobInput, out jobOutput) (bool, jobStatus) {
	switch in.op {
	case opSubmit:
		if out.verdict == verdict.NotRun {
			return true, s
		}
		return true, max(s, accepted)
	case opCancel:
		switch {
		case out.unknown:
			return s == absent, s
		case out.verdict == verdict.NotRun:
			return true, s
		case s == absent:
			return out.verdict == verdict.MayHaveRun, s
		}
		return true, cancelled
	default:
		return stateAllowed(s, out), s
	}
}

// stateAllowed reports whether a job may be shown so. A cancelled job may be shown as running until its runs have ended, and
// as completed if they ended first.
func stateAllowed(s jobStatus, out jobOutput) bool {
	switch {
	case out.unknown:
		return s == absent
	case out.verdict != verdict.Ran:
		return true
	case out.state == job.Cancelled:
		return s == cancelled
	}
	return s != absent
}

// recorder notes the operations of concurrent callers.
type recorder struct {
	c *testCell

	mu      sync.Mutex
	history []porcupine.Operation
}

// endOfHistory is after every operation; those without an answer end there.
const endOfHistory = int64(time.Hour)

func (r *recorder) call(client int, n *testNode, in jobInput) {
	began := r.c.now()
	out := r.ask(n, in)
	ended := int64(r.c.now())
	if out.verdict == verdict.MayHaveRun {
		ended = endOfHistory
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(began), Output: out, Return: ended})
}

func (r *recorder) ask(n *testNode, in jobInput) jobOutput {
	switch in.op {
	case opSubmit:
		return outputOf(r.c.submit(n, in.id, 2, small(400*time.Millisecond), nil), "")
	case opCancel:
		return outputOf(r.c.cancel(n, in.id), "")
	default:
		state, err := r.c.state(n, in.id)
		return outputOf(err, state)
	}
}

func outputOf(err error, state job.State) jobOutput {
	if err == nil {
		return jobOutput{verdict: verdict.Ran, state: state}
	}
	return jobOutput{verdict: verdict.Of(err), unknown: verdict.From(err).Code == verdict.CodeExpired}
}

// TestAcceptanceIsLinearizable guards against a job that is accepted and unknown, refused and run, or cancelled and shown as
// running, whichever instance is asked while the store and the instances fail. Each seed plays other operations and faults.
func TestAcceptanceIsLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 3, 4)
				defer c.stop()
				r := &recorder{c: c}
				rng := rand.New(rand.NewPCG(seed, 1))
				stop := make(chan struct{})
				var callers sync.WaitGroup
				for client := range 4 {
					own := rand.New(rand.NewPCG(seed, uint64(client)+10))
					callers.Go(func() { r.play(client, own, stop) })
				}
				for range 4 {
					c.disturbStore(rng)
				}
				close(stop)
				callers.Wait()
				result, info := porcupine.CheckOperationsVerbose(acceptance, r.history, 0)
				if result != porcupine.Ok {
					assert.NilError(t, porcupine.VisualizePath(acceptance, info, t.TempDir()+"/history.html"))
					t.Fatalf("%d operations are not linearizable: %v", len(r.history), r.history)
				}
			})
		})
	}
}

// jobsAsked is the number of jobs that callers ask about: so many that a job is seldom handed in again after a refusal.
const jobsAsked = 60

// play asks about the jobs at random instances until stop is closed.
func (r *recorder) play(client int, rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(150)) * time.Millisecond):
		}
		n := r.c.node(fmt.Sprintf("i%d", rng.IntN(3)))
		op := []operation{opSubmit, opState, opState, opCancel}[rng.IntN(4)]
		r.call(client, n, jobInput{op, fmt.Sprintf("job%d", rng.IntN(jobsAsked))})
	}
}

// disturbStore lets the store fail for all or for one instance for a while, and then answer for a while.
func (c *testCell) disturbStore(rng *rand.Rand) {
	fault := []backends.Fault{backends.FaultRefused, backends.FaultSilent}[rng.IntN(2)]
	length := time.Duration(200+rng.IntN(1500)) * time.Millisecond
	name := fmt.Sprintf("i%d", rng.IntN(3))
	switch rng.IntN(4) {
	case 0:
		c.tables.SetFault(func(bool) backends.Fault { return fault })
	case 1:
		// Writes take effect, and neither their answers nor reads arrive.
		c.tables.SetFault(func(write bool) backends.Fault {
			if write {
				return backends.FaultLost
			}
			return backends.FaultRefused
		})
		length = 4 * time.Second
	case 2:
		c.setCut(name, fault)
	default:
		c.kill(name)
	}
	time.Sleep(length)
	c.tables.SetFault(nil)
	c.setCut(name, backends.FaultNone)
	c.mu.Lock()
	down := c.down[name]
	c.mu.Unlock()
	if down {
		c.start(name)
	}
	time.Sleep(500 * time.Millisecond)
}

// cancel cancels a job at an instance.
func (c *testCell) cancel(n *testNode, id string) error {
	q, err := n.Queue("h", "/b/"+id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return n.Cancel(ctx, q, job.ID(id))
}

// node returns an instance, which may have been started anew under its name.
func (c *testCell) node(name string) *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}
