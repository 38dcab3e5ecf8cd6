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

// init sets defaults for the flags of rapid, which the command line overrides: a fixed seed, and no files after a failure.
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
func (sim *simulation) claim(r *fakeRack) {
	ids := sortedKeys(r.queue)
	if len(ids) == 0 || r.used() >= r.slots {
		return
	}
	task := r.queue[ids[rapid.IntRange(0, len(ids)-1).Draw(sim.t, "offer")]]
	delete(r.queue, task.ID)
	token, granted := sim.core.Claim(sim.now, task.ID, r.name, r.epoch)
	if !granted {
		return
	}
	// A claim whose reply was lost is repeated and must return the same token.
	again, ok := sim.core.Claim(sim.now, task.ID, r.name, r.epoch)
	if !ok || again != token {
		sim.t.Fatalf("task %s: repeated claim returned token %v, granted %v; the first returned token %v", task.ID, again, ok, token)
	}
	for _, other := range sim.racks {
		if _, twice := sim.core.Claim(sim.now, task.ID, other.name, other.epoch); twice && other != r {
			sim.t.Fatalf("task %s is granted to rack %s and also to rack %s", task.ID, r.name, other.name)
		}
	}
	if sim.loseMessage() {
		sim.report(model.Outcome{Task: task.ID, Token: token, State: model.OutcomeNotStarted}, task)
		return
	}
	if task.Kind == model.KindGang {
		sim.t.Fatalf("gang member %s is granted without the other members", task.ID)
	}
	sim.start(r, task, token)
}

// endRun ends a run and reports its outcome, which sendStale may report again.
func (sim *simulation) endRun(r *fakeRack, run fakeRun, state model.OutcomeState) {
	delete(r.running, run.task.ID)
	if state == model.OutcomeFinished {
		sim.finished[run.task.ID]++
	}
	out := model.Outcome{Task: run.task.ID, Token: run.token, State: state, Worker: "w-" + r.name, RanMS: 10}
	sim.report(out, run.task)
	sim.reportedOutcomes = append(sim.reportedOutcomes, reportedOutcome{run.task, out})
}

// sendStale sends a message that a rack should no longer send: an outcome that was reported before, or a claim in an ended
// rack epoch. It can also queue a task in a rack that was not offered it, so that the rack claims it later.
func (sim *simulation) sendStale(r *fakeRack) {
	if len(sim.reportedOutcomes) > 0 && rapid.Bool().Draw(sim.t, "report") {
		end := sim.reportedOutcomes[rapid.IntRange(0, len(sim.reportedOutcomes)-1).Draw(sim.t, "past")]
		// The core may refuse the outcome with an error, but must not apply it to another start.
		effects, final, err := sim.core.Ended(sim.now, end.task, end.out)
		if _, known := sim.journal[end.task.ID]; final && err == nil && !known {
			sim.journal[end.task.ID] = end.out
		}
		sim.pending = append(sim.pending, effects...)
		return
	}
	ids := sortedKeys(sim.core.tasks)
	if len(ids) == 0 {
		return
	}
	t := sim.core.tasks[ids[rapid.IntRange(0, len(ids)-1).Draw(sim.t, "task")]]
	if token, granted := sim.core.Claim(sim.now, t.task.ID, r.name, r.epoch-1); granted {
		sim.t.Fatalf("task %s is granted to an ended epoch of rack %s with token %v", t.task.ID, r.name, token)
	}
	if _, runs := r.running[t.task.ID]; !runs && r.used() < r.slots && t.rack != r.name {
		r.queue[t.task.ID] = t.effectiveTask()
	}
}

func (sim *simulation) report(out model.Outcome, task model.Task) {
	effects, final, err := sim.core.Ended(sim.now, task, out)
	if err != nil {
		sim.t.Fatalf("reporting the outcome of task %s: %v", task.ID, err)
	}
	if final {
		sim.journal[out.Task] = out
	}
	sim.pending = append(sim.pending, effects...)
}

// replaceRack gives a rack a new owner. Some of its running tasks are lost with the old one.
func (sim *simulation) replaceRack(r *fakeRack) {
	r.epoch++
	r.reset()
	known := map[model.StartToken]bool{}
	for _, id := range sortedKeys(r.running) {
		if rapid.Bool().Draw(sim.t, "survives") {
			known[r.running[id].token] = true
		} else {
			delete(r.running, id)
		}
	}
	effects, final := sim.core.RackReplaced(sim.now, r.name, r.epoch, known)
	sim.recordOutcomes(final)
	sim.pending = append(sim.pending, effects...)
}

func (sim *simulation) confirmIntent() {
	sim.intents++
	kinds := []model.Kind{model.KindBatch, model.KindGang, model.KindService, model.KindRecurring}
	spec := model.IntentSpec{
		Account: "office", Team: rapid.SampledFrom([]string{"small", "free"}).Draw(sim.t, "team"), Name: "n",
		Kind: rapid.SampledFrom(kinds).Draw(sim.t, "kind"), Tasks: rapid.IntRange(1, 9).Draw(sim.t, "tasks"),
		Preemptible: rapid.Bool().Draw(sim.t, "preemptible"),
	}
	if spec.Kind == model.KindGang && spec.Team == "small" {
		// A larger gang exceeds the limit of its team and would be rejected when it is planned.
		spec.Tasks = min(spec.Tasks, int(sim.quota["small"].Limit.Slots))
	}
	if spec.Kind == model.KindRecurring {
		spec.PeriodMS = 20_000
	}
	in := model.Intent{ID: fmt.Sprintf("i3-%d", sim.intents), Spec: spec, State: model.IntentConfirmed, ConfirmedAt: sim.now}
	sim.rows[in.ID] = in
	sim.pending = append(sim.pending, sim.core.Confirmed(sim.now, in)...)
}

func (sim *simulation) cancelIntent(id string) {
	in, err := sim.core.Intent(id)
	if err != nil || in.State != model.IntentConfirmed {
		return
	}
	in.State = model.IntentCancelled
	sim.rows[id] = in
	sim.pending = append(sim.pending, sim.core.Cancelled(sim.now, id)...)
}

func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, r := range sim.racks {
		for id, at := range r.expiresAt {
			if sim.now.After(at) {
				delete(r.reservations, id)
				delete(r.expiresAt, id)
			}
		}
	}
	sim.updateViews()
	sim.pending = append(sim.pending, sim.core.Tick(sim.now)...)
}

// randomAction performs one random action of a client, a rack, the network or time.
func (sim *simulation) randomAction() {
	r := sim.racks[rapid.IntRange(0, len(sim.racks)-1).Draw(sim.t, "rack")]
	switch a := rapid.IntRange(0, 99).Draw(sim.t, "action"); {
	case a < 8 && sim.intents < 10:
		sim.confirmIntent()
	case a < 35:
		sim.deliverNext()
	case a < 60:
		sim.claim(r)
	case a < 67:
		sim.sendStale(r)
	case a < 78:
		if ids := sortedKeys(r.running); len(ids) > 0 {
			states := []model.OutcomeState{model.OutcomeFinished, model.OutcomeFinished, model.OutcomeFailed, model.OutcomeExpired, model.OutcomePreempted}
			sim.endRun(r, r.running[ids[0]], rapid.SampledFrom(states).Draw(sim.t, "state"))
		}
	case a < 93:
		sim.tick(time.Duration(rapid.IntRange(1, 3000).Draw(sim.t, "ms")) * time.Millisecond)
	case a < 95:
		sim.replaceRack(r)
	case a < 97:
		sim.takeOver()
	default:
		if ids := sortedKeys(sim.rows); len(ids) > 0 {
			sim.cancelIntent(ids[rapid.IntRange(0, len(ids)-1).Draw(sim.t, "intent")])
		}
	}
}

// runToCompletion disables message loss, cancels the intents that never end by themselves, and runs all others to
// completion.
func (sim *simulation) runToCompletion() {
	sim.lossless = true
	for _, id := range sortedKeys(sim.rows) {
		if k := sim.rows[id].Spec.Kind; k.Restarts() || k == model.KindRecurring {
			sim.cancelIntent(id)
		}
	}
	for range 400 {
		for len(sim.pending) > 0 {
			e := sim.pending[0]
			sim.pending = sim.pending[1:]
			sim.deliver(e)
		}
		for _, r := range sim.racks {
			for range r.slots {
				sim.claim(r)
			}
			for _, id := range sortedKeys(r.running) {
				// Gangs are checked in checkWholeGang; here their members end one by one.
				sim.endRun(r, r.running[id], model.OutcomeFinished)
			}
		}
		sim.tick(time.Second)
	}
}

// TestRandomHistories guards against double grants, second runs of finished tasks, partially started gangs, lost tasks and
// exceeded quotas under message loss, duplicate messages and changes of rack and intent owners.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			sim.randomAction()
		}
		sim.runToCompletion()
		for _, id := range sortedKeys(sim.rows) {
			if in := sim.rows[id]; in.State == model.IntentConfirmed {
				s, _ := sim.core.Status(id)
				e, _ := sim.core.Explain(sim.now, s.Tasks[0].ID)
				t.Fatalf("intent %s of kind %s has not ended: %+v; %q", id, in.Spec.Kind, s.Tasks, e.Reasons)
			}
		}
		for _, tm := range sim.core.teams {
			if !tm.used.IsZero() || tm.waitingCount != 0 || !tm.waitingDemand.IsZero() || len(tm.granted) != 0 {
				t.Fatalf("team %v still uses %+v after all work ended; %d tasks waiting, %d granted", tm.key, tm.used, tm.waitingCount, len(tm.granted))
			}
		}
		if n := len(sim.core.teams); n > 0 {
			t.Fatalf("%d teams remain in memory after all work ended", n)
		}
		if n := len(sim.core.offers.initial); n > 0 {
			t.Fatalf("%d tasks remain in the queue of initial offers", n)
		}
	})
}

// TestRetentionBoundsMemory guards against memory use that grows with the number of completed tasks.
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
