package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// toWaiting returns a task to waiting; it is offered again from notBefore on. Members of a gang wait for the gang.
// Callers hold c.mu.
func (c *Core) toWaiting(now time.Time, t *taskState, notBefore time.Time) {
	c.ungrant(t)
	c.dequeue(t)
	t.phase, t.running, t.rack, t.worker = phaseWaiting, false, "", ""
	t.tries, t.notBefore, t.preferRack = 0, notBefore, ""
	if t.reclaimed {
		t.reclaimed = false
		c.uncharge(t)
	}
	switch {
	case t.gang != nil:
	case t.admitted:
		c.queue(now, t)
	default:
		c.request(now, t)
	}
}

// queue makes an admitted task ready for offers. Callers hold c.mu.
func (c *Core) queue(now time.Time, t *taskState) {
	due := now
	if t.notBefore.After(due) {
		due = t.notBefore
	}
	c.offers.push(t, due)
	if !t.counted {
		c.count(now, t, 1)
	}
}

// dequeue ends the offers of a task. Callers hold c.mu.
func (c *Core) dequeue(t *taskState) {
	c.offers.remove(t)
	if t.counted {
		c.count(time.Time{}, t, -1)
	}
}

// grant gives the right to start a task to a rack under a new token. Callers hold c.mu.
func (c *Core) grant(now time.Time, t *taskState, rack string, rackEpoch uint64) {
	c.dequeue(t)
	c.withdrawOthers(t, rack)
	c.sequence++
	t.token = model.StartToken{Partition: c.partition, Epoch: c.epoch, Sequence: c.sequence}
	c.placed(t, rack, rackEpoch)
	t.running = false
	t.team.starved = now
}

// placed notes where a task is granted. Callers hold c.mu.
func (c *Core) placed(t *taskState, rack string, rackEpoch uint64) {
	c.ungrant(t)
	t.phase, t.rack, t.rackEpoch, t.zone = phaseGranted, rack, rackEpoch, c.rackZones[rack]
	t.team.granted[t] = struct{}{}
	if t.intent != nil && t.zone != "" {
		t.intent.perZone[t.zone]++
	}
}

// ungrant undoes placed. Callers hold c.mu.
func (c *Core) ungrant(t *taskState) {
	if _, ok := t.team.granted[t]; !ok {
		return
	}
	delete(t.team.granted, t)
	if t.intent != nil && t.zone != "" {
		t.intent.perZone[t.zone]--
	}
	t.zone = ""
}

// finish gives a task its last state. Callers hold c.mu.
func (c *Core) finish(now time.Time, t *taskState, p phase, out model.Outcome) []Effect {
	c.dequeue(t)
	c.unpend(t)
	c.ungrant(t)
	c.withdrawOthers(t, "")
	charged := t.admitted
	c.uncharge(t)
	t.phase, t.running, t.outcome, t.endedAt = p, false, out, now
	delete(c.claimedVictims, t.task.ID)
	effects := []Effect{TaskEnded{Task: t.task, Outcome: out}}
	if t.intent == nil || t.intent.intent.Spec.Kind.Standing() {
		t.forget = c.endedTasks.PushBack(t)
	}
	if t.intent != nil {
		t.intent.open--
		effects = append(effects, c.finishIntent(now, t.intent)...)
	}
	if charged {
		c.admitShare(now, t.team)
	}
	c.closeTask(t.team)
	return effects
}

// finishIntent notes the end of the last open task: of the intent, or of one run of a recurring intent.
// Callers hold c.mu.
func (c *Core) finishIntent(now time.Time, st *intentState) []Effect {
	if st.open > 0 {
		return nil
	}
	switch {
	case st.intent.State == model.IntentCancelled:
		c.retire(now, st)
		return nil
	case st.intent.State != model.IntentConfirmed || st.intent.Spec.Kind == model.KindCall:
		return nil
	case st.intent.Spec.Kind == model.KindRecurring:
		if !st.intent.RunOpen {
			return nil
		}
		st.intent.RunOpen = false
	default:
		st.intent.State = model.IntentDone
		c.retire(now, st)
	}
	return []Effect{SaveIntent{ID: st.intent.ID}}
}
