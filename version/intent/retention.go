package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// startRetention starts the retention of an intent that has ended. Callers hold c.mu.
func (c *Core) startRetention(now time.Time, st *intentState) {
	if st.retentionElem != nil {
		return
	}
	delete(c.recurring, st.intent.ID)
	delete(c.gangs, st.intent.ID)
	for victim, id := range c.displacedBy {
		if id == st.intent.ID {
			delete(c.displacedBy, victim)
		}
	}
	st.endedAt = now
	st.retentionElem = c.endedIntents.PushBack(st)
}

// dropExpired removes ended tasks, intents and plans that are past their retention from memory. The returned effect deletes
// the rows of the intents and plans. Callers hold c.mu.
func (c *Core) dropExpired(now time.Time) []Effect {
	var deleted DeleteRows
	limit := now.Add(-c.policy.Retention)
	for e := c.endedTasks.Front(); e != nil && e.Value.(*taskState).endedAt.Before(limit); e = c.endedTasks.Front() {
		c.dropTask(e.Value.(*taskState))
	}
	for e := c.endedIntents.Front(); e != nil && e.Value.(*intentState).endedAt.Before(limit); e = c.endedIntents.Front() {
		st := e.Value.(*intentState)
		deleted.Intents = append(deleted.Intents, st.intent.ID)
		deleted.Plans = append(deleted.Plans, st.intent.PlanID)
		c.dropIntent(st)
	}
	for e := c.plansByExpiry.Front(); e != nil && e.Value.(model.Plan).ExpiresAt.Before(limit); e = c.plansByExpiry.Front() {
		p := e.Value.(model.Plan)
		c.plansByExpiry.Remove(e)
		if c.intents[p.IntentID] == nil {
			delete(c.plans, p.ID)
			deleted.Plans = append(deleted.Plans, p.ID)
		}
	}
	if len(deleted.Intents)+len(deleted.Plans) == 0 {
		return nil
	}
	return []Effect{deleted}
}

// dropTask removes an ended task from memory. Callers hold c.mu.
func (c *Core) dropTask(t *taskState) {
	delete(c.tasks, t.task.ID)
	if t.retentionElem != nil {
		c.endedTasks.Remove(t.retentionElem)
		t.retentionElem = nil
	}
	st := t.intent
	if st == nil {
		return
	}
	last := st.tasks[len(st.tasks)-1]
	st.tasks[t.indexInIntent], last.indexInIntent = last, t.indexInIntent
	st.tasks[len(st.tasks)-1] = nil
	st.tasks = st.tasks[:len(st.tasks)-1]
}

func (c *Core) dropIntent(st *intentState) {
	c.endedIntents.Remove(st.retentionElem)
	for len(st.tasks) > 0 {
		c.dropTask(st.tasks[len(st.tasks)-1])
	}
	delete(c.intents, st.intent.ID)
	delete(c.plans, st.intent.PlanID)
}

// evictEndedTasks removes the oldest ended tasks from memory before their retention ends, so that n more tasks fit within
// MaxTasks. It reports whether they fit. Callers hold c.mu.
func (c *Core) evictEndedTasks(now time.Time, n int) bool {
	for len(c.tasks)+n > c.policy.MaxTasks {
		if e := c.endedTasks.Front(); e != nil {
			c.dropTask(e.Value.(*taskState))
			continue
		}
		e := c.endedIntents.Front()
		if e == nil {
			return false
		}
		// The intent's row stays until the retention ends, so that the next owner still knows the intent.
		st := e.Value.(*intentState)
		for len(st.tasks) > 0 {
			c.dropTask(st.tasks[len(st.tasks)-1])
		}
		c.endedIntents.MoveToBack(e)
		if !c.hasEndedTasks() {
			return len(c.tasks)+n <= c.policy.MaxTasks
		}
	}
	return true
}

// hasEndedTasks reports whether an ended intent still has tasks in memory. Callers hold c.mu.
func (c *Core) hasEndedTasks() bool {
	for e := c.endedIntents.Front(); e != nil; e = e.Next() {
		if len(e.Value.(*intentState).tasks) > 0 {
			return true
		}
	}
	return false
}
