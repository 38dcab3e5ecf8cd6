package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/process/node"
	"github.com/lentiltide/lentiltide/version/cell"
)

// Operators tell a leader that is busy with decisions from one that makes its calls itself by these metrics.
func TestMetricsOfTheLoadOfALeader(t *testing.T) {
	m, err := NewNodeMetrics()
	assert.NilError(t, err)
	status := func() node.Status {
		return node.Status{
			Load:  cell.Load{ReadySteps: 7, WaitingTasks: 90, WaitingServices: 3, LongestServiceWaitMS: 6100, HeldTasks: 8, HeldTaskMS: 9500, FoundTasks: 6, Effort: cell.Effort{Rounds: 5, Advice: 400, Sweep: 1100}},
			Calls: node.WorkerCalls{Delegated: 30, Unanswered: 2, Direct: 4},
		}
	}
	assert.NilError(t, m.RegisterGauges(status, func() uint64 { return 0 }))
	m.RecordDecision(cell.Decision{Event: "task_started", Fields: map[string]any{"waited_ms": int64(20)}})
	m.RecordDecision(cell.Decision{Event: "task_started", Fields: map[string]any{"waited_ms": int64(20)}})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`lentiltide_ready_steps 7`, `lentiltide_ready_tasks 90`, `lentiltide_services_waiting 3`, `lentiltide_services_longest_wait 6100`, `lentiltide_recovery_held_tasks 8`,
		`lentiltide_recovery_held_task_time_total 9500`, `lentiltide_recovery_found_tasks_total 6`, `lentiltide_leader_rounds_total 5`,
		`lentiltide_leader_examined_total{purpose="advice"} 400`, `lentiltide_leader_examined_total{purpose="sweep"} 1100`,
		`lentiltide_leader_worker_calls_total{path="direct"} 4`, `lentiltide_leader_worker_calls_total{path="unanswered"} 2`,
		`lentiltide_decisions_total{event="task_started"} 2`,
	} {
		assert.Assert(t, strings.Contains(w.Body.String(), line+"\n"), "%s is missing in\n%s", line, w.Body)
	}
}
