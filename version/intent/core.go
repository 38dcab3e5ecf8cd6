// Package intent implements the state machine of one intent partition: plans, confirmations, grants of task starts to
// racks, gangs, recurring runs, quotas, and calls with their tickets. A Core lives for one epoch of the partition and is
// the only component that grants starts for it in that epoch. It does no I/O and reads no clock: methods take the current
// time and return effects, which the caller executes; results come back as further method calls.
//
// Locking: a Core has one lock. While holding it, methods call no code outside the package except Quotas, which must not
// block. Callers must not hold the lock of a rack core when they call a method.
package intent

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Core is the state of one intent partition in one epoch.
type Core struct {
	partition int
	epoch     uint64
	policy    Policy

	mu       sync.Mutex
	rng      *rand.Rand
	sequence uint64
	intents  map[string]*intentState
	tasks    map[model.TaskID]*taskState
	plans    map[string]model.Plan
	// tickets maps epochs to ticket tables: that of this epoch and those of earlier epochs that were handed over.
	tickets map[uint64]*ticketTable
	// frozen is set by Freeze when the handover of the partition begins.
	frozen bool

	// offers orders the waiting tasks by the time of their next offer.
	offers offerQueues
	// pendingWithdrawals lists, by rack, the tasks whose offers are to be withdrawn.
	pendingWithdrawals map[string][]model.TaskID
	racks              []RackView
	rackZones          map[string]string
	// rackEpochs maps each rack to the epoch of its last complete inventory. Starts are not granted to earlier rack epochs,
	// because nobody would report their outcome.
	rackEpochs map[string]uint64
	zones      []string
	zoneRacks  map[string][]string

	quotas Quotas
	pool   Pool
	teams  map[teamKey]*team
	// reclaimNeeded is set while teams within their shares have waited too long, here or in other partitions, and the
	// cell's free capacity does not cover their demand.
	reclaimNeeded bool

	gangs map[string]*gangState
	// oldestOtherGang is the oldest waiting gang of all other partitions; it is zero if there is none.
	oldestOtherGang GangAge

	recurring map[string]*intentState
	// inventoriesComplete is set once every rack has listed completely what it runs for the partition.
	inventoriesComplete bool
	// endedTasks holds the ended tasks of call, recurring and unknown intents, and endedIntents the ended intents, in order of
	// their end. plansByExpiry holds the plans in order of their expiry.
	endedTasks, endedIntents, plansByExpiry *list.List
	// displacedBy maps each running task that a confirmed plan displaces to the ID of that plan's intent.
	displacedBy map[model.TaskID]string
}

// intentState is an intent with those of its tasks that are in memory.
type intentState struct {
	intent model.Intent
	tasks  []*taskState
	// openTasks counts the tasks that have not ended.
	openTasks int
	// recordingRun is set while the start of a run is being recorded in the intent's row.
	recordingRun bool
	// grantedPerZone counts granted tasks by availability zone.
	grantedPerZone map[string]int
	// observedRunTimeMS and observedUsage are the largest run time and usage reported for starts that ended.
	observedRunTimeMS int64
	observedUsage     model.Resources
	gang              *gangState
	endedAt           time.Time
	retentionElem     *list.Element
}

// phase is the state of a task.
type phase uint8

const (
	// phaseUnplaced: the task may still run from an earlier epoch, but no rack has listed it yet.
	phaseUnplaced phase = iota
	// phaseWaiting: the task is not started; it can be offered once its team's quota admits it.
	phaseWaiting
	// phaseGranted: one rack has the right to start the task, or runs it.
	phaseGranted
	// phaseDone: the task has its final outcome.
	phaseDone
	// phaseCancelled: the task ended without being started, for example because it was cancelled while it waited.
	phaseCancelled
)

var phaseNames = [...]string{"unplaced", "waiting", "granted", "done", "cancelled"}

// taskState is a task with its scheduling state in this epoch.
type taskState struct {
	task       model.Task
	indexInRun int
	// intent is nil for a task of an intent that is unknown in this epoch.
	intent        *intentState
	indexInIntent int
	gang          *gangState
	phase         phase
	rack          string
	zone          string
	rackEpoch     uint64
	worker        string
	token         model.StartToken
	running       bool
	cancelled     bool
	// beingReclaimed is set while the task is being stopped to return borrowed capacity.
	beingReclaimed bool

	// For a waiting task: the next offer, the earliest time of a start, the number of offer rounds, and the racks that may
	// have the task queued.
	offer        offerEntry
	notBefore    time.Time
	offerCount   int
	offeredRacks []string
	// offeredRunTimeMS and offeredDemand are the run time and size hints of the last offer.
	offeredRunTimeMS int64
	offeredDemand    model.Resources
	preferredRack    string
	victims          []model.TaskID

	// admitted is set while charged counts against the team's quota. pendingElem is the task's entry in the team's list of
	// pending tasks.
	team        *team
	admitted    bool
	charged     model.Resources
	pendingElem *list.Element
	// countedAsWaiting is set while the task is included in the team's waitingCount and waitingDemand.
	countedAsWaiting bool

	failedOn  map[string]bool
	failures  int
	restarts  int
	lastError string
	outcome   model.Outcome
	// earlierOutcome is the outcome of the latest known start of an unplaced task.
	earlierOutcome model.Outcome
	endedAt        time.Time
	retentionElem  *list.Element
}

// ended reports whether the task is in a terminal phase.
func (t *taskState) ended() bool { return t.phase == phaseDone || t.phase == phaseCancelled }

// New returns an empty core for an intent partition whose owner took it over with the given epoch.
func New(partition int, epoch uint64, policy Policy) *Core {
	return &Core{
		partition: partition, epoch: epoch, policy: policy,
		rng:     rand.New(rand.NewPCG(uint64(partition), epoch)),
		intents: map[string]*intentState{}, tasks: map[model.TaskID]*taskState{}, plans: map[string]model.Plan{},
		tickets: map[uint64]*ticketTable{epoch: newTicketTable()}, pendingWithdrawals: map[string][]model.TaskID{},
		rackEpochs: map[string]uint64{},
		offers:     newOfferQueues(policy.ReoffersPerSecond), teams: map[teamKey]*team{}, gangs: map[string]*gangState{},
		recurring: map[string]*intentState{}, endedTasks: list.New(), endedIntents: list.New(), plansByExpiry: list.New(),
		displacedBy: map[model.TaskID]string{},
	}
}

// Partition returns the number of the partition.
func (c *Core) Partition() int { return c.partition }

// Epoch returns the epoch of the partition.
func (c *Core) Epoch() uint64 { return c.epoch }

// addIntent adds an intent and, unless it is a template for calls or recurring runs, its only run. Callers hold c.mu.
func (c *Core) addIntent(now time.Time, in model.Intent) *intentState {
	st := &intentState{intent: in, grantedPerZone: map[string]int{}}
	c.intents[in.ID] = st
	if in.Spec.Kind == model.KindRecurring && in.State == model.IntentConfirmed {
		c.recurring[in.ID] = st
	}
	if !in.Spec.Kind.IsTemplate() {
		c.addRun(now, st, 0)
	}
	return st
}

// addRun creates the tasks of one run. Callers hold c.mu.
func (c *Core) addRun(now time.Time, st *intentState, run int) []*taskState {
	first := len(st.tasks)
	for i := range st.intent.Spec.Tasks {
		c.addTask(st, NewTask(st.intent, c.partition, run, i, now)).indexInRun = i
	}
	added := st.tasks[first:]
	if st.intent.Spec.Kind == model.KindGang {
		c.addGang(st, added)
	}
	return added
}

// addTask adds a task in phaseUnplaced. st is nil for a task of an unknown intent. Callers hold c.mu.
func (c *Core) addTask(st *intentState, task model.Task) *taskState {
	t := &taskState{task: task, intent: st, offer: offerEntry{heapIndex: -1}}
	t.team = c.teamOf(task.Account, task.Team)
	t.team.openTasks++
	c.tasks[task.ID] = t
	if st != nil {
		t.indexInIntent = len(st.tasks)
		st.tasks = append(st.tasks, t)
		st.openTasks++
	}
	return t
}

// NewTask returns the task with the given index in a run of an intent.
func NewTask(in model.Intent, partition, run, index int, now time.Time) model.Task {
	s := in.Spec
	t := model.Task{
		ID: model.NewTaskID(in.ID, run, index), Intent: in.ID, Partition: partition, Account: s.Account, Team: s.Team,
		Kind: s.Kind, Class: s.EffectiveClass(), DeclaredDemand: s.TaskDemand, RunTimeMS: s.RunTimeMS, SubmittedAt: now,
		Preemptible: s.Preemptible, Idempotent: s.Idempotent, Payload: []byte(s.Payload),
	}
	if !s.Deadline.IsZero() {
		t.LatestStart = s.Deadline.Add(-s.RunTime())
	}
	return t
}

// effectiveTask returns the task as it is offered: its hints are the larger of the declared and the observed values, and
// the latest start follows from the deadline and the effective run time. Callers hold c.mu.
func (t *taskState) effectiveTask() model.Task {
	task := t.task
	if t.intent == nil {
		return task
	}
	task.RunTimeMS = max(task.RunTimeMS, t.intent.observedRunTimeMS)
	task.DeclaredDemand = task.DeclaredDemand.Max(t.intent.observedUsage)
	if d := t.intent.intent.Spec.Deadline; !d.IsZero() {
		task.LatestStart = d.Add(-time.Duration(task.RunTimeMS) * time.Millisecond)
	}
	return task
}

// observeOutcome updates the observed run time and usage from an outcome of one of the intent's tasks. Callers hold c.mu.
func (st *intentState) observeOutcome(t *taskState, out model.Outcome) {
	if st == nil {
		return
	}
	st.observedUsage = st.observedUsage.Max(out.Used)
	if out.State == model.OutcomeFinished && !t.task.Kind.Restarts() {
		st.observedRunTimeMS = max(st.observedRunTimeMS, out.RanMS)
	}
}

// Tick repeats due offers, requests the recording of due runs, admits pending tasks, reclaims borrowed capacity, advances
// gangs and drops state past its retention. Its cost depends on the work that is due, not on the number of tasks.
func (c *Core) Tick(now time.Time) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects := c.recordDueRuns(now)
	c.admitPending(now)
	effects = append(effects, c.reclaim(now)...)
	effects = append(effects, c.advanceGangs(now)...)
	effects = append(effects, c.dropExpired(now)...)
	effects = append(effects, c.dispatch(now)...)
	return append(effects, c.drainWithdrawals()...)
}

// Intent returns an intent as it is stored in its row.
func (c *Core) Intent(id string) (model.Intent, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.intents[id]
	if st == nil {
		return model.Intent{}, notFoundError("intent", id)
	}
	return st.intent, nil
}

// Len returns the number of intents of the partition.
func (c *Core) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.intents)
}

func notFoundError(what, id string) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "%s %q does not exist", what, id)
}

func planID(partition int, unique string) string   { return fmt.Sprintf("p%d-%s", partition, unique) }
func intentID(partition int, unique string) string { return fmt.Sprintf("i%d-%s", partition, unique) }
