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

// TestFormerOwnerAnswersMayHaveRunForUnknownIntent guards against NotRun for an intent that was confirmed, and whose calls
// run, at the new owner of the partition, while the former owner has not noticed that it lost the partition. Found by
// plan/store-unavailable+instance-list-stale of the fault matrix.
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

// duplicatingTable repeats the write of a configuration plan right before its confirmation is committed.
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

// TestDuplicatedWriteOfConfigPlan guards against the refusal of a configuration plan as stale because the write of the plan
// itself arrived a second time. Found by apply-configuration/message-duplicated+store-slow of the fault matrix.
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
	plan, err := in.PlanConfig(context.Background(), []byte(`{"limits":{"queue_delay_ms":70}}`))
	assert.NilError(t, err)
	for range 2 {
		status, err := in.ConfirmConfig(context.Background(), plan.ID)
		assert.NilError(t, err)
		assert.Equal(t, status.Version, uint64(1))
	}
}

// TestNewKeysStayWithinWriteBudget guards against calls with idempotency keys that exhaust the write budget of the table:
// beyond the limit a new key is refused at once, and a recorded one is still answered.
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
