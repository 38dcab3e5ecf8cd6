package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// testCluster drives a Core: tests set the answers of the workers and inspect the commands.
type testCluster struct {
	t    *testing.T
	core *Core
	now  Instant
	// starts and stops are the commands that the test has not answered yet.
	starts         []*StartAction
	stops          []*StopAction
	adviceRequests []*AdviseAction
	// polls are the workers of the additional polls.
	polls          []string
	lastCompletion map[string]int64
	// highestAck is the highest acknowledgement that a poll of each worker has carried.
	highestAck map[string]int64
	// lookups counts the lookups of unknown jobs. They find the records in rows only, or fail with lookupError.
	lookups     int
	lookupError error
	rows        map[job.ID]job.Record
	// lateLookups, if not nil, are the lookups whose rows were read and whose results the test delivers.
	lateLookups *[]lateLookup
	// storedWaves is what the store holds of the waves, and maintenanceRefusal the answer to maintenance requests.
	storedWaves        map[int]StoredWave
	maintenanceRefusal backend.MachineRefusal
	// storedProgress and storedFleet are the durable rows.
	storedProgress map[job.ID][]byte
	storedFleet    map[int][]byte
}

const (
	testLease = 4 * time.Second
	tick      = 10 * time.Millisecond
)

// newTestCluster returns a core with three queues: "plain" needs no advice, "short" cheap advice and "long" expensive
// advice.
func newTestCluster(t *testing.T, epoch uint64) *testCluster {
	tc := &testCluster{t: t, now: time.Hour, lastCompletion: map[string]int64{}, highestAck: map[string]int64{},
		storedWaves: map[int]StoredWave{}, storedProgress: map[job.ID][]byte{}, storedFleet: map[int][]byte{}}
	tc.core = New(Options{
		Epoch: epoch, LeaseDuration: testLease, LeaseExtension: 6 * time.Second, StopTimeout: 400 * time.Millisecond,
		Retention: time.Minute,
	}, tc.now)
	queue := func(name string, priority int, advice *job.Advice) job.Queue {
		return job.Queue{
			Name: name, Service: "desk", Priority: priority, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250, Advice: advice,
		}
	}
	tc.core.SetConfig(job.Config{Version: 1, Queues: []job.Queue{
		queue("plain", 1, nil),
		queue("short", 0, &job.Advice{DecisionMS: 20, PerWorkerMS: 0.3, ValidityMS: 2500}),
		queue("long", 2, &job.Advice{DecisionMS: 420, PerWorkerMS: 6, ValidityMS: 2500}),
	}})
	return tc
}

// newStartedTestCluster returns a core of epoch 1 that has issued the starts of the tasks of job a on worker w1.
func newStartedTestCluster(t *testing.T, step job.Step) *testCluster {
	tc := newTestCluster(t, 1)
	tc.addWorker("w1")
	tc.addJob("a", "plain", 1, step)
	tc.step()
	return tc
}

// addWorker lists a worker with 4 cores and answers its first poll.
func (tc *testCluster) addWorker(id string) {
	tc.listWorker(id, nil)
	tc.answerPoll(id, nil, nil)
	tc.storeBatches()
}

// listWorker sets the registry entry of a worker, modified by change.
func (tc *testCluster) listWorker(id string, change func(*backend.WorkerInfo)) {
	info := backend.WorkerInfo{
		ID: id, Address: id + ":1", Service: "desk", Zone: "a", Labels: []string{"k", "r1"}, StartedMS: 1000,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMiB: 8000},
	}
	if change != nil {
		change(&info)
	}
	tc.core.SetWorker(info, tc.now)
}

// clockMS returns the clock of every worker.
func (tc *testCluster) clockMS() int64 { return (tc.now - time.Hour).Milliseconds() + 1000 }

// answerPoll answers a poll of a worker with an inventory.
func (tc *testCluster) answerPoll(id string, running []backend.ActiveRun, ended []backend.FinishedRun) {
	req, _, ok := tc.core.PreparePoll(id, tc.now)
	assert.Assert(tc.t, ok)
	assert.Equal(tc.t, req.Worker.ID, id)
	tc.highestAck[id] = max(tc.highestAck[id], req.AcknowledgedCompletion)
	tc.core.PollResult(id, tc.now, backend.PollReply{
		Reply: backend.Reply{ClockMS: tc.clockMS()}, StartedMS: 1000, Running: running, Finished: ended,
	}, nil, tc.now+1)
	tc.now += 2
}

// acknowledged returns the highest acknowledgement that a poll of a worker has carried, including the next one.
func (tc *testCluster) acknowledged(id string) int64 {
	req, _, _ := tc.core.PreparePoll(id, tc.now)
	return max(tc.highestAck[id], req.AcknowledgedCompletion)
}

// completion returns the completion of a run with the worker's next completion number.
func (tc *testCluster) completion(worker, task string, run int64, how backend.RunResult) backend.FinishedRun {
	tc.lastCompletion[worker]++
	return backend.FinishedRun{Number: tc.lastCompletion[worker], Task: task, Run: run, Result: how}
}

// step runs one scheduling round and collects the commands.
func (tc *testCluster) step() {
	tc.now += tick
	for _, action := range tc.core.Step(tc.now, tc.now.Milliseconds()) {
		switch a := action.(type) {
		case *StartAction:
			tc.starts = append(tc.starts, a)
		case *StopAction:
			tc.stops = append(tc.stops, a)
		case *AdviseAction:
			tc.adviceRequests = append(tc.adviceRequests, a)
		case *PollAction:
			tc.polls = append(tc.polls, a.Worker)
		case *LookupAction:
			tc.lookups++
			late := lateLookup{a, tc.storedProgress[a.Job]}
			if tc.lateLookups != nil {
				*tc.lateLookups = append(*tc.lateLookups, late)
				continue
			}
			tc.deliverLookup(late)
		case *ReadWaveAction:
			tc.core.WaveRead(a, tc.storedWaves[a.Wave], nil, tc.now)
		}
	}
}

// lateLookup is a lookup with the progress that was read for it.
type lateLookup struct {
	action   *LookupAction
	progress []byte
}

// deliverLookup passes the result of a lookup to the core.
func (tc *testCluster) deliverLookup(l lateLookup) {
	id := l.action.Job
	record, found := tc.rows[id]
	found = found && tc.lookupError == nil
	if found {
		assert.NilError(tc.t, tc.core.AddLookedUpJob(id, record, l.progress, tc.now))
	}
	tc.core.LookupResult(l.action, found, tc.lookupError, tc.now)
}

// advance runs scheduling rounds for the given duration.
func (tc *testCluster) advance(d time.Duration) {
	for end := tc.now + d; tc.now < end; {
		tc.step()
	}
}

// confirmStarts answers all starts with success and returns them as running tasks by worker.
func (tc *testCluster) confirmStarts() map[string][]backend.ActiveRun {
	running := map[string][]backend.ActiveRun{}
	for _, a := range tc.starts {
		tc.core.StartResult(a, backend.Reply{ClockMS: tc.clockMS()}, nil, tc.now)
		id := a.Command.Worker.ID
		running[id] = append(running[id], backend.ActiveRun{Task: a.Command.Task, Run: a.Command.Run})
	}
	tc.starts = nil
	tc.now++
	return running
}

// storeBatches stores all batches and returns them.
func (tc *testCluster) storeBatches() []Batch {
	var batches []Batch
	for {
		b := tc.core.CollectBatch(80)
		if b.Empty() {
			return batches
		}
		tc.core.BatchStored(b, true, tc.now)
		for _, p := range b.Progress {
			tc.storedProgress[p.Job] = p.Data
		}
		for _, row := range b.Fleet {
			tc.storedFleet[row.Shard] = row.Data
		}
		for _, row := range b.Waves {
			tc.storedWaves[row.Wave] = StoredWave{Completed: tc.storedWaves[row.Wave].Completed, Record: row.Data}
		}
		batches = append(batches, b)
	}
}

// addJob adds a job with the given steps to a queue.
func (tc *testCluster) addJob(id, queue string, epoch uint64, steps ...job.Step) {
	tc.core.AddJob(job.ID(id), record(queue, epoch, steps...), tc.now)
}

func record(queue string, epoch uint64, steps ...job.Step) job.Record {
	return job.Record{
		Queue: job.Queue{Name: queue, Service: "desk", MaxAttempts: 3}, Epoch: epoch, Spec: job.Spec{Payload: "p", Steps: steps},
	}
}

// stepWithTasks returns a step whose tasks need one core each.
func stepWithTasks(count int, change ...func(*job.Step)) job.Step {
	s := job.Step{Count: count, TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 100}, EstimateMS: 1000}
	for _, f := range change {
		f(&s)
	}
	return s
}

func dependsOn(steps ...int) func(*job.Step) { return func(s *job.Step) { s.DependsOn = steps } }

func (tc *testCluster) state(id string) job.State {
	state, ok := tc.core.State(job.ID(id))
	assert.Assert(tc.t, ok)
	return state
}

// maintainWave adds a wave of some machines that may be down together.
func (tc *testCluster) maintainWave(number int, machines ...string) {
	tc.core.SetWave(backend.MaintenanceWave{Number: number, Machines: machines, Duration: time.Minute, MaxUnavailable: len(machines)}, tc.now)
}

// recordDecisions records the fields of all further decisions with a name.
func (tc *testCluster) recordDecisions(event string) *[]map[string]any {
	recorded := &[]map[string]any{}
	tc.core.opts.OnDecision = func(d Decision) {
		if d.Event == event {
			*recorded = append(*recorded, d.Fields)
		}
	}
	return recorded
}
