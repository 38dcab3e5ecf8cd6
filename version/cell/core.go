// Package cell schedules the tasks of accepted jobs on the workers of a cell. A Core holds the state of one leadership
// epoch: it is built from the durable rows and the workers' inventories and is discarded when the epoch ends. It
// performs no I/O and reads no clock: events arrive through methods that take the current time, and Step returns the
// commands that the caller executes.
package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Instant is the time since boot on a clock that keeps counting while the machine is suspended.
type Instant = time.Duration

// Options configures a Core.
type Options struct {
	// Epoch is the fencing token of this leadership.
	Epoch uint64
	// LeaseDuration is the duration of the leases on workers.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that workers grant, whatever deadline a command has; 0 means LeaseDuration.
	MaxLease time.Duration
	// LeaseExtension is how long after the start of this epoch former leaders may still extend leases. It is negative if they have ended
	// before.
	LeaseExtension time.Duration
	// StartsRecordedSince is the first epoch from which on all leaders have recorded the starts of service tasks; 0 means Epoch.
	StartsRecordedSince uint64
	// ClosedWorkers are the workers that former leaders have closed; see CloseWorkers.
	ClosedWorkers map[string]ClosedWorker
	// MemoryBytes is the memory for the steps and tasks of jobs; 0 means a default.
	MemoryBytes int64
	// StopTimeout limits the stop of a run on a worker. The Core does not read it.
	StopTimeout time.Duration
	// Retention is how long the state of a finished job can be queried.
	Retention time.Duration
	// OnDecision logs a decision, whose fields it may keep and change. It must not block and must not call the Core.
	OnDecision func(Decision)
}

// Decision is a scheduling decision to be logged.
type Decision struct {
	// Event is a fixed name such as "task_started".
	Event string
	Job   job.ID
	// Fields are the inputs of the decision and its outcome.
	Fields map[string]any
}

// Core is the scheduler of a cell.
//
// Locking: mu protects all fields. The only callback called while mu is held is Options.OnDecision.
type Core struct {
	opts       Options
	epochStart Instant

	mu          coreMutex
	now         Instant
	wallClockMS int64
	config      job.Config
	jobs        map[job.ID]*jobState
	recurring   map[job.ID]*jobState
	// admission holds the jobs that are not in memory, and ended are the jobs that have ended and may still have runs.
	admission admission
	ended     []*jobState
	// finished are the jobs that have ended and whose final state is durable.
	finished        map[job.ID]finishedJob
	nextExpiryCheck Instant
	// teams are the teams with jobs, by name. unreadChanged means that their unread use must be determined again.
	teams         map[string]*team
	unreadChanged bool
	// earlyCancels holds when jobs were cancelled whose records have not arrived yet.
	earlyCancels map[job.ID]Instant
	// unreadable are jobs whose durable progress cannot be decoded. They are not started: their tasks may have ended.
	unreadable map[job.ID]struct{}
	// lookups are the jobs that are not known and of which workers list tasks.
	lookups map[job.ID]*jobLookup
	// outstandingLookups counts the lookups of each job without a result.
	outstandingLookups map[job.ID]int
	workers            map[string]*worker
	// workerSetVersion rises when a worker is added or removed.
	workerSetVersion uint64
	// inventories counts the inventories of workers that have been compared with the ledger.
	inventories uint64
	// awaitingAcks are the workers with completions that may not be acknowledged yet, and possibly some without any.
	awaitingAcks map[*worker]struct{}
	free         freeIndex
	byRack       rackIndex
	// serviceCPU is the processor capacity of each service as of serviceCPUVersion.
	serviceCPU        map[string]int64
	serviceCPUVersion uint64
	// fleetVersion rises when a change of the registry entries may make a step feasible or infeasible.
	fleetVersion uint64
	// ready are the steps with waiting tasks.
	ready    readyQueue
	advisers map[string]*adviser
	actions  []Action
	// heldStarts are starts that wait for acknowledgements on their way.
	heldStarts []*StartAction
	inFlight   commandsInFlight
	placements placementLog
	// deferredPolls are the workers with an additional poll that is not due yet.
	deferredPolls []*worker
	// inventoryPending are the workers that a former leader may have used and whose inventory has not been read in this
	// epoch.
	inventoryPending map[string]struct{}
	// changeCount numbers the changes to be stored.
	changeCount uint64
	// dirtyJobs are the jobs with changes that are in no batch.
	dirtyJobs map[job.ID]*jobState
	// expiredJobs are jobs past their retention whose rows can be removed. progressRemovals are those whose record and
	// cancellation rows have been removed and whose progress row is next.
	expiredJobs, progressRemovals []job.ID
	// changedFleetShards are the rows of the fleet record that must be written, and fleetRowsInFlight counts those in batches;
	// fleetRecordKnown means that the record could be decoded.
	changedFleetShards map[int]struct{}
	fleetRowsInFlight  int
	fleetRecordKnown   bool
	fleetLoadedAt      Instant
	// closed are the workers that a renewal which may have been written lists, and inheritedClosed those that former leaders have closed.
	closed          map[string]struct{}
	inheritedClosed map[string]ClosedWorker
	superseded      bool
	// commandsUntil is when the commands to workers end unless they are allowed for longer; 0 means that they do not. commandsEnded
	// means that no more are sent whatever happens.
	commandsUntil Instant
	commandsEnded bool
	approvalRates map[string]float64
	// kindSpeeds are the speeds of the kinds of workers. speedsDiffer means that placement considers speeds, and tightestStretch is
	// the smallest stretch of all queues.
	kindSpeeds      map[string]*speedEstimate
	speedsDiffer    bool
	tightestStretch float64
	waves           map[int]*wave
	// crashes are the crashes of workers within crashRetention.
	crashes  []*crash
	unstored unstoredResults
	// recordingRuns are the runs in phaseRecording. unknownPlacements are the tasks with an unknown placement, and possibly others.
	recordingRuns     []*run
	unknownPlacements []*task
	// recoveredHeldUntil is when the tasks of recovered jobs may start at the earliest.
	recoveredHeldUntil Instant
	// formerRuns are the tasks with a formerRun.
	formerRuns []*task
	// planned is the demand of the steps for which plans are made, and plannedServices that of service steps.
	planned, plannedServices plannedShare
	// machines holds the last list of machines by ID; nil until the first list arrives.
	machines  map[string]backend.Machine
	nextSweep Instant
	held      heldTasks
	effort    Effort
	wake      chan struct{}
}

// New returns a Core for one leadership epoch.
func New(opts Options, now Instant) *Core {
	if opts.StartsRecordedSince == 0 {
		opts.StartsRecordedSince = opts.Epoch
	}
	c := &Core{
		opts: opts, epochStart: now, now: now, fleetVersion: 1,
		jobs: map[job.ID]*jobState{}, recurring: map[job.ID]*jobState{}, finished: map[job.ID]finishedJob{}, teams: map[string]*team{}, earlyCancels: map[job.ID]Instant{}, unreadable: map[job.ID]struct{}{},
		lookups: map[job.ID]*jobLookup{}, outstandingLookups: map[job.ID]int{}, workers: map[string]*worker{}, awaitingAcks: map[*worker]struct{}{},
		advisers: map[string]*adviser{}, inventoryPending: map[string]struct{}{},
		dirtyJobs: map[job.ID]*jobState{}, changedFleetShards: map[int]struct{}{}, approvalRates: map[string]float64{}, kindSpeeds: map[string]*speedEstimate{}, waves: map[int]*wave{},
		wake: make(chan struct{}, 1),
	}
	c.placements, c.admission = newPlacementLog(), newAdmission(opts.MemoryBytes)
	c.planned, c.plannedServices = plannedShare{core: c, maxSteps: maxReservingSteps}, plannedShare{core: c, maxSteps: maxReservingServices}
	c.loadClosed(opts.ClosedWorkers)
	return c
}

// Action is a command that the caller of Step executes: *StartAction, *StopAction, *PollAction, *ThrottleAction,
// *AdviseAction, *LookupAction, *MaintainAction, *WaveAction or *ReadWaveAction.
type Action any

// StartAction starts a run. The outcome is passed to StartResult.
type StartAction struct {
	Command backend.StartCommand
	run     *run
	// placement is the sequence number of the placement of the run.
	placement uint64
}

// StopAction stops a run. The outcome is passed to StopResult.
type StopAction struct {
	Command backend.Command
	run     *run
}

// PollAction polls a worker immediately, in addition to a long poll that may be in progress there.
type PollAction struct {
	Worker string
}

// ThrottleAction sets the throttle of a run in percent. The outcome is passed to ThrottleResult.
type ThrottleAction struct {
	Command backend.Command
	Percent int
	run     *run
}

// AdviseAction requests placement advice through an instance. The outcome is passed to AdviceResult.
type AdviseAction struct {
	Adviser string
	Step    string
	Workers []string
	// Expected is the expected response time.
	Expected time.Duration
	request  *adviceRequest
}

// Wake returns a channel that receives a value when Step should be called.
func (c *Core) Wake() <-chan struct{} { return c.wake }

// signalWake signals the caller of Step to run soon. Callers hold c.mu.
func (c *Core) signalWake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Core) logDecision(event string, id job.ID, fields map[string]any) {
	if c.opts.OnDecision != nil {
		c.opts.OnDecision(Decision{event, id, fields})
	}
}

// Superseded reports whether the epoch has ended because a higher one is known to exist: its token was refused, or a
// job names a later epoch.
func (c *Core) Superseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.superseded
}

// AllowCommandsUntil allows commands to workers until an instant. A leader allows them for some time after each renewal of its leadership,
// so that its successor can compute when the leases have expired. The Core compares the instant with the time of each command, since
// the process may be suspended.
func (c *Core) AllowCommandsUntil(until Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commandsUntil = until
	c.signalWake()
}

// EndCommands stops all further commands to workers. A leader that resigns ends them first.
func (c *Core) EndCommands() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commandsEnded = true
}

// SetConfig replaces the configuration if cfg is newer.
func (c *Core) SetConfig(cfg job.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	for _, j := range c.jobs {
		if q, ok := cfg.Queue(j.queue.Name); ok {
			j.queue = q
		}
	}
	for _, d := range c.admission.deferred {
		if q, ok := cfg.Queue(d.queue); ok {
			d.priority = q.Priority
		}
	}
	c.updateTightestStretch()
	for _, t := range c.teams {
		c.configureTeam(t)
	}
	c.signalWake()
}

// sweepInterval is the time between checks of time-based conditions.
const sweepInterval = 100 * time.Millisecond

// Step advances the time and returns the commands that are due. wallMS is the wall clock time in milliseconds since
// 1970.
func (c *Core) Step(now Instant, wallMS int64) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.wallClockMS = wallMS
	if c.halted() {
		return nil
	}
	c.effort.Rounds++
	if c.now >= c.nextSweep {
		c.nextSweep = c.now + sweepInterval
		c.sweep()
	}
	c.settlePlacementLog()
	c.settleFormerRuns()
	c.sendRecordedStarts()
	c.sendHeldStarts()
	if c.unreadChanged {
		c.unreadChanged = false
		c.updateUnread()
	}
	c.ready.update(c)
	c.planNewSteps()
	c.placeReadySteps()
	c.sendAdviceRequests()
	c.sendDeferredPolls()
	actions := c.actions
	c.actions = nil
	return actions
}

// sweep runs the time-based checks. Callers hold c.mu.
func (c *Core) sweep() {
	c.effort.Sweep += uint64(len(c.workers))
	for _, w := range c.workers {
		c.expireLeases(w)
		for _, r := range w.runs {
			c.checkRun(r)
		}
	}
	c.updateUnread()
	c.updateShares()
	c.updateSpeedSpread()
	c.updateTrials()
	c.ready.markAll(c)
	c.ready.update(c)
	c.planReadySteps()
	c.logWaitingGangs()
	c.logWaitingServices()
	c.logRecoveryWait()
	c.preempt()
	c.advanceWaves()
	c.settleCrashes()
	c.settlePlacements()
	c.settleUnowned()
	c.removeUnusedFromRecord()
	c.releaseEnded()
	c.openDueOccurrences()
	c.admitDeferred()
	c.expireFinishedJobs()
	c.sendLookups()
}

// checkRun runs the time-based checks of a run.
func (c *Core) checkRun(r *run) {
	switch r.phase {
	case phaseStarting:
		c.resolveUnansweredStart(r)
	case phaseRunning:
		c.stopIfStalled(r)
	case phaseStopping:
		c.retryStop(r)
	}
	c.queueSpeculativeRun(r)
}

const (
	// maxClockDrift is the largest fraction by which a worker's clock may run slow.
	maxClockDrift = 0.02
	// leaseMargin covers the rounding of clock readings and late timers.
	leaseMargin = 150 * time.Millisecond
)

// maxLocalDuration returns the longest time that can pass locally while a worker's clock advances by d.
func maxLocalDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift)) + leaseMargin
}
