package intent

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/lentiltide/lentiltide/model"
)

// fakeRun is a started task in a fake rack.
type fakeRun struct {
	task  model.Task
	token model.StartToken
}

// fakeRack starts the tasks that it is granted, and keeps gang reservations until they expire.
type fakeRack struct {
	name         string
	epoch        uint64
	slots        int
	queue        map[model.TaskID]model.Task
	running      map[model.TaskID]fakeRun
	claimed      map[model.TaskID]bool
	reservations map[string]map[model.TaskID]model.Task
	expiresAt    map[string]time.Time
}

func (r *fakeRack) used() int {
	n := len(r.running)
	for _, h := range r.reservations {
		n += len(h)
	}
	return n
}

// simulation is a simple model of a cell around a Core: a table, a journal, racks, and messages that are delivered in random
// order and sometimes lost.
type simulation struct {
	t       *rapid.T
	now     time.Time
	core    *Core
	epoch   uint64
	policy  Policy
	racks   []*fakeRack
	rows    map[string]model.Intent
	journal map[model.TaskID]model.Outcome
	pending []Effect
	quota   testQuotas
	// lossless disables message loss, so that all work can complete.
	lossless bool
	finished map[model.TaskID]int
	intents  int
	// reportedOutcomes are outcomes that may be reported again later.
	reportedOutcomes []reportedOutcome
}

// reportedOutcome is an outcome with the task that it was reported for.
type reportedOutcome struct {
	task model.Task
	out  model.Outcome
}

// testQuotas maps team names to quotas; accounts are ignored.
type testQuotas map[string]Quota

func (q testQuotas) Quota(_, team string) Quota { return q[team] }

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: testNow, rows: map[string]model.Intent{}, journal: map[model.TaskID]model.Outcome{},
		finished: map[model.TaskID]int{}, policy: DefaultPolicy(),
		quota: testQuotas{"small": {Limit: model.Resources{Slots: 5}, Share: model.Resources{Slots: 3}}},
	}
	for i := range 3 {
		sim.racks = append(sim.racks, &fakeRack{name: fmt.Sprintf("rack-%d", i), epoch: 1, slots: 5})
		sim.racks[i].reset()
	}
	sim.takeOver()
	return sim
}

func (r *fakeRack) reset() {
	r.queue, r.claimed = map[model.TaskID]model.Task{}, map[model.TaskID]bool{}
	r.reservations, r.expiresAt = map[string]map[model.TaskID]model.Task{}, map[string]time.Time{}
	if r.running == nil {
		r.running = map[model.TaskID]fakeRun{}
	}
}

// takeOver replaces the intent owner: its memory and its pending messages are lost.
func (sim *simulation) takeOver() {
	sim.epoch++
	sim.pending = nil
	sim.core = New(3, sim.epoch, sim.policy)
	sim.core.SetQuotas(sim.quota)
	sim.updateViews()
	for _, id := range sortedKeys(sim.rows) {
		sim.core.Restore(sim.now, sim.rows[id], sim.journal)
	}
	for _, r := range sim.racks {
		// The fence makes the rack drop its queue and the gang reservations of earlier intent owners.
		r.reset()
		known := map[model.StartToken]bool{}
		for _, id := range sortedKeys(r.running) {
			run := r.running[id]
			known[run.token] = true
			sim.pending = append(sim.pending, sim.core.RunningTaskListed(sim.now, r.name, r.epoch, run.task, run.token, "w-"+r.name)...)
		}
		effects, final := sim.core.RackReplaced(sim.now, r.name, r.epoch, known)
		sim.recordOutcomes(final)
		sim.pending = append(sim.pending, effects...)
	}
	effects, final := sim.core.AllRacksListed(sim.now)
	sim.recordOutcomes(final)
	sim.pending = append(sim.pending, effects...)
}

// updateViews passes the current capacity of the racks to the core.
func (sim *simulation) updateViews() {
	var views []RackView
	var pool Pool
	for i, r := range sim.racks {
		free := model.Resources{CPUMilli: 1000 * int64(r.slots-r.used()), Slots: int64(r.slots - r.used())}
		pool.Free, pool.Capacity = pool.Free.Add(free), pool.Capacity.Add(model.Resources{CPUMilli: 1000 * int64(r.slots), Slots: int64(r.slots)})
		views = append(views, RackView{Rack: r.name, Zone: fmt.Sprintf("zone-%d", i%2), Epoch: r.epoch, Free: free, LargestFree: free})
	}
	sim.core.SetRacks(sim.now, views)
	sim.core.SetPool(pool)
}

func (sim *simulation) recordOutcomes(outcomes []model.Outcome) {
	for _, out := range outcomes {
		sim.journal[out.Task] = out
	}
}

func (sim *simulation) rack(name string) *fakeRack {
	for _, r := range sim.racks {
		if r.name == name {
			return r
		}
	}
	return nil
}

// loseMessage decides randomly whether a message is lost.
func (sim *simulation) loseMessage() bool {
	return !sim.lossless && rapid.IntRange(0, 9).Draw(sim.t, "lost") == 0
}

// deliverNext delivers a random pending message.
func (sim *simulation) deliverNext() {
	if len(sim.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.pending)-1).Draw(sim.t, "message")
	e := sim.pending[i]
	sim.pending = append(sim.pending[:i:i], sim.pending[i+1:]...)
	sim.deliver(e)
}

func (sim *simulation) deliver(e Effect) {
	var next []Effect
	switch e := e.(type) {
	case OfferTasks:
		for _, task := range e.Tasks {
			if sim.loseMessage() {
				sim.core.OffersRefused(sim.now, e.Rack, []model.TaskID{task.ID})
			} else if _, runs := sim.rack(e.Rack).running[task.ID]; !runs {
				sim.rack(e.Rack).queue[task.ID] = task
			}
		}
	case WithdrawTasks:
		for _, id := range e.Tasks {
			if !sim.loseMessage() {
				delete(sim.rack(e.Rack).queue, id)
			}
		}
	case StopTask:
		if run, ok := sim.rack(e.Rack).running[e.Task]; ok && run.token == e.Token {
			state := model.OutcomeStopped
			if e.Checkpoint {
				state = model.OutcomePreempted
			}
			sim.endRun(sim.rack(e.Rack), run, state)
		}
	case TaskEnded:
		if e.Record {
			sim.journal[e.Outcome.Task] = e.Outcome
		}
	case SaveIntent:
		if in, err := sim.core.Intent(e.ID); err == nil {
			sim.rows[e.ID] = in
		}
	case RecordRun:
		in, due := sim.core.PrepareRun(sim.now, e.ID)
		if due = due && !sim.loseMessage(); due {
			sim.rows[e.ID] = in
		}
		in.ID = e.ID
		next = sim.core.RunRecorded(sim.now, in, due)
	case DeleteRows:
		for _, id := range e.Intents {
			delete(sim.rows, id)
		}
	case ReserveGang:
		next = sim.reserve(e)
	case CommitGang:
		in, ok := sim.core.PrepareStart(e.ID, e.ReservationID)
		if ok = ok && !sim.loseMessage(); ok {
			sim.rows[e.ID] = in
		}
		next = sim.core.GangCommitted(sim.now, e.ID, e.ReservationID, ok)
		sim.checkWholeGang(next, e.ID)
	case StartGang:
		next = sim.startReserved(e)
	case ReleaseGang:
		if !sim.loseMessage() {
			delete(sim.rack(e.Rack).reservations, e.ReservationID)
		}
	}
	sim.pending = append(sim.pending, next...)
}

func (sim *simulation) reserve(e ReserveGang) []Effect {
	r := sim.rack(e.Rack)
	if sim.loseMessage() {
		return sim.core.ReserveGangResult(sim.now, e.Tasks[0].Intent, e.ReservationID, e.Rack, 0, nil)
	}
	if r.reservations[e.ReservationID] == nil {
		r.reservations[e.ReservationID] = map[model.TaskID]model.Task{}
	}
	r.expiresAt[e.ReservationID] = sim.now.Add(e.TTL)
	var placed []model.Placement
	for _, task := range e.Tasks {
		_, held := r.reservations[e.ReservationID][task.ID]
		if _, runs := r.running[task.ID]; runs || (!held && r.used() >= r.slots) {
			continue
		}
		r.reservations[e.ReservationID][task.ID] = task
		placed = append(placed, model.Placement{Task: task.ID, Rack: r.name})
	}
	return sim.core.ReserveGangResult(sim.now, e.Tasks[0].Intent, e.ReservationID, e.Rack, r.epoch, placed)
}

func (sim *simulation) startReserved(e StartGang) []Effect {
	r := sim.rack(e.Rack)
	if r.epoch != e.RackEpoch {
		return nil
	}
	if r.reservations[e.ReservationID] == nil {
		return sim.core.StartRefused(sim.now, e.Rack, e.Tasks, e.Tokens, "the hold has expired")
	}
	for i, id := range e.Tasks {
		sim.start(r, r.reservations[e.ReservationID][id], e.Tokens[i])
	}
	delete(r.reservations, e.ReservationID)
	return nil
}

// checkWholeGang checks that a gang is not started partially: if any member is started, all that have not ended are.
func (sim *simulation) checkWholeGang(effects []Effect, id string) {
	started := 0
	for _, e := range effects {
		if s, ok := e.(StartGang); ok {
			started += len(s.Tasks)
		}
	}
	if started == 0 {
		return
	}
	open := 0
	for i := range sim.rows[id].Spec.Tasks {
		if _, ended := sim.journal[model.NewTaskID(id, 0, i)]; !ended {
			open++
		}
	}
	if started != open {
		sim.t.Fatalf("gang %s is started partially: %d of %d open members", id, started, open)
	}
}

// start runs a task and checks that it runs nowhere else, has not finished before, and that all teams stay within their
// limits.
func (sim *simulation) start(r *fakeRack, task model.Task, token model.StartToken) {
	for _, other := range sim.racks {
		if run, ok := other.running[task.ID]; ok && run.token != token {
			sim.t.Fatalf("task %s is running in rack %s but is also started in rack %s", task.ID, other.name, r.name)
		}
	}
	if sim.finished[task.ID] > 0 && !task.Kind.Restarts() {
		sim.t.Fatalf("task %s is started again after it finished", task.ID)
	}
	r.running[task.ID] = fakeRun{task, token}
	use := map[string]int64{}
	for _, other := range sim.racks {
		for _, run := range other.running {
			use[run.task.Team] += Demand(run.task).Slots
		}
	}
	for team, n := range use {
		if limit := sim.quota[team].Limit.Slots; limit > 0 && n > limit {
			sim.t.Fatalf("team %s uses %d slots, its limit is %d", team, n, limit)
		}
	}
	sim.pending = append(sim.pending, sim.core.Started(sim.now, task.ID, token, "w-"+r.name)...)
}
