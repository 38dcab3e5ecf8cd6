// Package intent decides about the intents of one intent partition: plans, confirmations, which rack may start which
// task, gangs, recurring runs, quotas, calls and their tickets. A Core lives for one epoch of the partition and is the
// only one that grants starts for it. It does no input or output and reads no clock: methods take the current time and
// return effects, which the caller executes; results come back as further method calls.
//
// Locking: a Core has one lock. Methods never call out while they hold it, but for Quotas, which must not block, and no
// lock of a rack core is held while a method runs.
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
	// tickets holds the tables of this epoch and of earlier ones that were handed over, by epoch.
	tickets map[uint64]*ticketTable
	// frozen is set once the partition is being handed over.
	frozen bool

	// offers holds the waiting tasks by the time of their next offer.
	offers offerQueues
	// pendingWithdrawals collects, by rack, offers that no longer stand.
	pendingWithdrawals map[string][]model.TaskID
	racks              []RackView
	rackZones          map[string]string
	// rackEpochs are the epochs whose complete inventories have been entered. Nothing is granted to earlier ones, since
	// nobody would report what became of it.
	rackEpochs map[string]uint64
	zones      []string
	zoneRacks  map[string][]string

	quotas Quotas
	pool   Pool
	teams  map[teamKey]*team
	// reclaimNeeded is set while teams within their shares wait too long, here or in other partitions.
	reclaimNeeded bool

	gangs map[string]*gangState
	// oldestOtherGang is set while another partition has a waiting gang that is older than all of this one's.
	oldestOtherGang GangAge

	recurring map[string]*intentState
	// inventoriesComplete is set once all racks have listed what they run.
	inventoriesComplete bool
	// ended holds ended tasks of standing intents, intents that have ended, and plans, each in order of their end.
	endedTasks, endedIntents, plansByExpiry *list.List
	// displacedBy are the running tasks that a confirmed plan displaces, by the intent that does.
	displacedBy map[model.TaskID]string
}

type intentState struct {
	intent model.Intent
	tasks  []*taskState
	// openTasks counts the tasks that have not ended.
	openTasks int
	// recordingRun is set while the start of a run is being recorded.
	recordingRun bool
	// grantedPerZone counts granted tasks by availability zone.
	grantedPerZone map[string]int
	// observed are the largest run time and usage of the ended tasks.
	observedRunTimeMS int64
	observedUsage     model.Resources
	gang              *gangState
	endedAt           time.Time
	retentionElem     *list.Element
}

// phase is the state of a task.
type phase uint8

const (
	// phaseUnplaced: it may run somewhere since an earlier epoch; no rack has listed it yet.
	phaseUnplaced phase = iota
	// phaseWaiting: not started; may be offered once it is admitted.
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
	// beingReclaimed is set while the task is stopped to give borrowed capacity back.
	beingReclaimed bool

	// A waiting task: its next offer and the racks that may have it queued.
	offer        offerEntry
	notBefore    time.Time
	offerCount   int
	offeredRacks []string
	// offeredRunTimeMS and sentEach are the hints of the last offer.
	offeredRunTimeMS int64
	offeredEach      model.Resources
	preferredRack    string
	victims          []model.TaskID

	// admitted tasks are charged to their team's quota.
	team        *team
	admitted    bool
	charged     model.Resources
	pendingElem *list.Element
	// countedAsWaiting is set while the task counts as waiting in its team.
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

// ended reports whether the task has its last state.
func (t *taskState) ended() bool { return t.phase == phaseDone || t.phase == phaseCancelled }

// New returns the core of an intent partition that was taken over with the given epoch.
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

// addIntent enters an intent and, unless it is standing, its only run. Callers hold c.mu.
func (c *Core) addIntent(now time.Time, in model.Intent) *intentState {
	st := &intentState{intent: in, grantedPerZone: map[string]int{}}
	c.intents[in.ID] = st
	if in.Spec.Kind == model.KindRecurring && in.State == model.IntentConfirmed {
		c.recurring[in.ID] = st
	}
	if !in.Spec.Kind.Standing() {
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

// effectiveTask returns the task as it is offered: hints are the larger of the declared and the observed values, and the latest
// start follows from the deadline and the run time. Callers hold c.mu.
func (t *taskState) effectiveTask() model.Task {
	task := t.task
	if t.intent == nil {
		return task
	}
	task.RunTimeMS = max(task.RunTimeMS, t.intent.observedRunTimeMS)
	task.Each = task.Each.Max(t.intent.observedUsage)
	if d := t.intent.intent.Spec.Deadline; !d.IsZero() {
		task.LatestStart = d.Add(-time.Duration(task.RunTimeMS) * time.Millisecond)
	}
	return task
}

// observeOutcome notes the run time and the usage of an ended task of the intent. Callers hold c.mu.
func (st *intentState) observeOutcome(t *taskState, out model.Outcome) {
	if st == nil {
		return
	}
	st.observedUsage = st.observedUsage.Max(out.Used)
	if out.State == model.OutcomeFinished && !t.task.Kind.Restarts() {
		st.observedRunTimeMS = max(st.observedRunTimeMS, out.RanMS)
	}
}

// Tick offers waiting tasks again, starts due runs, goes on with gangs, takes borrowed capacity back and drops what is
// past its retention. Its cost follows what is due, not the number of tasks.
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

// Intent returns an intent as kept in the table.
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
