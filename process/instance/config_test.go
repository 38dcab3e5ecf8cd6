package instance

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/config"
	"github.com/lentiltide/lentiltide/version/intent"
)

// maxConfigPropagation is the specified bound on the time from a confirmation until no instance applies an older version.
const maxConfigPropagation = 4 * time.Second

func planConfig(t *testing.T, n *node, document string) ConfigPlan {
	t.Helper()
	plan, err := n.PlanConfig(context.Background(), []byte(document))
	assert.NilError(t, err)
	return plan
}

func confirmConfig(t *testing.T, n *node, document string) ConfigStatus {
	t.Helper()
	status, err := n.ConfirmConfig(context.Background(), planConfig(t, n, document).ID)
	assert.NilError(t, err)
	return status
}

// assertNoOldVersion fails the test if an instance admits requests under a version below the given one.
func assertNoOldVersion(t *testing.T, nodes []*node, version uint64) {
	t.Helper()
	for _, n := range nodes {
		if n.checkAdmission() == nil && n.Config().Version < version {
			t.Fatalf("%s admits requests under version %d, want at least %d", n.address, n.Config().Version, version)
		}
	}
}

// TestConfigReachesAllInstances guards against a version that reaches only some instances, and against InForceEverywhere
// while an instance has not reported the version.
func TestConfigReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 8, 0)
		status := confirmConfig(t, nodes[3], `{"limits":{"queue_delay_ms":70}}`)
		assert.Equal(t, status.Version, uint64(1))
		assert.Assert(t, !status.InForceEverywhere)
		time.Sleep(maxConfigPropagation)
		for _, n := range nodes {
			assert.Equal(t, n.Config().Document.Limits.QueueDelayMS, 70)
			status, err := n.ConfigStatus(context.Background())
			assert.NilError(t, err)
			assert.Assert(t, status.InForceEverywhere, "waiting for %v", status.Waiting)
		}
	})
}

// TestIsolatedInstanceStopsAdmitting guards against an instance that lost contact with the table and its peers and still
// admits plans and tickets under an old version, and against InForceEverywhere before the session of that instance has
// expired.
func TestIsolatedInstanceStopsAdmitting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 4, 0)
		isolated := nodes[2]
		isolated.table.setFaults(func(f *faultyTable) { f.unavailable = true })
		isolated.setIsolated(true)
		status := confirmConfig(t, nodes[0], `{}`)
		assert.Assert(t, slices.Contains(status.Waiting, isolated.address), "waiting for %v", status.Waiting)
		assert.Assert(t, !status.InForceEverywhere)
		time.Sleep(maxConfigPropagation)
		assertNoOldVersion(t, nodes, 1)
		assert.Equal(t, verdict.Of(isolated.checkAdmission()), verdict.NotRun)
		time.Sleep(5 * time.Second)
		status, err := nodes[1].ConfigStatus(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, status.InForceEverywhere, "waiting for %v", status.Waiting)

		isolated.table.setFaults(func(f *faultyTable) { f.unavailable = false })
		isolated.setIsolated(false)
		time.Sleep(2 * config.PollInterval)
		assert.NilError(t, isolated.checkAdmission())
		assert.Equal(t, isolated.Config().Version, uint64(1))
	})
}

// TestConfigLostAnswer guards against a second version, or an error, when the answer to the write of a confirmation is lost
// after the write was applied, and when the caller repeats the confirmation at another instance.
func TestConfigLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 2, 0)
		plan := planConfig(t, nodes[0], `{"limits":{"queue_delay_ms":70}}`)
		nodes[0].table.setFaults(func(f *faultyTable) {
			f.losesAnswer = func(txn store.Txn) bool { return txn.Writes[0].Key == config.CurrentKey }
		})
		for _, n := range nodes {
			status, err := n.ConfirmConfig(context.Background(), plan.ID)
			assert.NilError(t, err)
			assert.Equal(t, status.Version, uint64(1))
		}
	})
}

// TestConcurrentConfigConfirmsHaveOneWinner guards against two plans with the same base version that are both put into force.
func TestConcurrentConfigConfirmsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 2, 0)
		first, second := planConfig(t, nodes[0], `{"limits":{"queue_delay_ms":70}}`), planConfig(t, nodes[1], `{"limits":{"queue_delay_ms":80}}`)
		_, err := nodes[0].ConfirmConfig(context.Background(), first.ID)
		assert.NilError(t, err)
		_, err = nodes[1].ConfirmConfig(context.Background(), second.ID)
		e := verdict.From(err)
		assert.Equal(t, e.Verdict, verdict.NotRun)
		assert.Equal(t, e.Code, verdict.CodeStalePlan)
		fresh := e.Detail.(ConfigPlan)
		assert.DeepEqual(t, fresh.Changes, []config.Change{{Path: "limits.queue_delay_ms", From: "70", To: "80"}})
		_, err = nodes[1].ConfirmConfig(context.Background(), fresh.ID)
		assert.NilError(t, err)
		assert.Equal(t, nodes[1].Config().Version, uint64(2))
	})
}

// TestInvalidConfigIsNotStored guards against an invalid document that is written to the table.
func TestInvalidConfigIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, nodes := startTestCluster(t, 1, 0)
		_, err := nodes[0].PlanConfig(context.Background(), []byte(`{"limits":{"queue_delay_ms":0}}`))
		assert.Equal(t, verdict.From(err).Code, verdict.CodeInvalid)
		rows, err := cluster.table.Scan(context.Background(), "config/")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
	})
}

// TestRestartedInstanceWithStaleReads guards against a restarted instance that applies an old version: its read of the table
// is stale, while its peers report a later version.
func TestRestartedInstanceWithStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, nodes := startTestCluster(t, 3, 0)
		confirmConfig(t, nodes[0], `{"limits":{"queue_delay_ms":70}}`)
		old, err := cluster.table.Get(context.Background(), config.CurrentKey)
		assert.NilError(t, err)
		confirmConfig(t, nodes[0], `{"limits":{"queue_delay_ms":80}}`)
		time.Sleep(maxConfigPropagation)
		nodes[2].Close()
		time.Sleep(6 * time.Second)

		restarted := cluster.startInstance(t, "entry-2")
		restarted.table.setFaults(func(f *faultyTable) { f.stale = map[string]store.Row{config.CurrentKey: old[0]} })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assertNoOldVersion(t, []*node{restarted}, 2)
		}
		restarted.table.setFaults(func(f *faultyTable) { f.stale = nil })
		time.Sleep(2 * config.PollInterval)
		assert.NilError(t, restarted.checkAdmission())
		assert.Equal(t, restarted.Config().Document.Limits.QueueDelayMS, 80)
	})
}

// TestPausedInstanceDoesNotAdmit guards against admission under an old version by a process that was paused during a
// confirmation: when it resumes, its clock has advanced, but it has not polled the configuration.
func TestPausedInstanceDoesNotAdmit(t *testing.T) {
	v := config.NewView(nil)
	now := time.Unix(1000, 0)
	assert.NilError(t, v.ApplyRead(now, config.Row{}))
	assert.NilError(t, v.Admit(now.Add(time.Second)))
	assert.Equal(t, verdict.Of(v.Admit(now.Add(time.Hour))), verdict.NotRun)
}

// TestConfigReachesCores guards against cores that keep the quotas and policies from the time when the partition was
// acquired, and against the confirmation of a plan that was made under an earlier version.
func TestConfigReachesCores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startTestCluster(t, 1, 2)
		n := nodes[0]
		assert.Equal(t, n.opts.Quotas.Quota("office", "fleet"), intent.Quota{Weight: 1})
		spec := model.IntentSpec{
			Account: "office", Team: "fleet", Name: "audit", Kind: model.KindBatch, Tasks: 1,
			TaskDemand: model.Resources{CPUMilli: 100, MemoryMiB: 10},
		}
		p := model.IntentPartition(spec.Account, spec.Team)
		before, err := n.Plan(context.Background(), p, spec)
		assert.NilError(t, err)
		confirmConfig(t, n, `{"teams":[{"account":"office","team":"fleet","weight":3,"limit":{"cpu_milli":9000}}],"policy":{"plan_term_ms":5000}}`)
		want := intent.Quota{Weight: 3, Limit: model.Resources{CPUMilli: 9000}}
		assert.Equal(t, n.opts.Quotas.Quota("office", "fleet"), want)
		_, err = n.Confirm(context.Background(), p, before.ID)
		assert.Equal(t, verdict.From(err).Code, verdict.CodeStalePlan)
		after, err := n.Plan(context.Background(), p, spec)
		assert.NilError(t, err)
		assert.Equal(t, after.ConfigVersion, uint64(1))
		assert.Equal(t, after.ExpiresAt.Sub(after.CreatedAt), 5*time.Second)
	})
}
