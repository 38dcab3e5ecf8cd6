package backends

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// TestDrainingWorkerLeaves guards against a stand-in that loses runs while it drains, stays afterwards, or comes back with what it had.
func TestDrainingWorkerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		entries := map[string]backend.WorkerInfo{}
		workers := NewWorkers(func() time.Duration { return time.Since(begin) }, func(string) TaskBehavior { return TaskBehavior{Service: true} })
		workers.SetRegistry(Registry{
			Write:  func(info backend.WorkerInfo) { entries[info.ID] = info },
			Remove: func(id string) { delete(entries, id) },
		})
		workers.Add(backend.WorkerInfo{ID: "w", StartedMS: 5})
		command := backend.Command{Worker: backend.WorkerRef{ID: "w"}, Task: "a", Run: 1, FencingToken: 7}
		_, err := workers.Start(t.Context(), backend.StartCommand{Command: command, LeaseDeadlineMS: 9000})
		assert.NilError(t, err)

		workers.Drain("w", 2*time.Second, time.Second)
		assert.Assert(t, entries["w"].Draining)
		assert.Equal(t, entries["w"].RemainingMS, int64(2000))
		time.Sleep(1999 * time.Millisecond)
		assert.Equal(t, workers.Running("w"), 1)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, workers.Running("w"), 0)
		assert.Equal(t, len(entries), 0)
		time.Sleep(time.Second)
		assert.Assert(t, !entries["w"].Draining)
		assert.Assert(t, entries["w"].StartedMS > 5)
		assert.Equal(t, workers.WorkerCrashes(), 0)
	})
}
