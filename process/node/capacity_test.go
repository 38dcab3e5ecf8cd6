package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// capacityGrace is how long after a change of its capacity a start above it may still reach a worker: the interval of the
// registry feed and the commands in flight. The users' rules allow several seconds.
const capacityGrace = 200 * time.Millisecond

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// setCores changes the capacity of a running worker and its registry entry.
func (c *testCell) setCores(worker string, cores int) {
	capacity := model.Resources{CPUMilli: 1000 * int64(cores), MemoryMiB: 2000 * int64(cores)}
	c.writeRegistryEntry(c.workers.SetCapacity(worker, capacity, capacityGrace))
}

// A start that waits behind those to silent workers must not be sent to a worker that has shrunk meanwhile.
func TestQueuedStartsFollowTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, silent = 90, 60
		c := newTestCell(t, 6, workers)
		defer c.stop()
		for i := range workers {
			info := c.workers.SetCapacity(workerName(i), model.Resources{CPUMilli: 10_000, MemoryMiB: 8000}, 0)
			info.Labels = []string{"answers", "r1"}
			if i < silent {
				info.Labels[0] = "silent"
			}
			c.writeRegistryEntry(info)
		}
		time.Sleep(time.Second)
		c.mu.Lock()
		for i := range silent {
			c.silentWorkers[workerName(i)] = true
		}
		c.mu.Unlock()
		submit := func(id, label string) {
			onlyThere := func(s *job.Step) { s.RequiredLabel = label }
			assert.NilError(t, c.submit(c.nodes[c.leader()], id, 20, smallTask(3*time.Second), onlyThere))
		}
		for i := range silent / 2 {
			submit(fmt.Sprint("silent", i), "silent")
		}
		time.Sleep(200 * time.Millisecond)
		submit("answers", "answers")
		time.Sleep(100 * time.Millisecond)
		for i := silent; i < workers; i++ {
			c.setCores(workerName(i), 0)
		}
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	})
}

// Work that waits for capacity must start soon after a worker has grown, and its state must be right while no worker can
// hold it.
func TestWaitingWorkStartsWhenAWorkerGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 2, 1)
		defer c.stop()
		c.setCores("w00", 0)
		time.Sleep(capacityGrace)
		assert.NilError(t, c.submit(c.follower(), "a", 2, smallTask(time.Minute), nil))
		time.Sleep(20 * time.Second)
		c.requireState(c.follower(), "a", job.Queued)
		assert.Equal(t, c.workers.Starts("a.0.0.0"), 0)
		waiting, err := c.waiting(c.follower())
		assert.NilError(t, err)
		assert.Equal(t, waiting, 1)
		c.setCores("w00", 2)
		time.Sleep(capacityGrace)
		assert.Equal(t, c.workers.Starts("a.0.0.0")+c.workers.Starts("a.0.0.1"), 2)
		c.setCores("w00", 1)
		time.Sleep(30 * time.Second)
		c.requireState(c.follower(), "a", job.Running)
		time.Sleep(35 * time.Second)
		c.requireState(c.follower(), "a", job.Completed)
		assert.Equal(t, c.workers.Starts("a.0.0.0")+c.workers.Starts("a.0.0.1"), 2)
	})
}

// While workers shrink and grow under load, also through delegates and a change of the leader, no start may exceed a capacity,
// no run may be lost for it, and all jobs must complete when the capacity is back.
func TestCapacityChangesUnderLoad(t *testing.T) {
	for seed := range uint64(4) {
		for _, delegateFrom := range []int{0, 1} {
			t.Run(fmt.Sprintf("seed %d delegates from %d", seed, delegateFrom), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCapacityChanges(t, seed, delegateFrom) })
			})
		}
	}
}

func runCapacityChanges(t *testing.T, seed uint64, delegateFrom int) {
	const workers = 8
	random := rand.New(rand.NewPCG(seed, 0))
	c := newTestCellWith(t, 4, workers, delegateFrom)
	defer c.stop()
	var jobs []string
	for i := range 60 {
		for range 2 {
			c.setCores(workerName(random.IntN(workers)), random.IntN(5))
		}
		modify := func(s *job.Step) { s.Gang = random.IntN(4) == 0 }
		id := fmt.Sprintf("job%02d", i)
		jobs = append(jobs, id)
		duration := time.Duration(1+random.IntN(2500)) * time.Millisecond
		assert.NilError(t, c.submit(c.nodes[c.leader()], id, 1+random.IntN(4), smallTask(duration), modify))
		if i == 30 {
			c.kill(c.leader())
			time.Sleep(3 * time.Second)
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	for i := range workers {
		c.setCores(workerName(i), 4)
	}
	time.Sleep(15 * time.Second)
	assert.DeepEqual(t, c.workers.Violations(), []string(nil))
	fmt.Println(c.logText())
	for _, id := range jobs {
		c.requireCompleted(id)
	}
}
