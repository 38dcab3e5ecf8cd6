package rack

import (
	"math"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

const (
	// candidatesPerCell and candidates bound the workers that are scored for one placement. Workers of one cell of the
	// index have similar free capacity, so a few of them represent the cell.
	candidatesPerCell = 4
	candidates        = 24
	// remainderWeight weighs the capacity that remains on the worker against the capacity that becomes stranded. Larger
	// weights approach best fit, which packs worse; with weight 0 empty workers are used too early.
	remainderWeight = 0.01
	// priorOffers is the weight of the initial estimate of the mean demand, as a number of offers.
	priorOffers = 16
	// meanDemandOffers is the number of recent offers that the mean demand covers.
	meanDemandOffers = 2048
)

// capacityShares is an amount of CPU, memory and slots, each as a share of the largest worker capacity.
type capacityShares [3]float64

// sharesOf returns an amount as shares of the largest worker capacity. Callers hold c.mu.
func (c *Core) sharesOf(r model.Resources) capacityShares {
	return capacityShares{
		ratio(r.CPUMilli, c.largestCapacity.CPUMilli), ratio(r.MemoryMiB, c.largestCapacity.MemoryMiB),
		ratio(r.Slots, c.largestCapacity.Slots),
	}
}

// updateMean updates the mean of recent demands with that of an offer; offers is the number of offers so far. The
// initial estimate uses all dimensions of a worker evenly, since a mean of only a few demands would make remainders of
// their own proportions look usable.
func (p *capacityShares) updateMean(demand capacityShares, offers uint64) {
	if offers == 1 {
		*p = capacityShares{demand[2], demand[2], demand[2]}
	}
	for i := range p {
		p[i] += (demand[i] - p[i]) / float64(min(offers+priorOffers, meanDemandOffers))
	}
}

// strandedShare returns how much of a remainder stays free when it is filled with tasks of the mean demand p, as the sum
// over the dimensions.
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

// hasCapacity reports whether a worker accepts work and has enough free capacity for a demand. Callers hold c.mu.
func (c *Core) hasCapacity(w *workerState, demand model.Resources) bool {
	return (w.inTotals || w.probing) && demand.Fits(w.free())
}

// score rates a worker for a task; the highest score wins. It prefers the worker where the task strands the least
// capacity for tasks of the mean demand, and then the one with the smallest remainder, which keeps other workers usable
// for large tasks. Tasks of one service are spread over workers. Callers hold c.mu.
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

// spreadWeight makes one task of the same service outweigh any difference in remaining capacity.
const spreadWeight = 10

// ratio returns part as a fraction of whole, or 0 if whole is 0.
func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// countTasksOf returns the number of the worker's tasks that belong to an intent.
func (w *workerState) countTasksOf(intent string) int {
	n := 0
	for _, t := range w.tasks {
		if t.task.Intent == intent {
			n++
		}
	}
	return n
}

// place selects a worker for a task; it returns nil if the task fits nowhere now. Callers hold c.mu.
func (c *Core) place(now time.Time, task model.Task, demand model.Resources) (*workerState, Reason) {
	reason := Reason{Code: ReasonLeastStranded, Demand: demand}
	if task.Kind == model.KindService {
		reason.Code = ReasonSpread
	}
	if demand.Accelerators > 0 {
		w := c.selectWorker(c.pool(demand.AcceleratorType), task, demand)
		return w, reason.onWorker(w)
	}
	// Workers without accelerators are preferred, so that accelerators stay available.
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

// onWorker returns the reason for a placement on a worker, or ReasonNoCapacity if w is nil.
func (r Reason) onWorker(w *workerState) Reason {
	if w == nil {
		return Reason{Code: ReasonNoCapacity, Demand: r.Demand}
	}
	r.Worker = w.member.ID
	return r
}

// selectWorker returns the worker of a pool with the highest score among a bounded number of candidates; of equal scores
// the one with the lowest id. Callers hold c.mu.
func (c *Core) selectWorker(pool *freeIndex, task model.Task, demand model.Resources) *workerState {
	var best *workerState
	bestScore, scored := 0.0, 0
	pool.forEachFitting(demand, candidatesPerCell, func(w *workerState) bool {
		if w.quarantined && task.Kind == model.KindCall {
			// A call may not be safe to repeat, so it is never used as a probe.
			return true
		}
		scored++
		s := c.score(w, task, demand)
		if best == nil || s > bestScore || (s == bestScore && w.member.ID < best.member.ID) {
			best, bestScore = w, s
		}
		return scored < candidates
	})
	return best
}

// fitsAnyWorker reports whether some worker in the index has enough free capacity for a demand. Callers hold c.mu.
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

// reserveCapacity reserves capacity of a worker for a task, in phaseClaiming. On a worker open for a probe, the task is
// the probe. Callers hold c.mu.
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

// release releases the capacity of a task that provably does not run. Callers hold c.mu.
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

// Demand returns the declared demand of a task, which has at least one slot.
func Demand(task model.Task) model.Resources { return task.Demand() }

// Proposal is the result of a dry run of placing tasks.
type Proposal struct {
	Placements []model.Placement
	Displaces  []model.Displacement
	// FitsEmpty is true if each task would fit some worker of the rack that is empty.
	FitsEmpty bool
}

// Propose returns where tasks would be placed now and which tasks they would displace, without a change of state. Tasks
// that fit nowhere are omitted.
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

// propose returns where a task would be placed and what it would displace there; nil if no placement or displacement
// within the limits exists. Callers hold c.mu.
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

// trialLedger changes the used capacity of workers for a dry run; undo restores it.
type trialLedger struct {
	core      *Core
	displaced map[model.TaskID]bool
	// usageChange is the net change of the rack's usage.
	usageChange model.Resources
	workers     []*workerState
	usedBefore  []model.Resources
}

// place charges a worker with a demand.
func (l *trialLedger) place(w *workerState, demand model.Resources) {
	l.workers, l.usedBefore = append(l.workers, w), append(l.usedBefore, w.used)
	w.used = w.used.Add(demand)
	l.usageChange = l.usageChange.Add(demand)
	l.core.reindex(w)
}

// displace takes a victim's demand from a worker.
func (l *trialLedger) displace(w *workerState, victim *taskState) {
	l.displaced[victim.task.ID] = true
	l.workers, l.usedBefore = append(l.workers, w), append(l.usedBefore, w.used)
	w.used = w.used.Sub(victim.demand)
	l.usageChange = l.usageChange.Sub(victim.demand)
	l.core.reindex(w)
}

// undo restores the used capacity of all workers, in reverse order of the changes.
func (l *trialLedger) undo() {
	for i := len(l.workers) - 1; i >= 0; i-- {
		l.workers[i].used = l.usedBefore[i]
		l.core.reindex(l.workers[i])
	}
}

// fitsEmptyWorker reports whether a demand would fit some worker if that worker were empty. Callers hold c.mu.
func (c *Core) fitsEmptyWorker(demand model.Resources) bool {
	for _, w := range c.workersByArrival {
		if demand.Fits(w.member.Capacity) {
			return true
		}
	}
	return false
}

// Summary is the part of a rack's state that is used to route offers to racks.
type Summary struct {
	Rack  string
	Epoch uint64
	// Free is the free capacity of all workers that accept work; Largest is that of the worker with the most free CPU.
	Free, Largest model.Resources
	// Queued is the number of queued offers by class.
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
		free := w.free().Max(model.Resources{})
		s.Free = s.Free.Add(free)
		if free.CPUMilli > s.Largest.CPUMilli {
			s.Largest = free
		}
	}
	return s
}
