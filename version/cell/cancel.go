package cell

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
)

// CancelJob cancels a job whose cancellation is durable.
func (c *Core) CancelJob(id job.ID, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if _, finished := c.finished[id]; finished {
		return
	}
	j := c.jobs[id]
	if j == nil && c.admission.deferred[id] != nil {
		c.finishDeferred(id, job.Cancelled, "cancelled by the caller")
		return
	}
	if j == nil {
		if _, known := c.earlyCancels[id]; !known {
			c.earlyCancels[id] = c.now
		}
		return
	}
	c.finishJob(j, job.Cancelled, "cancelled by the caller")
}

// earlyCancelTTL is how long a cancellation is kept for a job that is not known yet. The record of a job may be written seconds after
// the cancellation, and the two arrive through different paths.
const earlyCancelTTL = time.Minute

// TakeExpiredCancels returns at most limit jobs that have not become known within earlyCancelTTL of their cancellation, and forgets them.
// The rows of the cancellations can be removed. Those of jobs whose progress cannot be decoded are kept.
func (c *Core) TakeExpiredCancels(limit int) []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []job.ID
	for id, at := range c.earlyCancels {
		if _, unreadable := c.unreadable[id]; unreadable {
			continue
		}
		if len(ids) < limit && c.now > at+earlyCancelTTL {
			delete(c.earlyCancels, id)
			ids = append(ids, id)
		}
	}
	return ids
}
