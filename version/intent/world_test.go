package intent

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/lentiltide/lentiltide/model"
)

// fakeRun is one start of a task in a fake rack.
type fakeRun struct {
	task  model.Task
	token model.StartToken
}

// fakeRack starts what it is granted, and keeps holds until they expire.
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

// simulation is a naive cell: a table, a journal, racks and messages in any order, some of them lost.
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
	// lossless stops losses, so that everything can settle.
	lossless bool
	finished map[model.TaskID]int
	intents  int
	// reportedOutcomes are outcomes that may be reported again, much later.
	reportedOutcomes []reportedOutcome
}

type reportedOutcome struct {
	task model.Task
	out  model.Outcome
}

type testQuotas map[string]Quota

func (q testQuotas) Quota(_, team string) Quota { return q[team] }

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: testNow, rows: map[string]model.Intent{}, journal: map[model.TaskID]model.Outcome{},
		finished: map[model.TaskID]int{}, policy: DefaultPolicy(),
		quota: testQuotas{"small": {Limit: model.Resources{Slots: 5}, Share: model.Resources{Slots: 3}}},
	}
	for i := range 3 {
		w.racks = append(w.racks, &fakeRack{name: fmt.Sprintf("rack-%d", i), epoch: 1, slots: 5})
		w.racks[i].reset()
	}
	w.takeOver()
	return w
}

func (r *fakeRack) reset() {
	r.queue, r.claimed = map[model.TaskID]model.Task{}, map[model.TaskID]bool{}
	r.reservations, r.expiresAt = map[string]map[model.TaskID]model.Task{}, map[string]time.Time{}
	if r.running == nil {
		r.running = map[model.TaskID]fakeRun{}
	}
}

// takeOver replaces the intent owner: its memory and its messages are lost.
func (w *simulation) takeOver() {
	w.epoch++
	w.pending = nil
	w.core = New(3, w.epoch, w.policy)
	w.core.SetQuotas(w.quota)
	w.updateViews()
	for _, id := range sortedKeys(w.rows) {
		w.core.Restore(w.now, w.rows[id], w.journal)
	}
	for _, r := range w.racks {
		// The rack drops holds of earlier owners when it is fenced.
		r.reset()
		known := map[model.StartToken]bool{}
		for _, id := range sortedKeys(r.running) {
			run := r.running[id]
			known[run.token] = true
			w.pending = append(w.pending, w.core.Known(w.now, r.name, r.epoch, run.task, run.token, "w-"+r.name)...)
		}
		effects, final := w.core.RackReplaced(w.now, r.name, r.epoch, known)
		w.recordOutcomes(final)
		w.pending = append(w.pending, effects...)
	}
	effects, final := w.core.RacksAnswered(w.now)
	w.recordOutcomes(final)
	w.pending = append(w.pending, effects...)
}

func (w *simulation) updateViews() {
	var views []RackView
	var pool Pool
	for i, r := range w.racks {
		free := model.Resources{CPUMilli: 1000 * int64(r.slots-r.used()), Slots: int64(r.slots - r.used())}
		pool.Free, pool.Capacity = pool.Free.Add(free), pool.Capacity.Add(model.Resources{CPUMilli: 1000 * int64(r.slots), Slots: int64(r.slots)})
		views = append(views, RackView{Rack: r.name, Zone: fmt.Sprintf("zone-%d", i%2), Epoch: r.epoch, Free: free, Largest: free})
	}
	w.core.SetRacks(w.now, views)
	w.core.SetPool(pool)
}

func (w *simulation) recordOutcomes(outcomes []model.Outcome) {
	for _, out := range outcomes {
		w.journal[out.Task] = out
	}
}

func (w *simulation) rack(name string) *fakeRack {
	for _, r := range w.racks {
		if r.name == name {
			return r
		}
	}
	return nil
}

// loseMessage reports whether a message that may be lost is.
func (w *simulation) loseMessage() bool {
	return !w.lossless && rapid.IntRange(0, 9).Draw(w.t, "lost") == 0
}

// deliverNext delivers one pending message, in any order.
func (w *simulation) deliverNext() {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "message")
	e := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	w.deliver(e)
}

func (w *simulation) deliver(e Effect) {
	var next []Effect
	switch e := e.(type) {
	case OfferTasks:
		for _, task := range e.Tasks {
			if w.loseMessage() {
				w.core.Refused(w.now, e.Rack, []model.TaskID{task.ID})
			} else if _, runs := w.rack(e.Rack).running[task.ID]; !runs {
				w.rack(e.Rack).queue[task.ID] = task
			}
		}
	case WithdrawTasks:
		for _, id := range e.Tasks {
			if !w.loseMessage() {
				delete(w.rack(e.Rack).queue, id)
			}
		}
	case StopTask:
		if run, ok := w.rack(e.Rack).running[e.Task]; ok && run.token == e.Token {
			state := model.OutcomeStopped
			if e.Checkpoint {
				state = model.OutcomePreempted
			}
			w.endRun(w.rack(e.Rack), run, state)
		}
	case TaskEnded:
		if e.Record {
			w.journal[e.Outcome.Task] = e.Outcome
		}
	case SaveIntent:
		if in, err := w.core.Intent(e.ID); err == nil {
			w.rows[e.ID] = in
		}
	case RecordRun:
		in, due := w.core.PrepareRun(w.now, e.ID)
		if due = due && !w.loseMessage(); due {
			w.rows[e.ID] = in
		}
		in.ID = e.ID
		next = w.core.RunRecorded(w.now, in, due)
	case Forget:
		for _, id := range e.Intents {
			delete(w.rows, id)
		}
	case HoldTasks:
		next = w.reserve(e)
	case CommitGang:
		in, ok := w.core.PrepareStart(e.ID, e.Hold)
		if ok = ok && !w.loseMessage(); ok {
			w.rows[e.ID] = in
		}
		next = w.core.GangCommitted(w.now, e.ID, e.Hold, ok)
		w.checkWholeGang(next, e.ID)
	case StartHeld:
		next = w.startReserved(e)
	case ReleaseHold:
		if !w.loseMessage() {
			delete(w.rack(e.Rack).reservations, e.Hold)
		}
	}
	w.pending = append(w.pending, next...)
}

func (w *simulation) reserve(e HoldTasks) []Effect {
	r := w.rack(e.Rack)
	if w.loseMessage() {
		return w.core.HoldAnswered(w.now, e.Tasks[0].Intent, e.Hold, e.Rack, 0, nil)
	}
	if r.reservations[e.Hold] == nil {
		r.reservations[e.Hold] = map[model.TaskID]model.Task{}
	}
	r.expiresAt[e.Hold] = w.now.Add(e.Term)
	var placed []model.Placement
	for _, task := range e.Tasks {
		_, held := r.reservations[e.Hold][task.ID]
		if _, runs := r.running[task.ID]; runs || (!held && r.used() >= r.slots) {
			continue
		}
		r.reservations[e.Hold][task.ID] = task
		placed = append(placed, model.Placement{Task: task.ID, Rack: r.name})
	}
	return w.core.HoldAnswered(w.now, e.Tasks[0].Intent, e.Hold, e.Rack, r.epoch, placed)
}

func (w *simulation) startReserved(e StartHeld) []Effect {
	r := w.rack(e.Rack)
	if r.epoch != e.RackEpoch {
		return nil
	}
	if r.reservations[e.Hold] == nil {
		return w.core.StartRefused(w.now, e.Rack, e.Tasks, e.Tokens, "the hold has expired")
	}
	for i, id := range e.Tasks {
		w.start(r, r.reservations[e.Hold][id], e.Tokens[i])
	}
	delete(r.reservations, e.Hold)
	return nil
}

// checkWholeGang guards against a gang that starts in part: what is started covers all members that have not finished.
func (w *simulation) checkWholeGang(effects []Effect, id string) {
	started := 0
	for _, e := range effects {
		if s, ok := e.(StartHeld); ok {
			started += len(s.Tasks)
		}
	}
	if started == 0 {
		return
	}
	open := 0
	for i := range w.rows[id].Spec.Tasks {
		if _, ended := w.journal[model.NewTaskID(id, 0, i)]; !ended {
			open++
		}
	}
	if started != open {
		w.t.Fatalf("gang %s: %d of %d open members started", id, started, open)
	}
}

// start runs a task and checks that it runs nowhere else, has not finished before, and stays within its quota.
func (w *simulation) start(r *fakeRack, task model.Task, token model.StartToken) {
	for _, other := range w.racks {
		if run, ok := other.running[task.ID]; ok && run.token != token {
			w.t.Fatalf("task %s runs in %s and is started in %s", task.ID, other.name, r.name)
		}
	}
	if w.finished[task.ID] > 0 && !task.Kind.Restarts() {
		w.t.Fatalf("task %s is started again after it finished", task.ID)
	}
	r.running[task.ID] = fakeRun{task, token}
	use := map[string]int64{}
	for _, other := range w.racks {
		for _, run := range other.running {
			use[run.task.Team] += Demand(run.task).Slots
		}
	}
	for team, n := range use {
		if limit := w.quota[team].Limit.Slots; limit > 0 && n > limit {
			w.t.Fatalf("team %s uses %d of %d slots", team, n, limit)
		}
	}
	w.pending = append(w.pending, w.core.Started(w.now, task.ID, token, "w-"+r.name)...)
}
