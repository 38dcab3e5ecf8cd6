package intent

import (
	"container/list"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Quota limits the capacity that a team may use. In Share and Limit a zero field means unlimited and a negative field allows
// nothing.
type Quota struct {
	// Weight scales the team's fair share; zero means 1.
	Weight float64
	// Share is the capacity that the team may use at any time. Usage beyond it is borrowed and is reclaimed when other teams
	// need their shares.
	Share model.Resources
	// Limit is the upper bound of the team's usage, including borrowed capacity.
	Limit model.Resources
}

// Quotas provides the quotas in force. Its methods are called under the lock of a Core and must not block.
type Quotas interface {
	Quota(account, team string) Quota
}

// Pool is a view of the capacity of the whole cell. It lags, and is used only to limit and reclaim borrowing and to compare
// the usage of teams.
type Pool struct {
	// Capacity is the capacity of all workers, Free the part of it that is not in use.
	Capacity, Free model.Resources
	// Borrowed and Shortfall are the sums over the other intent partitions; see Usage.
	Borrowed, Shortfall model.Resources
}

// Usage is the quota usage that an intent partition reports to the other partitions.
type Usage struct {
	// Borrowed is the capacity that its teams use beyond their shares.
	Borrowed model.Resources
	// Shortfall is the demand of tasks that have waited too long although their teams are within their shares.
	Shortfall model.Resources
}

type teamKey struct{ account, team string }

// team tracks the quota usage of one team. Only its intent partition updates it.
type team struct {
	key teamKey
	// used is the total demand of the admitted tasks, both waiting and granted.
	used model.Resources
	// pending holds the tasks that the quota does not admit yet, by class. A gang is represented by its first open member.
	pending [model.NumClasses]*list.List
	// waitingCount is the number of admitted tasks with offers that are not granted yet, waitingDemand their total demand.
	waitingCount  int
	waitingDemand model.Resources
	// starvingSince is the time of the last grant or, if it is later, the time when admitted tasks began to wait.
	starvingSince time.Time
	granted       map[*taskState]struct{}
	// openTasks counts the team's tasks that have not ended. A team without open tasks is removed from memory.
	openTasks int
}

// SetQuotas replaces the quotas; with nil nothing is limited.
func (c *Core) SetQuotas(q Quotas) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotas = q
}

// SetPool replaces the view of the cell's capacity.
func (c *Core) SetPool(p Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = p
}

// Usage returns the quota usage to report to the other partitions.
func (c *Core) Usage(now time.Time) Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Borrowed: c.borrowed(), Shortfall: c.shortfall(now)}
}

// teamOf returns the state of a team and creates it if needed. Callers hold c.mu.
func (c *Core) teamOf(account, name string) *team {
	key := teamKey{account, name}
	tm := c.teams[key]
	if tm == nil {
		tm = &team{key: key, granted: map[*taskState]struct{}{}}
		for i := range tm.pending {
			tm.pending[i] = list.New()
		}
		c.teams[key] = tm
	}
	return tm
}

// taskClosed counts the end of a task of a team and removes the team after its last open task. Callers hold c.mu.
func (c *Core) taskClosed(tm *team) {
	if tm.openTasks--; tm.openTasks == 0 && c.teams[tm.key] == tm {
		delete(c.teams, tm.key)
	}
}

func (c *Core) quota(tm *team) Quota { return c.quotaOf(tm.key) }

func (c *Core) quotaOf(key teamKey) Quota {
	if c.quotas == nil {
		return Quota{}
	}
	return c.quotas.Quota(key.account, key.team)
}

// withinLimit reports whether an amount is within a Share or Limit of a Quota.
func withinLimit(amount, limit model.Resources) bool {
	ok := func(a, l int64) bool { return l == 0 || a <= max(l, 0) }
	return ok(amount.CPUMilli, limit.CPUMilli) && ok(amount.MemoryMiB, limit.MemoryMiB) &&
		ok(amount.Accelerators, limit.Accelerators) && ok(amount.Slots, limit.Slots) &&
		ok(amount.Connections, limit.Connections)
}

// excessOver returns by how much an amount exceeds a Share or Limit of a Quota.
func excessOver(amount, limit model.Resources) model.Resources {
	over := func(a, l int64) int64 {
		if l == 0 {
			return 0
		}
		return max(a-max(l, 0), 0)
	}
	return model.Resources{
		CPUMilli: over(amount.CPUMilli, limit.CPUMilli), MemoryMiB: over(amount.MemoryMiB, limit.MemoryMiB),
		Accelerators: over(amount.Accelerators, limit.Accelerators), Slots: over(amount.Slots, limit.Slots),
		Connections: over(amount.Connections, limit.Connections),
	}
}

// covers reports whether an amount fits the free capacity, ignoring accelerator types.
func covers(free, amount model.Resources) bool {
	amount.AcceleratorType = free.AcceleratorType
	return amount.Fits(free)
}

// admissible reports whether the quota admits a further demand of a team. Demand beyond the share is admitted only if
// mayBorrow is set and the cell's free capacity covers it after the shortfall of other partitions. Callers hold c.mu.
func (c *Core) admissible(tm *team, demand model.Resources, mayBorrow bool) bool {
	q := c.quota(tm)
	total := tm.used.Add(demand)
	if !withinLimit(total, q.Limit) {
		return false
	}
	if withinLimit(total, q.Share) {
		return true
	}
	borrowed := excessOver(total, q.Share).Sub(excessOver(tm.used, q.Share))
	return mayBorrow && covers(c.pool.Free.Sub(c.pool.Shortfall), borrowed)
}

// requestAdmission admits a waiting task or gang at once if it fits its team's share and the team has no pending tasks of
// its class or a higher one; otherwise it becomes pending. Callers hold c.mu.
func (c *Core) requestAdmission(now time.Time, t *taskState) {
	if t.pendingElem != nil || t.admitted {
		return
	}
	if !t.team.hasPendingUpTo(t.task.Class) && c.admissible(t.team, c.unitDemand(t), false) {
		c.admit(now, t)
		return
	}
	t.pendingElem = t.team.pending[t.task.Class].PushBack(t)
}

// hasPendingUpTo reports whether the team has pending tasks of the given class or a higher one.
func (tm *team) hasPendingUpTo(class model.Class) bool {
	for i := model.Class(0); i <= class; i++ {
		if tm.pending[i].Len() > 0 {
			return true
		}
	}
	return false
}

// unitDemand returns the demand that is admitted as a unit: that of the task, or of all open members of its gang. Callers
// hold c.mu.
func (c *Core) unitDemand(t *taskState) model.Resources {
	if t.gang == nil {
		return Demand(t.effectiveTask())
	}
	var sum model.Resources
	for _, m := range t.gang.openMembers() {
		sum = sum.Add(Demand(m.effectiveTask()))
	}
	return sum
}

// admit charges a task, or all members of its gang, to its team and makes it ready for offers. Callers hold c.mu.
func (c *Core) admit(now time.Time, t *taskState) {
	c.removePending(t)
	if t.gang != nil {
		for _, m := range t.gang.openMembers() {
			c.charge(m, Demand(m.effectiveTask()))
		}
		return
	}
	c.charge(t, Demand(t.effectiveTask()))
	c.queueOffer(now, t)
}

func (c *Core) removePending(t *taskState) {
	if t.pendingElem != nil {
		t.team.pending[t.task.Class].Remove(t.pendingElem)
		t.pendingElem = nil
	}
}

func (c *Core) charge(t *taskState, demand model.Resources) {
	c.uncharge(t)
	t.admitted, t.charged = true, demand
	t.team.used = t.team.used.Add(demand)
}

func (c *Core) uncharge(t *taskState) {
	if t.admitted {
		t.team.used = t.team.used.Sub(t.charged)
		t.admitted, t.charged = false, model.Resources{}
	}
}

// recharge adjusts the charge of a queued task whose observed size has grown. It returns false if the task's team cannot
// use the larger size within its share; the task is then pending again. Callers hold c.mu.
func (c *Core) recharge(now time.Time, t *taskState, demand model.Resources) bool {
	if demand == t.charged {
		return true
	}
	c.dequeueOffer(t)
	c.uncharge(t)
	if !c.admissible(t.team, demand, false) {
		c.withdrawOthers(t, "")
		t.pendingElem = t.team.pending[t.task.Class].PushBack(t)
		return false
	}
	c.charge(t, demand)
	c.countWaiting(now, t, 1)
	return true
}

// countWaiting adds a queued task to its team's waiting tasks if n is 1, or removes it if n is -1. Callers hold c.mu.
func (c *Core) countWaiting(now time.Time, t *taskState, n int) {
	tm := t.team
	if n > 0 {
		if tm.waitingCount == 0 && tm.starvingSince.Before(now) {
			tm.starvingSince = now
		}
		tm.waitingDemand = tm.waitingDemand.Add(t.charged)
	} else {
		tm.waitingDemand = tm.waitingDemand.Sub(t.charged)
	}
	tm.waitingCount += n
	t.countedAsWaiting = n > 0
}

// admitWithinShare admits pending tasks of a team as long as they fit its share. Callers hold c.mu.
func (c *Core) admitWithinShare(now time.Time, tm *team) {
	for t := tm.nextPending(); t != nil && c.admissible(tm, c.unitDemand(t), false); t = tm.nextPending() {
		c.admit(now, t)
	}
}

// nextPending returns the first pending task of the highest class that has any, or nil.
func (tm *team) nextPending() *taskState {
	for _, l := range tm.pending {
		if e := l.Front(); e != nil {
			return e.Value.(*taskState)
		}
	}
	return nil
}

// admitPending admits pending tasks of all teams, each time from the team with the lowest weighted dominant share. Demand
// beyond a team's share is borrowed from the free capacity of the cell. Callers hold c.mu.
func (c *Core) admitPending(now time.Time) {
	for {
		var best *team
		lowestShare := 0.0
		for _, tm := range c.teams {
			t := tm.nextPending()
			if t == nil || !c.admissible(tm, c.unitDemand(t), true) {
				continue
			}
			share := c.weightedShare(tm)
			if best == nil || share < lowestShare || (share == lowestShare && tm.key.less(best.key)) {
				best, lowestShare = tm, share
			}
		}
		if best == nil {
			return
		}
		before := excessOver(best.used, c.quota(best).Share)
		c.admit(now, best.nextPending())
		// The view lags, so newly borrowed capacity is subtracted from it until the next SetPool.
		c.pool.Free = c.pool.Free.Sub(excessOver(best.used, c.quota(best).Share).Sub(before))
	}
}

func (k teamKey) less(o teamKey) bool {
	return k.account < o.account || (k.account == o.account && k.team < o.team)
}

// weightedShare returns a team's dominant share of the cell's capacity divided by its weight. Callers hold c.mu.
func (c *Core) weightedShare(tm *team) float64 {
	w := c.quota(tm).Weight
	if w <= 0 {
		w = 1
	}
	return tm.used.DominantShare(c.pool.Capacity) / w
}

// borrowed returns the total capacity that the teams use beyond their shares. Callers hold c.mu.
func (c *Core) borrowed() model.Resources {
	var sum model.Resources
	for _, tm := range c.teams {
		sum = sum.Add(excessOver(tm.used, c.quota(tm).Share))
	}
	return sum
}

// shortfall returns the waiting demand of the teams that are within their shares and have waited for at least ReclaimAfter.
// Callers hold c.mu.
func (c *Core) shortfall(now time.Time) model.Resources {
	var sum model.Resources
	if c.quotas == nil {
		return sum
	}
	for _, tm := range c.teams {
		if tm.waitingCount > 0 && now.Sub(tm.starvingSince) >= c.policy.ReclaimAfter && withinLimit(tm.used, c.quota(tm).Share) {
			sum = sum.Add(tm.waitingDemand)
		}
	}
	return sum
}

// reclaim takes back borrowed capacity while teams wait within their shares: claims of borrowing teams are denied, and their
// preemptible running tasks are stopped after a checkpoint, the most recently started first. Each partition returns a
// fraction in proportion to its part of what all partitions borrow. Callers hold c.mu.
func (c *Core) reclaim(now time.Time) []Effect {
	need := nonNegative(c.shortfall(now).Add(c.pool.Shortfall).Sub(nonNegative(c.pool.Free)))
	c.reclaimNeeded = !need.IsZero()
	if need.IsZero() {
		return nil
	}
	borrowedHere := c.borrowed()
	if borrowedHere.IsZero() {
		return nil
	}
	fraction := ratioOf(borrowedHere, borrowedHere.Add(c.pool.Borrowed))
	need = scaleRoundingUp(need, fraction)
	var effects []Effect
	for _, tm := range c.sortedTeams() {
		borrowed := excessOver(tm.used, c.quota(tm).Share)
		if borrowed.IsZero() || need.IsZero() {
			continue
		}
		effects = append(effects, c.reclaimTeam(tm, borrowed, &need)...)
	}
	return effects
}

// reclaimTeam stops running tasks of one borrowing team, up to its borrowed capacity. need is reduced by the capacity that
// is returned. Callers hold c.mu.
func (c *Core) reclaimTeam(tm *team, borrowed model.Resources, need *model.Resources) []Effect {
	var running []*taskState
	for t := range tm.granted {
		if t.beingReclaimed {
			// The task is already being stopped.
			borrowed, *need = nonNegative(borrowed.Sub(t.charged)), nonNegative(need.Sub(t.charged))
			continue
		}
		if t.running && t.task.Preemptible && t.gang == nil && !t.cancelled && c.hasNoDeadline(t) {
			running = append(running, t)
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[j].token.Less(running[i].token) })
	var effects []Effect
	for _, t := range running {
		if borrowed.IsZero() || need.IsZero() {
			break
		}
		t.beingReclaimed = true
		borrowed, *need = nonNegative(borrowed.Sub(t.charged)), nonNegative(need.Sub(t.charged))
		effects = append(effects, StopTask{Rack: t.rack, Task: t.task.ID, Token: t.token, Checkpoint: true})
	}
	return effects
}

// hasNoDeadline reports whether a task's intent has no deadline. Work with a deadline is not stopped to reclaim capacity.
func (c *Core) hasNoDeadline(t *taskState) bool {
	return t.intent == nil || t.intent.intent.Spec.Deadline.IsZero()
}

// sortedTeams returns the teams in the order of their keys, so that decisions are deterministic. Callers hold c.mu.
func (c *Core) sortedTeams() []*team {
	teams := make([]*team, 0, len(c.teams))
	for _, tm := range c.teams {
		teams = append(teams, tm)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].key.less(teams[j].key) })
	return teams
}

// nonNegative returns r with negative fields set to zero.
func nonNegative(r model.Resources) model.Resources {
	return model.Resources{
		CPUMilli: max(r.CPUMilli, 0), MemoryMiB: max(r.MemoryMiB, 0), Accelerators: max(r.Accelerators, 0),
		Slots: max(r.Slots, 0), Connections: max(r.Connections, 0),
	}
}

// ratioOf returns the largest ratio of a field of part to the same field of whole, at most 1.
func ratioOf(part, whole model.Resources) float64 { return min(part.DominantShare(whole), 1) }

// scaleRoundingUp multiplies each field of r by factor and rounds it up.
func scaleRoundingUp(r model.Resources, factor float64) model.Resources {
	scaled := func(v int64) int64 { return int64(float64(v)*factor + 0.999) }
	return model.Resources{
		CPUMilli: scaled(r.CPUMilli), MemoryMiB: scaled(r.MemoryMiB), Accelerators: scaled(r.Accelerators), Slots: scaled(r.Slots),
		Connections: scaled(r.Connections),
	}
}
