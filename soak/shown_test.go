package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// readerCount is the number of clients that read states of jobs during the faults, and readPause the time between two reads of
	// each.
	readerCount = 8
	readPause   = 10 * time.Millisecond
	// rereadShare is one in how many reads is about a job whose final state is known already.
	rereadShare = 4
)

// shownState is the final state of a job that a node first showed to a caller.
type shownState struct {
	state job.State
	node  string
	at    time.Time
}

// shownRecord records which accepted jobs were shown in a final state.
type shownRecord struct {
	// unfinished and finished are the ids of accepted jobs that were not and that were shown in a final state.
	unfinished, finished []string
	final                map[string]shownState
	// reported holds the jobs whose contradicting answers were reported; only the first one of each job is.
	reported map[string]bool
}

func newShownRecord() shownRecord {
	return shownRecord{final: map[string]shownState{}, reported: map[string]bool{}}
}

// choose returns a random accepted job, mostly one that was not yet shown in a final state; empty if there is none.
func (l *answerRecord) choose(rng *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := l.shown.unfinished
	if len(ids) == 0 || rng.IntN(rereadShare) == 0 {
		ids = l.shown.finished
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[rng.IntN(len(ids))]
}

// finalShown returns the final state in which a job was shown, if it was.
func (l *answerRecord) finalShown(id string) (shownState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shown.final[id]
	return s, ok
}

// recordFinal records a final state of a job and returns the one that was shown first.
func (l *answerRecord) recordFinal(id string, s shownState) shownState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, ok := l.shown.final[id]; ok {
		return first
	}
	l.shown.final[id] = s
	l.shown.finished = append(l.shown.finished, id)
	for i, other := range l.shown.unfinished {
		if other == id {
			l.shown.unfinished = append(l.shown.unfinished[:i], l.shown.unfinished[i+1:]...)
			break
		}
	}
	return s
}

// readStates starts readers in load, which ask random nodes for states of accepted jobs until stop is closed.
func (c *cluster) readStates(seed uint64, answers *answerRecord, stop <-chan struct{}, load *sync.WaitGroup) {
	c.history.recordTraffic(history.ChangeBegin)
	for reader := range readerCount {
		load.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(reader)+1000))
			for {
				select {
				case <-stop:
					return
				case <-time.After(readPause):
				}
				n := c.nodes[rng.IntN(len(c.nodes))]
				if id := answers.choose(rng); id != "" {
					c.readState(n, id, answers)
				}
			}
		})
	}
}

// readState asks a node for the state of a job and returns the status and the answer. It fails the test if the job is shown as completed
// while a task has not ended as done, or as failed without cause, or if the answer contradicts a final state that was shown before the
// request was sent. Two different final states contradict each other in any order.
func (c *cluster) readState(n *nodeProcess, id string, answers *answerRecord) (status int, answer string) {
	before, wasFinal := answers.finalShown(id)
	status, answer = c.call(n, http.MethodGet, id, "")
	if wasFinal && status == http.StatusGone {
		c.reportContradiction(answers, id, fmt.Sprintf("%s denies it", n.name), before)
	}
	if status != http.StatusOK {
		return status, answer
	}
	var body struct{ State job.State }
	if err := json.Unmarshal([]byte(answer), &body); err != nil {
		c.t.Errorf("%s answered %q for the state of job %s: %v", n.name, answer, id, err)
		return status, answer
	}
	if body.State == job.Completed {
		c.recordCompleted(n, id)
	}
	if body.State == job.Failed && !crashesWorkers(id) && !c.failedOften(id) {
		c.t.Errorf("%v: %s shows job %s as failed, but no task has failed %d times", time.Since(c.startedAt).Round(time.Millisecond), n.name, id,
			wire.MaxAttempts)
	}
	if body.State.Terminal() {
		before, wasFinal = answers.recordFinal(id, shownState{body.State, n.name, time.Now()}), true
	}
	if wasFinal && before.state != body.State {
		c.reportContradiction(answers, id, fmt.Sprintf("%s shows it as %s", n.name, body.State), before)
	}
	return status, answer
}

// failedOften reports whether a task of a job has failed as often as the queues allow. The tasks of a service have no such limit.
func (c *cluster) failedOften(id string) bool {
	return !isService(id) && slices.ContainsFunc(tasksOf(id), func(task string) bool { return c.workers.Failures(task) >= wire.MaxAttempts })
}

// TestFailedJobNeedsACause guards against a soak that accepts a job as failed although no task has failed as often as the queues allow, or
// although its tasks are those of a service.
func TestFailedJobNeedsACause(t *testing.T) {
	c := &cluster{t: t, workers: backends.NewWorkers(func() time.Duration { return time.Second }, func(string) backends.TaskBehavior {
		return backends.TaskBehavior{Duration: time.Minute}
	})}
	c.workers.Add(backend.WorkerInfo{ID: "w", StartedMS: 5})
	jobID, serviceID := fmt.Sprintf("%08x%04x%04x", 1, 0, 0), fmt.Sprintf("%08x%04x%04x", 1, serviceClient, 0)
	for run := int64(1); run <= wire.MaxAttempts; run++ {
		for _, id := range []string{jobID, serviceID} {
			assert.Assert(t, !c.endedAsExpected(id, `{"state":"failed"}`), "%s after %d failures", id, run-1)
			_, err := c.workers.Start(t.Context(), backend.StartCommand{
				Command: backend.Command{Worker: backend.WorkerRef{ID: "w"}, Task: tasksOf(id)[1], Run: run}, LeaseDeadlineMS: 60_000,
			})
			assert.NilError(t, err)
			assert.Assert(t, c.workers.Fail(tasksOf(id)[1]))
		}
	}
	assert.Assert(t, c.endedAsExpected(jobID, `{"state":"failed"}`))
	assert.Assert(t, !c.endedAsExpected(serviceID, `{"state":"failed"}`))
	assert.Assert(t, !c.endedAsExpected(jobID, `{"state":"running"}`))
}

// reportContradiction fails the test because of an answer about a job that contradicts the final state that was shown before.
func (c *cluster) reportContradiction(answers *answerRecord, id, answer string, before shownState) {
	answers.mu.Lock()
	defer answers.mu.Unlock()
	if answers.shown.reported[id] {
		return
	}
	answers.shown.reported[id] = true
	c.t.Errorf("%v: job %s: %s, but %s showed it as %s %v before", time.Since(c.startedAt).Round(time.Millisecond), id, answer,
		before.node, before.state, time.Since(before.at).Round(time.Millisecond))
}

// recordCompleted records that a node has shown a job as completed, after which the workers report starts of its tasks.
func (c *cluster) recordCompleted(n *nodeProcess, id string) {
	c.workers.ShowCompleted(id)
	for _, task := range tasksOf(id) {
		if !c.workers.Done(task) {
			c.t.Errorf("%v: %s shows job %s as completed, but task %s has not ended as done", time.Since(c.startedAt).Round(time.Millisecond), n.name, id, task)
		}
	}
}
