// Package intent decides about the intents of one intent partition: plans, confirmations, which rack may start which
// task, calls and their tickets. A Core lives for one epoch of the partition and is the only one that grants starts for
// it. It does no input or output and reads no clock: methods take the current time and return effects, which the caller
// executes; results come back as further method calls.
//
// Locking: a Core has one lock. Methods never call out while they hold it, and no lock of a rack core is held while a
// method runs.
package intent

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Policy holds the settings of an intent core.
type Policy struct {
	// PlanTerm is how long a plan can be confirmed.
	PlanTerm time.Duration
	// OfferTerm is how long an offer stands before the task is offered again elsewhere.
	OfferTerm time.Duration
	// MaxAttempts is on how many distinct workers a task may fail before it is stopped.
	MaxAttempts int
	// MaxTickets bounds one block of tickets.
	MaxTickets int
}

// DefaultPolicy returns the policy used when settings name none.
func DefaultPolicy() Policy {
	return Policy{PlanTerm: 10 * time.Minute, OfferTerm: 2 * time.Second, MaxAttempts: 3, MaxTickets: 1000}
}

// Core is the state of one intent partition in one epoch.
type Core struct {
	partition int
	epoch     uint64
	policy    Policy

	mu       sync.Mutex
	sequence uint64
	intents  map[string]*intentState
	tasks    map[model.TaskID]*taskState
	plans    map[string]model.Plan
	tickets  map[uint64]model.TaskID
	issued   uint64
}

type intentState struct {
	intent  model.Intent
	tasks   []model.TaskID
	nextRun int
}

// phase is the state of a task.
type phase uint8

const (
	// phaseUnplaced: it may run somewhere since an earlier epoch; no rack has listed it yet.
	phaseUnplaced phase = iota
	// phaseWaiting: not started; may be offered.
	phaseWaiting
	// phaseGranted: one rack may start it or runs it.
	phaseGranted
	// phaseDone: it has its final outcome.
	phaseDone
	// phaseCancelled: it was cancelled before it was granted.
	phaseCancelled
)

var phaseNames = [...]string{"unplaced", "waiting", "granted", "done", "cancelled"}

type taskState struct {
	task      model.Task
	phase     phase
	rack      string
	rackEpoch uint64
	worker    string
	token     model.StartToken
	running   bool
	cancelled bool
	offeredAt time.Time
	victims   []model.TaskID
	failedOn  map[string]bool
	lastError string
	outcome   model.Outcome
	// earlier is the outcome of the latest known start of an unplaced task.
	earlier    model.Outcome
	preferRack string
}

// New returns the core of an intent partition that was taken over with the given epoch.
func New(partition int, epoch uint64, policy Policy) *Core {
	return &Core{
		partition: partition, epoch: epoch, policy: policy,
		intents: map[string]*intentState{}, tasks: map[model.TaskID]*taskState{}, plans: map[string]model.Plan{},
		tickets: map[uint64]model.TaskID{},
	}
}

// Partition returns the number of the partition.
func (c *Core) Partition() int { return c.partition }

// Epoch returns the epoch of the partition.
func (c *Core) Epoch() uint64 { return c.epoch }

// Effect is an action that the caller of a Core executes.
type Effect interface{ isEffect() }

// OfferTask offers a task to a rack. An empty Rack lets the caller choose by its summaries.
type OfferTask struct {
	Task    model.Task
	Rack    string
	Victims []model.TaskID
}

// StopTask stops a task that a rack runs.
type StopTask struct {
	Rack  string
	Task  model.TaskID
	Token model.StartToken
}

// TaskEnded tells waiting callers the final outcome of a task.
type TaskEnded struct {
	Task    model.Task
	Outcome model.Outcome
}

func (OfferTask) isEffect() {}
func (StopTask) isEffect()  {}
func (TaskEnded) isEffect() {}

// Restore adds an intent that was read from the table at takeover, with the outcomes that were recorded for its tasks.
func (c *Core) Restore(now time.Time, in model.Intent, outcomes map[model.TaskID]model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.addIntent(now, in)
	for _, id := range st.tasks {
		t := c.tasks[id]
		t.phase = phaseUnplaced
		if out, ok := outcomes[id]; ok {
			t.phase, t.outcome = phaseDone, out
		} else if in.State == model.IntentCancelled {
			t.phase = phaseCancelled
		}
	}
}

// Known enters a task that a rack listed as running in its answer to the fence.
func (c *Core) Known(now time.Time, rack string, rackEpoch uint64, task model.Task, token model.StartToken, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[task.ID]
	if t == nil {
		t = &taskState{task: task}
		c.tasks[task.ID] = t
	}
	if t.phase == phaseDone || (t.phase != phaseUnplaced && t.token != token) {
		return
	}
	t.phase, t.running = phaseGranted, true
	t.rack, t.rackEpoch, t.worker, t.token = rack, rackEpoch, worker, token
}

// RacksAnswered settles the unplaced tasks: every rack has listed completely what it runs for the partition. final lists
// outcomes that have to be recorded.
func (c *Core) RacksAnswered(now time.Time) (effects []Effect, final []model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tasks {
		if t.phase != phaseUnplaced {
			continue
		}
		t.phase = phaseWaiting
		if t.earlier.State == "" {
			continue
		}
		t.phase, t.token = phaseGranted, t.earlier.Token
		ended, last := c.end(now, t, t.earlier)
		effects = append(effects, ended...)
		if last {
			final = append(final, t.outcome)
		}
	}
	return append(effects, c.offerWaiting(now)...), final
}

// addIntent enters an intent and its first run. Callers hold c.mu.
func (c *Core) addIntent(now time.Time, in model.Intent) *intentState {
	st := &intentState{intent: in}
	c.intents[in.ID] = st
	if !in.Spec.Kind.Standing() {
		c.addRun(now, st)
	}
	return st
}

// addRun creates the tasks of one run. Callers hold c.mu.
func (c *Core) addRun(now time.Time, st *intentState) {
	run := st.nextRun
	st.nextRun++
	for i := range st.intent.Spec.Tasks {
		task := NewTask(st.intent, c.partition, run, i, now)
		c.tasks[task.ID] = &taskState{task: task, phase: phaseWaiting}
		st.tasks = append(st.tasks, task.ID)
	}
}

// NewTask returns one task of a run of an intent.
func NewTask(in model.Intent, partition, run, index int, now time.Time) model.Task {
	s := in.Spec
	t := model.Task{
		ID: model.NewTaskID(in.ID, run, index), Intent: in.ID, Partition: partition, Account: s.Account, Team: s.Team,
		Kind: s.Kind, Class: s.EffectiveClass(), Each: s.Each, RunTimeMS: s.RunTimeMS, Submitted: now,
		Preemptible: s.Preemptible, Idempotent: s.Idempotent, Payload: []byte(s.Payload),
	}
	if !s.Deadline.IsZero() {
		t.LatestStart = s.Deadline.Add(-s.RunTime())
	}
	return t
}

// offerWaiting returns offers for waiting tasks whose last offer has expired. Callers hold c.mu.
func (c *Core) offerWaiting(now time.Time) []Effect {
	var due []*taskState
	for _, t := range c.tasks {
		if t.phase == phaseWaiting && (t.offeredAt.IsZero() || now.Sub(t.offeredAt) >= c.policy.OfferTerm) {
			due = append(due, t)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].task.ID < due[j].task.ID })
	effects := make([]Effect, 0, len(due))
	for _, t := range due {
		effects = append(effects, c.offer(now, t))
	}
	return effects
}

func (c *Core) offer(now time.Time, t *taskState) Effect {
	rack := ""
	if t.offeredAt.IsZero() {
		rack = t.preferRack
	}
	t.offeredAt = now
	return OfferTask{Task: t.task, Rack: rack, Victims: t.victims}
}

// Tick offers waiting tasks again and starts due runs.
func (c *Core) Tick(now time.Time) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offerWaiting(now)
}

// Status is what callers see of an intent.
type Status struct {
	Intent model.Intent `json:"intent"`
	Tasks  []TaskStatus `json:"tasks"`
}

// TaskStatus is what callers see of a task.
type TaskStatus struct {
	ID      model.TaskID   `json:"id"`
	State   string         `json:"state"`
	Rack    string         `json:"rack,omitempty"`
	Worker  string         `json:"worker,omitempty"`
	Outcome *model.Outcome `json:"outcome,omitempty"`
	Reason  string         `json:"reason,omitempty"`
}

// Status returns the state of an intent.
func (c *Core) Status(id string) (Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil {
		return Status{}, notFound("intent", id)
	}
	s := Status{Intent: st.intent, Tasks: []TaskStatus{}}
	for _, id := range st.tasks {
		s.Tasks = append(s.Tasks, c.tasks[id].status())
	}
	return s, nil
}

func (t *taskState) status() TaskStatus {
	s := TaskStatus{ID: t.task.ID, State: phaseNames[t.phase], Rack: t.rack, Worker: t.worker, Reason: t.lastError}
	if t.phase == phaseGranted && t.running {
		s.State = "running"
	}
	if t.outcome.State != "" {
		out := t.outcome
		s.Outcome = &out
	}
	return s
}

// List returns the intents of the partition, sorted by id.
func (c *Core) List() []model.Intent {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]model.Intent, 0, len(c.intents))
	for _, st := range c.intents {
		list = append(list, st.intent)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func notFound(what, id string) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "%s %q does not exist", what, id)
}

func planID(partition int, unique string) string   { return fmt.Sprintf("p%d-%s", partition, unique) }
func intentID(partition int, unique string) string { return fmt.Sprintf("i%d-%s", partition, unique) }
