package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a step that does not start although a worker has capacity for it, because one that seemed alike had found none.
func TestNoStepIsSkippedThatFits(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 5))
		tc := newTestCluster(t, 1)
		for i := range 6 {
			id := fmt.Sprintf("w%d", i)
			tc.listWorker(id, func(info *backend.WorkerInfo) {
				info.Labels = []string{fmt.Sprint("k", i%2), fmt.Sprint("r", i%3)}
				info.Capacity = model.Resources{CPUMilli: int64(2000 + 1000*random.IntN(4)), MemoryMiB: int64(200 + 200*random.IntN(5))}
			})
			tc.answerPoll(id, nil, nil)
		}
		tc.storeBatches()
		for i := range 30 {
			tc.addJob(fmt.Sprintf("j%02d", i), "plain", 1, randomPlacementStep(random))
			tc.advance(time.Duration(random.IntN(3)) * 50 * time.Millisecond)
			assertNoneFits(t, tc, seed)
		}
		for range 40 {
			for id, running := range tc.confirmStarts() {
				tc.answerPoll(id, nil, tc.completeRuns(id, running))
			}
			tc.step()
			assertNoneFits(t, tc, seed)
		}
	}
}

func randomPlacementStep(random *rand.Rand) job.Step {
	return stepWithTasks(1+random.IntN(5), func(s *job.Step) {
		s.TaskDemand = model.Resources{CPUMilli: int64(500 * (1 + random.IntN(4))), MemoryMiB: int64(100 * (1 + random.IntN(3)))}
		s.EstimateMS = int64(1000 * random.IntN(3))
		if random.IntN(3) == 0 {
			s.RequiredLabel = fmt.Sprint("k", random.IntN(2))
		}
		s.Gang = random.IntN(8) == 0
		if random.IntN(6) == 0 {
			s.MaxPerWorker = 1
		}
		s.LongRunning = !s.Gang && random.IntN(10) == 0
	})
}

// assertNoneFits checks that no worker is left for any waiting task that is alone, after a round.
func assertNoneFits(t *testing.T, tc *testCluster, seed uint64) {
	t.Helper()
	tc.step()
	for _, s := range tc.core.ready.ranked {
		for _, task := range s.waiting {
			if s.spec.Gang || !task.waiting || s.queuePosition.tryPlacement {
				continue
			}
			w := tc.core.selectWorker(s, task)
			assert.Assert(t, w == nil, "seed %d: %s fits on a worker and does not start", seed, task.name)
		}
	}
}

// Guards against a step that does not start beside a task of its own job that may crash the worker, because a step of another job, which must not,
// seemed alike.
func TestStepBesideAnIsolatedRunOfItsJobStarts(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	long := stepWithTasks(1, func(s *job.Step) { s.EstimateMS = 10_000 })
	tc.addJob("own", "plain", 1, long, stepWithTasks(1), stepWithTasks(1, dependsOn(1)))
	tc.advance(50 * time.Millisecond)
	running := tc.confirmStarts()["w1"]
	assert.Equal(t, len(running), 2)
	isolated := tc.core.findTask("own.0.0.0").runs[0]
	isolated.worker.isolatedRun = isolated
	tc.addJob("other", "plain", 1, stepWithTasks(1))
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "own.0.0.0", Run: isolated.number}},
		[]backend.FinishedRun{tc.completion("w1", "own.0.1.0", 1, backend.ResultDone)})
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, tc.starts[0].Command.Task, "own.0.2.0")
}
