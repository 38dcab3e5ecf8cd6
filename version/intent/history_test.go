package intent

import (
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lentiltide/lentiltide/model"
)

// Flags of the command line override these: the seed is fixed, and failures leave no files behind.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// fakeRun is one start of a task in a fake rack.
type fakeRun struct {
	task  model.Task
	token model.StartToken
}

// fakeRack starts what it is granted, and keeps holds until they expire.
type fakeRack struct {
	name    string
	epoch   uint64
	slots   int
	queue   map[model.TaskID]model.Task
	running map[model.TaskID]fakeRun
	claimed map[model.TaskID]bool
	holds   map[string]map[model.TaskID]model.Task
	expires map[string]time.Time
}

func (r *fakeRack) used() int {
	n := len(r.running)
	for _, h := range r.holds {
		n += len(h)
	}
	return n
}

// world is a naive cell: a table, a journal, racks and messages in any order, some of them lost.
type world struct {
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
	// calm stops losses, so that everything can settle.
	calm     bool
	finished map[model.TaskID]int
	intents  int
	// past are outcomes that may be reported again, much later.
	past []fakeEnd
}

type fakeEnd struct {
	task model.Task
	out  model.Outcome
}

type testQuotas map[string]Quota

func (q testQuotas) Quota(_, team string) Quota { return q[team] }

func newWorld(t *rapid.T) *world {
	w := &world{
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
	r.holds, r.expires = map[string]map[model.TaskID]model.Task{}, map[string]time.Time{}
	if r.running == nil {
		r.running = map[model.TaskID]fakeRun{}
	}
}

// takeOver replaces the intent owner: its memory and its messages are lost.
func (w *world) takeOver() {
	w.epoch++
	w.pending = nil
	w.core = New(3, w.epoch, w.policy)
	w.core.SetQuotas(w.quota)
	w.view()
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
		w.record(final)
		w.pending = append(w.pending, effects...)
	}
	effects, final := w.core.RacksAnswered(w.now)
	w.record(final)
	w.pending = append(w.pending, effects...)
}

func (w *world) view() {
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

func (w *world) record(outcomes []model.Outcome) {
	for _, out := range outcomes {
		w.journal[out.Task] = out
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func (w *world) rack(name string) *fakeRack {
	for _, r := range w.racks {
		if r.name == name {
			return r
		}
	}
	return nil
}

// lost reports whether a message that may be lost is.
func (w *world) lost() bool { return !w.calm && rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 }

// step delivers one pending message, in any order.
func (w *world) step() {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "message")
	e := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	w.deliver(e)
}

func (w *world) deliver(e Effect) {
	var next []Effect
	switch e := e.(type) {
	case OfferTasks:
		for _, task := range e.Tasks {
			if w.lost() {
				w.core.Refused(w.now, e.Rack, []model.TaskID{task.ID})
			} else if _, runs := w.rack(e.Rack).running[task.ID]; !runs {
				w.rack(e.Rack).queue[task.ID] = task
			}
		}
	case WithdrawTasks:
		for _, id := range e.Tasks {
			if !w.lost() {
				delete(w.rack(e.Rack).queue, id)
			}
		}
	case StopTask:
		if run, ok := w.rack(e.Rack).running[e.Task]; ok && run.token == e.Token {
			state := model.OutcomeStopped
			if e.Checkpoint {
				state = model.OutcomePreempted
			}
			w.end(w.rack(e.Rack), run, state)
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
		if due = due && !w.lost(); due {
			w.rows[e.ID] = in
		}
		in.ID = e.ID
		next = w.core.RunRecorded(w.now, in, due)
	case Forget:
		for _, id := range e.Intents {
			delete(w.rows, id)
		}
	case HoldTasks:
		next = w.hold(e)
	case CommitGang:
		in, ok := w.core.PrepareStart(e.ID, e.Hold)
		if ok = ok && !w.lost(); ok {
			w.rows[e.ID] = in
		}
		next = w.core.GangCommitted(w.now, e.ID, e.Hold, ok)
		w.checkWholeGang(next, e.ID)
	case StartHeld:
		next = w.startHeld(e)
	case ReleaseHold:
		if !w.lost() {
			delete(w.rack(e.Rack).holds, e.Hold)
		}
	}
	w.pending = append(w.pending, next...)
}

func (w *world) hold(e HoldTasks) []Effect {
	r := w.rack(e.Rack)
	if w.lost() {
		return w.core.HoldAnswered(w.now, e.Tasks[0].Intent, e.Hold, e.Rack, 0, nil)
	}
	if r.holds[e.Hold] == nil {
		r.holds[e.Hold] = map[model.TaskID]model.Task{}
	}
	r.expires[e.Hold] = w.now.Add(e.Term)
	var placed []model.Placement
	for _, task := range e.Tasks {
		_, held := r.holds[e.Hold][task.ID]
		if _, runs := r.running[task.ID]; runs || (!held && r.used() >= r.slots) {
			continue
		}
		r.holds[e.Hold][task.ID] = task
		placed = append(placed, model.Placement{Task: task.ID, Rack: r.name})
	}
	return w.core.HoldAnswered(w.now, e.Tasks[0].Intent, e.Hold, e.Rack, r.epoch, placed)
}

func (w *world) startHeld(e StartHeld) []Effect {
	r := w.rack(e.Rack)
	if r.epoch != e.RackEpoch {
		return nil
	}
	if r.holds[e.Hold] == nil {
		return w.core.StartRefused(w.now, e.Rack, e.Tasks, e.Tokens, "the hold has expired")
	}
	for i, id := range e.Tasks {
		w.start(r, r.holds[e.Hold][id], e.Tokens[i])
	}
	delete(r.holds, e.Hold)
	return nil
}

// checkWholeGang guards against a gang that starts in part: what is started covers all members that have not finished.
func (w *world) checkWholeGang(effects []Effect, id string) {
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
func (w *world) start(r *fakeRack, task model.Task, token model.StartToken) {
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

// claim lets a rack claim one of its queued offers.
func (w *world) claim(r *fakeRack) {
	ids := sortedKeys(r.queue)
	if len(ids) == 0 || r.used() >= r.slots {
		return
	}
	task := r.queue[ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "offer")]]
	delete(r.queue, task.ID)
	token, granted := w.core.Claim(w.now, task.ID, r.name, r.epoch)
	if !granted {
		return
	}
	// A lost answer is repeated and must give the same token.
	again, ok := w.core.Claim(w.now, task.ID, r.name, r.epoch)
	if !ok || again != token {
		w.t.Fatalf("task %s: second answer to a claim is %v %v, the first %v", task.ID, again, ok, token)
	}
	for _, other := range w.racks {
		if _, twice := w.core.Claim(w.now, task.ID, other.name, other.epoch); twice && other != r {
			w.t.Fatalf("task %s is granted to %s and %s", task.ID, r.name, other.name)
		}
	}
	if w.lost() {
		w.report(model.Outcome{Task: task.ID, Token: token, State: model.OutcomeNotStarted}, task)
		return
	}
	if task.Kind == model.KindGang {
		w.t.Fatalf("member %s of a gang is granted alone", task.ID)
	}
	w.start(r, task, token)
}

// end ends a run; its report may arrive twice.
func (w *world) end(r *fakeRack, run fakeRun, state model.OutcomeState) {
	delete(r.running, run.task.ID)
	if state == model.OutcomeFinished {
		w.finished[run.task.ID]++
	}
	out := model.Outcome{Task: run.task.ID, Token: run.token, State: state, Worker: "w-" + r.name, RanMS: 10}
	w.report(out, run.task)
	w.past = append(w.past, fakeEnd{run.task, out})
}

// stray sends a message that a rack should not send any more: an outcome that was reported before, or a claim for a task
// that it has no offer of or in an epoch that is over.
func (w *world) stray(r *fakeRack) {
	if len(w.past) > 0 && rapid.Bool().Draw(w.t, "report") {
		end := w.past[rapid.IntRange(0, len(w.past)-1).Draw(w.t, "past")]
		// The intent owner may ask for the outcome to be kept, but not take it for that of another start.
		effects, final, err := w.core.Ended(w.now, end.task, end.out)
		if _, known := w.journal[end.task.ID]; final && err == nil && !known {
			w.journal[end.task.ID] = end.out
		}
		w.pending = append(w.pending, effects...)
		return
	}
	ids := sortedKeys(w.core.tasks)
	if len(ids) == 0 {
		return
	}
	t := w.core.tasks[ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "task")]]
	if token, granted := w.core.Claim(w.now, t.task.ID, r.name, r.epoch-1); granted {
		w.t.Fatalf("task %s is granted to the ended epoch of %s as %v", t.task.ID, r.name, token)
	}
	if _, runs := r.running[t.task.ID]; !runs && r.used() < r.slots && t.rack != r.name {
		r.queue[t.task.ID] = t.current()
	}
}

func (w *world) report(out model.Outcome, task model.Task) {
	effects, final, err := w.core.Ended(w.now, task, out)
	if err != nil {
		w.t.Fatalf("report of %s: %v", task.ID, err)
	}
	if final {
		w.journal[out.Task] = out
	}
	w.pending = append(w.pending, effects...)
}

// replaceRack gives a rack a new owner. Some of its workers were lost with the old one.
func (w *world) replaceRack(r *fakeRack) {
	r.epoch++
	r.reset()
	known := map[model.StartToken]bool{}
	for _, id := range sortedKeys(r.running) {
		if rapid.Bool().Draw(w.t, "survives") {
			known[r.running[id].token] = true
		} else {
			delete(r.running, id)
		}
	}
	effects, final := w.core.RackReplaced(w.now, r.name, r.epoch, known)
	w.record(final)
	w.pending = append(w.pending, effects...)
}

func (w *world) confirm() {
	w.intents++
	kinds := []model.Kind{model.KindBatch, model.KindGang, model.KindService, model.KindRecurring}
	spec := model.IntentSpec{
		Account: "office", Team: rapid.SampledFrom([]string{"small", "free"}).Draw(w.t, "team"), Name: "n",
		Kind: rapid.SampledFrom(kinds).Draw(w.t, "kind"), Tasks: rapid.IntRange(1, 9).Draw(w.t, "tasks"),
		Preemptible: rapid.Bool().Draw(w.t, "preemptible"),
	}
	if spec.Kind == model.KindGang && spec.Team == "small" {
		// A larger gang would be rejected with its plan.
		spec.Tasks = min(spec.Tasks, int(w.quota["small"].Limit.Slots))
	}
	if spec.Kind == model.KindRecurring {
		spec.EveryMS = 20_000
	}
	in := model.Intent{ID: fmt.Sprintf("i3-%d", w.intents), Spec: spec, State: model.IntentConfirmed, ConfirmedAt: w.now}
	w.rows[in.ID] = in
	w.pending = append(w.pending, w.core.Confirmed(w.now, in)...)
}

func (w *world) cancel(id string) {
	in, err := w.core.Intent(id)
	if err != nil || in.State != model.IntentConfirmed {
		return
	}
	in.State = model.IntentCancelled
	w.rows[id] = in
	w.pending = append(w.pending, w.core.Cancelled(w.now, id)...)
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.racks {
		for id, at := range r.expires {
			if w.now.After(at) {
				delete(r.holds, id)
				delete(r.expires, id)
			}
		}
	}
	w.view()
	w.pending = append(w.pending, w.core.Tick(w.now)...)
}

// act does one random thing.
func (w *world) act() {
	r := w.racks[rapid.IntRange(0, len(w.racks)-1).Draw(w.t, "rack")]
	switch a := rapid.IntRange(0, 99).Draw(w.t, "action"); {
	case a < 8 && w.intents < 10:
		w.confirm()
	case a < 35:
		w.step()
	case a < 60:
		w.claim(r)
	case a < 67:
		w.stray(r)
	case a < 78:
		if ids := sortedKeys(r.running); len(ids) > 0 {
			states := []model.OutcomeState{model.OutcomeFinished, model.OutcomeFinished, model.OutcomeFailed, model.OutcomeLapsed, model.OutcomePreempted}
			w.end(r, r.running[ids[0]], rapid.SampledFrom(states).Draw(w.t, "state"))
		}
	case a < 93:
		w.tick(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
	case a < 95:
		w.replaceRack(r)
	case a < 97:
		w.takeOver()
	default:
		if ids := sortedKeys(w.rows); len(ids) > 0 {
			w.cancel(ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "intent")])
		}
	}
}

// settle stops the losses, cancels what never ends, and lets the rest run to its end.
func (w *world) settle() {
	w.calm = true
	for _, id := range sortedKeys(w.rows) {
		if k := w.rows[id].Spec.Kind; k.Restarts() || k == model.KindRecurring {
			w.cancel(id)
		}
	}
	for range 400 {
		for len(w.pending) > 0 {
			e := w.pending[0]
			w.pending = w.pending[1:]
			w.deliver(e)
		}
		for _, r := range w.racks {
			for range r.slots {
				w.claim(r)
			}
			for _, id := range sortedKeys(r.running) {
				// A gang is checked in checkWholeGang; its members end one by one.
				w.end(r, r.running[id], model.OutcomeFinished)
			}
		}
		w.tick(time.Second)
	}
}

// TestRandomHistories guards against a task that is granted twice or runs again after it finished, a gang that starts in
// part, a lost task, and a quota that is exceeded, over losses, duplicates, new rack owners and new intent owners.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.act()
		}
		w.settle()
		for _, id := range sortedKeys(w.rows) {
			if in := w.rows[id]; in.State == model.IntentConfirmed {
				s, _ := w.core.Status(id)
				e, _ := w.core.Explain(w.now, s.Tasks[0].ID)
				t.Fatalf("intent %s of kind %s has not ended: %+v; %q", id, in.Spec.Kind, s.Tasks, e.Reasons)
			}
		}
		for _, tm := range w.core.teams {
			if !tm.used.IsZero() || tm.waiting != 0 || !tm.waitingUse.IsZero() || len(tm.granted) != 0 {
				t.Fatalf("team %v still uses %+v, %d waiting, %d granted", tm.key, tm.used, tm.waiting, len(tm.granted))
			}
		}
		if n := len(w.core.teams); n > 0 {
			t.Fatalf("%d teams are kept without open tasks", n)
		}
		if n := len(w.core.offers.first); n > 0 {
			t.Fatalf("%d offers left", n)
		}
	})
}

// TestRetentionBoundsMemory guards against memory that grows with the work done.
func TestRetentionBoundsMemory(t *testing.T) {
	policy := DefaultPolicy()
	policy.MaxTasks = 50
	c := New(3, 1, policy)
	now := testNow
	c.Confirmed(now, model.Intent{ID: "i3-c", State: model.IntentConfirmed, Spec: model.IntentSpec{Kind: model.KindCall, Idempotent: true}})
	for i := range 500 {
		res, err := c.Call(now, "i3-c", model.StartToken{}, fmt.Sprint(i), nil)
		assert.NilError(t, err)
		token, granted := c.Claim(now, res.Task.ID, "rack-0", 1)
		assert.Assert(t, granted)
		_, final, err := c.Ended(now, res.Task, model.Outcome{Task: res.Task.ID, Token: token, State: model.OutcomeFinished})
		assert.NilError(t, err)
		assert.Assert(t, final)
		assert.Assert(t, len(c.tasks) <= policy.MaxTasks)
	}
	c.Tick(now.Add(policy.Retention + time.Second))
	assert.Equal(t, len(c.tasks), 0)
	assert.Equal(t, len(c.intents["i3-c"].tasks), 0)
}
