// Package rack decides what runs on the workers of one rack. A Core exists for one epoch of the rack's partition and is
// the only writer of the rack's worker ledger. It performs no I/O and reads no clock: methods take the current time and
// return effects, which the caller executes; the caller reports their results by further method calls.
//
// Locking: a Core has one lock. Methods never call back into their caller's code while they hold it. Callers must not hold
// the lock of an intent core when they call a method.
package rack

import (
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// Core is the state of one rack in one epoch.
type Core struct {
	id     string
	epoch  uint64
	policy Policy

	mu sync.Mutex
	// ownershipConfirmedAt is the latest time at which this epoch was known to be the current one.
	ownershipConfirmedAt time.Time
	createdAt            time.Time
	workers              map[string]*workerState
	tasks                map[model.TaskID]*taskState
	intentEpochs         map[int]uint64

	// workersByArrival lists the workers in order of arrival; searchCursor is where the next bounded search begins.
	workersByArrival []*workerState
	searchCursor     int
	// pools index the workers by free capacity, one pool per accelerator type. totalCapacity is the sum over the workers
	// that accept work; largestCapacity is the maximum in each dimension over the workers that have accepted work and are
	// not leaving.
	pools                          []*workerPool
	totalCapacity, largestCapacity model.Resources
	// meanDemand is the mean demand of recent offers.
	meanDemand capacityShares

	// queues has one queue for each class and one for offers past their latest start time.
	queues      [model.NumClasses + 1]*classQueue
	offers      map[model.TaskID]*queuedOffer
	queuedCount [model.NumClasses]int
	due         dueHeap
	sequence    uint64

	// shortReserve is the capacity reserved for short work, as computed at shortReserveUpdatedAt; queuedShortDemand is
	// the demand of queued urgent and short work.
	shortReserve          reservedCapacity
	shortReserveUpdatedAt time.Time
	queuedShortDemand     model.Resources

	jobs                  jobTable
	promotions            promotionHeap
	workerReservations    map[model.TaskID]*workerReservation
	workerReservationList []*workerReservation
	// displacingOffers are the queued offers that name victims.
	displacingOffers []*queuedOffer
	gangReservations map[string]*gangReservation
	// nextGangExpiry is no later than the first expiry of a gang reservation; zero means that none can expire.
	nextGangExpiry time.Time
}

// New returns the core of a rack whose partition was acquired at time now with the given epoch.
func New(now time.Time, id string, epoch uint64, policy Policy) *Core {
	c := &Core{
		id: id, epoch: epoch, policy: policy, createdAt: now, ownershipConfirmedAt: now,
		workers: map[string]*workerState{}, tasks: map[model.TaskID]*taskState{}, intentEpochs: map[int]uint64{},
		offers: map[model.TaskID]*queuedOffer{}, shortReserveUpdatedAt: now, jobs: newJobTable(policy.Jobs),
		workerReservations: map[model.TaskID]*workerReservation{}, gangReservations: map[string]*gangReservation{},
	}
	for i := range c.queues {
		c.queues[i] = newClassQueue(model.Class(i))
	}
	return c
}

// ID returns the name of the rack.
func (c *Core) ID() string { return c.id }

// Epoch returns the epoch of the rack's partition.
func (c *Core) Epoch() uint64 { return c.epoch }

// Offer is a task that an intent owner offers to this rack for a start.
type Offer struct {
	Task model.Task
	// IntentEpoch is the epoch of the intent partition's owner.
	IntentEpoch uint64
	// Victims are the running tasks that the confirmed plan allows this rack to displace.
	Victims []model.TaskID
}

// Offer queues tasks and returns the effects of the resulting decisions. refused lists the offers that were not queued
// because the queue of their class is full or their intent epoch is stale.
func (c *Core) Offer(now time.Time, offers []Offer) (effects []Effect, refused []model.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range offers {
		if o.IntentEpoch < c.intentEpochs[o.Task.Partition] || !c.enqueue(now, o) {
			refused = append(refused, o.Task.ID)
		}
	}
	return c.decide(now), refused
}

// Withdraw removes queued offers, each without a scan of its queue. It does not affect tasks that are already claimed.
func (c *Core) Withdraw(ids []model.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if o := c.offers[id]; o != nil {
			c.dequeue(o)
		}
	}
}

// ClaimResult handles the reply to a claim. A denied claim releases the task's capacity, since nothing was started.
func (c *Core) ClaimResult(now time.Time, id model.TaskID, granted bool, token model.StartToken) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil || t.phase != phaseClaiming {
		return nil
	}
	if !granted {
		c.release(t)
		return c.decide(now)
	}
	t.token = token
	return append(c.startEffects(now, t), c.decide(now)...)
}

// startEffects returns the effect that starts a task on its worker. If the worker or the token is no longer valid, it
// releases the task and returns the report that the task did not start. Callers hold c.mu.
func (c *Core) startEffects(now time.Time, t *taskState) []Effect {
	w, token := c.workers[t.worker], t.token
	if token.Epoch < c.intentEpochs[token.Partition] || !w.acceptsWork() || w.tasks[t.task.ID] != t || w.isOverCapacity() {
		c.release(t)
		out := model.Outcome{Task: t.task.ID, Token: token, State: model.OutcomeNotStarted, Worker: w.member.ID}
		return []Effect{ReportOutcome{Task: t.task, Outcome: out}}
	}
	t.phase = phaseStarting
	t.startLeaseUntil = w.leaseUntil(c.policy)
	return []Effect{StartTask{Worker: w.member.ID, Request: worker.StartRequest{
		Rack: c.id, Epoch: c.epoch, Task: t.task, Token: token, BootID: w.bootID, LeaseUntil: t.startLeaseUntil,
	}}}
}

// StartResult handles the reply of a worker to a start. With MayHaveRun the capacity stays reserved until a later
// synchronisation shows whether the task runs.
func (c *Core) StartResult(now time.Time, id model.TaskID, token model.StartToken, v verdict.Verdict) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil || t.token != token || t.phase != phaseStarting {
		return nil
	}
	switch v {
	case verdict.Ran:
		t.phase, t.startedAt = phaseRunning, now
		c.schedulePromotion(t)
		return []Effect{ReportStarted{Task: t.task, Token: token, Worker: t.worker}}
	case verdict.NotRun:
		return c.releaseNotStarted(now, t)
	default:
		t.phase = phaseUnknown
		return nil
	}
}

// releaseNotStarted releases a task whose start provably did not take effect, and reports it. Callers hold c.mu.
func (c *Core) releaseNotStarted(now time.Time, t *taskState) []Effect {
	c.release(t)
	out := model.Outcome{Task: t.task.ID, Token: t.token, State: model.OutcomeNotStarted, Worker: t.worker}
	return append([]Effect{ReportOutcome{Task: t.task, Outcome: out}}, c.decide(now)...)
}

// Stop requests the stop of a task. Its capacity is released when the worker confirms the stop.
func (c *Core) Stop(id model.TaskID, token model.StartToken, checkpoint bool) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil || t.token != token || t.phase == phaseReserved {
		return nil
	}
	return []Effect{c.stopEffect(t, checkpoint)}
}

// KnownTask is a task of an intent partition that was sent to a worker of the rack, or whose result is not durable yet.
type KnownTask struct {
	Task   model.Task
	Token  model.StartToken
	Worker string
	// Outcome is set when the task has ended.
	Outcome model.Outcome
}

// FenceIntent raises the epoch of an intent partition and returns the tasks known for it. complete is false while some
// worker of the rack may run tasks that are not listed, because it has not been fenced yet.
func (c *Core) FenceIntent(now time.Time, partition int, epoch uint64) (known []KnownTask, complete bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.intentEpochs[partition] {
		return nil, false, verdict.New(verdict.NotRun, verdict.CodeFenced, "intent epoch %d is below %d", epoch, c.intentEpochs[partition])
	}
	c.intentEpochs[partition] = epoch
	c.fenceGangReservations(partition, epoch)
	for _, t := range c.tasks {
		if t.task.Partition == partition && t.phase != phaseClaiming && t.phase != phaseReserved {
			known = append(known, KnownTask{Task: t.task, Token: t.token, Worker: t.worker})
		}
	}
	for _, w := range c.workers {
		for _, r := range w.pendingResults {
			if r.Task.Partition == partition {
				known = append(known, KnownTask{Task: r.Task, Token: r.Outcome.Token, Worker: w.member.ID, Outcome: r.Outcome})
			}
		}
	}
	return known, c.fencingComplete(now), nil
}

// fencingComplete reports whether each worker has been fenced in this epoch, or the leases of earlier epochs have
// provably expired. It is false while the rack has no workers. Callers hold c.mu.
func (c *Core) fencingComplete(now time.Time) bool {
	if len(c.workers) == 0 {
		return false
	}
	for _, w := range c.workers {
		if !w.everFenced && now.Sub(c.createdAt) < c.policy.OrphanLimit+c.policy.LeaseDuration+c.policy.expiryMargin() {
			return false
		}
	}
	return true
}

// SetMembers updates the rack's workers from a membership list. A worker that is missing from the list keeps its ledger,
// since the list may lag; a leaving worker gets no new work.
func (c *Core) SetMembers(now time.Time, members []store.Member) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effects []Effect
	for _, m := range members {
		w := c.workers[m.ID]
		if w == nil {
			w = newWorkerState(m)
			c.workers[m.ID] = w
			c.workersByArrival = append(c.workersByArrival, w)
			effects = append(effects, c.fenceEffect(w))
			continue
		}
		c.updateMember(w, m)
		if w.member.Address != m.Address {
			w.member.Address = m.Address
			w.fenced = false
			effects = append(effects, c.fenceEffect(w))
		}
		c.reindex(w)
	}
	c.updateLargestCapacity()
	return append(effects, c.decide(now)...)
}

// updateMember records what the membership list says of a known worker, except for its address. Tasks that run go on if the
// capacity has shrunk below their demand. Callers hold c.mu and reindex the worker.
func (c *Core) updateMember(w *workerState, m store.Member) {
	if w.member.Capacity != m.Capacity {
		c.setCapacity(w, m.Capacity)
	}
	w.member.State, w.member.Zone = m.State, m.Zone
}
