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

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// claim lets a rack claim one of its queued offers.
func (w *simulation) claim(r *fakeRack) {
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
	if w.loseMessage() {
		w.report(model.Outcome{Task: task.ID, Token: token, State: model.OutcomeNotStarted}, task)
		return
	}
	if task.Kind == model.KindGang {
		w.t.Fatalf("member %s of a gang is granted alone", task.ID)
	}
	w.start(r, task, token)
}

// endRun ends a run; its report may arrive twice.
func (w *simulation) endRun(r *fakeRack, run fakeRun, state model.OutcomeState) {
	delete(r.running, run.task.ID)
	if state == model.OutcomeFinished {
		w.finished[run.task.ID]++
	}
	out := model.Outcome{Task: run.task.ID, Token: run.token, State: state, Worker: "w-" + r.name, RanMS: 10}
	w.report(out, run.task)
	w.reportedOutcomes = append(w.reportedOutcomes, reportedOutcome{run.task, out})
}

// sendStale sends a message that a rack should not send any more: an outcome that was reported before, or a claim for a task
// that it has no offer of or in an epoch that is over.
func (w *simulation) sendStale(r *fakeRack) {
	if len(w.reportedOutcomes) > 0 && rapid.Bool().Draw(w.t, "report") {
		end := w.reportedOutcomes[rapid.IntRange(0, len(w.reportedOutcomes)-1).Draw(w.t, "past")]
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
		r.queue[t.task.ID] = t.effectiveTask()
	}
}

func (w *simulation) report(out model.Outcome, task model.Task) {
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
func (w *simulation) replaceRack(r *fakeRack) {
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
	w.recordOutcomes(final)
	w.pending = append(w.pending, effects...)
}

func (w *simulation) confirmIntent() {
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

func (w *simulation) cancelIntent(id string) {
	in, err := w.core.Intent(id)
	if err != nil || in.State != model.IntentConfirmed {
		return
	}
	in.State = model.IntentCancelled
	w.rows[id] = in
	w.pending = append(w.pending, w.core.Cancelled(w.now, id)...)
}

func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.racks {
		for id, at := range r.expiresAt {
			if w.now.After(at) {
				delete(r.reservations, id)
				delete(r.expiresAt, id)
			}
		}
	}
	w.updateViews()
	w.pending = append(w.pending, w.core.Tick(w.now)...)
}

// randomAction does one random thing.
func (w *simulation) randomAction() {
	r := w.racks[rapid.IntRange(0, len(w.racks)-1).Draw(w.t, "rack")]
	switch a := rapid.IntRange(0, 99).Draw(w.t, "action"); {
	case a < 8 && w.intents < 10:
		w.confirmIntent()
	case a < 35:
		w.deliverNext()
	case a < 60:
		w.claim(r)
	case a < 67:
		w.sendStale(r)
	case a < 78:
		if ids := sortedKeys(r.running); len(ids) > 0 {
			states := []model.OutcomeState{model.OutcomeFinished, model.OutcomeFinished, model.OutcomeFailed, model.OutcomeLapsed, model.OutcomePreempted}
			w.endRun(r, r.running[ids[0]], rapid.SampledFrom(states).Draw(w.t, "state"))
		}
	case a < 93:
		w.tick(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
	case a < 95:
		w.replaceRack(r)
	case a < 97:
		w.takeOver()
	default:
		if ids := sortedKeys(w.rows); len(ids) > 0 {
			w.cancelIntent(ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "intent")])
		}
	}
}

// runToCompletion stops the losses, cancels what never ends, and lets the rest run to its end.
func (w *simulation) runToCompletion() {
	w.lossless = true
	for _, id := range sortedKeys(w.rows) {
		if k := w.rows[id].Spec.Kind; k.Restarts() || k == model.KindRecurring {
			w.cancelIntent(id)
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
				w.endRun(r, r.running[id], model.OutcomeFinished)
			}
		}
		w.tick(time.Second)
	}
}

// TestRandomHistories guards against a task that is granted twice or runs again after it finished, a gang that starts in
// part, a lost task, and a quota that is exceeded, over losses, duplicates, new rack owners and new intent owners.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.randomAction()
		}
		w.runToCompletion()
		for _, id := range sortedKeys(w.rows) {
			if in := w.rows[id]; in.State == model.IntentConfirmed {
				s, _ := w.core.Status(id)
				e, _ := w.core.Explain(w.now, s.Tasks[0].ID)
				t.Fatalf("intent %s of kind %s has not ended: %+v; %q", id, in.Spec.Kind, s.Tasks, e.Reasons)
			}
		}
		for _, tm := range w.core.teams {
			if !tm.used.IsZero() || tm.waitingCount != 0 || !tm.waitingDemand.IsZero() || len(tm.granted) != 0 {
				t.Fatalf("team %v still uses %+v, %d waiting, %d granted", tm.key, tm.used, tm.waitingCount, len(tm.granted))
			}
		}
		if n := len(w.core.teams); n > 0 {
			t.Fatalf("%d teams are kept without open tasks", n)
		}
		if n := len(w.core.offers.initial); n > 0 {
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
