package instance

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/config"
)

// TestFormerOwnerAnswersMayHaveRunForUnknownIntent guards against NotRun by a former owner that has not noticed its successor: the intent
// was confirmed there and its calls run. plan/store-unavailable+instance-list-stale of the fault matrix found it.
func TestFormerOwnerAnswersMayHaveRunForUnknownIntent(t *testing.T) {
	in := startSingle(t)
	spec := testSpec(model.KindCall, 1, 10)
	in.plan(t, spec)
	n := partitionOf(spec)
	call := func() error {
		_, err := in.Call(context.Background(), n, fmt.Sprintf("i%d-unknown", n), model.StartToken{Partition: n, Epoch: 1, Sequence: 1}, "", nil)
		return err
	}
	assert.Equal(t, verdict.Of(call()), verdict.NotRun)
	in.table.SetFaults(standinplatform.Faults{Before: func(string) error {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the table is down")
	}})
	err := call()
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.From(err).Code, verdict.CodeWrongOwner)
}

// duplicatingTable repeats the write of a configuration plan when the configuration is confirmed.
type duplicatingTable struct {
	store.Table
	planWrite store.Txn
}

func (l *duplicatingTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if txn.Writes[0].Key == config.CurrentKey {
		_, _ = l.Table.Commit(ctx, l.planWrite)
	} else if strings.HasPrefix(txn.Writes[0].Key, config.PlanPrefix) {
		l.planWrite = txn
	}
	return l.Table.Commit(ctx, txn)
}

// TestDuplicatedWriteOfConfigPlan guards against a plan that is answered as stale because its own write arrived a second time.
// apply-configuration/message-duplicated+store-slow of the fault matrix found it.
func TestDuplicatedWriteOfConfigPlan(t *testing.T) {
	s := settings.Default()
	s.Instance = "entry-0"
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := New(Options{
		Settings: s, Table: &duplicatingTable{Table: standinplatform.NewTable()}, Objects: standinplatform.NewObjects(),
		Members: standinplatform.NewInstanceList(), Workers: testDialer{}, Log: log,
	})
	defer in.Close()
	plan, err := in.ConfigPlan(context.Background(), []byte(`{"limits":{"queue_delay_ms":70}}`))
	assert.NilError(t, err)
	for range 2 {
		status, err := in.ConfigConfirm(context.Background(), plan.ID)
		assert.NilError(t, err)
		assert.Equal(t, status.Version, uint64(1))
	}
}

// TestNewKeysStayWithinWriteBudget guards against keyed calls that use up the writes of the table: beyond the budget a new key is
// refused at once, while a known one is still answered.
func TestNewKeysStayWithinWriteBudget(t *testing.T) {
	in := startSingle(t)
	spec := testSpec(model.KindCall, 1, 1)
	out := in.confirm(t, in.plan(t, spec))
	n := partitionOf(spec)
	call := func(key string) error {
		_, err := in.Call(context.Background(), n, out.ID, model.StartToken{}, key, nil)
		return err
	}
	assert.NilError(t, call("first"))
	in.keyLimiter.SetBurst(0)
	err := call("second")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, verdict.From(err).Code, verdict.CodeOverloaded)
	assert.Assert(t, verdict.From(err).RetryAfter > 0)
	assert.NilError(t, call("first"))
}
