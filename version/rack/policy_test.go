package rack

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

func cores(n int64) model.Resources {
	return model.Resources{CPUMilli: n * 1000, MemoryMiB: n << 10, Slots: 1}
}

func task(id string, class model.Class, n int64) model.Task {
	intent, _, _ := strings.Cut(id, "/")
	return model.Task{
		ID: model.TaskID(id), Intent: intent, Account: "firm", Team: "a", Class: class, Kind: model.KindBatch, DeclaredDemand: cores(n),
	}
}

func eightCores() model.Resources {
	return model.Resources{CPUMilli: 8000, MemoryMiB: 64 << 10, Slots: 8, Connections: 60}
}

// policyWithoutShortReserve returns the default policy with no minimum reserve for short work.
func policyWithoutShortReserve() Policy {
	p := DefaultPolicy()
	p.Short.MinShare = 0
	return p
}

// tick advances the clock, renews the leases and lets the core decide.
func (f *fleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for _, m := range f.members {
		f.sync(m.ID, 1)
	}
	f.executeAll()
	f.enqueue(f.core.Tick(f.now))
	f.executeAll()
}

func (f *fleet) isRunning(id model.TaskID) bool {
	for _, tasks := range f.running {
		if _, ok := tasks[id]; ok {
			return true
		}
	}
	return false
}

// endAndTick ends a task on whatever worker runs it, and reports that to the core.
func (f *fleet) endAndTick(id model.TaskID, state model.OutcomeState) {
	for w := range f.running {
		f.endTask(w, id, state)
	}
	f.tick(time.Millisecond)
}

// TestPolicyCheck guards against settings that would block a class or cause a division by zero.
func TestPolicyCheck(t *testing.T) {
	assert.NilError(t, DefaultPolicy().Check())
	for field, change := range map[string]func(*Policy){
		"policy.short.max_share":         func(p *Policy) { p.Short.MaxShare = 1.5 },
		"policy.short.min_share":         func(p *Policy) { p.Short.MinShare = math.NaN() },
		"policy.short.long_after":        func(p *Policy) { p.Short.LongAfter = p.Short.ShortUntil },
		"policy.classes.batch.weight":    func(p *Policy) { p.Classes[model.ClassBatch].Weight = 0 },
		"policy.classes.long.max_share":  func(p *Policy) { p.Classes[model.ClassLong].MaxShare = 0 },
		"policy.classes.urgent.queue_":   func(p *Policy) { p.Classes[model.ClassUrgent].QueueLimit = 0 },
		"policy.team_weights.a":          func(p *Policy) { p.TeamWeights = map[string]float64{"a": -1} },
		"policy.quarantine.jobs":         func(p *Policy) { p.Quarantine.Jobs = 1 },
		"policy.quarantine.probe_max":    func(p *Policy) { p.Quarantine.ProbeMax = 0 },
		"policy.reserve.victim_margin":   func(p *Policy) { p.WorkerReservation.VictimMargin = -1 },
		"policy.classes.service.max_sha": func(p *Policy) { p.Classes[model.ClassService].MaxShare = 2 },
	} {
		p := DefaultPolicy()
		change(&p)
		assert.ErrorContains(t, p.Check(), field)
	}
}

// TestQueueOrder guards against a wrong order of the classes and of work past its latest start time.
func TestQueueOrder(t *testing.T) {
	late := task("late/0", model.ClassLong, 8)
	late.LatestStart = time.Unix(1010, 0)
	early := task("early/0", model.ClassLong, 8)
	early.LatestStart = time.Unix(5000, 0)
	for name, tc := range map[string]struct {
		offers []model.Task
		want   string
	}{
		"urgent before short":                 {[]model.Task{task("b/0", model.ClassShort, 8), task("a/0", model.ClassUrgent, 8)}, "a/0"},
		"short before batch":                  {[]model.Task{task("b/0", model.ClassBatch, 8), task("a/0", model.ClassShort, 8)}, "a/0"},
		"late long work before short":         {[]model.Task{task("b/0", model.ClassShort, 8), late}, "late/0"},
		"long work in time after short":       {[]model.Task{task("b/0", model.ClassShort, 8), early}, "b/0"},
		"urgent before late work":             {[]model.Task{late, task("a/0", model.ClassUrgent, 8)}, "a/0"},
		"service before batch when both idle": {[]model.Task{task("b/0", model.ClassBatch, 8), task("a/0", model.ClassService, 8)}, "a/0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, policyWithoutShortReserve(), eightCores())
			f.offer(task("first/0", model.ClassUrgent, 8))
			f.executeAll()
			f.offer(tc.offers...)
			f.tick(11 * time.Second)
			f.endAndTick("first/0", model.OutcomeFinished)
			assert.Assert(t, f.isRunning(model.TaskID(tc.want)), "running: %v", f.running)
		})
	}
}

// TestTeamShares guards against a team that gets more than its weighted share by offering more tasks.
func TestTeamShares(t *testing.T) {
	p := policyWithoutShortReserve()
	p.TeamWeights = map[string]float64{"b": 3}
	f := newFleet(t, p, eightCores())
	var offers []model.Task
	for i := range 40 {
		offers = append(offers, task(fmt.Sprintf("a/%d", i), model.ClassBatch, 1))
	}
	for i := range 20 {
		b := task(fmt.Sprintf("b/%d", i), model.ClassBatch, 1)
		b.Team = "b"
		offers = append(offers, b)
	}
	f.offer(offers...)
	f.executeAll()
	count := map[string]int{}
	for _, r := range f.running["w0"] {
		count[r.Task.Team]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 2, "b": 6})
}

// TestShortShare guards against long work that uses up the capacity reserved for short work, even if declared run times
// or classes are wrong.
func TestShortShare(t *testing.T) {
	p := DefaultPolicy()
	p.Short.MinShare = 0.25
	f := newFleet(t, p, eightCores())
	for i := range 8 {
		f.offer(task(fmt.Sprintf("long/%d", i), model.ClassLong, 1))
	}
	f.executeAll()
	assert.Equal(t, len(f.running["w0"]), 6)
	f.offer(task("s/0", model.ClassShort, 1), task("s/1", model.ClassShort, 1))
	f.executeAll()
	assert.Assert(t, f.isRunning("s/0") && f.isRunning("s/1"))

	f.tick(5 * time.Second)
	f.core.policy.WorkerReservation.After = time.Second
	f.tick(time.Second)
	assert.Equal(t, len(f.core.workerReservationList), 0, "a worker reservation for small long work blocks the capacity reserved for short work")

	// Short tasks that keep running count as batch work, and so do later tasks of their job.
	f.tick(11 * time.Second)
	assert.Equal(t, f.core.queues[model.ClassShort].used.CPUMilli, int64(0))
	assert.Equal(t, f.core.queues[model.ClassBatch].used.CPUMilli, int64(2000))
	f.offer(task("s/2", model.ClassShort, 1))
	assert.Equal(t, f.core.offers["s/2"].class, model.ClassBatch)
	assert.Assert(t, strings.Contains(strings.Join(f.core.Explain(f.now, "s/2"), "\n"), "kept for short work"))
}

// TestObservedUsage guards against placement by declared demands that the workers' usage reports contradict.
func TestObservedUsage(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	f.offer(task("job/0", model.ClassBatch, 2))
	f.executeAll()
	f.sync("w0", 3)
	f.executeAll()
	f.offer(task("job/1", model.ClassBatch, 2))
	f.executeAll()
	assert.Assert(t, !f.isRunning("job/1"), "a task was placed on 2 free cores although its job was observed to use 6")
	f.offer(task("other/0", model.ClassBatch, 2))
	f.executeAll()
	assert.Assert(t, f.isRunning("other/0"))
}

// TestDisplacement guards against the displacement of work that is not preemptible, would miss its latest start time, is
// not named by the plan or is not of a longer class, and against use of the capacity before the stop is confirmed.
func TestDisplacement(t *testing.T) {
	for name, tc := range map[string]struct {
		change   func(*model.Task)
		named    []model.TaskID
		proposed bool
		stopped  bool
	}{
		"preemptible":         {func(*model.Task) {}, []model.TaskID{"v/0"}, true, true},
		"not named":           {func(*model.Task) {}, nil, true, false},
		"another is named":    {func(*model.Task) {}, []model.TaskID{"v/1"}, true, false},
		"not preemptible":     {func(v *model.Task) { v.Preemptible = false }, []model.TaskID{"v/0"}, false, false},
		"would be late":       {func(v *model.Task) { v.LatestStart = time.Unix(1030, 0) }, []model.TaskID{"v/0"}, false, false},
		"deadline is far off": {func(v *model.Task) { v.LatestStart = time.Unix(9000, 0) }, []model.TaskID{"v/0"}, true, true},
		"same class":          {func(v *model.Task) { v.Class = model.ClassBatch }, nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, policyWithoutShortReserve(), eightCores())
			victim := task("v/0", model.ClassLong, 6)
			victim.Preemptible = true
			tc.change(&victim)
			f.offer(victim)
			f.executeAll()
			by := task("by/0", model.ClassBatch, 8)
			p := f.core.Propose(f.now, []model.Task{by})
			assert.Equal(t, len(p.Displaces) == 1, tc.proposed, "%+v", p)
			assert.Assert(t, p.FitsEmpty && f.core.workers["w0"].used.CPUMilli == 6000, "the dry run changed the ledger")

			f.openOffers[by.ID] = by
			effects, _ := f.core.Offer(f.now, []Offer{{Task: by, IntentEpoch: 1, Victims: tc.named}})
			f.enqueue(effects)
			f.executeAll()
			assert.Equal(t, !f.isRunning("v/0"), tc.stopped)
			assert.Assert(t, !f.isRunning("by/0"), "capacity was used before the worker reported the stop")
			f.tick(time.Millisecond)
			assert.Equal(t, f.isRunning("by/0"), tc.stopped)
		})
	}
}

// TestReservation guards against large work that starves behind a stream of small work, and against a worker reservation
// that prevents backfill by short work.
func TestReservation(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	running := func(id string, n int64, run time.Duration) {
		small := task(id, model.ClassBatch, n)
		small.RunTimeMS = run.Milliseconds()
		f.offer(small)
		f.executeAll()
	}
	running("small/0", 3, time.Minute)
	running("small/1", 3, 2*time.Minute)
	f.offer(task("large/0", model.ClassBatch, 8))
	f.tick(31 * time.Second)
	running("later/0", 2, time.Minute)
	assert.Assert(t, !f.isRunning("later/0"), "other batch work was placed on the reserved worker")
	short := task("short/0", model.ClassShort, 2)
	short.RunTimeMS = 100
	f.offer(short)
	f.executeAll()
	assert.Assert(t, f.isRunning("short/0"), "short work did not backfill")
	for _, id := range []model.TaskID{"short/0", "small/0", "small/1"} {
		f.endAndTick(id, model.OutcomeFinished)
	}
	assert.Assert(t, f.isRunning("large/0"), "%v %v", f.running, f.core.Explain(f.now, "large/0"))
}

// TestQuarantine guards against a broken worker that keeps failing jobs, and against a broken job that takes workers out
// of use.
func TestQuarantine(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores(), eightCores())
	fail := func(w, intent string) {
		f.sequence++
		id := model.TaskID(fmt.Sprintf("%s/%d", intent, f.sequence))
		f.results[w] = append(f.results[w], worker.Result{Sequence: f.sequence, Task: task(string(id), model.ClassBatch, 1),
			Outcome: model.Outcome{Task: id, State: model.OutcomeFailed, Worker: w}})
		f.tick(time.Millisecond)
	}
	for _, job := range []string{"a", "b", "c"} {
		fail("w0", job)
	}
	assert.Assert(t, f.core.workers["w0"].quarantined)
	for _, job := range []string{"a", "b", "c"} {
		fail("w1", job)
	}
	assert.Assert(t, !f.core.workers["w0"].quarantined && !f.core.workers["w1"].quarantined, "broken jobs put workers into quarantine")
	for _, job := range []string{"d", "e", "f"} {
		fail("w0", job)
	}
	assert.Assert(t, f.core.workers["w0"].quarantined)
	f.offer(task("x/0", model.ClassBatch, 1))
	f.executeAll()
	assert.Equal(t, len(f.running["w0"]), 0)

	f.endAndTick("x/0", model.OutcomeFinished)
	f.offer(task("y/0", model.ClassBatch, 8))
	f.executeAll()
	f.tick(11 * time.Second)
	f.offer(task("p/0", model.ClassBatch, 1), task("p/1", model.ClassBatch, 1))
	f.executeAll()
	assert.Equal(t, len(f.running["w0"]), 1, "a probe must be exactly one task")
	probe := f.tasksOn("w0")[0]
	f.endAndTick(probe, model.OutcomeFailed)
	assert.Equal(t, f.core.workers["w0"].probeAfter, 20*time.Second)
	f.tick(11 * time.Second)
	assert.Equal(t, len(f.running["w0"]), 0)
	f.tick(10 * time.Second)
	assert.Equal(t, len(f.running["w0"]), 1)
	f.endAndTick(f.tasksOn("w0")[0], model.OutcomeFinished)
	assert.Assert(t, !f.core.workers["w0"].quarantined)
}

// TestLeavingWorker guards against a start on a worker that is reported as leaving while the claim is pending.
func TestLeavingWorker(t *testing.T) {
	f := newFleet(t, policyWithoutShortReserve(), eightCores())
	f.offer(task("a/0", model.ClassBatch, 1))
	f.members[0].State = store.MemberLeaving
	f.enqueue(f.core.SetMembers(f.now, f.members))
	f.execute(0)
	for _, e := range f.pending {
		_, started := e.(StartTask)
		assert.Assert(t, !started)
	}
}

// TestSpreadAndAccelerators guards against services that share a worker while another is free, against work without
// accelerators on accelerator workers while others are free, and against a wrong accelerator type.
func TestSpreadAndAccelerators(t *testing.T) {
	gpu := eightCores()
	gpu.Accelerators, gpu.AcceleratorType = 2, "a"
	f := newFleet(t, policyWithoutShortReserve(), eightCores(), gpu, eightCores())
	for i := range 2 {
		s := task(fmt.Sprintf("s/%d", i), model.ClassService, 1)
		s.Kind = model.KindService
		f.offer(s)
		f.executeAll()
	}
	assert.Assert(t, len(f.running["w0"]) == 1 && len(f.running["w2"]) == 1, "%v", f.running)
	wrong, right := task("g/0", model.ClassBatch, 1), task("g/1", model.ClassBatch, 1)
	wrong.DeclaredDemand.Accelerators, wrong.DeclaredDemand.AcceleratorType = 1, "b"
	right.DeclaredDemand.Accelerators, right.DeclaredDemand.AcceleratorType = 1, "a"
	f.offer(wrong, right)
	f.executeAll()
	assert.Assert(t, !f.isRunning("g/0") && len(f.running["w1"]) == 1)
}
