package intent

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// The start of a gang. Capacity for its members is reserved at the racks in ascending order of rack names; each reservation
// has a short TTL. When all members have reservations, one transaction records the start, and then every rack starts its
// members. A gang that cannot reserve capacity for all members releases everything and tries again after a random delay
// that grows, so that contending gangs do not repeat the same collision. The oldest waiting gang of the cell is the
// exception: it retains its partial reservation and adds to it, so that a large gang is not starved by smaller ones. Since
// only one gang retains reservations while it waits, gangs cannot deadlock.
//
// When a member does not start, expires, is preempted or fails, the other members that run are stopped, and all members
// that have not finished start together again. Finished members do not run a second time.

// gangPhase is the state of a gang.
type gangPhase uint8

const (
	// gangUnplaced: members may still run from an earlier epoch.
	gangUnplaced gangPhase = iota
	// gangWaiting: the gang has no reservations.
	gangWaiting
	// gangReserving: reservations are being requested from the racks.
	gangReserving
	// gangPartlyReserved: some members have reservations, which are retained until the other members fit too.
	gangPartlyReserved
	// gangCommitting: all members have reservations and the start is being recorded.
	gangCommitting
	// gangRunning: all members that have not ended are granted.
	gangRunning
	// gangStopping: the members that run are being stopped so that the gang starts again as a whole.
	gangStopping
)

var gangPhaseNames = [...]string{"unplaced", "waiting", "asking racks", "keeping a start reservation", "recording its start", "running", "stopping"}

// gangState is a gang that has members which have not ended.
type gangState struct {
	intent  *intentState
	members []*taskState
	phase   gangPhase
	// attemptNumber counts the reservation attempts; reservationID identifies the current one.
	attemptNumber int
	reservationID string
	// failedAttempts counts the attempts that failed and the stops of the gang; the backoff grows with it.
	failedAttempts int
	notBefore      time.Time
	racksToRequest []string
	nextRackIndex  int
	// requestedAt is when the reservation was last requested from each rack; rackEpochs are the rack epochs of the replies.
	requestedAt  map[string]time.Time
	rackEpochs   map[string]uint64
	reservedRack map[*taskState]string
	reason       string
	// retainingSince is when the gang began to retain a partial reservation; yieldedAt is when it last released one because
	// it had retained it for too long.
	retainingSince, yieldedAt time.Time
}

// GangAge orders the waiting gangs of all partitions by how long they have waited.
type GangAge struct {
	// WaitingSince is when the gang was confirmed, or when it last released a partial reservation that it had retained too
	// long.
	WaitingSince time.Time
	Intent       string
	// MissingMembers is the number of members without a reservation.
	MissingMembers int
}

// IsZero reports whether there is no gang.
func (a GangAge) IsZero() bool { return a.Intent == "" }

// IsOlderThan reports whether gang a is older than gang b. A zero GangAge is the youngest.
func (a GangAge) IsOlderThan(b GangAge) bool {
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	// Messages between partitions carry milliseconds, so finer differences must not matter.
	if x, y := a.WaitingSince.UnixMilli(), b.WaitingSince.UnixMilli(); x != y {
		return x < y
	}
	return a.Intent < b.Intent
}

// age returns the gang's position among the waiting gangs of the cell.
func (g *gangState) age() GangAge {
	since := g.intent.intent.ConfirmedAt
	if g.yieldedAt.After(since) {
		since = g.yieldedAt
	}
	return GangAge{WaitingSince: since, Intent: g.intent.intent.ID, MissingMembers: len(g.openMembers()) - len(g.reservedRack)}
}

// isWaiting reports whether the gang has not started and none of its members runs.
func (g *gangState) isWaiting() bool { return g.phase >= gangWaiting && g.phase <= gangCommitting }

// openMembers returns the members that have not ended.
func (g *gangState) openMembers() []*taskState {
	open := make([]*taskState, 0, len(g.members))
	for _, m := range g.members {
		if !m.ended() {
			open = append(open, m)
		}
	}
	return open
}

// addGang creates the gang of an intent from its tasks. Callers hold c.mu.
func (c *Core) addGang(st *intentState, members []*taskState) {
	g := &gangState{intent: st, members: slices.Clone(members)}
	st.gang = g
	for _, m := range members {
		m.gang = g
	}
	c.gangs[st.intent.ID] = g
}

// SetOldestOtherGang sets the oldest waiting gang of all other partitions; it is zero if there is none.
func (c *Core) SetOldestOtherGang(a GangAge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldestOtherGang = a
}

// OldestGang returns the oldest waiting gang of the partition that its quota admits; it is zero if there is none.
func (c *Core) OldestGang() GangAge {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.oldestGang()
}

// oldestGang returns the oldest waiting gang that is admitted. Callers hold c.mu.
func (c *Core) oldestGang() GangAge {
	var oldest GangAge
	for _, g := range c.gangs {
		if g.isWaiting() && g.admitted() && g.age().IsOlderThan(oldest) {
			oldest = g.age()
		}
	}
	return oldest
}

// isOldest reports whether a gang is the oldest waiting gang of the cell. Callers hold c.mu.
func (c *Core) isOldest(g *gangState) bool {
	return c.oldestGang().Intent == g.intent.intent.ID && !c.oldestOtherGang.IsOlderThan(g.age())
}

// admitted reports whether the quota admits all members that have not ended.
func (g *gangState) admitted() bool {
	for _, m := range g.members {
		if !m.ended() && !m.admitted {
			return false
		}
	}
	return true
}

// sortedGangs returns the gangs of the partition, the oldest first. Callers hold c.mu.
func (c *Core) sortedGangs() []*gangState {
	gangs := make([]*gangState, 0, len(c.gangs))
	for _, g := range c.gangs {
		gangs = append(gangs, g)
	}
	sort.Slice(gangs, func(i, j int) bool { return gangs[i].age().IsOlderThan(gangs[j].age()) })
	return gangs
}

// advanceGangs starts or continues the reservation attempts that are due, those of the oldest gangs first. Callers hold
// c.mu.
func (c *Core) advanceGangs(now time.Time) []Effect {
	var effects []Effect
	for _, g := range c.sortedGangs() {
		if now.Before(g.notBefore) {
			continue
		}
		switch g.phase {
		case gangWaiting:
			effects = append(effects, c.beginGangAttempt(now, g)...)
		case gangPartlyReserved:
			if !c.isOldest(g) {
				effects = append(effects, c.backOffGang(now, g, "an older gang waits")...)
				continue
			}
			g.phase = gangReserving
			g.racksToRequest, g.nextRackIndex = c.gangRacks(now, g), 0
			effects = append(effects, c.reserveNextRack(now, g)...)
		}
	}
	return effects
}

// beginGangAttempt begins a reservation attempt if the quota admits the gang and, unless it is the oldest gang, the racks
// seem to have capacity for it beside the gangs that have waited longer. Callers hold c.mu.
func (c *Core) beginGangAttempt(now time.Time, g *gangState) []Effect {
	open := g.openMembers()
	if len(open) == 0 {
		return nil
	}
	if !g.admitted() {
		g.reason = "the team's quota does not admit all members"
		if c.requestGangAdmission(now, g); !g.admitted() {
			return nil
		}
	}
	if !c.isOldest(g) && !c.fitsBehindOlderGangs(g) {
		g.reason = "there is no room for it next to the gangs that wait longer"
		c.setGangWaiting(now, g, time.Duration(c.rng.Int64N(int64(c.policy.GangReservationRetry)+1)))
		return nil
	}
	g.attemptNumber++
	g.reservationID = fmt.Sprintf("%s/%d/%d", g.intent.intent.ID, c.epoch, g.attemptNumber)
	g.phase = gangReserving
	g.requestedAt, g.rackEpochs, g.reservedRack = map[string]time.Time{}, map[string]uint64{}, map[*taskState]string{}
	g.racksToRequest, g.nextRackIndex = c.gangRacks(now, g), 0
	return c.reserveNextRack(now, g)
}

// requestGangAdmission requests the admission of all open members together. The existing charges are dropped first, since
// after a takeover only the members that ran are charged. Callers hold c.mu.
func (c *Core) requestGangAdmission(now time.Time, g *gangState) {
	open := g.openMembers()
	for _, m := range open {
		if m.pendingElem != nil {
			return
		}
	}
	for _, m := range open {
		c.uncharge(m)
	}
	c.requestAdmission(now, open[0])
}

// backOffGang releases all reservations of a gang; it tries again after a random delay. Callers hold c.mu.
func (c *Core) backOffGang(now time.Time, g *gangState, reason string) []Effect {
	wait := backoff(c.policy.GangBackoff, c.policy.MaxGangBackoff, g.failedAttempts)
	g.failedAttempts++
	g.reason = reason
	effects := c.releaseReservations(g)
	c.setGangWaiting(now, g, time.Duration(float64(wait)*(0.5+c.rng.Float64())))
	return effects
}

// setGangWaiting returns a gang to gangWaiting; its next attempt is due after wait. Callers hold c.mu.
func (c *Core) setGangWaiting(now time.Time, g *gangState, wait time.Duration) {
	g.phase, g.notBefore = gangWaiting, now.Add(wait)
	g.reservationID, g.reservedRack, g.requestedAt = "", nil, nil
}

// PrepareStart returns the intent row that records the start of a gang. ok is false if the reservation is no longer the
// gang's current one.
func (c *Core) PrepareStart(id, reservationID string) (in model.Intent, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.reservationID != reservationID || g.phase != gangCommitting {
		return model.Intent{}, false
	}
	in = g.intent.intent
	in.GangStarts++
	return in, true
}

// GangCommitted starts a gang at all racks once its start is recorded. If the start was not recorded, was recorded so late
// that a reservation may have expired, or a rack with reservations has a new owner, the start is abandoned before any
// member is started.
func (c *Core) GangCommitted(now time.Time, id, reservationID string, recorded bool) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.reservationID != reservationID || g.phase != gangCommitting || c.frozen {
		return nil
	}
	if !recorded {
		return c.backOffGang(now, g, "its start could not be recorded")
	}
	g.intent.intent.GangStarts++
	for _, rack := range g.reservedRack {
		if now.Sub(g.requestedAt[rack]) > c.policy.GangReservationTTL*3/4 {
			return c.backOffGang(now, g, "recording its start took too long")
		}
		if g.rackEpochs[rack] < c.rackEpochs[rack] {
			return c.backOffGang(now, g, "a rack that held members got a new owner")
		}
	}
	g.phase, g.retainingSince = gangRunning, time.Time{}
	byRack := map[string]*StartGang{}
	for _, m := range g.openMembers() {
		rack := g.reservedRack[m]
		c.grant(now, m, rack, g.rackEpochs[rack])
		if byRack[rack] == nil {
			byRack[rack] = &StartGang{Rack: rack, RackEpoch: g.rackEpochs[rack], ReservationID: g.reservationID}
		}
		byRack[rack].Tasks = append(byRack[rack].Tasks, m.task.ID)
		byRack[rack].Tokens = append(byRack[rack].Tokens, m.token)
	}
	effects := c.releaseUnusedRacks(g, byRack)
	// A rack with reservations from an earlier pass only is no longer in g.racksToRequest.
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		effects = append(effects, *byRack[rack])
	}
	g.requestedAt, g.reservedRack = nil, nil
	return effects
}

// releaseUnusedRacks releases the reservation at the requested racks that start no member. Callers hold c.mu.
func (c *Core) releaseUnusedRacks(g *gangState, used map[string]*StartGang) []Effect {
	for rack := range used {
		delete(g.requestedAt, rack)
	}
	return c.releaseReservations(g)
}

// applyMemberOutcome applies an outcome to a granted member of a gang. If the member has to start again, the other members
// are stopped; if it failed for good, the gang fails. Callers hold c.mu.
func (c *Core) applyMemberOutcome(now time.Time, t *taskState, out model.Outcome) (effects []Effect, final bool) {
	g := t.gang
	final = t.cancelled || out.State == model.OutcomeFinished
	failed := false
	if !final && out.State == model.OutcomeFailed {
		t.lastError = out.Error
		failed = !c.recordFailure(t, &out)
		final = failed
	}
	if final {
		effects = c.finishTask(now, t, lastPhase(out), out)
	} else {
		g.reason = fmt.Sprintf("member %s: %s", t.task.ID, out.State)
		if delay := c.restartDelay(t, out); delay > 0 {
			g.notBefore = now.Add(delay)
		}
		c.setTaskWaiting(now, t, time.Time{})
	}
	switch {
	case failed:
		effects = append(effects, c.failGang(now, g, out.Error)...)
	case !final && g.phase == gangRunning:
		effects = append(effects, c.stopGang(g)...)
	}
	return append(effects, c.finishGangStop(now, g)...), final
}

// failGang ends the open members of a gang after one member failed for good. Callers hold c.mu.
func (c *Core) failGang(now time.Time, g *gangState, reason string) []Effect {
	var effects []Effect
	for _, m := range g.openMembers() {
		m.lastError = "another member of the gang failed: " + reason
		if m.phase != phaseWaiting {
			effects = append(effects, c.cancelTask(now, m)...)
			continue
		}
		out := model.Outcome{Task: m.task.ID, State: model.OutcomeNotStarted, Error: m.lastError}
		memberEffects := c.finishTask(now, m, phaseCancelled, out)
		// The outcome is recorded so that a later owner does not start some members of the gang again.
		memberEffects[0] = TaskEnded{Task: m.task, Outcome: out, Record: true}
		effects = append(effects, memberEffects...)
	}
	return effects
}

// StartRefused handles the reply of a rack that has not started and will not start reserved members of a gang.
func (c *Core) StartRefused(now time.Time, rack string, ids []model.TaskID, tokens []model.StartToken, reason string) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var effects []Effect
	for i, id := range ids {
		t := c.tasks[id]
		if t == nil || t.token != tokens[i] || t.phase != phaseGranted || t.running {
			continue
		}
		out := model.Outcome{Task: id, Token: tokens[i], State: model.OutcomeNotStarted, Error: reason}
		taskEffects, final := c.applyOutcome(now, t, out)
		if e, ok := firstEffect(taskEffects).(TaskEnded); ok && final {
			e.Record = true
			taskEffects[0] = e
		}
		effects = append(effects, taskEffects...)
	}
	return effects
}

// firstEffect returns the first effect, or nil if there is none.
func firstEffect(effects []Effect) Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[0]
}

// stopGang stops the granted members, so that all open members start together again. Callers hold c.mu.
func (c *Core) stopGang(g *gangState) []Effect {
	g.phase = gangStopping
	var effects []Effect
	for _, m := range g.openMembers() {
		if m.phase == phaseGranted {
			effects = append(effects, StopTask{Rack: m.rack, Task: m.task.ID, Token: m.token})
		}
	}
	return effects
}

// finishGangStop removes a gang without open members, and returns a stopping gang to waiting once none of its members is
// granted any more. Callers hold c.mu.
func (c *Core) finishGangStop(now time.Time, g *gangState) []Effect {
	open := g.openMembers()
	if len(open) == 0 {
		effects := c.releaseReservations(g)
		delete(c.gangs, g.intent.intent.ID)
		return effects
	}
	if g.phase != gangStopping {
		return nil
	}
	for _, m := range open {
		if m.phase == phaseGranted {
			return nil
		}
	}
	delay := max(g.notBefore.Sub(now), 0)
	wait := backoff(c.policy.GangBackoff, c.policy.MaxGangBackoff, g.failedAttempts)
	g.failedAttempts++
	c.setGangWaiting(now, g, max(delay, wait))
	return nil
}

// resolveRestoredGang sets the phase of a restored gang once all racks have listed what they run. If only some of its
// members run, they are stopped so that the gang starts again as a whole. Callers hold c.mu.
func (c *Core) resolveRestoredGang(now time.Time, g *gangState) []Effect {
	if g.phase != gangUnplaced {
		return nil
	}
	granted, open := 0, g.openMembers()
	for _, m := range open {
		if m.phase == phaseGranted {
			granted++
		}
	}
	switch granted {
	case 0:
		c.setGangWaiting(now, g, 0)
		return c.finishGangStop(now, g)
	case len(open):
		g.phase = gangRunning
		return nil
	}
	g.reason = fmt.Sprintf("only %d of %d members ran after a takeover", granted, len(open))
	return c.stopGang(g)
}

// cancelGang releases the reservations of a gang. Its members are cancelled like other tasks. Callers hold c.mu.
func (c *Core) cancelGang(g *gangState) []Effect {
	effects := c.releaseReservations(g)
	g.reservationID = ""
	if g.isWaiting() {
		g.phase = gangWaiting
	}
	return effects
}
