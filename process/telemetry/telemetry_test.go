package telemetry

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/verdict"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/rack"
	"github.com/lentiltide/lentiltide/worker"
)

type singleAgentDialer struct{ agent worker.Agent }

func (d singleAgentDialer) Dial(string) worker.Agent { return d.agent }

// TestMetrics guards against metrics that operators rely on but that are not exported.
func TestMetrics(t *testing.T) {
	m, err := NewMetrics()
	assert.NilError(t, err)
	defer m.Close()
	clock := clockwork.NewFakeClock()
	m.ObserveRequest(model.ClassShort, "call", verdict.NotRun, verdict.CodeOverloaded, time.Millisecond)
	m.ObserveForward("call", verdict.Ran)
	assert.NilError(t, m.RegisterStats(func() instance.Stats {
		return instance.Stats{
			Racks:   []rack.Summary{{Queued: [model.NumClasses]int{3}}},
			Intents: []instance.IntentDump{{JournalPending: 5}}, SessionAge: 2 * time.Second, ConfigVersion: 9,
		}
	}))
	assert.NilError(t, m.RegisterPeerBytes(func() (sent, received uint64) { return 11, 12 }))
	ctx := context.Background()
	table := standinplatform.NewTable()
	table.SetFaults(standinplatform.Faults{Before: func(op string) error {
		if op == "scan" {
			return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "down")
		}
		return nil
	}})
	counted := m.InstrumentTable(table, clock)
	_, err = counted.Commit(ctx, store.Txn{ID: "t", Writes: []store.Write{{Key: "a"}}})
	assert.NilError(t, err)
	_, err = counted.Scan(ctx, "")
	assert.Assert(t, err != nil)
	agent := standinworker.New(standinworker.Options{ID: "w", Clock: clock})
	inv, err := agent.Fence(ctx, worker.FenceRequest{Epoch: 1})
	assert.NilError(t, err)
	wrapped := m.InstrumentWorkers(singleAgentDialer{agent}, clock).Dial("")
	task := model.Task{ID: "x/0.0", Class: model.ClassShort, RunTimeMS: 10, SubmittedAt: clock.Now().Add(-300 * time.Millisecond)}
	_, err = wrapped.Start(ctx, worker.StartRequest{Epoch: 1, Task: task, BootID: inv.BootID, LeaseUntil: 1000})
	assert.NilError(t, err)
	clock.Advance(20 * time.Millisecond)
	_, err = wrapped.Sync(ctx, worker.SyncRequest{Epoch: 1, BootID: inv.BootID})
	assert.NilError(t, err)

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`lentiltide_requests_total{class="short",code="overloaded",operation="call",verdict="not_run"} 1`,
		`lentiltide_forwards_total{operation="call",verdict="ran"} 1`,
		`lentiltide_starts_total{class="short",verdict="ran"} 1`,
		`lentiltide_outcomes_total{class="short",state="finished"} 1`,
		`lentiltide_wait_seconds_bucket{class="short",le="0.25"} 0`,
		`lentiltide_wait_seconds_bucket{class="short",le="0.5"} 1`,
		`lentiltide_table_operations_total{operation="scan",result="unavailable"} 1`,
		`lentiltide_table_rows_total{direction="written"} 1`,
		`lentiltide_queue_length{class="urgent"} 3`,
		`lentiltide_journal_pending 5`,
		`lentiltide_session_age_seconds 2`,
		`lentiltide_config_version 9`,
		`lentiltide_peer_bytes_total{direction="sent"} 11`,
		`lentiltide_partitions_owned{kind="intent"} 1`,
	} {
		assert.Assert(t, strings.Contains(w.Body.String(), line+"\n"), "line %s is missing in the metrics:\n%s", line, w.Body)
	}
}

// TestKratosLog guards against log entries of the kratos library that are not JSON, and against its info entries flooding
// the log of the process.
func TestKratosLog(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(io.Writer(&out), logrus.InfoLevel)
	k := kratosLogger{log}
	assert.NilError(t, k.Log(0, "msg", "listening"))
	assert.Equal(t, out.Len(), 0)
	assert.NilError(t, k.Log(2, "msg", "failed", "code", 7))
	assert.Assert(t, strings.Contains(out.String(), `"msg":"failed"`), out.String())
}
