package backends

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const testDowntime = 3 * time.Second

// crashTest is a set of workers w1 and w2 with a registry, in which each task crashes its worker.
type crashTest struct {
	t       *testing.T
	workers *Workers

	mu       sync.Mutex
	registry map[string]backend.WorkerInfo
}

func newCrashTest(t *testing.T, crash Crash) *crashTest {
	startedAt := time.Now()
	c := &crashTest{t: t, registry: map[string]backend.WorkerInfo{}}
	c.workers = NewWorkers(func() time.Duration { return time.Since(startedAt) }, func(string) TaskBehavior {
		return TaskBehavior{Duration: time.Second, Crash: &crash}
	})
	c.workers.SetRegistry(Registry{
		Write: c.writeEntry,
		Remove: func(id string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.registry, id)
		},
	})
	for _, id := range []string{"w1", "w2"} {
		info := backend.WorkerInfo{ID: id, Address: id + ":1", StartedMS: 1000}
		c.workers.Add(info)
		c.writeEntry(info)
	}
	return c
}

func (c *crashTest) writeEntry(info backend.WorkerInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry[info.ID] = info
}

// entries returns a copy of the registry.
func (c *crashTest) entries() map[string]backend.WorkerInfo {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.registry)
}

func (c *crashTest) start(worker, task string, run int64) (backend.Reply, error) {
	return c.workers.Start(c.t.Context(), backend.StartCommand{
		Command:         backend.Command{Worker: backend.WorkerRef{ID: worker}, Task: task, Run: run, FencingToken: 7},
		LeaseDeadlineMS: time.Hour.Milliseconds(),
	})
}

func (c *crashTest) poll(worker string) (backend.PollReply, error) {
	return c.workers.Poll(c.t.Context(), backend.PollRequest{Worker: backend.WorkerRef{ID: worker}})
}

// Guards against a stand-in that keeps state over a crash, answers during the outage or returns as the same boot.
func TestWorkerReturnsFromCrashAsNewBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashTest(t, Crash{Delay: 100 * time.Millisecond, Downtime: testDowntime})
		_, err := c.start("w1", "a", 1)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
		_, err = c.poll("w1")
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		time.Sleep(testDowntime)
		reply, err := c.poll("w1")
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, backend.Refusal(""))
		assert.Equal(t, reply.StartedMS, int64(4100))
		assert.Equal(t, reply.ClockMS, int64(101))
		assert.Equal(t, len(reply.Running)+len(reply.Finished), 0)
		assert.Equal(t, c.entries()["w1"].StartedMS, int64(4100))
		assert.Equal(t, c.workers.TaskCrashes("a"), 1)
	})
}

// Guards against a start that is answered although it crashed the worker.
func TestStartThatCrashesWorkerIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashTest(t, Crash{Downtime: testDowntime})
		_, err := c.start("w1", "a", 1)
		assert.Assert(t, errors.Is(err, ErrNoAnswer))
		assert.Equal(t, c.workers.Starts("a"), 1)
		assert.Equal(t, c.workers.TaskCrashes("a"), 1)
	})
}

// Guards against a former id that is answered like the new one, or that keeps its registry entry.
func TestWorkerReturnsUnderNewID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashTest(t, Crash{})
		c.workers.Crash(Crash{Downtime: testDowntime, NewID: true}, "w1")
		time.Sleep(testDowntime + time.Millisecond)
		reply, err := c.poll("w1")
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, backend.RefusedInstance)
		ids := c.workers.IDs()
		assert.Assert(t, !slices.Contains(ids, "w1"))
		_, err = c.poll(ids[0])
		assert.NilError(t, err)
		time.Sleep(registryLapse - testDowntime)
		_, listed := c.entries()["w1"]
		assert.Assert(t, !listed)
		assert.Equal(t, c.entries()[ids[0]].Address, "w1:1")
	})
}

// Guards against a registry that keeps the entry of a worker that stays away.
func TestRegistryEntryLapsesAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashTest(t, Crash{})
		c.workers.Crash(Crash{Downtime: 10 * time.Second}, "w1", "w2")
		assert.Equal(t, c.workers.WorkerCrashes(), 2)
		time.Sleep(registryLapse - time.Millisecond)
		assert.Equal(t, len(c.entries()), 2)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, len(c.entries()), 0)
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(c.entries()), 2)
	})
}

// Guards against a check that misses a task that is started without end, or reports one that is given up in time.
func TestThirdStartAfterThreeCrashesIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashTest(t, Crash{Downtime: time.Second})
		for i := range 6 {
			assert.Equal(t, len(c.workers.Violations()), 0, "after %d starts", i)
			_, _ = c.start("w1", "a", int64(i+1))
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, len(c.workers.Violations()), 1)
	})
}
