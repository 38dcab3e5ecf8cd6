package rack

import (
	"math"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

const (
	// candidatesPerCell and candidates bound the workers that are scored for one placement. Workers of one cell of the
	// index have similar free capacity, so that a few of them stand for all.
	candidatesPerCell = 4
	candidates        = 24
	// remainderWeight weighs the size of the rest against the capacity that becomes unusable. Larger weights turn the choice
	// into best fit, which packs less; without it empty workers are opened too early.
	remainderWeight = 0.01
	// priorOffers is the number of offers that the first assumption about the mean demand stands for.
	priorOffers = 16
	// profileOffers is the number of recent offers that the mean demand covers.
	profileOffers = 2048
)

// capacityShares is the mean demand of recent offers: cores, memory and slots as shares of the largest worker.
type capacityShares [3]float64

// sharesOf returns an amount as shares of the largest worker. Callers hold c.mu.
func (c *Core) sharesOf(r model.Resources) capacityShares {
	return capacityShares{
		ratio(r.CPUMilli, c.largestCapacity.CPUMilli), ratio(r.MemoryMiB, c.largestCapacity.MemoryMiB),
		ratio(r.Slots, c.largestCapacity.Slots),
	}
}

// updateMean moves the mean towards a demand. At first it assumes demands that use all of a worker evenly, since a mean of
// few demands would make their own shape look usable.
func (p *capacityShares) updateMean(demand capacityShares, offers uint64) {
	if offers == 1 {
		*p = capacityShares{demand[2], demand[2], demand[2]}
	}
	for i := range p {
		p[i] += (demand[i] - p[i]) / float64(min(offers+priorOffers, profileOffers))
	}
}

// strandedShare returns the part of a rest that stays free when the rest is filled with tasks of the mean demand.
func (p *capacityShares) strandedShare(remainder capacityShares) float64 {
	const minDemand = 1e-6
	tasks := math.Inf(1)
	for i := range remainder {
		tasks = min(tasks, remainder[i]/max(p[i], minDemand))
	}
	sum := 0.0
	for i := range remainder {
		sum += remainder[i] - tasks*p[i]
	}
	return sum
}

// hasCapacity reports whether a worker can take a demand now.
func (c *Core) hasCapacity(w *workerState, demand model.Resources) bool {
	return (w.inTotals || w.probing) && demand.Fits(w.free())
}

// score rates a worker for a task; the highest score wins. The best worker is the one where the task makes the least
// capacity unusable for tasks of the mean demand, and then the one with the smallest rest, which keeps other workers
// usable for large tasks. Tasks of one service avoid each other.
func (c *Core) score(w *workerState, task model.Task, demand model.Resources) float64 {
	free := w.free()
	before, after := c.sharesOf(free), c.sharesOf(free.Sub(demand))
	score := c.meanDemand.strandedShare(before) - c.meanDemand.strandedShare(after) -
		remainderWeight*(after[0]+after[1]+after[2]+ratio(free.Accelerators-demand.Accelerators, c.largestCapacity.Accelerators))
	if task.Kind == model.KindService {
		score -= spreadWeight * float64(w.countTasksOf(task.Intent))
	}
	return score
}

// spreadWeight makes one task of the same service count more than any rest of capacity.
const spreadWeight = 10

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// countTasksOf counts the worker's tasks of an intent.
func (w *workerState) countTasksOf(intent string) int {
	n := 0
	for _, t := range w.tasks {
		if t.task.Intent == intent {
			n++
		}
	}
	return n
}

// place returns the worker for a task, or nil if it fits nowhere now. Callers hold c.mu.
func (c *Core) place(now time.Time, task model.Task, demand model.Resources) (*workerState, Reason) {
	reason := Reason{Code: ReasonLeastStranded, Demand: demand}
	if task.Kind == model.KindService {
		reason.Code = ReasonSpread
	}
	if demand.Accelerators > 0 {
		w := c.selectWorker(c.pool(demand.AcceleratorType), task, demand)
		return w, reason.onWorker(w)
	}
	// Workers without accelerators come first, so that accelerators stay usable.
	w := c.selectWorker(c.pool(""), task, demand)
	for _, p := range c.pools {
		if w == nil && p.acceleratorType != "" {
			w = c.selectWorker(&p.freeIndex, task, demand)
		}
	}
	if w == nil {
		if w = c.backfillWorker(now, task, demand); w != nil {
			reason.Code = ReasonBackfill
		}
	}
	if w != nil && w.quarantined {
		reason.Code = ReasonProbe
	}
	return w, reason.onWorker(w)
}

func (r Reason) onWorker(w *workerState) Reason {
	if w == nil {
		return Reason{Code: ReasonNoCapacity, Demand: r.Demand}
	}
	r.Worker = w.member.ID
	return r
}

// selectWorker returns the worker of a pool with the highest score among a bounded number of candidates. Callers hold c.mu.
func (c *Core) selectWorker(pool *freeIndex, task model.Task, demand model.Resources) *workerState {
	var best *workerState
	bestScore, seen := 0.0, 0
	pool.forEachFitting(demand, candidatesPerCell, func(w *workerState) bool {
		if w.quarantined && task.Kind == model.KindCall {
			// A call may not be repeatable, so it never serves as a probe.
			return true
		}
		seen++
		s := c.score(w, task, demand)
		if best == nil || s > bestScore || (s == bestScore && w.member.ID < best.member.ID) {
			best, bestScore = w, s
		}
		return seen < candidates
	})
	return best
}

// fitsAnyWorker reports whether some worker in the index has room for a demand. Callers hold c.mu.
func (c *Core) fitsAnyWorker(demand model.Resources) bool {
	found := false
	for _, p := range c.pools {
		if !found && (demand.Accelerators == 0 || p.acceleratorType == demand.AcceleratorType) {
			p.forEachFitting(demand, 1, func(*workerState) bool {
				found = true
				return false
			})
		}
	}
	return found
}

// reserveCapacity takes the capacity for an offer. Callers hold c.mu.
func (c *Core) reserveCapacity(now time.Time, w *workerState, task model.Task, class model.Class, reason Reason) *taskState {
	t := &taskState{
		task: task, worker: w.member.ID, phase: phaseClaiming, startedAt: now, class: class, demand: reason.Demand,
		reason: reason, promoteIndex: -1,
	}
	c.tasks[task.ID] = t
	if w.probing {
		w.probing = false
		w.probeAt = now.Add(w.probeAfter)
	}
	c.addToLedger(w, t)
	return t
}

// release returns the capacity of a task that provably does not run. Callers hold c.mu.
func (c *Core) release(t *taskState) {
	if c.tasks[t.task.ID] == t {
		delete(c.tasks, t.task.ID)
	}
	c.cancelPromotion(t)
	if t.gang != nil {
		t.gang.removeTask(t)
	}
	if w := c.workers[t.worker]; w != nil && w.tasks[t.task.ID] == t {
		c.removeFromLedger(w, t)
	} else if w != nil && w.tasks[t.task.ID] != nil {
		c.tasks[t.task.ID] = w.tasks[t.task.ID]
	}
}

// Demand returns the declared capacity that a task takes; it takes at least one slot.
func Demand(task model.Task) model.Resources { return task.Demand() }

// Proposal is the dry run of placing tasks.
type Proposal struct {
	Placements []model.Placement
	Displaces  []model.Displacement
	// FitsEmpty is true when each task fits some worker of the rack if it were empty.
	FitsEmpty bool
}

// Propose returns where tasks would go now and what they would displace, without changing anything. Tasks that fit
// nowhere are left out.
func (c *Core) Propose(now time.Time, tasks []model.Task) Proposal {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Proposal{FitsEmpty: len(tasks) > 0}
	trial := trialLedger{core: c, displaced: map[model.TaskID]bool{}}
	defer trial.undo()
	for _, task := range tasks {
		demand := c.effectiveDemand(task)
		p.FitsEmpty = p.FitsEmpty && c.fitsEmptyWorker(demand)
		w, victims, reason := c.propose(now, &trial, task, demand)
		if w == nil {
			continue
		}
		for _, v := range victims {
			trial.displace(w, v)
			p.Displaces = append(p.Displaces, c.displacement(w, v, task))
		}
		trial.place(w, demand)
		p.Placements = append(p.Placements, model.Placement{
			Task: task.ID, Rack: c.id, Worker: w.member.ID, Zone: w.member.Zone, Reason: reason.String(),
		})
	}
	return p
}

// propose returns where a task would go and what it would displace there; nil if nothing makes room for it within the
// limits. Callers hold c.mu.
func (c *Core) propose(now time.Time, trial *trialLedger, task model.Task, demand model.Resources) (*workerState, []*taskState, Reason) {
	class := c.queueClass(task)
	if c.limitReason(class, trial.usageChange.Add(demand)) == ReasonNone {
		if w, reason := c.place(now, task, demand); w != nil {
			return w, nil, reason
		}
	}
	w, victims := c.findVictims(now, task, demand, trial.displaced)
	if w == nil {
		return nil, nil, Reason{}
	}
	change := trial.usageChange.Add(demand)
	for _, v := range victims {
		change = change.Sub(v.demand)
	}
	if c.limitReason(class, change) != ReasonNone {
		return nil, nil, Reason{}
	}
	return w, victims, Reason{Code: ReasonDisplacing, Worker: w.member.ID, Demand: demand}
}

// trialLedger changes the ledger of workers for a dry run and restores it afterwards.
type trialLedger struct {
	core      *Core
	displaced map[model.TaskID]bool
	// usageChange is the change of the usage of the rack.
	usageChange model.Resources
	workers     []*workerState
	usedBefore  []model.Resources
}

func (l *trialLedger) place(w *workerState, demand model.Resources) {
	l.workers, l.usedBefore = append(l.workers, w), append(l.usedBefore, w.used)
	w.used = w.used.Add(demand)
	l.usageChange = l.usageChange.Add(demand)
	l.core.reindex(w)
}

func (l *trialLedger) displace(w *workerState, victim *taskState) {
	l.displaced[victim.task.ID] = true
	l.workers, l.usedBefore = append(l.workers, w), append(l.usedBefore, w.used)
	w.used = w.used.Sub(victim.demand)
	l.usageChange = l.usageChange.Sub(victim.demand)
	l.core.reindex(w)
}

func (l *trialLedger) undo() {
	for i := len(l.workers) - 1; i >= 0; i-- {
		l.workers[i].used = l.usedBefore[i]
		l.core.reindex(l.workers[i])
	}
}

// fitsEmptyWorker reports whether some worker could hold a demand if it were empty. Callers hold c.mu.
func (c *Core) fitsEmptyWorker(demand model.Resources) bool {
	for _, w := range c.workersByArrival {
		if demand.Fits(w.member.Capacity) {
			return true
		}
	}
	return false
}

// Summary is a short form of a rack's state for routing offers.
type Summary struct {
	Rack  string
	Epoch uint64
	// Free is the sum over usable workers; Largest is the free capacity of the worker with the most free processor time.
	Free, Largest model.Resources
	// Queued counts queued offers by class.
	Queued [model.NumClasses]int
}

// Summary returns the current summary.
func (c *Core) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Rack: c.id, Epoch: c.epoch, Queued: c.queuedCount}
	for _, w := range c.workersByArrival {
		if !w.inTotals {
			continue
		}
		free := w.free()
		s.Free = s.Free.Add(free)
		if free.CPUMilli > s.Largest.CPUMilli {
			s.Largest = free
		}
	}
	return s
}
