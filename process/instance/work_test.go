package instance

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/worker"
)

// waitLimit bounds the waits in tests. It is not a performance requirement.
const waitLimit = time.Minute

// testDialer dials the simulated workers of a test; the address of a worker is its id.
type testDialer map[string]*standinworker.Agent

func (a testDialer) Dial(address string) worker.Agent { return a[address] }

// lossyTable loses the answers to writes of intent rows, and fails reads of them, while losing is set.
type lossyTable struct {
	store.Table
	mu     sync.Mutex
	losing bool
}

func (l *lossyTable) setLosing(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losing = lost
}

func (l *lossyTable) loses(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losing && strings.HasPrefix(key, "intent/")
}

func (l *lossyTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	versions, err := l.Table.Commit(ctx, txn)
	if err == nil && l.loses(txn.Writes[0].Key) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return versions, err
}

func (l *lossyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if l.loses(keys[0]) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the table is down")
	}
	return l.Table.Get(ctx, keys...)
}

// singleInstance is an instance with a simulated platform: two racks with one worker of four slots each.
type singleInstance struct {
	*Instance
	table    *standinplatform.Table
	lossy    *lossyTable
	observer *standinworker.Observer
}

// startSingle starts a singleInstance, which is closed at the end of the test.
func startSingle(t *testing.T) *singleInstance {
	t.Helper()
	table, members := standinplatform.NewTable(), standinplatform.NewInstanceList()
	observer := standinworker.NewObserver(time.Now)
	workers := testDialer{}
	capacity := model.Resources{CPUMilli: 4000, MemoryMiB: 4096, Slots: 4, Connections: 60}
	for i := range 2 {
		id := fmt.Sprintf("worker-%d", i)
		workers[id] = standinworker.New(standinworker.Options{ID: id, Capacity: capacity, Observer: observer})
		members.Set(store.Member{
			ID: id, Role: store.RoleWorker, State: store.MemberLive, Zone: fmt.Sprintf("zone-%d", i),
			Rack: fmt.Sprintf("rack-%d", i), Address: id, Capacity: capacity,
		})
	}
	s := settings.Default()
	s.Instance, s.SessionRenewMS, s.SessionTermMS = "entry-0", 100, 1000
	log := logrus.New()
	log.SetOutput(io.Discard)
	lossy := &lossyTable{Table: table}
	in := New(Options{
		Settings: s, Table: lossy, Objects: standinplatform.NewObjects(), Members: members, Workers: workers, Log: log, Seed: 1,
	})
	in.Start()
	t.Cleanup(in.Close)
	return &singleInstance{in, table, lossy, observer}
}

func testSpec(kind model.Kind, tasks int, runMS int64) model.IntentSpec {
	return model.IntentSpec{
		Account: "office", Team: "fleet", Name: "work", Kind: kind, Tasks: tasks,
		TaskDemand: model.Resources{CPUMilli: 1000, MemoryMiB: 512}, RunTimeMS: runMS,
	}
}

func partitionOf(s model.IntentSpec) int { return model.IntentPartition(s.Account, s.Team) }

// eventually repeats f until it succeeds, for at most waitLimit.
func eventually(t *testing.T, f func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := f(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(10*time.Millisecond))
}

func (in *singleInstance) plan(t *testing.T, s model.IntentSpec) model.Plan {
	t.Helper()
	var p model.Plan
	eventually(t, func() (err error) {
		p, err = in.Plan(context.Background(), partitionOf(s), s)
		for _, placement := range p.Placements {
			if placement.MustWait && in.observer.Counts().TasksStarted == 0 {
				return fmt.Errorf("the workers are not fenced yet")
			}
		}
		return err
	})
	return p
}

func (in *singleInstance) confirm(t *testing.T, p model.Plan) model.Intent {
	t.Helper()
	out, err := in.Confirm(context.Background(), p.Partition, p.ID)
	assert.NilError(t, err)
	return out
}

// waitForRunning waits until n tasks of an intent run.
func (in *singleInstance) waitForRunning(t *testing.T, i model.Intent, n int) {
	t.Helper()
	eventually(t, func() error {
		s, err := in.Status(partitionOf(i.Spec), i.ID)
		got := 0
		for _, task := range s.Tasks {
			if task.State == "running" {
				got++
			}
		}
		if got != n {
			return fmt.Errorf("%d tasks are running, want %d; status error: %v", got, n, err)
		}
		return nil
	})
}

func (in *singleInstance) waitForState(t *testing.T, i model.Intent, want model.IntentState) intent.Status {
	t.Helper()
	var s intent.Status
	eventually(t, func() (err error) {
		s, err = in.Status(partitionOf(i.Spec), i.ID)
		if err == nil && s.Intent.State != want {
			err = fmt.Errorf("intent is %s", s.Intent.State)
		}
		return err
	})
	return s
}

// TestStalePlanIsRefusedWithFreshPlan guards against the confirmation of a plan that showed its tasks as running at once
// when they would have to wait because another plan was confirmed first. It also guards against a plan that runs twice
// because it is confirmed twice.
func TestStalePlanIsRefusedWithFreshPlan(t *testing.T) {
	in := startSingle(t)
	first, second := in.plan(t, testSpec(model.KindBatch, 5, 60_000)), in.plan(t, testSpec(model.KindBatch, 5, 60_000))
	out := in.confirm(t, first)
	var fresh model.Plan
	// The first iteration runs before the tasks of the first plan are placed, the second while they run.
	for range 2 {
		_, err := in.Confirm(context.Background(), second.Partition, second.ID)
		e := verdict.From(err)
		assert.Equal(t, e.Code, verdict.CodeStalePlan)
		assert.Equal(t, e.Verdict, verdict.NotRun)
		var ok bool
		fresh, ok = e.Detail.(model.Plan)
		assert.Assert(t, ok)
		in.waitForRunning(t, out, 5)
	}
	later := in.confirm(t, fresh)
	assert.Equal(t, later.ID, fresh.IntentID)
	again := in.confirm(t, first)
	assert.Equal(t, again.ID, out.ID)
	eventually(t, func() error {
		if n := in.observer.Counts().TasksStarted; n < 6 {
			return fmt.Errorf("%d tasks started", n)
		}
		return nil
	})
	assert.Equal(t, in.observer.Counts().DoubleRuns, 0)
}

// TestGangStartsTogether guards against a gang that starts only partly or not at all: two gangs that do not fit at the same
// time run one after the other, each as a whole.
func TestGangStartsTogether(t *testing.T) {
	in := startSingle(t)
	in.plan(t, testSpec(model.KindBatch, 1, 10))
	var gangs []model.Intent
	for range 2 {
		gangs = append(gangs, in.confirm(t, in.plan(t, testSpec(model.KindGang, 4, 300))))
	}
	for _, g := range gangs {
		s := in.waitForState(t, g, model.IntentDone)
		assert.Equal(t, len(s.Tasks), 4)
		assert.Equal(t, s.Intent.GangStarts, 1)
	}
	counts := in.observer.Counts()
	assert.Equal(t, counts.TasksStarted, 8)
	assert.Equal(t, counts.TasksFinished, 8)
	assert.Equal(t, counts.DoubleRuns, 0)
	assert.Equal(t, counts.Overcommits, 0)
}

// TestDisplacedTaskIsNotLost guards against a displacement that the plan did not show, and against a displaced task that
// never finishes.
func TestDisplacedTaskIsNotLost(t *testing.T) {
	in := startSingle(t)
	long := model.ClassLong
	// The run time is long enough for both tasks to run at the same time even if one has to be offered again.
	audit := testSpec(model.KindBatch, 2, 6000)
	audit.Class, audit.Preemptible, audit.TaskDemand.CPUMilli = &long, true, 2500
	victim := in.confirm(t, in.plan(t, audit))
	in.waitForRunning(t, victim, 2)
	urgent := model.ClassUrgent
	s := testSpec(model.KindBatch, 1, 50)
	s.Class, s.TaskDemand.CPUMilli = &urgent, 2500
	p := in.plan(t, s)
	assert.Equal(t, len(p.Displacements), 1)
	assert.Assert(t, strings.HasPrefix(string(p.Displacements[0].Task), victim.ID))
	in.waitForState(t, in.confirm(t, p), model.IntentDone)
	in.waitForState(t, victim, model.IntentDone)
	counts := in.observer.Counts()
	assert.Equal(t, counts.TasksFinished, 3)
	assert.Equal(t, counts.DoubleRuns, 0)
}

// TestTooLargeGangIsRejected guards against a plan for a gang that can never start.
func TestTooLargeGangIsRejected(t *testing.T) {
	in := startSingle(t)
	in.plan(t, testSpec(model.KindBatch, 1, 10))
	s := testSpec(model.KindGang, 9, 10)
	_, err := in.Plan(context.Background(), partitionOf(s), s)
	assert.Equal(t, verdict.From(err).Field, "tasks")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// TestLostAnswerToConfirmation guards against NotRun for a write that was applied, and against a confirmed intent that never
// runs: the answer is lost, the repeated write conflicts with the first, and the row cannot be read back.
func TestLostAnswerToConfirmation(t *testing.T) {
	in := startSingle(t)
	p := in.plan(t, testSpec(model.KindBatch, 2, 10))
	in.lossy.setLosing(true)
	_, err := in.Confirm(context.Background(), p.Partition, p.ID)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	in.lossy.setLosing(false)
	in.waitForState(t, model.Intent{ID: p.IntentID, Spec: p.Spec}, model.IntentDone)
	assert.Equal(t, in.confirm(t, p).ID, p.IntentID)
	assert.Equal(t, in.observer.Counts().TasksStarted, 2)
}

// TestConcurrentCancelsAreWrittenTogether guards against concurrent cancellations that need one write each, and against a
// cancellation that is not answered.
func TestConcurrentCancelsAreWrittenTogether(t *testing.T) {
	in := startSingle(t)
	// Each task of the filler occupies a whole worker, so that the batch tasks wait.
	large := testSpec(model.KindService, 2, 0)
	large.TaskDemand = model.Resources{CPUMilli: 4000, MemoryMiB: 512}
	filler := in.confirm(t, in.plan(t, large))
	eventually(t, func() error {
		if n := in.observer.Counts().TasksStarted; n == 0 {
			return fmt.Errorf("no task was started yet")
		}
		return nil
	})
	var intents []model.Intent
	for range 40 {
		s := testSpec(model.KindBatch, 1, 10)
		s.TaskDemand.CPUMilli = 4000
		// The second filler may be placed between a plan and its confirmation.
		eventually(t, func() error {
			p := in.plan(t, s)
			out, err := in.Confirm(context.Background(), p.Partition, p.ID)
			if err == nil {
				intents = append(intents, out)
			}
			return err
		})
	}
	commits := 0
	var mu sync.Mutex
	in.table.SetFaults(standinplatform.Faults{Before: func(op string) error {
		mu.Lock()
		defer mu.Unlock()
		if op == "commit" {
			commits++
		}
		return nil
	}})
	var wg sync.WaitGroup
	// The lock delays the first transaction until the other cancellations have arrived.
	r, err := in.loadedIntentRunner(partitionOf(filler.Spec))
	assert.NilError(t, err)
	r.rowLock.Lock()
	for _, i := range intents {
		wg.Go(func() {
			out, err := in.Cancel(context.Background(), partitionOf(i.Spec), i.ID)
			assert.Check(t, err)
			assert.Check(t, out.State == model.IntentCancelled)
		})
	}
	eventually(t, func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.pendingCancels) < len(intents)-cancelBatchSize && len(r.pendingCancels) == 0 {
			return fmt.Errorf("no cancellation has arrived")
		}
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	r.rowLock.Unlock()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, commits < 30, "%d transactions, want fewer than 30", commits)
	for _, i := range intents {
		s := in.waitForState(t, i, model.IntentCancelled)
		assert.Equal(t, s.Tasks[0].Outcome.State, model.OutcomeNotStarted)
	}
}

// TestRecurringIntentRuns guards against a recurring intent that never runs or runs a period twice.
func TestRecurringIntentRuns(t *testing.T) {
	in := startSingle(t)
	s := testSpec(model.KindRecurring, 2, 10)
	s.PeriodMS = 1000
	out := in.confirm(t, in.plan(t, s))
	var runs int
	eventually(t, func() error {
		got, err := in.intentCore(t, s).Intent(out.ID)
		if err != nil || got.NextRun < 3 {
			return fmt.Errorf("%d runs so far: %v", got.NextRun, err)
		}
		runs = got.NextRun
		return nil
	})
	_, err := in.Cancel(context.Background(), partitionOf(s), out.ID)
	assert.NilError(t, err)
	assert.Assert(t, in.observer.Counts().TasksStarted <= 2*(runs+1))
	assert.Equal(t, in.observer.Counts().DoubleRuns, 0)
}

func (in *singleInstance) intentCore(t *testing.T, s model.IntentSpec) *intent.Core {
	t.Helper()
	r, err := in.loadedIntentRunner(partitionOf(s))
	assert.NilError(t, err)
	return r.core
}

// TestExplainJoinsReasons guards against an explanation that lacks the reasons of the rack.
func TestExplainJoinsReasons(t *testing.T) {
	in := startSingle(t)
	out := in.confirm(t, in.plan(t, testSpec(model.KindBatch, 1, 60_000)))
	in.waitForRunning(t, out, 1)
	e, err := in.Explain(context.Background(), partitionOf(out.Spec), model.NewTaskID(out.ID, 0, 0))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(strings.Join(e.Reasons, "\n"), "runs on worker"))
	assert.Equal(t, len(e.Racks), 1)
	assert.Assert(t, strings.Contains(strings.Join(e.Reasons, "\n"), e.Racks[0]))
}
