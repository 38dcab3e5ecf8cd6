package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// placements returns the workers of all placements by the name of the task.
func (tc *testCluster) placements() map[string]string {
	out := map[string]string{}
	all, _ := tc.core.AllPlacements()
	for _, p := range all {
		out[p.Task] = p.Worker
	}
	return out
}

// newRecoveringCluster returns a core of epoch 2 whose former leader has used some workers, which are listed.
func newRecoveringCluster(t *testing.T, workers ...string) *testCluster {
	tc := newTestCluster(t, 2)
	record := ""
	for _, id := range workers {
		record += fmt.Sprintf(`,%q:"%s:1"`, id, id)
	}
	assert.NilError(t, tc.core.LoadFleetRecord(tc.now, []byte("{"+record[1:]+"}")))
	for _, id := range workers {
		tc.listWorker(id, nil)
	}
	return tc
}

// Guards against a start that is sent before a successor could learn of it.
func TestStartsWaitForTheirReplication(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetCommandGate(CommandGate{Closed: true})
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(1))
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1"})
	last := tc.core.LastPlacement()
	tc.core.SetCommandGate(CommandGate{Held: last - 1})
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 0)
	tc.core.SetCommandGate(CommandGate{Held: last})
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
}

// Guards against service tasks that wait for the replication of starts, although their starts are durable in the rows of their jobs.
func TestRecordedStartsNeedNoReplication(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.core.SetCommandGate(CommandGate{Closed: true})
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, serviceStep())
	tc.step()
	tc.storeBatches()
	tc.step()
	assert.Equal(t, len(tc.starts), 1)
	assert.Equal(t, len(tc.placements()), 0)
}

// Guards against a task that runs again although it has ended, because a successor does not know that its end, which is not durable, is listed by
// a worker that it does not read.
func TestPlacementsLastUntilTheEndIsDurable(t *testing.T) {
	cases := map[string]struct {
		epoch uint64
		began func(tc *testCluster)
	}{
		"run of this leader": {1, func(tc *testCluster) {
			tc.addWorker("w1")
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			tc.step()
			tc.confirmStarts()
		}},
		"run of a former leader": {2, func(tc *testCluster) {
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			tc.listWorker("w1", nil)
			tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
			assert.DeepEqual(tc.t, tc.placements(), map[string]string{"a.0.0.0": "w1"})
		}},
		"end of a run of a former leader": {2, func(tc *testCluster) {
			tc.addJob("a", "plain", 1, stepWithTasks(1))
			tc.listWorker("w1", nil)
		}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, k.epoch)
			k.began(tc)
			tc.storeBatches()
			tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
			tc.advance(time.Second)
			assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1"})
			tc.storeBatches()
			tc.step()
			assert.Equal(t, len(tc.placements()), 0)
		})
	}
}

// Guards against tasks that run twice because a successor does not know what a worker runs of a job whose record has not arrived.
func TestPlacementsOfUnknownJobs(t *testing.T) {
	tc := newTestCluster(t, 2)
	tc.listWorker("w1", nil)
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}},
		[]backend.FinishedRun{tc.completion("w1", "a.0.0.1", 1, backend.ResultDone)})
	tc.step()
	assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1", "a.0.0.1": "w1"})
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1", "a.0.0.1": "w1"})
	tc.storeBatches()
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
	tc.step()
	assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1"})

	// The worker ends a run of a job that never arrives.
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}, {Task: "b.0.0.0", Run: 1}}, nil)
	assert.Equal(t, tc.placements()["b.0.0.0"], "w1")
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
	tc.advance(time.Second)
	assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1"})
}

// Guards against tasks that wait after a takeover for workers on which they were not started, and against those that do not wait for the worker
// on which they were.
func TestTasksWaitForTheWorkersOfTheirPlacements(t *testing.T) {
	tc := newRecoveringCluster(t, "w1", "w2", "w3")
	tc.addJob("a", "plain", 1, stepWithTasks(3))
	tc.addJob("gang", "plain", 1, stepWithTasks(2, func(s *job.Step) { s.Gang = true }))
	tc.core.LoadPlacements([]TaskPlacement{{"a.0.0.0", 1, "w1"}, {"a.0.0.1", 1, "w2"}, {"gang.0.0.1", 1, "w1"}}, tc.now)
	assert.DeepEqual(t, tc.placements(), map[string]string{"a.0.0.0": "w1", "a.0.0.1": "w2", "gang.0.0.1": "w1"})
	tc.answerPoll("w3", nil, nil)
	tc.storeBatches()
	tc.step()
	assert.DeepEqual(t, tc.startedTasks(), []string{"a.0.0.2"})
	tc.answerPoll("w2", nil, nil)
	tc.storeBatches()
	tc.advance(time.Second)
	assert.DeepEqual(t, tc.startedTasks(), []string{"a.0.0.2", "a.0.0.1"})
	tc.answerPoll("w1", []backend.ActiveRun{{Task: "a.0.0.0", Run: 1}}, nil)
	tc.storeBatches()
	tc.advance(time.Second)
	assert.Equal(t, len(tc.starts), 4, "the members of the gang start together")
	assert.Equal(t, tc.placements()["a.0.0.0"], "w1")
}

func (tc *testCluster) startedTasks() []string {
	var names []string
	for _, a := range tc.starts {
		names = append(names, a.Command.Task)
	}
	return names
}

// Guards against a leader that says that its starts are known while it does not know what former leaders have started.
func TestPlacementsAreCompleteWhenTheLedgerIs(t *testing.T) {
	tc := newRecoveringCluster(t, "w1", "w2")
	assert.Assert(t, !tc.core.ArePlacementsComplete())
	tc.answerPoll("w1", nil, nil)
	assert.Assert(t, !tc.core.ArePlacementsComplete())
	tc.answerPoll("w2", nil, nil)
	assert.Assert(t, tc.core.ArePlacementsComplete())
}

// Guards against holders that miss changes, or get them in another order.
func TestPlacementChanges(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, stepWithTasks(2))
	tc.step()
	changes, last, ok := tc.core.PlacementChanges(0)
	assert.Assert(t, ok)
	assert.Equal(t, last, uint64(2))
	assert.DeepEqual(t, changes, []PlacementChange{
		{TaskPlacement: TaskPlacement{"a.0.0.0", 1, "w1"}}, {TaskPlacement: TaskPlacement{"a.0.0.1", 1, "w1"}},
	})
	assert.Assert(t, tc.core.HasStartsAfter(1) && !tc.core.HasStartsAfter(2))
	tc.core.TrimPlacements(1)
	_, _, ok = tc.core.PlacementChanges(0)
	assert.Assert(t, !ok)
	changes, _, ok = tc.core.PlacementChanges(1)
	assert.Assert(t, ok && len(changes) == 1)
	for i := range maxPlacementLog {
		tc.core.placements.add(runKey{"x", int64(i)}, "w1")
	}
	_, _, ok = tc.core.PlacementChanges(2)
	assert.Assert(t, !ok, "more changes are kept than the limit")
}
