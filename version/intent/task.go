package intent

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
)

// setTaskWaiting moves a task to phaseWaiting; it is not offered before notBefore. Members of a gang wait for the gang's
// next attempt. Callers hold c.mu.
func (c *Core) setTaskWaiting(now time.Time, t *taskState, notBefore time.Time) {
	c.clearGrant(t)
	c.dequeueOffer(t)
	t.phase, t.running, t.rack, t.worker = phaseWaiting, false, "", ""
	t.offerCount, t.notBefore, t.preferredRack = 0, notBefore, ""
	if t.beingReclaimed {
		t.beingReclaimed = false
		c.uncharge(t)
	}
	switch {
	case t.gang != nil:
	case t.admitted:
		c.queueOffer(now, t)
	default:
		c.requestAdmission(now, t)
	}
}

// queueOffer schedules the next offer of an admitted task. Callers hold c.mu.
func (c *Core) queueOffer(now time.Time, t *taskState) {
	due := now
	if t.notBefore.After(due) {
		due = t.notBefore
	}
	c.offers.push(t, due)
	if !t.countedAsWaiting {
		c.countWaiting(now, t, 1)
	}
}

// dequeueOffer cancels the next offer of a task. Callers hold c.mu.
func (c *Core) dequeueOffer(t *taskState) {
	c.offers.remove(t)
	if t.countedAsWaiting {
		c.countWaiting(time.Time{}, t, -1)
	}
}

// grant grants a rack the right to start a task, under a new token. Callers hold c.mu.
func (c *Core) grant(now time.Time, t *taskState, rack string, rackEpoch uint64) {
	c.dequeueOffer(t)
	c.withdrawOthers(t, rack)
	c.sequence++
	t.token = model.StartToken{Partition: c.partition, Epoch: c.epoch, Sequence: c.sequence}
	c.recordGrant(t, rack, rackEpoch)
	t.running = false
	t.team.starvingSince = now
}

// recordGrant records the rack and rack epoch to which a task is granted. Callers hold c.mu.
func (c *Core) recordGrant(t *taskState, rack string, rackEpoch uint64) {
	c.clearGrant(t)
	t.phase, t.rack, t.rackEpoch, t.zone = phaseGranted, rack, rackEpoch, c.rackZones[rack]
	t.team.granted[t] = struct{}{}
	if t.intent != nil && t.zone != "" {
		t.intent.grantedPerZone[t.zone]++
	}
}

// clearGrant reverts the counters that recordGrant updated. Callers hold c.mu.
func (c *Core) clearGrant(t *taskState) {
	if _, ok := t.team.granted[t]; !ok {
		return
	}
	delete(t.team.granted, t)
	if t.intent != nil && t.zone != "" {
		t.intent.grantedPerZone[t.zone]--
	}
	t.zone = ""
}

// finishTask moves a task to the terminal phase p with its last outcome. Callers hold c.mu.
func (c *Core) finishTask(now time.Time, t *taskState, p phase, out model.Outcome) []Effect {
	c.dequeueOffer(t)
	c.removePending(t)
	c.clearGrant(t)
	c.withdrawOthers(t, "")
	charged := t.admitted
	c.uncharge(t)
	t.phase, t.running, t.outcome, t.endedAt = p, false, out, now
	delete(c.displacedBy, t.task.ID)
	effects := []Effect{TaskEnded{Task: t.task, Outcome: out}}
	if t.intent == nil || t.intent.intent.Spec.Kind.IsTemplate() {
		t.retentionElem = c.endedTasks.PushBack(t)
	}
	if t.intent != nil {
		t.intent.openTasks--
		effects = append(effects, c.finishIntent(now, t.intent)...)
	}
	if charged {
		c.admitWithinShare(now, t.team)
	}
	c.taskClosed(t.team)
	return effects
}

// finishIntent ends an intent, or the current run of a recurring intent, if it has no open tasks. Callers hold c.mu.
func (c *Core) finishIntent(now time.Time, st *intentState) []Effect {
	if st.openTasks > 0 {
		return nil
	}
	switch {
	case st.intent.State == model.IntentCancelled:
		c.startRetention(now, st)
		return nil
	case st.intent.State != model.IntentConfirmed || st.intent.Spec.Kind == model.KindCall:
		return nil
	case st.intent.Spec.Kind == model.KindRecurring:
		if !st.intent.LastRunUnfinished {
			return nil
		}
		st.intent.LastRunUnfinished = false
	default:
		st.intent.State = model.IntentDone
		c.startRetention(now, st)
	}
	return []Effect{SaveIntent{ID: st.intent.ID}}
}
