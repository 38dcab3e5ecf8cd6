package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

// A team has a limit on what it may have running on all workers together. Everything in the ledger counts, also starts without an
// answer, copies, and runs that are being stopped. After a change of the leader, runs on workers whose inventory has not been read
// are not in the ledger; until then every task counts that the former leader may have started.

// team is the use of the cell by one team.
type team struct {
	name string
	// limit is what may run; a field of 0 means no limit. weight is at least minTeamWeight.
	limit  model.Resources
	weight float64
	// used is the demand of all runs in the ledger, and unread that of the tasks that may run on workers whose inventory is
	// pending.
	used, unread model.Resources
	// held are the steps that the limit keeps from starting.
	held map[*step]struct{}
	rate submissionRate
	// overShare means that others come first when capacity is short; see updateShares.
	overShare bool
}

// heldLogInterval is the time between log entries about a step that the limit of its team keeps from starting.
const heldLogInterval = 5 * time.Second

// teamOf returns the team with a name; nil for the empty name.
func (c *Core) teamOf(name string) *team {
	if name == "" {
		return nil
	}
	t := c.teams[name]
	if t == nil {
		t = &team{name: name, held: map[*step]struct{}{}}
		c.teams[name] = t
		c.configureTeam(t)
	}
	return t
}

// configureTeam applies the configuration to a team. One that was removed keeps its limit while its jobs last.
func (c *Core) configureTeam(t *team) {
	configured, ok := c.config.Teams[t.name]
	if ok {
		t.limit, t.weight = configured.Limit, configured.Weight
		t.rate.perSecond = configured.Weight
	}
	t.weight = max(t.weight, minTeamWeight)
	t.retryHeld()
}

// retryHeld makes the next round consider the steps that the limit has kept from starting.
func (t *team) retryHeld() {
	for s := range t.held {
		s.queuePosition.tryPlacement = true
	}
	clear(t.held)
}

// addTeamUse adds the demand of one run to what its team has running; a sign of -1 subtracts it.
func (s *step) addTeamUse(sign int) {
	t := s.job.team
	if t == nil {
		return
	}
	t.used = t.used.Add(s.spec.TaskDemand.Times(sign))
	if sign < 0 {
		t.retryHeld()
	}
}

// teamCapacity returns how many more tasks of a step the limit of its team permits now.
func (c *Core) teamCapacity(s *step) int {
	t := s.job.team
	if t == nil {
		return maxTeamCapacity
	}
	running := t.used
	if len(c.inventoryPending) > 0 {
		running = running.Add(t.unread)
	}
	n := int64(maxTeamCapacity)
	demand := s.spec.TaskDemand
	for _, d := range [...]struct{ limit, running, demand int64 }{
		{t.limit.CPUMilli, running.CPUMilli, demand.CPUMilli},
		{t.limit.MemoryMiB, running.MemoryMiB, demand.MemoryMiB},
		{t.limit.Accelerators, running.Accelerators, demand.Accelerators},
	} {
		if d.limit > 0 && d.demand > 0 {
			n = min(n, max(0, d.limit-d.running)/d.demand)
		}
	}
	return int(n)
}

// maxTeamCapacity is the result of teamCapacity without a limit. It exceeds the tasks of any step.
const maxTeamCapacity = 1 << 30

// startableTasks returns how many of the waiting tasks of a step the limit of its team lets start; the members of a gang start
// together or not at all.
func (c *Core) startableTasks(s *step) int {
	if s.spec.Gang {
		return len(s.waiting)
	}
	return min(c.placeableTasks(s), c.teamCapacity(s))
}

// isHeldByTeam reports whether the limit of its team keeps a step from starting: a single task, or all members of a gang. Such a
// step reserves no capacity, preempts nothing and asks for no advice, so that others do not wait for it.
func (c *Core) isHeldByTeam(s *step) bool {
	if s.job.team == nil {
		return false
	}
	needed := 1
	if s.spec.Gang {
		needed = len(s.tasks)
	}
	if c.teamCapacity(s) >= needed {
		return false
	}
	s.job.team.held[s] = struct{}{}
	c.logHeld(s)
	return true
}

func (c *Core) logHeld(s *step) {
	if c.now < s.nextHeldLogAt {
		return
	}
	s.nextHeldLogAt = c.now + heldLogInterval
	t := s.job.team
	c.logDecision("held_by_limit", s.job.id, map[string]any{
		"step": s.name, "team": t.name, "waiting": len(s.waiting), "used_cpu_milli": t.used.CPUMilli, "limit_cpu_milli": t.limit.CPUMilli,
		"used_memory_mib": t.used.MemoryMiB, "limit_memory_mib": t.limit.MemoryMiB, "unread_cpu_milli": t.unread.CPUMilli,
	})
}

// updateUnread determines what the teams may have running on workers whose inventory is pending: the tasks of recovered jobs that
// are neither done nor in the ledger, whether their dependencies are known to be done or not, as far as the workers can hold them.
func (c *Core) updateUnread() {
	if len(c.teams) == 0 {
		return
	}
	for _, t := range c.teams {
		t.unread = model.Resources{}
	}
	if len(c.inventoryPending) == 0 {
		return
	}
	capacity := c.pendingCapacity()
	// The processor demand of best-effort tasks may exceed the capacity.
	bestEffort := map[*team]int64{}
	for _, d := range c.admission.deferred {
		if t := c.teams[d.team]; t != nil && d.recovered {
			t.unread = capacity
			if d.bestEffort {
				bestEffort[t] = job.MaxDemand
			}
		}
	}
	for _, j := range c.jobs {
		if j.team == nil || !j.recovered || j.released {
			continue
		}
		if spec := &j.record.Spec; spec.Repetitions > 0 {
			// A former leader may have opened occurrences that are not open here.
			j.team.unread = capacity
			if spec.HasBestEffort() {
				bestEffort[j.team] = job.MaxDemand
			}
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				unread := c.unreadTasks(s)
				j.team.unread = j.team.unread.Add(s.allocatedDemand().Times(unread)).Min(capacity)
				if s.spec.BestEffort {
					bestEffort[j.team] = min(bestEffort[j.team]+s.spec.TaskDemand.CPUMilli*int64(unread), job.MaxDemand)
				}
			}
		}
	}
	for t, cpuMilli := range bestEffort {
		t.unread.CPUMilli += cpuMilli
	}
}

// pendingCapacity returns the capacity of the workers whose inventory is pending. One that is not listed may be as large as any.
func (c *Core) pendingCapacity() model.Resources {
	var total, largest model.Resources
	unknown := 0
	for _, w := range c.workers {
		largest = largest.Max(w.info.Capacity)
	}
	for id := range c.inventoryPending {
		if w := c.workers[id]; w != nil && w.listed {
			total = total.Add(w.info.Capacity)
		} else {
			unknown++
		}
	}
	return total.Add(largest.Times(unknown))
}

// unreadTasks returns the number of tasks of a step that may run without being in the ledger.
func (c *Core) unreadTasks(s *step) int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && c.mayRunUnread(t) {
			n++
		}
	}
	return n
}

// TeamUse is the use of the cell by a team.
type TeamUse struct {
	Name string `json:"name"`
	// Used is the demand of all runs; Limit is what may run, with fields of 0 for no limit.
	Used  model.Resources `json:"used"`
	Limit model.Resources `json:"limit"`
	// WaitingTasks are the tasks that wait for a placement, HeldSteps the steps that the limit keeps from starting.
	WaitingTasks int `json:"waiting_tasks"`
	HeldSteps    int `json:"held_steps"`
	// Share is the largest of the team's shares of the cell's processor time, memory and accelerators, and Weight what it is entitled
	// to relative to others.
	Share  float64 `json:"share"`
	Weight float64 `json:"weight"`
	// OverShare means that other teams come first while capacity is short.
	OverShare bool `json:"over_share"`
}

// Teams returns the use of at most limit teams, the ones with the largest shares first, and the number of omitted teams.
func (c *Core) Teams(limit int) (uses []TeamUse, omitted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.teamUses(limit)
}

func (c *Core) teamUses(limit int) (uses []TeamUse, omitted int) {
	if len(c.teams) == 0 {
		return nil, 0
	}
	capacity := c.totalCapacity()
	waiting := map[*team]int{}
	for _, s := range c.ready.ranked {
		waiting[s.job.team] += len(s.waiting)
	}
	for _, t := range c.teams {
		uses = append(uses, TeamUse{
			Name: t.name, Used: t.used, Limit: t.limit, WaitingTasks: waiting[t], HeldSteps: len(t.held),
			Share: t.used.DominantShare(capacity), Weight: t.weight, OverShare: t.overShare,
		})
	}
	slices.SortFunc(uses, func(a, b TeamUse) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
	})
	n := min(limit, len(uses))
	return uses[:n], len(uses) - n
}
