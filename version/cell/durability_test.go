package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// durabilityHistory plays random completions and writes of progress, some of which fail or have an unknown outcome, and
// checks each acknowledgement against what a next leader would load.
type durabilityHistory struct {
	tc     *testCluster
	random *rand.Rand
	// stored is the progress in the store. pending is the batch that is being written.
	stored  map[job.ID][]byte
	pending *Batch
	// running are the runs on each worker, finished its completions.
	running  map[string][]backend.ActiveRun
	finished map[string][]backend.FinishedRun
}

var historyWorkers = []string{"w1", "w2", "w3"}

// start starts the tasks that the core has placed.
func (h *durabilityHistory) start() {
	h.tc.advance(50 * time.Millisecond)
	for worker, runs := range h.tc.confirmStarts() {
		h.running[worker] = append(h.running[worker], runs...)
	}
}

// finish ends a random run of a worker, sometimes with a failure, and answers a poll.
func (h *durabilityHistory) finish(worker string) {
	if runs := h.running[worker]; len(runs) > 0 {
		i := h.random.IntN(len(runs))
		result := backend.ResultDone
		if h.random.IntN(4) == 0 {
			result = backend.ResultFailed
		}
		h.finished[worker] = append(h.finished[worker], h.tc.completion(worker, runs[i].Task, runs[i].Run, result))
		h.running[worker] = append(runs[:i:i], runs[i+1:]...)
	}
	h.tc.answerPoll(worker, h.running[worker], h.finished[worker])
}

// write begins or ends a write of at most two jobs.
func (h *durabilityHistory) write() {
	if h.pending == nil {
		batch := h.tc.core.CollectBatch(2)
		h.pending = &batch
		return
	}
	// Of five writes, one is refused and one has an effect that the core does not learn of.
	outcome := h.random.IntN(5)
	if outcome != 0 {
		for _, p := range h.pending.Progress {
			h.stored[p.Job] = p.Data
		}
	}
	h.tc.core.BatchStored(*h.pending, outcome > 1, h.tc.now)
	h.pending = nil
}

// checkAcks requires that each task whose completion may be forgotten is done in the store.
func (h *durabilityHistory) checkAcks(jobs map[job.ID]job.Record) {
	h.tc.t.Helper()
	for _, worker := range historyWorkers {
		req, _, _ := h.tc.core.PreparePoll(worker, h.tc.now)
		for _, e := range h.finished[worker] {
			if e.Number > req.AcknowledgedCompletion || e.Result != backend.ResultDone {
				continue
			}
			name, _ := job.ParseTaskName(e.Task)
			next := newTestCluster(h.tc.t, 2)
			assert.Assert(h.tc.t, h.stored[name.Job] != nil, "completion of %s is acknowledged without progress", e.Task)
			assert.NilError(h.tc.t, next.core.LoadJob(name.Job, jobs[name.Job], h.stored[name.Job], next.now))
			if next.state(string(name.Job)).Terminal() {
				continue
			}
			assert.Assert(h.tc.t, next.core.findTask(e.Task).done, "completion of %s is acknowledged, but not stored", e.Task)
		}
	}
}

// A completion must not be acknowledged before a next leader would load it, whatever the order of completions and writes,
// with more changed jobs than a write holds, and with writes that fail or whose outcome is not known.
func TestAcknowledgedCompletionsAreDurable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &durabilityHistory{
				tc: newTestCluster(t, 1), random: rand.New(rand.NewPCG(seed, 0)), stored: map[job.ID][]byte{},
				running: map[string][]backend.ActiveRun{}, finished: map[string][]backend.FinishedRun{},
			}
			for _, worker := range historyWorkers {
				h.tc.addWorker(worker)
			}
			jobs := map[job.ID]job.Record{}
			for i := range 6 {
				id := fmt.Sprintf("%016x", i)
				jobs[job.ID(id)] = record("plain", 1, stepWithTasks(4), stepWithTasks(2, dependsOn(0)))
				h.tc.addJob(id, "plain", 1, jobs[job.ID(id)].Spec.Steps...)
			}
			for range 250 {
				switch h.random.IntN(3) {
				case 0:
					h.start()
				case 1:
					h.finish(historyWorkers[h.random.IntN(len(historyWorkers))])
				case 2:
					h.write()
					h.checkAcks(jobs)
				}
			}
		})
	}
}

// Guards against completions of a job that are acknowledged although the store refuses the row of the job, once the job has changed again
// or other jobs have been stored, and against a row that is written again with each change, which would hold up the other rows.
func TestCompletionsOfARefusedRowAreNotAcknowledged(t *testing.T) {
	tc := newTestCluster(t, 1)
	const worker = "w1"
	tc.addWorker(worker)
	tc.addJob("a", "plain", 1, stepWithTasks(4))
	tc.step()
	running := tc.confirmStarts()
	assert.Equal(t, len(running[worker]), 4)
	var ended []backend.FinishedRun
	refusals := 0
	write := func() {
		for {
			b := tc.core.CollectBatch(1)
			if b.Empty() {
				return
			}
			if len(b.Progress) > 0 && b.Progress[0].Job == "a" {
				refusals++
				tc.core.BatchRefused(b, tc.now)
				continue
			}
			tc.core.BatchStored(b, true, tc.now)
		}
	}
	for i, r := range running[worker][:3] {
		ended = append(ended, tc.completion(worker, r.Task, r.Run, backend.ResultDone))
		tc.addJob(fmt.Sprintf("b%d", i), "plain", 1, stepWithTasks(1))
		tc.core.CancelJob(job.ID(fmt.Sprintf("b%d", i)), tc.now)
		for range 5 {
			tc.answerPoll(worker, running[worker][i+1:], ended)
			write()
			tc.advance(20 * time.Millisecond)
			tc.confirmStarts()
		}
	}
	assert.Equal(t, tc.acknowledged(worker), int64(0))
	assert.Equal(t, refusals, 1)
	assert.Equal(t, tc.core.RefusedRows(), 1)
	tc.advance(2 * maxRefusalPause)
	tc.storeBatches()
	assert.Equal(t, tc.core.RefusedRows(), 0)
	tc.answerPoll(worker, running[worker][3:], ended)
	assert.Equal(t, tc.acknowledged(worker), int64(3))
}

// TestRetentionBeginsWhenTheFinalStateIsReported guards against a completed job that callers cannot see, because an outage of the store has
// taken up its retention: it would be removed as soon as its final state is durable.
func TestRetentionBeginsWhenTheFinalStateIsReported(t *testing.T) {
	tc := newStartedTestCluster(t, stepWithTasks(1))
	tc.confirmStarts()
	tc.answerPoll("w1", nil, []backend.FinishedRun{tc.completion("w1", "a.0.0.0", 1, backend.ResultDone)})
	outage := tc.core.opts.Retention + time.Second
	tc.now += outage
	assert.Equal(t, tc.state("a"), job.Running)
	tc.storeBatches()
	assert.Equal(t, tc.state("a"), job.Completed)
	tc.now += tc.core.opts.Retention - time.Second
	tc.step()
	assert.Equal(t, len(tc.core.TakeExpired(10)), 0, "the state was reported for less than the retention")
	tc.now += 2 * time.Second
	tc.step()
	assert.DeepEqual(t, tc.core.TakeExpired(10), []job.ID{"a"})
}
