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
	// gangHolding: the racks are being asked.
	gangHolding
	// gangReserved: some members are held and stay so until the rest fits.
	gangReserved
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
	// attempt numbers the reservations; hold names the current one.
	attempt int
	hold    string
	// tries counts the attempts that failed since the last start.
	tries     int
	notBefore time.Time
	order     []string
	next      int
	// asked is when each rack was last asked for the hold; epochs are the rack epochs of the answers.
	asked  map[string]time.Time
	epochs map[string]uint64
	held   map[*taskState]string
	reason string
	// oldestSince is when the gang began to keep its holds; yielded is when it gave that up.
	oldestSince, yielded time.Time
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
	if g.yielded.After(since) {
		since = g.yielded
	}
	return GangAge{Since: since, Intent: g.intent.intent.ID, Missing: len(g.open()) - len(g.held)}
}

// waits reports whether the gang has not started and nothing of it runs.
func (g *gangState) waits() bool { return g.phase >= gangWaiting && g.phase <= gangCommitting }

// open returns the members that have not ended.
func (g *gangState) open() []*taskState {
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
	c.olderGang = a
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
		if g.waits() && g.admitted() && g.age().Older(oldest) {
			oldest = g.age()
		}
	}
	return oldest
}

func (c *Core) isOldest(g *gangState) bool {
	return c.oldestGang().Intent == g.intent.intent.ID && !c.olderGang.Older(g.age())
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

// tickGangs tries to hold the gangs that are due, the oldest first. Callers hold c.mu.
func (c *Core) tickGangs(now time.Time) []Effect {
	var effects []Effect
	for _, g := range c.sortedGangs() {
		if now.Before(g.notBefore) {
			continue
		}
		switch g.phase {
		case gangWaiting:
			effects = append(effects, c.tryGang(now, g)...)
		case gangReserved:
			if !c.isOldest(g) {
				effects = append(effects, c.gangBacksOff(now, g, "an older gang waits")...)
				continue
			}
			g.phase = gangHolding
			g.order, g.next = c.gangRacks(now, g), 0
			effects = append(effects, c.holdNext(now, g)...)
		}
	}
	return effects
}

// tryGang starts an attempt if the quota admits the gang. Callers hold c.mu.
func (c *Core) tryGang(now time.Time, g *gangState) []Effect {
	open := g.open()
	if len(open) == 0 {
		return nil
	}
	if !g.admitted() {
		g.reason = "the team's quota does not admit all members"
		if c.requestGang(now, g); !g.admitted() {
			return nil
		}
	}
	if !c.isOldest(g) && !c.roomBehindOlder(g) {
		g.reason = "there is no room for it next to the gangs that wait longer"
		c.gangWaits(now, g, time.Duration(c.rng.Int64N(int64(c.policy.ReserveRetry)+1)))
		return nil
	}
	g.attempt++
	g.hold = fmt.Sprintf("%s/%d/%d", g.intent.intent.ID, c.epoch, g.attempt)
	g.phase = gangHolding
	g.asked, g.epochs, g.held = map[string]time.Time{}, map[string]uint64{}, map[*taskState]string{}
	g.order, g.next = c.gangRacks(now, g), 0
	return c.holdNext(now, g)
}

// requestGang asks for the admission of all open members together. After a takeover only those are charged that ran.
// Callers hold c.mu.
func (c *Core) requestGang(now time.Time, g *gangState) {
	open := g.open()
	for _, m := range open {
		if m.pending != nil {
			return
		}
	}
	for _, m := range open {
		c.uncharge(m)
	}
	c.request(now, open[0])
}

// gangBacksOff releases all holds; the gang tries again after a random wait. Callers hold c.mu.
func (c *Core) gangBacksOff(now time.Time, g *gangState, reason string) []Effect {
	wait := backoff(c.policy.GangBackoff, c.policy.MaxGangBackoff, g.tries)
	g.tries++
	g.reason = reason
	effects := c.releaseHolds(g)
	c.gangWaits(now, g, time.Duration(float64(wait)*(0.5+c.rng.Float64())))
	return effects
}

// gangWaits returns a gang to waiting. Callers hold c.mu.
func (c *Core) gangWaits(now time.Time, g *gangState, wait time.Duration) {
	g.phase, g.notBefore = gangWaiting, now.Add(wait)
	g.hold, g.held, g.asked = "", nil, nil
}

// PrepareStart returns the row that records the start of a gang. ok is false when the hold is no longer the gang's.
func (c *Core) PrepareStart(id, hold string) (in model.Intent, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.hold != hold || g.phase != gangCommitting {
		return model.Intent{}, false
	}
	in = g.intent.intent
	in.Starts++
	return in, true
}

// GangCommitted starts a gang at all racks once its start is recorded. A start that was not recorded, or so late that
// a hold may have expired, is given up before anything has started.
func (c *Core) GangCommitted(now time.Time, id, hold string, recorded bool) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[id]
	if g == nil || g.hold != hold || g.phase != gangCommitting {
		return nil
	}
	if !recorded {
		return c.gangBacksOff(now, g, "its start could not be recorded")
	}
	g.intent.intent.Starts++
	for _, rack := range g.held {
		if now.Sub(g.asked[rack]) > c.policy.HoldTerm*3/4 {
			return c.gangBacksOff(now, g, "recording its start took too long")
		}
		if g.epochs[rack] < c.rackEpochs[rack] {
			return c.gangBacksOff(now, g, "a rack that held members got a new owner")
		}
	}
	g.phase, g.oldestSince = gangRunning, time.Time{}
	byRack := map[string]*StartHeld{}
	for _, m := range g.open() {
		rack := g.held[m]
		c.grant(now, m, rack, g.epochs[rack])
		if byRack[rack] == nil {
			byRack[rack] = &StartHeld{Rack: rack, RackEpoch: g.epochs[rack], Hold: g.hold}
		}
		byRack[rack].Tasks = append(byRack[rack].Tasks, m.task.ID)
		byRack[rack].Tokens = append(byRack[rack].Tokens, m.token)
	}
	effects := c.releaseUnused(g, byRack)
	// A rack that was asked in an earlier pass only is not in g.order any more.
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		effects = append(effects, *byRack[rack])
	}
	g.asked, g.held = nil, nil
	return effects
}

// releaseUnused releases the racks that were asked but hold no member. Callers hold c.mu.
func (c *Core) releaseUnused(g *gangState, used map[string]*StartHeld) []Effect {
	for rack := range used {
		delete(g.asked, rack)
	}
	return c.releaseHolds(g)
}

// memberEnded applies an outcome to a granted member of a gang. Callers hold c.mu.
func (c *Core) memberEnded(now time.Time, t *taskState, out model.Outcome) (effects []Effect, final bool) {
	g := t.gang
	final = t.cancelled || out.State == model.OutcomeFinished
	failed := false
	if !final && out.State == model.OutcomeFailed {
		t.lastError = out.Error
		failed = !c.retriesFailure(t, &out)
		final = failed
	}
	if final {
		effects = c.finish(now, t, lastPhase(out), out)
	} else {
		g.reason = fmt.Sprintf("member %s: %s", t.task.ID, out.State)
		if delay := c.restartDelay(t, out); delay > 0 {
			g.notBefore = now.Add(delay)
		}
		c.toWaiting(now, t, time.Time{})
	}
	switch {
	case failed:
		effects = append(effects, c.failGang(now, g, out.Error)...)
	case !final && g.phase == gangRunning:
		effects = append(effects, c.stopGang(g)...)
	}
	return append(effects, c.gangSettled(now, g)...), final
}

// failGang ends the open members of a gang of which one can never run. Callers hold c.mu.
func (c *Core) failGang(now time.Time, g *gangState, reason string) []Effect {
	var effects []Effect
	for _, m := range g.open() {
		m.lastError = "another member of the gang failed: " + reason
		if m.phase != phaseWaiting {
			effects = append(effects, c.cancelTask(now, m)...)
			continue
		}
		out := model.Outcome{Task: m.task.ID, State: model.OutcomeNotStarted, Error: m.lastError}
		ended := c.finish(now, m, phaseCancelled, out)
		// The outcome is recorded, so that a later owner does not start a part of the gang again.
		ended[0] = TaskEnded{Task: m.task, Outcome: out, Record: true}
		effects = append(effects, ended...)
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
		ended, final := c.end(now, t, out)
		if e, ok := first(ended).(TaskEnded); ok && final {
			e.Record = true
			ended[0] = e
		}
		effects = append(effects, ended...)
	}
	return effects
}

func first(effects []Effect) Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[0]
}

// stopGang stops the members that run, so that all start together again. Callers hold c.mu.
func (c *Core) stopGang(g *gangState) []Effect {
	g.phase = gangStopping
	var effects []Effect
	for _, m := range g.open() {
		if m.phase == phaseGranted {
			effects = append(effects, StopTask{Rack: m.rack, Task: m.task.ID, Token: m.token})
		}
	}
	return effects
}

// gangSettled returns a stopped gang to waiting when none of its members runs any more. Callers hold c.mu.
func (c *Core) gangSettled(now time.Time, g *gangState) []Effect {
	open := g.open()
	if len(open) == 0 {
		effects := c.releaseHolds(g)
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
	wait := backoff(c.policy.GangBackoff, c.policy.MaxGangBackoff, g.tries)
	g.tries++
	c.gangWaits(now, g, max(delay, wait))
	return nil
}

// gangRestored decides about a gang when all racks have listed what runs: a gang of which only a part runs is stopped, so
// that it starts again as a whole. Callers hold c.mu.
func (c *Core) gangRestored(now time.Time, g *gangState) []Effect {
	if g.phase != gangUnplaced {
		return nil
	}
	granted, open := 0, g.open()
	for _, m := range open {
		if m.phase == phaseGranted {
			granted++
		}
	}
	switch granted {
	case 0:
		c.gangWaits(now, g, 0)
		return c.gangSettled(now, g)
	case len(open):
		g.phase = gangRunning
		return nil
	}
	g.reason = fmt.Sprintf("only %d of %d members ran after a takeover", granted, len(open))
	return c.stopGang(g)
}

// cancelGang releases what a gang holds. Its members are cancelled like other tasks. Callers hold c.mu.
func (c *Core) cancelGang(g *gangState) []Effect {
	effects := c.releaseHolds(g)
	g.hold = ""
	if g.waits() {
		g.phase = gangWaiting
	}
	return effects
}
