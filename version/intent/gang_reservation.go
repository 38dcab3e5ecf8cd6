package intent

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// fitsBehindOlderGangs reports whether the racks seem to have capacity for a gang and for the older gangs that wait. Callers
// hold c.mu.
func (c *Core) fitsBehindOlderGangs(g *gangState) bool {
	need := int64(len(g.openMembers()))
	if c.oldestOtherGang.IsOlderThan(g.age()) {
		need += int64(c.oldestOtherGang.MissingMembers)
	}
	for _, other := range c.gangs {
		if age := other.age(); other.isWaiting() && other.admitted() && age.IsOlderThan(g.age()) {
			need += int64(age.MissingMembers)
		}
	}
	demand := Demand(g.openMembers()[0].effectiveTask())
	for _, r := range c.racks {
		need -= tasksThatFitRack(r, demand)
	}
	return need <= 0
}

// gangRacks returns the racks from which a gang requests reservations, in ascending order. The oldest gang requests them
// from all racks that seem to have capacity and from those whose reservations must be renewed. Other gangs request them
// from as many racks as their last known free capacity requires, those with the most capacity first. A gang that displaces
// other work requests them from all racks. Callers hold c.mu.
func (c *Core) gangRacks(now time.Time, g *gangState) []string {
	open := g.openMembers()
	demand := Demand(open[0].effectiveTask())
	if len(open[0].victims) > 0 {
		return rackNames(c.racks)
	}
	racks := slices.Clone(c.racks)
	if c.isOldest(g) {
		return rackNames(slices.DeleteFunc(racks, func(r RackView) bool {
			requestedAt, ok := g.requestedAt[r.Rack]
			renew := ok && now.Sub(requestedAt) >= c.policy.GangReservationTTL/3
			return !renew && tasksThatFitRack(r, demand) == 0
		}))
	}
	fitting := func(r RackView) int64 { return tasksThatFitRack(r, demand) }
	sort.SliceStable(racks, func(i, j int) bool { return fitting(racks[i]) > fitting(racks[j]) })
	// Half more than needed, since the view lags and the free capacity is split between workers.
	need := int64(len(open)) * 3 / 2
	n := 0
	for n < len(racks) && need > 0 && fitting(racks[n]) > 0 {
		need -= fitting(racks[n])
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

// tasksThatFitRack estimates how many tasks with the given demand fit a rack.
func tasksThatFitRack(r RackView, demand model.Resources) int64 {
	if !demand.Fits(r.LargestFree) {
		return 0
	}
	free := r.Free
	free.AcceleratorType = r.LargestFree.AcceleratorType
	return TasksThatFit(free, demand)
}

// TasksThatFit returns how many tasks with the given demand fit the free capacity.
func TasksThatFit(free, demand model.Resources) int64 {
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

// reserveNextRack requests reservations from the next rack: new ones for members without a reservation, and renewals of
// those that the rack has. When there is no rack left, the gang commits or its partial reservation is handled. Callers hold
// c.mu.
func (c *Core) reserveNextRack(now time.Time, g *gangState) []Effect {
	var missing []*taskState
	for _, m := range g.openMembers() {
		if g.reservedRack[m] == "" {
			missing = append(missing, m)
		}
	}
	for g.nextRackIndex < len(g.racksToRequest) {
		rack := g.racksToRequest[g.nextRackIndex]
		var tasks []*taskState
		for _, m := range g.openMembers() {
			if g.reservedRack[m] == rack {
				tasks = append(tasks, m)
			}
		}
		tasks = append(tasks, membersForOneMessage(missing)...)
		if len(tasks) == 0 {
			g.nextRackIndex++
			continue
		}
		g.nextRackIndex++
		g.requestedAt[rack] = now
		return []Effect{c.reservationEffect(g, rack, tasks)}
	}
	if len(missing) > 0 {
		return c.handlePartialReservation(now, g, len(missing))
	}
	g.phase, g.reason = gangCommitting, ""
	return []Effect{CommitGang{ID: g.intent.intent.ID, ReservationID: g.reservationID}}
}

// maxReservationBytes bounds the total payload size of the new members in one reservation request, which is sent in one frame
// together with the members whose reservations it renews.
const maxReservationBytes = 4 << 20

// membersForOneMessage returns as many of the missing members as maxReservationBytes allows; reservations for the rest are
// requested from other racks or in later passes.
func membersForOneMessage(missing []*taskState) []*taskState {
	bytes := 0
	for n, m := range missing {
		if bytes += len(m.task.Payload); bytes > maxReservationBytes {
			return missing[:n]
		}
	}
	return missing
}

// reservationEffect returns the effect that requests or renews reservations for tasks at a rack. Callers hold c.mu.
func (c *Core) reservationEffect(g *gangState, rack string, tasks []*taskState) Effect {
	e := ReserveGang{Rack: rack, ReservationID: g.reservationID, TTL: c.policy.GangReservationTTL, Victims: tasks[0].victims}
	for _, m := range tasks {
		e.Tasks = append(e.Tasks, m.effectiveTask())
	}
	return e
}

// handlePartialReservation retains the partial reservation of the oldest gang, for at most MaxGangReservation, and releases
// that of any other gang. Callers hold c.mu.
func (c *Core) handlePartialReservation(now time.Time, g *gangState, missing int) []Effect {
	reason := fmt.Sprintf("%d of %d members did not fit", missing, len(g.openMembers()))
	if !c.isOldest(g) {
		return c.backOffGang(now, g, reason)
	}
	if g.retainingSince.IsZero() {
		g.retainingSince = now
	}
	if now.Sub(g.retainingSince) > c.policy.MaxGangReservation {
		g.yieldedAt, g.retainingSince = now, time.Time{}
		return c.backOffGang(now, g, reason+"; gave up its start reservation")
	}
	g.phase, g.reason = gangPartlyReserved, reason
	g.notBefore = now.Add(c.policy.GangReservationRetry)
	return nil
}

// releaseReservations releases the reservation at all racks from which it was requested, in ascending order. Callers hold
// c.mu.
func (c *Core) releaseReservations(g *gangState) []Effect {
	racks := make([]string, 0, len(g.requestedAt))
	for rack := range g.requestedAt {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	effects := make([]Effect, 0, len(racks))
	for _, rack := range racks {
		effects = append(effects, ReleaseGang{Rack: rack, ReservationID: g.reservationID})
	}
	g.requestedAt = nil
	return effects
}

// ReserveGangResult handles the reply of a rack to a reservation request. placements is empty if the rack reserved nothing
// or did not reply.
func (c *Core) ReserveGangResult(now time.Time, id, reservationID, rack string, rackEpoch uint64, placements []model.Placement) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.reservationID != reservationID {
		return []Effect{ReleaseGang{Rack: rack, ReservationID: reservationID}}
	}
	if g.phase != gangReserving || g.nextRackIndex == 0 || g.racksToRequest[g.nextRackIndex-1] != rack {
		return nil
	}
	placed := make(map[model.TaskID]bool, len(placements))
	for _, p := range placements {
		placed[p.Task] = !p.MustWait
	}
	for _, m := range g.openMembers() {
		switch {
		case placed[m.task.ID] && g.reservedRack[m] == "":
			g.reservedRack[m] = rack
		case !placed[m.task.ID] && g.reservedRack[m] == rack:
			delete(g.reservedRack, m)
		}
	}
	g.rackEpochs[rack] = rackEpoch
	return c.reserveNextRack(now, g)
}
