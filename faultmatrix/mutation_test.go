package faultmatrix

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// withoutEpochCondition drops the condition on the partition row from each transaction that is not an ownership change.
type withoutEpochCondition struct{ store.Table }

func (t withoutEpochCondition) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if !strings.HasPrefix(txn.Writes[0].Key, "partition/") {
		var kept []store.Condition
		for _, c := range txn.Conditions {
			if !strings.HasPrefix(c.Key, "partition/") {
				kept = append(kept, c)
			}
		}
		txn.Conditions = kept
	}
	return t.Table.Commit(ctx, txn)
}

// withoutReadBack takes a write whose answer was lost for one that was refused, instead of reading back what it did.
type withoutReadBack struct{ store.Table }

func (t withoutReadBack) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	versions, err := t.Table.Commit(ctx, txn)
	if verdict.Of(err) == verdict.MayHaveRun {
		err = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "taken for not run")
	}
	return versions, err
}

// withoutFence sends each request with an epoch that no worker refuses.
type withoutFence struct{ worker.Agent }

// anyEpoch is accepted by every worker, whatever epoch it has seen.
const anyEpoch = 1 << 40

func (a withoutFence) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	req.Epoch = anyEpoch
	return a.Agent.Start(ctx, req)
}

func (a withoutFence) Fence(ctx context.Context, req worker.FenceRequest) (worker.Inventory, error) {
	req.Epoch = anyEpoch
	return a.Agent.Fence(ctx, req)
}

func (a withoutFence) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	req.Epoch = anyEpoch
	return a.Agent.Sync(ctx, req)
}

// withoutConfirmedStop takes a start whose answer was lost for one that did not run, instead of waiting until the worker
// shows that it cannot run any more.
type withoutConfirmedStop struct{ worker.Agent }

func (a withoutConfirmedStop) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	reply, err := a.Agent.Start(ctx, req)
	if verdict.Of(err) == verdict.MayHaveRun {
		err = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "taken for not run")
	}
	return reply, err
}

// withoutTicketTable gives each call a fresh ticket, so that a repeated one is not recognised.
type withoutTicketTable struct{ api.Backend }

func (b withoutTicketTable) Call(ctx context.Context, n int, id string, ticket model.StartToken, key string, payload []byte) (model.Outcome, error) {
	if fresh, err := b.Backend.Tickets(n, id, 1); err == nil {
		ticket = fresh[0]
	}
	return b.Backend.Call(ctx, n, id, ticket, key, payload)
}

// withoutAnswerCheck accepts any answer to a forwarded request as the answer to this one.
type withoutAnswerCheck struct{ api.Backend }

func (b withoutAnswerCheck) Dispatch(
	ctx context.Context, req instance.Request, forward func() *peerpb.Forward, local func(context.Context) error,
) (*peerpb.ForwardReply, error) {
	var sent *peerpb.Forward
	reply, err := b.Backend.Dispatch(ctx, req, func() *peerpb.Forward {
		sent = forward()
		return sent
	}, local)
	if err != nil || reply == nil {
		return reply, err
	}
	headers := maps.Clone(reply.GetHeaders())
	headers[api.HeaderRequestID] = sent.GetHeaders()[api.HeaderRequestID]
	return &peerpb.ForwardReply{
		Status: reply.GetStatus(), Headers: headers, Body: reply.GetBody(), Digest: xxhash.Sum64(reply.GetBody()),
	}, nil
}

// TestMutations guards the matrix itself: without a protection, cells of the matrix must break promises.
func TestMutations(t *testing.T) {
	if cellStride > 1 {
		t.Skip("runs without the race detector, as does the whole matrix")
	}
	table := func(wrap func(store.Table) store.Table) mutations { return mutations{table: wrap} }
	agent := func(wrap func(worker.Agent) worker.Agent) mutations {
		return mutations{agent: func(a worker.Agent, _ *workerStub) worker.Agent { return wrap(a) }}
	}
	backend := func(wrap func(api.Backend) api.Backend) mutations { return mutations{backend: wrap} }
	cases := []struct {
		name   string
		mutate mutations
		// faults are those of the matrix that the protection is for.
		faults []string
	}{
		{"epoch-condition", table(func(t store.Table) store.Table { return withoutEpochCondition{t} }), []string{"process-pauses", "message-delayed"}},
		{"worker-fence", agent(func(a worker.Agent) worker.Agent { return withoutFence{a} }), []string{"process-dies", "message-delayed"}},
		{"read-back", table(func(t store.Table) store.Table { return withoutReadBack{t} }), []string{"message-delayed"}},
		{"ticket-table", backend(func(b api.Backend) api.Backend { return withoutTicketTable{b} }), []string{"answer-lost", "message-duplicated"}},
		{"confirmed-stop", agent(func(a worker.Agent) worker.Agent { return withoutConfirmedStop{a} }), []string{"answer-lost", "message-delayed"}},
		{"answer-digest", backend(func(b api.Backend) api.Backend { return withoutAnswerCheck{b} }), []string{"answer-swapped"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			failing, ok := findFailingCell(t, c.mutate, c.faults)
			if !ok {
				t.Fatalf("no cell with the faults %v breaks a promise", c.faults)
			}
			problems, _ := runCell(t, failing, mutationSeed, mutations{})
			assert.Assert(t, len(problems) == 0, "%s breaks a promise with the protection too: %v", failing.name(), problems)
			for range repetitions {
				problems, _ := runCell(t, failing, mutationSeed, c.mutate)
				if len(problems) == 0 {
					t.Fatalf("%s (message %d) breaks a promise in some plays only", failing.name(), max(failing.nth, 1))
				}
				t.Logf("%s (message %d): %s", failing.name(), max(failing.nth, 1), problems[0])
			}
		})
	}
}

// findFailingCell returns the first cell that breaks a promise. Besides the cells of the matrix, each fault
// also fires alone at later messages of its step. Pairs of the named faults come first.
func findFailingCell(t *testing.T, mutate mutations, names []string) (cell, bool) {
	single, pairs := cells()
	var candidates []cell
	for _, c := range pairs {
		if slices.Contains(names, c.first.name) && slices.Contains(names, c.second.name) {
			candidates = append(candidates, c)
		}
	}
	for _, s := range steps {
		for _, f := range faults {
			for nth := 2; nth <= 6; nth++ {
				single = append(single, cell{step: s, first: f, nth: nth})
			}
		}
	}
	for _, c := range single {
		if slices.Contains(names, c.first.name) {
			candidates = append(candidates, c)
		}
	}
	for _, c := range candidates {
		if problems, _ := runCell(t, c, mutationSeed, mutate); len(problems) > 0 {
			return c, true
		}
	}
	return cell{}, false
}

const (
	// mutationSeed is the seed of the cells without a protection.
	mutationSeed = 1
	// repetitions is how often a cell that breaks a promise must break one again: a verdict that depends on the order of
	// goroutines fails the test now and then only.
	repetitions = 3
)
