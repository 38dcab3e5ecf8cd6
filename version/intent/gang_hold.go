package intent

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// roomBehindOlder reports whether the racks seem to have room for a gang and for the older ones that wait. Callers hold
// c.mu.
func (c *Core) roomBehindOlder(g *gangState) bool {
	need := int64(len(g.open()))
	if c.olderGang.Older(g.age()) {
		need += int64(c.olderGang.Missing)
	}
	for _, other := range c.gangs {
		if age := other.age(); other.waits() && other.admitted() && age.Older(g.age()) {
			need += int64(age.Missing)
		}
	}
	demand := Demand(g.open()[0].current())
	for _, r := range c.racks {
		need -= roomFor(r, demand)
	}
	return need <= 0
}

// gangRacks returns the racks to ask, in ascending order. The oldest gang asks all racks that seem to have room, and those
// whose holds are to be renewed; others ask as many as are needed by the free capacity as last seen, those with the most
// room first. A gang that displaces other work asks all racks. Callers hold c.mu.
func (c *Core) gangRacks(now time.Time, g *gangState) []string {
	open := g.open()
	demand := Demand(open[0].current())
	if len(open[0].victims) > 0 {
		return rackNames(c.racks)
	}
	racks := slices.Clone(c.racks)
	if c.isOldest(g) {
		return rackNames(slices.DeleteFunc(racks, func(r RackView) bool {
			asked, ok := g.asked[r.Rack]
			renew := ok && now.Sub(asked) >= c.policy.HoldTerm/3
			return !renew && roomFor(r, demand) == 0
		}))
	}
	room := func(r RackView) int64 { return roomFor(r, demand) }
	sort.SliceStable(racks, func(i, j int) bool { return room(racks[i]) > room(racks[j]) })
	// Half more than needed, since the view lags and free capacity is split between workers.
	need := int64(len(open)) * 3 / 2
	n := 0
	for n < len(racks) && need > 0 && room(racks[n]) > 0 {
		need -= room(racks[n])
		n++
	}
	return rackNames(racks[:n])
}

// rackNames returns the names of racks, sorted.
func rackNames(racks []RackView) []string {
	names := make([]string, len(racks))
	for i, r := range racks {
		names[i] = r.Rack
	}
	sort.Strings(names)
	return names
}

// roomFor estimates how many tasks of a demand fit a rack.
func roomFor(r RackView, demand model.Resources) int64 {
	if !demand.Fits(r.Largest) {
		return 0
	}
	free := r.Free
	free.AcceleratorType = r.Largest.AcceleratorType
	return RoomFor(free, demand)
}

// RoomFor returns how many tasks of a demand fit into a free capacity.
func RoomFor(free, demand model.Resources) int64 {
	if !demand.Fits(free) {
		return 0
	}
	n := int64(model.MaxTasks)
	limit := func(free, each int64) {
		if each > 0 {
			n = min(n, free/each)
		}
	}
	limit(free.CPUMilli, demand.CPUMilli)
	limit(free.MemoryMiB, demand.MemoryMiB)
	limit(free.Accelerators, demand.Accelerators)
	limit(free.Slots, demand.Slots)
	limit(free.Connections, demand.Connections)
	return n
}

// holdNext asks the next rack for the members that are not held. Callers hold c.mu.
func (c *Core) holdNext(now time.Time, g *gangState) []Effect {
	var missing []*taskState
	for _, m := range g.open() {
		if g.held[m] == "" {
			missing = append(missing, m)
		}
	}
	for g.next < len(g.order) {
		rack := g.order[g.next]
		var tasks []*taskState
		for _, m := range g.open() {
			if g.held[m] == rack {
				tasks = append(tasks, m)
			}
		}
		tasks = append(tasks, askable(missing)...)
		if len(tasks) == 0 {
			g.next++
			continue
		}
		g.next++
		g.asked[rack] = now
		return []Effect{c.holdEffect(g, rack, tasks)}
	}
	if len(missing) > 0 {
		return c.holdFailed(now, g, len(missing))
	}
	g.phase, g.reason = gangCommitting, ""
	return []Effect{CommitGang{ID: g.intent.intent.ID, Hold: g.hold}}
}

// maxHoldBytes bounds the payloads of one hold message, which travels in one frame.
const maxHoldBytes = 4 << 20

// askable returns as many of the missing members as fit one message; other racks and later passes are asked for the rest.
func askable(missing []*taskState) []*taskState {
	bytes := 0
	for n, m := range missing {
		if bytes += len(m.task.Payload); bytes > maxHoldBytes {
			return missing[:n]
		}
	}
	return missing
}

func (c *Core) holdEffect(g *gangState, rack string, tasks []*taskState) Effect {
	e := HoldTasks{Rack: rack, Hold: g.hold, Term: c.policy.HoldTerm, Victims: tasks[0].victims}
	for _, m := range tasks {
		e.Tasks = append(e.Tasks, m.current())
	}
	return e
}

// holdFailed keeps the holds of the oldest gang and releases those of others. Callers hold c.mu.
func (c *Core) holdFailed(now time.Time, g *gangState, missing int) []Effect {
	reason := fmt.Sprintf("%d of %d members did not fit", missing, len(g.open()))
	if !c.isOldest(g) {
		return c.gangBacksOff(now, g, reason)
	}
	if g.oldestSince.IsZero() {
		g.oldestSince = now
	}
	if now.Sub(g.oldestSince) > c.policy.MaxReservation {
		g.yielded, g.oldestSince = now, time.Time{}
		return c.gangBacksOff(now, g, reason+"; gave up its start reservation")
	}
	g.phase, g.reason = gangReserved, reason
	g.notBefore = now.Add(c.policy.ReserveRetry)
	return nil
}

// releaseHolds releases the holds at all racks that were asked, in ascending order. Callers hold c.mu.
func (c *Core) releaseHolds(g *gangState) []Effect {
	racks := make([]string, 0, len(g.asked))
	for rack := range g.asked {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	effects := make([]Effect, 0, len(racks))
	for _, rack := range racks {
		effects = append(effects, ReleaseHold{Rack: rack, Hold: g.hold})
	}
	g.asked = nil
	return effects
}

// HoldAnswered takes the answer of a rack to a hold. placements is empty when the rack holds nothing or did not answer.
func (c *Core) HoldAnswered(now time.Time, id, hold, rack string, rackEpoch uint64, placements []model.Placement) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.hold != hold {
		return []Effect{ReleaseHold{Rack: rack, Hold: hold}}
	}
	if g.phase != gangHolding || g.next == 0 || g.order[g.next-1] != rack {
		return nil
	}
	placed := make(map[model.TaskID]bool, len(placements))
	for _, p := range placements {
		placed[p.Task] = !p.Waits
	}
	for _, m := range g.open() {
		switch {
		case placed[m.task.ID] && g.held[m] == "":
			g.held[m] = rack
		case !placed[m.task.ID] && g.held[m] == rack:
			delete(g.held, m)
		}
	}
	g.epochs[rack] = rackEpoch
	return c.holdNext(now, g)
}
