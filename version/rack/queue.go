package rack

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// teamKey identifies a team of an account.
type teamKey struct{ account, team string }

// shapeKey groups demands of similar size, so that the number of groups stays small even if many sizes are declared.
type shapeKey struct {
	cpu, memory, accelerators, slots, connections int8
	acceleratorType                               string
}

// shapeOf returns the shape of a demand.
func shapeOf(d model.Resources) shapeKey {
	k := shapeKey{
		cpu: int8(indexLevel(d.CPUMilli)), memory: int8(indexLevel(d.MemoryMiB)),
		// Counts are scaled so that small counts have different levels.
		accelerators: int8(indexLevel(d.Accelerators << indexMinBits)), slots: int8(indexLevel(d.Slots << indexMinBits)),
		connections: int8(indexLevel(d.Connections << indexMinBits)),
	}
	if d.Accelerators > 0 {
		k.acceleratorType = d.AcceleratorType
	}
	return k
}

// queuedOffer is an offer in a queue.
type queuedOffer struct {
	Offer
	queuedAt time.Time
	sequence uint64
	// queue is the queue that holds the offer: that of its class, or the overdue queue.
	queue   *classQueue
	class   model.Class
	group   *offerGroup
	element *list.Element
	// dueIndex is the index in the heap of latest start times, or -1.
	dueIndex int
	// displacing is set once the offer was added to Core.displacingOffers.
	displacing bool
	// shortDemand is the part of Core.queuedShortDemand that belongs to the offer.
	shortDemand model.Resources
}

// offerGroup holds the offers of one team with the same demand shape, in order of arrival.
type offerGroup struct {
	team   *teamQueue
	shape  shapeKey
	offers *list.List
	// blockedElement is the group's element in the list of blocked groups; nil while the group is active.
	blockedElement *list.Element
	blockedReason  Reason
}

func (g *offerGroup) head() *queuedOffer { return g.offers.Front().Value.(*queuedOffer) }

// teamQueue holds the offers and the usage of one team in one queue.
type teamQueue struct {
	key    teamKey
	queue  *classQueue
	weight float64
	groups map[shapeKey]*offerGroup
	// active are the groups that are not blocked.
	active []*offerGroup
	used   model.Resources
	// weightedShare is the dominant share of the usage, divided by the weight.
	weightedShare float64
	// heapIndex is the index in the queue's heap; -1 while no group is active.
	heapIndex    int
	runningTasks int
}

// oldestGroup returns the active group with the oldest first offer.
func (t *teamQueue) oldestGroup() *offerGroup {
	best := t.active[0]
	for _, g := range t.active[1:] {
		if g.head().sequence < best.head().sequence {
			best = g
		}
	}
	return best
}

// classQueue holds the offers of one class: teams in order of their weighted share, each with groups by demand shape.
// It is protected by the lock of its core.
type classQueue struct {
	// class is the class of the queue; NumClasses for the overdue queue.
	class  model.Class
	teams  map[teamKey]*teamQueue
	active teamHeap
	// blocked are the groups whose first offer fitted nowhere or exceeded a limit.
	blocked *list.List
	// recheck is the number of blocked groups that have to be examined again because capacity was released.
	recheck int
	used    model.Resources
}

func newClassQueue(class model.Class) *classQueue {
	return &classQueue{class: class, teams: map[teamKey]*teamQueue{}, blocked: list.New()}
}

// getOrCreateTeam returns the queue of a team.
func (q *classQueue) getOrCreateTeam(key teamKey, policy *Policy) *teamQueue {
	t := q.teams[key]
	if t == nil {
		t = &teamQueue{
			key: key, queue: q, weight: policy.teamWeight(key.team), groups: map[shapeKey]*offerGroup{}, heapIndex: -1,
		}
		q.teams[key] = t
	}
	return t
}

// removeIdleTeam removes a team if it has neither offers nor running tasks.
func (q *classQueue) removeIdleTeam(t *teamQueue) {
	if len(t.groups) == 0 && t.runningTasks == 0 {
		delete(q.teams, t.key)
	}
}

// add appends an offer to the group of its team and demand shape.
func (q *classQueue) add(o *queuedOffer, demand model.Resources, policy *Policy) {
	t := q.getOrCreateTeam(teamKey{o.Task.Account, o.Task.Team}, policy)
	shape := shapeOf(demand)
	g := t.groups[shape]
	if g == nil {
		g = &offerGroup{team: t, shape: shape, offers: list.New()}
		t.groups[shape] = g
	}
	o.queue, o.group = q, g
	o.element = g.offers.PushBack(o)
	if g.offers.Len() == 1 {
		q.activate(g)
	}
}

// remove removes an offer from its group, and the group if it becomes empty.
func (q *classQueue) remove(o *queuedOffer) {
	g := o.group
	wasHead := g.offers.Front() == o.element
	g.offers.Remove(o.element)
	o.group, o.element = nil, nil
	switch {
	case g.offers.Len() == 0:
		q.removeGroup(g)
	case wasHead && g.blockedElement != nil:
		// The next offer of the group may be smaller.
		q.unblock(g)
	case wasHead:
		q.active.fix(g.team)
	}
}

func (q *classQueue) removeGroup(g *offerGroup) {
	q.removeBlocked(g)
	q.deactivate(g)
	delete(g.team.groups, g.shape)
	q.removeIdleTeam(g.team)
}

// activate makes a group eligible for placement.
func (q *classQueue) activate(g *offerGroup) {
	t := g.team
	t.active = append(t.active, g)
	if t.heapIndex < 0 {
		heap.Push(&q.active, t)
		return
	}
	q.active.fix(t)
}

func (q *classQueue) deactivate(g *offerGroup) {
	t := g.team
	for i, a := range t.active {
		if a == g {
			t.active[i] = t.active[len(t.active)-1]
			t.active = t.active[:len(t.active)-1]
			break
		}
	}
	if len(t.active) == 0 && t.heapIndex >= 0 {
		heap.Remove(&q.active, t.heapIndex)
		return
	}
	q.active.fix(t)
}

// block deactivates a group whose first offer cannot be placed now.
func (q *classQueue) block(g *offerGroup, reason Reason) {
	q.deactivate(g)
	g.blockedReason = reason
	g.blockedElement = q.blocked.PushBack(g)
}

func (q *classQueue) unblock(g *offerGroup) {
	q.removeBlocked(g)
	q.activate(g)
}

func (q *classQueue) removeBlocked(g *offerGroup) {
	if g.blockedElement != nil {
		q.blocked.Remove(g.blockedElement)
		g.blockedElement = nil
		q.recheck = min(q.recheck, q.blocked.Len())
	}
}

// charge adds the demand of a task to the usage of a team and its queue, or subtracts it if sign is negative.
func (t *teamQueue) charge(d model.Resources, sign int, total model.Resources) {
	if sign > 0 {
		t.used, t.queue.used = t.used.Add(d), t.queue.used.Add(d)
	} else {
		t.used, t.queue.used = t.used.Sub(d), t.queue.used.Sub(d)
	}
	t.weightedShare = t.used.DominantShare(total) / t.weight
	t.queue.active.fix(t)
}

// teamHeap orders teams by weighted share.
type teamHeap []*teamQueue

// fix restores the heap order after the share or the oldest offer of a team has changed.
func (h *teamHeap) fix(t *teamQueue) {
	if t.heapIndex >= 0 {
		heap.Fix(h, t.heapIndex)
	}
}

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].oldestGroup().head().sequence < h[j].oldestGroup().head().sequence
}
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.heapIndex = -1
	return t
}

// dueHeap orders queued offers by latest start time.
type dueHeap []*queuedOffer

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].Task.LatestStart.Before(h[j].Task.LatestStart) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}
func (h *dueHeap) Push(x any) {
	o := x.(*queuedOffer)
	o.dueIndex = len(*h)
	*h = append(*h, o)
}
func (h *dueHeap) Pop() any {
	old := *h
	o := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	o.dueIndex = -1
	return o
}
