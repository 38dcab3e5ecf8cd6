package intent

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// RackView is an intent owner's view of a rack; it lags behind the rack's ledger.
type RackView struct {
	Rack, Zone string
	Epoch      uint64
	// Free is the free capacity of the rack, LargestFree that of its worker with the most free CPU.
	Free, LargestFree model.Resources
	// QueuedOffers counts the offers in the rack's queues.
	QueuedOffers int
	// Age is the time since the last message from the rack's owner.
	Age time.Duration
}

// halfWeightAge is the age of a view at which the free capacity of a rack counts half when racks are compared. Whether a
// task fits is decided by the last known capacity whatever its age, since an unchanged rack reports less often.
const halfWeightAge = 10 * time.Second

// SetRacks replaces the views of the reachable racks. The caller must not modify the slice afterwards. A rack with a new
// owner has lost its queue, so the tasks that were queued there are offered again.
func (c *Core) SetRacks(now time.Time, racks []RackView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reofferAfterOwnerChange(now, racks)
	c.racks = racks
	c.rackZones = make(map[string]string, len(racks))
	c.zoneRacks = map[string][]string{}
	c.zones = c.zones[:0]
	for _, r := range racks {
		c.rackZones[r.Rack] = r.Zone
		if c.zoneRacks[r.Zone] == nil {
			c.zones = append(c.zones, r.Zone)
		}
		c.zoneRacks[r.Zone] = append(c.zoneRacks[r.Zone], r.Rack)
	}
	sort.Strings(c.zones)
}

// reofferAfterOwnerChange offers the tasks again that were offered to racks which now have a new owner. It scans all
// waiting tasks, but this is rare: racks change owners only when instances join or leave. Callers hold c.mu.
func (c *Core) reofferAfterOwnerChange(now time.Time, racks []RackView) {
	epochs := make(map[string]uint64, len(c.racks))
	for _, r := range c.racks {
		epochs[r.Rack] = r.Epoch
	}
	hasNewOwner := map[string]bool{}
	for _, r := range racks {
		if oldEpoch := epochs[r.Rack]; oldEpoch > 0 && r.Epoch > oldEpoch {
			hasNewOwner[r.Rack] = true
		}
	}
	if len(hasNewOwner) == 0 {
		return
	}
	var lost []*taskState
	for class := range c.offers.repeated {
		for _, t := range c.offers.repeated[class] {
			before := len(t.offeredRacks)
			t.offeredRacks = slices.DeleteFunc(t.offeredRacks, func(r string) bool { return hasNewOwner[r] })
			if len(t.offeredRacks) < before {
				lost = append(lost, t)
			}
		}
	}
	for _, t := range lost {
		t.offerCount = len(t.offeredRacks)
		c.offers.push(t, now)
	}
}

// offerEntry is the position of a task in an offer queue and the time of its next offer. queue is nil for a task that is
// not queued.
type offerEntry struct {
	due       time.Time
	heapIndex int
	queue     *offerHeap
}

// offerHeap orders tasks by the time of their next offer. It implements heap.Interface.
type offerHeap []*taskState

func (h offerHeap) Len() int           { return len(h) }
func (h offerHeap) Less(i, j int) bool { return h[i].offer.due.Before(h[j].offer.due) }
func (h offerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].offer.heapIndex, h[j].offer.heapIndex = i, j
}

// Push implements heap.Interface.
func (h *offerHeap) Push(x any) {
	t := x.(*taskState)
	t.offer.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *offerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.offer.heapIndex = -1
	return t
}

// offerQueues holds the waiting tasks. Initial offers are made when due; repeated ones, which are queued by class, at a
// bounded rate with the highest class first.
type offerQueues struct {
	initial    offerHeap
	repeated   [model.NumClasses]offerHeap
	repeatRate float64
	// repeatTokens is the number of repeated offers that may be made now; it grows by repeatRate per second.
	repeatTokens float64
	refilledAt   time.Time
}

func newOfferQueues(rate float64) offerQueues {
	return offerQueues{repeatRate: rate, repeatTokens: rate}
}

// refill adds the tokens for the elapsed time, up to those of one second.
func (q *offerQueues) refill(now time.Time) {
	if !q.refilledAt.IsZero() {
		q.repeatTokens = min(q.repeatRate, q.repeatTokens+q.repeatRate*now.Sub(q.refilledAt).Seconds())
	}
	q.refilledAt = now
}

// push schedules the next offer of a task, replacing the one that is scheduled.
func (q *offerQueues) push(t *taskState, due time.Time) {
	q.remove(t)
	t.offer.due, t.offer.queue = due, &q.initial
	if t.offerCount > 0 {
		t.offer.queue = &q.repeated[t.task.Class]
	}
	heap.Push(t.offer.queue, t)
}

func (q *offerQueues) remove(t *taskState) {
	if t.offer.heapIndex >= 0 && t.offer.queue != nil {
		heap.Remove(t.offer.queue, t.offer.heapIndex)
	}
	t.offer.queue = nil
}

// next removes and returns a task whose offer is due and may be made now, or returns nil.
func (q *offerQueues) next(now time.Time) *taskState {
	if t := q.popDue(&q.initial, now); t != nil {
		return t
	}
	for class := range q.repeated {
		if q.repeatTokens < 1 {
			return nil
		}
		if t := q.popDue(&q.repeated[class], now); t != nil {
			q.repeatTokens--
			return t
		}
	}
	return nil
}

func (q *offerQueues) popDue(h *offerHeap, now time.Time) *taskState {
	if len(*h) == 0 || (*h)[0].offer.due.After(now) {
		return nil
	}
	t := heap.Pop(h).(*taskState)
	t.offer.queue = nil
	return t
}

// offersPerRefresh is the number of offers of a task after which the task is sent again to all racks that it was offered to.
const offersPerRefresh = 8

// noRackRetryDelay is the delay before a task that no rack has queued is offered again.
const noRackRetryDelay = 500 * time.Millisecond

// dispatch offers the tasks that are due, batched by rack and set of victims. Callers hold c.mu.
func (c *Core) dispatch(now time.Time) []Effect {
	c.offers.refill(now)
	var b offerBatch
	for t := c.offers.next(now); t != nil; t = c.offers.next(now) {
		c.offerTask(now, t, &b)
	}
	return b.effects(c.policy.OfferBatch)
}

// offerTask adds the offers of one task to a batch and schedules the next offer. Racks that already have the task queued are
// skipped, except when its hints changed or a refresh is due. Callers hold c.mu.
func (c *Core) offerTask(now time.Time, t *taskState, b *offerBatch) {
	racks := c.chooseRacks(t)
	if len(racks) == 0 && len(t.offeredRacks) == 0 {
		c.offers.push(t, now.Add(noRackRetryDelay))
		return
	}
	task := t.effectiveTask()
	if !c.recharge(now, t, Demand(task)) {
		return
	}
	newHints := task.RunTimeMS != t.offeredRunTimeMS || task.DeclaredDemand != t.offeredDemand
	if len(t.offeredRacks) > 0 && (newHints || t.offerCount%offersPerRefresh == 0) {
		// The racks decide by the hints, so they are sent changed ones. All offers are also repeated periodically, because a
		// withdrawal that arrives late can remove a newer offer. A repeated offer keeps its position in the rack's queue.
		for _, rack := range t.offeredRacks {
			b.add(rack, task, t.victims)
		}
	}
	t.offeredRunTimeMS, t.offeredDemand = task.RunTimeMS, task.DeclaredDemand
	for _, rack := range racks {
		if !slices.Contains(t.offeredRacks, rack) {
			b.add(rack, task, t.victims)
			t.offeredRacks = append(t.offeredRacks, rack)
		}
	}
	c.limitOfferedRacks(t)
	limit := c.policy.MaxOfferTTL
	if t.task.Class <= model.ClassShort {
		limit = c.policy.OfferTTL
	}
	ttl := backoff(c.policy.OfferTTL, limit, t.offerCount)
	t.offerCount++
	c.offers.push(t, now.Add(ttl))
}

// limitOfferedRacks withdraws offers of a task beyond MaxOfferedRacks. The first offer is kept, because the task has waited
// longest in that rack's queue. Callers hold c.mu.
func (c *Core) limitOfferedRacks(t *taskState) {
	for len(t.offeredRacks) > max(c.policy.MaxOfferedRacks, 2) {
		c.withdraw(t, t.offeredRacks[1])
		t.offeredRacks = slices.Delete(t.offeredRacks, 1, 2)
	}
}

func (c *Core) withdraw(t *taskState, rack string) {
	c.pendingWithdrawals[rack] = append(c.pendingWithdrawals[rack], t.task.ID)
}

// withdrawOthers withdraws the offers of a task from all racks except keep, and clears its list of racks. Callers hold c.mu.
func (c *Core) withdrawOthers(t *taskState, keep string) {
	for _, rack := range t.offeredRacks {
		if rack != keep {
			c.withdraw(t, rack)
		}
	}
	t.offeredRacks = t.offeredRacks[:0]
}

// drainWithdrawals returns and clears the pending withdrawals, one effect per rack. Callers hold c.mu.
func (c *Core) drainWithdrawals() []Effect {
	effects := make([]Effect, 0, len(c.pendingWithdrawals))
	for rack, ids := range c.pendingWithdrawals {
		effects = append(effects, WithdrawTasks{Rack: rack, Tasks: ids})
		delete(c.pendingWithdrawals, rack)
	}
	sort.Slice(effects, func(i, j int) bool { return effects[i].(WithdrawTasks).Rack < effects[j].(WithdrawTasks).Rack })
	return effects
}

// chooseRacks returns the racks for the next offer of a task. The first offer goes to the planned rack if there is one; each
// other offer goes to the better of two random racks that does not have the task queued yet. A task that is offered to
// MaxOfferedRacks already is offered to another rack only if that rack seems idle. Tasks of a service are spread over
// availability zones instead. Callers hold c.mu.
func (c *Core) chooseRacks(t *taskState) []string {
	if t.offerCount == 0 && t.preferredRack != "" {
		if _, ok := c.rackZones[t.preferredRack]; ok {
			return []string{t.preferredRack}
		}
	}
	if len(c.racks) == 0 {
		return nil
	}
	if t.task.Kind == model.KindService && len(c.zones) > 1 {
		return c.spreadRacks(t)
	}
	demand := Demand(t.effectiveTask())
	for range maxRackSamples {
		r := c.betterOfTwo(demand)
		idle := r.QueuedOffers == 0 && demand.Fits(r.LargestFree)
		if !slices.Contains(t.offeredRacks, r.Rack) && (idle || len(t.offeredRacks) < c.policy.MaxOfferedRacks) {
			return []string{r.Rack}
		}
	}
	return nil
}

// maxRackSamples bounds the random search for a rack that does not have a task queued yet.
const maxRackSamples = 4

// betterOfTwo returns the rack with the higher score of two random racks (power of two choices). Callers hold c.mu.
func (c *Core) betterOfTwo(demand model.Resources) *RackView {
	a, b := &c.racks[c.rng.IntN(len(c.racks))], &c.racks[c.rng.IntN(len(c.racks))]
	if b.score(demand) > a.score(demand) {
		a = b
	}
	return a
}

// score rates a rack for a demand: a rack in which the demand fits scores above any other, then the free CPU per queued
// offer counts, weighted by the age of the view.
func (r *RackView) score(demand model.Resources) float64 {
	s := float64(max(r.Free.CPUMilli, 0)) / float64(1+r.QueuedOffers)
	s *= float64(halfWeightAge) / float64(halfWeightAge+max(0, r.Age))
	if demand.Fits(r.LargestFree) {
		return 1e12 + s
	}
	return s
}

// spreadRacks returns racks for a task of a service. The availability zones are tried in turn, starting from one that
// follows from the task's index and the number of its offers; zones that have their share of tasks are skipped. Callers
// hold c.mu.
func (c *Core) spreadRacks(t *taskState) []string {
	for i := range c.zones {
		zone := c.zones[(t.indexInRun+t.offerCount+i)%len(c.zones)]
		if !c.zoneBelowLimit(t, zone) {
			continue
		}
		racks := c.zoneRacks[zone]
		first := (t.indexInRun/len(c.zones) + t.offerCount) % len(racks)
		if t.offerCount == 0 {
			return []string{racks[first]}
		}
		other := racks[c.rng.IntN(len(racks))]
		if other == racks[first] {
			return []string{other}
		}
		return []string{racks[first], other}
	}
	return nil
}

// zoneBelowLimit reports whether an availability zone may run one more task of a service. For the first EvenSpreadOffers
// offers of a task each zone is limited to an even share, so that the loss of a zone affects only that share; after that a
// zone may run all tasks but one. Callers hold c.mu.
func (c *Core) zoneBelowLimit(t *taskState, zone string) bool {
	n := t.intent.intent.Spec.Tasks
	if len(c.zones) < 2 || n < 2 {
		return true
	}
	limit := (n + len(c.zones) - 1) / len(c.zones)
	if t.offerCount > c.policy.EvenSpreadOffers {
		limit = n - 1
	}
	return t.intent.grantedPerZone[zone] < limit
}

// OffersRefused handles offers that a rack did not queue, or whose reply was lost. Tasks that no other rack has queued are
// offered again after at most noRackRetryDelay.
func (c *Core) OffersRefused(now time.Time, rack string, ids []model.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		t := c.tasks[id]
		if t == nil {
			continue
		}
		c.removeOfferedRack(now, t, rack)
	}
}

// removeOfferedRack records that a rack does not have a task queued. If no other rack has it queued, its next offer is made
// after at most noRackRetryDelay. Callers hold c.mu.
func (c *Core) removeOfferedRack(now time.Time, t *taskState, rack string) {
	t.offeredRacks = slices.DeleteFunc(t.offeredRacks, func(r string) bool { return r == rack })
	if t.phase == phaseWaiting && t.offer.queue != nil && len(t.offeredRacks) == 0 && t.offer.due.After(now.Add(noRackRetryDelay)) {
		c.offers.push(t, now.Add(noRackRetryDelay))
	}
}

// Demand returns the capacity that a task occupies, which includes at least one slot.
func Demand(task model.Task) model.Resources { return task.Demand() }

// offerBatch collects offers by rack.
type offerBatch struct {
	byRack map[string][]OfferTasks
}

// add appends a task to the offer for rack with the same victims, or to a new offer.
func (b *offerBatch) add(rack string, task model.Task, victims []model.TaskID) {
	if b.byRack == nil {
		b.byRack = map[string][]OfferTasks{}
	}
	offers := b.byRack[rack]
	for i := range offers {
		if slices.Equal(offers[i].Victims, victims) {
			offers[i].Tasks = append(offers[i].Tasks, task)
			return
		}
	}
	b.byRack[rack] = append(offers, OfferTasks{Rack: rack, Tasks: []model.Task{task}, Victims: victims})
}

// maxOfferBytes bounds the total payload size of one offer message, which is sent in one frame.
const maxOfferBytes = 512 << 10

// tasksPerMessage returns how many of the tasks go into one message: at least one, and otherwise at most limit and no more
// than fit maxOfferBytes.
func tasksPerMessage(tasks []model.Task, limit int) int {
	bytes := 0
	for n, t := range tasks {
		bytes += len(t.Payload)
		if n == limit || (n > 0 && bytes > maxOfferBytes) {
			return n
		}
	}
	return len(tasks)
}

// effects returns the collected offers, sorted by rack and split into messages of at most limit tasks.
func (b *offerBatch) effects(limit int) []Effect {
	racks := make([]string, 0, len(b.byRack))
	for rack := range b.byRack {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	var effects []Effect
	for _, rack := range racks {
		for _, o := range b.byRack[rack] {
			for len(o.Tasks) > 0 {
				n := tasksPerMessage(o.Tasks, limit)
				effects = append(effects, OfferTasks{Rack: rack, Tasks: o.Tasks[:n:n], Victims: o.Victims})
				o.Tasks = o.Tasks[n:]
			}
		}
	}
	return effects
}
