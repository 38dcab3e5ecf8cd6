package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against jobs that are lost, run twice or end in another state than with ample memory, whatever their shapes and however little memory
// there is, over changes of the leader.
func TestLittleMemoryChangesNoResult(t *testing.T) {
	evictions := uint64(0)
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { evictions += playLittleMemory(t, rand.New(rand.NewPCG(seed, 69))) })
	}
	assert.Assert(t, evictions > 100, "only %d jobs were evicted", evictions)
}

// littleMemory plays random jobs under leaders with little memory, whose only worker is w1.
type littleMemory struct {
	*testCluster
	random *rand.Rand
	memory int64
	jobs   int
	// running are the runs of the worker, done the tasks that ended, and highest the highest run number of each task.
	running []backend.ActiveRun
	done    map[string]bool
	highest map[string]int64
	// evictions counts those under former leaders.
	evictions uint64
}

// playLittleMemory plays a set of jobs and returns how many were evicted.
func playLittleMemory(t *testing.T, random *rand.Rand) (evictions uint64) {
	p := &littleMemory{random: random, memory: int64(60+random.IntN(200)) << 10, done: map[string]bool{}, highest: map[string]int64{}}
	p.testCluster = newSmallCluster(t, 1, p.memory)
	p.lateLookups = &[]lateLookup{}
	p.jobs = 10 + random.IntN(30)
	for i := range p.jobs {
		p.submit(fmt.Sprintf("j%02d", i), p.randomRecord(random))
	}
	for round := 0; round < 10_000 && !p.allEnded(p.jobs); round++ {
		p.playRound()
	}
	assert.Assert(t, p.allEnded(p.jobs), "%+v", p.core.Dump(5))
	for id, r := range p.rows {
		p.checkTasks(id, &r.Spec)
	}
	return p.evictions + p.core.admission.evictions
}

// playRound plays a scheduling round, and now and then a change of the leader before it.
func (p *littleMemory) playRound() {
	if p.random.IntN(1000) == 0 {
		p.evictions += p.core.admission.evictions
		p.testCluster = p.smallSuccessor(p.memory)
		p.running = nil
	}
	p.advance(time.Duration(20+p.random.IntN(200)) * time.Millisecond)
	p.disturbTables(p.random, p.jobs)
	p.checkStarts()
	p.running = append(p.running, p.confirmStarts()["w1"]...)
	ended := p.endRuns()
	p.answerPoll("w1", p.running, ended)
	p.storeBatches()
	use := p.core.MemoryUse()
	assert.Assert(p.t, use.UsedBytes <= use.LimitBytes, "%+v", use)
}

// checkStarts checks that no start is that of a task which has ended, or reuses a run number.
func (p *littleMemory) checkStarts() {
	for _, a := range p.starts {
		name := a.Command.Task
		assert.Assert(p.t, !p.done[name], "%s starts again as %d after it was done", name, a.Command.Run)
		assert.Assert(p.t, a.Command.Run > p.highest[name], "%s: run %d after %d", name, a.Command.Run, p.highest[name])
		p.highest[name] = a.Command.Run
	}
}

// endRuns ends some of the runs, the members of a gang together.
func (p *littleMemory) endRuns() (ended []backend.FinishedRun) {
	p.running = slices.DeleteFunc(p.running, func(r backend.ActiveRun) bool {
		name, _ := job.ParseTaskName(r.Task)
		gang := p.rows[name.Job].Spec.Steps[name.Step].Gang
		if !gang && p.random.IntN(5) > 0 {
			return false
		}
		result := backend.ResultDone
		if p.random.IntN(8) == 0 {
			result = backend.ResultStopped
		}
		p.done[r.Task] = p.done[r.Task] || result == backend.ResultDone
		ended = append(ended, p.completion("w1", r.Task, r.Run, result))
		return true
	})
	return ended
}

// checkTasks checks that all tasks of a job were done. The end of one member of a gang stands for all.
func (p *littleMemory) checkTasks(id job.ID, spec *job.Spec) {
	if slices.ContainsFunc(spec.Steps, func(s job.Step) bool { return s.Gang }) {
		return
	}
	tasks := spec.Tasks() * max(1, spec.Repetitions)
	for task, done := range p.done {
		if name, _ := job.ParseTaskName(task); done && name.Job == id {
			tasks--
		}
	}
	assert.Equal(p.t, tasks, 0, "tasks of %s were not done", id)
}

// disturbTables delivers some of the lookups, in any order, and lets a row of the followed table arrive again.
func (tc *testCluster) disturbTables(random *rand.Rand, jobs int) {
	pending := *tc.lateLookups
	random.Shuffle(len(pending), func(i, k int) { pending[i], pending[k] = pending[k], pending[i] })
	for len(pending) > 0 && random.IntN(4) > 0 {
		tc.deliverLookup(pending[0])
		pending = pending[1:]
	}
	*tc.lateLookups = pending
	if id := job.ID(fmt.Sprintf("j%02d", random.IntN(jobs))); random.IntN(2) == 0 {
		tc.core.AddJob(id, tc.rows[id], tc.now)
	}
}

// randomRecord returns a job of one to three steps, which may be due repeatedly.
func (tc *testCluster) randomRecord(random *rand.Rand) job.Record {
	var steps []job.Step
	for i := range 1 + random.IntN(3) {
		s := stepWithTasks(1 + random.IntN(6))
		s.TaskDemand.CPUMilli = int64(100 + random.IntN(900))
		s.Gang = random.IntN(6) == 0 && s.Count <= 4
		s.Checkpoints = random.IntN(2) == 0
		if i > 0 && random.IntN(2) == 0 {
			s.DependsOn = []int{random.IntN(i)}
		}
		steps = append(steps, s)
	}
	r := record("plain", 1, steps...)
	if random.IntN(3) == 0 {
		r = tc.recurringRecord(1+random.IntN(30), time.Duration(random.IntN(2000))*time.Millisecond, steps...)
		r.Spec.StartAtMS -= int64(random.IntN(20_000))
	}
	return r
}

func (tc *testCluster) allEnded(jobs int) bool {
	ended := 0
	for id := range tc.rows {
		if state, _ := tc.core.State(id); state.Terminal() {
			ended++
		}
	}
	return ended == jobs
}

// smallSuccessor returns the next leader, which has read all rows and the worker w1.
func (tc *testCluster) smallSuccessor(memory int64) *testCluster {
	next := newTestCluster(tc.t, tc.core.opts.Epoch+1)
	next.core.admission = newAdmission(memory)
	next.now, next.rows, next.storedProgress, next.lastCompletion = tc.now, tc.rows, tc.storedProgress, tc.lastCompletion
	next.lateLookups = &[]lateLookup{}
	for id, r := range tc.rows {
		next.loadRow(id, r)
	}
	next.addWorker("w1")
	next.core.workers["w1"].lastReadCompletion = tc.core.workers["w1"].lastReadCompletion
	next.core.workers["w1"].lastAckedCompletion = tc.core.workers["w1"].lastAckedCompletion
	return next
}
