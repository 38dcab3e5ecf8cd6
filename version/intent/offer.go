package intent

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// RackView is what an intent owner knows of a rack; it lags behind the rack's ledger.
type RackView struct {
	Rack, Zone string
	Epoch      uint64
	// Free is the free capacity of the rack, Largest that of the worker with the most free processor time.
	Free, Largest model.Resources
	// Queued counts the offers in the rack's queues.
	Queued int
	// Age is the time since the rack's owner was heard of.
	Age time.Duration
}

// halfWeightAge is the age at which the free capacity of a rack counts half when racks are compared. Whether a task fits is
// judged by the last known capacity, since an unchanged rack is heard of less often.
const halfWeightAge = 10 * time.Second

// SetRacks replaces the view of the racks that can be reached. The caller does not change the slice afterwards. A rack
// with a new owner has lost its queue, so its offers are made again.
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

// reofferAfterOwnerChange makes the offers of racks with a new owner again. It looks at all waiting tasks, which is rare: a rack changes
// its owner when an instance comes or goes. Callers hold c.mu.
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

// offerEntry is the place of a task in a queue of offers.
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

// offerQueues holds waiting tasks. First offers are made when due; repeated ones at a bounded rate, by class.
type offerQueues struct {
	initial    offerHeap
	repeated   [model.NumClasses]offerHeap
	repeatRate float64
	// repeatTokens are the repeated offers that may be made now.
	repeatTokens float64
	refilledAt   time.Time
}

func newOfferQueues(rate float64) offerQueues {
	return offerQueues{repeatRate: rate, repeatTokens: rate}
}

// refill adds the tokens for the time passed, up to one second's worth.
func (q *offerQueues) refill(now time.Time) {
	if !q.refilledAt.IsZero() {
		q.repeatTokens = min(q.repeatRate, q.repeatTokens+q.repeatRate*now.Sub(q.refilledAt).Seconds())
	}
	q.refilledAt = now
}

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

// next removes and returns a task whose offer is due, or nil.
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

// offersPerRefresh is after how many offers all racks are sent the task again.
const offersPerRefresh = 8

// noRackRetryDelay is the time after which a task is offered again that found no rack.
const noRackRetryDelay = 500 * time.Millisecond

// dispatch offers the tasks that are due, in one message for each rack and set of victims. Callers hold c.mu.
func (c *Core) dispatch(now time.Time) []Effect {
	c.offers.refill(now)
	var b offerBatch
	for t := c.offers.next(now); t != nil; t = c.offers.next(now) {
		c.offerTask(now, t, &b)
	}
	return b.effects(c.policy.OfferBatch)
}

// offerTask adds the offers of one task to a batch and schedules the next ones. A rack that has the task queued already is
// not sent it again. Callers hold c.mu.
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
	newHints := task.RunTimeMS != t.offeredRunTimeMS || task.Each != t.offeredEach
	if len(t.offeredRacks) > 0 && (newHints || t.offerCount%offersPerRefresh == 0) {
		// The racks decide by the hints, so they get the newer ones. Now and then all offers are repeated, since a withdrawal
		// that arrives late can remove a newer offer. A repeated offer keeps its place in the queue.
		for _, rack := range t.offeredRacks {
			b.add(rack, task, t.victims)
		}
	}
	t.offeredRunTimeMS, t.offeredEach = task.RunTimeMS, task.Each
	for _, rack := range racks {
		if !slices.Contains(t.offeredRacks, rack) {
			b.add(rack, task, t.victims)
			t.offeredRacks = append(t.offeredRacks, rack)
		}
	}
	c.limitOfferedRacks(t)
	limit := c.policy.MaxOfferTTL
	if t.task.Class <= model.ClassShort {
		limit = c.policy.OfferTerm
	}
	term := backoff(c.policy.OfferTerm, limit, t.offerCount)
	t.offerCount++
	c.offers.push(t, now.Add(term))
}

// limitOfferedRacks withdraws offers of a task beyond the allowed number of racks. The first one is kept, where the task has
// waited longest. Callers hold c.mu.
func (c *Core) limitOfferedRacks(t *taskState) {
	for len(t.offeredRacks) > max(c.policy.MaxOfferedRacks, 2) {
		c.withdraw(t, t.offeredRacks[1])
		t.offeredRacks = slices.Delete(t.offeredRacks, 1, 2)
	}
}

func (c *Core) withdraw(t *taskState, rack string) {
	c.pendingWithdrawals[rack] = append(c.pendingWithdrawals[rack], t.task.ID)
}

// withdrawOthers withdraws the offers of a task from all racks but one. Callers hold c.mu.
func (c *Core) withdrawOthers(t *taskState, keep string) {
	for _, rack := range t.offeredRacks {
		if rack != keep {
			c.withdraw(t, rack)
		}
	}
	t.offeredRacks = t.offeredRacks[:0]
}

// drainWithdrawals returns the collected withdrawals, one message for each rack. Callers hold c.mu.
func (c *Core) drainWithdrawals() []Effect {
	effects := make([]Effect, 0, len(c.pendingWithdrawals))
	for rack, ids := range c.pendingWithdrawals {
		effects = append(effects, WithdrawTasks{Rack: rack, Tasks: ids})
		delete(c.pendingWithdrawals, rack)
	}
	sort.Slice(effects, func(i, j int) bool { return effects[i].(WithdrawTasks).Rack < effects[j].(WithdrawTasks).Rack })
	return effects
}

// chooseRacks returns the racks for the next offer: first the planned rack, or the better of two random racks, and then
// one more with each repetition. A task that has its number of racks gets another one only if that one seems idle.
// Callers hold c.mu.
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
		idle := r.Queued == 0 && demand.Fits(r.Largest)
		if !slices.Contains(t.offeredRacks, r.Rack) && (idle || len(t.offeredRacks) < c.policy.MaxOfferedRacks) {
			return []string{r.Rack}
		}
	}
	return nil
}

// maxRackSamples bounds the search for a rack that does not have a task queued yet.
const maxRackSamples = 4

// betterOfTwo returns the better of two random racks. Callers hold c.mu.
func (c *Core) betterOfTwo(demand model.Resources) *RackView {
	a, b := &c.racks[c.rng.IntN(len(c.racks))], &c.racks[c.rng.IntN(len(c.racks))]
	if b.score(demand) > a.score(demand) {
		a = b
	}
	return a
}

// score rates a rack for a demand: one with room before one without, then by free processor time for each queued offer.
func (r *RackView) score(demand model.Resources) float64 {
	s := float64(max(r.Free.CPUMilli, 0)) / float64(1+r.Queued)
	s *= float64(halfWeightAge) / float64(halfWeightAge+max(0, r.Age))
	if demand.Fits(r.Largest) {
		return 1e12 + s
	}
	return s
}

// spreadRacks returns a rack of the availability zone whose turn it is for a task of a service. Callers hold c.mu.
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

// zoneBelowLimit reports whether a zone may take one more task of a service. At first each zone takes an even share, so that
// a lost zone takes only its share along; later no zone may take all tasks. Callers hold c.mu.
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

// Refused takes the answer to an offer that a rack did not queue, or whose answer was lost. The tasks are offered again
// soon.
func (c *Core) Refused(now time.Time, rack string, ids []model.TaskID) {
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

// removeOfferedRack notes that a rack does not have a task queued, and has it offered again soon if no other rack does.
// Callers hold c.mu.
func (c *Core) removeOfferedRack(now time.Time, t *taskState, rack string) {
	t.offeredRacks = slices.DeleteFunc(t.offeredRacks, func(r string) bool { return r == rack })
	if t.phase == phaseWaiting && t.offer.queue != nil && len(t.offeredRacks) == 0 && t.offer.due.After(now.Add(noRackRetryDelay)) {
		c.offers.push(t, now.Add(noRackRetryDelay))
	}
}

// Demand returns the capacity that a task takes; it takes at least one slot.
func Demand(task model.Task) model.Resources { return task.Demand() }

// offerBatch collects offers by rack.
type offerBatch struct {
	byRack map[string][]OfferTasks
}

// add appends a task to the rack's offer with the same victims.
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

// maxOfferBytes bounds the payloads of one offer message, which travels in one frame.
const maxOfferBytes = 512 << 10

// tasksPerMessage returns how many of tasks go into one message: at most limit, and at least one.
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

// effects returns the offers, each with at most limit tasks, sorted by rack.
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
