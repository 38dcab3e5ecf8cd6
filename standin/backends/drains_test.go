package backends

import (
	"sync"
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
		var mu sync.Mutex
		entries := map[string]backend.WorkerInfo{}
		entry := func() (info backend.WorkerInfo, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			info, ok = entries["w"]
			return info, ok
		}
		workers := NewWorkers(func() time.Duration { return time.Since(begin) }, func(string) TaskBehavior { return TaskBehavior{Service: true} })
		workers.SetRegistry(Registry{
			Write: func(info backend.WorkerInfo) {
				mu.Lock()
				defer mu.Unlock()
				entries[info.ID] = info
			},
			Remove: func(id string) {
				mu.Lock()
				defer mu.Unlock()
				delete(entries, id)
			},
		})
		workers.Add(backend.WorkerInfo{ID: "w", StartedMS: 5})
		command := backend.Command{Worker: backend.WorkerRef{ID: "w"}, Task: "a", Run: 1, FencingToken: 7}
		_, err := workers.Start(t.Context(), backend.StartCommand{Command: command, LeaseDeadlineMS: 9000})
		assert.NilError(t, err)

		workers.Drain("w", 2*time.Second, time.Second)
		drained, _ := entry()
		assert.Assert(t, drained.Draining)
		assert.Equal(t, drained.RemainingMS, int64(2000))
		time.Sleep(1999 * time.Millisecond)
		assert.Equal(t, workers.Running("w"), 1)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, workers.Running("w"), 0)
		_, listed := entry()
		assert.Assert(t, !listed)
		time.Sleep(time.Second)
		returned, _ := entry()
		assert.Assert(t, !returned.Draining)
		assert.Assert(t, returned.StartedMS > 5)
		assert.Equal(t, workers.WorkerCrashes(), 0)
	})
}
