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

// withoutReadBack reports a write with an unknown outcome as refused, instead of reading the rows back to resolve the outcome.
type withoutReadBack struct{ store.Table }

func (t withoutReadBack) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	versions, err := t.Table.Commit(ctx, txn)
	if verdict.Of(err) == verdict.MayHaveRun {
		err = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "taken for not run")
	}
	return versions, err
}

// withoutFence replaces the epoch of each request by one that no worker refuses.
type withoutFence struct{ worker.Agent }

// anyEpoch is higher than every epoch that a worker has seen, so that no worker refuses it.
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

// withoutConfirmedStop reports a start with an unknown outcome as not run, instead of waiting until the worker confirms that
// the task can no longer run.
type withoutConfirmedStop struct{ worker.Agent }

func (a withoutConfirmedStop) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	reply, err := a.Agent.Start(ctx, req)
	if verdict.Of(err) == verdict.MayHaveRun {
		err = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "taken for not run")
	}
	return reply, err
}

// withoutTicketTable replaces the ticket of each call by a new one, so that repeated calls are not recognised.
type withoutTicketTable struct{ api.Backend }

func (b withoutTicketTable) Call(ctx context.Context, n int, id string, ticket model.StartToken, key string, payload []byte) (model.Outcome, error) {
	if fresh, err := b.Backend.IssueTickets(n, id, 1); err == nil {
		ticket = fresh[0]
	}
	return b.Backend.Call(ctx, n, id, ticket, key, payload)
}

// withoutAnswerCheck rewrites the request ID and digest of each answer to a forwarded request, so that the answer to another
// request is accepted.
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

// TestMutations guards against a matrix that cannot detect faults of the scheduler: with one protection disabled, a cell must
// break a promise.
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
		// faults names the faults that the protection guards against.
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
			violating, ok := findViolatingCell(t, c.mutate, c.faults)
			if !ok {
				t.Fatalf("without the protection, no cell with the faults %v breaks a promise", c.faults)
			}
			problems, _ := runCell(t, violating, mutationSeed, mutations{})
			assert.Assert(t, len(problems) == 0, "%s breaks a promise even with the protection: %v", violating.name(), problems)
			for range requiredViolations {
				problems, _ := runCell(t, violating, mutationSeed, c.mutate)
				if len(problems) == 0 {
					t.Fatalf("%s (message %d) does not break a promise in every run", violating.name(), max(violating.nth, 1))
				}
				t.Logf("%s (message %d): %s", violating.name(), max(violating.nth, 1), problems[0])
			}
		})
	}
}

// findViolatingCell returns the first cell with the named faults that breaks a promise. It tries pairs of the named faults
// first, then the single cells of the matrix, then cells in which a fault fires at the second to sixth message of its step.
func findViolatingCell(t *testing.T, mutate mutations, names []string) (cell, bool) {
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
	// mutationSeed is the seed of the runs in TestMutations.
	mutationSeed = 1
	// requiredViolations is how many more runs of a violating cell must break a promise. Several runs are needed because a
	// result that depends on how goroutines are scheduled would fail the test only sometimes.
	requiredViolations = 3
)
