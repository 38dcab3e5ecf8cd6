package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
)

// Steps that wait in a full cell must only look at the workers with capacity: with a look at every worker for every step in every round, a
// leader whose rounds take longer has more steps waiting, which makes its rounds longer still.
func TestWaitingStepsExamineFewWorkers(t *testing.T) {
	const workers, jobs, rounds = 200, 40, 50
	tc := newTestCluster(t, 1)
	tc.addWorkers(workers)
	filling := stepWithTasks(workers)
	filling.TaskDemand = model.Resources{CPUMilli: 4000, MemoryMiB: 1000}
	tc.addJob("filling", "plain", 1, filling)
	tc.step()
	for _, a := range tc.starts {
		tc.core.StartResult(a, backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
	}
	assert.Equal(t, len(tc.starts), workers)
	var advisers []string
	for i := range jobs {
		advisers = append(advisers, fmt.Sprintf("i%02d", i))
	}
	tc.core.SetAdvisers(advisers)
	for i := range jobs {
		tc.addJob(fmt.Sprintf("waiting%02d", i), "short", 1, stepWithTasks(4))
	}
	tc.step()
	before := tc.core.Load().Effort
	for i := range rounds {
		start := tc.starts[i].Command
		tc.answerPoll(start.Worker.ID, nil, []backend.FinishedRun{tc.completion(start.Worker.ID, start.Task, start.Run, backend.ResultDone)})
		tc.step()
		for _, a := range tc.adviceRequests {
			tc.answerAdvice(a, 0, func(int) bool { return false })
		}
		tc.adviceRequests = nil
	}
	examined := tc.core.Load().Effort.Sub(before).Advice
	// In round i, i+1 workers have capacity. A step may look at each of them, and not at the others.
	limit := uint64(jobs * rounds * (rounds + 1) / 2)
	assert.Assert(t, examined <= limit, "%d workers examined for advice, at most %d", examined, limit)
}

// Steps that ask for advice at the same time must ask about different workers while there are enough: of those that ask about the same ones
// only the first finds capacity there, and the others ask again.
func TestStepsAskAboutDifferentWorkers(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorkers(30)
	tc.core.SetAdvisers([]string{"i1", "i2", "i3"})
	for i := range 3 {
		tc.addJob(fmt.Sprintf("job%d", i), "short", 1, stepWithTasks(4))
	}
	tc.step()
	assert.Equal(t, len(tc.adviceRequests), 3)
	asked := map[string]int{}
	for _, a := range tc.adviceRequests {
		for _, id := range a.Workers {
			asked[id]++
			assert.Equal(t, asked[id], 1)
		}
	}
	for _, a := range tc.adviceRequests {
		tc.answerAdvice(a, time.Second, permitAll)
	}
	for _, w := range tc.core.workers {
		assert.Equal(t, w.askedCPUMilli, int64(0))
	}
}

// Guards against workers that a search by free capacity misses, finds twice, or looks for among those without capacity.
func TestFreeIndexFindsTheWorkersWithCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var x freeIndex
	workers := map[*worker]struct{}{}
	for range 2000 {
		switch w := randomWorker(rng, workers); {
		case w == nil || rng.IntN(4) == 0:
			added := &worker{info: backend.WorkerInfo{Capacity: model.Resources{CPUMilli: rng.Int64N(40_000)}}}
			workers[added] = struct{}{}
			x.update(added)
		case rng.IntN(5) == 0:
			delete(workers, w)
			x.remove(w)
		default:
			w.allocated.CPUMilli = rng.Int64N(40_000)
			x.update(w)
		}
		checkFreeIndex(t, &x, workers, rng.Int64N(36_000))
	}
}

func randomWorker(rng *rand.Rand, workers map[*worker]struct{}) *worker {
	skip := rng.IntN(len(workers) + 1)
	for w := range workers {
		if skip == 0 {
			return w
		}
		skip--
	}
	return nil
}

func checkFreeIndex(t *testing.T, x *freeIndex, workers map[*worker]struct{}, freeCPU int64) {
	t.Helper()
	found := map[*worker]int{}
	x.atLeast(freeCPU, func(w *worker) bool {
		found[w]++
		if freeCPU < freeBuckets*freeCPUResolution {
			assert.Assert(t, max(w.freeCPUMilli(), 0) > freeCPU-freeCPUResolution)
		}
		return true
	})
	for w := range workers {
		if w.freeCPUMilli() >= freeCPU {
			assert.Equal(t, found[w], 1)
		}
	}
	for w, n := range found {
		_, known := workers[w]
		assert.Assert(t, known && n == 1)
	}
}
