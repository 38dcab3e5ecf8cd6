package intent

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// The start of a gang. Its members are held at the racks in ascending order of rack names, each hold with a short term.
// When all are held, one transaction records the start, and then every rack starts its members. A gang that cannot be
// held as a whole releases everything and tries again after a random wait that grows, so that contending gangs do not
// repeat the same collision. The oldest waiting gang of the cell is the exception: it keeps what it holds, as a start
// reservation, and adds to it, so that a gang that needs much is not passed by smaller ones for ever. Since only one gang
// keeps holds while it waits, gangs cannot block each other.
//
// When a member does not start, lapses, is preempted or fails, the other members that run are stopped, and all members
// that have not finished start together again. Finished members do not run a second time.

// gangPhase is the state of a gang.
type gangPhase uint8

const (
	// gangUnplaced: members may run since an earlier epoch.
	gangUnplaced gangPhase = iota
	// gangWaiting: nothing is held.
	gangWaiting
	// gangReserving: the racks are being asked.
	gangReserving
	// gangPartlyReserved: some members are held and stay so until the rest fits.
	gangPartlyReserved
	// gangCommitting: all members are held, the start is being recorded.
	gangCommitting
	// gangRunning: all open members are granted.
	gangRunning
	// gangStopping: the members that run are being stopped.
	gangStopping
)

var gangPhaseNames = [...]string{"unplaced", "waiting", "asking racks", "keeping a start reservation", "recording its start", "running", "stopping"}

type gangState struct {
	intent  *intentState
	members []*taskState
	phase   gangPhase
	// attemptNumber numbers the reservations; hold names the current one.
	attemptNumber int
	reservationID string
	// failedAttempts counts the attempts that failed since the last start.
	failedAttempts int
	notBefore      time.Time
	racksToRequest []string
	nextRackIndex  int
	// requestedAt is when each rack was last asked for the hold; epochs are the rack epochs of the answers.
	requestedAt  map[string]time.Time
	rackEpochs   map[string]uint64
	reservedRack map[*taskState]string
	reason       string
	// retainingSince is when the gang began to keep its holds; yielded is when it gave that up.
	retainingSince, yieldedAt time.Time
}

// GangAge orders waiting gangs of all partitions.
type GangAge struct {
	// Since is when the gang was confirmed, or when it last gave up a start reservation.
	Since  time.Time
	Intent string
	// Missing counts the members that are not held.
	Missing int
}

// IsZero reports whether there is no gang.
func (a GangAge) IsZero() bool { return a.Intent == "" }

// Older reports whether a is before b. A zero age is the youngest.
func (a GangAge) Older(b GangAge) bool {
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	// Messages carry milliseconds.
	if x, y := a.Since.UnixMilli(), b.Since.UnixMilli(); x != y {
		return x < y
	}
	return a.Intent < b.Intent
}

func (g *gangState) age() GangAge {
	since := g.intent.intent.ConfirmedAt
	if g.yieldedAt.After(since) {
		since = g.yieldedAt
	}
	return GangAge{Since: since, Intent: g.intent.intent.ID, Missing: len(g.openMembers()) - len(g.reservedRack)}
}

// isWaiting reports whether the gang has not started and nothing of it runs.
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

// addGang makes the tasks of a run a gang. Callers hold c.mu.
func (c *Core) addGang(st *intentState, members []*taskState) {
	g := &gangState{intent: st, members: slices.Clone(members)}
	st.gang = g
	for _, m := range members {
		m.gang = g
	}
	c.gangs[st.intent.ID] = g
}

// SetOlderGang sets the oldest waiting gang of all other partitions.
func (c *Core) SetOlderGang(a GangAge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldestOtherGang = a
}

// OldestGang returns the oldest waiting gang of the partition; it is zero if there is none.
func (c *Core) OldestGang() GangAge {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.oldestGang()
}

// oldestGang returns the oldest admitted gang that waits. Callers hold c.mu.
func (c *Core) oldestGang() GangAge {
	var oldest GangAge
	for _, g := range c.gangs {
		if g.isWaiting() && g.admitted() && g.age().Older(oldest) {
			oldest = g.age()
		}
	}
	return oldest
}

func (c *Core) isOldest(g *gangState) bool {
	return c.oldestGang().Intent == g.intent.intent.ID && !c.oldestOtherGang.Older(g.age())
}

// admitted reports whether the quota admits the gang.
func (g *gangState) admitted() bool {
	for _, m := range g.members {
		if !m.ended() && !m.admitted {
			return false
		}
	}
	return true
}

func (c *Core) sortedGangs() []*gangState {
	gangs := make([]*gangState, 0, len(c.gangs))
	for _, g := range c.gangs {
		gangs = append(gangs, g)
	}
	sort.Slice(gangs, func(i, j int) bool { return gangs[i].age().Older(gangs[j].age()) })
	return gangs
}

// advanceGangs tries to hold the gangs that are due, the oldest first. Callers hold c.mu.
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

// beginGangAttempt starts an attempt if the quota admits the gang. Callers hold c.mu.
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

// requestGangAdmission asks for the admission of all open members together. After a takeover only those are charged that ran.
// Callers hold c.mu.
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

// backOffGang releases all holds; the gang tries again after a random wait. Callers hold c.mu.
func (c *Core) backOffGang(now time.Time, g *gangState, reason string) []Effect {
	wait := backoff(c.policy.GangBackoff, c.policy.MaxGangBackoff, g.failedAttempts)
	g.failedAttempts++
	g.reason = reason
	effects := c.releaseReservations(g)
	c.setGangWaiting(now, g, time.Duration(float64(wait)*(0.5+c.rng.Float64())))
	return effects
}

// setGangWaiting returns a gang to waiting. Callers hold c.mu.
func (c *Core) setGangWaiting(now time.Time, g *gangState, wait time.Duration) {
	g.phase, g.notBefore = gangWaiting, now.Add(wait)
	g.reservationID, g.reservedRack, g.requestedAt = "", nil, nil
}

// PrepareStart returns the row that records the start of a gang. ok is false when the hold is no longer the gang's.
func (c *Core) PrepareStart(id, reservationID string) (in model.Intent, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.reservationID != reservationID || g.phase != gangCommitting {
		return model.Intent{}, false
	}
	in = g.intent.intent
	in.Starts++
	return in, true
}

// GangCommitted starts a gang at all racks once its start is recorded. A start that was not recorded, or so late that
// a hold may have expired, is given up before anything has started.
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
	g.intent.intent.Starts++
	for _, rack := range g.reservedRack {
		if now.Sub(g.requestedAt[rack]) > c.policy.GangReservationTTL*3/4 {
			return c.backOffGang(now, g, "recording its start took too long")
		}
		if g.rackEpochs[rack] < c.rackEpochs[rack] {
			return c.backOffGang(now, g, "a rack that held members got a new owner")
		}
	}
	g.phase, g.retainingSince = gangRunning, time.Time{}
	byRack := map[string]*StartHeld{}
	for _, m := range g.openMembers() {
		rack := g.reservedRack[m]
		c.grant(now, m, rack, g.rackEpochs[rack])
		if byRack[rack] == nil {
			byRack[rack] = &StartHeld{Rack: rack, RackEpoch: g.rackEpochs[rack], Hold: g.reservationID}
		}
		byRack[rack].Tasks = append(byRack[rack].Tasks, m.task.ID)
		byRack[rack].Tokens = append(byRack[rack].Tokens, m.token)
	}
	effects := c.releaseUnusedRacks(g, byRack)
	// A rack that was asked in an earlier pass only is not in g.order any more.
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		effects = append(effects, *byRack[rack])
	}
	g.requestedAt, g.reservedRack = nil, nil
	return effects
}

// releaseUnusedRacks releases the racks that were asked but hold no member. Callers hold c.mu.
func (c *Core) releaseUnusedRacks(g *gangState, used map[string]*StartHeld) []Effect {
	for rack := range used {
		delete(g.requestedAt, rack)
	}
	return c.releaseReservations(g)
}

// applyMemberOutcome applies an outcome to a granted member of a gang. Callers hold c.mu.
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
		c.returnToWaiting(now, t, time.Time{})
	}
	switch {
	case failed:
		effects = append(effects, c.failGang(now, g, out.Error)...)
	case !final && g.phase == gangRunning:
		effects = append(effects, c.stopGang(g)...)
	}
	return append(effects, c.finishGangStop(now, g)...), final
}

// failGang ends the open members of a gang of which one can never run. Callers hold c.mu.
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
		// The outcome is recorded, so that a later owner does not start a part of the gang again.
		memberEffects[0] = TaskEnded{Task: m.task, Outcome: out, Record: true}
		effects = append(effects, memberEffects...)
	}
	return effects
}

// StartRefused takes the answer of a rack that has not started and will not start the members of a hold.
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

func firstEffect(effects []Effect) Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[0]
}

// stopGang stops the members that run, so that all start together again. Callers hold c.mu.
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

// finishGangStop returns a stopped gang to waiting when none of its members runs any more. Callers hold c.mu.
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

// resolveRestoredGang decides about a gang when all racks have listed what runs: a gang of which only a part runs is stopped, so
// that it starts again as a whole. Callers hold c.mu.
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

// cancelGang releases what a gang holds. Its members are cancelled like other tasks. Callers hold c.mu.
func (c *Core) cancelGang(g *gangState) []Effect {
	effects := c.releaseReservations(g)
	g.reservationID = ""
	if g.isWaiting() {
		g.phase = gangWaiting
	}
	return effects
}
