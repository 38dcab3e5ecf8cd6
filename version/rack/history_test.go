package rack

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// fleet is a set of fake workers with a rack core. It verifies the core's ledger by full scans, and executes the effects
// of the core in any order, so that any reply may be late.
type fleet struct {
	t       rapid.TB
	core    *Core
	now     time.Time
	boots   map[string]int
	running map[string]map[model.TaskID]worker.StartRequest
	results map[string][]worker.Result
	// pending are effects that were not executed yet.
	pending []Effect
	// openOffers are the offered tasks that were not withdrawn, refused, denied or reported with an outcome.
	openOffers   map[model.TaskID]model.Task
	deniedClaims map[model.TaskID]bool
	sequence     uint64
	members      []store.Member
	startCounts  map[model.TaskID]int
	// declaredWhenShrunk is what the ledger declared of a worker that has shrunk below it, as of the last check. It may not grow.
	declaredWhenShrunk map[string]model.Resources
	// refuseEvery makes workers refuse each start whose token sequence is a multiple of it; 0 refuses none.
	refuseEvery uint64
}

func newFleet(t rapid.TB, policy Policy, capacities ...model.Resources) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0), boots: map[string]int{}, running: map[string]map[model.TaskID]worker.StartRequest{},
		results: map[string][]worker.Result{}, openOffers: map[model.TaskID]model.Task{}, deniedClaims: map[model.TaskID]bool{},
		startCounts: map[model.TaskID]int{}, declaredWhenShrunk: map[string]model.Resources{},
	}
	f.core = New(f.now, "r1", 1, policy)
	for i, c := range capacities {
		id := fmt.Sprintf("w%d", i)
		f.members = append(f.members, store.Member{ID: id, State: store.MemberLive, Capacity: c})
		f.running[id] = map[model.TaskID]worker.StartRequest{}
	}
	f.enqueue(f.core.SetMembers(f.now, f.members))
	f.executeAll()
	return f
}

// enqueue adds effects to those that are to be executed.
func (f *fleet) enqueue(effects []Effect) { f.pending = append(f.pending, effects...) }

// executeAll executes effects, including those that they cause, until none is pending.
func (f *fleet) executeAll() {
	for len(f.pending) > 0 {
		f.execute(0)
	}
}

// execute executes the pending effect with index i and enqueues the effects that follow.
func (f *fleet) execute(i int) {
	e := f.pending[i]
	f.pending = slices.Delete(f.pending, i, i+1)
	switch e := e.(type) {
	case FenceWorker:
		inv := worker.Inventory{BootID: fmt.Sprint(f.boots[e.Worker]), Now: f.clockReading(), Results: f.results[e.Worker]}
		f.results[e.Worker] = nil
		for _, id := range f.tasksOn(e.Worker) {
			r := f.running[e.Worker][id]
			inv.Running = append(inv.Running, worker.RunningTask{Task: r.Task, Token: r.Token, LeaseUntil: r.LeaseUntil})
		}
		f.enqueue(f.core.FenceResult(f.now, e.Worker, inv))
	case ClaimTask:
		f.sequence++
		token := model.StartToken{Epoch: 1, Sequence: f.sequence}
		f.enqueue(f.core.ClaimResult(f.now, e.Task.ID, !f.deniedClaims[e.Task.ID], token))
		if f.deniedClaims[e.Task.ID] {
			delete(f.openOffers, e.Task.ID)
		}
	case StartTask:
		f.start(e)
	case StopTask:
		f.endTask(e.Worker, e.Request.Task, model.OutcomePreempted)
	case ReportOutcome:
		f.core.OutcomeDurable(e.Outcome.Worker, e.BootID, e.Sequence)
		delete(f.openOffers, e.Task.ID)
		switch e.Outcome.State {
		case model.OutcomeNotStarted, model.OutcomeExpired, model.OutcomePreempted:
			f.offer(e.Task)
		}
	}
}

func (f *fleet) clockReading() worker.ClockReading { return worker.ClockReading(f.now.UnixMilli()) }

// start runs a task on a fake worker unless the worker refuses it, and fails the test if the task already runs.
func (f *fleet) start(e StartTask) {
	id := e.Request.Task.ID
	refused := f.refuseEvery > 0 && e.Request.Token.Sequence%f.refuseEvery == 0
	if refused || e.Request.BootID != fmt.Sprint(f.boots[e.Worker]) || f.clockReading() > e.Request.LeaseUntil {
		f.enqueue(f.core.StartResult(f.now, id, e.Request.Token, verdict.NotRun))
		return
	}
	for name, tasks := range f.running {
		if _, ok := tasks[id]; ok {
			f.t.Fatalf("task %s runs on %s and is started on %s", id, name, e.Worker)
		}
	}
	f.running[e.Worker][id] = e.Request
	f.startCounts[id]++
	f.enqueue(f.core.StartResult(f.now, id, e.Request.Token, verdict.Ran))
}

// expireLeases ends the tasks whose lease has expired, as workers do themselves.
func (f *fleet) expireLeases() {
	for _, m := range f.members {
		for _, id := range f.tasksOn(m.ID) {
			if f.clockReading() > f.running[m.ID][id].LeaseUntil {
				f.endTask(m.ID, id, model.OutcomeExpired)
			}
		}
	}
}

// endTask ends a task on a fake worker; the next synchronisation reports it to the core.
func (f *fleet) endTask(w string, id model.TaskID, state model.OutcomeState) {
	req, ok := f.running[w][id]
	if !ok {
		return
	}
	delete(f.running[w], id)
	f.sequence++
	f.results[w] = append(f.results[w], worker.Result{
		Sequence: f.sequence, Task: req.Task, Outcome: model.Outcome{Task: id, Token: req.Token, State: state, Worker: w},
	})
}

// sync synchronises a worker, whose tasks report usage times their declared CPU.
func (f *fleet) sync(w string, usage int64) {
	req, ok := f.core.SyncRequest(w, 0)
	if !ok {
		return
	}
	reply := worker.SyncReply{BootID: fmt.Sprint(f.boots[w]), Now: f.clockReading(), Results: f.results[w]}
	f.results[w] = nil
	for id, r := range f.running[w] {
		r.LeaseUntil = max(r.LeaseUntil, req.LeaseUntil)
		f.running[w][id] = r
		used := r.Task.DeclaredDemand
		used.CPUMilli *= usage
		reply.Running = append(reply.Running, worker.TaskStatus{Task: r.Task.ID, Token: r.Token, Used: used})
	}
	f.enqueue(f.core.SyncResult(f.now, w, req, reply))
}

func (f *fleet) offer(tasks ...model.Task) {
	offers := make([]Offer, len(tasks))
	for i, task := range tasks {
		offers[i] = Offer{Task: task, IntentEpoch: 1}
		f.openOffers[task.ID] = task
	}
	effects, refused := f.core.Offer(f.now, offers)
	for _, id := range refused {
		delete(f.openOffers, id)
	}
	f.enqueue(effects)
}

// checkInvariants compares the core's ledger, usage, phases and queues with a full scan.
func (f *fleet) checkInvariants() {
	c := f.core
	var total, used model.Resources
	for _, w := range c.workersByArrival {
		var declared, counted model.Resources
		for _, r := range f.running[w.member.ID] {
			declared = declared.Add(Demand(r.Task))
		}
		limit := f.limitOf(w)
		assert.Assert(f.t, declared.Fits(limit), "worker %s is overcommitted: its running tasks declare %+v", w.member.ID, declared)
		declared = model.Resources{}
		for _, t := range w.tasks {
			declared, counted = declared.Add(Demand(t.task)), counted.Add(t.demand)
		}
		assert.Assert(f.t, declared.Fits(limit), "worker %s is overcommitted: its ledger declares %+v", w.member.ID, declared)
		f.lowerLimit(w, declared)
		assert.Equal(f.t, counted.CPUMilli, w.used.CPUMilli)
		if w.inTotals {
			total, used = total.Add(w.member.Capacity), used.Add(counted)
		}
	}
	assert.Equal(f.t, total.CPUMilli, c.totalCapacity.CPUMilli)
	var charged int64
	for _, q := range c.queues {
		charged += q.used.CPUMilli
	}
	assert.Equal(f.t, used.CPUMilli, charged)
	for id, t := range c.tasks {
		if t.phase == phaseReserved {
			assert.Assert(f.t, c.gangReservations[t.gang.id] == t.gang, "task %s keeps capacity for a gang reservation that has ended", id)
			continue
		}
		claims := slices.ContainsFunc(f.pending, func(e Effect) bool {
			claim, ok := e.(ClaimTask)
			return ok && claim.Task.ID == id
		})
		starts := slices.ContainsFunc(f.pending, func(e Effect) bool {
			start, ok := e.(StartTask)
			return ok && start.Request.Task.ID == id && start.Request.Token == t.token
		})
		assert.Assert(f.t, claims == (t.phase == phaseClaiming) && starts == (t.phase == phaseStarting),
			"task %s keeps capacity in phase %d without a pending reply", id, t.phase)
	}
	for id := range f.openOffers {
		_, queued := c.offers[id]
		_, known := c.tasks[id]
		ended := slices.ContainsFunc(f.pending, func(e Effect) bool {
			r, ok := e.(ReportOutcome)
			return ok && r.Task.ID == id
		})
		for _, results := range f.results {
			ended = ended || slices.ContainsFunc(results, func(r worker.Result) bool { return r.Task.ID == id })
		}
		assert.Assert(f.t, queued || known || ended, "offer %s is lost", id)
		assert.Assert(f.t, !queued || !known, "offer %s is queued and placed", id)
	}
}

// checkWorkConserving fails if the first offer of a group waits although a scan of all workers finds enough free
// capacity within all limits.
func (f *fleet) checkWorkConserving() {
	for range 50 {
		f.now = f.now.Add(time.Millisecond)
		f.enqueue(f.core.Tick(f.now))
	}
	c := f.core
	for _, o := range c.offers {
		if o.group.head() != o {
			continue
		}
		demand := c.effectiveDemand(o.Task)
		for _, w := range c.workersByArrival {
			fits := w.inTotals && w.reservation == nil && demand.Fits(w.free())
			assert.Assert(f.t, !fits || c.offerLimitReason(o, demand) != ReasonNone, "offer %s fits worker %s but waits", o.Task.ID, w.member.ID)
		}
	}
}

var capacities = []model.Resources{
	{CPUMilli: 16_000, MemoryMiB: 64 << 10, Slots: 8, Connections: 60},
	{CPUMilli: 64_000, MemoryMiB: 256 << 10, Slots: 8, Connections: 60},
	{CPUMilli: 16_000, MemoryMiB: 64 << 10, Slots: 8, Connections: 60, Accelerators: 4, AcceleratorType: "a"},
	{CPUMilli: 8_000, MemoryMiB: 128 << 10, Slots: 4, Connections: 60},
}

func drawTask(t *rapid.T, n int) model.Task {
	task := model.Task{
		ID: model.TaskID(fmt.Sprintf("i%d/%d", rapid.IntRange(0, 5).Draw(t, "intent"), n)), Account: "firm",
		Team:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Class: model.Class(rapid.IntRange(0, 4).Draw(t, "class")), Kind: model.KindBatch,
		DeclaredDemand: model.Resources{
			CPUMilli:  int64(rapid.IntRange(1, 20).Draw(t, "cpu")) * 1000,
			MemoryMiB: int64(rapid.IntRange(1, 64).Draw(t, "memory")) << 10, Connections: int64(rapid.IntRange(0, 30).Draw(t, "connections")),
		},
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
	}
	task.Intent = string(task.ID[:2])
	if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
		task.Kind = model.KindService
	}
	if rapid.IntRange(0, 3).Draw(t, "deadline") == 0 {
		task.LatestStart = time.Unix(int64(rapid.IntRange(1000, 1400).Draw(t, "latest")), 0)
	}
	if rapid.IntRange(0, 5).Draw(t, "accelerated") == 0 {
		task.DeclaredDemand.Accelerators, task.DeclaredDemand.AcceleratorType = 2, "a"
	}
	return task
}

// TestMain sets the seed and the size of the random histories; flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.steps": "250", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRandomHistories guards against overcommitted workers, lost offers, tasks that run twice, partly started gangs and
// an inconsistent ledger, under late replies, restarts, expired leases, leaving workers and wrong demands.
func TestRandomHistories(t *testing.T) { runHistories(t, false) }

// TestRandomHistoriesWithCapacityChanges guards against the same while workers shrink and grow, and against starts on a worker
// that is over its capacity.
func TestRandomHistoriesWithCapacityChanges(t *testing.T) { runHistories(t, true) }

func runHistories(t *testing.T, capacityChanges bool) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := DefaultPolicy()
		policy.WorkerReservation.After = time.Second
		f := newFleet(rt, policy, capacities...)
		f.refuseEvery = 7
		n, holds := 0, 0
		steps := map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				var tasks []model.Task
				for range rapid.IntRange(1, 4).Draw(rt, "offers") {
					n++
					tasks = append(tasks, drawTask(rt, n))
				}
				f.offer(tasks...)
			},
			"propose and displace": func(rt *rapid.T) {
				n++
				task := drawTask(rt, n)
				before := f.core.Summary()
				p := f.core.Propose(f.now, []model.Task{task})
				assert.DeepEqual(rt, f.core.Summary(), before)
				offer := Offer{Task: task, IntentEpoch: 1}
				for _, d := range p.Displaces {
					victim := f.core.tasks[d.Task]
					assert.Assert(rt, victim.task.Preemptible && victim.class > task.Class)
					offer.Victims = append(offer.Victims, d.Task)
				}
				f.openOffers[task.ID] = task
				effects, refused := f.core.Offer(f.now, []Offer{offer})
				assert.Equal(rt, len(refused), 0)
				f.enqueue(effects)
				for _, e := range effects {
					if stop, ok := e.(StopTask); ok {
						assert.Assert(rt, slices.Contains(offer.Victims, stop.Request.Task) && stop.Request.Checkpoint)
					}
				}
			},
			"execute": func(rt *rapid.T) {
				if len(f.pending) > 0 {
					f.execute(rapid.IntRange(0, len(f.pending)-1).Draw(rt, "effect"))
				}
			},
			"sync": func(rt *rapid.T) {
				f.sync(f.drawWorker(rt), int64(rapid.IntRange(1, 3).Draw(rt, "usage")))
			},
			"end": func(rt *rapid.T) {
				states := []model.OutcomeState{model.OutcomeFinished, model.OutcomeFailed}
				w := f.drawWorker(rt)
				for _, id := range f.tasksOn(w) {
					f.endTask(w, id, rapid.SampledFrom(states).Draw(rt, "state"))
					break
				}
			},
			"withdraw or deny": func(rt *rapid.T) {
				id := model.TaskID(fmt.Sprintf("i%d/%d", rapid.IntRange(0, 5).Draw(rt, "intent"), rapid.IntRange(0, n).Draw(rt, "task")))
				f.deniedClaims[id] = true
				if f.core.offers[id] != nil {
					delete(f.openOffers, id)
				}
				f.core.Withdraw([]model.TaskID{id})
			},
			"restart": func(rt *rapid.T) {
				w := f.drawWorker(rt)
				f.boots[w]++
				f.running[w], f.results[w] = map[model.TaskID]worker.StartRequest{}, nil
				f.sync(w, 1)
			},
			"member": func(rt *rapid.T) {
				states := []store.MemberState{store.MemberLive, store.MemberLeaving}
				f.members[rapid.IntRange(0, 3).Draw(rt, "member")].State = rapid.SampledFrom(states).Draw(rt, "state")
				f.enqueue(f.core.SetMembers(f.now, f.members))
			},
			"tick": func(rt *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
				f.expireLeases()
				f.enqueue(f.core.Tick(f.now))
			},
			"hold": func(rt *rapid.T) {
				holds++
				f.reserveGang(rt, fmt.Sprintf("h%d", holds), &n)
			},
			"settle": func(rt *rapid.T) {
				if rapid.IntRange(0, 3).Draw(rt, "all") == 0 {
					f.executeAll()
				}
			},
			"": func(*rapid.T) { f.checkInvariants() },
		}
		if capacityChanges {
			steps["capacity"] = func(rt *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(rt, "worker")
				share := int64(rapid.IntRange(0, 4).Draw(rt, "quarters"))
				f.setCapacity(i, model.Resources{
					CPUMilli: capacities[i].CPUMilli * share / 4, MemoryMiB: capacities[i].MemoryMiB * share / 4, Slots: capacities[i].Slots,
					Connections: capacities[i].Connections, Accelerators: capacities[i].Accelerators, AcceleratorType: capacities[i].AcceleratorType,
				})
			}
		}
		rt.Repeat(steps)
		f.checkWorkConserving()
	})
}

func (f *fleet) drawWorker(t *rapid.T) string {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "worker")].ID
}

func (f *fleet) tasksOn(w string) []model.TaskID {
	var ids []model.TaskID
	for id := range f.running[w] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reserveGang requests a reservation for a small gang, and then releases it or starts it, possibly after it expired.
func (f *fleet) reserveGang(t *rapid.T, id string, n *int) {
	var tasks []model.Task
	for range rapid.IntRange(1, 3).Draw(t, "tasks") {
		*n++
		tasks = append(tasks, drawTask(t, *n))
	}
	const ttl = 3 * time.Second
	reservedAt := f.now
	placements, effects, err := f.core.ReserveGang(reservedAt, GangReservationRequest{ID: id, IntentEpoch: 1, Tasks: tasks, TTL: ttl})
	assert.NilError(f.t, err)
	f.enqueue(effects)
	f.checkInvariants()
	if len(placements) < len(tasks) || rapid.Bool().Draw(t, "release") {
		f.enqueue(f.core.ReleaseGang(f.now, id))
		_, err := f.core.StartGang(f.now, id, nil, nil)
		assert.Equal(f.t, verdict.Of(err), verdict.NotRun)
		return
	}
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond)
	var ids []model.TaskID
	var tokens []model.StartToken
	for _, task := range tasks {
		f.sequence++
		ids, tokens = append(ids, task.ID), append(tokens, model.StartToken{Epoch: 1, Sequence: f.sequence})
	}
	effects, err = f.core.StartGang(f.now, id, ids, tokens)
	f.enqueue(effects)
	assert.Assert(f.t, err != nil || f.now.Sub(reservedAt) <= ttl, "an expired gang reservation was started")
	for i, task := range ids {
		_, placed := f.core.tasks[task]
		if err != nil {
			assert.Assert(f.t, !placed, "task %s keeps capacity after a refused gang start", task)
			continue
		}
		f.openOffers[task] = tasks[i]
	}
	repeated, again := f.core.StartGang(f.now, id, ids, tokens)
	assert.Equal(f.t, verdict.Of(again), verdict.Of(err))
	assert.Equal(f.t, len(repeated), 0)
}
