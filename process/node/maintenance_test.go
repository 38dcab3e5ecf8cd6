package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/version/cell"
)

// fakeMachines is a machine service that does not compare fencing tokens. It records the tokens of the requests.
type fakeMachines struct {
	mu     sync.Mutex
	tokens []uint64
}

func (*fakeMachines) List(context.Context) (backend.MachineList, error) {
	return backend.MachineList{}, nil
}

func (m *fakeMachines) Maintain(_ context.Context, leader backend.Leader, _ string, _ int) (backend.MachineRefusal, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens = append(m.tokens, leader.FencingToken)
	return "", nil
}

// A leader that was suspended until another one took over must not request maintenance with the permission that it had before,
// nor one that cannot find out whether it still leads.
func TestFormerLeaderRequestsNoMaintenance(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		n := c.nodes[c.leader()]
		l := n.loadedLeadership()
		action := &cell.MaintainAction{Machine: "m1", Wave: 1}
		refusal, err := l.maintain(t.Context(), action)
		assert.NilError(t, err)
		assert.Equal(t, refusal, backend.MachineRefusal(""))
		assert.DeepEqual(t, c.machines.tokens, []uint64{l.epoch})

		c.setStoreFault(n.opts.Instance, backends.FaultRefused)
		c.isolate(n.opts.Instance)
		_, err = l.maintain(t.Context(), action)
		assert.Assert(t, err != nil)
		time.Sleep(8 * time.Second)
		assert.Assert(t, c.leader() != n.opts.Instance)
		c.setStoreFault(n.opts.Instance, backends.FaultNone)
		c.isolate("")
		time.Sleep(time.Second)
		refusal, err = l.maintain(t.Context(), action)
		assert.NilError(t, err)
		assert.Equal(t, refusal, backend.MachineFenced)
		assert.DeepEqual(t, c.machines.tokens, []uint64{l.epoch})
	})
}

// Guards against a wave that the operator is told is running after it was told that the wave is completed: the first report had no answer
// and is carried out late.
func TestLateReportDoesNotReopenAWave(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		l := c.nodes[c.leader()].loadedLeadership()
		status := testDecoder{}.WaveStatus(7, true)
		requireReported := func(completed bool) {
			t.Helper()
			row, err := c.tables.Get(t.Context(), status.RowKey)
			assert.NilError(t, err)
			assert.Equal(t, string(row.Value), fmt.Sprint(completed))
		}
		c.slow.setSpeed(10*time.Millisecond, 2*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		assert.Assert(t, l.reportWave(ctx, &cell.WaveAction{Wave: 7}) != nil)
		cancel()
		c.slow.setSpeed(0, 0)
		assert.NilError(t, l.reportWave(t.Context(), &cell.WaveAction{Wave: 7}))
		requireReported(false)
		assert.NilError(t, l.reportWave(t.Context(), &cell.WaveAction{Wave: 7, Completed: true}))
		requireReported(true)
		time.Sleep(2 * time.Second)
		requireReported(true)
		assert.NilError(t, l.reportWave(t.Context(), &cell.WaveAction{Wave: 7}))
		requireReported(true)
	})
}
