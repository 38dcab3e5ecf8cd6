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

// staleAge is the age at which the free capacity of a rack counts half when racks are compared. Whether a task fits is
// judged by the last known capacity, since an unchanged rack is heard of less often.
const staleAge = 10 * time.Second

// SetRacks replaces the view of the racks that can be reached. The caller does not change the slice afterwards. A rack
// with a new owner has lost its queue, so its offers are made again.
func (c *Core) SetRacks(now time.Time, racks []RackView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requeue(now, racks)
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

// requeue makes the offers of racks with a new owner again. It looks at all waiting tasks, which is rare: a rack changes
// its owner when an instance comes or goes. Callers hold c.mu.
func (c *Core) requeue(now time.Time, racks []RackView) {
	epochs := make(map[string]uint64, len(c.racks))
	for _, r := range c.racks {
		epochs[r.Rack] = r.Epoch
	}
	changed := map[string]bool{}
	for _, r := range racks {
		if old := epochs[r.Rack]; old > 0 && r.Epoch > old {
			changed[r.Rack] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	var lost []*taskState
	for class := range c.offers.again {
		for _, t := range c.offers.again[class] {
			before := len(t.offered)
			t.offered = slices.DeleteFunc(t.offered, func(r string) bool { return changed[r] })
			if len(t.offered) < before {
				lost = append(lost, t)
			}
		}
	}
	for _, t := range lost {
		t.tries = len(t.offered)
		c.offers.push(t, now)
	}
}

// offerEntry is the place of a task in a queue of offers.
type offerEntry struct {
	due   time.Time
	index int
	queue *offerHeap
}

// offerHeap orders tasks by the time of their next offer. It implements heap.Interface.
type offerHeap []*taskState

func (h offerHeap) Len() int           { return len(h) }
func (h offerHeap) Less(i, j int) bool { return h[i].offer.due.Before(h[j].offer.due) }
func (h offerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].offer.index, h[j].offer.index = i, j
}

// Push implements heap.Interface.
func (h *offerHeap) Push(x any) {
	t := x.(*taskState)
	t.offer.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *offerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.offer.index = -1
	return t
}

// offerQueues holds waiting tasks. First offers are made when due; repeated ones at a bounded rate, by class.
type offerQueues struct {
	first offerHeap
	again [model.NumClasses]offerHeap
	rate  float64
	// tokens are the repeated offers that may be made now.
	tokens   float64
	refilled time.Time
}

func newOfferQueues(rate float64) offerQueues { return offerQueues{rate: rate, tokens: rate} }

// refill adds the tokens for the time passed, up to one second's worth.
func (q *offerQueues) refill(now time.Time) {
	if !q.refilled.IsZero() {
		q.tokens = min(q.rate, q.tokens+q.rate*now.Sub(q.refilled).Seconds())
	}
	q.refilled = now
}

func (q *offerQueues) push(t *taskState, due time.Time) {
	q.remove(t)
	t.offer.due, t.offer.queue = due, &q.first
	if t.tries > 0 {
		t.offer.queue = &q.again[t.task.Class]
	}
	heap.Push(t.offer.queue, t)
}

func (q *offerQueues) remove(t *taskState) {
	if t.offer.index >= 0 && t.offer.queue != nil {
		heap.Remove(t.offer.queue, t.offer.index)
	}
	t.offer.queue = nil
}

// next removes and returns a task whose offer is due, or nil.
func (q *offerQueues) next(now time.Time) *taskState {
	if t := q.pop(&q.first, now); t != nil {
		return t
	}
	for class := range q.again {
		if q.tokens < 1 {
			return nil
		}
		if t := q.pop(&q.again[class], now); t != nil {
			q.tokens--
			return t
		}
	}
	return nil
}

func (q *offerQueues) pop(h *offerHeap, now time.Time) *taskState {
	if len(*h) == 0 || (*h)[0].offer.due.After(now) {
		return nil
	}
	t := heap.Pop(h).(*taskState)
	t.offer.queue = nil
	return t
}

// refreshTries is after how many offers all racks are sent the task again.
const refreshTries = 8

// noRackRetry is the time after which a task is offered again that found no rack.
const noRackRetry = 500 * time.Millisecond

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
	if len(racks) == 0 && len(t.offered) == 0 {
		c.offers.push(t, now.Add(noRackRetry))
		return
	}
	task := t.current()
	if !c.recharge(now, t, Demand(task)) {
		return
	}
	newHints := task.RunTimeMS != t.sentMS || task.Each != t.sentEach
	if len(t.offered) > 0 && (newHints || t.tries%refreshTries == 0) {
		// The racks decide by the hints, so they get the newer ones. Now and then all offers are repeated, since a withdrawal
		// that arrives late can remove a newer offer. A repeated offer keeps its place in the queue.
		for _, rack := range t.offered {
			b.add(rack, task, t.victims)
		}
	}
	t.sentMS, t.sentEach = task.RunTimeMS, task.Each
	for _, rack := range racks {
		if !slices.Contains(t.offered, rack) {
			b.add(rack, task, t.victims)
			t.offered = append(t.offered, rack)
		}
	}
	c.limitOffered(t)
	limit := c.policy.MaxOfferTerm
	if t.task.Class <= model.ClassShort {
		limit = c.policy.OfferTerm
	}
	term := backoff(c.policy.OfferTerm, limit, t.tries)
	t.tries++
	c.offers.push(t, now.Add(term))
}

// limitOffered withdraws offers of a task beyond the allowed number of racks. The first one is kept, where the task has
// waited longest. Callers hold c.mu.
func (c *Core) limitOffered(t *taskState) {
	for len(t.offered) > max(c.policy.MaxRacks, 2) {
		c.withdraw(t, t.offered[1])
		t.offered = slices.Delete(t.offered, 1, 2)
	}
}

func (c *Core) withdraw(t *taskState, rack string) {
	c.withdrawn[rack] = append(c.withdrawn[rack], t.task.ID)
}

// withdrawOthers withdraws the offers of a task from all racks but one. Callers hold c.mu.
func (c *Core) withdrawOthers(t *taskState, keep string) {
	for _, rack := range t.offered {
		if rack != keep {
			c.withdraw(t, rack)
		}
	}
	t.offered = t.offered[:0]
}

// withdrawals returns the collected withdrawals, one message for each rack. Callers hold c.mu.
func (c *Core) withdrawals() []Effect {
	effects := make([]Effect, 0, len(c.withdrawn))
	for rack, ids := range c.withdrawn {
		effects = append(effects, WithdrawTasks{Rack: rack, Tasks: ids})
		delete(c.withdrawn, rack)
	}
	sort.Slice(effects, func(i, j int) bool { return effects[i].(WithdrawTasks).Rack < effects[j].(WithdrawTasks).Rack })
	return effects
}

// chooseRacks returns the racks for the next offer: first the planned rack, or the better of two random racks, and then
// one more with each repetition. A task that has its number of racks gets another one only if that one seems idle.
// Callers hold c.mu.
func (c *Core) chooseRacks(t *taskState) []string {
	if t.tries == 0 && t.preferRack != "" {
		if _, ok := c.rackZones[t.preferRack]; ok {
			return []string{t.preferRack}
		}
	}
	if len(c.racks) == 0 {
		return nil
	}
	if t.task.Kind == model.KindService && len(c.zones) > 1 {
		return c.spreadRacks(t)
	}
	demand := Demand(t.current())
	for range pickTries {
		r := c.betterOfTwo(demand)
		idle := r.Queued == 0 && demand.Fits(r.Largest)
		if !slices.Contains(t.offered, r.Rack) && (idle || len(t.offered) < c.policy.MaxRacks) {
			return []string{r.Rack}
		}
	}
	return nil
}

// pickTries bounds the search for a rack that does not have a task queued yet.
const pickTries = 4

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
	s *= float64(staleAge) / float64(staleAge+max(0, r.Age))
	if demand.Fits(r.Largest) {
		return 1e12 + s
	}
	return s
}

// spreadRacks returns a rack of the availability zone whose turn it is for a task of a service. Callers hold c.mu.
func (c *Core) spreadRacks(t *taskState) []string {
	for i := range c.zones {
		zone := c.zones[(t.index+t.tries+i)%len(c.zones)]
		if !c.zoneHasRoom(t, zone) {
			continue
		}
		racks := c.zoneRacks[zone]
		first := (t.index/len(c.zones) + t.tries) % len(racks)
		if t.tries == 0 {
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

// zoneHasRoom reports whether a zone may take one more task of a service. At first each zone takes an even share, so that
// a lost zone takes only its share along; later no zone may take all tasks. Callers hold c.mu.
func (c *Core) zoneHasRoom(t *taskState, zone string) bool {
	n := t.intent.intent.Spec.Tasks
	if len(c.zones) < 2 || n < 2 {
		return true
	}
	limit := (n + len(c.zones) - 1) / len(c.zones)
	if t.tries > c.policy.SpreadTries {
		limit = n - 1
	}
	return t.intent.perZone[zone] < limit
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
		c.unqueued(now, t, rack)
	}
}

// unqueued notes that a rack does not have a task queued, and has it offered again soon if no other rack does.
// Callers hold c.mu.
func (c *Core) unqueued(now time.Time, t *taskState, rack string) {
	t.offered = slices.DeleteFunc(t.offered, func(r string) bool { return r == rack })
	if t.phase == phaseWaiting && t.offer.queue != nil && len(t.offered) == 0 && t.offer.due.After(now.Add(noRackRetry)) {
		c.offers.push(t, now.Add(noRackRetry))
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

// messageSize returns how many of tasks go into one message: at most limit, and at least one.
func messageSize(tasks []model.Task, limit int) int {
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
				n := messageSize(o.Tasks, limit)
				effects = append(effects, OfferTasks{Rack: rack, Tasks: o.Tasks[:n:n], Victims: o.Victims})
				o.Tasks = o.Tasks[n:]
			}
		}
	}
	return effects
}
