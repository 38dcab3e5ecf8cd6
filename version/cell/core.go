// Package cell decides what runs where in a cell of workers. A Core is the state of one epoch of leadership: it starts
// from the durable rows and the workers' inventories, and ends with the epoch. It performs no I/O and reads no clock:
// events come in through methods that take the time, and Step returns the orders that the caller carries out.
package cell

import (
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
)

// Instant is the time since boot on a clock that counts suspension.
type Instant = time.Duration

// Options configures a Core.
type Options struct {
	// Epoch is the fencing token of this leadership.
	Epoch uint64
	// Lease is the term of the leases on workers.
	Lease time.Duration
	// PredecessorTerm is how long after the start of this epoch a former leader may still extend leases.
	PredecessorTerm time.Duration
	// StopTimeout bounds a stop on a worker.
	StopTimeout time.Duration
	// Retention is how long a finished job can be asked for.
	Retention time.Duration
	// Note receives decisions for the log. It must not block and must not call the Core.
	Note func(Decision)
}

// Decision is one decision for the log.
type Decision struct {
	// Event is a fixed name such as "task_started".
	Event string
	Job   job.ID
	// Fields are the inputs that decided and the outcome.
	Fields map[string]any
}

// Core is the scheduler of a cell.
//
// Locking: mu protects everything. No method calls out while holding it, but for Options.Note.
type Core struct {
	opts       Options
	epochStart Instant

	mu          sync.Mutex
	now         Instant
	wallClockMS int64
	config      job.Config
	jobs        map[job.ID]*jobState
	recurring   map[job.ID]*jobState
	// earlyCancels are cancellations of jobs that are not known yet.
	earlyCancels map[job.ID]Instant
	workers      map[string]*worker
	// readySteps are the steps that have waiting tasks.
	readySteps map[*step]struct{}
	advisers   map[string]*adviser
	actions    []Action
	// inventoryPending are workers whose inventory this epoch has not seen although a former leader may have used them.
	inventoryPending map[string]struct{}
	// changeCount counts durable changes; stored is the count up to which they are durable.
	changeCount, durableChange uint64
	dirtyJobs                  map[job.ID]*jobState
	// expiredJobs are jobs past their retention; removals are those of them whose other rows are gone.
	expiredJobs, progressRemovals []job.ID
	// fleetChanged says that the record of the workers in use must be written; loadedAt is when it was read.
	fleetChanged  bool
	fleetLoadedAt Instant
	superseded    bool
	suspended     bool
	approvalRates map[string]float64
	waves         map[int]*wave
	// machines is the list of machines, nil before the first one.
	machines  map[string]backend.Machine
	nextSweep Instant
	wake      chan struct{}
}

// New returns the core of an epoch.
func New(opts Options, now Instant) *Core {
	return &Core{
		opts: opts, epochStart: now, now: now,
		jobs: map[job.ID]*jobState{}, recurring: map[job.ID]*jobState{}, earlyCancels: map[job.ID]Instant{}, workers: map[string]*worker{},
		readySteps: map[*step]struct{}{}, advisers: map[string]*adviser{}, inventoryPending: map[string]struct{}{},
		dirtyJobs: map[job.ID]*jobState{}, approvalRates: map[string]float64{}, waves: map[int]*wave{},
		wake: make(chan struct{}, 1),
	}
}

// Action is an order that the caller of Step carries out: *StartAction, *StopAction, *PollAction,
// *ThrottleAction, *AdviseAction, *MaintainAction or *WaveAction.
type Action any

// StartAction starts a run. The result goes to StartResult.
type StartAction struct {
	Order backend.StartOrder
	run   *run
}

// StopAction stops a run. The result goes to StopResult.
type StopAction struct {
	Order backend.Order
	run   *run
}

// PollAction asks for a poll of a worker at once, beside the one that may be waiting there.
type PollAction struct {
	Worker string
}

// ThrottleAction sets the share at which a run works.
type ThrottleAction struct {
	Order   backend.Order
	Percent int
	run     *run
}

// AdviseAction asks for placement advice by way of an instance. The result goes to AdviceResult.
type AdviseAction struct {
	Adviser string
	Step    string
	Workers []string
	// Expected is how long the answer should take.
	Expected time.Duration
	request  *adviceRequest
}

// Wake returns a channel that receives a value when Step has something to do.
func (c *Core) Wake() <-chan struct{} { return c.wake }

// signalWake makes the caller of Step run soon. Callers hold c.mu.
func (c *Core) signalWake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Core) logDecision(event string, id job.ID, fields map[string]any) {
	if c.opts.Note != nil {
		c.opts.Note(Decision{event, id, fields})
	}
}

// Superseded reports whether a worker has refused the token of this epoch, which ends it.
func (c *Core) Superseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.superseded
}

// Suspend stops or resumes orders to workers. A leader that cannot renew its leadership suspends its core, so that its
// successor can tell when the leases have lapsed.
func (c *Core) Suspend(suspended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended = suspended
	c.signalWake()
}

// SetConfig replaces the configuration by a newer one.
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
	c.signalWake()
}

// sweepInterval is the time between checks that depend on the passing of time only.
const sweepInterval = 100 * time.Millisecond

// Step advances the time and returns the orders that are due. wallMS is the time of day in milliseconds since 1970.
func (c *Core) Step(now Instant, wallMS int64) []Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.wallClockMS = wallMS
	if c.suspended || c.superseded {
		return nil
	}
	if c.now >= c.nextSweep {
		c.nextSweep = c.now + sweepInterval
		c.sweep()
	}
	c.placeReadySteps()
	c.sendAdviceRequests()
	actions := c.actions
	c.actions = nil
	return actions
}

// sweep handles what becomes due by time alone.
func (c *Core) sweep() {
	for _, w := range c.workers {
		c.expireLeases(w)
		c.retryStops(w)
		c.stopStalledRuns(w)
		c.queueSpeculativeRuns(w)
	}
	c.preempt()
	c.advanceWaves()
	c.expireMissingWorkers()
	c.endRecovery()
	c.openDueOccurrences()
	c.expireFinishedJobs()
	c.expireEarlyCancels()
}

// endRecovery ends the wait for workers that cannot be reached once no run of a former leader can be left there.
func (c *Core) endRecovery() {
	if len(c.inventoryPending) == 0 || c.now < c.epochStart+c.recoveryBound() {
		return
	}
	c.logDecision("recovery_bound_reached", "", map[string]any{"unread_workers": len(c.inventoryPending)})
	clear(c.inventoryPending)
}

// recoveryBound is the time after the start of the epoch at which every lease of a former leader has lapsed.
func (c *Core) recoveryBound() time.Duration {
	return c.opts.PredecessorTerm + maxLocalDuration(c.opts.Lease)
}

const (
	// maxClockDrift is by how much a worker's clock may run slow.
	maxClockDrift = 0.02
	// leaseMargin covers the rounding of stamps and timers that fire late.
	leaseMargin = 150 * time.Millisecond
)

// maxLocalDuration returns how long a time on a worker's clock lasts at most.
func maxLocalDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift)) + leaseMargin
}
