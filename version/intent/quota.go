package intent

import (
	"container/list"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// Quota is what a team may use. In each amount a zero field is not limited and a negative one allows nothing.
type Quota struct {
	// Weight scales the team's fair share; zero means 1.
	Weight float64
	// Share is what the team may use at any time. Use beyond it is borrowed and given back when others need theirs.
	Share model.Resources
	// Limit is what the team never exceeds, borrowed capacity included.
	Limit model.Resources
}

// Quotas returns the quotas in force. It is called under the lock of a Core and must not block.
type Quotas interface {
	Quota(account, team string) Quota
}

// Pool is a lagging view of the whole cell. It limits borrowing only.
type Pool struct {
	// Capacity is that of all workers, Free what is not in use.
	Capacity, Free model.Resources
	// Borrowed and Short are the sums over the other intent partitions; see Usage.
	Borrowed, Short model.Resources
}

// Usage is what one intent partition tells the others about its quotas.
type Usage struct {
	// Borrowed is what its teams use beyond their shares.
	Borrowed model.Resources
	// Short is what its teams wait for within their shares.
	Short model.Resources
}

type teamKey struct{ account, team string }

// team counts the use of one team. The intent partition is its only writer.
type team struct {
	key teamKey
	// used is the demand of all admitted tasks, waiting or granted.
	used model.Resources
	// pending holds tasks that the quota does not admit yet, by class; a gang is represented by its first open member.
	pending [model.NumClasses]*list.List
	// waitingCount counts admitted tasks that are not granted, waitingUse their demand.
	waitingCount  int
	waitingDemand model.Resources
	// starvingSince is the time of the last grant or, if later, of the first admitted task that waits since.
	starvingSince time.Time
	granted       map[*taskState]struct{}
	// openTasks counts the team's tasks that have not ended. A team without any is forgotten.
	openTasks int
}

// SetQuotas replaces the quotas; nil limits nothing.
func (c *Core) SetQuotas(q Quotas) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotas = q
}

// SetPool replaces the view of the cell.
func (c *Core) SetPool(p Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = p
}

// Usage returns what other partitions need to know.
func (c *Core) Usage(now time.Time) Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Borrowed: c.borrowed(), Short: c.shortfall(now)}
}

// teamOf returns the counter of a team. Callers hold c.mu.
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

// taskClosed counts the end of a task of a team. Callers hold c.mu.
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

// withinLimit reports whether an amount stays within a limit of a Quota.
func withinLimit(amount, limit model.Resources) bool {
	ok := func(a, l int64) bool { return l == 0 || a <= max(l, 0) }
	return ok(amount.CPUMilli, limit.CPUMilli) && ok(amount.MemoryMiB, limit.MemoryMiB) &&
		ok(amount.Accelerators, limit.Accelerators) && ok(amount.Slots, limit.Slots) &&
		ok(amount.Connections, limit.Connections)
}

// excessOver returns by how much an amount exceeds a limit of a Quota.
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

// covers reports whether free holds an amount, whatever the accelerator types.
func covers(free, amount model.Resources) bool {
	amount.AcceleratorType = free.AcceleratorType
	return amount.Fits(free)
}

// admissible reports whether the quota admits a further demand of a team. Callers hold c.mu.
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
	return mayBorrow && covers(c.pool.Free.Sub(c.pool.Short), borrowed)
}

// requestAdmission admits a waiting task or gang at once if its team's share allows it and none of its class or above is pending;
// otherwise the task is pending. Callers hold c.mu.
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

func (tm *team) hasPendingUpTo(class model.Class) bool {
	for i := model.Class(0); i <= class; i++ {
		if tm.pending[i].Len() > 0 {
			return true
		}
	}
	return false
}

// unitDemand returns the demand of a task or of all open members of its gang. Callers hold c.mu.
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

// recharge adjusts the charge of a queued task whose observed size has grown. It returns false when the quota does not
// admit the larger size; then the task is pending. Callers hold c.mu.
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

// countWaiting adds a queued task to its team's waiting tasks, or with -1 removes it. Callers hold c.mu.
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

// admitWithinShare admits what the share of one team allows. Callers hold c.mu.
func (c *Core) admitWithinShare(now time.Time, tm *team) {
	for t := tm.nextPending(); t != nil && c.admissible(tm, c.unitDemand(t), false); t = tm.nextPending() {
		c.admit(now, t)
	}
}

// nextPending returns the pending task of the highest class, or nil.
func (tm *team) nextPending() *taskState {
	for _, l := range tm.pending {
		if e := l.Front(); e != nil {
			return e.Value.(*taskState)
		}
	}
	return nil
}

// admitPending admits pending tasks in the order of weighted dominant shares, the lowest first; what is beyond a share is
// borrowed from the free capacity of the cell. Callers hold c.mu.
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
		// The view lags, so what was just borrowed is taken off until the next view arrives.
		c.pool.Free = c.pool.Free.Sub(excessOver(best.used, c.quota(best).Share).Sub(before))
	}
}

func (k teamKey) less(o teamKey) bool {
	return k.account < o.account || (k.account == o.account && k.team < o.team)
}

func (c *Core) weightedShare(tm *team) float64 {
	w := c.quota(tm).Weight
	if w <= 0 {
		w = 1
	}
	return tm.used.DominantShare(c.pool.Capacity) / w
}

// borrowed returns what the teams use beyond their shares. Callers hold c.mu.
func (c *Core) borrowed() model.Resources {
	var sum model.Resources
	for _, tm := range c.teams {
		sum = sum.Add(excessOver(tm.used, c.quota(tm).Share))
	}
	return sum
}

// shortfall returns the demand of teams within their shares that have waited too long. Callers hold c.mu.
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

// reclaim takes borrowed capacity back while teams wait within their shares: claims of borrowing teams are denied, and
// preemptible running tasks of theirs are stopped after a checkpoint, the latest start first. Each partition
// gives its part of what all partitions borrow. Callers hold c.mu.
func (c *Core) reclaim(now time.Time) []Effect {
	need := nonNegative(c.shortfall(now).Add(c.pool.Short).Sub(nonNegative(c.pool.Free)))
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

// reclaimTeam stops tasks of one borrowing team. need is lowered by what is given back. Callers hold c.mu.
func (c *Core) reclaimTeam(tm *team, borrowed model.Resources, need *model.Resources) []Effect {
	var running []*taskState
	for t := range tm.granted {
		if t.beingReclaimed {
			// It is being stopped already.
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

// hasNoDeadline reports whether a task may be stopped for others: work with a deadline is left alone.
func (c *Core) hasNoDeadline(t *taskState) bool {
	return t.intent == nil || t.intent.intent.Spec.Deadline.IsZero()
}

func (c *Core) sortedTeams() []*team {
	teams := make([]*team, 0, len(c.teams))
	for _, tm := range c.teams {
		teams = append(teams, tm)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].key.less(teams[j].key) })
	return teams
}

// nonNegative replaces negative fields by zero.
func nonNegative(r model.Resources) model.Resources {
	return model.Resources{
		CPUMilli: max(r.CPUMilli, 0), MemoryMiB: max(r.MemoryMiB, 0), Accelerators: max(r.Accelerators, 0),
		Slots: max(r.Slots, 0), Connections: max(r.Connections, 0),
	}
}

// ratioOf returns the largest ratio of a field of part to the same field of whole.
func ratioOf(part, whole model.Resources) float64 { return min(part.DominantShare(whole), 1) }

func scaleRoundingUp(r model.Resources, factor float64) model.Resources {
	scaled := func(v int64) int64 { return int64(float64(v)*factor + 0.999) }
	return model.Resources{
		CPUMilli: scaled(r.CPUMilli), MemoryMiB: scaled(r.MemoryMiB), Accelerators: scaled(r.Accelerators), Slots: scaled(r.Slots),
		Connections: scaled(r.Connections),
	}
}
